//! What a worker's report changes: ends are taken in, runs are found, adopted or missed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::lease::{ClockSample, TASK_LEASE, lease_bound};
use super::outcomes::DELIVERY_DELAY_MAX;
use super::placement::ANSWER_AGE_MAX;
use super::state::{Engine, Orphan, Phase, Run, RunState, TaskName, TaskRef, WorkerKey};
use crate::ids::{BootId, JobId};

/// The most ends in one report; a report with fewer has all of them.
pub const ENDS_PER_REPORT: usize = 500;
/// How long a task that failed waits before its next attempt, so that a fault can pass.
pub const FAILED_TASK_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The failures in a row after which a worker takes no new tasks for [`BAR_TIME`].
pub(super) const CONSECUTIVE_FAILURES_MAX: u32 = 3;
/// How long a worker that failed its tasks is left alone; then one success clears it.
const BAR_TIME: Duration = Duration::from_secs(3);

/// Returns the stops that a new life of a worker needs, so that no lost start takes effect in it.
fn barriers(
    lost_starts: &BTreeMap<(TaskName, u32), Instant>,
    now: Instant,
) -> BTreeMap<(TaskName, u32), Orphan> {
    let open = lost_starts.iter().filter(|(_, until)| **until > now);
    open.map(|(run, _)| (run.clone(), Orphan { sent: None, is_barrier: true })).collect()
}

/// A time after which nothing that is judged by it matters any more.
const UNBOUNDED: Duration = Duration::from_secs(3_600);

/// How a run ended.
#[derives(value)]
pub enum RunEnd {
    /// It did its work.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangMemberEnded,
    /// The other members of its gang did not come in time.
    GangIncomplete,
}

/// A run that a worker has.
#[derives(record)]
pub struct RunningEntry {
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: u32,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
    /// The progress in percent.
    pub percent: u32,
    /// The gauge of the last half second, if the worker gives one.
    pub gauge: f64,
}

/// A run that has ended at a worker.
#[derives(record)]
pub struct EndEntry {
    /// The number of the end in the worker's life.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: u32,
    /// How it ended.
    pub end: RunEnd,
    /// The last checkpoint; empty for none.
    pub checkpoint: String,
}

/// What a worker reports.
#[derives(record)]
pub struct WorkerReport {
    /// Tells this life of the worker from the next.
    pub born: BootId,
    /// What its clock shows, in milliseconds.
    pub clock_ms: u64,
    /// What runs there.
    pub running: Vec<RunningEntry>,
    /// The ends that are not acknowledged, at most [`ENDS_PER_REPORT`].
    pub ended: Vec<EndEntry>,
}

/// When and how a report was asked for.
#[derives(value)]
pub struct ReportTiming {
    /// When the call was sent.
    pub sent: Instant,
    /// When the answer arrived.
    pub received: Instant,
}

/// Something that happened to a job, for the log.
#[derives(record)]
pub struct JobEvent {
    /// The job.
    pub job: JobId,
    /// What happened.
    pub kind: &'static str,
    /// The inputs that decided it.
    pub detail: String,
}

impl Engine {
    /// Takes in a worker's report.
    pub fn apply_report(
        &mut self,
        key: WorkerKey,
        asked: ReportTiming,
        report: &WorkerReport,
        notes: &mut Vec<JobEvent>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.born != report.born {
            let known = worker.born != 0;
            let barriers = barriers(&worker.lost_starts, asked.received);
            worker.born = report.born;
            worker.ends_seen = 0;
            worker.ends_noted = 0;
            worker.orphans = barriers.clone();
            worker.strikes = 0;
            if known {
                self.runs_of_earlier_life(key, asked.received, notes);
                self.wait_for_barriers(&barriers, asked.received);
            }
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.answered.is_none() {
            // An earlier owner may have renewed what runs there until just now.
            worker.lapse = worker.lapse.max(asked.received + lease_bound());
        }
        worker.clock = Some(ClockSample { clock_ms: report.clock_ms, received: asked.received });
        worker.answered = worker.answered.max(Some(asked.sent));
        worker.gauges_new = true;
        worker.report_missed = false;
        let mut listed = BTreeSet::new();
        for end in &report.ended {
            listed.insert((end.task.clone(), end.attempt));
            self.take_end(key, end, asked.received, notes);
        }
        for running in &report.running {
            listed.insert((running.task.clone(), running.attempt));
            self.take_running(key, running, asked, notes);
        }
        if report.ended.len() < ENDS_PER_REPORT {
            self.drop_unlisted(key, &listed, asked, notes);
        }
    }

    /// Notes that an order may have extended the leases of a worker until `until_ms` of its clock.
    pub fn record_renewal(&mut self, key: WorkerKey, until_ms: u64) {
        if let Some(worker) = self.workers.get_mut(key)
            && let Some(clock) = worker.clock
        {
            worker.lapse = worker.lapse.max(clock.passed_by(until_ms));
        }
    }

    /// Returns until when a report that is asked for now renews a worker's leases, if it does.
    ///
    /// A worker that has fallen silent is not renewed, so that its tasks can run elsewhere in time.
    pub fn begin_renewal(&mut self, key: WorkerKey, now: Instant) -> Option<u64> {
        let worker = self.workers.get_mut(key).filter(|worker| !worker.runs.is_empty())?;
        let clock = worker.clock?;
        let answered = worker.answered?;
        if now.saturating_duration_since(answered) > ANSWER_AGE_MAX {
            return None;
        }
        let until_ms = clock.until(now, TASK_LEASE);
        worker.lapse_if_renewed = Some(clock.passed_by(until_ms));
        Some(until_ms)
    }

    /// Takes in that a worker gave no report.
    pub fn record_missed_report(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.report_missed = true;
        }
    }

