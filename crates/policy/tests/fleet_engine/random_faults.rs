//! Random fault injection: lost and late orders, lost reports, partitioned and crashing workers, and takeovers.
//!
//! The checker of the simulation checks every start. After a final period without faults, every job must be done.

use std::ops::Range;
use std::thread::ScopedJoinHandle;
use std::time::Duration;

use fastrand::Rng;
use wasabiswitch_policy::fleet::config::FleetConfig;
use wasabiswitch_policy::fleet::ownership::{
    OWNER_LEASE, OWNER_LEASE_MARGIN, OWNER_UNRESPONSIVE_AFTER,
};
use wasabiswitch_policy::fleet::state::{Phase, PoolSettings};
use wasabiswitch_policy::ids::InstanceId;
use wasabiswitch_standin::fleet::single_queue_config;

use crate::simulation::{Faults, Simulation, instance, step, submission, worker_entry};

/// Seeds of faults that were fixed: an end was acknowledged to a worker incarnation that had not reported yet
/// (1); a start was delivered late to a new incarnation (471), and to the one after it (680).
const REGRESSION_SEEDS: [u64; 3] = [1, 471, 680];
/// Seeds of the further histories.
const SEEDS: Range<u64> = 1_000..1_040;
/// Number of workers.
const WORKERS: usize = 5;
/// Cap of the team in thousandths of a core, less than the capacity of the workers so that it takes effect.
const CAP_MILLI: u64 = 14_000;

/// Environment variable with a range of further seeds, such as `100..200`, for both kinds of history.
const SEEDS_VARIABLE: &str = "HISTORY_SEEDS";

/// Returns the seeds that the environment asks for, or `regressions` and then `others`.
fn seeds(regressions: &[u64], others: Range<u64>) -> Vec<u64> {
    let Ok(range) = std::env::var(SEEDS_VARIABLE) else {
        return regressions.iter().copied().chain(others).collect();
    };
    let (first, end) = range.split_once("..").expect("a range such as 100..200");
    let number = |text: &str| text.parse().expect("a range of whole numbers");
    (number(first)..number(end)).collect()
}

/// Checks the histories of all seeds, each on its own, and reports every seed that broke a rule or lost a job.
fn check_histories(seeds: &[u64], run: fn(u64) -> Simulation, is_settled: fn(Phase) -> bool) {
    let threads = std::thread::available_parallelism().map_or(1, |cores| cores.get().div_ceil(2));
    let check = |seed: u64| {
        let sim = run(seed);
        let open = sim.engine.jobs.values().filter(|job| !is_settled(job.visible_phase));
        let open = open.map(|job| format!("job {} is not settled", job.submission.job));
        let broken: Vec<String> = sim.violations.iter().cloned().chain(open).collect();
        (!broken.is_empty()).then_some((seed, broken))
    };
    let failed: Vec<(u64, Vec<String>)> = std::thread::scope(|scope| {
        let chunks = seeds.chunks(seeds.len().div_ceil(threads).max(1));
        let workers: Vec<_> = chunks
            .map(|chunk| scope.spawn(move || chunk.iter().copied().filter_map(check).collect()))
            .collect();
        let join = |worker: ScopedJoinHandle<'_, Vec<_>>| worker.join().expect("a history ends");
        workers.into_iter().flat_map(join).collect()
    });
    println!("{} histories, {} of them with a violation", seeds.len(), failed.len());
    assert!(failed.is_empty(), "{failed:#?}");
}

fn run_history(seed: u64) -> Simulation {
    let mut choices = Rng::with_seed(seed ^ 0x5eed);
    let faults = Faults {
        lost_acks: choices.f64() * 0.1,
        late_orders: choices.f64() * 0.1,
        lost_reports: choices.f64() * 0.2,
        failed_tasks: 0.0,
        late_answers: 0.0,
        ..Faults::default()
    };
    let mut sim = Simulation::new(WORKERS, CAP_MILLI, faults, seed);
    for round in 0..24 {
        let mut second = step(choices.u32(1..4), choices.u64(50..1_500));
        second.after = vec![0];
        let first = step(choices.u32(1..6), choices.u64(50..1_500));
        sim.submit(submission(&format!("job-{round}"), vec![first, second]));
        let worker = format!("w{}", choices.usize(0..WORKERS));
        match choices.u8(0..8) {
            0 => sim.take_over(),
            1 => {
                let until = sim.now + Duration::from_millis(choices.u64(100..9_000));
                sim.partitioned.insert(worker.as_str().into(), until);
            }
            2 => sim.restart(&worker),
            _ => {}
        }
        sim.run(Duration::from_millis(choices.u64(50..1_200)));
    }
    sim.faults = Faults::default();
    sim.run(Duration::from_secs(30));
    sim
}

