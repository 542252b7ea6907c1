//! Regression tests for faults found in simulated days of load, each reduced to the shortest sequence of events.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wasabiswitch_policy::fleet::admission::Admission;
use wasabiswitch_policy::fleet::maintenance::{
    FleetOrder, FleetOutcome, Instance, InstanceState, MaintenanceStage, Wave,
};
use wasabiswitch_policy::fleet::reports::RunEnd;
use wasabiswitch_policy::fleet::state::{Phase, RunTimes};
use wasabiswitch_policy::ids::InstanceId;
use wasabiswitch_standin::fleet_worker::LEASE_MAX;

use crate::fixtures::PREDECESSOR_EFFECT_MAX;
use crate::simulation::{Faults, Simulation, instance, queue_settings, step, submission};

const SECOND: Duration = Duration::from_secs(1);

fn fault_free(workers: usize) -> Simulation {
    Simulation::new(workers, 0, Faults::default(), 1)
}

/// Returns a step whose tasks run until they are cancelled, at most one on each worker.
fn long_running_step(count: u32) -> wasabiswitch_policy::fleet::spec::Step {
    let mut step = step(count, 500);
    step.long_running = true;
    step.per_worker_max = 1;
    step.unavailable_max = 1;
    step
}

#[test]
fn takeover_adopts_the_runs_in_progress() {
    let mut sim = fault_free(2);
    sim.submit(submission("a", vec![step(4, 3_000)]));
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 4);
    sim.take_over();
    sim.run(4 * SECOND);
    assert_eq!(sim.starts.len(), 4, "a task was started a second time while its run continued");
    assert_eq!(sim.violations, Vec::<String>::new());
    let job = sim.engine.job_key("a").unwrap();
    assert_eq!(sim.engine.jobs[job].visible_phase, Phase::Done);
}

