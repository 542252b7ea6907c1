//! What a worker's report changes: ends are taken in, runs are found, adopted or missed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::lease::{ClockSample, TASK_LEASE, lease_bound};
use super::outcomes::LATE_MAX;
use super::placement::UNRESPONSIVE_AFTER;
use super::state::{Engine, Orphan, Phase, Run, RunState, TaskName, TaskRef, WorkerKey};
use crate::ids::{BootId, JobId};

/// The most ends in one report; a report with fewer has all of them.
pub const ENDS_PER_REPORT: usize = 500;
/// How long a task that failed waits before its next attempt, so that a fault can pass.
pub const FAILED_PAUSE: Duration = Duration::from_millis(100);
/// The failures in a row after which a worker takes no new tasks for [`BAR_TIME`].
pub(super) const STRIKES_MAX: u32 = 3;
/// How long a worker that failed its tasks is left alone; then one success clears it.
const BAR_TIME: Duration = Duration::from_secs(3);

/// Returns the stops that a new life of a worker needs, so that no lost start takes effect in it.
fn barriers(
    starts_in_doubt: &BTreeMap<(TaskName, u32), Instant>,
    now: Instant,
) -> BTreeMap<(TaskName, u32), Orphan> {
    let open = starts_in_doubt.iter().filter(|(_, until)| **until > now);
    open.map(|(run, _)| (run.clone(), Orphan { sent: None, is_barrier: true })).collect()
}

/// A time after which nothing that is judged by it matters any more.
const UNBOUNDED: Duration = Duration::from_secs(3_600);

/// How a run ended.
#[derives(value)]
pub enum End {
    /// It did its work.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
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
    pub end: End,
    /// The last checkpoint; empty for none.
    pub checkpoint: String,
}

/// What a worker reports.
#[derives(record)]
pub struct Report {
    /// Tells this life of the worker from the next.
    pub incarnation: BootId,
    /// What its clock shows, in milliseconds.
    pub clock_ms: u64,
    /// What runs there.
    pub running: Vec<RunningEntry>,
    /// The ends that are not acknowledged, at most [`ENDS_PER_REPORT`].
    pub ended: Vec<EndEntry>,
}

/// When and how a report was asked for.
#[derives(value)]
pub struct Asked {
    /// When the call was sent.
    pub sent: Instant,
    /// When the answer arrived.
    pub received: Instant,
}

/// Something that happened to a job, for the log.
#[derives(record)]
pub struct Note {
    /// The job.
    pub job: JobId,
    /// What happened.
    pub what: &'static str,
    /// The inputs that decided it.
    pub detail: String,
}

impl Engine {
    /// Takes in a worker's report.
    pub fn report(&mut self, key: WorkerKey, asked: Asked, report: &Report, notes: &mut Vec<Note>) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.incarnation != report.incarnation {
            let known = worker.incarnation != 0;
            let barriers = barriers(&worker.starts_in_doubt, asked.received);
            worker.incarnation = report.incarnation;
            worker.last_end_received = 0;
            worker.last_end_persisted = 0;
            worker.orphans = barriers.clone();
            worker.consecutive_failures = 0;
            if known {
                self.runs_of_earlier_life(key, asked.received, notes);
                self.wait_for_barriers(&barriers, asked.received);
            }
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.last_contact.is_none() {
            // An earlier owner may have renewed what runs there until just now.
            worker.leases_expire_at = worker.leases_expire_at.max(asked.received + lease_bound());
        }
        worker.clock = Some(ClockSample { clock_ms: report.clock_ms, received: asked.received });
        worker.last_contact = worker.last_contact.max(Some(asked.sent));
        worker.gauges_updated = true;
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
    pub fn renewed(&mut self, key: WorkerKey, until_ms: u64) {
        if let Some(worker) = self.workers.get_mut(key)
            && let Some(clock) = worker.clock
        {
            worker.leases_expire_at = worker.leases_expire_at.max(clock.passed_by(until_ms));
        }
    }

    /// Returns until when a report that is asked for now renews a worker's leases, if it does.
    ///
    /// A worker that has fallen silent is not renewed, so that its tasks can run elsewhere in time.
    pub fn begin_renewal(&mut self, key: WorkerKey, now: Instant) -> Option<u64> {
        let worker = self.workers.get_mut(key).filter(|worker| !worker.runs.is_empty())?;
        let clock = worker.clock?;
        let answered = worker.last_contact?;
        if now.saturating_duration_since(answered) > UNRESPONSIVE_AFTER {
            return None;
        }
        let until_ms = clock.until(now, TASK_LEASE);
        worker.leases_expire_at_if_renewed = Some(clock.passed_by(until_ms));
        Some(until_ms)
    }

    /// Takes in that a worker gave no report.
    pub fn report_failed(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.report_missed = true;
        }
    }

