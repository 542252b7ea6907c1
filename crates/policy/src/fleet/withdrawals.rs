//! Cancellations of jobs that have not been accepted.
//!
//! A submission may still be on its way when its job is cancelled: a daemon holds and repeats it, also after its client has left,
//! and a copy may arrive seconds later, at this owner or at its successor. "No such job" may therefore be answered only once
//! the job's id is on record as withdrawn. A submission with such an id is accepted as that of a cancelled job, as a repeated
//! submission of a known job is. See docs/design/cancellations.md.

use std::collections::BTreeMap;
use std::time::Instant;

use wasabiswitch_derive::derives;

use super::state::Engine;
use crate::ids::JobId;

/// Maximum number of withdrawn ids, which a caller that cancels unknown jobs can fill up; each is a row of some 60 bytes.
pub const WITHDRAWALS_MAX: usize = 4_096;
/// Maximum number of withdrawn ids that one write adds, and of those that it removes, so that they leave half of its rows to progress.
const ROWS_PER_WRITE_MAX: usize = 25;

/// Row of a withdrawn id.
#[derives(record)]
pub struct WithdrawalRow {
    /// Fencing token of the owner that recorded the withdrawal.
    pub recorded_by: u64,
}

/// State of the record of a withdrawn id in the store.
#[derives(value)]
enum RecordState {
    /// The record has to be written, or a write that contains it is in flight.
    Unconfirmed,
    /// The store has the record.
    Stored,
}

/// A withdrawn id.
#[derives(value)]
pub(super) struct Withdrawal {
    state: RecordState,
    /// Time from which the record is kept.
    since: Instant,
}

/// Changes of the withdrawn ids to persist.
#[derives(record)]
#[derive(Default)]
pub struct WithdrawalChanges {
    /// Ids to record.
    pub added: Vec<JobId>,
    /// Ids whose records are removed.
    pub expired: Vec<JobId>,
}

impl WithdrawalChanges {
    /// Returns the number of rows that the changes put or remove.
    pub fn rows(&self) -> usize {
        self.added.len() + self.expired.len()
    }
}

impl Engine {
    /// Withdraws an id, so that a job with it is cancelled as soon as it is accepted; returns whether there was room for the
    /// record.
    pub fn withdraw(&mut self, id: &JobId, now: Instant) -> bool {
        if !self.withdrawals.contains_key(id) {
            if self.withdrawals.len() >= WITHDRAWALS_MAX {
                return false;
            }
            let withdrawal = Withdrawal { state: RecordState::Unconfirmed, since: now };
            self.withdrawals.insert(id.clone(), withdrawal);
            self.unpersisted_withdrawals.insert(id.clone());
        }
        true
    }

    /// Returns whether an id is withdrawn.
    pub fn is_withdrawn(&self, id: &str) -> bool {
        self.withdrawals.contains_key(id)
    }

    /// Returns whether the store has the record of a withdrawn id, so that the cancellation outlasts this owner.
    pub fn is_withdrawal_stored(&self, id: &str) -> bool {
        self.withdrawals.get(id).is_some_and(|w| w.state == RecordState::Stored)
    }

    /// Restores the ids that an earlier owner has withdrawn, after the jobs; cancels those that it accepted and had no time to
    /// cancel.
    pub fn restore_withdrawals(&mut self, ids: impl IntoIterator<Item = JobId>, now: Instant) {
        let withdrawal = Withdrawal { state: RecordState::Stored, since: now };
        for id in ids {
            self.withdrawals.insert(id.clone(), withdrawal);
            self.cancel_if_withdrawn(&id, now);
        }
    }

    /// Takes changes of the withdrawn ids for at most `rows_max` rows.
    pub fn take_withdrawals(&mut self, rows_max: usize, now: Instant) -> WithdrawalChanges {
        let mut changes = WithdrawalChanges::default();
        while changes.added.len() < rows_max.min(ROWS_PER_WRITE_MAX)
            && let Some(id) = self.unpersisted_withdrawals.pop_first()
        {
            changes.added.push(id);
        }
        let is_expired = |withdrawal: &Withdrawal| {
            withdrawal.state == RecordState::Stored
                && now.saturating_duration_since(withdrawal.since) > self.limits.status_retention
        };
        let expired = self.withdrawals.iter().filter(|(_, withdrawal)| is_expired(withdrawal));
        let rows_left = (rows_max - changes.added.len()).min(ROWS_PER_WRITE_MAX);
        changes.expired = expired.map(|(id, _)| id.clone()).take(rows_left).collect();
        changes
    }

    /// Records that changes of the withdrawn ids have been persisted.
    pub fn confirm_withdrawals(&mut self, changes: &WithdrawalChanges) {
        for id in &changes.added {
            if let Some(withdrawal) = self.withdrawals.get_mut(id) {
                withdrawal.state = RecordState::Stored;
            }
        }
        for id in &changes.expired {
            self.withdrawals.remove(id);
        }
    }

    /// Cancels a job whose id is withdrawn, unless it has ended. Callers see the cancellation once one of the two records of it is
    /// stored.
    pub(super) fn cancel_if_withdrawn(&mut self, id: &JobId, now: Instant) {
        if !self.is_withdrawn(id) || !self.cancel(id, now) {
            return;
        }
        let key = self.job_key(id).filter(|_| self.is_withdrawal_stored(id));
        if let Some(job) = key.and_then(|key| self.jobs.get_mut(key)) {
            job.visible_phase = job.phase;
        }
    }
}

/// Table of the withdrawn ids, as the engine keeps it.
pub(super) type Withdrawals = BTreeMap<JobId, Withdrawal>;
