//! Waves, moves and jobs over several daemons, with crashes, races and failing workers.

use std::collections::BTreeMap;
use std::time::Duration;

use http::{Method, Request};
use serde_json::{Value, json};
use wasabiswitch_kernel::http::entry::handle;
use wasabiswitch_kernel::http::full_body;
use wasabiswitch_plugins as _;
use wasabiswitch_standin::cluster::{
    ClusterSpec, Daemon, TestCluster, collect_response, team_key, teams,
};
use wasabiswitch_standin::{Fault, FaultTarget, Operation};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn seed() {
    fastrand::seed(31);
}

/// Returns twelve instances in racks of two, of which a rack and two more instances may be unavailable.
fn spec() -> ClusterSpec {
    ClusterSpec {
        instances: 12,
        instances_per_domain: 2,
        unavailable_max: 4,
        teams: teams(&[("t1", 1, 48), ("t2", 1, 48)]),
        ..ClusterSpec::default()
    }
}

async fn list(daemon: &Daemon, path: &str, field: &str) -> Vec<Value> {
    let answer = daemon.control_json(Method::GET, path, "").await;
    answer[field].as_array().cloned().unwrap_or_default()
}

async fn unavailable(daemon: &Daemon) -> u64 {
    let pools = list(daemon, "/v1/pools", "pools").await;
    let pool = pools.iter().find(|pool| pool["pool"] == "p0").expect("the pool is configured");
    pool["unavailable"].as_u64().expect("a number")
}

async fn wave_state(daemon: &Daemon) -> String {
    let waves = list(daemon, "/v1/waves", "waves").await;
    waves[0]["state"].as_str().expect("a string").to_owned()
}

fn boot_numbers(cluster: &TestCluster) -> Vec<u64> {
    let count = cluster.spec.instances;
    cluster.standin.with_instances(|list| (0..count).map(|i| list.boot(&format!("i{i}"))).collect())
}

