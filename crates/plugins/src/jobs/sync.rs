//! Tells workers what to run and takes in what they report.
//!
//! One call a worker carries the starts, renewals and stops of all its jobs. A task's lease is counted
//! from before the call that renewed it, so that the scheduler counts an attempt as lost only after the
//! worker must have ended it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt as _;
use futures_util::stream;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::platform::{
    PlatformError, SyncReply, SyncRequest, TaskStart, TaskState, TaskStatus,
};
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::ids::{DaemonId, Epoch, InstanceId, JobId};
use wasabiswitch_policy::jobs::{Event, JobRow, JobState};
use wasabiswitch_policy::placement::{WorkerHistory, should_quarantine};

use super::rows::hold_job_slots;
use super::scheduler::{change, running_jobs};
use crate::membership::holds_lease;

/// How long a worker runs a task without hearing from a scheduler.
const TASK_LEASE: Duration = Duration::from_secs(15);
/// How much longer the scheduler waits before it counts an attempt as lost.
const LOST_MARGIN: Duration = Duration::from_secs(5);
/// How long a call to a worker may take.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);
/// The most workers that are called at the same time.
const AT_ONCE: usize = 32;

/// A job as its worker must know it.
#[derive(Clone)]
struct Placed {
    id: JobId,
    row: JobRow,
}

pub(super) async fn sync_workers(kernel: &Arc<Kernel>) {
    let by_worker = placed_by_worker(kernel);
    stream::iter(by_worker)
        .for_each_concurrent(AT_ONCE, |(instance, placed)| async move {
            sync_worker(kernel, &instance, placed).await;
        })
        .await;
    give_back_slots(kernel).await;
}

fn placed_by_worker(kernel: &Kernel) -> BTreeMap<InstanceId, Vec<Placed>> {
    let jobs = kernel.tables.jobs.lock();
    let mut by_worker: BTreeMap<InstanceId, Vec<Placed>> = BTreeMap::new();
    for (id, entry) in jobs.table.iter() {
        if let JobState::Claimed(claim) | JobState::Started(claim) = &entry.row.state {
            let placed = Placed { id: id.clone(), row: entry.row.clone() };
            by_worker.entry(claim.instance.clone()).or_default().push(placed);
        }
    }
    by_worker
}

async fn sync_worker(kernel: &Kernel, instance: &InstanceId, placed: Vec<Placed>) {
    let (request, first) = request_for(kernel, &placed);
    let sent_at = kernel.clock.now();
    let call = (kernel.platform.sync_worker)((instance.clone(), request));
    let outcome = tokio::time::timeout(SYNC_TIMEOUT, call)
        .await
        .unwrap_or_else(|_| Err(PlatformError::may_have_run("no answer in time")));
    match outcome {
        Ok(reply) => take_in(kernel, instance, &placed, reply, sent_at).await,
        Err(error) => note_silence(kernel, &placed, &first, &error).await,
    }
}

/// Returns what a worker is told, and the jobs whose start is sent for the first time.
fn request_for(kernel: &Kernel, placed: &[Placed]) -> (SyncRequest, BTreeSet<JobId>) {
    let session = kernel.session();
    let mut first = BTreeSet::new();
    let mut request =
        SyncRequest { lease_ms: TASK_LEASE.as_millis() as u64, ..SyncRequest::default() };
    for job in placed {
        if job.row.cancel {
            request.stops.push(job.id.to_string());
            continue;
        }
        if is_own_claim(&job.row, &session) {
            let is_first = mark_dispatched(kernel, job);
            // A worker forgets attempts when it reboots, so a start that may have arrived is not sent
            // again for a job that may run only once.
            if is_first || !job.row.spec.at_most_once {
                request.starts.push(start_of(job));
            }
            if is_first {
                first.insert(job.id.clone());
            }
        }
        request.renewals.push(job.id.to_string());
    }
    (request, first)
}

/// Reports whether this session claimed the attempt and so is the one that starts it.
fn is_own_claim(row: &JobRow, session: &(DaemonId, Epoch)) -> bool {
    match &row.state {
        JobState::Claimed(claim) => claim.daemon == session.0 && claim.epoch == session.1,
        _ => false,
    }
}

/// Records that a start is being sent; returns whether it is the first of its attempt.
fn mark_dispatched(kernel: &Kernel, job: &Placed) -> bool {
    kernel.tables.jobs.lock().dispatched_attempts.insert((job.id.clone(), job.row.attempt))
}

fn start_of(job: &Placed) -> TaskStart {
    let spec = &job.row.spec;
    TaskStart {
        job: job.id.to_string(),
        attempt: job.row.attempt,
        payload: spec.payload.clone(),
        run_time_ms: spec.run_time_ms,
        cpu_milli: spec.resources.cpu_milli,
        memory_bytes: spec.resources.memory_bytes,
        accelerators: spec.resources.accelerators,
    }
}

