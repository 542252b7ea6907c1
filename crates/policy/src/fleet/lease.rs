//! How long an order may still take effect at a worker.
//!
//! A worker measures leases on its own clock, which may be slow. The owner knows that clock only from
//! samples, so it bounds the end of a lease from above: the sample was taken before its answer
//! arrived, and from then on the worker's clock runs at least [`WORKER_CLOCK_RATE_MIN`] as fast as ours.

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

/// The slowest rate of a worker's clock; the platform states 2%, and the rest is margin.
pub const WORKER_CLOCK_RATE_MIN: f64 = 0.975;

/// How long tasks hold their lease after a renewal.
///
/// It has to outlast a take-over (the store's lease, its margin and the reading back), and is how long
/// the tasks of a worker that fell silent wait before they run elsewhere.
pub const TASK_LEASE: Duration = Duration::from_millis(4_500);

/// How long a start may take effect after it was sent.
///
/// It is short because a lost start blocks its task that long, and longer than the delay of an answer
/// on a slow instance.
pub const START_VALIDITY: Duration = Duration::from_millis(2_500);

/// A reading of a worker's clock.
#[derives(value)]
pub struct ClockSample {
    /// What the worker's clock showed, in milliseconds.
    pub clock_ms: u64,
    /// When the answer with the reading arrived here.
    pub received: Instant,
}

impl ClockSample {
    /// Returns a reading of the worker's clock at `now` that is not ahead of the true one.
    pub fn clock_at(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.received);
        self.clock_ms + (passed.as_secs_f64() * 1_000.0 * WORKER_CLOCK_RATE_MIN) as u64
    }

    /// Returns the time on the worker's clock until which an order sent at `now` holds.
    pub fn until(&self, now: Instant, life: Duration) -> u64 {
        self.clock_at(now) + life.as_millis() as u64
    }

    /// Returns a time by which the worker's clock has surely passed `until_ms`.
    pub fn passed_by(&self, until_ms: u64) -> Instant {
        let left_ms = until_ms.saturating_sub(self.clock_ms) as f64;
        self.received + Duration::from_secs_f64(left_ms / 1_000.0 / WORKER_CLOCK_RATE_MIN)
    }
}

/// Returns how long a lease that another owner has just renewed may last on our clock.
pub fn lease_bound() -> Duration {
    TASK_LEASE.max(START_VALIDITY).div_f64(WORKER_CLOCK_RATE_MIN)
}
