//! Tests of the conditions under which an observer may take over the fleet, and an owner may act.

use std::time::{Duration, Instant};

use wasabiswitch_policy::fleet::ownership::{
    OBSERVATION_GAP_MAX, OWNER_LEASE, OWNER_LEASE_MARGIN, OWNER_RENEWAL_INTERVAL,
    OWNER_UNRESPONSIVE_AFTER, Observation, OwnerHeartbeat, OwnerRow, STORE_LOST_AFTER, SteppedDown,
    UnresponsiveSince, has_lost_store, may_act, may_report_absence, may_take_over, observe,
    observe_first, predecessor_deadline, should_hand_over, takeover_delay,
};

fn row() -> OwnerRow {
    OwnerRow {
        daemon: "owner".into(),
        incarnation: 1,
        address: String::new(),
        fence: 1,
        writes: 1,
        released: false,
        processor_milli: 250,
    }
}

/// Returns the time after which an observer takes over that reads an unchanged row every `read_interval`.
fn time_until_takeover(read_interval: Duration) -> Option<Duration> {
    let start = Instant::now();
    let mut seen: Option<Observation> = None;
    for read in 0..100 {
        let now = start + read_interval * read;
        let observation = observe(seen.as_ref(), 7, now);
        if may_take_over(&row(), &"other".into(), None, None, &observation, now) {
            return Some(now - start);
        }
        seen = Some(observation);
    }
    None
}

#[test]
fn observer_takes_over_at_any_read_interval_of_a_slow_instance() {
    // An observer reads every 0.2 s, or every 0.7 s if each call times out.
    for interval_ms in [200, 300, 500, 700, 900] {
        let read_interval = Duration::from_millis(interval_ms);
        let delay = time_until_takeover(read_interval).expect("the observer takes over");
        assert!(delay >= OWNER_LEASE + OWNER_LEASE_MARGIN);
        assert!(
            delay < OWNER_LEASE + OWNER_LEASE_MARGIN + read_interval,
            "a read every {interval_ms} ms"
        );
    }
}

#[test]
fn gap_between_reads_restarts_the_observation() {
    assert_eq!(time_until_takeover(OBSERVATION_GAP_MAX + Duration::from_millis(1)), None);
}

#[test]
fn owner_stops_acting_before_an_observer_may_take_over() {
    let sent = Instant::now();
    // An observer sees a write no earlier than the owner sent it.
    let observation = observe(None, 7, sent);
    let mut now = sent;
    while !may_take_over(&row(), &"other".into(), None, None, &observation, now) {
        now += Duration::from_millis(10);
    }
    assert!(!may_act(sent, now));
    assert!(
        may_act(sent, sent + 2 * OWNER_RENEWAL_INTERVAL),
        "one lost renewal must not end a term"
    );
}

#[test]
fn released_row_and_row_of_an_earlier_incarnation_are_taken_at_once() {
    let now = Instant::now();
    let observation = observe(None, 7, now);
    assert!(may_take_over(
        &OwnerRow { released: true, ..row() },
        &"other".into(),
        None,
        None,
        &observation,
        now
    ));
    assert!(may_take_over(&row(), &"owner".into(), None, None, &observation, now));
    assert!(!may_take_over(&row(), &"other".into(), None, None, &observation, now));
}

#[test]
fn larger_instances_take_over_first_and_owners_hand_over_only_to_much_larger_ones() {
    assert_eq!(takeover_delay(500, None), Duration::ZERO);
    assert!(takeover_delay(120, None) > takeover_delay(250, None));
    assert!(takeover_delay(120, Some(500)) > Duration::from_millis(500));
    assert_eq!(
        takeover_delay(250, Some(250)),
        Duration::ZERO,
        "no delay where the last owner was as small"
    );
    assert!(should_hand_over(120, 500) && !should_hand_over(250, 300));
}

#[test]
fn takeover_after_step_down_requires_the_same_incarnation_and_fence() {
    let now = Instant::now();
    let observation = observe(None, 7, now);
    let takes_over = |stepped_down| {
        may_take_over(&row(), &"other".into(), Some(stepped_down), None, &observation, now)
    };
    assert!(takes_over(SteppedDown { incarnation: 1, fence: 1 }));
    assert!(
        !takes_over(SteppedDown { incarnation: 2, fence: 1 }),
        "another incarnation of the daemon owns the shard"
    );
    assert!(
        !takes_over(SteppedDown { incarnation: 1, fence: 0 }),
        "the daemon has taken the shard over again since"
    );
}

