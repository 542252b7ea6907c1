//! Processing of worker reports: ended runs are recorded, runs of earlier owners are adopted, and runs
//! that a worker no longer has are dropped.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::lease::{ClockSample, LeaseOrder};
use super::outcomes::DELIVERY_DELAY_MAX;
use super::pace::ADOPTED_FILLER_PACE_PERCENT;
use super::state::{
    Engine, FORGOTTEN_WORKERS_MAX, Orphan, Phase, Run, RunState, TaskName, TaskRef, WorkerKey,
};
use crate::ids::{BootId, InstanceId, JobId};

/// Maximum number of ended runs in one report; a report with fewer lists all of them.
pub const ENDS_PER_REPORT_MAX: usize = 500;
/// Delay before the next attempt at a task that failed, so that a transient fault can pass.
pub const FAILED_TASK_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Number of consecutive failures after which a worker is quarantined for [`QUARANTINE_TIME`].
pub(super) const CONSECUTIVE_FAILURES_MAX: u32 = 3;
/// Time for which a quarantined worker gets no new tasks; its next success resets the failure count.
const QUARANTINE_TIME: Duration = Duration::from_secs(3);

/// Returns the barriers for a new incarnation of a worker: stops that it has to acknowledge, so that no start
/// whose answer was lost takes effect there.
fn barrier_stops(
    starts_in_doubt: &BTreeMap<(TaskName, u32), LeaseOrder>,
    now: Instant,
) -> BTreeMap<(TaskName, u32), Orphan> {
    let open = starts_in_doubt.iter().filter(|(_, order)| order.arrives_by > now);
    open.map(|(run, order)| (run.clone(), Orphan::barrier(order.arrives_by))).collect()
}

/// Time after which a start without a known bound expires; an acknowledged stop ends such a run long before.
const NO_KNOWN_BOUND: Duration = Duration::from_secs(3_600);

/// Reason why a run ended.
#[derives(value)]
pub enum RunEnd {
    /// The task is complete.
    Done,
    /// The task failed, through its own fault or the worker's.
    Failed,
    /// An order stopped the run.
    Stopped,
    /// The lease of the run expired.
    LeaseExpired,
    /// Another member of the gang ended.
    GangMemberEnded,
    /// The other members of the gang did not start in time.
    GangIncomplete,
}

/// A run in progress, as its worker reports it.
#[derives(record)]
pub struct RunningEntry {
    /// Task that the run executes.
    pub task: TaskName,
    /// Number of the attempt at the task.
    pub attempt: u32,
    /// Newest checkpoint of the task; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent.
    pub percent: u32,
    /// Gauge of the task over the last half second; zero if the worker reports none.
    pub gauge: f64,
}

/// An ended run, as its worker reports it.
#[derives(record)]
pub struct EndEntry {
    /// Sequence number of the end within the incarnation of the worker.
    pub number: u64,
    /// Task that the run executed.
    pub task: TaskName,
    /// Number of the attempt at the task.
    pub attempt: u32,
    /// Reason why the run ended.
    pub end: RunEnd,
    /// Last checkpoint of the task; empty if there is none.
    pub checkpoint: String,
}

/// Report of a worker on its clock and its runs.
#[derives(record)]
pub struct WorkerReport {
    /// Number that distinguishes this incarnation of the worker from all others.
    pub incarnation: BootId,
    /// Reading of the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs in progress.
    pub running: Vec<RunningEntry>,
    /// Ended runs that have not been acknowledged, at most [`ENDS_PER_REPORT_MAX`].
    pub ended: Vec<EndEntry>,
}

/// Times of one request for a report.
#[derives(value)]
pub struct ReportTiming {
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Time at which the report arrived.
    pub received: Instant,
}

/// An event of a job, for the log and the metrics.
#[derives(record)]
pub struct JobEvent {
    /// Job to which the event belongs.
    pub job: JobId,
    /// Kind of event; it heads the log line and is a label of the metric.
    pub kind: &'static str,
    /// Run that the event concerns, with the inputs of the decision.
    pub detail: String,
}

/// Least progress in percent of the last report before the end of a run from which its run time on the worker is
/// extrapolated.
const PURE_RUN_TIME_PERCENT_MIN: u32 = 20;