#[test]
fn tasks_of_an_unresponsive_worker_restart_elsewhere_after_its_leases_expire() {
    let mut sim = fault_free(3);
    sim.submit(submission("a", vec![long_running_step(2)]));
    sim.run(SECOND);
    let unresponsive = sim.starts[0].1.clone();
    sim.partitioned.insert(unresponsive.clone(), sim.now + 60 * SECOND);
    sim.run(7 * SECOND);
    assert!(sim.starts[2..].iter().any(|(_, worker, _, _)| *worker != unresponsive));
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn failure_reported_to_two_owners_is_counted_once() {
    let mut sim = Simulation::new(1, 0, Faults { failed_tasks: 1.0, ..Faults::default() }, 1);
    sim.submit(submission("a", vec![step(1, 50)]));
    let worker = sim.engine.workers.keys().next().unwrap();
    while sim.workers["w0"].ends.is_empty() {
        sim.run(Duration::from_millis(10));
        sim.workers.get_mut("w0").unwrap().advance(sim.now);
    }
    // The first owner stores the failure and is replaced before it acknowledges it to the worker, so the
    // worker reports the same failure to the successor.
    sim.poll_worker(worker, true);
    sim.write_progress();
    sim.faults.failed_tasks = 0.0;
    sim.take_over();
    sim.run(2 * SECOND);
    let job = sim.engine.job_key("a").unwrap();
    assert_eq!(
        sim.engine.jobs[job].visible_phase,
        Phase::Done,
        "one failure of the two allowed was counted twice"
    );
}

#[test]
fn quarantined_worker_with_long_running_tasks_is_probed() {
    let mut sim = fault_free(1);
    sim.submit(submission("lasting", vec![long_running_step(1)]));
    sim.run(SECOND);
    let worker = sim.engine.workers.keys().next().unwrap();
    sim.engine.workers[worker].consecutive_failures = 3;
    sim.engine.workers[worker].quarantined_until = Some(sim.now + SECOND);
    sim.submit(submission("a", vec![step(2, 100)]));
    sim.run(3 * SECOND);
    let job = sim.engine.job_key("a").unwrap();
    assert_eq!(sim.engine.jobs[job].visible_phase, Phase::Done);
}

#[test]
fn jobs_that_fail_everywhere_do_not_quarantine_every_worker() {
    let mut sim = Simulation::new(4, 0, Faults { failed_tasks: 1.0, ..Faults::default() }, 1);
    for job in 0..8 {
        sim.submit(submission(&format!("poison-{job}"), vec![step(1, 50)]));
        sim.run(SECOND);
    }
    let quarantined = sim.engine.workers.values().filter(|w| w.consecutive_failures >= 3).count();
    assert!(quarantined < 4, "jobs that always fail quarantined all workers");
}

#[test]
fn new_owner_neither_moves_nor_takes_down_instances_of_unreachable_workers() {
    let mut sim = fault_free(3);
    sim.submit(submission("a", vec![step(2, 60_000)]));
    sim.run(SECOND);
    let ids: Vec<_> = sim.workers.keys().cloned().collect();
    for id in &ids {
        sim.partitioned.insert(id.clone(), sim.now + 60 * SECOND);
    }
    sim.take_over();
    let instances: BTreeMap<_, _> = ids.iter().map(|id| (id.clone(), instance(id, "p"))).collect();
    sim.engine.apply_instance_list(instances, sim.now, sim.now, &mut Vec::new());
    let wave = Wave::new(ids, 3, sim.now + 20 * SECOND);
    sim.engine.waves.insert(1, wave);
    for _ in 0..20 {
        sim.now += Duration::from_millis(100);
        let orders = sim.engine.plan_waves(sim.now);
        let calls = orders.iter().filter(|order| {
            !matches!(order, wasabiswitch_policy::fleet::maintenance::FleetOrder::Report { .. })
        });
        assert_eq!(calls.count(), 0);
        assert_eq!(sim.engine.plan_moves(sim.now), Vec::new());
    }
}

#[test]
fn takeover_marks_tasks_of_pools_with_unlisted_workers_as_unconfirmed() {
    let mut sim = fault_free(2);
    sim.submit(submission("a", vec![step(2, 60_000)]));
    let listed =
        BTreeMap::from([("m0".into(), instance("w0", "p")), ("m1".into(), instance("w1", "p"))]);
    assert_eq!(sim.engine.unlisted_workers(&listed), BTreeMap::new());
    let unknown = BTreeMap::from([("m9".into(), instance("w9", "p"))]);
    let unlisted = sim.engine.unlisted_workers(&unknown);
    assert_eq!(unlisted, BTreeMap::from([(&"w9".into(), &"p".into())]));
    let counted = sim.engine.find_unlisted_workers(Some(&unknown));
    assert_eq!(sim.engine.mark_unconfirmed(&counted, sim.now, sim.now), 2);
}

#[test]
fn long_running_task_is_not_stopped_while_another_of_its_step_is_unavailable() {
    let mut sim = fault_free(4);
    sim.submit(submission("a", vec![long_running_step(3)]));
    sim.run(2 * SECOND);
    let refs: Vec<_> =
        sim.engine.workers.values().flat_map(|worker| worker.runs.iter().map(|r| r.0)).collect();
    assert!(refs.iter().all(|task| sim.engine.may_interrupt(task, sim.now)));
    sim.partitioned.insert(sim.starts[0].1.clone(), sim.now + 60 * SECOND);
    sim.run(3 * SECOND);
    let unavailable = &sim.starts[0].2;
    let others = refs.iter().filter(|task| task.index != unavailable.index);
    for task in others {
        assert!(!sim.engine.may_interrupt(task, sim.now));
    }
}

#[test]
fn learned_run_time_ratio_is_not_skewed_by_underestimated_tasks() {
    let mut times = RunTimes::default();
    // Declared times are wrong by up to 90% in either direction: the ratio of the sums is one, while the mean
    // of the tasks' ratios is 3.8.
    for declared_ms in [100.0, 1_000.0, 1_900.0].into_iter().cycle().take(300) {
        times.record(declared_ms, 1_000.0);
    }
    assert!((times.ratio() - 1.0).abs() < 0.05, "ratio {}", times.ratio());
}

#[test]
fn admission_refuses_only_tasks_larger_than_any_worker() {
    let mut sim = fault_free(2);
    let mut large = step(1, 100);
    large.resources.cpu_milli = 5_000;
    let now = sim.now;
    assert_eq!(
        sim.engine.admit(&submission("l", vec![large]), &queue_settings(), now),
        Admission::TooLarge
    );
    let small = submission("s", vec![step(1, 100)]);
    assert_eq!(sim.engine.admit(&small, &queue_settings(), now), Admission::Accept);
}

#[test]
fn cancelled_job_stops_and_does_not_restart_after_takeover() {
    let mut sim = fault_free(2);
    sim.submit(submission("a", vec![step(6, 5_000), step(2, 100)]));
    sim.run(SECOND);
    assert!(sim.engine.cancel("a", sim.now));
    let starts = sim.starts.len();
    sim.run(SECOND);
    assert!(sim.workers.values().all(|worker| worker.runs.is_empty()));
    sim.take_over();
    sim.run(3 * SECOND);
    assert_eq!(sim.starts.len(), starts);
}

#[test]
fn steps_run_in_dependency_order_and_gang_members_start_together() {
    let mut sim = fault_free(2);
    let mut first = step(3, 200);
    first.gang = true;
    let mut second = step(2, 100);
    second.after = vec![0];
    sim.submit(submission("a", vec![first, second]));
    sim.run(2 * SECOND);
    let steps: Vec<u32> = sim.starts.iter().map(|(_, _, task, _)| task.step).collect();
    assert_eq!(steps, [0, 0, 0, 1, 1]);
    let attempts: BTreeSet<u32> = sim.starts[..3].iter().map(|start| start.3).collect();
    assert_eq!(attempts.len(), 1, "all members of a gang have the same attempt number");
    let ends =
        sim.workers.values().flat_map(|w| &w.ends).filter(|e| e.end == RunEnd::GangIncomplete);
    assert_eq!(ends.count(), 0);
}

#[test]
fn step_of_an_advised_queue_starts_only_on_workers_with_a_ticket() {
    let mut sim = fault_free(4);
    let mut queue_settings = queue_settings();
    queue_settings.requires_advice = true;
    sim.engine.queues.insert("q".into(), queue_settings);
    sim.submit(submission("a", vec![step(6, 100)]));
    sim.run(2 * SECOND);
    let job = sim.engine.job_key("a").unwrap();
    assert_eq!(sim.engine.jobs[job].visible_phase, Phase::Done);
    let used: BTreeSet<_> = sim.starts.iter().map(|start| start.1.clone()).collect();
    assert!(
        used.len() <= 2,
        "tickets were granted for two of four workers, but tasks ran on {used:?}"
    );
}

/// Adds a wave with the instance of one worker whose maintenance the instance service has just accepted, and
/// returns the list of instances.
fn accept_maintenance(sim: &mut Simulation, worker: &InstanceId) -> BTreeMap<InstanceId, Instance> {
    let instances = BTreeMap::from([("m0".into(), instance(worker, "p"))]);
    sim.engine.apply_instance_list(instances.clone(), sim.now, sim.now, &mut Vec::new());
    let mut wave = Wave::new(vec!["m0".into()], 1, sim.now + 20 * SECOND);
    wave.stages.insert("m0".into(), MaintenanceStage::Called(sim.now));
    sim.engine.waves.insert(1, wave);
    sim.engine.apply_maintenance_outcome(1, &"m0".into(), FleetOutcome::Accepted, sim.now);
    instances
}

#[test]
fn repeated_maintenance_call_does_not_end_the_runs_of_a_live_worker() {
    // The instance service accepts a call that an earlier owner has already made, and does nothing, so the
    // worker and its runs continue.
    let mut sim = fault_free(2);
    sim.submit(submission("a", vec![step(8, 6_000)]));
    sim.run(SECOND);
    let worker = sim.starts[0].1.clone();
    let instances = accept_maintenance(&mut sim, &worker);
    for _ in 0..10 {
        sim.run(Duration::from_millis(100));
        sim.engine.apply_instance_list(instances.clone(), sim.now, sim.now, &mut Vec::new());
        sim.engine.plan_waves(sim.now);
    }
    sim.run(2 * SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.starts.len(), 8, "a task was started a second time while its run continued");
    let key = sim.engine.worker_key(&worker).expect("the engine keeps the worker");
    assert!(sim.engine.is_usable(&sim.engine.workers[key], sim.now));
}

#[test]
fn tasks_of_an_instance_down_for_maintenance_restart_elsewhere_at_once() {
    let mut sim = fault_free(2);
    sim.submit(submission("a", vec![step(4, 6_000)]));
    sim.run(SECOND);
    let worker = sim.starts[0].1.clone();
    let ran_there = sim.starts.iter().filter(|start| start.1 == worker).count();
    let mut instances = accept_maintenance(&mut sim, &worker);
    sim.workers.remove(&worker);
    let down = instances.get_mut("m0").expect("the instance is listed");
    (down.state, down.worker) = (InstanceState::Maintenance, None);
    sim.engine.apply_instance_list(instances, sim.now, sim.now, &mut Vec::new());
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 4 + ran_there);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(
        sim.engine.worker_key(&worker),
        None,
        "the engine keeps a worker whose instance is down"
    );
}

