//! Sizing of pools: the moves of instances between pools.
//!
//! Queues have bursts of several times their mean load, more than the capacity of their pool, while other
//! pools are nearly idle. An instance in the standby pool costs nothing. Instances therefore follow the
//! offered load, refused work included. Pools below their target take empty instances from the standby pool
//! and from pools above their target. Pools above their target drain those that are empty first for this,
//! and instances that no pool needs for some time move to the standby pool. Instances under maintenance by a
//! running wave are not moved.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::maintenance::{FleetOrder, FleetOutcome, InstanceState, MaintenanceStage};
use super::need::run_left_ms;
use super::offered_load::OfferedLoad;
use super::state::{Cordon, Engine, Job, Occurrence, WorkerKey};
use super::surplus::TargetHistory;
use super::view::PoolView;
use crate::ids::{InstanceId, PoolId};

/// Part of an instance's processors that planned work may use. The rest covers fragmentation and the jobs that
/// arrive while an instance moves.
const TARGET_UTILIZATION: f64 = 0.8;
/// Minimum number of instances of each pool but the standby pool, so that a first job starts at once.
const POOL_INSTANCES_MIN: usize = 2;
/// Time in addition to the move of an instance for which a pool keeps instances for a forecast peak: an idle instance
/// has then cost as much as two moves.
const MOVE_COST_TIME: Duration = Duration::from_millis(2_000);
/// Time by which instances arrive before a forecast rise: one interval between two plans.
const FORECAST_MARGIN: Duration = Duration::from_millis(100);
/// Maximum number of instances that a pool gets only to keep tasks of one step on different workers. The widest
/// steps in use have about 40 tasks, and a mistake in a submission must not move the whole fleet into one pool.
const ANTI_AFFINITY_INSTANCES_MAX: usize = 64;
/// Share of the rate of calls to the instance service that moves may use; waves and retries need the rest.
const MOVE_CALLS_SHARE: f64 = 0.75;
/// Time within which the accepted jobs of a pool whose load falls have a run. A job without a run for 3 s counts as lost.
const BACKLOG_TIME: Duration = Duration::from_millis(2_000);
/// Minimum time over which work that is due is spread, in milliseconds: work that is due now cannot be sped up by more
/// processors than it has tasks.
const COMPLETION_TIME_MIN_MS: f64 = 250.0;
const SECOND: Duration = Duration::from_secs(1);
/// Time after which a move without effect is abandoned.
const MOVE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// A move of an instance to another pool that is under way.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingMove {
    /// Pool that the instance moves to.
    pub to: PoolId,
    /// Time at which the call was sent.
    pub since: Instant,
}

/// Returns the number of instances for each pool, given the number that each wants and the total.
///
/// If the total is too small, each pool gets `min_each`, and the rest is divided in proportion to the excess of
/// the wanted numbers over `min_each`. Equal shares would leave most of the fleet with pools that have no burst.
pub fn allocate_instances(wanted: &[usize], min_each: usize, total: usize) -> Vec<usize> {
    let floor: Vec<usize> = wanted.iter().map(|wanted| (*wanted).max(min_each)).collect();
    let sum: usize = floor.iter().sum();
    if sum <= total {
        return floor;
    }
    let base = min_each * floor.len();
    let (spread, excess) = (total.saturating_sub(base), sum - base);
    let mut shares: Vec<usize> =
        floor.iter().map(|want| min_each + (want - min_each) * spread / excess.max(1)).collect();
    let mut remaining = total.saturating_sub(shares.iter().sum());
    // The remainder of the rounding goes to the pools with the largest shortfall.
    while remaining > 0 {
        let neediest = (0..shares.len()).max_by_key(|i| floor[*i].saturating_sub(shares[*i]));
        let Some(neediest) = neediest else { break };
        shares[neediest] += 1;
        remaining -= 1;
    }
    shares
}

/// Returns the number of instances for each pool, given the number that each wants for jobs that can meet their
/// objective, and for all jobs.
///
/// Late jobs get the instances that remain after the jobs in time, as in the order of starts: a late job loses
/// less value by waiting.
pub fn allocate_instances_on_time_first(
    in_time: &[usize],
    all: &[usize],
    min_each: usize,
    total: usize,
) -> Vec<usize> {
    let first = allocate_instances(in_time, min_each, total);
    let remaining = total.saturating_sub(first.iter().sum());
    let excess: Vec<usize> =
        all.iter().zip(&first).map(|(all, first)| all.saturating_sub(*first)).collect();
    let second = allocate_instances(&excess, 0, remaining);
    first.iter().zip(&second).map(|(first, second)| first + second).collect()
}

