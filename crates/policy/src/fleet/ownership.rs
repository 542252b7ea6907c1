//! Who may act for a shard of the fleet.
//!
//! One row of the store names the owner. Every write of the owner is conditional on the row and puts it
//! anew, so that each write renews the lease, a delayed write of an earlier state fails, and a
//! successor's first write fences all that the predecessor still sends to the store.

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use crate::ids::DaemonId;

/// A part of the fleet with one owner.
pub type ShardId = &'static str;

/// The shards of the fleet: one for all, so that the teams' caps are exact without messages.
pub const SHARDS: [ShardId; 1] = ["fleet"];

/// How long an owner may act after it sent its last confirmed write.
pub const OWNER_LEASE: Duration = Duration::from_millis(1_500);
/// How much longer an observer waits, for clocks that drift and calls in flight.
pub const OWNER_LEASE_MARGIN: Duration = Duration::from_millis(300);
/// How often an idle owner renews its lease; three times in a lease.
pub const OWNER_RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// How long an owner must have been silent, and its row unchanged, to be replaced while its lease may still run.
///
/// An idle owner renews each 0.4 s; the rest is for a store that answers late. Two signs are asked for because
/// a cut or a slow store shows only one of them.
pub const OWNER_UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);

/// The row that names the owner.
#[derives(record)]
pub struct OwnerRow {
    /// The daemon.
    pub daemon: DaemonId,
    /// A number that each incarnation of a daemon draws, so that a incarnation knows its own writes.
    pub incarnation: u64,
    /// Where other daemons reach it.
    pub address: String,
    /// The fence, which grows with each change of owner.
    pub fence: u64,
    /// Counts the owner's writes.
    pub writes: u64,
    /// Whether the owner has given the shard up and the next may take it at once.
    pub released: bool,
    /// The processors of the owner's instance, in thousandths of a core.
    pub processor_milli: u32,
}

/// What an observer knows of the row.
#[derives(record)]
pub struct Observation {
    /// The version of the row.
    pub version: u64,
    /// When this version was first seen.
    pub first_seen: Instant,
    /// When the row was last read.
    pub last_read: Instant,
}

/// The longest pause between two reads after which an observer must count anew.
///
/// While it could not read the store, the owner may not have reached it either. A read that is answered
/// late on a slow instance must not count as a gap, or a take-over never comes.
pub const OBSERVATION_GAP_MAX: Duration = Duration::from_millis(1_000);

/// Returns the observation after the row was read with `version` at `now`.
pub fn observe(before: Option<&Observation>, version: u64, now: Instant) -> Observation {
    match before {
        Some(seen)
            if seen.version == version
                && now.saturating_duration_since(seen.last_read) <= OBSERVATION_GAP_MAX =>
        {
            Observation { last_read: now, ..seen.clone() }
        }
        _ => Observation { version, first_seen: now, last_read: now },
    }
}

/// What an owner has said of itself: that it acts, and has had so many writes confirmed.
#[derives(value)]
pub struct OwnerHeartbeat {
    /// Its fence.
    pub fence: u64,
    /// Its confirmed writes.
    pub writes: u64,
    /// When the answer arrived.
    pub received: Instant,
}

/// Returns the first observation of a row by an observer that has heard from the owner shortly before.
///
/// If the row still holds the write that the owner spoke of, it has not changed since, and the owner's lease
/// runs from that write. So the time in which the observer only suspected the owner counts as well.
pub fn observe_first(
    row: &OwnerRow,
    version: u64,
    word: Option<OwnerHeartbeat>,
    now: Instant,
) -> Observation {
    let first_seen = match word {
        Some(word)
            if (row.fence, row.writes) == (word.fence, word.writes)
                && now.saturating_duration_since(word.received) <= OBSERVATION_GAP_MAX =>
        {
            word.received
        }
        _ => now,
    };
    Observation { version, first_seen, last_read: now }
}

/// How long an owner's writes may fail before it gives the shard up to a daemon that reaches the store.
///
/// Several writes must have failed; the rest of the lease would only delay the successor.
pub const STORE_LOST_AFTER: Duration = Duration::from_millis(300);

/// Reports whether an owner whose writes have failed since `failing_since` would give the shard up.
pub fn has_lost_store(failing_since: Option<Instant>, now: Instant) -> bool {
    failing_since.is_some_and(|since| now.saturating_duration_since(since) >= STORE_LOST_AFTER)
}

