//! Which teams go first when a pool is full.
//!
//! While there is room for all, or will be once instances have moved, jobs go by their deadlines alone.
//! When the accepted jobs of a pool ask for more than that, each team gets its weighted max-min share of the pool's processors, and what a team
//! has accepted beyond that goes after the others' jobs; what they leave is still used. So a team that
//! sends many times its usual load makes its own jobs late. See docs/DESIGN.md, "Shares".

use std::collections::{BTreeMap, BTreeSet};

use super::sizing::peak_milli;
use super::state::{Engine, Job, JobKey};
use crate::ids::{PoolId, TeamId};
use crate::shares::{Claim, max_min};

/// The processors that each team may use of a pool that is full, in thousandths of a core.
pub type TeamShares = BTreeMap<TeamId, u64>;

impl Engine {
    /// Returns the share of each team in a pool, or `None` if there is room for all.
    pub(super) fn shares_of(&self, pool: &PoolId, capacity_milli: u64) -> Option<TeamShares> {
        let mut wanted: TeamShares = BTreeMap::new();
        for job in self.pool_jobs(pool).filter(|job| !job.submission.is_long_running()) {
            *wanted.entry(job.submission.team.clone()).or_default() += peak_milli(job);
        }
        if wanted.values().sum::<u64>() <= capacity_milli {
            return None;
        }
        let claims: Vec<Claim> =
            wanted.iter().map(|(team, want)| self.claim(team, *want)).collect();
        let shares = max_min(&claims, clamp(capacity_milli));
        Some(wanted.into_keys().zip(shares.into_iter().map(u64::from)).collect())
    }

    fn claim(&self, team: &TeamId, wanted_milli: u64) -> Claim {
        let entry = self.teams.get(team);
        let cap_milli = entry.map_or(0, |team| team.cap.cpu_milli);
        Claim {
            // A team that the configuration no longer has, or an open queue, counts as the smallest.
            weight: entry.map_or(1, |team| clamp(team.weight).max(1)),
            demand_slots: clamp(wanted_milli),
            limit_slots: if cap_milli == 0 { u32::MAX } else { clamp(cap_milli) },
        }
    }

    /// Returns the jobs, in the order given, whose waiting tasks are beyond their team's share of a full
    /// pool; what the team has running there counts first.
    pub(super) fn beyond_share(&self, jobs: &[JobKey]) -> BTreeSet<JobKey> {
        let mut shares: BTreeMap<PoolId, Option<TeamShares>> = BTreeMap::new();
        let mut used: BTreeMap<(PoolId, TeamId), u64> = BTreeMap::new();
        let mut waiting: Vec<(JobKey, (PoolId, TeamId), u64)> = Vec::new();
        for key in jobs {
            let job = &self.jobs[*key];
            let pool = &self.queue_settings(job).pool;
            let of_pool = shares
                .entry(pool.clone())
                .or_insert_with(|| self.shares_of(pool, self.short_room_milli(pool)));
            if of_pool.is_none() || job.submission.is_long_running() {
                continue;
            }
            let owner = (pool.clone(), job.submission.team.clone());
            let (running_milli, waiting_milli) = running_and_waiting_milli(job);
            *used.entry(owner.clone()).or_default() += running_milli;
            waiting.push((*key, owner, waiting_milli));
        }
        let mut beyond = BTreeSet::new();
        for (key, owner, waiting_milli) in waiting {
            let of_pool = shares[&owner.0].as_ref();
            let share = of_pool.and_then(|shares| shares.get(&owner.1)).copied().unwrap_or(0);
            let used = used.entry(owner).or_default();
            if *used >= share {
                beyond.insert(key);
            }
            *used += waiting_milli;
        }
        beyond
    }

    /// Returns the processors that long-running tasks leave of what a pool has or will have shortly, in
    /// thousandths of a core.
    fn short_room_milli(&self, pool: &PoolId) -> u64 {
        self.pool_capacity_milli(pool).saturating_sub(self.long_running_milli(pool) as u64)
    }
}

/// Returns what a job has running, and what it could start now, in thousandths of a core.
pub(super) fn running_and_waiting_milli(job: &Job) -> (u64, u64) {
    let (mut running, mut waiting) = (0, 0);
    for occurrence in job.occurrences.values() {
        for (step, run) in job.submission.steps.iter().zip(&occurrence.steps) {
            if run.is_done() || !occurrence.is_open(step) {
                continue;
            }
            let (runs, left) = run.tasks.iter().fold((0, 0), |(runs, left), task| {
                let waits = !task.done && task.runs.is_empty();
                (runs + task.runs.len() as u64, left + u64::from(waits))
            });
            running += runs * step.reserved().cpu_milli;
            waiting += left * step.reserved().cpu_milli;
        }
    }
    (running, waiting)
}

fn clamp(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