async fn take_in(
    kernel: &Kernel,
    instance: &InstanceId,
    placed: &[Placed],
    reply: SyncReply,
    sent_at: Instant,
) {
    let mut finished = Vec::new();
    for job in placed {
        let status =
            reply.tasks.iter().find(|task| *task.job == *job.id && task.attempt == job.row.attempt);
        match status {
            Some(status) => {
                if take_status(kernel, instance, job, status, sent_at).await {
                    finished.push(job.id.to_string());
                }
            }
            // The worker has rebooted and knows nothing of the attempt any more.
            None => lose_if_old(kernel, job, "the worker does not know it").await,
        }
    }
    if !finished.is_empty() {
        let request = SyncRequest { forget: finished, ..SyncRequest::default() };
        let call = (kernel.platform.sync_worker)((instance.clone(), request));
        let _ = tokio::time::timeout(SYNC_TIMEOUT, call).await;
    }
}

/// Takes in one report; returns whether the worker may forget the task.
async fn take_status(
    kernel: &Kernel,
    instance: &InstanceId,
    job: &Placed,
    status: &TaskStatus,
    sent_at: Instant,
) -> bool {
    let attempt = job.row.attempt;
    let (event, reason) = match status.state {
        TaskState::Running => {
            confirm(kernel, job, sent_at);
            return false;
        }
        TaskState::Done => (Event::Done(attempt), "the worker reports its end"),
        TaskState::Failed => (Event::Failed(attempt), "the worker reports an error"),
        TaskState::Stopped if job.row.cancel => (Event::Failed(attempt), "it was stopped"),
        TaskState::Stopped => (Event::Lost(attempt), "its lease ran out on the worker"),
        TaskState::Refused => (Event::NotStarted(attempt), "the worker knows a newer attempt"),
    };
    let changed = change(kernel, &job.id, &event, reason).await;
    if changed {
        note_result(kernel, instance, job, status);
    }
    changed
}

fn confirm(kernel: &Kernel, job: &Placed, sent_at: Instant) {
    let mut jobs = kernel.tables.jobs.lock();
    if let Some(entry) = jobs.table.by_id_mut(&job.id) {
        entry.lease_confirmed_at = entry.lease_confirmed_at.max(sent_at);
    }
}

/// Learns from a result, and sets a worker aside that fails what the others run.
fn note_result(kernel: &Kernel, instance: &InstanceId, job: &Placed, status: &TaskStatus) {
    let now = kernel.clock.now();
    let mut jobs = kernel.tables.jobs.lock();
    let record = jobs.worker_histories.entry(instance.clone()).or_default();
    match status.state {
        TaskState::Done => {
            record.done += 1;
            record.failed = 0;
            let kind = (job.row.spec.team.clone(), job.row.spec.kind.clone());
            jobs.run_times.entry(kind).or_default().record(status.run_time_ms);
            jobs.quarantined_since.remove(instance);
        }
        TaskState::Failed if !job.row.cancel => record.failed += 1,
        _ => return,
    }
    let own = jobs.worker_histories.get(instance).copied().unwrap_or_default();
    let peers = jobs.worker_histories.iter().filter(|(id, _)| *id != instance).fold(
        WorkerHistory::default(),
        |sum, (_, record)| WorkerHistory {
            failed: sum.failed + record.failed,
            done: sum.done + record.done,
        },
    );
    if should_quarantine(own, peers)
        && jobs.quarantined_since.insert(instance.clone(), now).is_none()
    {
        log::warn!("worker {instance} fails what others run and was set aside");
    }
}

async fn note_silence(
    kernel: &Kernel,
    placed: &[Placed],
    first: &BTreeSet<JobId>,
    error: &PlatformError,
) {
    for job in placed {
        if error.verdict == Verdict::NotRun && first.contains(&job.id) {
            let event = Event::NotStarted(job.row.attempt);
            change(kernel, &job.id, &event, "the worker could not be reached").await;
        } else {
            lose_if_old(kernel, job, "the worker has been silent for its lease").await;
        }
    }
}

async fn lose_if_old(kernel: &Kernel, job: &Placed, reason: &str) {
    let now = kernel.clock.now();
    let lease_confirmed_at = {
        let jobs = kernel.tables.jobs.lock();
        jobs.table.by_id(&job.id).map(|entry| entry.lease_confirmed_at)
    };
    if lease_confirmed_at.is_some_and(|at| now >= at + TASK_LEASE + LOST_MARGIN) {
        change(kernel, &job.id, &Event::Lost(job.row.attempt), reason).await;
    }
}

/// Gives back the slots of jobs that have ended.
async fn give_back_slots(kernel: &Kernel) {
    if !holds_lease(kernel) {
        return;
    }
    let config = kernel.config();
    let with_jobs: BTreeSet<_> = {
        let jobs = kernel.tables.jobs.lock();
        jobs.table.iter().map(|(_, entry)| entry.row.spec.team.clone()).collect()
    };
    let due: Vec<_> = {
        let mut jobs = kernel.tables.jobs.lock();
        jobs.teams_with_slots.extend(with_jobs.iter().cloned());
        let idle = jobs.teams_with_slots.difference(&with_jobs).cloned();
        idle.filter(|team| config.config.teams.contains_key(team)).collect()
    };
    for team in due {
        let running = running_jobs(kernel, &team);
        if hold_job_slots(kernel, &team, running, running).await.is_ok() {
            kernel.tables.jobs.lock().teams_with_slots.remove(&team);
        }
    }
}
