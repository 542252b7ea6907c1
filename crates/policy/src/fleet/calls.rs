//! Calls to a queue and their replies, independent of the front end, and calls between daemons about ownership.

use std::time::Duration;

use wasabiswitch_derive::derives;

use super::config::ConfigVersion;
use super::spec::Submission;
use super::state::Phase;
use crate::ids::{DaemonId, JobId, QueueId};

/// Operation of a caller on a queue.
#[derives(record)]
pub enum QueueOperation {
    /// Submits a job.
    Submit(Box<Submission>),
    /// Reads a job's phase.
    State(JobId),
    /// Cancels a job.
    Cancel(JobId),
    /// Counts the jobs of which no task has started.
    Pending,
}

impl QueueOperation {
    /// Returns the name of the operation in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            QueueOperation::Submit(_) => "submit",
            QueueOperation::State(_) => "state",
            QueueOperation::Cancel(_) => "cancel",
            QueueOperation::Pending => "pending",
        }
    }
}

/// A call to a queue, as a daemon forwards it to the owner.
#[derives(record)]
pub struct Call {
    /// Id of the call in the logs of all daemons that handle it.
    pub request_id: u64,
    /// Version of the sender's configuration; an owner with an older one must not answer.
    pub config_version: ConfigVersion,
    /// Queue to which the call applies.
    pub queue: QueueId,
    /// Operation on the queue.
    pub operation: QueueOperation,
}

/// Reply to a call.
#[derives(record)]
pub enum Reply {
    /// The job is accepted and persisted.
    Accepted,
    /// The job is not accepted and will not run because of this call; the reason, and the time after which to
    /// retry, in milliseconds.
    Refused(String, u64),
    /// The submission can never be accepted; the reason.
    Invalid(String),
    /// The job's phase.
    State(Phase),
    /// The job is cancelled, and the cancellation is persisted.
    Cancelled,
    /// The job or the queue does not exist.
    Gone,
    /// Number of jobs of which no task has started.
    Pending(u64),
    /// The daemon is not the owner, or has an older configuration than the sender.
    NotOwner,
    /// The call may have taken effect or not; its outcome is unknown.
    InDoubt,
}

impl Reply {
    /// Creates a refusal with a delay in whole milliseconds.
    pub fn refused(reason: impl Into<String>, retry_after: Duration) -> Reply {
        Reply::Refused(reason.into(), retry_after.as_millis() as u64)
    }
}

impl Reply {
    /// Returns the name of the reply in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Reply::Accepted => "accepted",
            Reply::Refused(..) => "refused",
            Reply::Invalid(_) => "invalid",
            Reply::State(_) => "state",
            Reply::Cancelled => "cancelled",
            Reply::Gone => "gone",
            Reply::Pending(_) => "pending",
            Reply::NotOwner => "not-owner",
            Reply::InDoubt => "in-doubt",
        }
    }
}

/// A daemon that may own the fleet, and its address.
#[derives(record)]
pub struct OwnerHint {
    /// Daemon that owns the fleet or is about to own it.
    pub daemon: DaemonId,
    /// Address and port of the daemon.
    pub address: String,
    /// Fencing token of the daemon's term.
    pub fence: u64,
}

/// A request for the ownership status of another daemon.
#[derives(record)]
pub struct StatusRequest {
    /// Daemon that sends the request.
    pub daemon: DaemonId,
    /// Address of the sender, which the receiver passes on to other daemons.
    pub address: String,
}

/// Ownership status of a daemon.
#[derives(record)]
pub struct OwnerStatus {
    /// Whether the daemon is the owner and may act.
    pub acting: bool,
    /// Fencing token of the daemon's term; zero without one.
    pub fence: u64,
    /// Version of the daemon's configuration.
    pub config_version: ConfigVersion,
    /// Processor capacity of the daemon's instance, in thousandths of a core.
    pub processor_milli: u32,
    /// Number of confirmed writes in the daemon's term.
    pub writes: u64,
    /// Whether the daemon is the owner and would step down for a daemon that reaches the store.
    pub store_lost: bool,
    /// Owner that the daemon knows, for daemons that cannot read the store.
    pub owner: Option<OwnerHint>,
    /// Addresses and ports of some other daemons.
    pub peers: Vec<String>,
}

/// A request that an owner which has lost the store step down in favour of the sender.
#[derives(record)]
pub struct StepDownRequest {
    /// Daemon that sends the request, with the fencing token of its future term.
    pub successor: OwnerHint,
}

/// A request that the owner hand over to the sender, which is on a larger instance.
#[derives(record)]
pub struct HandOverRequest {
    /// Daemon that sends the request.
    pub daemon: DaemonId,
    /// Processor capacity of the sender's instance, in thousandths of a core.
    pub processor_milli: u32,
}
