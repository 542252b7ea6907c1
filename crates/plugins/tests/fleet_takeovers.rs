//! Takeovers of the fleet around changes of the configuration.

use std::sync::Arc;
use std::time::Duration;

use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::platform::fleet::{RowName, RowRange, RowTx};
use wasabiswitch_plugins::fleet::queue_calls;
use wasabiswitch_plugins::fleet::takeover::{SILENT_WORKER_TABLE, START_POOL_TABLE};
use wasabiswitch_policy::fleet::calls::{Call, QueueOperation, Reply};
use wasabiswitch_policy::fleet::config::FleetConfig;
use wasabiswitch_policy::fleet::outcomes::DELIVERY_DELAY_MAX;
use wasabiswitch_policy::fleet::spec::{Step, Submission};
use wasabiswitch_standin::fleet::{FleetStandIn, TASK_RESOURCES, single_queue_config};
use wasabiswitch_standin::fleet_worker::LEASE_MAX;
use wasabiswitch_standin::{Fault, FaultTarget, Operation};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Time within which a daemon that has just started learns the owner, or becomes it.
const START_TIME: Duration = ms(1_500);
/// Time for which orders of a killed owner can have an effect on a worker whose clock is not slow.
const PREDECESSOR_EFFECT_MAX: Duration = DELIVERY_DELAY_MAX.saturating_add(LEASE_MAX);
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

async fn count_rows(platform: &FleetStandIn, table: &'static str) -> usize {
    let range = RowRange { table, from: String::new(), rows_max: 10 };
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
    assert_eq!(count_rows(&platform, START_POOL_TABLE).await, 1);
    platform.put_config(config_with_pool(3, "p3"));
    tokio::time::sleep(ms(1_000)).await;
    cut_off(&platform, "w0");
    platform.kill(1, &first);
    tokio::time::sleep(PREDECESSOR_EFFECT_MAX).await;
    assert_eq!(platform.history().starts.len(), 1, "the task restarts while it may be running");
    tokio::time::sleep(ms(3_000)).await;
    let history = platform.history();
    assert_eq!(history.violations, Vec::<String>::new());
    assert_eq!(history.starts.len(), 2, "the task restarts in the third pool after its lease");
    assert_eq!(call(&second, QueueOperation::Cancel("a".into())).await, Reply::Cancelled);
    tokio::time::sleep(ms(2_000)).await;
    assert_eq!(count_rows(&platform, START_POOL_TABLE).await, 0, "the row outlives its job");
    second.stop().await;
}

// Guards against a record that this version cannot decode and leaves in the store while it uses the worker: a later owner of a
// version that can decode it would start tasks that run there.
#[tokio::test(start_paused = true)]
async fn unreadable_record_of_a_worker_is_removed_before_the_worker_is_used() {
    fastrand::seed(32);
    let platform = FleetStandIn::new(&[("p", 1), ("standby", 0)], 100_000);
    platform.put_config(config_with_pool(1, "p"));
    let row = RowName { table: SILENT_WORKER_TABLE, key: "w0".to_owned() };
    let puts = vec![(row, "unreadable".into())];
    let write = RowTx { expected: Vec::new(), puts, removes: Vec::new() };
    (platform.port().commit)(write).await.expect("the store answers");
    let owner = platform.start(1).await;
    tokio::time::sleep(START_TIME).await;
    let job = Box::new(long_running_job("a"));
    assert_eq!(call(&owner, QueueOperation::Submit(job)).await, Reply::Accepted);
    tokio::time::sleep(ms(1_000)).await;
    assert_eq!(platform.running().len(), 1, "the worker is not used");
    assert_eq!(count_rows(&platform, SILENT_WORKER_TABLE).await, 0, "the worker has a record");
    owner.stop().await;
}

