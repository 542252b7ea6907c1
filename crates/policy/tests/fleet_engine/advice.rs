//! Queues whose steps start only with tickets of an advice service, which works on one call at a time.

use std::time::Duration;

use wasabiswitch_policy::fleet::advice::{AdviceOutcome, CALLS_MAX};
use wasabiswitch_policy::fleet::plan::Order;
use wasabiswitch_policy::fleet::state::Phase;
use wasabiswitch_standin::fleet::advice::AdviceQueue;

use crate::simulation::{Faults, Simulation, queue_settings, step, submission};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Number of workers; all of them are allowed.
const WORKERS: usize = 8;
/// Pause between two jobs in the usual traffic and in a burst.
const USUAL_PAUSE: Duration = ms(1_250);
const BURST_PAUSE: Duration = ms(480);

/// Creates a fleet whose queue has an advice service that takes 0.2 s for a call and 0.1 s for each worker.
fn advised_fleet(seed: u64) -> Simulation {
    let mut sim = Simulation::new(WORKERS, 0, Faults::default(), seed);
    let mut queue_settings = queue_settings();
    queue_settings.requires_advice = true;
    sim.engine.queues.insert("q".into(), queue_settings);
    sim.advice_queue = Some(AdviceQueue::new(ms(200), ms(100), ms(3_000)));
    sim.run(ms(1_000));
    sim
}

/// Submits jobs of four short tasks for a time, with a pause between two.
fn submit_for(sim: &mut Simulation, time: Duration, pause: Duration, prefix: &str) {
    let until = sim.now + time;
    let mut number = 0;
    while sim.now < until {
        sim.submit(submission(&format!("{prefix}-{number}"), vec![step(4, 300)]));
        number += 1;
        sim.run(pause);
    }
}

/// Returns the jobs that are not done.
fn open_jobs(sim: &Simulation) -> Vec<String> {
    let open = sim.engine.jobs.values().filter(|job| job.visible_phase != Phase::Done);
    open.map(|job| job.submission.job.to_string()).collect()
}

