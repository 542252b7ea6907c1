//! Planning of maintenance waves: the order in which their instances are drained and taken down.
//!
//! An instance is cordoned first, so that its short tasks can complete and its long-running tasks are moved
//! within their steps' limits of unavailable tasks. It goes down when it is empty, or when its short tasks
//! have had a bounded time, since the wave would miss its deadline otherwise.
//!
//! A call that takes an instance down may be carried out seconds after it was sent, also if it got no answer. It therefore takes a place
//! among those that may be down at once until an answer settles it or it cannot arrive any more. It is recorded in the store before it
//! is sent, so that a successor counts it. It is idempotent, and is repeated for the same instance.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::lease::longest_time_of;
use super::outcomes::DELIVERY_DELAY_MAX;
use super::placement::UNRESPONSIVE_AFTER;
use super::reports::JobEvent;
use super::state::{Cordon, Engine, TaskRef, WorkerKey};
use super::worker_ends::{EndEvidence, ListedInstances, ListedState};
use crate::ids::{InstanceId, PoolId};

/// Number with which the platform's operator identifies a wave.
pub type WaveNumber = u64;

/// Time for which a cordoned instance waits for its short tasks before it goes down with them.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time, beyond the longest lease, for which a cordoned instance waits if the directory does not list its worker: an earlier
/// owner may have sent orders until a moment ago.
const UNLISTED_DRAIN_MARGIN: Duration = Duration::from_millis(1_400);
/// Maximum number of instances cordoned beyond those that may be down, so that the next one is empty in time.
const CORDONED_AHEAD_MAX: usize = 1;
/// Time that the instance service may take, beyond the maintenance itself, to list an instance as up again.
const MAINTENANCE_SLACK: Duration = Duration::from_millis(500);
/// Time for which the calls of an earlier owner to the instance service may be in flight: their timeout.
pub(super) const PREDECESSOR_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before a call whose outcome is unknown is repeated.
pub const UNKNOWN_CALL_RETRY_DELAY: Duration = Duration::from_millis(1_200);

/// Maximum delay with which a call to the instance service is carried out; the platform states up to 12 s, and the rest is
/// margin.
const CALL_DELIVERY_MAX: Duration = DELIVERY_DELAY_MAX;

/// State of an instance, as the instance service reports it.
#[derives(value)]
pub enum InstanceState {
    /// The instance runs or can run a worker.
    Up,
    /// The instance is moving to another pool.
    Moving,
    /// The instance is down for maintenance.
    Maintenance,
    /// The instance is down for another reason.
    Down,
    /// The entry of the instance cannot be read, apart from the instance's id.
    ///
    /// The instance exists, and may run a worker. A list without the instance would show that its worker has ended.
    Unreadable,
}

/// An instance of the fleet; it outlives the workers that run on it.
#[derives(record)]
pub struct Instance {
    /// Pool to which the instance belongs.
    pub pool: PoolId,
    /// State that the instance service last reported.
    pub state: InstanceState,
    /// Worker that runs on the instance, if any.
    pub worker: Option<InstanceId>,
    /// Labels, which belong to the instance rather than to its worker.
    pub labels: Vec<String>,
}

/// Stage of an instance in a maintenance wave.
#[derives(value)]
pub enum MaintenanceStage {
    /// The instance is not yet cordoned.
    Waiting,
    /// The instance has been cordoned since this time.
    Draining(Instant),
    /// A call was planned at this time, and its outcome is not known yet.
    Called(Instant),
    /// The instance went down at this time.
    Down(Instant),
    /// The instance is up again after its maintenance, or needs none.
    Done,
}

/// A call to take an instance down that an answer has not settled.
#[derives(value)]
#[derive(Default)]
pub struct MaintenanceCall {
    /// Time at which the call was sent last; `None` while it waits for its record.
    pub sent: Option<Instant>,
    /// Time by which earlier calls without an answer, also of an earlier owner, have been carried out if they ever are.
    pub in_doubt_until: Option<Instant>,
}

impl MaintenanceCall {
    /// Returns the time by which all calls so far have been carried out if they ever are; `None` if there was none.
    fn doubt_ends(&self) -> Option<Instant> {
        self.in_doubt_until.max(self.sent.map(|sent| sent + CALL_DELIVERY_MAX))
    }
}

