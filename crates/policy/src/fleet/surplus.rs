//! Instances that a pool does not need any more, by the targets of the last seconds.
//!
//! The target of a pool fluctuates with the arrivals. An instance that is given away for a short dip costs two moves, and
//! one that is kept after a peak costs its time. A pool therefore gives away only what exceeded its target throughout a
//! window, whose length depends on how certain it is that the load has fallen.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which instances must have been surplus before they move to the standby pool: about the time after which an
/// idle instance has cost as much as two moves and the wait for the second.
const STANDBY_DELAY: Duration = Duration::from_millis(1_500);
/// Time for which instances must have been surplus before they move to another pool, or to the standby pool when the
/// fall of the load is certain.
const TRANSFER_DELAY: Duration = Duration::from_millis(400);
/// Factor by which the highest target of [`STANDBY_DELAY`] must exceed that of [`TRANSFER_DELAY`] for a fall of the load
/// to be certain; the load of a steady pool varies by less.
const CERTAIN_FALL_FACTOR: f64 = 1.5;

/// Targets of one pool over the delay before its surplus moves to standby.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetHistory {
    since: Instant,
    targets: VecDeque<(Instant, usize)>,
}

impl TargetHistory {
    /// Creates an empty history; the targets before `now` are unknown.
    pub fn new(now: Instant) -> TargetHistory {
        TargetHistory { since: now, targets: VecDeque::new() }
    }

    /// Adds the target that has been computed now.
    pub fn add(&mut self, target: usize, now: Instant) {
        self.targets.push_back((now, target));
        while self
            .targets
            .front()
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) > STANDBY_DELAY)
        {
            self.targets.pop_front();
        }
    }

    /// Returns the number of instances that a pool keeps although another pool lacks them.
    pub fn kept_from_transfer(&self, now: Instant) -> usize {
        self.highest(TRANSFER_DELAY, now)
    }

    /// Returns the number of instances that a pool keeps although they could move to the standby pool; `None` while the
    /// history is too short to tell.
    ///
    /// With `forecast`, the highest target that is forecast until instances that leave now would be back, the fall of
    /// the load is certain.
    pub fn kept_from_standby(&self, forecast: Option<usize>, now: Instant) -> Option<usize> {
        if now.saturating_duration_since(self.since) < STANDBY_DELAY {
            return None;
        }
        let recent = self.highest(TRANSFER_DELAY, now);
        if let Some(forecast) = forecast {
            return Some(recent.max(forecast));
        }
        let certain = (recent as f64 * CERTAIN_FALL_FACTOR).ceil() as usize;
        Some(self.highest(STANDBY_DELAY, now).min(certain))
    }

    fn highest(&self, window: Duration, now: Instant) -> usize {
        let recent =
            self.targets.iter().filter(|(at, _)| now.saturating_duration_since(*at) <= window);
        recent.map(|(_, target)| *target).max().unwrap_or(usize::MAX)
    }
}
