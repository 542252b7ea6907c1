//! Each fault at each step of the fleet's work, injected at the port of the users' platform, on paused time.
//!
//! Each test runs the same history over two daemons: jobs of two steps, a job that is cancelled, a wave, more tasks
//! than the pool has capacity for, and the end of the first owner. The fault applies to one kind of call at one step.
//! At the end every accepted job is done, the cancelled job is cancelled and none of its tasks runs, and the ledger of
//! the stand-in has recorded no task that ran twice, no worker and no team above its limit, and no wave reported too
//! early.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wasabiswitch_kernel::Kernel;
use wasabiswitch_plugins::fleet::queue_calls;
use wasabiswitch_policy::fleet::calls::{Call, QueueOperation, Reply};
use wasabiswitch_policy::fleet::spec::{Step, Submission};
use wasabiswitch_policy::fleet::state::Phase;
use wasabiswitch_standin::fleet::{
    FleetStandIn, TASK_RESOURCES, WORKER_CAPACITY, single_queue_config,
};
use wasabiswitch_standin::{Fault, FaultTarget, Operation};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Number of instances in the pool at the beginning.
const POOL_INSTANCES: usize = 4;
/// Number of instances in standby.
const STANDBY_INSTANCES: usize = 2;
/// The team's cap in thousandths of a core, which is below the capacity of all instances together.
const TEAM_CAP_MILLI: u64 = 10_000;
/// Time that a caller waits for an answer.
const CALL_TIMEOUT: Duration = ms(3_000);
/// Maximum number of attempts of a caller, which cover the longest wait for an owner after the faults.
const CALL_ATTEMPTS_MAX: u32 = 50;
/// Duration of a continuous fault: longer than an owner's lease, and shorter than the leases of tasks.
const LONG_FAULT_DURATION: Duration = ms(2_000);
/// Time after the last submission within which all jobs and the wave must be done.
const SETTLE_TIME: Duration = ms(25_000);

/// A step of the history at which a fault is injected into one kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultPoint {
    Accept,
    Start,
    Hold,
    End,
    Progress,
    Acknowledge,
    Cancel,
    Stop,
    Move,
    Maintenance,
    Instances,
    WaveStatus,
    Renew,
    Takeover,
    TakeoverRows,
    TakeoverDirectory,
    TakeoverHold,
    Handover,
}

impl FaultPoint {
    fn operation(self) -> Operation {
        match self {
            FaultPoint::Start => Operation::Start,
            FaultPoint::Hold
            | FaultPoint::End
            | FaultPoint::Acknowledge
            | FaultPoint::TakeoverHold => Operation::Hold,
            FaultPoint::Stop => Operation::Stop,
            FaultPoint::Move => Operation::Move,
            FaultPoint::Maintenance => Operation::Maintenance,
            FaultPoint::Instances => Operation::List,
            FaultPoint::WaveStatus => Operation::ReportWave,
            FaultPoint::TakeoverRows => Operation::Read,
            FaultPoint::TakeoverDirectory => Operation::ReadDirectory,
            FaultPoint::Accept
            | FaultPoint::Progress
            | FaultPoint::Cancel
            | FaultPoint::Renew
            | FaultPoint::Takeover
            | FaultPoint::Handover => Operation::Commit,
        }
    }
}

/// Faults, each with the number of calls that it applies to; zero means all calls within [`LONG_FAULT_DURATION`]
/// of the first.
const FAULTS: [(&str, Fault, u32); 12] = [
    ("refused once", Fault::Refuse, 1),
    ("refused continuously", Fault::Refuse, 0),
    ("unanswered once", Fault::Hang, 1),
    ("unanswered continuously", Fault::Hang, 0),
    ("answer lost once", Fault::LostResponse, 1),
    ("answers lost continuously", Fault::LostResponse, 0),
    ("slow", Fault::Slow(ms(200)), 0),
    ("answered after the timeout", Fault::SlowResponse(ms(1_500)), 1),
    ("stale read", Fault::StaleRead, 1),
    ("delivered twice", Fault::DuplicateDelivery, 0),
    ("delivered late once", Fault::LateDelivery(ms(3_000)), 1),
    ("delivered late continuously", Fault::LateDelivery(ms(3_000)), 0),
];

