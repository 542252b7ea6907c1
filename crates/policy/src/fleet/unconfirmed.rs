//! Tasks and workers of which a new owner does not know whether they run.
//!
//! A worker that does not answer, or that is not listed, may be running any task that the predecessor could start there, and an
//! order of the predecessor may still reach it, unless the predecessor has [recorded](super::silent_records) the tasks that it
//! may be running. These tasks are unconfirmed, and wait until the worker has reported or the last
//! of these orders cannot have an effect any more; their teams are charged for them.
//!
//! A report under the new fence lists all runs of the worker, which from then on refuses orders of the predecessor.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use wasabiswitch_derive::derives;

use super::lease::{LeaseOrder, longest_time_of};
use super::maintenance::{Instance, InstanceState, PREDECESSOR_CALL_TIMEOUT};
use super::outcomes::DELIVERY_DELAY_MAX;
use super::silent_records::{PossibleTasks, RowVersion};
use super::silent_waits::WaitEvidence;
use super::spec::{ResourceVector, Step};
use super::state::{Engine, Job, JobKey, Phase, TaskRef, WorkerKey};
use super::worker_ends::{ListedState, WorkerPlace};
use crate::ids::{FailureDomain, InstanceId, PoolId, TeamId};

/// Resources that count as used by a team, since its tasks may be running on workers that cannot be reached.
#[derives(record)]
pub struct UnconfirmedCharge {
    /// Team whose usage includes the charge.
    pub team: TeamId,
    /// Resources charged.
    pub resources: ResourceVector,
}

/// Workers that the directory does not list at a takeover although they may be running tasks.
#[derives(record)]
pub enum UnlistedWorkers {
    /// Unlisted workers with their pools, as the list of instances shows them.
    InPools(BTreeMap<InstanceId, PoolId>),
    /// There is no list of instances, so any number of workers may be unlisted in any pool.
    Unknown,
}

impl UnlistedWorkers {
    /// Describes for the log the number of pools with unlisted workers.
    pub fn describe_pools(&self) -> String {
        match self {
            UnlistedWorkers::InPools(workers) => {
                workers.values().collect::<BTreeSet<_>>().len().to_string()
            }
            UnlistedWorkers::Unknown => "any".to_owned(),
        }
    }
}

/// Resources of unconfirmed tasks.
#[derives(record)]
#[derive(Default)]
struct TaskSum {
    /// Resources that the tasks reserve on workers, and that the workers' capacity therefore bounds.
    reserved: ResourceVector,
    /// Resources that count against the team's cap and are not reserved: those of fillers.
    unreserved: ResourceVector,
}

impl TaskSum {
    /// Adds a task of a step.
    fn add(&mut self, step: &Step) {
        let reserved = step.reserved();
        self.reserved = self.reserved.plus(&reserved);
        self.unreserved = self.unreserved.plus(&step.resources.saturating_sub(&reserved));
    }
}

/// A worker that may be running tasks of an earlier owner.
#[derives(record)]
struct SilentWorker {
    /// Capacity of the worker; `None` if it is not known.
    capacity: Option<ResourceVector>,
    /// Rack of the worker; `None` if it is not known.
    rack: Option<FailureDomain>,
    /// Tasks that may be running on the worker.
    tasks: PossibleTasks,
}

/// Workers that may be running tasks of an earlier owner and have not reported to this one, and the jobs of these tasks.
#[derives(record)]
#[derive(Default)]
pub(super) struct SilentWorkers {
    /// The workers of each pool; no pool is without workers.
    pools: BTreeMap<PoolId, BTreeMap<InstanceId, SilentWorker>>,
    /// Instance of each worker that a list of instances has shown.
    pub(super) instances: BTreeMap<InstanceId, InstanceId>,
    /// State of each worker that the last list of instances showed.
    pub(super) listed_states: BTreeMap<InstanceId, ListedState>,
    /// Whether any pool may have further workers, since there was no list of instances.
    is_any_pool: bool,
    /// Jobs with unconfirmed tasks, with the pools in which the earlier owner may have started them. Pools that this owner adds
    /// to the record of a job are not among them.
    jobs: BTreeMap<JobKey, Vec<PoolId>>,
    /// Time at which the earlier owner sends its last order.
    predecessor_deadline: Option<Instant>,
    /// Time from which no run that an order of the earlier owner started or renewed is left on the workers.
    pub(super) until: Option<Instant>,
}

impl SilentWorkers {
    /// Returns whether there are none.
    pub(super) fn is_empty(&self) -> bool {
        self.pools.is_empty() && !self.is_any_pool
    }

