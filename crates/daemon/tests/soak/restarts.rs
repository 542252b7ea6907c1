//! Workers that restart under their ids and are cut off soon after, while long tasks run and owners are killed.
//!
//! Each worker is reached through a proxy of its own, so that it can be cut off from all daemons while its tasks run on. The
//! rounds of restarts and cuts come in series and overlap: a task of 15 s may see two of them. An owner is killed between
//! the restarts and the cuts of a round, and at times its successor as well. Responses of workers are lost or break off, and
//! entries in the directory are written late or expire.
//!
//! In one scenario some orders get no response and are carried out seconds later, after newer ones and by the next incarnation
//! of the worker. No worker can tell such orders from timely ones, so its violations are counted apart from the others.

use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use fastrand::Rng;
use http::Method;
use tokio::task::JoinSet;

use crate::daemons::{Caller, DaemonGroup};
use crate::proxy::{Proxy, ProxyMode};
use crate::server::{Order, Platform, TASK_MILLI, config, format_time, unix_ms};
use crate::{AcceptedJob, find_incomplete_job, seeds};

/// Conditions of a seed.
struct Scenario {
    daemon_count: usize,
    /// Whether owners are killed.
    has_kills: bool,
    /// Whether some orders to workers are carried out late.
    has_late_orders: bool,
}

/// Scenarios, which the seeds use in turn.
const SCENARIOS: [Scenario; 4] = [
    Scenario { daemon_count: 5, has_kills: true, has_late_orders: false },
    Scenario { daemon_count: 5, has_kills: false, has_late_orders: false },
    Scenario { daemon_count: 24, has_kills: true, has_late_orders: false },
    Scenario { daemon_count: 5, has_kills: true, has_late_orders: true },
];
/// Seeds that run in CI, one for each scenario without late orders.
const CI_SEEDS: Range<u64> = 0..3;
/// Number of seeds that run at the same time, unless the environment states another one.
const CONCURRENT_SEEDS: usize = 3;
/// Number of workers per seed; those that are not cut off have room for the tasks of the others.
const WORKER_COUNT: usize = 20;
/// Age of the workers at the start of a seed.
const WORKER_AGE: Duration = Duration::from_secs(3_600);
/// Number of rounds of restarts and cuts per seed.
const ROUND_COUNT: usize = 3;
/// Time of the first round, by which tasks run.
const FIRST_ROUND: Duration = Duration::from_secs(4);
/// Range of the time between two rounds, in milliseconds.
const ROUND_INTERVAL_MS: Range<u64> = 8_000..16_000;
/// Time after the last event of a seed at which the submissions end.
const SUBMISSION_MARGIN: Duration = Duration::from_millis(500);
/// Run time of a long task, in milliseconds.
const LONG_TASK_MS: u32 = 15_000;
/// Estimate in the submissions of long tasks, in milliseconds.
const LONG_TASK_ESTIMATE_MS: u32 = 1_250;
/// Range of the pause between two submissions, in milliseconds.
const SUBMISSION_PAUSE_MS: Range<u64> = 100..500;
/// Number of daemons to which a submission is sent until one answers.
const SUBMISSION_ATTEMPTS: usize = 3;
/// Time within which each accepted job must complete once no more faults are injected; the last ones are several times as long
/// as a long task.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(90);
/// Maximum deviation of the rate of a worker's clock.
const CLOCK_DEVIATION_MAX: f64 = 0.02;
/// Time after which the entry of a worker that cannot reach the store expires.
const ENTRY_LIFETIME_MS: u64 = 4_500;
/// Interval at which a worker writes its entry.
const HEARTBEAT_MS: u64 = 1_500;
/// Late orders: one in this number of orders.
const LATE_ORDER_INTERVAL: u8 = 20;
/// Late requests for reports among those that acknowledge ends: one in this number.
const LATE_ACKNOWLEDGEMENT_INTERVAL: u8 = 4;
/// Range of the delay of a late order, in milliseconds.
const LATE_ORDER_DELAY_MS: Range<u64> = 2_000..12_000;
/// Interval at which the runs of the workers are ended in time, also while no daemon sends orders.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(20);

