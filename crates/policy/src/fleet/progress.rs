//! What is written down of a job, and how it is read back.
//!
//! Only what the workers cannot tell is written: how far a job has come by ends, and that it was
//! cancelled. An end is acknowledged to its worker after the progress with it is written down.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::lease::lease_bound;
use super::spec::{ResourceVector, Submission};
use super::state::{Engine, JobKey, Occurrence, Phase, QueueSettings, WorkerKey};
use super::upkeep::{Instance, InstanceState, PREDECESSOR_CALLS_MAX};
use crate::ids::{BootId, InstanceId, JobId, PoolId, TeamId};

/// The row of a job, which is written once.
#[derives(record)]
pub struct JobRow {
    /// What was submitted.
    pub submission: Submission,
    /// What the configuration said of its queue.
    pub queue_settings: QueueSettings,
    /// The fence of the owner that accepted it.
    pub accepted_fence: u64,
}

/// How far the tasks of one step have come.
#[derives(record)]
#[derive(Default)]
pub struct StepProgress {
    /// The numbers of the tasks that have ended well, as ranges of first and count.
    pub done: Vec<(u32, u32)>,
    /// The attempts that failed of the tasks that have failed, by number.
    pub failures: Vec<(u32, Vec<u32>)>,
    /// The checkpoints of the tasks that are not done, by number.
    pub checkpoints: Vec<(u32, String)>,
}

/// How far an occurrence has come.
#[derives(record)]
pub struct OccurrenceProgress {
    /// Its number.
    pub number: u32,
    /// Its steps.
    pub steps: Vec<StepProgress>,
}

/// The row of a job's progress.
#[derives(record)]
pub struct ProgressRow {
    /// How far the job has come.
    pub phase: Phase,
    /// The number of the next occurrence.
    pub next_occurrence: u32,
    /// The occurrences that are open and not done.
    pub occurrences: Vec<OccurrenceProgress>,
}

/// What a team is charged for tasks that may run out of sight.
#[derives(record)]
pub struct Charge {
    /// The team.
    pub team: TeamId,
    /// How much.
    pub resources: ResourceVector,
    /// Until when.
    pub until: Instant,
}

/// A batch of progress to write down.
#[derives(record)]
#[derive(Default)]
pub struct Changes {
    /// The jobs, with the phase that is shown once the row is written.
    pub jobs: Vec<(JobKey, JobId, ProgressRow)>,
    /// The ends that may be acknowledged then, by worker and life.
    pub ends: Vec<(WorkerKey, BootId, u64)>,
}

impl Engine {
    /// Reports whether there is progress to write down.
    pub fn has_changes(&self) -> bool {
        !self.unpersisted.is_empty()
    }

    /// Takes the progress of at most `jobs_max` jobs that is not written down yet.
    ///
    /// Jobs that have ended come first: their callers wait for what is shown once it is written.
    pub fn take_changes(&mut self, jobs_max: usize) -> Changes {
        let mut keys: Vec<JobKey> = self.unpersisted.iter().copied().collect();
        if keys.len() > jobs_max {
            let ended = |key: &JobKey| self.jobs.get(*key).is_some_and(|job| job.phase.is_ended());
            keys.sort_by_key(|key| !ended(key));
            keys.truncate(jobs_max);
        }
        let mut changes = Changes::default();
        for key in keys {
            self.unpersisted.remove(&key);
            let Some(job) = self.jobs.get_mut(key) else { continue };
            // A done occurrence needs no tasks in memory once nothing of it runs.
            let row = progress_of(job.phase, job.next_occurrence, &job.occurrences);
            changes.jobs.push((key, job.submission.job.clone(), row));
        }
        if self.unpersisted.is_empty() {
            let ends =
                self.workers.iter().filter(|(_, w)| w.last_end_received > w.last_end_persisted);
            changes.ends = ends.map(|(key, w)| (key, w.incarnation, w.last_end_received)).collect();
        }
        changes
    }

    /// Takes in that changes have been written down.
    pub fn changes_written(&mut self, changes: &Changes) {
        for (key, _, row) in &changes.jobs {
            if let Some(job) = self.jobs.get_mut(*key) {
                job.visible_phase = row.phase.max(job.visible_phase);
                if row.phase.is_ended() {
                    self.retiring.insert(*key);
                }
            }
        }
        for (key, incarnation, number) in &changes.ends {
            if let Some(worker) = self.workers.get_mut(*key)
                && worker.incarnation == *incarnation
            {
                worker.last_end_persisted = worker.last_end_persisted.max(*number);
            }
        }
    }

    /// Takes back changes that were certainly not written down.
    pub fn changes_refused(&mut self, changes: &Changes) {
        self.unpersisted.extend(changes.jobs.iter().map(|(key, _, _)| *key));
    }

