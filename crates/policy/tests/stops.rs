//! Schedules of graceful stops.

use std::time::Duration;

use wasabiswitch_policy::stop::{StopSchedule, schedule};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

// The limits of a stop ended before a request that had begun during the stop could use its whole time limit.
#[test]
fn request_that_begins_during_the_drain_notice_can_use_its_time_limit() {
    let (drain_notice, time_limit) = (ms(2_200), ms(3_000));
    let times = schedule(drain_notice, ms(3_600), Some(ms(6_000)));
    let expected =
        StopSchedule { close_after: drain_notice, respond_after: ms(5_500), send_time: ms(200) };
    assert_eq!(times, expected);
    assert!(drain_notice + time_limit <= times.respond_after);
}

#[test]
fn stop_without_a_termination_grace_uses_the_configured_times() {
    let times = schedule(ms(1_000), ms(30_000), None);
    let expected =
        StopSchedule { close_after: ms(1_000), respond_after: ms(31_000), send_time: ms(200) };
    assert_eq!(times, expected);
    let long_grace = schedule(ms(1_000), ms(30_000), Some(ms(60_000)));
    assert_eq!(long_grace, times, "a longer grace period changes nothing");
}

#[test]
fn short_termination_grace_leaves_time_for_requests_and_for_the_exit() {
    for grace_ms in [0, 1, 400, 1_000, 2_000, 3_000, 4_500] {
        let grace = ms(grace_ms);
        let times = schedule(ms(2_200), ms(3_600), Some(grace));
        assert!(times.respond_after + times.send_time * 2 <= grace, "{grace:?}: {times:?}");
        assert!(times.close_after <= times.respond_after / 2, "{grace:?}: {times:?}");
    }
}

#[test]
fn drain_notice_is_shortened_only_as_far_as_the_requests_need() {
    let times = schedule(ms(2_200), ms(100), Some(ms(2_500)));
    assert_eq!((times.close_after, times.respond_after), (ms(1_900), ms(2_000)));
    let no_timeout = schedule(ms(1_000), ms(0), None);
    assert_eq!((no_timeout.close_after, no_timeout.respond_after), (ms(1_000), ms(1_000)));
}