/// Event at a worker or at the owner.
#[derive(Clone, Copy, Debug)]
enum Event {
    StopWorker(usize),
    StartWorker(usize),
    WriteEntry(usize),
    RemoveEntry(usize),
    SetMode(usize, ProxyMode),
    KillOwner,
    StartDaemons,
}

/// Restarts of workers, most of which are cut off soon after.
struct Round {
    at_ms: u64,
    /// Whether the workers cannot write their entries between their restart and the end of their cut.
    has_stale_entries: bool,
}

/// Lines with the time of day of what happened in a seed.
#[derive(Clone, Default)]
pub struct History(Arc<Mutex<Vec<String>>>);

impl History {
    pub fn record(&self, line: &str) {
        let line = format!("{} {line}", format_time(SystemTime::now()));
        self.0.lock().expect("no test thread panics").push(line);
    }

    /// Writes the lines to a file, whose path it returns.
    fn write(&self, seed: u64) -> PathBuf {
        let name = format!("wasabiswitch-soak-{}-seed-{seed}.log", std::process::id());
        let file = std::env::temp_dir().join(name);
        let lines = self.0.lock().expect("no test thread panics").join("\n");
        std::fs::write(&file, lines).expect("files can be written");
        file
    }
}

// Guards against a lease that an order for the former incarnation of a worker has extended (two runs of one task).
#[tokio::test(flavor = "multi_thread")]
async fn restarted_workers_that_are_cut_off_run_no_task_twice() {
    let mut plays = JoinSet::new();
    let (mut violations, mut violations_with_late_orders) = (Vec::new(), Vec::new());
    let concurrent_seeds = std::env::var("SOAK_JOBS").ok().and_then(|text| text.parse().ok());
    let concurrent_seeds: usize = concurrent_seeds.unwrap_or(CONCURRENT_SEEDS);
    let mut remaining = seeds(CI_SEEDS).into_iter();
    loop {
        while plays.len() < concurrent_seeds {
            let Some(seed) = remaining.next() else { break };
            plays.spawn(async move { (seed, soak(seed).await) });
        }
        let Some(play) = plays.join_next().await else { break };
        let (seed, found) = play.expect("the play does not panic");
        match scenario(seed).has_late_orders {
            true => violations_with_late_orders.extend(found),
            false => violations.extend(found),
        }
    }
    println!(
        "{} violations, {} with late orders",
        violations.len(),
        violations_with_late_orders.len()
    );
    assert_eq!(violations, Vec::<String>::new(), "without late orders");
    assert_eq!(violations_with_late_orders, Vec::<String>::new(), "with late orders");
}

fn scenario(seed: u64) -> &'static Scenario {
    &SCENARIOS[seed as usize % SCENARIOS.len()]
}

