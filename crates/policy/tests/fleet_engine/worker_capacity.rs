//! Regression tests for workers that got more tasks than they have capacity for, because the owner did not count
//! all that a worker may be running.

use std::time::{Duration, Instant};

use wasabiswitch_policy::fleet::outcomes::StartOutcome;
use wasabiswitch_policy::fleet::reports::{ReportTiming, RunningEntry, WorkerReport};
use wasabiswitch_policy::fleet::state::{TaskName, TaskRef};
use wasabiswitch_policy::ids::OrderFence;

use crate::simulation::{Faults, Simulation, step, submission};

const SECOND: Duration = Duration::from_secs(1);

/// Creates a fleet whose workers run the job `a` of four tasks, and cancels the job while no worker can be reached.
///
/// The cancellation is persisted before the fleet is returned.
fn fleet_cut_off_from_a_cancelled_job(workers: usize, cap_milli: u64) -> Simulation {
    let mut sim = Simulation::new(workers, cap_milli, Faults::default(), 1);
    sim.submit(submission("a", vec![step(4, 60_000)]));
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 4);
    for number in 0..workers {
        sim.partitioned.insert(format!("w{number}").into(), sim.now + SECOND / 2);
    }
    assert!(sim.engine.cancel("a", sim.now));
    sim.run(SECOND / 4);
    sim.write_progress();
    sim
}

// A successor started tasks beside runs of a cancelled job that its predecessor could not stop.
#[test]
fn successor_counts_the_runs_of_a_cancelled_job_until_they_have_stopped() {
    let mut sim = fleet_cut_off_from_a_cancelled_job(1, 0);
    sim.submit(submission("b", vec![step(4, 500)]));
    sim.run(SECOND / 4);
    sim.take_over();
    sim.run(3 * SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.starts.len(), 8, "the tasks start once the runs have stopped");
}

/// Returns the name of a task of the first step of a job without a schedule.
fn task_name(job: &str, index: u32) -> TaskName {
    TaskName { job: job.into(), occurrence: 0, step: 0, index }
}

/// A report, with the fencing token of its request.
#[derive(Clone)]
struct RequestedReport {
    order_fence: OrderFence,
    content: WorkerReport,
}

/// Returns a report of a worker, requested and received at `now`.
fn report(sim: &mut Simulation, id: &str) -> RequestedReport {
    let (now, order_fence) = (sim.now, sim.order_fence(id));
    let worker = sim.workers.get_mut(id).expect("the worker exists");
    let content = worker.hold(order_fence, 0, None, now).expect("the fence is the newest");
    RequestedReport { order_fence, content }
}

/// Applies a report that was requested at `sent` and arrives now.
fn apply(sim: &mut Simulation, id: &str, sent: Instant, report: &RequestedReport) {
    let order_fence = report.order_fence;
    let timing = ReportTiming { order_fence, sent, received: sim.now };
    let key = sim.engine.worker_key(id).expect("the engine knows the worker");
    sim.engine.apply_report(key, timing, &report.content, &mut Vec::new());
    sim.renew_entry(key);
}

/// Returns the resources that the engine accounts for on a worker, in thousandths of a core.
fn reserved_milli(sim: &Simulation, id: &str) -> u64 {
    let key = sim.engine.worker_key(id).expect("the engine knows the worker");
    sim.engine.workers[key].reserved.cpu_milli
}

/// Returns whether a worker may get new tasks.
fn is_usable(sim: &Simulation, id: &str) -> bool {
    let key = sim.engine.worker_key(id).expect("the engine knows the worker");
    sim.engine.is_usable(&sim.engine.workers[key], sim.now)
}

// A worker got tasks once it had acknowledged the stop of a start in doubt, although that start had begun after its
// restart and was still being stopped.
#[test]
fn restarted_worker_is_usable_once_a_report_shows_that_no_start_in_doubt_has_begun() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    let key = sim.engine.worker_key("w0").expect("the engine knows the worker");
    sim.submit(submission("a", vec![step(1, 500)]));
    sim.plan();
    let name = task_name("a", 0);
    let job = sim.engine.job_key("a").expect("the job was accepted");
    let task = TaskRef { job, occurrence: 0, step: 0, index: 0 };
    let now = sim.now;
    let unknown = StartOutcome::Unknown.into();
    sim.engine.apply_start_outcome(key, task, 1, unknown, now, &mut Vec::new());
    sim.now += SECOND / 10;
    sim.restart_between_requests("w0");
    let first = report(&mut sim, "w0");
    let sent = sim.now;
    apply(&mut sim, "w0", sent, &first);
    assert!(!is_usable(&sim, "w0"), "the start may still begin");
    sim.now += SECOND / 10;
    let stopped_at = sim.now;
    sim.engine.record_stop_acknowledgement(key, &name, 1, stopped_at, stopped_at);
    assert!(!is_usable(&sim, "w0"), "the start may have begun before the stop");
    sim.now += SECOND / 10;
    let second = report(&mut sim, "w0");
    let sent = sim.now;
    apply(&mut sim, "w0", sent, &second);
    assert!(is_usable(&sim, "w0"));
}

