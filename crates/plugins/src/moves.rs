//! Moves instances to the pools that need them.
//!
//! The daemon that holds the role `fleet` plans the pools together, from the demand that all daemons
//! report, and begins the moves that `wasabiswitch_policy::demand` decides. A move is a drain with a
//! reason; the fleet controller takes it from there. See docs/DESIGN.md, "Moves".

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

/// How often moves are planned.
const PLAN_EVERY: Duration = Duration::from_secs(5);
/// How long a pool must be short before an instance is moved to it.
const PATIENCE: Duration = Duration::from_secs(30);
/// The part of its slots, in percent, that a pool may use before it needs another instance.
const USE_MAX_PERCENT: u32 = 80;
/// The most moves that are begun at once.
const MOVES_MAX: usize = 2;

fn plugin() -> Plugin {
    Plugin {
        periodic_tasks: vec![PeriodicTask {
            name: "moves",
            interval: |_| PLAN_EVERY,
            wake: None,
            run: |kernel| async move { tick(&kernel).await }.boxed(),
        }],
        ..Plugin::new("moves", &["pools"])
    }
}

inventory::submit! { Registration(plugin) }

/// How long pools have been short, as the planner in this process has seen it.
///
/// A leaf lock: nothing else is locked while it is held. A planner that has just taken the role starts
/// with patience anew, which only delays moves.
static SHORTAGE: Mutex<Option<ShortageTracker>> = Mutex::new(None);

async fn tick(kernel: &Arc<Kernel>) {
    if !try_acquire_role(kernel, FLEET_ROLE).await {
        return;
    }
    for planned in plan(kernel) {
        begin(kernel, &planned).await;
    }
}

fn plan(kernel: &Kernel) -> Vec<Move> {
    let pools = pool_demands(kernel);
    let targets = target_sizes(&pools);
    let now = kernel.clock.now();
    let short = {
        let mut shortage = SHORTAGE.lock().unwrap_or_else(PoisonError::into_inner);
        shortage.get_or_insert_default().update(&pools, &targets, PATIENCE, now)
    };
    plan_moves(&pools, &targets, &short, &movable(kernel), MOVES_MAX)
}

/// Returns what each pool needs and has; instances on their way count where they go.
fn pool_demands(kernel: &Kernel) -> Vec<PoolDemand> {
    let config = kernel.config();
    let demand = demand_slots(kernel);
    let mut has: BTreeMap<PoolId, (u32, u32)> = BTreeMap::new();
    for (id, configured) in &config.config.instances {
        let Some(row) = current_row(kernel, id) else { continue };
        let pool = match &row.state {
            InstanceState::Leaving(Reason::Move(to)) => to.clone(),
            _ => row.pool,
        };
        let (count, slots) = has.entry(pool).or_default();
        *count += 1;
        *slots += configured.slots;
    }
    let pools = config.config.pools.iter().map(|(id, pool)| {
        let (count, slots) = has.get(id).copied().unwrap_or_default();
        let slots_each = slots.checked_div(count).unwrap_or(1).max(1);
        let usable_each = (slots_each * USE_MAX_PERCENT / 100).max(1);
        let needed = demand.get(id).copied().unwrap_or(0).div_ceil(usable_each);
        // The budget must go on to hold, with as many available as it asks for.
        let floor = if pool.spare { 0 } else { (pool.unavailable_max + 1).min(count) };
        PoolDemand { pool: id.clone(), needed, size: count, floor, spare: pool.spare }
    });
    pools.collect()
}

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

fn movable(kernel: &Kernel) -> Vec<MoveCandidate> {
    let config = kernel.config();
    let serving = config.config.instances.iter().filter_map(|(id, configured)| {
        let row = current_row(kernel, id).filter(|row| row.state == InstanceState::Serving)?;
        let upstreams = kernel.tables.upstreams.lock();
        Some(MoveCandidate {
            instance: id.clone(),
            pool: row.pool,
            failure_domain: configured.failure_domain.clone(),
            outstanding: upstreams.table.by_id(id).map_or(0, |upstream| upstream.outstanding),
        })
    });
    serving.collect()
}

async fn begin(kernel: &Kernel, planned: &Move) {
    let reason = Reason::Move(planned.to.clone());
    let outcome = drain_within_budget(kernel, &planned.instance, &reason, None).await;
    let (action, why) = match outcome {
        Ok(RowChange::Changed(_)) => {
            metrics::counter!(metric::INSTANCE_MOVES).increment(1);
            ("moves", format!("pool {} has been short of instances", planned.to))
        }
        Ok(other) => ("stays", format!("it was to move to {}, but: {other:?}", planned.to)),
        Err(_) => return,
    };
    let now = kernel.clock.now();
    let mut journal = kernel.tables.journal.lock();
    journal.record(now, Subject::Instance, &planned.instance, action, why, Vec::new());
}