/// Returns a job whose tasks run for `task_ms`, with consecutive steps of `counts` tasks.
fn job(id: &str, task_ms: u64, counts: &[u32]) -> Submission {
    let step = |(number, count): (u32, &u32)| Step {
        count: *count,
        resources: TASK_RESOURCES,
        estimate_ms: task_ms,
        after: if number > 0 { vec![number - 1] } else { Vec::new() },
        ..Step::default()
    };
    Submission {
        queue: "q".into(),
        team: "t".into(),
        spec: task_ms.to_string(),
        steps: (0u32..).zip(counts).map(step).collect(),
        ..Submission::id_only(id.into())
    }
}

async fn call_queue(kernel: &Arc<Kernel>, operation: QueueOperation) -> Reply {
    let call =
        Call { request_id: fastrand::u64(..), config_version: 1, queue: "q".into(), operation };
    queue_calls::answer(kernel, call, kernel.clock.now() + CALL_TIMEOUT).await
}

/// Submits a job repeatedly until it is accepted; returns whether it was.
async fn submit(kernel: Arc<Kernel>, job: Submission) -> bool {
    for _ in 0..CALL_ATTEMPTS_MAX {
        match call_queue(&kernel, QueueOperation::Submit(Box::new(job.clone()))).await {
            Reply::Accepted => return true,
            _ => tokio::time::sleep(ms(300)).await,
        }
    }
    false
}

async fn cancel(kernel: Arc<Kernel>, id: &'static str) -> bool {
    for _ in 0..CALL_ATTEMPTS_MAX {
        match call_queue(&kernel, QueueOperation::Cancel(id.into())).await {
            Reply::Cancelled => return true,
            _ => tokio::time::sleep(ms(300)).await,
        }
    }
    false
}

/// Faults of a history, and the way in which the first owner ends.
#[derive(Clone, Debug, Default)]
struct FaultPlan {
    /// Fault that is injected at a step, with its number of calls; zero means all calls within
    /// [`LONG_FAULT_DURATION`].
    at_step: Option<(FaultPoint, Fault, u32)>,
    /// Faults that are injected at a time after the beginning, with their numbers of calls.
    at_time: Vec<(Duration, Operation, Fault, u32)>,
    ends_by_handover: bool,
}

impl FaultPlan {
    /// Injects the fault of this plan if `point` is its step.
    fn inject_step_fault(&self, platform: &FleetStandIn, point: FaultPoint) {
        let Some((step, fault, times)) = self.at_step.filter(|(step, _, _)| *step == point) else {
            return;
        };
        let calls = if times == 0 { u32::MAX } else { times };
        inject(platform, step.operation(), fault, calls);
        if times == 0 {
            let faults = platform.faults().clone();
            tokio::spawn(async move {
                while faults.injected_count() == 0 {
                    tokio::time::sleep(ms(20)).await;
                }
                tokio::time::sleep(LONG_FAULT_DURATION).await;
                faults.clear();
            });
        }
    }

    /// Schedules the faults that have a time.
    fn schedule_timed_faults(&self, platform: &FleetStandIn) {
        for (after, operation, fault, times) in self.at_time.clone() {
            let platform = platform.clone();
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                inject(&platform, operation, fault, times);
            });
        }
    }
}

fn inject(platform: &FleetStandIn, operation: Operation, fault: Fault, times: u32) {
    let calls = FaultTarget { operation, prefix: String::new(), skip: 0, times };
    platform.faults().inject_for(calls, fault);
}

/// State after a history: the platform, the remaining daemon, and whether each caller's request succeeded.
struct Outcome {
    platform: FleetStandIn,
    daemon: Arc<Kernel>,
    accepted: Vec<bool>,
    cancelled: bool,
}