/// Sends requests through a daemon until `stop` is cancelled; returns how many were sent and how many failed.
async fn send_load(daemon: Daemon, stop: tokio_util::sync::CancellationToken) -> (u32, u32) {
    let (mut sent, mut failed) = (0, 0);
    while !stop.is_cancelled() {
        let answer = daemon.send("t1", Method::POST, "load", None).await;
        sent += 1;
        let succeeded = answer.verdict == "ran" && answer.status == 200 && answer.body.is_some();
        failed += u32::from(!succeeded);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    (sent, failed)
}

#[tokio::test(start_paused = true)]
async fn wave_reboots_each_instance_once_without_failed_requests() {
    seed();
    let cluster = TestCluster::new(spec());
    let daemons = cluster.start_daemons(3).await;
    let stop = tokio_util::sync::CancellationToken::new();
    let loads: Vec<_> = daemons
        .iter()
        .map(|daemon| tokio::spawn(send_load(daemon.clone(), stop.clone())))
        .collect();
    daemons[0].control_json(Method::POST, "/v1/waves?pool=p0", "").await;
    let mut max_unavailable = 0;
    let mut polls = 0;
    while wave_state(&daemons[1]).await == "running" {
        max_unavailable = max_unavailable.max(unavailable(&daemons[1]).await);
        tokio::time::sleep(seconds(1)).await;
        polls += 1;
        assert!(polls < 900, "the wave comes to an end");
    }
    assert_eq!(wave_state(&daemons[1]).await, "finished");
    assert_eq!(boot_numbers(&cluster), vec![2; 12], "each was rebooted once");
    assert!((1..=4).contains(&max_unavailable), "{max_unavailable} were unavailable at once");
    stop.cancel();
    for load in loads {
        let (sent, failed) = load.await.expect("the load does not panic");
        assert!(sent > 100);
        assert_eq!(failed, 0, "of {sent} requests");
    }
}

#[tokio::test(start_paused = true)]
async fn wave_completes_after_repeated_controller_crashes() {
    seed();
    let cluster = TestCluster::new(spec());
    let daemons = cluster.start_daemons(3).await;
    daemons[0].control_json(Method::POST, "/v1/waves?pool=p0", "").await;
    tokio::time::sleep(seconds(25)).await;
    daemons[0].kill(&cluster);
    tokio::time::sleep(seconds(60)).await;
    // A daemon with the name of the killed one starts, and then the second daemon is killed.
    let restarted = cluster.start(1).await;
    tokio::time::sleep(seconds(20)).await;
    daemons[1].kill(&cluster);
    let mut polls = 0;
    while wave_state(&restarted).await == "running" {
        assert!(unavailable(&restarted).await <= 4);
        tokio::time::sleep(seconds(1)).await;
        polls += 1;
        assert!(polls < 900, "the wave comes to an end");
    }
    assert_eq!(wave_state(&restarted).await, "finished");
    assert_eq!(boot_numbers(&cluster), vec![2; 12], "none twice, none skipped");
}

#[tokio::test(start_paused = true)]
async fn wave_completes_despite_store_faults() {
    seed();
    let cluster = TestCluster::new(spec());
    let daemons = cluster.start_daemons(2).await;
    daemons[0].control_json(Method::POST, "/v1/waves?pool=p0", "").await;
    let mut polls = 0;
    while wave_state(&daemons[1]).await == "running" {
        let fault = match polls % 4 {
            0 => Fault::LostResponse,
            1 => Fault::DuplicateDelivery,
            2 => Fault::Refuse,
            _ => Fault::SlowResponse(seconds(1)),
        };
        for prefix in ["wave/", "instance/"] {
            let calls = FaultTarget {
                operation: Operation::Commit,
                prefix: prefix.to_owned(),
                skip: 0,
                times: 1,
            };
            cluster.standin.faults().inject_for(calls, fault);
        }
        assert!(unavailable(&daemons[1]).await <= 4);
        tokio::time::sleep(seconds(2)).await;
        polls += 1;
        assert!(polls < 900, "the wave comes to an end");
    }
    assert_eq!(wave_state(&daemons[1]).await, "finished");
    assert_eq!(boot_numbers(&cluster), vec![2; 12], "none twice, none skipped");
}

#[tokio::test(start_paused = true)]
async fn wave_waits_while_failures_exhaust_the_budget() {
    seed();
    let cluster = TestCluster::new(spec());
    let daemons = cluster.start_daemons(1).await;
    // Three failed instances, with a rack kept in reserve, leave no budget for maintenance.
    for id in ["i3", "i5", "i7"] {
        cluster.standin.with_instances(|list| list.remove(id));
    }
    tokio::time::sleep(seconds(5)).await;
    daemons[0].control_json(Method::POST, "/v1/waves?pool=p0", "").await;
    tokio::time::sleep(seconds(120)).await;
    assert_eq!(unavailable(&daemons[0]).await, 3, "maintenance has taken no instance out");
    assert_eq!(wave_state(&daemons[0]).await, "running");
    for id in ["i3", "i5", "i7"] {
        cluster.standin.with_instances(|list| list.add(id));
    }
    tokio::time::sleep(seconds(60)).await;
    let waves = list(&daemons[0], "/v1/waves", "waves").await;
    assert!(waves[0]["done"].as_u64().expect("a number") >= 1, "the wave has continued: {waves:?}");
}

#[tokio::test(start_paused = true)]
async fn wave_halts_if_the_first_instance_does_not_return() {
    seed();
    let cluster = TestCluster::new(spec());
    let daemons = cluster.start_daemons(1).await;
    cluster.standin.faults().inject(Operation::Reboot, Fault::Refuse, u32::MAX);
    daemons[0].control_json(Method::POST, "/v1/waves?pool=p0", "").await;
    tokio::time::sleep(seconds(20 * 60)).await;
    let waves = list(&daemons[0], "/v1/waves", "waves").await;
    assert_eq!(waves[0]["state"], "halted");
    assert_eq!(waves[0]["why"], "the first instance did not come back");
    assert_eq!(waves[0]["done"], 0);
    let explained = list(&daemons[0], "/v1/explain/wave/p0-1", "decisions").await;
    assert!(explained.iter().any(|decision| decision["action"] == "halted"), "{explained:?}");
}

#[tokio::test(start_paused = true)]
async fn concurrent_orders_for_an_instance_conflict() {
    seed();
    let cluster = TestCluster::new(spec());
    let daemons = cluster.start_daemons(2).await;
    let (a, b) = tokio::join!(
        daemons[0].control(Method::POST, "/v1/instances/i0/move?pool=spare", ""),
        daemons[1].control(Method::POST, "/v1/instances/i0/drain", ""),
    );
    assert_eq!([a.is_ok(), b.is_ok()].iter().filter(|ok| **ok).count(), 1);
    let refused = a.err().or(b.err()).expect("one order is refused");
    assert_eq!((refused.code.name, refused.verdict.as_str()), ("conflict", "not-run"));
    tokio::time::sleep(seconds(30)).await;
    let mut pools: BTreeMap<String, u32> = BTreeMap::new();
    for instance in list(&daemons[1], "/v1/instances", "instances").await {
        *pools.entry(instance["pool"].to_string()).or_default() += 1;
    }
    assert_eq!(pools.values().sum::<u32>(), 12, "each instance is in one pool: {pools:?}");
}

async fn call_jobs_api(
    daemon: &Daemon,
    method: Method,
    path: &str,
    key: Option<&str>,
    body: &Value,
) -> Value {
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {}", team_key("t1")));
    if let Some(key) = key {
        builder = builder.header("idempotency-key", key);
    }
    let body = if body.is_null() { String::new() } else { body.to_string() };
    let request = builder.body(full_body(body)).expect("the request is well formed");
    let answer = collect_response(handle(daemon.kernel.clone(), request).await).await;
    serde_json::from_slice(&answer.body.unwrap_or_default()).unwrap_or_default()
}

async fn submit(daemon: &Daemon, extra: &Value) -> String {
    let mut body = json!({ "queue": "q0", "run_time_ms": 2_000 });
    for (name, value) in extra.as_object().into_iter().flatten() {
        body[name] = value.clone();
    }
    let job = call_jobs_api(daemon, Method::POST, "/v1/jobs", None, &body).await;
    job["id"].as_str().unwrap_or_else(|| panic!("{job}")).to_owned()
}

async fn job_state(daemon: &Daemon, job: &str) -> String {
    let shown =
        call_jobs_api(daemon, Method::GET, &format!("/v1/jobs/{job}"), None, &Value::Null).await;
    shown["state"].as_str().unwrap_or_else(|| panic!("{shown}")).to_owned()
}

fn starts(cluster: &TestCluster, job: &str) -> u32 {
    cluster.standin.with_workers(|workers| workers.starts(job))
}

fn max_concurrent_copies(cluster: &TestCluster, job: &str) -> u32 {
    cluster.standin.with_workers(|workers| workers.max_concurrent_runs(job))
}

#[tokio::test(start_paused = true)]
async fn job_status_is_readable_through_any_daemon() {
    seed();
    let cluster = TestCluster::new(spec());
    let daemons = cluster.start_daemons(2).await;
    let job = submit(&daemons[0], &Value::Null).await;
    tokio::time::sleep(seconds(6)).await;
    assert_eq!(job_state(&daemons[1], &job).await, "done");
    assert_eq!(starts(&cluster, &job), 1);
}

#[tokio::test(start_paused = true)]
async fn duplicate_submission_returns_the_same_job_after_its_end() {
    seed();
    let cluster = TestCluster::new(spec());
    let daemons = cluster.start_daemons(2).await;
    let body = json!({ "queue": "q0", "run_time_ms": 500 });
    let mut ids = Vec::new();
    for daemon in [&daemons[0], &daemons[1], &daemons[0]] {
        let job = call_jobs_api(daemon, Method::POST, "/v1/jobs", Some("invoice-7"), &body).await;
        ids.push(job["id"].as_str().expect("the job has an id").to_owned());
        tokio::time::sleep(seconds(5)).await;
    }
    assert!(ids.iter().all(|id| *id == ids[0]));
    assert_eq!(starts(&cluster, &ids[0]), 1);
    let other = json!({ "queue": "q0", "run_time_ms": 501 });
    let refused =
        call_jobs_api(&daemons[0], Method::POST, "/v1/jobs", Some("invoice-7"), &other).await;
    assert_eq!(refused["code"], "other-request");
}

#[tokio::test(start_paused = true)]
async fn jobs_survive_a_scheduler_crash() {
    seed();
    let cluster = TestCluster::new(spec());
    let daemons = cluster.start_daemons(3).await;
    let mut jobs = Vec::new();
    for index in 0..12 {
        let extra = json!({ "run_time_ms": 40_000, "at_most_once": index % 2 == 0 });
        jobs.push(submit(&daemons[1], &extra).await);
    }
    tokio::time::sleep(seconds(5)).await;
    daemons[0].kill(&cluster);
    tokio::time::sleep(seconds(180)).await;
    for (index, job) in jobs.iter().enumerate() {
        let state = job_state(&daemons[1], job).await;
        if index % 2 == 0 {
            assert!(starts(&cluster, job) <= 1, "a job that may run once was started twice");
            assert!(["done", "in-doubt"].contains(&state.as_str()), "{state}");
        } else {
            assert_eq!(state, "done");
        }
        assert!(max_concurrent_copies(&cluster, job) <= 1, "two copies of {job} ran at once");
    }
}

#[tokio::test(start_paused = true)]
async fn running_jobs_survive_a_store_outage() {
    seed();
    let cluster = TestCluster::new(spec());
    let daemons = cluster.start_daemons(3).await;
    let mut jobs = Vec::new();
    for _ in 0..4 {
        let extra = json!({ "run_time_ms": 60_000, "at_most_once": true });
        jobs.push(submit(&daemons[0], &extra).await);
    }
    tokio::time::sleep(seconds(3)).await;
    // The table service and the object store are down; the workers are not.
    for operation in [Operation::Read, Operation::Scan, Operation::Commit, Operation::GetObject] {
        cluster.standin.faults().inject(operation, Fault::Hang, u32::MAX);
    }
    tokio::time::sleep(seconds(180)).await;
    cluster.standin.faults().clear();
    tokio::time::sleep(seconds(30)).await;
    for job in &jobs {
        assert_eq!(job_state(&daemons[1], job).await, "done");
        assert_eq!(starts(&cluster, job), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn lost_worker_answers_cause_no_duplicate_start() {
    seed();
    let cluster = TestCluster::new(spec());
    let daemons = cluster.start_daemons(2).await;
    for fault in [Fault::LostResponse, Fault::DuplicateDelivery, Fault::Refuse, Fault::Hang] {
        cluster.standin.faults().inject(Operation::Sync, fault, 6);
    }
    let mut jobs = Vec::new();
    for _ in 0..10 {
        jobs.push(submit(&daemons[0], &json!({ "at_most_once": true })).await);
    }
    tokio::time::sleep(seconds(120)).await;
    for job in &jobs {
        assert!(starts(&cluster, job) <= 1);
        let state = job_state(&daemons[0], job).await;
        assert!(["done", "in-doubt"].contains(&state.as_str()), "{state}");
    }
}

#[tokio::test(start_paused = true)]
async fn failing_worker_is_quarantined_and_its_jobs_run_elsewhere() {
    seed();
    let cluster = TestCluster::new(ClusterSpec { instances: 3, unavailable_max: 0, ..spec() });
    let daemons = cluster.start_daemons(1).await;
    cluster.standin.with_workers(|workers| workers.set_failing("i0", true));
    let mut jobs = Vec::new();
    for _ in 0..24 {
        jobs.push(submit(&daemons[0], &json!({ "run_time_ms": 1_000 })).await);
    }
    tokio::time::sleep(seconds(60)).await;
    for job in &jobs {
        assert_eq!(job_state(&daemons[0], job).await, "done");
    }
    let scheduler = daemons[0].control_json(Method::GET, "/v1/scheduler", "").await;
    assert_eq!(scheduler["workers_set_aside"], json!(["i0"]));
}

#[tokio::test(start_paused = true)]
async fn infeasible_job_is_reported_with_a_reason() {
    seed();
    let cluster = TestCluster::new(spec());
    let daemons = cluster.start_daemons(1).await;
    let job = submit(&daemons[0], &json!({ "accelerators": 3 })).await;
    tokio::time::sleep(seconds(3)).await;
    assert_eq!(job_state(&daemons[0], &job).await, "impossible");
    let path = format!("/v1/explain/job/{job}");
    let explained = list(&daemons[0], &path, "decisions").await;
    let why = explained[0]["reason"].as_str().expect("the decision has a reason");
    assert!(why.contains("3 accelerators"), "{why}");
}

#[tokio::test(start_paused = true)]
async fn cancellation_ends_queued_and_running_jobs() {
    seed();
    let cluster = TestCluster::new(ClusterSpec { instances: 1, unavailable_max: 0, ..spec() });
    let daemons = cluster.start_daemons(1).await;
    let mut jobs = Vec::new();
    for _ in 0..8 {
        jobs.push(submit(&daemons[0], &json!({ "run_time_ms": 60_000 })).await);
    }
    tokio::time::sleep(seconds(3)).await;
    for job in &jobs {
        let path = format!("/v1/jobs/{job}");
        call_jobs_api(&daemons[0], Method::DELETE, &path, None, &Value::Null).await;
    }
    tokio::time::sleep(seconds(5)).await;
    for job in &jobs {
        assert_eq!(job_state(&daemons[0], job).await, "cancelled");
    }
}

#[tokio::test(start_paused = true)]
async fn withdrawn_key_cancels_queued_jobs_and_lets_running_jobs_finish() {
    seed();
    let cluster = TestCluster::new(ClusterSpec { instances: 1, unavailable_max: 0, ..spec() });
    let daemons = cluster.start_daemons(1).await;
    // Four cores run four jobs of one core; the fifth waits.
    let mut jobs = Vec::new();
    for _ in 0..5 {
        jobs.push(submit(&daemons[0], &json!({ "run_time_ms": 10_000 })).await);
        tokio::time::sleep(seconds(1)).await;
    }
    daemons[0].control_json(Method::DELETE, "/v1/keys/t1", "").await;
    tokio::time::sleep(seconds(30)).await;
    let ended: Vec<String> = cluster.standin.with_table(|table| {
        let rows = table.scan("ended/", "", 100);
        rows.into_iter().map(|row| row.key["ended/".len()..].to_owned()).collect()
    });
    assert_eq!(ended.len(), 5);
    assert_eq!(jobs.iter().filter(|job| starts(&cluster, job) == 1).count(), 4);
}

#[tokio::test(start_paused = true)]
async fn running_jobs_count_towards_the_team_limit() {
    seed();
    let teams = teams(&[("t1", 1, 5), ("t2", 1, 48)]);
    let cluster = TestCluster::new(ClusterSpec { teams, ..spec() });
    let daemons = cluster.start_daemons(1).await;
    for _ in 0..12 {
        submit(&daemons[0], &json!({ "run_time_ms": 20_000 })).await;
    }
    tokio::time::sleep(seconds(10)).await;
    let running =
        call_jobs_api(&daemons[0], Method::GET, "/v1/jobs?state=running", None, &Value::Null).await;
    let running = running["jobs"].as_array().map_or(0, Vec::len);
    assert!((1..=5).contains(&running), "{running} jobs are running");
}