// Accepted jobs never started: after a burst every call for advice was given up before the service came to it, and sent again behind
// itself, so that the service worked only on calls whose answers nobody used.
#[test]
fn burst_of_calls_for_advice_starves_no_step() {
    for seed in 1..=5 {
        let mut sim = advised_fleet(seed);
        submit_for(&mut sim, ms(10_000), USUAL_PAUSE, "before");
        submit_for(&mut sim, ms(4_000), BURST_PAUSE, "burst");
        submit_for(&mut sim, ms(16_000), USUAL_PAUSE, "after");
        sim.run(ms(14_000));
        assert_eq!(open_jobs(&sim), Vec::<String>::new(), "seed {seed}");
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Longest time of service of a call of [`advised_fleet`], for all workers.
const FULL_CALL: Duration = ms(1_000);

// Guards against a time limit that a slow service never meets: calls that took longer than the limit were sent again for ever.
#[test]
fn answers_of_a_service_that_is_slower_than_usual_are_used() {
    let mut sim = advised_fleet(1);
    let queue = sim.advice_queue.as_mut().expect("there is an advice service");
    (queue.decide_time, queue.ticket_validity) = (ms(3_500), ms(5_000));
    submit_for(&mut sim, ms(4_000), ms(2_000), "slow");
    sim.run(ms(26_000));
    assert_eq!(open_jobs(&sim), Vec::<String>::new());
}

// Guards against calls that pile up at a service which has stopped to answer, and which works on all of them when it goes on.
#[test]
fn service_that_stops_for_a_while_finds_few_calls_when_it_goes_on() {
    let mut sim = advised_fleet(1);
    submit_for(&mut sim, ms(5_000), USUAL_PAUSE, "before");
    sim.advice_queue.as_mut().expect("there is an advice service").is_stalled = true;
    submit_for(&mut sim, ms(10_000), USUAL_PAUSE, "meanwhile");
    let queue = sim.advice_queue.as_mut().expect("there is an advice service");
    queue.is_stalled = false;
    // Two calls, and those that were given up within the ten seconds: each holds its place for two seconds at least.
    assert!(queue.most_calls <= CALLS_MAX + 5, "{} calls", queue.most_calls);
    submit_for(&mut sim, ms(5_000), USUAL_PAUSE, "after");
    sim.run(ms(14_000));
    assert_eq!(open_jobs(&sim), Vec::<String>::new());
}

// Guards against an owner that floods a service which refuses calls, and against one that does not come back to it.
#[test]
fn refused_calls_are_repeated_ever_more_slowly() {
    let mut sim = advised_fleet(1);
    sim.submit(submission("a", vec![step(4, 300)]));
    let (mut calls, until) = (0, sim.now + ms(10_000));
    while sim.now < until {
        sim.now += ms(20);
        for order in sim.engine.plan(sim.now, &mut Vec::new()) {
            let Order::Advise { step, workers, .. } = order else { continue };
            calls += 1;
            sim.engine.apply_advice(&step, &workers, AdviceOutcome::Failed, sim.now);
        }
        // The workers stay in contact.
        for key in sim.engine.workers.keys().collect::<Vec<_>>() {
            sim.poll_worker(key, false);
        }
    }
    assert!((5..=15).contains(&calls), "{calls} calls in ten seconds");
    sim.run(ms(5_000));
    assert_eq!(open_jobs(&sim), Vec::<String>::new());
}

/// Returns the orders for calls that a plan sends now.
fn advise_orders(sim: &mut Simulation) -> Vec<Order> {
    let orders = sim.engine.plan(sim.now, &mut Vec::new()).into_iter();
    orders.filter(|order| matches!(order, Order::Advise { .. })).collect()
}

// Guards against calls for jobs that nobody waits for, which delay those that someone does.
#[test]
fn cancelled_job_leaves_the_queue_of_steps_that_wait_for_a_call() {
    let mut sim = advised_fleet(1);
    for number in 0..5 {
        sim.submit(submission(&format!("job-{number}"), vec![step(4, 300)]));
    }
    assert_eq!(advise_orders(&mut sim).len(), CALLS_MAX);
    assert_eq!(sim.engine.advice_load(sim.now).waiting, 5 - CALLS_MAX);
    for number in 0..5 {
        sim.engine.cancel(&format!("job-{number}"), sim.now);
    }
    assert_eq!(advise_orders(&mut sim), Vec::new());
    assert_eq!(sim.engine.advice_load(sim.now).waiting, 0);
}

// Guards against a call for a whole pool in which one worker would do: the service takes time for each worker.
#[test]
fn call_names_as_many_workers_as_the_tasks_need() {
    let mut sim = advised_fleet(1);
    sim.submit(submission("a", vec![step(2, 300)]));
    let [Order::Advise { workers, .. }] = &advise_orders(&mut sim)[..] else {
        panic!("the service is called");
    };
    assert!(workers.len() < WORKERS, "the call names {} workers", workers.len());
    let mut sim = advised_fleet(1);
    sim.submit(submission("a", vec![step(40, 300)]));
    let [Order::Advise { workers, .. }] = &advise_orders(&mut sim)[..] else {
        panic!("the service is called");
    };
    assert_eq!(workers.len(), WORKERS, "the tasks need more than all workers");
}

// Guards against a limit that counts the time for which a call waits behind another one.
#[test]
fn time_of_a_call_counts_from_the_end_of_the_one_before() {
    let mut sim = advised_fleet(1);
    sim.submit(submission("a", vec![step(4, 300)]));
    sim.submit(submission("b", vec![step(4, 300)]));
    let orders = advise_orders(&mut sim);
    let [Order::Advise { step: first, workers, .. }, Order::Advise { step: second, .. }] =
        &orders[..]
    else {
        panic!("two calls are sent: {orders:?}");
    };
    let limit = sim.engine.advice_time_left(first, sim.now).expect("the call is under way");
    let answered = sim.now + limit - ms(1);
    assert_eq!(sim.engine.advice_time_left(first, sim.now + limit), Some(Duration::ZERO));
    assert_ne!(sim.engine.advice_time_left(second, sim.now + limit), Some(Duration::ZERO));
    let outcome = AdviceOutcome::Answered { grants: Vec::new(), validity: FULL_CALL };
    sim.engine.apply_advice(first, workers, outcome, answered);
    assert_eq!(sim.engine.advice_time_left(first, answered), None);
    let left = sim.engine.advice_time_left(second, answered).expect("the call is under way");
    assert!(left >= limit, "the call has not been served yet: {left:?}");
}
