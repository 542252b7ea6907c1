//! Which instances change their pool.
//!
//! Queues ask for several times their mean in turn, more than their own pool has, while the others are
//! nearly idle; and an instance that no pool needs costs nothing in a standby pool. So the instances
//! follow the work that is offered, refused work included: pools that are short take empty instances
//! from standby and from pools with a surplus, pools with a surplus drain their least loaded instances
//! for them, and what no pool needs for a while goes to standby. An instance that a running wave works
//! on stays where it is.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::maintenance::{FleetOrder, FleetOutcome, InstanceState, MaintenanceStage};
use super::offered_load::OfferedLoad;
use super::state::{Cordon, Engine, Job, Occurrence, WorkerKey};
use super::view::PoolView;
use crate::ids::{InstanceId, PoolId};

/// The part of an instance's processors that planned work may fill; the rest is lost to fragments and is
/// room for the jobs that arrive while an instance moves.
const FILL_TARGET: f64 = 0.8;
/// The fewest instances that a pool in use keeps, so that a first job starts at once.
const POOL_MIN: usize = 2;
/// How long a pool must have a surplus before it goes to standby: about when an idle instance has cost
/// as much as two moves and the wait for the second.
const PARK_AFTER: Duration = Duration::from_millis(1_500);
/// The most instances that a pool is given only to keep tasks of one step apart; the users' widest steps
/// have some forty tasks, and a mistake must not empty the fleet into one pool.
const DISTINCT_MAX: usize = 64;
/// The part of the calls to the machine service that moves may take; waves and repeated calls need the rest.
const MOVE_CALLS_PART: f64 = 0.75;
const SECOND: Duration = Duration::from_secs(1);
/// How long a move may be without effect before it is given up.
const MOVE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// A move that is under way.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingMove {
    /// The pool that it moves to.
    pub to: PoolId,
    /// When the call was sent.
    pub since: Instant,
}

/// Returns how many instances each pool should have, given what each wants and how many there are.
///
/// If there are too few, each pool keeps `least`, and the rest is shared in proportion to what is wanted
/// beyond that; a naive share by equal parts would leave most of a fleet with pools whose turn it is not.
pub fn allocate_instances(wanted: &[usize], least: usize, total: usize) -> Vec<usize> {
    let floor: Vec<usize> = wanted.iter().map(|wanted| (*wanted).max(least)).collect();
    let sum: usize = floor.iter().sum();
    if sum <= total {
        return floor;
    }
    let base = least * floor.len();
    let (spread, beyond) = (total.saturating_sub(base), sum - base);
    let mut shares: Vec<usize> =
        floor.iter().map(|want| least + (want - least) * spread / beyond.max(1)).collect();
    let mut left = total.saturating_sub(shares.iter().sum());
    // What rounding leaves goes to the pools that are furthest from what they want.
    while left > 0 {
        let most = (0..shares.len()).max_by_key(|i| floor[*i].saturating_sub(shares[*i]));
        let Some(most) = most else { break };
        shares[most] += 1;
        left -= 1;
    }
    shares
}

/// Returns how many instances each pool should have, given what each wants for jobs that can be in time, and in all.
///
/// What is late already gets what the jobs in time leave, as in a queue: its callers lose less by waiting.
pub fn allocate_instances_on_time_first(
    in_time: &[usize],
    all: &[usize],
    least: usize,
    total: usize,
) -> Vec<usize> {
    let first = allocate_instances(in_time, least, total);
    let left = total.saturating_sub(first.iter().sum());
    let beyond: Vec<usize> =
        all.iter().zip(&first).map(|(all, first)| all.saturating_sub(*first)).collect();
    let second = allocate_instances(&beyond, 0, left);
    first.iter().zip(&second).map(|(first, second)| first + second).collect()
}

/// Returns the most processors that a job uses at once from now on, in thousandths of a core.
///
/// These are the tasks that may run now, or those of a later step if it is wider. What the tasks were said
/// to take does not enter, because it is off by a factor of ten.
pub(super) fn peak_milli(job: &Job) -> u64 {
    let steps = &job.submission.steps;
    let peak_of = |occurrence: &Occurrence| {
        let (mut open, mut later) = (0, 0);
        for (step, run) in steps.iter().zip(&occurrence.steps) {
            let left = u64::from(step.count.saturating_sub(run.done)) * step.reserved().cpu_milli;
            match occurrence.is_open(step) {
                true => open += left,
                false => later = later.max(left),
            }
        }
        open.max(later)
    };
    job.occurrences.values().map(peak_of).sum()
}

