//! The shared tables over which the workers of the runtime run.
//!
//! Each table has its own lock, taken in the order of [`Rank`]. Rows are found by typed handles, which
//! are valid inside this process only, or by the ids that configuration and messages use.

mod fleet;
mod journal;
mod members;
mod rows;
mod table;

pub use fleet::{AcceptOutcome, FleetView, KnownOwner, PendingAccept, Term};
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

/// All shared tables, in the order in which their locks are taken.
#[derive(Debug)]
pub struct Tables {
    /// The configuration in force.
    pub config: Ranked<ConfigTable>,
    /// The keys of teams and operators.
    pub keys: Ranked<Table<KeyHandle, KeyEntry>>,
    /// The daemons and this daemon's own session.
    pub members: Ranked<MembersTable>,
    /// The instances and their pools.
    pub instances: Ranked<InstancesTable>,
    /// The teams' grants and what they have running.
    pub teams: Ranked<TeamsTable>,
    /// The upstreams and their connections.
    pub upstreams: Ranked<UpstreamsTable>,
    /// The requests that wait.
    pub requests: Ranked<RequestsTable>,
    /// The jobs, as far as this daemon schedules them.
    pub jobs: Ranked<JobsTable>,
    /// What this daemon knows of the users' platform.
    pub fleet: Ranked<FleetView>,
    /// What this daemon holds while it owns the fleet.
    pub term: Ranked<Option<Term>>,
    /// The record of decisions.
    pub journal: Ranked<Journal>,
}

impl Tables {
    /// Creates empty tables for one daemon.
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
