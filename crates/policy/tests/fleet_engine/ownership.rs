//! Who may take over, and when.

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

/// Returns after what time an observer takes over that reads an unchanged row at `every`.
fn taken_over_after(every: Duration) -> Option<Duration> {
    let begun = Instant::now();
    let mut seen: Option<Observation> = None;
    for read in 0..100 {
        let now = begun + every * read;
        let observation = observe(seen.as_ref(), 7, now);
        if may_take_over(&row(), &"other".into(), None, None, &observation, now) {
            return Some(now - begun);
        }
        seen = Some(observation);
    }
    None
}

#[test]
fn an_observer_takes_over_at_any_pace_of_reads_that_a_slow_instance_keeps() {
    // A read each 0.2 s, or each 0.7 s where every call waits for its timeout.
    for every_ms in [200, 300, 500, 700, 900] {
        let every = Duration::from_millis(every_ms);
        let taken = taken_over_after(every).expect("it takes over");
        assert!(taken >= OWNER_LEASE + OWNER_LEASE_MARGIN);
        assert!(taken < OWNER_LEASE + OWNER_LEASE_MARGIN + every, "every {every_ms} ms");
    }
}

#[test]
fn an_observer_that_could_not_read_for_a_while_counts_anew() {
    assert_eq!(taken_over_after(OBSERVATION_GAP_MAX + Duration::from_millis(1)), None);
}

#[test]
fn an_owner_has_stopped_before_anyone_may_take_over() {
    let sent = Instant::now();
    // The observer sees the write at the earliest when it was sent.
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
fn a_released_row_and_an_earlier_life_are_taken_at_once() {
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
fn larger_instances_go_first_and_only_much_larger_ones_ask_for_the_fleet() {
    assert_eq!(takeover_delay(500, None), Duration::ZERO);
    assert!(takeover_delay(120, None) > takeover_delay(250, None));
    assert!(takeover_delay(120, Some(500)) > Duration::from_millis(500));
    assert_eq!(takeover_delay(250, Some(250)), Duration::ZERO, "all instances are small here");
    assert!(should_hand_over(120, 500) && !should_hand_over(250, 300));
}

#[test]
fn what_an_owner_has_given_up_is_taken_at_once_and_nothing_else() {
    let now = Instant::now();
    let observation = observe(None, 7, now);
    let may =
        |given_up| may_take_over(&row(), &"other".into(), Some(given_up), None, &observation, now);
    assert!(may(SteppedDown { incarnation: 1, fence: 1 }));
    assert!(
        !may(SteppedDown { incarnation: 2, fence: 1 }),
        "another life of the daemon owns the shard"
    );
    assert!(!may(SteppedDown { incarnation: 1, fence: 0 }), "the daemon owns the shard anew");
}

#[test]
fn an_owner_gives_up_well_before_its_lease_ends_but_not_for_one_failed_write() {
    let since = Instant::now();
    assert!(!has_lost_store(None, since));
    assert!(!has_lost_store(Some(since), since + Duration::from_millis(100)));
    assert!(has_lost_store(Some(since), since + STORE_LOST_AFTER));
    assert!(STORE_LOST_AFTER * 2 < OWNER_LEASE);
}

#[test]
fn the_time_since_the_owners_last_word_counts_only_for_the_write_that_it_spoke_of() {
    let received = Instant::now();
    let now = received + Duration::from_millis(600);
    let word = OwnerHeartbeat { fence: 1, writes: 1, received };
    let first_seen = |word| observe_first(&row(), 7, word, now).first_seen;
    assert_eq!(first_seen(Some(word)), received);
    assert_eq!(first_seen(None), now);
    assert_eq!(
        first_seen(Some(OwnerHeartbeat { writes: 2, ..word })),
        now,
        "an older write is read"
    );
    assert_eq!(first_seen(Some(OwnerHeartbeat { writes: 0, ..word })), now, "it has written since");
    assert_eq!(first_seen(Some(OwnerHeartbeat { fence: 0, ..word })), now, "it is another owner");
    let late = received + OBSERVATION_GAP_MAX + Duration::from_millis(1);
    assert_eq!(observe_first(&row(), 7, Some(word), late).first_seen, late);
}

/// Returns whether an observer takes over `row` that has been unchanged and its owner silent for so long.
fn takes_over_silent(row: &OwnerRow, fence: u64, silent: Duration, unchanged: Duration) -> bool {
    let begun = Instant::now();
    let now = begun + silent.max(unchanged);
    let silence = UnresponsiveSince { fence, since: now - silent };
    let seen = Observation { version: 7, first_seen: now - unchanged, last_read: now };
    may_take_over(row, &"other".into(), None, Some(silence), &seen, now)
}

#[test]
fn an_owner_that_neither_answers_nor_writes_is_replaced_before_its_lease_is_over() {
    let writing = OwnerRow { writes: 2, ..row() };
    let (long, short) =
        (OWNER_UNRESPONSIVE_AFTER, OWNER_UNRESPONSIVE_AFTER - Duration::from_millis(1));
    assert!(takes_over_silent(&writing, 1, long, long));
    assert!(!takes_over_silent(&writing, 1, long, short), "it has written shortly before");
    assert!(!takes_over_silent(&writing, 1, short, long), "it may only be slow to answer");
    assert!(!takes_over_silent(&writing, 0, long, long), "an earlier owner was silent");
    assert!(!takes_over_silent(&row(), 1, long, long), "it is still reading the rows");
    assert!(OWNER_UNRESPONSIVE_AFTER < OWNER_LEASE);
    assert!(OWNER_UNRESPONSIVE_AFTER > OWNER_RENEWAL_INTERVAL, "one renewal at least was due");
}

#[test]
fn a_successor_counts_from_the_last_order_that_a_silent_owner_can_give() {
    let sent = Instant::now();
    let seen =
        Observation { version: 7, first_seen: sent, last_read: sent + OWNER_UNRESPONSIVE_AFTER };
    let ends =
        |row: &OwnerRow, given_up| predecessor_deadline(row, &"other".into(), given_up, &seen);
    assert!(!may_act(sent, ends(&row(), None)), "its lease is over by then");
    let given_up = SteppedDown { incarnation: 1, fence: 1 };
    assert_eq!(ends(&row(), Some(given_up)), seen.last_read, "it has given its last order");
    assert_eq!(ends(&OwnerRow { released: true, ..row() }, None), seen.last_read);
}

#[test]
fn an_owner_denies_nothing_that_a_successor_may_have_accepted() {
    let sent = Instant::now();
    // The observer sees the write at the earliest when it was sent.
    let seen = observe(None, 7, sent);
    let silence = Some(UnresponsiveSince { fence: 1, since: sent });
    let writing = OwnerRow { writes: 2, ..row() };
    let mut now = sent;
    while !may_take_over(&writing, &"other".into(), None, silence, &seen, now) {
        now += Duration::from_millis(10);
    }
    assert!(!may_report_absence(sent, now));
}
