//! Evacuations of data centres, workers that become unresponsive, and surges of submissions, while owners are killed.
//!
//! The operator's rows are written and removed in the stand-in's table, also while daemons are cut off from the store. Workers are
//! cut off for long enough before the kill of an owner that it has recorded them as unresponsive, and at times its successor is
//! killed as well. In a surge several times as many jobs are submitted as the workers have room for.

use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime};

use fastrand::Rng;
use http::Method;
use tokio::task::JoinSet;

use crate::daemons::{Caller, DaemonGroup};
use crate::proxy::ProxyMode;
use crate::restarts::{
    History, add_workers, advance_runs, find_rule_violations, keep_evidence, worker_id,
};
use crate::server::{Platform, StoreMode, TASK_MILLI, config, format_time};
use crate::{AcceptedJob, COMPLETION_TIMEOUT, find_incomplete_job, seeds};

/// Seeds that run in CI.
const CI_SEEDS: Range<u64> = 0..1;
/// Number of daemons per seed.
const DAEMON_COUNT: usize = 4;
/// Data centres of the workers, which get them in turn.
const DATA_CENTRES: [&str; 2] = ["east", "west"];
/// Number of workers per seed.
const WORKER_COUNT: usize = 8;
/// Time from the acknowledgement of an evacuation within which tasks may still start in the data centre (`evacuateMs`).
const EVACUATE_TIME: Duration = Duration::from_millis(5_000);
/// Time for which faults are injected per seed.
const FAULT_TIME_MS: u64 = 14_000;
/// Time of the first fault, by which tasks run.
const FIRST_FAULT_MS: u64 = 500;
/// Range of the time for which an evacuation is in force, in milliseconds; most last beyond [`EVACUATE_TIME`].
const EVACUATION_MS: Range<u64> = 3_000..9_500;
/// Range of the time between two evacuations of a data centre, in milliseconds.
const EVACUATION_PAUSE_MS: Range<u64> = 100..4_000;
/// Range of the time for which a worker is cut off when the owner is killed, in milliseconds. The owner records the worker after
/// 1.8 s without an answer, so that some kills come before the record and most after it.
const CUT_BEFORE_KILL_MS: Range<u64> = 1_700..3_500;
/// Range of the time for which a worker stays cut off after the kill, in milliseconds.
const CUT_AFTER_KILL_MS: Range<u64> = 500..9_000;
/// Number of tasks that submit jobs.
const SUBMITTER_COUNT: u64 = 8;
/// Range of the pause of a submitter between two submissions, in milliseconds.
const PAUSE_MS: Range<u64> = 500..1_300;
/// The same range during a surge, in which the jobs need several times the room of all workers.
const SURGE_PAUSE_MS: Range<u64> = 40..120;
/// Range of the length of a surge, in milliseconds.
const SURGE_MS: Range<u64> = 1_000..2_500;
/// Run time of a long task, in milliseconds; it may outlast a takeover.
const LONG_TASK_MS: u32 = 6_000;

/// Event at a daemon, a worker or the operator.
#[derive(Clone, Copy, Debug)]
enum Event {
    SetEvacuation(usize),
    LiftEvacuation(usize),
    SetWorkerMode(usize, ProxyMode),
    SetDaemonMode(usize, ProxyMode),
    SetStoreMode(usize, StoreMode),
    KillOwner,
    StartDaemons,
    SetSurge(bool),
}

/// An evacuation that was acknowledged at `set`.
struct Evacuation {
    data_centre: usize,
    set: SystemTime,
    lifted: Option<SystemTime>,
}

/// Jobs by the answer to their only submission; a job without an answer is in neither list.
#[derive(Default)]
struct Submissions {
    accepted: Vec<AcceptedJob>,
    /// Ids of the jobs that were refused.
    refused: Vec<String>,
}

/// State that the submitters of a seed share.
#[derive(Default)]
struct Phase {
    is_surge: AtomicBool,
    ended: AtomicBool,
}

