//! Table of all daemons and their sessions, with this daemon's own session and the times of its last contacts
//! with the store and its peers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use wasabiswitch_derive::derives;
use wasabiswitch_policy::generation::Connectivity;
use wasabiswitch_policy::ids::{DaemonId, DataCentre, Epoch, Generation};
use wasabiswitch_policy::session::{Lease, LeaseTimes, SessionRow, SessionWatch};
use wasabiswitch_wire::message::DaemonLoad;

use super::rows::MemberHandle;
use super::table::Table;

/// A daemon as this daemon knows it.
#[derives(record)]
pub struct Member {
    /// Session row as last read.
    pub row: SessionRow,
    /// Last reported generation of the configuration in force there.
    pub generation: Generation,
    /// Last reported load, with the time of the report.
    pub load: Option<(DaemonLoad, Instant)>,
}

/// Session of this daemon.
#[derives(record)]
pub struct OwnSession {
    /// Id of this daemon.
    pub daemon: DaemonId,
    /// Data centre of this daemon.
    pub data_centre: DataCentre,
    /// Epoch of the current session; zero before the first.
    pub epoch: Epoch,
    /// Lease of the current session.
    pub lease: Lease,
    /// Number of load reports that this daemon has published.
    pub load_sequence: u64,
    /// Control roles that the current session holds.
    pub roles: BTreeSet<&'static str>,
    /// Time at which each role was last requested.
    pub roles_requested_at: BTreeMap<&'static str, Instant>,
}

/// Table of the daemons and their sessions.
#[derive(Clone, Debug)]
pub struct MembersTable {
    /// Daemons with sessions, by id.
    pub table: Table<MemberHandle, Member>,
    /// This daemon's own session.
    pub own: OwnSession,
    /// This daemon's observations of all sessions.
    pub watch: SessionWatch,
    /// Last contacts with the store and with the peers.
    pub connectivity: Connectivity,
    /// Duration and safety margin of session leases.
    pub times: LeaseTimes,
}

impl MembersTable {
    /// Creates the table of a daemon without a session.
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
            connectivity: Connectivity::new(now),
            times,
        }
    }
}
