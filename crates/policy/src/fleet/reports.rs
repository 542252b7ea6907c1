//! Reports of workers: what they list, runs in progress, and the adoption of the runs of earlier owners.
//!
//! [`run_ends`](super::run_ends) records the ends, [`lost_runs`](super::lost_runs) drops what a worker no longer has, and
//! [`barriers`](super::barriers) are for its next incarnation.

use std::collections::BTreeSet;
use std::time::Instant;

use wasabiswitch_derive::derives;

use super::barriers::barrier_stops;
use super::lease::ClockSample;
use super::pace::ADOPTED_FILLER_PACE_PERCENT;
use super::state::{
    Engine, FORGOTTEN_WORKERS_MAX, Phase, Run, RunState, TaskName, TaskRef, WorkerKey,
};
use crate::ids::{BootId, InstanceId, JobId, OrderFence};

/// Maximum number of ended runs in one report; a report with fewer lists all of them.
pub const ENDS_PER_REPORT_MAX: usize = 500;

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

/// Times of one request for a report, and its fencing token.
#[derives(value)]
pub struct ReportTiming {
    /// Fencing token that the request carried.
    pub order_fence: OrderFence,
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
                // Orders that were sent while the restart was not known may still arrive.
                self.raise_order_fence(key, timing.received);
            }
        }
        let Some(worker) = self.workers.get_mut(key) else { return false };
        if worker.last_contact.is_none() {
            // An earlier owner may have renewed the leases on this worker until just now, but not later.
            worker.leases_expire_at = timing.received + predecessor_lease;
        }
        worker.clock = Some(clock);
        worker.is_order_fence_seen |= timing.order_fence == worker.order_fence;
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
        self.raise_order_fence(key, now);
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
pub(super) fn describe_run(name: &TaskName, attempt: u32, worker: &InstanceId) -> String {
    let TaskName { occurrence, step, index, .. } = name;
    format!("task={occurrence}.{step}.{index} attempt={attempt} worker={worker}")
}
