//! Measurements of fleet policies: maintenance waves, moves of instances, job deadlines and planning time.
//!
//! The results are compared with naive policies and computed bounds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wasabiswitch_policy::demand::{
    MoveCandidate, PoolDemand, ShortageTracker, plan_moves, target_sizes,
};
use wasabiswitch_policy::ids::{FailureDomain, InstanceId, PoolId};
use wasabiswitch_policy::instance::{PoolRow, PoolView, mark_available, plan_outage, reserve};
use wasabiswitch_policy::jobs::Resources;
use wasabiswitch_policy::placement::{QueuedJob, TeamUsage, Worker, place};
use wasabiswitch_policy::waves::{
    MaintenanceStatus, WaveState, WaveStep, next_step, rounds_min, start,
};

/// Runs all measurements and prints their tables.
pub(crate) fn run() {
    print_waves();
    print_moves();
    print_deadlines();
    print_planning_times();
}

// --- Waves ---------------------------------------------------------------------------------------

/// Time for which an instance is out of service (leaving, rebooting and joining), in steps of ten seconds.
const OUTAGE_STEPS: u64 = 36;

fn print_waves() {
    println!("## Roll-out time of a wave\n");
    println!(
        "| instances | of one rack in the pool | budget | steps | bound | ratio | one at a time |\n|---|---|---|---|---|---|---|"
    );
    for (instances, rack, budget) in
        [(10, 1, 2), (10, 2, 4), (100, 4, 8), (1_000, 4, 8), (1_000, 16, 32)]
    {
        let view = pool_view(instances, rack, budget);
        let steps = simulate_wave(&view);
        let reserved = reserve(&PoolRow::default(), &view);
        let concurrent_max = (budget - reserved).min(rack);
        let bound = u64::from(rounds_min(instances, concurrent_max)) * OUTAGE_STEPS;
        let sequential = u64::from(instances) * OUTAGE_STEPS;
        println!(
            "| {instances} | {rack} | {budget} | {steps} | {bound} | {:.3} | {:.3} |",
            steps as f64 / bound as f64,
            sequential as f64 / bound as f64
        );
    }
    println!();
}

fn pool_view(instances: u32, rack: u32, unavailable_max: u32) -> PoolView {
    let domains = (0..instances).map(|i| {
        (InstanceId::from(format!("i{i:05}")), FailureDomain::from(format!("r{:05}", i / rack)))
    });
    PoolView { unavailable_max, domains: domains.collect() }
}

/// Simulates a wave under the policy, and returns its length in steps of ten seconds.
fn simulate_wave(view: &PoolView) -> u64 {
    let members =
        view.domains.iter().map(|(id, domain)| (id.clone(), (domain.clone(), 0))).collect();
    let mut wave = start("p".into(), &members);
    let mut pool_row = PoolRow::default();
    let mut outages: BTreeMap<InstanceId, u64> = BTreeMap::new();
    let mut now = 0;
    while wave.state == WaveState::Running {
        let returned: Vec<InstanceId> =
            outages.iter().filter(|(_, until)| **until <= now).map(|(id, _)| id.clone()).collect();
        for id in returned {
            outages.remove(&id);
            pool_row = mark_available(&pool_row, &id);
        }
        loop {
            let maintenance_status = |id: &InstanceId| {
                if outages.contains_key(id) {
                    MaintenanceStatus::InProgress
                } else {
                    MaintenanceStatus::Serving
                }
            };
            let may_drain = |id: &InstanceId| plan_outage(&pool_row, view, id).is_ok();
            match next_step(&wave, maintenance_status, may_drain) {
                WaveStep::Wait => break,
                WaveStep::Advance(next) => wave = next,
                WaveStep::Drain(id, next) => {
                    pool_row = plan_outage(&pool_row, view, &id).expect("the outage was allowed");
                    outages.insert(id, now + OUTAGE_STEPS);
                    wave = next;
                }
            }
        }
        now += 1;
    }
    now - 1
}

// --- Moves ---------------------------------------------------------------------------------------

/// Number of pools of the fleet; one of them peaks at a time.
const POOL_COUNT: usize = 5;
/// Length of a peak, in minutes.
const PEAK_MINUTES: usize = 60;
/// Length of the demand history, in minutes.
const HISTORY_MINUTES: usize = 24 * 60;
/// Duration of a move, in minutes.
const MOVE_MINUTES: usize = 1;

