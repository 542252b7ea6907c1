//! Tests of what an order, an answer, an entry or a list holds of a former incarnation of a worker, besides leases.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabiswitch_policy::fleet::lease_bounds::OrderOutcome;
use wasabiswitch_policy::fleet::maintenance::{Instance, InstanceState};
use wasabiswitch_policy::fleet::outcomes::StartOutcome;
use wasabiswitch_policy::fleet::plan::Order;
use wasabiswitch_policy::fleet::reports::RunEnd;
use wasabiswitch_policy::fleet::spec::ResourceVector;
use wasabiswitch_policy::fleet::state::{TaskName, TaskRef, WorkerKey};
use wasabiswitch_policy::ids::InstanceId;
use wasabiswitch_standin::fleet_worker::FakeStart;

use crate::simulation::{Faults, Simulation, instance, step, submission};

const SECOND: Duration = Duration::from_secs(1);
/// Time after which the leases on a worker that cannot be reached have expired, whatever orders have arrived there.
const ALL_LEASES_EXPIRED: Duration = Duration::from_secs(30);
/// Time for which a predecessor may act after its successor has begun to read the fleet.
const OVERLAP: Duration = Duration::from_millis(1_100);

/// Returns the key of the worker `w0`.
fn key(sim: &Simulation) -> WorkerKey {
    sim.engine.worker_key("w0").expect("the engine knows the worker")
}

/// Returns the only task of a job.
fn only_task(sim: &Simulation, job: &str) -> TaskRef {
    let job = sim.engine.job_key(job).expect("the job was accepted");
    TaskRef { job, occurrence: 0, step: 0, index: 0 }
}

/// Returns the list of the instances of all workers but `w0`, which is down.
fn instances_without_w0(sim: &Simulation) -> BTreeMap<InstanceId, Instance> {
    let others = sim.workers.keys().filter(|id| &***id != "w0");
    others.map(|id| (id.clone(), instance(id, "p"))).collect()
}

// The end of a task was lost, and the task ran again: a request between two reports acknowledged the ends of the incarnation
// before to a restarted worker, whose ends have the same numbers.
#[test]
fn cursor_of_a_former_incarnation_acknowledges_no_ends_of_the_next_one() {
    for seed in 1..=20 {
        let mut sim = Simulation::new(1, 0, Faults::default(), seed);
        sim.submit(submission("a", vec![step(4, 50)]));
        sim.run(2 * SECOND);
        assert_eq!(sim.starts.len(), 4);
        // No request fails, since the worker is back before the next one.
        sim.workers.get_mut("w0").expect("the worker exists").crash(sim.now);
        sim.submit(submission("b", vec![step(1, 20)]));
        sim.run(3 * SECOND);
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(sim.starts.len(), 5, "seed {seed}");
    }
}

// As above, with a request that was delivered late and acknowledged only what the former incarnation had already forgotten.
#[test]
fn late_request_that_acknowledges_nothing_new_acknowledges_no_ends_of_the_next_incarnation() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.submit(submission("a", vec![step(4, 50)]));
    sim.run(2 * SECOND);
    let cursor_in_flight = sim.engine.workers[key(&sim)].ack_cursor();
    sim.crash("w0");
    sim.run(2 * SECOND);
    let (now, fence) = (sim.now, sim.order_fence("w0"));
    let worker = sim.workers.get_mut("w0").expect("the worker exists");
    let start = FakeStart {
        task: TaskName { job: "b".into(), occurrence: 0, step: 0, index: 0 },
        attempt: 1,
        fence,
        until_ms: worker.clock_ms(now) + 2_500,
        run_time: Some(SECOND / 100),
        run_end: RunEnd::Done,
    };
    worker.start(&start, now);
    let ended = now + SECOND / 10;
    worker.hold(fence, cursor_in_flight, None, ended).expect("the fence is the newest");
    let report = worker.hold(fence, 0, None, ended).expect("the fence is the newest");
    assert_eq!(report.ended.len(), 1, "the end has not been read");
}

