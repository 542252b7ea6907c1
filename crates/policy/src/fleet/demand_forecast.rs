//! Forecast of the work that arrives for each pool, learned from the arrivals alone.
//!
//! Queues of different pools peak one after the other with a common period, and an instance reaches its pool only one
//! move time after the decision. The work that arrived is kept in bins for all pools. The period is the shift by which
//! the recent arrivals of all pools together resemble themselves most, provided that they do not resemble themselves at
//! some shorter shift. The forecast for a time is what arrived one period before it, or the lower of what arrived one and
//! two periods before it, so that a single burst is not taken for a recurring peak. There is no forecast before a period
//! has been seen to recur, and none for a pool whose forecast was wrong twice in succession.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::PoolId;

/// Width of a bin.
const BIN: Duration = Duration::from_millis(100);
/// Number of bins that are kept: two of the longest periods that are looked for.
const BINS_MAX: usize = 900;
/// Shortest period that is looked for, in bins; the peaks of a shorter one are over before an instance has moved.
const PERIOD_MIN: usize = 30;
/// Longest period that is looked for, in bins.
const PERIOD_MAX: usize = 450;
/// Number of bins that must have recurred before a period is used; a quarter of the period if that is more.
const OVERLAP_MIN: usize = 25;
/// Number of the latest bins that are compared with earlier ones.
const OVERLAP_MAX: usize = 300;
/// Number of bins whose mean is compared, because a single bin holds only a few jobs.
const SMOOTHING: usize = 5;
/// Number of bins whose mean is the load at a time: about the run time of the jobs, over which their demand rises.
const LOAD_BINS: usize = 10;
/// Largest number of bins before and after a time over which the random variation of the load is averaged out.
const AROUND_BINS_MAX: usize = 15;
/// Part of the period that is averaged before and after a time; a peak is about a quarter of the period.
const PERIODS_PER_AROUND: usize = 16;
/// Number of bins between two searches for the period.
const BINS_PER_SEARCH: u64 = 10;
/// Similarity from which a shift may be the period; random arrivals of the same rates reach about 0.8.
const SIMILARITY_MIN: f64 = 0.6;
/// Similarity that some shorter shift must stay below, because a load without peaks resembles itself at any shift.
const DISSIMILARITY_MAX: f64 = 0.4;
/// Part of the best similarity from which a shorter shift is preferred to its multiples.
const SHORTEST_PERIOD_RATIO: f64 = 0.92;
/// Part of a pool's highest load from which a load counts as a peak, and half of which it stays below otherwise.
const PEAK_RATIO: f64 = 0.5;
/// Number of bins for which forecast and load must disagree for the forecast to count as wrong.
const WRONG_BINS: u32 = 10;
/// Number of wrong forecasts in succession after which a pool's forecast is not used.
const WRONG_MAX: u32 = 2;

/// Work that arrived for one pool, and how well its forecast has done.
#[derive(Clone, Debug, Default, PartialEq)]
struct PoolArrivals {
    /// Work of each bin, in thousandths of a core times milliseconds.
    bins: VecDeque<f64>,
    /// Number of successive bins in which forecast and load have disagreed.
    disagreeing: u32,
    /// Number of wrong forecasts since the last correct one.
    wrong: u32,
    /// Bin before which the forecast is not used.
    distrusted_until: u64,
}

/// Change in what a forecast is based on, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum ForecastEvent {
    /// A period was found, or differs from the one in use.
    Learned {
        /// Length of the period.
        period: Duration,
        /// Similarity of the arrivals to those of one period before, from zero to one.
        similarity: f64,
    },
    /// The arrivals do not recur any more.
    Lost,
    /// The forecast for a pool was wrong twice, and is not used for one period.
    Wrong {
        /// Pool that follows its offered load alone.
        pool: PoolId,
    },
}

/// Arrivals of all pools, and their common period.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandForecast {
    /// Start of bin 0; `None` before the first job.
    origin: Option<Instant>,
    /// Number of bins since the origin, the current one excluded.
    complete: u64,
    pools: BTreeMap<PoolId, PoolArrivals>,
    /// Period in bins.
    period: Option<usize>,
    events: Vec<ForecastEvent>,
}

impl DemandForecast {
    /// Adds a job that arrives now for a pool, with its work in thousandths of a core times milliseconds.
    pub fn add(&mut self, pool: &PoolId, work_milli_ms: f64, now: Instant) {
        self.advance(now);
        let kept = self.kept();
        let arrivals = self.pools.entry(pool.clone()).or_insert_with(|| PoolArrivals {
            bins: std::iter::repeat_n(0.0, kept + 1).collect(),
            ..PoolArrivals::default()
        });
        if let Some(bin) = arrivals.bins.back_mut() {
            *bin += work_milli_ms;
        }
    }

