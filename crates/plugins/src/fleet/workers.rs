//! Requests reports from each worker, and sends it orders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;
use wasabiswitch_kernel::platform::PlatformResult;
use wasabiswitch_kernel::platform::fleet::{
    AdviceRequest, AdviceResponse, HoldOrder, RunOrder, StartOrder, WorkerReply, WorkerTarget,
};
use wasabiswitch_kernel::tasks::TaskTree;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::fleet::Engine;
use wasabiswitch_policy::fleet::advice::AdviceOutcome;
use wasabiswitch_policy::fleet::lease_bounds::OrderOutcome;
use wasabiswitch_policy::fleet::order_fence::PROMPT_REPORT_INTERVAL;
use wasabiswitch_policy::fleet::outcomes::{StartAnswer, StartOutcome};
use wasabiswitch_policy::fleet::ownership::may_act;
use wasabiswitch_policy::fleet::plan::Order;
use wasabiswitch_policy::fleet::reports::{JobEvent, ReportTiming, WorkerReport};
use wasabiswitch_policy::fleet::state::{TaskName, TaskRef, Worker, WorkerKey};

use super::term::with_term;
use super::{log_job_events, port, term};

/// Time that a worker with tasks waits for the end of one before it reports.
const BUSY_WAIT: Duration = Duration::from_millis(500);
/// Time that a worker without tasks waits before it reports.
const IDLE_WAIT: Duration = Duration::from_millis(1_000);
/// Delay before the next request after a failed report.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time of the next poll of a worker.
enum NextPoll {
    After(Duration),
    Never,
}

/// Starts to poll every worker of the engine of the term with `fence`.
pub(crate) fn poll_all_workers(kernel: &Arc<Kernel>, fence: u64, tasks: &TaskTree) {
    let keys: Option<Vec<WorkerKey>> =
        with_term(kernel, fence, |term| term.engine.workers.keys().collect());
    for key in keys.unwrap_or_default() {
        poll_worker(kernel, fence, tasks, key);
    }
}

/// Starts to poll a worker for reports until the engine has removed it or the term with `fence` has ended.
pub(crate) fn poll_worker(kernel: &Arc<Kernel>, fence: u64, tasks: &TaskTree, key: WorkerKey) {
    let (kernel, polls) = (kernel.clone(), tasks.clone());
    tasks.spawn_until_stopped("worker reports", async move {
        while let NextPoll::After(pause) = poll_once(&kernel, fence, &polls, key).await {
            sleep(pause).await;
        }
    });
}

async fn poll_once(kernel: &Arc<Kernel>, fence: u64, tasks: &TaskTree, key: WorkerKey) -> NextPoll {
    let now = kernel.clock.now();
    let order = with_term(kernel, fence, |term| {
        let worker = term.engine.workers.get(key)?;
        let busy = !worker.runs.is_empty();
        let wait = match (worker.clock, busy) {
            // No task can start on a worker before its clock is known and it has seen its token.
            (None, _) => Duration::ZERO,
            _ if !worker.is_order_fence_seen => Duration::ZERO,
            (Some(_), true) => BUSY_WAIT,
            (Some(_), false) => IDLE_WAIT,
        };
        let can_act = !term.superseded && may_act(term.confirmed_sent, now);
        let until_ms = if can_act { term.engine.begin_renewal(key, now) } else { None };
        Some(hold_order(&term.engine.workers[key], until_ms, wait))
    });
    let Some(order) = order.flatten() else { return NextPoll::Never };
    let Some(order) = order else { return NextPoll::After(REPORT_RETRY_DELAY) };
    let Some(reply) = request_report(kernel, fence, tasks, key, &order).await else {
        let now = kernel.clock.now();
        with_term(kernel, fence, |term| {
            term.engine.end_renewal(key, OrderOutcome::Unknown, now);
        });
        return NextPoll::After(Duration::ZERO);
    };
    let timing = order.timing(now, kernel.clock.now());
    let mut events = Vec::new();
    let applied = with_term(kernel, fence, |term| {
        let outcome = match &reply {
            Ok(WorkerReply::Done(report)) => OrderOutcome::Answered(Some(report.clock_ms)),
            Ok(WorkerReply::Fenced) => OrderOutcome::NotDelivered,
            Err(error) if error.verdict == Verdict::NotRun => OrderOutcome::NotDelivered,
            _ => OrderOutcome::Unknown,
        };
        term.engine.end_renewal(key, outcome, timing.received);
        let applied = apply_reply(&mut term.engine, key, &order, timing, reply, &mut events);
        let worker = term.engine.workers.get(key);
        let is_fence_seen = worker.is_none_or(|worker| worker.is_order_fence_seen);
        (applied, if is_fence_seen { term.pressure.report_interval() } else { Duration::ZERO })
    });
    let pause = match applied {
        Some((AppliedReply::Report, interval)) => interval,
        Some((AppliedReply::NoReport, _)) => REPORT_RETRY_DELAY,
        Some((AppliedReply::Outdated, _)) => Duration::ZERO,
        Some((AppliedReply::Fenced, _)) => {
            term::end_term(kernel, fence, "a worker's report");
            return NextPoll::Never;
        }
        None => return NextPoll::Never,
    };
    log_job_events(&events);
    kernel.wake_signals.plan.notify_one();
    NextPoll::After(pause)
}

