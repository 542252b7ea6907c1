//! Decisions of a new owner on what its predecessor did before the state changed from which the new owner decides.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabiswitch_policy::fleet::config::FleetConfig;
use wasabiswitch_policy::fleet::spec::{Step, Submission};
use wasabiswitch_policy::fleet::start_pools::StartPoolsRow;
use wasabiswitch_policy::fleet::state::Phase;
use wasabiswitch_standin::fleet::single_queue_config;
use wasabiswitch_standin::fleet_worker::FakeWorker;

use crate::fixtures::PREDECESSOR_EFFECT_MAX;
use crate::simulation::{Faults, Simulation, instance, step, submission, worker_entry};

const SECOND: Duration = Duration::from_secs(1);
/// Pools of the test fleet, with one worker each, named after the pool.
const POOLS: [&str; 3] = ["p", "p2", "p3"];

/// Returns a configuration in which the queue `q` leads to `pool`.
fn config_with_pool(version: u64, pool: &str) -> FleetConfig {
    let mut config = single_queue_config("spare", 0);
    config.version = version;
    config.pools = POOLS.iter().map(|pool| ((*pool).into(), Default::default())).collect();
    config.routes[0].queue_settings.pool = pool.into();
    config
}

/// Creates a fleet with one worker in each pool, and with the queue in the first pool.
fn one_worker_per_pool() -> Simulation {
    let entries = POOLS.iter().map(|pool| worker_entry(&format!("w-{pool}"), pool)).collect();
    Simulation::with_workers(config_with_pool(1, "p"), entries, Faults::default(), 1)
}

/// Returns a step whose single task runs until it is cancelled.
fn long_running_step() -> Step {
    Step { long_running: true, ..step(1, 500) }
}

/// Makes a worker unreachable for every owner, and starts the term of a new owner.
fn take_over_without(sim: &mut Simulation, worker: &str) {
    sim.partitioned.insert(worker.into(), sim.now + 60 * SECOND);
    sim.take_over();
}

fn started_on(sim: &Simulation) -> Vec<&str> {
    sim.starts.iter().map(|(_, worker, _, _)| &**worker).collect()
}

