//! Late backlog: the burst of a second queue begins while a first queue, which submitted more than the whole fleet
//! can run, still has a backlog.
//!
//! If the backlog kept its instances, all jobs of the second queue would wait, although the jobs of the first queue
//! miss their objectives in either case.

use std::time::Duration;

use wasabiswitch_policy::fleet::admission::Admission;
use wasabiswitch_policy::fleet::spec::{ResourceVector, Step, Submission};

use crate::simulation::{Simulation, submission};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Length of the burst of one queue.
const BURST: Duration = ms(4_500);
/// Time into the second burst after which its jobs can be in time: a task ends, an instance moves, and some slack.
const MOVE_DELAY: Duration = ms(3_000);

/// Returns a job of two steps, each of eight tasks that run for a second.
fn job(id: &str, queue: &str) -> Submission {
    let step = |after| Step {
        count: 8,
        resources: ResourceVector { cpu_milli: 3_100, memory_mib: 1_000, accelerators: 0 },
        estimate_ms: 1_000,
        after,
        ..Step::default()
    };
    let steps = vec![step(Vec::new()), step(vec![0])];
    Submission { queue: queue.into(), ..submission(id, steps) }
}

#[test]
fn late_backlog_yields_its_instances_to_jobs_that_can_be_in_time() {
    let mut sim = Simulation::with_instances(2, 20, 1);
    sim.engine.limits.instance_calls_per_s = 215;
    sim.run(ms(4_000));
    let start = sim.now;
    let mut second = Vec::new();
    let mut number = 0;
    while sim.now < start + 2 * BURST {
        let elapsed = sim.now - start;
        // Sixty instances can run 38 such jobs a second; the first queue submits twice that, the second half.
        let (queue, per_s) = if elapsed < BURST { ("q0", 76.0) } else { ("q1", 19.0) };
        if sim.rng.f64() < per_s * 0.01 {
            number += 1;
            let id = format!("j{number}");
            let job = job(&id, queue);
            let queue_settings = sim.engine.queues[&job.queue].clone();
            if sim.engine.admit(&job, &queue_settings, sim.now) == Admission::Accept {
                sim.submit(job);
                if elapsed > BURST + MOVE_DELAY {
                    second.push(id);
                }
            }
        }
        sim.run(ms(10));
    }
    sim.run(ms(20_000));
    assert_eq!(sim.violations, Vec::<String>::new());
    let in_time = second.iter().filter(|id| sim.met_objective(id)).count();
    println!("{in_time} of {} in time", second.len());
    assert!(second.len() > 10, "jobs of the second burst are accepted");
    assert!(in_time as f64 >= 0.8 * second.len() as f64);
    // The backlog is done as well, once the second burst leaves capacity for it.
    let ended = sim.engine.jobs.values().filter(|job| job.ended.is_some()).count();
    assert_eq!(ended, sim.engine.jobs.len());
}
