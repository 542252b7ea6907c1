//! Overload: choice of the jobs that get the capacity of a pool while it is too small for all.
//!
//! A pool that serves jobs by objective alone ends nearly all of them slightly late once it has a backlog. The
//! choice here gives the capacity to a set of jobs that can all meet their objectives, judged by measured run
//! times and by the progress of running tasks. All other jobs are deferred: they run on the capacity that the
//! chosen jobs leave. Admission uses the same choice, see [`super::admission`], and so does the order of starts,
//! see [`super::plan`]. The reasons are in docs/design/overload.md.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::fairness::running_and_waiting_milli;
use super::job::{Job, Phase, Run};
use super::maintenance::InstanceState;
use super::settings::QueueSettings;
use super::sizing::peak_demand_milli;
use super::spec::{Step, Submission};
use super::state::{Engine, JobKey, RunTimes, Worker};
use crate::ids::{PoolId, QueueId, TeamId};

/// Ratio of the time after which a late answer has no value to the objective.
pub(super) const VALUE_END_RATIO: u32 = 3;
/// Least remaining run time of a running task, as a part of its expected run time.
const RUN_LEFT_MIN: f64 = 0.1;
/// Least progress in percent from which the run time of a task is extrapolated.
const EXTRAPOLATION_PERCENT_MIN: u32 = 10;
/// Part of the room that jobs below the largest three tenths of their queue may fill.
const FILL_OF_SMALL: f64 = 0.9;
/// Part of the room that the fifth below the largest tenth may fill.
const FILL_OF_NEXT_FIFTH: f64 = 0.95;
/// Ratio from which two amounts of work count as different; expected run times change a little with each measurement.
const SIZE_TOLERANCE: f64 = 1.25;
/// Time without a run after which a deferred job no longer leaves free capacity to later steps of other jobs. A
/// job that waits for 3 s while there is capacity counts as lost.
const DEFERRAL_MAX: Duration = Duration::from_millis(1_500);

/// Capacity of a pool for short tasks, from now on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Processors of the workers that the pool has, in thousandths of a core.
    pub milli: f64,
    /// Processors that join the pool, with the time until then in milliseconds.
    pub joining: Vec<(f64, f64)>,
}

impl Capacity {
    /// Returns the work that the pool can do within a time, in thousandths of a core times milliseconds.
    pub fn work_within(&self, time_ms: f64) -> f64 {
        let joining =
            self.joining.iter().map(|(after_ms, milli)| (time_ms - after_ms).max(0.0) * milli);
        self.milli * time_ms.max(0.0) + joining.sum::<f64>()
    }

    /// Returns the processors once all instances have joined, in thousandths of a core.
    pub fn eventual_milli(&self) -> f64 {
        self.milli + self.joining.iter().map(|(_, milli)| milli).sum::<f64>()
    }

    /// Returns the time in which the pool does an amount of work, in milliseconds; infinite without capacity.
    pub fn time_for(&self, work: f64) -> f64 {
        let mut joining = self.joining.clone();
        joining.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut at_ms, mut milli, mut left) = (0.0, self.milli, work);
        for (after_ms, more) in joining {
            let done = milli * (after_ms - at_ms);
            if done >= left {
                break;
            }
            (at_ms, milli, left) = (after_ms, milli + more, left - done);
        }
        if left <= 0.0 { at_ms } else { at_ms + left / milli }
    }
}

/// Processors that running tasks keep, by the time until they end.
///
/// Runs are not preempted, so that work which is due earlier cannot have these processors.
#[derive(Clone, Debug, Default)]
pub struct RunningLoad {
    /// Processors of the tasks that end within each interval of [`RunningLoad::INTERVAL_MS`], in thousandths of a core.
    ending_milli: Vec<f64>,
    /// Sums over the intervals before each one: of processors times end, and of processors.
    before: Vec<(f64, f64)>,
    total_milli: f64,
}

impl RunningLoad {
    /// Resolution of the times until tasks end, in milliseconds.
    const INTERVAL_MS: f64 = 50.0;
    /// Number of intervals; later ends count as the last of them, which lies beyond the objectives of short jobs.
    const INTERVALS_MAX: usize = 400;

