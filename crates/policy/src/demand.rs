//! How many instances each pool should have, and which moves get there.
//!
//! Queues peak in turn at several times their mean, so pools are planned together: what one pool does
//! not need another may use. A move costs a drain, so a target must differ for a while, and by more
//! than the cost of a move, before an instance is moved.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use crate::ids::{FailureDomain, InstanceId, PoolId};

/// A learned distribution of run times, as a bounded set of recent values.
#[derives(record)]
#[derive(Default)]
pub struct RunTimes {
    recent_ms: Vec<u64>,
    next: usize,
}

/// The run times that are kept for each kind of work.
const RUN_TIMES_KEPT: usize = 64;
/// The run times from which the learned ones are used in place of the declared one.
const RUN_TIMES_ENOUGH: usize = 5;

impl RunTimes {
    /// Records a run time, in milliseconds.
    pub fn record(&mut self, run_time_ms: u64) {
        if self.recent_ms.len() < RUN_TIMES_KEPT {
            self.recent_ms.push(run_time_ms);
        } else {
            self.recent_ms[self.next] = run_time_ms;
        }
        self.next = (self.next + 1) % RUN_TIMES_KEPT;
    }

    /// Returns the quantile `q` in milliseconds, or `declared_ms` while too little is known.
    pub fn quantile_ms(&self, q: f64, declared_ms: u64) -> u64 {
        if self.recent_ms.len() < RUN_TIMES_ENOUGH {
            return declared_ms;
        }
        let mut sorted = self.recent_ms.clone();
        sorted.sort_unstable();
        let index = ((sorted.len() - 1) as f64 * q.clamp(0.0, 1.0)).round() as usize;
        sorted[index]
    }
}

/// What a pool needs and has.
#[derives(record)]
pub struct PoolDemand {
    /// The pool.
    pub pool: PoolId,
    /// The instances that its work needs now.
    pub needed: u32,
    /// The instances that it has, those on their way to it included.
    pub size: u32,
    /// The instances that it must keep, for its budget and its spread.
    pub floor: u32,
    /// Whether it is the spare pool.
    pub spare: bool,
}

/// Returns the target size of each pool; the sum equals the number of instances.
///
/// Pools get what they need, in proportion where that is too much; what is left stays where it is, so
/// that nothing moves without cause.
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
    let mut left = total.saturating_sub(sizes.iter().sum());
    // What nobody needs stays where it is, the spare pool last, so that an idle fleet does not move.
    for spare in [false, true] {
        for (size, pool) in sizes.iter_mut().zip(pools).filter(|(_, pool)| pool.spare == spare) {
            let kept = pool.size.saturating_sub(*size).min(left);
            *size += kept;
            left -= kept;
        }
    }
    pools.iter().zip(sizes).map(|(pool, size)| (pool.pool.clone(), size)).collect()
}

/// Remembers how long each pool has been short, for the hysteresis.
#[derives(record)]
#[derive(Default)]
pub struct ShortageTracker {
    short_since: BTreeMap<PoolId, Instant>,
}

impl ShortageTracker {
    /// Records the targets; returns the pools that have been short for at least `patience`.
    pub fn update(
        &mut self,
        pools: &[PoolDemand],
        targets: &BTreeMap<PoolId, u32>,
        patience: Duration,
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
            .filter(|(_, since)| now >= **since + patience)
            .map(|(pool, _)| pool.clone())
            .collect()
    }
}

/// An instance that could move.
#[derives(record)]
pub struct MoveCandidate {
    /// The instance.
    pub instance: InstanceId,
    /// Its pool.
    pub pool: PoolId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// What it has running, which it must finish first.
    pub outstanding: u32,
}

/// A decision to move an instance.
#[derives(record)]
pub struct Move {
    /// The instance.
    pub instance: InstanceId,
    /// Where it goes.
    pub to: PoolId,
}

/// Returns at most `moves_max` moves that bring the pools in `short` nearer to their targets.
///
/// Donors are the pools over their targets, the spare pool first; of a donor's instances the idlest
/// goes first, and of equally idle ones one whose failure domain the receiver has least of.
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
    let mut left: Vec<&MoveCandidate> = instances.iter().collect();
    let mut moves = Vec::new();
    for pool in pools.iter().filter(|pool| short.contains(&pool.pool)) {
        for _ in pool.size..targets[&pool.pool].max(pool.size) {
            if moves.len() >= moves_max {
                return moves;
            }
            let own = domains.entry(pool.pool.clone()).or_default().clone();
            let candidate = left
                .iter()
                .enumerate()
                .filter(|(_, m)| surplus.get(&m.pool).is_some_and(|count| *count > 0))
                .min_by_key(|(_, m)| {
                    let present = own.get(&m.failure_domain).copied().unwrap_or(0);
                    let from_spare = spare.contains(&&m.pool);
                    (!from_spare, m.outstanding, present, m.instance.clone())
                })
                .map(|(index, _)| index);
            let Some(index) = candidate else { return moves };
            let chosen = left.swap_remove(index);
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
