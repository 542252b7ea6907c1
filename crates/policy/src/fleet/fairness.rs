//! Fair shares of teams in a full pool.
//!
//! While the capacity of a pool suffices for all accepted jobs, moves of instances included, jobs are ordered
//! by their deadlines alone. When the accepted jobs need more, each team gets its weighted max-min share of
//! the pool's processors, and its jobs beyond the share come after the jobs of other teams. Capacity that
//! other teams do not use is still available to it. A team that sends many times its usual load therefore
//! delays its own jobs. See docs/DESIGN.md, "Shares".

use std::collections::{BTreeMap, BTreeSet};

use super::sizing::peak_demand_milli;
use super::state::{Engine, Job, JobKey};
use crate::ids::{PoolId, TeamId};
use crate::shares::{Claim, max_min};

/// Share of each team in the processors of a full pool, in thousandths of a core.
pub type TeamShares = BTreeMap<TeamId, u64>;

impl Engine {
    /// Returns the share of each team in a pool, or `None` if the capacity suffices for all.
    pub(super) fn shares_of(&self, pool: &PoolId, capacity_milli: u64) -> Option<TeamShares> {
        let mut wanted: TeamShares = BTreeMap::new();
        for job in self.pool_jobs(pool).filter(|job| !job.submission.is_long_running()) {
            *wanted.entry(job.submission.team.clone()).or_default() += peak_demand_milli(job);
        }
        if wanted.values().sum::<u64>() <= capacity_milli {
            return None;
        }
        let claims: Vec<Claim> =
            wanted.iter().map(|(team, want)| self.claim(team, *want)).collect();
        let shares = max_min(&claims, saturating_u32(capacity_milli));
        Some(wanted.into_keys().zip(shares.into_iter().map(u64::from)).collect())
    }

    fn claim(&self, team: &TeamId, wanted_milli: u64) -> Claim {
        let entry = self.teams.get(team);
        let cap_milli = entry.map_or(0, |team| team.cap.cpu_milli);
        Claim {
            // A team that the configuration no longer has, and the empty team of queues without keys, get the
            // smallest weight.
            weight: entry.map_or(1, |team| saturating_u32(team.weight).max(1)),
            demand_slots: saturating_u32(wanted_milli),
            limit_slots: if cap_milli == 0 { u32::MAX } else { saturating_u32(cap_milli) },
        }
    }

    /// Returns the jobs whose waiting tasks exceed their team's share of a full pool.
    ///
    /// Running tasks of the team use up the share first, then the waiting tasks of `jobs` in their order.
    pub(super) fn over_share(&self, jobs: &[JobKey]) -> BTreeSet<JobKey> {
        let mut shares: BTreeMap<PoolId, Option<TeamShares>> = BTreeMap::new();
        let mut used: BTreeMap<(PoolId, TeamId), u64> = BTreeMap::new();
        let mut waiting: Vec<(JobKey, (PoolId, TeamId), u64)> = Vec::new();
        for key in jobs {
            let job = &self.jobs[*key];
            let pool = &self.queue_settings(job).pool;
            let pool_shares = shares
                .entry(pool.clone())
                .or_insert_with(|| self.shares_of(pool, self.short_task_capacity_milli(pool)));
            if pool_shares.is_none() || job.submission.is_long_running() {
                continue;
            }
            let pool_team = (pool.clone(), job.submission.team.clone());
            let (running_milli, waiting_milli) = running_and_waiting_milli(job);
            *used.entry(pool_team.clone()).or_default() += running_milli;
            waiting.push((*key, pool_team, waiting_milli));
        }
        let mut over_share = BTreeSet::new();
        for (key, pool_team, waiting_milli) in waiting {
            let pool_shares = shares[&pool_team.0].as_ref();
            let share =
                pool_shares.and_then(|shares| shares.get(&pool_team.1)).copied().unwrap_or(0);
            let used = used.entry(pool_team).or_default();
            if *used >= share {
                over_share.insert(key);
            }
            *used += waiting_milli;
        }
        over_share
    }

    /// Returns the processors that long-running tasks leave of a pool's capacity, in thousandths of a core.
    fn short_task_capacity_milli(&self, pool: &PoolId) -> u64 {
        self.pool_capacity_milli(pool).saturating_sub(self.long_running_milli(pool) as u64)
    }
}

/// Returns the processors of a job's running tasks, and of its tasks that are ready to start, in thousandths
/// of a core.
pub(super) fn running_and_waiting_milli(job: &Job) -> (u64, u64) {
    let (mut running, mut waiting) = (0, 0);
    for occurrence in job.occurrences.values() {
        for (step, step_state) in job.submission.steps.iter().zip(&occurrence.steps) {
            if step_state.is_done() || !occurrence.is_step_ready(step) {
                continue;
            }
            let (runs, ready) = step_state.tasks.iter().fold((0, 0), |(runs, ready), task| {
                let waits = !task.done && task.runs.is_empty();
                (runs + task.runs.len() as u64, ready + u64::from(waits))
            });
            running += runs * step.reserved().cpu_milli;
            waiting += ready * step.reserved().cpu_milli;
        }
    }
    (running, waiting)
}

fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
