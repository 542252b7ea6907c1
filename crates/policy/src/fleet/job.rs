//! Jobs, their steps and tasks, and the runs of a task on workers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::settings::QueueSettings;
use super::silent_records::RowVersion;
use super::spec::{Step, Submission};
use super::start_pools::StartPools;
use super::state::{JobKey, WorkerKey};
use crate::ids::JobId;

/// Name of a task in messages to workers, valid across owners.
#[derives(record)]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct TaskName {
    /// Id of the job.
    pub job: JobId,
    /// Number of the occurrence; zero for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u32,
    /// Index of the task in its step.
    pub index: u32,
}

/// Reference to a task, valid inside one engine only.
#[derives(value)]
pub struct TaskRef {
    /// Key of the job.
    pub job: JobKey,
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u32,
    /// Index of the task in its step.
    pub index: u32,
}

impl TaskRef {
    /// Returns the reference to the first task of the same step, which stands for the step.
    pub fn first_task_of_step(&self) -> TaskRef {
        TaskRef { index: 0, ..*self }
    }
}

/// State of a run.
#[derives(value)]
pub enum RunState {
    /// The start was sent and is not answered yet.
    Starting,
    /// The worker confirmed the run, by an answer or a report that arrived at this time.
    Running(Instant),
    /// The start got no answer; the run may still appear until [`Run::start_expires_by`].
    Unconfirmed,
    /// The run has to be stopped.
    Stopping {
        /// Time at which a stop was sent last.
        sent: Option<Instant>,
        /// Time at which the worker acknowledged a stop.
        acknowledged: Option<Instant>,
    },
}

impl RunState {
    /// Returns the name of the state in the views for operators.
    pub fn as_str(&self) -> &'static str {
        match self {
            RunState::Starting => "starting",
            RunState::Running(_) => "running",
            RunState::Unconfirmed => "doubtful",
            RunState::Stopping { .. } => "stopping",
        }
    }
}

/// One attempt at a task on one worker, which may be running.
#[derives(record)]
pub struct Run {
    /// Number of the attempt, increasing across owners.
    pub attempt: u32,
    /// Worker that the start was sent to.
    pub worker: WorkerKey,
    /// State of the run.
    pub state: RunState,
    /// Time at which the start was sent, or the report in which an adopted run appeared was requested.
    pub sent: Instant,
    /// Time after which the start can no longer take effect at the worker.
    pub start_expires_by: Instant,
    /// Progress in percent that the worker reported last.
    pub percent: u32,
    /// Time at which the progress changed last.
    pub last_progress: Instant,
    /// Gauge that the worker reported: the tail latency in milliseconds of a serving task, else processors in use.
    pub gauge: f64,
    /// Pace that was last ordered for the run, in percent of its full speed.
    pub pace_percent: u32,
}

impl Run {
    /// Returns whether the run has to be stopped.
    pub fn is_stopping(&self) -> bool {
        matches!(self.state, RunState::Stopping { .. })
    }
}

/// State of one task of a step.
#[derives(record)]
#[derive(Default)]
pub struct Task {
    /// Whether the task has completed.
    pub done: bool,
    /// Number of attempts of this owner.
    pub attempts: u32,
    /// Numbers of the failed attempts; a new owner may receive the same end again and must not count it twice.
    pub failures: Vec<u32>,
    /// Checkpoint from which the next attempt resumes; empty to start from the beginning.
    pub checkpoint: String,
    /// Earliest time of the next attempt.
    pub not_before: Option<Instant>,
    /// Whether an attempt of an earlier owner may be running on a worker that was silent at the takeover.
    pub is_unconfirmed: bool,
    /// Time until which a start in doubt may take effect on a restarted worker that has not acknowledged the barrier.
    pub barred_until: Option<Instant>,
    /// Workers on which attempts failed or stalled.
    pub failed_on: Vec<WorkerKey>,
    /// Attempts that may be running.
    pub runs: Vec<Run>,
    /// Time at which a report last showed the task at 100 percent, which means ready for long-running tasks.
    pub last_ready: Option<Instant>,
}

/// State of one step of an occurrence.
#[derives(record)]
pub struct StepState {
    /// Tasks of the step, by index.
    pub tasks: Vec<Task>,
    /// Number of completed tasks.
    pub done: u32,
}

impl StepState {
    /// Returns whether all tasks have completed.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

/// One execution of all steps of a job; a scheduled job has several.
#[derives(record)]
pub struct Occurrence {
    /// Time at which the occurrence is due.
    pub due: Instant,
    /// Steps of the occurrence, in the order of the submission.
    pub steps: Vec<StepState>,
}

impl Occurrence {
    /// Creates an occurrence of which no task has started.
    pub fn new(steps: &[Step], due: Instant) -> Occurrence {
        let step_state =
            |step: &Step| StepState { tasks: vec![Task::default(); step.count as usize], done: 0 };
        Occurrence { due, steps: steps.iter().map(step_state).collect() }
    }

    /// Returns whether all steps have completed.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// Returns whether all steps that `step` depends on have completed.
    pub fn is_step_ready(&self, step: &Step) -> bool {
        step.after.iter().all(|after| self.steps[*after as usize].is_done())
    }
}

/// Phase of a job.
#[derives(value)]
pub enum Phase {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks have completed.
    Done,
    /// A task has failed in as many attempts as the queue allows.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

impl Phase {
    /// Returns the name of the phase for callers and operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Queued => "queued",
            Phase::Running => "running",
            Phase::Done => "done",
            Phase::Failed => "failed",
            Phase::Cancelled => "cancelled",
        }
    }

