//! Planned stops of daemons on the users' platform, while callers keep calling them.

use std::sync::Arc;
use std::time::Duration;

use wasabiswitch_kernel::Kernel;
use wasabiswitch_plugins::fleet::queue_calls;
use wasabiswitch_policy::fleet::calls::{Call, QueueOperation, Reply};
use wasabiswitch_policy::fleet::spec::{Step, Submission};
use wasabiswitch_standin::fleet::{FleetStandIn, TASK_RESOURCES, single_queue_config};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Number of instances in the pool.
const POOL_INSTANCES: usize = 4;
/// Time limit of a call, as clients state it.
const CALL_TIME_LIMIT: Duration = ms(3_000);
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

fn spawn_stop(kernel: &Arc<Kernel>) -> tokio::task::JoinHandle<bool> {
    let kernel = kernel.clone();
    tokio::spawn(async move { kernel.stop().await })
}

// A daemon that was stopping did not learn of a new owner: it refused submissions, and held all other calls until their
// deadlines, which were later than the end of its process.
#[tokio::test(start_paused = true)]
async fn stopping_daemon_follows_a_change_of_the_owner() {
    let (_platform, [owner, stopping, successor]) = start_three_daemons().await;
    let stops = [spawn_stop(&stopping), spawn_stop(&owner)];
    tokio::time::sleep(TAKEOVER_TIME).await;
    assert_eq!(submit(&successor, 1, "a").await, Reply::Accepted, "the successor owns the fleet");
    for (kernel, request_id, job) in [(&stopping, 2, "b"), (&owner, 4, "c")] {
        let sent = kernel.clock.now();
        assert_eq!(submit(kernel, request_id, job).await, Reply::Accepted, "{kernel:?}");
        let state = call(kernel, request_id + 1, QueueOperation::State(job.into())).await;
        assert!(matches!(state, Reply::State(_)), "{kernel:?}: {state:?}");
        let took = kernel.clock.now().saturating_duration_since(sent);
        assert!(took < OWNER_WAIT_MAX, "{kernel:?}: {took:?}");
    }
    for stop in stops {
        assert!(stop.await.expect("the stop does not panic"));
    }
    successor.stop().await;
}

// A stopping daemon must not take the fleet over: it would hand it over again at once.
#[tokio::test(start_paused = true)]
async fn stopping_daemons_leave_a_released_fleet_to_the_others() {
    let (_platform, [owner, stopping, successor]) = start_three_daemons().await;
    let stops = [spawn_stop(&stopping), spawn_stop(&owner)];
    tokio::time::sleep(TAKEOVER_TIME).await;
    for kernel in [&owner, &stopping] {
        assert!(kernel.tables.term.lock().is_none(), "{kernel:?} owns the fleet");
    }
    assert!(successor.tables.term.lock().is_some());
    for stop in stops {
        assert!(stop.await.expect("the stop does not panic"));
    }
    successor.stop().await;
}