    /// Completes the bins that have ended, and looks for the period once a second.
    pub fn advance(&mut self, now: Instant) {
        let origin = *self.origin.get_or_insert(now);
        let current = (now.saturating_duration_since(origin).as_millis() / BIN.as_millis()) as u64;
        if current > self.complete + BINS_MAX as u64 {
            // Nothing that is kept is recent enough to compare with.
            let events = self.period.map(|_| ForecastEvent::Lost).into_iter().collect();
            *self = DemandForecast { origin: Some(now), events, ..DemandForecast::default() };
            return;
        }
        while self.complete < current {
            self.complete += 1;
            for arrivals in self.pools.values_mut() {
                arrivals.bins.push_back(0.0);
                if arrivals.bins.len() > BINS_MAX + 1 {
                    arrivals.bins.pop_front();
                }
            }
            self.check_forecasts();
            if self.complete.is_multiple_of(BINS_PER_SEARCH) {
                self.search();
            }
        }
    }

    /// Returns the processors that the work forecast for a pool keeps busy at the time `ahead` after `now`, in
    /// thousandths of a core; `None` without a forecast.
    pub fn load_milli(&self, pool: &PoolId, now: Instant, ahead: Duration) -> Option<f64> {
        let arrivals = self.pools.get(pool)?;
        if arrivals.distrusted_until > self.complete {
            return None;
        }
        let at = now.saturating_duration_since(self.origin?) + ahead;
        self.forecast(arrivals, (at.as_millis() / BIN.as_millis()) as u64)
    }

    /// Returns the highest load that is forecast for a pool between two times after `now`.
    pub fn peak_milli(
        &self,
        pool: &PoolId,
        now: Instant,
        from: Duration,
        to: Duration,
    ) -> Option<f64> {
        let bins = (to.saturating_sub(from).as_millis() / BIN.as_millis()) as u32;
        let loads = (0..=bins).filter_map(|bin| self.load_milli(pool, now, from + BIN * bin));
        loads.reduce(f64::max)
    }

    /// Returns the period, if the arrivals recur.
    pub fn period(&self) -> Option<Duration> {
        self.period.map(|bins| BIN * bins as u32)
    }

    /// Takes the changes since the last call.
    pub fn take_events(&mut self) -> Vec<ForecastEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the number of complete bins that are kept.
    fn kept(&self) -> usize {
        self.complete.min(BINS_MAX as u64) as usize
    }

    /// Returns the mean load of [`LOAD_BINS`] bins that end with a complete one; `None` if they are not all kept.
    fn load_at(&self, arrivals: &PoolArrivals, bin: u64) -> Option<f64> {
        let last = self.index(bin)?;
        Some(mean(&arrivals.bins, (last + 1).checked_sub(LOAD_BINS)?, last))
    }

    /// Returns the load at a complete bin without its random variation: at most the mean of the bins around it.
    fn typical_load_at(&self, arrivals: &PoolArrivals, bin: u64) -> Option<f64> {
        let load = self.load_at(arrivals, bin)?;
        let at = self.index(bin)?;
        let around = (self.period? / PERIODS_PER_AROUND).min(AROUND_BINS_MAX);
        let last = (at + around).min(self.kept() - 1);
        Some(load.min(mean(&arrivals.bins, at.saturating_sub(around), last)))
    }

    /// Returns the index of a complete bin that is kept.
    fn index(&self, bin: u64) -> Option<usize> {
        let first_kept = self.complete - self.kept() as u64;
        (bin < self.complete).then_some(bin.checked_sub(first_kept)? as usize)
    }

    fn forecast(&self, arrivals: &PoolArrivals, bin: u64) -> Option<f64> {
        let period = self.period? as u64;
        let once = self.typical_load_at(arrivals, bin.checked_sub(period)?)?;
        let twice = bin.checked_sub(2 * period).and_then(|bin| self.typical_load_at(arrivals, bin));
        Some(twice.map_or(once, |twice| once.min(twice)))
    }

    /// Compares the load of the last complete bins with its forecast, and counts wrong forecasts.
    fn check_forecasts(&mut self) {
        let (Some(period), Some(bin)) = (self.period, self.complete.checked_sub(1)) else { return };
        let mut results = Vec::new();
        for (pool, arrivals) in &self.pools {
            let loads = (self.forecast(arrivals, bin), self.load_at(arrivals, bin));
            let (Some(forecast), Some(load)) = loads else { continue };
            let peak = self.highest_load(arrivals) * PEAK_RATIO;
            let higher = forecast.max(load);
            let disagrees = higher >= peak && forecast.min(load) < higher * PEAK_RATIO / 2.0;
            results.push((pool.clone(), disagrees, !disagrees && forecast.min(load) >= peak));
        }
        for (pool, disagrees, correct) in results {
            let Some(arrivals) = self.pools.get_mut(&pool) else { continue };
            arrivals.disagreeing = if disagrees { arrivals.disagreeing + 1 } else { 0 };
            if correct {
                arrivals.wrong = 0;
            }
            if arrivals.disagreeing == WRONG_BINS {
                arrivals.wrong += 1;
                if arrivals.wrong >= WRONG_MAX {
                    arrivals.wrong = 0;
                    arrivals.distrusted_until = self.complete + period as u64;
                    self.events.push(ForecastEvent::Wrong { pool });
                }
            }
        }
    }

