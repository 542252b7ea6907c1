//! Fencing tokens of the orders to workers.
//!
//! A worker does nothing for an order whose token is lower than the highest one that it has seen. One that restarts under its id
//! has seen none, and the id is all that its next incarnation has in common with the orders in flight. An order for the former
//! incarnation would then be carried out by the next: a start begins there, and an acknowledgement discards ends that
//! nobody has read.
//!
//! The token of an order therefore has two parts. The upper one is the fencing token of the owner, and shuts out its
//! predecessors. The lower one is a number that the owner raises for a worker whenever the worker may have restarted. The first
//! report that is requested under the new token shuts out all earlier orders of the same owner. Until it has arrived, the
//! worker gets neither starts nor acknowledgements. See docs/design/order-fences.md.

use std::time::{Duration, Instant};

use super::state::{Engine, WorkerKey};
use crate::ids::OrderFence;

/// Number of bits of the owner's part of a token, which leaves 2^29 terms in a JSON integer.
const NUMBER_BITS: u32 = 24;

/// Interval of the requests for a report of a worker that may have restarted, above the usual time of an answer.
///
/// Until one is answered, late orders for a former incarnation are carried out by the next. So the requests do not wait for
/// the timeouts of those before.
pub const PROMPT_REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Time after a token was raised in which reports are requested at that interval. A worker that has not answered by then is cut off or
/// gone, and short intervals would only add calls.
const PROMPT_REPORT_TIME: Duration = Duration::from_millis(3_000);

/// Returns the token with the given fencing token of the owner and the given number of the owner's own.
pub fn order_fence(owner_fence: u64, number: u32) -> OrderFence {
    (owner_fence << NUMBER_BITS) | u64::from(number).min((1 << NUMBER_BITS) - 1)
}

impl Engine {
    /// Returns a token that is higher than all before it in this term.
    ///
    /// The numbers are those of the whole term, so that a worker that is forgotten and listed again gets no lower token.
    pub(super) fn next_order_fence(&mut self) -> OrderFence {
        self.order_fences_issued = self.order_fences_issued.saturating_add(1);
        order_fence(self.fence, self.order_fences_issued)
    }

    /// Raises the token of the orders to a worker that may have restarted.
    ///
    /// A token under which no report has arrived stays, since no start and no acknowledgement has been sent with it.
    pub(super) fn raise_order_fence(&mut self, key: WorkerKey, now: Instant) {
        if !self.workers.get(key).is_some_and(|worker| worker.is_order_fence_seen) {
            return;
        }
        let fence = self.next_order_fence();
        let worker = &mut self.workers[key];
        (worker.order_fence, worker.is_order_fence_seen) = (fence, false);
        worker.order_fence_raised_at = Some(now);
    }

    /// Returns whether reports of a worker have to be requested at short intervals: its token is not known to be seen, and orders
    /// for a former incarnation may still arrive.
    pub fn needs_prompt_report(&self, key: WorkerKey, now: Instant) -> bool {
        self.workers.get(key).is_some_and(|worker| {
            let raised = worker.order_fence_raised_at;
            !worker.is_order_fence_seen
                && raised.is_some_and(|at| now.saturating_duration_since(at) < PROMPT_REPORT_TIME)
                && worker.awaits_delivery(now)
        })
    }

    /// Returns whether a worker may refuse an order with the given token because it has seen a later one of this owner, so that the
    /// refusal shows no newer owner. Nor does the refusal of a worker that the owner has forgotten.
    ///
    /// The token is raised before the first order that carries it is sent. A refusal on its account thus finds it raised,
    /// in whatever order the answers arrive.
    pub fn is_outdated_order(&self, worker: &str, fence: OrderFence) -> bool {
        let worker = self.worker_key(worker).and_then(|key| self.workers.get(key));
        worker.is_none_or(|worker| fence < worker.order_fence)
    }
}
