//! Calls to a queue of the users' platform: duplicate requests, and takeovers with a stale directory or before
//! the old lease has expired.

use std::sync::Arc;
use std::time::Duration;

use wasabiswitch_kernel::Kernel;
use wasabiswitch_plugins::fleet::queue_calls;
use wasabiswitch_policy::fleet::calls::{Call, QueueOperation, Reply};
use wasabiswitch_policy::fleet::lease::TASK_LEASE;
use wasabiswitch_policy::fleet::ownership::OWNER_LEASE;
use wasabiswitch_policy::fleet::spec::{Step, Submission};
use wasabiswitch_policy::fleet::state::Phase;
use wasabiswitch_standin::fleet::{FleetStandIn, TASK_RESOURCES, single_queue_config};
use wasabiswitch_standin::{Fault, Operation};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Number of instances in the pool.
const POOL_INSTANCES: usize = 4;

/// Returns a job of one step with `count` tasks that run for `task_ms`.
fn job(id: &str, task_ms: u64, count: u32) -> Submission {
    let step = Step { count, resources: TASK_RESOURCES, estimate_ms: task_ms, ..Step::default() };
    Submission {
        queue: "q".into(),
        team: "t".into(),
        spec: task_ms.to_string(),
        steps: vec![step],
        ..Submission::id_only(id.into())
    }
}

async fn call_queue(kernel: &Arc<Kernel>, request_id: u64, operation: QueueOperation) -> Reply {
    let call = Call { request_id, config_version: 1, queue: "q".into(), operation };
    queue_calls::answer(kernel, call, kernel.clock.now() + ms(3_000)).await
}

async fn submit(kernel: &Arc<Kernel>, request_id: u64, job: Submission) -> Reply {
    call_queue(kernel, request_id, QueueOperation::Submit(Box::new(job))).await
}

/// Starts a platform and a daemon that owns the fleet.
async fn start_owner() -> (FleetStandIn, Arc<Kernel>) {
    fastrand::seed(31);
    let platform = FleetStandIn::new(&[("p", POOL_INSTANCES), ("standby", 0)], 100_000);
    platform.put_config(single_queue_config("standby", 100_000));
    let kernel = platform.start(1).await;
    tokio::time::sleep(ms(1_500)).await;
    (platform, kernel)
}

#[tokio::test(start_paused = true)]
async fn delayed_duplicate_of_a_refused_request_is_refused() {
    let (platform, owner) = start_owner().await;
    platform.faults().inject(Operation::Commit, Fault::Refuse, u32::MAX);
    let refused = submit(&owner, 7, job("a", 100, 1)).await;
    assert!(matches!(refused, Reply::Refused(..)), "{refused:?}");
    platform.faults().clear();
    tokio::time::sleep(ms(500)).await;
    let duplicate = submit(&owner, 7, job("a", 100, 1)).await;
    assert!(
        matches!(duplicate, Reply::Refused(..)),
        "the caller was told that nothing runs: {duplicate:?}"
    );
    // The caller's retry is a new request.
    assert_eq!(submit(&owner, 8, job("a", 100, 1)).await, Reply::Accepted);
    owner.stop().await;
}

#[tokio::test(start_paused = true)]
async fn duplicate_submission_joins_the_write_in_flight() {
    let (platform, owner) = start_owner().await;
    platform.faults().inject(Operation::Commit, Fault::Slow(ms(250)), 2);
    let first = tokio::spawn({
        let owner = owner.clone();
        async move { submit(&owner, 7, job("a", 100, 1)).await }
    });
    tokio::time::sleep(ms(100)).await;
    let sent = owner.clock.now();
    assert_eq!(submit(&owner, 8, job("a", 100, 1)).await, Reply::Accepted);
    let took = owner.clock.now() - sent;
    assert!(took < ms(300), "the duplicate waited for a separate write: {took:?}");
    assert_eq!(first.await.expect("the caller does not panic"), Reply::Accepted);
    tokio::time::sleep(ms(2_000)).await;
    assert_eq!(platform.history().starts.len(), 1);
    owner.stop().await;
}

#[tokio::test(start_paused = true)]
async fn stale_directory_at_a_takeover_delays_no_task() {
    let (platform, first) = start_owner().await;
    let second = platform.start(2).await;
    tokio::time::sleep(ms(1_500)).await;
    // The job has more tasks than the pool has capacity for, so some wait, and two instances return from standby.
    assert_eq!(submit(&second, 7, job("a", 1_500, 20)).await, Reply::Accepted);
    tokio::time::sleep(ms(2_500)).await;
    platform.faults().inject(Operation::ReadDirectory, Fault::StaleRead, 1);
    platform.kill(1, &first);
    let killed_at = second.clock.now();
    while call_queue(&second, 8, QueueOperation::State("a".into())).await
        != Reply::State(Phase::Done)
    {
        tokio::time::sleep(ms(50)).await;
        assert!(
            second.clock.now() - killed_at < TASK_LEASE,
            "tasks wait for a worker that is listed late"
        );
    }
    assert_eq!(platform.history().violations, Vec::<String>::new());
    second.stop().await;
}

#[tokio::test(start_paused = true)]
async fn tasks_start_before_the_lease_of_a_crashed_owner_expires() {
    let (platform, first) = start_owner().await;
    let second = platform.start(2).await;
    tokio::time::sleep(ms(1_500)).await;
    // Jobs arrive continuously, so the owner writes after each of its heartbeats.
    for number in 0..60 {
        let submission =
            submit(&second, fastrand::u64(..), job(&format!("before-{number}"), 20, 1));
        assert_eq!(submission.await, Reply::Accepted);
        tokio::time::sleep(ms(13)).await;
    }
    platform.kill(1, &first);
    let starts_before = platform.history().starts.len();
    let killed_at = second.clock.now();
    while submit(&second, fastrand::u64(..), job("urgent", 100, 1)).await != Reply::Accepted {
        tokio::time::sleep(ms(50)).await;
    }
    while platform.history().starts.len() == starts_before {
        tokio::time::sleep(ms(10)).await;
    }
    let took = second.clock.now() - killed_at;
    assert!(took < OWNER_LEASE, "the first start took {took:?}");
    second.stop().await;
}
