//! A randomized soak: real daemons as processes, faults from outside, promises checked meanwhile.
//!
//! Daemons reach the platform's stand-in through a proxy of their own, which cuts, silences or delays
//! their connections, and a door of their own, where the store refuses them or loses its answers; the processes are stopped, paused, killed and started anew, in series and at the
//! same time. Callers keep asking any daemon that is there. Every job that was accepted must be done, and
//! no task may run twice at once.
//!
//! ```text
//! cargo test -p wasabiswitchd --test soak                        the seeds of CI
//! SOAK_SEEDS=100..150 cargo test -p wasabiswitchd --test soak    fifty seeds by hand
//! ```

mod daemons;
mod proxy;
#[path = "../../../../platform/tests/wire/server.rs"]
mod server;

use std::ops::Range;
use std::time::{Duration, Instant};

use fastrand::Rng;
use http::Method;

use daemons::Fleet;
use server::{Platform, config};

/// Seeds that failed once, each with its cause.
const FAILED_SEEDS: [u64; 0] = [];
/// The further seeds of CI.
const CI_SEEDS: Range<u64> = 0..2;
/// How long faults go on in one seed.
const FAULTY_TIME: Duration = Duration::from_secs(8);
/// How long all accepted jobs may take once it is calm again.
const CALM_TIME: Duration = Duration::from_secs(25);
/// The daemons of one seed.
const DAEMONS: usize = 3;

fn seeds() -> Vec<u64> {
    let by_hand = std::env::var("SOAK_SEEDS").ok().and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    match by_hand {
        Some(range) => range.collect(),
        None => FAILED_SEEDS.into_iter().chain(CI_SEEDS).collect(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_jobs_are_done_once_whatever_befalls_the_daemons() {
    for seed in seeds() {
        soak(seed).await;
    }
}

async fn soak(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let platform = Platform::start(4).await;
    platform.put("op", "config", &config(1));
    let mut fleet = Fleet::start(DAEMONS, &platform).await;
    let mut accepted = Vec::new();
    let begun = Instant::now();
    let mut number = 0u64;
    while begun.elapsed() < FAULTY_TIME {
        if rng.u8(0..4) == 0 {
            fleet.disturb(&mut rng).await;
        }
        number += 1;
        let job = format!("/q/{:016x}", seed << 16 | number);
        let body = format!(
            r#"{{"spec":"{}","phases":[{{"count":{},"cpu":500,"estMs":200}},
                {{"count":1,"cpu":500,"estMs":100,"after":[0]}}]}}"#,
            rng.u32(20..600),
            rng.u32(1..4)
        );
        if fleet.call(rng.usize(..), Method::POST, &job, &body).await.0 == 200 {
            accepted.push(job);
        }
        tokio::time::sleep(Duration::from_millis(rng.u64(20..150))).await;
    }
    fleet.calm().await;
    assert!(!accepted.is_empty(), "seed {seed}: no job was accepted");
    for job in accepted {
        let done = async {
            let mut daemon = 0;
            loop {
                daemon += 1;
                let (status, body) = fleet.call(daemon, Method::GET, &job, "").await;
                assert_ne!(status, 410, "seed {seed}: {job} was accepted and is not known");
                if body.contains("done") {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let waited = tokio::time::timeout(CALM_TIME, done).await;
        assert!(waited.is_ok(), "seed {seed}: {job} was accepted and is not done");
    }
    assert_eq!(platform.duplicate_starts(), Vec::<String>::new(), "seed {seed}");
    // Each start names its task; a run that was lost with a daemon is no start of its own.
    println!("seed {seed}: {} starts", platform.started().len());
}
