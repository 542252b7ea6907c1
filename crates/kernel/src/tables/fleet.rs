//! What a daemon knows of the users' platform, and what it holds while it owns the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use wasabiswitch_policy::fleet::Engine;
use wasabiswitch_policy::fleet::config::FleetConfig;
use wasabiswitch_policy::fleet::maintenance::WaveNumber;
use wasabiswitch_policy::fleet::ownership::OwnerHeartbeat;
use wasabiswitch_policy::fleet::progress::JobRow;
use wasabiswitch_policy::ids::{DaemonId, JobId};

use crate::platform::fleet::WaveRequest;

/// The daemon that owns the fleet, as far as this one knows.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownOwner {
    /// The daemon.
    pub daemon: DaemonId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its fence.
    pub fence: u64,
}

/// What every daemon knows.
#[derive(Debug, Default)]
pub struct FleetView {
    /// The newest configuration; it never goes back in a process's life.
    pub config: Option<Arc<FleetConfig>>,
    /// The waves that the operator asks for, with the time when each was first seen.
    pub waves: BTreeMap<WaveNumber, (WaveRequest, Instant)>,
    /// The owner.
    pub owner: Option<KnownOwner>,
    /// What the owner has said of itself last.
    pub owner_heartbeat: Option<OwnerHeartbeat>,
    /// Where other daemons are reached, and when each was heard of last.
    pub peers: BTreeMap<SocketAddr, Instant>,
}

/// What came of writing a job down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// It is written down.
    Written,
    /// It is certainly not, and will not be, because the store takes no writes now.
    NotWritten,
    /// It is certainly not, and will not be by this daemon, which no longer owns the fleet.
    TermEnded,
}

/// A job that waits to be written down.
#[derive(Debug)]
pub struct PendingAccept {
    /// The row.
    pub row: JobRow,
    /// When it came.
    pub since: Instant,
    /// Who waits; a job that arrived twice has several.
    pub waiters: Vec<oneshot::Sender<AcceptOutcome>>,
}

/// What the owner holds.
#[derive(Debug)]
pub struct Term {
    /// The state machine.
    pub engine: Engine,
    /// When the last confirmed write of the owner's row was sent.
    pub confirmed_sent: Instant,
    /// The writes of the term that were confirmed.
    pub writes: u64,
    /// Since when the owner's writes have failed or been overdue, if they do.
    pub write_failing_since: Option<Instant>,
    /// How long the last write took.
    pub last_write_duration: Duration,
    /// The jobs that wait to be written down, by id.
    pub accepts: BTreeMap<JobId, PendingAccept>,
    /// Who waits for the jobs of the write that is under way, by job.
    pub writing: BTreeMap<JobId, Vec<oneshot::Sender<AcceptOutcome>>>,
    /// The requests whose submission was refused, and when; a delayed copy must not be accepted.
    pub refused_requests: BTreeMap<u64, Instant>,
    /// Who waits for all progress so far to be written down.
    pub flush_waiters: Vec<oneshot::Sender<()>>,
    /// The waves whose progress is not written down.
    pub waves_changed: BTreeSet<WaveNumber>,
    /// Whether a worker or the store has shown a newer owner.
    pub superseded: bool,
    /// Whether a larger instance has asked for the ownership.
    pub hand_over_requested: bool,
}
