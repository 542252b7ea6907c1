//! Recurring peaks: queues of different pools peak in turn with a common period, each for a quarter of it, and
//! submit a twentieth of that in between.
//!
//! The cost is the time that instances spend in pools, and the moves, each of which costs about as much as one
//! second of an instance. The service is the number of jobs that meet their objective.

use std::time::Duration;

use fastrand::Rng;
use wasabiswitch_policy::fleet::demand_forecast::DemandForecast;
use wasabiswitch_policy::fleet::spec::{ResourceVector, Step, Submission};
use wasabiswitch_policy::ids::JobId;

use crate::simulation::{Simulation, TICK, submission};

/// Number of queues; each has a pool of its own.
const QUEUES: usize = 4;
/// Instances of each pool, and of the standby pool, at the start.
const POOL_SIZE: usize = 20;
/// Rate of a queue between its peaks, as a part of its rate in a peak.
const RATE_BETWEEN: f64 = 0.05;

/// Jobs of a queue.
#[derive(Clone, Copy)]
struct Load {
    peak_jobs_per_s: f64,
    cpu_milli: u64,
    task_ms: u64,
}

/// Loads that need 35 to 40 of the 100 instances in a peak.
const LOADS: [Load; 4] = [
    Load { peak_jobs_per_s: 80.0, cpu_milli: 900, task_ms: 640 },
    Load { peak_jobs_per_s: 24.0, cpu_milli: 1_800, task_ms: 1_000 },
    Load { peak_jobs_per_s: 90.0, cpu_milli: 900, task_ms: 640 },
    Load { peak_jobs_per_s: 26.0, cpu_milli: 1_800, task_ms: 1_000 },
];

fn job(id: &str, queue: usize) -> Submission {
    let load = LOADS[queue];
    let step = |number: u32| Step {
        count: 8,
        resources: ResourceVector { cpu_milli: load.cpu_milli, memory_mib: 500, accelerators: 0 },
        estimate_ms: load.task_ms,
        after: if number == 0 { Vec::new() } else { vec![number - 1] },
        ..Step::default()
    };
    Submission { queue: format!("q{queue}").into(), ..submission(id, (0..2).map(step).collect()) }
}

/// Result of a simulated load, without its first period.
struct Outcome {
    jobs: usize,
    in_time: usize,
    /// Time that instances spent in charged pools, and the number of moves, each as one second.
    cost_s: f64,
}

impl Outcome {
    fn in_time_ratio(&self) -> f64 {
        self.in_time as f64 / self.jobs as f64
    }
}

/// Runs peaks in turn, `periods` times; without `forecast`, the engine forgets the arrivals at once.
fn run_peaks(period: Duration, periods: u32, forecast: bool, seed: u64) -> Outcome {
    let mut sim = Simulation::with_instances(QUEUES, POOL_SIZE, seed);
    sim.engine.limits.instance_calls_per_s = 215;
    sim.run(Duration::from_secs(3));
    // The load does not depend on what the engine does.
    let mut arrivals = Rng::with_seed(seed);
    let begin = sim.now;
    let cost =
        |sim: &Simulation| sim.instance_service.charged_s + sim.instance_service.moves as f64;
    let mut submitted: Vec<JobId> = Vec::new();
    let (mut cost_before, mut first) = (0.0, 0);
    while sim.now < begin + period * periods {
        if sim.now <= begin + period {
            (cost_before, first) = (cost(&sim), submitted.len());
        }
        let phase = (sim.now - begin).as_secs_f64() / period.as_secs_f64();
        let peak = (phase.fract() * QUEUES as f64) as usize;
        for (queue, load) in LOADS.iter().enumerate() {
            let rate = load.peak_jobs_per_s * if queue == peak { 1.0 } else { RATE_BETWEEN };
            if arrivals.f64() < rate * TICK.as_secs_f64() {
                let job = job(&format!("j{}", submitted.len()), queue);
                let queue_settings = sim.engine.queues[&job.queue].clone();
                sim.engine.admit(&job, &queue_settings, sim.now);
                submitted.push(job.job.clone());
                sim.submit(job);
            }
        }
        if !forecast {
            sim.engine.demand_forecast = DemandForecast::default();
        }
        sim.run(TICK);
    }
    let cost_s = cost(&sim) - cost_before;
    sim.run(Duration::from_secs(4));
    assert_eq!(sim.violations, Vec::<String>::new());
    let in_time = submitted[first..].iter().filter(|id| sim.met_objective(id)).count();
    Outcome { jobs: submitted.len() - first, in_time, cost_s }
}

#[test]
fn forecast_peaks_are_served_in_time_for_less() {
    let period = Duration::from_secs(12);
    let with = run_peaks(period, 3, true, 1);
    let without = run_peaks(period, 3, false, 1);
    println!(
        "with a forecast {:.3} of {} in time for {:.0} s, without {:.3} for {:.0} s",
        with.in_time_ratio(),
        with.jobs,
        with.cost_s,
        without.in_time_ratio(),
        without.cost_s
    );
    assert!(with.in_time_ratio() >= without.in_time_ratio() + 0.03);
    assert!(with.cost_s <= without.cost_s);
}
