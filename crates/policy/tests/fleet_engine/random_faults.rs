//! Random histories: orders lost and late, silent and crashing workers, owners that change.
//!
//! The ledger of the world judges every start; at the end, calm again, every job must be done.

use std::time::Duration;

use fastrand::Rng;
use wasabiswitch_policy::fleet::state::Phase;

use crate::simulation::{Faults, Simulation, step, submission};

/// Seeds that failed once: an end acknowledged to a life that nobody had asked yet (1), a start that
/// was carried out late in a new life (471), and again after that life had ended too (680).
const FAILED_SEEDS: [u64; 3] = [1, 471, 680];
/// The further histories of one run.
const SEEDS: std::ops::Range<u64> = 1_000..1_040;
/// The workers of a history.
const WORKERS: usize = 5;
/// What the team may run, in thousandths of a core; less than the workers have.
const CAP_MILLI: u64 = 14_000;

fn play(seed: u64) -> Simulation {
    let mut choice = Rng::with_seed(seed ^ 0x5eed);
    let faults = Faults {
        lost_acks: choice.f64() * 0.1,
        late_orders: choice.f64() * 0.1,
        lost_reports: choice.f64() * 0.2,
        failed_tasks: 0.0,
    };
    let mut sim = Simulation::new(WORKERS, CAP_MILLI, faults, seed);
    for round in 0..24 {
        let mut second = step(choice.u32(1..4), choice.u64(50..1_500));
        second.after = vec![0];
        let first = step(choice.u32(1..6), choice.u64(50..1_500));
        sim.submit(submission(&format!("job-{round}"), vec![first, second]));
        let worker = format!("w{}", choice.usize(0..WORKERS));
        match choice.u8(0..8) {
            0 => sim.take_over(),
            1 => {
                let until = sim.now + Duration::from_millis(choice.u64(100..9_000));
                sim.partitioned.insert(worker.as_str().into(), until);
            }
            2 => sim.crash(&worker),
            _ => {}
        }
        sim.run(Duration::from_millis(choice.u64(50..1_200)));
    }
    sim.faults = Faults::default();
    sim.run(Duration::from_secs(30));
    sim
}

#[test]
fn no_history_breaks_a_rule_or_loses_a_job() {
    for seed in FAILED_SEEDS.into_iter().chain(SEEDS) {
        let sim = play(seed);
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        for job in sim.engine.jobs.values() {
            assert_eq!(job.shown, Phase::Done, "seed {seed} job {}", job.submission.job);
        }
    }
}

#[test]
fn the_ledger_notices_a_new_owner_that_starts_at_once() {
    let mut sim = Simulation::new(2, 0, Faults::default(), 7);
    sim.submit(submission("a", vec![step(4, 3_000)]));
    sim.run(Duration::from_millis(500));
    sim.take_over();
    let keys: Vec<_> = sim.engine.workers.keys().collect();
    for key in keys {
        // The naive owner takes nothing for running that it has not started itself.
        sim.engine.lose_runs(key, "not its own", &mut Vec::new());
    }
    sim.plan();
    sim.run(Duration::from_secs(1));
    assert_ne!(sim.violations, Vec::<String>::new());
}