    /// Takes in whether a renewal may have taken effect.
    pub fn end_renewal(&mut self, key: WorkerKey, may_hold: bool) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if let Some(lapse) = worker.leases_expire_at_if_renewed.take().filter(|_| may_hold) {
            worker.leases_expire_at = worker.leases_expire_at.max(lapse);
        }
    }

    fn take_running(
        &mut self,
        key: WorkerKey,
        running: &RunningEntry,
        asked: Asked,
        notes: &mut Vec<Note>,
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
            run.last_progress = asked.received;
        }
        run.gauge = running.gauge;
        if matches!(run.state, RunState::Starting | RunState::Unconfirmed) {
            run.state = RunState::Running(asked.received);
        }
        if running.percent >= 100 {
            entry.last_ready = Some(asked.received);
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
        asked: Asked,
        notes: &mut Vec<Note>,
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
            start_expires_by: asked.received,
            percent: running.percent,
            last_progress: asked.received,
            gauge: running.gauge,
            pace_percent: 100,
        };
        notes.push(Note {
            job: job.submission.job.clone(),
            what: if wanted { "run adopted" } else { "run not wanted" },
            detail: self.describe(key, &task, running.attempt),
        });
        self.add_run(task, run);
        if let Some(entry) = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task)) {
            entry.unconfirmed_until = None;
            if wanted && running.percent >= 100 {
                entry.last_ready = Some(asked.received);
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
            job.visible_phase = job.visible_phase.max(Phase::Running);
        }
    }

    fn take_end(&mut self, key: WorkerKey, end: &EndEntry, now: Instant, notes: &mut Vec<Note>) {
        let worker = &mut self.workers[key];
        worker.orphans.remove(&(end.task.clone(), end.attempt));
        if end.number <= worker.last_end_received {
            return;
        }
        worker.last_end_received = end.number;
        let Some(task) = self.task_ref(&end.task) else { return };
        let run = self.remove_run(task, end.attempt, key);
        notes.push(Note {
            job: end.task.job.clone(),
            what: match end.end {
                End::Done => "run done",
                End::Failed => "run failed",
                End::Stopped => "run stopped",
                End::Lapsed => "run lapsed",
                End::Broken => "run broken by its gang",
                End::Alone => "run without its gang",
            },
            detail: self.describe(key, &task, end.attempt),
        });
        match end.end {
            End::Done => self.task_done(key, task, run.as_ref(), now),
            End::Failed => self.task_failed(key, task, end, now),
            End::Stopped | End::Lapsed | End::Broken | End::Alone => {
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
            entry.unconfirmed_until = None;
            for run in entry.runs.iter_mut().filter(|run| !run.is_stopping()) {
                run.state = RunState::Stopping { sent: None, acknowledged: None };
            }
        }
        self.unpersisted.insert(task.job);
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
        learned.record(declared_ms, took_ms);
    }

    fn task_failed(&mut self, key: WorkerKey, task: TaskRef, end: &EndEntry, now: Instant) {
        self.strike(key, &task, now);
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
            entry.unconfirmed_until = None;
            if !entry.failures.contains(&end.attempt) {
                entry.failures.push(end.attempt);
                entry.failed_on.push(key);
                entry.not_before = Some(now + FAILED_PAUSE);
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

    /// Counts a failure against a worker, unless the task has failed elsewhere and is to blame itself.
    fn strike(&mut self, key: WorkerKey, task: &TaskRef, now: Instant) {
        let entry = self.jobs.get(task.job).and_then(|job| job.task(task));
        let failed_elsewhere =
            entry.is_some_and(|entry| entry.failed_on.iter().any(|failed| *failed != key));
        if failed_elsewhere {
            return;
        }
        let worker = &mut self.workers[key];
        worker.consecutive_failures += 1;
        if worker.consecutive_failures >= STRIKES_MAX {
            worker.quarantined_until = Some(now + BAR_TIME);
        }
    }

    fn task_interrupted(&mut self, task: TaskRef, checkpoint: &str) {
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        let Some(entry) = job.task_mut(&task) else { return };
        if entry.done {
            return;
        }
        entry.unconfirmed_until = None;
        if !checkpoint.is_empty() {
            entry.checkpoint = checkpoint.to_owned();
        }
        self.unpersisted.insert(task.job);
    }

    /// Drops the runs that a complete report would have listed if they existed.
    fn drop_unlisted(
        &mut self,
        key: WorkerKey,
        listed: &BTreeSet<(TaskName, u32)>,
        asked: Asked,
        notes: &mut Vec<Note>,
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
                RunState::Unconfirmed => run.start_expires_by <= asked.sent,
                RunState::Stopping { acknowledged, .. } => {
                    acknowledged.is_some_and(|at| at <= asked.sent)
                        || run.start_expires_by <= asked.sent
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
        notes: &mut Vec<Note>,
    ) {
        let detail = format!("{}, {why}", self.describe(key, &task, attempt));
        self.remove_run(task, attempt, key);
        if let Some(job) = self.jobs.get(task.job) {
            let job = job.submission.job.clone();
            notes.push(Note { job, what: "run lost", detail });
        }
    }

    /// Takes the runs from the tables that ended with an earlier life of a worker.
    ///
    /// The new life knows none of the barriers and fences of the old one, so a start whose answer was
    /// lost could still take effect there; such a run stays until the new life acknowledges a stop.
    fn runs_of_earlier_life(&mut self, key: WorkerKey, now: Instant, notes: &mut Vec<Note>) {
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
                run.start_expires_by = now + UNBOUNDED;
            }
        }
    }

    /// Lets the tasks of lost starts wait until the new life of their worker has the barrier.
    fn wait_for_barriers(&mut self, barriers: &BTreeMap<(TaskName, u32), Orphan>, now: Instant) {
        for (name, _) in barriers.keys() {
            let Some(task) = self.task_ref(name) else { continue };
            if let Some(entry) = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task)) {
                entry.unconfirmed_until = Some(now + LATE_MAX);
            }
        }
    }

    /// Takes all runs of a worker from the tables, because its life has ended or all has lapsed.
    pub fn lose_runs(&mut self, key: WorkerKey, why: &str, notes: &mut Vec<Note>) {
        let Some(worker) = self.workers.get(key) else { return };
        let runs: Vec<_> = worker.runs.iter().copied().collect();
        for (task, attempt) in runs {
            self.drop_run(key, task, attempt, why, notes);
        }
    }

    /// Loses the runs of workers whose leases have surely lapsed, and forgets workers that are gone.
    pub fn lapse(&mut self, now: Instant, notes: &mut Vec<Note>) {
        let lapsed: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.leases_expired(now))
            .map(|(key, worker)| (key, worker.listed))
            .collect();
        for (key, listed) in lapsed {
            self.lose_runs(key, "its lease has lapsed", notes);
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
