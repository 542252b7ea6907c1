//! Requests reports from each worker, and applies them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;
use wasabiswitch_kernel::platform::PlatformResult;
use wasabiswitch_kernel::platform::fleet::{HoldOrder, WorkerReply, WorkerTarget};
use wasabiswitch_kernel::tasks::TaskTree;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::fleet::Engine;
use wasabiswitch_policy::fleet::lease_bounds::OrderOutcome;
use wasabiswitch_policy::fleet::order_fence::PROMPT_REPORT_INTERVAL;
use wasabiswitch_policy::fleet::ownership::may_act;
use wasabiswitch_policy::fleet::reports::{JobEvent, ReportTiming, WorkerReport};
use wasabiswitch_policy::fleet::state::{Worker, WorkerKey};

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
        // Without an answer in this time a further request is sent, which a late one does not delay.
        tokio::select! {
            reply = &mut call => return Some(reply),
            () = sleep(PROMPT_REPORT_INTERVAL) => {}
        }
        let is_answered = with_term(kernel, fence, |term| {
            let worker = term.engine.workers.get(key);
            worker.is_some_and(|w| w.is_order_fence_seen && w.order_fence == order.order_fence)
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
pub(super) async fn poll_now(kernel: &Arc<Kernel>, fence: u64, key: WorkerKey) {
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
    /// A report.
    Report,
    /// The worker has seen the token of a newer owner.
    Fenced,
    /// The worker has seen a later token of this owner.
    Outdated,
    /// No report, and nothing that shows what the worker has seen.
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
        Ok(WorkerReply::Fenced) if engine.is_outdated_order(id, order.order_fence) => {
            log::info!(
                "hold outdated worker={id} incarnation={known} order_fence={}",
                order.order_fence
            );
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
    let (target, order_fence) = (target(worker)?, worker.order_fence);
    Some(HoldOrder { target, order_fence, acknowledged: worker.ack_cursor(), until_ms, wait })
}

/// Returns the id and the address of a worker, or `None` if its address cannot be parsed.
pub(super) fn target(worker: &Worker) -> Option<WorkerTarget> {
    let address: SocketAddr = worker.entry.address.parse().ok()?;
    Some(WorkerTarget { id: worker.entry.id.clone(), address })
}