// A restarted worker got tasks by the capacity of the incarnation before, until the directory had its new entry.
#[test]
fn restarted_worker_gets_tasks_by_the_capacity_in_its_own_entry() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.run(SECOND);
    let smaller = ResourceVector { cpu_milli: 1_000, memory_mib: 10_000, accelerators: 0 };
    sim.workers.get_mut("w0").expect("the worker exists").entry.capacity = smaller;
    sim.crash("w0");
    // The new incarnation reports, and cannot reach the store yet.
    sim.run(SECOND);
    sim.submit(submission("a", vec![step(4, 200)]));
    sim.run(SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    sim.engine.upsert_worker(sim.workers["w0"].entry.clone(), sim.now);
    sim.run(5 * SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.starts.len(), 4);
}

// A restarted worker of another kind got tasks that require the kind of the incarnation before.
#[test]
fn restarted_worker_gets_tasks_by_the_labels_in_its_own_entry() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.workers.get_mut("w0").expect("the worker exists").entry.labels[0] = "b".to_owned();
    sim.crash("w0");
    sim.run(SECOND);
    let mut of_kind_a = step(1, 200);
    of_kind_a.required_label = "a".to_owned();
    sim.submit(submission("a", vec![of_kind_a]));
    sim.run(SECOND);
    sim.engine.upsert_worker(sim.workers["w0"].entry.clone(), sim.now);
    sim.run(SECOND);
    assert_eq!(sim.starts, Vec::new(), "the worker is of the kind b");
}

// As above, for an owner that took the fleet over while the directory still had the entry of the incarnation before.
#[test]
fn successor_gives_a_restarted_worker_no_tasks_by_the_entry_of_its_former_incarnation() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.run(SECOND);
    let former = sim.workers["w0"].entry.clone();
    sim.workers.get_mut("w0").expect("the worker exists").entry.labels[0] = "b".to_owned();
    sim.crash("w0");
    sim.take_over();
    sim.engine.upsert_worker(former, sim.now);
    let mut of_kind_a = step(1, 200);
    of_kind_a.required_label = "a".to_owned();
    sim.submit(submission("a", vec![of_kind_a]));
    sim.run(SECOND);
    assert_eq!(sim.starts, Vec::new(), "the worker is of the kind b");
}

// A task ran twice at once: a request for a report went to the address that a restarted worker had had, another worker answered
// there, and the owner dropped a run that the new incarnation had begun meanwhile.
#[test]
fn other_worker_at_a_former_address_ends_no_runs_of_the_next_incarnation() {
    let mut sim = Simulation::new(2, 0, Faults::default(), 1);
    sim.run(SECOND);
    // The request is under way to the former address.
    let requested = sim.now;
    sim.workers.get_mut("w0").expect("the worker exists").crash(sim.now);
    let entry = &mut sim.workers.get_mut("w0").expect("the worker exists").entry;
    entry.address = "127.0.0.1:2".to_owned();
    sim.engine.upsert_worker(entry.clone(), sim.now);
    // The other worker is full until the task has started on the restarted one.
    sim.submit(submission("full", vec![step(4, 60_000)]));
    sim.run(SECOND);
    sim.submit(submission("a", vec![step(1, 60_000)]));
    sim.run(SECOND);
    assert_eq!(sim.workers["w0"].runs.len(), 1, "the task starts on the restarted worker");
    assert!(sim.engine.cancel("full", sim.now));
    sim.run(SECOND);
    // What the owner does with the answer 421 to that request.
    let key = key(&sim);
    sim.engine.drop_runs_started_before(key, requested, "another one answered", &mut Vec::new());
    sim.engine.record_missed_report(key, sim.now);
    sim.run(SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.engine.workers[key].runs.len(), 1);
}

