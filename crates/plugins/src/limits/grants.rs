//! Acquisition and release of slots in the teams' rows of the table service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt as _;
use futures_util::stream;
use wasabiswitch_kernel::store::{CallClass, Change, StoreError};
use wasabiswitch_kernel::tables::TeamEntry;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::grants::{
    GrantRequest, GrantRow, SlotUsage, adjust, base_slots, fair_slots, reclaim, target_slots,
};
use wasabiswitch_policy::ids::{Epoch, TeamId};
use wasabiswitch_wire::message::TeamLoad;

use super::admission::start_waiting_in_all_pools;
use crate::membership::holds_lease;
use crate::peers::all_loads;

/// Key prefix of the teams' rows.
pub const GRANT_PREFIX: &str = "grant/";
/// Timeout of one adjustment.
const ADJUST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which idle slots are released.
const SLOT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before slots are requested again after a request that was not met in full.
const SLOT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of teams that are adjusted concurrently.
const CONCURRENT_ADJUSTMENTS_MAX: usize = 8;

/// Adjusts the slots of every team whose held slots do not match its demand.
pub(super) async fn adjust_all(kernel: &Arc<Kernel>) {
    if !holds_lease(kernel) {
        return;
    }
    let due = due_teams(kernel);
    if due.is_empty() {
        return;
    }
    stream::iter(due)
        .for_each_concurrent(CONCURRENT_ADJUSTMENTS_MAX, |(team, wanted)| async move {
            let _ = adjust_team(kernel, &team, wanted).await;
        })
        .await;
    start_waiting_in_all_pools(kernel);
}

/// Returns the teams whose held slots do not match their demand, with the number that each wants.
fn due_teams(kernel: &Kernel) -> Vec<(TeamId, u32)> {
    let now = kernel.clock.now();
    let loads = all_loads(kernel);
    let own_index = loads.keys().position(|id| *id == kernel.settings.daemon).unwrap_or(0);
    let loads: Vec<Vec<TeamLoad>> = loads.into_values().collect();
    let mut teams = kernel.tables.teams.lock();
    let ids: Vec<TeamId> = teams.table.iter().map(|(id, _)| id.clone()).collect();
    let due = ids.into_iter().filter_map(|id| {
        let team = teams.table.by_id_mut(&id)?;
        let contended = team.others_short_until.is_some_and(|until| now < until);
        let fair = contended
            .then(|| fair_slots(team.limit_slots, &demand_by_daemon(&id, &loads))[own_index]);
        Some((id, wanted_slots(team, loads.len(), fair, now)?))
    });
    due.collect()
}

/// Returns the demand for slots of a team at each daemon, summed over all pools.
fn demand_by_daemon(team: &str, loads: &[Vec<TeamLoad>]) -> Vec<u32> {
    let daemon_demand = |load: &Vec<TeamLoad>| {
        let team_loads = load.iter().filter(|load| *load.team == *team);
        team_loads.map(|load| load.demand_slots).sum()
    };
    loads.iter().map(daemon_demand).collect()
}

/// Returns the number of slots that a team wants at this daemon, or `None` if no write is due.
///
/// `fair` is this daemon's fair part of the limit, given while another daemon is short of slots.
fn wanted_slots(
    team: &mut TeamEntry,
    daemons: usize,
    fair: Option<u32>,
    now: Instant,
) -> Option<u32> {
    let demand_slots = team.demand_slots();
    if demand_slots > 0 {
        team.slots_needed_at = now;
    }
    let usage = SlotUsage {
        demand_slots,
        held_slots: team.held_slots,
        base_slots: base_slots(team.limit_slots, daemons),
        fair_slots: fair.unwrap_or(team.limit_slots),
        others_short: fair.is_some(),
        idle_long: now >= team.slots_needed_at + SLOT_IDLE_TIMEOUT,
    };
    let wanted = target_slots(&usage).min(team.limit_slots.max(team.running));
    let backing_off = team.short_since.is_some_and(|since| now < since + SLOT_RETRY_DELAY);
    let needs_more = demand_slots.max(usage.base_slots) > team.held_slots;
    let requests_more = needs_more && team.held_slots < wanted && !backing_off;
    (requests_more || wanted < team.held_slots).then_some(wanted)
}

