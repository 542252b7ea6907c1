//! Settings, jobs, workers and instances of the simulated fleets.

use std::time::Duration;

use wasabiswitch_policy::fleet::Limits;
use wasabiswitch_policy::fleet::maintenance::{Instance, InstanceState};
use wasabiswitch_policy::fleet::outcomes::DELIVERY_DELAY_MAX;
use wasabiswitch_policy::fleet::spec::{ResourceVector, Step, Submission};
use wasabiswitch_policy::fleet::state::{QueueSettings, WorkerEntry};
use wasabiswitch_standin::fleet::single_queue_config;
use wasabiswitch_standin::fleet_worker::LEASE_MAX;

/// Time for which orders of a predecessor can have an effect, on a worker whose clock is not slow.
pub const PREDECESSOR_EFFECT_MAX: Duration = DELIVERY_DELAY_MAX.saturating_add(LEASE_MAX);

/// Returns the limits that the users' platform specifies.
pub fn limits() -> Limits {
    Limits {
        status_retention: Duration::from_secs(120),
        lease_max: LEASE_MAX,
        move_time: Duration::from_millis(1_500),
        maintenance_time: Duration::from_secs(2),
        instance_calls_per_s: 64,
    }
}

/// Returns the settings of the queue `q`, whose tasks run in the pool `p`.
pub fn queue_settings() -> QueueSettings {
    single_queue_config("spare", 0).routes.remove(0).queue_settings
}

/// Returns a step of `count` tasks, each using one core.
pub fn step(count: u32, estimate_ms: u64) -> Step {
    let resources = ResourceVector { cpu_milli: 1_000, memory_mib: 100, accelerators: 0 };
    Step { count, resources, estimate_ms, ..Step::default() }
}

/// Returns a job of the team `t` in the queue `q`.
pub fn submission(job: &str, steps: Vec<Step>) -> Submission {
    Submission {
        job: job.into(),
        queue: "q".into(),
        team: "t".into(),
        spec: String::new(),
        steps,
        repeats: 0,
        first_unix_ms: 0,
        period_ms: 0,
    }
}

/// Returns the directory entry of a worker with four cores.
pub fn worker_entry(id: &str, pool: &str) -> WorkerEntry {
    WorkerEntry {
        id: id.into(),
        address: "127.0.0.1:1".into(),
        pool: pool.into(),
        data_centre: "dc".into(),
        draining: false,
        capacity: ResourceVector { cpu_milli: 4_000, memory_mib: 10_000, accelerators: 0 },
        labels: vec!["a".into(), format!("r1-{id}")],
        rack: format!("r1-{id}").into(),
        incarnation: 1,
    }
}

/// Returns an instance that is up and runs a worker.
pub fn instance(worker: &str, pool: &str) -> Instance {
    Instance {
        pool: pool.into(),
        state: InstanceState::Up,
        worker: Some(worker.into()),
        labels: Vec::new(),
    }
}