    /// Adds a running task that ends after `left_ms`.
    pub fn add(&mut self, left_ms: f64, milli: f64) {
        let interval =
            ((left_ms / RunningLoad::INTERVAL_MS) as usize).min(RunningLoad::INTERVALS_MAX - 1);
        if self.ending_milli.len() <= interval {
            self.ending_milli.resize(interval + 1, 0.0);
        }
        self.ending_milli[interval] += milli;
        self.total_milli += milli;
    }

    /// Computes the sums, after all running tasks have been added.
    pub fn finish(&mut self) {
        let (mut work, mut ended_milli) = (0.0, 0.0);
        self.before.clear();
        for (interval, milli) in self.ending_milli.iter().enumerate() {
            self.before.push((work, ended_milli));
            work += milli * (interval as f64 + 0.5) * RunningLoad::INTERVAL_MS;
            ended_milli += milli;
        }
        self.before.push((work, ended_milli));
    }

    /// Returns the work that the running tasks do within a time, in thousandths of a core times milliseconds.
    pub fn work_within(&self, time_ms: f64) -> f64 {
        let interval = ((time_ms / RunningLoad::INTERVAL_MS) as usize).min(self.ending_milli.len());
        let (work, ended_milli) = self.before.get(interval).copied().unwrap_or_default();
        work + (self.total_milli - ended_milli) * time_ms.max(0.0)
    }
}

/// Room of a pool for tasks that wait: its capacity without what running tasks keep.
#[derive(Clone, Debug, Default)]
pub struct Room {
    /// Capacity for short tasks.
    pub capacity: Capacity,
    /// Running short tasks.
    pub running: RunningLoad,
}

impl Room {
    /// Returns the work of waiting tasks that the pool can do within a time, in thousandths of a core times
    /// milliseconds.
    pub fn work_within(&self, time_ms: f64) -> f64 {
        self.capacity.work_within(time_ms) - self.running.work_within(time_ms)
    }
}

/// Claim of a job that can meet its objective on the capacity of its pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Whether the team is beyond its share of a full pool; such jobs are given up first.
    pub over_share: bool,
    /// Priority of the queue; zero is the highest. Lower priorities are given up first.
    pub priority: u32,
    /// Value per unit of remaining work. Among equal priorities the lowest is given up first.
    pub density: f64,
    /// Time until the objective in milliseconds. Among equal values the latest is given up first.
    pub left_ms: f64,
}

/// Waiting work of one step of a job that has a claim.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClaimPart {
    /// Index of the claim.
    pub claim: usize,
    /// Time by which the work has to be done so that the later steps are in time, in milliseconds.
    pub due_ms: f64,
    /// Work, in thousandths of a core times milliseconds.
    pub work: f64,
}

/// A chosen claim in the order in which claims are evicted from the choice: the greatest goes first.
struct EvictionOrder<'a>(&'a Claim, usize);

impl Ord for EvictionOrder<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let (a, b) = (self.0, other.0);
        (a.over_share.cmp(&b.over_share))
            .then(a.priority.cmp(&b.priority))
            .then(b.density.total_cmp(&a.density))
            .then(a.left_ms.total_cmp(&b.left_ms))
            .then(self.1.cmp(&other.1))
    }
}

impl PartialOrd for EvictionOrder<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for EvictionOrder<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for EvictionOrder<'_> {}