/// Sends a request for a report, and further ones at short intervals while [`Engine::needs_prompt_report`]; returns the reply to
/// the first, or `None` if a further one has been answered meanwhile.
async fn request_report(
    kernel: &Arc<Kernel>,
    fence: u64,
    tasks: &TaskTree,
    key: WorkerKey,
    order: &HoldOrder,
) -> Option<PlatformResult<WorkerReply<WorkerReport>>> {
    let call = (port(kernel).hold)(order.clone());
    tokio::pin!(call);
    let needs_prompt_report = || {
        let now = kernel.clock.now();
        with_term(kernel, fence, |term| term.engine.needs_prompt_report(key, now))
    };
    while needs_prompt_report() == Some(true) {
        tokio::select! {
            reply = &mut call => return Some(reply),
            () = sleep(PROMPT_REPORT_INTERVAL) => {}
        }
        let is_answered = with_term(kernel, fence, |term| {
            let worker = term.engine.workers.get(key);
            worker.is_some_and(|w| w.is_order_fence_seen && w.order_fence == order.fence)
        });
        if is_answered == Some(true) {
            return None;
        }
        spawn_poll(kernel, fence, tasks, key);
    }
    Some(call.await)
}

/// Logs the first report of an incarnation, with what its request held for the incarnation before: the time to which it
/// renewed leases, on the clock of that incarnation, and the number of the last end that it acknowledged.
///
/// The first report of a worker is logged only if another incarnation has written the worker's entry, so that a takeover of
/// hundreds of workers does not fill the log.
fn log_new_incarnation(
    worker: &Worker,
    order: &HoldOrder,
    timing: ReportTiming,
    report: &WorkerReport,
) {
    if worker.incarnation == report.incarnation || worker.is_overtaken(timing.sent, report) {
        return;
    }
    let (id, clock_ms) = (&worker.entry.id, report.clock_ms);
    let (incarnation, listed_incarnation) = (report.incarnation, worker.entry.incarnation);
    if worker.incarnation != 0 {
        log::info!(
            "worker has restarted worker={id} incarnation={incarnation} before={} clock_ms={clock_ms} \
             renewed_until_ms={} acknowledged={} listed_incarnation={listed_incarnation}",
            worker.incarnation,
            order.until_ms.unwrap_or(0),
            order.acknowledged
        );
    } else if incarnation != listed_incarnation {
        log::info!(
            "worker's entry is that of another incarnation worker={id} incarnation={incarnation} \
             clock_ms={clock_ms} listed_incarnation={listed_incarnation} runs={} ends={}",
            report.running.len(),
            report.ended.len()
        );
    }
}

