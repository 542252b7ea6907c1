//! State, messages, processor time and memory as slopes in the size of the fleet.
//!
//! Daemons run idle inside the process on paused time, so that a simulated minute costs only what
//! control costs. Counts are the same on each run; processor time and memory are not.

use std::time::Duration;

use http::Method;
use serde_json::json;
use wasabiswitch_kernel::metric;
use wasabiswitch_policy::grants::{Grant, GrantRow};
use wasabiswitch_policy::instance::{InstanceRow, InstanceState};
use wasabiswitch_policy::session::start;
use wasabiswitch_standin::Operation;
use wasabiswitch_standin::cluster::{ClusterSpec, TestCluster};
use wasabiswitch_wire::encode;

/// How long the daemons are watched, in simulated time.
const WATCHED: Duration = Duration::from_secs(60);
/// The clock ticks of the kernel's accounts of processor time, in a second.
const TICKS_PER_SECOND: f64 = 100.0;
/// The size of a page, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// The size of one measured world.
#[derive(Clone, Copy, Debug)]
struct Size {
    daemons: u8,
    instances: usize,
    teams: usize,
    pools: usize,
}

/// What one daemon spends, in a second of simulated time where that applies.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    cpu_percent: f64,
    memory_mb: f64,
    reads: f64,
    writes: f64,
    peer_bytes: f64,
}

const BASE: Size = Size { daemons: 3, instances: 50, teams: 6, pools: 5 };

/// Runs the measurement and prints its tables.
pub(crate) fn run() {
    metric::install();
    rows();
    changes();
    println!("## What an idle daemon spends\n");
    println!(
        "| daemons | instances | pools | teams | % of a core | memory, MB | reads/s | writes/s | bytes to peers/s |\n|---|---|---|---|---|---|---|---|---|"
    );
    let mut fits = String::new();
    let daemons = [3, 9, 18, 27].map(|daemons| Size { daemons, ..BASE });
    let instances = [50, 500, 2_000, 4_000].map(|instances| Size { instances, ..BASE });
    let teams = [6, 60, 300, 580].map(|teams| Size { teams, ..BASE });
    let pools = [5, 20, 59].map(|pools| Size { instances: 500, pools, ..BASE });
    fits.push_str(&series("daemon", &daemons, |size| f64::from(size.daemons)));
    fits.push_str(&series("instance", &instances, |size| size.instances as f64));
    fits.push_str(&series("team", &teams, |size| size.teams as f64));
    fits.push_str(&series("pool", &pools, |size| size.pools as f64));
    println!(
        "\n## Slopes, each for one more\n\n| one more | figure | at the start of the series | slope | largest residual |\n|---|---|---|---|---|\n{fits}"
    );
}

/// Measures a series of sizes, prints its lines, and returns the lines of its fits.
fn series(name: &str, sizes: &[Size], x: impl Fn(&Size) -> f64) -> String {
    let measured: Vec<(f64, Spent)> = sizes
        .iter()
        .map(|size| {
            let spent = measure(*size);
            println!(
                "| {} | {} | {} | {} | {:.3} | {:.2} | {:.2} | {:.2} | {:.0} |",
                size.daemons,
                size.instances,
                size.pools,
                size.teams,
                spent.cpu_percent,
                spent.memory_mb,
                spent.reads,
                spent.writes,
                spent.peer_bytes
            );
            (x(size), spent)
        })
        .collect();
    let figures: [(&str, Figure); 5] = [
        ("% of a core", |spent| spent.cpu_percent),
        ("memory, MB", |spent| spent.memory_mb),
        ("reads/s", |spent| spent.reads),
        ("writes/s", |spent| spent.writes),
        ("bytes to peers/s", |spent| spent.peer_bytes),
    ];
    let mut lines = String::new();
    for (figure, value) in figures {
        let points: Vec<(f64, f64)> = measured.iter().map(|(x, s)| (*x, value(s))).collect();
        let (intercept, slope, residual) = fit(&points);
        let first = intercept + slope * points[0].0;
        lines.push_str(&format!(
            "| {name} | {figure} | {first:.3} | {slope:.6} | {residual:.3} |\n"
        ));
    }
    lines
}

/// Takes one figure of what a daemon spends.
type Figure = fn(&Spent) -> f64;

/// Fits a line; returns its intercept, its slope and the largest residual.
fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let intercept = mean_y - slope * mean_x;
    let residual =
        points.iter().map(|(x, y)| (y - intercept - slope * x).abs()).fold(0.0, f64::max);
    (intercept, slope, residual)
}

fn measure(size: Size) -> Spent {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime can be built");
    fastrand::seed(81);
    runtime.block_on(measure_world(size))
}

