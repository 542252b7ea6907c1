//! Choice of a worker for a task.
//!
//! Each worker that satisfies the constraints of a task gets a score, the sum of its penalties, and the
//! worker with the lowest score is chosen. Short tasks are spread, which limits the loss when a worker
//! crashes. Long-running tasks are packed, so that other instances stay free to move, but are spread over
//! racks as far as their bound on unavailable tasks requires.

use std::time::{Duration, Instant};

use super::ownership::precedes_successor;
use super::run_ends::CONSECUTIVE_FAILURES_MAX;
use super::spec::Step;
use super::state::{Engine, Job, TaskRef, Worker, WorkerKey};

/// Age of a worker's last contact from which the worker is unresponsive and gets no new tasks.
///
/// It is longer than two consecutive waits for a report.
pub const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_800);

/// Penalty for a rack without the input data, or for a further rack of a step that is local to one; it
/// outweighs any difference in load.
const REMOTE_PENALTY: f64 = 100.0;
/// Penalty for each earlier failure of the task on the worker.
const FAILED_PENALTY: f64 = 50.0;
/// Penalty for each task on the same rack above the step's bound on unavailable tasks.
const RACK_PENALTY: f64 = 20.0;
/// Penalty for each task of the step on the same rack, and for each on the same worker.
const SIBLING_PENALTY: f64 = 2.0;
/// Penalty for a worker whose instance its pool does not need now. It exceeds any difference in load, so that the
/// instance becomes empty without a drain.
const SURPLUS_PENALTY: f64 = 2.0;
/// Penalty for each task with a latency target beside a filler, and for each filler beside such a task.
const INTERFERENCE_PENALTY: f64 = 5.0;

/// Workers of the tasks of one step that may be running.
pub struct Siblings {
    /// Worker of each run.
    pub workers: Vec<WorkerKey>,
}

impl Siblings {
    /// Collects the workers of all runs of a task's step.
    pub fn of(job: &Job, task: &TaskRef) -> Siblings {
        let step = job.occurrences.get(&task.occurrence).map(|o| &o.steps[task.step as usize]);
        let runs = step.into_iter().flat_map(|s| &s.tasks).flat_map(|t| &t.runs);
        Siblings { workers: runs.map(|run| run.worker).collect() }
    }
}

impl Engine {
    /// Returns whether a worker may get new tasks.
    pub fn is_usable(&self, worker: &Worker, now: Instant) -> bool {
        self.start_block(worker, now).is_none()
    }

