//! Jobs, their steps and tasks, and the attempts at a task.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::settings::QueueSettings;
use super::spec::{Step, Submission};
use super::state::{JobKey, WorkerKey};
use crate::ids::JobId;

/// Names a task as workers know it.
#[derives(record)]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// The occurrence; zero for a job without a schedule.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// The task's number in its step.
    pub index: u32,
}

/// Names a task inside one engine.
#[derives(value)]
pub struct TaskRef {
    /// The job.
    pub job: JobKey,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// The task's number in its step.
    pub index: u32,
}

impl TaskRef {
    /// Returns the name of the task's step, as that of its first task.
    pub fn first_task_of_step(&self) -> TaskRef {
        TaskRef { index: 0, ..*self }
    }
}

/// How far an order to start has come.
#[derives(value)]
pub enum RunState {
    /// The start was sent.
    Starting,
    /// The worker has confirmed the start at this time.
    Running(Instant),
    /// The answer to the start was lost; the run may appear until `start_expires_by`.
    Unconfirmed,
    /// It is to end.
    Stopping {
        /// When a stop was sent last, if ever.
        sent: Option<Instant>,
        /// When the worker acknowledged a stop.
        acknowledged: Option<Instant>,
    },
}

impl RunState {
    /// Returns the name that operators are shown.
    pub fn as_str(&self) -> &'static str {
        match self {
            RunState::Starting => "starting",
            RunState::Running(_) => "running",
            RunState::Unconfirmed => "doubtful",
            RunState::Stopping { .. } => "stopping",
        }
    }
}

/// One attempt at a task on one worker.
#[derives(record)]
pub struct Run {
    /// The number of the attempt.
    pub attempt: u32,
    /// The worker.
    pub worker: WorkerKey,
    /// How far it has come.
    pub state: RunState,
    /// When the start was sent.
    pub sent: Instant,
    /// When the start can surely no longer take effect.
    pub start_expires_by: Instant,
    /// The progress in percent that the worker reported last.
    pub percent: u32,
    /// When the progress changed last.
    pub last_progress: Instant,
    /// The worker's gauge: the tail in milliseconds of a task that serves, else processors in use.
    pub gauge: f64,
    /// The part of its speed that the run was told to work at, in percent.
    pub pace_percent: u32,
}

impl Run {
    /// Reports whether the run is to end.
    pub fn is_stopping(&self) -> bool {
        matches!(self.state, RunState::Stopping { .. })
    }
}

/// One task of a step.
#[derives(record)]
#[derive(Default)]
pub struct Task {
    /// Whether it has ended well.
    pub done: bool,
    /// The attempts of this owner so far.
    pub attempts: u32,
    /// The attempts that failed, since a new owner may be told of the same end again.
    pub failures: Vec<u32>,
    /// From where the next attempt resumes; empty for the start.
    pub checkpoint: String,
    /// When the next attempt may start.
    pub not_before: Option<Instant>,
    /// Until when an attempt of an earlier owner may be running out of sight.
    pub unconfirmed_until: Option<Instant>,
    /// The workers on which it failed.
    pub failed_on: Vec<WorkerKey>,
    /// The attempts that may be running.
    pub runs: Vec<Run>,
    /// When it was last seen at work, for tasks that run until they are cancelled.
    pub last_ready: Option<Instant>,
}

/// A step of one occurrence.
#[derives(record)]
pub struct StepState {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// The tasks that have ended well.
    pub done: u32,
}

impl StepState {
    /// Reports whether all tasks have ended well.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

/// One run of all steps of a job.
#[derives(record)]
pub struct Occurrence {
    /// When it is due.
    pub due: Instant,
    /// The steps.
    pub steps: Vec<StepState>,
}

impl Occurrence {
    /// Creates an occurrence of which nothing has run.
    pub fn new(steps: &[Step], due: Instant) -> Occurrence {
        let step_run =
            |step: &Step| StepState { tasks: vec![Task::default(); step.count as usize], done: 0 };
        Occurrence { due, steps: steps.iter().map(step_run).collect() }
    }

