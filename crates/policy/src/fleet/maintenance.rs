//! Which instances of a maintenance wave go down next.
//!
//! An instance is cordoned first, so that short tasks run out and tasks that run until they are
//! cancelled are moved one at a time within their steps' bounds. It goes down when it is empty, or when
//! the wave would miss its deadline otherwise. A call for upkeep that was carried out already changes
//! nothing, so a new owner simply asks again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::placement::UNRESPONSIVE_AFTER;
use super::reports::JobEvent;
use super::state::{Cordon, Engine, TaskRef, WorkerKey};
use crate::ids::{InstanceId, PoolId};

/// Names a wave of the platform's operator.
pub type WaveNumber = u64;

/// How long a cordoned instance waits for its short tasks before they are cut.
const DRAIN_MAX: Duration = Duration::from_millis(3_500);
/// How long an instance waits whose worker cannot be asked: until all leases there have lapsed.
const UNKNOWN_DRAIN_MAX: Duration = Duration::from_millis(6_000);
/// How many instances are cordoned beyond those that may be down, so that the next is empty in time.
const CORDONED_AHEAD: usize = 1;
/// How long the machine service may take to show an instance up after its upkeep.
const UPKEEP_SLACK: Duration = Duration::from_millis(500);
/// How long the calls of an earlier owner to the machine service may be on their way: its timeout.
pub(super) const PREDECESSOR_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a call whose outcome is unknown is left alone before it is made again.
pub const UNKNOWN_CALL_RETRY_DELAY: Duration = Duration::from_millis(1_200);

/// What the machine service says of an instance.
#[derives(value)]
pub enum InstanceState {
    /// It runs, or could.
    Up,
    /// It changes its pool.
    Moving,
    /// It is down for upkeep.
    Upkeep,
    /// It is down.
    Down,
}

/// An instance, which outlives the workers that run on it.
#[derives(record)]
pub struct Instance {
    /// Its pool.
    pub pool: PoolId,
    /// Its state.
    pub state: InstanceState,
    /// Its worker, if it has one.
    pub worker: Option<InstanceId>,
    /// Its labels, which stay with it.
    pub labels: Vec<String>,
}

/// How far an instance of a wave has come.
#[derives(value)]
pub enum MaintenanceStage {
    /// Nothing has been done.
    Waiting,
    /// It takes no new tasks since this time.
    Draining(Instant),
    /// The call was sent at this time, and has no sure outcome yet.
    Called(Instant),
    /// It went down at this time.
    Down(Instant),
    /// Its upkeep has begun, and it is up again.
    Done,
}

/// A maintenance wave.
#[derives(record)]
pub struct Wave {
    /// The most instances that may be down at once.
    pub down_max: usize,
    /// By when all must have had their upkeep.
    pub deadline: Instant,
    /// The instances.
    pub stages: BTreeMap<InstanceId, MaintenanceStage>,
    /// Whether the wave was said to be running, and to be done.
    pub reported: Option<bool>,
}

impl Wave {
    /// Creates a wave of which nothing has been done.
    pub fn new(instances: Vec<InstanceId>, down_max: usize, deadline: Instant) -> Wave {
        let stages = instances.into_iter().map(|id| (id, MaintenanceStage::Waiting)).collect();
        Wave { down_max: down_max.max(1), deadline, stages, reported: None }
    }

    /// Reports whether the upkeep of all instances has begun.
    pub fn is_done(&self) -> bool {
        let begun = |stage: &MaintenanceStage| {
            matches!(stage, MaintenanceStage::Down(_) | MaintenanceStage::Done)
        };
        self.stages.values().all(begun)
    }

    /// Returns the instances whose upkeep has surely begun.
    pub fn begun(&self) -> Vec<InstanceId> {
        let begun = |stage: &MaintenanceStage| {
            matches!(stage, MaintenanceStage::Down(_) | MaintenanceStage::Done)
        };
        self.stages.iter().filter(|(_, stage)| begun(stage)).map(|(id, _)| id.clone()).collect()
    }
}

