//! Planned stops of daemons, in series and overlapping, while calls are in flight.
//!
//! The daemons get SIGTERM at random intervals and are started again once they have exited, as in a rolling restart.
//! At times the store refuses calls, hangs or loses its responses when a stop begins, so that calls are held; in one of
//! three seeds it is healthy, and no call may be held.

use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::callers::{self, Record, Shared};
use crate::daemons::{DaemonGroup, START_TIME};
use crate::server::{Platform, StoreMode, config};
use crate::{WORKER_COUNT, assert_jobs_complete, assert_starts_are_valid, seeds};

/// Number of daemons per seed.
const DAEMON_COUNT: usize = 5;
/// Number of callers per seed.
const CALLER_COUNT: u64 = 12;
/// Time for which stops begin per seed.
const STOPS_TIME: Duration = Duration::from_secs(8);
/// Time from the SIGTERM of a daemon to the closing of its entry listener.
const DRAIN_NOTICE_MS: u64 = 600;
/// Interval at which the processes are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Conditions of a seed.
struct Scenario {
    /// Time from the SIGTERM of a daemon after which the platform kills its process.
    termination_grace: Duration,
    /// Whether the store refuses calls, hangs or loses responses at times.
    has_store_faults: bool,
}

/// Scenarios, which the seeds use in turn. The long grace period lets each call end by its deadline, the short one does
/// not. With a healthy store no call is held.
const SCENARIOS: [Scenario; 3] = [
    Scenario { termination_grace: Duration::from_secs(6), has_store_faults: true },
    Scenario { termination_grace: Duration::from_millis(2_500), has_store_faults: true },
    Scenario { termination_grace: Duration::from_secs(6), has_store_faults: false },
];
/// Seeds that run in CI, one for each scenario.
const CI_SEEDS: Range<u64> = 0..SCENARIOS.len() as u64;

/// Returns the fields of the settings that govern a stop.
fn stop_settings(termination_grace: Duration) -> String {
    format!(
        r#""worker_threads": 1, "drain_notice_ms": {DRAIN_NOTICE_MS},
            "termination_grace_s": {}"#,
        termination_grace.as_secs_f64()
    )
}

// Guards against a planned stop that closes connections while calls that the daemon has read are unanswered.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_answered_during_planned_stops() {
    let mut violation_count = 0;
    for seed in seeds(CI_SEEDS) {
        violation_count += soak(seed).await;
    }
    assert_eq!(violation_count, 0, "calls without an answer");
}

/// Runs a seed and prints the violations that the callers saw; returns their number.
async fn soak(seed: u64) -> usize {
    let mut rng = Rng::with_seed(seed);
    let scenario = &SCENARIOS[seed as usize % SCENARIOS.len()];
    let platform = Platform::start(WORKER_COUNT).await;
    platform.put("op", "config", &config(1));
    let mut daemons =
        DaemonGroup::start(DAEMON_COUNT, &platform, &stop_settings(scenario.termination_grace))
            .await;
    let shared = Arc::new(Shared {
        seed,
        entries: daemons.entries(),
        terminated: Mutex::new(vec![None; DAEMON_COUNT]),
        ended: AtomicBool::new(false),
    });
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|number| tokio::spawn(callers::run(shared.clone(), number)))
        .collect();
    let stops = run_stops(&mut daemons, &shared, scenario, &mut rng).await;
    shared.ended.store(true, Ordering::Release);
    let mut record = Record::default();
    for caller in callers {
        record.merge(caller.await.expect("the caller does not panic"));
    }
    println!(
        "seed {seed}: {} stops ({} of the owner, {} overlapping, {} killed), {} calls answered \
         ({} in stops, {} of them held, slowest {} ms), {} not read, {} jobs accepted, {} violations",
        stops.begun,
        stops.of_owner,
        stops.overlapping,
        stops.killed,
        record.answered,
        record.answered_in_stop,
        record.held_in_stop,
        record.slowest_answer.as_millis(),
        record.unread,
        record.accepted.len(),
        record.violations.len(),
    );
    for violation in &record.violations {
        println!("seed {seed}: {violation}");
    }
    assert!(record.answered_in_stop > 0, "seed {seed}: no call was answered during a stop");
    if !scenario.has_store_faults {
        assert_eq!(
            record.held_in_stop, 0,
            "seed {seed}: calls were held although the store is healthy"
        );
    }
    assert_jobs_complete(seed, &daemons, &record.accepted).await;
    assert_starts_are_valid(seed, &platform);
    record.violations.len()
}