#[test]
fn random_faults_break_no_rule_and_lose_no_job() {
    let seeds = seeds(&REGRESSION_SEEDS, SEEDS);
    check_histories(&seeds, run_history, |phase| phase == Phase::Done);
}

/// Seeds of histories of full workers on which a worker got more tasks than it has capacity for.
const FULL_WORKER_REGRESSION_SEEDS: [u64; 10] =
    [10_022, 10_038, 10_151, 10_011, 10_094, 10_292, 10_461, 10_560, 11_102, 20_596];
/// Seeds of histories on which a delayed report of an incarnation that the owner had never known replaced the current one.
const DELAYED_REPORT_REGRESSION_SEEDS: [u64; 2] = [40_251, 41_203];
/// Seeds of the further histories of full workers.
const FULL_WORKER_SEEDS: Range<u64> = 2_000..2_040;
/// Number of workers that are kept full.
const FULL_WORKERS: usize = 3;

/// Runs a history in which more tasks wait than the workers can run, jobs are cancelled, workers restart within
/// a second, owners are replaced, and answers overtake each other.
fn run_history_of_full_workers(seed: u64) -> Simulation {
    let mut choices = Rng::with_seed(seed ^ 0xf011);
    let faults = Faults {
        lost_acks: choices.f64() * 0.2,
        late_orders: choices.f64() * 0.4,
        lost_reports: choices.f64() * 0.2,
        failed_tasks: choices.f64() * 0.05,
        late_answers: choices.f64() * 0.3,
        ..Faults::default()
    };
    let mut sim = Simulation::new(FULL_WORKERS, 0, faults, seed);
    for round in 0..40 {
        let work = step(choices.u32(4..12), choices.u64(200..3_000));
        sim.submit(submission(&format!("job-{round}"), vec![work]));
        let worker = format!("w{}", choices.usize(0..FULL_WORKERS));
        match choices.u8(0..8) {
            0 => sim.take_over(),
            1 => {
                let until = sim.now + Duration::from_millis(choices.u64(100..3_000));
                sim.partitioned.insert(worker.as_str().into(), until);
            }
            2 | 3 => sim.restart(&worker),
            4 | 5 => {
                let job = format!("job-{}", choices.u32(0..=round));
                sim.engine.cancel(&job, sim.now);
            }
            _ => {}
        }
        sim.run(Duration::from_millis(choices.u64(50..800)));
    }
    sim.faults = Faults::default();
    sim.run(Duration::from_secs(150));
    sim
}

#[test]
fn full_workers_never_exceed_their_capacity() {
    let regressions =
        [&FULL_WORKER_REGRESSION_SEEDS[..], &DELAYED_REPORT_REGRESSION_SEEDS].concat();
    let seeds = seeds(&regressions, FULL_WORKER_SEEDS);
    check_histories(&seeds, run_history_of_full_workers, Phase::is_ended);
}

/// Seeds of the histories with changes of the configuration.
const CONFIG_CHANGE_SEEDS: Range<u64> = 3_000..3_040;
/// Pools of the histories in which the queue changes its pool.
const POOLS: [&str; 2] = ["p", "p2"];
/// Number of workers in [`POOLS`] together.
const TWO_POOL_WORKERS: usize = 6;

/// Returns a configuration of [`POOLS`] with one of them for the queue, and with a cap for the team, zero for none.
fn two_pool_config(version: u64, pool: &str, cap_milli: u64) -> FleetConfig {
    let mut config = single_queue_config("spare", cap_milli);
    config.version = version;
    config.pools.extend(POOLS.map(|pool| (pool.into(), PoolSettings::default())));
    config.routes[0].queue_settings.pool = pool.into();
    config
}

/// Creates a fleet with workers in both of [`POOLS`].
fn two_pool_fleet(config: FleetConfig, faults: Faults, seed: u64) -> Simulation {
    let entry = |number: usize| worker_entry(&format!("w{number}"), POOLS[number % POOLS.len()]);
    let entries = (0..TWO_POOL_WORKERS).map(entry).collect();
    Simulation::with_workers(config, entries, faults, seed)
}

/// Returns a configuration with a random pool for the queue, and with a random cap for the team or without the team.
fn random_config(version: u64, choices: &mut Rng) -> FleetConfig {
    let cap_milli = [0, 6_000, 9_000][choices.usize(0..3)];
    let pool = POOLS[choices.usize(0..POOLS.len())];
    let mut config = two_pool_config(version, pool, cap_milli);
    if choices.u8(0..6) == 0 {
        config.teams.clear();
    }
    config
}

