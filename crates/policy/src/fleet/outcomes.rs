//! Processing of the outcomes of starts and stops, lost answers included.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::lease::LeaseOrder;
use super::lease_bounds::OrderOutcome;
use super::reports::JobEvent;
use super::state::{Engine, Orphan, RunState, TaskName, TaskRef, WorkerKey};

/// Time for which a worker that refused a start for lack of capacity gets no further start.
const NO_CAPACITY_BACKOFF: Duration = Duration::from_millis(150);
/// Time for which a worker that is unhealthy or cannot be reached gets no further start.
const UNHEALTHY_BACKOFF: Duration = Duration::from_millis(1_000);

/// Maximum delay of the delivery of a call to a worker; the platform states up to 12 s, and the rest is margin.
pub const DELIVERY_DELAY_MAX: Duration = Duration::from_secs(13);

/// Outcome of an order to start a run.
#[derives(value)]
pub enum StartOutcome {
    /// The worker has the run.
    Started,
    /// The worker has been called by a newer owner.
    Fenced,
    /// The number of the attempt is not above that of an attempt that was stopped or has ended on the worker.
    Superseded,
    /// The start arrived after its validity had ended.
    TooLate,
    /// The worker lacks the capacity.
    NoRoom,
    /// The ticket is not valid.
    NoTicket,
    /// The worker started nothing, because it is unhealthy or the order is malformed.
    Refused,
    /// Another incarnation of the worker answered.
    OtherLife,
    /// The order was certainly not delivered.
    NotSent,
    /// The order may have been carried out, or may still be.
    Unknown,
}

impl StartOutcome {
    /// Returns whether the worker has extended its leases to the time in the order.
    fn extends_leases(self) -> bool {
        matches!(self, StartOutcome::Started | StartOutcome::Superseded | StartOutcome::NoRoom)
    }
}

/// Answer to an order to start a run, or the lack of one.
#[derives(value)]
pub struct StartAnswer {
    /// Outcome of the order.
    pub outcome: StartOutcome,
    /// Reading of the clock of the incarnation that answered, in milliseconds; `None` if the worker gave none.
    pub clock_ms: Option<u64>,
}

impl From<StartOutcome> for StartAnswer {
    fn from(outcome: StartOutcome) -> StartAnswer {
        StartAnswer { outcome, clock_ms: None }
    }
}

impl Engine {
    /// Applies the answer to a start.
    pub fn apply_start_outcome(
        &mut self,
        key: WorkerKey,
        task: TaskRef,
        attempt: u32,
        answer: StartAnswer,
        now: Instant,
        events: &mut Vec<JobEvent>,
    ) {
        let outcome = answer.outcome;
        if outcome != StartOutcome::Unknown {
            self.settle_start(key, &task, attempt, answer, now);
        }
        if outcome == StartOutcome::Started
            && let Some(sent) = self.run(key, &task, attempt).map(|run| run.sent)
        {
            self.start_window.record_answer(now.saturating_duration_since(sent), now);
        }
        match outcome {
            StartOutcome::Started => self.confirm_start(key, task, attempt, now),
            StartOutcome::Unknown => {
                if let Some(worker) = self.workers.get_mut(key) {
                    worker.answer_missed_at = Some(now);
                }
                self.set_state(key, task, attempt, |state| match state {
                    RunState::Starting => RunState::Unconfirmed,
                    other => other,
                });
            }
            refused => {
                if refused == StartOutcome::NoTicket {
                    self.drop_ticket(&task, key);
                }
                let backoff = match refused {
                    StartOutcome::NoRoom => Some(NO_CAPACITY_BACKOFF),
                    StartOutcome::Refused | StartOutcome::NotSent => Some(UNHEALTHY_BACKOFF),
                    _ => None,
                };
                if let (Some(backoff), Some(worker)) = (backoff, self.workers.get_mut(key)) {
                    worker.quarantined_until = worker.quarantined_until.max(Some(now + backoff));
                }
                self.drop_run(key, task, attempt, &format!("start refused: {refused:?}"), events);
            }
        }
    }

    /// Returns whether the last plan held back tasks that an answer to a start lets go on.
    pub fn holds_starts_back(&self) -> bool {
        self.starts_held_back
    }

