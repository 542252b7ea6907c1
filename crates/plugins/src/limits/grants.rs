//! Takes slots from the teams' rows and gives them back.

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

use super::admission::pump_all;
use crate::membership::holds_lease;
use crate::peers::all_loads;

/// The key prefix of the teams' rows.
pub const GRANT_PREFIX: &str = "grant/";
/// How long an adjustment may take.
const ADJUST_TIMEOUT: Duration = Duration::from_secs(1);
/// How long slots stay idle before they are given back.
const IDLE_AFTER: Duration = Duration::from_secs(5);
/// How long a daemon waits after a request for slots that was not met.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(500);
/// The most teams that are adjusted at the same time.
const AT_ONCE: usize = 8;

/// Adjusts the slots of all teams whose demand has changed.
pub(super) async fn adjust_all(kernel: &Arc<Kernel>) {
    if !holds_lease(kernel) {
        return;
    }
    let due = due_teams(kernel);
    if due.is_empty() {
        return;
    }
    stream::iter(due)
        .for_each_concurrent(AT_ONCE, |(team, wanted)| async move {
            let _ = adjust_team(kernel, &team, wanted).await;
        })
        .await;
    pump_all(kernel);
}

/// Returns the teams whose slots do not fit their demand, with the slots that they want.
fn due_teams(kernel: &Kernel) -> Vec<(TeamId, u32)> {
    let now = kernel.clock.now();
    let loads = all_loads(kernel);
    let own = loads.keys().position(|id| *id == kernel.settings.daemon).unwrap_or(0);
    let loads: Vec<Vec<TeamLoad>> = loads.into_values().collect();
    let mut teams = kernel.tables.teams.lock();
    let ids: Vec<TeamId> = teams.table.iter().map(|(id, _)| id.clone()).collect();
    let due = ids.into_iter().filter_map(|id| {
        let team = teams.table.by_id_mut(&id)?;
        let contended = team.others_short_until.is_some_and(|until| now < until);
        let fair = contended.then(|| fair_slots(team.limit_slots, &demands(&id, &loads))[own]);
        Some((id, wanted_slots(team, loads.len(), fair, now)?))
    });
    due.collect()
}

/// Returns the demand of a team at each daemon, over all pools.
fn demands(team: &str, loads: &[Vec<TeamLoad>]) -> Vec<u32> {
    let of_daemon = |load: &Vec<TeamLoad>| {
        let own = load.iter().filter(|load| *load.team == *team);
        own.map(|load| load.demand_slots).sum()
    };
    loads.iter().map(of_daemon).collect()
}

/// Returns how many slots a team wants here, or `None` if nothing needs to be written now.
///
/// `fair` is the daemon's part of the limit if another daemon is short of slots.
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
    let standing = SlotUsage {
        demand_slots,
        held_slots: team.held_slots,
        base_slots: base_slots(team.limit_slots, daemons),
        fair_slots: fair.unwrap_or(team.limit_slots),
        others_short: fair.is_some(),
        idle_long: now >= team.slots_needed_at + IDLE_AFTER,
    };
    let wanted = target_slots(&standing).min(team.limit_slots.max(team.running));
    let waits = team.short_since.is_some_and(|since| now < since + ASK_AGAIN_AFTER);
    let needs_more = demand_slots.max(standing.base_slots) > team.held_slots;
    let asks = needs_more && team.held_slots < wanted && !waits;
    (asks || wanted < team.held_slots).then_some(wanted)
}

/// Asks for `wanted` slots of a team, and books what was granted.
pub async fn adjust_team(kernel: &Kernel, team: &TeamId, wanted: u32) -> Result<u32, StoreError> {
    let (limit, before) = {
        let teams = kernel.tables.teams.lock();
        let entry = teams.table.by_id(team);
        entry.map_or((0, 0), |entry| (entry.limit_slots, entry.held_slots))
    };
    let epoch = kernel.session().1;
    // Slots that are to be given back must not be used while the answer is under way.
    book(kernel, epoch, team, |held| held.min(wanted));
    let granted = reclaim_and_adjust(kernel, team, wanted, limit).await;
    if let Some(entry) = kernel.tables.teams.lock().table.by_id_mut(team) {
        entry.slot_request_failed = granted.is_err();
    }
    match &granted {
        Ok(slots) => {
            book(kernel, epoch, team, |_| *slots);
            note_shortage(kernel, team, *slots);
            metrics::gauge!(metric::GRANTED_SLOTS, "team" => team.to_string())
                .set(f64::from(*slots));
        }
        // Nothing was written, so the slots are still held.
        Err(error) if error.verdict() == Verdict::NotRun => book(kernel, epoch, team, |_| before),
        // The row may say either; the smaller number is safe, and the next adjustment reads it.
        Err(_) => {}
    }
    granted
}

/// Sets the slots that a session holds, unless another session has begun meanwhile.
fn book(kernel: &Kernel, epoch: Epoch, team: &TeamId, slots_of: impl FnOnce(u32) -> u32) {
    let members = kernel.tables.members.lock();
    if members.own.epoch != epoch {
        return;
    }
    let mut teams = kernel.tables.teams.lock();
    if let Some(entry) = teams.table.by_id_mut(team) {
        entry.held_slots = slots_of(entry.held_slots);
    }
}

/// Records whether the slots that a team got are fewer than its work needs.
fn note_shortage(kernel: &Kernel, team: &TeamId, slots: u32) {
    let now = kernel.clock.now();
    let mut teams = kernel.tables.teams.lock();
    let mut short = false;
    if let Some(entry) = teams.table.by_id_mut(team) {
        short = entry.demand_slots() > slots;
        entry.short_since = (short || slots == 0).then_some(now);
    }
    drop(teams);
    if short {
        kernel.wakes.peers.notify_one();
    }
}

/// Writes a team's row: takes back what ended sessions held, and sets what this one holds.
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
            let kept = reclaim(&before, |other, at| work_has_ended(kernel, other, at));
            let after = adjust(&kept, &request);
            let held = after.held_slots(&daemon, epoch);
            if after == before { Change::Keep(held) } else { Change::Write(after, held) }
        })
        .await
}

/// Reports whether no request of a session can be running any more.
fn work_has_ended(kernel: &Kernel, daemon: &str, epoch: Epoch) -> bool {
    let config = kernel.config();
    let longest = config.config.services.values().map(|service| service.deadline).max();
    let settings = &kernel.settings;
    // A cut-off daemon stops admitting after `cut_off`; what it admitted last runs to its deadline.
    let work_time = longest.unwrap_or_default()
        + settings.cut_off
        + settings.lease.lease
        + settings.lease.margin;
    let now = kernel.clock.now();
    let mut members = kernel.tables.members.lock();
    members.watch.work_ended(&daemon.into(), epoch, work_time, now)
}

/// Gives back all slots, at a planned stop.
pub async fn give_back_all(kernel: &Kernel) {
    let held: Vec<TeamId> = {
        let teams = kernel.tables.teams.lock();
        let holding = teams.table.iter().filter(|(_, team)| team.held_slots > 0);
        holding.map(|(id, _)| id.clone()).collect()
    };
    for team in held {
        if adjust_team(kernel, &team, 0).await.is_err() {
            log::warn!("the slots of team {team} could not be given back and stay counted");
        }
    }
}
