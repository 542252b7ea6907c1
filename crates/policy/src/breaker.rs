//! Turns a slow dependency into a quick and true refusal.
//!
//! A slow store holds every caller for the whole of its deadline, which is worse than a store that
//! is down. After enough consecutive failures the breaker opens and calls fail at once without being
//! sent; after a pause a single probe is let through.

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

/// When the breaker opens and for how long.
#[derives(value)]
pub struct BreakerConfig {
    /// The number of consecutive failures that opens the breaker.
    pub failures_to_open: u32,
    /// How long the breaker stays open before it lets a probe through.
    pub open_for: Duration,
}

impl Default for BreakerConfig {
    fn default() -> BreakerConfig {
        BreakerConfig { failures_to_open: 5, open_for: Duration::from_millis(500) }
    }
}

/// What a call may do now.
#[derives(value)]
pub enum Permit {
    /// The call may be sent.
    Send,
    /// The call may be sent and decides whether the breaker closes.
    Probe,
    /// The call must fail without being sent.
    Refuse,
}

/// The state of one breaker.
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

    /// Asks for leave to send a call.
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

    /// Records a call that was answered in time.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.open_until = None;
        self.probing = false;
    }

    /// Records a call that failed or ran out of time.
    pub fn failed(&mut self, now: Instant) {
        self.probing = false;
        self.failures = self.failures.saturating_add(1);
        if self.failures >= self.config.failures_to_open {
            self.open_until = Some(now + self.config.open_for);
        }
    }

    /// Records a probe whose caller gave up before an outcome was known.
    pub fn abandoned(&mut self) {
        self.probing = false;
    }

    /// Reports whether calls are being refused.
    pub fn is_open(&self, now: Instant) -> bool {
        self.open_until.is_some_and(|until| now < until || self.probing)
    }
}