    /// Returns at most `jobs_max` jobs of which the phase is all that anyone needs from now on.
    ///
    /// Their rows can be removed but for the progress, so that a take-over reads only what is alive.
    pub fn take_retired(&self, jobs_max: usize) -> Vec<(JobKey, JobId)> {
        let known = self.retiring.iter().filter_map(|key| Some((*key, self.jobs.get(*key)?)));
        known
            .filter(|(_, job)| !job.has_runs())
            .map(|(key, job)| (key, job.submission.job.clone()))
            .take(jobs_max)
            .collect()
    }

    /// Takes in that the rows of jobs have been removed, and forgets what was submitted.
    ///
    /// A run of such a job that still shows up is no task of the engine, and is stopped.
    pub fn retired(&mut self, keys: &[(JobKey, JobId)]) {
        for (key, id) in keys {
            self.retiring.remove(key);
            if let Some(job) = self.jobs.get_mut(*key) {
                job.submission = Arc::new(Submission::id_only(id.clone()));
                job.occurrences.clear();
                job.retired = true;
            }
        }
    }

    /// Reads back a job of which only the phase is kept.
    pub fn restore_retired(&mut self, id: JobId, phase: Phase, now: Instant) {
        let submission = Submission::id_only(id);
        let key = self.insert_job(submission, QueueSettings::default(), 0, now, 0);
        self.live.remove(&key);
        let job = &mut self.jobs[key];
        (job.phase, job.visible_phase) = (phase, phase);
        job.ended = Some(now);
        job.retired = true;
        job.occurrences.clear();
    }

    /// Reads a job back from its rows.
    pub fn restore(
        &mut self,
        row: JobRow,
        progress: Option<ProgressRow>,
        now: Instant,
        unix_ms: u64,
    ) {
        let JobRow { submission, queue_settings, accepted_fence } = row;
        let steps = submission.steps.clone();
        let key = self.insert_job(submission, queue_settings, accepted_fence, now, unix_ms);
        let Some(progress) = progress else { return };
        let job = &mut self.jobs[key];
        job.phase = progress.phase;
        job.visible_phase = progress.phase;
        if progress.phase.is_ended() {
            job.ended = Some(now);
            job.occurrences.clear();
            self.live.remove(&key);
            self.retiring.insert(key);
            return;
        }
        job.occurrences.retain(|number, _| *number >= progress.next_occurrence);
        for occurrence in &progress.occurrences {
            let mut restored = Occurrence::new(&steps, job.due(occurrence.number));
            for (step, row) in restored.steps.iter_mut().zip(&occurrence.steps) {
                restore_step(step, row);
            }
            job.occurrences.insert(occurrence.number, restored);
        }
        job.next_occurrence = job.next_occurrence.max(progress.next_occurrence);
    }

    /// Returns the workers of `instances` that the directory does not list, with their pools.
    ///
    /// Such a worker may be cut off from the store and run on, or its entry may have lapsed with the store, or it
    /// has only just begun.
    pub fn unlisted<'a>(
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

    /// Returns the workers that have not answered and run on no instance any more.
    ///
    /// The directory lists a worker for some seconds after its instance has changed its pool. An instance
    /// runs one worker at a time, so nothing of such a life is left.
    pub fn replaced(&self, instances: &BTreeMap<InstanceId, Instance>) -> BTreeSet<WorkerKey> {
        let present: BTreeSet<&InstanceId> =
            instances.values().filter_map(|instance| instance.worker.as_ref()).collect();
        if present.is_empty() {
            // A list without any worker says nothing about them.
            return BTreeSet::new();
        }
        let replaced = self.workers.iter().filter(|(_, worker)| {
            worker.last_contact.is_none() && !present.contains(&worker.entry.id)
        });
        replaced.map(|(key, _)| key).collect()
    }

    /// Forgets the workers that have been [replaced](Engine::replaced), and returns how many there were.
    pub fn forget_replaced(&mut self, instances: &BTreeMap<InstanceId, Instance>) -> usize {
        let keys = self.replaced(instances);
        for key in &keys {
            self.forget_worker(*key);
        }
        keys.len()
    }

    /// Marks what may run on workers that have not answered a new owner, or in the `unseen` pools.
    ///
    /// The last order of the old owner is sent at `predecessor_ends` at the latest.
    /// Returns how many tasks wait for that reason.
    pub fn doubt_silent(
        &mut self,
        unseen: BTreeSet<PoolId>,
        predecessor_ends: Instant,
        now: Instant,
    ) -> usize {
        if self.fence > 1 {
            self.predecessor_calls_settled =
                Some(now.max(predecessor_ends) + PREDECESSOR_CALLS_MAX);
        }
        let until = predecessor_ends + lease_bound();
        let mut room = self.largest_worker().unwrap_or_default().times(unseen.len() as u64);
        let mut pools = unseen;
        for worker in self.workers.values_mut().filter(|worker| worker.last_contact.is_none()) {
            worker.leases_expire_at = until;
            room = room.plus(&worker.entry.capacity);
            pools.insert(worker.entry.pool.clone());
        }
        if pools.is_empty() { 0 } else { self.doubt_unseen(until, &pools, &room) }
    }

