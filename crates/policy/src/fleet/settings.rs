//! Bounds that the platform states, and the configured settings of queues, pools and teams.

use std::time::Duration;

use wasabiswitch_derive::derives;

use super::spec::ResourceVector;
use crate::ids::PoolId;

/// Bounds that the platform states and that the engine uses for planning.
#[derives(record)]
pub struct Limits {
    /// Time for which the status of a job stays readable after its end.
    pub status_retention: Duration,
    /// Longest lease that a worker grants; it shortens a longer one.
    pub lease_max: Duration,
    /// Time that the move of an instance to another pool takes.
    pub move_time: Duration,
    /// Time that the maintenance of an instance takes.
    pub maintenance_time: Duration,
    /// Maximum number of move and maintenance calls per second that the instance service accepts, over all daemons.
    pub instance_calls_per_s: u32,
}

/// Configured settings of a queue.
#[derives(record)]
#[derive(Default)]
pub struct QueueSettings {
    /// Pool whose workers run the tasks of the queue.
    pub pool: PoolId,
    /// Priority of the queue's jobs; zero is the highest.
    pub priority: u32,
    /// Number of failed attempts at one task with which the job fails.
    pub attempts_max: u32,
    /// Factor by which the critical path of a job is multiplied in the objective for its completion time.
    pub slack_factor: f64,
    /// Constant part of the objective, in milliseconds.
    pub objective_ms: u64,
    /// Whether a task starts only with a ticket of the advice service.
    pub requires_advice: bool,
}

/// Configured settings of a pool.
#[derives(record)]
#[derive(Default)]
pub struct PoolSettings {
    /// Whether the pool is the standby pool, whose instances are off until they are moved to another pool.
    pub standby: bool,
}

/// Configured weight and cap of a team, and its current use.
#[derives(record)]
pub struct Team {
    /// Weight of the team's share of a full pool.
    pub weight: u64,
    /// Maximum resources of the team's running tasks; a component of zero means no limit.
    pub cap: ResourceVector,
    /// Resources of the team's tasks that may be running.
    pub used: ResourceVector,
}

impl Team {
    /// Creates a team that the configuration does not have: with the smallest weight, without a cap, and without use.
    pub fn unconfigured() -> Team {
        Team { weight: 1, cap: ResourceVector::default(), used: ResourceVector::default() }
    }

    /// Returns whether `additional` resources are within the team's cap.
    pub fn admits(&self, additional: &ResourceVector) -> bool {
        let within = |used: u64, more: u64, cap: u64| cap == 0 || used + more <= cap;
        within(self.used.cpu_milli, additional.cpu_milli, self.cap.cpu_milli)
            && within(self.used.memory_mib, additional.memory_mib, self.cap.memory_mib)
            && within(self.used.accelerators, additional.accelerators, self.cap.accelerators)
    }
}