/// Runs a seed; returns descriptions of the violations.
async fn soak(seed: u64) -> Vec<String> {
    let mut rng = Rng::with_seed(seed);
    let scenario = scenario(seed);
    let history = History::default();
    let platform = Platform::start(0).await;
    let proxies = add_workers(&platform, WORKER_COUNT, &mut rng).await;
    if scenario.has_late_orders {
        let order_delay = order_delay(rng.fork(), history.clone());
        *platform.order_delay.lock().expect("no test thread panics") = Some(Box::new(order_delay));
    }
    platform.put("op", "config", &config(1));
    let settings = r#""drain_notice_ms": 200, "worker_threads": 1"#;
    let mut daemons = DaemonGroup::start(scenario.daemon_count, &platform, settings).await;
    let mut run_clock = JoinSet::new();
    run_clock.spawn(advance_runs(platform.clone()));
    let ended = Arc::new(AtomicBool::new(false));
    let submissions = tokio::spawn(submit(seed, daemons.caller(), rng.fork(), ended.clone()));
    let mut owner_kill_count = 0;
    let begin = Instant::now();
    for (at, event) in schedule(&mut rng, scenario) {
        tokio::time::sleep(at.saturating_sub(begin.elapsed())).await;
        history.record(&format!("{event:?}"));
        match event {
            Event::StopWorker(worker) => platform.stop_worker(&worker_id(worker)),
            Event::StartWorker(worker) => {
                platform.start_worker(&worker_id(worker), unix_ms(SystemTime::now()));
            }
            Event::WriteEntry(worker) => platform.write_entry(&worker_id(worker)),
            Event::RemoveEntry(worker) => platform.remove("servers", &worker_id(worker)),
            Event::SetMode(worker, mode) => drop(proxies[worker].mode.send_replace(mode)),
            Event::KillOwner => {
                let owner = daemons.owner().await;
                history.record(&format!("owner {owner:?}"));
                if let Some(owner) = owner {
                    daemons.kill_process(owner);
                    owner_kill_count += 1;
                }
            }
            Event::StartDaemons => {
                (0..scenario.daemon_count).for_each(|daemon| daemons.start_process(daemon));
            }
        }
    }
    tokio::time::sleep(SUBMISSION_MARGIN).await;
    ended.store(true, Ordering::Release);
    *platform.order_delay.lock().expect("no test thread panics") = None;
    let accepted = submissions.await.expect("the caller does not panic");
    let incomplete = find_incomplete_job(seed, &daemons, &accepted, COMPLETION_TIMEOUT).await;
    let mut violations = find_rule_violations(seed, &platform);
    violations.extend(incomplete.map(|job| format!("seed {seed}: {job} is not done")));
    println!(
        "seed {seed}: {} daemons, {} jobs accepted, {} runs, {owner_kill_count} owners killed, late \
         orders: {}, {} violations in {} s",
        scenario.daemon_count,
        accepted.len(),
        platform.runs().len(),
        scenario.has_late_orders,
        violations.len(),
        begin.elapsed().as_secs()
    );
    keep_evidence(seed, &platform, &history, &mut daemons, &mut violations);
    violations
}

/// Describes the runs of one task that overlapped, and the starts for which a worker had no room.
pub fn find_rule_violations(seed: u64, platform: &Platform) -> Vec<String> {
    let overlaps = platform.overlapping_runs();
    let mut violations: Vec<String> = overlaps
        .iter()
        .map(|(first, second)| {
            let owners = if first.fence == second.fence { "one owner" } else { "two owners" };
            let ended = [first.ended, second.ended].map(|end| end.unwrap_or(SystemTime::now()));
            let overlap = ended[0].min(ended[1]).duration_since(second.started);
            let overlap_s = overlap.unwrap_or_default().as_secs_f64();
            format!("seed {seed}: two runs for {overlap_s:.3} s, {owners}: [{first}] [{second}]")
        })
        .collect();
    let beyond_capacity = platform.starts_beyond_capacity().into_iter();
    violations.extend(beyond_capacity.map(|task| format!("seed {seed}: no room for {task}")));
    violations
}

/// Keeps the history of a seed with violations, and the output of its daemons; the last violation names the files.
pub fn keep_evidence(
    seed: u64,
    platform: &Platform,
    history: &History,
    daemons: &mut DaemonGroup,
    violations: &mut [String],
) {
    if !violations.is_empty() || std::env::var_os("SOAK_KEEP").is_some() {
        platform.runs().iter().for_each(|run| history.record(&run.to_string()));
        println!("{}", violations.join("\n"));
        let (history, output) = (history.write(seed), daemons.keep_output());
        println!("seed {seed}: history {history:?}, output {output:?}");
        if let Some(last) = violations.last_mut() {
            last.push_str(&format!(" (history {history:?}, output {output:?})"));
        }
    }
}

/// Ends the runs of all workers in time.
pub async fn advance_runs(platform: Platform) {
    loop {
        platform.advance_runs();
        tokio::time::sleep(ADVANCE_INTERVAL).await;
    }
}

pub fn worker_id(worker: usize) -> String {
    format!("w{worker}")
}

