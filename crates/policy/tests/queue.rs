//! Fair queue: weighted shares, urgency, shedding, and that each waiter leaves exactly once.

use std::collections::BTreeMap;

use proptest::prelude::*;
use wasabiswitch_policy::ids::TeamId;
use wasabiswitch_policy::queue::{FairQueue, OfferOutcome, Urgency};

#[test]
fn full_pool_is_shared_by_weight() {
    let mut queue = FairQueue::new(10_000);
    let teams: [(TeamId, u32); 3] = [("a".into(), 1), ("b".into(), 2), ("c".into(), 5)];
    for index in 0..1_000_u32 {
        for (team, weight) in &teams {
            queue.offer(team, *weight, Urgency::Urgent, (index, *weight));
        }
    }
    let mut running: BTreeMap<TeamId, u32> = BTreeMap::new();
    let mut order: std::collections::VecDeque<u32> = std::collections::VecDeque::new();
    for _ in 0..800 {
        // The pool has 80 slots; when all are in use, the oldest request ends.
        if order.len() == 80 {
            let weight = order.pop_front().expect("the pool is full");
            let (team, _) = teams.iter().find(|(_, own)| *own == weight).expect("a known team");
            *running.get_mut(team).expect("it runs") -= 1;
        }
        let taken = queue.take(|team| Some(running.get(team).copied().unwrap_or(0)));
        let (_, weight) = taken.expect("the queue is full");
        let (team, _) = teams.iter().find(|(_, own)| *own == weight).expect("a known team");
        *running.entry(team.clone()).or_default() += 1;
        order.push_back(weight);
    }
    let expected = teams.iter().map(|(team, weight)| (team.clone(), weight * 10)).collect();
    assert_eq!(running, expected);
}

#[test]
fn team_at_its_limit_keeps_its_turn() {
    let mut queue = FairQueue::new(100);
    let (limited, open): (TeamId, TeamId) = ("limited".into(), "open".into());
    for handle in 0..10 {
        queue.offer(&limited, 1, Urgency::Urgent, handle);
        queue.offer(&open, 1, Urgency::Urgent, handle + 100);
    }
    // The limited team is at its limit while the other team runs five requests.
    let at_limit = |team: &TeamId| (**team == *open).then_some(5);
    assert_eq!(queue.take(at_limit), Some(100));
    assert_eq!(queue.take(at_limit), Some(101));
    let below_limit = |team: &TeamId| Some(if **team == *open { 6 } else { 0 });
    assert_eq!(queue.take(below_limit), Some(0), "the limited team is not served next");
}

#[test]
fn flooding_team_is_shed_and_refused_first() {
    let mut queue = FairQueue::new(10);
    let (calm, flood): (TeamId, TeamId) = ("calm".into(), "flood".into());
    for index in 0..10 {
        assert_eq!(queue.offer(&flood, 1, Urgency::Urgent, index), OfferOutcome::Queued);
    }
    assert_eq!(queue.offer(&flood, 1, Urgency::Urgent, 10), OfferOutcome::Refused);
    // The newest waiter of the flooding team is shed.
    let offer = queue.offer(&calm, 1, Urgency::Urgent, 100);
    assert_eq!(offer, OfferOutcome::QueuedInPlaceOf(9));
    assert_eq!((queue.team_len("calm"), queue.team_len("flood")), (1, 9));
}

#[test]
fn urgent_work_is_served_first_in_order_of_arrival() {
    let mut queue = FairQueue::new(10);
    let team: TeamId = "a".into();
    for (handle, urgency) in [
        (1, Urgency::Deferrable),
        (2, Urgency::Urgent),
        (3, Urgency::Deferrable),
        (4, Urgency::Urgent),
    ] {
        queue.offer(&team, 1, urgency, handle);
    }
    let order: Vec<i32> = std::iter::from_fn(|| queue.take(|_| Some(0))).collect();
    assert_eq!(order, [2, 4, 1, 3]);
}

#[test]
fn team_at_its_limit_causes_no_head_of_line_blocking() {
    let mut queue = FairQueue::new(10);
    queue.offer(&"blocked".into(), 9, Urgency::Urgent, 1);
    queue.offer(&"open".into(), 1, Urgency::Urgent, 2);
    assert_eq!(queue.take(|team| (&**team == "open").then_some(0)), Some(2));
    assert_eq!(queue.take(|team| (&**team == "open").then_some(0)), None);
    assert_eq!(queue.len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(14), failure_persistence: None, cases: 1_000, ..ProptestConfig::default() })]

    // Each waiter is served, shed or removed exactly once.
    #[test]
    fn every_waiter_leaves_exactly_once(
        steps in prop::collection::vec((0_u8..4, 0_u8..4, 1_u32..4, any::<bool>()), 0..200),
    ) {
        let mut queue = FairQueue::new(12);
        let mut waiting: BTreeMap<usize, TeamId> = BTreeMap::new();
        for (handle, (action, team, weight, urgent)) in steps.into_iter().enumerate() {
            let team: TeamId = format!("t{team}").into();
            let urgency = if urgent { Urgency::Urgent } else { Urgency::Deferrable };
            match action {
                0 | 1 => match queue.offer(&team, weight, urgency, handle) {
                    OfferOutcome::Queued => drop(waiting.insert(handle, team)),
                    OfferOutcome::QueuedInPlaceOf(shed) => {
                        prop_assert!(waiting.remove(&shed).is_some());
                        waiting.insert(handle, team);
                    }
                    OfferOutcome::Refused => {}
                },
                2 => if let Some(taken) = queue.take(|_| Some(0)) {
                    prop_assert!(waiting.remove(&taken).is_some());
                },
                _ => if let Some((&first, _)) = waiting.iter().next() {
                    let owner = waiting.remove(&first).expect("it waits");
                    prop_assert!(queue.remove(&owner, first));
                },
            }
            prop_assert_eq!(queue.len(), waiting.len());
            prop_assert!(queue.len() <= 12);
        }
        let remaining: Vec<usize> = std::iter::from_fn(|| queue.take(|_| Some(0))).collect();
        prop_assert_eq!(remaining.len(), waiting.len());
        prop_assert!(queue.is_empty());
    }
}