fn print_moves() {
    println!("## Moves, unmet demand and buffer over a day\n");
    println!(
        "| instances | policy | moves | over a clairvoyant plan's | unmet, % of needed | idle over needed |\n|---|---|---|---|---|---|"
    );
    for scale in [1_u32, 10, 100] {
        let history = demand_history(scale);
        let clairvoyant = clairvoyant_moves(&history, scale);
        for (name, as_built) in [("as built", true), ("each pool alone, at once", false)] {
            let result = simulate_moves(&history, scale, as_built);
            println!(
                "| {} | {name} | {} | {:.2} | {:.2} | {:.2} |",
                50 * scale,
                result.moves,
                f64::from(result.moves) / f64::from(clairvoyant.max(1)),
                result.unmet * 100.0,
                result.idle
            );
        }
    }
    println!();
}

/// Returns the number of instances that each pool needs in each minute.
///
/// One pool at a time needs five times the mean, and the others need a twentieth of it, with a random deviation of up
/// to a tenth.
fn demand_history(scale: u32) -> Vec<[u32; POOL_COUNT]> {
    fastrand::seed(61);
    let mean = 6.0 * f64::from(scale);
    (0..HISTORY_MINUTES)
        .map(|minute| {
            std::array::from_fn(|pool| {
                let peaks = (minute / PEAK_MINUTES) % POOL_COUNT == pool;
                let level = if peaks { 5.0 } else { 0.05 };
                let noise = 0.9 + 0.2 * fastrand::f64();
                (mean * level * noise).ceil() as u32
            })
        })
        .collect()
}

/// Returns the number of moves of a plan that knows each peak in advance and takes instances from the pools whose next
/// peak is furthest away.
fn clairvoyant_moves(history: &[[u32; POOL_COUNT]], scale: u32) -> u32 {
    let mut sizes = [10 * scale; POOL_COUNT];
    let mut moves = 0;
    for peak in history.chunks(PEAK_MINUTES) {
        let need: [u32; POOL_COUNT] =
            std::array::from_fn(|pool| peak.iter().map(|minute| minute[pool]).max().unwrap_or(0));
        for pool in 0..POOL_COUNT {
            while sizes[pool] < need[pool] {
                let donor = (1..POOL_COUNT)
                    .rev()
                    .map(|step| (pool + step) % POOL_COUNT)
                    .find(|&donor| sizes[donor] > need[donor]);
                let Some(donor) = donor else { break };
                sizes[donor] -= 1;
                sizes[pool] += 1;
                moves += 1;
            }
        }
    }
    moves
}

/// Result of a simulated day.
struct SimulationResult {
    /// Number of moves.
    moves: u32,
    /// Unmet demand, as a fraction of the demand.
    unmet: f64,
    /// Instances beyond the demand, as a fraction of the demand.
    idle: f64,
}

