//! Slot grants, which enforce a team's limit across daemons without a write for each request.
//!
//! Each team has one row. A daemon runs at most as many requests of the team as the row grants
//! slots to its session. The row changes only by conditional writes that keep the sum of all grants
//! within the limit. A daemon that loses the store keeps its slots and gets no more. The grant of a
//! fenced session counts until its last request must have ended. See docs/DESIGN.md, "Limits".

use wasabiswitch_derive::derives;

use crate::ids::{DaemonId, Epoch};
use crate::shares::{Claim, max_min};

/// Slots granted to one session.
#[derives(record)]
pub struct Grant {
    /// Daemon that holds the slots.
    pub daemon: DaemonId,
    /// Epoch of that daemon's session.
    pub epoch: Epoch,
    /// Number of slots granted.
    pub slots: u32,
    /// Number of slots that the session could use, as of its last write.
    pub wanted_slots: u32,
}

/// Stored row of a team's grants.
#[derives(record)]
#[derive(Default)]
pub struct GrantRow {
    /// Grants of all sessions, sorted by daemon and epoch.
    pub grants: Vec<Grant>,
}

impl GrantRow {
    /// Returns the sum of all grants, in slots.
    pub fn granted_slots(&self) -> u32 {
        self.grants.iter().map(|grant| grant.slots).sum()
    }

    /// Returns the number of slots that one session holds.
    pub fn held_slots(&self, daemon: &str, epoch: Epoch) -> u32 {
        self.find(daemon, epoch).map_or(0, |index| self.grants[index].slots)
    }

    /// Returns the number of slots that other sessions requested and were not granted.
    pub fn unmet_slots(&self, daemon: &str, epoch: Epoch) -> u32 {
        self.grants
            .iter()
            .filter(|grant| &*grant.daemon != daemon || grant.epoch != epoch)
            .map(|grant| grant.wanted_slots.saturating_sub(grant.slots))
            .sum()
    }

    fn find(&self, daemon: &str, epoch: Epoch) -> Option<usize> {
        self.grants.iter().position(|grant| &*grant.daemon == daemon && grant.epoch == epoch)
    }
}

/// Request of a session for slots of a team.
#[derives(record)]
pub struct GrantRequest {
    /// Requesting daemon.
    pub daemon: DaemonId,
    /// Epoch of the daemon's session.
    pub epoch: Epoch,
    /// Number of slots that the session could use, including those for queued work.
    pub wanted_slots: u32,
    /// Number of slots in use, below which the grant cannot fall.
    pub running_slots: u32,
    /// Limit of the team in the daemon's configuration, in slots.
    pub limit_slots: u32,
}

/// Returns the row after `request`, with as many of the wanted slots granted as the limit allows.
///
/// Other sessions' grants do not change. If the limit has been lowered below the sum of the grants,
/// the session returns slots, but none that is in use.
pub fn adjust(row: &GrantRow, request: &GrantRequest) -> GrantRow {
    let held = row.held_slots(&request.daemon, request.epoch);
    let others = row.granted_slots() - held;
    let available = request.limit_slots.saturating_sub(others);
    // A slot in use cannot be returned, even if the limit has been lowered.
    let floor = request.running_slots.min(held);
    let slots = request.wanted_slots.min(available).max(floor);
    let mut next = row.clone();
    set(&mut next, request, slots);
    next
}

fn set(row: &mut GrantRow, request: &GrantRequest, slots: u32) {
    let grant = Grant {
        daemon: request.daemon.clone(),
        epoch: request.epoch,
        slots,
        wanted_slots: request.wanted_slots,
    };
    match row.find(&request.daemon, request.epoch) {
        Some(index) if slots == 0 && request.wanted_slots == 0 => {
            row.grants.remove(index);
        }
        Some(index) => row.grants[index] = grant,
        None if slots == 0 && request.wanted_slots == 0 => {}
        None => {
            row.grants.push(grant);
            row.grants.sort_by(|a, b| a.daemon.cmp(&b.daemon).then(a.epoch.cmp(&b.epoch)));
        }
    }
}

/// Returns the row without the grants of the sessions for which `ended` returns true.
///
/// `ended` must return true only for a session whose requests can no longer be running.
pub fn reclaim(row: &GrantRow, ended: impl Fn(&str, Epoch) -> bool) -> GrantRow {
    let kept = row.grants.iter().filter(|grant| !ended(&grant.daemon, grant.epoch));
    GrantRow { grants: kept.cloned().collect() }
}

/// Slot usage of a daemon and its peers, from which [`target_slots`] computes a request.
#[derives(value)]
pub struct SlotUsage {
    /// Number of running and waiting requests.
    pub demand_slots: u32,
    /// Number of slots that the daemon holds.
    pub held_slots: u32,
    /// Number of slots that the daemon keeps while no other daemon is short of slots.
    pub base_slots: u32,
    /// Max-min fair share of the limit for this daemon, in slots.
    pub fair_slots: u32,
    /// Whether another daemon is short of slots.
    pub others_short: bool,
    /// Whether the held slots have not been needed for some time.
    pub idle_long: bool,
}

/// Returns the number of slots that a daemon should request.
///
/// The target has headroom above the demand, so that a rising load does not need a write for each
/// slot, and a minimum, so that work can begin while the table service is unavailable. Idle slots
/// are kept for some time unless another daemon is short of slots.
pub fn target_slots(usage: &SlotUsage) -> u32 {
    let demand_slots = usage.demand_slots;
    if usage.others_short {
        return demand_slots.min(usage.fair_slots);
    }
    let headroom = demand_slots.div_ceil(HEADROOM_DIVISOR);
    let with_headroom = (demand_slots + headroom).max(usage.base_slots);
    if usage.idle_long { with_headroom } else { with_headroom.max(usage.held_slots) }
}

/// Returns the max-min fair share of each daemon in a limit, in the order of their demands.
pub fn fair_slots(limit_slots: u32, demands_slots: &[u32]) -> Vec<u32> {
    let claims: Vec<Claim> = demands_slots
        .iter()
        .map(|&demand_slots| Claim { weight: 1, demand_slots, limit_slots })
        .collect();
    max_min(&claims, limit_slots)
}

/// Returns the number of slots that one of `daemons` keeps while no other daemon is short of slots.
///
/// Half of the limit is divided evenly; the other half is left for the daemons that need more.
pub fn base_slots(limit_slots: u32, daemons: usize) -> u32 {
    limit_slots / (2 * daemons.max(1) as u32)
}

/// Divisor of the demand that gives the headroom of a request.
const HEADROOM_DIVISOR: u32 = 4;