// A report that a newer one had overtaken removed runs from the account of a worker.
#[test]
fn overtaken_report_of_a_previous_incarnation_changes_nothing() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.run(SECOND);
    let (overtaken, sent) = (report(&mut sim, "w0"), sim.now);
    sim.restart("w0");
    sim.run(SECOND);
    sim.submit(submission("a", vec![step(4, 60_000)]));
    sim.run(SECOND);
    assert_eq!(reserved_milli(&sim, "w0"), 4_000);
    apply(&mut sim, "w0", sent, &overtaken);
    assert_eq!(reserved_milli(&sim, "w0"), 4_000);
    sim.submit(submission("b", vec![step(4, 500)]));
    sim.run(SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
}

// The first report of a restarted worker removed runs that had started on it after the report was written.
#[test]
fn first_report_of_a_restarted_worker_keeps_runs_that_were_confirmed_after_it() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.restart_between_requests("w0");
    let (first, sent) = (report(&mut sim, "w0"), sim.now);
    sim.submit(submission("a", vec![step(4, 60_000)]));
    sim.plan();
    sim.now += SECOND / 10;
    let key = sim.engine.worker_key("w0").expect("the engine knows the worker");
    let job = sim.engine.job_key("a").expect("the job was accepted");
    for index in 0..4 {
        let task = TaskRef { job, occurrence: 0, step: 0, index };
        let (now, started) = (sim.now, StartOutcome::Started.into());
        sim.engine.apply_start_outcome(key, task, 1, started, now, &mut Vec::new());
    }
    apply(&mut sim, "w0", sent, &first);
    assert_eq!(reserved_milli(&sim, "w0"), 4_000);
}

// A worker that had restarted counted the acknowledgement of its previous incarnation as its own.
#[test]
fn stop_that_a_previous_incarnation_acknowledged_does_not_release_the_worker() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    let key = sim.engine.worker_key("w0").expect("the engine knows the worker");
    sim.submit(submission("a", vec![step(1, 500)]));
    sim.plan();
    let job = sim.engine.job_key("a").expect("the job was accepted");
    let task = TaskRef { job, occurrence: 0, step: 0, index: 0 };
    let now = sim.now;
    let unknown = StartOutcome::Unknown.into();
    sim.engine.apply_start_outcome(key, task, 1, unknown, now, &mut Vec::new());
    sim.now += SECOND / 10;
    let stop_sent = sim.now;
    sim.now += SECOND / 10;
    sim.restart_between_requests("w0");
    for _ in 0..2 {
        let (newest, sent) = (report(&mut sim, "w0"), sim.now);
        apply(&mut sim, "w0", sent, &newest);
        let name = task_name("a", 0);
        sim.engine.record_stop_acknowledgement(key, &name, 1, stop_sent, sim.now);
        sim.now += SECOND / 10;
    }
    assert!(!is_usable(&sim, "w0"));
    assert_eq!(reserved_milli(&sim, "w0"), 1_000);
}

// A worker got tasks between its restart and its first report, and began starts of before beside them.
#[test]
fn worker_whose_report_was_missed_gets_no_tasks_until_it_reports() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.run(SECOND);
    assert!(is_usable(&sim, "w0"));
    sim.restart("w0");
    let key = sim.engine.worker_key("w0").expect("the engine knows the worker");
    sim.poll_worker(key, true);
    assert!(!is_usable(&sim, "w0"));
    sim.poll_worker(key, true);
    assert!(is_usable(&sim, "w0"));
}

