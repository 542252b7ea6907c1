//! Calls to a queue of the users' platform: copies, doubt, and what a successor makes of a directory that lags.

use std::sync::Arc;
use std::time::Duration;

use wasabiswitch_kernel::Kernel;
use wasabiswitch_plugins::fleet::front;
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

/// The instances of the pool.
const POOL: usize = 4;

/// Returns a job of one step.
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

async fn ask(kernel: &Arc<Kernel>, request_id: u64, ask: QueueOperation) -> Reply {
    let call = Call { request_id, config_version: 1, queue: "q".into(), operation: ask };
    front::answer(kernel, call, kernel.clock.now() + ms(3_000)).await
}

async fn submit(kernel: &Arc<Kernel>, request_id: u64, job: Submission) -> Reply {
    ask(kernel, request_id, QueueOperation::Submit(Box::new(job))).await
}

/// A platform, and a daemon that owns the fleet.
async fn owner() -> (FleetStandIn, Arc<Kernel>) {
    fastrand::seed(31);
    let platform = FleetStandIn::new(&[("p", POOL), ("standby", 0)], 100_000);
    platform.put_config(single_queue_config("standby", 100_000));
    let kernel = platform.start(1).await;
    tokio::time::sleep(ms(1_500)).await;
    (platform, kernel)
}

#[tokio::test(start_paused = true)]
async fn a_delayed_copy_of_a_refused_request_is_refused_too() {
    let (platform, owner) = owner().await;
    platform.faults().inject(Operation::Commit, Fault::Refuse, u32::MAX);
    let refused = submit(&owner, 7, job("a", 100, 1)).await;
    assert!(matches!(refused, Reply::Refused(..)), "{refused:?}");
    platform.faults().clear();
    tokio::time::sleep(ms(500)).await;
    let copy = submit(&owner, 7, job("a", 100, 1)).await;
    assert!(matches!(copy, Reply::Refused(..)), "its caller was told that nothing runs: {copy:?}");
    // The caller's next try is another request.
    assert_eq!(submit(&owner, 8, job("a", 100, 1)).await, Reply::Accepted);
    owner.stop().await;
}

#[tokio::test(start_paused = true)]
async fn a_second_copy_joins_the_write_under_way() {
    let (platform, owner) = owner().await;
    platform.faults().inject(Operation::Commit, Fault::Slow(ms(250)), 2);
    let first = tokio::spawn({
        let owner = owner.clone();
        async move { submit(&owner, 7, job("a", 100, 1)).await }
    });
    tokio::time::sleep(ms(100)).await;
    let begun = owner.clock.now();
    assert_eq!(submit(&owner, 8, job("a", 100, 1)).await, Reply::Accepted);
    let took = owner.clock.now() - begun;
    assert!(took < ms(300), "it waited for a write of its own: {took:?}");
    assert_eq!(first.await.expect("it does not panic"), Reply::Accepted);
    tokio::time::sleep(ms(2_000)).await;
    assert_eq!(platform.history().starts.len(), 1);
    owner.stop().await;
}

#[tokio::test(start_paused = true)]
async fn a_directory_that_lags_lets_no_task_wait_at_a_take_over() {
    let (platform, first) = owner().await;
    let second = platform.start(2).await;
    tokio::time::sleep(ms(1_500)).await;
    // More tasks than the pool has room for, so that some wait, and two instances come back from standby for them.
    assert_eq!(submit(&second, 7, job("a", 1_500, 20)).await, Reply::Accepted);
    tokio::time::sleep(ms(2_500)).await;
    platform.faults().inject(Operation::ReadDirectory, Fault::StaleRead, 1);
    platform.kill(1, &first);
    let begun = second.clock.now();
    while ask(&second, 8, QueueOperation::State("a".into())).await != Reply::State(Phase::Done) {
        tokio::time::sleep(ms(50)).await;
        assert!(second.clock.now() - begun < TASK_LEASE, "tasks wait for a worker that only lags");
    }
    assert_eq!(platform.history().violations, Vec::<String>::new());
    second.stop().await;
}

#[tokio::test(start_paused = true)]
async fn work_starts_again_before_the_lease_of_a_dead_owner_is_over() {
    let (platform, first) = owner().await;
    let second = platform.start(2).await;
    tokio::time::sleep(ms(1_500)).await;
    // Jobs arrive all the time, so the owner writes after each of its words.
    for number in 0..60 {
        let arrived = submit(&second, fastrand::u64(..), job(&format!("before-{number}"), 20, 1));
        assert_eq!(arrived.await, Reply::Accepted);
        tokio::time::sleep(ms(13)).await;
    }
    platform.kill(1, &first);
    let started = platform.history().starts.len();
    let begun = second.clock.now();
    while submit(&second, fastrand::u64(..), job("urgent", 100, 1)).await != Reply::Accepted {
        tokio::time::sleep(ms(50)).await;
    }
    while platform.history().starts.len() == started {
        tokio::time::sleep(ms(10)).await;
    }
    let took = second.clock.now() - begun;
    assert!(took < OWNER_LEASE, "it took {took:?}");
    second.stop().await;
}