/// Runs a history in which routes, caps and teams change around takeovers, and jobs have schedules.
fn run_history_of_config_changes(seed: u64) -> Simulation {
    let mut choices = Rng::with_seed(seed ^ 0xc0f1);
    let faults = Faults {
        lost_acks: choices.f64() * 0.1,
        late_orders: 0.0,
        lost_reports: choices.f64() * 0.2,
        failed_tasks: 0.0,
        late_answers: choices.f64() * 0.2,
        ..Faults::default()
    };
    let config = random_config(1, &mut choices);
    let mut sim = two_pool_fleet(config, faults, seed);
    for round in 0..30 {
        let mut job = submission(
            &format!("job-{round}"),
            vec![step(choices.u32(1..6), choices.u64(50..3_000))],
        );
        if choices.u8(0..4) == 0 {
            (job.repeats, job.period_ms) = (choices.u32(1..4), choices.u64(200..2_000));
        }
        sim.submit(job);
        let worker = format!("w{}", choices.usize(0..TWO_POOL_WORKERS));
        match choices.u8(0..8) {
            0 | 1 => sim.take_over(),
            2 => {
                let until = sim.now + Duration::from_millis(choices.u64(100..9_000));
                sim.partitioned.insert(worker.as_str().into(), until);
            }
            3 => sim.restart(&worker),
            4 | 5 => sim.apply_config(random_config(2 + round, &mut choices)),
            _ => {}
        }
        sim.run(Duration::from_millis(choices.u64(50..900)));
    }
    sim.faults = Faults::default();
    sim.run(Duration::from_secs(60));
    sim
}

// Guards against a successor that takes the present configuration, or its own time of day, for what its predecessor acted by.
#[test]
fn changes_of_the_configuration_around_takeovers_break_no_rule_and_lose_no_job() {
    let seeds = seeds(&[], CONFIG_CHANGE_SEEDS);
    check_histories(&seeds, run_history_of_config_changes, |phase| phase == Phase::Done);
}

/// Seeds of histories in which a replaced owner starts a task again whose run its successor has adopted.
const OVERLAP_REGRESSION_SEEDS: [u64; 2] = [20_761, 22_982];
/// Seeds of the further histories with overlapping owners.
const OVERLAP_SEEDS: Range<u64> = 4_000..4_040;
/// Maximum time for which an owner acts after it has been replaced.
const OVERLAP_MAX: Duration =
    OWNER_LEASE.saturating_add(OWNER_LEASE_MARGIN).saturating_sub(OWNER_UNRESPONSIVE_AFTER);

/// Runs a history in which owners are replaced while they act, workers are cut off from the newest owner or restart, and the
/// pool of the queue changes.
fn run_history_of_overlapping_owners(seed: u64) -> Simulation {
    let mut choices = Rng::with_seed(seed ^ 0x0b3a);
    let faults = Faults { lost_acks: choices.f64() * 0.1, ..Faults::default() };
    let mut sim = two_pool_fleet(two_pool_config(1, POOLS[0], 0), faults, seed);
    for round in 0..30 {
        let work = step(choices.u32(1..6), choices.u64(50..3_000));
        sim.submit(submission(&format!("job-{round}"), vec![work]));
        let worker = format!("w{}", choices.usize(0..TWO_POOL_WORKERS));
        let until = sim.now + Duration::from_millis(choices.u64(100..9_000));
        match choices.u8(0..8) {
            0 | 1 => {
                sim.unreachable_for_newest.insert(worker.as_str().into(), until);
                sim.take_over_with_overlap(
                    OVERLAP_MAX.mul_f64(choices.f64()),
                    sim.now + OVERLAP_MAX,
                );
            }
            2 => drop(sim.partitioned.insert(worker.as_str().into(), until)),
            3 => sim.restart(&worker),
            4 => {
                let pool = POOLS[choices.usize(0..POOLS.len())];
                sim.apply_config(two_pool_config(2 + round, pool, 0));
            }
            _ => {}
        }
        sim.run(Duration::from_millis(choices.u64(50..900)));
    }
    sim.faults = Faults::default();
    sim.run(Duration::from_secs(60));
    sim
}

#[test]
fn overlapping_owners_with_changes_of_the_pool_break_no_rule_and_lose_no_job() {
    let seeds = seeds(&OVERLAP_REGRESSION_SEEDS, OVERLAP_SEEDS);
    check_histories(&seeds, run_history_of_overlapping_owners, |phase| phase == Phase::Done);
}

/// Seeds of histories in which only an unanswered start (100050) or an unanswered renewal (100972) reaches a restarted worker.
const RESTART_REGRESSION_SEEDS: [u64; 2] = [100_050, 100_972];
/// Seeds of the further histories with restarted workers.
const RESTART_SEEDS: Range<u64> = 5_000..5_040;
/// Number of workers in the histories with restarted workers.
const RESTARTED_WORKERS: usize = 4;