// Guards against a second run of a task on a worker of its queue's new pool while it still runs in the pool that the
// queue had when it started.
#[test]
fn task_does_not_run_twice_after_its_queue_changed_the_pool_before_a_takeover() {
    let mut sim = one_worker_per_pool();
    sim.submit(submission("a", vec![long_running_step()]));
    sim.run(SECOND);
    sim.apply_config(config_with_pool(2, "p2"));
    sim.run(SECOND);
    take_over_without(&mut sim, "w-p");
    sim.run(PREDECESSOR_EFFECT_MAX + SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(started_on(&sim), ["w-p", "w-p2"], "the task does not restart after its lease");
}

// Guards against a second run of a task that was started neither in the pool of its queue at the submission nor in the
// present one.
#[test]
fn task_does_not_run_twice_after_a_run_in_a_pool_between_the_first_and_the_present_one() {
    let mut sim = one_worker_per_pool();
    sim.submit(submission("a", vec![long_running_step()]));
    sim.run(SECOND);
    sim.apply_config(config_with_pool(2, "p2"));
    sim.restart("w-p");
    sim.run(2 * SECOND);
    assert_eq!(started_on(&sim), ["w-p", "w-p2"]);
    sim.apply_config(config_with_pool(3, "p3"));
    take_over_without(&mut sim, "w-p2");
    sim.run(PREDECESSOR_EFFECT_MAX + SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(started_on(&sim), ["w-p", "w-p2", "w-p3"]);
}

/// Returns a job with a schedule of `repeats` occurrences, each with one task that runs for `estimate_ms`.
///
/// The simulation reads the same time of day at a submission and at each takeover, so for a successor every occurrence is due
/// later than for its predecessor.
fn scheduled_job(estimate_ms: u64, repeats: u32, period_ms: u64) -> Submission {
    Submission { repeats, period_ms, ..submission("a", vec![step(1, estimate_ms)]) }
}

fn started_occurrences(sim: &Simulation) -> Vec<u32> {
    sim.starts.iter().map(|(_, _, task, _)| task.occurrence).collect()
}

// Guards against a second run of a task whose occurrence the successor's clock opens later than its predecessor's did, while
// the first run continues on a worker that the successor cannot reach.
#[test]
fn task_of_an_occurrence_that_a_predecessor_opened_waits_for_an_unreachable_worker() {
    let mut sim = one_worker_per_pool();
    sim.submit(scheduled_job(4_000, 2, 1_500));
    sim.run(2 * SECOND);
    assert_eq!(started_occurrences(&sim), [0, 1]);
    take_over_without(&mut sim, "w-p");
    sim.workers.insert("w9".into(), FakeWorker::new(worker_entry("w9", "p"), sim.now, 1.0));
    sim.take_over();
    sim.run(10 * SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
}

// Guards against an end that the successor drops, and acknowledges, because its clock has not opened the occurrence yet.
#[test]
fn end_in_an_occurrence_that_a_predecessor_opened_is_kept() {
    let mut sim = one_worker_per_pool();
    sim.submit(scheduled_job(200, 2, 1_500));
    sim.run(Duration::from_millis(1_600));
    assert_eq!(started_occurrences(&sim), [0, 1]);
    // The end comes after the last report to the predecessor.
    sim.now += SECOND;
    sim.workers.get_mut("w-p").expect("the worker exists").advance(sim.now);
    sim.take_over();
    sim.run(5 * SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(started_occurrences(&sim), [0, 1]);
    let job = sim.engine.job_key("a").expect("the job is known");
    assert_eq!(sim.engine.jobs[job].visible_phase, Phase::Done);
}

/// Returns a configuration in which the team `t` may use two cores, or which does not have the team.
fn config_with_team(version: u64, has_team: bool) -> FleetConfig {
    let mut config = single_queue_config("spare", 2_000);
    config.version = version;
    if !has_team {
        config.teams.clear();
    }
    config
}

// Guards against runs that are not charged to their team because the configuration does not have the team at the takeover.
#[test]
fn successor_charges_a_team_that_the_configuration_has_only_later() {
    let entries = vec![worker_entry("w0", "p"), worker_entry("w1", "p")];
    let mut sim =
        Simulation::with_workers(config_with_team(1, true), entries, Faults::default(), 1);
    sim.submit(submission("a", vec![step(2, 20_000)]));
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 2);
    sim.apply_config(config_with_team(2, false));
    sim.take_over();
    sim.run(SECOND);
    sim.apply_config(config_with_team(3, true));
    sim.submit(submission("b", vec![step(2, 1_000)]));
    sim.run(2 * SECOND);
    assert_eq!(sim.starts.len(), 2, "the team runs more than its cap");
}

// Guards against a charge for unconfirmed tasks that the configuration of the takeover does not have a team for.
#[test]
fn successor_charges_unconfirmed_tasks_to_a_team_that_the_configuration_has_only_later() {
    let entries = vec![worker_entry("w0", "p"), worker_entry("w1", "p")];
    let mut sim =
        Simulation::with_workers(config_with_team(1, true), entries, Faults::default(), 1);
    sim.submit(submission("a", vec![step(2, 20_000)]));
    sim.run(SECOND);
    sim.apply_config(config_with_team(2, false));
    for worker in ["w0", "w1"] {
        sim.partitioned.insert(worker.into(), sim.now + SECOND);
    }
    sim.take_over();
    sim.apply_config(config_with_team(3, true));
    assert_eq!(sim.engine.teams["t"].used.cpu_milli, 2_000);
    sim.run(10 * SECOND);
    assert_eq!(sim.engine.teams["t"].used.cpu_milli, 2_000, "the charge outlives the doubt");
}

/// Takes the fleet over while some of the workers are neither listed nor reachable; returns the use of the team, in
/// thousandths of a core.
fn use_after_takeover_with_unlisted_workers(is_instance_list_known: bool) -> u64 {
    let entries = (0..4).map(|n| worker_entry(&format!("w{n}"), "p")).collect();
    let config = single_queue_config("spare", 100_000);
    let mut sim = Simulation::with_workers(config, entries, Faults::default(), 1);
    sim.submit(submission("a", vec![step(14, 20_000)]));
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 14);
    let instances = sim.workers.keys().map(|id| (id.clone(), instance(id, "p"))).collect();
    for worker in ["w1", "w2", "w3"] {
        sim.workers.remove(worker);
    }
    sim.take_over_with(is_instance_list_known.then_some(&instances));
    sim.engine.teams["t"].used.cpu_milli
}

// Guards against a charge that is limited to one worker per pool, although several may be running tasks.
#[test]
fn successor_charges_a_team_for_each_unlisted_worker() {
    assert_eq!(use_after_takeover_with_unlisted_workers(true), 14_000);
}

// Guards against a charge that is limited to one worker per pool, although nothing shows how many workers there are.
#[test]
fn successor_without_a_list_of_instances_charges_a_team_for_all_its_tasks() {
    assert_eq!(use_after_takeover_with_unlisted_workers(false), 14_000);
}

// Guards against a second run of a task in a pool that the configuration no longer has, whose worker is not listed.
#[test]
fn successor_without_a_list_of_instances_waits_for_pools_that_were_removed() {
    let mut sim = one_worker_per_pool();
    sim.submit(submission("a", vec![long_running_step()]));
    sim.run(SECOND);
    let mut config = config_with_pool(2, "p2");
    config.pools.remove("p");
    sim.apply_config(config);
    sim.workers.remove("w-p");
    sim.take_over_with(None);
    sim.run(PREDECESSOR_EFFECT_MAX);
    assert_eq!(
        started_on(&sim),
        ["w-p"],
        "the task starts while it may run on a worker that is not listed"
    );
    sim.run(SECOND);
    assert_eq!(started_on(&sim), ["w-p", "w-p2"]);
}

// Guards against a charge for fillers that is limited to the capacity of their worker, which they do not reserve.
#[test]
fn successor_charges_a_team_for_all_fillers_on_an_unreachable_worker() {
    let mut sim = one_worker_per_pool();
    let fillers = Step { fills: true, ..step(8, 20_000) };
    sim.submit(submission("a", vec![fillers]));
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 8);
    take_over_without(&mut sim, "w-p");
    assert_eq!(sim.engine.teams["t"].used.cpu_milli, 8_000);
}

// Guards against rows of start pools that stay in the store, and are read at each takeover, after a daemon of a version without
// them has retired their jobs.
#[test]
fn successor_removes_rows_of_start_pools_without_a_job() {
    let mut sim = one_worker_per_pool();
    sim.submit(submission("a", vec![long_running_step()]));
    let row = StartPoolsRow { pools: vec!["p2".into()] };
    assert!(sim.engine.restore_start_pools("a", &row));
    assert!(!sim.engine.restore_start_pools("gone", &row));
    assert_eq!(sim.engine.take_unused_start_pools(&[], 10), ["gone".into()]);
    assert_eq!(sim.engine.take_unused_start_pools(&[], 10), []);
}

// Guards against a second run of a task on which an old end of the same task, reported late, casts no doubt any more.
#[test]
fn late_report_of_an_earlier_attempt_does_not_release_a_task_that_may_be_running() {
    let entries = (0..3).map(|number| worker_entry(&format!("w{number}"), "p")).collect();
    let config = single_queue_config("spare", 0);
    let mut sim = Simulation::with_workers(config, entries, Faults::default(), 1);
    sim.submit(submission("a", vec![long_running_step()]));
    sim.run(SECOND);
    let first = sim.starts[0].1.clone();
    // The run on the first worker lapses there unseen, and the owner starts the task on a second one.
    sim.partitioned.insert(first.clone(), sim.now + 8 * SECOND);
    sim.run(7 * SECOND);
    assert_eq!(sim.starts.len(), 2);
    let second = sim.starts[1].1.clone();
    sim.partitioned.insert(second, sim.now + 60 * SECOND);
    sim.take_over();
    sim.run(2 * SECOND);
    assert_eq!(
        sim.workers[&first].last_acknowledged_end, 1,
        "the end of the first run is reported"
    );
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.starts.len(), 2, "the task restarts while it may be running");
    sim.run(PREDECESSOR_EFFECT_MAX - 2 * SECOND);
    assert_eq!(sim.starts.len(), 2, "the task restarts while it may be running");
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 3, "the task does not restart after the lease");
}