/// An owner's word that it has stopped to act under a fence, for the time that its row still names it.
#[derives(value)]
pub struct SteppedDown {
    /// The incarnation of the owner.
    pub incarnation: u64,
    /// The fence that it had.
    pub fence: u64,
}

/// Since when an owner has not answered an observer at all.
#[derives(value)]
pub struct UnresponsiveSince {
    /// The fence of the owner that was asked.
    pub fence: u64,
    /// When the first question was sent that stayed without an answer.
    pub since: Instant,
}

/// Reports whether an observer may take the shard over.
///
/// The earlier incarnation of the same daemon has ended, since an instance runs one daemon. What an owner has
/// given up by message may be taken at once, like what it has released in the row.
///
/// An owner that is silent in both ways may be replaced before its lease is over: from the successor's first
/// write on it can write nothing, and workers refuse its orders once the successor has held them. What it may
/// still do until then is bounded by [`predecessor_deadline`] and [`may_report_absence`]. An owner that has not written since
/// it took over is still reading the rows, and too busy to be called silent.
pub fn may_take_over(
    row: &OwnerRow,
    own: &DaemonId,
    given_up: Option<SteppedDown>,
    silence: Option<UnresponsiveSince>,
    seen: &Observation,
    now: Instant,
) -> bool {
    let unchanged = now.saturating_duration_since(seen.first_seen);
    let is_silent = silence.is_some_and(|silence| {
        silence.fence == row.fence
            && now.saturating_duration_since(silence.since) >= OWNER_UNRESPONSIVE_AFTER
            && unchanged >= OWNER_UNRESPONSIVE_AFTER
            && row.writes > 1
    });
    row.released
        || row.daemon == *own
        || given_up == Some(SteppedDown { incarnation: row.incarnation, fence: row.fence })
        || is_silent
        || unchanged >= OWNER_LEASE + OWNER_LEASE_MARGIN
}

/// Returns when the owner that wrote `row` gives its last order at the latest, as an observer sees it.
///
/// Its last confirmed write was sent before `seen` began. A successor counts the leases on workers that it does
/// not reach from here, since the old owner may still reach and renew them.
pub fn predecessor_deadline(
    row: &OwnerRow,
    own: &DaemonId,
    given_up: Option<SteppedDown>,
    seen: &Observation,
) -> Instant {
    let has_ended = row.released
        || row.daemon == *own
        || given_up == Some(SteppedDown { incarnation: row.incarnation, fence: row.fence });
    if has_ended { seen.last_read } else { seen.first_seen + OWNER_LEASE + OWNER_LEASE_MARGIN }
}

/// Reports whether an owner may still say that something is not there, its last confirmed write having been
/// sent at `confirmed_sent`.
///
/// A successor may have accepted it once the row has been unchanged for long enough.
pub fn may_report_absence(confirmed_sent: Instant, now: Instant) -> bool {
    now.saturating_duration_since(confirmed_sent) < OWNER_UNRESPONSIVE_AFTER
}

/// The processors of an instance that takes over without waiting for larger ones at the first start.
const LARGE_MILLI: u32 = 500;
/// How long the smallest instances let larger ones go first: a rebuild takes them that much longer.
const SMALL_PAUSE_MAX: Duration = Duration::from_millis(1_000);
/// How much larger an instance must be to ask for the ownership of an owner that acts.
const YIELD_FACTOR: f64 = 1.5;

/// Returns how long an instance lets larger ones take over first, `before` being that of the last owner.
///
/// The last owner is likely to have been on one of the largest instances.
pub fn takeover_delay(processor_milli: u32, before_milli: Option<u32>) -> Duration {
    let large = before_milli.unwrap_or(LARGE_MILLI).max(1);
    let lacking = large.saturating_sub(processor_milli);
    SMALL_PAUSE_MAX.mul_f64(f64::from(lacking) / f64::from(large))
}

/// Reports whether an owner should yield to a daemon on a larger instance.
pub fn should_hand_over(owner_milli: u32, asking_milli: u32) -> bool {
    f64::from(asking_milli) >= f64::from(owner_milli) * YIELD_FACTOR
}

/// Reports whether an owner may still act whose last confirmed write was sent at `confirmed_sent`.
pub fn may_act(confirmed_sent: Instant, now: Instant) -> bool {
    now.saturating_duration_since(confirmed_sent) < OWNER_LEASE
}
