//! Shared tables, on which the worker threads of the runtime operate.
//!
//! Each table has its own lock; locks are taken in the order of [`Rank`]. A row is addressed by a typed
//! handle, which is valid in this process only, or by the id that configuration and messages use.

mod fleet;
mod journal;
mod members;
mod rows;
mod table;

pub use fleet::{AcceptOutcome, FleetView, JobPlace, KnownOwner, PendingAccept, Term};
pub use journal::{Decision, Journal, Subject};
pub use members::{Member, MembersTable, OwnSession};
pub use rows::{
    ActiveConfig, ConfigTable, Connection, InstanceEntry, InstanceHandle, InstancesTable, JobEntry,
    JobHandle, JobsTable, KeyEntry, KeyHandle, MemberHandle, PoolQueue, RequestHandle,
    RequestsTable, ServiceStats, TeamEntry, TeamHandle, TeamsTable, UpstreamEntry, UpstreamHandle,
    UpstreamsTable, WaitingRequest,
};
pub use table::Table;

use std::time::Instant;

use wasabiswitch_policy::ids::{DaemonId, DataCentre};
use wasabiswitch_policy::session::LeaseTimes;

use crate::lock::{Rank, Ranked};

/// All shared tables, in lock order.
#[derive(Debug)]
pub struct Tables {
    /// The configuration in force.
    pub config: Ranked<ConfigTable>,
    /// The keys of teams and operators.
    pub keys: Ranked<Table<KeyHandle, KeyEntry>>,
    /// The daemons and this daemon's own session.
    pub members: Ranked<MembersTable>,
    /// The instances and the rows of their pools.
    pub instances: Ranked<InstancesTable>,
    /// The teams, with their slots and running requests.
    pub teams: Ranked<TeamsTable>,
    /// The upstreams and their connections.
    pub upstreams: Ranked<UpstreamsTable>,
    /// The queues of waiting requests.
    pub requests: Ranked<RequestsTable>,
    /// The jobs that this daemon schedules.
    pub jobs: Ranked<JobsTable>,
    /// This daemon's view of the users' platform.
    pub fleet: Ranked<FleetView>,
    /// State of this daemon's term as owner of the fleet; `None` while it does not own the fleet.
    pub term: Ranked<Option<Term>>,
    /// The journal of decisions.
    pub journal: Ranked<Journal>,
}

impl Tables {
    /// Creates the empty tables of a daemon without a session.
    pub fn new(
        daemon: DaemonId,
        data_centre: DataCentre,
        times: LeaseTimes,
        now: Instant,
    ) -> Tables {
        Tables {
            config: Ranked::new(Rank::Config, ConfigTable::default()),
            keys: Ranked::new(Rank::Keys, Table::default()),
            members: Ranked::new(Rank::Members, MembersTable::new(daemon, data_centre, times, now)),
            instances: Ranked::new(Rank::Instances, InstancesTable::default()),
            teams: Ranked::new(Rank::Teams, TeamsTable::default()),
            upstreams: Ranked::new(Rank::Upstreams, UpstreamsTable::default()),
            requests: Ranked::new(Rank::Requests, RequestsTable::default()),
            jobs: Ranked::new(Rank::Jobs, JobsTable::default()),
            fleet: Ranked::new(Rank::Fleet, FleetView::default()),
            term: Ranked::new(Rank::Term, None),
            journal: Ranked::new(Rank::Journal, Journal::new()),
        }
    }
}
