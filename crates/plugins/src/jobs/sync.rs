//! Synchronizes the tasks of workers with the rows of jobs.
//!
//! One call to a worker carries the starts, renewals and stops of all its jobs. The scheduler counts a
//! task's lease from the time at which it sent the call that renewed the lease, and adds a margin: it
//! declares an attempt lost only after the worker must have ended it.

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

use super::rows::adjust_job_slots;
use super::scheduler::{change, count_running_jobs};
use crate::membership::holds_lease;

/// Lease of a task: time after which a worker ends it if no scheduler has renewed the lease.
const TASK_LEASE: Duration = Duration::from_secs(15);
/// Additional time after a lease before the scheduler declares the attempt lost.
const LOST_MARGIN: Duration = Duration::from_secs(5);
/// Timeout of a call to a worker.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent calls to workers.
const CONCURRENT_CALLS_MAX: usize = 32;

/// A claimed or started job as of the start of a synchronization.
#[derive(Clone)]
struct PlacedJob {
    id: JobId,
    row: JobRow,
}

pub(super) async fn sync_workers(kernel: &Arc<Kernel>) {
    let by_worker = jobs_by_worker(kernel);
    stream::iter(by_worker)
        .for_each_concurrent(CONCURRENT_CALLS_MAX, |(instance, placed)| async move {
            sync_worker(kernel, &instance, placed).await;
        })
        .await;
    release_idle_slots(kernel).await;
}

fn jobs_by_worker(kernel: &Kernel) -> BTreeMap<InstanceId, Vec<PlacedJob>> {
    let jobs = kernel.tables.jobs.lock();
    let mut by_worker: BTreeMap<InstanceId, Vec<PlacedJob>> = BTreeMap::new();
    for (id, entry) in jobs.table.iter() {
        if let JobState::Claimed(claim) | JobState::Started(claim) = &entry.row.state {
            let placed = PlacedJob { id: id.clone(), row: entry.row.clone() };
            by_worker.entry(claim.instance.clone()).or_default().push(placed);
        }
    }
    by_worker
}

async fn sync_worker(kernel: &Kernel, instance: &InstanceId, placed: Vec<PlacedJob>) {
    let (request, first_starts) = build_request(kernel, &placed);
    let sent_at = kernel.clock.now();
    let call = (kernel.platform.sync_worker)((instance.clone(), request));
    let outcome = tokio::time::timeout(SYNC_TIMEOUT, call)
        .await
        .unwrap_or_else(|_| Err(PlatformError::may_have_run("no answer in time")));
    match outcome {
        Ok(reply) => apply_reply(kernel, instance, &placed, reply, sent_at).await,
        Err(error) => handle_sync_error(kernel, &placed, &first_starts, &error).await,
    }
}

/// Returns the request for a worker, and the jobs whose start is sent for the first time.
fn build_request(kernel: &Kernel, placed: &[PlacedJob]) -> (SyncRequest, BTreeSet<JobId>) {
    let session = kernel.session();
    let mut first_starts = BTreeSet::new();
    let mut request =
        SyncRequest { lease_ms: TASK_LEASE.as_millis() as u64, ..SyncRequest::default() };
    for job in placed {
        if job.row.cancel {
            request.stops.push(job.id.to_string());
            continue;
        }
        if is_own_claim(&job.row, &session) {
            let is_first = mark_dispatched(kernel, job);
            // A worker loses its attempts when it reboots. If the start of an at-most-once job may have
            // arrived, sending it again could run the job twice.
            if is_first || !job.row.spec.at_most_once {
                request.starts.push(task_start(job));
            }
            if is_first {
                first_starts.insert(job.id.clone());
            }
        }
        request.renewals.push(job.id.to_string());
    }
    (request, first_starts)
}

/// Returns whether the attempt is claimed by this session, which then sends the start.
fn is_own_claim(row: &JobRow, session: &(DaemonId, Epoch)) -> bool {
    match &row.state {
        JobState::Claimed(claim) => claim.daemon == session.0 && claim.epoch == session.1,
        _ => false,
    }
}

/// Records that a start is sent; returns whether it is the first one of this attempt.
fn mark_dispatched(kernel: &Kernel, job: &PlacedJob) -> bool {
    kernel.tables.jobs.lock().dispatched_attempts.insert((job.id.clone(), job.row.attempt))
}

