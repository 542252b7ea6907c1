//! Target sizes of the pools, and the moves of instances that reach them.
//!
//! Queues peak at different times, at several times their mean load, so all pools are planned
//! together and a pool can use instances that another does not need. A move costs a drain, so an instance is
//! moved only to a pool that has been below its target for some time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use crate::ids::{FailureDomain, InstanceId, PoolId};

/// Empirical distribution of run times over a bounded window of recent samples.
#[derives(record)]
#[derive(Default)]
pub struct RunTimes {
    recent_ms: Vec<u64>,
    next: usize,
}

/// Number of samples retained for each kind of work.
const RUN_TIME_SAMPLES_MAX: usize = 64;
/// Number of samples below which the declared run time is used.
const RUN_TIME_SAMPLES_MIN: usize = 5;

impl RunTimes {
    /// Records a run time, in milliseconds.
    pub fn record(&mut self, run_time_ms: u64) {
        if self.recent_ms.len() < RUN_TIME_SAMPLES_MAX {
            self.recent_ms.push(run_time_ms);
        } else {
            self.recent_ms[self.next] = run_time_ms;
        }
        self.next = (self.next + 1) % RUN_TIME_SAMPLES_MAX;
    }

    /// Returns the quantile `q` in milliseconds, or `declared_ms` while there are too few samples.
    pub fn quantile_ms(&self, q: f64, declared_ms: u64) -> u64 {
        if self.recent_ms.len() < RUN_TIME_SAMPLES_MIN {
            return declared_ms;
        }
        let mut sorted = self.recent_ms.clone();
        sorted.sort_unstable();
        let index = ((sorted.len() - 1) as f64 * q.clamp(0.0, 1.0)).round() as usize;
        sorted[index]
    }
}

/// Demand and size of a pool.
#[derives(record)]
pub struct PoolDemand {
    /// Id of the pool.
    pub pool: PoolId,
    /// Number of instances that the current work requires.
    pub needed: u32,
    /// Number of instances in the pool, including those that are moving to it.
    pub size: u32,
    /// Minimum number of instances, which the pool's availability budget requires.
    pub floor: u32,
    /// Whether this is the spare pool.
    pub spare: bool,
}

/// Returns the target size of each pool; the sum equals the number of instances.
///
/// Each pool gets the instances that it needs, or a proportional share if the total need exceeds
/// the fleet. Instances that no pool needs stay in their pools, so that none moves without cause.
pub fn target_sizes(pools: &[PoolDemand]) -> BTreeMap<PoolId, u32> {
    let total: u32 = pools.iter().map(|pool| pool.size).sum();
    let floors: u32 = pools.iter().map(|pool| pool.floor).sum();
    let claims: Vec<crate::shares::Claim> = pools
        .iter()
        .map(|pool| crate::shares::Claim {
            weight: if pool.spare { 0 } else { pool.needed.max(1) },
            demand_slots: pool.needed.saturating_sub(pool.floor),
            limit_slots: u32::MAX,
        })
        .collect();
    let extra = crate::shares::max_min(&claims, total.saturating_sub(floors));
    let mut sizes: Vec<u32> =
        pools.iter().zip(&extra).map(|(pool, extra)| pool.floor + extra).collect();
    let mut unallocated = total.saturating_sub(sizes.iter().sum());
    // Instances that no pool needs stay where they are, those of the spare pool last, so that an
    // idle fleet does not move.
    for spare in [false, true] {
        for (size, pool) in sizes.iter_mut().zip(pools).filter(|(_, pool)| pool.spare == spare) {
            let kept = pool.size.saturating_sub(*size).min(unallocated);
            *size += kept;
            unallocated -= kept;
        }
    }
    pools.iter().zip(sizes).map(|(pool, size)| (pool.pool.clone(), size)).collect()
}

/// Start of each pool's current shortage, which gives moves their hysteresis.
#[derives(record)]
#[derive(Default)]
pub struct ShortageTracker {
    short_since: BTreeMap<PoolId, Instant>,
}