/// A maintenance wave.
#[derives(record)]
pub struct Wave {
    /// Maximum number of instances that may be down at once.
    pub down_max: usize,
    /// Time by which the maintenance of all instances is due.
    pub deadline: Instant,
    /// Stage of each instance of the wave.
    pub stages: BTreeMap<InstanceId, MaintenanceStage>,
    /// Calls that no answer has settled.
    pub calls: BTreeMap<InstanceId, MaintenanceCall>,
    /// State last reported to the operator, if any: `true` for done, `false` for running.
    pub reported: Option<bool>,
}

impl Wave {
    /// Creates a wave with all instances waiting.
    pub fn new(instances: Vec<InstanceId>, down_max: usize, deadline: Instant) -> Wave {
        let stages = instances.into_iter().map(|id| (id, MaintenanceStage::Waiting)).collect();
        let calls = BTreeMap::new();
        Wave { down_max: down_max.max(1), deadline, stages, calls, reported: None }
    }

    /// Restores the calls that an earlier owner has recorded, each of which may still be carried out.
    ///
    /// That owner sends its last call at `last_sent` at the latest, which may be after the record was read.
    pub fn restore_calls(
        &mut self,
        instances: impl IntoIterator<Item = InstanceId>,
        last_sent: Instant,
    ) {
        let in_doubt_until = Some(last_sent + CALL_DELIVERY_MAX);
        let calls = instances.into_iter().filter(|id| self.stages.contains_key(id));
        self.calls = calls.map(|id| (id, MaintenanceCall { sent: None, in_doubt_until })).collect();
    }

    /// Returns the row with the calls that no answer has settled.
    pub fn calls_row(&self) -> WaveCalls {
        WaveCalls { called: self.calls.keys().cloned().collect() }
    }

    /// Returns whether an instance is down or may go down by a call that was planned or sent.
    fn takes_place(&self, id: &InstanceId) -> bool {
        let stage = self.stages.get(id);
        matches!(stage, Some(MaintenanceStage::Called(_) | MaintenanceStage::Down(_)))
            || self.calls.contains_key(id)
    }

    /// Returns whether the maintenance of all instances has begun.
    pub fn is_done(&self) -> bool {
        let begun = |stage: &MaintenanceStage| {
            matches!(stage, MaintenanceStage::Down(_) | MaintenanceStage::Done)
        };
        self.stages.values().all(begun)
    }

    /// Returns the instances whose maintenance has certainly begun.
    pub fn begun(&self) -> Vec<InstanceId> {
        let begun = |stage: &MaintenanceStage| {
            matches!(stage, MaintenanceStage::Down(_) | MaintenanceStage::Done)
        };
        self.stages.iter().filter(|(_, stage)| begun(stage)).map(|(id, _)| id.clone()).collect()
    }
}

/// Row of a wave, from which a new owner restores it.
#[derives(record)]
pub struct WaveProgress {
    /// Instances whose maintenance has begun.
    pub begun: Vec<InstanceId>,
}

/// Row of the calls of a wave that no answer has settled; each is recorded here before it is sent.
#[derives(record)]
pub struct WaveCalls {
    /// Instances for which a call may still be carried out.
    pub called: Vec<InstanceId>,
}

/// A call to the instance service, or a report to the operator.
#[derives(record)]
pub enum FleetOrder {
    /// Takes an instance down for the maintenance of a wave.
    Maintain {
        /// Instance to take down.
        instance: InstanceId,
        /// Wave that contains the instance.
        wave: WaveNumber,
    },
    /// Moves an instance to another pool.
    Move {
        /// Instance to move.
        instance: InstanceId,
        /// Pool to which the instance moves.
        pool: PoolId,
    },
    /// Reports the state of a wave to the operator.
    Report {
        /// Wave that is running or done.
        wave: WaveNumber,
        /// Whether the wave is done.
        done: bool,
    },
}

/// Outcome of a call to the instance service.
#[derives(value)]
pub enum FleetOutcome {
    /// The call was carried out, now or earlier.
    Accepted,
    /// Another daemon has called with a higher fencing token.
    Fenced,
    /// The instance is not up, or its worker is leaving.
    Busy,
    /// The call is not valid for the instance.
    Invalid,
    /// The call was certainly not carried out.
    NotRun,
    /// The call may have been carried out, or may still be.
    Unknown,
}

