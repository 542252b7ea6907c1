//! Faults that were found by playing days, each as the shortest history that shows it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wasabiswitch_policy::fleet::admission::Admission;
use wasabiswitch_policy::fleet::maintenance::{
    FleetOrder, FleetOutcome, Instance, InstanceState, MaintenanceStage, Wave,
};
use wasabiswitch_policy::fleet::reports::RunEnd;
use wasabiswitch_policy::fleet::state::{Phase, RunTimes};
use wasabiswitch_policy::ids::InstanceId;

use crate::world::{Faults, World, queue_settings, step, submission};

const SECOND: Duration = Duration::from_secs(1);

fn calm(workers: usize) -> World {
    World::new(workers, 0, Faults::default(), 1)
}

/// A step whose tasks run until they are cancelled, one on each worker.
fn lasting(count: u32) -> wasabiswitch_policy::fleet::spec::Step {
    let mut step = step(count, 500);
    step.long_running = true;
    step.per_worker_max = 1;
    step.unavailable_max = 1;
    step
}

fn instance(worker: &str, pool: &str) -> Instance {
    Instance {
        pool: pool.into(),
        state: InstanceState::Up,
        worker: Some(worker.into()),
        labels: Vec::new(),
    }
}

#[test]
fn a_new_owner_keeps_the_runs_that_it_finds() {
    let mut world = calm(2);
    world.submit(submission("a", vec![step(4, 3_000)]));
    world.run(SECOND);
    assert_eq!(world.starts.len(), 4);
    world.take_over();
    world.run(4 * SECOND);
    assert_eq!(world.starts.len(), 4, "the tasks were started again beside their runs");
    assert_eq!(world.broken, Vec::<String>::new());
    let job = world.engine.job_key("a").unwrap();
    assert_eq!(world.engine.jobs[job].visible_phase, Phase::Done);
}