/// Simulates a history with the actual policy, or with a naive one that sizes each pool alone.
fn simulate_moves(history: &[[u32; POOL_COUNT]], scale: u32, as_built: bool) -> SimulationResult {
    let name = |pool: usize| PoolId::from(format!("p{pool}"));
    let mut sizes = [10 * scale; POOL_COUNT];
    let mut spare = 0;
    let mut arriving: Vec<(usize, Option<usize>)> = Vec::new();
    let mut shortage = ShortageTracker::default();
    let begin = Instant::now();
    let (mut moves, mut unmet, mut idle, mut needed) = (0, 0_u64, 0_u64, 0_u64);
    for (minute, need) in history.iter().enumerate() {
        for (_, to) in arriving.extract_if(.., |(at, _)| *at <= minute) {
            match to {
                Some(pool) => sizes[pool] += 1,
                None => spare += 1,
            }
        }
        idle += u64::from(spare);
        for pool in 0..POOL_COUNT {
            unmet += u64::from(need[pool].saturating_sub(sizes[pool]));
            idle += u64::from(sizes[pool].saturating_sub(need[pool]));
            needed += u64::from(need[pool]);
        }
        let in_transit =
            |pool: usize| arriving.iter().filter(|(_, to)| *to == Some(pool)).count() as u32;
        let mut started: Vec<(Option<usize>, Option<usize>)> = Vec::new();
        if as_built {
            let demands: Vec<PoolDemand> = (0..POOL_COUNT)
                .map(|pool| PoolDemand {
                    pool: name(pool),
                    needed: need[pool],
                    size: sizes[pool] + in_transit(pool),
                    floor: 1,
                    spare: false,
                })
                .collect();
            let targets = target_sizes(&demands);
            let now = begin + Duration::from_secs(60 * minute as u64);
            let shortages = shortage.update(&demands, &targets, Duration::from_secs(30), now);
            let movable: Vec<MoveCandidate> = (0..POOL_COUNT)
                .flat_map(|pool| {
                    (0..sizes[pool]).map(move |i| MoveCandidate {
                        instance: format!("{pool}:{i}").into(),
                        pool: name(pool),
                        failure_domain: format!("r{}", i / 4).into(),
                        outstanding: 0,
                    })
                })
                .collect();
            for planned in plan_moves(&demands, &targets, &shortages, &movable, usize::MAX) {
                let from: usize =
                    planned.instance[..1].parse().expect("the id begins with the pool's number");
                let to: usize =
                    planned.to[1..].parse().expect("the id ends with the pool's number");
                started.push((Some(from), Some(to)));
            }
        } else {
            for pool in 0..POOL_COUNT {
                let size = sizes[pool] + in_transit(pool);
                started.extend((need[pool]..size).map(|_| (Some(pool), None)));
                let missing = need[pool].saturating_sub(size).min(spare);
                spare -= missing;
                started.extend((0..missing).map(|_| (None, Some(pool))));
            }
        }
        for (from, to) in started {
            match from {
                Some(pool) if sizes[pool] == 0 => continue,
                Some(pool) => sizes[pool] -= 1,
                None => {}
            }
            moves += 1;
            arriving.push((minute + MOVE_MINUTES, to));
        }
    }
    SimulationResult {
        moves,
        unmet: unmet as f64 / needed as f64,
        idle: idle as f64 / needed as f64,
    }
}

// --- Deadlines -----------------------------------------------------------------------------------

/// Job of the simulation, with times in seconds.
struct SimulatedJob {
    arrival_s: u64,
    run_time_s: u64,
    deadline_s: u64,
}

fn print_deadlines() {
    println!("## Missed deadlines of bursts of jobs\n");
    println!(
        "| workers | jobs | of each burst | as built | first come, first served | earliest deadline first |\n|---|---|---|---|---|---|"
    );
    for (scale, burst) in [(1_u64, 60), (1, 100), (1, 200), (10, 200)] {
        fastrand::seed(71);
        let workers = 50 * scale;
        let jobs: Vec<SimulatedJob> = (0..2_000 * scale)
            .map(|index| {
                // Bursts of half a minute, each followed by five minutes without arrivals.
                let arrival_s = index / (burst * scale) * 330 + fastrand::u64(..30);
                let run_time_s = fastrand::u64(10..120);
                let slack_max_s = if fastrand::bool() { 300 } else { 60 };
                SimulatedJob {
                    arrival_s,
                    run_time_s,
                    deadline_s: arrival_s + run_time_s + fastrand::u64(20..slack_max_s),
                }
            })
            .collect();
        let time_left_s = |job: &SimulatedJob, now: u64| job.deadline_s as i64 - now as i64;
        let as_built = count_missed_deadlines(&jobs, workers, |job, now| {
            (time_left_s(job, now), time_left_s(job, now) - job.run_time_s as i64)
        });
        let arrival_order =
            count_missed_deadlines(&jobs, workers, |job, _| (job.arrival_s as i64, 0));
        let earliest_deadline =
            count_missed_deadlines(&jobs, workers, |job, now| (time_left_s(job, now), 0));
        println!(
            "| {workers} | {} | {burst} | {as_built} | {arrival_order} | {earliest_deadline} |",
            jobs.len()
        );
    }
    println!();
}