/// What a pool has, by instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct PoolState {
    pub(super) instances: usize,
    /// The empty instances that may leave.
    pub(super) empty: Vec<InstanceId>,
    /// The instances whose tasks all end soon, with the number of the tasks.
    drainable: Vec<(usize, InstanceId)>,
    /// The instances that drain to be moved.
    draining: Vec<InstanceId>,
}

impl Engine {
    /// Takes in the work of a submission, whether it is accepted or not.
    pub fn record_offered_work(&mut self, pool: &PoolId, work_milli_ms: f64, now: Instant) {
        let load = self.offered_loads.entry(pool.clone()).or_insert_with(|| OfferedLoad::new(now));
        load.add(work_milli_ms, now);
    }

    /// Returns the moves to begin now.
    pub fn plan_moves(&mut self, now: Instant) -> Vec<FleetOrder> {
        self.end_moves(now);
        let Some(standby) = self.standby_pool() else { return Vec::new() };
        if !self.is_directory_whole() {
            return Vec::new();
        }
        let mut pools = self.pool_states();
        let mut parked = pools.remove(&standby).unwrap_or_default();
        let names: Vec<PoolId> = pools.keys().cloned().collect();
        let total = parked.empty.len() + pools.values().map(|p| p.instances).sum::<usize>();
        let want = |accepted_milli: fn(&Engine, &PoolId, Instant) -> f64| -> Vec<usize> {
            let wanted = |name| self.wanted(name, accepted_milli(self, name, now), now);
            names.iter().map(wanted).collect()
        };
        let in_time = want(Engine::accepted_in_time_milli);
        let all = want(|engine, pool, _| engine.accepted_milli(pool));
        let targets = allocate_instances_on_time_first(&in_time, &all, POOL_MIN, total);
        self.targets = names.iter().cloned().zip(targets.iter().copied()).collect();
        let recent = |moving: &&PendingMove| now.saturating_duration_since(moving.since) < SECOND;
        let begun = self.pending_moves.values().filter(recent).count();
        let moves_max = self.moves_per_second().saturating_sub(begun);
        let mut orders = Vec::new();
        let mut missing = 0;
        for (name, target) in names.iter().zip(&targets) {
            let short = target.saturating_sub(pools[name].instances);
            for filled in 0..short {
                let taken = parked.empty.pop().or_else(|| self.take_surplus(&mut pools));
                let Some(instance) = taken.filter(|_| orders.len() < moves_max) else {
                    missing += short - filled;
                    break;
                };
                self.begin_move(instance, name, now, &mut orders);
            }
        }
        self.note_surplus(&pools, now);
        self.drain_surplus(&pools, missing, now);
        self.park(&mut pools, &standby, moves_max, now, &mut orders);
        orders
    }

    /// Returns how many moves may be begun in a second.
    pub(super) fn moves_per_second(&self) -> usize {
        (f64::from(self.limits.instance_calls_per_s) * MOVE_CALLS_PART) as usize
    }

    /// Describes the pools for the log: instances, target, offered and running thousandths of a core.
    pub fn describe_pools(&self, now: Instant) -> String {
        let describe = |view: PoolView| {
            let PoolView { pool, instances, workers, target, empty, .. } = view;
            let PoolView { running_milli, offered_milli, accepted_milli, .. } = view;
            format!(
                "{pool}:have={instances},up={workers},target={target},empty={empty},\
                 running={running_milli},offered={offered_milli},accepted={accepted_milli}"
            )
        };
        let pools: Vec<String> = self.view_pools(now).into_iter().map(describe).collect();
        pools.join(" ")
    }

    /// Forgets the moves that have taken effect or have had their time.
    fn end_moves(&mut self, now: Instant) {
        let instances = &self.instances;
        self.pending_moves.retain(|id, moving| {
            let arrived = instances.get(id).is_some_and(|instance| {
                instance.pool == moving.to && instance.state != InstanceState::Moving
            });
            let passed = now.saturating_duration_since(moving.since);
            !(arrived && passed > self.limits.move_time / 2) && passed < MOVE_TIMEOUT
        });
    }

