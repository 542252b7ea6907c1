//! Turns of the queues: one queue after the other asks four times its mean for some seconds, and a
//! twentieth of that in between.
//!
//! Who waits is a job whose pool has too few instances yet; what it costs is the time that instances
//! spend in pools. The naive policy beside it leaves every instance where it is.

use std::time::{Duration, Instant};

use wasabiswitch_policy::fleet::spec::{Amount, Step, Submission};
use wasabiswitch_policy::ids::JobId;

use crate::simulation::{Simulation, submission};

/// How long a turn lasts.
const TURN: Duration = Duration::from_millis(4_500);
/// The queues, and the turns that each has.
const QUEUES: usize = 4;

/// The load of one queue in its turn.
#[derive(Clone, Copy)]
struct Load {
    jobs_per_s: f64,
    tasks: u32,
    cpu_milli: u64,
    task_ms: u64,
    steps: u32,
}

/// What a played load came to.
struct Played {
    jobs: usize,
    in_time: usize,
    paid_s: f64,
    moves: usize,
}

fn job(id: &str, queue: usize, load: Load) -> Submission {
    let step = |number: u32| Step {
        count: load.tasks,
        amount: Amount { cpu_milli: load.cpu_milli, memory_mib: 1_000, accelerators: 0 },
        estimate_ms: load.task_ms,
        after: if number == 0 { Vec::new() } else { vec![number - 1] },
        ..Step::default()
    };
    let steps = (0..load.steps).map(step).collect();
    Submission { queue: format!("q{queue}").into(), ..submission(id, steps) }
}

/// Plays the turns of all queues, after some seconds without load.
fn play(sim: &mut Simulation, load: Load, moves: bool) -> Played {
    if !moves {
        sim.machine_service = Default::default();
    }
    let instances = 5 * 20;
    sim.run(Duration::from_secs(4));
    let (moved_before, paid_before, begun) =
        (sim.machine_service.moves, sim.machine_service.paid_s, sim.now);
    let mut submitted: Vec<(JobId, Instant)> = Vec::new();
    let tick = Duration::from_millis(10);
    while sim.now < begun + TURN * QUEUES as u32 {
        let turn = ((sim.now - begun).as_secs_f64() / TURN.as_secs_f64()) as usize;
        for queue in 0..QUEUES {
            let part = if queue == turn { 1.0 } else { 0.0125 };
            if sim.rng.f64() < load.jobs_per_s * part * tick.as_secs_f64() {
                let job = job(&format!("j{}", submitted.len()), queue, load);
                let terms = sim.engine.queues[&job.queue].clone();
                sim.engine.admit(&job, &terms, sim.now);
                submitted.push((job.job.clone(), sim.now));
                sim.submit(job);
            }
        }
        sim.run(tick);
    }
    sim.run(Duration::from_secs(8));
    let played_s = (sim.now - begun).as_secs_f64();
    let in_time = submitted.iter().filter(|(id, _)| sim.met_objective(id));
    Played {
        jobs: submitted.len(),
        in_time: in_time.count(),
        paid_s: if moves {
            sim.machine_service.paid_s - paid_before
        } else {
            played_s * (instances - 20) as f64
        },
        moves: sim.machine_service.moves - moved_before,
    }
}

/// A queue in its turn keeps about 40 of 100 instances busy, twice its own pool.
const SHORT_JOBS: Load =
    Load { jobs_per_s: 26.0, tasks: 8, cpu_milli: 3_100, task_ms: 1_000, steps: 2 };

#[test]
fn instances_follow_the_turns() {
    let mut sim = Simulation::with_instances(QUEUES, 20, 1);
    sim.engine.limits.instance_calls_per_s = 215;
    let followed = play(&mut sim, SHORT_JOBS, true);
    assert_eq!(sim.violations, Vec::<String>::new());
    let mut sim = Simulation::with_instances(QUEUES, 20, 1);
    let stayed = play(&mut sim, SHORT_JOBS, false);
    let part = |played: &Played| played.in_time as f64 / played.jobs as f64;
    println!(
        "in time {:.3} of {} with {:.0} s paid and {} moves, naive {:.3} with {:.0} s",
        part(&followed),
        followed.jobs,
        followed.paid_s,
        followed.moves,
        part(&stayed),
        stayed.paid_s
    );
    // The fleet has room for the load at every moment, and a move takes less than a job's slack.
    assert!(part(&followed) >= 0.8);
    assert!(part(&followed) > 2.0 * part(&stayed));
    assert!(followed.paid_s < stayed.paid_s);
}

#[test]
fn a_quiet_pool_keeps_a_worker_for_each_task_of_a_wide_long_running_step() {
    let mut sim = Simulation::with_instances(QUEUES, 20, 1);
    // As wide as the users' widest, one task on each worker.
    let step = Step {
        count: 38,
        amount: Amount { cpu_milli: 4_000, memory_mib: 1_000, accelerators: 0 },
        long_running: true,
        per_worker_max: 1,
        ..Step::default()
    };
    sim.submit(Submission { queue: "q0".into(), ..submission("wide", vec![step]) });
    sim.run(Duration::from_secs(8));
    let running: usize = sim.workers.values().map(|worker| worker.runs.len()).sum();
    assert_eq!(running, 38);
    assert_eq!(sim.violations, Vec::<String>::new());
}
