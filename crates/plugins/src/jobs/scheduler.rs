//! Scheduler: loads, places and ends jobs on the daemon that holds the role `jobs`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use wasabiswitch_kernel::store::{CallClass, StoreError};
use wasabiswitch_kernel::tables::{JobEntry, JobsTable, Subject};
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::ids::{InstanceId, JobId, PoolId, TeamId};
use wasabiswitch_policy::jobs::{Claim, Event, JobRow, JobState, Outcome, Resources};
use wasabiswitch_policy::placement::{
    Placement, QueuedJob, TeamUsage, Worker, infeasible_reason, place,
};

use super::rows::{JOB_PREFIX, adjust_job_slots, change_job, options};
use super::sync::sync_workers;
use crate::membership::{may_continue_role, try_acquire_role};
use crate::pools::current_row;

/// Role of the daemon that schedules jobs.
pub const JOBS_ROLE: &str = "jobs";
/// Maximum number of jobs that are placed in a pool per tick.
const PLACEMENTS_PER_TICK_MAX: usize = 64;
/// Quantile of the recorded run times that is used as the expected run time of a job.
const RUN_TIME_QUANTILE: f64 = 0.9;
/// Time for which a quarantined worker gets no jobs.
const QUARANTINE_TIME: Duration = Duration::from_secs(60);

pub(super) async fn tick(kernel: &Arc<Kernel>) {
    if !try_acquire_role(kernel, JOBS_ROLE).await {
        if may_continue_role(kernel, JOBS_ROLE) {
            // No daemon reaches the store; the leases of the tasks are still renewed, so that running
            // tasks continue.
            sync_workers(kernel).await;
        } else {
            kernel.tables.jobs.lock().clear();
        }
        return;
    }
    let loaded = load_jobs(kernel).await;
    sync_workers(kernel).await;
    if loaded.is_err() {
        return;
    }
    cancel_withdrawn(kernel).await;
    place_jobs(kernel).await;
}

/// Updates the table of jobs from the stored rows.
async fn load_jobs(kernel: &Kernel) -> Result<(), StoreError> {
    let rows = kernel.store.scan::<JobRow>(options(kernel, CallClass::Control), JOB_PREFIX).await?;
    let now = kernel.clock.now();
    let mut jobs = kernel.tables.jobs.lock();
    let present: BTreeMap<JobId, JobRow> = rows
        .into_iter()
        .map(|(key, stored)| (key[JOB_PREFIX.len()..].into(), stored.value))
        .collect();
    jobs.table.retain(|id, _| present.contains_key(id));
    for (id, row) in present {
        let order = jobs.next_order;
        let is_new = jobs.table.find(&id).is_none();
        let (_, entry) = jobs.table.get_or_insert(&id, || JobEntry {
            row: row.clone(),
            seen_at: now,
            // An earlier scheduler may have renewed the lease of the attempt until now.
            lease_confirmed_at: now,
            order,
        });
        entry.row = row;
        if is_new {
            jobs.next_order += 1;
        }
    }
    let JobsTable { table, dispatched_attempts, .. } = &mut *jobs;
    dispatched_attempts.retain(|(id, _)| table.find(id).is_some());
    let queued = table.iter().filter(|(_, entry)| entry.row.state == JobState::Queued).count();
    metrics::gauge!(metric::JOBS_QUEUED).set(queued as f64);
    Ok(())
}

/// Cancels queued jobs whose key was withdrawn; running jobs may finish.
async fn cancel_withdrawn(kernel: &Kernel) {
    let active = kernel.config();
    let withdrawn: Vec<JobId> = {
        let jobs = kernel.tables.jobs.lock();
        let queued = jobs.table.iter().filter(|(_, entry)| entry.row.state == JobState::Queued);
        queued
            .filter(|(_, entry)| {
                let key = entry.row.spec.key.as_ref();
                key.is_some_and(|key| active.config.active_key(key).is_none())
            })
            .map(|(id, _)| id.clone())
            .collect()
    };
    for id in withdrawn {
        change(kernel, &id, &Event::Cancel, "its key was withdrawn").await;
    }
}