impl ShortageTracker {
    /// Records new targets; returns the pools that have been below theirs for at least
    /// `min_duration`.
    pub fn update(
        &mut self,
        pools: &[PoolDemand],
        targets: &BTreeMap<PoolId, u32>,
        min_duration: Duration,
        now: Instant,
    ) -> Vec<PoolId> {
        let short = |pool: &PoolDemand| targets.get(&pool.pool).is_some_and(|t| *t > pool.size);
        self.short_since
            .retain(|name, _| pools.iter().any(|pool| pool.pool == *name && short(pool)));
        for pool in pools.iter().filter(|pool| short(pool)) {
            self.short_since.entry(pool.pool.clone()).or_insert(now);
        }
        self.short_since
            .iter()
            .filter(|(_, since)| now >= **since + min_duration)
            .map(|(pool, _)| pool.clone())
            .collect()
    }
}

/// Instance that may be moved.
#[derives(record)]
pub struct MoveCandidate {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Current pool.
    pub pool: PoolId,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Number of running requests, which must end before the move.
    pub outstanding: u32,
}

/// Planned move of an instance.
#[derives(record)]
pub struct Move {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Destination pool.
    pub to: PoolId,
}

/// Returns at most `moves_max` moves that bring the pools in `short` closer to their targets.
///
/// Donors are the pools above their targets. Candidates in the spare pool are preferred, then those
/// with the least outstanding work, then those whose failure domain is rarest in the receiving
/// pool.
pub fn plan_moves(
    pools: &[PoolDemand],
    targets: &BTreeMap<PoolId, u32>,
    short: &[PoolId],
    instances: &[MoveCandidate],
    moves_max: usize,
) -> Vec<Move> {
    let mut surplus: BTreeMap<&PoolId, u32> = pools
        .iter()
        .map(|pool| (&pool.pool, pool.size.saturating_sub(targets[&pool.pool])))
        .collect();
    let spare: Vec<&PoolId> =
        pools.iter().filter(|pool| pool.spare).map(|pool| &pool.pool).collect();
    let mut domains = domains_by_pool(instances);
    let mut candidates: Vec<&MoveCandidate> = instances.iter().collect();
    let mut moves = Vec::new();
    for pool in pools.iter().filter(|pool| short.contains(&pool.pool)) {
        for _ in pool.size..targets[&pool.pool].max(pool.size) {
            if moves.len() >= moves_max {
                return moves;
            }
            let receiver_domains = domains.entry(pool.pool.clone()).or_default().clone();
            let candidate = candidates
                .iter()
                .enumerate()
                .filter(|(_, m)| surplus.get(&m.pool).is_some_and(|count| *count > 0))
                .min_by_key(|(_, m)| {
                    let present = receiver_domains.get(&m.failure_domain).copied().unwrap_or(0);
                    let from_spare = spare.contains(&&m.pool);
                    (!from_spare, m.outstanding, present, m.instance.clone())
                })
                .map(|(index, _)| index);
            let Some(index) = candidate else { return moves };
            let chosen = candidates.swap_remove(index);
            *surplus.get_mut(&chosen.pool).expect("a donor has a surplus") -= 1;
            let counts = domains.entry(pool.pool.clone()).or_default();
            *counts.entry(chosen.failure_domain.clone()).or_default() += 1;
            moves.push(Move { instance: chosen.instance.clone(), to: pool.pool.clone() });
        }
    }
    moves
}

fn domains_by_pool(instances: &[MoveCandidate]) -> BTreeMap<PoolId, BTreeMap<FailureDomain, u32>> {
    let mut domains: BTreeMap<PoolId, BTreeMap<FailureDomain, u32>> = BTreeMap::new();
    for instance in instances {
        let counts = domains.entry(instance.pool.clone()).or_default();
        *counts.entry(instance.failure_domain.clone()).or_default() += 1;
    }
    domains
}
