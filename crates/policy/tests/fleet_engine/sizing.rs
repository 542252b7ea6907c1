//! Tests of pool sizes under bursts: one queue submits several times its mean while the others are nearly idle.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use wasabiswitch_policy::fleet::offered_load::OfferedLoad;
use wasabiswitch_policy::fleet::sizing::allocate_instances;

/// Returns the baseline, in which all pools get the same share.
fn equal_shares(wanted: &[usize], total: usize) -> Vec<usize> {
    vec![total / wanted.len(); wanted.len()]
}

fn served(wanted: &[usize], shares: &[usize]) -> usize {
    wanted.iter().zip(shares).map(|(want, share)| *want.min(share)).sum()
}

#[test]
fn queue_in_a_burst_gets_the_instances_that_others_do_not_need() {
    // One queue wants forty instances, the others one each.
    for burst in 0..4 {
        let wanted: Vec<usize> = (0..4).map(|queue| if queue == burst { 40 } else { 1 }).collect();
        let shares = allocate_instances(&wanted, 2, 49);
        assert_eq!(shares[burst], 40);
        assert!(served(&wanted, &shares) > 2 * served(&wanted, &equal_shares(&wanted, 49)));
    }
}

proptest! {
    #[test]
    fn shares_fit_the_total_and_leave_no_demand_unserved(
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
        prop_assert!(served(&wanted, &shares) >= served(&wanted, &equal_shares(&wanted, total)));
    }
}

#[test]
fn offered_load_follows_a_burst_and_decays_after_it() {
    let start = Instant::now();
    let mut load = OfferedLoad::new(start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    // Work for forty cores, for three seconds.
    for ms in (0..3_000).step_by(50) {
        load.add(40_000.0 * 50.0, at(ms));
    }
    assert!((load.rate_milli(at(3_000)) - 40_000.0).abs() < 4_000.0);
    assert!(load.rate_milli(at(6_000)) < 4_000.0);
}
