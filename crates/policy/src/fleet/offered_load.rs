//! Measurement of the work that arrives for a pool, refused work included.
//!
//! Queues have bursts of several times their mean load, one after the other. A slow estimate measures the
//! load of a burst. A fast estimate detects the start of a burst earlier, and is used only while it contains
//! several jobs.

use std::time::{Duration, Instant};

/// Time constant of the slow estimate: short compared with a burst, long compared with single jobs.
const SLOW_TIME_CONSTANT: Duration = Duration::from_millis(1_000);
/// Time constant of the fast estimate: a fraction of the time that the move of an instance takes.
const FAST_TIME_CONSTANT: Duration = Duration::from_millis(350);
/// Number of jobs in the fast estimate from which it is used, so that a single large job is no burst.
const FAST_JOBS_MIN: f64 = 5.0;

/// Number of standard deviations by which the fast estimate must exceed a forecast to be used.
const FAST_DEVIATIONS_MIN: f64 = 1.0;

/// Number of standard deviations of the fast estimate that are added to it before it counts as a fall of the load. With
/// two, fluctuations of a steady load may count as a fall.
const FALL_DEVIATIONS: f64 = 3.0;

/// Exponentially decaying sums of the work and the jobs that arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
struct DecayingSums {
    time_constant: Duration,
    work_milli_ms: f64,
    jobs: f64,
    updated: Instant,
}

impl DecayingSums {
    fn new(time_constant: Duration, now: Instant) -> DecayingSums {
        DecayingSums { time_constant, work_milli_ms: 0.0, jobs: 0.0, updated: now }
    }

    fn at(&self, now: Instant) -> DecayingSums {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let decay = (-elapsed / self.time_constant.as_secs_f64()).exp();
        let (work_milli_ms, jobs) = (self.work_milli_ms * decay, self.jobs * decay);
        DecayingSums { work_milli_ms, jobs, updated: now, ..*self }
    }

    fn add(&mut self, work_milli_ms: f64, now: Instant) {
        *self = self.at(now);
        self.work_milli_ms += work_milli_ms;
        self.jobs += 1.0;
    }

    fn rate_milli(&self) -> f64 {
        self.work_milli_ms / (self.time_constant.as_secs_f64() * 1_000.0)
    }
}

/// Load that is offered to a pool: a slow estimate, and a fast one for the start of a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OfferedLoad {
    slow: DecayingSums,
    fast: DecayingSums,
}

impl OfferedLoad {
    /// Creates an estimate of no load.
    pub fn new(now: Instant) -> OfferedLoad {
        OfferedLoad {
            slow: DecayingSums::new(SLOW_TIME_CONSTANT, now),
            fast: DecayingSums::new(FAST_TIME_CONSTANT, now),
        }
    }

    /// Adds a job that arrives now, with its work in thousandths of a core times milliseconds.
    pub fn add(&mut self, work_milli_ms: f64, now: Instant) {
        self.slow.add(work_milli_ms, now);
        self.fast.add(work_milli_ms, now);
    }

    /// Returns the processors that the offered load keeps busy, in thousandths of a core.
    pub fn rate_milli(&self, now: Instant) -> f64 {
        let (slow, fast) = (self.slow.at(now), self.fast.at(now));
        match fast.jobs >= FAST_JOBS_MIN {
            true => slow.rate_milli().max(fast.rate_milli()),
            false => slow.rate_milli(),
        }
    }

    /// Returns an upper bound on the present load while it falls, in thousandths of a core; `None` while it does not.
    ///
    /// The slow estimate follows the end of a peak one second late, and the pool would keep most of its instances so long.
    pub fn falling_rate_milli(&self, now: Instant) -> Option<f64> {
        let (slow, fast) = (self.slow.at(now), self.fast.at(now));
        if fast.jobs <= 0.0 {
            return None;
        }
        let bound_milli = fast.rate_milli() * (1.0 + FALL_DEVIATIONS / fast.jobs.sqrt());
        (bound_milli < slow.rate_milli()).then_some(bound_milli)
    }

    /// Returns the processors that the offered load keeps busy beside a forecast of it, in thousandths of a core.
    ///
    /// The forecast covers the start of a burst, so the fast estimate, which varies more, is used only for load that was
    /// not forecast.
    pub fn rate_beside_forecast_milli(&self, forecast_milli: f64, now: Instant) -> f64 {
        let (slow, fast) = (self.slow.at(now), self.fast.at(now));
        let expected = slow.rate_milli().max(forecast_milli);
        let deviation = fast.rate_milli() * FAST_DEVIATIONS_MIN / fast.jobs.max(1.0).sqrt();
        match fast.jobs >= FAST_JOBS_MIN && fast.rate_milli() - deviation > expected {
            true => fast.rate_milli(),
            false => slow.rate_milli(),
        }
    }
}
