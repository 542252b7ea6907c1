//! Replaceable sources of time.
//!
//! Code reads the time from a [`Clock`] instead of the system, so that tests drive all timers through
//! tokio's paused time. Decisions use monotonic time; the wall clock only stamps rows that expire hours
//! later.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Source of monotonic and wall-clock time.
#[derive(Clone)]
pub struct Clock {
    now: Arc<dyn Fn() -> Instant + Send + Sync>,
    wall: Arc<dyn Fn() -> SystemTime + Send + Sync>,
}

impl Clock {
    /// Creates a clock from a function for monotonic time and one for wall-clock time.
    pub fn new(
        now: impl Fn() -> Instant + Send + Sync + 'static,
        wall: impl Fn() -> SystemTime + Send + Sync + 'static,
    ) -> Clock {
        Clock { now: Arc::new(now), wall: Arc::new(wall) }
    }

    /// Creates a clock with tokio's monotonic time, which tests can pause, and the system's wall clock.
    pub fn tokio() -> Clock {
        Clock::new(|| tokio::time::Instant::now().into_std(), SystemTime::now)
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Instant {
        (self.now)()
    }

    /// Returns the wall-clock time, in whole milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        (self.wall)().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_millis() as u64
    }

    /// Returns the wall-clock time, in whole seconds since the Unix epoch.
    pub fn unix_s(&self) -> u64 {
        (self.wall)().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_secs()
    }
}

impl std::fmt::Debug for Clock {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Clock")
    }
}
