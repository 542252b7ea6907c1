//! Head-of-line blocking: a short job is submitted to a pool whose workers are full of long tasks, while other
//! instances are in standby.
//!
//! An estimate in order of arrival would refuse the short job for as long as the long tasks run, although it is
//! served before them and the pool grows for it within the time of a move.

use std::time::Duration;

use wasabiswitch_policy::fleet::admission::Admission;
use wasabiswitch_policy::fleet::spec::{ResourceVector, Step, Submission};

use crate::simulation::{Simulation, submission};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns a job of two steps, each of `tasks` tasks of four cores.
fn job(id: &str, tasks: u32, estimate_ms: u64) -> Submission {
    let step = |after| Step {
        count: tasks,
        resources: ResourceVector { cpu_milli: 4_000, memory_mib: 1_000, accelerators: 0 },
        estimate_ms,
        after,
        ..Step::default()
    };
    let steps = vec![step(Vec::new()), step(vec![0])];
    Submission { queue: "q0".into(), ..submission(id, steps) }
}

/// Returns a fleet whose first pool is full of long tasks; with `standby`, instances remain in the standby pool.
fn full_pool(standby: bool) -> Simulation {
    let mut sim = Simulation::with_instances(4, 20, 1);
    sim.run(ms(4_000));
    // An idle pool has two instances of 32 cores, which 16 tasks fill; 800 tasks fill all hundred instances.
    let tasks = if standby { 16 } else { 800 };
    sim.submit(job("long", tasks, 6_000));
    sim.run(ms(3_000));
    sim
}

fn admit(sim: &mut Simulation, job: &Submission) -> Admission {
    let queue_settings = sim.engine.queues[&job.queue].clone();
    sim.engine.admit(job, &queue_settings, sim.now)
}

#[test]
fn short_job_is_accepted_and_done_soon_while_instances_are_in_standby() {
    let mut sim = full_pool(true);
    let short = job("short", 8, 300);
    assert_eq!(admit(&mut sim, &short), Admission::Accept);
    let start = sim.now;
    sim.submit(short);
    sim.run(ms(6_000));
    let ended = sim.engine.jobs[sim.engine.job_key("short").expect("the job was accepted")].ended;
    // The objective is 1.6 times the longest chain of 0.6 s, plus 0.6 s; a job is accepted if its estimate is
    // at most twice that.
    let took = ended.expect("the job has ended") - start;
    assert!(took <= 2 * ms(1_560), "the job took {took:?}");
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn short_job_is_refused_while_all_instances_are_full_of_long_tasks() {
    let mut sim = full_pool(false);
    assert!(matches!(admit(&mut sim, &job("short", 8, 300)), Admission::TooLate { .. }));
}