impl Engine {
    /// Applies the list of instances that was requested at `requested`.
    pub fn apply_instance_list(
        &mut self,
        instances: BTreeMap<InstanceId, Instance>,
        requested: Instant,
        now: Instant,
        events: &mut Vec<JobEvent>,
    ) {
        for wave in self.waves.values_mut() {
            for (id, stage) in &mut wave.stages {
                let Some(instance) = instances.get(id) else {
                    // An instance that no longer exists needs no maintenance.
                    *stage = MaintenanceStage::Done;
                    continue;
                };
                let has_ended = |since: Instant, took: Duration| {
                    now.saturating_duration_since(since) >= took + MAINTENANCE_SLACK
                };
                if let MaintenanceStage::Down(since) = *stage
                    && has_ended(since, self.limits.maintenance_time)
                    && instance.state == InstanceState::Up
                {
                    *stage = MaintenanceStage::Done;
                }
            }
        }
        self.identify_silent_workers(&instances, requested);
        self.instances = instances;
        self.instances_requested = Some(requested);
        self.locate_workers();
        self.record_data_centres();
        self.remove_ended_workers(requested, events);
    }

    /// Notes the instance of each worker that the current list of instances shows.
    fn locate_workers(&mut self) {
        for (id, instance) in &self.instances {
            let key = instance.worker.as_ref().and_then(|worker| self.worker_keys.get(worker));
            if let Some(worker) = key.and_then(|key| self.workers.get_mut(*key)) {
                worker.instance = Some(id.clone());
            }
        }
    }

    /// Removes the workers that have ended according to the list of instances that was requested at `requested`,
    /// and lifts the cordon of those that a call has not ended.
    fn remove_ended_workers(&mut self, requested: Instant, events: &mut Vec<JobEvent>) {
        let up = self.instances.values().filter(|i| i.state == InstanceState::Up);
        let alive: BTreeSet<InstanceId> = up.filter_map(|i| i.worker.clone()).collect();
        let listed = ListedInstances::new(&self.instances);
        let mut ended = Vec::new();
        for (key, worker) in &mut self.workers {
            let unresponsive =
                worker.last_contact.is_some_and(|at| at + UNRESPONSIVE_AFTER < requested);
            if unresponsive {
                let state = listed.state_of(&worker.place());
                if state == ListedState::Down || state.has_ended() {
                    ended.push((key, state));
                    continue;
                }
            }
            match worker.cordon {
                Some(Cordon::Called(at)) if at > requested => {}
                Some(Cordon::Called(_)) if alive.contains(&worker.entry.id) => worker.cordon = None,
                Some(Cordon::Called(_)) => {
                    ended.push((key, ListedState::Ended(EndEvidence::Moved)));
                }
                _ => {}
            }
        }
        for (key, state) in ended {
            self.workers[key].listed = false;
            self.drop_ended_runs(key, state, requested, events);
            let worker = &self.workers[key];
            if worker.runs.is_empty() && !worker.awaits_delivery(requested) {
                self.remove_worker(key);
            }
        }
    }

    /// Drops the runs of a worker that has ended or is down according to a list of instances that was requested at `requested`.
    ///
    /// A start without an answer may still begin on the worker's next incarnation, unless the worker has certainly ended for
    /// good. Its run is kept until that incarnation has the barrier, or no longer has to be expected.
    fn drop_ended_runs(
        &mut self,
        key: WorkerKey,
        state: ListedState,
        requested: Instant,
        events: &mut Vec<JobEvent>,
    ) {
        // Without a list that has shown the worker, its instance may be one that the list leaves out.
        let is_certain =
            state.has_ended() && state != ListedState::Ended(EndEvidence::OnNoInstance);
        let reason = format!("its instance does not run it, list={}", state.as_str());
        let runs: Vec<_> = self.workers[key].runs.iter().copied().collect();
        for (task, attempt) in runs {
            let name = self.task_name(&task);
            let starts_in_doubt = &self.workers[key].starts_in_doubt;
            let order = name.and_then(|name| starts_in_doubt.get(&(name, attempt)));
            if is_certain || order.is_none_or(|order| order.arrives_by <= requested) {
                self.drop_run(key, task, attempt, &reason, events);
            }
        }
    }