/// Adds workers whose clocks run at different rates, each behind a proxy of its own.
pub async fn add_workers(platform: &Platform, count: usize, rng: &mut Rng) -> Vec<Proxy> {
    let mut proxies = Vec::new();
    for worker in 0..count {
        let proxy = Proxy::start(platform.address).await;
        let clock_rate = 1.0 + (2.0 * rng.f64() - 1.0) * CLOCK_DEVIATION_MAX;
        let incarnation = unix_ms(SystemTime::now() - WORKER_AGE);
        platform.add_worker(&worker_id(worker), "p", proxy.address, incarnation, clock_rate);
        proxies.push(proxy);
    }
    proxies
}

/// Returns a function that decides which orders are carried out late, and that records them.
fn order_delay(
    mut rng: Rng,
    history: History,
) -> impl FnMut(&Order) -> Option<Duration> + Send + 'static {
    move |order| {
        let interval = match order.acknowledges_ends() {
            true => LATE_ACKNOWLEDGEMENT_INTERVAL,
            false => LATE_ORDER_INTERVAL,
        };
        if rng.u8(0..interval) > 0 {
            return None;
        }
        let delay = Duration::from_millis(rng.u64(LATE_ORDER_DELAY_MS));
        let Order { path, worker, body, .. } = order;
        history.record(&format!("late by {} ms: {path} {worker} {body}", delay.as_millis()));
        Some(delay)
    }
}

/// Returns the events of a seed in the order of their times.
fn schedule(rng: &mut Rng, scenario: &Scenario) -> Vec<(Duration, Event)> {
    let mut events = Vec::new();
    let mut free_from_ms = [0; WORKER_COUNT];
    let mut round_ms = FIRST_ROUND.as_millis() as u64;
    for _ in 0..ROUND_COUNT {
        let round = Round { at_ms: round_ms, has_stale_entries: rng.u8(0..3) == 0 };
        // A worker whose entry has expired would hide what an owner makes of the stale entry of another one.
        let restarted_tenths = if round.has_stale_entries { 2 } else { [1, 4][rng.usize(..2)] };
        for (worker, free_from_ms) in free_from_ms.iter_mut().enumerate() {
            if *free_from_ms <= round_ms && rng.u8(0..10) < restarted_tenths {
                *free_from_ms = schedule_restart(&mut events, rng, worker, &round);
            }
        }
        if scenario.has_kills && rng.u8(0..5) > 0 {
            // The successor reads stale entries before they expire.
            let kill_delay_ms = if round.has_stale_entries { 1_400..2_100 } else { 900..2_600 };
            let mut kill_ms = round_ms + rng.u64(kill_delay_ms);
            events.push((kill_ms, Event::KillOwner));
            if rng.bool() {
                kill_ms += rng.u64(2_500..8_000);
                events.push((kill_ms, Event::KillOwner));
            }
            events.push((kill_ms + rng.u64(500..3_000), Event::StartDaemons));
        }
        round_ms += rng.u64(ROUND_INTERVAL_MS);
    }
    events.sort_by_key(|(at_ms, _)| *at_ms);
    events.into_iter().map(|(at_ms, event)| (Duration::from_millis(at_ms), event)).collect()
}

