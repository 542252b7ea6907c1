//! Regression tests for the leases of workers that restart under their id: an order that was computed for the clock of one
//! incarnation extends leases of the next one to another time.

use std::time::Duration;

use wasabiswitch_policy::fleet::outcomes::StartOutcome;
use wasabiswitch_policy::fleet::state::TaskRef;

use crate::simulation::{Faults, Simulation, instance, step, submission};

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

// A task ran twice at once: as above, but the answers to the renewals were lost, and the first report came without one.
#[test]
fn unanswered_renewal_for_a_previous_incarnation_is_covered() {
    let mut sim = two_workers_with_long_tasks();
    sim.workers.get_mut("w0").expect("the worker exists").crash(sim.now);
    sim.faults.lost_reports = 1.0;
    sim.run(5 * SECOND / 2);
    sim.faults.lost_reports = 0.0;
    sim.run(SECOND);
    assert_eq!(runs(&sim, "w0"), 2, "the tasks start on the restarted worker");
    tasks_move_once_the_leases_have_expired(&mut sim);
}

// A task ran twice at once: a successor did not know that an order of its predecessor, for an earlier incarnation, had given a
// worker that it could not reach a lease of ten seconds.
#[test]
fn successor_waits_for_the_longest_lease_on_a_worker_that_does_not_answer() {
    let mut sim = two_workers_with_long_tasks();
    sim.crash("w0");
    sim.run(SECOND);
    assert_eq!(runs(&sim, "w0"), 2, "the tasks start on the restarted worker");
    sim.partitioned.insert("w0".into(), sim.now + ALL_LEASES_EXPIRED);
    sim.take_over();
    tasks_move_once_the_leases_have_expired(&mut sim);
}

// A task ran twice at once: as above, on a worker that answered the successor once and was cut off then.
#[test]
fn successor_waits_for_the_longest_lease_on_a_worker_that_is_cut_off_after_the_takeover() {
    let mut sim = two_workers_with_long_tasks();
    sim.crash("w0");
    sim.run(SECOND);
    assert_eq!(runs(&sim, "w0"), 2, "the tasks start on the restarted worker");
    sim.take_over();
    tasks_move_once_the_leases_have_expired(&mut sim);
}

// A task ran twice at once: as above, on a worker that the directory did not list.
#[test]
fn successor_waits_for_the_longest_lease_on_a_worker_that_is_not_listed() {
    for is_instance_list_known in [false, true] {
        let mut sim = two_workers_with_long_tasks();
        sim.crash("w0");
        sim.run(SECOND);
        assert_eq!(runs(&sim, "w0"), 2, "the tasks start on the restarted worker");
        let instances = sim.workers.keys().map(|id| (id.clone(), instance(id, "p"))).collect();
        sim.unlisted.insert("w0".into());
        sim.take_over_with(is_instance_list_known.then_some(&instances));
        tasks_move_once_the_leases_have_expired(&mut sim);
    }
}

// A task ran twice at once: a worker restarted after a takeover, and a late renewal of the predecessor reached it before the
// successor did.
#[test]
fn successor_covers_a_late_renewal_of_its_predecessor() {
    let mut sim = two_workers_with_long_tasks();
    let predecessor = sim.engine.fence;
    let until_ms = sim.workers["w0"].clock_ms(sim.now) + 4_500;
    sim.take_over();
    sim.run(SECOND);
    sim.crash("w0");
    sim.partitioned.insert("w0".into(), sim.now + 3 * SECOND);
    sim.run(2 * SECOND);
    let (now, worker) = (sim.now, sim.workers.get_mut("w0").expect("the worker exists"));
    worker.hold(predecessor, 0, Some(until_ms), now).expect("no newer fence has arrived");
    sim.run(2 * SECOND);
    assert_eq!(runs(&sim, "w0"), 2, "the tasks start on the restarted worker");
    tasks_move_once_the_leases_have_expired(&mut sim);
}

// A task ran twice at once: renewals of the predecessor were delivered seconds late to a restarted worker that did not answer
// the successor, which waited as if none were.
#[test]
fn successor_waits_for_late_renewals_of_its_predecessor_at_a_worker_that_does_not_answer() {
    let mut sim = two_workers_with_long_tasks();
    let predecessor = sim.engine.fence;
    let until_ms = sim.workers["w0"].clock_ms(sim.now) + 4_500;
    sim.crash("w0");
    sim.run(SECOND);
    assert_eq!(runs(&sim, "w0"), 2, "the tasks start on the restarted worker");
    sim.partitioned.insert("w0".into(), sim.now + ALL_LEASES_EXPIRED);
    sim.take_over();
    for delay in [4, 8] {
        sim.run(delay * SECOND);
        let (now, worker) = (sim.now, sim.workers.get_mut("w0").expect("the worker exists"));
        worker.hold(predecessor, 0, Some(until_ms), now).expect("no newer fence has arrived");
        assert_eq!(runs(&sim, "w0"), 2, "the leases have been renewed");
    }
    tasks_move_once_the_leases_have_expired(&mut sim);
}