    /// Returns whether any pool may have further workers, since no list of instances has been read yet.
    pub(super) fn is_any_pool(&self) -> bool {
        self.is_any_pool
    }

    /// Adds a worker of a pool.
    fn insert(&mut self, pool: &PoolId, id: &InstanceId, worker: SilentWorker) {
        self.pools.entry(pool.clone()).or_default().insert(id.clone(), worker);
    }

    /// Returns the ids of the workers.
    pub(super) fn ids(&self) -> impl Iterator<Item = &InstanceId> {
        self.pools.values().flat_map(BTreeMap::keys)
    }

    /// Returns the place of each worker.
    pub(super) fn places(&self) -> impl Iterator<Item = WorkerPlace> {
        self.pools.iter().flat_map(|(pool, workers)| {
            workers.iter().map(|(id, worker)| WorkerPlace {
                worker: id.clone(),
                pool: pool.clone(),
                rack: worker.rack.clone(),
                instance: self.instances.get(id).cloned(),
            })
        })
    }

    /// Returns whether no order of the earlier owner can arrive after a time.
    pub(super) fn have_orders_arrived(&self, time: Instant) -> bool {
        self.predecessor_deadline.is_none_or(|deadline| time >= deadline + DELIVERY_DELAY_MAX)
    }

    /// Removes a worker; returns whether it was one of the silent workers.
    pub(super) fn remove(&mut self, worker: &InstanceId) -> bool {
        let removed = self.pools.values_mut().any(|workers| workers.remove(worker).is_some());
        self.pools.retain(|_, workers| !workers.is_empty());
        removed
    }

    /// Returns whether the workers may be running tasks of a job that the earlier owner may have started in `pools`.
    fn may_run_in(&self, pools: &[PoolId]) -> bool {
        self.is_any_pool || pools.iter().any(|pool| self.pools.contains_key(pool))
    }

    /// Returns whether the workers may be running an unconfirmed task, given the version of its job's row.
    pub(super) fn may_run(&self, task: &TaskRef, job_version: RowVersion) -> bool {
        let Some(pools) = self.jobs.get(&task.job) else { return false };
        let workers = pools.iter().filter_map(|pool| self.pools.get(pool));
        let mut workers = workers.flat_map(BTreeMap::values);
        self.is_any_pool || workers.any(|worker| worker.tasks.contain(task, job_version))
    }

    /// Returns whether the earlier owner sends no orders from a time on.
    ///
    /// A run in a report that was requested later has not been replaced by another run of the task.
    pub(super) fn has_predecessor_ended(&self, time: Instant) -> bool {
        self.predecessor_deadline.is_none_or(|deadline| time >= deadline)
    }

    /// Returns the sum of the workers' capacities; `None` if it is not known.
    fn capacity(&self) -> Option<ResourceVector> {
        let mut workers = self.pools.values().flat_map(BTreeMap::values);
        let sum =
            |sum: ResourceVector, worker: &SilentWorker| Some(sum.plus(worker.capacity.as_ref()?));
        let known = workers.try_fold(ResourceVector::default(), sum);
        known.filter(|_| !self.is_any_pool)
    }

    /// Returns the resources that tasks on the workers can use at once.
    fn limit(&self, tasks: &TaskSum) -> ResourceVector {
        let reserved = match &self.capacity() {
            Some(capacity) => tasks.reserved.component_min(capacity),
            None => tasks.reserved,
        };
        reserved.plus(&tasks.unreserved)
    }
}