    /// Returns the highest load of a pool over the last period.
    fn highest_load(&self, arrivals: &PoolArrivals) -> f64 {
        let period = self.period.unwrap_or(PERIOD_MAX) as u64;
        let bins = (1..=period).step_by(LOAD_BINS / 2);
        let loads =
            bins.filter_map(|back| self.load_at(arrivals, self.complete.checked_sub(back)?));
        loads.fold(0.0, f64::max)
    }

    /// Looks for the period, and forgets pools without arrivals, which the configuration need not have any more.
    fn search(&mut self) {
        self.pools.retain(|_, arrivals| arrivals.bins.iter().any(|work| *work > 0.0));
        let smoothed: Vec<Vec<f64>> =
            self.pools.values().map(|arrivals| smooth(&arrivals.bins, self.kept())).collect();
        let found = find_period(&smoothed);
        let before = self.period;
        self.period = found.map(|(period, _)| period);
        match (before, found) {
            (Some(_), None) => self.events.push(ForecastEvent::Lost),
            (before, Some((period, similarity)))
                if before.is_none_or(|before| before.abs_diff(period) * 10 > period) =>
            {
                let period = BIN * period as u32;
                self.events.push(ForecastEvent::Learned { period, similarity });
            }
            _ => {}
        }
    }
}

/// Returns the mean load of the bins from `first` to `last`, in thousandths of a core.
fn mean(bins: &VecDeque<f64>, first: usize, last: usize) -> f64 {
    bins.range(first..=last).sum::<f64>() / ((last + 1 - first) as f64 * BIN.as_millis() as f64)
}

/// Returns the means over [`SMOOTHING`] bins of the first `count` bins.
fn smooth(bins: &VecDeque<f64>, count: usize) -> Vec<f64> {
    let bins: Vec<f64> = bins.iter().take(count).copied().collect();
    bins.windows(SMOOTHING).map(|window| window.iter().sum::<f64>() / SMOOTHING as f64).collect()
}

/// Returns the shift in bins by which the arrivals of all pools together recur, and their similarity at it.
fn find_period(pools: &[Vec<f64>]) -> Option<(usize, f64)> {
    let length = pools.iter().map(Vec::len).max()?;
    let shift_max =
        (1..=PERIOD_MAX).rev().find(|shift| shift + OVERLAP_MIN.max(shift / 4) <= length)?;
    let similarity = |shift: usize| similarity(pools, length, shift);
    let mut best: Option<(usize, f64)> = None;
    let mut lowest = 1.0_f64;
    let mut candidates = Vec::new();
    for shift in (SMOOTHING..=shift_max).step_by(2) {
        let value = similarity(shift);
        lowest = lowest.min(value);
        if shift >= PERIOD_MIN && lowest < DISSIMILARITY_MAX && value >= SIMILARITY_MIN {
            candidates.push((shift, value));
            if best.is_none_or(|(_, highest)| value > highest) {
                best = Some((shift, value));
            }
        }
    }
    let (_, highest) = best?;
    let (first, _) =
        *candidates.iter().find(|(_, value)| *value >= highest * SHORTEST_PERIOD_RATIO)?;
    // The similarity falls on both sides of the period within the length of a peak.
    let near = (first.saturating_sub(1)..=(first + first / 6).min(shift_max))
        .map(|shift| (shift, similarity(shift)));
    near.reduce(|a, b| if b.1 > a.1 { b } else { a })
}

/// Returns the similarity of the latest arrivals to those of `shift` bins before: 1 if they are equal, 0 if there were
/// none when there are some now and the other way round.
fn similarity(pools: &[Vec<f64>], length: usize, shift: usize) -> f64 {
    let first = shift.max(length.saturating_sub(OVERLAP_MAX));
    let (mut difference, mut sum) = (0.0, 0.0);
    for bins in pools {
        let (later, earlier) = (&bins[first..], &bins[first - shift..]);
        for (a, b) in later.iter().zip(earlier) {
            difference += (a - b).abs();
            sum += a + b;
        }
    }
    if sum > 0.0 { 1.0 - difference / sum } else { 1.0 }
}
