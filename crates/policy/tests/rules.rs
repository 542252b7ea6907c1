//! Configuration merging, retries, routing, circuit breaking, pool demand and burn rates.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::breaker::{Breaker, BreakerConfig, Permit};
use wasabiswitch_policy::burn::{Alert, Counts, History, alert, burn_rate};
use wasabiswitch_policy::demand::{
    MoveCandidate, PoolDemand, RunTimes, ShortageTracker, plan_moves, target_sizes,
};
use wasabiswitch_policy::ids::FailureDomain;
use wasabiswitch_policy::merge::{File, FileEntry, apply, diff, merge};
use wasabiswitch_policy::retry::{Attempt, RetryBudget, RetryStep, next_step};
use wasabiswitch_policy::routing::{Candidate, DrainNotice, Health, choose};

type Fields = Option<Vec<(u8, u8)>>;

fn files() -> impl Strategy<Value = Vec<(u8, Vec<(u8, Fields)>)>> {
    let fields = prop::option::weighted(0.8, prop::collection::vec((0_u8..4, any::<u8>()), 0..4));
    let entries = prop::collection::vec((0_u8..4, fields), 0..5);
    prop::collection::vec((any::<u8>(), entries), 0..6)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(17), failure_persistence: None, cases: 1_000, ..ProptestConfig::default() })]

    #[test]
    fn merge_matches_writing_field_by_field(files in files()) {
        let named: Vec<File<u8>> = files
            .iter()
            .enumerate()
            .map(|(index, (name, entries))| File {
                name: format!("{name:03}-{index:03}"),
                entries: entries
                    .iter()
                    .map(|(entry, fields)| FileEntry {
                        key: ("s".to_owned(), entry.to_string()),
                        fields: fields.as_ref().map(|fields| {
                            fields.iter().map(|(name, value)| (name.to_string(), *value)).collect()
                        }),
                    })
                    .collect(),
            })
            .collect();
        let mut order: Vec<&File<u8>> = named.iter().collect();
        order.sort_by_key(|file| file.name.clone());
        // The naive model is a flat map of single fields and the set of entries written so far.
        let mut flat: BTreeMap<(String, String), u8> = BTreeMap::new();
        let mut present: BTreeMap<String, ()> = BTreeMap::new();
        for entry in order.iter().flat_map(|file| &file.entries) {
            match &entry.fields {
                None => {
                    present.remove(&entry.key.1);
                    flat.retain(|(name, _), _| *name != entry.key.1);
                }
                Some(fields) => {
                    present.insert(entry.key.1.clone(), ());
                    for (name, value) in fields {
                        flat.insert((entry.key.1.clone(), name.clone()), *value);
                    }
                }
            }
        }
        let merged = merge(&named);
        prop_assert_eq!(merged.len(), present.len());
        let merged_flat: BTreeMap<(String, String), u8> = merged
            .iter()
            .flat_map(|(key, fields)| fields.iter().map(|(name, value)| ((key.1.clone(), name.clone()), *value)))
            .collect();
        prop_assert_eq!(merged_flat, flat);
    }

    #[test]
    fn applying_a_diff_gives_the_second_configuration(
        before in prop::collection::btree_map(any::<u8>(), any::<u8>(), 0..20),
        after in prop::collection::btree_map(any::<u8>(), any::<u8>(), 0..20),
    ) {
        let entries = |map: BTreeMap<u8, u8>| -> BTreeMap<(String, String), u8> {
            map.into_iter().map(|(key, value)| (("s".to_owned(), key.to_string()), value)).collect()
        };
        let (mut before, after) = (entries(before), entries(after));
        let changes = diff(&before, &after);
        apply(&mut before, &changes);
        prop_assert_eq!(before, after);
    }

    #[test]
    fn target_sizes_preserve_the_total_and_the_floors(
        pools in prop::collection::vec((0_u32..30, 1_u32..20, 0_u32..4), 1..8),
    ) {
        let demands: Vec<PoolDemand> = pools
            .iter()
            .enumerate()
            .map(|(index, (needed, size, floor))| PoolDemand {
                pool: format!("p{index}").into(),
                needed: *needed,
                size: *size,
                floor: (*floor).min(*size),
                spare: index == 0,
            })
            .collect();
        let targets = target_sizes(&demands);
        prop_assert_eq!(targets.values().sum::<u32>(), demands.iter().map(|d| d.size).sum::<u32>());
        for demand in &demands {
            prop_assert!(targets[&demand.pool] >= demand.floor);
        }
        let enough: u32 = demands.iter().map(|d| d.needed.max(d.floor)).sum();
        if demands.iter().all(|d| d.spare || d.size >= d.needed) {
            for demand in demands.iter().filter(|d| !d.spare) {
                prop_assert_eq!(targets[&demand.pool], demand.size, "nothing moves without cause ({})", enough);
            }
        }
    }
}