#[test]
fn the_tasks_of_a_silent_worker_run_elsewhere_once_its_leases_have_lapsed() {
    let mut world = calm(3);
    world.submit(submission("a", vec![lasting(2)]));
    world.run(SECOND);
    let silent = world.starts[0].1.clone();
    world.cut.insert(silent.clone(), world.now + 60 * SECOND);
    world.run(7 * SECOND);
    assert!(world.starts[2..].iter().any(|(_, worker, _, _)| *worker != silent));
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn a_failure_that_is_told_to_two_owners_counts_once() {
    let mut world = World::new(1, 0, Faults { failing: 1.0, ..Faults::default() }, 1);
    world.submit(submission("a", vec![step(1, 50)]));
    let worker = world.engine.workers.keys().next().unwrap();
    while world.workers["w0"].ends.is_empty() {
        world.run(Duration::from_millis(10));
        world.workers.get_mut("w0").unwrap().advance(world.now);
    }
    // The end is taken in and written down, but never acknowledged.
    world.report(worker, true);
    world.write_progress();
    world.faults.failing = 0.0;
    world.take_over();
    world.run(2 * SECOND);
    let job = world.engine.job_key("a").unwrap();
    assert_eq!(
        world.engine.jobs[job].visible_phase,
        Phase::Done,
        "one failure of two was counted twice"
    );
}

#[test]
fn a_barred_worker_is_probed_although_long_running_tasks_are_on_it() {
    let mut world = calm(1);
    world.submit(submission("lasting", vec![lasting(1)]));
    world.run(SECOND);
    let worker = world.engine.workers.keys().next().unwrap();
    world.engine.workers[worker].consecutive_failures = 3;
    world.engine.workers[worker].quarantined_until = Some(world.now + SECOND);
    world.submit(submission("a", vec![step(2, 100)]));
    world.run(3 * SECOND);
    let job = world.engine.job_key("a").unwrap();
    assert_eq!(world.engine.jobs[job].visible_phase, Phase::Done);
}

#[test]
fn tasks_that_have_failed_elsewhere_do_not_bar_a_worker() {
    let mut world = World::new(4, 0, Faults { failing: 1.0, ..Faults::default() }, 1);
    for job in 0..8 {
        world.submit(submission(&format!("poison-{job}"), vec![step(1, 50)]));
        world.run(SECOND);
    }
    let barred = world.engine.workers.values().filter(|w| w.consecutive_failures >= 3).count();
    assert!(barred < 4, "poison jobs barred all workers");
}

#[test]
fn an_instance_whose_worker_has_not_answered_is_neither_moved_nor_taken_down() {
    let mut world = calm(3);
    world.submit(submission("a", vec![step(2, 60_000)]));
    world.run(SECOND);
    let ids: Vec<_> = world.workers.keys().cloned().collect();
    for id in &ids {
        world.cut.insert(id.clone(), world.now + 60 * SECOND);
    }
    world.take_over();
    let instances: BTreeMap<_, _> = ids.iter().map(|id| (id.clone(), instance(id, "p"))).collect();
    world.engine.apply_instance_list(instances, world.now, world.now, &mut Vec::new());
    let wave = Wave::new(ids, 3, world.now + 20 * SECOND);
    world.engine.waves.insert(1, wave);
    for _ in 0..20 {
        world.now += Duration::from_millis(100);
        let orders = world.engine.plan_waves(world.now);
        let calls = orders.iter().filter(|order| {
            !matches!(order, wasabiswitch_policy::fleet::maintenance::FleetOrder::Report { .. })
        });
        assert_eq!(calls.count(), 0);
        assert_eq!(world.engine.plan_moves(world.now), Vec::new());
    }
}

#[test]
fn a_take_over_doubts_the_pools_with_workers_out_of_sight() {
    let mut world = calm(2);
    world.submit(submission("a", vec![step(2, 60_000)]));
    let listed =
        BTreeMap::from([("m0".into(), instance("w0", "p")), ("m1".into(), instance("w1", "p"))]);
    assert_eq!(world.engine.unlisted_workers(&listed), BTreeMap::new());
    let strange = BTreeMap::from([("m9".into(), instance("w9", "p"))]);
    let unlisted = world.engine.unlisted_workers(&strange);
    assert_eq!(unlisted, BTreeMap::from([(&"w9".into(), &"p".into())]));
    let unseen: BTreeSet<_> = unlisted.into_values().cloned().collect();
    assert_eq!(world.engine.mark_unconfirmed(unseen, world.now, world.now), 2);
}

#[test]
fn a_long_running_task_is_not_taken_away_while_another_of_its_step_is() {
    let mut world = calm(4);
    world.submit(submission("a", vec![lasting(3)]));
    world.run(2 * SECOND);
    let refs: Vec<_> =
        world.engine.workers.values().flat_map(|worker| worker.runs.iter().map(|r| r.0)).collect();
    assert!(refs.iter().all(|task| world.engine.may_interrupt(task, world.now)));
    world.cut.insert(world.starts[0].1.clone(), world.now + 60 * SECOND);
    world.run(3 * SECOND);
    let away = &world.starts[0].2;
    let others = refs.iter().filter(|task| task.index != away.index);
    for task in others {
        assert!(!world.engine.may_interrupt(task, world.now));
    }
}

#[test]
fn learned_run_times_are_not_led_by_tasks_whose_declared_time_is_far_too_short() {
    let mut times = RunTimes::default();
    // Declared times are off by 0.9 either way; the mean of the single ratios would be above five.
    for declared_ms in [100.0, 1_000.0, 1_900.0].into_iter().cycle().take(300) {
        times.record(declared_ms, 1_000.0);
    }
    assert!((times.ratio() - 1.0).abs() < 0.05, "ratio {}", times.ratio());
}

#[test]
fn a_task_larger_than_any_worker_is_refused_and_one_that_fits_is_accepted() {
    let mut world = calm(2);
    let mut large = step(1, 100);
    large.resources.cpu_milli = 5_000;
    let now = world.now;
    assert_eq!(
        world.engine.admit(&submission("l", vec![large]), &queue_settings(), now),
        Admission::TooLarge
    );
    let small = submission("s", vec![step(1, 100)]);
    assert_eq!(world.engine.admit(&small, &queue_settings(), now), Admission::Accept);
}

#[test]
fn a_cancelled_job_stops_and_nothing_of_it_starts_again() {
    let mut world = calm(2);
    world.submit(submission("a", vec![step(6, 5_000), step(2, 100)]));
    world.run(SECOND);
    assert!(world.engine.cancel("a", world.now));
    let starts = world.starts.len();
    world.run(SECOND);
    assert!(world.workers.values().all(|worker| worker.runs.is_empty()));
    world.take_over();
    world.run(3 * SECOND);
    assert_eq!(world.starts.len(), starts);
}

#[test]
fn steps_run_in_their_order_and_gangs_start_together() {
    let mut world = calm(2);
    let mut first = step(3, 200);
    first.gang = true;
    let mut second = step(2, 100);
    second.after = vec![0];
    world.submit(submission("a", vec![first, second]));
    world.run(2 * SECOND);
    let steps: Vec<u32> = world.starts.iter().map(|(_, _, task, _)| task.step).collect();
    assert_eq!(steps, [0, 0, 0, 1, 1]);
    let attempts: BTreeSet<u32> = world.starts[..3].iter().map(|start| start.3).collect();
    assert_eq!(attempts.len(), 1, "the members of a gang share the attempt");
    let ends =
        world.workers.values().flat_map(|w| &w.ends).filter(|e| e.end == RunEnd::GangIncomplete);
    assert_eq!(ends.count(), 0);
}

#[test]
fn a_step_of_an_advised_queue_starts_only_where_it_has_a_ticket() {
    let mut world = calm(4);
    let mut queue_settings = queue_settings();
    queue_settings.requires_advice = true;
    world.engine.queues.insert("q".into(), queue_settings);
    world.submit(submission("a", vec![step(6, 100)]));
    world.run(2 * SECOND);
    let job = world.engine.job_key("a").unwrap();
    assert_eq!(world.engine.jobs[job].visible_phase, Phase::Done);
    let used: BTreeSet<_> = world.starts.iter().map(|start| start.1.clone()).collect();
    assert!(used.len() <= 2, "half of four workers were granted, {used:?} were used");
}

/// A wave over the instance of one worker, whose upkeep the machine service has just accepted.
fn accepted_upkeep(world: &mut World, worker: &InstanceId) -> BTreeMap<InstanceId, Instance> {
    let instances = BTreeMap::from([("m0".into(), instance(worker, "p"))]);
    world.engine.apply_instance_list(instances.clone(), world.now, world.now, &mut Vec::new());
    let mut wave = Wave::new(vec!["m0".into()], 1, world.now + 20 * SECOND);
    wave.stages.insert("m0".into(), MaintenanceStage::Called(world.now));
    world.engine.waves.insert(1, wave);
    world.engine.apply_maintenance_outcome(1, &"m0".into(), FleetOutcome::Accepted, world.now);
    instances
}

#[test]
fn an_upkeep_that_an_earlier_owner_had_called_for_ends_nothing() {
    // The machine service accepts a repeated call and does nothing, so the worker and its runs go on.
    let mut world = calm(2);
    world.submit(submission("a", vec![step(8, 6_000)]));
    world.run(SECOND);
    let worker = world.starts[0].1.clone();
    let instances = accepted_upkeep(&mut world, &worker);
    for _ in 0..10 {
        world.run(Duration::from_millis(100));
        world.engine.apply_instance_list(instances.clone(), world.now, world.now, &mut Vec::new());
        world.engine.plan_waves(world.now);
    }
    world.run(2 * SECOND);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.starts.len(), 8, "tasks were started again beside their runs");
    let key = world.engine.worker_key(&worker).expect("the worker is still there");
    assert!(world.engine.is_usable(&world.engine.workers[key], world.now));
}

