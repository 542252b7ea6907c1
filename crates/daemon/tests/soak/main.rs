//! A randomized soak test of daemon processes under injected faults.
//!
//! Each daemon reaches the platform's stand-in through a proxy of its own, which closes, stalls or delays its
//! connections, and at an address of its own, where the store refuses its calls, hangs or loses its responses. The
//! processes are stopped, paused, killed and restarted, one after the other and at the same time, while jobs are
//! submitted to any of the daemons and some are cancelled, also by callers that have left before the answer, some queue needs
//! advice from a service that works on one call at a time, their queue changes its pool, workers restart, and odd entries
//! appear in the platform's lists. Every accepted job must complete or be cancelled, no task may run twice at the same time, and no worker may
//! get more tasks than it has room for.
//!
//! The test in `stops` stops daemons in the planned way only, and checks that each call is answered. The test in `restarts`
//! restarts workers under their ids and cuts them off while long tasks run. The test in `evacuations` evacuates data centres,
//! cuts workers off before the owner is killed, and submits several times as many jobs as the workers have room for. The test in
//! `departures` removes workers around stops and kills of the owner, and restarts others as another kind behind a cut.
//!
//! ```text
//! cargo test -p wasabiswitchd --test soak                        the seeds of CI
//! SOAK_SEEDS=100..150 cargo test -p wasabiswitchd --test soak    fifty other seeds
//! ```

mod callers;
mod daemons;
mod departures;
mod evacuations;
mod proxy;
mod restarts;
#[path = "../../../../platform/tests/wire/server.rs"]
mod server;
mod stops;

use std::ops::Range;
use std::time::{Duration, Instant, SystemTime};

use fastrand::Rng;
use http::Method;

use daemons::DaemonGroup;
use server::{Platform, TASK_MILLI, config_with_advice};

/// Seeds that have failed before, each with a comment on the cause.
const FAILED_SEEDS: [u64; 0] = [];
/// Further seeds that run in CI.
const CI_SEEDS: Range<u64> = 0..2;
/// Time for which faults are injected per seed.
const FAULT_TIME: Duration = Duration::from_secs(8);
/// Time within which each accepted job must complete once no more faults are injected.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(25);
/// Number of workers per seed; the jobs keep them full at times.
const WORKER_COUNT: usize = 4;
/// Pool to which the queue leads at times instead of its first one.
const OTHER_POOL: &str = "p2";
/// Number of workers in [`OTHER_POOL`] per seed.
const OTHER_POOL_WORKER_COUNT: usize = 2;
/// Share of the accepted jobs that are cancelled: one in this number.
const CANCELLED_JOB_INTERVAL: u8 = 6;
/// Share of the submissions to the queue with advice: one in this number, which keeps the service half busy.
const ADVISED_JOB_INTERVAL: u8 = 6;
/// Share of the submissions whose caller leaves before the answer and cancels the job: one in this number.
const ABANDONED_JOB_INTERVAL: u8 = 6;
/// Range of the time for which such a caller stays, in milliseconds.
const ABANDONED_AFTER_MS: Range<u64> = 0..150;
/// Time after the acknowledgement of a cancellation from which no task of the job may start, as the platform states it.
const CANCEL_TIME: Duration = Duration::from_millis(3_000);
/// Depth of nesting of an odd entry.
const ODD_ENTRY_DEPTH: usize = 20_000;
/// Number of daemons per seed.
const DAEMON_COUNT: usize = 3;
/// Fields of the settings that govern a stop.
const STOP_SETTINGS: &str = r#""drain_notice_ms": 200, "stop_timeout_ms": 1000"#;

/// A job that was accepted.
struct AcceptedJob {
    /// Path of calls on the job.
    path: String,
    /// Whether a cancellation of the job was sent.
    is_cancelled: bool,
}

/// A job whose cancellation was acknowledged although no answer to its submission had arrived.
struct AbandonedJob {
    /// Id of the job.
    id: String,
    /// Time of the acknowledgement.
    cancelled: SystemTime,
}