// A task ran twice at once: the list of instances was read while a worker restarted under its id, so that the successor took it
// for replaced, and its predecessor, which still acted, started a task there.
#[test]
#[ignore = "known to fail, see KNOWN-RED.txt"]
fn worker_that_restarts_during_a_takeover_is_not_taken_for_replaced() {
    let mut sim = Simulation::new(2, 0, Faults::default(), 1);
    sim.run(SECOND);
    let list = instances_without_w0(&sim);
    sim.crash("w0");
    sim.submit(submission("a", vec![step(8, 60_000)]));
    // The successor's holds find the worker down.
    sim.unreachable_for_newest.insert("w0".into(), sim.now + 2 * SECOND);
    sim.take_over_with_overlap_and_list(OVERLAP, sim.now + OVERLAP, &list);
    sim.run(2 * SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
}

// A task ran twice at once: a worker that was not listed on any instance was removed with a renewal that could still be
// delivered, and its next incarnation under the same id held a lease that the owner did not know.
#[test]
fn renewal_in_doubt_outlives_a_worker_that_is_on_no_instance() {
    let mut sim = Simulation::new(2, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.submit(submission("a", vec![step(4, 60_000)]));
    sim.run(SECOND);
    let unanswered = sim.engine.begin_renewal(key(&sim), sim.now).expect("the worker has runs");
    sim.engine.end_renewal(key(&sim), OrderOutcome::Unknown, sim.now);
    sim.engine.record_missed_report(key(&sim), sim.now);
    sim.workers.get_mut("w0").expect("the worker exists").crash(sim.now);
    sim.partitioned.insert("w0".into(), sim.now + 3 * SECOND);
    sim.run(2 * SECOND);
    let (now, list) = (sim.now, instances_without_w0(&sim));
    sim.engine.apply_instance_list(list, now, now, &mut Vec::new());
    sim.run(2 * SECOND);
    sim.engine.upsert_worker(sim.workers["w0"].entry.clone(), sim.now);
    sim.run(SECOND);
    sim.submit(submission("b", vec![step(2, 60_000)]));
    sim.run(SECOND);
    assert_eq!(sim.workers["w0"].runs.len(), 2, "the tasks start on the restarted worker");
    assert!(sim.engine.cancel("a", sim.now));
    sim.run(SECOND);
    let (now, fence) = (sim.now, sim.order_fence("w0"));
    let worker = sim.workers.get_mut("w0").expect("the worker exists");
    worker.hold(fence, 0, Some(unanswered), now).expect("the fence is the newest");
    sim.partitioned.insert("w0".into(), sim.now + ALL_LEASES_EXPIRED);
    sim.run(ALL_LEASES_EXPIRED - SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
}

// A task ran twice at once: its start was in doubt at a worker that was not listed on any instance, and the task started
// elsewhere at once, although the start could still begin on the worker's next incarnation.
#[test]
fn start_in_doubt_outlives_a_worker_that_is_on_no_instance() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.submit(submission("a", vec![step(1, 60_000)]));
    sim.partitioned.insert("w0".into(), sim.now + ALL_LEASES_EXPIRED);
    sim.plan();
    let (key, task) = (key(&sim), only_task(&sim, "a"));
    let unknown = StartOutcome::Unknown.into();
    sim.engine.apply_start_outcome(key, task, 1, unknown, sim.now, &mut Vec::new());
    sim.run(5 * SECOND / 2);
    let now = sim.now;
    let list = BTreeMap::from([("w9".into(), instance("w9", "p"))]);
    sim.engine.apply_instance_list(list, now, now, &mut Vec::new());
    let entry = sim.engine.jobs[task.job].task(&task).expect("the task is open");
    assert!(
        !entry.runs.is_empty() || entry.barred_until.is_some_and(|until| until > now),
        "the start may still begin on the next incarnation"
    );
}

// As above, for a worker whose instance the lists show: a task with a start in doubt waits while the instance is down, and starts
// elsewhere once the instance runs another worker.
#[test]
fn start_in_doubt_waits_while_the_instance_of_its_worker_is_down() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.run(SECOND);
    let mut list =
        BTreeMap::from([("m0".into(), instance("w0", "p")), ("m9".into(), instance("w9", "p"))]);
    let (listed, now) = (list.clone(), sim.now);
    sim.engine.apply_instance_list(listed, now, now, &mut Vec::new());
    sim.submit(submission("a", vec![step(1, 60_000)]));
    sim.partitioned.insert("w0".into(), sim.now + ALL_LEASES_EXPIRED);
    sim.plan();
    let (key, task) = (key(&sim), only_task(&sim, "a"));
    let unknown = StartOutcome::Unknown.into();
    sim.engine.apply_start_outcome(key, task, 1, unknown, sim.now, &mut Vec::new());
    sim.run(5 * SECOND / 2);
    let host: &mut Instance = list.get_mut("m0").expect("the instance is listed");
    (host.worker, host.state) = (None, InstanceState::Down);
    let (listed, now) = (list.clone(), sim.now);
    sim.engine.apply_instance_list(listed, now, now, &mut Vec::new());
    let runs = |sim: &Simulation| sim.engine.jobs[task.job].task(&task).map(|t| t.runs.len());
    assert_eq!(runs(&sim), Some(1), "the start may still begin on the next incarnation");
    let host = list.get_mut("m0").expect("the instance is listed");
    (host.worker, host.state) = (Some("w8".into()), InstanceState::Up);
    sim.engine.apply_instance_list(list, now, now, &mut Vec::new());
    assert_eq!(runs(&sim), Some(0), "the worker does not come back");
}

// A filler stayed paused after a takeover: the successor took it for one at full speed, whatever its predecessor had ordered.
#[test]
fn successor_orders_the_pace_of_a_filler_that_it_adopts() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.run(SECOND);
    let mut filler = step(1, 60_000);
    (filler.fills, filler.long_running) = (true, true);
    sim.submit(submission("a", vec![filler]));
    sim.run(SECOND);
    assert_eq!(sim.workers["w0"].runs.len(), 1);
    // The predecessor has paused it; the successor sees no task with a target beside it.
    sim.take_over();
    let orders = sim.engine.plan(sim.now, &mut Vec::new());
    let is_full_pace = |order: &Order| matches!(order, Order::Pace { percent: 100, .. });
    assert!(orders.iter().any(is_full_pace), "{orders:?}");
}

