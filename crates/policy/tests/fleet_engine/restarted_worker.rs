//! Regression tests for the leases of workers that restart under their id: an order that was computed for the clock of one
//! incarnation extends leases of the next one to another time.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabiswitch_policy::fleet::advice::AdviceOutcome;
use wasabiswitch_policy::fleet::lease::{ClockSample, WORKER_CLOCK_RATE_MIN};
use wasabiswitch_policy::fleet::lease_bounds::OrderOutcome;
use wasabiswitch_policy::fleet::maintenance::Wave;
use wasabiswitch_policy::fleet::outcomes::{StartAnswer, StartOutcome};
use wasabiswitch_policy::fleet::plan::Order;
use wasabiswitch_policy::fleet::reports::{ReportTiming, RunEnd};
use wasabiswitch_policy::fleet::state::TaskRef;
use wasabiswitch_standin::fleet_worker::{FakeStart, LEASE_MAX};

use crate::simulation::{Faults, Simulation, TICK, instance, queue_settings, step, submission};

const SECOND: Duration = Duration::from_secs(1);
/// Time after which the leases on a worker that cannot be reached have expired, whatever orders have arrived there.
const ALL_LEASES_EXPIRED: Duration = Duration::from_secs(30);

/// Creates a fleet of two workers that run the given number of tasks each, all of which outlast every lease.
fn two_workers_with_long_tasks_each(tasks: u32) -> Simulation {
    let mut sim = Simulation::new(2, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.submit(submission("a", vec![step(2 * tasks, 60_000)]));
    sim.run(SECOND);
    assert_eq!(runs(&sim, "w0"), tasks as usize);
    sim
}

/// Creates a fleet of two workers that run two such tasks each, so that each has room for those of the other.
fn two_workers_with_long_tasks() -> Simulation {
    two_workers_with_long_tasks_each(2)
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
    sim.restart("w0");
    sim.run(SECOND);
    assert_eq!(runs(&sim, "w0"), 2, "the tasks start on the restarted worker");
    tasks_move_once_the_leases_have_expired(&mut sim);
}

// A task ran twice at once: as above, but the answers to the renewals were lost, and the first report came without one.
#[test]
fn unanswered_renewal_for_a_previous_incarnation_is_covered() {
    let mut sim = two_workers_with_long_tasks();
    sim.restart_between_requests("w0");
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
    sim.restart("w0");
    sim.run(SECOND);
    assert_eq!(runs(&sim, "w0"), 2, "the tasks start on the restarted worker");
    sim.partitioned.insert("w0".into(), sim.now + ALL_LEASES_EXPIRED);
    sim.take_over();
    tasks_move_once_the_leases_have_expired(&mut sim);
}

// A task ran twice at once: as above, and the worker's time of day was an hour behind that of the successor, which therefore took
// the worker for one that had not restarted.
#[test]
fn successor_waits_for_the_longest_lease_whatever_the_times_of_day_are() {
    let mut sim = two_workers_with_long_tasks();
    // The incarnation states a time of day just after that of the former one.
    sim.restart_between_requests("w0");
    // The first report shows the restart, and the second one, which is requested at once, that no older order can arrive.
    let key = sim.engine.worker_key("w0").expect("the engine knows the worker");
    for _ in 0..2 {
        sim.poll_worker(key, true);
    }
    sim.run(2 * SECOND);
    assert_eq!(runs(&sim, "w0"), 2, "the tasks start on the restarted worker");
    sim.partitioned.insert("w0".into(), sim.now + ALL_LEASES_EXPIRED);
    sim.take_over();
    tasks_move_once_the_leases_have_expired(&mut sim);
}

// A task ran twice at once: as above, on a worker that answered the successor once and was cut off then.
#[test]
fn successor_waits_for_the_longest_lease_on_a_worker_that_is_cut_off_after_the_takeover() {
    let mut sim = two_workers_with_long_tasks();
    sim.restart("w0");
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
        sim.restart("w0");
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
    let predecessor = sim.order_fence("w0");
    let until_ms = sim.workers["w0"].clock_ms(sim.now) + 4_500;
    sim.take_over();
    sim.run(SECOND);
    sim.restart("w0");
    // The worker is back before it counts as unresponsive; after that its tasks would start on the other worker first.
    sim.partitioned.insert("w0".into(), sim.now + 12 * SECOND / 10);
    sim.run(SECOND);
    let (now, worker) = (sim.now, sim.workers.get_mut("w0").expect("the worker exists"));
    worker.hold(predecessor, 0, Some(until_ms), now).expect("no newer fence has arrived");
    sim.run(2 * SECOND);
    assert_eq!(runs(&sim, "w0"), 2, "the tasks start on the restarted worker");
    tasks_move_once_the_leases_have_expired(&mut sim);
}

/// Makes a worker unreachable and unlisted until the leases on it have expired and its tasks have moved, then restarts it and
/// lists it again, and runs until it has reported.
fn restart_after_an_absence(sim: &mut Simulation, id: &str) {
    sim.partitioned.insert(id.into(), sim.now + 6 * SECOND);
    sim.engine.mark_worker_unlisted(id);
    sim.run(6 * SECOND);
    sim.restart(id);
    let entry = sim.workers[id].entry.clone();
    sim.engine.upsert_worker(entry, sim.now);
    sim.run(SECOND);
}

// A task ran again after its end: a start without an answer was delivered late to a worker that had been unlisted for so long that
// the owner had forgotten it, and with it the start.
#[test]
fn late_start_does_not_begin_on_a_worker_that_is_listed_again() {
    let mut sim = Simulation::new(2, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.submit(submission("a", vec![step(1, 50)]));
    let orders = sim.engine.plan(sim.now, &mut Vec::new());
    let [Order::Start { worker, task, name, attempt, order_fence, .. }] = &orders[..] else {
        panic!("the task is started: {orders:?}");
    };
    let id = sim.engine.workers[*worker].entry.id.clone();
    let unknown = StartOutcome::Unknown.into();
    sim.engine.apply_start_outcome(*worker, *task, *attempt, unknown, sim.now, &mut Vec::new());
    // The list of instances shows that the worker has ended.
    sim.engine.drop_all_runs(*worker, "its instance has no worker", &mut Vec::new());
    restart_after_an_absence(&mut sim, &id);
    assert_eq!(sim.starts.len(), 1, "the task runs on the other worker");
    let (now, fence) = (sim.now, sim.order_fence(&id));
    let worker = sim.workers.get_mut(&id).expect("the worker exists");
    let late = FakeStart {
        task: name.clone(),
        attempt: *attempt,
        fence: *order_fence,
        // On the clock of the restarted worker the start may be valid for hours.
        until_ms: worker.clock_ms(now) + 3_600_000,
        run_time: None,
        run_end: RunEnd::Done,
    };
    assert_eq!(worker.start(&late, now), StartOutcome::Fenced);
    // The barrier holds without the fence, too.
    assert_eq!(worker.start(&FakeStart { fence, ..late }, now), StartOutcome::Superseded);
}

// A task ran twice at once: a renewal without an answer was delivered late to such a worker, and its leases outlived the owner's
// estimate.
#[test]
fn late_renewal_of_a_worker_that_is_listed_again_is_covered() {
    let mut sim = two_workers_with_long_tasks_each(1);
    let key = sim.engine.worker_key("w0").expect("the engine knows the worker");
    let sent_fence = sim.order_fence("w0");
    let until_ms = sim.engine.begin_renewal(key, sim.now).expect("the worker is busy");
    sim.engine.end_renewal(key, OrderOutcome::Unknown, sim.now);
    restart_after_an_absence(&mut sim, "w0");
    sim.submit(submission("b", vec![step(2, 60_000)]));
    sim.run(SECOND);
    assert_eq!(runs(&sim, "w0"), 2, "tasks start on the restarted worker");
    let (now, fence) = (sim.now, sim.order_fence("w0"));
    let worker = sim.workers.get_mut("w0").expect("the worker exists");
    assert_eq!(worker.hold(sent_fence, 0, Some(until_ms), now), None, "the order is outdated");
    // The bound on the leases holds without the fence, too.
    worker.hold(fence, 0, Some(until_ms), now).expect("the fence is the newest");
    tasks_move_once_the_leases_have_expired(&mut sim);
}

// A task ran twice at once: renewals of the predecessor were delivered seconds late to a restarted worker that did not answer
// the successor, which waited as if none were.
#[test]
fn successor_waits_for_late_renewals_of_its_predecessor_at_a_worker_that_does_not_answer() {
    let mut sim = two_workers_with_long_tasks();
    let until_ms = sim.workers["w0"].clock_ms(sim.now) + 4_500;
    sim.restart("w0");
    sim.run(SECOND);
    assert_eq!(runs(&sim, "w0"), 2, "the tasks start on the restarted worker");
    let predecessor = sim.order_fence("w0");
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
    sim.restart(&worker);
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
    sim.restart_between_requests("w0");
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

/// Renewals that reach a restarted worker beside a start that it answers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Renewals {
    /// One was sent before the restart, and is delivered after the start.
    Late,
    /// One is sent after the answer to the start.
    Next,
}

// A task ran twice at once: a restarted worker answered a start and was cut off before it reported; another order for its former
// incarnation, which it carried out as well, had given it a lease of which the owner took no account.
#[test]
fn renewals_beside_a_start_that_a_restarted_worker_answered_are_covered() {
    for renewals in [Renewals::Late, Renewals::Next] {
        let mut sim = Simulation::new(3, 0, Faults::default(), 1);
        sim.run(SECOND);
        sim.submit(submission("a", vec![step(3, 60_000)]));
        sim.run(SECOND);
        assert_eq!(runs(&sim, "w0"), 1);
        let key = sim.engine.worker_key("w0").expect("the engine knows the worker");
        sim.restart_between_requests("w0");
        let late = match renewals {
            Renewals::Late => sim.engine.begin_renewal(key, sim.now),
            Renewals::Next => None,
        };
        sim.submit(submission("b", vec![step(3, 60_000)]));
        sim.plan();
        sim.run(SECOND / 50);
        assert_eq!(runs(&sim, "w0"), 1, "the restarted worker carries out the start");
        let until_ms = late.or_else(|| sim.engine.begin_renewal(key, sim.now));
        sim.engine.end_renewal(key, OrderOutcome::Unknown, sim.now);
        sim.engine.record_missed_report(key, sim.now);
        sim.partitioned.insert("w0".into(), sim.now + ALL_LEASES_EXPIRED);
        sim.run(2 * SECOND);
        let (now, fence) = (sim.now, sim.order_fence("w0"));
        let worker = sim.workers.get_mut("w0").expect("the worker exists");
        worker.hold(fence, 0, until_ms, now).expect("the fence is the newest");
        sim.run(ALL_LEASES_EXPIRED - 3 * SECOND);
        assert_eq!(sim.violations, Vec::<String>::new(), "{renewals:?}");
        assert_eq!(sim.starts.len(), 8, "the tasks start on the other workers ({renewals:?})");
    }
}

// A task ran twice at once: as above, but the answer to the start had no readable clock.
#[test]
fn start_that_is_answered_without_a_clock_is_covered() {
    let mut sim = Simulation::new(2, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.submit(submission("a", vec![step(1, 60_000)]));
    let orders = sim.engine.plan(sim.now, &mut Vec::new());
    let [Order::Start { worker, task, attempt, .. }] = &orders[..] else {
        panic!("the task is started: {orders:?}");
    };
    let started = StartOutcome::Started.into();
    sim.engine.apply_start_outcome(*worker, *task, *attempt, started, sim.now, &mut Vec::new());
    let longest = LEASE_MAX.div_f64(WORKER_CLOCK_RATE_MIN);
    assert!(!sim.engine.workers[*worker].leases_expired(sim.now + longest - TICK));
    assert!(sim.engine.workers[*worker].leases_expired(sim.now + longest + TICK));
}

// The end of a task was lost, and the task ran again: the request for a report after an unanswered start acknowledged the ends of
// the previous incarnation to a restarted worker, whose ends have the same numbers.
#[test]
fn no_ends_are_acknowledged_to_a_worker_that_left_a_start_unanswered() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.submit(submission("a", vec![step(2, 50)]));
    sim.run_without_writes(2 * SECOND);
    sim.write_progress();
    let key = sim.engine.worker_key("w0").expect("the engine knows the worker");
    assert_eq!(sim.engine.workers[key].ack_cursor(), 2);
    sim.restart_between_requests("w0");
    sim.submit(submission("b", vec![step(1, 50)]));
    let job = sim.engine.job_key("b").expect("the job was accepted");
    sim.plan();
    let (now, task) = (sim.now, TaskRef { job, occurrence: 0, step: 0, index: 0 });
    let unknown = StartOutcome::Unknown.into();
    sim.engine.apply_start_outcome(key, task, 1, unknown, now, &mut Vec::new());
    assert_eq!(sim.engine.workers[key].ack_cursor(), 0);
    sim.run(SECOND);
    assert_eq!(
        sim.workers["w0"].last_acknowledged_end, 1,
        "the end of the new incarnation is acknowledged"
    );
    assert_eq!(sim.violations, Vec::<String>::new());
}

// The log did not tell a worker that was new from one that the owner had forgotten.
#[test]
fn forgotten_worker_is_kept_for_the_log_once() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.run(SECOND);
    let key = sim.engine.worker_key("w0").expect("the engine knows the worker");
    let incarnation = sim.engine.workers[key].incarnation;
    sim.engine.mark_worker_unlisted("w0");
    sim.now += ALL_LEASES_EXPIRED;
    sim.engine.plan(sim.now, &mut Vec::new());
    assert_eq!(sim.engine.worker_key("w0"), None);
    let forgotten = sim.engine.take_forgotten_workers();
    let ids: Vec<_> =
        forgotten.iter().map(|worker| (&*worker.entry.id, worker.incarnation)).collect();
    assert_eq!(ids, [("w0", incarnation)]);
    assert!(sim.engine.take_forgotten_workers().is_empty());
}

// A write that was in flight when a worker restarted acknowledged ends of the next incarnation that nobody had read.
#[test]
fn write_of_the_ends_of_a_previous_incarnation_confirms_none_of_the_next_one() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.submit(submission("a", vec![step(4, 50)]));
    sim.run_without_writes(2 * SECOND);
    let changes = sim.engine.take_changes(usize::MAX);
    assert_eq!(changes.ends.len(), 1);
    sim.restart("w0");
    sim.run_without_writes(SECOND);
    sim.engine.confirm_changes(&changes);
    let key = sim.engine.worker_key("w0").expect("the engine knows the worker");
    assert_eq!(sim.engine.workers[key].last_end_persisted, 0);
    assert_eq!(sim.engine.workers[key].ack_cursor(), 0);
}

