//! Fencing tokens of the orders to workers.

use proptest::prelude::*;
use wasabiswitch_policy::fleet::order_fence::order_fence;

/// Largest whole number that every JSON parser keeps.
const JSON_INTEGER_MAX: u64 = (1 << 53) - 1;
/// Number of terms for which tokens are whole numbers in JSON.
const TERMS: u64 = 1 << 29;

proptest! {
    // Guards against an order of a predecessor, however often it has raised its tokens, that a worker takes for a newer one.
    #[test]
    fn token_of_a_successor_is_always_higher(owner in 1..TERMS - 1, number: u32, first: u32) {
        prop_assert!(order_fence(owner + 1, first) > order_fence(owner, number));
    }

    // Guards against an order for a former incarnation that the next one takes.
    #[test]
    fn token_rises_with_its_number(owner in 1..TERMS, number in 0_u32..(1 << 24) - 1) {
        prop_assert!(order_fence(owner, number + 1) > order_fence(owner, number));
    }

    // Guards against tokens that a worker rounds.
    #[test]
    fn token_fits_a_json_integer(owner in 1..TERMS, number: u32) {
        prop_assert!(order_fence(owner, number) <= JSON_INTEGER_MAX);
    }
}