/// Returns the maximum number of processors that a job uses at once from now on, in thousandths of a core.
///
/// This is the demand of the tasks that are ready or running, or of the widest later step if that is more.
/// Declared run times are not used, because they are wrong by up to a factor of ten.
pub(super) fn peak_demand_milli(job: &Job) -> u64 {
    let steps = &job.submission.steps;
    let peak_of = |occurrence: &Occurrence| {
        let (mut ready, mut later) = (0, 0);
        for (step, step_state) in steps.iter().zip(&occurrence.steps) {
            let demand =
                u64::from(step.count.saturating_sub(step_state.done)) * step.reserved().cpu_milli;
            match occurrence.is_step_ready(step) {
                true => ready += demand,
                false => later = later.max(demand),
            }
        }
        ready.max(later)
    };
    job.occurrences.values().map(peak_of).sum()
}

/// Instances of a pool by their use.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct PoolState {
    /// Number of instances that serve the pool or move to it.
    pub(super) instances: usize,
    /// Instances without runs, all of whose ends are persisted; they can move at once.
    pub(super) empty: Vec<InstanceId>,
    /// Instances with short tasks only or with ends that are not persisted, with the expected time until they have no
    /// runs, in milliseconds.
    drainable: Vec<(u64, InstanceId)>,
    /// Instances that drain for a move.
    draining: Vec<InstanceId>,
}

impl Engine {
    /// Adds the work of a submission to the offered load of a pool, whether the job is accepted or not.
    pub fn record_offered_work(&mut self, pool: &PoolId, work_milli_ms: f64, now: Instant) {
        let load = self.offered_loads.entry(pool.clone()).or_insert_with(|| OfferedLoad::new(now));
        load.add(work_milli_ms, now);
        self.demand_forecast.add(pool, work_milli_ms, now);
    }

    /// Updates the targets of all pools, and returns the moves to start now.
    pub fn plan_moves(&mut self, now: Instant) -> Vec<FleetOrder> {
        self.remove_finished_moves(now);
        self.demand_forecast.advance(now);
        let Some(standby) = self.standby_pool() else { return Vec::new() };
        if !self.is_directory_populated() {
            return Vec::new();
        }
        let mut pools = self.pool_states(now);
        let mut standby_state = pools.remove(&standby).unwrap_or_default();
        let names: Vec<PoolId> = pools.keys().cloned().collect();
        let total = standby_state.empty.len() + pools.values().map(|p| p.instances).sum::<usize>();
        let in_time: Vec<usize> =
            names.iter().map(|name| self.instances_wanted_in_time(name, now)).collect();
        let all: Vec<usize> = names
            .iter()
            .map(|name| self.instances_wanted(name, self.accepted_milli(name), now))
            .collect();
        let targets = allocate_instances_on_time_first(&in_time, &all, POOL_INSTANCES_MIN, total);
        self.targets = names.iter().cloned().zip(targets.iter().copied()).collect();
        self.record_targets(now);
        let recent = |moving: &&PendingMove| now.saturating_duration_since(moving.since) < SECOND;
        let started = self.pending_moves.values().filter(recent).count();
        let moves_max = self.moves_per_second().saturating_sub(started);
        let mut orders = Vec::new();
        let mut missing = 0;
        for (name, target) in names.iter().zip(&targets) {
            let shortfall = target.saturating_sub(pools[name].instances);
            for filled in 0..shortfall {
                let settled =
                    |name: &PoolId, state: &PoolState| self.transferable(name, state, now);
                let any = |name: &PoolId, state: &PoolState| self.surplus(name, state);
                let taken = take_surplus(&mut pools, settled)
                    .or_else(|| standby_state.empty.pop())
                    .or_else(|| take_surplus(&mut pools, any));
                let Some(instance) = taken.filter(|_| orders.len() < moves_max) else {
                    missing += shortfall - filled;
                    break;
                };
                self.start_move(instance, name, now, &mut orders);
            }
        }
        self.mark_surplus_workers(&pools);
        self.drain_surplus(&pools, missing, now);
        self.move_to_standby(&mut pools, &standby, moves_max, now, &mut orders);
        orders
    }

    /// Returns the maximum number of moves that may start per second.
    pub(super) fn moves_per_second(&self) -> usize {
        (f64::from(self.limits.instance_calls_per_s) * MOVE_CALLS_SHARE) as usize
    }

