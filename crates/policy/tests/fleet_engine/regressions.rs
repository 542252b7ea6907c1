//! Faults that were found by playing days, each as the shortest history that shows it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wasabiswitch_policy::fleet::admission::Admission;
use wasabiswitch_policy::fleet::reports::End;
use wasabiswitch_policy::fleet::state::{Phase, RunTimes};
use wasabiswitch_policy::fleet::upkeep::{
    FleetOrder, FleetOutcome, Instance, InstanceState, UpkeepStage, Wave,
};
use wasabiswitch_policy::ids::InstanceId;

use crate::simulation::{Faults, Simulation, step, submission, terms};

const SECOND: Duration = Duration::from_secs(1);

fn calm(workers: usize) -> Simulation {
    Simulation::new(workers, 0, Faults::default(), 1)
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
    let mut sim = calm(2);
    sim.submit(submission("a", vec![step(4, 3_000)]));
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 4);
    sim.take_over();
    sim.run(4 * SECOND);
    assert_eq!(sim.starts.len(), 4, "the tasks were started again beside their runs");
    assert_eq!(sim.violations, Vec::<String>::new());
    let job = sim.engine.job_key("a").unwrap();
    assert_eq!(sim.engine.jobs[job].shown, Phase::Done);
}

#[test]
fn the_tasks_of_a_silent_worker_run_elsewhere_once_its_leases_have_lapsed() {
    let mut sim = calm(3);
    sim.submit(submission("a", vec![lasting(2)]));
    sim.run(SECOND);
    let silent = sim.starts[0].1.clone();
    sim.partitioned.insert(silent.clone(), sim.now + 60 * SECOND);
    sim.run(7 * SECOND);
    assert!(sim.starts[2..].iter().any(|(_, worker, _, _)| *worker != silent));
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn a_failure_that_is_told_to_two_owners_counts_once() {
    let mut sim = Simulation::new(1, 0, Faults { failed_tasks: 1.0, ..Faults::default() }, 1);
    sim.submit(submission("a", vec![step(1, 50)]));
    let worker = sim.engine.workers.keys().next().unwrap();
    while sim.workers["w0"].ends.is_empty() {
        sim.run(Duration::from_millis(10));
        sim.workers.get_mut("w0").unwrap().advance(sim.now);
    }
    // The end is taken in and written down, but never acknowledged.
    sim.poll_worker(worker, true);
    sim.write_progress();
    sim.faults.failed_tasks = 0.0;
    sim.take_over();
    sim.run(2 * SECOND);
    let job = sim.engine.job_key("a").unwrap();
    assert_eq!(sim.engine.jobs[job].shown, Phase::Done, "one failure of two was counted twice");
}

#[test]
fn a_barred_worker_is_probed_although_long_running_tasks_are_on_it() {
    let mut sim = calm(1);
    sim.submit(submission("lasting", vec![lasting(1)]));
    sim.run(SECOND);
    let worker = sim.engine.workers.keys().next().unwrap();
    sim.engine.workers[worker].strikes = 3;
    sim.engine.workers[worker].barred_until = Some(sim.now + SECOND);
    sim.submit(submission("a", vec![step(2, 100)]));
    sim.run(3 * SECOND);
    let job = sim.engine.job_key("a").unwrap();
    assert_eq!(sim.engine.jobs[job].shown, Phase::Done);
}

#[test]
fn tasks_that_have_failed_elsewhere_do_not_bar_a_worker() {
    let mut sim = Simulation::new(4, 0, Faults { failed_tasks: 1.0, ..Faults::default() }, 1);
    for job in 0..8 {
        sim.submit(submission(&format!("poison-{job}"), vec![step(1, 50)]));
        sim.run(SECOND);
    }
    let barred = sim.engine.workers.values().filter(|w| w.strikes >= 3).count();
    assert!(barred < 4, "poison jobs barred all workers");
}

#[test]
fn an_instance_whose_worker_has_not_answered_is_neither_moved_nor_taken_down() {
    let mut sim = calm(3);
    sim.submit(submission("a", vec![step(2, 60_000)]));
    sim.run(SECOND);
    let ids: Vec<_> = sim.workers.keys().cloned().collect();
    for id in &ids {
        sim.partitioned.insert(id.clone(), sim.now + 60 * SECOND);
    }
    sim.take_over();
    let instances: BTreeMap<_, _> = ids.iter().map(|id| (id.clone(), instance(id, "p"))).collect();
    sim.engine.list_instances(instances, sim.now, sim.now, &mut Vec::new());
    let wave = Wave::new(ids, 3, sim.now + 20 * SECOND);
    sim.engine.waves.insert(1, wave);
    for _ in 0..20 {
        sim.now += Duration::from_millis(100);
        let orders = sim.engine.plan_waves(sim.now);
        let calls = orders.iter().filter(|order| {
            !matches!(order, wasabiswitch_policy::fleet::upkeep::FleetOrder::Report { .. })
        });
        assert_eq!(calls.count(), 0);
        assert_eq!(sim.engine.plan_moves(sim.now), Vec::new());
    }
}

#[test]
fn a_take_over_doubts_the_pools_with_workers_out_of_sight() {
    let mut sim = calm(2);
    sim.submit(submission("a", vec![step(2, 60_000)]));
    let listed =
        BTreeMap::from([("m0".into(), instance("w0", "p")), ("m1".into(), instance("w1", "p"))]);
    assert_eq!(sim.engine.unlisted(&listed), BTreeMap::new());
    let strange = BTreeMap::from([("m9".into(), instance("w9", "p"))]);
    let unlisted = sim.engine.unlisted(&strange);
    assert_eq!(unlisted, BTreeMap::from([(&"w9".into(), &"p".into())]));
    let unseen: BTreeSet<_> = unlisted.into_values().cloned().collect();
    assert_eq!(sim.engine.doubt_silent(unseen, sim.now, sim.now), 2);
}

#[test]
fn a_long_running_task_is_not_taken_away_while_another_of_its_step_is() {
    let mut sim = calm(4);
    sim.submit(submission("a", vec![lasting(3)]));
    sim.run(2 * SECOND);
    let refs: Vec<_> =
        sim.engine.workers.values().flat_map(|worker| worker.runs.iter().map(|r| r.0)).collect();
    assert!(refs.iter().all(|task| sim.engine.may_take_away(task, sim.now)));
    sim.partitioned.insert(sim.starts[0].1.clone(), sim.now + 60 * SECOND);
    sim.run(3 * SECOND);
    let away = &sim.starts[0].2;
    let others = refs.iter().filter(|task| task.index != away.index);
    for task in others {
        assert!(!sim.engine.may_take_away(task, sim.now));
    }
}

#[test]
fn learned_run_times_are_not_led_by_tasks_whose_declared_time_is_far_too_short() {
    let mut times = RunTimes::default();
    // Declared times are off by 0.9 either way; the mean of the single ratios would be above five.
    for declared_ms in [100.0, 1_000.0, 1_900.0].into_iter().cycle().take(300) {
        times.learn(declared_ms, 1_000.0);
    }
    assert!((times.ratio() - 1.0).abs() < 0.05, "ratio {}", times.ratio());
}

#[test]
fn a_task_larger_than_any_worker_is_refused_and_one_that_fits_is_accepted() {
    let mut sim = calm(2);
    let mut large = step(1, 100);
    large.amount.cpu_milli = 5_000;
    let now = sim.now;
    assert_eq!(sim.engine.admit(&submission("l", vec![large]), &terms(), now), Admission::TooLarge);
    let small = submission("s", vec![step(1, 100)]);
    assert_eq!(sim.engine.admit(&small, &terms(), now), Admission::Accept);
}

#[test]
fn a_cancelled_job_stops_and_nothing_of_it_starts_again() {
    let mut sim = calm(2);
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
fn steps_run_in_their_order_and_gangs_start_together() {
    let mut sim = calm(2);
    let mut first = step(3, 200);
    first.gang = true;
    let mut second = step(2, 100);
    second.after = vec![0];
    sim.submit(submission("a", vec![first, second]));
    sim.run(2 * SECOND);
    let steps: Vec<u32> = sim.starts.iter().map(|(_, _, task, _)| task.step).collect();
    assert_eq!(steps, [0, 0, 0, 1, 1]);
    let attempts: BTreeSet<u32> = sim.starts[..3].iter().map(|start| start.3).collect();
    assert_eq!(attempts.len(), 1, "the members of a gang share the attempt");
    let ends = sim.workers.values().flat_map(|w| &w.ends).filter(|e| e.end == End::Alone);
    assert_eq!(ends.count(), 0);
}

#[test]
fn a_step_of_an_advised_queue_starts_only_where_it_has_a_ticket() {
    let mut sim = calm(4);
    let mut terms = terms();
    terms.advised = true;
    sim.engine.queues.insert("q".into(), terms);
    sim.submit(submission("a", vec![step(6, 100)]));
    sim.run(2 * SECOND);
    let job = sim.engine.job_key("a").unwrap();
    assert_eq!(sim.engine.jobs[job].shown, Phase::Done);
    let used: BTreeSet<_> = sim.starts.iter().map(|start| start.1.clone()).collect();
    assert!(used.len() <= 2, "half of four workers were granted, {used:?} were used");
}

/// A wave over the instance of one worker, whose upkeep the machine service has just accepted.
fn accepted_upkeep(sim: &mut Simulation, worker: &InstanceId) -> BTreeMap<InstanceId, Instance> {
    let instances = BTreeMap::from([("m0".into(), instance(worker, "p"))]);
    sim.engine.list_instances(instances.clone(), sim.now, sim.now, &mut Vec::new());
    let mut wave = Wave::new(vec!["m0".into()], 1, sim.now + 20 * SECOND);
    wave.stages.insert("m0".into(), UpkeepStage::Called(sim.now));
    sim.engine.waves.insert(1, wave);
    sim.engine.upkeep_outcome(1, &"m0".into(), FleetOutcome::Accepted, sim.now);
    instances
}

#[test]
fn an_upkeep_that_an_earlier_owner_had_called_for_ends_nothing() {
    // The machine service accepts a repeated call and does nothing, so the worker and its runs go on.
    let mut sim = calm(2);
    sim.submit(submission("a", vec![step(8, 6_000)]));
    sim.run(SECOND);
    let worker = sim.starts[0].1.clone();
    let instances = accepted_upkeep(&mut sim, &worker);
    for _ in 0..10 {
        sim.run(Duration::from_millis(100));
        sim.engine.list_instances(instances.clone(), sim.now, sim.now, &mut Vec::new());
        sim.engine.plan_waves(sim.now);
    }
    sim.run(2 * SECOND);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.starts.len(), 8, "tasks were started again beside their runs");
    let key = sim.engine.worker_key(&worker).expect("the worker is still there");
    assert!(sim.engine.is_usable(&sim.engine.workers[key], sim.now));
}

#[test]
fn the_tasks_of_an_instance_that_went_down_for_upkeep_run_elsewhere_at_once() {
    let mut sim = calm(2);
    sim.submit(submission("a", vec![step(4, 6_000)]));
    sim.run(SECOND);
    let worker = sim.starts[0].1.clone();
    let ran_there = sim.starts.iter().filter(|start| start.1 == worker).count();
    let mut instances = accepted_upkeep(&mut sim, &worker);
    sim.workers.remove(&worker);
    let down = instances.get_mut("m0").expect("it was listed");
    (down.state, down.worker) = (InstanceState::Upkeep, None);
    sim.engine.list_instances(instances, sim.now, sim.now, &mut Vec::new());
    sim.run(SECOND);
    assert_eq!(sim.starts.len(), 4 + ran_there);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.engine.worker_key(&worker), None, "a worker that is gone is still asked");
}

