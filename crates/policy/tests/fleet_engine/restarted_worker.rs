//! Regression tests for the leases of workers that restart under their id: an order that was computed for the clock of one
//! incarnation extends leases of the next one to another time.

use std::time::Duration;

use crate::simulation::{Faults, Simulation, step, submission};

const SECOND: Duration = Duration::from_secs(1);
/// Time after which the leases on a worker that cannot be reached have expired, whatever orders have arrived there.
const ALL_LEASES_EXPIRED: Duration = Duration::from_secs(30);

/// Creates a fleet of two workers that run two tasks each, all of which outlast every lease.
fn two_workers_with_long_tasks() -> Simulation {
    let mut sim = Simulation::new(2, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.submit(submission("a", vec![step(4, 60_000)]));
    sim.run(SECOND);
    assert_eq!(runs(&sim, "w0"), 2);
    sim
}

/// Returns the number of runs on a worker.
fn runs(sim: &Simulation, id: &str) -> usize {
    sim.workers[id].runs.len()
}

/// Cuts a worker off, and checks that its tasks start on the other one without breaking a rule.
fn tasks_move_once_the_leases_have_expired(sim: &mut Simulation) {
    let starts = sim.starts.len();
    sim.partitioned.insert("w0".into(), sim.now + ALL_LEASES_EXPIRED);
    sim.run(ALL_LEASES_EXPIRED - SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.starts.len(), starts + 2, "the tasks start on the other worker");
}

// A task ran twice at once: a renewal that was computed for the previous incarnation of a worker gave its runs a lease of ten
// seconds, and the owner took them for ended after five.
#[test]
fn renewal_for_a_previous_incarnation_extends_the_leases_of_the_next_one() {
    let mut sim = two_workers_with_long_tasks();
    sim.crash("w0");
    sim.run(SECOND);
    assert_eq!(runs(&sim, "w0"), 2, "the tasks start on the restarted worker");
    tasks_move_once_the_leases_have_expired(&mut sim);
}
