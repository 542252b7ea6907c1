//! Waves, moves, job deadlines and planning time against naive policies and computed bounds.

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
    waves();
    moves();
    deadlines();
    planning_time();
}

// --- Waves ---------------------------------------------------------------------------------------

/// How long an instance is out: leaving, rebooting and joining, in steps of ten seconds.
const OUT_STEPS: u64 = 36;

fn waves() {
    println!("## Roll-out time of a wave\n");
    println!(
        "| instances | of one rack in the pool | budget | steps | bound | ratio | one at a time |\n|---|---|---|---|---|---|---|"
    );
    for (instances, rack, budget) in
        [(10, 1, 2), (10, 2, 4), (100, 4, 8), (1_000, 4, 8), (1_000, 16, 32)]
    {
        let view = pool_view(instances, rack, budget);
        let steps = roll_out(&view);
        let in_hand = reserve(&PoolRow::default(), &view);
        let at_once = (budget - in_hand).min(rack);
        let bound = u64::from(rounds_min(instances, at_once)) * OUT_STEPS;
        let naive = u64::from(instances) * OUT_STEPS;
        println!(
            "| {instances} | {rack} | {budget} | {steps} | {bound} | {:.3} | {:.3} |",
            steps as f64 / bound as f64,
            naive as f64 / bound as f64
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

/// Runs a wave with the policy's rules and returns the steps that it takes.
fn roll_out(view: &PoolView) -> u64 {
    let members =
        view.domains.iter().map(|(id, domain)| (id.clone(), (domain.clone(), 0))).collect();
    let mut wave = start("p".into(), &members);
    let mut books = PoolRow::default();
    let mut out: BTreeMap<InstanceId, u64> = BTreeMap::new();
    let mut now = 0;
    while wave.state == WaveState::Running {
        let back: Vec<InstanceId> =
            out.iter().filter(|(_, until)| **until <= now).map(|(id, _)| id.clone()).collect();
        for id in back {
            out.remove(&id);
            books = mark_available(&books, &id);
        }
        loop {
            let sight = |id: &InstanceId| {
                if out.contains_key(id) {
                    MaintenanceStatus::InProgress
                } else {
                    MaintenanceStatus::Serving
                }
            };
            let may_drain = |id: &InstanceId| plan_outage(&books, view, id).is_ok();
            match next_step(&wave, sight, may_drain) {
                WaveStep::Wait => break,
                WaveStep::Advance(next) => wave = next,
                WaveStep::Drain(id, next) => {
                    books = plan_outage(&books, view, &id).expect("it was just allowed");
                    out.insert(id, now + OUT_STEPS);
                    wave = next;
                }
            }
        }
        now += 1;
    }
    now - 1
}

// --- Moves ---------------------------------------------------------------------------------------

/// The services of a fleet; one of them peaks at a time.
const POOLS: usize = 5;
/// How long a peak lasts, in minutes.
const PEAK_MINUTES: usize = 60;
/// The length of the history, in minutes.
const MINUTES: usize = 24 * 60;
/// How long a move takes, in minutes.
const MOVE_MINUTES: usize = 1;

fn moves() {
    println!("## Moves, unmet demand and buffer over a day\n");
    println!(
        "| instances | policy | moves | over a clairvoyant plan's | unmet, % of needed | idle over needed |\n|---|---|---|---|---|---|"
    );
    for scale in [1_u32, 10, 100] {
        let history = demand_history(scale);
        let clairvoyant = clairvoyant_moves(&history, scale);
        for (name, policy) in [("as built", true), ("each pool alone, at once", false)] {
            let result = simulate(&history, scale, policy);
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

/// The instances that each pool needs, minute by minute: five times the mean for one pool in turn, a
/// twentieth for the others, with a noise of up to a tenth.
fn demand_history(scale: u32) -> Vec<[u32; POOLS]> {
    fastrand::seed(61);
    let mean = 6.0 * f64::from(scale);
    (0..MINUTES)
        .map(|minute| {
            std::array::from_fn(|pool| {
                let peaks = (minute / PEAK_MINUTES) % POOLS == pool;
                let level = if peaks { 5.0 } else { 0.05 };
                let noise = 0.9 + 0.2 * fastrand::f64();
                (mean * level * noise).ceil() as u32
            })
        })
        .collect()
}

/// The moves of a plan that knows each peak in advance and takes from the pools that peak last.
fn clairvoyant_moves(history: &[[u32; POOLS]], scale: u32) -> u32 {
    let mut has = [10 * scale; POOLS];
    let mut moves = 0;
    for peak in history.chunks(PEAK_MINUTES) {
        let need: [u32; POOLS] =
            std::array::from_fn(|pool| peak.iter().map(|minute| minute[pool]).max().unwrap_or(0));
        for pool in 0..POOLS {
            while has[pool] < need[pool] {
                let donor = (1..POOLS)
                    .rev()
                    .map(|step| (pool + step) % POOLS)
                    .find(|&donor| has[donor] > need[donor]);
                let Some(donor) = donor else { break };
                has[donor] -= 1;
                has[pool] += 1;
                moves += 1;
            }
        }
    }
    moves
}

struct Simulated {
    moves: u32,
    unmet: f64,
    idle: f64,
}

/// Follows a history with the policy as built, or with a naive one that sizes each pool alone.
fn simulate(history: &[[u32; POOLS]], scale: u32, as_built: bool) -> Simulated {
    let name = |pool: usize| PoolId::from(format!("p{pool}"));
    let mut has = [10 * scale; POOLS];
    let mut spare = 0;
    let mut arriving: Vec<(usize, Option<usize>)> = Vec::new();
    let mut shortage = ShortageTracker::default();
    let begin = Instant::now();
    let (mut moves, mut unmet, mut idle, mut needed) = (0, 0_u64, 0_u64, 0_u64);
    for (minute, need) in history.iter().enumerate() {
        for (_, to) in arriving.extract_if(.., |(at, _)| *at <= minute) {
            match to {
                Some(pool) => has[pool] += 1,
                None => spare += 1,
            }
        }
        idle += u64::from(spare);
        for pool in 0..POOLS {
            unmet += u64::from(need[pool].saturating_sub(has[pool]));
            idle += u64::from(has[pool].saturating_sub(need[pool]));
            needed += u64::from(need[pool]);
        }
        let on_way =
            |pool: usize| arriving.iter().filter(|(_, to)| *to == Some(pool)).count() as u32;
        let mut begun: Vec<(Option<usize>, Option<usize>)> = Vec::new();
        if as_built {
            let demands: Vec<PoolDemand> = (0..POOLS)
                .map(|pool| PoolDemand {
                    pool: name(pool),
                    needed: need[pool],
                    size: has[pool] + on_way(pool),
                    floor: 1,
                    spare: false,
                })
                .collect();
            let targets = target_sizes(&demands);
            let now = begin + Duration::from_secs(60 * minute as u64);
            let short = shortage.update(&demands, &targets, Duration::from_secs(30), now);
            let movable: Vec<MoveCandidate> = (0..POOLS)
                .flat_map(|pool| {
                    (0..has[pool]).map(move |i| MoveCandidate {
                        instance: format!("{pool}:{i}").into(),
                        pool: name(pool),
                        failure_domain: format!("r{}", i / 4).into(),
                        outstanding: 0,
                    })
                })
                .collect();
            for planned in plan_moves(&demands, &targets, &short, &movable, usize::MAX) {
                let from: usize = planned.instance[..1].parse().expect("it begins with its pool");
                let to: usize = planned.to[1..].parse().expect("it ends with its number");
                begun.push((Some(from), Some(to)));
            }
        } else {
            for pool in 0..POOLS {
                let size = has[pool] + on_way(pool);
                begun.extend((need[pool]..size).map(|_| (Some(pool), None)));
                let missing = need[pool].saturating_sub(size).min(spare);
                spare -= missing;
                begun.extend((0..missing).map(|_| (None, Some(pool))));
            }
        }
        for (from, to) in begun {
            match from {
                Some(pool) if has[pool] == 0 => continue,
                Some(pool) => has[pool] -= 1,
                None => {}
            }
            moves += 1;
            arriving.push((minute + MOVE_MINUTES, to));
        }
    }
    Simulated { moves, unmet: unmet as f64 / needed as f64, idle: idle as f64 / needed as f64 }
}

// --- Deadlines -----------------------------------------------------------------------------------

struct Job {
    arrives: u64,
    runs: u64,
    deadline: u64,
}

fn deadlines() {
    println!("## Missed deadlines of bursts of jobs\n");
    println!(
        "| workers | jobs | of each burst | as built | first come, first served | earliest deadline first |\n|---|---|---|---|---|---|"
    );
    for (scale, burst) in [(1_u64, 60), (1, 100), (1, 200), (10, 200)] {
        fastrand::seed(71);
        let workers = 50 * scale;
        let jobs: Vec<Job> = (0..2_000 * scale)
            .map(|index| {
                // Bursts of half a minute, each followed by five quiet minutes.
                let arrives = index / (burst * scale) * 330 + fastrand::u64(..30);
                let runs = fastrand::u64(10..120);
                let spare = if fastrand::bool() { 300 } else { 60 };
                Job { arrives, runs, deadline: arrives + runs + fastrand::u64(20..spare) }
            })
            .collect();
        let due = |job: &Job, now: u64| job.deadline as i64 - now as i64;
        let built =
            missed(&jobs, workers, |job, now| (due(job, now), due(job, now) - job.runs as i64));
        let naive = missed(&jobs, workers, |job, _| (job.arrives as i64, 0));
        let earliest = missed(&jobs, workers, |job, now| (due(job, now), 0));
        println!("| {workers} | {} | {burst} | {built} | {naive} | {earliest} |", jobs.len());
    }
    println!();
}

/// Runs the jobs on workers of one core each, through the policy's placement, and counts late ends.
///
/// `urgency_of` returns the time to the deadline and the slack that the placement is told.
fn missed(jobs: &[Job], workers: u64, urgency_of: impl Fn(&Job, u64) -> (i64, i64)) -> u32 {
    let total = Resources { cpu_milli: 1_000, ..Resources::default() };
    let mut busy_until = vec![0_u64; workers as usize];
    let mut open: BTreeSet<usize> = BTreeSet::new();
    let (mut late, mut next, mut done) = (0, 0, 0);
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by_key(|&index| jobs[index].arrives);
    let teams =
        BTreeMap::from([("t".into(), TeamUsage { weight: 1, running: 0, limit: u32::MAX })]);
    for now in 0.. {
        while next < order.len() && jobs[order[next]].arrives <= now {
            open.insert(order[next]);
            next += 1;
        }
        let waiting: Vec<QueuedJob> = open
            .iter()
            .map(|&index| {
                let (due_ms, slack_ms) = urgency_of(&jobs[index], now);
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
            let index: usize = placement.job.parse().expect("it is a number");
            let worker: usize = placement.instance.parse().expect("it is a number");
            open.remove(&index);
            let end = now + jobs[index].runs;
            busy_until[worker] = end;
            late += u32::from(end > jobs[index].deadline);
            done += 1;
        }
        if done == jobs.len() {
            return late;
        }
    }
    late
}

// --- Planning time -------------------------------------------------------------------------------

fn planning_time() {
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
        let short: Vec<PoolId> = demands.iter().map(|demand| demand.pool.clone()).collect();
        let planned = plan_moves(&demands, &targets, &short, &movable, 2).len();
        assert_eq!(planned, 2, "the bound is reached");
        let moves_ms = begin.elapsed().as_secs_f64() * 1e3;
        let (jobs, placed_ms) = placing_time(scale);
        println!("| {} | {pools} | {moves_ms:.2} | {jobs} | {placed_ms:.2} |", pools * each);
    }
}

fn placing_time(scale: u32) -> (u32, f64) {
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
