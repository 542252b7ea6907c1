//! The rows of the shared tables.

// The macro for typed keys implements a trait of `slotmap` that is unsafe to implement by hand.
#![allow(unsafe_code)]

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use hyper::client::conn::http1::SendRequest;
use metrics::Counter;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::oneshot;
use wasabiswitch_derive::derives;
use wasabiswitch_policy::burn::History;
use wasabiswitch_policy::config::{Config, Principal};
use wasabiswitch_policy::demand::RunTimes;
use wasabiswitch_policy::ids::{
    BootId, FailureDomain, Generation, InstanceId, JobId, PoolId, ServiceId, TeamId,
};
use wasabiswitch_policy::instance::{InstanceRow, PoolRow};
use wasabiswitch_policy::jobs::{JobRow, JobState};
use wasabiswitch_policy::queue::FairQueue;
use wasabiswitch_policy::retry::RetryBudget;
use wasabiswitch_policy::routing::{DrainNotice, Health};
use wasabiswitch_wire::message::ConfigDelta;

use super::table::Table;
use crate::config_document::Entries;
use crate::http::Body;

new_key_type! {
    /// Finds a key.
    pub struct KeyHandle;
    /// Finds a daemon.
    pub struct MemberHandle;
    /// Finds an instance.
    pub struct InstanceHandle;
    /// Finds a team.
    pub struct TeamHandle;
    /// Finds an upstream.
    pub struct UpstreamHandle;
    /// Finds a request that waits.
    pub struct RequestHandle;
    /// Finds a job.
    pub struct JobHandle;
}

/// A configuration in force.
#[derives(record)]
#[derive(Default)]
pub struct ActiveConfig {
    /// Its generation.
    pub generation: Generation,
    /// The digest of its entries.
    pub digest: u64,
    /// Its entries, as canonical JSON.
    pub entries: Entries,
    /// What they say.
    pub config: Config,
}

/// The configuration in force and the way that led to it.
#[derives(record)]
#[derive(Default)]
pub struct ConfigTable {
    /// The configuration in force.
    pub active: Arc<ActiveConfig>,
    /// The newest changes, oldest first, for peers that are behind.
    pub deltas: VecDeque<ConfigDelta>,
}

/// A key that may be presented.
#[derives(record)]
pub struct KeyEntry {
    /// Whom it admits.
    pub holder: Principal,
    /// The digest of its secret part.
    pub digest: [u8; 32],
}

/// An instance as this daemon knows it.
#[derives(record)]
#[derive(Default)]
pub struct InstanceEntry {
    /// Its row as last read; `None` before it was read or if there is none.
    pub row: Option<InstanceRow>,
    /// The newest boot that was listed.
    pub listed_boot: BootId,
    /// Whether the platform's list has it.
    pub listed: bool,
    /// Since when the instance has been in the state of its row, on this daemon's clock.
    pub state_since: Option<Instant>,
}

/// The instances and the rows of their pools.
#[derive(Debug, Default)]
pub struct InstancesTable {
    /// The instances, by id.
    pub table: Table<InstanceHandle, InstanceEntry>,
    /// Whether the platform's list has been read.
    pub list_read: bool,
    /// When the platform's list was last asked for.
    pub listed_at: Option<Instant>,
    /// The daemons over which the upstreams' connections are divided.
    pub daemons: usize,
    /// The change up to which the rows were read; `None` before the first read.
    pub feed_sequence: Option<u64>,
    /// The pools' rows as last read.
    pub pools: BTreeMap<PoolId, PoolRow>,
}

/// The outcomes of one service for one team.
#[derive(Clone, Debug)]
pub struct ServiceStats {
    /// The requests by time.
    pub history: History,
    /// The counters of requests, by verdict.
    pub requests: [Counter; 3],
    /// The times from entry to the head of the answer.
    pub seconds: metrics::Histogram,
}

/// A team at this daemon.
#[derive(Clone, Debug)]
pub struct TeamEntry {
    /// Its weight.
    pub weight: u32,
    /// Its limit across the fleet, in slots.
    pub limit_slots: u32,
    /// The slots that this daemon's session holds.
    pub held_slots: u32,
    /// The requests that are running through this daemon.
    pub running: u32,
    /// The requests that wait at this daemon.
    pub waiting: u32,
    /// When the held slots were last needed.
    pub slots_needed_at: Instant,
    /// Whether the last request for slots was not met, and when it was made.
    pub short_since: Option<Instant>,
    /// Whether the last request for slots failed at the table service.
    pub slot_request_failed: bool,
    /// Until when another daemon is known to be short of slots.
    pub others_short_until: Option<Instant>,
    /// The retry budgets, by service.
    pub budgets: HashMap<ServiceId, RetryBudget>,
    /// The outcomes, by service.
    pub stats: HashMap<ServiceId, ServiceStats>,
}

impl TeamEntry {
    /// Creates the entry of a team without slots.
    pub fn new(weight: u32, limit_slots: u32, now: Instant) -> TeamEntry {
        TeamEntry {
            weight,
            limit_slots,
            held_slots: 0,
            running: 0,
            waiting: 0,
            slots_needed_at: now,
            short_since: None,
            slot_request_failed: false,
            others_short_until: None,
            budgets: HashMap::new(),
            stats: HashMap::new(),
        }
    }

    /// Returns the slots that the team could use here now.
    pub fn demand_slots(&self) -> u32 {
        self.running + self.waiting
    }
}

/// The teams.
#[derive(Debug, Default)]
pub struct TeamsTable {
    /// The teams, by id.
    pub table: Table<TeamHandle, TeamEntry>,
}

/// A connection to an upstream that is ready for a request.
pub type Connection = SendRequest<Body>;

