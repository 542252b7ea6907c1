//! Ends of runs across takeovers: nothing that holds the only record of an end may be given up before the end is
//! persisted.
//!
//! The naive version, which these tests failed on, takes an instance whose last run has ended for empty at once.

use std::time::Duration;

use wasabiswitch_policy::fleet::maintenance::{MaintenanceStage, Wave};
use wasabiswitch_policy::fleet::state::Phase;

use crate::simulation::{Simulation, submission};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a fleet of one pool whose workers have just run a job of sixteen tasks, of which nothing is persisted.
fn fleet_with_ends_that_are_not_persisted() -> Simulation {
    let mut sim = Simulation::with_instances(1, 8, 1);
    let mut work = crate::simulation::step(16, 400);
    work.resources.cpu_milli = 12_000;
    let mut job = submission("a", vec![work, crate::simulation::step(1, 60_000)]);
    job.steps[1].after = vec![0];
    job.queue = "q0".into();
    sim.submit(job);
    sim.run_without_writes(SECOND);
    assert_eq!(sim.starts.len(), 17, "all tasks of the first step have ended, the second runs");
    sim
}

// An instance was moved once its last run had ended; its worker was the only durable record of that end, and a
// successor started the task again.
#[test]
fn instance_keeps_its_worker_until_the_ends_of_its_runs_are_persisted() {
    let mut sim = fleet_with_ends_that_are_not_persisted();
    let moves = sim.instance_service.moves;
    sim.run_without_writes(4 * SECOND);
    assert_eq!(sim.instance_service.moves, moves, "the ends are not persisted");
    let instances = sim.instance_service.instances().clone();
    sim.take_over_with(Some(&instances));
    sim.run(4 * SECOND);
    assert_eq!(sim.starts.len(), 17, "a task was started again although its run had ended");
    assert!(
        sim.instance_service.moves > moves,
        "surplus instances move once the ends are persisted"
    );
}

// The same by a maintenance wave.
#[test]
fn maintenance_waits_until_the_ends_of_an_instance_are_persisted() {
    let mut sim = fleet_with_ends_that_are_not_persisted();
    let ids: Vec<_> = sim.instance_service.instances().keys().cloned().collect();
    let deadline = sim.now + 60 * SECOND;
    sim.engine.waves.insert(1, Wave::new(ids.clone(), ids.len(), deadline));
    let called = |sim: &Simulation| {
        let stages = sim.engine.waves[&1].stages.iter();
        let called = stages.filter(|(_, stage)| matches!(stage, MaintenanceStage::Called(_)));
        called.map(|(id, _)| sim.instance_service.instances()[id].clone()).collect::<Vec<_>>()
    };
    sim.engine.plan_waves(sim.now);
    assert!(
        called(&sim).iter().all(|instance| instance.worker.is_none()),
        "only instances in standby"
    );
    sim.write_progress();
    sim.engine.plan_waves(sim.now);
    assert!(called(&sim).iter().any(|instance| instance.worker.is_some()));
    let job = sim.engine.job_key("a").expect("the job was accepted");
    assert_eq!(sim.engine.jobs[job].visible_phase, Phase::Running);
}
