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
use wasabiswitch_policy::fleet::state::JobKey;
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

/// Place of a job on its way from the submission to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPlace {
    /// The engine knows the job, which has been accepted.
    Known(JobKey),
    /// The job's row is in the write that is under way, so that it may be stored already.
    BeingWritten,
    /// The job's row waits for the next write.
    Waiting,
    /// The job was cancelled before it was accepted.
    Withdrawn,
    /// This owner has had no submission of the job. Another daemon may still hold one.
    Absent,
}

impl JobPlace {
    /// Returns the place as a value of the log.
    pub fn as_str(self) -> &'static str {
        match self {
            JobPlace::Known(_) => "known",
            JobPlace::BeingWritten => "being-written",
            JobPlace::Waiting => "waiting",
            JobPlace::Withdrawn => "withdrawn",
            JobPlace::Absent => "absent",
        }
    }
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
    /// Waves whose progress or calls have changed since they were last stored.
    pub waves_changed: BTreeSet<WaveNumber>,
    /// Calls to the instance service that wait until their record is stored.
    pub wave_record_waiters: Vec<oneshot::Sender<()>>,
    /// Whether a worker or the store has reported a newer owner.
    pub superseded: bool,
    /// Whether a daemon on a larger instance has requested the ownership.
    pub hand_over_requested: bool,
}

impl Term {
    /// Returns where a job is now; all calls about one job decide by it.
    pub fn locate(&self, job: &str) -> JobPlace {
        if let Some(key) = self.engine.job_key(job) {
            JobPlace::Known(key)
        } else if self.write_waiters.contains_key(job) {
            JobPlace::BeingWritten
        } else if self.accepts.contains_key(job) {
            JobPlace::Waiting
        } else if self.engine.is_withdrawn(job) {
            JobPlace::Withdrawn
        } else {
            JobPlace::Absent
        }
    }

    /// Returns a receiver of the outcome of a job's write, or `None` if no write of the job is outstanding.
    pub fn wait_for_accept(&mut self, job: &str) -> Option<oneshot::Receiver<AcceptOutcome>> {
        let waiting = self.accepts.get_mut(job).map(|pending| &mut pending.waiters);
        let waiters = waiting.or_else(|| self.write_waiters.get_mut(job))?;
        let (sender, receiver) = oneshot::channel();
        waiters.push(sender);
        Some(receiver)
    }
}