/// Returns for each claim whether it is chosen: the chosen ones are all met if their parts run in order of their due
/// times.
///
/// The parts are taken in order of their due times, and whenever the work up to a due time exceeds the room, claims
/// are given up until it fits (the algorithm of Moore and Hodgson, with weights).
pub fn choose(claims: &[Claim], parts: &[ClaimPart], room: &Room) -> Vec<bool> {
    let mut order: Vec<&ClaimPart> = parts.iter().collect();
    order.sort_by(|a, b| a.due_ms.total_cmp(&b.due_ms));
    let mut chosen = vec![true; claims.len()];
    let mut counted: Vec<Option<f64>> = vec![None; claims.len()];
    let mut heap = BinaryHeap::new();
    let mut work = 0.0;
    for part in order {
        if !chosen[part.claim] {
            continue;
        }
        if counted[part.claim].is_none() {
            heap.push(EvictionOrder(&claims[part.claim], part.claim));
        }
        *counted[part.claim].get_or_insert(0.0) += part.work;
        work += part.work;
        let available = room.work_within(part.due_ms);
        while work > available {
            let Some(EvictionOrder(_, given_up)) = heap.pop() else { break };
            chosen[given_up] = false;
            work -= counted[given_up].unwrap_or(0.0);
        }
    }
    chosen
}

/// Returns whether the work of a further job is done in time beside the chosen claims, without giving up any of
/// them.
///
/// Only the part `fill` of the room is used.
pub fn fits_beside(
    parts: &[ClaimPart],
    chosen: &[bool],
    job: &[ClaimPart],
    room: &Room,
    fill: f64,
) -> bool {
    let Some(first_due_ms) = job.iter().map(|part| part.due_ms).reduce(f64::min) else {
        return true;
    };
    let mut order: Vec<&ClaimPart> =
        parts.iter().filter(|part| chosen[part.claim]).chain(job).collect();
    order.sort_by(|a, b| a.due_ms.total_cmp(&b.due_ms));
    let mut work = 0.0;
    order.into_iter().all(|part| {
        work += part.work;
        part.due_ms < first_due_ms || work <= room.work_within(part.due_ms) * fill
    })
}

/// Remaining need of a job, judged by measured run times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Need {
    /// Work of the waiting tasks, in thousandths of a core times milliseconds.
    pub work: f64,
    /// Work that is left of the running tasks.
    pub running_work: f64,
    /// Work of the whole job.
    pub total_work: f64,
    /// Critical path from now on, in milliseconds.
    pub path_ms: f64,
    /// Longest path that begins with a waiting task, in milliseconds.
    pub waiting_path_ms: f64,
    /// Critical path of the whole job by the run times on the workers, in milliseconds.
    pub total_path_ms: f64,
    /// Longest run time of a task that waits, in milliseconds.
    pub task_ms: f64,
    /// Standard deviation of the run times within a step, in milliseconds.
    pub deviation_ms: f64,
    /// Whether a task has started.
    pub has_started: bool,
    /// Steps with waiting tasks.
    pub stages: Vec<Stage>,
}

/// Waiting tasks of one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stage {
    /// Critical path after the step, in milliseconds.
    pub tail_ms: f64,
    /// Run time of a task, in milliseconds.
    pub task_ms: f64,
    /// Work, in thousandths of a core times milliseconds.
    pub work: f64,
}

impl Need {
    /// Returns the claim parts of a job whose objective is `left_ms` away.
    ///
    /// When the last task of a step ends, the tasks beside it are on average halfway through, with work of jobs that
    /// are due later. The work therefore has to be done half a run time earlier.
    pub fn parts(&self, claim: usize, left_ms: f64) -> impl Iterator<Item = ClaimPart> + '_ {
        self.stages.iter().map(move |stage| ClaimPart {
            claim,
            due_ms: left_ms - stage.tail_ms - stage.task_ms / 2.0,
            work: stage.work,
        })
    }

    /// Returns the claim of a job, or `None` if it misses its objective in any case.
    ///
    /// A job of which no task has started needs a margin of one standard deviation, so that it still has a claim for
    /// its later steps. A job that has started keeps its claim for as long.
    fn claim(&self, left_ms: f64, priority: u32, over_share: bool) -> Option<Claim> {
        let margin_ms = if self.has_started { -self.deviation_ms } else { self.deviation_ms };
        let density = self.total_work / (self.work + self.running_work).max(1.0);
        (self.path_ms + margin_ms <= left_ms).then_some(Claim {
            over_share,
            priority,
            density,
            left_ms,
        })
    }

    /// Returns the time from the first attempt of the job until its objective.
    pub fn objective_after(&self, settings: &QueueSettings) -> Duration {
        Duration::from_secs_f64(self.total_path_ms * settings.slack_factor / 1_000.0)
            + Duration::from_millis(settings.objective_ms)
    }
}

