//! Tasks and workers of which a new owner does not know whether they run.
//!
//! A worker that does not answer, or that is not listed, may be running any task that its predecessor could start there.
//! These tasks are unconfirmed, and wait until the worker's leases have expired; their teams are charged for them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use wasabiswitch_derive::derives;

use super::lease::LeaseOrder;
use super::maintenance::{Instance, InstanceState, PREDECESSOR_CALL_TIMEOUT};
use super::outcomes::DELIVERY_DELAY_MAX;
use super::spec::{ResourceVector, Step};
use super::state::{Engine, Job, Phase, WorkerKey};
use crate::ids::{InstanceId, PoolId, TeamId};

/// Resources that count as used by a team, since its tasks may be running on workers that cannot be reached.
#[derives(record)]
pub struct UnconfirmedCharge {
    /// Team whose usage includes the charge.
    pub team: TeamId,
    /// Resources charged.
    pub resources: ResourceVector,
    /// Time at which the charge ends.
    pub until: Instant,
}

/// Workers that the directory does not list at a takeover although they may be running tasks.
#[derives(record)]
pub enum UnlistedWorkers {
    /// Number of unlisted workers by pool, as the list of instances shows them.
    InPools(BTreeMap<PoolId, u64>),
    /// There is no list of instances, so any number of workers may be unlisted in any pool.
    Unknown,
}

impl UnlistedWorkers {
    /// Describes for the log the number of pools with unlisted workers.
    pub fn describe_pools(&self) -> String {
        match self {
            UnlistedWorkers::InPools(counts) => counts.len().to_string(),
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

/// Workers on which unconfirmed tasks may be running.
#[derives(record)]
struct SilentWorkers {
    /// Time by which the leases on all workers have expired, by pool; `None` if any pool may have some workers.
    pools: Option<BTreeMap<PoolId, Instant>>,
    /// Latest of these times, also if any pool may have some workers.
    until: Instant,
    /// Sum of their capacities; `None` if it is not known.
    capacity: Option<ResourceVector>,
}

impl SilentWorkers {
    /// Returns whether there are none.
    fn is_empty(&self) -> bool {
        self.pools.as_ref().is_some_and(BTreeMap::is_empty)
    }

    /// Returns the time until which tasks of a job may be running on one of the workers, if they may at all.
    fn may_run_until(&self, job: &Job) -> Option<Instant> {
        let Some(pools) = &self.pools else { return Some(self.until) };
        let of_job = pools.iter().filter(|(pool, _)| job.start_pools.is_persisted(pool));
        of_job.map(|(_, until)| *until).max()
    }

    /// Returns the resources that tasks on the workers can use at once.
    fn limit(&self, tasks: &TaskSum) -> ResourceVector {
        let reserved = match &self.capacity {
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

    /// Counts the [unlisted workers](Engine::unlisted_workers) by pool, or returns that they are unknown without a list of
    /// instances.
    pub fn count_unlisted_workers(
        &self,
        instances: Option<&BTreeMap<InstanceId, Instance>>,
    ) -> UnlistedWorkers {
        let Some(instances) = instances else { return UnlistedWorkers::Unknown };
        let mut counts: BTreeMap<PoolId, u64> = BTreeMap::new();
        for pool in self.unlisted_workers(instances).into_values() {
            *counts.entry(pool.clone()).or_default() += 1;
        }
        UnlistedWorkers::InPools(counts)
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
    /// `unlisted` workers. Returns the number of these tasks.
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
        let leases_expire_at = predecessor_deadline + self.predecessor_lease();
        for worker in self.workers.values_mut().filter(|worker| worker.last_contact.is_none()) {
            worker.leases_expire_at = leases_expire_at;
        }
        let silent = self.silent_workers(unlisted, predecessor_deadline);
        if silent.is_empty() { 0 } else { self.mark_tasks_unconfirmed(&silent) }
    }

    /// Returns the workers that have not answered together with the `unlisted` ones.
    fn silent_workers(
        &self,
        unlisted: &UnlistedWorkers,
        predecessor_deadline: Instant,
    ) -> SilentWorkers {
        let longest = predecessor_deadline + self.predecessor_lease();
        let UnlistedWorkers::InPools(unlisted) = unlisted else {
            return SilentWorkers { pools: None, until: longest, capacity: None };
        };
        let unresponsive = self.workers.values().filter(|worker| worker.last_contact.is_none());
        let mut pools: BTreeMap<PoolId, Instant> =
            unlisted.keys().map(|pool| (pool.clone(), longest)).collect();
        let mut capacity = ResourceVector::default();
        for worker in unresponsive {
            let until = pools.entry(worker.entry.pool.clone()).or_insert(worker.leases_expire_at);
            *until = worker.leases_expire_at.max(*until);
            capacity = capacity.plus(&worker.entry.capacity);
        }
        // The capacity of an unlisted worker is not known; without any listed worker there is nothing to compare it with.
        let capacity = match (self.largest_worker(), unlisted.values().sum()) {
            (_, 0) => Some(capacity),
            (Some(largest), count) => Some(capacity.plus(&largest.times(count))),
            (None, _) => None,
        };
        let until = pools.values().copied().max().unwrap_or(predecessor_deadline);
        SilentWorkers { pools: Some(pools), until, capacity }
    }

    /// Ends the charges for unconfirmed tasks whose leases have all expired.
    pub(super) fn release_expired_charges(&mut self, now: Instant) {
        let (expired, open): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.charges).into_iter().partition(|charge| charge.until <= now);
        self.charges = open;
        for charge in expired {
            if let Some(team) = self.teams.get_mut(&charge.team) {
                team.used = team.used.saturating_sub(&charge.resources);
            }
        }
    }

    /// Marks as unconfirmed the unfinished tasks that may be running on `silent` workers, and charges their teams for
    /// them.
    ///
    /// Such a worker may run any of these tasks until its leases have expired, so they are not started before; all other
    /// tasks proceed. Each team is charged for its own tasks, but for no more than the capacity of the workers and its fillers.
    fn mark_tasks_unconfirmed(&mut self, silent: &SilentWorkers) -> usize {
        let mut unconfirmed = 0;
        let mut charges: BTreeMap<TeamId, TaskSum> = BTreeMap::new();
        for key in self.live.union(&self.retiring) {
            // Runs of a job that was ended early may still be stopping; a completed job has none.
            let open = |job: &&mut Job| job.phase != Phase::Done;
            let Some(job) = self.jobs.get_mut(*key).filter(open) else { continue };
            let Some(until) = silent.may_run_until(job) else { continue };
            let submission = job.submission.clone();
            let charge = charges.entry(submission.team.clone()).or_default();
            let steps = job
                .occurrences
                .values_mut()
                .flat_map(|o| submission.steps.iter().zip(&mut o.steps));
            for (step, step_state) in steps {
                for task in
                    step_state.tasks.iter_mut().filter(|task| !task.done && task.runs.is_empty())
                {
                    task.unconfirmed_until = Some(until);
                    unconfirmed += 1;
                    charge.add(step);
                }
            }
        }
        for (team, tasks) in charges {
            let resources = silent.limit(&tasks);
            self.charge(&team, &resources);
            self.charges.push(UnconfirmedCharge { team, resources, until: silent.until });
        }
        unconfirmed
    }
}