    /// Formats the state of all pools for the log; loads are in thousandths of a core.
    pub fn describe_pools(&self, now: Instant) -> String {
        let describe = |view: PoolView| {
            let PoolView { pool, instances, workers, target, empty, .. } = view;
            let PoolView { running_milli, offered_milli, accepted_milli, .. } = view;
            let forecast = self.demand_forecast.load_milli(&pool, now, self.limits.move_time);
            let forecast = forecast.map_or("none".to_owned(), |milli| format!("{milli:.0}"));
            format!(
                "{pool}:have={instances},up={workers},target={target},empty={empty},\
                 running={running_milli},offered={offered_milli},accepted={accepted_milli},\
                 forecast={forecast}"
            )
        };
        let pools: Vec<String> = self.view_pools(now).into_iter().map(describe).collect();
        pools.join(" ")
    }

    /// Removes the moves that have taken effect or timed out.
    fn remove_finished_moves(&mut self, now: Instant) {
        let instances = &self.instances;
        self.pending_moves.retain(|id, moving| {
            let arrived = instances.get(id).is_some_and(|instance| {
                instance.pool == moving.to && instance.state != InstanceState::Moving
            });
            let passed = now.saturating_duration_since(moving.since);
            !(arrived && passed > self.limits.move_time / 2) && passed < MOVE_TIMEOUT
        });
    }

    fn start_move(
        &mut self,
        instance: InstanceId,
        to: &PoolId,
        now: Instant,
        orders: &mut Vec<FleetOrder>,
    ) {
        if let Some(key) = self.worker_of(&instance) {
            self.workers[key].cordon = Some(Cordon::Move);
        }
        self.pending_moves.insert(instance.clone(), PendingMove { to: to.clone(), since: now });
        orders.push(FleetOrder::Move { instance, pool: to.clone() });
    }

    fn worker_of(&self, instance: &str) -> Option<WorkerKey> {
        let worker = self.instances.get(instance)?.worker.as_ref()?;
        self.worker_key(worker)
    }

    pub(super) fn standby_pool(&self) -> Option<PoolId> {
        self.pools.iter().find(|(_, pool)| pool.standby).map(|(id, _)| id.clone())
    }

    /// Adds the current targets to the histories of the pools.
    fn record_targets(&mut self, now: Instant) {
        for (name, target) in &self.targets {
            let history = self.target_histories.entry(name.clone());
            history.or_insert_with(|| TargetHistory::new(now)).add(*target, now);
        }
    }

    /// Returns the number of instances of a pool above its present target.
    fn surplus(&self, name: &PoolId, state: &PoolState) -> usize {
        let target = self.targets.get(name).copied().unwrap_or(POOL_INSTANCES_MIN);
        state.instances.saturating_sub(target)
    }

    /// Returns the number of instances that have exceeded the target of a pool for some time, which go to other pools
    /// before those of the standby pool.
    fn transferable(&self, name: &PoolId, state: &PoolState, now: Instant) -> usize {
        let kept = self.target_histories.get(name).map(|history| history.kept_from_transfer(now));
        state.instances.saturating_sub(kept.unwrap_or(usize::MAX))
    }

    /// Returns the number of instances that a pool can give to the standby pool.
    fn releasable(&self, name: &PoolId, state: &PoolState, now: Instant) -> usize {
        let back = self.limits.move_time + MOVE_COST_TIME;
        let forecast = self.demand_forecast.peak_milli(name, now, Duration::ZERO, back);
        let forecast = forecast.map(|milli| self.instances_for(name, milli));
        let kept = self.target_histories.get(name);
        let kept = kept.and_then(|history| history.kept_from_standby(forecast, now));
        state.instances.saturating_sub(kept.unwrap_or(usize::MAX))
    }

    /// Marks the workers of the instances that exceed the targets, the first to be empty first, so that the others get the
    /// new tasks.
    fn mark_surplus_workers(&mut self, pools: &BTreeMap<PoolId, PoolState>) {
        let mut marked = BTreeSet::new();
        for (name, state) in pools {
            let empty = state.empty.iter().map(|id| (0, id));
            let loaded = state.drainable.iter().map(|(left_ms, id)| (*left_ms, id));
            let keys = empty
                .chain(loaded)
                .filter_map(|(left_ms, id)| Some((left_ms, self.worker_of(id)?)));
            let mut candidates: Vec<(bool, u64, WorkerKey)> = keys
                .map(|(left_ms, key)| (!self.surplus_workers.contains(&key), left_ms, key))
                .collect();
            candidates.sort();
            let surplus = self.surplus(name, state).saturating_sub(state.draining.len());
            marked.extend(candidates.into_iter().take(surplus).map(|(_, _, key)| key));
        }
        self.surplus_workers = marked;
    }