// Guards against a worker without tasks that answers each request, counts as unresponsive while the next answer is due, and therefore
// gets a record and no starts for most of the time.
#[tokio::test(start_paused = true)]
async fn idle_worker_that_answers_gets_no_record() {
    fastrand::seed(33);
    // A pool of one instance keeps it; one that moved to standby would end its worker, which then gets a record.
    let platform = FleetStandIn::new(&[("p", 1), ("standby", 0)], 100_000);
    platform.put_config(config_with_pool(1, "p"));
    let owner = platform.start(1).await;
    for _ in 0..100 {
        tokio::time::sleep(ms(50)).await;
        let count = count_rows(&platform, SILENT_WORKER_TABLE).await;
        assert_eq!(count, 0, "a worker that answers has a record");
    }
    owner.stop().await;
}

/// Starts two daemons, ends the owner, and returns the second daemon while it waits for the workers' answers to its takeover.
async fn begin_takeover(platform: &FleetStandIn) -> Arc<Kernel> {
    let first = platform.start(1).await;
    tokio::time::sleep(START_TIME).await;
    let second = platform.start(2).await;
    tokio::time::sleep(START_TIME).await;
    platform.faults().inject(Operation::Hold, Fault::Hang, u32::MAX);
    platform.kill(1, &first);
    let is_taking_over = || {
        let owner = second.tables.fleet.lock().owner.clone();
        owner.is_some_and(|owner| owner.daemon == second.settings.daemon)
    };
    while !is_taking_over() {
        tokio::time::sleep(ms(10)).await;
    }
    assert!(second.tables.term.lock().is_none(), "the takeover has ended before its disruption");
    second
}

/// Lets the workers answer again, and waits until the daemon has taken the fleet over.
async fn end_takeover(platform: &FleetStandIn, daemon: &Kernel) {
    tokio::time::sleep(ms(200)).await;
    assert!(daemon.tables.term.lock().is_none(), "the takeover has ended before its disruption");
    platform.faults().clear();
    while daemon.tables.term.lock().is_none() {
        tokio::time::sleep(ms(10)).await;
    }
}

// Guards against a configuration that a daemon adopts while it takes the fleet over, and that the new owner never puts into
// force.
#[tokio::test(start_paused = true)]
async fn configuration_adopted_during_a_takeover_is_in_force() {
    const LOWERED_CAP_MILLI: u64 = 2_000;
    fastrand::seed(31);
    let platform = FleetStandIn::new(&[("p", 4), ("standby", 0)], LOWERED_CAP_MILLI);
    platform.put_config(single_queue_config("standby", 8_000));
    let owner = begin_takeover(&platform).await;
    let mut lowered = single_queue_config("standby", LOWERED_CAP_MILLI);
    lowered.version = 2;
    platform.put_config(lowered);
    end_takeover(&platform, &owner).await;
    let step = Step { count: 8, resources: TASK_RESOURCES, estimate_ms: 500, ..Step::default() };
    let mut job = long_running_job("a");
    (job.spec, job.steps) = ("500".to_owned(), vec![step]);
    assert_eq!(call(&owner, QueueOperation::Submit(Box::new(job))).await, Reply::Accepted);
    tokio::time::sleep(ms(1_500)).await;
    let history = platform.history();
    assert!(history.starts.len() > 2, "the job runs");
    assert_eq!(history.violations, Vec::<String>::new());
    owner.stop().await;
}

// Guards against a wave that a daemon reads while it takes the fleet over, and that the new owner never carries out.
#[tokio::test(start_paused = true)]
async fn wave_read_during_a_takeover_is_carried_out() {
    fastrand::seed(31);
    let platform = FleetStandIn::new(&[("p", 4), ("standby", 0)], 100_000);
    platform.put_config(single_queue_config("standby", 100_000));
    let owner = begin_takeover(&platform).await;
    platform.request_wave(1, &["p-0", "p-1"], 1);
    end_takeover(&platform, &owner).await;
    tokio::time::sleep(ms(15_000)).await;
    assert!(platform.is_wave_done(1), "{:?}", platform.maintenance_counts(1));
    assert_eq!(platform.history().violations, Vec::<String>::new());
    owner.stop().await;
}

