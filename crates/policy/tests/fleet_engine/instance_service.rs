//! Simulated instance service: moves of instances between pools, and their cost.
//!
//! An instance that is moved loses its worker at once, and gets a new one with a new id when the move
//! has finished.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wasabiswitch_policy::fleet::config::{FleetConfig, Route};
use wasabiswitch_policy::fleet::maintenance::{FleetOrder, FleetOutcome, Instance, InstanceState};
use wasabiswitch_policy::fleet::spec::ResourceVector;
use wasabiswitch_policy::fleet::state::{PoolSettings, WorkerEntry};
use wasabiswitch_policy::ids::{InstanceId, PoolId};
use wasabiswitch_standin::fleet_worker::FakeWorker;

use crate::simulation::{Simulation, TICK, limits, queue_settings, worker_entry};

/// Interval between two plans of moves.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Pool whose instances are off.
pub const STANDBY: &str = "spare";

/// State of the instance service.
#[derive(Default)]
pub struct InstanceService {
    instances: BTreeMap<InstanceId, Instance>,
    /// Times at which the current moves finish.
    move_ends: BTreeMap<InstanceId, Instant>,
    next_plan: Option<Instant>,
    /// Number of workers created after moves; part of the id of the next one.
    incarnations: usize,
    /// Number of moves started.
    pub moves: usize,
    /// Total time of all instances in pools other than the standby pool, which are charged, in seconds.
    pub charged_s: f64,
}

impl InstanceService {
    /// Returns the instances as the service lists them.
    pub fn instances(&self) -> &BTreeMap<InstanceId, Instance> {
        &self.instances
    }
}

/// Returns a configuration with `queues` queues, a pool for each, and a standby pool.
pub fn config_of_queues(queues: usize) -> FleetConfig {
    let route = |number: usize| {
        let mut queue_settings = queue_settings();
        queue_settings.pool = format!("p{number}").into();
        let (queue, prefix) = (format!("q{number}").into(), format!("/q{number}/"));
        Route { queue, host: "h".into(), prefix, open: false, queue_settings }
    };
    let mut pools: BTreeMap<PoolId, PoolSettings> =
        (0..queues).map(|number| (format!("p{number}").into(), PoolSettings::default())).collect();
    pools.insert(STANDBY.into(), PoolSettings { standby: true });
    FleetConfig {
        version: 1,
        routes: (0..queues).map(route).collect(),
        pools,
        teams: BTreeMap::from([("t".into(), (1, ResourceVector::default()))]),
        keys: Default::default(),
    }
}

/// Returns the directory entry of a worker with 32 cores, in racks of four workers.
pub fn large_worker(number: usize, id: &str, pool: &str) -> WorkerEntry {
    let capacity = ResourceVector { cpu_milli: 32_000, memory_mib: 128_000, accelerators: 0 };
    let rack = format!("r1-{}", number / 4);
    WorkerEntry { capacity, rack: rack.into(), ..worker_entry(id, pool) }
}

impl Simulation {
    /// Creates a fleet of `queues` pools with `pool_size` instances of 32 cores each, and `pool_size` more
    /// in standby.
    pub fn with_instances(queues: usize, pool_size: usize, seed: u64) -> Simulation {
        let mut entries = Vec::new();
        let mut instance_service = InstanceService::default();
        for number in 0..(queues + 1) * pool_size {
            let pool = match number / pool_size {
                pool if pool < queues => format!("p{pool}"),
                _ => STANDBY.to_owned(),
            };
            let standby = pool == STANDBY;
            let id: InstanceId = format!("w{number}").into();
            let instance = Instance {
                pool: pool.as_str().into(),
                state: if standby { InstanceState::Down } else { InstanceState::Up },
                worker: (!standby).then(|| id.clone()),
                labels: Vec::new(),
            };
            instance_service.instances.insert(format!("m{number:03}").into(), instance);
            if !standby {
                entries.push(large_worker(number, &id, &pool));
            }
        }
        let mut sim =
            Simulation::with_workers(config_of_queues(queues), entries, Default::default(), seed);
        sim.instance_service = instance_service;
        sim
    }

    /// Plans moves at the interval of a daemon, executes them, and adds up their cost.
    pub(crate) fn run_instance_service(&mut self) {
        if self.instance_service.instances.is_empty() {
            return;
        }
        let charged =
            self.instance_service.instances.values().filter(|instance| &*instance.pool != STANDBY);
        self.instance_service.charged_s += charged.count() as f64 * TICK.as_secs_f64();
        self.finish_moves();
        if self.instance_service.next_plan.is_some_and(|at| at > self.now) {
            return;
        }
        self.instance_service.next_plan = Some(self.now + PLAN_INTERVAL);
        self.engine.apply_instance_list(
            self.instance_service.instances.clone(),
            self.now,
            self.now,
            &mut Vec::new(),
        );
        for order in self.engine.plan_moves(self.now) {
            let FleetOrder::Move { instance, pool } = order else { continue };
            self.move_instance(instance, pool);
        }
    }

    fn move_instance(&mut self, id: InstanceId, pool: PoolId) {
        let instance =
            self.instance_service.instances.get_mut(&id).expect("the instance is listed");
        let standby = &*pool == STANDBY;
        instance.state = if standby { InstanceState::Down } else { InstanceState::Moving };
        instance.pool = pool;
        if let Some(worker) = instance.worker.take() {
            self.workers.remove(&worker);
            self.engine.mark_worker_unlisted(&worker);
        }
        if !standby {
            self.instance_service.move_ends.insert(id.clone(), self.now + limits().move_time);
        }
        self.instance_service.moves += 1;
        self.engine.apply_move_outcome(&id, FleetOutcome::Accepted, self.now);
    }

    fn finish_moves(&mut self) {
        let now = self.now;
        let arrived: Vec<InstanceId> = self
            .instance_service
            .move_ends
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in arrived {
            self.instance_service.move_ends.remove(&id);
            self.instance_service.incarnations += 1;
            let instance =
                self.instance_service.instances.get_mut(&id).expect("the instance is listed");
            let worker: InstanceId = format!("{id}-{}", self.instance_service.incarnations).into();
            instance.state = InstanceState::Up;
            instance.worker = Some(worker.clone());
            let number = id[1..].parse().expect("an instance id is a letter and a number");
            let entry = large_worker(number, &worker, &instance.pool);
            self.workers.insert(worker, FakeWorker::new(entry.clone(), now, 1.0));
            self.engine.upsert_worker(entry, now);
        }
    }
}
