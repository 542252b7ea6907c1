//! Ends of runs that workers report: tasks that are complete, that failed, or that have to run again.

use std::time::{Duration, Instant};

use super::reports::{EndEntry, JobEvent, RunEnd};
use super::state::{Engine, Phase, Run, RunState, TaskRef, WorkerKey};

/// Delay before the next attempt at a task that failed, so that a transient fault can pass.
pub const FAILED_TASK_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Number of consecutive failures after which a worker is quarantined for [`QUARANTINE_TIME`].
pub(super) const CONSECUTIVE_FAILURES_MAX: u32 = 3;
/// Time for which a quarantined worker gets no new tasks; its next success resets the failure count.
const QUARANTINE_TIME: Duration = Duration::from_secs(3);
/// Least progress in percent of the last report before the end of a run from which its run time on the worker is
/// extrapolated.
const PURE_RUN_TIME_PERCENT_MIN: u32 = 20;

impl Engine {
    /// Records the end of a run, unless an earlier report has had it.
    pub(super) fn apply_end(
        &mut self,
        key: WorkerKey,
        end: &EndEntry,
        now: Instant,
        events: &mut Vec<JobEvent>,
    ) {
        let worker = &mut self.workers[key];
        worker.orphans.remove(&(end.task.clone(), end.attempt));
        if end.number <= worker.last_end_received {
            return;
        }
        worker.last_end_received = end.number;
        let Some(task) = self.task_ref(&end.task) else { return };
        self.workers[key].ends_to_persist.push_back((end.number, task.job));
        let run = self.remove_run(task, end.attempt, key);
        events.push(JobEvent {
            job: end.task.job.clone(),
            kind: match end.end {
                RunEnd::Done => "run done",
                RunEnd::Failed => "run failed",
                RunEnd::Stopped => "run stopped",
                RunEnd::LeaseExpired => "run lapsed",
                RunEnd::GangMemberEnded => "run broken by its gang",
                RunEnd::GangIncomplete => "run without its gang",
            },
            detail: self.describe(key, &task, end.attempt),
        });
        match end.end {
            RunEnd::Done => self.task_done(key, task, run.as_ref(), now),
            RunEnd::Failed => self.task_failed(key, task, end, now),
            RunEnd::Stopped
            | RunEnd::LeaseExpired
            | RunEnd::GangMemberEnded
            | RunEnd::GangIncomplete => {
                self.task_interrupted(task, &end.checkpoint);
            }
        }
    }

    fn task_done(&mut self, key: WorkerKey, task: TaskRef, run: Option<&Run>, now: Instant) {
        self.workers[key].consecutive_failures = 0;
        self.workers[key].quarantined_until = None;
        self.mark_started(&task);
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        let submission = job.submission.clone();
        let Some(step) = submission.steps.get(task.step as usize) else { return };
        if step.long_running {
            // A long-running task is started again whatever the reason for its end.
            return self.task_interrupted(task, "");
        }
        let Some(occurrence) = job.occurrences.get_mut(&task.occurrence) else { return };
        let step_state = &mut occurrence.steps[task.step as usize];
        let indices = match step.gang {
            // The members of a gang end together, so the end of one counts for all.
            true => 0..step.count as usize,
            false => task.index as usize..task.index as usize + 1,
        };
        for index in indices {
            let Some(entry) = step_state.tasks.get_mut(index) else { continue };
            if !entry.done {
                entry.done = true;
                step_state.done += 1;
            }
            entry.is_unconfirmed = false;
            entry.barred_until = None;
            for run in entry.runs.iter_mut().filter(|run| !run.is_stopping()) {
                run.state = RunState::Stopping { sent: None, acknowledged: None };
            }
        }
        self.unpersisted.insert(task.job);
        if let Some(run) = run {
            self.record_run_time(&task, run, now);
        }
        self.finish_if_done(task, now);
    }

