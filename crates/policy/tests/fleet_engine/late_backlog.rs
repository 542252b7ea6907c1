//! A queue has asked for more than the whole fleet, and the next one has its turn while the first still has a backlog.
//!
//! Who waits, where the backlog keeps its instances, is everyone of the second queue, though the jobs of the first are
//! late already whatever is done.

use std::time::Duration;

use wasabiswitch_policy::fleet::admission::Admission;
use wasabiswitch_policy::fleet::spec::{Amount, Step, Submission};

use crate::simulation::{Simulation, submission};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// How long each turn lasts.
const TURN: Duration = ms(4_500);
/// From when on a job of the second turn can be in time: a task has ended, an instance has moved, and some slack.
const SETTLED: Duration = ms(3_000);

/// Returns a job of two steps of eight tasks of a second.
fn job(id: &str, queue: &str) -> Submission {
    let step = |after| Step {
        count: 8,
        amount: Amount { cpu_milli: 3_100, memory_mib: 1_000, accelerators: 0 },
        estimate_ms: 1_000,
        after,
        ..Step::default()
    };
    let steps = vec![step(Vec::new()), step(vec![0])];
    Submission { queue: queue.into(), ..submission(id, steps) }
}

#[test]
fn a_late_backlog_gives_its_instances_to_a_turn_that_can_be_in_time() {
    let mut sim = Simulation::with_instances(2, 20, 1);
    sim.engine.limits.instance_calls_per_s = 215;
    sim.run(ms(4_000));
    let begun = sim.now;
    let mut second = Vec::new();
    let mut number = 0;
    while sim.now < begun + 2 * TURN {
        let passed = sim.now - begun;
        // Sixty instances run 38 such jobs a second; the first queue asks for twice that, the second for half.
        let (queue, per_s) = if passed < TURN { ("q0", 76.0) } else { ("q1", 19.0) };
        if sim.rng.f64() < per_s * 0.01 {
            number += 1;
            let id = format!("j{number}");
            let job = job(&id, queue);
            let terms = sim.engine.queues[&job.queue].clone();
            if sim.engine.admit(&job, &terms, sim.now) == Admission::Accept {
                sim.submit(job);
                if passed > TURN + SETTLED {
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
    assert!(second.len() > 10, "the second turn is served");
    assert!(in_time as f64 >= 0.8 * second.len() as f64);
    // The backlog is done as well, once the turn leaves room for it.
    let ended = sim.engine.jobs.values().filter(|job| job.ended.is_some()).count();
    assert_eq!(ended, sim.engine.jobs.len());
}