/// Applies an event to a job, updates the table, and records the decision in the journal.
///
/// Returns whether the row was changed.
pub(super) async fn change(kernel: &Kernel, id: &JobId, event: &Event, reason: &str) -> bool {
    let Ok(Some(row)) = change_job(kernel, CallClass::Control, id, event).await else {
        return false;
    };
    let now = kernel.clock.now();
    {
        let mut jobs = kernel.tables.jobs.lock();
        if let JobState::Ended(outcome) = row.state {
            metrics::counter!(metric::JOBS, "outcome" => outcome_name(outcome)).increment(1);
            jobs.table.remove(id);
        } else if let Some(entry) = jobs.table.by_id_mut(id) {
            entry.row = row.clone();
            entry.lease_confirmed_at = now;
        }
    }
    let numbers = vec![("attempt", i64::from(row.attempt))];
    let action = action_name(event);
    kernel.tables.journal.lock().record(now, Subject::Job, id, action, reason, numbers);
    true
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Failed => "failed",
        Outcome::Cancelled => "cancelled",
        Outcome::Impossible => "impossible",
        Outcome::InDoubt => "in-doubt",
    }
}

fn action_name(event: &Event) -> &'static str {
    match event {
        Event::Claim(_) => "placed",
        Event::Started(_) => "started",
        Event::Done(_) => "done",
        Event::Failed(_) => "failed",
        Event::NotStarted(_) => "not started",
        Event::Lost(_) => "lost",
        Event::Cancel => "cancelled",
        Event::Impossible(_) => "impossible",
    }
}

async fn place_jobs(kernel: &Kernel) {
    for pool in pools_with_queued_jobs(kernel) {
        let workers = pool_workers(kernel, &pool);
        let (placeable, rejected) = partition_queued(kernel, &pool, &workers);
        for (id, reason) in rejected {
            change(kernel, &id, &Event::Impossible(reason.clone()), &reason).await;
        }
        if placeable.is_empty() {
            continue;
        }
        let teams = team_usage(kernel, &placeable).await;
        for placement in place(&placeable, &workers, &teams, PLACEMENTS_PER_TICK_MAX) {
            claim(kernel, &placement).await;
        }
    }
}

fn pools_with_queued_jobs(kernel: &Kernel) -> BTreeSet<PoolId> {
    let config = kernel.config();
    let jobs = kernel.tables.jobs.lock();
    let queued = jobs.table.iter().filter(|(_, entry)| entry.row.state == JobState::Queued);
    queued
        .filter_map(|(_, entry)| config.config.queues.get(&entry.row.spec.queue))
        .map(|queue| queue.pool.clone())
        .collect()
}

async fn claim(kernel: &Kernel, placement: &Placement) {
    let (daemon, epoch) = kernel.session();
    let claim = Claim { daemon, epoch, instance: placement.instance.clone() };
    let reason = format!("worker {} fits best", placement.instance);
    change(kernel, &placement.job, &Event::Claim(claim), &reason).await;
}

/// Returns the workers of a pool with their total and free resources.
fn pool_workers(kernel: &Kernel, pool: &PoolId) -> Vec<Worker> {
    let now = kernel.clock.now();
    let used = resources_in_use(kernel);
    let config = kernel.config();
    let members = crate::pools::pool_view(kernel, pool).domains;
    let mut workers = Vec::new();
    for id in members.keys() {
        let Some(configured) = config.config.instances.get(id) else { continue };
        let serves = current_row(kernel, id)
            .is_some_and(|row| row.state == wasabiswitch_policy::instance::InstanceState::Serving);
        let accepts = {
            let upstreams = kernel.tables.upstreams.lock();
            upstreams.table.by_id(id).is_some_and(|upstream| upstream.accepts_work())
        };
        let quarantined = is_quarantined(kernel, id, now);
        let total = Resources {
            cpu_milli: configured.cpu_milli,
            memory_bytes: configured.memory_bytes,
            accelerators: configured.accelerators,
        };
        let free = total.saturating_sub(&used.get(id).copied().unwrap_or_default());
        let usable = serves && accepts && !quarantined;
        workers.push(Worker { instance: id.clone(), total, free, usable });
    }
    workers
}

fn is_quarantined(kernel: &Kernel, instance: &InstanceId, now: Instant) -> bool {
    let jobs = kernel.tables.jobs.lock();
    jobs.quarantined_since.get(instance).is_some_and(|since| now < *since + QUARANTINE_TIME)
}

