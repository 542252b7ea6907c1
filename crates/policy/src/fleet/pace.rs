//! How far fillers are slowed for the tasks that they disturb.
//!
//! A filler uses processors that others leave, and its load lengthens the response times of the tasks
//! with a latency target beside it. Per worker, the fillers are halved while any such task is near its
//! target, and given back a step at a time while all are well below.

use super::plan::Order;
use super::state::{Engine, TaskRef, WorkerKey};

/// The part of the target above which fillers are slowed.
const SLOW_ABOVE: f64 = 0.9;
/// The part of the target below which fillers are let go faster.
const FASTER_BELOW: f64 = 0.7;
/// By how much fillers are let go faster at a time, in percent of their full speed.
const FASTER_STEP_PERCENT: u32 = 15;
/// The pace below which a filler is stopped altogether, in percent.
const PACE_MIN_PERCENT: u32 = 10;

impl Engine {
    /// Returns orders for the fillers beside tasks with a latency target.
    pub(super) fn plan_paces(&mut self, orders: &mut Vec<Order>) {
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            self.pace_worker(key, orders);
        }
    }

    fn pace_worker(&mut self, key: WorkerKey, orders: &mut Vec<Order>) {
        let worker = &mut self.workers[key];
        // Each report is judged once, so that a step's effect is seen before the next.
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

/// Returns the next pace of a filler beside tasks whose worst tail is `worst` of its target.
pub fn next_pace(percent: u32, worst: Option<f64>) -> u32 {
    match worst {
        Some(worst) if worst > SLOW_ABOVE => {
            let halved = percent / 2;
            if halved < PACE_MIN_PERCENT || worst > 1.0 / SLOW_ABOVE { 0 } else { halved }
        }
        Some(worst) if worst > FASTER_BELOW => percent,
        _ => (percent + FASTER_STEP_PERCENT).min(100),
    }
}
