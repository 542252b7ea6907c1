//! Takeovers of the fleet around changes of the configuration.

use std::sync::Arc;
use std::time::Duration;

use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::platform::fleet::RowRange;
use wasabiswitch_plugins::fleet::queue_calls;
use wasabiswitch_plugins::fleet::takeover::START_POOL_TABLE;
use wasabiswitch_policy::fleet::calls::{Call, QueueOperation, Reply};
use wasabiswitch_policy::fleet::config::FleetConfig;
use wasabiswitch_policy::fleet::spec::{Step, Submission};
use wasabiswitch_standin::fleet::{FleetStandIn, TASK_RESOURCES, single_queue_config};
use wasabiswitch_standin::{Fault, FaultTarget, Operation};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Time within which a daemon that has just started learns the owner, or becomes it.
const START_TIME: Duration = ms(1_500);
/// Time limit of a call, as clients state it.
const CALL_TIME_LIMIT: Duration = ms(3_000);

async fn call(kernel: &Arc<Kernel>, operation: QueueOperation) -> Reply {
    let call =
        Call { request_id: fastrand::u64(..), config_version: 1, queue: "q".into(), operation };
    queue_calls::answer(kernel, call, kernel.clock.now() + CALL_TIME_LIMIT).await
}

/// Returns a job with one task that runs until it is cancelled.
fn long_running_job(id: &str) -> Submission {
    let step = Step { count: 1, resources: TASK_RESOURCES, long_running: true, ..Step::default() };
    Submission {
        queue: "q".into(),
        team: "t".into(),
        steps: vec![step],
        ..Submission::id_only(id.into())
    }
}

/// Returns a configuration in which the queue `q` leads to `pool`.
fn config_with_pool(version: u64, pool: &str) -> FleetConfig {
    let mut config = single_queue_config("standby", 100_000);
    config.version = version;
    config.pools.extend([("p2".into(), Default::default()), ("p3".into(), Default::default())]);
    config.routes[0].queue_settings.pool = pool.into();
    config
}

/// Makes every call to a worker fail until the faults are cleared.
fn cut_off(platform: &FleetStandIn, worker: &str) {
    for operation in [Operation::Hold, Operation::Start, Operation::Stop] {
        let target = FaultTarget { operation, prefix: worker.to_owned(), skip: 0, times: u32::MAX };
        platform.faults().inject_for(target, Fault::Refuse);
    }
}

async fn count_start_pool_rows(platform: &FleetStandIn) -> usize {
    let range = RowRange { table: START_POOL_TABLE, from: String::new(), rows_max: 10 };
    (platform.port().read)(range).await.expect("the store answers").rows.len()
}

// Guards against a second run of a task in the present pool of its queue while it still runs, on a worker that the new owner
// cannot reach, in a pool that the queue had after the submission.
#[tokio::test(start_paused = true)]
async fn successor_knows_the_pools_in_which_tasks_were_started() {
    fastrand::seed(31);
    let pools = [("p", 0), ("p2", 1), ("p3", 1), ("standby", 0)];
    let platform = FleetStandIn::new(&pools, 100_000);
    platform.put_config(config_with_pool(1, "p"));
    let first = platform.start(1).await;
    tokio::time::sleep(START_TIME).await;
    let second = platform.start(2).await;
    tokio::time::sleep(START_TIME).await;
    let job = Box::new(long_running_job("a"));
    assert_eq!(call(&first, QueueOperation::Submit(job)).await, Reply::Accepted);
    platform.put_config(config_with_pool(2, "p2"));
    tokio::time::sleep(ms(1_000)).await;
    assert_eq!(platform.running().len(), 1, "the task runs in the second pool");
    assert_eq!(count_start_pool_rows(&platform).await, 1);
    platform.put_config(config_with_pool(3, "p3"));
    tokio::time::sleep(ms(1_000)).await;
    cut_off(&platform, "w0");
    platform.kill(1, &first);
    tokio::time::sleep(ms(12_000)).await;
    let history = platform.history();
    assert_eq!(history.violations, Vec::<String>::new());
    assert_eq!(history.starts.len(), 2, "the task restarts in the third pool after its lease");
    assert_eq!(call(&second, QueueOperation::Cancel("a".into())).await, Reply::Cancelled);
    tokio::time::sleep(ms(2_000)).await;
    assert_eq!(count_start_pool_rows(&platform).await, 0, "the row outlives its job");
    second.stop().await;
}
