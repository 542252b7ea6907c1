//! Bursts: one queue after another submits four times its mean load for some seconds, and a twentieth of its
//! mean during the bursts of the others.
//!
//! A job waits while its pool has too few instances; the cost is the time that instances spend in pools.
//! The baseline is a static assignment, in which no instance changes its pool.

use std::time::{Duration, Instant};

use wasabiswitch_policy::fleet::spec::{ResourceVector, Step, Submission};
use wasabiswitch_policy::ids::JobId;

use crate::simulation::{Simulation, submission};

/// Length of the burst of one queue.
const BURST: Duration = Duration::from_millis(4_500);
/// Number of queues; each has one burst.
const QUEUES: usize = 4;

/// Load of one queue during its burst.
#[derive(Clone, Copy)]
struct Load {
    jobs_per_s: f64,
    tasks: u32,
    cpu_milli: u64,
    task_ms: u64,
    steps: u32,
}

/// Result of a simulated load.
struct Outcome {
    /// Number of jobs submitted.
    jobs: usize,
    /// Number of jobs that met their objective.
    in_time: usize,
    /// Time that instances spent in charged pools, in seconds.
    charged_s: f64,
    moves: usize,
}

fn job(id: &str, queue: usize, load: Load) -> Submission {
    let step = |number: u32| Step {
        count: load.tasks,
        resources: ResourceVector { cpu_milli: load.cpu_milli, memory_mib: 1_000, accelerators: 0 },
        estimate_ms: load.task_ms,
        after: if number == 0 { Vec::new() } else { vec![number - 1] },
        ..Step::default()
    };
    let steps = (0..load.steps).map(step).collect();
    Submission { queue: format!("q{queue}").into(), ..submission(id, steps) }
}

/// Runs one burst of each queue, after four seconds without load; without `moves`, the assignment is static.
fn run_bursts(sim: &mut Simulation, load: Load, moves: bool) -> Outcome {
    if !moves {
        sim.instance_service = Default::default();
    }
    let instances = 5 * 20;
    sim.run(Duration::from_secs(4));
    let (moves_before, charged_before, start) =
        (sim.instance_service.moves, sim.instance_service.charged_s, sim.now);
    let mut submitted: Vec<(JobId, Instant)> = Vec::new();
    let tick = Duration::from_millis(10);
    while sim.now < start + BURST * QUEUES as u32 {
        let active_queue = ((sim.now - start).as_secs_f64() / BURST.as_secs_f64()) as usize;
        for queue in 0..QUEUES {
            let rate = if queue == active_queue { 1.0 } else { 0.0125 };
            if sim.rng.f64() < load.jobs_per_s * rate * tick.as_secs_f64() {
                let job = job(&format!("j{}", submitted.len()), queue, load);
                let queue_settings = sim.engine.queues[&job.queue].clone();
                sim.engine.admit(&job, &queue_settings, sim.now);
                submitted.push((job.job.clone(), sim.now));
                sim.submit(job);
            }
        }
        sim.run(tick);
    }
    sim.run(Duration::from_secs(8));
    let elapsed_s = (sim.now - start).as_secs_f64();
    let in_time = submitted.iter().filter(|(id, _)| sim.met_objective(id));
    Outcome {
        jobs: submitted.len(),
        in_time: in_time.count(),
        charged_s: if moves {
            sim.instance_service.charged_s - charged_before
        } else {
            elapsed_s * (instances - 20) as f64
        },
        moves: sim.instance_service.moves - moves_before,
    }
}

/// Short jobs with which a queue keeps about 40 of the 100 instances busy in its burst: twice its own pool.
const SHORT_JOB_LOAD: Load =
    Load { jobs_per_s: 26.0, tasks: 8, cpu_milli: 3_100, task_ms: 1_000, steps: 2 };

#[test]
fn instances_follow_the_bursts() {
    let mut sim = Simulation::with_instances(QUEUES, 20, 1);
    sim.engine.limits.instance_calls_per_s = 215;
    let dynamic = run_bursts(&mut sim, SHORT_JOB_LOAD, true);
    assert_eq!(sim.violations, Vec::<String>::new());
    let mut sim = Simulation::with_instances(QUEUES, 20, 1);
    let fixed = run_bursts(&mut sim, SHORT_JOB_LOAD, false);
    let ratio = |outcome: &Outcome| outcome.in_time as f64 / outcome.jobs as f64;
    println!(
        "in time {:.3} of {} with {:.0} s charged and {} moves; static assignment {:.3} with {:.0} s",
        ratio(&dynamic),
        dynamic.jobs,
        dynamic.charged_s,
        dynamic.moves,
        ratio(&fixed),
        fixed.charged_s
    );
    // The fleet has enough capacity for the load at any time, and a move takes less than the slack of a job.
    assert!(ratio(&dynamic) >= 0.8);
    assert!(ratio(&dynamic) > 2.0 * ratio(&fixed));
    assert!(dynamic.charged_s < fixed.charged_s);
}

#[test]
fn idle_pool_keeps_a_worker_for_each_task_of_a_wide_long_running_step() {
    let mut sim = Simulation::with_instances(QUEUES, 20, 1);
    // The users' widest step has 38 tasks, at most one on each worker.
    let step = Step {
        count: 38,
        resources: ResourceVector { cpu_milli: 4_000, memory_mib: 1_000, accelerators: 0 },
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
