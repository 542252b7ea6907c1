//! Split brain: an unresponsive owner is replaced while it still sends orders, so that two owners act at once.
//!
//! Writes of the old owner fail, and its orders carry the lower fence, but it reaches workers that the new owner
//! cannot reach. The checker of the simulation checks the starts of both.

use std::time::Duration;

use fastrand::Rng;
use wasabiswitch_policy::fleet::lease::{TASK_LEASE, longest_time_of};
use wasabiswitch_policy::fleet::ownership::{
    OWNER_LEASE, OWNER_LEASE_MARGIN, OWNER_UNRESPONSIVE_AFTER,
};
use wasabiswitch_policy::fleet::state::Phase;
use wasabiswitch_standin::fleet_worker::FakeWorker;

use crate::fixtures::PREDECESSOR_EFFECT_MAX;
use crate::simulation::{Faults, Simulation, step, submission, worker_entry};

const SECOND: Duration = Duration::from_secs(1);
/// Maximum time for which the old owner acts after it has been replaced.
const OVERLAP_MAX: Duration =
    OWNER_LEASE.saturating_add(OWNER_LEASE_MARGIN).saturating_sub(OWNER_UNRESPONSIVE_AFTER);
/// Number of workers.
const WORKERS: usize = 5;
/// Cap of the team in thousandths of a core, less than the capacity of the workers so that it takes effect.
const CAP_MILLI: u64 = 14_000;

/// Runs a history in which every owner is replaced while it acts.
///
/// A successor bounds the effects of orders on workers that it cannot reach from the last order that its predecessor can
/// send if `counts_overlap` is set. Otherwise it waits only for leases that were renewed before its own first write.
fn run_history(seed: u64, counts_overlap: bool) -> Simulation {
    let mut choices = Rng::with_seed(seed ^ 0x01d);
    let faults = Faults {
        lost_acks: choices.f64() * 0.1,
        late_orders: 0.0,
        lost_reports: 0.0,
        failed_tasks: 0.0,
        late_answers: 0.0,
        ..Faults::default()
    };
    let mut sim = Simulation::new(WORKERS, CAP_MILLI, faults, seed);
    for round in 0..12 {
        let mut second = step(choices.u32(1..4), choices.u64(50..1_500));
        second.after = vec![0];
        let first = step(choices.u32(1..6), choices.u64(2_000..8_000));
        sim.submit(submission(&format!("job-{round}"), vec![first, second]));
        sim.run(Duration::from_millis(choices.u64(50..1_200)));
        if choices.bool() {
            let worker = format!("w{}", choices.usize(0..WORKERS));
            let until = sim.now + Duration::from_millis(choices.u64(500..9_000));
            sim.unreachable_for_newest.insert(worker.as_str().into(), until);
        }
        if round % 3 == 2 {
            let overlap = OVERLAP_MAX.mul_f64(choices.f64());
            let predecessor_deadline = if counts_overlap {
                sim.now + OVERLAP_MAX
            } else {
                sim.now + longest_time_of(TASK_LEASE) - PREDECESSOR_EFFECT_MAX
            };
            sim.take_over_with_overlap(overlap, predecessor_deadline);
        }
        sim.run(Duration::from_millis(choices.u64(500..3_000)));
    }
    sim.faults = Faults::default();
    sim.run(Duration::from_secs(40));
    sim
}

#[test]
fn overlapping_owners_break_no_rule_and_lose_no_job() {
    for seed in 0..60 {
        let sim = run_history(seed, true);
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        for job in sim.engine.jobs.values() {
            assert_eq!(job.visible_phase, Phase::Done, "seed {seed} job {}", job.submission.job);
        }
    }
}

#[test]
fn checker_detects_a_successor_that_waits_only_for_leases_of_orders_before_its_first_write() {
    let violating = (0..60).filter(|seed| !run_history(*seed, false).violations.is_empty()).count();
    assert!(
        violating > 0,
        "no violation, although the old owner renewed leases on workers that only it reached"
    );
}

// A task ran twice at once: a replaced owner that still acted was the first to reach a worker that had restarted, which
// therefore did not know the fence of the new owner, and started the task there.
#[test]
fn replaced_owner_starts_nothing_on_a_restarted_worker_that_its_successor_has_not_reached() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.submit(submission("full", vec![step(4, 60_000)]));
    sim.run(SECOND);
    sim.submit(submission("a", vec![step(1, 5_000)]));
    sim.take_over_with_overlap(OVERLAP_MAX, sim.now + OVERLAP_MAX);
    sim.unreachable_for_newest.insert("w0".into(), sim.now + 2 * SECOND);
    sim.restart("w0");
    let spare = FakeWorker::new(worker_entry("w9", "p"), sim.now, 1.0);
    sim.engine.upsert_worker(spare.entry.clone(), sim.now);
    sim.workers.insert("w9".into(), spare);
    sim.run(SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.starts.len(), 5, "the new owner starts the task");
    sim.run(10 * SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
}

// Guards against an owner whose writes fail, and which may have been replaced, that uses workers which have restarted since.
#[test]
fn owner_without_confirmed_writes_starts_nothing_on_a_restarted_worker_until_a_write_is_confirmed()
{
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.run_without_writes(OWNER_UNRESPONSIVE_AFTER);
    sim.restart("w0");
    sim.run_without_writes(SECOND);
    sim.submit(submission("a", vec![step(1, 60_000)]));
    sim.run_without_writes(SECOND);
    assert_eq!(sim.starts.len(), 0, "a successor may not have reached the worker");
    sim.run(SECOND / 10);
    assert_eq!(sim.starts.len(), 1, "the worker stays unused after the write");
}
