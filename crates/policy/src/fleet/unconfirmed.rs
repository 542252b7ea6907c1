//! Tasks and workers of which a new owner does not know whether they run.
//!
//! A worker that does not answer, or that is not listed, may be running any task that its predecessor could start there.
//! These tasks are unconfirmed, and wait until the worker's leases have expired; their teams are charged for them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use wasabiswitch_derive::derives;

use super::lease::lease_bound;
use super::maintenance::{Instance, InstanceState, PREDECESSOR_CALL_TIMEOUT};
use super::spec::ResourceVector;
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
    /// workers of the `unlisted_pools`. Returns the number of these tasks.
    ///
    /// The predecessor sends its last order at `predecessor_deadline` at the latest.
    pub fn mark_unconfirmed(
        &mut self,
        unlisted_pools: BTreeSet<PoolId>,
        predecessor_deadline: Instant,
        now: Instant,
    ) -> usize {
        if self.fence > 1 {
            self.predecessor_calls_settled =
                Some(now.max(predecessor_deadline) + PREDECESSOR_CALL_TIMEOUT);
        }
        let until = predecessor_deadline + lease_bound();
        let mut capacity =
            self.largest_worker().unwrap_or_default().times(unlisted_pools.len() as u64);
        let mut pools = unlisted_pools;
        for worker in self.workers.values_mut().filter(|worker| worker.last_contact.is_none()) {
            worker.leases_expire_at = until;
            capacity = capacity.plus(&worker.entry.capacity);
            pools.insert(worker.entry.pool.clone());
        }
        if pools.is_empty() { 0 } else { self.mark_pools_unconfirmed(until, &pools, &capacity) }
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

    /// Marks as unconfirmed the unfinished tasks of jobs that may have started tasks in `pools`, and charges their
    /// teams for them.
    ///
    /// An unresponsive worker may run any of these tasks until `until`, so they are not started before; all
    /// other tasks proceed. Each team is charged for its own tasks, but for no more than the `capacity` of the
    /// unresponsive workers.
    fn mark_pools_unconfirmed(
        &mut self,
        until: Instant,
        pools: &BTreeSet<PoolId>,
        capacity: &ResourceVector,
    ) -> usize {
        let mut unconfirmed = 0;
        let mut charges: BTreeMap<TeamId, ResourceVector> = BTreeMap::new();
        for key in self.live.union(&self.retiring) {
            // Runs of a job that was ended early may still be stopping; a completed job has none.
            let open = |job: &&mut Job| job.phase != Phase::Done;
            let Some(job) = self.jobs.get_mut(*key).filter(open) else { continue };
            if !job.start_pools.intersects(pools) {
                continue;
            }
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
                    *charge = charge.plus(&step.resources).component_min(capacity);
                }
            }
        }
        for (team, resources) in charges {
            self.charge(&team, &resources);
            self.charges.push(UnconfirmedCharge { team, resources, until });
        }
        unconfirmed
    }
}