    /// Gives back what the teams were charged for tasks out of sight, once all leases have lapsed.
    pub(super) fn end_charges(&mut self, now: Instant) {
        let (over, open): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.charges).into_iter().partition(|charge| charge.until <= now);
        self.charges = open;
        for charge in over {
            if let Some(team) = self.teams.get_mut(&charge.team) {
                team.used = team.used.saturating_sub(&charge.resources);
            }
        }
    }

    /// Marks the unfinished tasks of jobs of earlier owners that may run out of sight.
    ///
    /// A worker that does not answer may run any of them until `until`; they wait, and all others go on.
    /// Each team is charged for its own, but for no more than the silent workers have `room` for.
    fn doubt_unseen(
        &mut self,
        until: Instant,
        pools: &BTreeSet<PoolId>,
        room: &ResourceVector,
    ) -> usize {
        let mut doubted = 0;
        let mut charges: BTreeMap<TeamId, ResourceVector> = BTreeMap::new();
        for key in &self.live {
            let Some(job) = self.jobs.get_mut(*key) else { continue };
            let pool = &self.queues.get(&job.submission.queue).unwrap_or(&job.queue_settings).pool;
            if !pools.contains(pool) {
                continue;
            }
            let submission = job.submission.clone();
            let charge = charges.entry(submission.team.clone()).or_default();
            let steps = job
                .occurrences
                .values_mut()
                .flat_map(|o| submission.steps.iter().zip(&mut o.steps));
            for (step, run) in steps {
                for task in run.tasks.iter_mut().filter(|task| !task.done && task.runs.is_empty()) {
                    task.unconfirmed_until = Some(until);
                    doubted += 1;
                    *charge = charge.plus(&step.resources).component_min(room);
                }
            }
        }
        for (team, resources) in charges {
            if let Some(entry) = self.teams.get_mut(&team) {
                entry.used = entry.used.plus(&resources);
                self.charges.push(Charge { team, resources, until });
            }
        }
        doubted
    }

    /// Forgets at most `jobs_max` jobs whose state need not be readable any more; returns their ids.
    ///
    /// All of them have been retired before, so that one row is left of each.
    pub fn forget_ended(&mut self, now: Instant, jobs_max: usize) -> Vec<JobId> {
        let kept = self.limits.status_retention;
        let over = |ended: Instant| now.saturating_duration_since(ended) > kept;
        let keys: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.retired && job.ended.is_some_and(over))
            .map(|(key, _)| key)
            .take(jobs_max)
            .collect();
        let forget = |key: JobKey| self.jobs.remove(key).map(|job| job.submission.job.clone());
        let ids: Vec<JobId> = keys.into_iter().filter_map(forget).collect();
        for id in &ids {
            self.job_keys.remove(id);
        }
        ids
    }
}

/// How much longer than stated a job's rows are kept, for owners that change meanwhile.
pub const STATUS_MARGIN: Duration = Duration::from_secs(30);

fn progress_of(
    phase: Phase,
    next_occurrence: u32,
    occurrences: &BTreeMap<u32, Occurrence>,
) -> ProgressRow {
    let open = occurrences.iter().filter(|(_, o)| !phase.is_ended() && !o.is_done());
    let occurrences = open
        .map(|(number, occurrence)| OccurrenceProgress {
            number: *number,
            steps: occurrence.steps.iter().map(step_progress).collect(),
        })
        .collect();
    ProgressRow { phase, next_occurrence, occurrences }
}

fn step_progress(step: &super::state::StepState) -> StepProgress {
    let mut progress = StepProgress::default();
    for (index, task) in step.tasks.iter().enumerate() {
        let index = index as u32;
        if task.done {
            match progress.done.last_mut() {
                Some((first, count)) if *first + *count == index => *count += 1,
                _ => progress.done.push((index, 1)),
            }
            continue;
        }
        if !task.failures.is_empty() {
            progress.failures.push((index, task.failures.clone()));
        }
        if !task.checkpoint.is_empty() {
            progress.checkpoints.push((index, task.checkpoint.clone()));
        }
    }
    progress
}

fn restore_step(step: &mut super::state::StepState, row: &StepProgress) {
    for (first, count) in &row.done {
        for index in *first..first.saturating_add(*count) {
            if let Some(task) = step.tasks.get_mut(index as usize) {
                task.done = true;
                step.done += 1;
            }
        }
    }
    for (index, failures) in &row.failures {
        if let Some(task) = step.tasks.get_mut(*index as usize) {
            task.failures.clone_from(failures);
        }
    }
    for (index, checkpoint) in &row.checkpoints {
        if let Some(task) = step.tasks.get_mut(*index as usize) {
            task.checkpoint.clone_from(checkpoint);
        }
    }
}
