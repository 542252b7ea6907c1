//! Messages between daemons, sent as HTTP bodies.
//!
//! A daemon sends a [`PeerMessage`] to a few peers at a time, in rotation, and the size of a message is
//! bounded, so that the bytes per second do not grow with the fleet. State that must reach all daemons
//! (the generation, leaving instances) spreads by gossip: each receiver includes it in its own messages.
//! See docs/DESIGN.md, "Peers".

use std::collections::BTreeMap;

use wasabiswitch_derive::derives;
use wasabiswitch_policy::ids::{BootId, DaemonId, Epoch, Generation, InstanceId, PoolId, TeamId};
use wasabiswitch_policy::merge::EntryKey;

use crate::{wire_enum, wire_struct};

/// Maximum number of daemons whose loads are in one message.
pub const LOADS_PER_MESSAGE_MAX: usize = 4;
/// Maximum number of teams in the load of one daemon, and of [`PeerMessage::short_teams`].
pub const TEAM_LOADS_MAX: usize = 32;
/// Maximum number of leaving instances in a message, unless the receiver has requested all of them.
pub const LEAVING_PER_MESSAGE_MAX: usize = 32;
/// Maximum number of changes in one [`ConfigReply`]; encoding and decoding do not check it.
pub const CHANGES_MAX: usize = 1_024;

/// Demand of one team at one daemon.
#[derives(record)]
pub struct TeamLoad {
    /// Pool that the requests are for.
    pub pool: PoolId,
    /// Team that sent the requests.
    pub team: TeamId,
    /// Number of running and queued requests, each of which takes one slot.
    pub demand_slots: u32,
}

/// Load of one daemon.
#[derives(record)]
pub struct DaemonLoad {
    /// Daemon that published the load.
    pub daemon: DaemonId,
    /// Epoch of its session.
    pub epoch: Epoch,
    /// Sequence number, which grows with each load that the session publishes.
    pub sequence: u64,
    /// Demand of its teams in descending order, at most [`TEAM_LOADS_MAX`] of them.
    pub teams: Vec<TeamLoad>,
}

/// Message of a daemon to a peer.
#[derives(record)]
pub struct PeerMessage {
    /// Sender of the message.
    pub from: DaemonId,
    /// Epoch of the sender's session.
    pub epoch: Epoch,
    /// Active generation at the sender.
    pub generation: Generation,
    /// Loads of the sender and of other daemons, at most [`LOADS_PER_MESSAGE_MAX`].
    pub loads: Vec<DaemonLoad>,
    /// Boots of instances that are leaving: a random selection of at most [`LEAVING_PER_MESSAGE_MAX`], or all
    /// of them if the receiver has requested this.
    pub leaving: Vec<(InstanceId, BootId)>,
    /// Digest of all boots that the sender knows to be leaving; zero if the message does not report them.
    pub leaving_digest: u64,
    /// Teams for which the sender has fewer slots than it needs.
    pub short_teams: Vec<TeamId>,
    /// Time since the last contact of any daemon with the store that the sender knows of, in milliseconds.
    pub store_contact_age_ms: u64,
}

/// Response of a peer to a [`PeerMessage`].
#[derives(record)]
pub struct PeerReply {
    /// Daemon that responds.
    pub from: DaemonId,
    /// Epoch of its session.
    pub epoch: Epoch,
    /// Active generation at this daemon.
    pub generation: Generation,
    /// Whether the peer should send all leaving boots, since the digests differ even after its message was
    /// applied.
    pub send_all_leaving: bool,
    /// Time since the last contact of any daemon with the store that this daemon knows of, in milliseconds.
    pub store_contact_age_ms: u64,
}

/// Changes between two consecutive generations.
#[derives(record)]
pub struct ConfigDelta {
    /// Generation that the changes lead to.
    pub generation: Generation,
    /// Digest of all entries after the changes.
    pub digest: u64,
    /// Digest of all entries before the changes, which is part of the name of the preceding delta's object.
    pub previous_digest: u64,
    /// New content of each changed entry as canonical JSON; `None` for an entry that is removed.
    pub changes: Vec<(EntryKey, Option<String>)>,
}

/// Complete configuration of one generation.
#[derives(record)]
pub struct ConfigSnapshot {
    /// Generation of the configuration.
    pub generation: Generation,
    /// Digest of all entries.
    pub digest: u64,
    /// All entries, as canonical JSON.
    pub entries: BTreeMap<EntryKey, String>,
}

/// Request for the changes after a generation.
#[derives(record)]
pub struct ConfigRequest {
    /// Active generation at the sender.
    pub after: Generation,
}

/// Response to a [`ConfigRequest`].
#[derives(record)]
pub enum ConfigReply {
    /// Deltas that follow the generation, in order and without a gap.
    Deltas(Vec<ConfigDelta>),
    /// Complete configuration, sent if the sender does not have all these deltas.
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
