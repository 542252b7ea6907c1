//! What the answer to an order, or its loss, changes.

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::reports::JobEvent;
use super::state::{Engine, RunState, TaskName, TaskRef, WorkerKey};

/// How long a worker that refused a start for want of room takes no further one.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(150);
/// How long a worker that says it is unhealthy takes no new task.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(1_000);

/// How late the platform may deliver a call; it states up to 12 seconds, and the rest is margin.
pub const DELIVERY_DELAY_MAX: Duration = Duration::from_secs(13);

/// How a start was answered.
#[derives(value)]
pub enum StartOutcome {
    /// The run is there.
    Started,
    /// A newer owner has called the worker.
    Fenced,
    /// The run is not above one that was stopped or has ended there.
    Superseded,
    /// The start came after its time.
    TooLate,
    /// The worker has no room.
    NoRoom,
    /// The ticket does not hold.
    NoTicket,
    /// The worker is unhealthy, malformed orders included, and has done nothing.
    Refused,
    /// Another life of the worker answered.
    OtherLife,
    /// The order was certainly not delivered.
    NotSent,
    /// The order may have been carried out, or may be later.
    Unknown,
}

impl Engine {
    /// Takes in the outcome of a start.
    pub fn apply_start_outcome(
        &mut self,
        key: WorkerKey,
        task: TaskRef,
        attempt: u32,
        outcome: StartOutcome,
        now: Instant,
        notes: &mut Vec<JobEvent>,
    ) {
        match outcome {
            StartOutcome::Started => self.start_confirmed(key, task, attempt, now),
            StartOutcome::Unknown => {
                self.note_lost_start(key, task, attempt, now);
                self.set_state(key, task, attempt, |state| match state {
                    RunState::Starting => RunState::Doubtful,
                    other => other,
                });
            }
            refused => {
                if refused == StartOutcome::NoTicket {
                    self.drop_ticket(&task, key);
                }
                let pause = match refused {
                    StartOutcome::NoRoom => Some(NO_ROOM_PAUSE),
                    StartOutcome::Refused | StartOutcome::NotSent => Some(UNHEALTHY_PAUSE),
                    _ => None,
                };
                if let (Some(pause), Some(worker)) = (pause, self.workers.get_mut(key)) {
                    worker.barred_until = worker.barred_until.max(Some(now + pause));
                }
                self.drop_run(key, task, attempt, &format!("start refused: {refused:?}"), notes);
            }
        }
    }

    fn note_lost_start(&mut self, key: WorkerKey, task: TaskRef, attempt: u32, now: Instant) {
        let name = self.task_name(&task);
        if let (Some(name), Some(worker)) = (name, self.workers.get_mut(key)) {
            worker.lost_starts.retain(|_, until| *until > now);
            worker.lost_starts.insert((name, attempt), now + DELIVERY_DELAY_MAX);
        }
    }

    fn start_confirmed(&mut self, key: WorkerKey, task: TaskRef, attempt: u32, now: Instant) {
        self.set_state(key, task, attempt, |state| match state {
            RunState::Starting | RunState::Doubtful => RunState::Running(now),
            other => other,
        });
        self.mark_started(&task);
    }

    fn set_state(
        &mut self,
        key: WorkerKey,
        task: TaskRef,
        attempt: u32,
        change: impl Fn(RunState) -> RunState,
    ) {
        let Some(entry) = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task)) else {
            return;
        };
        for run in entry.runs.iter_mut() {
            if run.attempt == attempt && run.worker == key {
                run.state = change(run.state);
            }
        }
    }

    /// Lets a task go on once no worker lacks a barrier for it.
    fn barrier_set(&mut self, name: &TaskName) {
        let lacking = self.workers.values().flat_map(|worker| &worker.orphans);
        if lacking.into_iter().any(|((task, _), orphan)| task == name && orphan.is_barrier) {
            return;
        }
        let Some(task) = self.task_ref(name) else { return };
        if let Some(entry) = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task)) {
            entry.doubt_until = None;
        }
    }

    /// Reports whether a task waits only for a report which shows that its stopped run has never begun.
    pub fn waits_for_report(&self, key: WorkerKey, name: &TaskName, attempt: u32) -> bool {
        let task = self.task_ref(name);
        let job = task.and_then(|task| Some((self.jobs.get(task.job)?, task)));
        let Some((job, task)) = job.filter(|(job, _)| !job.phase.is_ended()) else { return false };
        let run = job.task(&task).filter(|entry| !entry.done).and_then(|entry| {
            entry.runs.iter().find(|run| run.attempt == attempt && run.worker == key)
        });
        run.is_some_and(|run| run.is_stopping() && run.percent == 0)
    }

    /// Takes in that a worker has acknowledged a stop.
    pub fn record_stop_acknowledgement(
        &mut self,
        key: WorkerKey,
        name: &TaskName,
        attempt: u32,
        now: Instant,
    ) {
        if let Some(worker) = self.workers.get_mut(key) {
            let run = (name.clone(), attempt);
            if worker.orphans.get(&run).is_some_and(|orphan| orphan.is_barrier) {
                worker.orphans.remove(&run);
                self.barrier_set(name);
            }
        }
        let Some(task) = self.task_ref(name) else { return };
        self.set_state(key, task, attempt, |state| match state {
            RunState::Stopping { sent, .. } => RunState::Stopping { sent, acknowledged: Some(now) },
            other => other,
        });
    }
}