/// Class of a job in the order of starts.
#[derives(value)]
pub enum StartClass {
    /// The job can meet its objective, and the capacity suffices for it.
    Chosen,
    /// The job could still meet its objective, but others make better use of the capacity.
    Deferred,
    /// The job misses its objective, and has some value left.
    Late,
    /// The job has no value any more.
    Worthless,
}

/// Classes and objectives of the jobs in one plan.
#[derive(Clone, Debug, Default)]
pub(super) struct Classes {
    pub(super) of_job: BTreeMap<JobKey, (StartClass, Instant)>,
}

/// A job that has been admitted and is not persisted yet.
#[derive(Clone, Debug)]
pub(super) struct AdmittedJob {
    pub(super) pool: PoolId,
    pub(super) at: Instant,
    pub(super) due: Instant,
    pub(super) need: Need,
    pub(super) priority: u32,
    pub(super) team: TeamId,
}

/// Returns the remaining run time of a run of an expected length, in milliseconds.
pub(super) fn run_left_ms(run: &Run, expected_ms: f64, now: Instant) -> f64 {
    let ms = |until: Instant| until.saturating_duration_since(run.sent).as_secs_f64() * 1_000.0;
    let total_ms = match run.percent {
        percent @ EXTRAPOLATION_PERCENT_MIN..100 => {
            (ms(run.last_progress) * 100.0 / f64::from(percent)).max(expected_ms * RUN_LEFT_MIN)
        }
        _ => expected_ms,
    };
    (total_ms - ms(now)).max(expected_ms * RUN_LEFT_MIN)
}

impl Engine {
    /// Returns the need of a job that has not been accepted, on a pool of `milli` processors.
    pub(super) fn need_of(&self, submission: &Submission, milli: f64) -> Need {
        let deviation_ms = self.deviation_ms(&submission.queue);
        let mut need = Need { deviation_ms, ..Need::default() };
        let mut path = Path::new(submission.steps.len());
        for (number, step) in submission.steps.iter().enumerate() {
            let task_ms = self.expected_ms(&submission.queue, step);
            path.own_ms[number] =
                need.add_waiting(number, step, step.count, task_ms, milli, &mut path);
            path.task_ms[number] = task_ms;
        }
        path.finish(&submission.steps, &mut need);
        need.total_work = need.work;
        need.total_path_ms *= self.pure_share(&submission.queue);
        need
    }

    /// Returns the remaining need of a job on a pool of `milli` processors.
    ///
    /// The running tasks are added to `running`.
    pub(super) fn remaining_need(
        &self,
        job: &Job,
        milli: f64,
        running: &mut RunningLoad,
        now: Instant,
    ) -> Need {
        let steps = &job.submission.steps;
        let times = self.run_times.get(&job.submission.queue);
        let mut need = Need {
            deviation_ms: times.map_or(0.0, RunTimes::deviation_ms),
            has_started: job.phase != Phase::Queued,
            ..Need::default()
        };
        for occurrence in job.occurrences.values() {
            let mut path = Path::new(steps.len());
            for (number, (step, state)) in steps.iter().zip(&occurrence.steps).enumerate() {
                let declared_ms = step.estimate_ms as f64;
                let task_ms = times.map_or(declared_ms, |times| times.expected_ms(declared_ms));
                path.task_ms[number] = task_ms;
                let cpu_milli = step.reserved().cpu_milli as f64;
                need.total_work += f64::from(step.count) * cpu_milli * task_ms;
                if state.is_done() {
                    continue;
                }
                let (mut waiting, mut longest_ms) = (0u32, 0.0f64);
                for task in state.tasks.iter().filter(|task| !task.done) {
                    let Some(run) = task.runs.first() else {
                        waiting += 1;
                        continue;
                    };
                    let left_ms = run_left_ms(run, task_ms, now);
                    longest_ms = longest_ms.max(left_ms);
                    need.running_work += left_ms * cpu_milli;
                    if self.workers.get(run.worker).is_some_and(|worker| self.serves_pool(worker)) {
                        running.add(left_ms, cpu_milli);
                    }
                }
                let waiting_ms = need.add_waiting(number, step, waiting, task_ms, milli, &mut path);
                path.own_ms[number] = longest_ms.max(waiting_ms);
            }
            path.finish(steps, &mut need);
        }
        need.total_path_ms *= times.map_or(1.0, RunTimes::pure_share);
        need
    }

