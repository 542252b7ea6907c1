//! Record of the pools in which the tasks of a job may have been started.
//!
//! Starts are not persisted: a new owner learns of them from the workers. While it cannot reach a worker, it has to know
//! which tasks may be running there. The present configuration does not tell, since a queue may lead to another pool
//! than at the time of the start. Therefore no task starts in a pool before the store has recorded the pool for its job.

use std::collections::BTreeSet;

use wasabiswitch_derive::derives;

use super::reports::JobEvent;
use super::state::{Engine, JobKey};
use crate::ids::{JobId, PoolId};

/// Row of a job with the pools in which its tasks may have been started, without the pool that the job's queue had at
/// the submission. A job whose queue keeps that pool has no such row.
#[derives(record)]
pub struct StartPoolsRow {
    /// Pools in which tasks may have been started.
    pub pools: Vec<PoolId>,
}

/// Pools in which the tasks of a job may have been started, and the pools to be recorded before a task starts there.
#[derives(record)]
pub struct StartPools {
    /// Pool of the job's queue at the submission, which the job's row records.
    submitted_to: PoolId,
    /// Other pools that the store has recorded.
    persisted: BTreeSet<PoolId>,
    /// Pools that the store has not recorded yet.
    requested: BTreeSet<PoolId>,
}

impl StartPools {
    /// Creates the record of a job whose queue has the given pool at the submission.
    pub fn new(submitted_to: PoolId) -> StartPools {
        StartPools { submitted_to, persisted: BTreeSet::new(), requested: BTreeSet::new() }
    }

    /// Returns whether the store has recorded a pool, so that a task may start there.
    pub fn is_persisted(&self, pool: &PoolId) -> bool {
        self.submitted_to == *pool || self.persisted.contains(pool)
    }

    /// Returns all pools that the store has recorded.
    pub fn persisted(&self) -> impl Iterator<Item = &PoolId> {
        std::iter::once(&self.submitted_to).chain(&self.persisted)
    }

    /// Returns whether the store has a row for the job.
    pub fn has_row(&self) -> bool {
        !self.persisted.is_empty()
    }

    /// Requests that the store records a pool; returns whether this is a new request.
    fn request(&mut self, pool: &PoolId) -> bool {
        !self.is_persisted(pool) && self.requested.insert(pool.clone())
    }

    /// Returns the row with all pools, requested ones included.
    fn row(&self) -> StartPoolsRow {
        StartPoolsRow { pools: self.persisted.union(&self.requested).cloned().collect() }
    }

    /// Records that the store has the row.
    fn confirm(&mut self, row: &StartPoolsRow) {
        for pool in &row.pools {
            self.requested.remove(pool);
            self.persisted.insert(pool.clone());
        }
    }
}

impl Engine {
    /// Returns whether a task of a job may start in a pool now. If the store has not recorded the pool for the job yet,
    /// requests this.
    pub(super) fn request_start_pool(
        &mut self,
        key: JobKey,
        pool: &PoolId,
        events: &mut Vec<JobEvent>,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(key) else { return false };
        if job.start_pools.request(pool) {
            self.unpersisted_start_pools.insert(key);
            events.push(JobEvent {
                job: job.submission.job.clone(),
                kind: "start waits for the record of its pool",
                detail: format!("pool={pool} submitted_to={}", job.start_pools.submitted_to),
            });
        }
        job.start_pools.is_persisted(pool)
    }

    /// Takes at most `jobs_max` rows of start pools to persist.
    pub(super) fn take_start_pools(
        &mut self,
        jobs_max: usize,
    ) -> Vec<(JobKey, JobId, StartPoolsRow)> {
        let mut rows = Vec::new();
        while rows.len() < jobs_max
            && let Some(key) = self.unpersisted_start_pools.pop_first()
        {
            // A job that has ended starts no more tasks.
            if let Some(job) = self.jobs.get(key).filter(|job| !job.phase.is_ended()) {
                rows.push((key, job.submission.job.clone(), job.start_pools.row()));
            }
        }
        rows
    }

    /// Records that the store has a job's row of start pools.
    pub(super) fn confirm_start_pools(&mut self, key: JobKey, row: &StartPoolsRow) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.start_pools.confirm(row);
        }
    }

    /// Takes the ids of at most `rows_max` jobs whose row of start pools is not needed any more: those of the jobs that are
    /// being `retired`, and those that a daemon of another version has left behind.
    pub fn take_unused_start_pools(
        &mut self,
        retired: &[(JobKey, JobId)],
        rows_max: usize,
    ) -> Vec<JobId> {
        let has_row = |key: &JobKey| self.jobs.get(*key).is_some_and(|j| j.start_pools.has_row());
        let rows = retired.iter().filter(|(key, _)| has_row(key)).map(|(_, id)| id.clone());
        self.unused_start_pools.extend(rows);
        let mut taken = Vec::new();
        while taken.len() < rows_max
            && let Some(job) = self.unused_start_pools.pop_first()
        {
            taken.push(job);
        }
        taken
    }

    /// Restores the row of start pools of a job, after the jobs; returns whether the job still needs it.
    ///
    /// A row without such a job is removed: a daemon of a version without this row has retired the job.
    pub fn restore_start_pools(&mut self, id: &str, row: &StartPoolsRow) -> bool {
        let key = self.job_key(id).filter(|key| !self.jobs[*key].retired);
        match key {
            Some(key) => self.confirm_start_pools(key, row),
            None => drop(self.unused_start_pools.insert(id.into())),
        }
        key.is_some()
    }
}