fn task_start(job: &PlacedJob) -> TaskStart {
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

async fn apply_reply(
    kernel: &Kernel,
    instance: &InstanceId,
    placed: &[PlacedJob],
    reply: SyncReply,
    sent_at: Instant,
) {
    let mut finished = Vec::new();
    for job in placed {
        let status =
            reply.tasks.iter().find(|task| *task.job == *job.id && task.attempt == job.row.attempt);
        match status {
            Some(status) => {
                if apply_status(kernel, instance, job, status, sent_at).await {
                    finished.push(job.id.to_string());
                }
            }
            // The worker may have rebooted and lost the attempt.
            None => mark_lost_if_expired(kernel, job, "the worker does not know it").await,
        }
    }
    if !finished.is_empty() {
        let request = SyncRequest { forget: finished, ..SyncRequest::default() };
        let call = (kernel.platform.sync_worker)((instance.clone(), request));
        let _ = tokio::time::timeout(SYNC_TIMEOUT, call).await;
    }
}

/// Applies the reported status of a task; returns whether the worker may drop the task.
async fn apply_status(
    kernel: &Kernel,
    instance: &InstanceId,
    job: &PlacedJob,
    status: &TaskStatus,
    sent_at: Instant,
) -> bool {
    let attempt = job.row.attempt;
    let (event, reason) = match status.state {
        TaskState::Running => {
            record_confirmation(kernel, job, sent_at);
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
        record_result(kernel, instance, job, status);
    }
    changed
}

fn record_confirmation(kernel: &Kernel, job: &PlacedJob, sent_at: Instant) {
    let mut jobs = kernel.tables.jobs.lock();
    if let Some(entry) = jobs.table.by_id_mut(&job.id) {
        entry.lease_confirmed_at = entry.lease_confirmed_at.max(sent_at);
    }
}

/// Records a result in the history of the worker and the run times of the kind of job, and quarantines
/// a worker that fails tasks which other workers complete.
fn record_result(kernel: &Kernel, instance: &InstanceId, job: &PlacedJob, status: &TaskStatus) {
    let now = kernel.clock.now();
    let mut jobs = kernel.tables.jobs.lock();
    let history = jobs.worker_histories.entry(instance.clone()).or_default();
    match status.state {
        TaskState::Done => {
            history.done += 1;
            history.failed = 0;
            let kind = (job.row.spec.team.clone(), job.row.spec.kind.clone());
            jobs.run_times.entry(kind).or_default().record(status.run_time_ms);
            jobs.quarantined_since.remove(instance);
        }
        TaskState::Failed if !job.row.cancel => history.failed += 1,
        _ => return,
    }
    let own_history = jobs.worker_histories.get(instance).copied().unwrap_or_default();
    let peer_history = jobs.worker_histories.iter().filter(|(id, _)| *id != instance).fold(
        WorkerHistory::default(),
        |sum, (_, history)| WorkerHistory {
            failed: sum.failed + history.failed,
            done: sum.done + history.done,
        },
    );
    if should_quarantine(own_history, peer_history)
        && jobs.quarantined_since.insert(instance.clone(), now).is_none()
    {
        log::warn!("worker {instance} was quarantined: it fails jobs that other workers complete");
    }
}

async fn handle_sync_error(
    kernel: &Kernel,
    placed: &[PlacedJob],
    first_starts: &BTreeSet<JobId>,
    error: &PlatformError,
) {
    for job in placed {
        if error.verdict == Verdict::NotRun && first_starts.contains(&job.id) {
            let event = Event::NotStarted(job.row.attempt);
            change(kernel, &job.id, &event, "the worker could not be reached").await;
        } else {
            mark_lost_if_expired(kernel, job, "the worker has been silent for its lease").await;
        }
    }
}

async fn mark_lost_if_expired(kernel: &Kernel, job: &PlacedJob, reason: &str) {
    let now = kernel.clock.now();
    let lease_confirmed_at = {
        let jobs = kernel.tables.jobs.lock();
        jobs.table.by_id(&job.id).map(|entry| entry.lease_confirmed_at)
    };
    if lease_confirmed_at.is_some_and(|at| now >= at + TASK_LEASE + LOST_MARGIN) {
        change(kernel, &job.id, &Event::Lost(job.row.attempt), reason).await;
    }
}

/// Releases the slots of teams that have no active jobs any more.
async fn release_idle_slots(kernel: &Kernel) {
    if !holds_lease(kernel) {
        return;
    }
    let config = kernel.config();
    let active_teams: BTreeSet<_> = {
        let jobs = kernel.tables.jobs.lock();
        jobs.table.iter().map(|(_, entry)| entry.row.spec.team.clone()).collect()
    };
    let idle_teams: Vec<_> = {
        let mut jobs = kernel.tables.jobs.lock();
        jobs.teams_with_slots.extend(active_teams.iter().cloned());
        let idle = jobs.teams_with_slots.difference(&active_teams).cloned();
        idle.filter(|team| config.config.teams.contains_key(team)).collect()
    };
    for team in idle_teams {
        let running = count_running_jobs(kernel, &team);
        if adjust_job_slots(kernel, &team, running, running).await.is_ok() {
            kernel.tables.jobs.lock().teams_with_slots.remove(&team);
        }
    }
}
