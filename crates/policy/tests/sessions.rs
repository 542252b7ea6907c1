//! Leases, fences and cut-off daemons, under every interleaving of a holder and an observer.

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

/// What happens in one second of a history.
#[derive(Clone, Copy, Debug)]
struct Second {
    holder_paused: bool,
    holder_reaches_store: bool,
    observer_reaches_store: bool,
    // Whether the answer to the holder's renewal is lost after it took effect.
    answer_lost: bool,
}

fn second() -> impl Strategy<Value = Second> {
    (
        prop::bool::weighted(0.2),
        prop::bool::weighted(0.7),
        prop::bool::weighted(0.8),
        prop::bool::weighted(0.2),
    )
        .prop_map(
            |(holder_paused, holder_reaches_store, observer_reaches_store, answer_lost)| Second {
                holder_paused,
                holder_reaches_store,
                observer_reaches_store,
                answer_lost,
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), failure_persistence: None, cases: 3_000, ..ProptestConfig::default() })]

    // A holder that trusts only its lease never acts on a session that was fenced.
    #[test]
    fn a_held_lease_is_never_fenced(history in prop::collection::vec(second(), 0..120)) {
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
                        if !second.answer_lost {
                            lease.renewed(now);
                        }
                    }
                    None => lease.invalidate(),
                }
            }
            if second.observer_reaches_store {
                watch.begin_read(now, TIMES.renew_every() * 2);
                watch.observe(&row, TIMES, now);
                for expired in watch.expired() {
                    if let Some(next) = fence(&row, expired.epoch, expired.renewals) {
                        row = next;
                    }
                }
            }
            if row.state == SessionState::Fenced {
                prop_assert!(!lease.is_held(now), "the lease is held at second {index}");
            }
        }
    }

    #[test]
    fn a_fence_and_work_that_goes_on_share_a_daemon(live in 1_usize..40) {
        prop_assert!(fence_quorum(live) + continuation_quorum(live) > live);
        prop_assert!(fence_quorum(live) >= 1 && continuation_quorum(live) >= 1);
    }

    #[test]
    fn a_generation_never_goes_back(offers in prop::collection::vec(0_u64..50, 0..100)) {
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
fn an_outage_gives_every_session_a_whole_new_lease() {
    let begin = Instant::now();
    let row = first_row();
    let mut watch = SessionWatch::default();
    let at = |seconds| begin + Duration::from_secs(seconds);
    watch.begin_read(at(0), TIMES.renew_every() * 2);
    watch.observe(&row, TIMES, at(0));
    // The store was down for a minute, for everyone.
    watch.begin_read(at(60), TIMES.renew_every() * 2);
    watch.observe(&row, TIMES, at(60));
    assert!(watch.expired().is_empty());
    for seconds in (62..70).step_by(2) {
        watch.begin_read(at(seconds), TIMES.renew_every() * 2);
        watch.observe(&row, TIMES, at(seconds));
    }
    assert_eq!(watch.expired().len(), 1, "eight seconds of reads show the lapse");
}

#[test]
fn work_of_a_fenced_session_ends_later_than_the_session() {
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
    assert!(!watch.work_ended(&daemon, 1, work, at(10)), "a superseded session may have work");
    assert!(watch.work_ended(&daemon, 1, work, at(11)));
    assert!(!watch.work_ended(&"stranger".into(), 1, work, at(100)), "unknown is not ended");
}

#[test]
fn a_role_passes_on_only_from_a_session_that_is_over() {
    let row = RoleRow { daemon: "a".into(), epoch: 1 };
    assert!(acquire_role(Some(&row), &"b".into(), 1, |_, _| false).is_none());
    let taken = acquire_role(Some(&row), &"b".into(), 1, |_, _| true);
    assert_eq!(taken, Some(RoleRow { daemon: "b".into(), epoch: 1 }));
    assert!(acquire_role(None, &"b".into(), 1, |_, _| false).is_some());
}

#[test]
fn who_is_cut_off() {
    let begin = Instant::now();
    let limit = Duration::from_secs(3);
    let live: BTreeSet<DaemonId> = ["a", "b", "c"].map(DaemonId::from).into();
    // Store contact, contacts with peers, and whether the daemon is cut off ten seconds later.
    let cases: [(u64, &[&str], bool); 4] =
        [(10, &[], false), (0, &["b"], false), (0, &[], true), (0, &["b", "c"], false)];
    for (store_at, peers, cut_off) in cases {
        let mut reach = Connectivity::new(begin);
        reach.set_live(live.clone());
        reach.store_answered(begin + Duration::from_secs(store_at));
        for peer in peers {
            reach.peer_answered(&(*peer).into(), begin + Duration::from_secs(9));
        }
        let now = begin + Duration::from_secs(10);
        assert_eq!(reach.is_cut_off(now, limit), cut_off, "{store_at} {peers:?}");
    }
}

#[test]
fn work_goes_on_under_a_lapsed_lease_only_while_nobody_can_fence() {
    let begin = Instant::now();
    let limit = Duration::from_secs(3);
    let at = |seconds| begin + Duration::from_secs(seconds);
    let live: BTreeSet<DaemonId> = ["a", "b", "c"].map(DaemonId::from).into();
    let reach = |news: u64, peers: &[&str]| {
        let mut reach = Connectivity::new(begin);
        reach.set_live(live.clone());
        reach.record_store_contact(at(news));
        for peer in peers {
            reach.peer_answered(&(*peer).into(), at(59));
        }
        reach
    };
    let cases: [(u64, &[&str], bool); 4] =
        [(7, &["b"], true), (8, &["b"], false), (7, &[], false), (50, &["b", "c"], false)];
    for (news, peers, goes_on) in cases {
        let outcome = reach(news, peers).may_continue(begin, TIMES, at(60), limit);
        assert_eq!(outcome, goes_on, "{news} {peers:?}");
    }
}