#[test]
fn a_list_of_instances_that_was_asked_for_before_an_upkeep_proves_nothing() {
    let mut sim = calm(2);
    sim.submit(submission("a", vec![step(4, 6_000)]));
    sim.run(SECOND);
    let worker = sim.starts[0].1.clone();
    let asked = sim.now - Duration::from_millis(1);
    let instances = accepted_upkeep(&mut sim, &worker);
    sim.engine.list_instances(instances, asked, sim.now, &mut Vec::new());
    let key = sim.engine.worker_key(&worker).expect("the worker is still there");
    assert!(!sim.engine.is_usable(&sim.engine.workers[key], sim.now));
}

/// A successor of an owner that had called for upkeeps, three empty instances of a wave, and its list.
fn successor_in_a_wave(down_max: usize) -> (Simulation, BTreeMap<InstanceId, Instance>) {
    let mut sim = calm(3);
    sim.take_over();
    let ids: Vec<InstanceId> = (0..3).map(|number| format!("m{number}").into()).collect();
    let listed = (0..3).map(|n| (ids[n].clone(), instance(&format!("w{n}"), "p")));
    let instances: BTreeMap<_, _> = listed.collect();
    sim.engine.waves.insert(1, Wave::new(ids, down_max, sim.now + 20 * SECOND));
    (sim, instances)
}