#[test]
fn list_of_instances_requested_before_a_maintenance_call_does_not_lift_the_cordon() {
    let mut sim = fault_free(2);
    sim.submit(submission("a", vec![step(4, 6_000)]));
    sim.run(SECOND);
    let worker = sim.starts[0].1.clone();
    let requested = sim.now - Duration::from_millis(1);
    let instances = accept_maintenance(&mut sim, &worker);
    sim.engine.apply_instance_list(instances, requested, sim.now, &mut Vec::new());
    let key = sim.engine.worker_key(&worker).expect("the engine keeps the worker");
    assert!(!sim.engine.is_usable(&sim.engine.workers[key], sim.now));
}

/// Creates a fleet with a second owner and a wave over three empty instances, and returns it with the list
/// of instances. The first owner may have sent maintenance calls.
fn successor_during_wave(down_max: usize) -> (Simulation, BTreeMap<InstanceId, Instance>) {
    let mut sim = fault_free(3);
    sim.take_over();
    let ids: Vec<InstanceId> = (0..3).map(|number| format!("m{number}").into()).collect();
    let listed = (0..3).map(|n| (ids[n].clone(), instance(&format!("w{n}"), "p")));
    let instances: BTreeMap<_, _> = listed.collect();
    sim.engine.waves.insert(1, Wave::new(ids, down_max, sim.now + 20 * SECOND));
    (sim, instances)
}

