//! Which worker takes a task.
//!
//! A worker that may take the task at all is given a penalty for each thing that speaks against it, and
//! the smallest penalty wins. Short tasks are spread, so that a crash costs little; tasks that run until
//! they are cancelled are packed, so that other instances stay free to move, but spread over racks as
//! far as their bound on unavailable tasks asks for it.

use std::time::{Duration, Instant};

use super::reports::CONSECUTIVE_FAILURES_MAX;
use super::spec::Step;
use super::state::{Engine, Job, TaskRef, Worker, WorkerKey};

/// How old a worker's last answer may be for it to take new tasks; two waits of a report and more.
pub const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_800);

/// The penalty for a rack without the data, or for a second rack; above all that load may add.
const REMOTE_PENALTY: f64 = 100.0;
/// The penalty for each earlier failure of the task on the worker.
const FAILED_PENALTY: f64 = 50.0;
/// The penalty for each task of the step on the same rack above its bound.
const RACK_PENALTY: f64 = 20.0;
/// The penalty for each task of the step on the same rack within its bound.
const SIBLING_PENALTY: f64 = 2.0;
/// The penalty for each task with a latency target beside a filler, and the other way round.
const DISTURBED_PENALTY: f64 = 5.0;

/// What placement knows of the tasks of one step that may be running.
pub struct Siblings {
    /// The worker of each.
    pub workers: Vec<WorkerKey>,
}

impl Siblings {
    /// Collects the workers of a step's tasks.
    pub fn of(job: &Job, task: &TaskRef) -> Siblings {
        let step = job.occurrences.get(&task.occurrence).map(|o| &o.steps[task.step as usize]);
        let runs = step.into_iter().flat_map(|s| &s.tasks).flat_map(|t| &t.runs);
        Siblings { workers: runs.map(|run| run.worker).collect() }
    }
}

impl Engine {
    /// Reports whether a worker may take new tasks.
    pub fn is_usable(&self, worker: &Worker, now: Instant) -> bool {
        worker.listed
            && !worker.entry.draining
            && worker.cordon.is_none()
            && worker.clock.is_some()
            && worker.quarantined_until.is_none_or(|until| until <= now)
            && worker
                .last_contact
                .is_some_and(|at| now.saturating_duration_since(at) <= UNRESPONSIVE_AFTER)
    }

    /// Returns the best worker for a task, or `None` if none can take it now.
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
            if !resources.fits(&worker.free()) || !allows(step, worker, key, siblings) {
                continue;
            }
            if worker.consecutive_failures >= CONSECUTIVE_FAILURES_MAX
                && self.has_short_runs(worker)
            {
                // After a bar, one short task at a time probes the worker.
                continue;
            }
            let penalty = self.penalty(job, step, task, worker, key, siblings);
            if best.is_none_or(|(least, _)| penalty < least) {
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
            let above = (on_rack + 1).saturating_sub(step.unavailable_max.max(1) as usize);
            penalty += RACK_PENALTY * above as f64 + SIBLING_PENALTY * on_rack as f64;
            let on_worker = siblings.workers.iter().filter(|s| **s == key).count();
            penalty += SIBLING_PENALTY * on_worker as f64;
        }
        if let Some(task) = job.task(task) {
            let failures = task.failed_on.iter().filter(|failed| **failed == key).count();
            penalty += FAILED_PENALTY * failures as f64;
        }
        if step.fills || step.latency_target_ms > 0 {
            penalty += DISTURBED_PENALTY * self.disturbing(step, worker) as f64;
        }
        penalty
    }

    /// Counts the tasks on a worker that a task of `step` would disturb or be disturbed by.
    fn disturbing(&self, step: &Step, worker: &Worker) -> usize {
        let disturbs = |other: &Step| match step.fills {
            true => other.latency_target_ms > 0,
            false => other.fills,
        };
        let steps = worker.runs.iter().filter_map(|(task, _)| {
            self.jobs.get(task.job)?.submission.steps.get(task.step as usize)
        });
        steps.filter(|other| disturbs(other)).count()
    }
}

/// Reports whether a step's own conditions allow a worker.
fn allows(step: &Step, worker: &Worker, key: WorkerKey, siblings: &Siblings) -> bool {
    let labelled =
        step.required_label.is_empty() || worker.entry.labels.contains(&step.required_label);
    let on_worker = siblings.workers.iter().filter(|sibling| **sibling == key).count();
    labelled && (step.per_worker_max == 0 || on_worker < step.per_worker_max as usize)
}
