//! Workers that leave around a takeover: what ends the wait of their pool's tasks, and what does not.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabiswitch_policy::fleet::maintenance::{Instance, InstanceState};
use wasabiswitch_policy::fleet::outcomes::DELIVERY_DELAY_MAX;
use wasabiswitch_policy::fleet::spec::Step;
use wasabiswitch_policy::ids::InstanceId;

use crate::simulation::{Faults, Simulation, instance, step, submission};

const SECOND: Duration = Duration::from_secs(1);
const FOREVER: Duration = Duration::from_secs(300);
/// Time within which a task starts whose worker has left.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// Change of the instance of the worker `w0` in a list.
type Change = fn(&mut Instance);

/// Instances of the workers `w0` and `w1` of the pool `p`, by ids of their own.
fn instances() -> BTreeMap<InstanceId, Instance> {
    let hosts = [("m0", "w0"), ("m1", "w1")];
    hosts.into_iter().map(|(id, worker)| (id.into(), instance(worker, "p"))).collect()
}

/// Returns a list of instances after a change of the one of `w0`.
fn list_after(change: Change) -> BTreeMap<InstanceId, Instance> {
    let mut list = instances();
    change(list.get_mut("m0").expect("the instance is listed"));
    list
}

/// Starts long-running tasks on two workers, and a new term whose holds do not reach `w0`, which the successor's first list of
/// instances still shows.
///
/// The runs on `w0` have ended with it, and `w1` has capacity for them.
fn take_over_while_a_worker_leaves() -> Simulation {
    let mut sim = Simulation::new(2, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.submit(submission("a", vec![Step { long_running: true, ..step(2, 500) }]));
    sim.run(SECOND);
    let runs = &mut sim.workers.get_mut("w0").expect("the worker exists").runs;
    assert_eq!(runs.len(), 1, "one task runs on each worker");
    runs.clear();
    sim.partitioned.insert("w0".into(), sim.now + FOREVER);
    let list = instances();
    sim.take_over_with(Some(&list));
    sim.engine.locate_silent_workers(&list, sim.now);
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 2, "the task waits for the silent worker");
    sim
}

/// Returns the number of tasks that started within [`RESTART_TIME`] after a list of instances.
fn starts_after(sim: &mut Simulation, list: &BTreeMap<InstanceId, Instance>) -> usize {
    let before = sim.starts.len();
    sim.engine.apply_instance_list(list.clone(), sim.now, sim.now, &mut Vec::new());
    sim.run(RESTART_TIME);
    sim.starts.len() - before
}

// Guards against accepted tasks that wait 23 s after a takeover for a worker that has left for good between the successor's list of
// instances and its holds, with free capacity all the while.
#[test]
fn tasks_start_once_a_list_shows_that_a_silent_worker_has_left_for_good() {
    let ways: [(&str, Change); 4] = [
        ("its instance is off, in the standby pool", |instance| {
            (instance.worker, instance.pool) = (None, "spare".into());
        }),
        ("its instance moves to another pool", |instance| {
            (instance.worker, instance.state) = (None, InstanceState::Moving);
        }),
        ("its instance is down for maintenance", |instance| {
            (instance.worker, instance.state) = (None, InstanceState::Maintenance);
        }),
        ("its instance runs another worker", |instance| instance.worker = Some("w9".into())),
    ];
    for (way, change) in ways {
        let mut sim = take_over_while_a_worker_leaves();
        assert_eq!(starts_after(&mut sim, &list_after(change)), 1, "{way}");
        assert_eq!(sim.violations, Vec::<String>::new(), "{way}");
    }
    let mut sim = take_over_while_a_worker_leaves();
    let mut list = instances();
    list.remove("m0");
    assert_eq!(starts_after(&mut sim, &list), 1, "its instance is gone");
    assert_eq!(sim.violations, Vec::<String>::new());
}

// Guards against a wait that ends while the worker may still be restarting under its id, so that an order of the predecessor that is
// delivered late starts a task a second time.
#[test]
fn tasks_wait_for_a_worker_whose_instance_is_down_until_no_order_can_arrive_there() {
    let mut sim = take_over_while_a_worker_leaves();
    let down =
        list_after(|instance| (instance.worker, instance.state) = (None, InstanceState::Down));
    assert_eq!(starts_after(&mut sim, &down), 0, "the worker may restart");
    sim.run(DELIVERY_DELAY_MAX - RESTART_TIME);
    // The worker has not restarted, so that no late order has started anything.
    assert_eq!(starts_after(&mut sim, &down), 1, "no order can arrive any more");
    assert_eq!(sim.violations, Vec::<String>::new());
}

// Guards against a wait that ends because the entry of the worker's instance could not be read.
#[test]
fn unreadable_entry_of_the_instance_does_not_end_the_wait() {
    let mut sim = take_over_while_a_worker_leaves();
    let unreadable = |i: &mut Instance| {
        (i.worker, i.state, i.pool) = (None, InstanceState::Unreadable, "".into());
    };
    assert_eq!(starts_after(&mut sim, &list_after(unreadable)), 0);
    sim.run(DELIVERY_DELAY_MAX);
    assert_eq!(starts_after(&mut sim, &list_after(unreadable)), 0);
    assert_eq!(sim.violations, Vec::<String>::new());
}

// Guards against a wait that ends because a list without any worker was read, which the instance service may answer in an outage.
#[test]
fn list_without_any_worker_does_not_end_the_wait() {
    let mut sim = take_over_while_a_worker_leaves();
    assert_eq!(starts_after(&mut sim, &BTreeMap::new()), 0);
    assert_eq!(sim.violations, Vec::<String>::new());
}
