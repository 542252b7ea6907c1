//! The life of a job, in one row, fenced by session and attempt.
//!
//! A job's row says who may start it and under which attempt. A worker refuses a start whose attempt
//! is older than one it has seen, and stops a task whose lease runs out, so that a job that may run
//! only once is never started again while an earlier attempt could still be running.

use std::collections::BTreeSet;

use wasabiswitch_derive::derives;

use crate::ids::{DaemonId, Epoch, InstanceId, KeyId, QueueId, TeamId};

/// What a job needs of a worker.
#[derives(value)]
#[derive(Default)]
pub struct Resources {
    /// Processors, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Reports whether `self` fits into `room`.
    pub fn fits(&self, room: &Resources) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_bytes <= room.memory_bytes
            && self.accelerators <= room.accelerators
    }

    /// Returns what is left of `self` after `used`.
    pub fn saturating_sub(&self, used: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(used.cpu_milli),
            memory_bytes: self.memory_bytes.saturating_sub(used.memory_bytes),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }
}

/// What was submitted.
#[derives(record)]
pub struct JobSpec {
    /// The team that the job counts for.
    pub team: TeamId,
    /// The key with which it was submitted; `None` for an open queue.
    pub key: Option<KeyId>,
    /// The queue that it waits in.
    pub queue: QueueId,
    /// The kind of work, for which run times are learned.
    pub kind: String,
    /// What it needs of a worker.
    pub resources: Resources,
    /// The declared run time, in milliseconds.
    pub run_time_ms: u64,
    /// When it should have ended, in milliseconds after its submission; zero for any time.
    pub deadline_ms: u64,
    /// Whether it may run at most once.
    pub at_most_once: bool,
    /// What the worker is given.
    pub payload: Vec<u8>,
}

/// One attempt at a job.
#[derives(record)]
pub struct Claim {
    /// The daemon that placed it.
    pub daemon: DaemonId,
    /// The session of that daemon.
    pub epoch: Epoch,
    /// The worker.
    pub instance: InstanceId,
}

/// How a job ended.
#[derives(value)]
pub enum Outcome {
    /// It ran to its end.
    Done,
    /// It ran and failed.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// It can never run, and has not.
    Impossible,
    /// It may run at most once, and its only attempt was lost.
    InDoubt,
}

/// How far a job has come.
#[derives(record)]
pub enum JobState {
    /// It waits for a worker.
    Queued,
    /// A worker may be starting it.
    Claimed(Claim),
    /// A worker has confirmed that it started.
    Started(Claim),
    /// It has ended.
    Ended(Outcome),
}

/// The row of a job.
#[derives(record)]
pub struct JobRow {
    /// What was submitted.
    pub spec: JobSpec,
    /// How far it has come.
    pub state: JobState,
    /// The attempts so far; the number of the current one is its fence.
    pub attempt: u32,
    /// The workers on which it failed.
    pub failed_on: BTreeSet<InstanceId>,
    /// Whether its cancellation was asked for.
    pub cancel: bool,
    /// Why it is where it is, for people.
    pub detail: String,
    /// When it ended, in seconds of the Unix clock; zero before.
    ///
    /// The time only decides, a day later, when the row is dropped.
    pub ended_unix_s: u64,
}

/// What happens to a job.
#[derives(record)]
pub enum Event {
    /// It is placed.
    Claim(Claim),
    /// The worker started the attempt.
    Started(u32),
    /// The worker ended the attempt without error.
    Done(u32),
    /// The worker ended the attempt with an error.
    Failed(u32),
    /// The worker certainly never started the attempt.
    NotStarted(u32),
    /// The worker's lease on the attempt has run out.
    Lost(u32),
    /// Its cancellation is asked for.
    Cancel,
    /// It can never run.
    Impossible(String),
}

/// The number of different workers on which a job fails before it counts as failed itself.
pub const FAILED_ON_MAX: usize = 3;

/// Creates the row of a job that was just submitted.
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

/// Returns the row after `event`, or `None` if the event does not concern the current attempt.
pub fn apply(row: &JobRow, event: &Event) -> Option<JobRow> {
    let mut next = row.clone();
    match (&row.state, event) {
        (JobState::Queued, Event::Claim(claim)) if !row.cancel => {
            next.attempt += 1;
            next.state = JobState::Claimed(claim.clone());
        }
        (JobState::Queued, Event::Cancel) => end(&mut next, Outcome::Cancelled, "cancelled"),
        (JobState::Queued, Event::Impossible(why)) => end(&mut next, Outcome::Impossible, why),
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
            fail(&mut next, &claim.instance);
        }
        (JobState::Claimed(_), Event::NotStarted(attempt)) if *attempt == row.attempt => {
            requeue(&mut next, "the worker did not start it");
        }
        (JobState::Claimed(_) | JobState::Started(_), Event::Lost(attempt))
            if *attempt == row.attempt =>
        {
            lose(&mut next);
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

fn fail(row: &mut JobRow, instance: &InstanceId) {
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

fn lose(row: &mut JobRow) {
    if row.spec.at_most_once {
        end(row, Outcome::InDoubt, "its only attempt was lost with its worker");
    } else {
        requeue(row, "the worker's lease ran out");
    }
}