/// Runs the history with the faults of a plan; returns the violations.
async fn run_scenario(plan: &FaultPlan) -> Vec<String> {
    let outcome = run_history(plan).await;
    let mut violations = find_violations(&outcome).await;
    if plan.at_step.is_some() && outcome.platform.faults().injected_count() == 0 {
        violations.push("the fault applied to no call".to_owned());
    }
    outcome.daemon.stop().await;
    violations
}

async fn run_history(plan: &FaultPlan) -> Outcome {
    let pools = [("p", POOL_INSTANCES), ("standby", STANDBY_INSTANCES)];
    let platform = FleetStandIn::new(&pools, TEAM_CAP_MILLI);
    platform.put_config(single_queue_config("standby", TEAM_CAP_MILLI));
    let inject_step_fault = |point| plan.inject_step_fault(&platform, point);
    let first = platform.start(1).await;
    tokio::time::sleep(ms(1_500)).await;
    let second = platform.start(2).await;
    tokio::time::sleep(ms(1_500)).await;

    plan.schedule_timed_faults(&platform);
    let mut submissions = Vec::new();
    let mut send = |job| submissions.push(tokio::spawn(submit(second.clone(), job)));
    for step in [FaultPoint::Accept, FaultPoint::Start, FaultPoint::Hold] {
        inject_step_fault(step);
    }
    send(job("two-steps", 400, &[3, 1]));
    send(job("cancelled", 60_000, &[2]));
    tokio::time::sleep(ms(350)).await;
    inject_step_fault(FaultPoint::End);
    inject_step_fault(FaultPoint::Progress);
    tokio::time::sleep(ms(100)).await;
    inject_step_fault(FaultPoint::Acknowledge);
    tokio::time::sleep(ms(300)).await;
    inject_step_fault(FaultPoint::Cancel);
    inject_step_fault(FaultPoint::Stop);
    let cancelled = tokio::spawn(cancel(second.clone(), "cancelled"));
    tokio::time::sleep(ms(500)).await;
    inject_step_fault(FaultPoint::Maintenance);
    inject_step_fault(FaultPoint::Instances);
    platform.request_wave(1, &["p-0", "p-1"], 1);
    tokio::time::sleep(ms(2_000)).await;
    inject_step_fault(FaultPoint::Move);
    send(job("wide", 800, &[20]));
    tokio::time::sleep(ms(1_500)).await;
    inject_step_fault(FaultPoint::WaveStatus);
    tokio::time::sleep(ms(2_500)).await;
    inject_step_fault(FaultPoint::Renew);
    tokio::time::sleep(ms(1_500)).await;
    send(job("long", 4_000, &[4, 2]));
    tokio::time::sleep(ms(500)).await;
    for step in [
        FaultPoint::Takeover,
        FaultPoint::TakeoverRows,
        FaultPoint::TakeoverDirectory,
        FaultPoint::TakeoverHold,
        FaultPoint::Handover,
    ] {
        inject_step_fault(step);
    }
    if plan.ends_by_handover {
        first.stop().await;
    } else {
        platform.kill(1, &first);
    }
    send(job("after", 300, &[2]));
    tokio::time::sleep(SETTLE_TIME).await;

    let mut accepted = Vec::new();
    for submission in submissions {
        accepted.push(submission.await.expect("the caller does not panic"));
    }
    let cancelled = cancelled.await.expect("the caller does not panic");
    Outcome { platform, daemon: second, accepted, cancelled }
}

