//! Leases, fences and cut-off daemons, under random histories of a holder and an observer.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use wasabiswitch_policy::generation::{
    Connectivity, continuation_quorum, fence_quorum, should_adopt,
};
use wasabiswitch_policy::ids::DaemonId;
use wasabiswitch_policy::session::{
    Lease, LeaseTimes, RoleRow, SessionRow, SessionState, SessionWatch, acquire_role, fence, renew,
    start,
};

const TIMES: LeaseTimes =
    LeaseTimes { lease: Duration::from_secs(6), margin: Duration::from_secs(2) };

fn first_row() -> SessionRow {
    start(None, &"a".into(), "10.0.0.1:1", &"dc".into())
}

/// Conditions during one second of a history.
#[derive(Clone, Copy, Debug)]
struct Second {
    holder_paused: bool,
    holder_reaches_store: bool,
    observer_reaches_store: bool,
    // Whether the acknowledgement of a renewal that took effect is lost.
    acknowledgement_lost: bool,
}

fn second() -> impl Strategy<Value = Second> {
    (
        prop::bool::weighted(0.2),
        prop::bool::weighted(0.7),
        prop::bool::weighted(0.8),
        prop::bool::weighted(0.2),
    )
        .prop_map(
            |(
                holder_paused,
                holder_reaches_store,
                observer_reaches_store,
                acknowledgement_lost,
            )| Second {
                holder_paused,
                holder_reaches_store,
                observer_reaches_store,
                acknowledgement_lost,
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), failure_persistence: None, cases: 3_000, ..ProptestConfig::default() })]

    // Guards against split brain: a holder that relies on its lease alone never acts under a
    // session that an observer has fenced, whatever pauses and lost acknowledgements occur.
    #[test]
    fn held_lease_is_never_fenced(history in prop::collection::vec(second(), 0..120)) {
        let begin = Instant::now();
        let mut row = first_row();
        let mut lease = Lease::new(TIMES);
        lease.renewed(begin);
        let mut watch = SessionWatch::default();
        for (index, second) in history.into_iter().enumerate() {
            let now = begin + Duration::from_secs(index as u64);
            if !second.holder_paused && second.holder_reaches_store {
                match renew(Some(&row), row.epoch) {
                    Some(next) => {
                        row = next;
                        if !second.acknowledgement_lost {
                            lease.renewed(now);
                        }
                    }
                    None => lease.invalidate(),
                }
            }
            if second.observer_reaches_store {
                watch.begin_read(now, TIMES.renewal_interval() * 2);
                watch.observe(&row, TIMES, now);
                for expired in watch.expired() {
                    if let Some(next) = fence(&row, expired.epoch, expired.renewals) {
                        row = next;
                    }
                }
            }
            if row.state == SessionState::Fenced {
                prop_assert!(!lease.is_held(now), "the lease of a fenced session is held at second {index}");
            }
        }
    }

    #[test]
    fn fence_and_continuation_quorums_intersect(live in 1_usize..40) {
        prop_assert!(fence_quorum(live) + continuation_quorum(live) > live);
        prop_assert!(fence_quorum(live) >= 1 && continuation_quorum(live) >= 1);
    }

    #[test]
    fn generation_never_decreases(offers in prop::collection::vec(0_u64..50, 0..100)) {
        let mut current = 0;
        for offered in offers {
            let before = current;
            if should_adopt(current, offered) {
                current = offered;
            }
            prop_assert!(current >= before);
        }
    }
}

#[test]
fn store_outage_restarts_the_lease_time_of_every_session() {
    let begin = Instant::now();
    let row = first_row();
    let mut watch = SessionWatch::default();
    let at = |seconds| begin + Duration::from_secs(seconds);
    watch.begin_read(at(0), TIMES.renewal_interval() * 2);
    watch.observe(&row, TIMES, at(0));
    // The store was unavailable to all daemons for 60 s.
    watch.begin_read(at(60), TIMES.renewal_interval() * 2);
    watch.observe(&row, TIMES, at(60));
    assert!(watch.expired().is_empty());
    for seconds in (62..70).step_by(2) {
        watch.begin_read(at(seconds), TIMES.renewal_interval() * 2);
        watch.observe(&row, TIMES, at(seconds));
    }
    assert_eq!(watch.expired().len(), 1, "8 s of unchanged reads do not expire the lease");
}