    fn finish_if_done(&mut self, task: TaskRef, now: Instant) {
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        if !job.occurrences.get(&task.occurrence).is_some_and(|o| o.is_done()) {
            return;
        }
        let all_opened = job.next_occurrence == job.occurrences_total();
        let others_done =
            job.occurrences.iter().all(|(number, o)| *number == task.occurrence || o.is_done());
        if all_opened && others_done && !job.phase.is_ended() {
            self.end_job(task.job, Phase::Done, now);
        }
    }

    fn record_run_time(&mut self, task: &TaskRef, run: &Run, now: Instant) {
        let Some(job) = self.jobs.get(task.job) else { return };
        let Some(step) = job.submission.steps.get(task.step as usize) else { return };
        if step.estimate_ms == 0 {
            return;
        }
        let ms = |until: Instant| until.saturating_duration_since(run.sent).as_secs_f64() * 1_000.0;
        let (declared_ms, took_ms) = (step.estimate_ms as f64, ms(now));
        let learned = self.run_times.entry(job.submission.queue.clone()).or_default();
        learned.record(declared_ms, took_ms);
        learned.record_in_step(task.first_task_of_step(), took_ms);
        if run.percent >= PURE_RUN_TIME_PERCENT_MIN {
            // The worker rounds the progress down.
            let pure_ms = ms(run.last_progress) * 100.0 / (f64::from(run.percent) + 0.5);
            learned.record_pure(took_ms, pure_ms);
        }
    }

    fn task_failed(&mut self, key: WorkerKey, task: TaskRef, end: &EndEntry, now: Instant) {
        self.count_failure(key, &task, now);
        self.mark_started(&task);
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        let submission = job.submission.clone();
        let Some(step) = submission.steps.get(task.step as usize) else { return };
        let attempts_max =
            self.queues.get(&submission.queue).unwrap_or(&job.queue_settings).attempts_max;
        let ended = job.phase.is_ended();
        let Some(occurrence) = job.occurrences.get_mut(&task.occurrence) else { return };
        let tasks = &mut occurrence.steps[task.step as usize].tasks;
        let members =
            if step.gang { 0..tasks.len() } else { task.index as usize..task.index as usize + 1 };
        let mut failures = 0;
        for index in members {
            let Some(entry) = tasks.get_mut(index) else { continue };
            if !entry.failures.contains(&end.attempt) {
                entry.failures.push(end.attempt);
                entry.failed_on.push(key);
                entry.not_before = Some(now + FAILED_TASK_RETRY_DELAY);
            }
            failures = entry.failures.len();
            if !end.checkpoint.is_empty() {
                entry.checkpoint.clone_from(&end.checkpoint);
            }
        }
        self.unpersisted.insert(task.job);
        if !ended && !step.long_running && failures >= attempts_max as usize {
            self.end_job(task.job, Phase::Failed, now);
        }
    }

    /// Counts a failure against a worker, unless the task has also failed on another worker: then the task
    /// is the likely cause.
    fn count_failure(&mut self, key: WorkerKey, task: &TaskRef, now: Instant) {
        let entry = self.jobs.get(task.job).and_then(|job| job.task(task));
        let failed_elsewhere =
            entry.is_some_and(|entry| entry.failed_on.iter().any(|failed| *failed != key));
        if failed_elsewhere {
            return;
        }
        let worker = &mut self.workers[key];
        worker.consecutive_failures += 1;
        if worker.consecutive_failures >= CONSECUTIVE_FAILURES_MAX {
            worker.quarantined_until = Some(now + QUARANTINE_TIME);
        }
    }

    /// Records the end of a run that did not complete its task.
    ///
    /// An unconfirmed task stays so: the end may be that of an earlier attempt, which a worker reports late, while a later
    /// attempt runs on a worker that does not answer.
    fn task_interrupted(&mut self, task: TaskRef, checkpoint: &str) {
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        let Some(entry) = job.task_mut(&task) else { return };
        if entry.done {
            return;
        }
        if !checkpoint.is_empty() {
            entry.checkpoint = checkpoint.to_owned();
        }
        self.unpersisted.insert(task.job);
    }
}
