//! A short job comes to a pool whose workers are full of long tasks, while other instances stand by.
//!
//! Who is refused by an estimate in the order of arrival is the short job, for as long as the long ones last, though
//! it goes before them and the pool grows for it within a move.

use std::time::Duration;

use wasabiswitch_policy::fleet::admission::Admission;
use wasabiswitch_policy::fleet::spec::{Amount, Step, Submission};

use crate::simulation::{Simulation, submission};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns a job of two steps of so many tasks of four cores.
fn job(id: &str, tasks: u32, estimate_ms: u64) -> Submission {
    let step = |after| Step {
        count: tasks,
        amount: Amount { cpu_milli: 4_000, memory_mib: 1_000, accelerators: 0 },
        estimate_ms,
        after,
        ..Step::default()
    };
    let steps = vec![step(Vec::new()), step(vec![0])];
    Submission { queue: "q0".into(), ..submission(id, steps) }
}

/// Returns a fleet whose first pool is full of long tasks, with `parked` saying whether instances stand by.
fn full_pool(parked: bool) -> Simulation {
    let mut sim = Simulation::with_instances(4, 20, 1);
    sim.run(ms(4_000));
    // Two instances of 32 cores are what a quiet pool has, and a hundred is what there is.
    let tasks = if parked { 16 } else { 800 };
    sim.submit(job("long", tasks, 6_000));
    sim.run(ms(3_000));
    sim
}

fn admit(sim: &mut Simulation, job: &Submission) -> Admission {
    let terms = sim.engine.queues[&job.queue].clone();
    sim.engine.admit(job, &terms, sim.now)
}

#[test]
fn a_short_job_is_accepted_where_instances_stand_by_and_is_done_soon() {
    let mut sim = full_pool(true);
    let short = job("short", 8, 300);
    assert_eq!(admit(&mut sim, &short), Admission::Accept);
    let begun = sim.now;
    sim.submit(short);
    sim.run(ms(6_000));
    let done = sim.engine.jobs[sim.engine.job_key("short").expect("it was accepted")].ended;
    // The objective is 1.6 times the chain of 0.6 s and 0.6 s; up to twice that a job is accepted.
    let took = done.expect("it is done") - begun;
    assert!(took <= 2 * ms(1_560), "it took {took:?}");
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn a_short_job_is_refused_where_all_instances_are_full_of_long_tasks() {
    let mut sim = full_pool(false);
    assert!(matches!(admit(&mut sim, &job("short", 8, 300)), Admission::TooLate { .. }));
}
