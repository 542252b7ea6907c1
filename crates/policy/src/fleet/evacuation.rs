//! Evacuation of data centres: which workers get no tasks, which long-running tasks move away, and the return after the lift.
//!
//! The operator names a data centre, and no task is started there until the operator lifts the evacuation. Short tasks that
//! run there finish. Long-running tasks move away one by one within their step's limit of unavailable tasks. Instances there
//! are no capacity: they count neither for admission nor for the size of a pool, and are not moved. After the lift the
//! workers return one after another, since they may be cold. See docs/design/evacuation.md.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::maintenance::Instance;
use super::placement::{Siblings, satisfies_constraints};
use super::sizing::PoolState;
use super::spec::{ResourceVector, Submission};
use super::state::{Engine, TaskRef, Worker, WorkerKey};
use crate::ids::{DataCentre, FailureDomain, InstanceId, PoolId};

/// Time over which the workers of a data centre return after its evacuation is lifted, in equal steps within each pool.
///
/// A job counts as lost after 3 s without a run beside free capacity, so the last worker has to return before that.
pub const RETURN_TIME: Duration = Duration::from_millis(2_000);
/// Time, beyond that of the move of an instance, for which a long-running task stays where it is while the workers outside
/// the data centre have room for it only once short tasks have ended.
const ROOM_WAIT_MARGIN: Duration = Duration::from_millis(1_000);
/// Index of the rack among the labels of an instance.
pub(super) const RACK_LABEL: usize = 1;

/// A change in the state of an evacuation, for the log.
#[derives(record)]
pub enum EvacuationEvent {
    /// The evacuation is in force.
    Set {
        /// Evacuated data centre.
        data_centre: DataCentre,
        /// Number of listed workers in the data centre; zero may mean a wrong name.
        workers: usize,
        /// Number of tasks that may be running there.
        tasks: usize,
    },
    /// No task is left in the data centre.
    Cleared {
        /// Evacuated data centre.
        data_centre: DataCentre,
        /// Time since the evacuation was set.
        took: Duration,
    },
    /// The evacuation is no longer in force, and the workers begin to return.
    Lifted {
        /// Data centre that was evacuated.
        data_centre: DataCentre,
        /// Number of workers that return.
        workers: usize,
    },
    /// All workers of the data centre may get tasks again.
    Returned {
        /// Data centre that was evacuated.
        data_centre: DataCentre,
        /// Number of workers that have returned.
        workers: usize,
    },
}

/// An evacuated data centre, or one whose workers return, for operators.
#[derives(record)]
pub struct EvacuationView {
    /// Data centre that the view describes.
    pub data_centre: DataCentre,
    /// Whether the evacuation is in force; if not, workers are returning.
    pub in_force: bool,
    /// Number of listed workers in the data centre.
    pub workers: usize,
    /// Number of tasks that may be running there.
    pub tasks: usize,
    /// Number of workers that have returned since the lift.
    pub returned: usize,
    /// Time since the evacuation was set or lifted under this owner, in milliseconds.
    pub age_ms: u64,
}

/// An evacuation that is in force.
#[derives(value)]
struct Evacuation {
    /// Time at which this owner learned of the evacuation.
    since: Instant,
    /// Whether the event for the end of the last task there has been recorded.
    is_cleared: bool,
}

/// Return of the workers of a data centre after the lift.
#[derives(record)]
struct WorkerReturn {
    /// Time of the lift.
    lifted: Instant,
    /// Time from which each worker that was known at the lift may get tasks.
    workers: BTreeMap<InstanceId, Instant>,
    /// Number of workers whose return has been counted.
    counted: usize,
}

impl WorkerReturn {
    /// Returns whether a worker may get tasks; a worker that was not known at the lift returns last.
    fn has_returned(&self, worker: &str, now: Instant) -> bool {
        let last = self.lifted + RETURN_TIME;
        self.workers.get(worker).copied().unwrap_or(last) <= now
    }

    fn count_returned(&self, now: Instant) -> usize {
        self.workers.values().filter(|at| **at <= now).count()
    }
}

/// Evacuations in force and returns in progress, with the data centres of instances.
#[derives(record)]
#[derive(Default)]
pub(super) struct Evacuations {
    in_force: BTreeMap<DataCentre, Evacuation>,
    returns: BTreeMap<DataCentre, WorkerReturn>,
    /// Data centre of each listed instance that has had a worker under this owner.
    instances: BTreeMap<InstanceId, DataCentre>,
    /// Data centre of each rack that has had a worker under this owner.
    racks: BTreeMap<FailureDomain, DataCentre>,
    /// Events that have not been taken.
    events: Vec<EvacuationEvent>,
    /// Number of workers that have returned and have not been taken for the metrics.
    returned: usize,
}

