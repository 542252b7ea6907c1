//! Times of a graceful stop.
//!
//! The platform kills a daemon when its termination grace period has passed, which ends all that is still in flight
//! without a response. The times of a stop are therefore fixed as one schedule from that period. See
//! docs/DESIGN.md, "A stop".

use std::time::Duration;

use wasabiswitch_derive::derives;

/// Time between the moment at which responses are due and the end of the grace period, in which the last responses are
/// sent, and the daemon releases what it holds and exits.
const EXIT_TIME: Duration = Duration::from_millis(500);
/// Part of the grace period that [`EXIT_TIME`] takes at most: one in this number.
const EXIT_TIME_DIVISOR: u32 = 4;
/// Time for sending the last responses; at most half of the time left for the exit.
const SEND_TIME: Duration = Duration::from_millis(200);

/// Schedule of a graceful stop; the first two times are counted from its signal.
#[derives(value)]
pub struct StopSchedule {
    /// Time at which the entry listener begins to close.
    pub close_after: Duration,
    /// Time at which each request that has not ended is answered.
    pub respond_after: Duration,
    /// Time for sending these last responses.
    pub send_time: Duration,
}

/// Returns the schedule of a stop.
///
/// Without a termination grace period the entry listener closes after `drain_notice`, and requests then have
/// `stop_timeout` to end. A short grace period shortens first the drain notice, down to half of the time, and then the
/// time of the requests.
pub fn schedule(
    drain_notice: Duration,
    stop_timeout: Duration,
    termination_grace: Option<Duration>,
) -> StopSchedule {
    let configured = drain_notice + stop_timeout;
    let exit_time =
        termination_grace.map_or(EXIT_TIME, |grace| EXIT_TIME.min(grace / EXIT_TIME_DIVISOR));
    let respond_after = termination_grace
        .map_or(configured, |grace| configured.min(grace.saturating_sub(exit_time)));
    let close_before = respond_after.saturating_sub(stop_timeout).max(respond_after / 2);
    StopSchedule {
        close_after: drain_notice.min(close_before),
        respond_after,
        send_time: SEND_TIME.min(exit_time / 2),
    }
}
