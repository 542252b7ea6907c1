//! Regression tests for workers that got more tasks than they have capacity for, because the owner did not count
//! all that a worker may be running.

use std::time::Duration;

use crate::simulation::{Faults, Simulation, step, submission};

const SECOND: Duration = Duration::from_secs(1);

// A successor started tasks beside runs of a cancelled job that its predecessor could not stop.
#[test]
fn successor_counts_the_runs_of_a_cancelled_job_until_they_have_stopped() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.submit(submission("a", vec![step(4, 60_000)]));
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 4);
    sim.partitioned.insert("w0".into(), sim.now + SECOND / 2);
    assert!(sim.engine.cancel("a", sim.now));
    sim.run(SECOND / 4);
    sim.write_progress();
    sim.submit(submission("b", vec![step(4, 500)]));
    sim.run(SECOND / 4);
    sim.take_over();
    sim.run(3 * SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.starts.len(), 8, "the tasks start once the runs have stopped");
}
