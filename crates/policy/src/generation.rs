//! Configuration generations: forward only, in force at a majority, and never followed blindly.
//!
//! One row holds the newest generation. A daemon adopts only larger ones, wherever it learns of them.
//! A daemon that has reached neither the store nor a majority of the live daemons for some seconds
//! cannot know whether a key was withdrawn, and so refuses new work.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use crate::ids::{DaemonId, Generation};
use crate::session::LeaseTimes;

/// The row that holds the newest generation.
#[derives(record)]
pub struct GenerationRow {
    /// The number of the generation.
    pub generation: Generation,
    /// The digest of all its entries.
    pub digest: u64,
    /// The newest generation at or below this one whose entries are stored whole.
    pub snapshot: Generation,
    /// The digest of that generation.
    pub snapshot_digest: u64,
    /// Who applied it.
    pub operator: String,
}

/// How many changes are stored between two whole copies.
pub const SNAPSHOT_INTERVAL: u64 = 64;

/// Returns the row that follows `row`, or `None` if `base` is not the newest generation.
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
    let whole = row.is_none() || generation - last >= SNAPSHOT_INTERVAL;
    let (snapshot, snapshot_digest) =
        if whole { (generation, digest) } else { (last, last_digest) };
    let operator = operator.to_owned();
    Some(GenerationRow { generation, digest, snapshot, snapshot_digest, operator })
}

/// Reports whether a daemon at `current` adopts `offered`.
pub fn should_adopt(current: Generation, offered: Generation) -> bool {
    offered > current
}

/// Reports whether `confirmed` is a majority of `live`.
pub fn is_majority(confirmed: &BTreeSet<DaemonId>, live: &BTreeSet<DaemonId>) -> bool {
    let count = confirmed.intersection(live).count();
    count * 2 > live.len()
}

/// When a daemon last had contact that could have told it of a withdrawn key or of a fence.
#[derives(record)]
pub struct Connectivity {
    store_at: Instant,
    // The newest time at which any daemon is known to have reached the store.
    any_store_contact_at: Instant,
    peers_at: BTreeMap<DaemonId, Instant>,
    live: BTreeSet<DaemonId>,
}

/// Returns how many of `live` daemons must know of a fence before it is written.
pub fn fence_quorum(live: usize) -> usize {
    // Of two daemons one may be gone for good, so the other must be able to fence it alone.
    if live <= 2 { 1 } else { live / 2 + 1 }
}

/// Returns how many of `live` daemons must be in contact for work to go on under a lapsed lease.
///
/// Any such group and any group of [`fence_quorum`] daemons share a member, which tells of the fence.
pub fn continuation_quorum(live: usize) -> usize {
    live + 1 - fence_quorum(live).min(live)
}

impl Connectivity {
    /// Creates the state of a daemon that has just read the store.
    pub fn new(now: Instant) -> Connectivity {
        Connectivity {
            store_at: now,
            any_store_contact_at: now,
            peers_at: BTreeMap::new(),
            live: BTreeSet::new(),
        }
    }

    /// Records an answer of the store to a question that was sent at `sent_at`.
    pub fn store_answered(&mut self, sent_at: Instant) {
        self.store_at = self.store_at.max(sent_at);
        self.record_store_contact(sent_at);
    }

    /// Records that some daemon reached the store at `at`, on this daemon's clock.
    pub fn record_store_contact(&mut self, at: Instant) {
        self.any_store_contact_at = self.any_store_contact_at.max(at);
    }

    /// Returns how long ago any daemon is known to have reached the store.
    pub fn store_contact_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.any_store_contact_at)
    }

    /// Records an answer of a peer to a message that was sent at `sent_at`.
    pub fn peer_answered(&mut self, peer: &DaemonId, sent_at: Instant) {
        let at = self.peers_at.entry(peer.clone()).or_insert(sent_at);
        *at = (*at).max(sent_at);
    }

    /// Sets the daemons whose sessions are in force, this one included.
    pub fn set_live(&mut self, live: BTreeSet<DaemonId>) {
        self.peers_at.retain(|peer, _| live.contains(peer));
        self.live = live;
    }

    /// Returns the daemons whose sessions were in force when the store was last read.
    pub fn live(&self) -> &BTreeSet<DaemonId> {
        &self.live
    }

    /// Returns how many live daemons have answered a message sent at `since` or later, this one
    /// included.
    pub fn daemons_in_contact(&self, since: Instant) -> usize {
        1 + self.peers_at.values().filter(|at| **at >= since).count()
    }

    /// Reports whether the daemon has been cut off for longer than `limit`.
    ///
    /// Nothing can be accepted without a majority, so a daemon in contact with one misses nothing.
    pub fn is_cut_off(&self, now: Instant, limit: Duration) -> bool {
        let reaches_store = now < self.store_at + limit;
        let majority = self.daemons_in_contact(now - limit) * 2 > self.live.len();
        !reaches_store && !majority
    }

    /// Reports whether work may go on although the lease, counted from `valid_from`, has lapsed.
    ///
    /// An observer that fences this session has reached the store at or after the time that `times`
    /// sets, and has told a quorum of daemons so. See docs/DESIGN.md, "When the store is down".
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

    /// Reports whether enough daemons know that this one reached the store at `reached_at`.
    pub fn may_fence(&self, reached_at: Instant) -> bool {
        self.daemons_in_contact(reached_at) >= fence_quorum(self.live.len())
    }
}
