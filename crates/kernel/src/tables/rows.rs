//! Rows of the shared tables.

// `new_key_type!` implements an unsafe trait of `slotmap`.
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
    /// Handle of a key.
    pub struct KeyHandle;
    /// Handle of a daemon.
    pub struct MemberHandle;
    /// Handle of an instance.
    pub struct InstanceHandle;
    /// Handle of a team.
    pub struct TeamHandle;
    /// Handle of an upstream.
    pub struct UpstreamHandle;
    /// Handle of a waiting request.
    pub struct RequestHandle;
    /// Handle of a job.
    pub struct JobHandle;
}

/// Configuration in force, with the entries that it was read from.
#[derives(record)]
#[derive(Default)]
pub struct ActiveConfig {
    /// Generation of the configuration.
    pub generation: Generation,
    /// Digest of the entries.
    pub digest: u64,
    /// Entries as canonical JSON.
    pub entries: Entries,
    /// Configuration that the entries describe.
    pub config: Config,
}

/// Configuration in force and the latest changes to it.
#[derives(record)]
#[derive(Default)]
pub struct ConfigTable {
    /// Snapshot of the configuration in force.
    pub active: Arc<ActiveConfig>,
    /// Latest changes, oldest first, for peers with an older generation.
    pub deltas: VecDeque<ConfigDelta>,
}

/// Key that authenticates a team or an operator.
#[derives(record)]
pub struct KeyEntry {
    /// Team or operator that the key authenticates.
    pub holder: Principal,
    /// Digest of the secret.
    pub digest: [u8; 32],
}

/// Instance as this daemon knows it.
#[derives(record)]
#[derive(Default)]
pub struct InstanceEntry {
    /// Row as last read; `None` before the first read or if there is none.
    pub row: Option<InstanceRow>,
    /// Highest boot number that the platform's list has shown.
    pub listed_boot: BootId,
    /// Whether the platform's list contains the instance.
    pub listed: bool,
    /// Time since which the instance has been in the state of its row, on this daemon's clock.
    pub state_since: Option<Instant>,
}

/// Table of the instances and the rows of their pools.
#[derive(Debug, Default)]
pub struct InstancesTable {
    /// Instances, by id.
    pub table: Table<InstanceHandle, InstanceEntry>,
    /// Whether the platform's list has been read at least once.
    pub list_read: bool,
    /// Time at which the platform's list was last requested; `None` makes the next request due at once.
    pub list_requested_at: Option<Instant>,
    /// Number of daemons among which the connections of the upstreams are divided.
    pub daemons: usize,
    /// Sequence number of the last change that was read from the feed; `None` before the first read.
    pub feed_sequence: Option<u64>,
    /// Rows of the pools as last read.
    pub pools: BTreeMap<PoolId, PoolRow>,
}

/// Statistics of the requests of one team to one service.
#[derive(Clone, Debug)]
pub struct ServiceStats {
    /// Outcomes over time.
    pub history: History,
    /// Counters of requests, by verdict.
    pub requests: [Counter; 3],
    /// Histogram of the time from the entry of a request to the head of its response, in seconds.
    pub seconds: metrics::Histogram,
}

/// Slots, requests and statistics of a team at this daemon.
#[derive(Clone, Debug)]
pub struct TeamEntry {
    /// Weight of the team in the sharing of slots and queues.
    pub weight: u32,
    /// Limit of the team across all daemons, in slots.
    pub limit_slots: u32,
    /// Number of slots that this daemon's session holds.
    pub held_slots: u32,
    /// Number of requests that are running through this daemon.
    pub running: u32,
    /// Number of requests that wait at this daemon.
    pub waiting: u32,
    /// Time at which the held slots were last needed.
    pub slots_needed_at: Instant,
    /// Time of the last request for slots if it left the team short, otherwise `None`.
    pub short_since: Option<Instant>,
    /// Whether the last request for slots failed because of the table service.
    pub slot_request_failed: bool,
    /// Time until which another daemon counts as short of slots.
    pub others_short_until: Option<Instant>,
    /// Retry budgets, by service.
    pub budgets: HashMap<ServiceId, RetryBudget>,
    /// Statistics, by service.
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

    /// Returns the number of slots that the team could use at this daemon now.
    pub fn demand_slots(&self) -> u32 {
        self.running + self.waiting
    }
}

/// Table of the teams.
#[derive(Debug, Default)]
pub struct TeamsTable {
    /// Teams, by id.
    pub table: Table<TeamHandle, TeamEntry>,
}

/// Connection to an upstream.
pub type Connection = SendRequest<Body>;

/// Upstream with the connections and counts of this daemon.
#[derive(Debug)]
pub struct UpstreamEntry {
    /// Instance that serves as the upstream.
    pub instance: InstanceId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Pool that the upstream serves.
    pub pool: PoolId,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Maximum number of requests that this daemon runs there at once.
    pub capacity: u32,
    /// Number of requests that this daemon is running there.
    pub outstanding: u32,
    /// Boot number as last listed.
    pub boot: BootId,
    /// Whether the platform lists the instance and its row is in the serving state.
    pub serving: bool,
    /// Time since which the instance has been serving.
    pub serving_since: Instant,
    /// Newest boot of the instance that is known to be draining.
    pub leaving: DrainNotice,
    /// Outcomes of recent requests.
    pub health: Health,
    /// Idle connections, ready for a request.
    pub idle: Vec<Connection>,
}