    /// Cordons instances of pools with a surplus so that they drain, the first to be empty first.
    ///
    /// Drains `missing` instances for other pools, and the whole of a sustained surplus for the standby pool.
    /// Uncordons instances that need not drain any more.
    fn drain_surplus(&mut self, pools: &BTreeMap<PoolId, PoolState>, missing: usize, now: Instant) {
        let mut drained: BTreeSet<InstanceId> = BTreeSet::new();
        let mut still_missing = missing;
        for (name, state) in pools {
            let present = self.surplus(name, state).saturating_sub(state.empty.len());
            let releasable = self.releasable(name, state, now).saturating_sub(state.empty.len());
            let mut surplus = releasable.max(present.min(still_missing));
            let mut candidates = state.drainable.clone();
            candidates.sort();
            let draining = state.draining.iter().cloned();
            for id in draining.chain(candidates.into_iter().map(|(_, id)| id)) {
                if surplus == 0 {
                    break;
                }
                surplus -= 1;
                still_missing = still_missing.saturating_sub(1);
                drained.insert(id);
            }
        }
        let workers: BTreeSet<InstanceId> =
            drained.iter().filter_map(|id| self.instances.get(id)?.worker.clone()).collect();
        let moving: BTreeSet<InstanceId> = self
            .pending_moves
            .keys()
            .filter_map(|id| self.instances.get(id)?.worker.clone())
            .collect();
        for worker in self.workers.values_mut() {
            let id = &worker.entry.id;
            match worker.cordon {
                None if workers.contains(id) => worker.cordon = Some(Cordon::Move),
                Some(Cordon::Move) if !workers.contains(id) && !moving.contains(id) => {
                    worker.cordon = None;
                }
                _ => {}
            }
        }
    }

    /// Moves empty instances of pools with a sustained surplus to the standby pool.
    fn move_to_standby(
        &mut self,
        pools: &mut BTreeMap<PoolId, PoolState>,
        standby: &PoolId,
        moves_max: usize,
        now: Instant,
        orders: &mut Vec<FleetOrder>,
    ) {
        for (name, state) in pools {
            for _ in 0..self.releasable(name, state, now) {
                let Some(instance) = state.empty.pop() else { break };
                if orders.len() >= moves_max {
                    return;
                }
                self.start_move(instance, standby, now, orders);
            }
        }
    }

    /// Returns the number of instances that a pool needs for the jobs that can meet their objective.
    ///
    /// A pool whose load falls needs only what completes its accepted jobs by their objectives. The rest goes to pools
    /// whose jobs would be late otherwise, and late work runs on what is left.
    fn instances_wanted_in_time(&self, pool: &PoolId, now: Instant) -> usize {
        let wanted = self.instances_wanted(pool, self.accepted_in_time_milli(pool, now), now);
        let load = self.offered_loads.get(pool);
        let Some(falling_milli) = load.and_then(|load| load.falling_rate_milli(now)) else {
            return wanted;
        };
        let arrival = self.limits.move_time + FORECAST_MARGIN;
        let forecast = self.demand_forecast.peak_milli(pool, now, Duration::ZERO, arrival);
        let accepted_milli = self.completion_milli(pool, now);
        let milli = falling_milli.max(accepted_milli).max(forecast.unwrap_or(0.0));
        // The backlog may be late work that exceeds the pool, which must not displace work in time.
        wanted.min(self.instances_for(pool, milli))
    }

    /// Returns the processors that complete the accepted short jobs of a pool by their objectives, and start each of the
    /// others within [`BACKLOG_TIME`], in thousandths of a core.
    fn completion_milli(&self, pool: &PoolId, now: Instant) -> f64 {
        let mut accepted = self.accepted_claims(pool, now);
        accepted.parts.sort_by(|a, b| a.due_ms.total_cmp(&b.due_ms));
        let (mut due_work, mut milli) = (0.0, 0.0f64);
        for part in &accepted.parts {
            due_work += part.work;
            milli = milli.max(due_work / part.due_ms.max(COMPLETION_TIME_MIN_MS));
        }
        milli.max(accepted.backlog / (BACKLOG_TIME.as_secs_f64() * 1_000.0))
    }

