//! The machine service in memory: moves between pools, with what they cost.
//!
//! A machine that is moved loses its worker at once and gets a new one, with a new id, after the time
//! that a move takes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wasabiswitch_policy::fleet::config::{FleetConfig, Route};
use wasabiswitch_policy::fleet::spec::ResourceVector;
use wasabiswitch_policy::fleet::state::{PoolSettings, WorkerEntry};
use wasabiswitch_policy::fleet::upkeep::{FleetOrder, FleetOutcome, Instance, InstanceState};
use wasabiswitch_policy::ids::{InstanceId, PoolId};
use wasabiswitch_standin::fleet_worker::FakeWorker;

use crate::world::{TICK, World, limits, queue_settings, worker_entry};

/// How often moves are planned.
const PLAN_EVERY: Duration = Duration::from_millis(100);
/// The pool whose machines are off.
pub const STANDBY: &str = "spare";

/// All machines of a fleet.
#[derive(Default)]
pub struct Machines {
    list: BTreeMap<InstanceId, Instance>,
    /// When the machines that are moving are up again.
    arrivals: BTreeMap<InstanceId, Instant>,
    next_plan: Option<Instant>,
    lives: usize,
    /// The moves that were made.
    pub moves: usize,
    /// The time that machines have spent in pools that are paid for, in seconds.
    pub paid_s: f64,
}

/// A configuration with a queue and a pool for each of `queues`, and a standby pool.
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

/// A worker of 32 cores, four to a rack.
pub fn large_worker(number: usize, id: &str, pool: &str) -> WorkerEntry {
    let capacity = ResourceVector { cpu_milli: 32_000, memory_mib: 128_000, accelerators: 0 };
    let rack = format!("r1-{}", number / 4);
    WorkerEntry { capacity, rack: rack.into(), ..worker_entry(id, pool) }
}

impl World {
    /// Creates a fleet of `queues` pools with `each` machines of 32 cores, and as many on standby.
    pub fn of_machines(queues: usize, each: usize, seed: u64) -> World {
        let mut entries = Vec::new();
        let mut machines = Machines::default();
        for number in 0..(queues + 1) * each {
            let pool = match number / each {
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
            machines.list.insert(format!("m{number:03}").into(), instance);
            if !standby {
                entries.push(large_worker(number, &id, &pool));
            }
        }
        let mut world = World::of(config_of_queues(queues), entries, Default::default(), seed);
        world.machines = machines;
        world
    }

    /// Plans moves as often as a daemon does, carries them out, and counts their cost.
    pub(crate) fn run_machines(&mut self) {
        if self.machines.list.is_empty() {
            return;
        }
        let paid = self.machines.list.values().filter(|instance| &*instance.pool != STANDBY);
        self.machines.paid_s += paid.count() as f64 * TICK.as_secs_f64();
        self.arrive();
        if self.machines.next_plan.is_some_and(|at| at > self.now) {
            return;
        }
        self.machines.next_plan = Some(self.now + PLAN_EVERY);
        self.engine.list_instances(self.machines.list.clone(), self.now, self.now, &mut Vec::new());
        for order in self.engine.plan_moves(self.now) {
            let FleetOrder::Move { instance, pool } = order else { continue };
            self.move_machine(instance, pool);
        }
    }

    fn move_machine(&mut self, id: InstanceId, pool: PoolId) {
        let machine = self.machines.list.get_mut(&id).expect("only listed machines are moved");
        let standby = &*pool == STANDBY;
        machine.state = if standby { InstanceState::Down } else { InstanceState::Moving };
        machine.pool = pool;
        if let Some(worker) = machine.worker.take() {
            self.workers.remove(&worker);
            self.engine.mark_worker_unlisted(&worker);
        }
        if !standby {
            self.machines.arrivals.insert(id.clone(), self.now + limits().move_time);
        }
        self.machines.moves += 1;
        self.engine.apply_move_outcome(&id, FleetOutcome::Accepted, self.now);
    }

    fn arrive(&mut self) {
        let now = self.now;
        let arrived: Vec<InstanceId> = self
            .machines
            .arrivals
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in arrived {
            self.machines.arrivals.remove(&id);
            self.machines.lives += 1;
            let machine = self.machines.list.get_mut(&id).expect("it is listed");
            let worker: InstanceId = format!("{id}-{}", self.machines.lives).into();
            machine.state = InstanceState::Up;
            machine.worker = Some(worker.clone());
            let number = id[1..].parse().expect("machines are numbered");
            let entry = large_worker(number, &worker, &machine.pool);
            self.workers.insert(worker, FakeWorker::new(entry.clone(), now, 1.0));
            self.engine.upsert_worker(entry, now);
        }
    }
}