impl UpstreamEntry {
    /// Returns whether the upstream may receive new requests.
    pub fn accepts_work(&self) -> bool {
        self.serving && !self.leaving.applies_to(self.boot)
    }
}

/// Table of the upstreams.
#[derive(Debug, Default)]
pub struct UpstreamsTable {
    /// Upstreams, by instance.
    pub table: Table<UpstreamHandle, UpstreamEntry>,
    /// Handles of the upstreams of each pool.
    pub by_pool: HashMap<PoolId, Vec<UpstreamHandle>>,
    /// Cached number of slots of the upstreams that accept work, by pool; `None` after a change.
    pub slots_by_pool: Option<Arc<BTreeMap<PoolId, u32>>>,
}

/// Request in the queue of a pool.
#[derive(Debug)]
pub struct WaitingRequest {
    /// Team of the request.
    pub team: TeamId,
    /// Pool in whose queue the request waits.
    pub pool: PoolId,
    /// Channel that signals that the request may run; dropping it sheds the request.
    pub admitted: oneshot::Sender<()>,
}

/// Queue of a pool, with the counts of its requests at this daemon.
#[derive(Debug)]
pub struct PoolQueue {
    /// Waiting requests.
    pub queue: FairQueue<RequestHandle>,
    /// Number of requests that are running in the pool through this daemon.
    pub running: u32,
    /// Maximum number of requests that this daemon runs in the pool at once.
    pub capacity: u32,
    /// Number of running and waiting requests of each team.
    pub demand: HashMap<TeamId, u32>,
    /// Number of running requests of each team.
    pub running_by_team: HashMap<TeamId, u32>,
}

impl PoolQueue {
    /// Creates a queue with a capacity of one request until the capacity of the pool is known.
    pub fn new(queue: FairQueue<RequestHandle>) -> PoolQueue {
        PoolQueue {
            queue,
            running: 0,
            capacity: 1,
            demand: HashMap::new(),
            running_by_team: HashMap::new(),
        }
    }

    /// Records that a request has arrived.
    pub fn record_arrival(&mut self, team: &TeamId) {
        match self.demand.get_mut(team) {
            Some(demand) => *demand += 1,
            None => drop(self.demand.insert(team.clone(), 1)),
        }
    }

    /// Records that a request has started to run.
    pub fn record_start(&mut self, team: &TeamId) {
        self.running += 1;
        match self.running_by_team.get_mut(team) {
            Some(running) => *running += 1,
            None => drop(self.running_by_team.insert(team.clone(), 1)),
        }
    }

    /// Records that a running request has ended.
    pub fn record_end(&mut self, team: &TeamId) {
        self.running -= 1;
        if let Some(running) = self.running_by_team.get_mut(team) {
            *running -= 1;
        }
        self.record_departure(team);
    }

    /// Records that a request has left the queue or has ended.
    pub fn record_departure(&mut self, team: &TeamId) {
        if let Some(demand) = self.demand.get_mut(team) {
            *demand = demand.saturating_sub(1);
        }
    }
}

/// Table of the waiting requests.
#[derive(Debug, Default)]
pub struct RequestsTable {
    /// Waiting requests of all pools.
    pub waiting: SlotMap<RequestHandle, WaitingRequest>,
    /// Queues, by pool.
    pub pool_queues: HashMap<PoolId, PoolQueue>,
}

/// Job as the scheduler knows it.
#[derives(record)]
pub struct JobEntry {
    /// Row as last read or written.
    pub row: JobRow,
    /// Time at which the job was first seen, on this daemon's clock.
    pub seen_at: Instant,
    /// Time from which the lease of the attempt counts, on this daemon's clock: the last renewal that the
    /// worker confirmed, or the time at which the row was first read or last written.
    pub lease_confirmed_at: Instant,
    /// Number of the job in the order in which the scheduler first saw them.
    pub order: u64,
}

/// Table of the jobs at the scheduler.
#[derive(Debug, Default)]
pub struct JobsTable {
    /// Jobs that have not ended, by id.
    pub table: Table<JobHandle, JobEntry>,
    /// Measured run times, by team and kind of job.
    pub run_times: HashMap<(TeamId, String), RunTimes>,
    /// Number of successful tasks and of failures since the last success, by worker.
    pub worker_histories: HashMap<InstanceId, wasabiswitch_policy::placement::WorkerHistory>,
    /// Quarantined workers, each with the time at which its quarantine began.
    pub quarantined_since: HashMap<InstanceId, Instant>,
    /// Attempts whose start may have reached a worker.
    pub dispatched_attempts: HashSet<(JobId, u32)>,
    /// Teams whose jobs may hold slots.
    pub teams_with_slots: BTreeSet<TeamId>,
    /// Order number of the next new job.
    pub next_order: u64,
}

impl JobsTable {
    /// Removes all jobs, after another daemon has become the scheduler.
    pub fn clear(&mut self) {
        self.table.retain(|_, _| false);
        self.dispatched_attempts.clear();
    }

    /// Returns the number of known jobs that wait in a queue.
    pub fn queued_in(&self, queue: &str) -> u32 {
        let queued = self.table.iter().filter(|(_, entry)| {
            *entry.row.spec.queue == *queue && entry.row.state == JobState::Queued
        });
        queued.count() as u32
    }
}
