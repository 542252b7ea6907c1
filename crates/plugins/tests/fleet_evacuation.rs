//! Evacuations of data centres on whole daemons, against the stand-in of the platform.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use wasabiswitch_kernel::Kernel;
use wasabiswitch_plugins::fleet::queue_calls;
use wasabiswitch_policy::fleet::calls::{Call, QueueOperation, Reply};
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

async fn submit(kernel: &Arc<Kernel>, id: &str, step: Step) -> Reply {
    let spec = if step.long_running { String::new() } else { step.estimate_ms.to_string() };
    let job = Submission {
        queue: "q".into(),
        team: "t".into(),
        spec,
        steps: vec![step],
        ..Submission::id_only(id.into())
    };
    let operation = QueueOperation::Submit(Box::new(job));
    let call =
        Call { request_id: fastrand::u64(..), config_version: 1, queue: "q".into(), operation };
    queue_calls::answer(kernel, call, kernel.clock.now() + CALL_TIME_LIMIT).await
}

fn short(count: u32) -> Step {
    Step { count, resources: TASK_RESOURCES, estimate_ms: 300, ..Step::default() }
}

fn long_running(count: u32) -> Step {
    Step {
        count,
        resources: TASK_RESOURCES,
        long_running: true,
        unavailable_max: 1,
        ..Step::default()
    }
}

/// Returns a platform with two instances in the east, two in the west, and one of each in standby.
fn platform() -> FleetStandIn {
    fastrand::seed(31);
    let platform = FleetStandIn::new(&[("p", 4), ("standby", 2)], 100_000);
    platform.assign_data_centre(&["p-0", "p-1", "standby-0"], "east");
    platform.assign_data_centre(&["p-2", "p-3", "standby-1"], "west");
    platform.put_config(single_queue_config("standby", 100_000));
    platform
}

fn evacuations(kernel: &Kernel) -> BTreeSet<Arc<str>> {
    kernel.tables.fleet.lock().evacuations.clone()
}

// Guards against an evacuation that the owner does not put into force or does not lift, against services that stay in the data
// centre, and against other daemons that do not know of it.
#[tokio::test(start_paused = true)]
async fn data_centre_is_cleared_and_used_again_after_the_lift() {
    let platform = platform();
    let owner = platform.start(1).await;
    tokio::time::sleep(START_TIME).await;
    let other = platform.start(2).await;
    tokio::time::sleep(START_TIME).await;
    assert_eq!(submit(&owner, "service", long_running(2)).await, Reply::Accepted);
    assert_eq!(submit(&owner, "fill", short(4)).await, Reply::Accepted);
    tokio::time::sleep(ms(300)).await;
    platform.evacuate("east", true);
    tokio::time::sleep(ms(6_000)).await;
    for kernel in [&owner, &other] {
        assert_eq!(evacuations(kernel), BTreeSet::from(["east".into()]));
    }
    assert_eq!(platform.running_in("east"), 0);
    assert_eq!(platform.running_in("west"), 2, "the service runs in the west");
    for number in 0..20 {
        assert_eq!(submit(&owner, &format!("during-{number}"), short(2)).await, Reply::Accepted);
        tokio::time::sleep(ms(300)).await;
    }
    platform.evacuate("east", false);
    tokio::time::sleep(ms(3_000)).await;
    assert_eq!(evacuations(&owner), BTreeSet::new());
    let mut used = false;
    for number in 0..20 {
        submit(&owner, &format!("after-{number}"), short(8)).await;
        tokio::time::sleep(ms(100)).await;
        used |= platform.running_in("east") > 0;
    }
    assert!(used, "the east is used again");
    tokio::time::sleep(ms(10_000)).await;
    assert_eq!(platform.history().violations, Vec::<String>::new());
    owner.stop().await;
    other.stop().await;
}

// Guards against a successor that starts tasks before it knows of an evacuation that its own feed has not delivered.
#[tokio::test(start_paused = true)]
async fn successor_knows_an_evacuation_that_its_feed_has_not_delivered() {
    let platform = platform();
    let first = platform.start(1).await;
    tokio::time::sleep(START_TIME).await;
    platform.faults().inject(Operation::WatchOperator, Fault::Hang, u32::MAX);
    let second = platform.start(2).await;
    tokio::time::sleep(START_TIME).await;
    platform.evacuate("east", true);
    platform.kill(1, &first);
    while second.tables.term.lock().is_none() {
        tokio::time::sleep(ms(10)).await;
    }
    assert_eq!(submit(&second, "service", long_running(4)).await, Reply::Accepted);
    tokio::time::sleep(ms(1_500)).await;
    assert_eq!((platform.running_in("east"), platform.running_in("west")), (0, 4));
    second.stop().await;
}

// Guards against a takeover that goes on without the operator's rows when they cannot be read.
#[tokio::test(start_paused = true)]
async fn takeover_waits_for_the_rows_of_the_operator() {
    let platform = platform();
    let first = platform.start(1).await;
    tokio::time::sleep(START_TIME).await;
    let second = platform.start(2).await;
    tokio::time::sleep(START_TIME).await;
    platform.evacuate("east", true);
    platform.faults().inject(Operation::Read, Fault::Refuse, u32::MAX);
    platform.faults().inject(Operation::WatchOperator, Fault::Hang, u32::MAX);
    platform.kill(1, &first);
    tokio::time::sleep(ms(6_000)).await;
    assert!(second.tables.term.lock().is_none(), "the takeover goes on without the rows");
    platform.faults().clear();
    while second.tables.term.lock().is_none() {
        tokio::time::sleep(ms(10)).await;
    }
    assert_eq!(evacuations(&second), BTreeSet::from(["east".into()]));
    second.stop().await;
}

// Guards against an outage of the store that ends an evacuation, or a lift that is never read because of it.
#[tokio::test(start_paused = true)]
async fn evacuation_stays_in_force_during_an_outage_of_the_store() {
    let platform = platform();
    let owner = platform.start(1).await;
    tokio::time::sleep(START_TIME).await;
    platform.evacuate("east", true);
    tokio::time::sleep(ms(500)).await;
    let store = [Operation::Commit, Operation::Read, Operation::WatchOperator];
    for operation in store {
        let target = FaultTarget { operation, prefix: String::new(), skip: 0, times: u32::MAX };
        platform.faults().inject_for(target, Fault::Refuse);
    }
    tokio::time::sleep(ms(4_000)).await;
    assert_eq!(evacuations(&owner), BTreeSet::from(["east".into()]));
    platform.evacuate("east", false);
    platform.faults().clear();
    tokio::time::sleep(ms(3_000)).await;
    assert_eq!(evacuations(&owner), BTreeSet::new());
    owner.stop().await;
}
