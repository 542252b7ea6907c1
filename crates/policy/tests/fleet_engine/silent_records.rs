//! Records of unresponsive workers: which tasks wait for such a worker after a takeover, and when the worker is used again.

use std::time::Duration;

use wasabiswitch_policy::fleet::silent_records::{SilentWorkerRow, StoredSilentWorker};
use wasabiswitch_policy::fleet::spec::Step;

use crate::fixtures::PREDECESSOR_EFFECT_MAX;
use crate::simulation::{Faults, Simulation, instance, step, submission};

const SECOND: Duration = Duration::from_secs(1);
/// Time after which an unresponsive worker is on record, its last report included.
const RECORDED: Duration = Duration::from_secs(3);
/// Time for which partitions outlast a test.
const FOREVER: Duration = Duration::from_secs(120);

/// Creates a fleet of `workers` workers of four cores, all of whose cores run long tasks, while as many tasks wait.
fn full_fleet_with_backlog(workers: usize) -> Simulation {
    let mut sim = Simulation::new(workers, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.submit(submission("running", vec![step(4 * workers as u32, 20_000)]));
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 4 * workers);
    sim.submit(submission("waiting", vec![step(8, 500)]));
    sim
}

/// Returns the number of starts of a job's tasks.
fn starts_of(sim: &Simulation, job: &str) -> usize {
    sim.starts.iter().filter(|(_, _, task, _)| *task.job == *job).count()
}

// Guards against a backlog that waits for 23 s after a takeover, because one worker of its pool had become unresponsive before.
#[test]
fn backlog_does_not_wait_for_a_worker_that_the_predecessor_recorded() {
    let mut sim = full_fleet_with_backlog(4);
    sim.partitioned.insert("w0".into(), sim.now + FOREVER);
    sim.run(RECORDED);
    sim.take_over();
    sim.submit(submission("new", vec![step(4, 500)]));
    // The tasks of the other three workers end 20 s after their start.
    sim.run(18 * SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(starts_of(&sim, "waiting"), 8, "tasks that never ran wait for the worker");
    assert_eq!(starts_of(&sim, "new"), 4);
    assert_eq!(starts_of(&sim, "running"), 16, "a task starts that may be running on the worker");
    sim.run(PREDECESSOR_EFFECT_MAX);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(starts_of(&sim, "running"), 20, "the tasks of the worker do not start again");
}

// Guards against a second run of a task that began on a worker just before the worker became unresponsive together with the owner:
// without a record all tasks of the pool have to wait.
#[test]
fn all_tasks_wait_for_a_worker_without_a_record() {
    let mut sim = full_fleet_with_backlog(4);
    sim.partitioned.insert("w0".into(), sim.now + FOREVER);
    sim.run(SECOND);
    sim.take_over();
    sim.run(18 * SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(starts_of(&sim, "waiting"), 0);
    sim.run(PREDECESSOR_EFFECT_MAX);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(starts_of(&sim, "waiting"), 8);
}

// Guards against a second successor that knows less than the first: the first has never reached the worker, so that only jobs
// that were accepted before its record may run there.
#[test]
fn second_successor_starts_jobs_that_were_accepted_after_the_first_takeover() {
    let mut sim = full_fleet_with_backlog(4);
    sim.partitioned.insert("w0".into(), sim.now + FOREVER);
    sim.run(SECOND);
    sim.take_over();
    sim.run(SECOND);
    sim.submit(submission("new", vec![step(4, 500)]));
    sim.run(SECOND);
    sim.take_over();
    sim.run(18 * SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!((starts_of(&sim, "new"), starts_of(&sim, "waiting")), (4, 0));
}

// Guards against a start on a worker whose record is still in the store: a successor would take the task for one that cannot run
// there.
#[test]
fn worker_gets_no_start_before_the_removal_of_its_record_is_confirmed() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.partitioned.insert("w0".into(), sim.now + RECORDED);
    sim.run(RECORDED);
    sim.submit(submission("a", vec![step(1, 500)]));
    sim.run_without_writes(SECOND);
    assert_eq!(sim.starts.len(), 0, "the worker is used although its record is stored");
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 1);
}

// Guards against a long-running task that waits for 23 s although its instance runs another worker.
#[test]
fn another_worker_on_the_instance_ends_the_wait() {
    let mut sim = Simulation::new(2, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.submit(submission("a", vec![Step { long_running: true, ..step(2, 500) }]));
    sim.run(SECOND);
    let lost = sim.starts[0].1.clone();
    sim.partitioned.insert(lost.clone(), sim.now + FOREVER);
    sim.take_over();
    let own_instance = |id: &str| (id.into(), instance(id, "p"));
    let instances = ["w0", "w1"].into_iter().map(own_instance).collect();
    sim.engine.locate_silent_workers(&instances, sim.now);
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 2);
    let mut later = instances;
    later.get_mut(&lost).expect("the instance is listed").worker = Some("w9".into());
    sim.engine.apply_instance_list(later, sim.now, sim.now, &mut Vec::new());
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 3, "the task waits for a worker that has ended");
}

// Guards against a list that lacks a worker while the worker restarts under its id: an order of the predecessor may still reach it.
#[test]
fn list_without_the_worker_and_without_another_one_does_not_end_the_wait() {
    let mut sim = Simulation::new(2, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.submit(submission("a", vec![Step { long_running: true, ..step(2, 500) }]));
    sim.run(SECOND);
    let lost = sim.starts[0].1.clone();
    sim.partitioned.insert(lost.clone(), sim.now + FOREVER);
    sim.take_over();
    let own_instance = |id: &str| (id.into(), instance(id, "p"));
    let mut instances: std::collections::BTreeMap<_, _> =
        ["w0", "w1"].into_iter().map(own_instance).collect();
    sim.engine.locate_silent_workers(&instances, sim.now);
    instances.get_mut(&lost).expect("the instance is listed").worker = None;
    sim.engine.apply_instance_list(instances, sim.now, sim.now, &mut Vec::new());
    sim.run(2 * SECOND);
    assert_eq!(sim.starts.len(), 2);
}

// Guards against a record that names a task of a job which has been removed since.
#[test]
fn record_of_an_unknown_task_is_accepted() {
    let mut sim = full_fleet_with_backlog(1);
    let name = wasabiswitch_policy::fleet::state::TaskName {
        job: "gone".into(),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let row = Some(SilentWorkerRow { tasks: Some(vec![name]) });
    let record = StoredSilentWorker { worker: "w0".into(), version: 1, row };
    sim.engine.restore_silent_records(vec![record]);
    sim.run(SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
}

// Guards against a record that a successor removes because it has neither a list of instances nor an entry of the worker: the worker
// may run on, and the next successor would hold back all tasks of the pool.
#[test]
fn record_of_an_unlisted_worker_outlives_a_takeover_without_a_list_of_instances() {
    let mut sim = full_fleet_with_backlog(4);
    sim.partitioned.insert("w0".into(), sim.now + FOREVER);
    sim.run(RECORDED);
    sim.unlisted.insert("w0".into());
    sim.take_over_with(None);
    sim.run(SECOND);
    let own_instance = |id: &str| (id.into(), instance(id, "p"));
    let instances = ["w0", "w1", "w2", "w3"].into_iter().map(own_instance).collect();
    sim.take_over_with(Some(&instances));
    sim.run(18 * SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(starts_of(&sim, "waiting"), 8, "tasks that never ran wait for the worker");
}
