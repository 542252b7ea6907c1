//! Tests of the forecast of demand: peaks that recur, that stop recurring, and that never did.

use std::time::{Duration, Instant};

use fastrand::Rng;
use wasabiswitch_policy::fleet::demand_forecast::{DemandForecast, ForecastEvent};
use wasabiswitch_policy::ids::PoolId;

/// Interval at which the simulated arrivals advance.
const STEP_MS: u64 = 10;

/// Arrivals at four pools, in jobs of twenty cores for a second.
struct Arrivals {
    forecast: DemandForecast,
    start: Instant,
    now_ms: u64,
    rng: Rng,
}

impl Arrivals {
    fn new(seed: u64) -> Arrivals {
        let (forecast, start) = (DemandForecast::default(), Instant::now());
        Arrivals { forecast, start, now_ms: 0, rng: Rng::with_seed(seed) }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    /// Advances to `until_ms`, with arrivals at the given rates per second.
    fn run(&mut self, until_ms: u64, rate: impl Fn(usize, u64) -> f64) {
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            for number in 0..4 {
                if self.rng.f64() < rate(number, self.now_ms) * STEP_MS as f64 / 1_000.0 {
                    let now = self.now();
                    self.forecast.add(&pool(number), 20_000_000.0, now);
                }
            }
            self.forecast.advance(self.now());
        }
    }

    fn load(&self, number: usize, ahead_ms: u64) -> Option<f64> {
        self.forecast.load_milli(&pool(number), self.now(), Duration::from_millis(ahead_ms))
    }
}

fn pool(number: usize) -> PoolId {
    format!("p{number}").into()
}

/// Returns a rate of peaks in turn with a period.
fn in_turn(period_ms: u64) -> impl Fn(usize, u64) -> f64 {
    move |number, ms| match (ms % period_ms) * 4 / period_ms == number as u64 {
        true => 25.0,
        false => 1.25,
    }
}

#[test]
fn rise_and_fall_of_a_recurring_peak_are_forecast() {
    for (period_ms, seed) in [(4_500, 1), (12_000, 2), (24_000, 3), (36_000, 4)] {
        let mut arrivals = Arrivals::new(seed);
        // A peak of the first pool begins in two seconds.
        let periods = if period_ms < 8_000 { 4 } else { 2 };
        arrivals.run(periods * period_ms - 2_000, in_turn(period_ms));
        let period = arrivals.forecast.period().expect("the peaks have recurred").as_millis();
        assert!((period as f64 / period_ms as f64 - 1.0).abs() < 0.06, "{period} of {period_ms}");
        let before = arrivals.load(0, 1_000).expect("there is a forecast");
        let peak = arrivals.load(0, 2_000 + period_ms / 5).expect("there is a forecast");
        assert!(before < 150_000.0, "{before} before the rise");
        assert!(peak > 300_000.0, "{peak} in the peak");
        if period_ms > 4_500 {
            let after = arrivals.load(0, 2_000 + period_ms / 4 + 2_000);
            assert!(after.is_some_and(|after| after < 150_000.0), "{after:?} after the fall");
        }
    }
}

#[test]
fn load_without_recurring_peaks_has_no_forecast() {
    let mut arrivals = Arrivals::new(5);
    arrivals.run(60_000, |_, _| 10.0);
    assert_eq!(arrivals.forecast.period(), None, "steady load");
    let mut arrivals = Arrivals::new(6);
    // Bursts at irregular times, each of another pool than the last.
    let begins_ms = [4_000, 11_000, 15_500, 27_000, 41_000, 48_500];
    arrivals.run(60_000, |number, ms| {
        let of_pool = |(burst, begin): (usize, &u64)| {
            burst % 3 == number && (*begin..begin + 3_000).contains(&ms)
        };
        if begins_ms.iter().enumerate().any(of_pool) { 25.0 } else { 1.25 }
    });
    assert_eq!(arrivals.forecast.period(), None, "bursts at irregular times");
}

#[test]
fn forecast_that_is_wrong_twice_is_not_used() {
    let mut arrivals = Arrivals::new(7);
    arrivals.run(24_000, in_turn(8_000));
    let load = arrivals.load(0, 1_700);
    assert!(load.is_some_and(|load| load > 300_000.0), "{load:?}");
    arrivals.forecast.take_events();
    // The first pool has no peaks any more.
    let without_first = |number, ms| if number == 0 { 1.25 } else { in_turn(8_000)(number, ms) };
    arrivals.run(40_500, without_first);
    let load = arrivals.load(0, 8_500);
    assert!(load.is_none_or(|load| load < 150_000.0), "{load:?}");
    assert!(arrivals.load(1, 1_500).is_some(), "other pools keep their forecasts");
}

#[test]
fn forecast_ends_when_no_peak_recurs() {
    let mut arrivals = Arrivals::new(8);
    arrivals.run(24_000, in_turn(8_000));
    assert!(arrivals.forecast.period().is_some());
    arrivals.forecast.take_events();
    arrivals.run(60_000, |_, _| 7.0);
    assert_eq!(arrivals.load(0, 1_000), None);
    let events = arrivals.forecast.take_events();
    let ends =
        |event: &ForecastEvent| matches!(event, ForecastEvent::Lost | ForecastEvent::Wrong { .. });
    assert!(events.iter().any(ends), "{events:?}");
}
