//! Upper bounds for the time in which an order can take effect on a worker.
//!
//! A worker measures leases on its own clock, which may be slow. The owner knows that clock only from
//! samples, so it bounds the end of a lease from above: a sample was taken before its answer arrived, and
//! from then on the worker's clock runs at least [`WORKER_CLOCK_RATE_MIN`] times as fast as the owner's.
//!
//! The clock of each incarnation starts anywhere. A worker that restarts keeps its id, so it also carries out orders
//! that were computed for the clock of its previous incarnation ([`LeaseOrder`]).

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

/// Minimum rate of a worker's clock relative to the owner's; the platform states a deviation of 2%, and the
/// rest is margin.
pub const WORKER_CLOCK_RATE_MIN: f64 = 0.975;

/// Longest time between the reading of a worker's clock and the arrival of the answer with it: the platform's client waits no
/// longer for an answer.
const READING_AGE_MAX: Duration = Duration::from_secs(2);

/// Time for which a task's lease is valid after a renewal, on the worker's clock.
///
/// The lease has to outlast a takeover: the owner's lease, its margin and the time to restore the rows. The tasks
/// of an unresponsive worker wait for that long before they run elsewhere.
pub const TASK_LEASE: Duration = Duration::from_millis(4_500);

/// Time for which a start is valid after it was sent.
///
/// The time is short because a start in doubt blocks its task for that long, but longer than the delay of an
/// answer on a slow instance.
pub const START_VALIDITY: Duration = Duration::from_millis(2_500);

/// A sample of a worker's clock.
#[derives(value)]
pub struct ClockSample {
    /// Reading of the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Time at which the answer with the reading arrived, on the owner's clock.
    pub received: Instant,
}

impl ClockSample {
    /// Returns a lower bound for the worker's clock at `now`, in milliseconds.
    pub fn clock_at(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.received);
        let passed_ms = (passed.as_secs_f64() * 1_000.0 * WORKER_CLOCK_RATE_MIN) as u64;
        self.clock_ms.saturating_add(passed_ms)
    }

    /// Returns whether a later sample, in the answer to a request that was sent at `sent`, can be one of the same clock.
    ///
    /// The clock of another incarnation starts anywhere, so that its sample most likely cannot; if it can, orders last hardly
    /// longer on that clock, since its reading is not below that of the known one when the request was sent.
    pub fn can_be_followed_by(&self, sent: Instant, later: &ClockSample) -> bool {
        let passed = later.received.saturating_duration_since(self.received);
        let latest = passed.div_f64(WORKER_CLOCK_RATE_MIN) + READING_AGE_MAX;
        let latest_ms = self.clock_ms.saturating_add(latest.as_millis() as u64);
        // The request may have been sent before this sample arrived.
        let before = self.received.saturating_duration_since(sent).div_f64(WORKER_CLOCK_RATE_MIN);
        let before_ms = before.as_secs_f64() * 1_000.0;
        let earliest_ms = self.clock_at(sent).saturating_sub(before_ms.ceil() as u64);
        (earliest_ms..=latest_ms).contains(&later.clock_ms)
    }

    /// Returns the time on the worker's clock, in milliseconds, to which an order sent at `now` is valid.
    pub fn until(&self, now: Instant, validity: Duration) -> u64 {
        self.clock_at(now).saturating_add(validity.as_millis() as u64)
    }

    /// Returns a time by which the worker's clock has certainly passed `until_ms`.
    pub fn latest_time_of(&self, until_ms: u64) -> Instant {
        let left_ms = until_ms.saturating_sub(self.clock_ms) as f64;
        self.received + Duration::from_secs_f64(left_ms / 1_000.0 / WORKER_CLOCK_RATE_MIN)
    }
}

/// An order that extends the leases on a worker to a time on the clock of one incarnation.
#[derives(value)]
pub struct LeaseOrder {
    /// Time to which the order extends leases, in milliseconds of that clock.
    pub until_ms: u64,
    /// Time at which the order was sent.
    pub sent: Instant,
    /// Time by which the order has arrived, if it arrives at all.
    pub arrives_by: Instant,
}

impl LeaseOrder {
    /// Returns an order whose effects on another incarnation end no earlier than those of both orders.
    pub fn merged(self, other: LeaseOrder) -> LeaseOrder {
        LeaseOrder {
            until_ms: self.until_ms.max(other.until_ms),
            sent: self.sent.max(other.sent),
            arrives_by: self.arrives_by.max(other.arrives_by),
        }
    }

    /// Returns a time by which leases have expired that the order extends on an incarnation with the given clock, which is
    /// `None` if it is not known.
    ///
    /// The incarnation need not be the one that the order was computed for. Where the order's time lies far ahead on its
    /// clock, the lease ends `lease_max` after the order has arrived.
    pub fn leases_expire_by(&self, clock: Option<&ClockSample>, lease_max: Duration) -> Instant {
        let longest = self.arrives_by + longest_time_of(lease_max);
        clock.map_or(longest, |clock| clock.latest_time_of(self.until_ms).min(longest))
    }
}

/// Returns the longest time, on the owner's clock, that a duration on a worker's clock may take.
pub fn longest_time_of(duration: Duration) -> Duration {
    duration.div_f64(WORKER_CLOCK_RATE_MIN)
}
