//! Workers: what the directory says of them, and what they have and had.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use wasabiswitch_derive::derives;

use super::job::{TaskName, TaskRef};
use super::lease::ClockSample;
use super::spec::ResourceVector;
use crate::ids::{BootId, DataCentre, FailureDomain, InstanceId, PoolId};

/// What a worker says of itself in the platform's directory.
#[derives(record)]
pub struct WorkerEntry {
    /// Its id.
    pub id: InstanceId,
    /// Where it is reached.
    pub address: String,
    /// Its pool.
    pub pool: PoolId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it will leave soon and takes no new work.
    pub draining: bool,
    /// Its capacity.
    pub capacity: ResourceVector,
    /// Its labels.
    pub labels: Vec<String>,
    /// Its rack.
    pub rack: FailureDomain,
    /// Tells this life from the next under the same id.
    pub incarnation: BootId,
}

/// Why a worker takes no new tasks although it could.
#[derives(value)]
pub enum Cordon {
    /// A maintenance wave is about to take the instance down.
    Upkeep,
    /// The instance is about to change its pool.
    Move,
    /// The machine service accepted at this time to take the instance down or to move it.
    ///
    /// It also accepts what it had done before and then does nothing, so the next list of instances
    /// tells whether this life of the worker has ended.
    Called(Instant),
}

/// A run that is to be stopped although no job here has it.
#[derives(value)]
#[derive(Default)]
pub struct Orphan {
    /// When a stop was sent last, if ever.
    pub sent: Option<Instant>,
    /// Whether the stop is needed even while the worker does not list the run, as a barrier.
    pub is_barrier: bool,
}

/// A worker.
#[derives(record)]
pub struct Worker {
    /// What the directory says of it.
    pub entry: WorkerEntry,
    /// Whether the directory still lists it.
    pub listed: bool,
    /// The life that answered last; zero before the first answer.
    pub incarnation: BootId,
    /// The last reading of its clock.
    pub clock: Option<ClockSample>,
    /// A time by which everything that it runs has lapsed unless it is renewed.
    pub leases_expire_at: Instant,
    /// A time as [`Worker::leases_expire_at`] if the renewal that is on its way takes effect.
    pub leases_expire_at_if_renewed: Option<Instant>,
    /// When a call that it answered was sent.
    pub last_contact: Option<Instant>,
    /// The number of the last end that was taken in.
    pub last_end_received: u64,
    /// The number of the last end that is written down.
    pub last_end_persisted: u64,
    /// Whether its last report did not come, so that the next may be from another life.
    pub report_missed: bool,
    /// What may be running there.
    pub runs: BTreeSet<(TaskRef, u32)>,
    /// What these take of its capacity.
    pub reserved: ResourceVector,
    /// Runs there that no job here wants.
    pub orphans: BTreeMap<(TaskName, u32), Orphan>,
    /// Starts whose answer was lost, and until when the platform may still deliver them.
    pub starts_in_doubt: BTreeMap<(TaskName, u32), Instant>,
    /// Failures since the last success.
    pub consecutive_failures: u32,
    /// Until when it takes no new tasks because it failed those it had.
    pub quarantined_until: Option<Instant>,
    /// Why it takes no new tasks although it could.
    pub cordon: Option<Cordon>,
    /// Whether its gauges have changed since fillers were paced last.
    pub gauges_updated: bool,
}

impl Worker {
    /// Reports whether all that runs there is known: it has answered, and has nothing unwanted.
    pub fn is_reconciled(&self) -> bool {
        self.last_contact.is_some() && self.orphans.is_empty()
    }

    /// Returns the number of the last end that the worker may forget.
    ///
    /// A life that has just begun counts its ends anew, and must not forget those that nobody has seen.
    pub fn ack_cursor(&self) -> u64 {
        if self.report_missed { 0 } else { self.last_end_persisted }
    }

    /// Reports whether everything that it ran has surely lapsed.
    pub fn leases_expired(&self, now: Instant) -> bool {
        self.leases_expire_at.max(self.leases_expire_at_if_renewed.unwrap_or(self.leases_expire_at))
            <= now
    }

    /// Returns what is free.
    pub fn free(&self) -> ResourceVector {
        self.entry.capacity.saturating_sub(&self.reserved)
    }
}