impl Engine {
    /// Applies a worker's report, unless a newer one has overtaken it; returns whether it was applied.
    pub fn apply_report(
        &mut self,
        key: WorkerKey,
        timing: ReportTiming,
        report: &WorkerReport,
        events: &mut Vec<JobEvent>,
    ) -> bool {
        let (lease_max, predecessor_order) = (self.limits.lease_max, self.predecessor_order);
        let predecessor_lease = self.predecessor_lease();
        let Some(worker) = self.workers.get_mut(key) else { return false };
        if worker.is_overtaken(timing.sent, report) {
            return false;
        }
        let clock = ClockSample { clock_ms: report.clock_ms, received: timing.received };
        if worker.incarnation != report.incarnation {
            let known = worker.incarnation != 0;
            let barriers = barrier_stops(&worker.starts_in_doubt, timing.received);
            worker.incarnation = report.incarnation;
            worker.incarnation_known_since = Some(timing.received);
            worker.reset_ends();
            worker.orphans = barriers.clone();
            worker.consecutive_failures = 0;
            if known {
                worker.cover_pending_orders(predecessor_order, Some(&clock), lease_max);
                self.report_barriers(key, &barriers, events);
                self.drop_runs_of_previous_incarnation(key, timing, events);
                self.block_until_barriers(&barriers, timing.received);
            }
        }
        let Some(worker) = self.workers.get_mut(key) else { return false };
        if worker.last_contact.is_none() {
            // An earlier owner may have renewed the leases on this worker until just now, but not later.
            worker.leases_expire_at = timing.received + predecessor_lease;
        }
        worker.clock = Some(clock);
        worker.last_contact = worker.last_contact.max(Some(timing.sent));
        worker.last_answer = worker.last_answer.max(Some(timing.received));
        worker.gauges_updated = true;
        worker.first_end_listed = report.ended.iter().map(|end| end.number).min();
        worker.report_missed_at = worker.report_missed_at.filter(|at| *at > timing.sent);
        worker.answer_missed_at = worker.answer_missed_at.filter(|at| *at > timing.sent);
        worker.restart_suspected_at = worker.restart_suspected_at.filter(|at| *at > timing.sent);
        let mut listed = BTreeSet::new();
        for end in &report.ended {
            listed.insert((end.task.clone(), end.attempt));
            self.apply_end(key, end, timing.received, events);
        }
        for running in &report.running {
            listed.insert((running.task.clone(), running.attempt));
            self.apply_running(key, running, timing, events);
        }
        if report.ended.len() < ENDS_PER_REPORT_MAX {
            self.drop_unlisted_runs(key, &listed, timing, events);
            self.confirm_silent_worker(key);
        }
        true
    }