    /// Returns whether the job has ended, so that no further task starts.
    pub fn is_ended(self) -> bool {
        matches!(self, Phase::Done | Phase::Failed | Phase::Cancelled)
    }
}

/// State of a job.
#[derives(record)]
pub struct Job {
    /// Submission of the caller; only its id once the job is retired.
    pub submission: Arc<Submission>,
    /// Settings of the queue at submission; they set the objective, and the others apply if the queue is removed.
    pub queue_settings: QueueSettings,
    /// Pools in which tasks may have been started.
    pub start_pools: StartPools,
    /// Fencing token of the owner that accepted the job.
    pub accepted_fence: u64,
    /// Time at which this owner accepted the job or read it from the store.
    pub accepted: Instant,
    /// Time from which the objective counts: the caller's first attempt, if this owner refused earlier ones.
    pub objective_from: Instant,
    /// Current phase.
    pub phase: Phase,
    /// Phase that callers see: an end becomes visible once it is persisted.
    pub visible_phase: Phase,
    /// Time at which the job ended.
    pub ended: Option<Instant>,
    /// Whether only the phase is kept, in memory and in the store.
    pub retired: bool,
    /// Occurrences that have become due, by number.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Number of the next occurrence to open.
    pub next_occurrence: u32,
    /// Number of occurrences whose opening the store has recorded; without a schedule the job's row records the only one.
    pub occurrences_persisted: u32,
    /// Time at which the first occurrence is due.
    pub first_due: Instant,
    /// Version of the job's row in the store, if a successor has read it; otherwise zero.
    pub row_version: RowVersion,
}

impl Job {
    /// Returns all tasks of the open occurrences with their references.
    pub(super) fn tasks(&self, job: JobKey) -> impl Iterator<Item = (TaskRef, &Task)> {
        self.occurrences.iter().flat_map(move |(occurrence, entry)| {
            let steps = entry.steps.iter().zip(0..);
            steps.flat_map(move |(step_state, step)| {
                let task_ref = move |index| TaskRef { job, occurrence: *occurrence, step, index };
                step_state.tasks.iter().zip(0..).map(move |(task, i)| (task_ref(i), task))
            })
        })
    }

    /// Returns all tasks of the open occurrences, to be changed, with their references.
    pub(super) fn tasks_mut(&mut self, job: JobKey) -> impl Iterator<Item = (TaskRef, &mut Task)> {
        self.occurrences.iter_mut().flat_map(move |(occurrence, entry)| {
            let steps = entry.steps.iter_mut().zip(0..);
            steps.flat_map(move |(step_state, step)| {
                let task_ref = move |index| TaskRef { job, occurrence: *occurrence, step, index };
                step_state.tasks.iter_mut().zip(0..).map(move |(task, i)| (task_ref(i), task))
            })
        })
    }

    /// Returns the total number of occurrences, which is one without a schedule.
    pub fn occurrences_total(&self) -> u32 {
        self.submission.repeats.max(1)
    }

    /// Returns whether the store has recorded that an occurrence was opened, so that its tasks may start.
    ///
    /// Daemons read different times of day. A successor must know the occurrences that its predecessor has opened, since their
    /// tasks may be running.
    pub fn is_opening_persisted(&self, occurrence: u32) -> bool {
        self.submission.repeats == 0 || occurrence < self.occurrences_persisted
    }

    /// Returns the time at which an occurrence is due.
    pub fn due(&self, occurrence: u32) -> Instant {
        let after_ms = self.submission.period_ms.saturating_mul(u64::from(occurrence));
        self.first_due + Duration::from_millis(after_ms)
    }

    /// Returns a task, or `None` if its occurrence is not in memory.
    pub fn task(&self, task: &TaskRef) -> Option<&Task> {
        self.occurrences
            .get(&task.occurrence)?
            .steps
            .get(task.step as usize)?
            .tasks
            .get(task.index as usize)
    }

    /// Returns a mutable reference to a task, or `None` if its occurrence is not in memory.
    pub fn task_mut(&mut self, task: &TaskRef) -> Option<&mut Task> {
        self.occurrences
            .get_mut(&task.occurrence)?
            .steps
            .get_mut(task.step as usize)?
            .tasks
            .get_mut(task.index as usize)
    }

    /// Returns whether any task has a run that may be active.
    pub fn has_runs(&self) -> bool {
        let tasks = self.occurrences.values().flat_map(|o| &o.steps).flat_map(|s| &s.tasks);
        tasks.into_iter().any(|task| !task.runs.is_empty())
    }

    /// Returns whether the job can still meet its objective if all ready tasks start now.
    pub fn can_meet_objective(&self, now: Instant) -> bool {
        // A step whose remaining tasks are all running is about to end, and adds nothing to the path.
        let has_waiting_task =
            |step: &StepState| step.tasks.iter().any(|task| !task.done && task.runs.is_empty());
        let remaining = self.occurrences.values().map(|occurrence| {
            self.submission
                .critical_path_of(|step| occurrence.steps.get(step).is_none_or(has_waiting_task))
        });
        now + remaining.max().unwrap_or(Duration::ZERO) <= self.objective()
    }

    /// Returns the time by which the job has to complete for its full value.
    pub fn objective(&self) -> Instant {
        let critical_path =
            self.submission.critical_path().mul_f64(self.queue_settings.slack_factor);
        self.objective_from
            + critical_path
            + Duration::from_millis(self.queue_settings.objective_ms)
    }
}