    /// Returns the expected run time of a task, in milliseconds.
    pub(super) fn expected_ms(&self, queue: &QueueId, step: &Step) -> f64 {
        let declared_ms = step.estimate_ms as f64;
        self.run_times.get(queue).map_or(declared_ms, |times| times.expected_ms(declared_ms))
    }

    /// Returns the part of the measured run times of a queue that is spent on the worker.
    fn pure_share(&self, queue: &QueueId) -> f64 {
        self.run_times.get(queue).map_or(1.0, RunTimes::pure_share)
    }

    /// Returns the standard deviation of the run times within a step of a queue, in milliseconds.
    fn deviation_ms(&self, queue: &QueueId) -> f64 {
        self.run_times.get(queue).map_or(0.0, RunTimes::deviation_ms)
    }

    /// Returns the objective of a job by measured run times.
    pub(super) fn expected_objective(job: &Job, need: &Need) -> Instant {
        let from = match job.submission.repeats {
            0 => job.objective_from,
            _ => job.occurrences.values().next().map_or(job.objective_from, |o| o.due),
        };
        from + need.objective_after(&job.queue_settings)
    }

    /// Returns whether a worker counts in the capacity of its pool.
    ///
    /// Workers of evacuated data centres get no starts, so that work admitted for them would end late.
    fn serves_pool(&self, worker: &Worker) -> bool {
        worker.listed
            && !worker.entry.draining
            && worker.cordon.is_none()
            && !self.is_evacuated(worker)
    }

    /// Returns the capacity of a pool for short tasks, with the instances that move to it or can join it.
    pub(super) fn capacity_of(&self, pool: &PoolId, now: Instant) -> Capacity {
        let usable = self
            .workers
            .values()
            .filter(|worker| worker.entry.pool == *pool && self.serves_pool(worker));
        let listed_milli: u64 = usable.map(|worker| worker.entry.capacity.cpu_milli).sum();
        let instance_milli = self.instance_milli();
        let mut capacity = Capacity {
            milli: (listed_milli as f64 - self.long_running_milli(pool)).max(0.0),
            joining: Vec::new(),
        };
        for moving in self.pending_moves.values().filter(|moving| moving.to == *pool) {
            let arrival = moving.since + self.limits.move_time;
            let after_ms = arrival.saturating_duration_since(now).as_secs_f64() * 1_000.0;
            capacity.joining.push((after_ms, instance_milli));
        }
        // The target counts instances that other pools give up; right after a takeover it counts those of workers
        // that the directory does not list yet.
        let target_milli = self.targets.get(pool).copied().unwrap_or(0) as f64 * instance_milli;
        let known_milli = listed_milli as f64 + capacity.joining.len() as f64 * instance_milli;
        let missing_milli = (target_milli - known_milli).max(0.0);
        let standby_milli = self.standby_milli(pool) as f64;
        let after_ms = self.limits.move_time.as_secs_f64() * 1_000.0;
        if standby_milli > 0.0 {
            capacity.joining.push((after_ms, standby_milli));
        }
        if missing_milli > standby_milli {
            // Instances of other pools have to be drained before they move.
            capacity.joining.push((after_ms * 2.0, missing_milli - standby_milli));
        }
        capacity
    }

    /// Returns the processors that instances of the standby pool can add within a move, in thousandths of a core.
    fn standby_milli(&self, pool: &PoolId) -> u64 {
        let Some(standby) = self.standby_pool().filter(|standby| standby != pool) else { return 0 };
        let available = self.instances.iter().filter(|(id, instance)| {
            instance.pool == standby
                && matches!(instance.state, InstanceState::Up)
                && !self.pending_moves.contains_key(*id)
                && !self.is_instance_evacuated(id, instance)
        });
        let count = available.count().min(self.moves_per_second());
        count as u64 * self.instance_milli() as u64
    }

