//! Evacuation of a data centre, with load, with lost and late orders, and across takeovers.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use wasabiswitch_policy::fleet::Engine;
use wasabiswitch_policy::fleet::admission::Admission;
use wasabiswitch_policy::fleet::evacuation::{EvacuationEvent, RETURN_TIME};
use wasabiswitch_policy::fleet::maintenance::{FleetOrder, Instance, InstanceState};
use wasabiswitch_policy::fleet::spec::Step;
use wasabiswitch_policy::fleet::state::{Phase, TaskName, TaskRef, WorkerEntry};
use wasabiswitch_policy::ids::{DataCentre, InstanceId};
use wasabiswitch_standin::fleet::single_queue_config;

use crate::simulation::{
    Faults, Simulation, TICK, instance, limits, queue_settings, step, submission, worker_entry,
};

/// Time after the operator's write from which no task may start in the data centre, as the platform states it.
const EVACUATE_TIME: Duration = Duration::from_millis(5_000);

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn set(names: &[&str]) -> BTreeSet<DataCentre> {
    names.iter().map(|name| DataCentre::from(*name)).collect()
}

fn worker_in(data_centre: &str, id: &str, pool: &str) -> WorkerEntry {
    WorkerEntry { data_centre: data_centre.into(), ..worker_entry(id, pool) }
}

/// Creates a fleet with `east` workers `e0`, `e1` and so on, and `west` workers `w0`, `w1` and so on, in the pool `p`.
fn fleet(east: usize, west: usize, faults: Faults, seed: u64) -> Simulation {
    let entries = |count, letter, name| {
        (0..count).map(move |number| worker_in(name, &format!("{letter}{number}"), "p"))
    };
    let workers = entries(east, "e", "east").chain(entries(west, "w", "west")).collect();
    Simulation::with_workers(single_queue_config("spare", 0), workers, faults, seed)
}

/// Returns the times of the starts in the east from a time on.
fn starts_in_the_east(sim: &Simulation, from: Instant) -> Vec<Instant> {
    let starts =
        sim.starts.iter().filter(|(at, worker, ..)| *at >= from && worker.starts_with('e'));
    starts.map(|(at, ..)| *at).collect()
}

/// Submits a job of short tasks each 100 ms for some time.
fn run_with_load(sim: &mut Simulation, name: &str, time: Duration) {
    for number in 0..time.as_millis() / 100 {
        sim.submit(submission(
            &format!("{name}{number}"),
            vec![step(3, 250), Step { after: vec![0], ..step(1, 150) }],
        ));
        sim.run(ms(100));
    }
}

// Guards against a start in an evacuated data centre under load, with lost answers, late orders, failed tasks, a restarted
// worker and a successor, and against tasks that are lost or run twice because of it.
#[test]
fn no_task_starts_in_an_evacuated_data_centre() {
    let faults = Faults {
        lost_acks: 0.03,
        late_orders: 0.01,
        lost_reports: 0.05,
        failed_tasks: 0.02,
        late_answers: 0.05,
        ..Faults::default()
    };
    for seed in 0..8 {
        let mut sim = fleet(4, 6, faults, seed);
        run_with_load(&mut sim, "before", ms(2_000));
        assert!(!starts_in_the_east(&sim, sim.now - ms(500)).is_empty(), "the east works");
        sim.engine.set_evacuations(&set(&["east"]), sim.now);
        let set_at = sim.now;
        run_with_load(&mut sim, "during", ms(3_000));
        sim.restart("e0");
        run_with_load(&mut sim, "crash", ms(1_000));
        sim.take_over();
        sim.engine.set_evacuations(&set(&["east"]), sim.now);
        run_with_load(&mut sim, "successor", ms(6_000));
        let late = starts_in_the_east(&sim, set_at + EVACUATE_TIME);
        assert_eq!(late, Vec::<Instant>::new(), "seed {seed}");
        sim.engine.set_evacuations(&set(&[]), sim.now);
        let lifted_at = sim.now;
        run_with_load(&mut sim, "after", ms(3_000));
        assert!(!starts_in_the_east(&sim, lifted_at).is_empty(), "seed {seed}: the east returns");
        sim.run(ms(40_000));
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        let open = sim.engine.jobs.values().filter(|job| !job.phase.is_ended()).count();
        assert_eq!(open, 0, "seed {seed}: jobs are lost");
    }
}

