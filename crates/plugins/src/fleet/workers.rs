//! Asks each worker for its report, and carries out orders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use wasabiswitch_kernel::platform::PlatformResult;
use wasabiswitch_kernel::platform::fleet::{
    AdviceRequest, HoldOrder, RunOrder, StartOrder, WorkerReply, WorkerTarget,
};
use wasabiswitch_kernel::tasks::TaskTree;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::fleet::Engine;
use wasabiswitch_policy::fleet::outcomes::StartOutcome;
use wasabiswitch_policy::fleet::ownership::may_act;
use wasabiswitch_policy::fleet::plan::Order;
use wasabiswitch_policy::fleet::reports::{JobEvent, ReportTiming, WorkerReport};
use wasabiswitch_policy::fleet::state::{TaskName, TaskRef, Worker, WorkerKey};

use super::{log_notes, port, term};

/// How long a worker with tasks waits for an end before it reports.
const BUSY_WAIT: Duration = Duration::from_millis(500);
/// How long a worker without tasks waits.
const IDLE_WAIT: Duration = Duration::from_millis(1_000);
/// The shortest time between two reports of a worker, so that ends that come together cost one look.
const REPORT_PAUSE: Duration = Duration::from_millis(25);
/// The pause after a report that failed.
const FAILED_TASK_RETRY_DELAY: Duration = Duration::from_millis(200);

/// What came of asking a worker.
enum Asking {
    Again(Duration),
    Ended,
}

/// Starts to ask every worker of the engine.
pub(crate) fn ask_all(kernel: &Arc<Kernel>, tasks: &TaskTree) {
    let keys: Vec<WorkerKey> = {
        let guard = kernel.tables.term.lock();
        guard.as_ref().map_or(Vec::new(), |term| term.engine.workers.keys().collect())
    };
    for key in keys {
        ask(kernel, tasks, key);
    }
}

/// Starts to ask a worker for reports until the engine has forgotten it.
pub(crate) fn ask(kernel: &Arc<Kernel>, tasks: &TaskTree, key: WorkerKey) {
    let kernel = kernel.clone();
    tasks.spawn_until_stopped("worker reports", async move {
        while let Asking::Again(pause) = ask_once(&kernel, key).await {
            sleep(pause).await;
        }
    });
}

async fn ask_once(kernel: &Arc<Kernel>, key: WorkerKey) -> Asking {
    let now = kernel.clock.now();
    let order = {
        let mut guard = kernel.tables.term.lock();
        let Some(term) = guard.as_mut() else { return Asking::Ended };
        let Some(worker) = term.engine.workers.get(key) else { return Asking::Ended };
        let busy = !worker.runs.is_empty();
        let wait = match (worker.clock, busy) {
            // Nothing can start at a worker before its clock is known.
            (None, _) => Duration::ZERO,
            (Some(_), true) => BUSY_WAIT,
            (Some(_), false) => IDLE_WAIT,
        };
        let acts = !term.superseded && may_act(term.confirmed_sent, now);
        let until_ms = if acts { term.engine.begin_renewal(key, now) } else { None };
        let worker = &term.engine.workers[key];
        hold_order(worker, term.engine.fence, until_ms, wait)
    };
    let Some(order) = order else { return Asking::Again(FAILED_TASK_RETRY_DELAY) };
    let reply = (port(kernel).hold)(order).await;
    let received = kernel.clock.now();
    let mut notes = Vec::new();
    let pause = {
        let mut guard = kernel.tables.term.lock();
        let Some(term) = guard.as_mut() else { return Asking::Ended };
        let may_hold = reply.as_ref().err().is_none_or(|error| error.verdict != Verdict::NotRun);
        term.engine.end_renewal(key, may_hold);
        let asked = ReportTiming { sent: now, received };
        match take_reply(&mut term.engine, key, asked, reply, &mut notes) {
            Taken::Report => REPORT_PAUSE,
            Taken::Nothing => FAILED_TASK_RETRY_DELAY,
            Taken::Fenced => {
                drop(guard);
                term::depose(kernel, "a worker's report");
                return Asking::Ended;
            }
        }
    };
    log_notes(&notes);
    kernel.wakes.plan.notify_one();
    Asking::Again(pause)
}

