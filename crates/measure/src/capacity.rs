//! Growth of state, messages, processor time and memory with the size of the fleet, as fitted slopes.
//!
//! Idle daemons run inside the process on paused time, so that a simulated minute costs only the processor time of the
//! control traffic. Counts are the same on each run; processor time and memory are not.

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

/// Simulated time over which the costs of idle daemons are measured.
const OBSERVATION_TIME: Duration = Duration::from_secs(60);
/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page in `/proc/self/statm`, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// Size of a measured fleet.
#[derive(Clone, Copy, Debug)]
struct FleetSize {
    daemons: u8,
    instances: usize,
    teams: usize,
    pools: usize,
}

/// Cost of one idle daemon; operations and bytes are per second of simulated time.
#[derive(Clone, Copy, Debug, Default)]
struct DaemonCost {
    cpu_percent: f64,
    memory_mb: f64,
    reads: f64,
    writes: f64,
    peer_bytes: f64,
}

/// Base size of the series, each of which varies one dimension; the series of pools has 500 instances.
const BASE_SIZE: FleetSize = FleetSize { daemons: 3, instances: 50, teams: 6, pools: 5 };

/// Runs the measurement and prints its tables.
pub(crate) fn run() {
    metric::install();
    print_row_sizes();
    print_change_costs();
    println!("## What an idle daemon spends\n");
    println!(
        "| daemons | instances | pools | teams | % of a core | memory, MB | reads/s | writes/s | bytes to peers/s |\n|---|---|---|---|---|---|---|---|---|"
    );
    let mut fits = String::new();
    let daemons = [3, 9, 18, 27].map(|daemons| FleetSize { daemons, ..BASE_SIZE });
    let instances = [50, 500, 2_000, 4_000].map(|instances| FleetSize { instances, ..BASE_SIZE });
    let teams = [6, 60, 300, 580].map(|teams| FleetSize { teams, ..BASE_SIZE });
    let pools = [5, 20, 59].map(|pools| FleetSize { instances: 500, pools, ..BASE_SIZE });
    fits.push_str(&measure_series("daemon", &daemons, |size| f64::from(size.daemons)));
    fits.push_str(&measure_series("instance", &instances, |size| size.instances as f64));
    fits.push_str(&measure_series("team", &teams, |size| size.teams as f64));
    fits.push_str(&measure_series("pool", &pools, |size| size.pools as f64));
    println!(
        "\n## Slopes, each for one more\n\n| one more | figure | at the start of the series | slope | largest residual |\n|---|---|---|---|---|\n{fits}"
    );
}

/// Measures a series of sizes, prints its table rows, and returns the table rows of its fitted lines.
fn measure_series(name: &str, sizes: &[FleetSize], x: impl Fn(&FleetSize) -> f64) -> String {
    let measured: Vec<(f64, DaemonCost)> = sizes
        .iter()
        .map(|size| {
            let cost = measure_idle(*size);
            println!(
                "| {} | {} | {} | {} | {:.3} | {:.2} | {:.2} | {:.2} | {:.0} |",
                size.daemons,
                size.instances,
                size.pools,
                size.teams,
                cost.cpu_percent,
                cost.memory_mb,
                cost.reads,
                cost.writes,
                cost.peer_bytes
            );
            (x(size), cost)
        })
        .collect();
    let figures: [(&str, CostField); 5] = [
        ("% of a core", |cost| cost.cpu_percent),
        ("memory, MB", |cost| cost.memory_mb),
        ("reads/s", |cost| cost.reads),
        ("writes/s", |cost| cost.writes),
        ("bytes to peers/s", |cost| cost.peer_bytes),
    ];
    let mut lines = String::new();
    for (figure, value) in figures {
        let points: Vec<(f64, f64)> = measured.iter().map(|(x, cost)| (*x, value(cost))).collect();
        let (intercept, slope, residual) = fit_line(&points);
        let first = intercept + slope * points[0].0;
        lines.push_str(&format!(
            "| {name} | {figure} | {first:.3} | {slope:.6} | {residual:.3} |\n"
        ));
    }
    lines
}

/// Accessor of one field of [`DaemonCost`].
type CostField = fn(&DaemonCost) -> f64;

