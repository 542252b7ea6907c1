//! Works out how much of each pool this daemon may use.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::ids::{PoolId, TeamId};
use wasabiswitch_policy::shares::{TeamDemand, daemon_portion};
use wasabiswitch_wire::message::TeamLoad;

use super::admission::pump_all;
use crate::peers::all_loads;

/// Sets the capacity of all queues from the loads of all daemons, and starts what then fits.
pub fn update_portions(kernel: &Kernel) {
    let loads = all_loads(kernel);
    // All daemons count in the same order, so that a slot that is left over is given once.
    let own = loads.keys().position(|id| *id == kernel.settings.daemon).unwrap_or(0);
    let loads: Vec<Vec<TeamLoad>> = loads.into_values().collect();
    let slots = slots_by_pool(kernel);
    let mut capacities: HashMap<PoolId, u32> = HashMap::new();
    for (pool, pool_slots) in slots.iter() {
        let teams = demand_in_pool(kernel, pool, &loads);
        let portion = daemon_portion(&teams, own, loads.len(), *pool_slots);
        // Even without a portion one request may run, so that new work is seen by the others.
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
    pump_all(kernel);
}

/// Returns the slots of the upstreams that accept work, by pool.
fn slots_by_pool(kernel: &Kernel) -> Arc<BTreeMap<PoolId, u32>> {
    let config = kernel.config();
    let mut upstreams = kernel.tables.upstreams.lock();
    if let Some(known) = &upstreams.slots_by_pool {
        return known.clone();
    }
    let mut slots: BTreeMap<PoolId, u32> = BTreeMap::new();
    for (id, upstream) in upstreams.table.iter().filter(|(_, u)| u.accepts_work()) {
        let own = config.config.instances.get(id).map_or(0, |instance| instance.slots);
        *slots.entry(upstream.pool.clone()).or_default() += own;
    }
    let slots = Arc::new(slots);
    upstreams.slots_by_pool = Some(slots.clone());
    slots
}

/// Returns the demand of all teams in a pool, by daemon.
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