    /// Takes in whether a renewal may have taken effect.
    pub fn end_renewal(&mut self, key: WorkerKey, may_hold: bool) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if let Some(lapse) = worker.lapse_if_renewed.take().filter(|_| may_hold) {
            worker.lapse = worker.lapse.max(lapse);
        }
    }

    fn take_running(
        &mut self,
        key: WorkerKey,
        running: &RunningEntry,
        asked: ReportTiming,
        notes: &mut Vec<JobEvent>,
    ) {
        let orphan = (running.task.clone(), running.attempt);
        let Some(task) = self.task_ref(&running.task) else {
            return self.add_orphan(key, orphan);
        };
        let Some(entry) = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task)) else {
            return self.add_orphan(key, orphan);
        };
        let known = entry.runs.iter_mut().find(|r| r.attempt == running.attempt && r.worker == key);
        let Some(run) = known else {
            return self.adopt(key, task, running, asked, notes);
        };
        if run.percent != running.percent {
            run.percent = running.percent;
            run.progressed = asked.received;
        }
        run.gauge = running.gauge;
        if matches!(run.state, RunState::Starting | RunState::Doubtful) {
            run.state = RunState::Running(asked.received);
        }
        if running.percent >= 100 {
            entry.at_work = Some(asked.received);
        }
        if !running.checkpoint.is_empty() {
            entry.checkpoint.clone_from(&running.checkpoint);
        }
        self.mark_started(&task);
    }

    /// Takes over a run that an earlier owner started, or stops it if nothing needs it.
    fn adopt(
        &mut self,
        key: WorkerKey,
        task: TaskRef,
        running: &RunningEntry,
        asked: ReportTiming,
        notes: &mut Vec<JobEvent>,
    ) {
        let job = &self.jobs[task.job];
        let steps = &job.submission.steps;
        let Some(step) = steps.get(task.step as usize) else { return };
        let Some(entry) = job.task(&task) else { return };
        let wanted = !job.phase.is_ended()
            && !entry.done
            && (entry.runs.is_empty() || (step.speculative && entry.runs.len() < 2));
        let run = Run {
            attempt: running.attempt,
            worker: key,
            state: match wanted {
                true => RunState::Running(asked.received),
                false => RunState::Stopping { sent: None, acknowledged: None },
            },
            sent: asked.sent,
            dead_by: asked.received,
            percent: running.percent,
            progressed: asked.received,
            gauge: running.gauge,
            pace_percent: 100,
        };
        notes.push(JobEvent {
            job: job.submission.job.clone(),
            kind: if wanted { "run adopted" } else { "run not wanted" },
            detail: self.describe(key, &task, running.attempt),
        });
        self.add_run(task, run);
        if let Some(entry) = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task)) {
            entry.doubt_until = None;
            if wanted && running.percent >= 100 {
                entry.at_work = Some(asked.received);
            }
            if wanted && !running.checkpoint.is_empty() {
                entry.checkpoint.clone_from(&running.checkpoint);
            }
        }
        self.mark_started(&task);
    }

    fn add_orphan(&mut self, key: WorkerKey, orphan: (TaskName, u32)) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.orphans.entry(orphan).or_default();
        }
    }

    pub(super) fn mark_started(&mut self, task: &TaskRef) {
        if let Some(job) = self.jobs.get_mut(task.job)
            && job.phase == Phase::Queued
        {
            job.phase = Phase::Running;
            // The start itself is not written down: a new owner learns of it from the worker.
            job.shown = job.shown.max(Phase::Running);
        }
    }

    fn take_end(
        &mut self,
        key: WorkerKey,
        end: &EndEntry,
        now: Instant,
        notes: &mut Vec<JobEvent>,
    ) {
        let worker = &mut self.workers[key];
        worker.orphans.remove(&(end.task.clone(), end.attempt));
        if end.number <= worker.ends_seen {
            return;
        }
        worker.ends_seen = end.number;
        let Some(task) = self.task_ref(&end.task) else { return };
        let run = self.remove_run(task, end.attempt, key);
        notes.push(JobEvent {
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
        self.workers[key].strikes = 0;
        self.workers[key].barred_until = None;
        self.mark_started(&task);
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        let submission = job.submission.clone();
        let Some(step) = submission.steps.get(task.step as usize) else { return };
        if step.long_running {
            // A task that runs until it is cancelled starts again however it ended.
            return self.task_interrupted(task, "");
        }
        let Some(occurrence) = job.occurrences.get_mut(&task.occurrence) else { return };
        let step_run = &mut occurrence.steps[task.step as usize];
        let indices = match step.gang {
            // The members of a gang end together, and one end stands for all.
            true => 0..step.count as usize,
            false => task.index as usize..task.index as usize + 1,
        };
        for index in indices {
            let Some(entry) = step_run.tasks.get_mut(index) else { continue };
            if !entry.done {
                entry.done = true;
                step_run.done += 1;
            }
            entry.doubt_until = None;
            for run in entry.runs.iter_mut().filter(|run| !run.is_stopping()) {
                run.state = RunState::Stopping { sent: None, acknowledged: None };
            }
        }
        self.changed.insert(task.job);
        if let Some(run) = run {
            self.learn_run_time(&task, now.saturating_duration_since(run.sent));
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

    fn learn_run_time(&mut self, task: &TaskRef, took: Duration) {
        let Some(job) = self.jobs.get(task.job) else { return };
        let Some(step) = job.submission.steps.get(task.step as usize) else { return };
        if step.estimate_ms == 0 {
            return;
        }
        let (declared_ms, took_ms) = (step.estimate_ms as f64, took.as_secs_f64() * 1_000.0);
        let learned = self.run_times.entry(job.submission.queue.clone()).or_default();
        learned.learn(declared_ms, took_ms);
    }

    fn task_failed(&mut self, key: WorkerKey, task: TaskRef, end: &EndEntry, now: Instant) {
        self.strike(key, &task, now);
        self.mark_started(&task);
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        let submission = job.submission.clone();
        let Some(step) = submission.steps.get(task.step as usize) else { return };
        let attempts_max = self.queues.get(&submission.queue).unwrap_or(&job.terms).attempts_max;
        let ended = job.phase.is_ended();
        let Some(occurrence) = job.occurrences.get_mut(&task.occurrence) else { return };
        let tasks = &mut occurrence.steps[task.step as usize].tasks;
        let members =
            if step.gang { 0..tasks.len() } else { task.index as usize..task.index as usize + 1 };
        let mut failures = 0;
        for index in members {
            let Some(entry) = tasks.get_mut(index) else { continue };
            entry.doubt_until = None;
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
        self.changed.insert(task.job);
        if !ended && !step.long_running && failures >= attempts_max as usize {
            self.end_job(task.job, Phase::Failed, now);
        }
    }

    /// Counts a failure against a worker, unless the task has failed elsewhere and is to blame itself.
    fn strike(&mut self, key: WorkerKey, task: &TaskRef, now: Instant) {
        let entry = self.jobs.get(task.job).and_then(|job| job.task(task));
        let failed_elsewhere =
            entry.is_some_and(|entry| entry.failed_on.iter().any(|failed| *failed != key));
        if failed_elsewhere {
            return;
        }
        let worker = &mut self.workers[key];
        worker.strikes += 1;
        if worker.strikes >= CONSECUTIVE_FAILURES_MAX {
            worker.barred_until = Some(now + BAR_TIME);
        }
    }

    fn task_interrupted(&mut self, task: TaskRef, checkpoint: &str) {
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        let Some(entry) = job.task_mut(&task) else { return };
        if entry.done {
            return;
        }
        entry.doubt_until = None;
        if !checkpoint.is_empty() {
            entry.checkpoint = checkpoint.to_owned();
        }
        self.changed.insert(task.job);
    }

    /// Drops the runs that a complete report would have listed if they existed.
    fn drop_unlisted(
        &mut self,
        key: WorkerKey,
        listed: &BTreeSet<(TaskName, u32)>,
        asked: ReportTiming,
        notes: &mut Vec<JobEvent>,
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
                RunState::Running(confirmed) => confirmed <= asked.sent,
                RunState::Starting => false,
                RunState::Doubtful => run.dead_by <= asked.sent,
                RunState::Stopping { acknowledged, .. } => {
                    acknowledged.is_some_and(|at| at <= asked.sent) || run.dead_by <= asked.sent
                }
            };
            if certain && !listed.contains(&(name, attempt)) {
                self.drop_run(key, task, attempt, "the worker does not have it", notes);
            }
        }
        let worker = &mut self.workers[key];
        worker.orphans.retain(|orphan, state| state.is_barrier || listed.contains(orphan));
    }

    /// Takes a run from the tables that has surely ended without an end being seen.
    pub(super) fn drop_run(
        &mut self,
        key: WorkerKey,
        task: TaskRef,
        attempt: u32,
        why: &str,
        notes: &mut Vec<JobEvent>,
    ) {
        let detail = format!("{}, {why}", self.describe(key, &task, attempt));
        self.remove_run(task, attempt, key);
        if let Some(job) = self.jobs.get(task.job) {
            let job = job.submission.job.clone();
            notes.push(JobEvent { job, kind: "run lost", detail });
        }
    }

    /// Takes the runs from the tables that ended with an earlier life of a worker.
    ///
    /// The new life knows none of the barriers and fences of the old one, so a start whose answer was
    /// lost could still take effect there; such a run stays until the new life acknowledges a stop.
    fn runs_of_earlier_life(&mut self, key: WorkerKey, now: Instant, notes: &mut Vec<JobEvent>) {
        let runs: Vec<_> = self.workers[key].runs.iter().copied().collect();
        for (task, attempt) in runs {
            let entry = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task));
            let run = entry.and_then(|entry| {
                entry.runs.iter_mut().find(|run| run.attempt == attempt && run.worker == key)
            });
            let Some(run) = run else { continue };
            if matches!(run.state, RunState::Running(_)) {
                self.drop_run(key, task, attempt, "the worker started anew", notes);
            } else {
                run.state = RunState::Stopping { sent: None, acknowledged: None };
                run.dead_by = now + UNBOUNDED;
            }
        }
    }

    /// Lets the tasks of lost starts wait until the new life of their worker has the barrier.
    fn wait_for_barriers(&mut self, barriers: &BTreeMap<(TaskName, u32), Orphan>, now: Instant) {
        for (name, _) in barriers.keys() {
            let Some(task) = self.task_ref(name) else { continue };
            if let Some(entry) = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task)) {
                entry.doubt_until = Some(now + DELIVERY_DELAY_MAX);
            }
        }
    }

    /// Takes all runs of a worker from the tables, because its life has ended or all has lapsed.
    pub fn drop_all_runs(&mut self, key: WorkerKey, why: &str, notes: &mut Vec<JobEvent>) {
        let Some(worker) = self.workers.get(key) else { return };
        let runs: Vec<_> = worker.runs.iter().copied().collect();
        for (task, attempt) in runs {
            self.drop_run(key, task, attempt, why, notes);
        }
    }

    /// Loses the runs of workers whose leases have surely lapsed, and forgets workers that are gone.
    pub fn expire_leases(&mut self, now: Instant, notes: &mut Vec<JobEvent>) {
        let lapsed: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.has_lapsed(now))
            .map(|(key, worker)| (key, worker.listed))
            .collect();
        for (key, listed) in lapsed {
            self.drop_all_runs(key, "its lease has lapsed", notes);
            if !listed {
                self.forget_worker(key);
            }
        }
    }

    /// Forgets a worker that is gone and has no runs.
    pub(super) fn forget_worker(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.worker_keys.remove(&worker.entry.id);
        }
    }

    pub(super) fn describe(&self, key: WorkerKey, task: &TaskRef, attempt: u32) -> String {
        let worker = self.workers.get(key).map_or("?", |worker| &worker.entry.id);
        let TaskRef { occurrence, step, index, .. } = task;
        format!("task={occurrence}.{step}.{index} attempt={attempt} worker={worker}")
    }
}