/// An upstream at this daemon.
#[derive(Debug)]
pub struct UpstreamEntry {
    /// The instance.
    pub instance: InstanceId,
    /// Where it serves.
    pub address: SocketAddr,
    /// The pool that it serves.
    pub pool: PoolId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The requests that this daemon may have running there.
    pub capacity: u32,
    /// The requests that this daemon has running there.
    pub outstanding: u32,
    /// Its boot, as last listed.
    pub boot: BootId,
    /// Whether its row says that it serves.
    pub serving: bool,
    /// Since when it has served.
    pub serving_since: Instant,
    /// The boots that are leaving.
    pub leaving: DrainNotice,
    /// Its recent outcomes.
    pub health: Health,
    /// Connections that are ready for a request.
    pub idle: Vec<Connection>,
}

impl UpstreamEntry {
    /// Reports whether it may get new work.
    pub fn accepts_work(&self) -> bool {
        self.serving && !self.leaving.applies_to(self.boot)
    }
}

/// The upstreams.
#[derive(Debug, Default)]
pub struct UpstreamsTable {
    /// The upstreams, by instance.
    pub table: Table<UpstreamHandle, UpstreamEntry>,
    /// The upstreams of each pool.
    pub by_pool: HashMap<PoolId, Vec<UpstreamHandle>>,
    /// The slots of the upstreams that accept work, or `None` since something has changed.
    pub slots_by_pool: Option<Arc<BTreeMap<PoolId, u32>>>,
}

/// A request that waits in front of a pool.
#[derive(Debug)]
pub struct WaitingRequest {
    /// Its team.
    pub team: TeamId,
    /// The pool.
    pub pool: PoolId,
    /// Is told when the request may run; dropping it sheds the request.
    pub admitted: oneshot::Sender<()>,
}

/// The queue in front of a pool.
#[derive(Debug)]
pub struct PoolQueue {
    /// Who waits.
    pub queue: FairQueue<RequestHandle>,
    /// The requests that are running in the pool through this daemon.
    pub running: u32,
    /// The requests that this daemon may have running in the pool.
    pub capacity: u32,
    /// The running and waiting requests of each team.
    pub demand: HashMap<TeamId, u32>,
    /// The running requests of each team.
    pub running_by_team: HashMap<TeamId, u32>,
}

impl PoolQueue {
    /// Creates a gate that lets one request through until its capacity is known.
    pub fn new(queue: FairQueue<RequestHandle>) -> PoolQueue {
        PoolQueue {
            queue,
            running: 0,
            capacity: 1,
            demand: HashMap::new(),
            running_by_team: HashMap::new(),
        }
    }

    /// Records that a request has come.
    pub fn record_arrival(&mut self, team: &TeamId) {
        match self.demand.get_mut(team) {
            Some(demand) => *demand += 1,
            None => drop(self.demand.insert(team.clone(), 1)),
        }
    }

    /// Records that a request begins to run.
    pub fn record_start(&mut self, team: &TeamId) {
        self.running += 1;
        match self.running_by_team.get_mut(team) {
            Some(running) => *running += 1,
            None => drop(self.running_by_team.insert(team.clone(), 1)),
        }
    }

    /// Records that a request that ran has ended.
    pub fn record_end(&mut self, team: &TeamId) {
        self.running -= 1;
        if let Some(running) = self.running_by_team.get_mut(team) {
            *running -= 1;
        }
        self.record_departure(team);
    }

    /// Records that a request has left, whether it ran or not.
    pub fn record_departure(&mut self, team: &TeamId) {
        if let Some(demand) = self.demand.get_mut(team) {
            *demand = demand.saturating_sub(1);
        }
    }
}

/// The requests that wait.
#[derive(Debug, Default)]
pub struct RequestsTable {
    /// The requests.
    pub waiting: SlotMap<RequestHandle, WaitingRequest>,
    /// The queues, by pool.
    pub pool_queues: HashMap<PoolId, PoolQueue>,
}

/// A job at the scheduler.
#[derives(record)]
pub struct JobEntry {
    /// Its row as last read or written.
    pub row: JobRow,
    /// When it was first seen, on this daemon's clock.
    pub seen_at: Instant,
    /// Before when its worker may last have renewed the attempt's lease, on this daemon's clock.
    pub confirmed_at: Instant,
    /// The order in which the scheduler saw it.
    pub order: u64,
}

/// The jobs at the scheduler.
#[derive(Debug, Default)]
pub struct JobsTable {
    /// The jobs that have not ended, by id.
    pub table: Table<JobHandle, JobEntry>,
    /// The learned run times, by team and kind.
    pub run_times: HashMap<(TeamId, String), RunTimes>,
    /// The results of each worker.
    pub records: HashMap<InstanceId, wasabiswitch_policy::placement::WorkerHistory>,
    /// Since when workers are set aside.
    pub quarantined_since: HashMap<InstanceId, Instant>,
    /// The attempts of which a call may have reached a worker.
    pub dispatched_attempts: HashSet<(JobId, u32)>,
    /// The teams whose jobs may hold slots.
    pub teams_with_slots: BTreeSet<TeamId>,
    /// The order of the next job that is seen.
    pub next_order: u64,
}

impl JobsTable {
    /// Forgets the jobs, when another daemon has become the scheduler.
    pub fn forget(&mut self) {
        self.table.retain(|_, _| false);
        self.dispatched_attempts.clear();
    }

    /// Returns how many jobs are known to wait in a queue.
    pub fn queued_in(&self, queue: &str) -> u32 {
        let queued = self.table.iter().filter(|(_, entry)| {
            *entry.row.spec.queue == *queue && entry.row.state == JobState::Queued
        });
        queued.count() as u32
    }
}