#[test]
fn retry_depends_on_verdict_attempts_deadline_and_budget() {
    let now = Instant::now();
    let remaining = Duration::from_secs(1);
    // Verdict, repeatable, attempts made, remaining time, whether budget remains, and whether the
    // request is retried.
    let cases = [
        (Verdict::NotRun, false, 1, remaining, true, true),
        (Verdict::MayHaveRun, false, 1, remaining, true, false),
        (Verdict::MayHaveRun, true, 1, remaining, true, true),
        (Verdict::Ran, true, 1, remaining, true, false),
        (Verdict::NotRun, true, 3, remaining, true, false),
        (Verdict::NotRun, true, 1, Duration::from_millis(4), true, false),
        (Verdict::NotRun, true, 1, remaining, false, false),
    ];
    for (verdict, repeatable, attempts_made, remaining, budget, retried) in cases {
        let deadline = now + remaining;
        let attempt = Attempt { verdict, repeatable, attempts_made, attempts_max: 3, deadline };
        let step = next_step(&attempt, now, budget, 0.5);
        assert_eq!(step != RetryStep::GiveUp, retried, "{attempt:?} with budget {budget}");
    }
}

#[test]
fn retry_budget_bounds_retries_to_a_fraction_of_requests() {
    let mut budget = RetryBudget::default();
    while budget.spend() {}
    let retries = (0..1_000).filter(|_| {
        budget.earn();
        budget.spend()
    });
    assert_eq!(retries.count(), 200);
}

#[test]
fn routing_skips_unavailable_upstreams_and_used_domains() {
    let now = Instant::now();
    let warmed_up = now
        .checked_sub(Duration::from_secs(60))
        .expect("the monotonic clock started over 60 s ago");
    // Failure domain, number of outstanding requests, whether it serves, whether it is ejected.
    let list: [(FailureDomain, u32, bool, bool); 3] =
        [("a".into(), 0, true, false), ("b".into(), 4, true, false), ("a".into(), 0, false, false)];
    let describe = |index: usize| {
        let (domain, outstanding, serving, ejected) = &list[index];
        Candidate {
            failure_domain: domain,
            outstanding: *outstanding,
            capacity: 8,
            serving: *serving,
            ejected: *ejected,
            serving_since: warmed_up,
        }
    };
    for seed in 0..50 {
        let mut random = seed;
        let draw = |below: usize| {
            random = random * 31 + 7;
            random % below
        };
        let chosen = choose(3, describe, &[], now, draw);
        assert_ne!(chosen, Some(2), "a candidate that does not serve was chosen");
        let mut random = seed;
        let draw = |below: usize| {
            random = random * 31 + 7;
            random % below
        };
        assert_eq!(
            choose(3, describe, &["a".into()], now, draw),
            Some(1),
            "the failure domain of an earlier attempt was not avoided"
        );
    }
    assert_eq!(choose(0, describe, &[], now, |_| 0), None);
}

#[test]
fn ejection_is_limited_to_a_third_of_the_pool() {
    let now = Instant::now();
    let mut health = Health::new(now);
    for _ in 0..5 {
        health.record(false, now);
    }
    assert!(!health.eject_if_failing(now, 3, 9), "a third of the pool is ejected already");
    assert!(health.eject_if_failing(now, 2, 9));
    assert!(health.is_ejected(now));
    assert!(!health.is_ejected(now + Duration::from_secs(5)));
}