/// Runs the waves for `time` with an unchanged list of instances, and returns the instances with a
/// maintenance call.
fn maintenance_calls(
    sim: &mut Simulation,
    instances: &BTreeMap<InstanceId, Instance>,
    time: Duration,
) -> Vec<InstanceId> {
    let mut calls = Vec::new();
    let until = sim.now + time;
    while sim.now < until {
        sim.run(Duration::from_millis(100));
        let now = sim.now;
        sim.engine.apply_instance_list(instances.clone(), now, now, &mut Vec::new());
        for order in sim.engine.plan_waves(now) {
            if let FleetOrder::Maintain { instance, .. } = order {
                calls.push(instance);
            }
        }
    }
    calls
}

#[test]
fn successor_counts_instances_that_its_predecessor_took_down() {
    let (mut sim, mut instances) = successor_during_wave(1);
    instances.get_mut("m2").expect("the instance is listed").state = InstanceState::Maintenance;
    assert_eq!(maintenance_calls(&mut sim, &instances, 3 * SECOND), Vec::<InstanceId>::new());
    instances.get_mut("m2").expect("the instance is listed").state = InstanceState::Up;
    assert_eq!(maintenance_calls(&mut sim, &instances, SECOND).len(), 1);
}

#[test]
fn successor_waits_for_calls_of_its_predecessor_before_it_calls_for_maintenance() {
    let (mut sim, instances) = successor_during_wave(2);
    let in_flight = Duration::from_millis(900);
    assert_eq!(maintenance_calls(&mut sim, &instances, in_flight), Vec::<InstanceId>::new());
    assert_eq!(maintenance_calls(&mut sim, &instances, SECOND).len(), 2);
}