/// Creates a world of a size, without daemons.
fn world_of(size: Size) -> TestCluster {
    let teams = (0..size.teams).map(|team| (format!("t{team}"), 1, 100)).collect();
    TestCluster::new(ClusterSpec {
        pools: size.pools,
        instances: size.instances,
        instances_per_domain: 4,
        teams,
        ..ClusterSpec::default()
    })
}

async fn measure_world(size: Size) -> Spent {
    let cluster = world_of(size);
    let memory_before = resident_mb();
    let daemons = cluster.start_daemons(size.daemons).await;
    // The base of slots has been taken for all teams by then.
    tokio::time::sleep(Duration::from_secs(30)).await;
    let memory = (resident_mb() - memory_before) / f64::from(size.daemons);
    let (cpu, counts, bytes) = (cpu_seconds(), counts(&cluster), peer_bytes());
    tokio::time::sleep(WATCHED).await;
    let per_daemon = 1.0 / f64::from(size.daemons) / WATCHED.as_secs_f64();
    let counts_after = self::counts(&cluster);
    let spent = Spent {
        cpu_percent: (cpu_seconds() - cpu) * per_daemon * 100.0,
        memory_mb: memory,
        reads: (counts_after[0] - counts[0]) as f64 * per_daemon,
        writes: (counts_after[1] - counts[1]) as f64 * per_daemon,
        peer_bytes: (peer_bytes() - bytes) * per_daemon,
    };
    drop(daemons);
    spent
}

fn counts(cluster: &TestCluster) -> [u64; 2] {
    let counts = cluster.standin.counts();
    let of = |operation| counts.get(&operation).copied().unwrap_or(0);
    [of(Operation::Read) + of(Operation::Scan) + of(Operation::List), of(Operation::Commit)]
}

fn peer_bytes() -> f64 {
    let text = metric::render();
    let line = text.lines().find(|line| line.starts_with(metric::PEER_BYTES));
    let value = line.and_then(|line| line.split_whitespace().last()?.parse().ok());
    value.unwrap_or(0.0)
}

/// Returns the processor time of this process, from the kernel's accounts.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks = after_name.split_whitespace().skip(11).take(2);
    ticks.filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
}

/// Returns the resident memory of this process.
fn resident_mb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 =
        statm.split_whitespace().nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
    pages * PAGE_BYTES / f64::from(1 << 20)
}

/// The changes of configuration that are applied for the measurement.
const CHANGES: u32 = 50;

/// Prints what one change of configuration costs the daemon that applies it.
fn changes() {
    println!(
        "## One change of configuration, at the daemon that applies it\n\n| instances | teams | processor time, ms |\n|---|---|---|"
    );
    for (instances, teams) in [(50, 6), (500, 60), (2_000, 300), (7_400, 580)] {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime can be built");
        let size = Size { daemons: 1, instances, teams, pools: 5 };
        let milliseconds = runtime.block_on(measure_changes(size));
        println!("| {instances} | {teams} | {milliseconds:.2} |");
    }
    println!();
}

async fn measure_changes(size: Size) -> f64 {
    let cluster = world_of(size);
    let daemons = cluster.start_daemons(size.daemons).await;
    let before = cpu_seconds();
    for change in 0..CHANGES {
        let proposal = json!({
            "base": daemons[0].kernel.config().generation,
            "changes": [{
                "section": "teams",
                "name": "t0",
                "value": { "weight": 1, "limit_slots": 100 + change },
            }],
        });
        let body = proposal.to_string();
        let applied = daemons[0].control(Method::POST, "/v1/config", &body).await;
        applied.expect("it is accepted");
    }
    (cpu_seconds() - before) / f64::from(CHANGES) * 1e3
}

/// Prints the sizes of the rows that are read and written again and again.
fn rows() {
    println!("## Rows of the table service\n\n| row | bytes |\n|---|---|");
    let session = start(None, &"entry-117".into(), "10.0.0.1:8081", &"dc-13".into());
    println!("| session, one a daemon | {} |", encode(&session).len());
    let instance = InstanceRow { pool: "pool-59".into(), state: InstanceState::Serving };
    println!(
        "| instance, one for each that was ever moved or maintained | {} |",
        encode(&instance).len()
    );
    for daemons in [9, 117] {
        let grants = (0..daemons)
            .map(|i| Grant {
                daemon: format!("entry-{i}").into(),
                epoch: 1_000,
                slots: 8,
                wanted_slots: 8,
            })
            .collect();
        let bytes = encode(&GrantRow { grants }).len();
        println!("| grants of a team over {daemons} daemons | {bytes} |");
    }
    println!();
}