// Guards against a gang of which some members start in the evacuated data centre, or that starts in part.
#[test]
fn gang_starts_outside_the_evacuated_data_centre_or_not_at_all() {
    let mut sim = fleet(4, 1, Faults::default(), 1);
    sim.run(ms(500));
    sim.engine.set_evacuations(&set(&["east"]), sim.now);
    sim.submit(submission("wide", vec![Step { gang: true, ..step(8, 300) }]));
    sim.submit(submission("narrow", vec![Step { gang: true, ..step(4, 300) }]));
    sim.run(ms(2_000));
    assert!(
        sim.starts.iter().all(|(_, worker, task, _)| &**worker == "w0" && &*task.job == "narrow")
    );
    assert_eq!(sim.starts.len(), 4);
    sim.engine.set_evacuations(&set(&[]), sim.now);
    sim.run(RETURN_TIME + ms(1_000));
    assert_eq!(sim.starts.len(), 12, "the wide gang starts after the lift");
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Returns a service of four tasks of which one may be unavailable.
fn service() -> Step {
    Step { long_running: true, unavailable_max: 1, per_worker_max: 1, ..step(4, 0) }
}

/// Returns the runs of a job in each data centre: east, then west.
fn runs_by_data_centre(sim: &Simulation, job: &str) -> (usize, usize) {
    let count = |letter: char| {
        let workers = sim.workers.values().filter(|worker| worker.entry.id.starts_with(letter));
        workers.flat_map(|w| &w.runs).filter(|run| &*run.task.job == job).count()
    };
    (count('e'), count('w'))
}

/// Starts the service on four workers in the east, while the west is evacuated.
fn fleet_with_service_in_the_east(west: usize) -> Simulation {
    let mut sim = fleet(4, west, Faults::default(), 1);
    for worker in sim.workers.values_mut() {
        worker.checkpoint = "checkpoint".to_owned();
    }
    sim.engine.set_evacuations(&set(&["west"]), sim.now);
    sim.submit(submission("service", vec![service()]));
    sim.run(ms(4_000));
    assert_eq!(runs_by_data_centre(&sim, "service"), (4, 0));
    sim
}

// Guards against an evacuation that interrupts more tasks of a service than its step allows, or loses their checkpoints.
#[test]
fn long_running_tasks_move_within_their_limit_of_unavailable_tasks() {
    let mut sim = fleet_with_service_in_the_east(4);
    sim.engine.set_evacuations(&set(&["east"]), sim.now);
    let mut fewest = usize::MAX;
    for _ in 0..3_000 {
        sim.run(TICK);
        let (east, west) = runs_by_data_centre(&sim, "service");
        fewest = fewest.min(east + west);
    }
    assert_eq!(runs_by_data_centre(&sim, "service"), (0, 4));
    assert!(fewest >= 3, "{fewest} tasks of the service are left");
    let key = sim.engine.job_key("service").expect("the job was accepted");
    for index in 0..4 {
        let task = TaskRef { job: key, occurrence: 0, step: 0, index };
        let task = sim.engine.jobs[key].task(&task).expect("the task exists");
        assert_eq!(task.checkpoint, "checkpoint");
    }
    let events = sim.engine.take_evacuation_events();
    let cleared = |event: &EvacuationEvent| matches!(event, EvacuationEvent::Cleared { data_centre, .. } if &**data_centre == "east");
    assert_eq!(events.iter().filter(|event| cleared(event)).count(), 1, "{events:?}");
    assert_eq!(sim.violations, Vec::<String>::new());
}

// Guards against a service that is interrupted although no worker outside the data centre can take its tasks, and against one
// that stays for good because short jobs take each free place outside.
#[test]
fn long_running_task_is_stopped_only_if_it_can_run_elsewhere() {
    let mut alone = fleet_with_service_in_the_east(0);
    alone.engine.set_evacuations(&set(&["east"]), alone.now);
    alone.run(ms(10_000));
    assert_eq!(alone.starts.len(), 4, "the tasks are not interrupted");
    assert_eq!(runs_by_data_centre(&alone, "service"), (4, 0));

    let mut busy = fleet_with_service_in_the_east(4);
    busy.engine.set_evacuations(&set(&["east"]), busy.now);
    for number in 0..200 {
        busy.submit(submission(&format!("short{number}"), vec![step(8, 400)]));
        busy.run(ms(100));
    }
    assert_eq!(runs_by_data_centre(&busy, "service"), (0, 4));
    assert_eq!(busy.violations, Vec::<String>::new());
}

// Guards against a job that is accepted although all workers are in an evacuated data centre, and against one that is refused
// although the standby pool has an instance elsewhere.
#[test]
fn submission_that_only_evacuated_workers_could_run_is_refused() {
    let mut sim = fleet(3, 0, Faults::default(), 1);
    sim.submit(submission("accepted", vec![step(2, 200)]));
    sim.engine.set_evacuations(&set(&["east"]), sim.now);
    let (job, settings, now) = (submission("new", vec![step(2, 200)]), queue_settings(), sim.now);
    assert!(matches!(sim.engine.admit(&job, &settings, now), Admission::Evacuated { .. }));
    sim.run(ms(8_000));
    assert_eq!(sim.starts.len(), 0, "the accepted job waits");
    let mut with_standby = sim.engine.clone();
    let standby = Instance { worker: None, ..instance("", "spare") };
    with_standby.instances.insert("m".into(), standby);
    assert_eq!(with_standby.admit(&job, &settings, sim.now), Admission::Accept);
    sim.engine.set_evacuations(&set(&[]), sim.now);
    assert_eq!(sim.engine.admit(&job, &settings, sim.now), Admission::Accept);
    sim.run(ms(4_000));
    let key = sim.engine.job_key("accepted").expect("the job was accepted");
    assert_eq!(sim.engine.jobs[key].phase, Phase::Done);
}

/// Returns an engine with two instances of the pool `p` in each data centre, and standby instances without workers: `known`,
/// which had a worker in the east, `rack`, on the rack of a worker in the east, and `other`.
fn engine_with_standby(now: Instant) -> Engine {
    let mut engine = Engine::new(limits(), 1);
    engine.apply_config(&single_queue_config("spare", 0));
    let mut instances = std::collections::BTreeMap::new();
    for (data_centre, id) in [("east", "e0"), ("east", "e1"), ("west", "w0"), ("west", "w1")] {
        engine.upsert_worker(worker_in(data_centre, id, "p"), now);
        instances.insert(InstanceId::from(format!("m-{id}")), instance(id, "p"));
    }
    engine.upsert_worker(worker_in("east", "gone", "p"), now);
    instances.insert("known".into(), instance("gone", "p"));
    engine.apply_instance_list(instances.clone(), now, now, &mut Vec::new());
    let off = Instance { state: InstanceState::Down, worker: None, ..instance("", "spare") };
    instances.insert("known".into(), off.clone());
    let labels = vec!["a".to_owned(), "r1-e0".to_owned()];
    instances.insert("rack".into(), Instance { labels, ..off.clone() });
    instances.insert("other".into(), off);
    engine.mark_worker_unlisted("gone");
    engine.apply_instance_list(instances, now, now, &mut Vec::new());
    engine
}

// Guards against pools that are refilled with instances of the evacuated data centre, or not at all, and against moves of
// instances out of it.
#[test]
fn pools_are_refilled_from_other_data_centres() {
    let now = Instant::now();
    let mut engine = engine_with_standby(now);
    engine.set_evacuations(&set(&["east"]), now);
    engine.record_offered_work(&"p".into(), 4_000.0 * 20_000.0, now);
    let moved = |engine: &mut Engine, now| -> Vec<InstanceId> {
        let orders = engine.plan_moves(now).into_iter();
        orders
            .filter_map(|order| match order {
                FleetOrder::Move { instance, .. } => Some(instance),
                _ => None,
            })
            .collect()
    };
    assert_eq!(moved(&mut engine, now), [InstanceId::from("other")]);
    // The load ends, and the surplus of the pool goes to standby after its delay.
    let mut later = Vec::new();
    for second in 20..30 {
        later.extend(moved(&mut engine, now + Duration::from_secs(second)));
    }
    assert!(!later.iter().any(|id| id.starts_with("m-e")), "{later:?}");
    engine.set_evacuations(&set(&[]), now);
    engine.record_offered_work(&"p".into(), 4_000.0 * 200_000.0, now);
    let mut lifted = moved(&mut engine, now);
    lifted.sort();
    // The first move never took effect, so that its instance is in standby again.
    assert_eq!(lifted, ["known", "other", "rack"].map(InstanceId::from));
}

// Guards against all workers of a data centre, which may be cold, returning at once, and against a return without end.
#[test]
fn workers_return_one_after_another() {
    const WORKERS: usize = 10;
    let mut sim = fleet(WORKERS, 1, Faults::default(), 1);
    sim.run(ms(500));
    sim.engine.set_evacuations(&set(&["east"]), sim.now);
    sim.run(ms(500));
    sim.engine.set_evacuations(&set(&[]), sim.now);
    let lifted_at = sim.now;
    let (mut usable, mut most_at_once) = (0, 0);
    while usable < WORKERS {
        sim.run(TICK);
        let workers = sim.engine.workers.values().filter(|worker| worker.entry.id.starts_with('e'));
        let now_usable = workers.filter(|w| sim.engine.is_usable(w, sim.now)).count();
        most_at_once = most_at_once.max(now_usable.saturating_sub(usable));
        usable = now_usable;
        assert!(sim.now < lifted_at + RETURN_TIME + ms(100), "only {usable} have returned");
    }
    assert_eq!(most_at_once, 1);
    sim.run(RETURN_TIME);
    assert_eq!(sim.engine.take_returned_workers(), WORKERS);
    let last = sim.engine.take_evacuation_events().pop();
    let returned = EvacuationEvent::Returned { data_centre: "east".into(), workers: WORKERS };
    assert_eq!(last, Some(returned));
}

// Guards against a change where no row is set: each start of a history is the same with and without data centres.
#[test]
fn without_an_evacuation_the_data_centre_changes_no_start() {
    let starts = |data_centres: [&str; 2]| -> Vec<(Duration, InstanceId, TaskName)> {
        let entry = |number: usize| worker_in(data_centres[number % 2], &format!("e{number}"), "p");
        let workers = (0..6).map(entry).collect();
        let config = single_queue_config("spare", 0);
        let mut sim = Simulation::with_workers(config, workers, Faults::default(), 3);
        let begin = sim.now;
        run_with_load(&mut sim, "job", ms(3_000));
        sim.starts.into_iter().map(|(at, worker, task, _)| (at - begin, worker, task)).collect()
    };
    assert_eq!(starts(["dc", "dc"]), starts(["east", "west"]));
}
