//! Choice of the next job and its worker.
//!
//! The team furthest below its weighted share goes first. Within a team, jobs run by earliest
//! deadline; those that can no longer meet theirs, by their expected run times, come last. A job is
//! placed by best fit, on the worker that it leaves with the fewest free resources, accelerators
//! first. Workers that fail jobs which other workers complete are quarantined for a time.

use std::collections::BTreeMap;

use wasabiswitch_derive::derives;

use crate::ids::{InstanceId, JobId, TeamId};
use crate::jobs::Resources;

/// Job that waits for a worker.
#[derives(record)]
pub struct QueuedJob {
    /// Id of the job.
    pub job: JobId,
    /// Team of the job.
    pub team: TeamId,
    /// Required resources.
    pub resources: Resources,
    /// Time to the deadline, in milliseconds.
    pub due_ms: i64,
    /// Time to the deadline minus the expected run time, in milliseconds.
    pub slack_ms: i64,
    /// Position in the order of submission.
    pub order: u64,
    /// Workers on which the job has failed.
    pub failed_on: Vec<InstanceId>,
}

/// Worker with its total and free resources.
#[derives(record)]
pub struct Worker {
    /// Instance that is the worker.
    pub instance: InstanceId,
    /// Total resources.
    pub total: Resources,
    /// Free resources.
    pub free: Resources,
    /// Whether the worker may get jobs.
    pub usable: bool,
}

/// Weight, usage and limit of a team.
#[derives(value)]
pub struct TeamUsage {
    /// Weight relative to the other teams.
    pub weight: u32,
    /// Number of running jobs.
    pub running: u32,
    /// Maximum number of running jobs.
    pub limit: u32,
}

/// Assignment of a job to a worker.
#[derives(record)]
pub struct Placement {
    /// Id of the job.
    pub job: JobId,
    /// Worker that starts the job.
    pub instance: InstanceId,
}

/// Places at most `placements_max` of the `waiting` jobs, by the teams' shares and then by
/// deadline.
pub fn place(
    waiting: &[QueuedJob],
    workers: &[Worker],
    teams: &BTreeMap<TeamId, TeamUsage>,
    placements_max: usize,
) -> Vec<Placement> {
    let mut workers = workers.to_vec();
    let mut usage_by_team = teams.clone();
    let mut queues = queues_by_team(waiting);
    let mut placements = Vec::new();
    while placements.len() < placements_max
        && let Some(team) = next_team(&queues, &usage_by_team)
    {
        let queue = queues.get_mut(&team).expect("the team has a queue");
        match place_first_fit(queue, &mut workers) {
            Some(placement) => {
                placements.push(placement);
                if let Some(usage) = usage_by_team.get_mut(&team) {
                    usage.running += 1;
                }
            }
            None => {
                queues.remove(&team);
            }
        }
    }
    placements
}

/// Groups jobs by team, in reverse order of service, so that `pop` returns the next job.
///
/// Jobs that can still meet their deadlines are served first, by deadline. Late jobs come last: in
/// an overload, serving them first would make the other jobs miss their deadlines as well.
fn queues_by_team(waiting: &[QueuedJob]) -> BTreeMap<TeamId, Vec<&QueuedJob>> {
    let mut queues: BTreeMap<TeamId, Vec<&QueuedJob>> = BTreeMap::new();
    for job in waiting {
        queues.entry(job.team.clone()).or_default().push(job);
    }
    for queue in queues.values_mut() {
        queue.sort_by_key(|job| std::cmp::Reverse((job.slack_ms < 0, job.due_ms, job.order)));
    }
    queues
}

fn next_team(
    queues: &BTreeMap<TeamId, Vec<&QueuedJob>>,
    usage_by_team: &BTreeMap<TeamId, TeamUsage>,
) -> Option<TeamId> {
    queues
        .iter()
        .filter(|(_, queue)| !queue.is_empty())
        .filter_map(|(team, _)| usage_by_team.get(team).map(|usage| (team, usage)))
        .filter(|(_, usage)| usage.running < usage.limit)
        .min_by(|(a_name, a), (b_name, b)| {
            let left = u64::from(a.running) * u64::from(b.weight);
            let right = u64::from(b.running) * u64::from(a.weight);
            left.cmp(&right).then(a_name.cmp(b_name))
        })
        .map(|(team, _)| team.clone())
}

/// Places the first job of a team's queue that fits on some worker; the jobs before it are removed,
/// so that they are skipped for the rest of the round.
fn place_first_fit(queue: &mut Vec<&QueuedJob>, workers: &mut [Worker]) -> Option<Placement> {
    while let Some(job) = queue.pop() {
        if let Some(index) = best_worker(job, workers) {
            let worker = &mut workers[index];
            worker.free = worker.free.saturating_sub(&job.resources);
            let (job, instance) = (job.job.clone(), worker.instance.clone());
            return Some(Placement { job, instance });
        }
    }
    None
}

fn best_worker(job: &QueuedJob, workers: &[Worker]) -> Option<usize> {
    let fitting = |worker: &Worker| {
        worker.usable
            && job.resources.fits(&worker.free)
            && !job.failed_on.contains(&worker.instance)
    };
    let remainder = |worker: &Worker| {
        let unused = worker.free.saturating_sub(&job.resources);
        // Accelerators are the scarcest, so a job that needs none avoids workers that have some.
        (unused.accelerators, unused.cpu_milli, unused.memory_bytes)
    };
    (0..workers.len())
        .filter(|&index| fitting(&workers[index]))
        .min_by_key(|&index| remainder(&workers[index]))
}

/// Returns why a job with these resources can run on none of `workers` even when they are idle.
///
/// Returns `None` if some worker is large enough, or if there are no workers, since some may be
/// added.
pub fn infeasible_reason(resources: &Resources, workers: &[Worker]) -> Option<String> {
    let feasible = workers.iter().any(|worker| resources.fits(&worker.total));
    if feasible || workers.is_empty() {
        return None;
    }
    Some(format!(
        "no worker of the pool has {} thousandths of a core, {} bytes and {} accelerators",
        resources.cpu_milli, resources.memory_bytes, resources.accelerators
    ))
}

/// Recent job results of one worker.
#[derives(value)]
#[derive(Default)]
pub struct WorkerHistory {
    /// Number of jobs that failed on the worker since its last success.
    pub failed: u32,
    /// Number of jobs that completed on the worker.
    pub done: u32,
}

/// Number of failures at which a worker without any success may be quarantined.
const QUARANTINE_FAILURES_MIN: u32 = 3;

/// Returns whether a worker should be quarantined because it fails jobs that other workers
/// complete.
///
/// `peers` is the sum over the other workers of the pool. Without successes among them, the
/// failures may be the fault of the jobs themselves, and the worker is kept.
pub fn should_quarantine(own: WorkerHistory, peers: WorkerHistory) -> bool {
    let peers_succeed = peers.done > 0 && peers.failed < peers.done;
    own.done == 0 && own.failed >= QUARANTINE_FAILURES_MIN && peers_succeed
}
