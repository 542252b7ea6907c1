//! What the platform and the configuration state: bounds, queues, pools and teams.

use std::time::Duration;

use wasabiswitch_derive::derives;

use super::spec::ResourceVector;
use crate::ids::PoolId;

/// The bounds that the platform states, and that the engine plans by.
#[derives(record)]
pub struct Limits {
    /// How long a job's state stays readable after its end.
    pub status_retention: Duration,
    /// How long an instance takes to change its pool.
    pub move_time: Duration,
    /// How long the upkeep of an instance takes.
    pub maintenance_time: Duration,
    /// The moves and upkeeps that the machine service takes in a second, from all daemons together.
    pub instance_calls_per_s: u32,
}

/// What the configuration says of a queue.
#[derives(record)]
#[derive(Default)]
pub struct QueueSettings {
    /// The pool whose workers run its tasks.
    pub pool: PoolId,
    /// The priority; zero comes first.
    pub priority: u32,
    /// The runs of a task that may fail before the job has failed.
    pub attempts_max: u32,
    /// The objective for a job's time, as a multiple of its longest chain of work.
    pub slack_factor: f64,
    /// What the objective adds to the chain, in milliseconds.
    pub objective_ms: u64,
    /// Whether tasks need a ticket of the advice service.
    pub requires_advice: bool,
}

/// What the configuration says of a pool.
#[derives(record)]
#[derive(Default)]
pub struct PoolSettings {
    /// Whether its instances are off until they are moved elsewhere.
    pub standby: bool,
}

/// What the configuration says of a team, and what it uses.
#[derives(record)]
pub struct Team {
    /// Its share when the fleet is full.
    pub weight: u64,
    /// The most it may have running; zero in a field for no limit.
    pub cap: ResourceVector,
    /// What it has running, as far as it may be running.
    pub used: ResourceVector,
}

impl Team {
    /// Reports whether the team may have `more` running on top.
    pub fn admits(&self, more: &ResourceVector) -> bool {
        let within = |used: u64, more: u64, cap: u64| cap == 0 || used + more <= cap;
        within(self.used.cpu_milli, more.cpu_milli, self.cap.cpu_milli)
            && within(self.used.memory_mib, more.memory_mib, self.cap.memory_mib)
            && within(self.used.accelerators, more.accelerators, self.cap.accelerators)
    }
}