    /// Returns the first reason for which a worker gets no new tasks, as a value of the log; `None` if it may get some.
    ///
    /// A worker that may be running more than the engine accounts for gets none, since not every worker refuses what
    /// exceeds its capacity. After a missed report the worker may have restarted, and starts of before may begin there.
    ///
    /// The directory's entry has to be that of the incarnation that reports: a worker that restarts may be of another kind and have
    /// other capacity, and its new entry is late while it is cut off from the store.
    ///
    /// An incarnation gets none either while a successor may have taken over before it reported. The successor may not have called
    /// it, so that it would carry out orders of this owner. Calls that the successor sends later reach it first, or the successor
    /// counts it as silent.
    ///
    /// Nor does one whose token of orders is not known to be seen: orders that were sent before the owner knew of a restart could
    /// still be carried out beside the new ones.
    pub fn start_block(&self, worker: &Worker, now: Instant) -> Option<&'static str> {
        let is_recent = |at| now.saturating_duration_since(at) <= UNRESPONSIVE_AFTER;
        let checks = [
            (worker.listed, "unlisted"),
            (worker.clock.is_some() && worker.last_contact.is_some(), "no-report"),
            (worker.has_own_entry(), "entry-of-other-incarnation"),
            (worker.report_missed_at.is_none(), "report-missed"),
            (worker.restart_suspected_at.is_none(), "restart-suspected"),
            (worker.is_order_fence_seen, "order-fence-not-seen"),
            (worker.orphans.is_empty(), "runs-to-stop"),
            (!worker.entry.draining, "draining"),
            (worker.cordon.is_none(), "cordon"),
            (worker.quarantined_until.is_none_or(|until| until <= now), "quarantine"),
            (worker.last_contact.is_some_and(is_recent), "unresponsive"),
        ];
        let failed = checks.into_iter().find(|(holds, _)| !holds).map(|(_, reason)| reason);
        failed
            .or_else(|| self.is_barred_by_evacuation(worker, now).then_some("evacuation"))
            .or_else(|| self.has_silent_record(&worker.entry.id).then_some("silent-record"))
            .or_else(|| {
                let is_owner = self.is_certainly_owner_at(worker.incarnation_known_since);
                (!is_owner).then_some("successor-possible")
            })
    }

    /// Returns whether this owner certainly had no successor at a time.
    fn is_certainly_owner_at(&self, time: Option<Instant>) -> bool {
        let (Some(time), Some(confirmed_sent)) = (time, self.confirmed_sent) else { return true };
        precedes_successor(confirmed_sent, time)
    }

    /// Returns the worker with the lowest penalty for a task, or `None` if no candidate can take it now.
    pub fn choose_worker(
        &self,
        task: &TaskRef,
        siblings: &Siblings,
        candidates: &[WorkerKey],
    ) -> Option<WorkerKey> {
        let job = self.jobs.get(task.job)?;
        let step = job.submission.steps.get(task.step as usize)?;
        let resources = step.reserved();
        let mut best: Option<(f64, WorkerKey)> = None;
        for &key in candidates {
            let worker = &self.workers[key];
            if !resources.fits(&worker.free())
                || !satisfies_constraints(step, worker, key, siblings)
            {
                continue;
            }
            if worker.consecutive_failures >= CONSECUTIVE_FAILURES_MAX
                && self.has_short_runs(worker)
            {
                // After a quarantine, one short task at a time probes the worker.
                continue;
            }
            let penalty = self.penalty(job, step, task, worker, key, siblings);
            if best.is_none_or(|(lowest, _)| penalty < lowest) {
                best = Some((penalty, key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn has_short_runs(&self, worker: &Worker) -> bool {
        worker.runs.iter().any(|(task, _)| !self.is_long_running_task(task))
    }

    fn penalty(
        &self,
        job: &Job,
        step: &Step,
        task: &TaskRef,
        worker: &Worker,
        key: WorkerKey,
        siblings: &Siblings,
    ) -> f64 {
        let load = worker.reserved.dominant_share(&worker.entry.capacity);
        let mut penalty = if step.long_running { -load } else { load };
        if self.surplus_workers.contains(&key) {
            penalty += SURPLUS_PENALTY;
        }
        if !step.data_rack.is_empty() && *worker.entry.rack != *step.data_rack {
            penalty += REMOTE_PENALTY;
        }
        let rack_of = |key: &WorkerKey| self.workers.get(*key).map(|worker| &worker.entry.rack);
        let on_rack =
            siblings.workers.iter().filter(|s| rack_of(s) == Some(&worker.entry.rack)).count();
        if step.rack_local && on_rack < siblings.workers.len() {
            penalty += REMOTE_PENALTY;
        }
        if step.long_running && !step.rack_local {
            let excess = (on_rack + 1).saturating_sub(step.unavailable_max.max(1) as usize);
            penalty += RACK_PENALTY * excess as f64 + SIBLING_PENALTY * on_rack as f64;
            let on_worker = siblings.workers.iter().filter(|s| **s == key).count();
            penalty += SIBLING_PENALTY * on_worker as f64;
        }
        if let Some(task) = job.task(task) {
            let failures = task.failed_on.iter().filter(|failed| **failed == key).count();
            penalty += FAILED_PENALTY * failures as f64;
        }
        if step.fills || step.latency_target_ms > 0 {
            penalty += INTERFERENCE_PENALTY * self.interfering_tasks(step, worker) as f64;
        }
        penalty
    }

    /// Counts the tasks on a worker that a task of `step` would slow down or be slowed down by.
    fn interfering_tasks(&self, step: &Step, worker: &Worker) -> usize {
        let interferes = |other: &Step| match step.fills {
            true => other.latency_target_ms > 0,
            false => other.fills,
        };
        let steps = worker.runs.iter().filter_map(|(task, _)| {
            self.jobs.get(task.job)?.submission.steps.get(task.step as usize)
        });
        steps.filter(|other| interferes(other)).count()
    }
}

/// Returns whether a worker has the label that a step requires and is below its limit per worker.
pub(super) fn satisfies_constraints(
    step: &Step,
    worker: &Worker,
    key: WorkerKey,
    siblings: &Siblings,
) -> bool {
    let labelled =
        step.required_label.is_empty() || worker.entry.labels.contains(&step.required_label);
    let on_worker = siblings.workers.iter().filter(|sibling| **sibling == key).count();
    labelled && (step.per_worker_max == 0 || on_worker < step.per_worker_max as usize)
}