/// Asks a worker at once, beside the question that waits for its next end.
///
/// What became of an order without an answer shows only in a report that was asked for later.
async fn ask_now(kernel: &Arc<Kernel>, key: WorkerKey) {
    let order = {
        let guard = kernel.tables.term.lock();
        let engine = guard.as_ref().map(|term| &term.engine);
        let worker = engine.and_then(|engine| Some((engine.workers.get(key)?, engine.fence)));
        worker.and_then(|(worker, fence)| hold_order(worker, fence, None, Duration::ZERO))
    };
    let Some(order) = order else { return };
    let sent = kernel.clock.now();
    let reply = (port(kernel).hold)(order).await;
    let asked = ReportTiming { sent, received: kernel.clock.now() };
    // A failure says nothing that the regular question does not find out.
    if !matches!(reply, Ok(WorkerReply::Done(_) | WorkerReply::Fenced)) {
        return;
    }
    let mut notes = Vec::new();
    let taken = {
        let mut guard = kernel.tables.term.lock();
        let Some(term) = guard.as_mut() else { return };
        take_reply(&mut term.engine, key, asked, reply, &mut notes)
    };
    log_notes(&notes);
    if matches!(taken, Taken::Fenced) {
        term::depose(kernel, "a worker's report");
    }
    kernel.wakes.plan.notify_one();
}

/// What a reply to a hold was.
pub(crate) enum Taken {
    Report,
    Fenced,
    Nothing,
}

/// Takes a reply to a hold into the engine.
pub(crate) fn take_reply(
    engine: &mut Engine,
    key: WorkerKey,
    asked: ReportTiming,
    reply: PlatformResult<WorkerReply<WorkerReport>>,
    notes: &mut Vec<JobEvent>,
) -> Taken {
    let id = engine.workers.get(key).map(|worker| worker.entry.id.clone());
    let id = id.as_deref().unwrap_or("?");
    let outcome = match &reply {
        Ok(WorkerReply::Done(_)) => "report",
        Ok(_) => "refused",
        Err(_) => "failed",
    };
    metrics::counter!(metric::WORKER_REPORTS, "outcome" => outcome).increment(1);
    match reply {
        Ok(WorkerReply::Done(report)) => {
            engine.apply_report(key, asked, &report, notes);
            return Taken::Report;
        }
        Ok(WorkerReply::Fenced) => return Taken::Fenced,
        Ok(WorkerReply::OtherLife) => {
            engine.drop_all_runs(key, "another life answered", notes);
            log::info!("worker has another life worker={id}");
        }
        Ok(WorkerReply::Refused(reason)) => {
            log::warn!("hold refused worker={id} reason={reason}");
        }
        Err(error) => {
            log::warn!("no report worker={id} verdict={} reason={error}", error.verdict.as_str());
        }
    }
    engine.record_missed_report(key);
    Taken::Nothing
}

/// Returns the order that asks a worker for a report, unless its address cannot be read.
pub(crate) fn hold_order(
    worker: &Worker,
    fence: u64,
    until_ms: Option<u64>,
    wait: Duration,
) -> Option<HoldOrder> {
    let target = target(worker)?;
    Some(HoldOrder { target, fence, acknowledged: worker.ack_cursor(), until_ms, wait })
}

fn target(worker: &Worker) -> Option<WorkerTarget> {
    let address: SocketAddr = worker.entry.address.parse().ok()?;
    Some(WorkerTarget { id: worker.entry.id.clone(), address })
}

/// Sends an order in a task of its own, which the term joins.
pub(crate) fn send(kernel: &Arc<Kernel>, tasks: &TaskTree, order: Order) {
    let kernel = kernel.clone();
    tasks.spawn("order", async move { carry_out(&kernel, order).await });
}

fn order_target(kernel: &Kernel, key: WorkerKey) -> Option<(WorkerTarget, u64)> {
    let guard = kernel.tables.term.lock();
    let engine = &guard.as_ref()?.engine;
    Some((target(engine.workers.get(key)?)?, engine.fence))
}