    /// Returns the number of instances that a pool can use, given the processors that its accepted jobs can use
    /// at once.
    fn instances_wanted(&self, pool: &PoolId, accepted_milli: f64, now: Instant) -> usize {
        let instance_milli = self.instance_milli();
        if instance_milli == 0.0 {
            return POOL_INSTANCES_MIN;
        }
        let arrival = self.limits.move_time + FORECAST_MARGIN;
        let forecast = self.demand_forecast.peak_milli(pool, now, Duration::ZERO, arrival);
        let offered_milli = self.offered_loads.get(pool).map_or(0.0, |load| match forecast {
            Some(forecast_milli) => load.rate_beside_forecast_milli(forecast_milli, now),
            None => load.rate_milli(now),
        });
        let short_milli = offered_milli.max(accepted_milli).max(forecast.unwrap_or(0.0));
        self.instances_for(pool, short_milli)
    }

    /// Returns the number of instances that a pool needs for its long-running tasks and for short tasks that use the
    /// given processors.
    fn instances_for(&self, pool: &PoolId, short_milli: f64) -> usize {
        let need_milli = self.long_running_milli(pool) + short_milli;
        let by_load = need_milli / (self.instance_milli() * TARGET_UTILIZATION);
        (by_load.ceil() as usize).max(self.anti_affinity_instances(pool)).max(POOL_INSTANCES_MIN)
    }

    /// Returns the number of workers that steps with a limit of tasks per worker need.
    ///
    /// For long-running tasks one more worker is kept: they must be restored within seconds when a worker is
    /// lost, which is less than the time to detect the loss and move an instance.
    fn anti_affinity_instances(&self, pool: &PoolId) -> usize {
        let steps = self.pool_jobs(pool).flat_map(|job| &job.submission.steps);
        let needed = steps.filter(|step| step.per_worker_max > 0).map(|step| {
            step.count.div_ceil(step.per_worker_max) as usize + usize::from(step.long_running)
        });
        needed.max().unwrap_or(0).min(ANTI_AFFINITY_INSTANCES_MAX)
    }

    /// Returns whether the directory lists workers for at least half of the instances that are up.
    ///
    /// After the first start, and after an outage of the store, workers reappear in it over some seconds.
    fn is_directory_populated(&self) -> bool {
        let up = self.instances.values().filter(|instance| {
            let in_standby = self.pools.get(&instance.pool).is_some_and(|pool| pool.standby);
            instance.state == InstanceState::Up && !in_standby
        });
        let listed = self.workers.values().filter(|worker| worker.listed).count();
        listed > 0 && listed * 2 >= up.count()
    }

    /// Returns the processors of the largest worker, in thousandths of a core, which stand for any instance.
    pub(super) fn instance_milli(&self) -> f64 {
        let capacities = self.workers.values().map(|worker| worker.entry.capacity.cpu_milli);
        capacities.max().unwrap_or(0) as f64
    }

    pub(super) fn pool_jobs<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a Job> {
        let jobs = self.live.iter().filter_map(|key| self.jobs.get(*key));
        jobs.filter(move |job| !job.phase.is_ended() && self.queue_settings(job).pool == *pool)
    }

    /// Returns the processors that the long-running tasks of a pool reserve, in thousandths of a core.
    pub(super) fn long_running_milli(&self, pool: &PoolId) -> f64 {
        let steps = self.pool_jobs(pool).flat_map(|job| &job.submission.steps);
        let long_running = steps.filter(|step| step.long_running);
        long_running.map(|step| u64::from(step.count) * step.reserved().cpu_milli).sum::<u64>()
            as f64
    }

    /// Returns the processors that the accepted short jobs of a pool use at once, now or in a later step, in
    /// thousandths of a core.
    pub(super) fn accepted_milli(&self, pool: &PoolId) -> f64 {
        let jobs = self.pool_jobs(pool).filter(|job| !job.submission.is_long_running());
        jobs.map(peak_demand_milli).sum::<u64>() as f64
    }

    /// Returns the part of [`Engine::accepted_milli`] that belongs to jobs that can still meet their objective.
    fn accepted_in_time_milli(&self, pool: &PoolId, now: Instant) -> f64 {
        let jobs = self.pool_jobs(pool).filter(|job| !job.submission.is_long_running());
        jobs.filter(|job| job.can_meet_objective(now)).map(peak_demand_milli).sum::<u64>() as f64
    }