#[test]
fn work_of_a_fenced_session_ends_after_the_work_time() {
    let begin = Instant::now();
    let at = |seconds| begin + Duration::from_secs(seconds);
    let daemon: DaemonId = "a".into();
    let work = Duration::from_secs(10);
    let cases = [
        (SessionState::Live, 100, false),
        (SessionState::Ended, 0, true),
        (SessionState::Fenced, 9, false),
        (SessionState::Fenced, 10, true),
    ];
    for (state, seconds, ended) in cases {
        let row = SessionRow { state, ..first_row() };
        let mut watch = SessionWatch::default();
        watch.observe(&row, TIMES, at(0));
        assert_eq!(watch.work_ended(&daemon, 1, work, at(seconds)), ended, "{state:?} {seconds}");
    }
    let mut watch = SessionWatch::default();
    watch.observe(&first_row(), TIMES, at(0));
    watch.observe(&SessionRow { epoch: 2, ..first_row() }, TIMES, at(1));
    assert!(
        !watch.work_ended(&daemon, 1, work, at(10)),
        "work of a superseded session counts as ended too early"
    );
    assert!(watch.work_ended(&daemon, 1, work, at(11)));
    assert!(
        !watch.work_ended(&"stranger".into(), 1, work, at(100)),
        "work of an unknown session counts as ended"
    );
}

#[test]
fn role_changes_hands_only_after_its_session_has_ended() {
    let row = RoleRow { daemon: "a".into(), epoch: 1 };
    assert!(acquire_role(Some(&row), &"b".into(), 1, |_, _| false).is_none());
    let taken = acquire_role(Some(&row), &"b".into(), 1, |_, _| true);
    assert_eq!(taken, Some(RoleRow { daemon: "b".into(), epoch: 1 }));
    assert!(acquire_role(None, &"b".into(), 1, |_, _| false).is_some());
}

#[test]
fn daemon_is_cut_off_without_the_store_and_a_majority() {
    let begin = Instant::now();
    let limit = Duration::from_secs(3);
    let live: BTreeSet<DaemonId> = ["a", "b", "c"].map(DaemonId::from).into();
    // Time of the last store contact in seconds, peers contacted at 9 s, and whether the daemon is
    // cut off at 10 s.
    let cases: [(u64, &[&str], bool); 4] =
        [(10, &[], false), (0, &["b"], false), (0, &[], true), (0, &["b", "c"], false)];
    for (store_at, peers, cut_off) in cases {
        let mut connectivity = Connectivity::new(begin);
        connectivity.set_live(live.clone());
        connectivity.store_answered(begin + Duration::from_secs(store_at));
        for peer in peers {
            connectivity.peer_answered(&(*peer).into(), begin + Duration::from_secs(9));
        }
        let now = begin + Duration::from_secs(10);
        assert_eq!(connectivity.is_cut_off(now, limit), cut_off, "{store_at} {peers:?}");
    }
}

#[test]
fn work_continues_under_an_expired_lease_only_while_it_cannot_be_fenced() {
    let begin = Instant::now();
    let limit = Duration::from_secs(3);
    let at = |seconds| begin + Duration::from_secs(seconds);
    let live: BTreeSet<DaemonId> = ["a", "b", "c"].map(DaemonId::from).into();
    // State after a store contact of any daemon at `contact_s` and contact with `peers` at 59 s.
    let connectivity = |contact_s: u64, peers: &[&str]| {
        let mut connectivity = Connectivity::new(begin);
        connectivity.set_live(live.clone());
        connectivity.record_store_contact(at(contact_s));
        for peer in peers {
            connectivity.peer_answered(&(*peer).into(), at(59));
        }
        connectivity
    };
    let cases: [(u64, &[&str], bool); 4] =
        [(7, &["b"], true), (8, &["b"], false), (7, &[], false), (50, &["b", "c"], false)];
    for (contact_s, peers, continues) in cases {
        let outcome = connectivity(contact_s, peers).may_continue(begin, TIMES, at(60), limit);
        assert_eq!(outcome, continues, "{contact_s} {peers:?}");
    }
}