// A task ran twice at once: as above, but the late order was a start.
#[test]
fn successor_waits_for_a_late_start_of_its_predecessor_at_a_worker_that_does_not_answer() {
    let mut sim = Simulation::new(2, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.submit(submission("a", vec![step(1, 60_000)]));
    sim.faults.late_orders = 1.0;
    sim.plan();
    sim.faults.late_orders = 0.0;
    let mut workers = sim.engine.workers.values();
    let worker = workers.find(|worker| !worker.starts_in_doubt.is_empty());
    let worker = worker.expect("the start is under way").entry.id.clone();
    sim.crash(&worker);
    sim.unreachable_for_newest.insert(worker.clone(), sim.now + ALL_LEASES_EXPIRED);
    sim.take_over();
    let taken_over = sim.now;
    while sim.starts.len() < 2 && sim.now < taken_over + ALL_LEASES_EXPIRED {
        sim.run(SECOND / 100);
    }
    let started: Vec<_> = sim.starts.iter().map(|(_, worker, _, _)| worker).collect();
    assert_eq!(started.len(), 2, "the task does not start elsewhere");
    assert_eq!(*started[0], worker, "the task starts elsewhere before the late start");
    assert_eq!(runs(&sim, &worker), 0, "the task starts elsewhere while it runs");
}

/// Starts a task on a worker that has just restarted, cuts the worker off before it reports, and checks that the task starts
/// elsewhere without breaking a rule.
fn cut_off_after_a_start_on_a_restarted_worker(lost_acks: f64) {
    let mut sim = Simulation::new(3, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.submit(submission("a", vec![step(3, 60_000)]));
    sim.workers.get_mut("w0").expect("the worker exists").crash(sim.now);
    sim.faults.lost_acks = lost_acks;
    sim.plan();
    sim.run(SECOND / 50);
    sim.faults.lost_acks = 0.0;
    assert_eq!(runs(&sim, "w0"), 1, "the restarted worker carries out the start");
    sim.partitioned.insert("w0".into(), sim.now + ALL_LEASES_EXPIRED);
    sim.run(ALL_LEASES_EXPIRED - SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.starts.len(), 4, "the task starts on another worker");
}

// A task ran twice at once: a restarted worker answered a start that was meant for its previous incarnation and was cut off
// before it reported, so that the owner measured the lease on the wrong clock.
#[test]
fn answered_start_is_measured_on_the_clock_of_the_incarnation_that_answered() {
    cut_off_after_a_start_on_a_restarted_worker(0.0);
}

// A task ran twice at once: as above, but the answer to the start was lost as well.
#[test]
fn unanswered_start_at_a_restarted_worker_that_is_cut_off_is_waited_for() {
    cut_off_after_a_start_on_a_restarted_worker(1.0);
}

// The end of a task was lost, and the task ran again: the request for a report after an unanswered start acknowledged the ends of
// the previous incarnation to a restarted worker, whose ends have the same numbers.
#[test]
fn no_ends_are_acknowledged_to_a_worker_that_left_a_start_unanswered() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.submit(submission("a", vec![step(2, 50)]));
    sim.run(2 * SECOND);
    let key = sim.engine.worker_key("w0").expect("the engine knows the worker");
    assert_eq!(sim.engine.workers[key].ack_cursor(), 2);
    sim.workers.get_mut("w0").expect("the worker exists").crash(sim.now);
    sim.submit(submission("b", vec![step(1, 50)]));
    let job = sim.engine.job_key("b").expect("the job was accepted");
    sim.plan();
    let (now, task) = (sim.now, TaskRef { job, occurrence: 0, step: 0, index: 0 });
    let unknown = StartOutcome::Unknown.into();
    sim.engine.apply_start_outcome(key, task, 1, unknown, now, &mut Vec::new());
    assert_eq!(sim.engine.workers[key].ack_cursor(), 0);
    sim.run(SECOND);
    assert_eq!(
        sim.engine.workers[key].ack_cursor(),
        1,
        "the end of the new incarnation is acknowledged"
    );
    assert_eq!(sim.violations, Vec::<String>::new());
}