/// Plans a wave for some time with one list of instances; returns the calls for upkeep.
fn upkeeps(
    sim: &mut Simulation,
    instances: &BTreeMap<InstanceId, Instance>,
    time: Duration,
) -> Vec<InstanceId> {
    let mut calls = Vec::new();
    let until = sim.now + time;
    while sim.now < until {
        sim.run(Duration::from_millis(100));
        let now = sim.now;
        sim.engine.list_instances(instances.clone(), now, now, &mut Vec::new());
        for order in sim.engine.plan_waves(now) {
            if let FleetOrder::Upkeep { instance, .. } = order {
                calls.push(instance);
            }
        }
    }
    calls
}

#[test]
fn a_successor_counts_the_instances_that_its_predecessor_took_down() {
    let (mut sim, mut instances) = successor_in_a_wave(1);
    instances.get_mut("m2").expect("it was listed").state = InstanceState::Upkeep;
    assert_eq!(upkeeps(&mut sim, &instances, 3 * SECOND), Vec::<InstanceId>::new());
    instances.get_mut("m2").expect("it was listed").state = InstanceState::Up;
    assert_eq!(upkeeps(&mut sim, &instances, SECOND).len(), 1);
}

#[test]
fn a_successor_lets_the_calls_of_its_predecessor_arrive_before_it_calls_for_an_upkeep() {
    let (mut sim, instances) = successor_in_a_wave(2);
    let in_flight = Duration::from_millis(900);
    assert_eq!(upkeeps(&mut sim, &instances, in_flight), Vec::<InstanceId>::new());
    assert_eq!(upkeeps(&mut sim, &instances, SECOND).len(), 2);
}