// A report that arrived after its worker had been forgotten and listed again would have been that of the new entry.
#[test]
fn report_requested_before_a_worker_was_forgotten_changes_nothing() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.run(SECOND);
    let key = sim.engine.worker_key("w0").expect("the engine knows the worker");
    let (sent, fence) = (sim.now, sim.order_fence("w0"));
    let worker = sim.workers.get_mut("w0").expect("the worker exists");
    let report = worker.hold(fence, 0, None, sent).expect("the fence is the newest");
    sim.engine.mark_worker_unlisted("w0");
    sim.now += ALL_LEASES_EXPIRED;
    sim.engine.plan(sim.now, &mut Vec::new());
    let listed = sim.engine.upsert_worker(sim.workers["w0"].entry.clone(), sim.now);
    assert_ne!(listed, key);
    let timing = ReportTiming { order_fence: fence, sent, received: sim.now };
    assert!(!sim.engine.apply_report(key, timing, &report, &mut Vec::new()));
    assert_eq!(sim.engine.workers[listed].incarnation, 0);
}

// A ticket is valid for one incarnation of a worker: after the next one has refused it, the step waits for a new one.
#[test]
fn refused_ticket_is_requested_again_before_the_next_start() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.run(SECOND);
    let mut queue_settings = queue_settings();
    queue_settings.requires_advice = true;
    sim.engine.queues.insert("q".into(), queue_settings);
    sim.submit(submission("a", vec![step(1, 60_000)]));
    let orders = sim.engine.plan(sim.now, &mut Vec::new());
    assert!(matches!(orders[..], [Order::Advise { .. }]), "{orders:?}");
    let job = sim.engine.job_key("a").expect("the job was accepted");
    let task = TaskRef { job, occurrence: 0, step: 0, index: 0 };
    let key = sim.engine.worker_key("w0").expect("the engine knows the worker");
    let grants = vec![("w0".into(), "of the former incarnation".to_owned())];
    let now = sim.now;
    let outcome = AdviceOutcome::Answered { grants, validity: 3 * SECOND };
    sim.engine.apply_advice(&task, &[key], outcome, now);
    let orders = sim.engine.plan(now, &mut Vec::new());
    assert!(matches!(orders[..], [Order::Start { .. }]), "{orders:?}");
    let refused = StartOutcome::NoTicket.into();
    sim.engine.apply_start_outcome(key, task, 1, refused, now, &mut Vec::new());
    let orders = sim.engine.plan(now, &mut Vec::new());
    assert!(matches!(orders[..], [Order::Advise { .. }]), "{orders:?}");
}