    /// Reports whether all steps have ended well.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// Reports whether the steps before `step` have ended well.
    pub fn is_open(&self, step: &Step) -> bool {
        step.after.iter().all(|after| self.steps[*after as usize].is_done())
    }
}

/// How far a job has come.
#[derives(value)]
pub enum Phase {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks have ended well.
    Done,
    /// A task has used up its attempts.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl Phase {
    /// Returns the name that operators are shown.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Queued => "queued",
            Phase::Running => "running",
            Phase::Done => "done",
            Phase::Failed => "failed",
            Phase::Cancelled => "cancelled",
        }
    }

    /// Reports whether nothing more starts.
    pub fn is_ended(self) -> bool {
        matches!(self, Phase::Done | Phase::Failed | Phase::Cancelled)
    }
}

/// A job.
#[derives(record)]
pub struct Job {
    /// What was submitted.
    pub submission: Arc<Submission>,
    /// What the configuration said of its queue at submission, in case the queue is removed.
    pub queue_settings: QueueSettings,
    /// The fence of the owner that accepted it.
    pub accepted_fence: u64,
    /// When it was accepted here, or read back.
    pub accepted: Instant,
    /// How far it has come.
    pub phase: Phase,
    /// The phase that is written down, which callers are shown.
    pub visible_phase: Phase,
    /// When it ended.
    pub ended: Option<Instant>,
    /// Whether only its phase is kept, here and in the store.
    pub retired: bool,
    /// The occurrences that are due and not done, by number.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// The number of the next occurrence.
    pub next_occurrence: u32,
    /// When the first occurrence is due.
    pub first_due: Instant,
}

impl Job {
    /// Returns the number of occurrences that the job has in all.
    pub fn occurrences_total(&self) -> u32 {
        self.submission.repeats.max(1)
    }

    /// Returns when an occurrence is due.
    pub fn due(&self, occurrence: u32) -> Instant {
        let after_ms = self.submission.period_ms.saturating_mul(u64::from(occurrence));
        self.first_due + Duration::from_millis(after_ms)
    }

    /// Returns the task, if its occurrence is live.
    pub fn task(&self, name: &TaskRef) -> Option<&Task> {
        self.occurrences
            .get(&name.occurrence)?
            .steps
            .get(name.step as usize)?
            .tasks
            .get(name.index as usize)
    }

    /// Returns the task for a change, if its occurrence is live.
    pub fn task_mut(&mut self, name: &TaskRef) -> Option<&mut Task> {
        self.occurrences
            .get_mut(&name.occurrence)?
            .steps
            .get_mut(name.step as usize)?
            .tasks
            .get_mut(name.index as usize)
    }

    /// Reports whether any task may be running.
    pub fn has_runs(&self) -> bool {
        let tasks = self.occurrences.values().flat_map(|o| &o.steps).flat_map(|s| &s.tasks);
        tasks.into_iter().any(|task| !task.runs.is_empty())
    }

    /// Reports whether the job can still be done within its objective, if all that can run now runs at once.
    pub fn can_meet_objective(&self, now: Instant) -> bool {
        // A step of which only the last tasks run is about to end.
        let starts =
            |run: &StepState| run.tasks.iter().any(|task| !task.done && task.runs.is_empty());
        let left = self.occurrences.values().map(|occurrence| {
            self.submission.critical_path_of(|step| occurrence.steps.get(step).is_none_or(starts))
        });
        now + left.max().unwrap_or(Duration::ZERO) <= self.objective()
    }

    /// Returns the time by which the job should be done to be of full value.
    pub fn objective(&self) -> Instant {
        let critical_path =
            self.submission.critical_path().mul_f64(self.queue_settings.slack_factor);
        self.accepted + critical_path + Duration::from_millis(self.queue_settings.objective_ms)
    }
}