/// The row of a wave: what a new owner has to know of it.
#[derives(record)]
pub struct WaveProgress {
    /// The instances whose upkeep has begun.
    pub begun: Vec<InstanceId>,
}

/// Something to ask of the machine service or to tell its operator.
#[derives(record)]
pub enum FleetOrder {
    /// Take an instance down for the upkeep of a wave.
    Upkeep {
        /// The instance.
        instance: InstanceId,
        /// The wave.
        wave: WaveNumber,
    },
    /// Move an instance to another pool.
    Move {
        /// The instance.
        instance: InstanceId,
        /// The pool.
        pool: PoolId,
    },
    /// Tell the operator how far a wave has come.
    Report {
        /// The wave.
        wave: WaveNumber,
        /// Whether it is done.
        done: bool,
    },
}

/// How the machine service answered a call.
#[derives(value)]
pub enum FleetOutcome {
    /// It was carried out, now or earlier.
    Accepted,
    /// Another daemon has called with a higher fence.
    Fenced,
    /// The instance is not up, or its worker is leaving.
    Busy,
    /// The call makes no sense for the instance.
    Invalid,
    /// The call was certainly not carried out.
    NotRun,
    /// The call may have been carried out, or may be later.
    Unknown,
}

impl Engine {
    /// Takes in the list of instances that was asked for at `asked`.
    pub fn apply_instance_list(
        &mut self,
        instances: BTreeMap<InstanceId, Instance>,
        asked: Instant,
        now: Instant,
        notes: &mut Vec<JobEvent>,
    ) {
        for wave in self.waves.values_mut() {
            for (id, stage) in &mut wave.stages {
                let Some(instance) = instances.get(id) else {
                    // An instance that is gone for good needs no upkeep.
                    *stage = MaintenanceStage::Done;
                    continue;
                };
                let over = |since: Instant, limits: Duration| {
                    now.saturating_duration_since(since) >= limits + UPKEEP_SLACK
                };
                if let MaintenanceStage::Down(since) = *stage
                    && over(since, self.limits.maintenance_time)
                    && instance.state == InstanceState::Up
                {
                    *stage = MaintenanceStage::Done;
                }
            }
        }
        self.instances = instances;
        self.instances_requested = Some(asked);
        self.settle_called(asked, notes);
    }

    /// Decides by the list of instances, asked for at `asked`, which accepted calls ended a worker.
    fn settle_called(&mut self, asked: Instant, notes: &mut Vec<JobEvent>) {
        let up = self.instances.values().filter(|i| i.state == InstanceState::Up);
        let alive: BTreeSet<InstanceId> = up.filter_map(|i| i.worker.clone()).collect();
        let present: BTreeSet<InstanceId> =
            self.instances.values().filter_map(|i| i.worker.clone()).collect();
        let mut ended = Vec::new();
        for (key, worker) in &mut self.workers {
            // A silent worker whose instance has none or another life has ended with its runs.
            let silent = worker.last_contact.is_some_and(|at| at + UNRESPONSIVE_AFTER < asked);
            if silent && !present.is_empty() && !present.contains(&worker.entry.id) {
                ended.push(key);
                continue;
            }
            match worker.cordon {
                Some(Cordon::Called(at)) if at > asked => {}
                Some(Cordon::Called(_)) if alive.contains(&worker.entry.id) => worker.cordon = None,
                Some(Cordon::Called(_)) => ended.push(key),
                _ => {}
            }
        }
        for key in ended {
            self.workers[key].listed = false;
            self.drop_all_runs(key, "its instance has no or another worker", notes);
            // A start that got lost may still reach a later life under the same id, so it is remembered.
            if self.workers[key].starts_in_doubt.is_empty() {
                self.remove_worker(key);
            }
        }
    }

