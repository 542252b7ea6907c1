//! State of the job engine on the users' platform: the view of the fleet that every daemon has, and the state of
//! the daemon that owns the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use wasabiswitch_policy::fleet::Engine;
use wasabiswitch_policy::fleet::config::FleetConfig;
use wasabiswitch_policy::fleet::maintenance::WaveNumber;
use wasabiswitch_policy::fleet::ownership::OwnerHeartbeat;
use wasabiswitch_policy::fleet::pressure::Pressure;
use wasabiswitch_policy::fleet::progress::JobRow;
use wasabiswitch_policy::ids::{DaemonId, DataCentre, JobId};

use crate::platform::fleet::{Cursor, WaveRequest};

/// The newest owner of the fleet that this daemon knows.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownOwner {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// Address of its control listener.
    pub address: SocketAddr,
    /// Fencing token of its term.
    pub fence: u64,
}

/// View of the fleet that every daemon has.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Newest configuration seen; a process never replaces it by an older one.
    pub config: Option<Arc<FleetConfig>>,
    /// Maintenance waves that the operator has requested, each with the time when it was first seen.
    pub waves: BTreeMap<WaveNumber, (WaveRequest, Instant)>,
    /// Evacuated data centres, as of [`FleetView::operator_cursor`].
    pub evacuations: BTreeSet<DataCentre>,
    /// Position in the feed of the operator's rows up to which the evacuations are known.
    pub operator_cursor: Cursor,
    /// Newest known owner.
    pub owner: Option<KnownOwner>,
    /// Last heartbeat of the owner.
    pub owner_heartbeat: Option<OwnerHeartbeat>,
    /// Addresses of other daemons, each with the time at which it was last seen in a message.
    pub peers: BTreeMap<SocketAddr, Instant>,
}

/// Outcome of storing an accepted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// The job is stored.
    Written,
    /// The job is not stored and will not be, because the store accepts no writes now.
    NotWritten,
    /// The job is not stored and will not be by this daemon, which no longer owns the fleet.
    TermEnded,
}

/// Submitted job that waits for its write to the store.
#[derive(Debug)]
pub struct PendingAccept {
    /// Row to write.
    pub row: JobRow,
    /// Time at which the submission arrived.
    pub received_at: Instant,
    /// Submissions that wait for the outcome; a job that was submitted twice has several.
    pub waiters: Vec<oneshot::Sender<AcceptOutcome>>,
}

/// State of the owner during its term.
#[derive(Debug)]
pub struct Term {
    /// State machine of jobs, tasks and workers.
    pub engine: Engine,
    /// Load of the owner's processor and link, which sets the interval of reports.
    pub pressure: Pressure,
    /// Time at which the last confirmed write of the owner's row was sent.
    pub confirmed_sent: Instant,
    /// Number of confirmed writes of the term.
    pub writes: u64,
    /// Time since which the owner's writes have failed or been overdue; `None` while they succeed.
    pub write_failing_since: Option<Instant>,
    /// Duration of the last write.
    pub last_write_duration: Duration,
    /// Jobs that wait for the next write, by id.
    pub accepts: BTreeMap<JobId, PendingAccept>,
    /// Submissions that wait for the write in flight, by job.
    pub write_waiters: BTreeMap<JobId, Vec<oneshot::Sender<AcceptOutcome>>>,
    /// Requests whose submission was refused, with the time; a late duplicate must not be accepted.
    pub refused_requests: BTreeMap<u64, Instant>,
    /// Callers that wait until all progress so far is stored.
    pub flush_waiters: Vec<oneshot::Sender<()>>,
    /// Waves whose progress has changed since it was last stored.
    pub waves_changed: BTreeSet<WaveNumber>,
    /// Whether a worker or the store has reported a newer owner.
    pub superseded: bool,
    /// Whether a daemon on a larger instance has requested the ownership.
    pub hand_over_requested: bool,
}
