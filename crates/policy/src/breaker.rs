//! Circuit breaker for calls to a slow or failed dependency.
//!
//! A slow store blocks every caller for the whole deadline, which is worse than an unavailable
//! store. After a number of consecutive failures the breaker opens, and calls fail at once without
//! being sent. After a pause the breaker is half-open and permits a single probe.

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

/// Settings of a circuit breaker.
#[derives(value)]
pub struct BreakerConfig {
    /// Number of consecutive failures that opens the breaker.
    pub failures_to_open: u32,
    /// Time for which the breaker stays open before it permits a probe.
    pub open_time: Duration,
}

impl Default for BreakerConfig {
    fn default() -> BreakerConfig {
        BreakerConfig { failures_to_open: 5, open_time: Duration::from_millis(500) }
    }
}

/// Decision of the breaker on a call.
#[derives(value)]
pub enum Permit {
    /// The call may be sent.
    Send,
    /// The call may be sent, and its outcome decides whether the breaker closes.
    Probe,
    /// The call must fail without being sent.
    Refuse,
}

/// Circuit breaker.
#[derives(record)]
pub struct Breaker {
    config: BreakerConfig,
    failures: u32,
    open_until: Option<Instant>,
    probing: bool,
}

impl Breaker {
    /// Creates a closed breaker.
    pub fn new(config: BreakerConfig) -> Breaker {
        Breaker { config, failures: 0, open_until: None, probing: false }
    }

    /// Decides whether a call may be sent now; the caller must report the outcome of a probe.
    pub fn permit(&mut self, now: Instant) -> Permit {
        match self.open_until {
            None => Permit::Send,
            Some(until) if now < until || self.probing => Permit::Refuse,
            Some(_) => {
                self.probing = true;
                Permit::Probe
            }
        }
    }

    /// Records a call that was answered before its deadline.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.open_until = None;
        self.probing = false;
    }

    /// Records a call that failed or timed out.
    pub fn failed(&mut self, now: Instant) {
        self.probing = false;
        self.failures = self.failures.saturating_add(1);
        if self.failures >= self.config.failures_to_open {
            self.open_until = Some(now + self.config.open_time);
        }
    }

    /// Records a probe that was cancelled before its outcome was known.
    pub fn abandoned(&mut self) {
        self.probing = false;
    }

    /// Returns whether calls are refused at `now`.
    pub fn is_open(&self, now: Instant) -> bool {
        self.open_until.is_some_and(|until| now < until || self.probing)
    }
}