/// Room on a worker for long-running tasks.
struct Room {
    worker: WorkerKey,
    free: ResourceVector,
}

impl Engine {
    /// Replaces the set of evacuated data centres.
    ///
    /// Workers of a data centre that is no longer evacuated begin to return, the first of each pool at once.
    pub fn set_evacuations(&mut self, data_centres: &BTreeSet<DataCentre>, now: Instant) {
        for data_centre in data_centres {
            if self.evacuations.in_force.contains_key(data_centre) {
                continue;
            }
            self.evacuations.returns.remove(data_centre);
            let evacuation = Evacuation { since: now, is_cleared: false };
            self.evacuations.in_force.insert(data_centre.clone(), evacuation);
            self.evacuations.events.push(EvacuationEvent::Set {
                data_centre: data_centre.clone(),
                workers: self.count_listed(data_centre),
                tasks: self.count_tasks(data_centre),
            });
        }
        let in_force = self.evacuations.in_force.keys();
        let lifted: Vec<DataCentre> =
            in_force.filter(|name| !data_centres.contains(*name)).cloned().collect();
        for data_centre in lifted {
            self.evacuations.in_force.remove(&data_centre);
            let workers = self.return_times(&data_centre, now);
            let event = EvacuationEvent::Lifted {
                data_centre: data_centre.clone(),
                workers: workers.len(),
            };
            self.evacuations.events.push(event);
            let returning = WorkerReturn { lifted: now, workers, counted: 0 };
            self.evacuations.returns.insert(data_centre, returning);
        }
    }

    /// Returns the time from which each worker of a data centre may get tasks, spread evenly within each pool.
    fn return_times(
        &self,
        data_centre: &DataCentre,
        now: Instant,
    ) -> BTreeMap<InstanceId, Instant> {
        let mut pools: BTreeMap<&PoolId, Vec<&InstanceId>> = BTreeMap::new();
        for worker in self.workers.values().filter(|w| w.entry.data_centre == *data_centre) {
            pools.entry(&worker.entry.pool).or_default().push(&worker.entry.id);
        }
        let times = pools.into_values().flat_map(|ids| {
            let step = RETURN_TIME / ids.len().max(1) as u32;
            (0u32..).zip(ids).map(move |(rank, id)| (id.clone(), now + step * rank))
        });
        times.collect()
    }

    /// Takes the events since the last call.
    pub fn take_evacuation_events(&mut self) -> Vec<EvacuationEvent> {
        std::mem::take(&mut self.evacuations.events)
    }

    /// Takes the number of workers that have returned since the last call.
    pub fn take_returned_workers(&mut self) -> usize {
        std::mem::take(&mut self.evacuations.returned)
    }

    /// Counts the tasks that may be running in evacuated data centres.
    pub fn count_evacuated_tasks(&self) -> usize {
        self.evacuations.in_force.keys().map(|name| self.count_tasks(name)).sum()
    }

    /// Returns a view of each evacuated data centre, and of each whose workers return.
    pub fn view_evacuations(&self, now: Instant) -> Vec<EvacuationView> {
        let view = |data_centre: &DataCentre, in_force: bool, returned: usize, since: Instant| {
            EvacuationView {
                data_centre: data_centre.clone(),
                in_force,
                workers: self.count_listed(data_centre),
                tasks: self.count_tasks(data_centre),
                returned,
                age_ms: now.saturating_duration_since(since).as_millis() as u64,
            }
        };
        let Evacuations { in_force, returns, .. } = &self.evacuations;
        let evacuated = in_force.iter().map(|(name, entry)| view(name, true, 0, entry.since));
        let returning = returns
            .iter()
            .map(|(name, entry)| view(name, false, entry.count_returned(now), entry.lifted));
        evacuated.chain(returning).collect()
    }