#[test]
fn drain_notice_holds_for_the_rest_of_a_boot() {
    let mut notice = DrainNotice::default();
    assert!(notice.record(3));
    assert!(!notice.record(3), "a known notice counts as new");
    assert!(!notice.record(2), "a stale notice counts as new");
    assert!(notice.applies_to(3) && notice.applies_to(2) && !notice.applies_to(4));
}

#[test]
fn half_open_breaker_permits_one_probe() {
    let now = Instant::now();
    let config = BreakerConfig { failures_to_open: 2, open_time: Duration::from_secs(1) };
    let mut breaker = Breaker::new(config);
    breaker.failed(now);
    assert_eq!(breaker.permit(now), Permit::Send);
    breaker.failed(now);
    assert_eq!(breaker.permit(now), Permit::Refuse);
    let later = now + Duration::from_secs(1);
    assert_eq!(breaker.permit(later), Permit::Probe);
    assert_eq!(breaker.permit(later), Permit::Refuse);
    breaker.abandoned();
    assert_eq!(breaker.permit(later), Permit::Probe);
    breaker.succeeded();
    assert_eq!(breaker.permit(later), Permit::Send);
}

#[test]
fn moves_need_a_lasting_shortage_and_prefer_the_spare_pool() {
    let now = Instant::now();
    let min_duration = Duration::from_secs(30);
    let demand = |pool: &str, needed, size, spare| PoolDemand {
        pool: pool.into(),
        needed,
        size,
        floor: 1,
        spare,
    };
    let pools =
        [demand("busy", 5, 3, false), demand("calm", 1, 4, false), demand("spare", 0, 2, true)];
    let targets = target_sizes(&pools);
    let mut shortage = ShortageTracker::default();
    assert!(shortage.update(&pools, &targets, min_duration, now).is_empty());
    let short = shortage.update(&pools, &targets, min_duration, now + min_duration);
    assert_eq!(short, ["busy".into()]);
    let instance = |name: &str, pool: &str, outstanding| MoveCandidate {
        instance: name.into(),
        pool: pool.into(),
        failure_domain: "r".into(),
        outstanding,
    };
    let instances =
        [instance("c1", "calm", 0), instance("s1", "spare", 0), instance("c2", "calm", 5)];
    let moves = plan_moves(&pools, &targets, &short, &instances, 10);
    let names: Vec<&str> = moves.iter().map(|planned| &*planned.instance).collect();
    assert_eq!(names[0], "s1");
    assert!(moves.len() <= 2);
}

#[test]
fn learned_run_times_need_a_minimum_number_of_samples() {
    let mut times = RunTimes::default();
    for value in [10, 20, 30, 40] {
        times.record(value);
    }
    assert_eq!(times.quantile_ms(0.5, 1_000), 1_000);
    times.record(50);
    assert_eq!(times.quantile_ms(0.5, 1_000), 30);
    assert_eq!(times.quantile_ms(1.0, 1_000), 50);
}

#[test]
fn burn_rate_and_alert_depend_on_the_windows() {
    let now = Instant::now();
    let mut history = History::new(now, Duration::from_secs(3_600));
    for second in 0..1_000 {
        let at = now + Duration::from_secs(second);
        history.record(second < 900, at);
    }
    let end = now + Duration::from_secs(999);
    let last = history.sum(Duration::from_secs(100), end);
    assert_eq!(last, Counts { total: 100, bad: 100 });
    let all = history.sum(Duration::from_secs(3_600), end);
    assert_eq!(all, Counts { total: 1_000, bad: 100 });
    assert!((burn_rate(all, 0.9) - 1.0).abs() < 1e-9);
    let cases = [
        (20.0, 20.0, 1.0, Alert::Fast),
        (0.0, 20.0, 4.0, Alert::Slow),
        (0.0, 1.0, 9.0, Alert::None),
    ];
    for (short, middle, long, expected) in cases {
        assert_eq!(alert(short, middle, long), expected);
    }
}