    /// Assigns the live jobs to classes, given those that are beyond their team's share.
    pub(super) fn classify_jobs(&self, over_share: &BTreeSet<JobKey>, now: Instant) -> Classes {
        let mut classes = Classes::default();
        let mut pools: BTreeMap<&PoolId, PoolChoice> = BTreeMap::new();
        for key in &self.live {
            let Some(job) = self.jobs.get(*key) else { continue };
            if job.phase.is_ended() || job.submission.is_long_running() {
                continue;
            }
            let settings = self.queue_settings(job);
            let choice = pools.entry(&settings.pool).or_insert_with(|| PoolChoice {
                room: Room { capacity: self.capacity_of(&settings.pool, now), ..Room::default() },
                ..PoolChoice::default()
            });
            let milli = choice.room.capacity.eventual_milli();
            let need = self.remaining_need(job, milli, &mut choice.room.running, now);
            let objective = Self::expected_objective(job, &need);
            let over_share = over_share.contains(key);
            let left_ms = millis_until(objective, now);
            match need.claim(left_ms, settings.priority, over_share) {
                Some(claim) => {
                    let path = Duration::from_secs_f64(need.waiting_path_ms / 1_000.0);
                    let latest_start = objective.checked_sub(path).unwrap_or(objective);
                    choice.parts.extend(need.parts(choice.claims.len(), left_ms));
                    choice.keys.push((*key, latest_start));
                    choice.claims.push(claim);
                }
                None => {
                    let more = need.objective_after(&job.queue_settings) * (VALUE_END_RATIO - 1);
                    let has_value = objective + more >= now;
                    let class = if has_value { StartClass::Late } else { StartClass::Worthless };
                    classes.of_job.insert(*key, (class, objective));
                }
            }
        }
        for mut choice in pools.into_values() {
            choice.room.running.finish();
            let chosen = choose(&choice.claims, &choice.parts, &choice.room);
            for ((key, latest_start), chosen) in choice.keys.into_iter().zip(chosen) {
                let class = if chosen { StartClass::Chosen } else { StartClass::Deferred };
                classes.of_job.insert(key, (class, latest_start));
            }
        }
        classes
    }

    /// Returns the processors of a pool that its chosen jobs need beyond their running tasks, now or for a later
    /// step, in thousandths of a core.
    pub(super) fn reserved_for_chosen(&self, pool: &PoolId, classes: &Classes) -> u64 {
        let chosen = classes.of_job.iter().filter(|(_, (class, _))| *class == StartClass::Chosen);
        let jobs = chosen.filter_map(|(key, _)| self.jobs.get(*key));
        let jobs = jobs.filter(|job| self.queue_settings(job).pool == *pool);
        let missing =
            |job: &Job| peak_demand_milli(job).saturating_sub(running_and_waiting_milli(job).0);
        jobs.map(missing).sum()
    }

    /// Returns whether a deferred job has waited for so long that it may use any free capacity.
    pub(super) fn is_deferral_over(&self, key: JobKey, now: Instant) -> bool {
        let Some(job) = self.jobs.get(key) else { return false };
        now.saturating_duration_since(job.accepted) > DEFERRAL_MAX && !job.has_runs()
    }

