//! Records in the store of the workers that do not answer and therefore get no starts.
//!
//! A successor cannot tell what runs on a worker that does not answer. Without a record it has to assume that any unfinished
//! task of the worker's pool may run there. The owner therefore stops sending starts to a worker that has become unresponsive, and
//! then records which tasks may be running there or may still begin. It uses the worker again only once the store has confirmed
//! the removal of the record, so that a record which a successor reads is never outdated. See docs/design/silent-workers.md.

use std::collections::BTreeSet;
use std::time::Instant;

use wasabiswitch_derive::derives;

use super::job::{TaskName, TaskRef};
use super::maintenance::Instance;
use super::placement::UNRESPONSIVE_AFTER;
use super::state::Engine;
use crate::ids::InstanceId;

/// Version of a row, which grows with each write to any row.
pub type RowVersion = u64;

/// Maximum number of tasks that a record names. A record with more names none, since a row holds 64 KiB and a name takes up to
/// 30 bytes.
const TASKS_MAX: usize = 1_500;
/// Maximum number of records that one write puts or removes; the other rows of a write are for jobs and their progress.
const ROWS_PER_WRITE_MAX: usize = 25;

/// Row of a worker to which the owner sends no starts.
#[derives(record)]
pub struct SilentWorkerRow {
    /// Tasks that may be running on the worker or may still begin there; `None` for any task of a job whose row is older than
    /// this one.
    pub tasks: Option<Vec<TaskName>>,
}

/// Record of an earlier owner, as the store has it.
#[derives(record)]
pub struct StoredSilentWorker {
    /// Worker that the record is of.
    pub worker: InstanceId,
    /// Version of the row.
    pub version: RowVersion,
    /// Content of the row; `None` if it cannot be decoded, so that the worker may be running any task of its pool.
    pub row: Option<SilentWorkerRow>,
}

/// Record of a worker, as this owner knows it.
#[derives(value)]
pub(super) struct SilentRecord {
    /// State of the record in the store.
    state: RecordState,
    /// Time at which the worker was found unresponsive; `None` for a record of an earlier owner.
    requested: Option<Instant>,
}

/// State of the record of a worker in the store.
#[derives(value)]
enum RecordState {
    /// The record has to be written.
    Requested,
    /// A write that contains the record is in flight.
    Writing,
    /// The store has the record.
    Stored,
    /// A write that removes the record is in flight.
    Removing,
}

/// Tasks that may be running on a silent worker.
#[derives(record)]
pub(super) enum PossibleTasks {
    /// Any task that may have been started in the worker's pool.
    Any,
    /// Tasks of the jobs whose row is older than the record.
    OfOlderJobs(RowVersion),
    /// Only these tasks.
    Only(BTreeSet<TaskRef>),
}

impl PossibleTasks {
    /// Returns whether a task may be among them, given the version of its job's row.
    pub(super) fn contain(&self, task: &TaskRef, job_version: RowVersion) -> bool {
        match self {
            PossibleTasks::Any => true,
            PossibleTasks::OfOlderJobs(version) => job_version < *version,
            PossibleTasks::Only(tasks) => tasks.contains(task),
        }
    }
}

impl Engine {
    /// Returns whether a worker has a record, so that it must not get starts.
    pub(super) fn has_silent_record(&self, worker: &InstanceId) -> bool {
        self.silent_records.contains_key(worker)
    }

    /// Requests a record of each worker that has become unresponsive, and of each that has been silent since the takeover.
    ///
    /// The time counts from the arrival of the last answer. The request of that answer is older by the worker's wait for an end of
    /// a task, so that a worker without tasks that answers each request would count as unresponsive before each second answer.
    ///
    /// A worker that was listed later and has not answered yet has had no owner that could have started tasks there.
    pub(super) fn request_silent_records(&mut self, now: Instant) {
        let is_silent = |at: Instant| now.saturating_duration_since(at) > UNRESPONSIVE_AFTER;
        let workers = self.workers.values().filter(|w| w.last_answer.is_some_and(is_silent));
        let mut silent: Vec<InstanceId> = workers.map(|worker| worker.entry.id.clone()).collect();
        silent.extend(self.silent_workers.ids().cloned());
        for worker in silent {
            let record = SilentRecord { state: RecordState::Requested, requested: Some(now) };
            self.silent_records.entry(worker).or_insert(record);
        }
        let mut records = std::mem::take(&mut self.silent_records);
        records.retain(|worker, record| {
            record.state != RecordState::Requested || !self.is_record_unneeded(worker, record)
        });
        self.silent_records = records;
    }

