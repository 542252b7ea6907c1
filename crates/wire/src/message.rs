//! The messages that daemons send each other, as HTTP bodies.
//!
//! A daemon sends a [`PeerMessage`] to a few peers at a time, in rotation, and what a message carries
//! is bounded, so that the bytes per second do not grow with the fleet. News that must reach everyone
//! (the generation, leaving instances) spreads in rounds, since each receiver passes it on. See
//! docs/DESIGN.md, "Peers".

use std::collections::BTreeMap;

use wasabiswitch_derive::derives;
use wasabiswitch_policy::ids::{BootId, DaemonId, Epoch, Generation, InstanceId, PoolId, TeamId};
use wasabiswitch_policy::merge::EntryKey;

use crate::{wire_enum, wire_struct};

/// The most loads of daemons in one message.
pub const LOADS_PER_MESSAGE_MAX: usize = 4;
/// The most teams in the load of one daemon.
pub const TEAM_LOADS_MAX: usize = 32;
/// The most leaving instances in one message that is no answer to a request for all.
pub const LEAVING_PER_MESSAGE_MAX: usize = 32;
/// The most changes of configuration in one answer.
pub const CHANGES_MAX: usize = 1_024;

/// The demand of one team at one daemon.
#[derives(record)]
pub struct TeamLoad {
    /// The pool that the work is for.
    pub pool: PoolId,
    /// The team.
    pub team: TeamId,
    /// Running and queued requests.
    pub demand_slots: u32,
}

/// The load of one daemon.
#[derives(record)]
pub struct DaemonLoad {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its session.
    pub epoch: Epoch,
    /// Grows with each load that the session publishes.
    pub sequence: u64,
    /// The demand of its teams, the largest first, at most [`TEAM_LOADS_MAX`].
    pub teams: Vec<TeamLoad>,
}

/// What a daemon tells a peer.
#[derives(record)]
pub struct PeerMessage {
    /// The daemon that sends it.
    pub from: DaemonId,
    /// Its session.
    pub epoch: Epoch,
    /// The generation in force at the sender.
    pub generation: Generation,
    /// The loads of the sender and of other daemons.
    pub loads: Vec<DaemonLoad>,
    /// Boots of instances that are leaving; news, or all after a request for all.
    pub leaving: Vec<(InstanceId, BootId)>,
    /// The digest of all boots that the sender knows to be leaving.
    pub leaving_digest: u64,
    /// The teams for which the sender is short of slots.
    pub short_teams: Vec<TeamId>,
    /// How long ago any daemon is known to have reached the store, in milliseconds.
    pub store_contact_age_ms: u64,
}

/// What the peer answers.
#[derives(record)]
pub struct PeerReply {
    /// The daemon that answers.
    pub from: DaemonId,
    /// Its session.
    pub epoch: Epoch,
    /// The generation in force there.
    pub generation: Generation,
    /// Whether the digests of leaving boots differ after the message was taken in.
    pub send_all_leaving: bool,
    /// How long ago any daemon is known to have reached the store, in milliseconds.
    pub store_contact_age_ms: u64,
}

/// The changes of one generation.
#[derives(record)]
pub struct ConfigDelta {
    /// The generation that the changes lead to.
    pub generation: Generation,
    /// The digest of all entries after them.
    pub digest: u64,
    /// The digest of all entries before them, which names the delta before this one.
    pub previous_digest: u64,
    /// The entries that are set, as canonical JSON, or removed.
    pub changes: Vec<(EntryKey, Option<String>)>,
}

/// A whole configuration.
#[derives(record)]
pub struct ConfigSnapshot {
    /// Its generation.
    pub generation: Generation,
    /// The digest of all its entries.
    pub digest: u64,
    /// All entries, as canonical JSON.
    pub entries: BTreeMap<EntryKey, String>,
}

/// A question for the changes after a generation.
#[derives(record)]
pub struct ConfigRequest {
    /// The generation in force at the one who asks.
    pub after: Generation,
}

/// The answer to a [`ConfigRequest`].
#[derives(record)]
pub enum ConfigReply {
    /// The changes that follow, in order, without a gap.
    Deltas(Vec<ConfigDelta>),
    /// The changes are no longer kept, so here is everything.
    Snapshot(ConfigSnapshot),
}

wire_struct!(TeamLoad { pool, team, demand_slots });
wire_struct!(DaemonLoad { daemon, epoch, sequence, teams });
wire_struct!(PeerMessage {
    from,
    epoch,
    generation,
    loads,
    leaving,
    leaving_digest,
    short_teams,
    store_contact_age_ms
});
wire_struct!(PeerReply { from, epoch, generation, send_all_leaving, store_contact_age_ms });
wire_struct!(ConfigDelta { generation, digest, previous_digest, changes });
wire_struct!(ConfigSnapshot { generation, digest, entries });
wire_struct!(ConfigRequest { after });
wire_enum!(ConfigReply { 0 => Deltas(deltas), 1 => Snapshot(snapshot) });
