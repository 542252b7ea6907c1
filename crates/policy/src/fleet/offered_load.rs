//! How much work arrives for a pool, refused work included.
//!
//! A queue asks for several times its mean in turn. A steady reading tells how much that is; the begin of a
//! turn shows earlier in a quick one, which counts only once several jobs are in it.

use std::time::{Duration, Instant};

/// The time constant of the offered load: short beside a turn of a queue, long beside single jobs.
const OFFER_MEMORY: Duration = Duration::from_millis(1_000);
/// The time constant of the quick reading, a small part of the time that a move takes.
const QUICK_MEMORY: Duration = Duration::from_millis(350);
/// The jobs in the quick reading from which it is a load and not a single large job.
const QUICK_JOBS_MIN: f64 = 5.0;

/// Work and jobs that arrive, as sums that fade with a time constant.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Fading {
    memory: Duration,
    work_milli_ms: f64,
    jobs: f64,
    updated: Instant,
}

impl Fading {
    fn new(memory: Duration, now: Instant) -> Fading {
        Fading { memory, work_milli_ms: 0.0, jobs: 0.0, updated: now }
    }

    fn at(&self, now: Instant) -> Fading {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        let kept = (-passed / self.memory.as_secs_f64()).exp();
        let (work_milli_ms, jobs) = (self.work_milli_ms * kept, self.jobs * kept);
        Fading { work_milli_ms, jobs, updated: now, ..*self }
    }

    fn add(&mut self, work_milli_ms: f64, now: Instant) {
        *self = self.at(now);
        self.work_milli_ms += work_milli_ms;
        self.jobs += 1.0;
    }

    fn rate_milli(&self) -> f64 {
        self.work_milli_ms / (self.memory.as_secs_f64() * 1_000.0)
    }
}

/// The work that is offered to a pool: a steady reading, and a quick one for the begin of a turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OfferedLoad {
    steady: Fading,
    quick: Fading,
}

impl OfferedLoad {
    /// Creates an offer of nothing.
    pub fn new(now: Instant) -> OfferedLoad {
        OfferedLoad {
            steady: Fading::new(OFFER_MEMORY, now),
            quick: Fading::new(QUICK_MEMORY, now),
        }
    }

    /// Adds a job with its work, in thousandths of a core times milliseconds.
    pub fn add(&mut self, work_milli_ms: f64, now: Instant) {
        self.steady.add(work_milli_ms, now);
        self.quick.add(work_milli_ms, now);
    }

    /// Returns the processors that the offered work keeps busy, in thousandths of a core.
    pub fn rate_milli(&self, now: Instant) -> f64 {
        let (steady, quick) = (self.steady.at(now), self.quick.at(now));
        match quick.jobs >= QUICK_JOBS_MIN {
            true => steady.rate_milli().max(quick.rate_milli()),
            false => steady.rate_milli(),
        }
    }
}
