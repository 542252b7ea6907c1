//! Which job runs next, and where.
//!
//! The team that is furthest below its weighted share goes first; within a team the job with the
//! earliest deadline among those that can still meet it, by their learned run times. A job goes to
//! the worker on which it leaves the least unused room that could have served an accelerator job.
//! Workers that fail what others run are set aside until a probe succeeds.

use std::collections::BTreeMap;

use wasabiswitch_derive::derives;

use crate::ids::{InstanceId, JobId, TeamId};
use crate::jobs::Resources;

/// A job that waits.
#[derives(record)]
pub struct QueuedJob {
    /// The job.
    pub job: JobId,
    /// Its team.
    pub team: TeamId,
    /// What it needs, learned or declared.
    pub resources: Resources,
    /// The time to its deadline, in milliseconds.
    pub due_ms: i64,
    /// The time to its deadline less its expected run time, in milliseconds.
    pub slack_ms: i64,
    /// The order of submission.
    pub order: u64,
    /// The workers on which it has failed.
    pub failed_on: Vec<InstanceId>,
}

/// A worker with what is left of it.
#[derives(record)]
pub struct Worker {
    /// The worker.
    pub instance: InstanceId,
    /// All that it has.
    pub total: Resources,
    /// What is free now.
    pub free: Resources,
    /// Whether it may get work.
    pub usable: bool,
}

/// A team's standing.
#[derives(value)]
pub struct TeamUsage {
    /// Its weight.
    pub weight: u32,
    /// What it has running, in jobs.
    pub running: u32,
    /// The most that it may have running, in jobs.
    pub limit: u32,
}

/// A decision to start a job.
#[derives(record)]
pub struct Placement {
    /// The job.
    pub job: JobId,
    /// Where it starts.
    pub instance: InstanceId,
}

/// Places at most `placements_max` of `waiting`, in order of share and then of deadline.
pub fn place(
    waiting: &[QueuedJob],
    workers: &[Worker],
    teams: &BTreeMap<TeamId, TeamUsage>,
    placements_max: usize,
) -> Vec<Placement> {
    let mut workers = workers.to_vec();
    let mut standings = teams.clone();
    let mut lines = lines_by_team(waiting);
    let mut placements = Vec::new();
    while placements.len() < placements_max
        && let Some(team) = next_team(&lines, &standings)
    {
        let line = lines.get_mut(&team).expect("the team was taken from the lines");
        match place_first_fit(line, &mut workers) {
            Some(placement) => {
                placements.push(placement);
                if let Some(standing) = standings.get_mut(&team) {
                    standing.running += 1;
                }
            }
            None => {
                lines.remove(&team);
            }
        }
    }
    placements
}

/// Groups jobs by team, each group with the most pressing job last, so that it is popped first.
///
/// Jobs that can still be in time go first, by their deadlines. Those that are late already go last:
/// in a burst that is too large, serving them first would make the others late as well.
fn lines_by_team(waiting: &[QueuedJob]) -> BTreeMap<TeamId, Vec<&QueuedJob>> {
    let mut lines: BTreeMap<TeamId, Vec<&QueuedJob>> = BTreeMap::new();
    for job in waiting {
        lines.entry(job.team.clone()).or_default().push(job);
    }
    for line in lines.values_mut() {
        line.sort_by_key(|job| std::cmp::Reverse((job.slack_ms < 0, job.due_ms, job.order)));
    }
    lines
}

fn next_team(
    lines: &BTreeMap<TeamId, Vec<&QueuedJob>>,
    standings: &BTreeMap<TeamId, TeamUsage>,
) -> Option<TeamId> {
    lines
        .iter()
        .filter(|(_, line)| !line.is_empty())
        .filter_map(|(team, _)| standings.get(team).map(|standing| (team, standing)))
        .filter(|(_, standing)| standing.running < standing.limit)
        .min_by(|(a_name, a), (b_name, b)| {
            let left = u64::from(a.running) * u64::from(b.weight);
            let right = u64::from(b.running) * u64::from(a.weight);
            left.cmp(&right).then(a_name.cmp(b_name))
        })
        .map(|(team, _)| team.clone())
}

/// Places the first job of the line that fits anywhere; jobs that fit nowhere now are passed over.
fn place_first_fit(line: &mut Vec<&QueuedJob>, workers: &mut [Worker]) -> Option<Placement> {
    while let Some(job) = line.pop() {
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
    let waste = |worker: &Worker| {
        let left = worker.free.saturating_sub(&job.resources);
        // Accelerators are the scarcest, so a job that needs none avoids workers that have some.
        (left.accelerators, left.cpu_milli, left.memory_bytes)
    };
    (0..workers.len())
        .filter(|&index| fitting(&workers[index]))
        .min_by_key(|&index| waste(&workers[index]))
}

/// Reports why a job can never run on any of `workers`, however idle they are.
pub fn infeasible_reason(resources: &Resources, workers: &[Worker]) -> Option<String> {
    let possible = workers.iter().any(|worker| resources.fits(&worker.total));
    if possible || workers.is_empty() {
        return None;
    }
    Some(format!(
        "no worker of the pool has {} thousandths of a core, {} bytes and {} accelerators",
        resources.cpu_milli, resources.memory_bytes, resources.accelerators
    ))
}

/// The recent results of one worker.
#[derives(value)]
#[derive(Default)]
pub struct WorkerHistory {
    /// The jobs that failed here and later ran elsewhere, or that were the first to fail.
    pub failed: u32,
    /// The jobs that ran to their end here.
    pub done: u32,
}

/// The failures in a row, without success, from which a worker is suspected.
const SUSPECT_FAILURES: u32 = 3;

/// Reports whether a worker fails what other workers run.
///
/// `peers` is the sum over the other workers of the pool. A worker is set aside only when the others
/// show that the jobs themselves can run.
pub fn should_quarantine(own: WorkerHistory, peers: WorkerHistory) -> bool {
    let peers_fine = peers.done > 0 && peers.failed < peers.done;
    own.done == 0 && own.failed >= SUSPECT_FAILURES && peers_fine
}