    /// Returns the claims of the accepted jobs of a pool, those that are not persisted yet included.
    pub(super) fn accepted_claims(&self, pool: &PoolId, now: Instant) -> PoolClaims {
        let capacity = self.capacity_of(pool, now);
        let milli = capacity.eventual_milli();
        let room = Room { capacity, ..Room::default() };
        let mut found = PoolClaims { room, ..PoolClaims::default() };
        for job in self.pool_jobs(pool).filter(|job| !job.submission.is_long_running()) {
            let need = self.remaining_need(job, milli, &mut found.room.running, now);
            found.backlog += need.work;
            found.ready_milli += running_and_waiting_milli(job).1;
            let left_ms = millis_until(Self::expected_objective(job, &need), now);
            let priority = self.queue_settings(job).priority;
            if let Some(claim) = need.claim(left_ms, priority, false) {
                found.parts.extend(need.parts(found.claims.len(), left_ms));
                found.claims.push(claim);
                found.teams.push(job.submission.team.clone());
            }
        }
        for admitted in self.admitted.values().filter(|admitted| admitted.pool == *pool) {
            found.add_admitted(admitted, now);
        }
        found.room.running.finish();
        found
    }

    /// Returns the processors that are free on the workers that count in a pool's capacity, in thousandths of a core.
    pub(super) fn free_milli(&self, pool: &PoolId) -> u64 {
        let workers = self.workers.values().filter(|worker| worker.entry.pool == *pool);
        workers
            .filter(|worker| self.serves_pool(worker))
            .map(|worker| worker.free().cpu_milli)
            .sum()
    }

    /// Returns the expected run time of a queue's tasks with a declared run time, for the log and for tests.
    pub fn expected_run_time(&self, queue: &QueueId, declared: Duration) -> Duration {
        let declared_ms = declared.as_secs_f64() * 1_000.0;
        let times = self.run_times.get(queue);
        let ms = times.map_or(declared_ms, |times| times.expected_ms(declared_ms));
        Duration::from_secs_f64(ms / 1_000.0)
    }
}

impl PoolClaims {
    /// Adds a job that has been admitted and is not persisted yet.
    pub(super) fn add_admitted(&mut self, admitted: &AdmittedJob, now: Instant) {
        self.backlog += admitted.need.work;
        self.ready_milli += (admitted.need.work / admitted.need.path_ms.max(1.0)) as u64;
        let left_ms = millis_until(admitted.due, now);
        if let Some(claim) = admitted.need.claim(left_ms, admitted.priority, false) {
            self.parts.extend(admitted.need.parts(self.claims.len(), left_ms));
            self.claims.push(claim);
            self.teams.push(admitted.team.clone());
        }
    }

    /// Returns the teams whose chosen work exceeds their share by weight of the work that the pool can do in
    /// `time_ms`, if `team` adds `work` to its own.
    pub(super) fn teams_over_share(
        &self,
        chosen: &[bool],
        team: &TeamId,
        work: f64,
        time_ms: f64,
        weight: impl Fn(&TeamId) -> u64,
    ) -> BTreeSet<TeamId> {
        let mut work_of: BTreeMap<&TeamId, f64> = BTreeMap::from([(team, work)]);
        for part in self.parts.iter().filter(|part| chosen[part.claim]) {
            *work_of.entry(&self.teams[part.claim]).or_default() += part.work;
        }
        let total = work_of.values().sum::<f64>().max(self.room.work_within(time_ms));
        let weights: u64 = work_of.keys().map(|team| weight(team)).sum();
        let share = |team: &TeamId| total * weight(team) as f64 / weights.max(1) as f64;
        let over = work_of.into_iter().filter(|(team, work)| *work > share(team));
        over.map(|(team, _)| team.clone()).collect()
    }
}

/// Work of the last jobs of a queue, in the order of their submission.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentWork(VecDeque<f64>);

impl RecentWork {
    /// Number of jobs that are kept, enough to tell the largest tenth.
    const JOBS_MAX: usize = 100;

    /// Adds a submitted job.
    pub(super) fn add(&mut self, work: f64) {
        if self.0.len() == RecentWork::JOBS_MAX {
            self.0.pop_front();
        }
        self.0.push_back(work);
    }

    /// Returns the part of the room of a pool that a job may fill at admission.
    ///
    /// A large job rarely fits into what small ones leave of a full pool. Small jobs therefore leave some room that
    /// only larger ones use: the largest tenth all of it, and the fifth below it a part.
    pub(super) fn fill(&self, work: f64) -> f64 {
        let larger = self.0.iter().filter(|other| **other > work * SIZE_TOLERANCE).count();
        match larger as f64 / self.0.len().max(1) as f64 {
            rank if rank <= 0.1 => 1.0,
            rank if rank <= 0.3 => FILL_OF_NEXT_FIFTH,
            _ => FILL_OF_SMALL,
        }
    }
}

