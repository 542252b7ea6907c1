//! Sends the orders of a plan to workers and to the advice service, and applies the answers.

use std::sync::Arc;
use std::time::Instant;

use wasabiswitch_kernel::platform::PlatformResult;
use wasabiswitch_kernel::platform::fleet::{RunOrder, StartOrder, WorkerReply, WorkerTarget};
use wasabiswitch_kernel::tasks::TaskTree;
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::fleet::outcomes::{StartAnswer, StartOutcome};
use wasabiswitch_policy::fleet::plan::Order;
use wasabiswitch_policy::fleet::state::{TaskName, Worker, WorkerKey};

use super::advice::request_advice;
use super::term::with_term;
use super::workers::{poll_now, target};
use super::{log_job_events, port, term};

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
        let (target, order_fence) = (target(worker)?, worker.order_fence);
        Some(RunOrder { target, task: task.clone(), attempt, order_fence })
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
                        order_fence,
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
                term.engine.is_outdated_order(&order.target.id, order.order_fence)
            });
            if is_outdated == Some(true) {
                log::info!("{kind} outdated {} order_fence={}", run(), order.order_fence);
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