/// Returns the violations after a history that has settled.
async fn find_violations(outcome: &Outcome) -> Vec<String> {
    let Outcome { platform, daemon, accepted, cancelled } = outcome;
    let mut violations = platform.history().violations;
    let refused = accepted.iter().enumerate().filter(|(_, accepted)| !**accepted);
    violations.extend(refused.map(|(number, _)| format!("submission {number} was never accepted")));
    if !cancelled {
        violations.push("the cancellation was never acknowledged".to_owned());
    }
    for id in ["two-steps", "wide", "long", "after"] {
        let reply = call_queue(daemon, QueueOperation::State(id.into())).await;
        if reply != Reply::State(Phase::Done) {
            violations.push(format!("{id} is {reply:?}"));
        }
    }
    let reply = call_queue(daemon, QueueOperation::State("cancelled".into())).await;
    if reply != Reply::State(Phase::Cancelled) {
        violations.push(format!("cancelled is {reply:?}"));
    }
    violations.extend(platform.running().into_iter().map(|task| format!("{task:?} still runs")));
    if !platform.is_wave_done(1) {
        violations.push("the wave is not done".to_owned());
    }
    let maintenance_counts = platform.maintenance_counts(1);
    if maintenance_counts != BTreeMap::from([("p-0".into(), 1), ("p-1".into(), 1)]) {
        violations.push(format!("the maintenance counts were {maintenance_counts:?}"));
    }
    violations
}