/// Returns the seeds that the environment requests, or else those that have failed before and `ci_seeds`.
fn seeds(ci_seeds: Range<u64>) -> Vec<u64> {
    let requested = std::env::var("SOAK_SEEDS").ok().and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    match requested {
        Some(range) => range.collect(),
        None => FAILED_SEEDS.into_iter().chain(ci_seeds).collect(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_jobs_complete_without_duplicate_runs() {
    for seed in seeds(CI_SEEDS) {
        soak(seed).await;
    }
}

async fn soak(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let platform = Platform::start(WORKER_COUNT).await;
    platform.add_workers(OTHER_POOL_WORKER_COUNT, OTHER_POOL);
    platform.put("op", "config", &config_with_advice(1, "p"));
    let mut daemons = DaemonGroup::start(DAEMON_COUNT, &platform, STOP_SETTINGS).await;
    let (mut accepted, mut abandoned) = (Vec::new(), Vec::new());
    let start = Instant::now();
    let mut number = 0u64;
    while start.elapsed() < FAULT_TIME {
        if rng.u8(0..4) == 0 {
            daemons.inject_fault(&mut rng).await;
        }
        number += 1;
        let queue = if rng.u8(0..ADVISED_JOB_INTERVAL) == 0 { "advised" } else { "q" };
        let job = format!("/{queue}/{:016x}", seed << 16 | number);
        let body = job_body(&mut rng);
        if rng.u8(0..ABANDONED_JOB_INTERVAL) == 0 {
            abandoned.extend(abandon_submission(&daemons, &mut rng, &job, &body).await);
            continue;
        }
        if daemons.call(rng.usize(..), Method::POST, &job, &body).await.0 == 200 {
            let is_cancelled = rng.u8(0..CANCELLED_JOB_INTERVAL) == 0;
            if is_cancelled {
                daemons.call(rng.usize(..), Method::DELETE, &job, "").await;
            }
            accepted.push(AcceptedJob { path: job, is_cancelled });
        }
        tokio::time::sleep(Duration::from_millis(rng.u64(20..150))).await;
    }
    daemons.end_faults().await;
    assert_jobs_complete(seed, &daemons, &accepted).await;
    assert_starts_are_valid(seed, &platform);
    assert_abandoned_jobs_do_not_start(seed, &platform, &abandoned);
}

/// Submits a job as a client does that leaves before the answer, and then cancels it at another daemon; returns the job if the
/// cancellation is acknowledged.
async fn abandon_submission(
    daemons: &DaemonGroup,
    rng: &mut Rng,
    path: &str,
    body: &str,
) -> Option<AbandonedJob> {
    let stay = Duration::from_millis(rng.u64(ABANDONED_AFTER_MS));
    let submission = daemons.call(rng.usize(..), Method::POST, path, body);
    let _ = tokio::time::timeout(stay, submission).await;
    let (status, _) = daemons.call(rng.usize(..), Method::DELETE, path, "").await;
    let id = path.rsplit('/').next().unwrap_or(path).to_owned();
    matches!(status, 200 | 410).then(|| AbandonedJob { id, cancelled: SystemTime::now() })
}

/// Checks that no task of a cancelled job has started later than [`CANCEL_TIME`] after the acknowledgement.
fn assert_abandoned_jobs_do_not_start(seed: u64, platform: &Platform, abandoned: &[AbandonedJob]) {
    let runs = platform.runs();
    let late: Vec<String> = abandoned
        .iter()
        .flat_map(|job| {
            runs.iter().filter(move |run| run.task.starts_with(&job.id)).map(move |r| (job, r))
        })
        .filter(|(job, run)| !run.is_late && run.started > job.cancelled + CANCEL_TIME)
        .map(|(_, run)| format!("{} starts after the cancellation of its job", run.task))
        .collect();
    println!("seed {seed}: {} submissions abandoned and cancelled", abandoned.len());
    assert_eq!(late, Vec::<String>::new(), "seed {seed}");
}

/// Returns the body of a submission of a job with two steps.
fn job_body(rng: &mut Rng) -> String {
    format!(
        r#"{{"spec":"{}","phases":[{{"count":{},"cpu":{TASK_MILLI},"estMs":200}},
            {{"count":1,"cpu":{TASK_MILLI},"estMs":100,"after":[0]}}]}}"#,
        rng.u32(20..600),
        rng.u32(1..4)
    )
}

/// Waits until all accepted jobs are done or, if a cancellation was sent, cancelled.
async fn assert_jobs_complete(seed: u64, daemons: &DaemonGroup, accepted: &[AcceptedJob]) {
    assert!(!accepted.is_empty(), "seed {seed}: no job was accepted");
    let incomplete = find_incomplete_job(seed, daemons, accepted, COMPLETION_TIMEOUT).await;
    assert_eq!(incomplete, None, "seed {seed}: the job was accepted and is not done");
}

/// Waits for each accepted job until it is done or, if a cancellation was sent, cancelled; returns the first one that is not
/// within `timeout`.
async fn find_incomplete_job<'a>(
    seed: u64,
    daemons: &DaemonGroup,
    accepted: &'a [AcceptedJob],
    timeout: Duration,
) -> Option<&'a str> {
    for AcceptedJob { path, is_cancelled } in accepted {
        let done = async {
            let mut daemon = 0;
            loop {
                daemon += 1;
                let (status, body) = daemons.call(daemon, Method::GET, path, "").await;
                assert_ne!(status, 410, "seed {seed}: {path} was accepted and is unknown");
                // A cancellation without an answer may have had no effect.
                if body.contains("done") || (*is_cancelled && body.contains("cancelled")) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        if tokio::time::timeout(timeout, done).await.is_err() {
            return Some(path);
        }
    }
    None
}

fn assert_starts_are_valid(seed: u64, platform: &Platform) {
    assert_eq!(platform.duplicate_starts(), Vec::<String>::new(), "seed {seed}");
    assert_eq!(platform.starts_beyond_capacity(), Vec::<String>::new(), "seed {seed}");
    // The count includes every start that reached a worker, also refused starts and later attempts.
    println!("seed {seed}: {} starts", platform.started().len());
}