    pub(super) fn pool_states(&self, now: Instant) -> BTreeMap<PoolId, PoolState> {
        let mut pools: BTreeMap<PoolId, PoolState> =
            self.pools.keys().map(|id| (id.clone(), PoolState::default())).collect();
        for (id, instance) in &self.instances {
            if self.is_instance_evacuated(id, instance) {
                continue;
            }
            if let Some(moving) = self.pending_moves.get(id) {
                if let Some(state) = pools.get_mut(&moving.to) {
                    state.instances += 1;
                }
                continue;
            }
            let Some(state) = pools.get_mut(&instance.pool) else { continue };
            let in_standby = self.pools.get(&instance.pool).is_some_and(|pool| pool.standby);
            let worker = self.worker_of(id).and_then(|key| self.workers.get(key));
            let serves = worker.is_some_and(|worker| {
                let departing = matches!(worker.cordon, Some(Cordon::Upkeep | Cordon::Called(_)));
                worker.listed && !worker.entry.draining && !departing
            });
            state.instances += usize::from(serves || instance.state == InstanceState::Moving);
            let movable = instance.state == InstanceState::Up
                || (in_standby && instance.state == InstanceState::Down);
            if !movable || self.is_under_maintenance(id) {
                continue;
            }
            self.classify_instance(id, worker, in_standby, state, now);
        }
        self.take_unknown_data_centres_last(&mut pools);
        pools
    }

    fn classify_instance(
        &self,
        id: &InstanceId,
        worker: Option<&super::state::Worker>,
        in_standby: bool,
        state: &mut PoolState,
        now: Instant,
    ) {
        let Some(worker) = worker else {
            if in_standby {
                state.empty.push(id.clone());
            }
            return;
        };
        if worker.entry.draining || !worker.listed || !worker.are_instance_runs_known(now) {
            return;
        }
        if worker.runs.is_empty() && worker.are_ends_persisted() {
            state.empty.push(id.clone());
        } else if worker.cordon == Some(Cordon::Move) {
            state.draining.push(id.clone());
        } else if !worker.runs.iter().any(|(task, _)| self.is_long_running_task(task)) {
            state.drainable.push((self.time_until_empty_ms(worker, now), id.clone()));
        }
    }

    /// Returns the expected time until a worker's runs have ended, in milliseconds.
    fn time_until_empty_ms(&self, worker: &super::state::Worker, now: Instant) -> u64 {
        let left_ms = |(task, attempt): &(super::state::TaskRef, u32)| {
            let job = self.jobs.get(task.job)?;
            let step = job.submission.steps.get(task.step as usize)?;
            let run = job.task(task)?.runs.iter().find(|run| run.attempt == *attempt)?;
            let expected_ms = self.expected_ms(&job.submission.queue, step);
            Some(run_left_ms(run, expected_ms, now) as u64)
        };
        worker.runs.iter().filter_map(left_ms).max().unwrap_or(0)
    }

    pub(super) fn is_long_running_task(&self, task: &super::state::TaskRef) -> bool {
        let step =
            self.jobs.get(task.job).and_then(|job| job.submission.steps.get(task.step as usize));
        step.is_some_and(|step| step.long_running)
    }

    fn is_under_maintenance(&self, instance: &str) -> bool {
        let stages = self.waves.values().filter_map(|wave| wave.stages.get(instance));
        stages.into_iter().any(|stage| {
            matches!(
                stage,
                MaintenanceStage::Draining(_)
                    | MaintenanceStage::Called(_)
                    | MaintenanceStage::Down(_)
            )
        })
    }

    /// Applies the outcome of a call to move an instance.
    pub fn apply_move_outcome(&mut self, id: &InstanceId, outcome: FleetOutcome, now: Instant) {
        let key = self.worker_of(id);
        match outcome {
            FleetOutcome::Accepted => {
                if let Some(key) = key {
                    self.cordon_after_call(key, now);
                }
            }
            FleetOutcome::Unknown => {}
            _ => {
                self.pending_moves.remove(id);
                if let Some(key) = key
                    && self.workers[key].cordon == Some(Cordon::Move)
                {
                    self.workers[key].cordon = None;
                }
            }
        }
    }
}

/// Takes an empty instance from the pool with the largest surplus among those that have one.
fn take_surplus(
    pools: &mut BTreeMap<PoolId, PoolState>,
    surplus: impl Fn(&PoolId, &PoolState) -> usize,
) -> Option<InstanceId> {
    let (_, state) = pools
        .iter_mut()
        .filter(|(name, state)| !state.empty.is_empty() && surplus(name, state) > 0)
        .max_by_key(|(name, state)| surplus(name, state))?;
    state.instances -= 1;
    state.empty.pop()
}