#[test]
fn the_tasks_of_an_instance_that_went_down_for_upkeep_run_elsewhere_at_once() {
    let mut world = calm(2);
    world.submit(submission("a", vec![step(4, 6_000)]));
    world.run(SECOND);
    let worker = world.starts[0].1.clone();
    let ran_there = world.starts.iter().filter(|start| start.1 == worker).count();
    let mut instances = accepted_upkeep(&mut world, &worker);
    world.workers.remove(&worker);
    let down = instances.get_mut("m0").expect("it was listed");
    (down.state, down.worker) = (InstanceState::Upkeep, None);
    world.engine.apply_instance_list(instances, world.now, world.now, &mut Vec::new());
    world.run(SECOND);
    assert_eq!(world.starts.len(), 4 + ran_there);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.engine.worker_key(&worker), None, "a worker that is gone is still asked");
}

#[test]
fn a_list_of_instances_that_was_asked_for_before_an_upkeep_proves_nothing() {
    let mut world = calm(2);
    world.submit(submission("a", vec![step(4, 6_000)]));
    world.run(SECOND);
    let worker = world.starts[0].1.clone();
    let asked = world.now - Duration::from_millis(1);
    let instances = accepted_upkeep(&mut world, &worker);
    world.engine.apply_instance_list(instances, asked, world.now, &mut Vec::new());
    let key = world.engine.worker_key(&worker).expect("the worker is still there");
    assert!(!world.engine.is_usable(&world.engine.workers[key], world.now));
}

