//! Weighted max-min shares, checked against the exact water level and against progressive filling.

use proptest::prelude::*;
use wasabiswitch_policy::shares::{Claim, TeamDemand, daemon_portion, even_share, max_min};

/// Returns the exact shares, from a bisection of the common level at which the capacity is used up.
///
/// Whole slots differ from the exact share by less than one.
fn exact_shares(claims: &[Claim], capacity_slots: u32) -> Vec<f64> {
    let wanted = |claim: &Claim| f64::from(claim.demand_slots.min(claim.limit_slots));
    let allocated = |level: f64, claim: &Claim| wanted(claim).min(level * f64::from(claim.weight));
    let (mut low, mut high) = (0.0, 1e6);
    for _ in 0..200 {
        let middle = (low + high) / 2.0;
        let sum: f64 = claims.iter().map(|claim| allocated(middle, claim)).sum();
        if sum <= f64::from(capacity_slots) { low = middle } else { high = middle }
    }
    claims.iter().map(|claim| allocated(low, claim)).collect()
}

/// Number of parts into which progressive filling divides a slot.
const PARTS_PER_SLOT: u32 = 16;

/// Returns shares from progressive filling, which gives one part of a slot at a time to the claim
/// with the smallest share per weight.
///
/// Filling with whole slots would deviate from the exact share by more than a slot.
fn progressive_filling(claims: &[Claim], capacity_slots: u32) -> Vec<u32> {
    let mut allocated = vec![0_u32; claims.len()];
    let wanted =
        |index: usize| claims[index].demand_slots.min(claims[index].limit_slots) * PARTS_PER_SLOT;
    for _ in 0..capacity_slots * PARTS_PER_SLOT {
        let open = |index: &usize| claims[*index].weight > 0 && allocated[*index] < wanted(*index);
        let next = (0..claims.len()).filter(open).min_by(|&a, &b| {
            let left = u64::from(allocated[a]) * u64::from(claims[b].weight);
            let right = u64::from(allocated[b]) * u64::from(claims[a].weight);
            left.cmp(&right)
        });
        match next {
            Some(index) => allocated[index] += 1,
            None => break,
        }
    }
    allocated
}

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let claim = (0_u32..8, 0_u32..60, 0_u32..60).prop_map(|(weight, demand_slots, limit_slots)| {
        Claim { weight, demand_slots, limit_slots }
    });
    prop::collection::vec(claim, 0..12)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn max_min_is_within_one_slot_of_the_exact_share(claims in claims(), capacity in 0_u32..200) {
        let allocated = max_min(&claims, capacity);
        let exact = exact_shares(&claims, capacity);
        for (slots, share) in allocated.iter().zip(&exact) {
            prop_assert!((f64::from(*slots) - share).abs() < 1.0 + 1e-6, "{allocated:?} {exact:?}");
        }
    }

    #[test]
    fn max_min_agrees_with_progressive_filling(claims in claims(), capacity in 0_u32..200) {
        let allocated = max_min(&claims, capacity);
        let filled = progressive_filling(&claims, capacity);
        prop_assert_eq!(allocated.iter().sum::<u32>() * PARTS_PER_SLOT, filled.iter().sum::<u32>());
        for (index, claim) in claims.iter().enumerate() {
            prop_assert!(allocated[index] <= claim.demand_slots.min(claim.limit_slots));
            // Progressive filling itself deviates from the exact share by up to one part.
            let apart = (allocated[index] * PARTS_PER_SLOT).abs_diff(filled[index]);
            prop_assert!(apart <= PARTS_PER_SLOT + 1, "{:?} {:?}", allocated, filled);
        }
    }

    #[test]
    fn daemon_portions_sum_to_the_slots_of_the_pool(
        demands in prop::collection::vec((1_u32..5, 0_u32..80, prop::collection::vec(0_u32..40, 3)), 0..8),
        slots in 0_u32..120,
    ) {
        let teams: Vec<TeamDemand> = demands
            .into_iter()
            .map(|(weight, limit_slots, by_daemon_slots)| TeamDemand { weight, limit_slots, by_daemon_slots })
            .collect();
        let sum: u32 = (0..3).map(|daemon| daemon_portion(&teams, daemon, 3, slots)).sum();
        prop_assert_eq!(sum, slots);
    }
}

#[test]
fn even_shares_sum_to_the_slots() {
    for (slots, daemons) in [(0, 1), (1, 3), (7, 3), (80, 9), (5, 9)] {
        let sum: u32 = (0..daemons).map(|daemon| even_share(slots, daemon, daemons)).sum();
        assert_eq!(sum, slots, "{slots} slots among {daemons}");
    }
}
