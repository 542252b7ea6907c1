//! From `apply` to in force, and what daemons spend on control while nothing happens.

use std::time::Duration;

use http::Method;
use serde_json::json;
use tokio::time::Instant;
use wasabiswitch_standin::Operation;
use wasabiswitch_standin::cluster::{ClusterSpec, Daemon, TestCluster, teams};

/// The one-way time between any two processes, as in the users' data centres.
const LINK_DELAY: Duration = Duration::from_millis(1);
/// How often a change is applied.
const CHANGES: u64 = 20;
/// How long the daemons are watched while idle.
const IDLE: Duration = Duration::from_secs(60);

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
    cluster.network.set_quality(LINK_DELAY, 0);
    let daemons = cluster.start_daemons(count).await;
    let before = counts(&cluster);
    tokio::time::sleep(IDLE).await;
    let after = counts(&cluster);
    let per_daemon = |index: usize| {
        (after[index] - before[index]) as f64 / IDLE.as_secs_f64() / f64::from(count)
    };
    let (mut accepted, mut in_force) = (Vec::new(), Vec::new());
    for change in 0..CHANGES {
        let begin = Instant::now();
        apply(&daemons[change as usize % daemons.len()], change).await;
        accepted.push(begin.elapsed().as_millis());
        in_force.push(wait_for_all(&daemons, begin).await.as_millis());
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

/// Returns the reads and the writes that the store has served.
fn counts(cluster: &TestCluster) -> [u64; 2] {
    let counts = cluster.standin.counts();
    let of = |operation| counts.get(&operation).copied().unwrap_or(0);
    [of(Operation::Read) + of(Operation::Scan) + of(Operation::List), of(Operation::Commit)]
}

async fn apply(daemon: &Daemon, change: u64) {
    let body = json!({
        "base": daemon.kernel.config().generation,
        "changes": [{
            "section": "teams",
            "name": "t1",
            "value": { "weight": 1, "limit_slots": 400 + change },
        }],
    });
    daemon.control(Method::POST, "/v1/config", &body.to_string()).await.expect("it is accepted");
}

async fn wait_for_all(daemons: &[Daemon], begin: Instant) -> Duration {
    let generation =
        daemons.iter().map(|daemon| daemon.kernel.config().generation).max().unwrap_or(0);
    while daemons.iter().any(|daemon| daemon.kernel.config().generation < generation) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    begin.elapsed()
}
