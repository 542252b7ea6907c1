//! How fast services and teams use up the failures that their objective allows.
//!
//! A burn rate of one uses the budget up exactly at the end of the objective's period. A fast burn is
//! looked for in a short and a long window together, so that an alert both starts and ends soon.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

/// The length of one bucket of the history.
pub const BUCKET: Duration = Duration::from_secs(10);

/// The requests of one bucket.
#[derives(value)]
#[derive(Default)]
pub struct Counts {
    /// All requests.
    pub total: u64,
    /// Those that were refused or failed.
    pub bad: u64,
}

/// A bounded history of requests in buckets of [`BUCKET`].
#[derives(record)]
pub struct History {
    started_at: Instant,
    // The index of the newest bucket, counted from `started_at`.
    newest: u64,
    buckets: VecDeque<Counts>,
    buckets_max: usize,
}

impl History {
    /// Creates an empty history that reaches back for `span`.
    pub fn new(now: Instant, span: Duration) -> History {
        let buckets_max = (span.as_secs() / BUCKET.as_secs()).max(1) as usize;
        let buckets = VecDeque::from([Counts::default()]);
        History { started_at: now, newest: 0, buckets, buckets_max }
    }

    fn bucket_at(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started_at).as_secs() / BUCKET.as_secs()
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

    /// Returns the sums over the last `window`.
    pub fn sum(&self, window: Duration, now: Instant) -> Counts {
        let age = self.bucket_at(now).saturating_sub(self.newest) as usize;
        let wanted = (window.as_secs() / BUCKET.as_secs()).max(1) as usize;
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

/// Returns the burn rate of `counts` under an objective such as 0.999; zero without requests.
pub fn burn_rate(counts: Counts, objective: f64) -> f64 {
    if counts.total == 0 {
        return 0.0;
    }
    let bad = counts.bad as f64 / counts.total as f64;
    bad / (1.0 - objective).max(f64::EPSILON)
}

/// How urgent a burn is.
#[derives(value)]
pub enum Alert {
    /// The budget will last.
    None,
    /// The budget goes within days.
    Slow,
    /// The budget goes within hours.
    Fast,
}

/// The burn rate from which a burn is fast.
pub const FAST_BURN: f64 = 14.4;
/// The burn rate from which a burn is slow.
pub const SLOW_BURN: f64 = 3.0;

/// Judges the burn rates of a short, a middle and a long window.
pub fn alert(short: f64, middle: f64, long: f64) -> Alert {
    if short >= FAST_BURN && middle >= FAST_BURN {
        return Alert::Fast;
    }
    if middle >= SLOW_BURN && long >= SLOW_BURN {
        return Alert::Slow;
    }
    Alert::None
}
