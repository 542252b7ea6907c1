//! Error-budget burn rates of services and teams, and the alerts on them.
//!
//! A burn rate of one consumes the error budget exactly by the end of the objective's period. Each
//! alert requires a high rate in both a shorter and a longer window, so that it starts and ends soon
//! after its cause does.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

/// Duration that one bucket of the history covers.
pub const BUCKET_WIDTH: Duration = Duration::from_secs(10);

/// Request counts of one bucket or window.
#[derives(value)]
#[derive(Default)]
pub struct Counts {
    /// Number of requests.
    pub total: u64,
    /// Number of requests that were refused or failed.
    pub bad: u64,
}

/// Bounded history of request counts, in buckets of [`BUCKET_WIDTH`].
#[derives(record)]
pub struct History {
    started_at: Instant,
    // Index of the newest bucket, counted from `started_at`.
    newest: u64,
    buckets: VecDeque<Counts>,
    buckets_max: usize,
}

impl History {
    /// Creates an empty history that covers the last `span`.
    pub fn new(now: Instant, span: Duration) -> History {
        let buckets_max = (span.as_secs() / BUCKET_WIDTH.as_secs()).max(1) as usize;
        let buckets = VecDeque::from([Counts::default()]);
        History { started_at: now, newest: 0, buckets, buckets_max }
    }

    fn bucket_at(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started_at).as_secs() / BUCKET_WIDTH.as_secs()
    }

    fn advance(&mut self, now: Instant) {
        let target = self.bucket_at(now);
        let steps = target.saturating_sub(self.newest).min(self.buckets_max as u64);
        for _ in 0..steps {
            self.buckets.push_back(Counts::default());
        }
        while self.buckets.len() > self.buckets_max {
            self.buckets.pop_front();
        }
        self.newest = self.newest.max(target);
    }

    /// Records one request.
    pub fn record(&mut self, good: bool, now: Instant) {
        self.advance(now);
        let counts = self.buckets.back_mut().expect("a history has at least one bucket");
        counts.total += 1;
        counts.bad += u64::from(!good);
    }

    /// Returns the total counts over the last `window`.
    pub fn sum(&self, window: Duration, now: Instant) -> Counts {
        let age = self.bucket_at(now).saturating_sub(self.newest) as usize;
        let wanted = (window.as_secs() / BUCKET_WIDTH.as_secs()).max(1) as usize;
        let newest_first = self.buckets.iter().rev().take(wanted.saturating_sub(age));
        newest_first.fold(Counts::default(), |sum, counts| Counts {
            total: sum.total + counts.total,
            bad: sum.bad + counts.bad,
        })
    }

    /// Returns the buckets, oldest first.
    pub fn buckets(&self) -> impl Iterator<Item = &Counts> {
        self.buckets.iter()
    }
}

/// Returns the burn rate of `counts` for an objective such as 0.999, or zero if there are no
/// requests.
pub fn burn_rate(counts: Counts, objective: f64) -> f64 {
    if counts.total == 0 {
        return 0.0;
    }
    let bad = counts.bad as f64 / counts.total as f64;
    bad / (1.0 - objective).max(f64::EPSILON)
}

/// Alert level of a burn rate.
#[derives(value)]
pub enum Alert {
    /// The error budget is not at risk.
    None,
    /// The error budget would be consumed within days.
    Slow,
    /// The error budget would be consumed within hours.
    Fast,
}

/// Burn rate at which [`Alert::Fast`] is raised.
pub const FAST_BURN_RATE: f64 = 14.4;
/// Burn rate at which [`Alert::Slow`] is raised.
pub const SLOW_BURN_RATE: f64 = 3.0;

/// Returns the alert level for the burn rates of a short, a middle and a long window.
pub fn alert(short: f64, middle: f64, long: f64) -> Alert {
    if short >= FAST_BURN_RATE && middle >= FAST_BURN_RATE {
        return Alert::Fast;
    }
    if middle >= SLOW_BURN_RATE && long >= SLOW_BURN_RATE {
        return Alert::Slow;
    }
    Alert::None
}
