//! Specification of jobs: steps of tasks, their resources and constraints, and the dependencies between steps.

use std::time::Duration;

use wasabiswitch_derive::derives;

use crate::ids::{JobId, QueueId, TeamId};

/// Maximum number of tasks of one job over all its steps; jobs in use have at most a few hundred.
pub const TASKS_MAX: u32 = 10_000;
/// Maximum number of steps of one job.
pub const STEPS_MAX: usize = 256;
/// Maximum number of occurrences of one scheduled job.
pub const OCCURRENCES_MAX: u32 = 100_000;

/// Maximum declared run time of a task, ten years; with it times that are derived from a job can be represented.
pub const ESTIMATE_MAX_MS: u64 = 10 * 365 * 24 * 3_600_000;

/// A quantity of each resource.
#[derives(value)]
#[derive(Default)]
pub struct ResourceVector {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl ResourceVector {
    /// Returns whether `self` is within `capacity` in every component.
    pub fn fits(&self, capacity: &ResourceVector) -> bool {
        self.cpu_milli <= capacity.cpu_milli
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the sum by component, saturating at the largest number.
    pub fn plus(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference by component, at least zero.
    pub fn saturating_sub(&self, used: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpu_milli: self.cpu_milli.saturating_sub(used.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(used.memory_mib),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }

    /// Returns the minimum by component.
    pub fn component_min(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the product of each component and `count`, saturating at the largest number.
    pub fn times(&self, count: u64) -> ResourceVector {
        ResourceVector {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns the largest ratio of a component to the same component of `whole`, which may exceed 1.
    pub fn dominant_share(&self, whole: &ResourceVector) -> f64 {
        let part = |used: u64, of: u64| if of == 0 { 0.0 } else { used as f64 / of as f64 };
        part(self.cpu_milli, whole.cpu_milli)
            .max(part(self.memory_mib, whole.memory_mib))
            .max(part(self.accelerators, whole.accelerators))
    }
}

/// One step of a job: a number of identical tasks.
#[derives(record)]
#[derive(Default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources of each task.
    pub resources: ResourceVector,
    /// Declared run time of a task, in milliseconds; a rough estimate.
    pub estimate_ms: u64,
    /// Indices of the earlier steps that have to complete before this one starts.
    pub after: Vec<u32>,
    /// Whether the tasks checkpoint their progress.
    pub checkpoints: bool,
    /// Whether the tasks are a gang, which runs only as a whole.
    pub gang: bool,
    /// Whether the tasks run slower when they are spread over several racks.
    pub rack_local: bool,
    /// Label that the worker must have; empty for any worker.
    pub required_label: String,
    /// Rack that holds the input data; empty for none.
    pub data_rack: String,
    /// Maximum number of tasks of one occurrence on one worker; zero for no limit.
    pub per_worker_max: u32,
    /// Whether two attempts at a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Target for the tail latency of the tasks, in milliseconds; zero for none.
    pub latency_target_ms: u64,
    /// Whether the tasks are fillers: they use only processor time that other tasks leave, and reserve none.
    pub fills: bool,
    /// Maximum number of tasks that the system's own actions may make unavailable at once.
    pub unavailable_max: u32,
}

impl Step {
    /// Returns the resources that a task reserves on a worker.
    pub fn reserved(&self) -> ResourceVector {
        if self.fills { ResourceVector { cpu_milli: 0, ..self.resources } } else { self.resources }
    }
}

/// A job as its caller submitted it.
#[derives(record)]
pub struct Submission {
    /// Id of the job, chosen by the caller.
    pub job: JobId,
    /// Queue that the job was submitted to.
    pub queue: QueueId,
    /// Team that the job is accounted to; empty for a queue without keys.
    pub team: TeamId,
    /// Text of the specification, which is passed to the workers.
    pub spec: String,
    /// Steps of the job; a step depends only on earlier ones.
    pub steps: Vec<Step>,
    /// Number of occurrences; zero for a job without a schedule.
    pub repeats: u32,
    /// Time at which the first occurrence is due, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// Interval between occurrences, in milliseconds.
    pub period_ms: u64,
}

/// Reason for which a submission is malformed.
#[derives(record)]
#[derive(Eq, thiserror::Error)]
pub enum SpecError {
    /// The job has no steps, or more than [`STEPS_MAX`].
    #[error("a job has 1 to {STEPS_MAX} steps, not {0}")]
    Steps(usize),
    /// A step has no tasks.
    #[error("step {0} has no tasks")]
    NoTasks(usize),
    /// The job has more than [`TASKS_MAX`] tasks.
    #[error("a job has at most {TASKS_MAX} tasks")]
    TooManyTasks,
    /// A step depends on itself or on a later step.
    #[error("step {step} waits for step {after}, which is not an earlier one")]
    Order {
        /// Index of the step.
        step: usize,
        /// Index of the step that it depends on.
        after: u32,
    },
    /// The declared run time of a task exceeds [`ESTIMATE_MAX_MS`].
    #[error("the estimate of step {0} is above {ESTIMATE_MAX_MS} ms")]
    Estimate(usize),
    /// The job has more than [`OCCURRENCES_MAX`] occurrences.
    #[error("a job has at most {OCCURRENCES_MAX} occurrences")]
    TooManyOccurrences,
}

impl Submission {
    /// Creates the placeholder for the submission of a job of which only the id is kept.
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

    /// Checks the rules for submissions that do not depend on the state of the fleet.
    pub fn validate(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX {
            return Err(SpecError::Steps(self.steps.len()));
        }
        let mut tasks = 0u32;
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(SpecError::NoTasks(number));
            }
            if step.estimate_ms > ESTIMATE_MAX_MS {
                return Err(SpecError::Estimate(number));
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

    /// Returns the memory that the submission takes, in bytes.
    ///
    /// It can be several times the size of the text from which the submission was read: a number of two bytes there takes
    /// four bytes here, and a step of twenty bytes ten times as much.
    pub fn memory_bytes(&self) -> usize {
        let step = |step: &Step| {
            let texts = [&step.required_label, &step.data_rack, &step.image];
            let texts_bytes: usize = texts.iter().map(|text| text.capacity()).sum();
            texts_bytes + step.after.capacity() * size_of::<u32>()
        };
        self.spec.capacity()
            + self.steps.capacity() * size_of::<Step>()
            + self.steps.iter().map(step).sum::<usize>()
    }

    /// Returns whether the job runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns the length of the critical path through the steps, by declared run times.
    pub fn critical_path(&self) -> Duration {
        self.critical_path_of(|_| true)
    }

    /// Returns the length of the critical path, where only steps whose index satisfies `counts` add their run time.
    pub fn critical_path_of(&self, counts: impl Fn(usize) -> bool) -> Duration {
        let mut ends_ms = vec![0u64; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate() {
            let before = step.after.iter().filter_map(|after| ends_ms.get(*after as usize));
            let own_ms = if counts(number) { step.estimate_ms } else { 0 };
            ends_ms[number] = before.max().copied().unwrap_or(0).saturating_add(own_ms);
        }
        Duration::from_millis(ends_ms.into_iter().max().unwrap_or(0))
    }

    /// Returns the declared work, in thousandths of a core times milliseconds, without fillers.
    pub fn work_milli_ms(&self) -> u64 {
        let work = |step: &Step| {
            let task = step.resources.cpu_milli.saturating_mul(step.estimate_ms);
            task.saturating_mul(u64::from(step.count))
        };
        let steps = self.steps.iter().filter(|step| !step.fills);
        steps.map(work).fold(0, u64::saturating_add)
    }
}
