//! Which upstream gets a request.
//!
//! Of two candidates drawn at random, the one with less outstanding work per slot is taken; that
//! avoids the herd that a global minimum attracts when several daemons decide at once. Failure
//! domains that an earlier attempt used are avoided while others have room. Upstreams that fail much
//! more than their peers are ejected for a while, but never more than a bounded part of a pool.

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use crate::ids::FailureDomain;

/// What the choice needs to know of one upstream.
#[derives(record)]
#[derive(Copy)]
pub struct Candidate<'a> {
    /// The upstream's failure domain.
    pub failure_domain: &'a FailureDomain,
    /// The requests that this daemon has running there.
    pub outstanding: u32,
    /// The requests that this daemon may have running there.
    pub capacity: u32,
    /// Whether it may get new work at all.
    pub serving: bool,
    /// Whether it is ejected for failing.
    pub ejected: bool,
    /// When it began to serve, for the slow start.
    pub serving_since: Instant,
}

/// How long an upstream takes to get its full part of the work.
const SLOW_START: Duration = Duration::from_secs(10);

/// The part of its capacity that an upstream gets at the start of its slow start.
const SLOW_START_FLOOR: f64 = 0.1;

/// Returns the requests that an upstream may have now, given its slow start; at least one.
pub fn effective_capacity(candidate: &Candidate<'_>, now: Instant) -> u32 {
    let age = now.saturating_duration_since(candidate.serving_since);
    let ramp = age.as_secs_f64() / SLOW_START.as_secs_f64();
    let part = ramp.clamp(SLOW_START_FLOOR, 1.0);
    ((f64::from(candidate.capacity) * part) as u32).max(1)
}

/// How many pairs are drawn before all candidates are looked at.
const DRAWS: usize = 3;

/// How good a candidate is; a lower tier is taken only when the higher ones have no room.
#[derives(value)]
enum Tier {
    Full,
    Ejected,
    UsedDomain,
    Good,
}

/// Chooses among `count` candidates and returns an index, or `None` if none has room.
///
/// `candidate` describes the one at an index. `avoid` lists the failure domains of earlier attempts.
/// `draw` returns a random number below its argument. Usually only a few candidates are looked at.
pub fn choose<'a>(
    count: usize,
    candidate: impl Fn(usize) -> Candidate<'a>,
    avoid: &[FailureDomain],
    now: Instant,
    mut draw: impl FnMut(usize) -> usize,
) -> Option<usize> {
    if count == 0 {
        return None;
    }
    let rate = |index: usize| {
        let candidate = candidate(index);
        (tier(&candidate, avoid, now), load(&candidate, now))
    };
    for _ in 0..DRAWS {
        let first = draw(count);
        let second = (first + 1 + draw(count.max(2) - 1)) % count;
        let better = better_of(first, second, &rate);
        if rate(better).0 == Tier::Good {
            return Some(better);
        }
    }
    let start = draw(count);
    let best = (0..count)
        .map(|step| (start + step) % count)
        .reduce(|best, index| better_of(best, index, &rate))?;
    (rate(best).0 != Tier::Full).then_some(best)
}

fn better_of(a: usize, b: usize, rate: &impl Fn(usize) -> (Tier, f64)) -> usize {
    let ((tier_a, load_a), (tier_b, load_b)) = (rate(a), rate(b));
    let b_is_better = tier_b > tier_a || (tier_b == tier_a && load_b < load_a);
    if b_is_better { b } else { a }
}

fn tier(candidate: &Candidate<'_>, avoid: &[FailureDomain], now: Instant) -> Tier {
    if !candidate.serving || candidate.outstanding >= effective_capacity(candidate, now) {
        Tier::Full
    } else if candidate.ejected {
        Tier::Ejected
    } else if avoid.contains(candidate.failure_domain) {
        Tier::UsedDomain
    } else {
        Tier::Good
    }
}

fn load(candidate: &Candidate<'_>, now: Instant) -> f64 {
    f64::from(candidate.outstanding) / f64::from(effective_capacity(candidate, now))
}

/// The recent outcomes of one upstream, which decay with time.
#[derives(record)]
pub struct Health {
    successes: f64,
    failures: f64,
    decayed_at: Instant,
    ejected_until: Option<Instant>,
    ejections: u32,
}

/// How long an outcome takes to count half.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// The failures below which an upstream is never ejected.
const EJECT_FAILURES_MIN: f64 = 3.0;
/// The rate of failures from which an upstream is ejected.
const EJECT_FAILURE_RATE: f64 = 0.5;
/// How long the first ejection lasts; each further one doubles it.
const EJECT_FOR: Duration = Duration::from_secs(5);
/// The largest number of doublings of [`EJECT_FOR`].
const EJECT_DOUBLINGS_MAX: u32 = 5;
/// The part of a pool that may be ejected at once, as a divisor of its size.
const EJECTED_DIVISOR: usize = 3;

impl Health {
    /// Creates the state of an upstream without history.
    pub fn new(now: Instant) -> Health {
        Health { successes: 0.0, failures: 0.0, decayed_at: now, ejected_until: None, ejections: 0 }
    }

    /// Records one outcome.
    pub fn record(&mut self, success: bool, now: Instant) {
        self.decay(now);
        if success {
            self.successes += 1.0;
        } else {
            self.failures += 1.0;
        }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.decayed_at).as_secs_f64();
        let factor = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        self.successes *= factor;
        self.failures *= factor;
        self.decayed_at = now;
    }

    /// Reports whether the upstream is ejected.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Reports whether the outcomes alone would eject the upstream.
    pub fn is_failing(&self) -> bool {
        let total = self.successes + self.failures;
        self.failures >= EJECT_FAILURES_MIN && self.failures / total >= EJECT_FAILURE_RATE
    }

    /// Ejects the upstream if it is failing and the pool can spare it; returns whether it did.
    ///
    /// `ejected` is the number of upstreams of its pool that are out, `size` the size of the pool.
    pub fn eject_if_failing(&mut self, now: Instant, ejected: usize, size: usize) -> bool {
        let room = ejected < size / EJECTED_DIVISOR;
        if self.is_ejected(now) || !self.is_failing() || !room {
            return false;
        }
        let doublings = self.ejections.min(EJECT_DOUBLINGS_MAX);
        self.ejected_until = Some(now + EJECT_FOR * 2_u32.pow(doublings));
        self.ejections += 1;
        // After its return the upstream is judged by new outcomes alone.
        self.successes = 0.0;
        self.failures = 0.0;
        true
    }
}

/// The earliest news that an upstream is leaving, which holds for the rest of its boot.
#[derives(record)]
#[derive(Default)]
pub struct DrainNotice {
    boot: Option<crate::ids::BootId>,
}

impl DrainNotice {
    /// Records that the boot `boot` of the upstream is leaving, whoever says so; returns whether it
    /// is news.
    pub fn record(&mut self, boot: crate::ids::BootId) -> bool {
        let news = self.boot.is_none_or(|known| boot > known);
        if news {
            self.boot = Some(boot);
        }
        news
    }

    /// Reports whether the boot `boot` may not get new work.
    pub fn applies_to(&self, boot: crate::ids::BootId) -> bool {
        self.boot.is_some_and(|leaving| boot <= leaving)
    }
}
