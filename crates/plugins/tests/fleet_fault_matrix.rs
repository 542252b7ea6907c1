//! Every fault at every step of the fleet's work, at the port of the users' platform, on paused time.
//!
//! Each cell plays the same history over two daemons: jobs of two steps, a job that is cancelled, a wave, more work than
//! the pool has room for, and the owner's end. The fault strikes one kind of call at one step. At the end every accepted
//! job is done, what was cancelled is gone, and the ledger of the stand-in has seen no task run twice, no worker and
//! no team above its limit, and no wave reported too early.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wasabiswitch_kernel::Kernel;
use wasabiswitch_plugins::fleet::front;
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

/// The instances of the pool at the beginning.
const POOL: usize = 4;
/// The instances that stand by.
const STANDBY: usize = 2;
/// What the team may run: less than all instances together.
const CAP_MILLI: u64 = 10_000;
/// How long a caller waits for an answer.
const CALL_PATIENCE: Duration = ms(3_000);
/// How often a caller tries: for as long as anyone may have to wait for an owner after the faults.
const TRIES: u32 = 50;
/// How long a fault that lasts goes on; longer than an owner's lease, shorter than the leases of tasks.
const LASTS: Duration = ms(2_000);
/// How long after the last submission everything must be done.
const SETTLES: Duration = ms(25_000);

/// A step of the history, and the kinds of call that carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    Accept,
    Start,
    Hold,
    End,
    Progress,
    Acknowledge,
    Cancel,
    Stop,
    Move,
    Upkeep,
    Instances,
    WaveStatus,
    Renew,
    TakeOver,
    TakeOverRows,
    TakeOverDirectory,
    TakeOverHold,
    HandOver,
}

impl At {
    fn operation(self) -> Operation {
        match self {
            At::Start => Operation::Start,
            At::Hold | At::End | At::Acknowledge | At::TakeOverHold => Operation::Hold,
            At::Stop => Operation::Stop,
            At::Move => Operation::Move,
            At::Upkeep => Operation::Maintenance,
            At::Instances => Operation::List,
            At::WaveStatus => Operation::ReportWave,
            At::TakeOverRows => Operation::Read,
            At::TakeOverDirectory => Operation::ReadDirectory,
            At::Accept | At::Progress | At::Cancel | At::Renew | At::TakeOver | At::HandOver => {
                Operation::Commit
            }
        }
    }
}

/// A fault and how often it strikes; zero stands for all calls of [`LASTS`] from the first.
const FAULTS: [(&str, Fault, u32); 12] = [
    ("refused once", Fault::Refuse, 1),
    ("refused for long", Fault::Refuse, 0),
    ("silent once", Fault::Hang, 1),
    ("silent for long", Fault::Hang, 0),
    ("answer lost once", Fault::LostResponse, 1),
    ("answers lost for long", Fault::LostResponse, 0),
    ("slow", Fault::Slow(ms(200)), 0),
    ("answered too late", Fault::SlowResponse(ms(1_500)), 1),
    ("answered from the past", Fault::StaleRead, 1),
    ("delivered twice", Fault::DuplicateDelivery, 0),
    ("carried out late once", Fault::LateDelivery(ms(3_000)), 1),
    ("carried out late for long", Fault::LateDelivery(ms(3_000)), 0),
];

/// Returns a job whose tasks run for `task_ms`, in steps of so many tasks, one after the other.
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

async fn ask(kernel: &Arc<Kernel>, ask: QueueOperation) -> Reply {
    let call = Call {
        request_id: fastrand::u64(..),
        config_version: 1,
        queue: "q".into(),
        operation: ask,
    };
    front::answer(kernel, call, kernel.clock.now() + CALL_PATIENCE).await
}

/// Submits a job as a caller does that comes back until it is accepted.
async fn submit(kernel: Arc<Kernel>, job: Submission) -> bool {
    for _ in 0..TRIES {
        match ask(&kernel, QueueOperation::Submit(Box::new(job.clone()))).await {
            Reply::Accepted => return true,
            _ => tokio::time::sleep(ms(300)).await,
        }
    }
    false
}

async fn cancel(kernel: Arc<Kernel>, id: &'static str) -> bool {
    for _ in 0..TRIES {
        match ask(&kernel, QueueOperation::Cancel(id.into())).await {
            Reply::Cancelled => return true,
            _ => tokio::time::sleep(ms(300)).await,
        }
    }
    false
}