impl Engine {
    /// Returns the workers of `instances` that the directory does not list, with their pools.
    ///
    /// Such a worker may be partitioned from the store and still run tasks, its entry may have expired in an
    /// outage of the store, or it may have only just started.
    pub fn unlisted_workers<'a>(
        &self,
        instances: &'a BTreeMap<InstanceId, Instance>,
    ) -> BTreeMap<&'a InstanceId, &'a PoolId> {
        let up = instances.values().filter(|instance| instance.state == InstanceState::Up);
        up.filter_map(|instance| {
            let worker = instance.worker.as_ref()?;
            self.worker_key(worker).is_none().then_some((worker, &instance.pool))
        })
        .collect()
    }

    /// Returns the [unlisted workers](Engine::unlisted_workers), or that they are unknown without a list of instances.
    pub fn find_unlisted_workers(
        &self,
        instances: Option<&BTreeMap<InstanceId, Instance>>,
    ) -> UnlistedWorkers {
        let Some(instances) = instances else { return UnlistedWorkers::Unknown };
        let unlisted = self.unlisted_workers(instances).into_iter();
        UnlistedWorkers::InPools(unlisted.map(|(id, pool)| (id.clone(), pool.clone())).collect())
    }

    /// Returns the workers that have not answered and no longer run on any instance.
    ///
    /// The directory lists a worker for some seconds after its instance has moved to another pool. An instance
    /// runs one worker at a time, so such a worker has ended with all its runs.
    pub fn replaced_workers(
        &self,
        instances: &BTreeMap<InstanceId, Instance>,
    ) -> BTreeSet<WorkerKey> {
        let present: BTreeSet<&InstanceId> =
            instances.values().filter_map(|instance| instance.worker.as_ref()).collect();
        if present.is_empty() {
            // A list without any worker is no evidence that a worker has been replaced.
            return BTreeSet::new();
        }
        let replaced = self.workers.iter().filter(|(_, worker)| {
            worker.last_contact.is_none() && !present.contains(&worker.entry.id)
        });
        replaced.map(|(key, _)| key).collect()
    }

    /// Removes the [replaced workers](Engine::replaced_workers), and returns their number.
    pub fn remove_replaced_workers(&mut self, instances: &BTreeMap<InstanceId, Instance>) -> usize {
        let keys = self.replaced_workers(instances);
        for key in &keys {
            self.remove_worker(*key);
        }
        keys.len()
    }

    /// Marks as unconfirmed the tasks that may be running on workers that have not answered a new owner, or on
    /// `unlisted` workers, and charges their teams for them. Returns the number of these tasks.
    ///
    /// The predecessor sends its last order at `predecessor_deadline` at the latest.
    pub fn mark_unconfirmed(
        &mut self,
        unlisted: &UnlistedWorkers,
        predecessor_deadline: Instant,
        now: Instant,
    ) -> usize {
        if self.fence > 1 {
            self.predecessor_calls_settled =
                Some(now.max(predecessor_deadline) + PREDECESSOR_CALL_TIMEOUT);
            // The clock for which the predecessor computed its orders is not known here.
            let arrives_by = predecessor_deadline + DELIVERY_DELAY_MAX;
            self.predecessor_order =
                Some(LeaseOrder { until_ms: u64::MAX, sent: predecessor_deadline, arrives_by });
        }
        // An order that is delivered late may give a worker that has restarted the longest lease of all.
        let until =
            predecessor_deadline + DELIVERY_DELAY_MAX + longest_time_of(self.limits.lease_max);
        for worker in self.workers.values_mut().filter(|worker| worker.last_contact.is_none()) {
            worker.leases_expire_at = until;
        }
        self.silent_workers = SilentWorkers {
            until: Some(until),
            predecessor_deadline: Some(predecessor_deadline),
            ..self.find_silent_workers(unlisted)
        };
        if self.silent_workers.is_empty() {
            return 0;
        }
        let unconfirmed = self.mark_tasks_unconfirmed();
        self.update_unconfirmed_charges();
        unconfirmed
    }

    /// Returns the workers that have not answered together with the `unlisted` ones.
    fn find_silent_workers(&self, unlisted: &UnlistedWorkers) -> SilentWorkers {
        let mut silent = SilentWorkers::default();
        for worker in self.workers.values().filter(|worker| worker.last_contact.is_none()) {
            let entry = &worker.entry;
            let rack = Some(entry.rack.clone());
            let silent_worker = self.silent_worker(&entry.id, Some(entry.capacity), rack);
            silent.insert(&entry.pool, &entry.id, silent_worker);
        }
        match unlisted {
            UnlistedWorkers::InPools(unlisted) => {
                // Without any listed worker there is nothing to compare the capacity of an unlisted one with.
                let largest = self.largest_worker();
                for (id, pool) in unlisted {
                    silent.insert(pool, id, self.silent_worker(id, largest, None));
                }
            }
            UnlistedWorkers::Unknown => silent.is_any_pool = true,
        }
        silent
    }

    fn silent_worker(
        &self,
        id: &InstanceId,
        capacity: Option<ResourceVector>,
        rack: Option<FailureDomain>,
    ) -> SilentWorker {
        let recorded = self.restored_silent_records.get(id).cloned();
        SilentWorker { capacity, rack, tasks: recorded.unwrap_or(PossibleTasks::Any) }
    }

    /// Marks as unconfirmed the unfinished tasks that may be running on silent workers, and returns their number.
    ///
    /// Such a worker may run any of these tasks, so they are not started before; all other tasks proceed.
    fn mark_tasks_unconfirmed(&mut self) -> usize {
        let mut unconfirmed = 0;
        for key in self.live.union(&self.retiring) {
            // Runs of a job that was ended early may still be stopping; a completed job has none.
            let open = |job: &&mut Job| job.phase != Phase::Done;
            let Some(job) = self.jobs.get_mut(*key).filter(open) else { continue };
            let pools: Vec<PoolId> = job.start_pools.persisted().cloned().collect();
            if !self.silent_workers.may_run_in(&pools) {
                continue;
            }
            self.silent_workers.jobs.insert(*key, pools);
            let (silent, version) = (&self.silent_workers, job.row_version);
            // The predecessor may see the end of an adopted run first, and start its task again.
            for (task, entry) in job.tasks_mut(*key).filter(|(_, entry)| !entry.done) {
                if silent.may_run(&task, version) {
                    entry.is_unconfirmed = true;
                    unconfirmed += usize::from(entry.runs.is_empty());
                }
            }
        }
        unconfirmed
    }

    /// Ends the wait for a worker that has reported under this owner's fence: its tasks are known, and it refuses orders of
    /// the predecessor.
    pub(super) fn confirm_silent_worker(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else { return };
        let id = worker.entry.id.clone();
        let place = self.silent_workers.places().find(|place| place.worker == id);
        if self.silent_workers.remove(&id) {
            self.update_unconfirmed_charges();
        }
        if let Some(place) = place {
            self.report_wait(place, WaitEvidence::Report, false);
        }
    }

    /// Ends the wait for any worker if there was no list of instances at the takeover, and waits for those that the given one
    /// shows, which was requested at `requested`.
    ///
    /// An instance runs one worker at a time, so that a worker that no instance has any more has ended with all its runs.
    pub(super) fn identify_silent_workers(
        &mut self,
        instances: &BTreeMap<InstanceId, Instance>,
        requested: Instant,
    ) {
        self.locate_silent_workers(instances, requested);
        self.forget_ended_silent_workers(requested);
        let silent = &self.silent_workers;
        let is_recent = silent.predecessor_deadline.is_some_and(|deadline| requested >= deadline);
        let has_workers = instances.values().any(|instance| instance.worker.is_some());
        if !silent.is_any_pool || !is_recent || !has_workers {
            return;
        }
        let mut found = self.find_silent_workers(&self.find_unlisted_workers(Some(instances)));
        for id in self.replaced_workers(instances).iter().map(|key| &self.workers[*key].entry.id) {
            found.remove(id);
        }
        self.silent_workers.pools = found.pools;
        self.silent_workers.is_any_pool = false;
        self.update_unconfirmed_charges();
    }

    /// Ends the wait for all silent workers once no order of the predecessor can have an effect any more.
    pub(super) fn expire_silent_workers(&mut self, now: Instant) {
        if self.silent_workers.until.is_some_and(|until| until <= now) {
            let places: Vec<WorkerPlace> = self.silent_workers.places().collect();
            for place in places {
                self.report_wait(place, WaitEvidence::LastLease, false);
            }
            self.silent_workers = SilentWorkers::default();
            self.update_unconfirmed_charges();
        }
    }

    /// Charges each team for its unconfirmed tasks, but for no more than the capacity of the silent workers and its fillers.
    pub(super) fn update_unconfirmed_charges(&mut self) {
        for charge in std::mem::take(&mut self.charges) {
            if let Some(team) = self.teams.get_mut(&charge.team) {
                team.used = team.used.saturating_sub(&charge.resources);
            }
        }
        let silent = &self.silent_workers;
        let mut sums: BTreeMap<TeamId, TaskSum> = BTreeMap::new();
        let jobs = silent.jobs.iter().filter(|(_, pools)| silent.may_run_in(pools));
        for (key, job) in jobs.filter_map(|(key, _)| Some((*key, self.jobs.get(*key)?))) {
            let sum = sums.entry(job.submission.team.clone()).or_default();
            let unconfirmed = job.tasks(key).filter(|(task, entry)| {
                entry.is_unconfirmed
                    && entry.runs.is_empty()
                    && silent.may_run(task, job.row_version)
            });
            for (task, _) in unconfirmed {
                sum.add(&job.submission.steps[task.step as usize]);
            }
        }
        let charges = sums.into_iter().map(|(team, tasks)| {
            let resources = silent.limit(&tasks);
            UnconfirmedCharge { team, resources }
        });
        self.charges = charges.collect();
        for charge in self.charges.clone() {
            self.charge(&charge.team, &charge.resources);
        }
    }
}