/// Runs the history with each fault at one step.
async fn run_all_faults(point: FaultPoint) {
    fastrand::seed(31);
    let mut failed = Vec::new();
    for (name, fault, times) in FAULTS {
        let at_step = Some((point, fault, times));
        let ends_by_handover = point == FaultPoint::Handover;
        let violations =
            run_scenario(&FaultPlan { at_step, ends_by_handover, ..FaultPlan::default() }).await;
        if !violations.is_empty() {
            failed.push(format!("{point:?}, {name}: {violations:#?}"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Calls into which a fault is injected during a takeover with an evacuation.
const EVACUATION_OPERATIONS: [Operation; 6] = [
    Operation::Commit,
    Operation::Read,
    Operation::WatchOperator,
    Operation::ReadDirectory,
    Operation::Start,
    Operation::Hold,
];

/// Runs a history in which the operator evacuates a data centre while its owner ends, with a fault from then on; returns the
/// violations.
///
/// The operator lifts the evacuation after ten seconds. Jobs arrive throughout.
async fn run_evacuation(operation: Operation, fault: Fault, times: u32) -> Vec<String> {
    let pools = [("p", POOL_INSTANCES), ("standby", STANDBY_INSTANCES)];
    let platform = FleetStandIn::new(&pools, TEAM_CAP_MILLI);
    platform.assign_data_centre(&["p-0", "p-1", "standby-0"], "east");
    platform.put_config(single_queue_config("standby", TEAM_CAP_MILLI));
    let first = platform.start(1).await;
    tokio::time::sleep(ms(1_500)).await;
    let second = platform.start(2).await;
    tokio::time::sleep(ms(1_500)).await;
    let mut submissions = Vec::new();
    let mut jobs = Vec::new();
    for number in 0..60 {
        match number {
            6 => {
                platform.evacuate("east", true);
                inject(&platform, operation, fault, if times == 0 { u32::MAX } else { times });
                platform.kill(1, &first);
            }
            16 => platform.faults().clear(),
            40 => platform.evacuate("east", false),
            _ => {}
        }
        let id = format!("job-{number}");
        submissions.push(tokio::spawn(submit(second.clone(), job(&id, 400, &[4, 1]))));
        jobs.push(id);
        tokio::time::sleep(ms(300)).await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let mut violations = platform.history().violations;
    for submission in submissions {
        if !submission.await.expect("the caller does not panic") {
            violations.push("a submission was never accepted".to_owned());
        }
    }
    for id in jobs {
        let reply = call_queue(&second, QueueOperation::State(id.as_str().into())).await;
        if reply != Reply::State(Phase::Done) {
            violations.push(format!("{id} is {reply:?}"));
        }
    }
    violations.extend(platform.running().into_iter().map(|task| format!("{task:?} still runs")));
    second.stop().await;
    violations
}

// Guards against a successor that starts tasks in a data centre whose evacuation its predecessor had, or had not yet, put into
// force, with a fault in each kind of call that the takeover makes.
#[tokio::test(start_paused = true)]
async fn evacuation_during_a_takeover() {
    fastrand::seed(31);
    let mut failed = Vec::new();
    for operation in EVACUATION_OPERATIONS {
        for (name, fault, times) in FAULTS {
            let violations = run_evacuation(operation, fault, times).await;
            if !violations.is_empty() {
                failed.push(format!("{operation:?}, {name}: {violations:#?}"));
            }
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// The operations to which random faults apply.
const FAULTED_OPERATIONS: [Operation; 9] = [
    Operation::Commit,
    Operation::Read,
    Operation::ReadDirectory,
    Operation::Start,
    Operation::Stop,
    Operation::Hold,
    Operation::List,
    Operation::Move,
    Operation::Maintenance,
];
/// Default seeds of a run; `FAULT_SEEDS=a..b` selects others.
const SEEDS: std::ops::Range<u64> = 0..40;
/// Exclusive upper bound of the number of calls that a random fault applies to; four unanswered calls last longer
/// than an owner's lease.
const FAULT_CALLS_BOUND: u32 = 5;
/// Time from the first submission to the end of the first owner, plus one second, in milliseconds.
const HISTORY_MS: u64 = 10_000;

/// Returns the seeds to run.
fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("FAULT_SEEDS") else { return SEEDS };
    let (from, to) = text.split_once("..").expect("FAULT_SEEDS is a range like 100..200");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Chooses random faults at random times, several of which may overlap.
fn random_plan(seed: u64) -> FaultPlan {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = rng.usize(2..7);
    let mut draw = || {
        let (_, fault, _) = FAULTS[rng.usize(0..FAULTS.len())];
        let operation = FAULTED_OPERATIONS[rng.usize(0..FAULTED_OPERATIONS.len())];
        (ms(rng.u64(0..HISTORY_MS)), operation, fault, rng.u32(1..FAULT_CALLS_BOUND))
    };
    let at_time = (0..count).map(|_| draw()).collect();
    FaultPlan { at_step: None, at_time, ends_by_handover: rng.bool() }
}

#[tokio::test(start_paused = true)]
async fn random_faults_at_random_times() {
    let mut failed = Vec::new();
    for seed in seeds() {
        fastrand::seed(seed);
        let plan = random_plan(seed);
        let violations = run_scenario(&plan).await;
        if !violations.is_empty() {
            failed.push(format!("seed {seed}: {violations:#?} with {plan:?}"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Defines a test for each step, so that the steps run in parallel.
macro_rules! steps {
    ($($name:ident: $point:expr,)*) => {
        $(
            #[tokio::test(start_paused = true)]
            async fn $name() {
                run_all_faults($point).await;
            }
        )*
    };
}

steps! {
    accept: FaultPoint::Accept,
    start: FaultPoint::Start,
    hold: FaultPoint::Hold,
    end: FaultPoint::End,
    progress: FaultPoint::Progress,
    acknowledge: FaultPoint::Acknowledge,
    cancellation: FaultPoint::Cancel,
    stop: FaultPoint::Stop,
    instance_move: FaultPoint::Move,
    maintenance: FaultPoint::Maintenance,
    instances: FaultPoint::Instances,
    wave_status: FaultPoint::WaveStatus,
    renew: FaultPoint::Renew,
    takeover: FaultPoint::Takeover,
    takeover_rows: FaultPoint::TakeoverRows,
    takeover_directory: FaultPoint::TakeoverDirectory,
    takeover_hold: FaultPoint::TakeoverHold,
    handover: FaultPoint::Handover,
}

#[test]
fn pool_alone_has_too_little_capacity_for_the_history() {
    let capacity_milli = POOL_INSTANCES as u64 * WORKER_CAPACITY.cpu_milli;
    assert!(capacity_milli < TEAM_CAP_MILLI, "the cap binds only after instances were moved");
    assert!(TEAM_CAP_MILLI < capacity_milli + STANDBY_INSTANCES as u64 * WORKER_CAPACITY.cpu_milli);
}
