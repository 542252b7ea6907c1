//! Tests of the choice of bodies to refuse and of connections to close.

use std::time::Duration;

use wasabiswitch_policy::intake::{
    Connection, IDLE_TIME_MIN, Phase, Reader, RoomDecision, STALL_TIME, UNREAD_TIME,
    connection_to_close, decide_room, default_bounds,
};

const BUDGET: u64 = 1_000;

fn reader(caller: u64, held_bytes: u64, quiet_ms: u64) -> Reader {
    let quiet = Duration::from_millis(quiet_ms);
    Reader { caller, held_bytes, quiet, is_waiting: false, is_refused: false }
}

fn waiting(caller: u64, held_bytes: u64) -> Reader {
    Reader { is_waiting: true, ..reader(caller, held_bytes, 0) }
}

/// Decides for the last of `readers`, which needs 100 bytes while none are free.
fn decide(readers: &[Reader]) -> RoomDecision {
    decide_room(readers, readers.len() - 1, 100, 0, BUDGET)
}

/// Guards against bodies that stop short of their end and hold the budget.
#[test]
fn stalled_body_that_holds_most_is_refused_first() {
    let readers =
        [reader(1, 400, 1_000), reader(1, 500, 1_000), reader(1, 100, 900), waiting(1, 0)];
    assert_eq!(decide(&readers), RoomDecision::Refuse(1));
}

/// Guards against one caller with many connections that takes the budget from another one.
#[test]
fn caller_within_its_share_takes_room_from_the_one_that_holds_most() {
    let readers = [reader(2, 100, 5_000), reader(1, 600, 0), reader(1, 300, 0), waiting(2, 0)];
    assert_eq!(decide(&readers), RoomDecision::Refuse(1));
    let stalled = [reader(2, 100, 5_000), reader(1, 600, 0), reader(1, 300, 500), waiting(2, 0)];
    assert_eq!(decide(&stalled), RoomDecision::Refuse(2), "stalled bodies go first");
}

/// Guards against the refusal of more bodies than necessary while one is still being released.
#[test]
fn body_waits_for_a_refused_one_and_for_those_that_make_progress() {
    let refused = Reader { is_refused: true, ..reader(1, 500, 1_000) };
    assert_eq!(decide(&[refused, reader(1, 500, 1_000), waiting(1, 0)]), RoomDecision::Wait);
    assert_eq!(decide(&[reader(1, 500, 0), reader(1, 500, 10), waiting(1, 0)]), RoomDecision::Wait);
}

/// Guards against a deadlock of bodies that all wait for room.
#[test]
fn one_body_is_refused_when_all_wait() {
    let readers = [waiting(1, 400), waiting(1, 500), waiting(1, 100)];
    assert_eq!(decide(&readers), RoomDecision::Refuse(1));
    assert_eq!(decide(&[waiting(1, BUDGET)]), RoomDecision::Refuse(0));
}

/// Guards against the refusal of an ordinary body while requests that will soon be answered hold the budget.
#[test]
fn body_waits_for_requests_that_are_being_served() {
    assert_eq!(decide_room(&[waiting(1, 0)], 0, 100, 0, BUDGET), RoomDecision::Wait);
    // The readers hold all of the budget, so no request returns any.
    let readers = [waiting(1, 950), waiting(1, 50)];
    assert_eq!(decide(&readers), RoomDecision::Refuse(0));
}

fn connection(phase: Phase, quiet: Duration, is_known: bool) -> Connection {
    Connection { phase, quiet, is_known, is_waiting: false }
}

/// Guards against the loss of an answer, and of connections that callers will use again.
#[test]
fn connections_that_wait_for_an_answer_or_were_used_recently_stay() {
    let serving = connection(Phase::Serving, Duration::from_secs(60), false);
    let idle = connection(Phase::Idle, IDLE_TIME_MIN / 2, true);
    let sending = connection(Phase::Body, STALL_TIME / 2, true);
    assert_eq!(connection_to_close([serving, idle, sending].into_iter()), None);
}

/// Guards against clients that never read their answers and thereby keep all connections for ever.
#[test]
fn connection_whose_answer_is_not_read_is_closed_after_a_time() {
    let unread = |quiet| connection(Phase::Unread, quiet, true);
    let reading = unread(UNREAD_TIME / 2);
    assert_eq!(connection_to_close([reading].into_iter()), None);
    assert_eq!(connection_to_close([reading, unread(UNREAD_TIME)].into_iter()), Some(1));
}

/// Guards against clients without a key that keep callers from connecting.
#[test]
fn oldest_connection_of_an_unknown_client_is_closed_first() {
    let head = |ms, is_known| connection(Phase::Head, Duration::from_millis(ms), is_known);
    let open = [head(9_000, true), head(10, false), head(20, false), head(5, false)];
    assert_eq!(connection_to_close(open.into_iter()), Some(2));
    assert_eq!(connection_to_close(open[..1].iter().copied()), Some(0));
}

/// Guards against bounds that do not fit the smallest instance, or fall short of a burst of hundreds of callers.
#[test]
fn default_bounds_fit_the_instance() {
    for (memory_mib, descriptors) in [(160, 4_100), (512, 8_192), (512, 4_100), (160, 1_000)] {
        let bounds = default_bounds(memory_mib, descriptors);
        let connections = u64::from(bounds.entry_connections_max);
        assert!(bounds.entry_bytes_max <= u64::from(memory_mib) << 17);
        assert!(connections * (32 << 10) <= u64::from(memory_mib) << 18);
        assert!(connections * 2 <= u64::from(descriptors - 200));
        assert!(connections >= 400, "{connections}");
        // 500 submissions of 10 kB in segments of 4 and 16 KiB, and 32 of the largest at the same time.
        assert!(bounds.entry_bytes_max >= 500 * (20 << 10) + 32 * 262_144);
    }
}
