//! Configuration generations, and the rules for a daemon that loses contact with the store.
//!
//! One row holds the newest generation. A daemon adopts a generation only if it is larger than its
//! own, whatever the source. A daemon that has reached neither the store nor a majority of the live
//! daemons for some seconds cannot know whether a key was revoked, and therefore refuses new work.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use crate::ids::{DaemonId, Generation};
use crate::session::LeaseTimes;

/// Stored row of the newest generation.
#[derives(record)]
pub struct GenerationRow {
    /// Number of the generation.
    pub generation: Generation,
    /// Digest of all entries of the generation.
    pub digest: u64,
    /// Newest generation, up to this one, of which a full snapshot is stored.
    pub snapshot: Generation,
    /// Digest of the snapshot's generation.
    pub snapshot_digest: u64,
    /// Operator who applied the generation.
    pub operator: String,
}

/// Number of generations from one full snapshot to the next; those between are stored as changes.
pub const SNAPSHOT_INTERVAL: u64 = 64;

/// Returns the row of the next generation, or `None` if `base` is not the newest one.
pub fn advance(
    row: Option<&GenerationRow>,
    base: Generation,
    digest: u64,
    operator: &str,
) -> Option<GenerationRow> {
    let newest = row.map_or(0, |row| row.generation);
    if newest != base {
        return None;
    }
    let generation = newest + 1;
    let (last, last_digest) = row.map_or((0, 0), |row| (row.snapshot, row.snapshot_digest));
    let is_full = row.is_none() || generation - last >= SNAPSHOT_INTERVAL;
    let (snapshot, snapshot_digest) =
        if is_full { (generation, digest) } else { (last, last_digest) };
    let operator = operator.to_owned();
    Some(GenerationRow { generation, digest, snapshot, snapshot_digest, operator })
}

/// Returns whether a daemon at generation `current` adopts generation `offered`.
pub fn should_adopt(current: Generation, offered: Generation) -> bool {
    offered > current
}

/// Returns whether `confirmed` contains a majority of `live`.
pub fn is_majority(confirmed: &BTreeSet<DaemonId>, live: &BTreeSet<DaemonId>) -> bool {
    let count = confirmed.intersection(live).count();
    count * 2 > live.len()
}

/// Times of a daemon's last contacts with the store and with its peers.
///
/// Either contact would have reported a revoked key or a fence of this daemon's session.
#[derives(record)]
pub struct Connectivity {
    store_contact_at: Instant,
    // Latest time at which any daemon is known to have reached the store.
    any_store_contact_at: Instant,
    peers_at: BTreeMap<DaemonId, Instant>,
    live: BTreeSet<DaemonId>,
}

/// Returns the number of `live` daemons that must know of an observer's contact with the store
/// before the observer may write a fence.
pub fn fence_quorum(live: usize) -> usize {
    // With two daemons, the survivor of a permanent failure must be able to fence the other alone.
    if live <= 2 { 1 } else { live / 2 + 1 }
}

/// Returns the number of `live` daemons that must be in contact to continue work under an expired
/// lease.
///
/// Such a group and any group of [`fence_quorum`] daemons have a member in common, which reports
/// that the session may have been fenced.
pub fn continuation_quorum(live: usize) -> usize {
    live + 1 - fence_quorum(live).min(live)
}

impl Connectivity {
    /// Creates the state of a daemon that has just read the store and contacted no peer yet.
    pub fn new(now: Instant) -> Connectivity {
        Connectivity {
            store_contact_at: now,
            any_store_contact_at: now,
            peers_at: BTreeMap::new(),
            live: BTreeSet::new(),
        }
    }

    /// Records an answer of the store to a call that was sent at `sent_at`.
    pub fn store_answered(&mut self, sent_at: Instant) {
        self.store_contact_at = self.store_contact_at.max(sent_at);
        self.record_store_contact(sent_at);
    }

    /// Records that some daemon reached the store at `at`, converted to this daemon's clock.
    pub fn record_store_contact(&mut self, at: Instant) {
        self.any_store_contact_at = self.any_store_contact_at.max(at);
    }

    /// Returns the time since any daemon is known to have reached the store.
    pub fn store_contact_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.any_store_contact_at)
    }

    /// Records an answer of a peer to a message that was sent at `sent_at`.
    pub fn peer_answered(&mut self, peer: &DaemonId, sent_at: Instant) {
        let at = self.peers_at.entry(peer.clone()).or_insert(sent_at);
        *at = (*at).max(sent_at);
    }

    /// Sets the daemons whose sessions are live, including this one.
    pub fn set_live(&mut self, live: BTreeSet<DaemonId>) {
        self.peers_at.retain(|peer, _| live.contains(peer));
        self.live = live;
    }

    /// Returns the daemons whose sessions were live when the store was last read.
    pub fn live(&self) -> &BTreeSet<DaemonId> {
        &self.live
    }

    /// Returns the number of live daemons that have answered a message sent at `since` or later,
    /// including this one.
    pub fn daemons_in_contact(&self, since: Instant) -> usize {
        1 + self.peers_at.values().filter(|at| **at >= since).count()
    }

    /// Returns whether the daemon has been cut off from the store and from a majority for `limit`.
    ///
    /// No generation is accepted without a majority, so a daemon in contact with one misses none.
    pub fn is_cut_off(&self, now: Instant, limit: Duration) -> bool {
        let reaches_store = now < self.store_contact_at + limit;
        let majority = self.daemons_in_contact(now - limit) * 2 > self.live.len();
        !reaches_store && !majority
    }

    /// Returns whether work may continue although the lease, valid from `valid_from`, has expired.
    ///
    /// Work may continue as long as no observer can have fenced the session. An observer that
    /// fences has reached the store after the lease time and the margin of `times`, and has
    /// reported this contact to a quorum of daemons. See docs/DESIGN.md, "When the store is down".
    pub fn may_continue(
        &self,
        valid_from: Instant,
        times: LeaseTimes,
        now: Instant,
        limit: Duration,
    ) -> bool {
        let could_be_fenced = self.any_store_contact_at >= valid_from + times.lease + times.margin;
        let quorum = continuation_quorum(self.live.len().max(1));
        !could_be_fenced && self.daemons_in_contact(now - limit) >= quorum
    }

    /// Returns whether enough daemons know that this one reached the store at `reached_at` for it
    /// to fence a session.
    pub fn may_fence(&self, reached_at: Instant) -> bool {
        self.daemons_in_contact(reached_at) >= fence_quorum(self.live.len())
    }
}
