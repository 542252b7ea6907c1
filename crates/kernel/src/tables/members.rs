//! The daemons, this daemon's own session, and what it can reach.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use wasabiswitch_derive::derives;
use wasabiswitch_policy::generation::Connectivity;
use wasabiswitch_policy::ids::{DaemonId, DataCentre, Epoch, Generation};
use wasabiswitch_policy::session::{Lease, LeaseTimes, SessionRow, SessionWatch};
use wasabiswitch_wire::message::DaemonLoad;

use super::rows::MemberHandle;
use super::table::Table;

/// What is known of a daemon.
#[derives(record)]
pub struct Member {
    /// Its row as last read.
    pub row: SessionRow,
    /// The generation that it last reported to have in force.
    pub generation: Generation,
    /// Its load as last heard, and when that was.
    pub load: Option<(DaemonLoad, Instant)>,
}

/// This daemon's own session.
#[derives(record)]
pub struct OwnSession {
    /// This daemon.
    pub daemon: DaemonId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The current session; zero before the first.
    pub epoch: Epoch,
    /// Its lease.
    pub lease: Lease,
    /// Counts the loads that this daemon has published.
    pub load_sequence: u64,
    /// The control roles that the current session holds.
    pub roles: BTreeSet<&'static str>,
    /// When each role was last asked for.
    pub roles_requested_at: BTreeMap<&'static str, Instant>,
}

/// The daemons and their sessions.
#[derive(Clone, Debug)]
pub struct MembersTable {
    /// The daemons with sessions, by id.
    pub table: Table<MemberHandle, Member>,
    /// This daemon's own session.
    pub own: OwnSession,
    /// What this daemon has seen of all sessions.
    pub watch: SessionWatch,
    /// When this daemon last reached the store and its peers.
    pub reach: Connectivity,
    /// The times of all leases.
    pub times: LeaseTimes,
}

impl MembersTable {
    /// Creates the table of a daemon that has no session yet.
    pub fn new(
        daemon: DaemonId,
        data_centre: DataCentre,
        times: LeaseTimes,
        now: Instant,
    ) -> MembersTable {
        MembersTable {
            table: Table::default(),
            own: OwnSession {
                daemon,
                data_centre,
                epoch: 0,
                lease: Lease::new(times),
                load_sequence: 0,
                roles: BTreeSet::new(),
                roles_requested_at: BTreeMap::new(),
            },
            watch: SessionWatch::default(),
            reach: Connectivity::new(now),
            times,
        }
    }
}
