//! Back-pressure of the owner on itself: how often it plans and requests reports while its processor is busy.
//!
//! Every end of a task leads to a report, and every report to a plan. With hundreds of workers, both at their shortest
//! intervals take more processor time than an entry instance has. The owner then answers nobody in time, other daemons
//! replace it, and each takeover adds work. Reports and plans can be combined instead: a report that is requested later
//! lists all ends since the last one. So their intervals follow the delay with which the owner's own timers fire, which
//! is the time that every task of the process waits for the processor. See docs/PLATFORM.md, "Load of the owner".

use std::time::Duration;

use wasabiswitch_derive::derives;

/// Minimum time between two reports of a worker, so that tasks that end together need only one report.
pub const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(25);
/// Maximum time between two reports of a worker; callers wait half of it on average at the end of each step.
pub const REPORT_INTERVAL_MAX: Duration = Duration::from_millis(250);
/// Minimum interval between two plans, so that one plan covers events that occur together.
pub const PLAN_INTERVAL_MIN: Duration = Duration::from_millis(4);
/// Maximum interval between two plans while events occur.
pub const PLAN_INTERVAL_MAX: Duration = Duration::from_millis(60);
/// Delay of timers on an idle instance, which is no sign of load.
const TIMER_DELAY_IDLE: Duration = Duration::from_millis(3);
/// Part of a new delay in the smoothed delay; the last ten timers determine it.
const DELAY_WEIGHT: f64 = 0.2;
/// Additional time between two reports for each unit of delay.
const REPORT_INTERVAL_PER_DELAY: f64 = 8.0;
/// Minimum pause after a plan, as a multiple of its duration, so that planning leaves most of the processor to calls.
const PLAN_PAUSE_FACTOR: u32 = 4;

/// Smoothed delay of the owner's timers.
#[derives(record)]
#[derive(Default)]
pub struct Pressure {
    delay_ms: f64,
}

impl Pressure {
    /// Records that a timer that was set for `asked` fired after `took`.
    pub fn record_timer(&mut self, asked: Duration, took: Duration) {
        let delay = took.saturating_sub(asked).saturating_sub(TIMER_DELAY_IDLE);
        let delay_ms = delay.as_secs_f64() * 1_000.0;
        self.delay_ms += (delay_ms - self.delay_ms) * DELAY_WEIGHT;
    }

    /// Returns the smoothed delay.
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.delay_ms / 1_000.0)
    }

    /// Returns the minimum time between two reports of a worker.
    pub fn report_interval(&self) -> Duration {
        let interval = REPORT_INTERVAL_MIN + self.delay().mul_f64(REPORT_INTERVAL_PER_DELAY);
        interval.min(REPORT_INTERVAL_MAX)
    }
}

/// Returns the pause after a plan that took `took`.
pub fn pause_after_plan(took: Duration) -> Duration {
    (took * PLAN_PAUSE_FACTOR).clamp(PLAN_INTERVAL_MIN, PLAN_INTERVAL_MAX)
}
