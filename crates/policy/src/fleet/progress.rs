//! Persistence of jobs: the rows of jobs and of their progress, and the state restored from them.
//!
//! Only state that the workers cannot report is persisted: the progress that ended runs have made, and
//! cancellations. The end of a run is acknowledged to its worker after the progress that includes it has been persisted.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::silent_records::SilentWorkerRow;
use super::spec::Submission;
use super::start_pools::StartPoolsRow;
use super::state::{Engine, Job, JobKey, Occurrence, Phase, QueueSettings, WorkerKey};
use crate::ids::{BootId, InstanceId, JobId};

/// Row of a job; it is written once.
#[derives(record)]
pub struct JobRow {
    /// Job as it was submitted.
    pub submission: Submission,
    /// Settings of the job's queue at the time of the submission.
    pub queue_settings: QueueSettings,
    /// Fencing token of the owner that accepted the job.
    pub accepted_fence: u64,
}

/// Progress of the tasks of one step.
#[derives(record)]
#[derive(Default)]
pub struct StepProgress {
    /// Indices of the completed tasks, as ranges of first index and count.
    pub done: Vec<(u32, u32)>,
    /// Failed attempts of the tasks that are not completed, by index of the task.
    pub failures: Vec<(u32, Vec<u32>)>,
    /// Checkpoints of the tasks that are not completed, by index of the task.
    pub checkpoints: Vec<(u32, String)>,
}

/// Progress of one occurrence of a job.
#[derives(record)]
pub struct OccurrenceProgress {
    /// Number of the occurrence within the job's schedule.
    pub number: u32,
    /// Progress by step, in the order of the submission.
    pub steps: Vec<StepProgress>,
}

/// Row of a job's progress; it is written anew with each change.
#[derives(record)]
pub struct ProgressRow {
    /// Phase of the job, which callers see once the row has been written.
    pub phase: Phase,
    /// Number of the next occurrence to open.
    pub next_occurrence: u32,
    /// Occurrences that have been opened and are not completed.
    pub occurrences: Vec<OccurrenceProgress>,
}

/// A batch of progress to persist.
#[derives(record)]
#[derive(Default)]
pub struct ProgressChanges {
    /// Jobs with their new rows; callers see the phases once the rows have been written.
    pub jobs: Vec<(JobKey, JobId, ProgressRow)>,
    /// Jobs with their new rows of start pools; tasks start in these pools once the rows have been written.
    pub start_pools: Vec<(JobKey, JobId, StartPoolsRow)>,
    /// Workers that get no starts, with their new records.
    pub silent_workers: Vec<(InstanceId, SilentWorkerRow)>,
    /// Workers whose records are to be removed.
    pub answering_workers: Vec<InstanceId>,
    /// Last ended run that may be acknowledged after the write, by worker and incarnation.
    pub ends: Vec<(WorkerKey, BootId, u64)>,
}

impl ProgressChanges {
    /// Returns the number of rows that the batch puts or removes.
    pub fn rows(&self) -> usize {
        self.jobs.len()
            + self.start_pools.len()
            + self.silent_workers.len()
            + self.answering_workers.len()
    }
}

impl Engine {
    /// Returns whether there is progress to persist.
    pub fn has_changes(&self) -> bool {
        !self.unpersisted.is_empty()
            || !self.unpersisted_start_pools.is_empty()
            || self.has_silent_record_changes()
            || !self.unpersisted_withdrawals.is_empty()
    }

    /// Takes progress that has not been persisted, for at most `rows_max` rows.
    ///
    /// Ended jobs come first: their callers wait for the phase, which becomes visible once it is persisted. Progress
    /// that was taken before must have been persisted: one write is in flight at a time.
    pub fn take_changes(&mut self, rows_max: usize) -> ProgressChanges {
        // After a change of a route many jobs need a row of start pools, which must not delay all progress.
        let start_pools = self.take_start_pools(rows_max / 2);
        let (silent_workers, answering_workers) =
            self.take_silent_records((rows_max - start_pools.len()) / 2);
        let records = silent_workers.len() + answering_workers.len();
        let jobs_max = rows_max - start_pools.len() - records;
        let mut keys: Vec<JobKey> = self.unpersisted.iter().copied().collect();
        if keys.len() > jobs_max {
            let ended = |key: &JobKey| self.jobs.get(*key).is_some_and(|job| job.phase.is_ended());
            keys.sort_by_key(|key| !ended(key));
            keys.truncate(jobs_max);
        }
        let mut changes = ProgressChanges {
            start_pools,
            silent_workers,
            answering_workers,
            ..ProgressChanges::default()
        };
        for key in keys {
            self.unpersisted.remove(&key);
            let Some(job) = self.jobs.get_mut(key) else { continue };
            // Completed occurrences are left out of the row.
            let row = progress_of(job.phase, job.next_occurrence, &job.occurrences);
            changes.jobs.push((key, job.submission.job.clone(), row));
        }
        for (key, worker) in &self.workers {
            let persisted = worker.last_end_persisted_without(&self.unpersisted);
            if persisted > worker.last_end_persisted {
                changes.ends.push((key, worker.incarnation, persisted));
            }
        }
        changes
    }