/// Logs whether a worker that has restarted, or that may have, gets starts now, and the reason if it gets none.
fn log_start_block(
    engine: &Engine,
    key: WorkerKey,
    is_new_incarnation: bool,
    was_fence_seen: bool,
    now: Instant,
) {
    let Some(worker) = engine.workers.get(key) else { return };
    let Some(raised_at) = worker.order_fence_raised_at else { return };
    if is_new_incarnation || worker.is_order_fence_seen != was_fence_seen {
        log::info!(
            "starts at a worker that may have restarted worker={} incarnation={} order_fence={} waited_ms={} \
             held_back_by={}",
            worker.entry.id,
            worker.incarnation,
            worker.order_fence,
            now.saturating_duration_since(raised_at).as_millis(),
            engine.start_block(worker, now).unwrap_or("nothing")
        );
    }
}

/// Requests a report of a worker that has restarted in a separate task, which is joined at the end of the term.
///
/// The regular request may still wait for an answer of the previous incarnation, while late orders for that one begin on the new
/// one.
pub(crate) fn spawn_poll(kernel: &Arc<Kernel>, fence: u64, tasks: &TaskTree, key: WorkerKey) {
    let kernel = kernel.clone();
    tasks.spawn("report of a restarted worker", async move {
        poll_now(&kernel, fence, key).await;
    });
}

/// Requests a report at once, in addition to the regular request, which waits for the next end of a task.
///
/// Only a report that is requested after an unanswered order shows whether the order took effect.
async fn poll_now(kernel: &Arc<Kernel>, fence: u64, key: WorkerKey) {
    let order = with_term(kernel, fence, |term| {
        hold_order(term.engine.workers.get(key)?, None, Duration::ZERO)
    });
    let Some(order) = order.flatten() else { return };
    // Ends are left to the regular request: the worker may have restarted.
    let order = HoldOrder { acknowledged: 0, ..order };
    let sent = kernel.clock.now();
    let reply = (port(kernel).hold)(order.clone()).await;
    let timing = order.timing(sent, kernel.clock.now());
    // A failure is ignored, since the regular request detects it as well.
    if !matches!(reply, Ok(WorkerReply::Done(_) | WorkerReply::Fenced)) {
        return;
    }
    let mut events = Vec::new();
    let applied = with_term(kernel, fence, |term| {
        apply_reply(&mut term.engine, key, &order, timing, reply, &mut events)
    });
    log_job_events(&events);
    if matches!(applied, Some(AppliedReply::Fenced)) {
        term::end_term(kernel, fence, "a worker's report");
    }
    kernel.wake_signals.plan.notify_one();
}

/// Kind of a reply to a hold, after the engine has applied it.
pub(crate) enum AppliedReply {
    Report,
    /// The worker has seen the token of a newer owner.
    Fenced,
    /// The worker has seen a later token of this owner.
    Outdated,
    NoReport,
}

/// Applies the reply to a hold to the engine.
pub(crate) fn apply_reply(
    engine: &mut Engine,
    key: WorkerKey,
    order: &HoldOrder,
    timing: ReportTiming,
    reply: PlatformResult<WorkerReply<WorkerReport>>,
    events: &mut Vec<JobEvent>,
) -> AppliedReply {
    // The worker may have been forgotten since the order was sent.
    let id = &order.target.id;
    let worker = engine.workers.get(key);
    let known = worker.map_or(0, |worker| worker.incarnation);
    let was_fence_seen = worker.is_none_or(|worker| worker.is_order_fence_seen);
    let outcome = match &reply {
        Ok(WorkerReply::Done(_)) => "report",
        Ok(_) => "refused",
        Err(_) => "failed",
    };
    metrics::counter!(metric::WORKER_REPORTS, "outcome" => outcome).increment(1);
    match reply {
        Ok(WorkerReply::Done(report)) => {
            let (incarnation, clock_ms) = (report.incarnation, report.clock_ms);
            match worker {
                Some(worker) => log_new_incarnation(worker, order, timing, &report),
                None => log::info!(
                    "report of a forgotten worker worker={id} incarnation={incarnation} \
                     clock_ms={clock_ms} runs={} ends={}",
                    report.running.len(),
                    report.ended.len()
                ),
            }
            let is_forgotten = worker.is_none();
            if !engine.apply_report(key, timing, &report, events) && !is_forgotten {
                metrics::counter!(metric::WORKER_REPORTS, "outcome" => "overtaken").increment(1);
                log::info!(
                    "report overtaken by a newer one worker={id} incarnation={incarnation} \
                     clock_ms={clock_ms}"
                );
            }
            let is_new = known != 0 && incarnation != known;
            log_start_block(engine, key, is_new, was_fence_seen, timing.received);
            return AppliedReply::Report;
        }
        Ok(WorkerReply::Fenced) if engine.is_outdated_order(id, order.fence) => {
            log::info!("hold outdated worker={id} incarnation={known} order_fence={}", order.fence);
            return AppliedReply::Outdated;
        }
        Ok(WorkerReply::Fenced) => return AppliedReply::Fenced,
        Ok(WorkerReply::OtherLife) => {
            let reason = "another incarnation answered";
            engine.drop_runs_started_before(key, timing.sent, reason, events);
            log::info!(
                "worker has a new incarnation worker={id} incarnation={known} address={}",
                order.target.address
            );
        }
        Ok(WorkerReply::Refused(reason)) => {
            log::warn!("hold refused worker={id} incarnation={known} reason={reason}");
        }
        Err(error) => {
            log::warn!(
                "report not received worker={id} incarnation={known} renewed_until_ms={} verdict={} \
                 reason={error}",
                order.until_ms.unwrap_or(0),
                error.verdict.as_str()
            );
        }
    }
    engine.record_missed_report(key, timing.received);
    AppliedReply::NoReport
}