/// Fits a line by least squares, and returns its intercept, its slope and the largest residual.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64, f64) {
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

fn measure_idle(size: FleetSize) -> DaemonCost {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime can be built");
    fastrand::seed(81);
    runtime.block_on(measure_idle_daemons(size))
}

/// Creates a simulated fleet of the given size, without daemons.
fn create_cluster(size: FleetSize) -> TestCluster {
    let teams = (0..size.teams).map(|team| (format!("t{team}"), 1, 100)).collect();
    TestCluster::new(ClusterSpec {
        pools: size.pools,
        instances: size.instances,
        instances_per_domain: 4,
        teams,
        ..ClusterSpec::default()
    })
}

async fn measure_idle_daemons(size: FleetSize) -> DaemonCost {
    let cluster = create_cluster(size);
    let memory_before = resident_mb();
    let daemons = cluster.start_daemons(size.daemons).await;
    // By then the daemons have their base slots for all teams.
    tokio::time::sleep(Duration::from_secs(30)).await;
    let memory = (resident_mb() - memory_before) / f64::from(size.daemons);
    let (cpu_before, counts_before, bytes_before) =
        (cpu_seconds(), operation_counts(&cluster), peer_bytes());
    tokio::time::sleep(OBSERVATION_TIME).await;
    let per_daemon = 1.0 / f64::from(size.daemons) / OBSERVATION_TIME.as_secs_f64();
    let counts_after = self::operation_counts(&cluster);
    let cost = DaemonCost {
        cpu_percent: (cpu_seconds() - cpu_before) * per_daemon * 100.0,
        memory_mb: memory,
        reads: (counts_after[0] - counts_before[0]) as f64 * per_daemon,
        writes: (counts_after[1] - counts_before[1]) as f64 * per_daemon,
        peer_bytes: (peer_bytes() - bytes_before) * per_daemon,
    };
    drop(daemons);
    cost
}

/// Returns the number of reads (scans and lists included) and of commits that the store has served.
fn operation_counts(cluster: &TestCluster) -> [u64; 2] {
    let counts = cluster.standin.counts();
    let count_of = |operation| counts.get(&operation).copied().unwrap_or(0);
    [
        count_of(Operation::Read) + count_of(Operation::Scan) + count_of(Operation::List),
        count_of(Operation::Commit),
    ]
}

/// Returns the bytes of the messages between peers and of their responses, for all daemons of the process.
fn peer_bytes() -> f64 {
    let text = metric::render();
    let line = text.lines().find(|line| line.starts_with(metric::PEER_BYTES));
    let value = line.and_then(|line| line.split_whitespace().last()?.parse().ok());
    value.unwrap_or(0.0)
}

/// Returns the processor time of this process, in seconds.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks = after_name.split_whitespace().skip(11).take(2);
    ticks.filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
}

/// Returns the resident memory of this process, in MiB.
fn resident_mb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 =
        statm.split_whitespace().nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
    pages * PAGE_BYTES / f64::from(1 << 20)
}

/// Number of configuration changes over which their cost is averaged.
const CHANGE_COUNT: u32 = 50;

/// Prints the processor time of one configuration change on the daemon that applies it.
fn print_change_costs() {
    println!(
        "## One change of configuration, at the daemon that applies it\n\n| instances | teams | processor time, ms |\n|---|---|---|"
    );
    for (instances, teams) in [(50, 6), (500, 60), (2_000, 300), (7_400, 580)] {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime can be built");
        let size = FleetSize { daemons: 1, instances, teams, pools: 5 };
        let milliseconds = runtime.block_on(measure_changes(size));
        println!("| {instances} | {teams} | {milliseconds:.2} |");
    }
    println!();
}

/// Returns the processor time of one configuration change, in milliseconds.
async fn measure_changes(size: FleetSize) -> f64 {
    let cluster = create_cluster(size);
    let daemons = cluster.start_daemons(size.daemons).await;
    let before = cpu_seconds();
    for change in 0..CHANGE_COUNT {
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
        applied.expect("the change is accepted");
    }
    (cpu_seconds() - before) / f64::from(CHANGE_COUNT) * 1e3
}

/// Prints the encoded sizes of the rows that daemons read and write regularly.
fn print_row_sizes() {
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