/// Simulates the jobs on workers of one core each with the policy's placement, and returns the number of jobs that end
/// after their deadlines.
///
/// `urgency` returns the time to the deadline and the slack, both of which determine the order of placement.
fn count_missed_deadlines(
    jobs: &[SimulatedJob],
    workers: u64,
    urgency: impl Fn(&SimulatedJob, u64) -> (i64, i64),
) -> u32 {
    let total = Resources { cpu_milli: 1_000, ..Resources::default() };
    let mut busy_until = vec![0_u64; workers as usize];
    let mut pending: BTreeSet<usize> = BTreeSet::new();
    let (mut late, mut next, mut done) = (0, 0, 0);
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by_key(|&index| jobs[index].arrival_s);
    let teams =
        BTreeMap::from([("t".into(), TeamUsage { weight: 1, running: 0, limit: u32::MAX })]);
    for now in 0.. {
        while next < order.len() && jobs[order[next]].arrival_s <= now {
            pending.insert(order[next]);
            next += 1;
        }
        let waiting: Vec<QueuedJob> = pending
            .iter()
            .map(|&index| {
                let (due_ms, slack_ms) = urgency(&jobs[index], now);
                QueuedJob {
                    job: index.to_string().into(),
                    team: "t".into(),
                    resources: total,
                    due_ms,
                    slack_ms,
                    order: index as u64,
                    failed_on: Vec::new(),
                }
            })
            .collect();
        let free: Vec<Worker> = busy_until
            .iter()
            .enumerate()
            .filter(|(_, until)| **until <= now)
            .map(|(i, _)| Worker {
                instance: i.to_string().into(),
                total,
                free: total,
                usable: true,
            })
            .collect();
        for placement in place(&waiting, &free, &teams, usize::MAX) {
            let index: usize = placement.job.parse().expect("the id is a number");
            let worker: usize = placement.instance.parse().expect("the id is a number");
            pending.remove(&index);
            let end = now + jobs[index].run_time_s;
            busy_until[worker] = end;
            late += u32::from(end > jobs[index].deadline_s);
            done += 1;
        }
        if done == jobs.len() {
            return late;
        }
    }
    late
}

// --- Planning time -------------------------------------------------------------------------------

fn print_planning_times() {
    println!("## Planning time\n");
    println!(
        "| instances | pools | two moves planned in ms | jobs waiting | 64 jobs placed in ms |\n|---|---|---|---|---|"
    );
    for scale in [1_u32, 10, 100] {
        let (pools, each) = (5 * scale.min(12), 50 * scale / (5 * scale.min(12)));
        let demands: Vec<PoolDemand> = (0..pools)
            .map(|pool| PoolDemand {
                pool: format!("p{pool}").into(),
                needed: if pool % 5 == 0 { each * 2 } else { 1 },
                size: each,
                floor: 1,
                spare: pool == 1,
            })
            .collect();
        let movable: Vec<MoveCandidate> = (0..pools * each)
            .map(|i| MoveCandidate {
                instance: format!("i{i}").into(),
                pool: format!("p{}", i % pools).into(),
                failure_domain: format!("r{}", i / 4).into(),
                outstanding: 0,
            })
            .collect();
        let begin = Instant::now();
        let targets = target_sizes(&demands);
        let shortages: Vec<PoolId> = demands.iter().map(|demand| demand.pool.clone()).collect();
        let planned = plan_moves(&demands, &targets, &shortages, &movable, 2).len();
        assert_eq!(planned, 2, "the bound is reached");
        let moves_ms = begin.elapsed().as_secs_f64() * 1e3;
        let (jobs, placed_ms) = time_placement(scale);
        println!("| {} | {pools} | {moves_ms:.2} | {jobs} | {placed_ms:.2} |", pools * each);
    }
}

/// Measures the placement of 64 jobs, and returns the number of waiting jobs and the time in milliseconds.
fn time_placement(scale: u32) -> (u32, f64) {
    let total = Resources { cpu_milli: 4_000, memory_bytes: 1 << 33, accelerators: 1 };
    let workers: Vec<Worker> = (0..50 * scale)
        .map(|i| Worker { instance: format!("i{i}").into(), total, free: total, usable: true })
        .collect();
    let jobs = 200 * scale;
    let waiting: Vec<QueuedJob> = (0..jobs)
        .map(|i| QueuedJob {
            job: format!("j{i}").into(),
            team: format!("t{}", i % 6).into(),
            resources: Resources { cpu_milli: 1_000, ..Resources::default() },
            due_ms: i64::from(i % 97),
            slack_ms: 0,
            order: u64::from(i),
            failed_on: Vec::new(),
        })
        .collect();
    let teams = (0..6)
        .map(|team| {
            (format!("t{team}").into(), TeamUsage { weight: team + 1, running: 0, limit: u32::MAX })
        })
        .collect();
    let begin = Instant::now();
    let placed = place(&waiting, &workers, &teams, 64).len();
    assert_eq!(placed, 64, "the bound is reached");
    (jobs, begin.elapsed().as_secs_f64() * 1e3)
}