fn resources_in_use(kernel: &Kernel) -> BTreeMap<InstanceId, Resources> {
    let jobs = kernel.tables.jobs.lock();
    let mut used: BTreeMap<InstanceId, Resources> = BTreeMap::new();
    for (_, entry) in jobs.table.iter() {
        if let JobState::Claimed(claim) | JobState::Started(claim) = &entry.row.state {
            let sum = used.entry(claim.instance.clone()).or_default();
            let required = entry.row.spec.resources;
            sum.cpu_milli += required.cpu_milli;
            sum.memory_bytes += required.memory_bytes;
            sum.accelerators += required.accelerators;
        }
    }
    used
}

type Rejected = Vec<(JobId, String)>;

/// Returns the queued jobs of a pool that can run there, and those that can never run there with the reasons.
fn partition_queued(
    kernel: &Kernel,
    pool: &PoolId,
    workers: &[Worker],
) -> (Vec<QueuedJob>, Rejected) {
    let config = kernel.config();
    let now = kernel.clock.now();
    let jobs = kernel.tables.jobs.lock();
    let mut placeable = Vec::new();
    let mut rejected = Vec::new();
    for (id, entry) in jobs.table.iter() {
        let queue = config.config.queues.get(&entry.row.spec.queue);
        let in_pool = queue.is_some_and(|queue| queue.pool == *pool);
        if !in_pool || entry.row.state != JobState::Queued {
            continue;
        }
        match infeasible_reason(&entry.row.spec.resources, workers) {
            Some(reason) => rejected.push((id.clone(), reason)),
            None => {
                let kind = (entry.row.spec.team.clone(), entry.row.spec.kind.clone());
                let declared_ms = entry.row.spec.run_time_ms;
                let expected_ms = jobs
                    .run_times
                    .get(&kind)
                    .map_or(declared_ms, |times| times.quantile_ms(RUN_TIME_QUANTILE, declared_ms));
                placeable.push(queued_job(id, entry, expected_ms, now));
            }
        }
    }
    (placeable, rejected)
}

fn queued_job(id: &JobId, entry: &JobEntry, expected_ms: u64, now: Instant) -> QueuedJob {
    let waited_ms = now.saturating_duration_since(entry.seen_at).as_millis() as i64;
    let deadline_ms = match entry.row.spec.deadline_ms {
        0 => i64::MAX / 2,
        deadline_ms => deadline_ms.min(i64::MAX as u64 / 2) as i64,
    };
    QueuedJob {
        job: id.clone(),
        team: entry.row.spec.team.clone(),
        resources: entry.row.spec.resources,
        due_ms: deadline_ms - waited_ms,
        slack_ms: deadline_ms - waited_ms - expected_ms as i64,
        order: entry.order,
        failed_on: entry.row.failed_on.iter().cloned().collect(),
    }
}

/// Returns the slot usage of each team with queued jobs, after requesting the slots that these need.
///
/// Teams whose slots cannot be adjusted are left out.
async fn team_usage(kernel: &Kernel, placeable: &[QueuedJob]) -> BTreeMap<TeamId, TeamUsage> {
    let mut queued_by_team: BTreeMap<TeamId, u32> = BTreeMap::new();
    for job in placeable {
        *queued_by_team.entry(job.team.clone()).or_default() += 1;
    }
    let mut team_usage = BTreeMap::new();
    for (team, count) in queued_by_team {
        let running = count_running_jobs(kernel, &team);
        let wanted = running + count.min(PLACEMENTS_PER_TICK_MAX as u32);
        let Ok(held) = adjust_job_slots(kernel, &team, wanted, running).await else { continue };
        let weight = kernel.config().config.teams.get(&team).map_or(1, |team| team.weight);
        team_usage.insert(team, TeamUsage { weight, running, limit: held });
    }
    team_usage
}

/// Returns the number of claimed and started jobs of a team, each of which holds a slot.
pub(super) fn count_running_jobs(kernel: &Kernel, team: &str) -> u32 {
    let jobs = kernel.tables.jobs.lock();
    let running = jobs.table.iter().filter(|(_, entry)| {
        let state = &entry.row.state;
        *entry.row.spec.team == *team
            && matches!(state, JobState::Claimed(_) | JobState::Started(_))
    });
    running.count() as u32
}