/// A successor of an owner that had called for upkeeps, three empty instances of a wave, and its list.
fn successor_in_a_wave(down_max: usize) -> (World, BTreeMap<InstanceId, Instance>) {
    let mut world = calm(3);
    world.take_over();
    let ids: Vec<InstanceId> = (0..3).map(|number| format!("m{number}").into()).collect();
    let listed = (0..3).map(|n| (ids[n].clone(), instance(&format!("w{n}"), "p")));
    let instances: BTreeMap<_, _> = listed.collect();
    world.engine.waves.insert(1, Wave::new(ids, down_max, world.now + 20 * SECOND));
    (world, instances)
}

/// Plans a wave for some time with one list of instances; returns the calls for upkeep.
fn upkeeps(
    world: &mut World,
    instances: &BTreeMap<InstanceId, Instance>,
    time: Duration,
) -> Vec<InstanceId> {
    let mut calls = Vec::new();
    let until = world.now + time;
    while world.now < until {
        world.run(Duration::from_millis(100));
        let now = world.now;
        world.engine.apply_instance_list(instances.clone(), now, now, &mut Vec::new());
        for order in world.engine.plan_waves(now) {
            if let FleetOrder::Upkeep { instance, .. } = order {
                calls.push(instance);
            }
        }
    }
    calls
}

#[test]
fn a_successor_counts_the_instances_that_its_predecessor_took_down() {
    let (mut world, mut instances) = successor_in_a_wave(1);
    instances.get_mut("m2").expect("it was listed").state = InstanceState::Upkeep;
    assert_eq!(upkeeps(&mut world, &instances, 3 * SECOND), Vec::<InstanceId>::new());
    instances.get_mut("m2").expect("it was listed").state = InstanceState::Up;
    assert_eq!(upkeeps(&mut world, &instances, SECOND).len(), 1);
}

#[test]
fn a_successor_lets_the_calls_of_its_predecessor_arrive_before_it_calls_for_an_upkeep() {
    let (mut world, instances) = successor_in_a_wave(2);
    let in_flight = Duration::from_millis(900);
    assert_eq!(upkeeps(&mut world, &instances, in_flight), Vec::<InstanceId>::new());
    assert_eq!(upkeeps(&mut world, &instances, SECOND).len(), 2);
}

/// Instances with a worker each, of which the last has got another life on its instance.
fn instances_of(world: &World, replaced: &InstanceId) -> BTreeMap<InstanceId, Instance> {
    let list = world.workers.keys().enumerate().map(|(number, id)| {
        let worker = if id == replaced { "another" } else { &**id };
        (format!("m{number}").into(), instance(worker, "p"))
    });
    list.collect()
}

#[test]
fn a_take_over_does_not_wait_for_workers_whose_instance_has_another_life() {
    // The directory lists a worker for some seconds after its instance has changed its pool.
    for replaced in [false, true] {
        let mut world = calm(3);
        let gone: InstanceId = "w2".into();
        let old = if replaced { gone.clone() } else { "nobody".into() };
        let instances = instances_of(&world, &old);
        world.cut.insert(gone, world.now + 60 * SECOND);
        world.submit(submission("a", vec![step(3, 100)]));
        world.take_over_with(&instances);
        world.run(SECOND);
        assert_eq!(world.starts.len(), if replaced { 3 } else { 0 }, "replaced: {replaced}");
        world.run(5 * SECOND);
        assert_eq!(world.starts.len(), 3, "what is silent is waited for no longer than its leases");
    }
}

#[test]
fn the_tasks_of_a_silent_worker_whose_instance_has_another_life_run_elsewhere_soon() {
    let mut world = calm(3);
    world.submit(submission("a", vec![lasting(2)]));
    world.run(SECOND);
    let silent = world.starts[0].1.clone();
    let instances = instances_of(&world, &silent);
    world.workers.remove(&silent);
    for _ in 0..30 {
        world.run(Duration::from_millis(100));
        let now = world.now;
        world.engine.apply_instance_list(instances.clone(), now, now, &mut Vec::new());
    }
    assert_eq!(world.starts.len(), 3, "its leases last another second");
    assert_eq!(world.broken, Vec::<String>::new());
}