/// Requests `wanted` slots for a team, and sets the slots that this session holds to the number
/// granted.
pub async fn adjust_team(kernel: &Kernel, team: &TeamId, wanted: u32) -> Result<u32, StoreError> {
    let (limit, before) = {
        let teams = kernel.tables.teams.lock();
        let entry = teams.table.by_id(team);
        entry.map_or((0, 0), |entry| (entry.limit_slots, entry.held_slots))
    };
    let epoch = kernel.session().1;
    // Slots that are being released must not be used while the write is in flight.
    set_held_slots(kernel, epoch, team, |held| held.min(wanted));
    let granted = reclaim_and_adjust(kernel, team, wanted, limit).await;
    if let Some(entry) = kernel.tables.teams.lock().table.by_id_mut(team) {
        entry.slot_request_failed = granted.is_err();
    }
    match &granted {
        Ok(slots) => {
            set_held_slots(kernel, epoch, team, |_| *slots);
            record_shortage(kernel, team, *slots);
            metrics::gauge!(metric::GRANTED_SLOTS, "team" => team.to_string())
                .set(f64::from(*slots));
        }
        // Nothing was written, so the slots are still held.
        Err(e) if e.verdict() == Verdict::NotRun => set_held_slots(kernel, epoch, team, |_| before),
        // The row may hold either number; the smaller is safe, and the next adjustment reads it.
        Err(_) => {}
    }
    granted
}

/// Sets the slots that session `epoch` holds, unless a new session has started since.
fn set_held_slots(kernel: &Kernel, epoch: Epoch, team: &TeamId, slots_of: impl FnOnce(u32) -> u32) {
    let members = kernel.tables.members.lock();
    if members.own.epoch != epoch {
        return;
    }
    let mut teams = kernel.tables.teams.lock();
    if let Some(entry) = teams.table.by_id_mut(team) {
        entry.held_slots = slots_of(entry.held_slots);
    }
}

/// Records whether a team was granted fewer slots than its demand, and if so wakes the exchange
/// with peers.
fn record_shortage(kernel: &Kernel, team: &TeamId, slots: u32) {
    let now = kernel.clock.now();
    let mut teams = kernel.tables.teams.lock();
    let mut short = false;
    if let Some(entry) = teams.table.by_id_mut(team) {
        short = entry.demand_slots() > slots;
        entry.short_since = (short || slots == 0).then_some(now);
    }
    drop(teams);
    if short {
        kernel.wake_signals.peers.notify_one();
    }
}

/// Writes a team's row: reclaims the slots of ended sessions and sets those of this session.
///
/// Returns the number of slots that this session holds afterwards.
pub async fn reclaim_and_adjust(
    kernel: &Kernel,
    team: &TeamId,
    wanted_slots: u32,
    limit_slots: u32,
) -> Result<u32, StoreError> {
    let (daemon, epoch) = kernel.session();
    let options = kernel.store.within(CallClass::Control, ADJUST_TIMEOUT);
    kernel
        .store
        .mutate(options, &format!("{GRANT_PREFIX}{team}"), |row: Option<&GrantRow>| {
            let running_slots = {
                let teams = kernel.tables.teams.lock();
                teams.table.by_id(team).map_or(0, |entry| entry.running)
            };
            let request = GrantRequest {
                daemon: daemon.clone(),
                epoch,
                wanted_slots: wanted_slots.max(running_slots),
                running_slots,
                limit_slots,
            };
            let before = row.cloned().unwrap_or_default();
            let live_grants = reclaim(&before, |other, at| session_work_ended(kernel, other, at));
            let after = adjust(&live_grants, &request);
            let held = after.held_slots(&daemon, epoch);
            if after == before { Change::Keep(held) } else { Change::Write(after, held) }
        })
        .await
}

/// Returns whether every request that a session admitted has certainly ended.
fn session_work_ended(kernel: &Kernel, daemon: &str, epoch: Epoch) -> bool {
    let config = kernel.config();
    let longest_deadline = config.config.services.values().map(|service| service.deadline).max();
    let settings = &kernel.settings;
    // A cut-off daemon stops admitting after `cut_off`, and the last request that it admitted
    // may run until its deadline.
    let admitted_work_max = longest_deadline.unwrap_or_default()
        + settings.cut_off
        + settings.lease.lease
        + settings.lease.margin;
    let now = kernel.clock.now();
    let mut members = kernel.tables.members.lock();
    members.watch.work_ended(&daemon.into(), epoch, admitted_work_max, now)
}

/// Releases all slots at a planned stop.
pub async fn release_all_slots(kernel: &Kernel) {
    let holders: Vec<TeamId> = {
        let teams = kernel.tables.teams.lock();
        let holding = teams.table.iter().filter(|(_, team)| team.held_slots > 0);
        holding.map(|(id, _)| id.clone()).collect()
    };
    for team in holders {
        if adjust_team(kernel, &team, 0).await.is_err() {
            log::warn!(
                "slots of team {team} could not be released; they stay counted against its limit"
            );
        }
    }
}