/// Returns the order that requests a report from a worker, or `None` if its address cannot be parsed.
pub(crate) fn hold_order(
    worker: &Worker,
    until_ms: Option<u64>,
    wait: Duration,
) -> Option<HoldOrder> {
    let (target, fence) = (target(worker)?, worker.order_fence);
    Some(HoldOrder { target, fence, acknowledged: worker.ack_cursor(), until_ms, wait })
}

fn target(worker: &Worker) -> Option<WorkerTarget> {
    let address: SocketAddr = worker.entry.address.parse().ok()?;
    Some(WorkerTarget { id: worker.entry.id.clone(), address })
}

/// Sends an order of the term with `fence` in a separate task, which is joined at the end of the term.
pub(crate) fn spawn_order(kernel: &Arc<Kernel>, fence: u64, tasks: &TaskTree, order: Order) {
    let kernel = kernel.clone();
    tasks.spawn("order", async move { execute(&kernel, fence, order).await });
}

fn order_target(kernel: &Kernel, fence: u64, key: WorkerKey) -> Option<WorkerTarget> {
    with_term(kernel, fence, |term| target(term.engine.workers.get(key)?)).flatten()
}

/// Returns an order about a run with the present token of its worker; `None` if the worker is unknown or the term has ended.
fn run_order(
    kernel: &Kernel,
    fence: u64,
    key: WorkerKey,
    task: &TaskName,
    attempt: u32,
) -> Option<RunOrder> {
    let order = with_term(kernel, fence, |term| {
        let worker = term.engine.workers.get(key)?;
        let (target, fence) = (target(worker)?, worker.order_fence);
        Some(RunOrder { target, task: task.clone(), attempt, fence })
    });
    order.flatten()
}