/// Runs a history in which workers restart and are cut off soon after, also around takeovers, and tasks outlast the leases.
fn run_history_of_restarted_workers(seed: u64) -> Simulation {
    let mut choices = Rng::with_seed(seed ^ 0x4e57);
    let faults = Faults {
        lost_acks: choices.f64() * 0.1,
        late_orders: 0.0,
        lost_reports: choices.f64() * 0.2,
        failed_tasks: 0.0,
        late_answers: choices.f64() * 0.2,
        ..Faults::default()
    };
    let mut sim = Simulation::new(RESTARTED_WORKERS, 0, faults, seed);
    for round in 0..24 {
        let work = step(choices.u32(1..4), choices.u64(2_000..12_000));
        sim.submit(submission(&format!("job-{round}"), vec![work]));
        sim.list_all_workers();
        let worker: InstanceId = format!("w{}", choices.usize(0..RESTARTED_WORKERS)).into();
        let event = choices.u8(0..8);
        if event < 5 {
            sim.restart(&worker);
            sim.run(Duration::from_millis(choices.u64(0..2_500)));
        }
        if event < 7 {
            let until = sim.now + Duration::from_millis(choices.u64(1_000..12_000));
            sim.partitioned.insert(worker.clone(), until);
        }
        match event {
            0 => sim.take_over(),
            1 => {
                let ids = sim.workers.keys();
                let instances = ids.map(|id| (id.clone(), instance(id, "p"))).collect();
                sim.unlisted.insert(worker);
                sim.take_over_with(choices.bool().then_some(&instances));
            }
            _ => {}
        }
        sim.run(Duration::from_millis(choices.u64(200..2_500)));
    }
    sim.list_all_workers();
    sim.faults = Faults::default();
    sim.run(Duration::from_secs(90));
    sim
}

// Guards against a second run of a task while the first one goes on, on a restarted worker, under a lease that was extended for
// its previous incarnation.
#[test]
fn restarted_workers_that_are_cut_off_break_no_rule_and_lose_no_job() {
    let seeds = seeds(&RESTART_REGRESSION_SEEDS, RESTART_SEEDS);
    check_histories(&seeds, run_history_of_restarted_workers, |phase| phase == Phase::Done);
}

#[test]
fn checker_detects_duplicate_starts_of_a_new_owner() {
    let mut sim = Simulation::new(2, 0, Faults::default(), 7);
    sim.submit(submission("a", vec![step(4, 3_000)]));
    sim.run(Duration::from_millis(500));
    sim.take_over();
    let keys: Vec<_> = sim.engine.workers.keys().collect();
    for key in keys {
        // This owner ignores the runs that its predecessor started.
        sim.engine.drop_all_runs(key, "started by another owner", &mut Vec::new());
    }
    sim.plan();
    sim.run(Duration::from_secs(1));
    assert_ne!(sim.violations, Vec::<String>::new());
}

/// Seeds of histories of restarts behind late requests for reports.
const LATE_HOLD_SEEDS: Range<u64> = 70_000..70_040;
/// Number of workers that restart behind late requests.
const LATE_HOLD_WORKERS: usize = 3;

/// Runs a history of many short tasks in which workers restart under their ids while requests for reports, with the
/// acknowledgements in them, are delivered seconds late.
fn run_history_of_late_holds(seed: u64) -> Simulation {
    let mut choices = Rng::with_seed(seed ^ 0xac4);
    let faults =
        Faults { late_holds: 0.2 + choices.f64() * 0.4, lost_acks: 0.05, ..Faults::default() };
    let mut sim = Simulation::new(LATE_HOLD_WORKERS, 0, faults, seed);
    for round in 0..40 {
        let work = step(choices.u32(4..16), choices.u64(20..400));
        sim.submit(submission(&format!("job-{round}"), vec![work]));
        let worker = format!("w{}", choices.usize(0..LATE_HOLD_WORKERS));
        match choices.u8(0..8) {
            0 => sim.take_over(),
            1..=3 => sim.restart(&worker),
            4 => sim.restart_between_requests(&worker),
            _ => {}
        }
        sim.run(Duration::from_millis(choices.u64(50..1_500)));
    }
    sim.faults = Faults::default();
    sim.run(Duration::from_secs(60));
    sim
}

// Tasks ran again after their ends had been acknowledged: see docs/incidents/2026-12-late-acknowledgement-drops-unread-ends.md.
#[test]
fn late_requests_for_reports_acknowledge_no_ends_of_later_incarnations() {
    let seeds = seeds(&[], LATE_HOLD_SEEDS);
    check_histories(&seeds, run_history_of_late_holds, |phase| phase == Phase::Done);
}