    /// Records that changes have been persisted.
    pub fn confirm_changes(&mut self, changes: &ProgressChanges) {
        for (key, _, row) in &changes.jobs {
            if let Some(job) = self.jobs.get_mut(*key) {
                job.visible_phase = row.phase.max(job.visible_phase);
                job.occurrences_persisted = row.next_occurrence.max(job.occurrences_persisted);
                if row.phase.is_ended() {
                    self.retiring.insert(*key);
                }
            }
        }
        for (key, _, row) in &changes.start_pools {
            self.confirm_start_pools(*key, row);
        }
        self.confirm_silent_records(&changes.silent_workers, &changes.answering_workers);
        for (key, incarnation, number) in &changes.ends {
            if let Some(worker) = self.workers.get_mut(*key)
                && worker.incarnation == *incarnation
            {
                worker.record_ends_persisted(*number);
            }
        }
    }

    /// Returns at most `jobs_max` ended jobs of which only the phase is still needed.
    ///
    /// Their rows can be removed except for the progress, so that a takeover reads only live jobs.
    pub fn retirable_jobs(&self, jobs_max: usize) -> Vec<(JobKey, JobId)> {
        let known = self.retiring.iter().filter_map(|key| Some((*key, self.jobs.get(*key)?)));
        known
            .filter(|(_, job)| !job.has_runs())
            .map(|(key, job)| (key, job.submission.job.clone()))
            .take(jobs_max)
            .collect()
    }

    /// Records that the rows of jobs have been removed, and drops their submissions.
    ///
    /// A run of such a job that a worker still reports matches no task of the engine, and is stopped.
    pub fn mark_retired(&mut self, keys: &[(JobKey, JobId)]) {
        for (key, id) in keys {
            // A run that a worker has reported since the write keeps its place in the account until it has stopped.
            if self.jobs.get(*key).is_some_and(Job::has_runs) {
                continue;
            }
            self.retiring.remove(key);
            if let Some(job) = self.jobs.get_mut(*key) {
                job.submission = Arc::new(Submission::id_only(id.clone()));
                job.occurrences.clear();
                job.retired = true;
            }
        }
    }

    /// Restores a job of which only the phase is kept.
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

    /// Restores a job from its rows.
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
        job.occurrences_persisted = progress.next_occurrence;
        if progress.phase.is_ended() {
            // The tasks stay until the job is retired: runs of theirs that have not stopped count as taken.
            job.ended = Some(now);
            self.live.remove(&key);
            self.unpersisted.remove(&key);
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

    /// Removes at most `jobs_max` ended jobs whose status has been kept for long enough; returns their ids.
    ///
    /// All of them have been retired before, so that each has one row left.
    pub fn remove_expired_jobs(&mut self, now: Instant, jobs_max: usize) -> Vec<JobId> {
        let retention = self.limits.status_retention;
        let expired = |ended: Instant| now.saturating_duration_since(ended) > retention;
        let keys: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.retired && job.ended.is_some_and(expired))
            .map(|(key, _)| key)
            .take(jobs_max)
            .collect();
        let remove = |key: JobKey| self.jobs.remove(key).map(|job| job.submission.job.clone());
        let ids: Vec<JobId> = keys.into_iter().filter_map(remove).collect();
        for id in &ids {
            self.job_keys.remove(id);
        }
        ids
    }
}

/// Additional time for which the rows of ended jobs are kept, to cover changes of the owner.
pub const STATUS_RETENTION_MARGIN: Duration = Duration::from_secs(30);

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
