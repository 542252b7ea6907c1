//! Choice of the upstream for a request.
//!
//! The choice is by the power of two random choices: of two sampled candidates, the one with less
//! outstanding work per slot is taken. A global minimum would attract the requests of all daemons
//! at once (herding). Failure domains that an earlier attempt used are avoided while others have
//! capacity. Upstreams with a high failure rate are ejected temporarily, but never more than a
//! fixed fraction of a pool.

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use crate::ids::FailureDomain;

/// State of an upstream that the choice depends on.
#[derives(record)]
#[derive(Copy)]
pub struct Candidate<'a> {
    /// Failure domain of the upstream.
    pub failure_domain: &'a FailureDomain,
    /// Number of this daemon's requests that are running at the upstream.
    pub outstanding: u32,
    /// Maximum number of this daemon's requests at the upstream.
    pub capacity: u32,
    /// Whether the upstream accepts new work.
    pub serving: bool,
    /// Whether the upstream is ejected because of failures.
    pub ejected: bool,
    /// Time at which the upstream began to serve, from which the slow start is measured.
    pub serving_since: Instant,
}

/// Time over which the capacity of a new upstream rises to its full value.
const SLOW_START_TIME: Duration = Duration::from_secs(10);

/// Fraction of the capacity that an upstream has at the beginning of its slow start.
const SLOW_START_FRACTION_MIN: f64 = 0.1;

/// Returns the capacity of an upstream under its slow start, which is at least one request.
pub fn effective_capacity(candidate: &Candidate<'_>, now: Instant) -> u32 {
    let age = now.saturating_duration_since(candidate.serving_since);
    let ramp = age.as_secs_f64() / SLOW_START_TIME.as_secs_f64();
    let fraction = ramp.clamp(SLOW_START_FRACTION_MIN, 1.0);
    ((f64::from(candidate.capacity) * fraction) as u32).max(1)
}

/// Number of pairs that are sampled before all candidates are examined.
const SAMPLED_PAIRS_MAX: usize = 3;

/// Preference class of a candidate, worst first.
///
/// A candidate is taken only if no candidate of a better class exists, and a full one never.
#[derives(value)]
enum Tier {
    Full,
    Ejected,
    UsedDomain,
    Good,
}

/// Returns the index of the chosen candidate of `count`, or `None` if none has capacity.
///
/// `candidate` returns the candidate at an index. `avoid` lists the failure domains of earlier
/// attempts. `draw` returns a random number below its argument. All candidates are examined only if
/// the sampled pairs contain none of the best class.
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
    for _ in 0..SAMPLED_PAIRS_MAX {
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

/// Passive health check of one upstream, from recent outcomes that decay exponentially.
#[derives(record)]
pub struct Health {
    successes: f64,
    failures: f64,
    decayed_at: Instant,
    ejected_until: Option<Instant>,
    ejections: u32,
}

/// Time after which the weight of an outcome has halved.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Decayed number of failures below which an upstream is never ejected.
const EJECT_FAILURES_MIN: f64 = 3.0;
/// Failure rate at which an upstream is ejected.
const EJECT_FAILURE_RATE: f64 = 0.5;
/// Duration of the first ejection; each further ejection doubles it.
const EJECTION_TIME_BASE: Duration = Duration::from_secs(5);
/// Maximum number of doublings of [`EJECTION_TIME_BASE`].
const EJECT_DOUBLINGS_MAX: u32 = 5;
/// Divisor of a pool's size that gives the number of upstreams that may be ejected at once.
const EJECTED_DIVISOR: usize = 3;

impl Health {
    /// Creates the state of an upstream without outcomes.
    pub fn new(now: Instant) -> Health {
        Health { successes: 0.0, failures: 0.0, decayed_at: now, ejected_until: None, ejections: 0 }
    }

    /// Records the outcome of one request.
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

    /// Returns whether the upstream is ejected.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the failure rate justifies an ejection.
    pub fn is_failing(&self) -> bool {
        let total = self.successes + self.failures;
        self.failures >= EJECT_FAILURES_MIN && self.failures / total >= EJECT_FAILURE_RATE
    }

    /// Ejects the upstream if it is failing and the pool's ejection limit allows it; returns
    /// whether it was ejected.
    ///
    /// `ejected` is the number of ejected upstreams of the pool and `size` the size of the pool.
    pub fn eject_if_failing(&mut self, now: Instant, ejected: usize, size: usize) -> bool {
        let below_limit = ejected < size / EJECTED_DIVISOR;
        if self.is_ejected(now) || !self.is_failing() || !below_limit {
            return false;
        }
        let doublings = self.ejections.min(EJECT_DOUBLINGS_MAX);
        self.ejected_until = Some(now + EJECTION_TIME_BASE * 2_u32.pow(doublings));
        self.ejections += 1;
        // Outcomes from before the ejection must not cause the next one.
        self.successes = 0.0;
        self.failures = 0.0;
        true
    }
}

/// Newest boot of an upstream that is known to be draining; a draining boot gets no new work.
#[derives(record)]
#[derive(Default)]
pub struct DrainNotice {
    boot: Option<crate::ids::BootId>,
}

impl DrainNotice {
    /// Records that `boot` is draining; returns whether that was not known before.
    ///
    /// A notice counts whatever its source: a response of the upstream, the instance list or a peer.
    pub fn record(&mut self, boot: crate::ids::BootId) -> bool {
        let newer = self.boot.is_none_or(|known| boot > known);
        if newer {
            self.boot = Some(boot);
        }
        newer
    }

    /// Returns whether `boot` is draining or older than a boot that is.
    pub fn applies_to(&self, boot: crate::ids::BootId) -> bool {
        self.boot.is_some_and(|leaving| boot <= leaving)
    }
}