/// Submits a job with one task, and starts the term of a new owner before the task has started, while `silent` workers of two do
/// not answer for the given times.
fn take_over_with_silent_workers(silent: &[(&str, Duration)]) -> Simulation {
    let entries = vec![worker_entry("w0", "p"), worker_entry("w1", "p"), worker_entry("w2", "p")];
    let config = single_queue_config("spare", 100_000);
    let mut sim = Simulation::with_workers(config, entries, Faults::default(), 1);
    sim.run(SECOND);
    sim.submit(submission("a", vec![step(1, 60_000)]));
    for (worker, time) in silent {
        sim.partitioned.insert((*worker).into(), sim.now + *time);
    }
    sim.take_over();
    assert_eq!(sim.engine.teams["t"].used.cpu_milli, 1_000, "the unconfirmed task is charged");
    sim
}

// Guards against a pool that waits for the leases of a worker that has reported meanwhile.
#[test]
fn tasks_of_a_pool_start_once_its_silent_workers_have_reported() {
    let mut sim = take_over_with_silent_workers(&[("w0", SECOND), ("w1", 3 * SECOND)]);
    sim.run(3 * SECOND - SECOND / 10);
    assert_eq!(started_on(&sim), Vec::<&str>::new(), "the task starts while it may be running");
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 1, "the task waits for workers that have reported");
    assert_eq!(sim.engine.teams["t"].used.cpu_milli, 1_000, "the charge outlives the doubt");
    assert_eq!(sim.violations, Vec::<String>::new());
}

