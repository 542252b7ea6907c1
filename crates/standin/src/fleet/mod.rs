//! An in-memory version of the users' platform: rows, feeds, workers and instances, for whole daemons on paused time.
//!
//! Each start is checked against the runs on all workers, and each maintenance call and wave report against the
//! instances; violations are recorded in a [`History`]. The checks do not use leases, fences or attempts, so that they
//! detect the violations that these mechanisms fail to prevent. Every call first takes the next fault from
//! [`Faults`], except the feed of the directory.

pub mod advice;
mod port;
mod state;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::clock::Clock;
use wasabiswitch_kernel::platform::Platform;
use wasabiswitch_kernel::platform::fleet::{DirectoryItem, OperatorItem, WaveRequest};
use wasabiswitch_kernel::plugin::{PlatformKind, registered_for_platform};
use wasabiswitch_kernel::settings::{Settings, read_text};
use wasabiswitch_policy::fleet::config::{FleetConfig, Route};
use wasabiswitch_policy::fleet::maintenance::{Instance, InstanceState, WaveNumber};
use wasabiswitch_policy::fleet::spec::ResourceVector;
use wasabiswitch_policy::fleet::state::{PoolSettings, QueueSettings, TaskName};
use wasabiswitch_policy::ids::{BootId, InstanceId};

use self::advice::AdviceQueue;
pub use self::state::History;
use self::state::{InstanceRecord, State};
use crate::cluster::simulated_clock;
use crate::faults::Faults;
use crate::network::MemoryNetwork;

/// Resources that every task requires; they are constant so that the checks need not read jobs.
pub const TASK_RESOURCES: ResourceVector =
    ResourceVector { cpu_milli: 1_000, memory_mib: 10, accelerators: 0 };
/// Capacity of every worker.
pub const WORKER_CAPACITY: ResourceVector =
    ResourceVector { cpu_milli: 2_000, memory_mib: 4_000, accelerators: 0 };

/// Data centre of every instance that is not assigned to another one.
const DATA_CENTRE: &str = "dc";

/// Returns a configuration with the queue `q` in the pool `p`, a standby pool, and the team `t` with a cap on its CPU.
pub fn single_queue_config(standby: &str, cap_milli: u64) -> FleetConfig {
    let queue_settings = QueueSettings {
        pool: "p".into(),
        priority: 0,
        attempts_max: 2,
        slack_factor: 1.6,
        objective_ms: 600,
        requires_advice: false,
    };
    let route = Route {
        queue: "q".into(),
        host: "h".into(),
        prefix: "/q/".into(),
        open: false,
        queue_settings,
    };
    let cap = ResourceVector { cpu_milli: cap_milli, ..ResourceVector::default() };
    let pools =
        [("p".into(), PoolSettings::default()), (standby.into(), PoolSettings { standby: true })];
    FleetConfig {
        version: 1,
        routes: vec![route],
        pools: BTreeMap::from(pools),
        teams: BTreeMap::from([("t".into(), (1, cap))]),
        keys: Default::default(),
    }
}

/// The in-memory platform; clones share its state.
#[derive(Clone, Debug)]
pub struct FleetStandIn {
    state: Arc<Mutex<State>>,
    faults: Faults,
    clock: Clock,
    network: MemoryNetwork,
    cap_milli: u64,
}

