//! Runs that have ended without a report of their end: the worker does not list them, has restarted, or is gone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::reports::{JobEvent, ReportTiming};
use super::state::{Engine, RunState, TaskName, TaskRef, WorkerKey};

/// Time after which a start without a known bound expires; an acknowledged stop ends such a run long before.
const NO_KNOWN_BOUND: Duration = Duration::from_secs(3_600);

impl Engine {
    /// Drops the runs that a complete report does not list although it would list them if they existed.
    pub(super) fn drop_unlisted_runs(
        &mut self,
        key: WorkerKey,
        listed: &BTreeSet<(TaskName, u32)>,
        timing: ReportTiming,
        events: &mut Vec<JobEvent>,
    ) {
        let runs: Vec<_> = self.workers[key].runs.iter().copied().collect();
        for (task, attempt) in runs {
            let Some(name) = self.task_name(&task) else { continue };
            let entry = self.jobs.get(task.job).and_then(|job| job.task(&task));
            let run = entry.and_then(|t| {
                t.runs.iter().find(|run| run.attempt == attempt && run.worker == key)
            });
            let Some(run) = run else { continue };
            let certain = match run.state {
                RunState::Running(confirmed) => confirmed < timing.sent,
                RunState::Starting => false,
                RunState::Unconfirmed => run.start_expires_by <= timing.sent,
                RunState::Stopping { acknowledged, .. } => {
                    acknowledged.is_some_and(|at| at < timing.sent)
                        || run.start_expires_by <= timing.sent
                }
            };
            if certain && !listed.contains(&(name, attempt)) {
                self.drop_run(key, task, attempt, "the worker's report does not list it", events);
            }
        }
        self.drop_unlisted_orphans(key, listed, timing);
    }

    /// Drops the orphans that a complete report does not list, and unblocks the tasks of barriers among them.
    fn drop_unlisted_orphans(
        &mut self,
        key: WorkerKey,
        listed: &BTreeSet<(TaskName, u32)>,
        timing: ReportTiming,
    ) {
        let orphans = std::mem::take(&mut self.workers[key].orphans).into_iter();
        let (kept, gone): (BTreeMap<_, _>, BTreeMap<_, _>) = orphans
            .partition(|(run, orphan)| listed.contains(run) || orphan.may_begin_after(timing.sent));
        self.workers[key].orphans = kept;
        for ((name, _), orphan) in gone {
            if orphan.is_barrier() {
                self.unblock_after_barriers(&name);
            }
        }
    }

    /// Removes a run that has certainly ended without a report of its end.
    pub(super) fn drop_run(
        &mut self,
        key: WorkerKey,
        task: TaskRef,
        attempt: u32,
        reason: &str,
        events: &mut Vec<JobEvent>,
    ) {
        let detail = format!("{}, {reason}", self.describe(key, &task, attempt));
        self.remove_run(task, attempt, key);
        if let Some(job) = self.jobs.get(task.job) {
            let job = job.submission.job.clone();
            events.push(JobEvent { job, kind: "run lost", detail });
        }
    }

    /// Drops the runs that ended with the previous incarnation of a worker.
    ///
    /// The new incarnation has none of the barriers and fences of the previous one, so a start whose answer was
    /// lost could still take effect there. The run of such a start is kept until the new incarnation acknowledges
    /// a stop. A run that was confirmed after its report was requested may be one of the new incarnation, and is
    /// kept until a later report shows whether it is.
    pub(super) fn drop_runs_of_previous_incarnation(
        &mut self,
        key: WorkerKey,
        timing: ReportTiming,
        events: &mut Vec<JobEvent>,
    ) {
        let runs: Vec<_> = self.workers[key].runs.iter().copied().collect();
        for (task, attempt) in runs {
            let entry = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task));
            let run = entry.and_then(|entry| {
                entry.runs.iter_mut().find(|run| run.attempt == attempt && run.worker == key)
            });
            let Some(run) = run else { continue };
            match run.state {
                RunState::Running(confirmed) if confirmed >= timing.sent => {}
                RunState::Running(_) => {
                    self.drop_run(key, task, attempt, "the worker has restarted", events);
                }
                _ => {
                    run.state = RunState::Stopping { sent: None, acknowledged: None };
                    run.start_expires_by = timing.received + NO_KNOWN_BOUND;
                }
            }
        }
    }

    /// Drops all runs of a worker, because its incarnation has ended or all its leases have expired.
    pub fn drop_all_runs(&mut self, key: WorkerKey, reason: &str, events: &mut Vec<JobEvent>) {
        let Some(worker) = self.workers.get(key) else { return };
        let runs: Vec<_> = worker.runs.iter().copied().collect();
        for (task, attempt) in runs {
            self.drop_run(key, task, attempt, reason, events);
        }
    }

    /// Drops the runs that were started on a worker before a request for its report was sent, because the incarnation that the
    /// request was meant for has ended.
    ///
    /// A run that was started later may be one of the next incarnation, which may have another address.
    pub fn drop_runs_started_before(
        &mut self,
        key: WorkerKey,
        requested: Instant,
        reason: &str,
        events: &mut Vec<JobEvent>,
    ) {
        let Some(worker) = self.workers.get(key) else { return };
        let runs: Vec<_> = worker.runs.iter().copied().collect();
        for (task, attempt) in runs {
            if self.run(key, &task, attempt).is_some_and(|run| run.sent < requested) {
                self.drop_run(key, task, attempt, reason, events);
            }
        }
    }
}