    /// Records a start as in doubt when it is sent; its run can leave the account before it is answered.
    pub(super) fn record_start_in_doubt(
        &mut self,
        key: WorkerKey,
        name: &TaskName,
        attempt: u32,
        until_ms: u64,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let (open, arrived) = std::mem::take(&mut worker.starts_in_doubt)
            .into_iter()
            .partition(|(_, order)| order.arrives_by > now);
        worker.starts_in_doubt = open;
        for order in BTreeMap::into_values(arrived) {
            worker.record_unanswered(order);
        }
        let order = LeaseOrder { until_ms, sent: now, arrives_by: now + DELIVERY_DELAY_MAX };
        worker.starts_in_doubt.insert((name.clone(), attempt), order);
    }

    /// Records that a start has been answered, maybe by another incarnation than the one that it was meant for.
    fn settle_start(
        &mut self,
        key: WorkerKey,
        task: &TaskRef,
        attempt: u32,
        answer: StartAnswer,
        now: Instant,
    ) {
        let (lease_max, predecessor_order) = (self.limits.lease_max, self.predecessor_order);
        let name = self.task_name(task);
        let (Some(name), Some(worker)) = (name, self.workers.get_mut(key)) else { return };
        let Some(order) = worker.starts_in_doubt.remove(&(name, attempt)) else { return };
        let outcome = match answer.outcome.extends_leases() {
            true => OrderOutcome::Answered(answer.clock_ms),
            false => OrderOutcome::NotDelivered,
        };
        worker.apply_order_outcome(order, outcome, predecessor_order, lease_max, now);
        if outcome != OrderOutcome::NotDelivered
            && !worker.is_known_clock(answer.clock_ms, order.sent, now)
        {
            worker.restart_suspected_at = Some(now);
            self.raise_order_fence(key, now);
        }
    }

    fn confirm_start(&mut self, key: WorkerKey, task: TaskRef, attempt: u32, now: Instant) {
        self.set_state(key, task, attempt, |state| match state {
            RunState::Starting | RunState::Unconfirmed => RunState::Running(now),
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

    /// Unblocks a task if no worker has a barrier for it any more.
    pub(super) fn unblock_after_barriers(&mut self, name: &TaskName) {
        let orphans = self.workers.values().flat_map(|worker| &worker.orphans);
        if orphans.into_iter().any(|((task, _), orphan)| task == name && orphan.is_barrier()) {
            return;
        }
        let Some(task) = self.task_ref(name) else { return };
        if let Some(entry) = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task)) {
            entry.barred_until = None;
        }
    }

    /// Returns whether a task or a worker only waits for a report which confirms that a stopped run never began.
    pub fn waits_for_report(&self, key: WorkerKey, name: &TaskName, attempt: u32) -> bool {
        let orphans = self.workers.get(key).map(|worker| &worker.orphans);
        let orphan = orphans.and_then(|orphans| orphans.get(&(name.clone(), attempt)));
        if orphan.is_some_and(Orphan::is_barrier) {
            return true;
        }
        let task = self.task_ref(name);
        let job = task.and_then(|task| Some((self.jobs.get(task.job)?, task)));
        let Some((job, task)) = job.filter(|(job, _)| !job.phase.is_ended()) else { return false };
        let run = job.task(&task).filter(|entry| !entry.done).and_then(|entry| {
            entry.runs.iter().find(|run| run.attempt == attempt && run.worker == key)
        });
        run.is_some_and(|run| run.is_stopping() && run.percent == 0)
    }

    /// Records that a worker has acknowledged a stop that was sent at `sent`.
    ///
    /// If the worker has restarted since, the previous incarnation may have acknowledged the stop, which does not bind
    /// the current one; the stop is sent again.
    pub fn record_stop_acknowledgement(
        &mut self,
        key: WorkerKey,
        name: &TaskName,
        attempt: u32,
        sent: Instant,
        now: Instant,
    ) {
        let known_since = self.workers.get(key).and_then(|worker| worker.incarnation_known_since);
        if known_since.is_some_and(|since| sent < since) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(key) {
            // The next report shows whether the run had begun, and is being stopped.
            if let Some(orphan) = worker.orphans.get_mut(&(name.clone(), attempt)) {
                orphan.acknowledged.get_or_insert(now);
            }
        }
        let Some(task) = self.task_ref(name) else { return };
        self.set_state(key, task, attempt, |state| match state {
            RunState::Stopping { sent, .. } => RunState::Stopping { sent, acknowledged: Some(now) },
            other => other,
        });
    }
}