    /// Cordons a worker after a call for its instance was accepted.
    pub(super) fn cordon_after_call(&mut self, key: WorkerKey, now: Instant) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.cordon = Some(Cordon::Called(now));
        }
    }

    /// Returns the next orders of all waves.
    pub fn plan_waves(&mut self, now: Instant) -> Vec<FleetOrder> {
        let mut orders = Vec::new();
        let numbers: Vec<WaveNumber> = self.waves.keys().copied().collect();
        let mut cordoned = BTreeSet::new();
        for number in numbers {
            let Some(mut wave) = self.waves.remove(&number) else { continue };
            self.advance_wave(number, &mut wave, now, &mut orders, &mut cordoned);
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

    fn advance_wave(
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
        repeat_unanswered_calls(wave, now);
        self.cordon_next(wave, now);
        // The runs of a worker that the directory does not list are unknown, as are its leases.
        let unlisted_drain_timeout = longest_time_of(self.limits.lease_max) + UNLISTED_DRAIN_MARGIN;
        let ids: Vec<InstanceId> = wave.stages.keys().cloned().collect();
        for id in ids {
            let worker = self.instances.get(&id).and_then(|i| i.worker.clone());
            let MaintenanceStage::Draining(since) = wave.stages[&id] else {
                if matches!(wave.stages[&id], MaintenanceStage::Called(_)) {
                    cordoned.extend(worker);
                }
                continue;
            };
            let key = worker.as_ref().and_then(|id| self.worker_key(id));
            let empty = match (key, &worker) {
                (Some(key), _) => self.evacuate(key, since, now),
                (None, Some(_)) => now.saturating_duration_since(since) >= unlisted_drain_timeout,
                (None, None) => true,
            };
            cordoned.extend(worker);
            let may_call = self.covers_predecessor_calls() && self.is_up(&id);
            if empty && may_call && self.count_others_down(wave, Some(&id)) < wave.down_max {
                wave.stages.insert(id.clone(), MaintenanceStage::Called(now));
                let call = wave.calls.entry(id.clone()).or_default();
                *call = MaintenanceCall { sent: None, in_doubt_until: call.doubt_ends() };
                orders.push(FleetOrder::Maintain { instance: id, wave: number });
            }
        }
    }

    /// Counts the instances of a wave, except one, that are down or may be, whichever owner sent the call.
    fn count_others_down(&self, wave: &Wave, except: Option<&InstanceId>) -> usize {
        let down = |id: &&InstanceId| {
            let listed = self.instances.get(*id);
            wave.takes_place(id) || listed.is_some_and(|i| i.state == InstanceState::Maintenance)
        };
        wave.stages.keys().filter(|id| Some(*id) != except).filter(down).count()
    }

    /// Returns whether the list of instances includes the effects of all calls of an earlier owner.
    fn covers_predecessor_calls(&self) -> bool {
        match (self.predecessor_calls_settled, self.instances_requested) {
            (Some(settled), Some(requested)) => requested >= settled,
            (None, requested) => requested.is_some(),
            (Some(_), None) => false,
        }
    }

    fn is_up(&self, id: &str) -> bool {
        self.instances.get(id).is_some_and(|instance| instance.state == InstanceState::Up)
    }

    fn cordon_next(&self, wave: &mut Wave, now: Instant) {
        let draining = wave.stages.iter().filter(|(id, stage)| {
            matches!(stage, MaintenanceStage::Draining(_)) && !wave.takes_place(id)
        });
        let mut slots = wave
            .down_max
            .saturating_add(CORDONED_AHEAD_MAX)
            .saturating_sub(self.count_others_down(wave, None) + draining.count());
        let mut waiting: Vec<(bool, usize, InstanceId)> = wave
            .stages
            .iter()
            .filter(|(id, stage)| **stage == MaintenanceStage::Waiting && self.is_up(id))
            .map(|(id, _)| (!wave.takes_place(id), self.run_count(id), id.clone()))
            .collect();
        waiting.sort();
        for (needs_place, _, id) in waiting {
            // An instance that an earlier owner has called goes first: the answer to a further call settles the first one.
            if needs_place {
                if slots == 0 {
                    return;
                }
                slots -= 1;
            }
            wave.stages.insert(id, MaintenanceStage::Draining(now));
        }
    }

    fn run_count(&self, instance: &str) -> usize {
        let worker = self.instances.get(instance).and_then(|i| i.worker.as_ref());
        let key = worker.and_then(|id| self.worker_key(id));
        key.and_then(|key| self.workers.get(key)).map_or(0, |worker| worker.runs.len())
    }

    /// Stops long-running tasks of a worker so that they move elsewhere; returns whether the worker may go down.
    pub(super) fn evacuate(&mut self, key: WorkerKey, since: Instant, now: Instant) -> bool {
        let Some(worker) = self.workers.get(key) else { return true };
        let runs: Vec<(TaskRef, u32)> = worker.runs.iter().copied().collect();
        let drain_timed_out = now.saturating_duration_since(since) >= DRAIN_TIMEOUT;
        let mut may_go_down = worker.are_instance_runs_known(now) && worker.are_ends_persisted();
        for (task, attempt) in runs {
            let Some(job) = self.jobs.get(task.job) else { continue };
            let Some(step) = job.submission.steps.get(task.step as usize) else { continue };
            if step.long_running {
                may_go_down = false;
                if self.may_interrupt(&task, now) {
                    self.stop_run(&task, attempt, key);
                }
            } else if !drain_timed_out {
                may_go_down = false;
            }
        }
        may_go_down
    }

    /// Returns whether a long-running task may be interrupted within its step's limit of unavailable tasks.
    pub fn may_interrupt(&self, task: &TaskRef, now: Instant) -> bool {
        let Some(job) = self.jobs.get(task.job) else { return true };
        let Some(step) = job.submission.steps.get(task.step as usize) else { return true };
        if step.unavailable_max == 0 || job.phase.is_ended() {
            return true;
        }
        let Some(occurrence) = job.occurrences.get(&task.occurrence) else { return true };
        let tasks = &occurrence.steps[task.step as usize].tasks;
        let others = tasks.iter().enumerate().filter(|(index, _)| *index != task.index as usize);
        let is_available = |run: &super::state::Run| {
            let answered = self.workers.get(run.worker).and_then(|worker| worker.last_contact);
            let unresponsive =
                answered.is_none_or(|at| now.saturating_duration_since(at) > UNRESPONSIVE_AFTER);
            run.percent >= 100 && !run.is_stopping() && !unresponsive
        };
        let unavailable = others.filter(|(_, other)| !other.runs.iter().any(is_available));
        unavailable.count() < step.unavailable_max as usize
    }

    pub(super) fn stop_run(&mut self, task: &TaskRef, attempt: u32, key: WorkerKey) {
        let entry = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(task));
        let runs = entry.into_iter().flat_map(|entry| &mut entry.runs);
        for run in runs.filter(|run| run.attempt == attempt && run.worker == key) {
            if !run.is_stopping() {
                run.state = super::state::RunState::Stopping { sent: None, acknowledged: None };
            }
        }
    }

    /// Records that a call which the store has on record is sent now; returns whether it is still to be sent.
    pub fn begin_maintenance_call(
        &mut self,
        number: WaveNumber,
        id: &InstanceId,
        now: Instant,
    ) -> bool {
        let Some(wave) = self.waves.get_mut(&number) else { return false };
        let is_called = matches!(wave.stages.get(id), Some(MaintenanceStage::Called(_)));
        match wave.calls.get_mut(id) {
            Some(call) if is_called && call.sent.is_none() => {
                call.sent = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Applies the outcome of a call to take an instance down for maintenance.
    ///
    /// An accepted call settles those before it: the service carries a call for a wave out once. A call that was certainly not carried
    /// out says nothing of an earlier one without an answer.
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
                wave.calls.remove(id);
                if let Some(key) = worker.and_then(|id| self.worker_key(&id)) {
                    self.cordon_after_call(key, now);
                }
            }
            FleetOutcome::Invalid => {
                *stage = MaintenanceStage::Done;
                wave.calls.remove(id);
            }
            FleetOutcome::Unknown => {}
            FleetOutcome::Fenced | FleetOutcome::Busy | FleetOutcome::NotRun => {
                *stage = MaintenanceStage::Draining(now);
                if let Some(call) = wave.calls.get_mut(id) {
                    call.sent = None;
                    if call.in_doubt_until.is_none_or(|until| until <= now) {
                        wave.calls.remove(id);
                    }
                }
            }
        }
    }
}

/// Prepares the repetition of calls that got no answer, and drops those that cannot be carried out any more.
fn repeat_unanswered_calls(wave: &mut Wave, now: Instant) {
    for (id, call) in &wave.calls {
        if let Some(stage) = wave.stages.get_mut(id)
            && let (MaintenanceStage::Called(_), Some(sent)) = (*stage, call.sent)
            && now.saturating_duration_since(sent) > UNKNOWN_CALL_RETRY_DELAY
        {
            *stage = MaintenanceStage::Draining(sent);
        }
    }
    let stages = &wave.stages;
    wave.calls.retain(|id, call| {
        matches!(stages.get(id), Some(MaintenanceStage::Called(_)))
            || call.doubt_ends().is_some_and(|until| until > now)
    });
}