/// Adds a restart of a worker and, in most cases, a cut soon after; returns the time of the last event, in milliseconds.
fn schedule_restart(
    events: &mut Vec<(u64, Event)>,
    rng: &mut Rng,
    worker: usize,
    round: &Round,
) -> u64 {
    let round_ms = round.at_ms;
    let down_ms = round_ms + rng.u64(0..200);
    let up_ms = down_ms + rng.u64(300..1_000);
    let cut_ms =
        round_ms + rng.u64(if round.has_stale_entries { 1_900..2_500 } else { 2_000..3_500 });
    let joined_ms = cut_ms + rng.u64(5_000..11_000);
    // Refused connections show a restart at once, so that tasks start before the owner is killed.
    let is_refused = round.has_stale_entries || rng.bool();
    let down_mode = if is_refused { ProxyMode::Closed } else { ProxyMode::Lost };
    events.extend([
        (down_ms, Event::StopWorker(worker)),
        (down_ms, Event::SetMode(worker, down_mode)),
        (up_ms, Event::StartWorker(worker)),
        (up_ms, Event::SetMode(worker, ProxyMode::Forward)),
    ]);
    let entry_delay_ms = if rng.u8(0..3) == 0 { rng.u64(500..4_000) } else { rng.u64(0..50) };
    let entry_ms = up_ms + entry_delay_ms;
    if rng.u8(0..3) == 0 {
        let mode = [ProxyMode::ResponsesLost, ProxyMode::ResponsesBroken][rng.usize(..2)];
        let mode_ms = rng.u64(up_ms..cut_ms - 300);
        let forward_ms = mode_ms + rng.u64(50..300);
        events.push((mode_ms, Event::SetMode(worker, mode)));
        events.push((forward_ms, Event::SetMode(worker, ProxyMode::Forward)));
    }
    if rng.u8(0..5) == 0 {
        events.push((entry_ms, Event::WriteEntry(worker)));
        return entry_ms;
    }
    events.push((cut_ms, Event::SetMode(worker, ProxyMode::Lost)));
    if rng.u8(0..6) == 0 {
        let second_down_ms = cut_ms + rng.u64(500..4_000);
        events.push((second_down_ms, Event::StopWorker(worker)));
        events.push((second_down_ms + rng.u64(300..1_000), Event::StartWorker(worker)));
    }
    events.push((joined_ms, Event::SetMode(worker, ProxyMode::Forward)));
    let last_entry_ms = joined_ms + rng.u64(0..HEARTBEAT_MS);
    events.push((last_entry_ms, Event::WriteEntry(worker)));
    let is_cut_off_from_store = rng.u8(0..3) == 0;
    if round.has_stale_entries {
        let expired_ms = down_ms + ENTRY_LIFETIME_MS - rng.u64(0..HEARTBEAT_MS / 3);
        events.push((expired_ms, Event::RemoveEntry(worker)));
        return last_entry_ms;
    }
    if is_cut_off_from_store {
        let expired_ms = cut_ms + ENTRY_LIFETIME_MS - rng.u64(0..HEARTBEAT_MS);
        events.push((expired_ms, Event::RemoveEntry(worker)));
    }
    if entry_ms < cut_ms || !is_cut_off_from_store {
        events.push((entry_ms, Event::WriteEntry(worker)));
    }
    last_entry_ms
}

/// Submits jobs to random daemons until `ended`; returns those that were accepted.
async fn submit(
    seed: u64,
    caller: Caller,
    mut rng: Rng,
    ended: Arc<AtomicBool>,
) -> Vec<AcceptedJob> {
    let mut accepted = Vec::new();
    let mut number = 0;
    while !ended.load(Ordering::Acquire) {
        number += 1;
        let path = format!("/q/{:016x}", seed << 16 | number);
        let body = job_body(&mut rng);
        for _ in 0..SUBMISSION_ATTEMPTS {
            let (status, _) = caller.call(rng.usize(..), Method::POST, &path, &body).await;
            if status == 200 {
                accepted.push(AcceptedJob { path: path.clone(), is_cancelled: false });
            }
            if status != 0 {
                break;
            }
        }
        tokio::time::sleep(Duration::from_millis(rng.u64(SUBMISSION_PAUSE_MS))).await;
    }
    accepted
}

/// Returns the body of a submission of a job with one step, whose tasks are short or long.
fn job_body(rng: &mut Rng) -> String {
    let (run_time_ms, estimate_ms, count_max) = match rng.u8(0..6) {
        0 => (LONG_TASK_MS, LONG_TASK_ESTIMATE_MS, 3),
        _ => (rng.u32(20..600), 200, 4),
    };
    format!(
        r#"{{"spec":"{run_time_ms}","phases":[{{"count":{},"cpu":{TASK_MILLI},"estMs":{estimate_ms}}}]}}"#,
        rng.u32(1..=count_max)
    )
}
