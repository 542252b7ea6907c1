//! Time until a configuration change is in force on all daemons, and the store operations of idle daemons.

use std::time::Duration;

use http::Method;
use serde_json::json;
use tokio::time::Instant;
use wasabiswitch_standin::Operation;
use wasabiswitch_standin::cluster::{ClusterSpec, Daemon, TestCluster, teams};

/// Time that each dial takes; it stands for the one-way network delay between any two processes in the users' data
/// centres.
const DIAL_DELAY: Duration = Duration::from_millis(1);
/// Number of configuration changes that are applied for each number of daemons.
const CHANGE_COUNT: u64 = 20;
/// Simulated time over which the store operations of idle daemons are counted.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Runs the measurement and prints its table.
pub(crate) fn run() {
    println!(
        "| daemons | accepted by a majority, median ms | in force everywhere, median ms | largest ms | store reads a second and daemon | store writes a second and daemon |\n|---|---|---|---|---|---|"
    );
    for daemons in [3_u8, 9, 27] {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime can be built");
        fastrand::seed(51);
        runtime.block_on(measure(daemons));
    }
}

async fn measure(count: u8) {
    let cluster = TestCluster::new(ClusterSpec {
        teams: teams(&[("t1", 1, 400), ("t2", 1, 400)]),
        ..ClusterSpec::default()
    });
    cluster.network.set_dial_quality(DIAL_DELAY, 0);
    let daemons = cluster.start_daemons(count).await;
    let before = operation_counts(&cluster);
    tokio::time::sleep(IDLE_TIME).await;
    let after = operation_counts(&cluster);
    let per_daemon = |index: usize| {
        (after[index] - before[index]) as f64 / IDLE_TIME.as_secs_f64() / f64::from(count)
    };
    let (mut accepted, mut in_force) = (Vec::new(), Vec::new());
    for change in 0..CHANGE_COUNT {
        let start = Instant::now();
        apply_change(&daemons[change as usize % daemons.len()], change).await;
        accepted.push(start.elapsed().as_millis());
        in_force.push(wait_until_in_force(&daemons, start).await.as_millis());
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    accepted.sort_unstable();
    in_force.sort_unstable();
    println!(
        "| {count} | {} | {} | {} | {:.2} | {:.2} |",
        accepted[accepted.len() / 2],
        in_force[in_force.len() / 2],
        in_force[in_force.len() - 1],
        per_daemon(0),
        per_daemon(1),
    );
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

async fn apply_change(daemon: &Daemon, change: u64) {
    let body = json!({
        "base": daemon.kernel.config().generation,
        "changes": [{
            "section": "teams",
            "name": "t1",
            "value": { "weight": 1, "limit_slots": 400 + change },
        }],
    });
    daemon
        .control(Method::POST, "/v1/config", &body.to_string())
        .await
        .expect("the change is accepted");
}

/// Waits until all daemons have the newest generation, and returns the time since `start`.
async fn wait_until_in_force(daemons: &[Daemon], start: Instant) -> Duration {
    let generation =
        daemons.iter().map(|daemon| daemon.kernel.config().generation).max().unwrap_or(0);
    while daemons.iter().any(|daemon| daemon.kernel.config().generation < generation) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    start.elapsed()
}