    fn workers_in<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = &'a Worker> {
        self.workers.values().filter(move |worker| *worker.entry.data_centre == *data_centre)
    }

    fn count_listed(&self, data_centre: &str) -> usize {
        self.workers_in(data_centre).filter(|worker| worker.listed).count()
    }

    fn count_tasks(&self, data_centre: &str) -> usize {
        self.workers_in(data_centre).map(|worker| worker.runs.len() + worker.orphans.len()).sum()
    }

    /// Returns whether the data centre of a worker is evacuated.
    pub(super) fn is_evacuated(&self, worker: &Worker) -> bool {
        self.evacuations.in_force.contains_key(&worker.entry.data_centre)
    }

    /// Returns whether a worker gets no new tasks because its data centre is evacuated or the worker has not returned yet.
    pub(super) fn is_barred_by_evacuation(&self, worker: &Worker, now: Instant) -> bool {
        let returning = self.evacuations.returns.get(&worker.entry.data_centre);
        self.is_evacuated(worker)
            || returning.is_some_and(|returning| !returning.has_returned(&worker.entry.id, now))
    }

    /// Records the data centres of the instances that have workers, for the time at which they have none.
    pub(super) fn record_data_centres(&mut self) {
        let Evacuations { instances, racks, .. } = &mut self.evacuations;
        instances.retain(|id, _| self.instances.contains_key(id));
        for (id, instance) in &self.instances {
            let key = instance.worker.as_ref().and_then(|worker| self.worker_keys.get(worker));
            let Some(worker) = key.and_then(|key| self.workers.get(*key)) else { continue };
            let data_centre = &worker.entry.data_centre;
            if instances.get(id) != Some(data_centre) {
                instances.insert(id.clone(), data_centre.clone());
            }
            let rack = &worker.entry.rack;
            if !rack.is_empty() && racks.get(rack) != Some(data_centre) {
                racks.insert(rack.clone(), data_centre.clone());
            }
        }
    }

    /// Returns the data centre of an instance: that of its present or last worker, or else of another worker on its rack.
    fn data_centre_of(&self, id: &InstanceId, instance: &Instance) -> Option<&DataCentre> {
        let worker = instance.worker.as_ref().and_then(|worker| self.worker_key(worker));
        let of_worker = worker.and_then(|key| self.workers.get(key)).map(|w| &w.entry.data_centre);
        let of_rack =
            || instance.labels.get(RACK_LABEL).and_then(|r| self.evacuations.racks.get(&**r));
        of_worker.or_else(|| self.evacuations.instances.get(id)).or_else(of_rack)
    }

    /// Returns whether an instance is in an evacuated data centre.
    ///
    /// An instance whose data centre is unknown counts as outside: once its worker is listed its data centre is known, and
    /// until then no task is started there.
    pub(super) fn is_instance_evacuated(&self, id: &InstanceId, instance: &Instance) -> bool {
        let in_force = &self.evacuations.in_force;
        if in_force.is_empty() {
            return false;
        }
        match self.data_centre_of(id, instance) {
            Some(data_centre) => in_force.contains_key(data_centre),
            None => instance.labels.iter().any(|label| in_force.contains_key(&**label)),
        }
    }

    /// Sorts the empty instances of each pool so that those of unknown data centres are taken last during an evacuation.
    pub(super) fn take_unknown_data_centres_last(&self, pools: &mut BTreeMap<PoolId, PoolState>) {
        if self.evacuations.in_force.is_empty() {
            return;
        }
        let is_known = |id: &InstanceId| {
            self.instances.get(id).is_some_and(|i| self.data_centre_of(id, i).is_some())
        };
        for state in pools.values_mut() {
            // Instances are taken from the end.
            state.empty.sort_by_key(is_known);
        }
    }

    /// Returns whether a job can be run only by workers of evacuated data centres.
    pub(super) fn needs_evacuated_workers(&self, submission: &Submission) -> bool {
        if self.evacuations.in_force.is_empty() {
            return false;
        }
        let standby = self.standby_pool();
        let has_standby = self.instances.iter().any(|(id, instance)| {
            standby.as_ref() == Some(&instance.pool) && !self.is_instance_evacuated(id, instance)
        });
        if has_standby {
            return false;
        }
        let fits = |demand: ResourceVector, evacuated: bool| {
            let listed = self.workers.values().filter(|worker| worker.listed);
            listed
                .filter(|worker| self.is_evacuated(worker) == evacuated)
                .any(|worker| demand.fits(&worker.entry.capacity))
        };
        let mut demands = submission.steps.iter().map(|step| step.reserved());
        demands.any(|demand| fits(demand, true) && !fits(demand, false))
    }

    /// Advances evacuations and returns: moves long-running tasks away, and records events.
    pub(super) fn plan_evacuations(&mut self, now: Instant) {
        if !self.evacuations.in_force.is_empty() {
            self.move_long_running_tasks_away(now);
            self.record_cleared(now);
        }
        let Evacuations { returns, events, returned, .. } = &mut self.evacuations;
        returns.retain(|data_centre, entry| {
            let count = entry.count_returned(now);
            *returned += count - entry.counted;
            entry.counted = count;
            let is_done = entry.lifted + RETURN_TIME <= now;
            if is_done {
                let (data_centre, workers) = (data_centre.clone(), entry.workers.len());
                events.push(EvacuationEvent::Returned { data_centre, workers });
            }
            !is_done
        });
    }

    /// Records an event for each evacuated data centre in which no task is left.
    fn record_cleared(&mut self, now: Instant) {
        let is_clear = |worker: &Worker| {
            let is_known = worker.is_reconciled() || worker.leases_expired(now);
            is_known && worker.runs.is_empty() && worker.orphans.is_empty()
        };
        let names: Vec<DataCentre> = self.evacuations.in_force.keys().cloned().collect();
        for data_centre in names {
            let has_workers = self.workers_in(&data_centre).next().is_some();
            let is_cleared = has_workers && self.workers_in(&data_centre).all(is_clear);
            let Some(entry) = self.evacuations.in_force.get_mut(&data_centre) else { continue };
            if is_cleared && !entry.is_cleared {
                let took = now.saturating_duration_since(entry.since);
                self.evacuations.events.push(EvacuationEvent::Cleared { data_centre, took });
            }
            entry.is_cleared = is_cleared;
        }
    }

    /// Stops long-running tasks in evacuated data centres for which there is room elsewhere, within their steps' limits of
    /// unavailable tasks.
    ///
    /// A task without room elsewhere goes on running where it is, since its stop would only interrupt it.
    fn move_long_running_tasks_away(&mut self, now: Instant) {
        let mut moving = Vec::new();
        for (key, worker) in self.workers.iter().filter(|(_, worker)| self.is_evacuated(worker)) {
            let since = self.evacuations.in_force[&worker.entry.data_centre].since;
            for (task, attempt) in &worker.runs {
                let run = self.run(key, task, *attempt);
                if let Some(run) = run.filter(|_| self.is_long_running_task(task)) {
                    moving.push((!run.is_stopping(), *task, *attempt, key, since));
                }
            }
        }
        if moving.is_empty() {
            return;
        }
        // Tasks that are being stopped take their room first.
        moving.sort_by_key(|(is_running, ..)| *is_running);
        let mut rooms = self.rooms(now, |worker| worker.free());
        let mut rooms_without_short = self.rooms(now, |worker| self.free_without_short(worker));
        let wait = self.limits.move_time + ROOM_WAIT_MARGIN;
        for (is_running, task, attempt, key, since) in moving {
            let has_room = self.take_room(&task, &mut rooms);
            let has_room_later = self.take_room(&task, &mut rooms_without_short)
                && now.saturating_duration_since(since) >= wait;
            if is_running && (has_room || has_room_later) && self.may_interrupt(&task, now) {
                self.stop_run(&task, attempt, key);
            }
        }
    }

    /// Returns the room on each usable worker.
    fn rooms(&self, now: Instant, free: impl Fn(&Worker) -> ResourceVector) -> Vec<Room> {
        let usable = self.workers.iter().filter(|(_, worker)| self.is_usable(worker, now));
        usable.map(|(key, worker)| Room { worker: key, free: free(worker) }).collect()
    }

    /// Returns the resources of a worker that no long-running task reserves.
    fn free_without_short(&self, worker: &Worker) -> ResourceVector {
        let long_running = worker.runs.iter().filter(|(task, _)| self.is_long_running_task(task));
        let reserved = long_running.filter_map(|(task, _)| Some(self.task_resources(task)?.1));
        reserved.fold(worker.entry.capacity, |free, reserved| free.saturating_sub(&reserved))
    }

    /// Takes room for a task on a worker of its pool; returns whether there was any.
    fn take_room(&self, task: &TaskRef, rooms: &mut [Room]) -> bool {
        let Some(job) = self.jobs.get(task.job) else { return false };
        let Some(step) = job.submission.steps.get(task.step as usize) else { return false };
        let (pool, siblings) = (&self.queue_settings(job).pool, Siblings::of(job, task));
        let demand = step.reserved();
        let room = rooms.iter_mut().find(|room| {
            let worker = &self.workers[room.worker];
            worker.entry.pool == *pool
                && demand.fits(&room.free)
                && satisfies_constraints(step, worker, room.worker, &siblings)
        });
        room.map(|room| room.free = room.free.saturating_sub(&demand)).is_some()
    }
}