async fn carry_out(kernel: &Arc<Kernel>, order: Order) {
    match order {
        Order::Advise { step, name, workers } => advise(kernel, step, name, workers).await,
        Order::Start { worker, task, name, attempt, submission, until_ms, checkpoint, ticket } => {
            let outcome = match order_target(kernel, worker) {
                None => StartOutcome::NotSent,
                Some((target, fence)) => {
                    let spec = submission.spec.clone();
                    let start = StartOrder {
                        target,
                        task: name.clone(),
                        attempt,
                        spec,
                        until_ms,
                        fence,
                        checkpoint,
                        ticket,
                    };
                    // The port turns every failure of a start into an outcome.
                    (port(kernel).start)(start).await.unwrap_or(StartOutcome::Unknown)
                }
            };
            let shown = format!("{outcome:?}");
            metrics::counter!(metric::STARTS, "outcome" => shown).increment(1);
            let now = kernel.clock.now();
            let mut notes = Vec::new();
            if let Some(term) = kernel.tables.term.lock().as_mut() {
                term.engine.apply_start_outcome(worker, task, attempt, outcome, now, &mut notes);
            }
            log_notes(&notes);
            match outcome {
                StartOutcome::Started => {}
                StartOutcome::Fenced => term::depose(kernel, "a worker's answer to a start"),
                StartOutcome::Unknown => ask_now(kernel, worker).await,
                _ => kernel.wakes.plan.notify_one(),
            }
        }
        Order::Stop { worker, name, attempt } => {
            let Some((target, fence)) = order_target(kernel, worker) else { return };
            let run = RunOrder { target, task: name.clone(), attempt, fence };
            let reply = (port(kernel).stop)(run).await;
            let done = was_done(kernel, "stop", &name.job, reply);
            let now = kernel.clock.now();
            let waits = match kernel.tables.term.lock().as_mut().filter(|_| done) {
                Some(term) => {
                    term.engine.record_stop_acknowledgement(worker, &name, attempt, now);
                    term.engine.waits_for_report(worker, &name, attempt)
                }
                None => false,
            };
            if waits {
                ask_now(kernel, worker).await;
            }
        }
        Order::Pace { worker, name, attempt, percent } => {
            let Some((target, fence)) = order_target(kernel, worker) else { return };
            let run = RunOrder { target, task: name.clone(), attempt, fence };
            let reply = (port(kernel).pace)((run, percent)).await;
            was_done(kernel, "pace", &name.job, reply);
        }
    }
}

/// Asks the advice service which workers may run a step.
async fn advise(kernel: &Arc<Kernel>, step: TaskRef, name: TaskName, workers: Vec<WorkerKey>) {
    let ids = {
        let guard = kernel.tables.term.lock();
        let Some(term) = guard.as_ref() else { return };
        let found = workers.iter().filter_map(|key| term.engine.workers.get(*key));
        found.map(|worker| worker.entry.id.clone()).collect()
    };
    let sent = kernel.clock.now();
    let question = AdviceRequest { step: name.clone(), workers: ids };
    let answer = match (port(kernel).advise)(question).await {
        Ok(answer) => {
            log::info!(
                "advice job={} step={} granted={}",
                name.job,
                name.step,
                answer.grants.len()
            );
            Some((answer.grants, answer.valid))
        }
        Err(error) => {
            log::warn!("no advice job={} step={} reason={error}", name.job, name.step);
            None
        }
    };
    if let Some(term) = kernel.tables.term.lock().as_mut() {
        term.engine.apply_advice(&step, &workers, answer, sent);
    }
    kernel.wakes.plan.notify_one();
}

fn was_done(
    kernel: &Kernel,
    what: &str,
    job: &str,
    reply: PlatformResult<WorkerReply<()>>,
) -> bool {
    match reply {
        Ok(WorkerReply::Done(())) => return true,
        Ok(WorkerReply::Fenced) => term::depose(kernel, "a worker's answer to an order"),
        Ok(WorkerReply::OtherLife) => log::info!("{what} met another life job={job}"),
        Ok(WorkerReply::Refused(reason)) => log::warn!("{what} refused job={job} reason={reason}"),
        Err(error) => log::warn!("{what} not answered job={job} reason={error}"),
    }
    false
}
