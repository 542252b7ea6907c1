//! Calls of the owner to an advice service that works on one call at a time, also on those whose callers have gone.

use std::sync::Arc;
use std::time::Duration;

use wasabiswitch_kernel::Kernel;
use wasabiswitch_plugins::fleet::queue_calls;
use wasabiswitch_policy::fleet::calls::{Call, QueueOperation, Reply};
use wasabiswitch_policy::fleet::spec::{Step, Submission};
use wasabiswitch_policy::fleet::state::Phase;
use wasabiswitch_standin::fleet::advice::AdviceQueue;
use wasabiswitch_standin::fleet::{FleetStandIn, TASK_RESOURCES, single_queue_config};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Number of instances in the pool; a call for all of them takes a second.
const POOL_INSTANCES: usize = 8;

async fn call(kernel: &Arc<Kernel>, operation: QueueOperation) -> Reply {
    let call =
        Call { request_id: fastrand::u64(..), config_version: 1, queue: "q".into(), operation };
    queue_calls::answer(kernel, call, kernel.clock.now() + ms(3_000)).await
}

/// Returns a job of one step with four short tasks.
fn job(id: &str) -> Box<Submission> {
    let step = Step { count: 4, resources: TASK_RESOURCES, estimate_ms: 300, ..Step::default() };
    Box::new(Submission {
        queue: "q".into(),
        team: "t".into(),
        spec: "300".to_owned(),
        steps: vec![step],
        ..Submission::id_only(id.into())
    })
}

// Accepted jobs never started: from a burst on, every call was given up before the service came to it and sent again behind itself.
#[tokio::test(start_paused = true)]
async fn burst_of_calls_for_advice_starves_no_job() {
    fastrand::seed(36);
    let platform = FleetStandIn::new(&[("p", POOL_INSTANCES), ("standby", 0)], 1_000_000);
    platform.set_advice(AdviceQueue::new(ms(200), ms(100), ms(3_000)));
    let mut config = single_queue_config("standby", 1_000_000);
    config.routes[0].queue_settings.requires_advice = true;
    platform.put_config(config);
    let owner = platform.start(1).await;
    tokio::time::sleep(ms(1_500)).await;
    let pauses = [(8, ms(1_250)), (9, ms(480)), (13, ms(1_250))];
    let mut accepted = Vec::new();
    for (count, pause) in pauses {
        for _ in 0..count {
            let id = format!("job-{}", accepted.len());
            assert_eq!(call(&owner, QueueOperation::Submit(job(&id))).await, Reply::Accepted);
            accepted.push(id);
            tokio::time::sleep(pause).await;
        }
    }
    tokio::time::sleep(ms(14_000)).await;
    for id in accepted {
        let state = call(&owner, QueueOperation::State(id.as_str().into())).await;
        assert_eq!(state, Reply::State(Phase::Done), "{id}");
    }
    assert_eq!(platform.history().violations, Vec::<String>::new());
    owner.stop().await;
}