    /// Records that a request for a worker's report has failed.
    pub fn record_missed_report(&mut self, key: WorkerKey, now: Instant) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.report_missed_at = Some(now);
        }
    }

    fn apply_running(
        &mut self,
        key: WorkerKey,
        running: &RunningEntry,
        timing: ReportTiming,
        events: &mut Vec<JobEvent>,
    ) {
        let orphan = (running.task.clone(), running.attempt);
        let Some(task) = self.task_ref(&running.task) else {
            return self.add_orphan(key, orphan, events);
        };
        let Some(entry) = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task)) else {
            return self.add_orphan(key, orphan, events);
        };
        entry.is_unconfirmed &= !self.silent_workers.has_predecessor_ended(timing.sent);
        let known = entry.runs.iter_mut().find(|r| r.attempt == running.attempt && r.worker == key);
        let Some(run) = known else {
            return self.adopt(key, task, running, timing, events);
        };
        if run.percent != running.percent {
            run.percent = running.percent;
            run.last_progress = timing.received;
        }
        run.gauge = running.gauge;
        if matches!(run.state, RunState::Starting | RunState::Unconfirmed) {
            run.state = RunState::Running(timing.received);
        }
        if running.percent >= 100 {
            entry.last_ready = Some(timing.received);
        }
        if !running.checkpoint.is_empty() {
            entry.checkpoint.clone_from(&running.checkpoint);
        }
        self.mark_started(&task);
    }

    /// Adopts a run that an earlier owner started, or stops it if its job does not need it.
    fn adopt(
        &mut self,
        key: WorkerKey,
        task: TaskRef,
        running: &RunningEntry,
        timing: ReportTiming,
        events: &mut Vec<JobEvent>,
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
                true => RunState::Running(timing.received),
                false => RunState::Stopping { sent: None, acknowledged: None },
            },
            sent: timing.sent,
            start_expires_by: timing.received,
            percent: running.percent,
            last_progress: timing.received,
            gauge: running.gauge,
            pace_percent: if step.fills { ADOPTED_FILLER_PACE_PERCENT } else { 100 },
        };
        events.push(JobEvent {
            job: job.submission.job.clone(),
            kind: if wanted { "run adopted" } else { "run not wanted" },
            detail: self.describe(key, &task, running.attempt),
        });
        self.add_run(task, run);
        self.report_excess(key, &running.task.job, events);
        if let Some(entry) = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task)) {
            entry.barred_until = None;
            if wanted && running.percent >= 100 {
                entry.last_ready = Some(timing.received);
            }
            if wanted && !running.checkpoint.is_empty() {
                entry.checkpoint.clone_from(&running.checkpoint);
            }
        }
        self.mark_started(&task);
    }

    fn add_orphan(&mut self, key: WorkerKey, orphan: (TaskName, u32), events: &mut Vec<JobEvent>) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if !worker.orphans.contains_key(&orphan) {
            events.push(JobEvent {
                job: orphan.0.job.clone(),
                kind: "run of no known task",
                detail: describe_run(&orphan.0, orphan.1, &worker.entry.id),
            });
        }
        worker.orphans.entry(orphan).or_default();
    }

    /// Reports an event for each start in doubt that the new incarnation of a worker may still carry out.
    fn report_barriers(
        &self,
        key: WorkerKey,
        barriers: &BTreeMap<(TaskName, u32), Orphan>,
        events: &mut Vec<JobEvent>,
    ) {
        let Some(worker) = self.workers.get(key) else { return };
        for (name, attempt) in barriers.keys() {
            events.push(JobEvent {
                job: name.job.clone(),
                kind: "start in doubt at a restarted worker",
                detail: format!(
                    "{} incarnation={}",
                    describe_run(name, *attempt, &worker.entry.id),
                    worker.incarnation
                ),
            });
        }
    }

    /// Reports an event if the known runs of a worker exceed its capacity.
    fn report_excess(&self, key: WorkerKey, job: &JobId, events: &mut Vec<JobEvent>) {
        let Some(worker) = self.workers.get(key) else { return };
        if !worker.reserved.fits(&worker.entry.capacity) {
            let detail = format!("worker={}, {}", worker.entry.id, worker.describe_load());
            events.push(JobEvent { job: job.clone(), kind: "worker over capacity", detail });
        }
    }

    pub(super) fn mark_started(&mut self, task: &TaskRef) {
        if let Some(job) = self.jobs.get_mut(task.job)
            && job.phase == Phase::Queued
        {
            job.phase = Phase::Running;
            // Starts are not persisted: a new owner learns of them from the workers.
            job.visible_phase = job.visible_phase.max(Phase::Running);
        }
    }

    fn apply_end(
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

    /// Drops the runs that a complete report does not list although it would list them if they existed.
    fn drop_unlisted_runs(
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
    fn drop_runs_of_previous_incarnation(
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

    /// Blocks the tasks whose starts are in doubt until the new incarnation of their worker has the barrier,
    /// or the starts can no longer be delivered.
    fn block_until_barriers(&mut self, barriers: &BTreeMap<(TaskName, u32), Orphan>, now: Instant) {
        for (name, _) in barriers.keys() {
            let Some(task) = self.task_ref(name) else { continue };
            if let Some(entry) = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task)) {
                entry.barred_until = Some(now + DELIVERY_DELAY_MAX);
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

    /// Removes a worker that is gone and has no runs.
    pub(super) fn remove_worker(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.worker_keys.remove(&worker.entry.id);
            if self.forgotten_workers.len() < FORGOTTEN_WORKERS_MAX {
                self.forgotten_workers.push(worker);
            }
        }
    }

    /// Describes a run for the log, with the incarnation of its worker that reported last; zero before the first report.
    pub(super) fn describe(&self, key: WorkerKey, task: &TaskRef, attempt: u32) -> String {
        let worker = self.workers.get(key);
        let (id, incarnation) =
            worker.map_or(("?", 0), |worker| (&*worker.entry.id, worker.incarnation));
        let TaskRef { occurrence, step, index, .. } = task;
        format!(
            "task={occurrence}.{step}.{index} attempt={attempt} worker={id} incarnation={incarnation}"
        )
    }
}

/// Describes a run for the log by the name of its task.
fn describe_run(name: &TaskName, attempt: u32, worker: &InstanceId) -> String {
    let TaskName { occurrence, step, index, .. } = name;
    format!("task={occurrence}.{step}.{index} attempt={attempt} worker={worker}")
}