// An instance whose worker is not listed was taken down under tasks of the predecessor, since a restarted worker may hold a longer
// lease than the predecessor asked for.
#[test]
fn instance_with_an_unlisted_worker_goes_down_only_after_the_longest_lease() {
    let (mut sim, mut instances) = successor_during_wave(3);
    instances.get_mut("m2").expect("the instance is listed").worker = Some("unlisted".into());
    let id: InstanceId = "m2".into();
    assert!(!maintenance_calls(&mut sim, &instances, LEASE_MAX).contains(&id));
    assert!(maintenance_calls(&mut sim, &instances, 2 * SECOND).contains(&id));
}

/// Returns one instance for each worker; the instance of the worker `replaced` has moved to another pool and has another worker
/// instead.
fn instances_with(sim: &Simulation, replaced: &InstanceId) -> BTreeMap<InstanceId, Instance> {
    let list = sim.workers.keys().enumerate().map(|(number, id)| {
        let (worker, pool) = if id == replaced { ("another", "p2") } else { (&**id, "p") };
        (format!("m{number}").into(), instance(worker, pool))
    });
    list.collect()
}

#[test]
fn takeover_does_not_wait_for_a_worker_whose_instance_has_another_worker() {
    // The directory still lists a worker for some seconds after its instance has moved to another pool.
    for replaced in [false, true] {
        let mut sim = fault_free(3);
        let unreachable: InstanceId = "w2".into();
        let old = if replaced { unreachable.clone() } else { "nobody".into() };
        let instances = instances_with(&sim, &old);
        sim.partitioned.insert(unreachable, sim.now + 60 * SECOND);
        sim.submit(submission("a", vec![step(3, 100)]));
        sim.take_over_with(Some(&instances));
        sim.run(SECOND);
        assert_eq!(sim.starts.len(), if replaced { 3 } else { 0 }, "replaced: {replaced}");
        sim.run(PREDECESSOR_EFFECT_MAX);
        assert_eq!(
            sim.starts.len(),
            3,
            "the owner waits for an unresponsive worker no longer than its leases last"
        );
    }
}

#[test]
fn tasks_of_a_replaced_unresponsive_worker_restart_before_its_leases_expire() {
    let mut sim = fault_free(3);
    sim.submit(submission("a", vec![long_running_step(2)]));
    sim.run(SECOND);
    let unresponsive = sim.starts[0].1.clone();
    let instances = instances_with(&sim, &unresponsive);
    sim.workers.remove(&unresponsive);
    for _ in 0..30 {
        sim.run(Duration::from_millis(100));
        let now = sim.now;
        sim.engine.apply_instance_list(instances.clone(), now, now, &mut Vec::new());
    }
    assert_eq!(
        sim.starts.len(),
        3,
        "the lost task was not restarted a second before its leases expire"
    );
    assert_eq!(sim.violations, Vec::<String>::new());
}

// An instance was moved or taken down under the long-running tasks of its new worker, because the worker that it had replaced
// had no runs any more.
#[test]
fn instance_of_a_worker_that_missed_a_report_is_not_taken_for_empty() {
    let mut sim = fault_free(3);
    sim.submit(submission("a", vec![long_running_step(2)]));
    sim.run(SECOND);
    let replaced = sim.starts[0].1.clone();
    let instances = instances_with(&sim, &"nobody".into());
    let is_replaced =
        |(_, instance): &(&InstanceId, &Instance)| instance.worker.as_ref() == Some(&replaced);
    let id = instances.iter().find(is_replaced).expect("each worker has an instance").0.clone();
    let key = sim.engine.worker_key(&replaced).expect("the engine knows the worker");
    sim.engine.drop_all_runs(key, "another incarnation answered", &mut Vec::new());
    sim.engine.record_missed_report(key, sim.now);
    let wave = Wave::new(vec![id.clone()], 1, sim.now + 20 * SECOND);
    sim.engine.waves.insert(1, wave);
    for _ in 0..30 {
        sim.now += Duration::from_millis(100);
        let now = sim.now;
        sim.engine.apply_instance_list(instances.clone(), now, now, &mut Vec::new());
        let orders = sim.engine.plan_waves(now).into_iter().chain(sim.engine.plan_moves(now));
        for order in orders {
            match order {
                FleetOrder::Maintain { instance, .. } | FleetOrder::Move { instance, .. } => {
                    assert_ne!(instance, id);
                }
                FleetOrder::Report { .. } => {}
            }
        }
    }
}
