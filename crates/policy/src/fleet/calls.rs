//! What callers ask of a queue, and the answers, whatever front end they come through.

use std::time::Duration;

use wasabiswitch_derive::derives;

use super::config::ConfigVersion;
use super::spec::Submission;
use super::state::Phase;
use crate::ids::{DaemonId, JobId, QueueId};

/// What a caller asks.
#[derives(record)]
pub enum QueueOperation {
    /// Accept a job.
    Submit(Box<Submission>),
    /// Tell a job's phase.
    State(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Count the jobs of which nothing has started.
    Pending,
}

impl QueueOperation {
    /// Returns the name used in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            QueueOperation::Submit(_) => "submit",
            QueueOperation::State(_) => "state",
            QueueOperation::Cancel(_) => "cancel",
            QueueOperation::Pending => "pending",
        }
    }
}

/// A call as one daemon passes it on to the owner.
#[derives(record)]
pub struct Call {
    /// Names the call in the logs of all daemons that it passes.
    pub request_id: u64,
    /// The configuration that the sender went by; an owner with an older one must not answer.
    pub config_version: ConfigVersion,
    /// The queue.
    pub queue: QueueId,
    /// What is asked.
    pub operation: QueueOperation,
}

/// How a call is answered.
#[derives(record)]
pub enum Reply {
    /// The job is accepted and written down.
    Accepted,
    /// The job is not accepted and never runs from this call; the reason, and when to come back.
    Refused(String, u64),
    /// The submission can never be accepted; the reason.
    Invalid(String),
    /// The job's phase.
    State(Phase),
    /// The job is cancelled, and that is written down.
    Cancelled,
    /// There is no such job.
    Gone,
    /// The number of jobs of which nothing has started.
    Pending(u64),
    /// The daemon is not the owner, or has an older configuration than the sender.
    NotOwner,
    /// Nobody can tell whether the call took effect.
    InDoubt,
}

impl Reply {
    /// Creates a refusal.
    pub fn refused(reason: impl Into<String>, retry_after: Duration) -> Reply {
        Reply::Refused(reason.into(), retry_after.as_millis() as u64)
    }
}

impl Reply {
    /// Returns the name used in logs and metrics.
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

/// A daemon that may own the fleet, and where it is reached.
#[derives(record)]
pub struct OwnerHint {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its address and port.
    pub address: String,
    /// The fence under which it owns, or is about to own, the fleet.
    pub fence: u64,
}

/// A daemon's question for another's part in the ownership.
#[derives(record)]
pub struct StatusRequest {
    /// The daemon that asks.
    pub daemon: DaemonId,
    /// Where it is reached, so that the asked daemon can tell others of it.
    pub address: String,
}

/// What a daemon tells another about its part in the ownership.
#[derives(record)]
pub struct OwnerStatus {
    /// Whether it is the owner and may act.
    pub acting: bool,
    /// The fence under which it acts.
    pub fence: u64,
    /// Its configuration's version.
    pub config_version: ConfigVersion,
    /// The processors of its instance, in thousandths of a core.
    pub processor_milli: u32,
    /// The writes of its term that were confirmed.
    pub writes: u64,
    /// Whether it is the owner and would give the fleet up to a daemon that reaches the store.
    pub store_lost: bool,
    /// The owner that it knows of, for daemons that cannot read the store.
    pub owner: Option<OwnerHint>,
    /// Some other daemons, by address and port.
    pub peers: Vec<String>,
}

/// A daemon's request that an owner without the store give the fleet up to it.
#[derives(record)]
pub struct StepDownRequest {
    /// The daemon that asks, and the fence under which it will own the fleet.
    pub successor: OwnerHint,
}

/// A daemon's request that the owner hand over to a larger instance.
#[derives(record)]
pub struct HandOverRequest {
    /// The daemon that asks.
    pub daemon: DaemonId,
    /// The processors of its instance, in thousandths of a core.
    pub processor_milli: u32,
}
