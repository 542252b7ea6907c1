//! The portion of each pool that this daemon may use.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::ids::{PoolId, TeamId};
use wasabiswitch_policy::shares::{TeamDemand, daemon_portion};
use wasabiswitch_wire::message::TeamLoad;

use super::admission::start_waiting_in_all_pools;
use crate::peers::all_loads;

/// Sets the capacity of each pool queue from the loads of all daemons, and starts the waiting
/// requests that fit.
pub fn update_portions(kernel: &Kernel) {
    let loads = all_loads(kernel);
    // All daemons use the same order, so that exactly one of them gets a slot that is left over.
    let own_index = loads.keys().position(|id| *id == kernel.settings.daemon).unwrap_or(0);
    let loads: Vec<Vec<TeamLoad>> = loads.into_values().collect();
    let slots = slots_by_pool(kernel);
    let mut capacities: HashMap<PoolId, u32> = HashMap::new();
    for (pool, pool_slots) in slots.iter() {
        let teams = demand_in_pool(kernel, pool, &loads);
        let portion = daemon_portion(&teams, own_index, loads.len(), *pool_slots);
        // One request may run even without a portion, so that the other daemons see new demand.
        capacities.insert(pool.clone(), portion.max(1));
    }
    {
        let mut requests = kernel.tables.requests.lock();
        for (pool, pool_queue) in &mut requests.pool_queues {
            pool_queue.capacity = capacities.get(pool).copied().unwrap_or(0);
            metrics::gauge!(metric::QUEUE_WAITING, "pool" => pool.to_string())
                .set(pool_queue.queue.len() as f64);
        }
    }
    start_waiting_in_all_pools(kernel);
}

/// Returns the slots of the upstreams that accept work, by pool.
fn slots_by_pool(kernel: &Kernel) -> Arc<BTreeMap<PoolId, u32>> {
    let config = kernel.config();
    let mut upstreams = kernel.tables.upstreams.lock();
    if let Some(cached) = &upstreams.slots_by_pool {
        return cached.clone();
    }
    let mut slots: BTreeMap<PoolId, u32> = BTreeMap::new();
    for (id, upstream) in upstreams.table.iter().filter(|(_, u)| u.accepts_work()) {
        let instance_slots = config.config.instances.get(id).map_or(0, |instance| instance.slots);
        *slots.entry(upstream.pool.clone()).or_default() += instance_slots;
    }
    let slots = Arc::new(slots);
    upstreams.slots_by_pool = Some(slots.clone());
    slots
}

/// Returns the demand of each team in a pool, with one entry per daemon.
fn demand_in_pool(kernel: &Kernel, pool: &PoolId, loads: &[Vec<TeamLoad>]) -> Vec<TeamDemand> {
    let mut by_team: BTreeMap<&TeamId, Vec<u32>> = BTreeMap::new();
    for (daemon, load) in loads.iter().enumerate() {
        for team_load in load.iter().filter(|team_load| team_load.pool == *pool) {
            let demands = by_team.entry(&team_load.team).or_insert_with(|| vec![0; loads.len()]);
            demands[daemon] += team_load.demand_slots;
        }
    }
    let teams = kernel.tables.teams.lock();
    by_team
        .into_iter()
        .filter_map(|(id, by_daemon_slots)| {
            let team = teams.table.by_id(id)?;
            let (weight, limit_slots) = (team.weight, team.limit_slots);
            Some(TeamDemand { weight, limit_slots, by_daemon_slots })
        })
        .collect()
}
