//! Cache of the advice service's responses: the workers on which a step of an advised queue may run.
//!
//! The service is slow and handles one call at a time, so a request covers several workers, and both grants and
//! denials are kept. A grant or denial does not change during the incarnation of a worker; only the ticket of a
//! grant expires.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::job::TaskRef;
use super::state::{Engine, WorkerKey};
use crate::ids::InstanceId;

/// Maximum number of workers in one request; the platform's objective allows for about as many per step.
const WORKERS_PER_REQUEST_MAX: usize = 30;
/// Time after which a request without a response is sent again.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time before its expiry from which a ticket is not used any more, to cover the delivery of the start to the
/// worker.
const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// Responses of the advice service for one step.
#[derives(record)]
#[derive(Default)]
pub struct Advice {
    requested: Option<Instant>,
    tickets: BTreeMap<WorkerKey, (String, Instant)>,
    denied: BTreeSet<WorkerKey>,
}

/// A worker on which a step may run, and the ticket that its starts carry.
pub type TicketGrant = (InstanceId, String);

impl Engine {
    /// Returns the workers for which a step has a valid ticket.
    pub(super) fn workers_with_ticket(&self, step: &TaskRef, now: Instant) -> Vec<WorkerKey> {
        let Some(advice) = self.advice.get(&step.first_task_of_step()) else { return Vec::new() };
        let valid = advice.tickets.iter().filter(|(_, (_, until))| *until > now + TICKET_MARGIN);
        valid.map(|(key, _)| *key).collect()
    }

    /// Returns the ticket of a step for a worker; empty if there is none.
    pub(super) fn ticket(&self, step: &TaskRef, worker: WorkerKey) -> String {
        let advice = self.advice.get(&step.first_task_of_step());
        advice.and_then(|a| a.tickets.get(&worker)).map_or(String::new(), |(t, _)| t.clone())
    }

    /// Returns the workers to request advice for now; none while a request is open or if all are known.
    pub(super) fn request_advice(
        &mut self,
        step: &TaskRef,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Vec<WorkerKey> {
        let advice = self.advice.entry(step.first_task_of_step()).or_default();
        let open = |at: Instant| now.saturating_duration_since(at) < REQUEST_TIMEOUT;
        if advice.requested.is_some_and(open) {
            return Vec::new();
        }
        let unknown = workers.iter().copied().filter(|key| {
            let ticket = advice.tickets.get(key);
            !advice.denied.contains(key) && ticket.is_none_or(|(_, until)| *until <= now)
        });
        let request: Vec<WorkerKey> = unknown.take(WORKERS_PER_REQUEST_MAX).collect();
        if !request.is_empty() {
            advice.requested = Some(now);
        }
        request
    }

    /// Applies the response to a request that was sent at `sent`; `None` if there was no response.
    pub fn apply_advice(
        &mut self,
        step: &TaskRef,
        requested: &[WorkerKey],
        response: Option<(Vec<TicketGrant>, Duration)>,
        sent: Instant,
    ) {
        let Some(advice) = self.advice.get_mut(&step.first_task_of_step()) else { return };
        advice.requested = None;
        let Some((grants, validity)) = response else { return };
        for key in requested {
            let Some(worker) = self.workers.get(*key) else { continue };
            let grant = grants.iter().find(|(id, _)| *id == worker.entry.id);
            match grant {
                Some((_, ticket)) => {
                    advice.tickets.insert(*key, (ticket.clone(), sent + validity));
                }
                None => drop(advice.denied.insert(*key)),
            }
        }
    }

    /// Drops a ticket that a worker has rejected.
    pub(super) fn drop_ticket(&mut self, step: &TaskRef, worker: WorkerKey) {
        if let Some(advice) = self.advice.get_mut(&step.first_task_of_step()) {
            advice.tickets.remove(&worker);
        }
    }
}
