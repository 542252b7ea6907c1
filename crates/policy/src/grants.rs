//! Slot grants: how a team's limit holds across daemons without a write for each request.
//!
//! A team has one row. A daemon may run at most the slots that the row grants to its session, and
//! the row changes only by conditional writes that keep the sum of all grants within the limit. A
//! daemon that loses the store keeps what it holds and can take no more. Grants of a session that
//! was fenced stay counted until its last request must have ended. See docs/DESIGN.md, "Limits".

use wasabiswitch_derive::derives;

use crate::ids::{DaemonId, Epoch};
use crate::shares::{Claim, max_min};

/// The slots that one session holds.
#[derives(record)]
pub struct Grant {
    /// The daemon that holds them.
    pub daemon: DaemonId,
    /// The session of that daemon.
    pub epoch: Epoch,
    /// How many slots it holds.
    pub slots: u32,
    /// How many slots it could use, as of its last write.
    pub wanted_slots: u32,
}

/// A team's row.
#[derives(record)]
#[derive(Default)]
pub struct GrantRow {
    /// The grants of all sessions, sorted by daemon and epoch.
    pub grants: Vec<Grant>,
}

impl GrantRow {
    /// Returns the sum of all grants, in slots.
    pub fn granted_slots(&self) -> u32 {
        self.grants.iter().map(|grant| grant.slots).sum()
    }

    /// Returns the slots that one session holds.
    pub fn held_slots(&self, daemon: &str, epoch: Epoch) -> u32 {
        self.find(daemon, epoch).map_or(0, |index| self.grants[index].slots)
    }

    /// Returns the slots that other sessions asked for and did not get.
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

/// What a session asks of a team's row.
#[derives(record)]
pub struct GrantRequest {
    /// The daemon that asks.
    pub daemon: DaemonId,
    /// Its session.
    pub epoch: Epoch,
    /// The slots that it could use now, queued work included.
    pub wanted_slots: u32,
    /// The slots in use now, below which it cannot go.
    pub running_slots: u32,
    /// The team's limit as the daemon knows it, in slots.
    pub limit_slots: u32,
}

/// Returns the row after `request`, in which the session holds as much of what it wants as fits.
///
/// Other sessions' grants do not change. If the limit has been lowered below the sum, the session
/// gives back down to what it is running.
pub fn adjust(row: &GrantRow, request: &GrantRequest) -> GrantRow {
    let held = row.held_slots(&request.daemon, request.epoch);
    let others = row.granted_slots() - held;
    let room = request.limit_slots.saturating_sub(others);
    // A session never gives back a slot that is in use, even if the limit was lowered meanwhile.
    let floor = request.running_slots.min(held);
    let slots = request.wanted_slots.min(room).max(floor);
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

/// Returns the row without the grants for which `ended` is true.
///
/// The caller passes a session as ended only once its requests cannot be running any more.
pub fn reclaim(row: &GrantRow, ended: impl Fn(&str, Epoch) -> bool) -> GrantRow {
    let kept = row.grants.iter().filter(|grant| !ended(&grant.daemon, grant.epoch));
    GrantRow { grants: kept.cloned().collect() }
}

/// What a daemon knows when it decides how many slots to ask for.
#[derives(value)]
pub struct SlotUsage {
    /// The requests that run or wait.
    pub demand_slots: u32,
    /// The slots that it holds.
    pub held_slots: u32,
    /// The slots that it keeps while nobody else is short of them.
    pub base_slots: u32,
    /// Its part of the limit when all daemons have what they need or the same.
    pub fair_slots: u32,
    /// Whether another daemon is short of slots.
    pub others_short: bool,
    /// Whether the demand has been low for long.
    pub idle_long: bool,
}

/// Returns how many slots a daemon should ask for.
///
/// It asks for some more than it uses, so that a rising load does not need a write for each slot, and
/// for a base, so that work can begin while the table service is down. It keeps idle slots for a while
/// unless another daemon is short of them.
pub fn target_slots(standing: &SlotUsage) -> u32 {
    let demand_slots = standing.demand_slots;
    if standing.others_short {
        return demand_slots.min(standing.fair_slots);
    }
    let headroom = demand_slots.div_ceil(HEADROOM_DIVISOR);
    let comfortable = (demand_slots + headroom).max(standing.base_slots);
    if standing.idle_long { comfortable } else { comfortable.max(standing.held_slots) }
}

/// Returns each daemon's part of a limit, from what the daemons could use.
pub fn fair_slots(limit_slots: u32, demands_slots: &[u32]) -> Vec<u32> {
    let claims: Vec<Claim> = demands_slots
        .iter()
        .map(|&demand_slots| Claim { weight: 1, demand_slots, limit_slots })
        .collect();
    max_min(&claims, limit_slots)
}

/// Returns the base of one of `daemons`: half of the limit is spread over all, half is left for those
/// that need more.
pub fn base_slots(limit_slots: u32, daemons: usize) -> u32 {
    limit_slots / (2 * daemons.max(1) as u32)
}

/// The headroom of a grant is the demand divided by this.
const HEADROOM_DIVISOR: u32 = 4;
