//! What a job asks for: steps of tasks, their resources, and the order between them.

use std::time::Duration;

use wasabiswitch_derive::derives;

use crate::ids::{JobId, QueueId, TeamId};

/// The most tasks of one job over all its steps; a job of the users has at most a few hundred.
pub const TASKS_MAX: u32 = 10_000;
/// The most steps of one job.
pub const STEPS_MAX: usize = 256;
/// The most occurrences of one scheduled job.
pub const OCCURRENCES_MAX: u32 = 100_000;

/// An amount of each resource.
#[derives(value)]
#[derive(Default)]
pub struct ResourceVector {
    /// Processors, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl ResourceVector {
    /// Reports whether `self` fits into `room`.
    pub fn fits(&self, capacity: &ResourceVector) -> bool {
        self.cpu_milli <= capacity.cpu_milli
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the sum of two amounts.
    pub fn plus(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Returns what is left of `self` after `used`.
    pub fn saturating_sub(&self, used: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpu_milli: self.cpu_milli.saturating_sub(used.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(used.memory_mib),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }

    /// Returns the smaller of two amounts, resource by resource.
    pub fn component_min(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the amount `count` times.
    pub fn times(&self, count: u64) -> ResourceVector {
        ResourceVector {
            cpu_milli: self.cpu_milli * count,
            memory_mib: self.memory_mib * count,
            accelerators: self.accelerators * count,
        }
    }

    /// Returns the largest part of `whole` that the amount takes, between 0 and 1 or above.
    pub fn dominant_share(&self, whole: &ResourceVector) -> f64 {
        let part = |used: u64, of: u64| if of == 0 { 0.0 } else { used as f64 / of as f64 };
        part(self.cpu_milli, whole.cpu_milli)
            .max(part(self.memory_mib, whole.memory_mib))
            .max(part(self.accelerators, whole.accelerators))
    }
}

/// One step of a job: tasks that are alike.
#[derives(record)]
#[derive(Default)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// What each task needs.
    pub resources: ResourceVector,
    /// The declared run time of a task, in milliseconds; a rough estimate.
    pub estimate_ms: u64,
    /// The earlier steps whose tasks must all have ended well first.
    pub after: Vec<u32>,
    /// Whether the tasks checkpoint their progress.
    pub checkpoints: bool,
    /// Whether the tasks run only together.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub rack_local: bool,
    /// A label that the worker must have; empty for any.
    pub required_label: String,
    /// The rack that holds the data; empty for none.
    pub data_rack: String,
    /// The most tasks of one occurrence on one worker; zero for any number.
    pub per_worker_max: u32,
    /// Whether copies of a task may run at once.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// The bound for the tail of the tasks' response times, in milliseconds; zero for none.
    pub latency_target_ms: u64,
    /// Whether the processors are not counted, since the tasks use only what others leave.
    pub fills: bool,
    /// How many tasks may be unavailable at once through the system's own actions.
    pub unavailable_max: u32,
}

impl Step {
    /// Returns what a task takes of a worker's capacity.
    pub fn reserved(&self) -> ResourceVector {
        if self.fills { ResourceVector { cpu_milli: 0, ..self.resources } } else { self.resources }
    }
}

/// What was submitted.
#[derives(record)]
pub struct Submission {
    /// The job's id, which the caller chose.
    pub job: JobId,
    /// The queue.
    pub queue: QueueId,
    /// The team that the job counts for; empty on a queue that is open to all.
    pub team: TeamId,
    /// What each worker is given.
    pub spec: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// How often the steps run; zero for a job without a schedule.
    pub repeats: u32,
    /// When the first occurrence is due, in milliseconds of the Unix clock.
    pub first_unix_ms: u64,
    /// The time between occurrences, in milliseconds.
    pub period_ms: u64,
}

/// Why a submission is malformed.
#[derives(record)]
#[derive(Eq, thiserror::Error)]
pub enum SpecError {
    /// There are no steps, or too many.
    #[error("a job has 1 to {STEPS_MAX} steps, not {0}")]
    Steps(usize),
    /// A step has no tasks.
    #[error("step {0} has no tasks")]
    NoTasks(usize),
    /// There are too many tasks.
    #[error("a job has at most {TASKS_MAX} tasks")]
    TooManyTasks,
    /// A step waits for itself or for a later one.
    #[error("step {step} waits for step {after}, which is not an earlier one")]
    Order {
        /// The step.
        step: usize,
        /// The step that it waits for.
        after: u32,
    },
    /// There are too many occurrences.
    #[error("a job has at most {OCCURRENCES_MAX} occurrences")]
    TooManyOccurrences,
}

impl Submission {
    /// Returns what is left of a submission of which only the id is kept.
    pub fn id_only(job: JobId) -> Submission {
        Submission {
            job,
            queue: "".into(),
            team: "".into(),
            spec: String::new(),
            steps: Vec::new(),
            repeats: 0,
            first_unix_ms: 0,
            period_ms: 0,
        }
    }

    /// Checks what must hold whatever the fleet looks like.
    pub fn validate(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX {
            return Err(SpecError::Steps(self.steps.len()));
        }
        let mut tasks = 0u32;
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(SpecError::NoTasks(number));
            }
            tasks = tasks.saturating_add(step.count);
            if let Some(&after) = step.after.iter().find(|after| **after as usize >= number) {
                return Err(SpecError::Order { step: number, after });
            }
        }
        if tasks > TASKS_MAX {
            return Err(SpecError::TooManyTasks);
        }
        if self.repeats > OCCURRENCES_MAX {
            return Err(SpecError::TooManyOccurrences);
        }
        Ok(())
    }

    /// Reports whether the job runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns the longest chain of declared run times.
    pub fn critical_path(&self) -> Duration {
        self.critical_path_of(|_| true)
    }

    /// Returns the longest chain of declared run times, of the steps that `counts` names by their number.
    pub fn critical_path_of(&self, counts: impl Fn(usize) -> bool) -> Duration {
        let mut ends_ms = vec![0u64; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate() {
            let before = step.after.iter().filter_map(|after| ends_ms.get(*after as usize));
            let own_ms = if counts(number) { step.estimate_ms } else { 0 };
            ends_ms[number] = before.max().copied().unwrap_or(0).saturating_add(own_ms);
        }
        Duration::from_millis(ends_ms.into_iter().max().unwrap_or(0))
    }

    /// Returns the declared work, in thousandths of a core times milliseconds.
    pub fn work_milli_ms(&self) -> u64 {
        let work = |step: &Step| {
            u64::from(step.count) * step.resources.cpu_milli.saturating_mul(step.estimate_ms)
        };
        self.steps.iter().filter(|step| !step.fills).map(work).sum()
    }
}