/// Instances with a worker each, of which the last has got another life on its instance.
fn instances_of(sim: &Simulation, replaced: &InstanceId) -> BTreeMap<InstanceId, Instance> {
    let list = sim.workers.keys().enumerate().map(|(number, id)| {
        let worker = if id == replaced { "another" } else { &**id };
        (format!("m{number}").into(), instance(worker, "p"))
    });
    list.collect()
}

#[test]
fn a_take_over_does_not_wait_for_workers_whose_instance_has_another_life() {
    // The directory lists a worker for some seconds after its instance has changed its pool.
    for replaced in [false, true] {
        let mut sim = calm(3);
        let gone: InstanceId = "w2".into();
        let old = if replaced { gone.clone() } else { "nobody".into() };
        let instances = instances_of(&sim, &old);
        sim.partitioned.insert(gone, sim.now + 60 * SECOND);
        sim.submit(submission("a", vec![step(3, 100)]));
        sim.take_over_with_instances(&instances);
        sim.run(SECOND);
        assert_eq!(sim.starts.len(), if replaced { 3 } else { 0 }, "replaced: {replaced}");
        sim.run(5 * SECOND);
        assert_eq!(sim.starts.len(), 3, "what is silent is waited for no longer than its leases");
    }
}

#[test]
fn the_tasks_of_a_silent_worker_whose_instance_has_another_life_run_elsewhere_soon() {
    let mut sim = calm(3);
    sim.submit(submission("a", vec![lasting(2)]));
    sim.run(SECOND);
    let silent = sim.starts[0].1.clone();
    let instances = instances_of(&sim, &silent);
    sim.workers.remove(&silent);
    for _ in 0..30 {
        sim.run(Duration::from_millis(100));
        let now = sim.now;
        sim.engine.list_instances(instances.clone(), now, now, &mut Vec::new());
    }
    assert_eq!(sim.starts.len(), 3, "its leases last another second");
    assert_eq!(sim.violations, Vec::<String>::new());
}
