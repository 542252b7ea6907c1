//! A silent owner is replaced while it still gives orders: two owners at once, each with its own view.
//!
//! The old one can write nothing and its orders carry the lower fence, but it reaches workers that the new one does
//! not. The ledger of the world judges every start of both.

use std::time::Duration;

use fastrand::Rng;
use wasabiswitch_policy::fleet::ownership::{OWNER_LEASE, OWNER_MARGIN, OWNER_SILENCE};
use wasabiswitch_policy::fleet::state::Phase;

use crate::simulation::{Faults, Simulation, step, submission};

/// How long the old owner may act beside the new one at most.
const OVERLAP: Duration = OWNER_LEASE.saturating_add(OWNER_MARGIN).saturating_sub(OWNER_SILENCE);
/// The workers of a history.
const WORKERS: usize = 5;
/// What the team may run, in thousandths of a core; less than the workers have.
const CAP_MILLI: u64 = 14_000;

/// Plays a history in which every owner is replaced while it acts; the successor counts from the last order that
/// the old one can give, or from its own write.
fn play(seed: u64, counts_overlap: bool) -> Simulation {
    let mut choice = Rng::with_seed(seed ^ 0x01d);
    let faults = Faults {
        lost_acks: choice.f64() * 0.1,
        late_orders: 0.0,
        lost_reports: 0.0,
        failed_tasks: 0.0,
    };
    let mut sim = Simulation::new(WORKERS, CAP_MILLI, faults, seed);
    for round in 0..12 {
        let mut second = step(choice.u32(1..4), choice.u64(50..1_500));
        second.after = vec![0];
        let first = step(choice.u32(1..6), choice.u64(2_000..8_000));
        sim.submit(submission(&format!("job-{round}"), vec![first, second]));
        sim.run(Duration::from_millis(choice.u64(50..1_200)));
        if choice.bool() {
            let hidden = format!("w{}", choice.usize(0..WORKERS));
            let until = sim.now + Duration::from_millis(choice.u64(500..9_000));
            sim.hidden_from_newest.insert(hidden.as_str().into(), until);
        }
        if round % 3 == 2 {
            let overlap = OVERLAP.mul_f64(choice.f64());
            let ends = if counts_overlap { sim.now + OVERLAP } else { sim.now };
            sim.take_over_with_overlap(overlap, ends);
        }
        sim.run(Duration::from_millis(choice.u64(500..3_000)));
    }
    sim.faults = Faults::default();
    sim.run(Duration::from_secs(40));
    sim
}

#[test]
fn two_owners_at_once_break_no_rule_and_lose_no_job() {
    for seed in 0..60 {
        let sim = play(seed, true);
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        for job in sim.engine.jobs.values() {
            assert_eq!(job.shown, Phase::Done, "seed {seed} job {}", job.submission.job);
        }
    }
}

#[test]
fn the_ledger_notices_a_successor_that_counts_from_its_own_write() {
    let broken = (0..60).filter(|seed| !play(*seed, false).violations.is_empty()).count();
    assert!(broken > 0, "a worker that only the old owner reached had its leases renewed");
}