/// What goes wrong in a history, and how the first owner ends.
#[derive(Clone, Debug, Default)]
struct Plan {
    /// A fault that strikes when its step comes, and how often; zero stands for all calls of [`LASTS`].
    at_step: Option<(At, Fault, u32)>,
    /// Faults that strike some time after the beginning, and how often.
    at_time: Vec<(Duration, Operation, Fault, u32)>,
    hands_over: bool,
}

impl Plan {
    /// Lets the fault of a step strike if this is its step.
    fn strike(&self, platform: &FleetStandIn, at: At) {
        let Some((step, fault, times)) = self.at_step.filter(|(step, _, _)| *step == at) else {
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
                tokio::time::sleep(LASTS).await;
                faults.clear();
            });
        }
    }

    /// Lets the faults with a time strike when it comes.
    fn strike_later(&self, platform: &FleetStandIn) {
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

/// What a history leaves behind: the daemon that is left, and whether each caller got its answer in the end.
struct Played {
    platform: FleetStandIn,
    daemon: Arc<Kernel>,
    accepted: Vec<bool>,
    cancelled: bool,
}

/// Plays the history with the faults of a plan; returns what went wrong.
async fn play(plan: &Plan) -> Vec<String> {
    let played = play_history(plan).await;
    let mut wrong = wrongs(&played).await;
    if plan.at_step.is_some() && played.platform.faults().injected_count() == 0 {
        wrong.push("the fault has met no call".to_owned());
    }
    played.daemon.stop().await;
    wrong
}

async fn play_history(plan: &Plan) -> Played {
    let pools = [("p", POOL), ("standby", STANDBY)];
    let platform = FleetStandIn::new(&pools, CAP_MILLI);
    platform.put_config(single_queue_config("standby", CAP_MILLI));
    let strike = |at| plan.strike(&platform, at);
    let first = platform.start(1).await;
    tokio::time::sleep(ms(1_500)).await;
    let second = platform.start(2).await;
    tokio::time::sleep(ms(1_500)).await;

    plan.strike_later(&platform);
    let mut submissions = Vec::new();
    let mut send = |job| submissions.push(tokio::spawn(submit(second.clone(), job)));
    for step in [At::Accept, At::Start, At::Hold] {
        strike(step);
    }
    send(job("two-steps", 400, &[3, 1]));
    send(job("cancelled", 60_000, &[2]));
    tokio::time::sleep(ms(350)).await;
    strike(At::End);
    strike(At::Progress);
    tokio::time::sleep(ms(100)).await;
    strike(At::Acknowledge);
    tokio::time::sleep(ms(300)).await;
    strike(At::Cancel);
    strike(At::Stop);
    let cancelled = tokio::spawn(cancel(second.clone(), "cancelled"));
    tokio::time::sleep(ms(500)).await;
    strike(At::Upkeep);
    strike(At::Instances);
    platform.request_wave(1, &["p-0", "p-1"], 1);
    tokio::time::sleep(ms(2_000)).await;
    strike(At::Move);
    send(job("wide", 800, &[20]));
    tokio::time::sleep(ms(1_500)).await;
    strike(At::WaveStatus);
    tokio::time::sleep(ms(2_500)).await;
    strike(At::Renew);
    tokio::time::sleep(ms(1_500)).await;
    send(job("long", 4_000, &[4, 2]));
    tokio::time::sleep(ms(500)).await;
    for step in
        [At::TakeOver, At::TakeOverRows, At::TakeOverDirectory, At::TakeOverHold, At::HandOver]
    {
        strike(step);
    }
    if plan.hands_over {
        first.stop().await;
    } else {
        platform.kill(1, &first);
    }
    send(job("after", 300, &[2]));
    tokio::time::sleep(SETTLES).await;

    let mut accepted = Vec::new();
    for submission in submissions {
        accepted.push(submission.await.expect("the caller does not panic"));
    }
    let cancelled = cancelled.await.expect("the caller does not panic");
    Played { platform, daemon: second, accepted, cancelled }
}

/// Returns what is wrong after a history that has settled.
async fn wrongs(played: &Played) -> Vec<String> {
    let Played { platform, daemon, accepted, cancelled } = played;
    let mut wrong = platform.history().violations;
    let refused = accepted.iter().enumerate().filter(|(_, accepted)| !**accepted);
    wrong.extend(refused.map(|(number, _)| format!("submission {number} was never accepted")));
    if !cancelled {
        wrong.push("the cancelling was never acknowledged".to_owned());
    }
    for id in ["two-steps", "wide", "long", "after"] {
        let reply = ask(daemon, QueueOperation::State(id.into())).await;
        if reply != Reply::State(Phase::Done) {
            wrong.push(format!("{id} is {reply:?}"));
        }
    }
    let reply = ask(daemon, QueueOperation::State("cancelled".into())).await;
    if reply != Reply::State(Phase::Cancelled) {
        wrong.push(format!("cancelled is {reply:?}"));
    }
    wrong.extend(platform.running().into_iter().map(|task| format!("{task:?} still runs")));
    if !platform.is_wave_done(1) {
        wrong.push("the wave is not done".to_owned());
    }
    let upkeeps = platform.maintenance_counts(1);
    if upkeeps != BTreeMap::from([("p-0".into(), 1), ("p-1".into(), 1)]) {
        wrong.push(format!("the upkeeps were {upkeeps:?}"));
    }
    wrong
}

/// Plays one step with each fault.
async fn play_all(at: At) {
    fastrand::seed(31);
    let mut failed = Vec::new();
    for (name, fault, times) in FAULTS {
        let at_step = Some((at, fault, times));
        let hands_over = at == At::HandOver;
        let wrong = play(&Plan { at_step, hands_over, ..Plan::default() }).await;
        if !wrong.is_empty() {
            failed.push(format!("{at:?}, {name}: {wrong:#?}"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// The calls that random faults strike.
const STRUCK: [Operation; 9] = [
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
/// The seeds of one run; `FAULT_SEEDS=a..b` plays others.
const SEEDS: std::ops::Range<u64> = 0..40;
/// How often a random fault strikes at most: four calls without an answer take longer than an owner's lease.
const STRIKES_MAX: u32 = 5;
/// The time from the first submission to the end of the first owner and a second more.
const HISTORY_MS: u64 = 10_000;

/// Returns the seeds to play.
fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("FAULT_SEEDS") else { return SEEDS };
    let (from, to) = text.split_once("..").expect("FAULT_SEEDS is a range like 100..200");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Draws some faults at any moments, several of which may strike at once.
fn random_plan(seed: u64) -> Plan {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = rng.usize(2..7);
    let mut draw = || {
        let (_, fault, _) = FAULTS[rng.usize(0..FAULTS.len())];
        let operation = STRUCK[rng.usize(0..STRUCK.len())];
        (ms(rng.u64(0..HISTORY_MS)), operation, fault, rng.u32(1..STRIKES_MAX))
    };
    let at_time = (0..count).map(|_| draw()).collect();
    Plan { at_step: None, at_time, hands_over: rng.bool() }
}

#[tokio::test(start_paused = true)]
async fn random_faults_at_random_moments() {
    let mut failed = Vec::new();
    for seed in seeds() {
        fastrand::seed(seed);
        let plan = random_plan(seed);
        let wrong = play(&plan).await;
        if !wrong.is_empty() {
            failed.push(format!("seed {seed}: {wrong:#?} with {plan:?}"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Makes a test of each step, so that they run beside each other.
macro_rules! steps {
    ($($name:ident: $at:expr,)*) => {
        $(
            #[tokio::test(start_paused = true)]
            async fn $name() {
                play_all($at).await;
            }
        )*
    };
}

steps! {
    accept: At::Accept,
    start: At::Start,
    hold: At::Hold,
    end: At::End,
    progress: At::Progress,
    acknowledge: At::Acknowledge,
    cancel_: At::Cancel,
    stop: At::Stop,
    move_: At::Move,
    upkeep: At::Upkeep,
    instances: At::Instances,
    wave_status: At::WaveStatus,
    renew: At::Renew,
    take_over: At::TakeOver,
    take_over_rows: At::TakeOverRows,
    take_over_directory: At::TakeOverDirectory,
    take_over_hold: At::TakeOverHold,
    hand_over: At::HandOver,
}

#[test]
fn the_pool_alone_has_too_little_room_for_the_history() {
    let room = POOL as u64 * WORKER_CAPACITY.cpu_milli;
    assert!(room < CAP_MILLI, "the cap binds only after instances were moved");
    assert!(CAP_MILLI < room + STANDBY as u64 * WORKER_CAPACITY.cpu_milli);
}
