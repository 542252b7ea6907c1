//! Throttling of filler tasks in favour of tasks with a latency target on the same worker.
//!
//! A filler uses processors that other tasks leave idle, and its load increases the response times of the
//! tasks with a latency target beside it. Per worker, the pace of the fillers is halved while any such task
//! is close to its target, and raised step by step while all are well below theirs (additive increase,
//! multiplicative decrease).

use super::plan::Order;
use super::state::{Engine, TaskRef, WorkerKey};

/// Ratio of latency to target above which the pace of fillers is halved.
const DECREASE_ABOVE: f64 = 0.9;
/// Ratio of latency to target up to which the pace of fillers is raised.
const INCREASE_BELOW: f64 = 0.7;
/// Step by which the pace of fillers is raised, in percent of their full speed.
const INCREASE_STEP_PERCENT: u32 = 15;
/// Minimum pace, in percent of the full speed; a filler that would be slower is paused.
const PACE_MIN_PERCENT: u32 = 10;

impl Engine {
    /// Appends the orders that change the pace of fillers.
    pub(super) fn plan_paces(&mut self, orders: &mut Vec<Order>) {
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            self.pace_worker(key, orders);
        }
    }

    fn pace_worker(&mut self, key: WorkerKey, orders: &mut Vec<Order>) {
        let worker = &mut self.workers[key];
        // Each report is evaluated once, so that the effect of a change is measured before the next.
        if !std::mem::take(&mut worker.gauges_updated) {
            return;
        }
        let runs: Vec<(TaskRef, u32)> = worker.runs.iter().copied().collect();
        let mut worst: Option<f64> = None;
        let mut fillers = Vec::new();
        for (task, attempt) in runs {
            let Some(job) = self.jobs.get(task.job) else { continue };
            let Some(step) = job.submission.steps.get(task.step as usize) else { continue };
            let Some(entry) = job.task(&task) else { continue };
            let run = entry.runs.iter().find(|r| r.attempt == attempt && r.worker == key);
            let Some(run) = run.filter(|run| !run.is_stopping()) else { continue };
            if step.latency_target_ms > 0 && !step.fills {
                let ratio = run.gauge / step.latency_target_ms as f64;
                worst = Some(worst.map_or(ratio, |worst| worst.max(ratio)));
            } else if step.fills {
                fillers.push((task, attempt, run.pace_percent));
            }
        }
        for (task, attempt, percent) in fillers {
            let next = next_pace(percent, worst);
            if next != percent {
                self.set_pace(key, task, attempt, next, orders);
            }
        }
    }

    fn set_pace(
        &mut self,
        key: WorkerKey,
        task: TaskRef,
        attempt: u32,
        percent: u32,
        orders: &mut Vec<Order>,
    ) {
        let Some(name) = self.task_name(&task) else { return };
        let entry = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task));
        let runs = entry.into_iter().flat_map(|entry| &mut entry.runs);
        for run in runs.filter(|run| run.attempt == attempt && run.worker == key) {
            run.pace_percent = percent;
        }
        orders.push(Order::Pace { worker: key, name, attempt, percent });
    }
}

/// Pace that a new owner assumes for a filler that it adopts: its predecessor may have paused it.
///
/// The next report without a missed target leads to an order for the full pace, whatever the run's pace is.
pub(super) const ADOPTED_FILLER_PACE_PERCENT: u32 = 100 - INCREASE_STEP_PERCENT;

/// Returns the next pace of a filler, in percent, for the highest ratio of tail latency to target on its worker.
///
/// A pace of zero pauses the filler, where the target is clearly missed or half the pace is below the minimum.
pub fn next_pace(percent: u32, worst: Option<f64>) -> u32 {
    match worst {
        Some(worst) if worst > DECREASE_ABOVE => {
            let halved = percent / 2;
            if halved < PACE_MIN_PERCENT || worst > 1.0 / DECREASE_ABOVE { 0 } else { halved }
        }
        Some(worst) if worst > INCREASE_BELOW => percent,
        _ => (percent + INCREASE_STEP_PERCENT).min(100),
    }
}