    /// Returns whether records have to be written or removed.
    pub(super) fn has_silent_record_changes(&self) -> bool {
        self.silent_records.iter().any(|(worker, record)| match record.state {
            RecordState::Requested => true,
            RecordState::Stored => self.is_record_unneeded(worker, record),
            RecordState::Writing | RecordState::Removing => false,
        })
    }

    /// Returns whether a worker that answers again waits for the removal of its record.
    pub fn has_record_removals(&self) -> bool {
        self.silent_records.iter().any(|(worker, record)| {
            record.state == RecordState::Stored && self.is_record_unneeded(worker, record)
        })
    }

    /// Returns whether a worker has answered since its record was requested, or is on no instance any more.
    fn is_record_unneeded(&self, worker: &InstanceId, record: &SilentRecord) -> bool {
        match self.worker_key(worker).and_then(|key| self.workers.get(key)) {
            Some(worker) => {
                worker.report_missed_at.is_none()
                    && worker.last_contact.is_some_and(|at| record.requested.is_none_or(|t| at > t))
            }
            None => {
                let on_instance = |instance: &Instance| instance.worker.as_ref() == Some(worker);
                // Without a list of instances the worker may be running although it is not listed.
                !self.silent_workers.is_any_pool()
                    && !self.silent_workers.ids().any(|id| id == worker)
                    && !self.instances.values().any(on_instance)
            }
        }
    }

    /// Takes at most `rows_max` records to write, and the workers whose records are to be removed.
    pub(super) fn take_silent_records(
        &mut self,
        rows_max: usize,
    ) -> (Vec<(InstanceId, SilentWorkerRow)>, Vec<InstanceId>) {
        let rows_max = rows_max.min(ROWS_PER_WRITE_MAX);
        let (mut puts, mut removes) = (Vec::new(), Vec::new());
        let mut records = std::mem::take(&mut self.silent_records);
        for (worker, record) in &mut records {
            if puts.len() + removes.len() >= rows_max {
                break;
            }
            match record.state {
                RecordState::Requested => {
                    let row = SilentWorkerRow { tasks: self.possible_tasks_of(worker) };
                    record.state = RecordState::Writing;
                    puts.push((worker.clone(), row));
                }
                RecordState::Stored if self.is_record_unneeded(worker, record) => {
                    record.state = RecordState::Removing;
                    removes.push(worker.clone());
                }
                RecordState::Stored | RecordState::Writing | RecordState::Removing => {}
            }
        }
        self.silent_records = records;
        (puts, removes)
    }

    /// Records that the store has the records of some workers, and has removed those of others.
    pub(super) fn confirm_silent_records(
        &mut self,
        puts: &[(InstanceId, SilentWorkerRow)],
        removes: &[InstanceId],
    ) {
        for (worker, _) in puts {
            if let Some(record) = self.silent_records.get_mut(worker) {
                record.state = RecordState::Stored;
            }
        }
        for worker in removes {
            self.silent_records.remove(worker);
        }
    }

    /// Restores the records that an earlier owner has written. The jobs have to be restored before.
    pub fn restore_silent_records(&mut self, records: Vec<StoredSilentWorker>) {
        for StoredSilentWorker { worker, version, row } in records {
            let tasks = match row.map(|row| row.tasks) {
                // A task of a job that is not known any more has ended.
                Some(Some(names)) => PossibleTasks::Only(
                    names.iter().filter_map(|name| self.task_ref(name)).collect(),
                ),
                Some(None) => PossibleTasks::OfOlderJobs(version),
                None => PossibleTasks::Any,
            };
            let record = SilentRecord { state: RecordState::Stored, requested: None };
            self.silent_records.insert(worker.clone(), record);
            self.restored_silent_records.insert(worker, tasks);
        }
    }

    /// Records the version of a restored job's row, with which records of silent workers are compared.
    pub fn restore_row_version(&mut self, job: &str, version: RowVersion) {
        if let Some(key) = self.job_key(job) {
            self.jobs[key].row_version = version;
        }
    }

    /// Returns the tasks that may be running on a worker or may still begin there; `None` if this owner does not know them, since
    /// the worker has not answered it.
    fn possible_tasks_of(&self, worker: &InstanceId) -> Option<Vec<TaskName>> {
        let worker = &self.workers[self.worker_key(worker)?];
        if worker.last_contact.is_none() && self.fence > 1 {
            return None;
        }
        let runs = worker.runs.iter().filter_map(|(task, _)| self.task_name(task));
        let in_doubt = worker.starts_in_doubt.keys().chain(worker.orphans.keys());
        let tasks: BTreeSet<TaskName> =
            runs.chain(in_doubt.map(|(name, _)| name.clone())).collect();
        (tasks.len() <= TASKS_MAX).then(|| tasks.into_iter().collect())
    }
}