// Guards against starts in an evacuated data centre (EVAC), a second run of a task on or beside a worker that is recorded as
// unresponsive (TWICE), and tasks of refused jobs (REFUSED).
#[tokio::test(flavor = "multi_thread")]
async fn evacuations_unresponsive_workers_and_surges_break_no_rule() {
    let mut violations = Vec::new();
    for seed in seeds(CI_SEEDS) {
        violations.extend(soak(seed).await);
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// Runs a seed; returns its violations.
async fn soak(seed: u64) -> Vec<String> {
    let mut rng = Rng::with_seed(seed);
    let history = History::default();
    let platform = Platform::start(0).await;
    let proxies = add_workers(&platform, WORKER_COUNT, &mut rng).await;
    for worker in 0..WORKER_COUNT {
        platform.assign_data_centre(&worker_id(worker), data_centre_of(worker));
    }
    platform.put("op", "config", &config(1));
    let settings = r#""drain_notice_ms": 200, "worker_threads": 1"#;
    let mut daemons = DaemonGroup::start(DAEMON_COUNT, &platform, settings).await;
    let mut run_clock = JoinSet::new();
    run_clock.spawn(advance_runs(platform.clone()));
    let phase = Arc::new(Phase::default());
    let mut submitters = JoinSet::new();
    for number in 0..SUBMITTER_COUNT {
        submitters.spawn(submit(seed, number, daemons.caller(), phase.clone()));
    }
    let mut evacuations = Vec::new();
    let mut kills = 0;
    let begin = Instant::now();
    for (at_ms, event) in schedule(&mut rng) {
        tokio::time::sleep(Duration::from_millis(at_ms).saturating_sub(begin.elapsed())).await;
        history.record(&format!("{event:?}"));
        match event {
            Event::SetEvacuation(data_centre) => {
                platform.put("op", &evacuation_key(data_centre), b"{}");
                let set = SystemTime::now();
                evacuations.push(Evacuation { data_centre, set, lifted: None });
            }
            Event::LiftEvacuation(data_centre) => lift(&platform, &mut evacuations, data_centre),
            Event::SetWorkerMode(worker, mode) => drop(proxies[worker].mode.send_replace(mode)),
            Event::SetDaemonMode(daemon, mode) => daemons.set_proxy_mode(daemon, mode),
            Event::SetStoreMode(daemon, mode) => daemons.set_store_mode(daemon, mode),
            Event::KillOwner => {
                let owner = daemons.owner().await;
                history.record(&format!("owner {owner:?}"));
                if let Some(owner) = owner {
                    daemons.kill_process(owner);
                    kills += 1;
                }
            }
            Event::StartDaemons => (0..DAEMON_COUNT).for_each(|at| daemons.start_process(at)),
            Event::SetSurge(is_surge) => phase.is_surge.store(is_surge, Ordering::Release),
        }
    }
    phase.ended.store(true, Ordering::Release);
    for proxy in &proxies {
        proxy.mode.send_replace(ProxyMode::Forward);
    }
    daemons.end_faults().await;
    (0..DATA_CENTRES.len()).for_each(|at| lift(&platform, &mut evacuations, at));
    let mut submissions = Submissions::default();
    while let Some(part) = submitters.join_next().await {
        let part = part.expect("the submitter does not panic");
        submissions.accepted.extend(part.accepted);
        submissions.refused.extend(part.refused);
    }
    let Submissions { accepted, refused } = submissions;
    let incomplete = find_incomplete_job(seed, &daemons, &accepted, COMPLETION_TIMEOUT).await;
    let mut violations = find_rule_violations(seed, &platform);
    violations.extend(incomplete.map(|job| format!("seed {seed}: {job} is not done")));
    violations.extend(find_late_starts(seed, &platform, &evacuations));
    violations.extend(find_starts_of_refused(seed, &platform, &refused));
    println!(
        "seed {seed}: {} jobs accepted, {} refused, {} runs, {} evacuations, {kills} owners killed, {} \
         workers recorded, {} violations in {} s",
        accepted.len(),
        refused.len(),
        platform.runs().len(),
        evacuations.len(),
        platform.count_keys("silent_workers"),
        violations.len(),
        begin.elapsed().as_secs()
    );
    keep_evidence(seed, &platform, &history, &mut daemons, &mut violations);
    violations
}

fn data_centre_of(worker: usize) -> &'static str {
    DATA_CENTRES[worker % DATA_CENTRES.len()]
}

fn evacuation_key(data_centre: usize) -> String {
    format!("evacuate/{}", DATA_CENTRES[data_centre])
}

/// Lifts the evacuation of a data centre if one is in force.
fn lift(platform: &Platform, evacuations: &mut [Evacuation], data_centre: usize) {
    let is_open = |evacuation: &&mut Evacuation| {
        evacuation.data_centre == data_centre && evacuation.lifted.is_none()
    };
    if let Some(evacuation) = evacuations.iter_mut().find(is_open) {
        // The end is taken before the removal, after which tasks may start at once.
        evacuation.lifted = Some(SystemTime::now());
        platform.remove("op", &evacuation_key(data_centre));
    }
}

/// Describes the starts in an evacuated data centre later than [`EVACUATE_TIME`] after the evacuation was set.
fn find_late_starts(seed: u64, platform: &Platform, evacuations: &[Evacuation]) -> Vec<String> {
    let runs = platform.runs();
    let late = evacuations.iter().flat_map(|Evacuation { data_centre, set, lifted }| {
        let in_data_centre = |id: &str| {
            (0..WORKER_COUNT)
                .any(|at| worker_id(at) == id && data_centre_of(at) == DATA_CENTRES[*data_centre])
        };
        let late = runs.iter().filter(move |run| {
            in_data_centre(&run.worker)
                && run.started > *set + EVACUATE_TIME
                && lifted.is_none_or(|lifted| run.started < lifted)
        });
        late.map(|run| {
            let (name, set) = (DATA_CENTRES[*data_centre], format_time(*set));
            format!("seed {seed}: start in {name}, which was evacuated at {set}: [{run}]")
        })
    });
    late.collect()
}

/// Describes the starts of tasks of refused jobs.
fn find_starts_of_refused(seed: u64, platform: &Platform, refused: &[String]) -> Vec<String> {
    let refused: BTreeSet<&str> = refused.iter().map(String::as_str).collect();
    let started = platform.started().into_iter();
    let started = started
        .filter(|task| task.split('.').next().is_some_and(|job| refused.contains(job)))
        .map(|task| format!("seed {seed}: start of {task}, whose job was refused"));
    started.collect()
}

/// Returns the events of a seed in the order of their times, in milliseconds.
fn schedule(rng: &mut Rng) -> Vec<(u64, Event)> {
    let mut events = Vec::new();
    for data_centre in 0..DATA_CENTRES.len() {
        let mut at_ms = FIRST_FAULT_MS + rng.u64(EVACUATION_PAUSE_MS);
        while at_ms < FAULT_TIME_MS {
            events.push((at_ms, Event::SetEvacuation(data_centre)));
            at_ms += rng.u64(EVACUATION_MS);
            events.push((at_ms, Event::LiftEvacuation(data_centre)));
            at_ms += rng.u64(EVACUATION_PAUSE_MS);
        }
    }
    let mut kill_ms = CUT_BEFORE_KILL_MS.end;
    while kill_ms < FAULT_TIME_MS {
        for worker in (0..WORKER_COUNT).filter(|_| rng.u8(0..4) == 0).collect::<Vec<_>>() {
            let cut_ms = kill_ms - rng.u64(CUT_BEFORE_KILL_MS);
            let joined_ms = kill_ms + rng.u64(CUT_AFTER_KILL_MS);
            events.push((cut_ms, Event::SetWorkerMode(worker, ProxyMode::Lost)));
            events.push((joined_ms, Event::SetWorkerMode(worker, ProxyMode::Forward)));
        }
        events.push((kill_ms, Event::KillOwner));
        let second_kill_ms = kill_ms + rng.u64(2_500..5_000);
        if rng.bool() {
            events.push((second_kill_ms, Event::KillOwner));
        }
        events.push((second_kill_ms + rng.u64(100..1_000), Event::StartDaemons));
        kill_ms += rng.u64(6_000..10_000);
    }
    let mut cut_ms = FIRST_FAULT_MS;
    while cut_ms < FAULT_TIME_MS {
        let daemon = rng.usize(..DAEMON_COUNT);
        let joined_ms = cut_ms + rng.u64(300..4_000);
        let (cut, joined) = match rng.u8(0..5) {
            0 => (Event::SetDaemonMode(daemon, ProxyMode::Closed), ProxyMode::Forward),
            1 => (Event::SetDaemonMode(daemon, ProxyMode::Stalled), ProxyMode::Forward),
            2 => (Event::SetStoreMode(daemon, StoreMode::Refuse), ProxyMode::Forward),
            3 => (Event::SetStoreMode(daemon, StoreMode::Hang), ProxyMode::Forward),
            _ => (Event::SetStoreMode(daemon, StoreMode::LoseResponses), ProxyMode::Forward),
        };
        events.push((cut_ms, cut));
        events.push((joined_ms, Event::SetDaemonMode(daemon, joined)));
        events.push((joined_ms, Event::SetStoreMode(daemon, StoreMode::Normal)));
        cut_ms += rng.u64(500..3_000);
    }
    let surge_ms = rng.u64(FIRST_FAULT_MS..FAULT_TIME_MS);
    events.push((surge_ms, Event::SetSurge(true)));
    events.push((surge_ms + rng.u64(SURGE_MS), Event::SetSurge(false)));
    events.sort_by_key(|(at_ms, _)| *at_ms);
    events
}

/// Submits jobs to random daemons, each once, until the end of the faults.
async fn submit(seed: u64, number: u64, caller: Caller, phase: Arc<Phase>) -> Submissions {
    let mut rng = Rng::with_seed(seed << 8 | number);
    let mut submissions = Submissions::default();
    let mut count = 0;
    while !phase.ended.load(Ordering::Acquire) {
        count += 1;
        let job = format!("{:016x}", seed << 32 | number << 24 | count);
        let path = format!("/q/{job}");
        match caller.call(rng.usize(..), Method::POST, &path, &job_body(&mut rng)).await.0 {
            200 => submissions.accepted.push(AcceptedJob { path, is_cancelled: false }),
            429 | 503 => submissions.refused.push(job),
            _ => {}
        }
        let is_surge = phase.is_surge.load(Ordering::Acquire);
        let pause_ms = rng.u64(if is_surge { SURGE_PAUSE_MS } else { PAUSE_MS });
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    submissions
}

/// Returns the body of a submission of a job with one step, whose tasks are short or long.
fn job_body(rng: &mut Rng) -> String {
    let run_time_ms = if rng.u8(0..20) == 0 { LONG_TASK_MS } else { rng.u32(20..400) };
    format!(
        r#"{{"spec":"{run_time_ms}","phases":[{{"count":{},"cpu":{TASK_MILLI},"estMs":{run_time_ms}}}]}}"#,
        rng.u32(1..4)
    )
}
