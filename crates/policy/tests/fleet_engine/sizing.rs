//! Loads that come by turns: one queue asks several times its mean while the others are nearly idle.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use wasabiswitch_policy::fleet::offered_load::OfferedLoad;
use wasabiswitch_policy::fleet::sizing::allocate_instances;

/// A naive share: the same for all.
fn equal_parts(wanted: &[usize], total: usize) -> Vec<usize> {
    vec![total / wanted.len(); wanted.len()]
}

fn served(wanted: &[usize], shares: &[usize]) -> usize {
    wanted.iter().zip(shares).map(|(want, share)| *want.min(share)).sum()
}

#[test]
fn the_queue_whose_turn_it_is_gets_what_the_others_do_not_want() {
    // Five times the mean in one queue, a twentieth in the others.
    for turn in 0..4 {
        let wanted: Vec<usize> = (0..4).map(|queue| if queue == turn { 40 } else { 1 }).collect();
        let shares = allocate_instances(&wanted, 2, 49);
        assert_eq!(shares[turn], 40);
        assert!(served(&wanted, &shares) > 2 * served(&wanted, &equal_parts(&wanted, 49)));
    }
}

proptest! {
    #[test]
    fn shares_never_exceed_what_there_is_and_leave_nothing_that_is_wanted(
        wanted in prop::collection::vec(0_usize..80, 1..6),
        total in 12_usize..100,
    ) {
        let shares = allocate_instances(&wanted, 2, total);
        prop_assert!(shares.iter().sum::<usize>() <= total);
        prop_assert!(shares.iter().all(|share| *share >= 2));
        let floor: Vec<usize> = wanted.iter().map(|want| (*want).max(2)).collect();
        let sum: usize = floor.iter().sum();
        prop_assert_eq!(shares.iter().sum::<usize>(), sum.min(total));
        prop_assert!(shares.iter().zip(&floor).all(|(share, want)| share <= want));
        prop_assert!(served(&wanted, &shares) >= served(&wanted, &equal_parts(&wanted, total)));
    }
}

#[test]
fn an_offer_follows_a_turn_within_a_second_and_fades_after_it() {
    let begun = Instant::now();
    let mut offer = OfferedLoad::new(begun);
    let at = |ms: u64| begun + Duration::from_millis(ms);
    // Forty cores' worth of work for three seconds.
    for ms in (0..3_000).step_by(50) {
        offer.add(40_000.0 * 50.0, at(ms));
    }
    assert!((offer.rate_milli(at(3_000)) - 40_000.0).abs() < 4_000.0);
    assert!(offer.rate_milli(at(6_000)) < 4_000.0);
}