// A successor exceeded the cap of a team, because it did not charge the team for runs of a cancelled job that its
// predecessor could not stop.
#[test]
fn successor_charges_a_team_for_the_runs_of_a_cancelled_job_until_they_have_stopped() {
    let mut sim = fleet_cut_off_from_a_cancelled_job(2, 4_000);
    sim.submit(submission("b", vec![step(4, 500)]));
    sim.run(SECOND / 4);
    sim.take_over();
    let team = &sim.engine.teams["t"];
    assert_eq!(team.used.cpu_milli, 4_000, "all four runs continue");
    assert_eq!(reserved_milli(&sim, "w0") + reserved_milli(&sim, "w1"), 4_000);
    sim.run(3 * SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.starts.len(), 8, "the tasks start once the runs have stopped");
}

// A successor exceeded the cap of a team, because it did not charge the team for runs of a cancelled job on workers that it
// could not reach.
#[test]
fn successor_charges_a_team_for_a_cancelled_job_on_unreachable_workers() {
    let mut sim = fleet_cut_off_from_a_cancelled_job(2, 4_000);
    sim.take_over();
    assert_eq!(sim.engine.teams["t"].used.cpu_milli, 4_000);
}

// A worker lost capacity for good when a run of an ended job was reported while the job's rows were being removed.
#[test]
fn run_of_a_job_that_is_being_retired_leaves_the_account_when_it_ends() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    sim.run(SECOND);
    sim.submit(submission("a", vec![step(1, 500)]));
    assert!(sim.engine.cancel("a", sim.now));
    let changes = sim.engine.take_changes(usize::MAX);
    sim.engine.confirm_changes(&changes);
    let retired = sim.engine.retirable_jobs(usize::MAX);
    assert_eq!(retired.len(), 1);
    let (empty, sent) = (report(&mut sim, "w0"), sim.now);
    let mut running = empty.clone();
    running.content.running.push(RunningEntry {
        task: task_name("a", 0),
        attempt: 7,
        checkpoint: String::new(),
        percent: 10,
        gauge: 0.0,
    });
    apply(&mut sim, "w0", sent, &running);
    assert_eq!(reserved_milli(&sim, "w0"), 1_000);
    sim.engine.mark_retired(&retired);
    sim.now += SECOND;
    let sent = sim.now;
    apply(&mut sim, "w0", sent, &empty);
    assert_eq!(reserved_milli(&sim, "w0"), 0);
    let retired = sim.engine.retirable_jobs(usize::MAX);
    assert_eq!(retired.len(), 1, "the job is retired once its run has ended");
}

// A start that was delivered late to a restarted worker began beside a full set of tasks: its job had been cancelled, and its
// run had left the account, before the start counted as unanswered.
#[test]
fn start_of_a_cancelled_job_that_is_not_answered_yet_has_a_barrier_after_a_restart() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    let key = sim.engine.worker_key("w0").expect("the engine knows the worker");
    sim.submit(submission("a", vec![step(1, 500)]));
    sim.plan();
    sim.now += SECOND / 10;
    assert!(sim.engine.cancel("a", sim.now));
    let stop_sent = sim.now;
    sim.engine.record_stop_acknowledgement(key, &task_name("a", 0), 1, stop_sent, sim.now);
    sim.now += SECOND / 10;
    let (empty, sent) = (report(&mut sim, "w0"), sim.now);
    apply(&mut sim, "w0", sent, &empty);
    assert_eq!(reserved_milli(&sim, "w0"), 0, "this incarnation will not begin the run");
    sim.restart_between_requests("w0");
    sim.now += SECOND / 10;
    let (first, sent) = (report(&mut sim, "w0"), sim.now);
    apply(&mut sim, "w0", sent, &first);
    assert!(!is_usable(&sim, "w0"), "the next one may");
}

// A delayed report of an incarnation that a new owner had never known was taken for that of a newer incarnation: the owner
// refused all further reports of the worker, and acknowledged ends that it had not read.
#[test]
fn delayed_report_of_an_incarnation_that_the_owner_never_knew_changes_nothing() {
    let mut sim = Simulation::new(1, 0, Faults::default(), 1);
    let sent = sim.now;
    let delayed = report(&mut sim, "w0");
    sim.restart("w0");
    sim.now += SECOND / 10;
    sim.take_over();
    sim.run(SECOND);
    let incarnation = |sim: &Simulation| {
        let key = sim.engine.worker_key("w0").expect("the engine knows the worker");
        sim.engine.workers[key].incarnation
    };
    let current = incarnation(&sim);
    assert_ne!(current, delayed.content.incarnation);
    apply(&mut sim, "w0", sent, &delayed);
    assert_eq!(incarnation(&sim), current);
    sim.submit(submission("a", vec![step(4, 500)]));
    sim.run(2 * SECOND);
    assert_eq!(sim.starts.len(), 4, "the worker's reports still count");
}