#[test]
fn owner_steps_down_well_before_its_lease_expires_but_not_after_one_failed_write() {
    let since = Instant::now();
    assert!(!has_lost_store(None, since));
    assert!(!has_lost_store(Some(since), since + Duration::from_millis(100)));
    assert!(has_lost_store(Some(since), since + STORE_LOST_AFTER));
    assert!(STORE_LOST_AFTER * 2 < OWNER_LEASE);
}

#[test]
fn heartbeat_backdates_the_observation_only_if_the_row_holds_its_write() {
    let received = Instant::now();
    let now = received + Duration::from_millis(600);
    let heartbeat = OwnerHeartbeat { fence: 1, writes: 1, received };
    let first_seen = |heartbeat| observe_first(&row(), 7, heartbeat, now).first_seen;
    assert_eq!(first_seen(Some(heartbeat)), received);
    assert_eq!(first_seen(None), now);
    assert_eq!(
        first_seen(Some(OwnerHeartbeat { writes: 2, ..heartbeat })),
        now,
        "the row read is older than the heartbeat"
    );
    assert_eq!(
        first_seen(Some(OwnerHeartbeat { writes: 0, ..heartbeat })),
        now,
        "the owner has written since the heartbeat"
    );
    assert_eq!(
        first_seen(Some(OwnerHeartbeat { fence: 0, ..heartbeat })),
        now,
        "the heartbeat is of another owner"
    );
    let late = received + OBSERVATION_GAP_MAX + Duration::from_millis(1);
    assert_eq!(observe_first(&row(), 7, Some(heartbeat), late).first_seen, late);
}

/// Returns whether an observer takes over `row`, which has not changed for `unchanged`, while the owner with
/// `fence` has not answered for `unanswered`.
fn takes_over_unresponsive(
    row: &OwnerRow,
    fence: u64,
    unanswered: Duration,
    unchanged: Duration,
) -> bool {
    let start = Instant::now();
    let now = start + unanswered.max(unchanged);
    let unresponsive = UnresponsiveSince { fence, since: now - unanswered };
    let seen = Observation { version: 7, first_seen: now - unchanged, last_read: now };
    may_take_over(row, &"other".into(), None, Some(unresponsive), &seen, now)
}

#[test]
fn owner_that_neither_answers_nor_writes_is_replaced_before_its_lease_expires() {
    let writing = OwnerRow { writes: 2, ..row() };
    let (long, short) =
        (OWNER_UNRESPONSIVE_AFTER, OWNER_UNRESPONSIVE_AFTER - Duration::from_millis(1));
    assert!(takes_over_unresponsive(&writing, 1, long, long));
    assert!(!takes_over_unresponsive(&writing, 1, long, short), "the owner wrote too recently");
    assert!(
        !takes_over_unresponsive(&writing, 1, short, long),
        "the owner may only be slow to answer"
    );
    assert!(!takes_over_unresponsive(&writing, 0, long, long), "an earlier owner was unresponsive");
    assert!(
        !takes_over_unresponsive(&row(), 1, long, long),
        "an owner without a second write is still reading the rows"
    );
    assert!(OWNER_UNRESPONSIVE_AFTER < OWNER_LEASE);
    assert!(
        OWNER_UNRESPONSIVE_AFTER > OWNER_RENEWAL_INTERVAL,
        "at least one renewal must have been due"
    );
}

#[test]
fn successor_assumes_orders_of_an_unresponsive_owner_until_its_lease_expires() {
    let sent = Instant::now();
    let seen =
        Observation { version: 7, first_seen: sent, last_read: sent + OWNER_UNRESPONSIVE_AFTER };
    let deadline = |row: &OwnerRow, stepped_down| {
        predecessor_deadline(row, &"other".into(), stepped_down, &seen)
    };
    assert!(!may_act(sent, deadline(&row(), None)), "the lease must have expired by then");
    let stepped_down = SteppedDown { incarnation: 1, fence: 1 };
    assert_eq!(
        deadline(&row(), Some(stepped_down)),
        seen.last_read,
        "an owner that stepped down sends no further order"
    );
    assert_eq!(deadline(&OwnerRow { released: true, ..row() }, None), seen.last_read);
}

#[test]
fn owner_stops_answering_not_found_before_a_successor_may_accept() {
    let sent = Instant::now();
    // An observer sees a write no earlier than the owner sent it.
    let seen = observe(None, 7, sent);
    let unresponsive = Some(UnresponsiveSince { fence: 1, since: sent });
    let writing = OwnerRow { writes: 2, ..row() };
    let mut now = sent;
    while !may_take_over(&writing, &"other".into(), None, unresponsive, &seen, now) {
        now += Duration::from_millis(10);
    }
    assert!(!may_report_absence(sent, now));
}
