//! Moves instances to the pools that are short of them.
//!
//! The daemon that holds the role `fleet` plans all pools together from the demand that the daemons
//! report, and begins the moves that `wasabiswitch_policy::demand` decides. A move begins as a drain whose
//! reason names the target pool; the fleet controller completes it. See docs/DESIGN.md, "Moves".

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::FutureExt as _;
use wasabiswitch_kernel::plugin::{PeriodicTask, Plugin, Registration};
use wasabiswitch_kernel::tables::Subject;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::demand::{
    Move, MoveCandidate, PoolDemand, ShortageTracker, plan_moves, target_sizes,
};
use wasabiswitch_policy::ids::PoolId;
use wasabiswitch_policy::instance::{InstanceState, Reason};

use crate::membership::try_acquire_role;
use crate::peers::all_loads;
use crate::pools::{FLEET_ROLE, RowChange, current_row, drain_within_budget};

/// Interval at which moves are planned.
const PLAN_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a pool must be short of instances before one is moved to it.
const SHORTAGE_TIME_MIN: Duration = Duration::from_secs(30);
/// Share of its slots that a pool may use before it needs another instance.
const USAGE_MAX_PERCENT: u32 = 80;
/// Maximum number of moves that one plan begins.
const MOVES_PER_PLAN_MAX: usize = 2;

fn plugin() -> Plugin {
    Plugin {
        periodic_tasks: vec![PeriodicTask {
            name: "moves",
            interval: |_| PLAN_INTERVAL,
            wake: None,
            run: |kernel| async move { tick(&kernel).await }.boxed(),
        }],
        ..Plugin::new("moves", &["pools"])
    }
}

inventory::submit! { Registration(plugin) }

/// Times since which pools have been short of instances, as observed by the planner in this process.
///
/// A leaf lock: no other lock is taken while it is held. A daemon that has just acquired the role starts
/// counting anew, which only delays moves.
static SHORTAGE: Mutex<Option<ShortageTracker>> = Mutex::new(None);

async fn tick(kernel: &Arc<Kernel>) {
    if !try_acquire_role(kernel, FLEET_ROLE).await {
        return;
    }
    for planned in plan(kernel) {
        begin_move(kernel, &planned).await;
    }
}

fn plan(kernel: &Kernel) -> Vec<Move> {
    let pools = pool_demands(kernel);
    let targets = target_sizes(&pools);
    let now = kernel.clock.now();
    let short = {
        let mut shortage = SHORTAGE.lock().unwrap_or_else(PoisonError::into_inner);
        shortage.get_or_insert_default().update(&pools, &targets, SHORTAGE_TIME_MIN, now)
    };
    plan_moves(&pools, &targets, &short, &move_candidates(kernel), MOVES_PER_PLAN_MAX)
}

/// Returns the needed and current number of instances of each pool.
///
/// An instance that is being moved counts in the pool that it moves to.
fn pool_demands(kernel: &Kernel) -> Vec<PoolDemand> {
    let config = kernel.config();
    let demand = demand_slots(kernel);
    let mut current: BTreeMap<PoolId, (u32, u32)> = BTreeMap::new();
    for (id, configured) in &config.config.instances {
        let Some(row) = current_row(kernel, id) else { continue };
        let pool = match &row.state {
            InstanceState::Leaving(Reason::Move(to)) => to.clone(),
            _ => row.pool,
        };
        let (count, slots) = current.entry(pool).or_default();
        *count += 1;
        *slots += configured.slots;
    }
    let pools = config.config.pools.iter().map(|(id, pool)| {
        let (count, slots) = current.get(id).copied().unwrap_or_default();
        let slots_per_instance = slots.checked_div(count).unwrap_or(1).max(1);
        let usable_per_instance = (slots_per_instance * USAGE_MAX_PERCENT / 100).max(1);
        let needed = demand.get(id).copied().unwrap_or(0).div_ceil(usable_per_instance);
        // A pool keeps one instance more than its budget allows to be unavailable, so that the budget
        // still holds after the move.
        let floor = if pool.spare { 0 } else { (pool.unavailable_max + 1).min(count) };
        PoolDemand { pool: id.clone(), needed, size: count, floor, spare: pool.spare }
    });
    pools.collect()
}

/// Returns the demand of each pool: the slots that all daemons report, and one for each active job.
fn demand_slots(kernel: &Kernel) -> BTreeMap<PoolId, u32> {
    let mut demand: BTreeMap<PoolId, u32> = BTreeMap::new();
    for load in all_loads(kernel).into_values().flatten() {
        *demand.entry(load.pool).or_default() += load.demand_slots;
    }
    let config = kernel.config();
    let jobs = kernel.tables.jobs.lock();
    for (_, entry) in jobs.table.iter() {
        if let Some(queue) = config.config.queues.get(&entry.row.spec.queue) {
            *demand.entry(queue.pool.clone()).or_default() += 1;
        }
    }
    demand
}

fn move_candidates(kernel: &Kernel) -> Vec<MoveCandidate> {
    let config = kernel.config();
    let candidates = config.config.instances.iter().filter_map(|(id, configured)| {
        let row = current_row(kernel, id).filter(|row| row.state == InstanceState::Serving)?;
        let upstreams = kernel.tables.upstreams.lock();
        Some(MoveCandidate {
            instance: id.clone(),
            pool: row.pool,
            failure_domain: configured.failure_domain.clone(),
            outstanding: upstreams.table.by_id(id).map_or(0, |upstream| upstream.outstanding),
        })
    });
    candidates.collect()
}

/// Drains an instance to move it, and records in the journal whether the move has begun.
async fn begin_move(kernel: &Kernel, planned: &Move) {
    let drain_reason = Reason::Move(planned.to.clone());
    let outcome = drain_within_budget(kernel, &planned.instance, &drain_reason, None).await;
    let (action, reason) = match outcome {
        Ok(RowChange::Changed(_)) => {
            metrics::counter!(metric::INSTANCE_MOVES).increment(1);
            ("moves", format!("pool {} has been short of instances", planned.to))
        }
        Ok(other) => ("stays", format!("it was to move to {}, but: {other:?}", planned.to)),
        Err(_) => return,
    };
    let now = kernel.clock.now();
    let mut journal = kernel.tables.journal.lock();
    journal.record(now, Subject::Instance, &planned.instance, action, reason, Vec::new());
}