// Guards against a pool that waits for the runs of an incarnation that the worker's next incarnation shows to have ended.
#[test]
fn tasks_of_a_pool_start_once_a_silent_worker_has_reported_as_another_incarnation() {
    let mut sim = take_over_with_silent_workers(&[("w0", 3 * SECOND)]);
    sim.run(SECOND);
    sim.restart("w0");
    sim.run(3 * SECOND);
    assert_eq!(sim.starts.len(), 1, "the task waits for a worker that has reported");
}

// Guards against a task that runs twice because a worker was released from the doubt with one that has reported.
#[test]
fn tasks_of_a_pool_wait_for_each_of_its_silent_workers() {
    let silent = [("w0", SECOND), ("w1", 60 * SECOND)];
    let mut sim = take_over_with_silent_workers(&silent);
    sim.run(PREDECESSOR_EFFECT_MAX);
    assert_eq!(started_on(&sim), Vec::<&str>::new(), "the task starts while it may be running");
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 1, "the task does not start after the leases");
    assert_eq!(sim.engine.teams["t"].used.cpu_milli, 1_000, "the charge outlives the doubt");
}

// Guards against a pool that waits for an unlisted worker after the directory has listed it and it has reported.
#[test]
fn tasks_of_a_pool_start_once_an_unlisted_worker_has_reported() {
    let mut sim = one_worker_per_pool();
    sim.run(SECOND);
    sim.submit(submission("a", vec![long_running_step()]));
    sim.workers.insert("w9".into(), FakeWorker::new(worker_entry("w9", "p"), sim.now, 1.0));
    let instances = sim.workers.keys().map(|id| (id.clone(), instance(id, "p"))).collect();
    sim.unlisted.insert("w9".into());
    sim.take_over_with(Some(&instances));
    sim.run(2 * SECOND);
    assert_eq!(started_on(&sim), Vec::<&str>::new(), "the task starts while it may be running");
    sim.list_all_workers();
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 1, "the task waits for a worker that has reported");
}

// Guards against tasks that wait for any worker after a list of instances has shown that all workers have reported.
#[test]
fn tasks_start_once_a_later_list_of_instances_shows_that_all_workers_have_reported() {
    for missing in [None, Some("w9")] {
        let mut sim = one_worker_per_pool();
        sim.run(SECOND);
        sim.submit(submission("a", vec![long_running_step()]));
        // The directory still lists a worker that its instance has replaced.
        let gone = FakeWorker::new(worker_entry("w8", "p"), sim.now, 1.0);
        sim.workers.insert("w8".into(), gone);
        sim.partitioned.insert("w8".into(), sim.now + 60 * SECOND);
        sim.take_over_with(None);
        sim.workers.remove("w8");
        sim.run(SECOND);
        assert_eq!(started_on(&sim), Vec::<&str>::new(), "the task starts while it may be running");
        let workers = sim.workers.values().map(|worker| &worker.entry);
        let mut instances: BTreeMap<_, _> =
            workers.map(|entry| (entry.id.clone(), instance(&entry.id, &entry.pool))).collect();
        instances.extend(missing.map(|worker| (worker.into(), instance(worker, "p"))));
        sim.engine.apply_instance_list(instances, sim.now, sim.now, &mut Vec::new());
        sim.run(SECOND);
        assert_eq!(sim.starts.len(), usize::from(missing.is_none()), "missing: {missing:?}");
    }
}
