//! Times of a graceful stop.
//!
//! The platform kills a daemon when its termination grace period has passed, which ends all that is still in flight
//! without a response. The times of a stop are therefore fixed as one schedule from that period. See
//! docs/DESIGN.md, "A stop".

use std::time::Duration;

use wasabiswitch_derive::derives;

/// Time between the last responses and the end of the grace period, in which the daemon releases what it holds
/// and exits.
pub const EXIT_TIME: Duration = Duration::from_millis(500);
/// Part of the grace period that [`EXIT_TIME`] takes at most: one in this number.
const EXIT_TIME_DIVISOR: u32 = 4;

/// Schedule of a graceful stop; times are counted from its signal.
#[derives(value)]
pub struct StopSchedule {
    /// Time at which the entry listener begins to close.
    pub close_after: Duration,
    /// Time by which every request has a response.
    pub respond_after: Duration,
}

/// Returns the schedule of a stop.
///
/// Without a termination grace period the entry listener closes after `drain_notice`, and requests then have
/// `stop_timeout` to end. A grace period shortens both, and leaves at least half of the time to the requests.
pub fn schedule(
    drain_notice: Duration,
    stop_timeout: Duration,
    termination_grace: Option<Duration>,
) -> StopSchedule {
    let configured = drain_notice + stop_timeout;
    let respond_after = termination_grace.map_or(configured, |grace| {
        configured.min(grace.saturating_sub(EXIT_TIME.min(grace / EXIT_TIME_DIVISOR)))
    });
    let close_after = match respond_after < configured {
        true => drain_notice.min(respond_after / 2),
        false => drain_notice,
    };
    StopSchedule { close_after, respond_after }
}