impl FleetStandIn {
    /// Creates a platform with the given number of instances in each pool; `cap_milli` is the CPU cap of the only team.
    pub fn new(pools: &[(&str, usize)], cap_milli: u64) -> FleetStandIn {
        let clock = simulated_clock(Arc::default());
        let mut state = State::new(clock.now());
        for (pool, count) in pools {
            for number in 0..*count {
                let id: InstanceId = format!("{pool}-{number}").as_str().into();
                let worker = state.add_worker((*pool).into(), DATA_CENTRE.into());
                let listed = Instance {
                    pool: (*pool).into(),
                    state: InstanceState::Up,
                    worker: Some(worker),
                    labels: Vec::new(),
                };
                let record = InstanceRecord {
                    listed,
                    data_centre: DATA_CENTRE.into(),
                    fence: 0,
                    scheduled_return: None,
                    maintenance_waves: Vec::new(),
                };
                state.instances.insert(id, record);
            }
        }
        FleetStandIn {
            state: Arc::new(Mutex::new(state)),
            faults: Faults::default(),
            clock,
            network: MemoryNetwork::default(),
            cap_milli,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.advance(self.clock.now());
        state
    }

    /// Returns the handle that injects faults into the calls of the platform.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns the network that connects the daemons.
    pub fn network(&self) -> &MemoryNetwork {
        &self.network
    }

    /// Returns a copy of the history so far.
    pub fn history(&self) -> History {
        self.state().history.clone()
    }

    /// Returns the tasks of all runs on all workers, one entry per run.
    pub fn running(&self) -> Vec<TaskName> {
        let state = self.state();
        let runs = state.workers.values().flat_map(|worker| &worker.runs);
        runs.map(|run| run.task.clone()).collect()
    }

    /// Returns how often each instance was taken down for a wave; instances without maintenance are left out.
    pub fn maintenance_counts(&self, wave: WaveNumber) -> BTreeMap<InstanceId, usize> {
        let state = self.state();
        let count = |record: &InstanceRecord| {
            record.maintenance_waves.iter().filter(|w| **w == wave).count()
        };
        let counts = state.instances.iter().map(|(id, record)| (id.clone(), count(record)));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Returns whether the owner has reported a wave as done.
    pub fn is_wave_done(&self, wave: WaveNumber) -> bool {
        self.state().waves_done.contains(&wave)
    }

    /// Restarts a worker under its id, and lists the entry of its new incarnation, which it returns.
    pub fn restart_worker(&self, id: &str) -> BootId {
        let mut state = self.state();
        let now = state.now;
        let worker = state.workers.get_mut(id).expect("the worker exists");
        worker.crash(now);
        let entry = worker.entry.clone();
        let incarnation = entry.incarnation;
        state.directory.push(DirectoryItem::Listed(entry));
        incarnation
    }

    /// Assigns instances to a data centre, and lists their workers there.
    pub fn assign_data_centre(&self, instances: &[&str], data_centre: &str) {
        let mut guard = self.state();
        let state = &mut *guard;
        for id in instances {
            let record = state.instances.get_mut(*id).expect("the instance exists");
            record.data_centre = data_centre.into();
            let worker = record.listed.worker.as_ref().and_then(|id| state.workers.get_mut(id));
            let worker = worker.expect("the instance has a worker");
            worker.entry.data_centre = data_centre.into();
            state.directory.push(DirectoryItem::Listed(worker.entry.clone()));
        }
    }

    /// Sets or lifts the evacuation of a data centre; starts there are checked from then on.
    pub fn evacuate(&self, data_centre: &str, active: bool) {
        let mut state = self.state();
        let now = state.now;
        match active {
            true => state.evacuations.insert(data_centre.into(), now),
            false => state.evacuations.remove(data_centre),
        };
        let data_centre = data_centre.into();
        state.operator.push(OperatorItem::Evacuation { data_centre, active });
    }

    /// Counts the runs on the workers of a data centre.
    pub fn running_in(&self, data_centre: &str) -> usize {
        let state = self.state();
        let workers = state.workers.values().filter(|w| *w.entry.data_centre == *data_centre);
        workers.map(|worker| worker.runs.len()).sum()
    }

    /// Adds an advice service.
    pub fn set_advice(&self, queue: AdviceQueue) {
        self.state().advice = Some(queue);
    }

    /// Appends an item to the operator's rows.
    pub fn put_operator_item(&self, item: OperatorItem) {
        self.state().operator.push(item);
    }

    /// Appends a configuration to the operator's rows.
    pub fn put_config(&self, config: FleetConfig) {
        self.put_operator_item(OperatorItem::Config(Arc::new(config)));
    }

    /// Appends a request for a maintenance wave over the given instances to the operator's rows.
    pub fn request_wave(&self, wave: WaveNumber, instances: &[&str], down_max: usize) {
        let instances = instances.iter().map(|id| (*id).into()).collect();
        let time_limit = Duration::from_secs(30);
        self.put_operator_item(OperatorItem::Wave(WaveRequest {
            wave,
            instances,
            time_limit,
            down_max,
        }));
    }

    fn settings(&self, name: &str, address: SocketAddr) -> Settings {
        let text = format!(
            r#"{{"daemon": "{name}", "data_centre": "dc", "entry_listen": "127.0.0.1:0",
                "control_listen": "{address}", "peer_key": "peer-key-of-the-tests",
                "platform": {{"fleet": {{"store": "10.9.0.1:1", "instances": "10.9.0.1:1",
                "readiness_listen": "127.0.0.1:0"}}}}}}"#,
        );
        read_text("settings", &text).expect("the settings are valid")
    }

    /// Starts the daemon `d<index>`.
    pub async fn start(&self, index: u8) -> Arc<Kernel> {
        let name = format!("d{index}");
        let address = SocketAddr::from(([10, 1, 0, index], 8081));
        let kernel = Kernel::new(
            self.settings(&name, address),
            Platform::from_fleet(self.port()),
            self.network.network_of(&name),
            self.clock.clone(),
            registered_for_platform(PlatformKind::Fleet),
        );
        let kernel = kernel.expect("the plug-ins fit together");
        self.network.host_control(address, &kernel);
        kernel.start_plugins().await.expect("the daemon starts");
        kernel
    }

    /// Stops a daemon's tasks and removes its control listener; like a killed process, the daemon releases nothing.
    pub fn kill(&self, index: u8, kernel: &Kernel) {
        kernel.tasks.stop();
        self.network.remove(SocketAddr::from(([10, 1, 0, index], 8081)));
    }
}
