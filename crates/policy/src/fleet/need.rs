//! Remaining need of a job for processors and time, judged by measured run times and by the progress of its runs.

use std::time::{Duration, Instant};

use super::claims::{Claim, ClaimPart};
use super::job::Run;
use super::settings::QueueSettings;
use super::spec::Step;

/// Least remaining run time of a running task, as a part of its expected run time.
const RUN_LEFT_MIN: f64 = 0.1;
/// Least progress in percent from which the run time of a task is extrapolated.
const EXTRAPOLATION_PERCENT_MIN: u32 = 10;

/// Remaining need of a job, judged by measured run times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Need {
    /// Work of the waiting tasks, in thousandths of a core times milliseconds.
    pub work: f64,
    /// Work that is left of the running tasks.
    pub running_work: f64,
    /// Work of the whole job.
    pub total_work: f64,
    /// Critical path from now on, in milliseconds.
    pub path_ms: f64,
    /// Longest path that begins with a waiting task, in milliseconds.
    pub waiting_path_ms: f64,
    /// Critical path of the whole job by the run times on the workers, in milliseconds.
    pub total_path_ms: f64,
    /// Longest run time of a task that waits, in milliseconds.
    pub task_ms: f64,
    /// Standard deviation of the run times within a step, in milliseconds.
    pub deviation_ms: f64,
    /// Whether a task has started.
    pub has_started: bool,
    /// Steps with waiting tasks.
    pub stages: Vec<Stage>,
}

/// Waiting tasks of one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stage {
    /// Critical path after the step, in milliseconds.
    pub tail_ms: f64,
    /// Run time of a task, in milliseconds.
    pub task_ms: f64,
    /// Work, in thousandths of a core times milliseconds.
    pub work: f64,
}

impl Need {
    /// Returns the claim parts of a job whose objective is `left_ms` away.
    ///
    /// When the last task of a step ends, the tasks beside it are on average halfway through, with work of jobs that
    /// are due later. The work therefore has to be done half a run time earlier.
    pub fn parts(&self, claim: usize, left_ms: f64) -> impl Iterator<Item = ClaimPart> + '_ {
        self.stages.iter().map(move |stage| ClaimPart {
            claim,
            due_ms: left_ms - stage.tail_ms - stage.task_ms / 2.0,
            work: stage.work,
        })
    }

    /// Returns the claim of a job, or `None` if it misses its objective in any case.
    ///
    /// A job of which no task has started needs a margin of one standard deviation, so that it still has a claim for
    /// its later steps. A job that has started keeps its claim for as long.
    pub(super) fn claim(&self, left_ms: f64, priority: u32, over_share: bool) -> Option<Claim> {
        let margin_ms = if self.has_started { -self.deviation_ms } else { self.deviation_ms };
        let density = self.total_work / (self.work + self.running_work).max(1.0);
        (self.path_ms + margin_ms <= left_ms).then_some(Claim {
            over_share,
            priority,
            density,
            left_ms,
        })
    }

    /// Returns the time from the first attempt of the job until its objective.
    pub fn objective_after(&self, settings: &QueueSettings) -> Duration {
        Duration::from_secs_f64(self.total_path_ms * settings.slack_factor / 1_000.0)
            + Duration::from_millis(settings.objective_ms)
    }
}

/// Returns the remaining run time of a run of an expected length, in milliseconds.
pub(super) fn run_left_ms(run: &Run, expected_ms: f64, now: Instant) -> f64 {
    let ms = |until: Instant| until.saturating_duration_since(run.sent).as_secs_f64() * 1_000.0;
    let total_ms = match run.percent {
        percent @ EXTRAPOLATION_PERCENT_MIN..100 => {
            (ms(run.last_progress) * 100.0 / f64::from(percent)).max(expected_ms * RUN_LEFT_MIN)
        }
        _ => expected_ms,
    };
    (total_ms - ms(now)).max(expected_ms * RUN_LEFT_MIN)
}

/// Returns the expected maximum of `count` run times above their mean, in standard deviations.
///
/// A step ends with its slowest task. The approximation is within a tenth for normal distributions and 2 to 100 tasks.
fn expected_maximum(count: u32) -> f64 {
    0.7 * (2.0 * f64::from(count).ln()).sqrt()
}

/// Returns the time until a later time, in milliseconds.
pub(super) fn millis_until(later: Instant, now: Instant) -> f64 {
    later.saturating_duration_since(now).as_secs_f64() * 1_000.0
}

/// Run times of the steps of a job, from which its paths are computed.
pub(super) struct Path {
    /// Remaining time of each step, in milliseconds.
    pub(super) own_ms: Vec<f64>,
    /// Run time of a task of each step, in milliseconds.
    pub(super) task_ms: Vec<f64>,
    /// Index of the step of each stage that has been added to the need.
    steps_of_stages: Vec<usize>,
}

impl Path {
    pub(super) fn new(steps: usize) -> Path {
        Path { own_ms: vec![0.0; steps], task_ms: vec![0.0; steps], steps_of_stages: Vec::new() }
    }

    /// Computes the paths, and the tails of the stages that were added last.
    pub(super) fn finish(self, steps: &[Step], need: &mut Need) {
        let mut tails_ms = vec![(0.0f64, 0.0f64); steps.len()];
        for (number, step) in steps.iter().enumerate().rev() {
            let (tail_ms, total_tail_ms) = tails_ms[number];
            let path_ms = tail_ms + self.own_ms[number];
            let total_ms = total_tail_ms + self.task_ms[number];
            need.path_ms = need.path_ms.max(path_ms);
            need.total_path_ms = need.total_path_ms.max(total_ms);
            for before in &step.after {
                let Some(tail) = tails_ms.get_mut(*before as usize) else { continue };
                *tail = (tail.0.max(path_ms), tail.1.max(total_ms));
            }
        }
        let first = need.stages.len() - self.steps_of_stages.len();
        for (stage, number) in need.stages[first..].iter_mut().zip(self.steps_of_stages) {
            stage.tail_ms = tails_ms[number].0;
            need.waiting_path_ms = need.waiting_path_ms.max(stage.tail_ms + self.own_ms[number]);
        }
    }
}

impl Need {
    /// Adds the waiting tasks of a step, and returns the time that they take on a pool of `milli` processors.
    pub(super) fn add_waiting(
        &mut self,
        number: usize,
        step: &Step,
        waiting: u32,
        task_ms: f64,
        milli: f64,
        path: &mut Path,
    ) -> f64 {
        if waiting == 0 {
            return 0.0;
        }
        let demand_milli = f64::from(waiting) * step.reserved().cpu_milli as f64;
        let work = demand_milli * task_ms;
        self.work += work;
        self.task_ms = self.task_ms.max(task_ms);
        self.stages.push(Stage { tail_ms: 0.0, task_ms, work });
        path.steps_of_stages.push(number);
        // A step that is wider than the pool runs in rounds.
        let rounds = (demand_milli / milli.max(1.0)).max(1.0);
        task_ms * rounds + self.deviation_ms * expected_maximum(waiting)
    }
}