/// Claims on a pool, and its backlog.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolClaims {
    pub(super) claims: Vec<Claim>,
    pub(super) parts: Vec<ClaimPart>,
    /// Team of each claim.
    pub(super) teams: Vec<TeamId>,
    pub(super) room: Room,
    /// Work of the waiting tasks of all accepted jobs.
    pub(super) backlog: f64,
    /// Processors of the tasks that are ready to start, with the average demand of jobs that are not persisted yet.
    pub(super) ready_milli: u64,
}

#[derive(Default)]
struct PoolChoice {
    room: Room,
    keys: Vec<(JobKey, Instant)>,
    claims: Vec<Claim>,
    parts: Vec<ClaimPart>,
}

/// Returns the expected maximum of `count` run times above their mean, in standard deviations.
///
/// A step ends with its slowest task. The approximation is within a tenth for normal distributions and 2 to 100 tasks.
fn expected_maximum(count: u32) -> f64 {
    0.7 * (2.0 * f64::from(count).ln()).sqrt()
}

/// Returns the time until a later time, in milliseconds.
pub(super) fn millis_until(later: Instant, now: Instant) -> f64 {
    later.saturating_duration_since(now).as_secs_f64() * 1_000.0
}

/// Run times of the steps of a job, from which its paths are computed.
struct Path {
    /// Remaining time of each step, in milliseconds.
    own_ms: Vec<f64>,
    /// Run time of a task of each step, in milliseconds.
    task_ms: Vec<f64>,
    /// Index of the step of each stage that has been added to the need.
    steps_of_stages: Vec<usize>,
}

impl Path {
    fn new(steps: usize) -> Path {
        Path { own_ms: vec![0.0; steps], task_ms: vec![0.0; steps], steps_of_stages: Vec::new() }
    }

    /// Computes the paths, and the tails of the stages that were added last.
    fn finish(self, steps: &[Step], need: &mut Need) {
        let mut tails_ms = vec![(0.0f64, 0.0f64); steps.len()];
        for (number, step) in steps.iter().enumerate().rev() {
            let (tail_ms, total_tail_ms) = tails_ms[number];
            let path_ms = tail_ms + self.own_ms[number];
            let total_ms = total_tail_ms + self.task_ms[number];
            need.path_ms = need.path_ms.max(path_ms);
            need.total_path_ms = need.total_path_ms.max(total_ms);
            for before in &step.after {
                let Some(tail) = tails_ms.get_mut(*before as usize) else { continue };
                *tail = (tail.0.max(path_ms), tail.1.max(total_ms));
            }
        }
        let first = need.stages.len() - self.steps_of_stages.len();
        for (stage, number) in need.stages[first..].iter_mut().zip(self.steps_of_stages) {
            stage.tail_ms = tails_ms[number].0;
            need.waiting_path_ms = need.waiting_path_ms.max(stage.tail_ms + self.own_ms[number]);
        }
    }
}

impl Need {
    /// Adds the waiting tasks of a step, and returns the time that they take on a pool of `milli` processors.
    fn add_waiting(
        &mut self,
        number: usize,
        step: &Step,
        waiting: u32,
        task_ms: f64,
        milli: f64,
        path: &mut Path,
    ) -> f64 {
        if waiting == 0 {
            return 0.0;
        }
        let demand_milli = f64::from(waiting) * step.reserved().cpu_milli as f64;
        let work = demand_milli * task_ms;
        self.work += work;
        self.task_ms = self.task_ms.max(task_ms);
        self.stages.push(Stage { tail_ms: 0.0, task_ms, work });
        path.steps_of_stages.push(number);
        // A step that is wider than the pool runs in rounds.
        let rounds = (demand_milli / milli.max(1.0)).max(1.0);
        task_ms * rounds + self.deviation_ms * expected_maximum(waiting)
    }
}
