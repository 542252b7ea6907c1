//! Workers that leave for good around stops and kills of the owner, and workers that restart as another kind while they are cut off
//! from the store.
//!
//! A worker leaves at a random moment of the takeover: before the successor reads the list of instances, between that and its calls
//! to the workers, or after them. Its entry stays for some time. Jobs are accepted all the while; some require the label of a kind.

use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

use fastrand::Rng;
use http::Method;
use tokio::task::JoinSet;

use crate::daemons::{Caller, DaemonGroup};
use crate::proxy::{Proxy, ProxyMode};
use crate::restarts::{
    History, add_workers, advance_runs, find_rule_violations, keep_evidence, worker_id,
};
use crate::server::{Platform, TASK_MILLI, config, unix_ms};
use crate::{AcceptedJob, find_incomplete_job, seeds};

/// Seeds that run in CI.
const CI_SEEDS: Range<u64> = 0..2;
/// Number of daemons per seed.
const DAEMON_COUNT: usize = 3;
/// Number of workers at the start of a seed.
const WORKER_COUNT: usize = 20;
/// Number of takeovers per seed.
const TAKEOVER_COUNT: usize = 3;
/// Range of the number of workers that leave around one takeover.
const DEPARTURES: Range<usize> = 1..4;
/// Pause between two workers that leave.
const DEPARTURE_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which the entry of a worker that has left expires.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4_500);
/// Time for which a restarting worker is down.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Time from the restart of a worker to its new entry.
const CUT_TIME: Duration = Duration::from_secs(3);
/// Pause between two submissions.
const SUBMISSION_PAUSE: Duration = Duration::from_millis(150);
/// Time within which each accepted job must complete after the last event; the platform states 14 s.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(14);

// Guards against jobs that wait for workers that have left around a takeover, and against tasks that start on a worker by the labels of
// its former incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn workers_that_leave_or_restart_around_takeovers_hold_back_no_job() {
    let mut violations = Vec::new();
    for seed in seeds(CI_SEEDS) {
        violations.extend(soak(seed).await);
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// Runs a seed; returns descriptions of the violations.
async fn soak(seed: u64) -> Vec<String> {
    let mut rng = Rng::with_seed(seed);
    let history = History::default();
    let platform = Platform::start(0).await;
    let proxies = add_workers(&platform, WORKER_COUNT, &mut rng).await;
    platform.put("op", "config", &config(1));
    let settings = r#""drain_notice_ms": 200, "worker_threads": 1"#;
    let mut daemons = DaemonGroup::start(DAEMON_COUNT, &platform, settings).await;
    let mut run_clock = JoinSet::new();
    run_clock.spawn(advance_runs(platform.clone()));
    let ended = Arc::new(AtomicBool::new(false));
    let submissions = tokio::spawn(submit(seed, daemons.caller(), ended.clone()));
    let mut workers: Vec<usize> = (0..WORKER_COUNT).collect();
    for _ in 0..TAKEOVER_COUNT {
        tokio::time::sleep(Duration::from_millis(rng.u64(2_000..4_000))).await;
        rng.shuffle(&mut workers);
        let restarting = workers[0];
        let departing = workers.split_off(workers.len() - rng.usize(DEPARTURES));
        let (platform, proxies) = (&platform, &proxies);
        let (history_of_restart, history_of_departures) = (history.clone(), history.clone());
        let departure_delay = Duration::from_millis(rng.u64(0..400));
        let kind = if rng.bool() { "a" } else { "b" };
        let restart = async move {
            history_of_restart.record(&format!("worker {restarting} restarts as kind {kind}"));
            restart_as(platform, &proxies[restarting], &worker_id(restarting), kind).await;
        };
        let departures = async move {
            tokio::time::sleep(departure_delay).await;
            for worker in &departing {
                history_of_departures.record(&format!("worker {worker} leaves"));
                platform.remove_worker(&worker_id(*worker));
                proxies[*worker].mode.send_replace(ProxyMode::Closed);
                tokio::time::sleep(DEPARTURE_INTERVAL).await;
            }
            tokio::time::sleep(ENTRY_LIFETIME).await;
            departing.iter().for_each(|worker| platform.remove("servers", &worker_id(*worker)));
        };
        let is_killed = rng.bool();
        tokio::join!(restart, departures, end_owner(&mut daemons, is_killed, &history));
        (0..DAEMON_COUNT).for_each(|daemon| daemons.start_process(daemon));
    }
    ended.store(true, Ordering::Release);
    let accepted = submissions.await.expect("the caller does not panic");
    let incomplete = find_incomplete_job(seed, &daemons, &accepted, COMPLETION_TIMEOUT).await;
    let mut violations = find_rule_violations(seed, &platform);
    violations.extend(incomplete.map(|job| format!("seed {seed}: {job} is not done")));
    let unlabelled = platform.starts_without_label().into_iter();
    violations.extend(unlabelled.map(|task| format!("seed {seed}: label missing: {task}")));
    println!(
        "seed {seed}: {} jobs accepted, {} runs, {} workers left, {} violations",
        accepted.len(),
        platform.runs().len(),
        WORKER_COUNT - workers.len(),
        violations.len()
    );
    keep_evidence(seed, &platform, &history, &mut daemons, &mut violations);
    violations
}

/// Restarts a worker as a kind; its new entry is written [`CUT_TIME`] later.
async fn restart_as(platform: &Platform, proxy: &Proxy, id: &str, kind: &str) {
    platform.stop_worker(id);
    proxy.mode.send_replace(ProxyMode::Closed);
    tokio::time::sleep(DOWN_TIME).await;
    platform.set_kind(id, kind);
    platform.start_worker(id, unix_ms(SystemTime::now()));
    proxy.mode.send_replace(ProxyMode::Forward);
    tokio::time::sleep(CUT_TIME).await;
    platform.write_entry(id);
}

/// Stops the owner as planned, or kills it.
async fn end_owner(daemons: &mut DaemonGroup, is_killed: bool, history: &History) {
    let owner = daemons.owner().await;
    history.record(&format!("owner {owner:?} ends, killed: {is_killed}"));
    match owner {
        Some(owner) if is_killed => daemons.kill_process(owner),
        Some(owner) => daemons.terminate_process(owner),
        None => {}
    }
}

/// Submits jobs to all daemons in turn until `ended`, of which every other one requires a kind; returns those that were accepted.
async fn submit(seed: u64, caller: Caller, ended: Arc<AtomicBool>) -> Vec<AcceptedJob> {
    let mut accepted = Vec::new();
    let mut number = 0;
    while !ended.load(Ordering::Acquire) {
        number += 1;
        let path = format!("/q/{:016x}", seed << 16 | number);
        let (spec, label) = match number % 2 {
            0 => ("300 a", r#","requiredLabel":"a""#),
            _ => ("300", ""),
        };
        let body = format!(
            r#"{{"spec":"{spec}","phases":[{{"count":3,"cpu":{TASK_MILLI},"estMs":300{label}}}]}}"#
        );
        let (status, _) = caller.call(number as usize, Method::POST, &path, &body).await;
        if status == 200 {
            accepted.push(AcceptedJob { path, is_cancelled: false });
        }
        tokio::time::sleep(SUBMISSION_PAUSE).await;
    }
    accepted
}