/// Starts two daemons whose feeds of the operator's rows deliver nothing, lets the operator write, and ends the owner; returns the
/// second daemon once it has taken the fleet over, with the writes not yet delivered by its feed.
async fn take_over_with_late_feed(
    platform: &FleetStandIn,
    write: impl FnOnce(&FleetStandIn),
) -> Arc<Kernel> {
    let first = platform.start(1).await;
    tokio::time::sleep(START_TIME).await;
    platform.faults().inject(Operation::WatchOperator, Fault::Hang, u32::MAX);
    let second = platform.start(2).await;
    tokio::time::sleep(START_TIME).await;
    write(platform);
    platform.kill(1, &first);
    while second.tables.term.lock().is_none() {
        tokio::time::sleep(ms(10)).await;
    }
    second
}

// Guards against a new owner that acts by an older configuration than its predecessor, since its own feed is late.
#[tokio::test(start_paused = true)]
async fn successor_acts_by_the_configuration_that_the_store_has_at_the_takeover() {
    fastrand::seed(31);
    let platform = FleetStandIn::new(&[("p", 4), ("standby", 0)], 100_000);
    platform.put_config(single_queue_config("standby", 8_000));
    let owner = take_over_with_late_feed(&platform, |platform| {
        let mut lowered = single_queue_config("standby", 2_000);
        lowered.version = 2;
        platform.put_config(lowered);
    })
    .await;
    let cap_milli = {
        let term = owner.tables.term.lock();
        term.as_ref().expect("the daemon owns the fleet").engine.teams["t"].cap.cpu_milli
    };
    assert_eq!(cap_milli, 2_000);
    owner.stop().await;
}

// Guards against a new owner that does not have a wave which its predecessor may have begun, since its own feed is late.
#[tokio::test(start_paused = true)]
async fn successor_restores_a_wave_that_its_feed_has_not_delivered() {
    fastrand::seed(31);
    let platform = FleetStandIn::new(&[("p", 4), ("standby", 0)], 100_000);
    platform.put_config(single_queue_config("standby", 100_000));
    let owner = take_over_with_late_feed(&platform, |platform| {
        platform.request_wave(1, &["p-0", "p-1"], 1);
    })
    .await;
    {
        let term = owner.tables.term.lock();
        let engine = &term.as_ref().expect("the daemon owns the fleet").engine;
        assert!(engine.waves.contains_key(&1));
    }
    platform.faults().clear();
    tokio::time::sleep(ms(15_000)).await;
    assert!(platform.is_wave_done(1), "{:?}", platform.maintenance_counts(1));
    assert_eq!(platform.history().violations, Vec::<String>::new());
    owner.stop().await;
}

/// Time from the end of an owner within which changes of the operator are tried: longer than a takeover takes.
const TAKEOVER_TIME_MAX: Duration = ms(2_500);
/// Interval between the moments at which changes are tried.
const MOMENT_INTERVAL: Duration = ms(50);

// Guards against a step of a takeover after which a configuration or a wave that the operator writes is lost.
#[tokio::test(start_paused = true)]
async fn changes_at_any_moment_of_a_takeover_are_in_force() {
    let mut offset = Duration::ZERO;
    while offset < TAKEOVER_TIME_MAX {
        fastrand::seed(31);
        let platform = FleetStandIn::new(&[("p", 4), ("standby", 0)], 100_000);
        platform.put_config(single_queue_config("standby", 8_000));
        let first = platform.start(1).await;
        tokio::time::sleep(START_TIME).await;
        let second = platform.start(2).await;
        tokio::time::sleep(START_TIME).await;
        cut_off(&platform, "w0");
        platform.kill(1, &first);
        tokio::time::sleep(offset).await;
        let mut lowered = single_queue_config("standby", 2_000);
        lowered.version = 2;
        platform.put_config(lowered);
        platform.request_wave(1, &["p-1", "p-2"], 1);
        tokio::time::sleep(TAKEOVER_TIME_MAX).await;
        {
            let term = second.tables.term.lock();
            let engine = &term.as_ref().expect("the takeover has ended").engine;
            assert_eq!(engine.teams["t"].cap.cpu_milli, 2_000, "changed after {offset:?}");
            assert!(engine.waves.contains_key(&1), "requested after {offset:?}");
        }
        second.stop().await;
        offset += MOMENT_INTERVAL;
    }
}
