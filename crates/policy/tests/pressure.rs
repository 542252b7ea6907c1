//! An owner whose processor is saturated by reports: hundreds of workers end tasks at the same time.
//!
//! One processor serves reports, orders and the owner's timers in the order of their arrival. The naive version requests
//! the next report of a worker after a constant time. The times are those of an entry instance with half of a core.

use std::collections::VecDeque;
use std::time::Duration;

use wasabiswitch_policy::fleet::pressure::{
    PLAN_INTERVAL_MAX, PLAN_INTERVAL_MIN, Pressure, REPORT_INTERVAL_MAX, REPORT_INTERVAL_MIN,
    pause_after_plan,
};

/// Number of workers with tasks.
const WORKERS: usize = 300;
/// Time of the processor for a report, in microseconds.
const REPORT_COST_US: u64 = 300;
/// Time of the processor for an order and its answer, in microseconds.
const ORDER_COST_US: u64 = 240;
/// Time of the processor for a plan, in microseconds.
const PLAN_COST_US: u64 = 500;
/// Length of a step of the simulation.
const STEP_US: u64 = 1_000;

/// Work that waits for the processor, with the time of its arrival in microseconds.
enum Work {
    Report { worker: usize },
    Order { arrived_us: u64 },
    Timer { set_us: u64 },
}

/// Result of one phase of load.
struct Phase {
    /// Mean time that an order waits for the processor, in milliseconds.
    order_wait_ms: f64,
    /// Interval of reports at the end of the phase.
    report_interval: Duration,
}

/// Serves phases of `(orders per second, seconds)`; reports follow the load if `adapts` is set.
fn serve(phases: &[(u64, u64)], adapts: bool) -> Vec<Phase> {
    let mut pressure = Pressure::default();
    let interval = |pressure: &Pressure| {
        if adapts { pressure.report_interval() } else { REPORT_INTERVAL_MIN }
    };
    let mut next_report_us: Vec<Option<u64>> = (0..WORKERS as u64).map(|w| Some(w * 80)).collect();
    let mut next_timer_us = Some(us(PLAN_INTERVAL_MIN));
    let mut queue: VecDeque<Work> = VecDeque::new();
    let (mut now_us, mut budget_us, mut due_orders) = (0u64, 0u64, 0.0);
    let mut results = Vec::new();
    for (orders_per_s, seconds) in phases {
        let end_us = now_us + seconds * 1_000_000;
        let (mut waited_us, mut served) = (0u64, 0u64);
        while now_us < end_us {
            now_us += STEP_US;
            for (worker, due) in next_report_us.iter_mut().enumerate() {
                if due.is_some_and(|at| at <= now_us) {
                    *due = None;
                    queue.push_back(Work::Report { worker });
                }
            }
            if next_timer_us.is_some_and(|at| at <= now_us) {
                let set_us = next_timer_us.take().unwrap_or(now_us) - us(PLAN_INTERVAL_MIN);
                queue.push_back(Work::Timer { set_us });
            }
            due_orders += *orders_per_s as f64 * STEP_US as f64 / 1e6;
            while due_orders >= 1.0 {
                due_orders -= 1.0;
                queue.push_back(Work::Order { arrived_us: now_us });
            }
            budget_us = if queue.is_empty() { 0 } else { budget_us + STEP_US };
            while let Some(work) = queue.front() {
                let cost_us = match work {
                    Work::Report { .. } => REPORT_COST_US,
                    Work::Order { .. } => ORDER_COST_US,
                    Work::Timer { .. } => PLAN_COST_US,
                };
                if budget_us < cost_us {
                    break;
                }
                budget_us -= cost_us;
                match queue.pop_front().expect("the queue has work") {
                    Work::Report { worker } => {
                        next_report_us[worker] = Some(now_us + us(interval(&pressure)));
                    }
                    Work::Order { arrived_us } => {
                        waited_us += now_us - arrived_us;
                        served += 1;
                    }
                    Work::Timer { set_us } => {
                        let took = Duration::from_micros(now_us.saturating_sub(set_us));
                        pressure.record_timer(PLAN_INTERVAL_MIN, took);
                        next_timer_us = Some(now_us + us(PLAN_INTERVAL_MIN));
                    }
                }
            }
        }
        results.push(Phase {
            order_wait_ms: waited_us as f64 / 1e3 / served.max(1) as f64,
            report_interval: interval(&pressure),
        });
    }
    results
}

fn us(time: Duration) -> u64 {
    time.as_micros() as u64
}

#[test]
fn reports_leave_the_processor_to_orders_under_load() {
    // Reports at the minimum interval alone take more than the processor has; orders take two fifths of it.
    let adaptive = serve(&[(1_700, 5)], true);
    let naive = serve(&[(1_700, 5)], false);
    assert!(
        adaptive[0].order_wait_ms * 2.0 < naive[0].order_wait_ms,
        "orders wait {} ms, and {} ms with reports at a constant interval",
        adaptive[0].order_wait_ms,
        naive[0].order_wait_ms
    );
    assert!(adaptive[0].report_interval > REPORT_INTERVAL_MIN);
}

#[test]
fn reports_are_frequent_again_once_the_load_has_fallen() {
    let load = [(3_000, 5), (100, 3)];
    let (adaptive, naive) = (serve(&load, true), serve(&load, false));
    assert!(adaptive[0].report_interval > REPORT_INTERVAL_MIN * 2);
    assert!(adaptive[1].report_interval < adaptive[0].report_interval);
    assert!(
        adaptive[1].order_wait_ms * 2.0 < naive[1].order_wait_ms,
        "orders wait {} ms, and {} ms with reports at a constant interval",
        adaptive[1].order_wait_ms,
        naive[1].order_wait_ms
    );
}

#[test]
fn idle_owner_requests_reports_at_the_minimum_interval() {
    let mut pressure = Pressure::default();
    for _ in 0..100 {
        pressure.record_timer(PLAN_INTERVAL_MIN, PLAN_INTERVAL_MIN + Duration::from_millis(2));
    }
    assert_eq!(pressure.report_interval(), REPORT_INTERVAL_MIN);
}

// Reports filled a slow link, on which no timer of the owner is late.
#[test]
fn reports_are_less_frequent_while_answers_wait_for_the_link() {
    let mut pressure = Pressure::default();
    for _ in 0..50 {
        pressure.record_answer(Duration::from_millis(10));
    }
    assert_eq!(pressure.report_interval(), REPORT_INTERVAL_MIN);
    for _ in 0..50 {
        pressure.record_answer(Duration::from_millis(200));
    }
    assert_eq!(pressure.report_interval(), REPORT_INTERVAL_MAX);
}

#[test]
fn intervals_stay_within_their_bounds() {
    let mut pressure = Pressure::default();
    for _ in 0..100 {
        pressure.record_timer(PLAN_INTERVAL_MIN, Duration::from_secs(2));
    }
    assert_eq!(pressure.report_interval(), REPORT_INTERVAL_MAX);
    assert_eq!(pause_after_plan(Duration::ZERO), PLAN_INTERVAL_MIN);
    assert_eq!(pause_after_plan(Duration::from_secs(1)), PLAN_INTERVAL_MAX);
}