// A task ran twice at once: a restarted worker carried out a start and the renewals that followed it, all answers were lost, and
// the owner bounded the lease by the start alone.
#[test]
fn renewals_after_an_unanswered_start_at_a_restarted_worker_are_covered() {
    let mut sim = Simulation::new(3, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.submit(submission("a", vec![step(3, 60_000)]));
    sim.run(SECOND);
    assert_eq!(runs(&sim, "w0"), 1);
    sim.submit(submission("b", vec![step(3, 60_000)]));
    sim.restart_between_requests("w0");
    sim.faults.lost_acks = 1.0;
    sim.plan();
    sim.faults.lost_reports = 1.0;
    sim.run(17 * SECOND / 10);
    sim.faults = Faults::default();
    assert_eq!(runs(&sim, "w0"), 1, "the restarted worker carries out the start");
    sim.partitioned.insert("w0".into(), sim.now + ALL_LEASES_EXPIRED);
    sim.run(ALL_LEASES_EXPIRED - SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
}

// A task ran twice at once: the owner ordered a run to be stopped whose start had got no answer, and no longer took account of a
// restarted worker that had carried out the start.
#[test]
fn unanswered_start_that_is_to_be_stopped_at_a_restarted_worker_is_waited_for() {
    let mut sim = Simulation::new(2, 0, Faults::default(), 1);
    sim.run(SECOND);
    let mut lasting = step(1, 60_000);
    lasting.long_running = true;
    sim.submit(submission("a", vec![lasting]));
    sim.faults.lost_acks = 1.0;
    sim.plan();
    let busy = sim.engine.workers.values().find(|worker| !worker.runs.is_empty());
    let id = busy.expect("the task is started").entry.id.clone();
    sim.restart_between_requests(&id);
    sim.run(SECOND / 50);
    sim.faults.lost_acks = 0.0;
    assert_eq!(runs(&sim, &id), 1, "the restarted worker carries out the start");
    sim.partitioned.insert(id.clone(), sim.now + ALL_LEASES_EXPIRED);
    // A wave is about to take the instance down.
    let instances: BTreeMap<_, _> =
        sim.workers.keys().map(|id| (id.clone(), instance(id, "p"))).collect();
    sim.engine.apply_instance_list(instances, sim.now, sim.now, &mut Vec::new());
    sim.engine.waves.insert(1, Wave::new(vec![id.clone()], 1, sim.now + ALL_LEASES_EXPIRED));
    sim.engine.plan_waves(sim.now);
    sim.run(ALL_LEASES_EXPIRED - SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.starts.len(), 2, "the task starts on the other worker");
}

// A task ran twice at once: the clock of a restarted worker read two seconds less than that of its former incarnation, and an
// order without an answer lasted longer there than the owner had computed.
#[test]
fn renewal_is_covered_if_the_clock_of_a_restarted_worker_is_close_to_the_former_one() {
    let mut sim = two_workers_with_long_tasks();
    let key = sim.engine.worker_key("w0").expect("the engine knows the worker");
    let until_ms = sim.engine.begin_renewal(key, sim.now).expect("the worker is busy");
    sim.engine.end_renewal(key, OrderOutcome::Unknown, sim.now);
    sim.submit(submission("b", vec![step(4, 60_000)]));
    let orders = sim.engine.plan(sim.now, &mut Vec::new());
    let task = orders.iter().find_map(|order| match order {
        Order::Start { worker, task, .. } if *worker == key => Some(*task),
        _ => None,
    });
    let task = task.expect("a task is started on the worker");
    let known = sim.engine.workers[key].clock.expect("the worker has reported");
    let clock_ms = known.clock_at(sim.now) - 1_900;
    let answer = StartAnswer { outcome: StartOutcome::Started, clock_ms: Some(clock_ms) };
    sim.engine.apply_start_outcome(key, task, 1, answer, sim.now, &mut Vec::new());
    let clock = ClockSample { clock_ms, received: sim.now };
    assert!(!sim.engine.workers[key].leases_expired(clock.latest_time_of(until_ms) - TICK));
}

// Tasks waited for the longest lease although no order could have given one: the order that found the restarted worker had no
// effect on its clock, and there was no earlier owner.
#[test]
fn restart_without_an_order_that_lasts_does_not_hold_tasks_back() {
    let mut sim = two_workers_with_long_tasks();
    sim.restart("w0");
    sim.run(30 * SECOND);
    assert_eq!(sim.engine.fence, 1);
    let before = sim.workers["w0"].clock_ms(sim.now);
    sim.restart("w0");
    assert!(sim.workers["w0"].clock_ms(sim.now) > before + 10_000);
    sim.run(SECOND);
    let moved = runs(&sim, "w0");
    assert!(moved > 0, "tasks start on the restarted worker");
    let starts = sim.starts.len();
    sim.partitioned.insert("w0".into(), sim.now + ALL_LEASES_EXPIRED);
    sim.run(11 * SECOND / 2);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.starts.len(), starts + moved, "the tasks start on the other worker");
}

// A worker counted as restarted, and got no tasks, after a report had overtaken its answer to a start.
#[test]
fn answer_that_a_report_has_overtaken_shows_no_restart() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.submit(submission("a", vec![step(1, 60_000)]));
    let orders = sim.engine.plan(sim.now, &mut Vec::new());
    let [Order::Start { worker, task, attempt, .. }] = &orders[..] else {
        panic!("the task is started: {orders:?}");
    };
    sim.now += SECOND / 10;
    let clock_ms = Some(sim.workers["w0"].clock_ms(sim.now));
    sim.now += SECOND / 10;
    sim.poll_worker(*worker, false);
    let answer = StartAnswer { outcome: StartOutcome::Started, clock_ms };
    sim.engine.apply_start_outcome(*worker, *task, *attempt, answer, sim.now, &mut Vec::new());
    assert_eq!(sim.engine.workers[*worker].restart_suspected_at, None);
}