async fn execute(kernel: &Arc<Kernel>, fence: u64, order: Order) {
    match order {
        Order::Advise { step, name, workers } => {
            request_advice(kernel, fence, step, name, workers).await;
        }
        Order::Start {
            worker,
            task,
            name,
            attempt,
            submission,
            until_ms,
            order_fence,
            checkpoint,
            ticket,
        } => {
            let sent = kernel.clock.now();
            let answer = match order_target(kernel, fence, worker) {
                None => StartOutcome::NotSent.into(),
                Some(target) => {
                    let spec = submission.spec.clone();
                    let start = StartOrder {
                        target,
                        task: name.clone(),
                        attempt,
                        spec,
                        until_ms,
                        fence: order_fence,
                        checkpoint,
                        ticket,
                    };
                    // The port turns every failure of a start into an outcome.
                    (port(kernel).start)(start).await.unwrap_or(StartOutcome::Unknown.into())
                }
            };
            let outcome = answer.outcome;
            let label = format!("{outcome:?}");
            metrics::counter!(metric::STARTS, "outcome" => label).increment(1);
            let now = kernel.clock.now();
            let mut events = Vec::new();
            let applied = with_term(kernel, fence, |term| {
                if outcome == StartOutcome::Started {
                    term.pressure.record_answer(now.saturating_duration_since(sent));
                }
                term.engine.apply_start_outcome(worker, task, attempt, answer, now, &mut events);
                let worker = term.engine.workers.get(worker);
                if let Some(worker) = worker {
                    log_start_answer(worker, &name, attempt, answer, until_ms, now);
                }
                let is_restart_suspected =
                    worker.is_some_and(|worker| worker.restart_suspected_at == Some(now));
                let is_outdated = worker.is_none_or(|worker| {
                    term.engine.is_outdated_order(&worker.entry.id, order_fence)
                });
                (term.engine.holds_starts_back(), is_restart_suspected, is_outdated)
            });
            log_job_events(&events);
            let (holds_back, is_restart_suspected, is_outdated) = applied.unwrap_or_default();
            if is_restart_suspected {
                poll_now(kernel, fence, worker).await;
            }
            match outcome {
                StartOutcome::Started if holds_back => {
                    kernel.wake_signals.plan.notify_one();
                }
                StartOutcome::Started => {}
                StartOutcome::Fenced if !is_outdated => {
                    term::end_term(kernel, fence, "a worker's answer to a start");
                }
                StartOutcome::Unknown => poll_now(kernel, fence, worker).await,
                _ => kernel.wake_signals.plan.notify_one(),
            }
        }
        Order::Stop { worker, name, attempt } => {
            let sent = kernel.clock.now();
            let stop = |order| (port(kernel).stop)(order);
            let done = send_run_order(kernel, fence, worker, "stop", &name, attempt, stop).await;
            let now = kernel.clock.now();
            let needs_report = with_term(kernel, fence, |term| {
                if done {
                    term.engine.record_stop_acknowledgement(worker, &name, attempt, sent, now);
                }
                done && term.engine.waits_for_report(worker, &name, attempt)
            });
            if needs_report == Some(true) {
                poll_now(kernel, fence, worker).await;
            }
        }
        Order::Pace { worker, name, attempt, percent } => {
            let pace = |order| (port(kernel).pace)((order, percent));
            send_run_order(kernel, fence, worker, "pace", &name, attempt, pace).await;
        }
    }
}

/// Requests from the advice service which of `workers` may run a step.
async fn request_advice(
    kernel: &Arc<Kernel>,
    fence: u64,
    step: TaskRef,
    name: TaskName,
    workers: Vec<WorkerKey>,
) {
    let ids = with_term(kernel, fence, |term| {
        let found = workers.iter().filter_map(|key| term.engine.workers.get(*key));
        found.map(|worker| worker.entry.id.clone()).collect()
    });
    let Some(ids) = ids else { return };
    let sent = kernel.clock.now();
    let request = AdviceRequest { step: name.clone(), workers: ids };
    let reply = await_advice(kernel, fence, step, request).await;
    let now = kernel.clock.now();
    let call = || {
        let took_ms = now.saturating_duration_since(sent).as_millis();
        format!("job={} step={} workers={} took_ms={took_ms}", name.job, name.step, workers.len())
    };
    let (label, outcome) = match reply {
        Some(Ok(AdviceResponse { grants, valid: validity })) => {
            log::info!("advice received {} granted={}", call(), grants.len());
            ("answered", AdviceOutcome::Answered { grants, validity })
        }
        Some(Err(error)) => {
            log::warn!("advice not received {} reason={error}", call());
            ("failed", AdviceOutcome::Failed)
        }
        None => {
            log::warn!("call for advice given up {}", call());
            ("given-up", AdviceOutcome::GivenUp)
        }
    };
    metrics::counter!(metric::ADVICE_CALLS, "outcome" => label).increment(1);
    with_term(kernel, fence, |term| term.engine.apply_advice(&step, &workers, outcome, now));
    kernel.wake_signals.plan.notify_one();
}

