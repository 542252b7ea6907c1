//! Weighted max-min sharing against a filler that gives one small part at a time.

use proptest::prelude::*;
use wasabiswitch_policy::shares::{Claim, TeamDemand, daemon_portion, even_part, max_min};

/// Raises the level of all claims together in tiny steps until the capacity is used up.
///
/// Returns exact shares, which whole slots may miss by less than one.
fn naive_shares(claims: &[Claim], capacity_slots: u32) -> Vec<f64> {
    let wanted = |claim: &Claim| f64::from(claim.demand_slots.min(claim.limit_slots));
    let given = |level: f64, claim: &Claim| wanted(claim).min(level * f64::from(claim.weight));
    let (mut low, mut high) = (0.0, 1e6);
    for _ in 0..200 {
        let middle = (low + high) / 2.0;
        let sum: f64 = claims.iter().map(|claim| given(middle, claim)).sum();
        if sum <= f64::from(capacity_slots) { low = middle } else { high = middle }
    }
    claims.iter().map(|claim| given(low, claim)).collect()
}

/// The parts of a slot that the filler gives at a time.
const PARTS: u32 = 16;

/// Gives one part of a slot at a time to the claim that has least for its weight.
///
/// Whole slots at a time would not do: such fillers drift from the exact share by more than a slot.
fn one_part_at_a_time(claims: &[Claim], capacity_slots: u32) -> Vec<u32> {
    let mut given = vec![0_u32; claims.len()];
    let wanted = |index: usize| claims[index].demand_slots.min(claims[index].limit_slots) * PARTS;
    for _ in 0..capacity_slots * PARTS {
        let open = |index: &usize| claims[*index].weight > 0 && given[*index] < wanted(*index);
        let next = (0..claims.len()).filter(open).min_by(|&a, &b| {
            let left = u64::from(given[a]) * u64::from(claims[b].weight);
            let right = u64::from(given[b]) * u64::from(claims[a].weight);
            left.cmp(&right)
        });
        match next {
            Some(index) => given[index] += 1,
            None => break,
        }
    }
    given
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
        let given = max_min(&claims, capacity);
        let exact = naive_shares(&claims, capacity);
        for (slots, share) in given.iter().zip(&exact) {
            prop_assert!((f64::from(*slots) - share).abs() < 1.0 + 1e-6, "{given:?} {exact:?}");
        }
    }

    #[test]
    fn max_min_uses_what_the_filler_uses(claims in claims(), capacity in 0_u32..200) {
        let given = max_min(&claims, capacity);
        let filled = one_part_at_a_time(&claims, capacity);
        prop_assert_eq!(given.iter().sum::<u32>() * PARTS, filled.iter().sum::<u32>());
        for (index, claim) in claims.iter().enumerate() {
            prop_assert!(given[index] <= claim.demand_slots.min(claim.limit_slots));
            // The filler itself is a part away from the exact share.
            let apart = (given[index] * PARTS).abs_diff(filled[index]);
            prop_assert!(apart <= PARTS + 1, "{:?} {:?}", given, filled);
        }
    }

    #[test]
    fn portions_of_all_daemons_fill_the_pool_and_no_more(
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
fn even_parts_add_up() {
    for (slots, daemons) in [(0, 1), (1, 3), (7, 3), (80, 9), (5, 9)] {
        let sum: u32 = (0..daemons).map(|daemon| even_part(slots, daemon, daemons)).sum();
        assert_eq!(sum, slots, "{slots} slots among {daemons}");
    }
}
