//! Cancellations of jobs that are not accepted yet, or whose submission is still on its way to the owner.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_plugins::fleet::queue_calls;
use wasabiswitch_policy::fleet::calls::{Call, QueueOperation, Reply};
use wasabiswitch_policy::fleet::spec::{Step, Submission};
use wasabiswitch_policy::fleet::state::Phase;
use wasabiswitch_standin::fleet::{FleetStandIn, TASK_RESOURCES, single_queue_config};
use wasabiswitch_standin::{Fault, Operation};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Time that a slow store takes for a write.
const SLOW_WRITE: Duration = ms(240);
/// Time after which a task that is going to start has started.
const START_TIME: Duration = ms(2_000);

/// Returns a job of one step with two tasks.
fn job(id: &str) -> Box<Submission> {
    let step = Step { count: 2, resources: TASK_RESOURCES, estimate_ms: 100, ..Step::default() };
    Box::new(Submission {
        queue: "q".into(),
        team: "t".into(),
        spec: "100".to_owned(),
        steps: vec![step],
        ..Submission::id_only(id.into())
    })
}

async fn call(kernel: &Arc<Kernel>, operation: QueueOperation) -> Reply {
    let call =
        Call { request_id: fastrand::u64(..), config_version: 1, queue: "q".into(), operation };
    queue_calls::answer(kernel, call, kernel.clock.now() + ms(3_000)).await
}

async fn cancel(kernel: &Arc<Kernel>, id: &str) -> Reply {
    call(kernel, QueueOperation::Cancel(id.into())).await
}

async fn state(kernel: &Arc<Kernel>, id: &str) -> Reply {
    call(kernel, QueueOperation::State(id.into())).await
}

/// Submits a job in a separate task, as a client does that may leave before the answer.
fn spawn_submit(kernel: &Arc<Kernel>, id: &str) -> JoinHandle<Reply> {
    let (kernel, operation) = (kernel.clone(), QueueOperation::Submit(job(id)));
    tokio::spawn(async move { call(&kernel, operation).await })
}

/// Starts a platform and a daemon that owns the fleet.
async fn start_owner() -> (FleetStandIn, Arc<Kernel>) {
    fastrand::seed(35);
    let platform = FleetStandIn::new(&[("p", 2), ("standby", 0)], 100_000);
    platform.put_config(single_queue_config("standby", 100_000));
    let owner = platform.start(1).await;
    tokio::time::sleep(ms(1_500)).await;
    (platform, owner)
}

/// Makes each further write of the store slow.
fn slow_store_down(platform: &FleetStandIn) {
    platform.faults().inject(Operation::Commit, Fault::Slow(SLOW_WRITE), u32::MAX);
}

// A job ran although its cancellation had been answered 410: its row was in the write that was under way.
#[tokio::test(start_paused = true)]
async fn job_that_is_cancelled_while_its_row_is_being_written_does_not_start() {
    let (platform, owner) = start_owner().await;
    slow_store_down(&platform);
    let submission = spawn_submit(&owner, "a");
    tokio::time::sleep(SLOW_WRITE / 2).await;
    assert_eq!(cancel(&owner, "a").await, Reply::Cancelled);
    assert_eq!(submission.await.expect("the caller does not panic"), Reply::Accepted);
    platform.faults().clear();
    tokio::time::sleep(START_TIME).await;
    assert_eq!(platform.history().starts, Vec::new(), "the job starts after its cancellation");
    assert_eq!(state(&owner, "a").await, Reply::State(Phase::Cancelled));
    owner.stop().await;
}

// As above, but the row waited for the write after the one under way.
#[tokio::test(start_paused = true)]
async fn job_that_is_cancelled_before_its_row_is_written_does_not_start() {
    let (platform, owner) = start_owner().await;
    slow_store_down(&platform);
    let first = spawn_submit(&owner, "a");
    tokio::time::sleep(SLOW_WRITE / 4).await;
    let second = spawn_submit(&owner, "b");
    tokio::time::sleep(SLOW_WRITE / 4).await;
    assert_eq!(cancel(&owner, "b").await, Reply::Cancelled);
    assert_eq!(state(&owner, "b").await, Reply::State(Phase::Cancelled));
    assert_eq!(second.await.expect("the caller does not panic"), Reply::Accepted);
    assert_eq!(first.await.expect("the caller does not panic"), Reply::Accepted);
    platform.faults().clear();
    tokio::time::sleep(START_TIME).await;
    let starts = platform.history().starts;
    assert!(starts.iter().all(|task| *task.job == *"a"), "the job starts after its cancellation");
    owner.stop().await;
}

