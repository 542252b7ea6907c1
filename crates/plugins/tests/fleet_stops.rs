//! Planned stops of daemons on the users' platform, while callers keep calling them.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_plugins::fleet::queue_calls;
use wasabiswitch_policy::fleet::calls::{Call, QueueOperation, Reply};
use wasabiswitch_policy::fleet::spec::{Step, Submission};
use wasabiswitch_standin::fleet::{FleetStandIn, TASK_RESOURCES, single_queue_config};
use wasabiswitch_standin::{Fault, Operation};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Number of instances in the pool.
const POOL_INSTANCES: usize = 4;
/// Time limit of a call, as clients state it.
const CALL_TIME_LIMIT: Duration = ms(3_000);
/// Time after which a call to the platform without an answer fails.
const CALL_TIMEOUT: Duration = ms(900);
/// Time after which a submission that reaches no owner is refused.
const OWNER_WAIT_MAX: Duration = ms(140);
/// Time from the release of the fleet to a successor that every daemon has found.
const TAKEOVER_TIME: Duration = ms(600);

async fn call(kernel: &Arc<Kernel>, request_id: u64, operation: QueueOperation) -> Reply {
    let call = Call { request_id, config_version: 1, queue: "q".into(), operation };
    queue_calls::answer(kernel, call, kernel.clock.now() + CALL_TIME_LIMIT).await
}

async fn submit(kernel: &Arc<Kernel>, request_id: u64, job: &str) -> Reply {
    let step = Step { count: 1, resources: TASK_RESOURCES, estimate_ms: 100, ..Step::default() };
    let submission = Submission {
        queue: "q".into(),
        team: "t".into(),
        spec: "100".to_owned(),
        steps: vec![step],
        ..Submission::id_only(job.into())
    };
    call(kernel, request_id, QueueOperation::Submit(Box::new(submission))).await
}

/// Starts a platform and three daemons that know each other; the first owns the fleet.
async fn start_three_daemons() -> (FleetStandIn, [Arc<Kernel>; 3]) {
    fastrand::seed(31);
    let platform = FleetStandIn::new(&[("p", POOL_INSTANCES), ("standby", 0)], 100_000);
    platform.put_config(single_queue_config("standby", 100_000));
    let owner = platform.start(1).await;
    tokio::time::sleep(ms(1_500)).await;
    let others = [platform.start(2).await, platform.start(3).await];
    tokio::time::sleep(ms(1_500)).await;
    let [second, third] = others;
    (platform, [owner, second, third])
}

fn spawn_stop(kernel: &Arc<Kernel>) -> JoinHandle<bool> {
    let kernel = kernel.clone();
    tokio::spawn(async move { kernel.stop().await })
}

/// Stops the owner and another daemon at the same time, and waits until the third daemon has taken the fleet over.
async fn stop_two_of_three(
    owner: &Arc<Kernel>,
    stopping: &Arc<Kernel>,
    successor: &Arc<Kernel>,
) -> [JoinHandle<bool>; 2] {
    let stops = [spawn_stop(stopping), spawn_stop(owner)];
    tokio::time::sleep(TAKEOVER_TIME).await;
    assert_eq!(submit(successor, 1, "a").await, Reply::Accepted, "the successor owns the fleet");
    stops
}

async fn join_stops(stops: [JoinHandle<bool>; 2]) {
    for stop in stops {
        assert!(stop.await.expect("the stop does not panic"));
    }
}

/// Checks that a daemon passes calls on to the owner without a wait.
async fn assert_reaches_owner(kernel: &Arc<Kernel>, request_id: u64, job: &str) {
    let sent = kernel.clock.now();
    assert_eq!(submit(kernel, request_id, job).await, Reply::Accepted);
    let state = call(kernel, request_id + 1, QueueOperation::State(job.into())).await;
    assert!(matches!(state, Reply::State(_)), "{state:?}");
    let took = kernel.clock.now().saturating_duration_since(sent);
    assert!(took < OWNER_WAIT_MAX, "{took:?}");
}

// Guards against calls that a stopping daemon holds or refuses because it does not learn of a new owner.
#[tokio::test(start_paused = true)]
async fn stopping_daemon_follows_a_change_of_the_owner() {
    let (_platform, [owner, stopping, successor]) = start_three_daemons().await;
    let stops = stop_two_of_three(&owner, &stopping, &successor).await;
    assert_reaches_owner(&stopping, 2, "b").await;
    join_stops(stops).await;
    successor.stop().await;
}

// Guards against calls that a former owner holds or refuses after it has released the fleet at its stop.
#[tokio::test(start_paused = true)]
async fn stopping_former_owner_follows_its_successor() {
    let (_platform, [owner, stopping, successor]) = start_three_daemons().await;
    let stops = stop_two_of_three(&owner, &stopping, &successor).await;
    assert_reaches_owner(&owner, 2, "b").await;
    join_stops(stops).await;
    successor.stop().await;
}

// Guards against a stopping daemon that takes the fleet over and hands it over again at once.
#[tokio::test(start_paused = true)]
async fn stopping_daemons_leave_a_released_fleet_to_the_others() {
    let (_platform, [owner, stopping, successor]) = start_three_daemons().await;
    let fence = |kernel: &Kernel| kernel.tables.term.lock().as_ref().map(|term| term.engine.fence);
    let released = fence(&owner).expect("the first daemon owns the fleet");
    let stops = stop_two_of_three(&owner, &stopping, &successor).await;
    assert_eq!(fence(&successor), Some(released + 1), "another daemon had the fleet in between");
    join_stops(stops).await;
    successor.stop().await;
}

// Guards against a fleet without an owner for the rest of a lease, after a daemon that is stopping failed to rebuild it.
#[tokio::test(start_paused = true)]
async fn daemon_that_stops_while_it_takes_over_releases_the_fleet() {
    let (platform, [owner, stopping, successor]) = start_three_daemons().await;
    // The first read of a rebuild gets no answer, and fails after the timeout of the call.
    platform.faults().inject(Operation::ReadDirectory, Fault::LostResponse, 1);
    let released = owner.clock.now();
    let stop_owner = spawn_stop(&owner);
    let took_over = async {
        loop {
            for kernel in [&stopping, &successor] {
                let known = kernel.tables.fleet.lock().owner.clone();
                if known.is_some_and(|known| known.daemon == kernel.settings.daemon) {
                    return kernel.clone();
                }
            }
            tokio::time::sleep(ms(5)).await;
        }
    };
    let new_owner = tokio::time::timeout(ms(1_500), took_over).await.expect("a takeover begins");
    let other = if Arc::ptr_eq(&new_owner, &stopping) { &successor } else { &stopping };
    let stop_new_owner = spawn_stop(&new_owner);
    while submit(other, 1, "a").await != Reply::Accepted {
        let waited = other.clock.now().saturating_duration_since(released);
        assert!(waited < TAKEOVER_TIME * 2 + CALL_TIMEOUT, "no owner after {waited:?}");
        tokio::time::sleep(ms(20)).await;
    }
    join_stops([stop_owner, stop_new_owner]).await;
    other.stop().await;
}