// An end was acknowledged that nobody had read: the report that is requested as soon as the directory lists the next incarnation
// of a worker acknowledged the ends of the one before.
#[test]
fn no_ends_are_acknowledged_once_the_entry_is_that_of_another_incarnation() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.submit(submission("a", vec![step(4, 50)]));
    sim.run_without_writes(2 * SECOND);
    sim.write_progress();
    assert_eq!(sim.engine.workers[key(&sim)].ack_cursor(), 4);
    sim.workers.get_mut("w0").expect("the worker exists").crash(sim.now);
    sim.engine.upsert_worker(sim.workers["w0"].entry.clone(), sim.now);
    assert_eq!(sim.engine.workers[key(&sim)].ack_cursor(), 0);
}

// A task ran again after its end was acknowledged: a request that acknowledged the ends of one incarnation was delivered late, when
// the next one had ends of its own, and nobody had read these.
#[test]
fn late_acknowledgement_for_a_former_incarnation_reaches_no_ends_of_the_next_one() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.submit(submission("a", vec![step(4, 50)]));
    sim.run_without_writes(2 * SECOND);
    sim.write_progress();
    // The request is under way when the worker restarts.
    let (fence, cursor) = (sim.order_fence("w0"), sim.engine.workers[key(&sim)].ack_cursor());
    assert_eq!(cursor, 4);
    sim.restart("w0");
    sim.run(SECOND);
    sim.submit(submission("b", vec![step(1, 1_000)]));
    sim.run(SECOND / 2);
    assert_eq!(sim.workers["w0"].runs.len(), 1, "the task runs on the restarted worker");
    let ended = sim.now + SECOND;
    let worker = sim.workers.get_mut("w0").expect("the worker exists");
    worker.hold(fence, cursor, None, ended);
    assert_eq!(worker.ends.len(), 1, "the end has not been read");
    sim.now = ended;
    sim.run(SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.starts.len(), 5);
}
