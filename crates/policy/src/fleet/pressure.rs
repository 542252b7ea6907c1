//! Back-pressure of the owner on itself: how often it plans and requests reports, and how many starts it sends, while its
//! processor or its link is busy.
//!
//! Every end of a task leads to a report, and every report to a plan. With hundreds of workers, both at their shortest
//! intervals take more processor time than an entry instance has. The owner then answers nobody in time, other daemons
//! replace it, and each takeover adds work. Reports and plans can be combined instead: a report that is requested later
//! lists all ends since the last one. So their intervals follow the delay with which the owner's own timers fire, which
//! is the time that every task of the process waits for the processor, and the time that starts take to be answered, which
//! also shows the wait for the link. See docs/PLATFORM.md, "Load of the owner".

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

/// Minimum time between two reports of a worker, so that tasks that end together need only one report.
pub const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(25);
/// Maximum time between two reports of a worker; callers wait half of it on average at the end of each step.
pub const REPORT_INTERVAL_MAX: Duration = Duration::from_millis(500);
/// Minimum interval between two plans, so that one plan covers events that occur together.
pub const PLAN_INTERVAL_MIN: Duration = Duration::from_millis(4);
/// Maximum interval between two plans while events occur.
pub const PLAN_INTERVAL_MAX: Duration = Duration::from_millis(60);
/// Delay of timers on an idle instance, which is no sign of load.
const TIMER_DELAY_IDLE: Duration = Duration::from_millis(3);
/// Time to the answer of a start on an instance without load.
const ANSWER_TIME_IDLE: Duration = Duration::from_millis(40);
/// Part of a new delay in the smoothed delay; the last ten delays determine it.
const DELAY_WEIGHT: f64 = 0.2;
/// Additional time between two reports for each unit of delay of the timers.
const REPORT_INTERVAL_PER_TIMER_DELAY: f64 = 8.0;
/// Additional time between two reports for each unit of time that answers take beyond [`ANSWER_TIME_IDLE`].
const REPORT_INTERVAL_PER_ANSWER_DELAY: f64 = 4.0;
/// Minimum pause after a plan, as a multiple of its duration, so that planning leaves most of the processor to calls.
const PLAN_PAUSE_FACTOR: u32 = 4;

/// Window of starts after the first answer that takes too long.
const START_WINDOW_INITIAL: f64 = 64.0;
/// Minimum of the window of starts: on the slowest links, the time to send so many is below the timeout of a start.
const START_WINDOW_MIN: f64 = 32.0;
/// Window of starts from which on there is no bound: above the number that the fastest instances have under way.
const START_WINDOW_MAX: f64 = 256.0;
/// Time to the answer of a start above which the window shrinks: above the pauses of an instance that has used up its
/// share of the processor, and below the timeout of a start.
const START_ANSWER_TIME_MAX: Duration = Duration::from_millis(150);
/// Factor by which the window shrinks, at most once in [`START_ANSWER_TIME_MAX`].
const START_WINDOW_DECREASE: f64 = 0.7;
/// Number of starts by which the window grows while one window of starts is answered in time.
const START_WINDOW_INCREASE: f64 = 8.0;

/// Bound on the number of starts that are under way at once, while their answers take too long.
///
/// Starts that queue on the owner's link or for its processor are answered after their timeouts. Each is then fenced by a
/// stop and started again, which adds to the queue that has delayed it. So the window follows the time that answers take.
/// Starts without any answer do not shrink it: a worker that leaves orders unanswered is no sign of load.
#[derives(record)]
#[derive(Default)]
pub struct StartWindow {
    /// Number of starts that may be under way; `None` while there is no bound.
    limit: Option<f64>,
    reduced: Option<Instant>,
}

impl StartWindow {
    /// Returns the number of starts that may be under way at once, or `None` while there is no bound.
    pub fn limit(&self) -> Option<usize> {
        self.limit.map(|limit| limit as usize)
    }

    /// Records that a start was answered `took` after it was planned.
    pub fn record_answer(&mut self, took: Duration, now: Instant) {
        if took <= START_ANSWER_TIME_MAX {
            let grown = self.limit.map(|limit| limit + START_WINDOW_INCREASE / limit);
            self.limit = grown.filter(|limit| *limit < START_WINDOW_MAX);
            return;
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < START_ANSWER_TIME_MAX;
        if !self.reduced.is_some_and(is_recent) {
            self.reduced = Some(now);
            let reduced = |limit: f64| (limit * START_WINDOW_DECREASE).max(START_WINDOW_MIN);
            self.limit = Some(self.limit.map_or(START_WINDOW_INITIAL, reduced));
        }
    }
}

/// Load of the owner's processor and link: smoothed delays of its timers and of the answers to starts.
#[derives(record)]
#[derive(Default)]
pub struct Pressure {
    timer_delay_ms: f64,
    answer_delay_ms: f64,
}

impl Pressure {
    /// Records that a timer that was set for `asked` fired after `took`.
    pub fn record_timer(&mut self, asked: Duration, took: Duration) {
        let delay = took.saturating_sub(asked).saturating_sub(TIMER_DELAY_IDLE);
        let delay_ms = delay.as_secs_f64() * 1_000.0;
        self.timer_delay_ms += (delay_ms - self.timer_delay_ms) * DELAY_WEIGHT;
    }

    /// Records that a start was answered after `took`, which shows how long messages wait for the link.
    pub fn record_answer(&mut self, took: Duration) {
        let delay_ms = took.saturating_sub(ANSWER_TIME_IDLE).as_secs_f64() * 1_000.0;
        self.answer_delay_ms += (delay_ms - self.answer_delay_ms) * DELAY_WEIGHT;
    }

    /// Returns the minimum time between two reports of a worker.
    pub fn report_interval(&self) -> Duration {
        let additional_ms = self.timer_delay_ms * REPORT_INTERVAL_PER_TIMER_DELAY
            + self.answer_delay_ms * REPORT_INTERVAL_PER_ANSWER_DELAY;
        let interval = REPORT_INTERVAL_MIN + Duration::from_secs_f64(additional_ms / 1_000.0);
        interval.min(REPORT_INTERVAL_MAX)
    }
}

/// Returns the pause after a plan that took `took`.
pub fn pause_after_plan(took: Duration) -> Duration {
    (took * PLAN_PAUSE_FACTOR).clamp(PLAN_INTERVAL_MIN, PLAN_INTERVAL_MAX)
}
