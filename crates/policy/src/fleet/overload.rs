//! Overload: choice of the jobs that get the capacity of a pool while it is too small for all.
//!
//! A pool that serves jobs by objective alone ends nearly all of them slightly late once it has a backlog. The
//! choice here gives the capacity to a set of jobs that can all meet their objectives, judged by measured run
//! times and by the progress of running tasks. All other jobs are deferred: they run on the capacity that the
//! chosen jobs leave. Admission uses the same choice, see [`super::admission`], and so does the order of starts,
//! see [`super::plan`]. The reasons are in docs/design/overload.md.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::claims::{Claim, ClaimPart, choose};
use super::fairness::running_and_waiting_milli;
use super::job::{Job, Phase};
use super::maintenance::InstanceState;
use super::need::{Need, Path, millis_until, run_left_ms};
use super::room::{Capacity, Room, RunningLoad};
use super::sizing::peak_demand_milli;
use super::spec::{Step, Submission};
use super::state::{Engine, JobKey, RunTimes, Worker};
use crate::ids::{PoolId, QueueId, TeamId};

/// Ratio of the time after which a late answer has no value to the objective.
pub(super) const VALUE_END_RATIO: u32 = 3;
/// Part of the room that jobs below the largest three tenths of their queue may fill.
const FILL_OF_SMALL: f64 = 0.9;
/// Part of the room that the fifth below the largest tenth may fill.
const FILL_OF_NEXT_FIFTH: f64 = 0.95;
/// Ratio from which two amounts of work count as different; expected run times change a little with each measurement.
const SIZE_TOLERANCE: f64 = 1.25;
/// Time without a run after which a deferred job no longer leaves free capacity to later steps of other jobs. A
/// job that waits for 3 s while there is capacity counts as lost.
const DEFERRAL_MAX: Duration = Duration::from_millis(1_500);

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