/// Waits for the answer to a call for advice; returns `None` if the call has to be given up.
async fn await_advice(
    kernel: &Arc<Kernel>,
    fence: u64,
    step: TaskRef,
    request: AdviceRequest,
) -> Option<PlatformResult<AdviceResponse>> {
    let call = (port(kernel).advise)(request);
    tokio::pin!(call);
    loop {
        let now = kernel.clock.now();
        let left = with_term(kernel, fence, |term| term.engine.advice_time_left(&step, now));
        let left = left.flatten().filter(|left| !left.is_zero())?;
        tokio::select! {
            reply = &mut call => return Some(reply),
            () = sleep(left) => {}
        }
    }
}

/// Logs a start that got no answer, or one that another incarnation of the worker than the known one has answered, as the clock
/// in the answer shows.
fn log_start_answer(
    worker: &Worker,
    name: &TaskName,
    attempt: u32,
    answer: StartAnswer,
    until_ms: u64,
    now: Instant,
) {
    let (id, incarnation) = (&worker.entry.id, worker.incarnation);
    let run = describe_run(name, attempt);
    if answer.outcome == StartOutcome::Unknown {
        log::warn!(
            "start not answered {run} worker={id} incarnation={incarnation} until_ms={until_ms}"
        );
    } else if worker.restart_suspected_at == Some(now) {
        log::info!(
            "start answered on another clock {run} worker={id} incarnation={incarnation} outcome={:?} \
             until_ms={until_ms} clock_ms={} expected_ms={}",
            answer.outcome,
            answer.clock_ms.map_or_else(|| "none".to_owned(), |clock_ms| clock_ms.to_string()),
            worker.clock.map_or(0, |clock| clock.clock_at(now))
        );
    }
}

/// Describes a run for the log by its task and attempt.
fn describe_run(name: &TaskName, attempt: u32) -> String {
    let TaskName { job, occurrence, step, index } = name;
    format!("job={job} task={occurrence}.{step}.{index} attempt={attempt}")
}

/// Outcome of an order about a run.
enum RunOrderOutcome {
    /// The worker has carried the order out.
    Done,
    /// The worker has seen a later token of this owner.
    Outdated,
    /// The order was refused or not answered.
    Failed,
}

/// Sends an order about a run, again if the worker's token has been raised meanwhile; returns whether the worker has carried it out.
async fn send_run_order<F>(
    kernel: &Kernel,
    fence: u64,
    worker: WorkerKey,
    kind: &str,
    task: &TaskName,
    attempt: u32,
    send: impl Fn(RunOrder) -> F,
) -> bool
where
    F: Future<Output = PlatformResult<WorkerReply<()>>>,
{
    while let Some(order) = run_order(kernel, fence, worker, task, attempt) {
        let reply = send(order.clone()).await;
        match handle_order_reply(kernel, fence, kind, &order, reply) {
            RunOrderOutcome::Done => return true,
            RunOrderOutcome::Outdated => {}
            RunOrderOutcome::Failed => return false,
        }
    }
    false
}

/// Handles the reply to an order for a run.
fn handle_order_reply(
    kernel: &Kernel,
    fence: u64,
    kind: &str,
    order: &RunOrder,
    reply: PlatformResult<WorkerReply<()>>,
) -> RunOrderOutcome {
    let run = || {
        let run = describe_run(&order.task, order.attempt);
        format!("{run} worker={}", order.target.id)
    };
    match reply {
        Ok(WorkerReply::Done(())) => return RunOrderOutcome::Done,
        Ok(WorkerReply::Fenced) => {
            let is_outdated = with_term(kernel, fence, |term| {
                term.engine.is_outdated_order(&order.target.id, order.fence)
            });
            if is_outdated == Some(true) {
                log::info!("{kind} outdated {} order_fence={}", run(), order.fence);
                return RunOrderOutcome::Outdated;
            }
            term::end_term(kernel, fence, "a worker's answer to an order");
        }
        Ok(WorkerReply::OtherLife) => log::info!("{kind} reached another incarnation {}", run()),
        Ok(WorkerReply::Refused(reason)) => log::warn!("{kind} refused {} reason={reason}", run()),
        Err(error) => log::warn!("{kind} not answered {} reason={error}", run()),
    }
    RunOrderOutcome::Failed
}