    /// Lets a worker take nothing new after a call about its instance was accepted.
    pub(super) fn cordon_called(&mut self, key: WorkerKey, now: Instant) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.cordon = Some(Cordon::Called(now));
        }
    }

    /// Returns the next steps of all waves.
    pub fn plan_waves(&mut self, now: Instant) -> Vec<FleetOrder> {
        let mut orders = Vec::new();
        let numbers: Vec<WaveNumber> = self.waves.keys().copied().collect();
        let mut cordoned = BTreeSet::new();
        for number in numbers {
            let Some(mut wave) = self.waves.remove(&number) else { continue };
            self.step_wave(number, &mut wave, now, &mut orders, &mut cordoned);
            self.waves.insert(number, wave);
        }
        for worker in self.workers.values_mut() {
            let due = cordoned.contains(&worker.entry.id);
            match worker.cordon {
                None if due => worker.cordon = Some(Cordon::Upkeep),
                Some(Cordon::Upkeep) if !due => worker.cordon = None,
                _ => {}
            }
        }
        orders
    }

    fn step_wave(
        &mut self,
        number: WaveNumber,
        wave: &mut Wave,
        now: Instant,
        orders: &mut Vec<FleetOrder>,
        cordoned: &mut BTreeSet<InstanceId>,
    ) {
        let done = wave.is_done();
        if wave.reported != Some(done) {
            orders.push(FleetOrder::Report { wave: number, done });
        }
        for stage in wave.stages.values_mut() {
            if let MaintenanceStage::Called(at) = *stage
                && now.saturating_duration_since(at)
                    > UNKNOWN_CALL_RETRY_DELAY + self.limits.maintenance_time
            {
                *stage = MaintenanceStage::Draining(at);
            }
        }
        self.cordon_next(wave, now);
        let ids: Vec<InstanceId> = wave.stages.keys().cloned().collect();
        for id in ids {
            let MaintenanceStage::Draining(since) = wave.stages[&id] else { continue };
            let worker = self.instances.get(&id).and_then(|i| i.worker.clone());
            let key = worker.as_ref().and_then(|id| self.worker_key(id));
            let empty = match (key, &worker) {
                (Some(key), _) => self.evacuate(key, since, now),
                // What runs on a worker that the directory does not list is not known.
                (None, Some(_)) => now.saturating_duration_since(since) >= UNKNOWN_DRAIN_MAX,
                (None, None) => true,
            };
            cordoned.extend(worker);
            let may_call = self.knows_predecessors_calls() && self.is_up(&id);
            if empty && may_call && self.count_down(wave) < wave.down_max {
                wave.stages.insert(id.clone(), MaintenanceStage::Called(now));
                orders.push(FleetOrder::Upkeep { instance: id, wave: number });
            }
        }
    }

    /// Counts the instances of a wave that are down, or may be, whoever called for it.
    fn count_down(&self, wave: &Wave) -> usize {
        let down = |(id, stage): &(&InstanceId, &MaintenanceStage)| {
            matches!(stage, MaintenanceStage::Called(_) | MaintenanceStage::Down(_))
                || self.instances.get(*id).is_some_and(|i| i.state == InstanceState::Upkeep)
        };
        wave.stages.iter().filter(down).count()
    }

    /// Reports whether the list of instances shows all that an earlier owner has called for.
    fn knows_predecessors_calls(&self) -> bool {
        match (self.predecessor_calls_settled, self.instances_requested) {
            (Some(settled), Some(asked)) => asked >= settled,
            (None, asked) => asked.is_some(),
            (Some(_), None) => false,
        }
    }

    fn is_up(&self, id: &str) -> bool {
        self.instances.get(id).is_some_and(|instance| instance.state == InstanceState::Up)
    }

    fn cordon_next(&self, wave: &mut Wave, now: Instant) {
        let draining = wave.stages.values().filter(|s| matches!(s, MaintenanceStage::Draining(_)));
        let mut room = (wave.down_max + CORDONED_AHEAD)
            .saturating_sub(self.count_down(wave) + draining.count());
        let mut waiting: Vec<(usize, InstanceId)> = wave
            .stages
            .iter()
            .filter(|(id, stage)| **stage == MaintenanceStage::Waiting && self.is_up(id))
            .map(|(id, _)| (self.runs_on(id), id.clone()))
            .collect();
        waiting.sort();
        for (_, id) in waiting {
            if room == 0 {
                return;
            }
            room -= 1;
            wave.stages.insert(id, MaintenanceStage::Draining(now));
        }
    }

    fn runs_on(&self, instance: &str) -> usize {
        let worker = self.instances.get(instance).and_then(|i| i.worker.as_ref());
        let key = worker.and_then(|id| self.worker_key(id));
        key.and_then(|key| self.workers.get(key)).map_or(0, |worker| worker.runs.len())
    }

    /// Moves tasks away from a worker that goes down; returns whether it may go down now.
    pub(super) fn evacuate(&mut self, key: WorkerKey, since: Instant, now: Instant) -> bool {
        let Some(worker) = self.workers.get(key) else { return true };
        let runs: Vec<(TaskRef, u32)> = worker.runs.iter().copied().collect();
        let waited_enough = now.saturating_duration_since(since) >= DRAIN_MAX;
        let mut may_go = worker.is_reconciled();
        for (task, attempt) in runs {
            let Some(job) = self.jobs.get(task.job) else { continue };
            let Some(step) = job.submission.steps.get(task.step as usize) else { continue };
            if step.long_running {
                may_go = false;
                if self.may_interrupt(&task, now) {
                    self.stop_run(&task, attempt, key);
                }
            } else if !waited_enough {
                may_go = false;
            }
        }
        may_go
    }

    /// Reports whether a task that runs until it is cancelled may be stopped within its step's bound.
    pub fn may_interrupt(&self, task: &TaskRef, now: Instant) -> bool {
        let Some(job) = self.jobs.get(task.job) else { return true };
        let Some(step) = job.submission.steps.get(task.step as usize) else { return true };
        if step.unavailable_max == 0 || job.phase.is_ended() {
            return true;
        }
        let Some(occurrence) = job.occurrences.get(&task.occurrence) else { return true };
        let tasks = &occurrence.steps[task.step as usize].tasks;
        let others = tasks.iter().enumerate().filter(|(index, _)| *index != task.index as usize);
        let at_work = |run: &super::state::Run| {
            let heard = self.workers.get(run.worker).and_then(|worker| worker.last_contact);
            let silent =
                heard.is_none_or(|at| now.saturating_duration_since(at) > UNRESPONSIVE_AFTER);
            run.percent >= 100 && !run.is_stopping() && !silent
        };
        let away = others.filter(|(_, other)| !other.runs.iter().any(at_work));
        away.count() < step.unavailable_max as usize
    }

    fn stop_run(&mut self, task: &TaskRef, attempt: u32, key: WorkerKey) {
        let entry = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(task));
        let runs = entry.into_iter().flat_map(|entry| &mut entry.runs);
        for run in runs.filter(|run| run.attempt == attempt && run.worker == key) {
            if !run.is_stopping() {
                run.state = super::state::RunState::Stopping { sent: None, acknowledged: None };
            }
        }
    }

    /// Takes in how the machine service answered a call for upkeep.
    pub fn apply_maintenance_outcome(
        &mut self,
        number: WaveNumber,
        id: &InstanceId,
        outcome: FleetOutcome,
        now: Instant,
    ) {
        let worker = self.instances.get(id).and_then(|instance| instance.worker.clone());
        let Some(wave) = self.waves.get_mut(&number) else { return };
        let Some(stage) = wave.stages.get_mut(id) else { return };
        match outcome {
            FleetOutcome::Accepted => {
                *stage = MaintenanceStage::Down(now);
                if let Some(key) = worker.and_then(|id| self.worker_key(&id)) {
                    self.cordon_called(key, now);
                }
            }
            FleetOutcome::Invalid => *stage = MaintenanceStage::Done,
            FleetOutcome::Unknown => {}
            FleetOutcome::Fenced | FleetOutcome::Busy | FleetOutcome::NotRun => {
                *stage = MaintenanceStage::Draining(now);
            }
        }
    }
}