/// Numbers of stops of a seed.
#[derive(Default)]
struct StopCounts {
    begun: usize,
    of_owner: usize,
    /// Stops that began during the stop of another daemon.
    overlapping: usize,
    /// Stops that took longer than the grace period.
    killed: usize,
}

#[derive(Clone, Copy)]
enum ProcessState {
    Running { since: Instant },
    Stopping { since: Instant },
}

impl ProcessState {
    fn is_serving(self) -> bool {
        matches!(self, ProcessState::Running { since } if since.elapsed() >= START_TIME)
    }

    fn is_stopping(self) -> bool {
        matches!(self, ProcessState::Stopping { .. })
    }
}

/// Stops and restarts daemons for a while, and then waits until all of them serve calls again.
async fn run_stops(
    daemons: &mut DaemonGroup,
    shared: &Shared,
    scenario: &Scenario,
    rng: &mut Rng,
) -> StopCounts {
    let begin = Instant::now();
    let mut counts = StopCounts::default();
    let mut states = [ProcessState::Running { since: begin - START_TIME }; DAEMON_COUNT];
    let mut next_action = begin + Duration::from_millis(300);
    let mut store_fault_end = None;
    loop {
        let now = Instant::now();
        for (daemon, state) in states.iter_mut().enumerate() {
            let is_running = daemons.is_running(daemon);
            let ProcessState::Stopping { since } = *state else {
                assert!(is_running, "seed {}: d{daemon} ended without a stop", shared.seed);
                continue;
            };
            if !is_running {
                daemons.start_process(daemon);
                *state = ProcessState::Running { since: now };
            } else if now - since >= scenario.termination_grace {
                daemons.kill_process(daemon);
                counts.killed += 1;
            }
        }
        if store_fault_end.is_some_and(|end| now >= end) {
            store_fault_end = None;
            set_store_mode(daemons, 0..DAEMON_COUNT, StoreMode::Normal);
        }
        let ended = begin.elapsed() >= STOPS_TIME;
        if ended && !states.iter().any(|state| state.is_stopping()) {
            break;
        }
        if !ended && now >= next_action {
            if scenario.has_store_faults && store_fault_end.is_none() && rng.bool() {
                store_fault_end = Some(now + begin_store_fault(daemons, rng));
                next_action = now + Duration::from_millis(rng.u64(0..300));
            } else {
                if let Some(daemon) =
                    choose_daemon(&states, daemons.owner().await, rng, &mut counts)
                {
                    let now = Instant::now();
                    shared.terminated.lock().expect("no test thread panics")[daemon] = Some(now);
                    states[daemon] = ProcessState::Stopping { since: now };
                    daemons.terminate_process(daemon);
                }
                let in_a_row = rng.u8(0..3) == 0;
                let pause_ms = if in_a_row { rng.u64(0..150) } else { rng.u64(300..1_500) };
                next_action = now + Duration::from_millis(pause_ms);
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    set_store_mode(daemons, 0..DAEMON_COUNT, StoreMode::Normal);
    tokio::time::sleep(START_TIME).await;
    counts
}

/// Chooses the daemon to stop; returns `None` if no other daemon would serve calls.
fn choose_daemon(
    states: &[ProcessState],
    owner: Option<usize>,
    rng: &mut Rng,
    counts: &mut StopCounts,
) -> Option<usize> {
    let serving: Vec<usize> = (0..states.len()).filter(|at| states[*at].is_serving()).collect();
    if serving.len() < 2 {
        return None;
    }
    let owner = owner.filter(|owner| serving.contains(owner));
    let daemon = match owner {
        Some(owner) if rng.bool() => owner,
        _ => serving[rng.usize(..serving.len())],
    };
    counts.begun += 1;
    counts.of_owner += usize::from(owner == Some(daemon));
    counts.overlapping += usize::from(states.iter().any(|state| state.is_stopping()));
    Some(daemon)
}

/// Begins a fault of the store at one daemon or all; returns the time after which it is to end.
fn begin_store_fault(daemons: &DaemonGroup, rng: &mut Rng) -> Duration {
    let mode = [StoreMode::Hang, StoreMode::Refuse, StoreMode::LoseResponses][rng.usize(..3)];
    let daemon = rng.usize(..DAEMON_COUNT);
    let affected = if rng.bool() { 0..DAEMON_COUNT } else { daemon..daemon + 1 };
    set_store_mode(daemons, affected, mode);
    Duration::from_millis(rng.u64(300..2_000))
}

fn set_store_mode(daemons: &DaemonGroup, affected: Range<usize>, mode: StoreMode) {
    for daemon in affected {
        daemons.set_store_mode(daemon, mode);
    }
}
