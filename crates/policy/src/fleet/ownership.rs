//! Ownership of the fleet's shards: leases, takeover and handover.
//!
//! One row of the store names the owner of a shard. Every write of the owner is conditional on the version
//! of that row and replaces it. So each write renews the lease, a delayed write based on an earlier state
//! fails, and the first write of a successor fences all later writes of the predecessor.

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use crate::ids::DaemonId;

/// Id of a part of the fleet that has one owner.
pub type ShardId = &'static str;

/// Shards of the fleet: a single one, so that the teams' caps are exact without coordination.
pub const SHARDS: [ShardId; 1] = ["fleet"];

/// Time for which an owner may act after it sent its last confirmed write.
pub const OWNER_LEASE: Duration = Duration::from_millis(1_500);
/// Margin that an observer adds to the lease, for clock drift and calls in flight.
pub const OWNER_LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which an idle owner renews its lease; about three renewals fit in a lease.
pub const OWNER_RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which an owner must not have answered, and its row not have changed, before it may be replaced
/// although its lease may not have expired.
///
/// An idle owner renews its lease every 0.4 s; the rest is for a store that answers late. Both conditions are
/// required because a network partition or a slow store causes only one of them.
pub const OWNER_UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);

/// Row that names the owner of a shard.
#[derives(record)]
pub struct OwnerRow {
    /// Daemon that owns the shard.
    pub daemon: DaemonId,
    /// Random number of the daemon's incarnation, by which it recognizes its own writes.
    pub incarnation: u64,
    /// Address at which other daemons reach the owner.
    pub address: String,
    /// Fencing token, which grows with each change of the owner.
    pub fence: u64,
    /// Number of writes in the owner's term.
    pub writes: u64,
    /// Whether the owner has released the shard, so that a successor may take it over at once.
    pub released: bool,
    /// Processor capacity of the owner's instance, in thousandths of a core.
    pub processor_milli: u32,
}

/// Observation of an owner's row by another daemon.
#[derives(record)]
pub struct Observation {
    /// Version of the row.
    pub version: u64,
    /// Time at which this version was first read.
    pub first_seen: Instant,
    /// Time at which the row was last read.
    pub last_read: Instant,
}

/// Maximum pause between two reads for which the observation of an unchanged row continues; after a longer pause
/// it starts again.
///
/// While the observer could not read the store, the owner may not have reached it either. The bound is long
/// enough that a late answer on a slow instance does not count as a gap, which would prevent any takeover.
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

/// Status that an active owner last reported, with the number of its confirmed writes.
#[derives(value)]
pub struct OwnerHeartbeat {
    /// Fencing token of the owner.
    pub fence: u64,
    /// Number of confirmed writes in the owner's term.
    pub writes: u64,
    /// Time at which the status arrived.
    pub received: Instant,
}

/// Returns the first observation of a row by an observer that may have received a heartbeat shortly before.
///
/// If the row still holds the last write that the heartbeat reported, it has not changed since, and the owner's
/// lease runs from that write. So the observation starts at the heartbeat, and the time before the first read
/// counts as well.
pub fn observe_first(
    row: &OwnerRow,
    version: u64,
    heartbeat: Option<OwnerHeartbeat>,
    now: Instant,
) -> Observation {
    let first_seen = match heartbeat {
        Some(heartbeat)
            if (row.fence, row.writes) == (heartbeat.fence, heartbeat.writes)
                && now.saturating_duration_since(heartbeat.received) <= OBSERVATION_GAP_MAX =>
        {
            heartbeat.received
        }
        _ => now,
    };
    Observation { version, first_seen, last_read: now }
}

/// Time for which an owner's writes must have failed before it steps down for a daemon that reaches the store.
///
/// It covers several failed writes; waiting for the rest of the lease would only delay the successor.
pub const STORE_LOST_AFTER: Duration = Duration::from_millis(300);

/// Returns whether an owner whose writes have failed since `failing_since` has lost the store and may step
/// down.
pub fn has_lost_store(failing_since: Option<Instant>, now: Instant) -> bool {
    failing_since.is_some_and(|since| now.saturating_duration_since(since) >= STORE_LOST_AFTER)
}

/// Confirmation of an owner that it has stepped down, although its row still names it.
#[derives(value)]
pub struct SteppedDown {
    /// Incarnation of the owner.
    pub incarnation: u64,
    /// Fencing token of the term that has ended.
    pub fence: u64,
}

/// Period in which an owner has answered no status request of an observer.
#[derives(value)]
pub struct UnresponsiveSince {
    /// Fencing token of the owner.
    pub fence: u64,
    /// Time at which the first unanswered request was sent.
    pub since: Instant,
}