// A job ran although its cancellation had been answered 410: another daemon still held its submission, or it was delivered late.
#[tokio::test(start_paused = true)]
async fn submission_that_arrives_after_the_cancellation_of_its_job_does_not_start() {
    let (platform, owner) = start_owner().await;
    assert_eq!(cancel(&owner, "a").await, Reply::Gone);
    assert_eq!(state(&owner, "a").await, Reply::Gone, "a job is shown that was not submitted");
    assert_eq!(call(&owner, QueueOperation::Submit(job("a"))).await, Reply::Accepted);
    assert_eq!(state(&owner, "a").await, Reply::State(Phase::Cancelled));
    assert_eq!(cancel(&owner, "a").await, Reply::Cancelled);
    tokio::time::sleep(START_TIME).await;
    assert_eq!(platform.history().starts, Vec::new(), "the job starts after its cancellation");
    owner.stop().await;
}

// As above, but the submission reached a successor.
#[tokio::test(start_paused = true)]
async fn successor_knows_a_job_as_cancelled_that_its_predecessor_had_not_accepted() {
    let (platform, first) = start_owner().await;
    let second = platform.start(2).await;
    tokio::time::sleep(ms(1_500)).await;
    assert_eq!(cancel(&second, "a").await, Reply::Gone);
    platform.kill(1, &first);
    tokio::time::sleep(ms(6_000)).await;
    assert_eq!(call(&second, QueueOperation::Submit(job("a"))).await, Reply::Accepted);
    assert_eq!(state(&second, "a").await, Reply::State(Phase::Cancelled));
    assert_eq!(call(&second, QueueOperation::Submit(job("b"))).await, Reply::Accepted);
    tokio::time::sleep(START_TIME).await;
    let starts = platform.history().starts;
    assert!(starts.iter().all(|task| *task.job == *"b"), "the job starts after its cancellation");
    second.stop().await;
}

// A job ran although its cancellation had been answered: the outcome of the write with its row was unknown.
#[tokio::test(start_paused = true)]
async fn job_that_is_cancelled_while_the_outcome_of_its_write_is_unknown_does_not_start() {
    for fault in [Fault::LostResponse, Fault::Hang, Fault::LateDelivery(ms(1_500))] {
        let (platform, owner) = start_owner().await;
        platform.faults().inject(Operation::Commit, fault, 1);
        let submission = spawn_submit(&owner, "a");
        tokio::time::sleep(ms(100)).await;
        let cancelled = cancel(&owner, "a").await;
        assert!(matches!(cancelled, Reply::Cancelled | Reply::Gone), "{fault:?}: {cancelled:?}");
        drop(submission);
        tokio::time::sleep(START_TIME).await;
        let starts = platform.history().starts;
        assert_eq!(starts, Vec::new(), "{fault:?}: the job starts after its cancellation");
        owner.stop().await;
    }
}

// As above, but the owner was killed before it knew, and a successor answered the cancellation while another daemon repeated
// the submission.
#[tokio::test(start_paused = true)]
async fn job_that_is_cancelled_around_a_takeover_does_not_start() {
    for fault in [Fault::Slow(SLOW_WRITE), Fault::LateDelivery(ms(4_000))] {
        let (platform, first) = start_owner().await;
        let second = platform.start(2).await;
        let third = platform.start(3).await;
        tokio::time::sleep(ms(1_500)).await;
        platform.faults().inject(Operation::Commit, fault, 1);
        let submission = spawn_submit(&third, "a");
        tokio::time::sleep(SLOW_WRITE / 2).await;
        platform.kill(1, &first);
        let mut cancelled = cancel(&second, "a").await;
        while !matches!(cancelled, Reply::Cancelled | Reply::Gone) {
            cancelled = cancel(&second, "a").await;
        }
        let starts_before = platform.history().starts.len();
        let answered = submission.await.expect("the caller does not panic");
        tokio::time::sleep(START_TIME + ms(4_000)).await;
        let starts = platform.history().starts.len();
        assert_eq!(starts, starts_before, "{fault:?}: {cancelled:?}, {answered:?}");
        second.stop().await;
        third.stop().await;
    }
}

// A client was told that a job did not exist while its row was being written.
#[tokio::test(start_paused = true)]
async fn state_of_a_job_whose_row_is_being_written_is_known_after_the_write() {
    let (platform, owner) = start_owner().await;
    slow_store_down(&platform);
    let submission = spawn_submit(&owner, "a");
    tokio::time::sleep(SLOW_WRITE / 2).await;
    let shown = state(&owner, "a").await;
    assert!(matches!(shown, Reply::State(_)), "{shown:?}");
    assert_eq!(submission.await.expect("the caller does not panic"), Reply::Accepted);
    platform.faults().clear();
    owner.stop().await;
}
