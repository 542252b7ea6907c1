//! Sends calls to the advice service. The engine decides which calls are sent and when one is given up.

use std::sync::Arc;

use tokio::time::sleep;
use wasabiswitch_kernel::platform::PlatformResult;
use wasabiswitch_kernel::platform::fleet::{AdviceRequest, AdviceResponse};
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::fleet::advice::AdviceOutcome;
use wasabiswitch_policy::fleet::state::{TaskName, TaskRef, WorkerKey};

use super::port;
use super::term::with_term;

/// Requests from the advice service which of `workers` may run a step.
pub(super) async fn request_advice(
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
        CallEnd::TermEnded => return,
        CallEnd::Reply(Ok(AdviceResponse { grants, valid: validity })) => {
            log::info!("advice received {} granted={}", call(), grants.len());
            ("answered", AdviceOutcome::Answered { grants, validity })
        }
        CallEnd::Reply(Err(error)) => {
            log::warn!("advice not received {} reason={error}", call());
            ("failed", AdviceOutcome::Failed)
        }
        CallEnd::GivenUp => {
            log::warn!("call for advice given up {}", call());
            ("given-up", AdviceOutcome::GivenUp)
        }
    };
    metrics::counter!(metric::ADVICE_CALLS, "outcome" => label).increment(1);
    with_term(kernel, fence, |term| term.engine.apply_advice(&step, &workers, outcome, now));
    kernel.wake_signals.plan.notify_one();
}

/// Way in which a call for advice ended.
enum CallEnd {
    /// The service answered, or the call failed.
    Reply(PlatformResult<AdviceResponse>),
    /// The time limit of the call has passed.
    GivenUp,
    /// The term that sent the call has ended, so that nobody needs the answer.
    TermEnded,
}

/// Waits until a call for advice ends.
async fn await_advice(
    kernel: &Arc<Kernel>,
    fence: u64,
    step: TaskRef,
    request: AdviceRequest,
) -> CallEnd {
    let call = (port(kernel).advise)(request);
    tokio::pin!(call);
    loop {
        let now = kernel.clock.now();
        let left = with_term(kernel, fence, |term| term.engine.advice_time_left(&step, now));
        let Some(Some(left)) = left else { return CallEnd::TermEnded };
        if left.is_zero() {
            return CallEnd::GivenUp;
        }
        tokio::select! {
            reply = &mut call => return CallEnd::Reply(reply),
            () = sleep(left) => {}
        }
    }
}