    fn begin_move(
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

    /// Takes an instance from the pool with the largest surplus that has an empty one.
    fn take_surplus(&self, pools: &mut BTreeMap<PoolId, PoolState>) -> Option<InstanceId> {
        let (_, state) = pools
            .iter_mut()
            .filter(|(name, state)| !state.empty.is_empty() && self.surplus(name, state) > 0)
            .max_by_key(|(name, state)| self.surplus(name, state))?;
        state.instances -= 1;
        state.empty.pop()
    }

    fn surplus(&self, name: &PoolId, state: &PoolState) -> usize {
        state.instances.saturating_sub(self.targets.get(name).copied().unwrap_or(POOL_MIN))
    }

    /// Notes since when pools have had a surplus.
    fn note_surplus(&mut self, pools: &BTreeMap<PoolId, PoolState>, now: Instant) {
        for (name, state) in pools {
            if self.surplus(name, state) == 0 {
                self.surplus_since.remove(name);
            } else {
                self.surplus_since.entry(name.clone()).or_insert(now);
            }
        }
    }

    /// Reports whether a pool has had a surplus for so long that standby is cheaper.
    fn has_lasting_surplus(&self, pool: &PoolId, now: Instant) -> bool {
        let since = self.surplus_since.get(pool);
        since.is_some_and(|since| now.saturating_duration_since(*since) >= PARK_AFTER)
    }

    /// Lets instances of pools with a surplus run empty, the least loaded first: `missing` of them for
    /// other pools, and all of a lasting surplus for standby.
    fn drain_surplus(&mut self, pools: &BTreeMap<PoolId, PoolState>, missing: usize, now: Instant) {
        let mut drained: BTreeSet<InstanceId> = BTreeSet::new();
        let mut left = missing;
        for (name, state) in pools {
            let mut surplus = self.surplus(name, state).saturating_sub(state.empty.len());
            if !self.has_lasting_surplus(name, now) {
                surplus = surplus.min(left);
            }
            let mut candidates = state.drainable.clone();
            candidates.sort();
            let ready = state.draining.iter().cloned();
            for id in ready.chain(candidates.into_iter().map(|(_, id)| id)) {
                if surplus == 0 {
                    break;
                }
                surplus -= 1;
                left = left.saturating_sub(1);
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

    /// Sends empty instances to standby from pools that have had a surplus for a while.
    fn park(
        &mut self,
        pools: &mut BTreeMap<PoolId, PoolState>,
        standby: &PoolId,
        moves_max: usize,
        now: Instant,
        orders: &mut Vec<FleetOrder>,
    ) {
        for (name, state) in pools {
            if !self.has_lasting_surplus(name, now) {
                continue;
            }
            for _ in 0..self.surplus(name, state) {
                let Some(instance) = state.empty.pop() else { break };
                if orders.len() >= moves_max {
                    return;
                }
                self.begin_move(instance, standby, now, orders);
            }
        }
    }

    /// Returns how many instances a pool could use whose accepted jobs use so much at once.
    fn wanted(&self, pool: &PoolId, accepted_milli: f64, now: Instant) -> usize {
        let each = self.instance_milli();
        if each == 0.0 {
            return POOL_MIN;
        }
        let offered = self.offered_loads.get(pool).map_or(0.0, |load| load.rate_milli(now));
        let need = self.long_running_milli(pool) + offered.max(accepted_milli);
        let by_need = (need / (each * FILL_TARGET)).ceil() as usize;
        by_need.max(self.distinct_wanted(pool))
    }

    /// Returns how many workers the steps need that allow only so many of their tasks on one.
    ///
    /// One more than that is kept for tasks that run until they are cancelled: they must be back
    /// within seconds when a worker is lost, which is less than a move takes to be noticed and made.
    fn distinct_wanted(&self, pool: &PoolId) -> usize {
        let steps = self.pool_jobs(pool).flat_map(|job| &job.submission.steps);
        let distinct = steps.filter(|step| step.per_worker_max > 0).map(|step| {
            step.count.div_ceil(step.per_worker_max) as usize + usize::from(step.long_running)
        });
        distinct.max().unwrap_or(0).min(DISTINCT_MAX)
    }

    /// Reports whether the directory lists most workers of the instances that are up.
    ///
    /// At the first start, and after an outage of the store, workers come back over some seconds.
    fn is_directory_whole(&self) -> bool {
        let up = self.instances.values().filter(|instance| {
            let standby = self.pools.get(&instance.pool).is_some_and(|pool| pool.standby);
            instance.state == InstanceState::Up && !standby
        });
        let listed = self.workers.values().filter(|worker| worker.listed).count();
        listed > 0 && listed * 2 >= up.count()
    }

    /// Returns the processors of an instance, in thousandths of a core; the largest counts.
    pub(super) fn instance_milli(&self) -> f64 {
        let capacities = self.workers.values().map(|worker| worker.entry.capacity.cpu_milli);
        capacities.max().unwrap_or(0) as f64
    }

    pub(super) fn pool_jobs<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a Job> {
        let jobs = self.live.iter().filter_map(|key| self.jobs.get(*key));
        jobs.filter(move |job| !job.phase.is_ended() && self.queue_settings(job).pool == *pool)
    }

    /// Returns what the tasks that run until they are cancelled take.
    pub(super) fn long_running_milli(&self, pool: &PoolId) -> f64 {
        let steps = self.pool_jobs(pool).flat_map(|job| &job.submission.steps);
        let lasting = steps.filter(|step| step.long_running);
        lasting.map(|step| u64::from(step.count) * step.reserved().cpu_milli).sum::<u64>() as f64
    }

    /// Returns the processors that the accepted jobs of a pool use at once, now or in a later step.
    pub(super) fn accepted_milli(&self, pool: &PoolId) -> f64 {
        let jobs = self.pool_jobs(pool).filter(|job| !job.submission.is_long_running());
        jobs.map(peak_milli).sum::<u64>() as f64
    }

    /// Returns the part of [`Engine::accepted_milli`] that is for jobs that can still be in time.
    fn accepted_in_time_milli(&self, pool: &PoolId, now: Instant) -> f64 {
        let jobs = self.pool_jobs(pool).filter(|job| !job.submission.is_long_running());
        jobs.filter(|job| job.can_meet_objective(now)).map(peak_milli).sum::<u64>() as f64
    }

    pub(super) fn pool_states(&self) -> BTreeMap<PoolId, PoolState> {
        let mut pools: BTreeMap<PoolId, PoolState> =
            self.pools.keys().map(|id| (id.clone(), PoolState::default())).collect();
        for (id, instance) in &self.instances {
            if let Some(moving) = self.pending_moves.get(id) {
                if let Some(state) = pools.get_mut(&moving.to) {
                    state.instances += 1;
                }
                continue;
            }
            let Some(state) = pools.get_mut(&instance.pool) else { continue };
            let parked = self.pools.get(&instance.pool).is_some_and(|pool| pool.standby);
            let worker = self.worker_of(id).and_then(|key| self.workers.get(key));
            let serves = worker.is_some_and(|worker| {
                let away = matches!(worker.cordon, Some(Cordon::Upkeep | Cordon::Called(_)));
                worker.listed && !worker.entry.draining && !away
            });
            state.instances += usize::from(serves || instance.state == InstanceState::Moving);
            let movable = instance.state == InstanceState::Up
                || (parked && instance.state == InstanceState::Down);
            if !movable || self.in_wave(id) {
                continue;
            }
            self.sort_in(id, worker, parked, state);
        }
        pools
    }

    fn sort_in(
        &self,
        id: &InstanceId,
        worker: Option<&super::state::Worker>,
        parked: bool,
        state: &mut PoolState,
    ) {
        let Some(worker) = worker else {
            if parked {
                state.empty.push(id.clone());
            }
            return;
        };
        if worker.entry.draining || !worker.listed || !worker.is_reconciled() {
            return;
        }
        if worker.runs.is_empty() {
            state.empty.push(id.clone());
        } else if worker.cordon == Some(Cordon::Move) {
            state.draining.push(id.clone());
        } else if !worker.runs.iter().any(|(task, _)| self.is_long_running_task(task)) {
            state.drainable.push((worker.runs.len(), id.clone()));
        }
    }

    pub(super) fn is_long_running_task(&self, task: &super::state::TaskRef) -> bool {
        let step =
            self.jobs.get(task.job).and_then(|job| job.submission.steps.get(task.step as usize));
        step.is_some_and(|step| step.long_running)
    }

    fn in_wave(&self, instance: &str) -> bool {
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

    /// Takes in how the machine service answered a move.
    pub fn move_outcome(&mut self, id: &InstanceId, outcome: FleetOutcome, now: Instant) {
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
