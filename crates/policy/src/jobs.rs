//! State machine of a job, stored in one row and fenced by session and attempt.
//!
//! A job's row names the daemon that may start the job and the number of the attempt. A worker
//! rejects a start whose attempt is older than one that it has received, and stops a task whose
//! lease expires. A job that may run at most once is therefore never started again while an earlier
//! attempt could still be running.

use std::collections::BTreeSet;

use wasabiswitch_derive::derives;

use crate::ids::{DaemonId, Epoch, InstanceId, KeyId, QueueId, TeamId};

/// Resources that a job requires or a worker provides.
#[derives(value)]
#[derive(Default)]
pub struct Resources {
    /// Processor capacity, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether `available` covers `self` in every resource.
    pub fn fits(&self, available: &Resources) -> bool {
        self.cpu_milli <= available.cpu_milli
            && self.memory_bytes <= available.memory_bytes
            && self.accelerators <= available.accelerators
    }

    /// Subtracts `used` from each resource, saturating at zero.
    pub fn saturating_sub(&self, used: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(used.cpu_milli),
            memory_bytes: self.memory_bytes.saturating_sub(used.memory_bytes),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }
}

/// Specification of a job, as submitted.
#[derives(record)]
pub struct JobSpec {
    /// Team that the job is charged to.
    pub team: TeamId,
    /// Key that authenticated the submission; `None` for a queue that requires no key.
    pub key: Option<KeyId>,
    /// Queue in which the job waits.
    pub queue: QueueId,
    /// Kind of work; run times are learned per team and kind.
    pub kind: String,
    /// Resources that the job requires on a worker.
    pub resources: Resources,
    /// Declared run time, in milliseconds.
    pub run_time_ms: u64,
    /// Deadline, in milliseconds after submission; zero for none.
    pub deadline_ms: u64,
    /// Whether the job may run at most once, so that an attempt in doubt is not repeated.
    pub at_most_once: bool,
    /// Input passed to the worker, opaque to the scheduler.
    pub payload: Vec<u8>,
}

/// Assignment of a job's current attempt to a worker.
#[derives(record)]
pub struct Claim {
    /// Daemon that placed the job.
    pub daemon: DaemonId,
    /// Epoch of that daemon's session.
    pub epoch: Epoch,
    /// Instance that runs the attempt.
    pub instance: InstanceId,
}

/// Final result of a job.
#[derives(value)]
pub enum Outcome {
    /// The job ran and succeeded.
    Done,
    /// The job ran and failed.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// No worker of the pool can ever run the job, and none has.
    Impossible,
    /// The outcome is unknown: the only attempt of an at-most-once job was lost.
    InDoubt,
}

/// Progress of a job.
#[derives(record)]
pub enum JobState {
    /// Waiting for a worker.
    Queued,
    /// Assigned to a worker that may be starting it.
    Claimed(Claim),
    /// Started, as the worker confirmed.
    Started(Claim),
    /// Ended with a final result.
    Ended(Outcome),
}

/// Stored row of a job.
#[derives(record)]
pub struct JobRow {
    /// Specification, as submitted.
    pub spec: JobSpec,
    /// Current state.
    pub state: JobState,
    /// Number of attempts so far, which is also the fencing token of the current attempt.
    pub attempt: u32,
    /// Workers on which the job has failed.
    pub failed_on: BTreeSet<InstanceId>,
    /// Whether cancellation was requested.
    pub cancel: bool,
    /// Human-readable reason for the current state.
    pub detail: String,
    /// Time of the end, in Unix seconds; zero while the job has not ended.
    ///
    /// It only decides when the row is dropped, a day later.
    pub ended_unix_s: u64,
}

/// Event that changes the state of a job; numbers are attempt numbers.
#[derives(record)]
pub enum Event {
    /// The job was placed on a worker.
    Claim(Claim),
    /// The worker confirmed that it started the attempt.
    Started(u32),
    /// The attempt succeeded.
    Done(u32),
    /// The attempt failed, or was stopped after a cancellation.
    Failed(u32),
    /// The worker did not start the attempt and never will.
    NotStarted(u32),
    /// The worker's lease on the attempt has expired, so the attempt is no longer running.
    Lost(u32),
    /// Cancellation was requested.
    Cancel,
    /// No worker can ever run the job, for the reason given.
    Impossible(String),
}

/// Number of distinct workers on which a job must fail before the job itself counts as failed.
pub const FAILED_ON_MAX: usize = 3;

/// Returns the row of a newly submitted job.
pub fn submit(spec: JobSpec) -> JobRow {
    JobRow {
        spec,
        state: JobState::Queued,
        attempt: 0,
        failed_on: BTreeSet::new(),
        cancel: false,
        detail: String::new(),
        ended_unix_s: 0,
    }
}

/// Returns the row after `event`, or `None` if the event does not apply to the current state and
/// attempt.
pub fn apply(row: &JobRow, event: &Event) -> Option<JobRow> {
    let mut next = row.clone();
    match (&row.state, event) {
        (JobState::Queued, Event::Claim(claim)) if !row.cancel => {
            next.attempt += 1;
            next.state = JobState::Claimed(claim.clone());
        }
        (JobState::Queued, Event::Cancel) => end(&mut next, Outcome::Cancelled, "cancelled"),
        (JobState::Queued, Event::Impossible(cause)) => end(&mut next, Outcome::Impossible, cause),
        (JobState::Claimed(_) | JobState::Started(_), Event::Cancel) => next.cancel = true,
        (JobState::Claimed(claim), Event::Started(attempt)) if *attempt == row.attempt => {
            next.state = JobState::Started(claim.clone());
        }
        (JobState::Claimed(_) | JobState::Started(_), Event::Done(attempt))
            if *attempt == row.attempt =>
        {
            end(&mut next, Outcome::Done, "");
        }
        (JobState::Claimed(claim) | JobState::Started(claim), Event::Failed(attempt))
            if *attempt == row.attempt =>
        {
            fail_attempt(&mut next, &claim.instance);
        }
        (JobState::Claimed(_), Event::NotStarted(attempt)) if *attempt == row.attempt => {
            requeue(&mut next, "the worker did not start it");
        }
        (JobState::Claimed(_) | JobState::Started(_), Event::Lost(attempt))
            if *attempt == row.attempt =>
        {
            lose_attempt(&mut next);
        }
        _ => return None,
    }
    Some(next)
}

fn end(row: &mut JobRow, outcome: Outcome, detail: &str) {
    row.state = JobState::Ended(outcome);
    row.detail = detail.to_owned();
}

fn requeue(row: &mut JobRow, detail: &str) {
    if row.cancel {
        return end(row, Outcome::Cancelled, "cancelled");
    }
    row.state = JobState::Queued;
    row.detail = detail.to_owned();
}

fn fail_attempt(row: &mut JobRow, instance: &InstanceId) {
    row.failed_on.insert(instance.clone());
    if row.cancel {
        end(row, Outcome::Cancelled, "cancelled while running");
    } else if row.spec.at_most_once || row.failed_on.len() >= FAILED_ON_MAX {
        let detail = format!("failed on {} workers", row.failed_on.len());
        end(row, Outcome::Failed, &detail);
    } else {
        requeue(row, "failed on a worker and is tried on another");
    }
}

fn lose_attempt(row: &mut JobRow) {
    if row.spec.at_most_once {
        end(row, Outcome::InDoubt, "its only attempt was lost with its worker");
    } else {
        requeue(row, "the worker's lease ran out");
    }
}