/// Returns whether an observer may take the shard over.
///
/// A shard may be taken over at once if the owner has released it in its row, has confirmed by message that it
/// stepped down, or is an earlier incarnation of the observer's own daemon, which has ended since an instance
/// runs one daemon.
///
/// An owner that neither answers nor writes may be replaced before its lease expires: the successor's first
/// write fences its writes, and workers refuse its orders once the successor has called them. Until then,
/// [`predecessor_deadline`] bounds its orders and [`may_report_absence`] its replies. An owner that has not
/// written since its takeover is still reading the rows and may be too busy to answer, so it does not count as
/// unresponsive.
pub fn may_take_over(
    row: &OwnerRow,
    own: &DaemonId,
    stepped_down: Option<SteppedDown>,
    unresponsive: Option<UnresponsiveSince>,
    seen: &Observation,
    now: Instant,
) -> bool {
    let unchanged = now.saturating_duration_since(seen.first_seen);
    let is_unresponsive = unresponsive.is_some_and(|unresponsive| {
        unresponsive.fence == row.fence
            && now.saturating_duration_since(unresponsive.since) >= OWNER_UNRESPONSIVE_AFTER
            && unchanged >= OWNER_UNRESPONSIVE_AFTER
            && row.writes > 1
    });
    row.released
        || row.daemon == *own
        || stepped_down == Some(SteppedDown { incarnation: row.incarnation, fence: row.fence })
        || is_unresponsive
        || unchanged >= OWNER_LEASE + OWNER_LEASE_MARGIN
}

/// Returns the latest time at which the owner that wrote `row` can send an order, on the observer's clock.
///
/// The owner sent its last confirmed write before `seen` began. A successor counts the leases of workers that it
/// cannot reach from this time, since the predecessor may still reach these workers and renew their leases.
pub fn predecessor_deadline(
    row: &OwnerRow,
    own: &DaemonId,
    stepped_down: Option<SteppedDown>,
    seen: &Observation,
) -> Instant {
    let has_stopped = row.released
        || row.daemon == *own
        || stepped_down == Some(SteppedDown { incarnation: row.incarnation, fence: row.fence });
    if has_stopped { seen.last_read } else { seen.first_seen + OWNER_LEASE + OWNER_LEASE_MARGIN }
}

/// Returns whether an owner that sent its last confirmed write at `confirmed_sent` certainly had no successor at `time`.
///
/// A successor's first write follows an observation of the unchanged row for [`OWNER_UNRESPONSIVE_AFTER`].
pub fn precedes_successor(confirmed_sent: Instant, time: Instant) -> bool {
    time.saturating_duration_since(confirmed_sent) < OWNER_UNRESPONSIVE_AFTER
}

/// Returns whether an owner may report that a job does not exist, if it sent its last confirmed write at
/// `confirmed_sent`; a successor may have accepted the job.
pub fn may_report_absence(confirmed_sent: Instant, now: Instant) -> bool {
    precedes_successor(confirmed_sent, now)
}

/// Processor capacity, in thousandths of a core, from which an instance takes over without delay if there was
/// no owner before.
const FIRST_OWNER_CAPACITY_MIN_MILLI: u32 = 500;
/// Maximum delay of a takeover by a small instance: about the additional time that the smallest instances take
/// to rebuild the engine.
const TAKEOVER_DELAY_MAX: Duration = Duration::from_millis(1_000);
/// Ratio of processor capacity from which an active owner hands over to a larger instance.
const HANDOVER_FACTOR: f64 = 1.5;

/// Returns the delay of a takeover by which an instance lets larger ones go first.
///
/// The delay grows with the difference in processor capacity from the last owner's instance
/// (`last_owner_milli`), which was likely to be one of the largest.
pub fn takeover_delay(processor_milli: u32, last_owner_milli: Option<u32>) -> Duration {
    let reference_milli = last_owner_milli.unwrap_or(FIRST_OWNER_CAPACITY_MIN_MILLI).max(1);
    let lacking_milli = reference_milli.saturating_sub(processor_milli);
    TAKEOVER_DELAY_MAX.mul_f64(f64::from(lacking_milli) / f64::from(reference_milli))
}

/// Returns whether an owner should hand over to a daemon on a larger instance.
pub fn should_hand_over(owner_milli: u32, requester_milli: u32) -> bool {
    f64::from(requester_milli) >= f64::from(owner_milli) * HANDOVER_FACTOR
}

/// Returns whether an owner may act that sent its last confirmed write at `confirmed_sent`.
pub fn may_act(confirmed_sent: Instant, now: Instant) -> bool {
    now.saturating_duration_since(confirmed_sent) < OWNER_LEASE
}
