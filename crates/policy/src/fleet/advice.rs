//! Which workers a step may run on, where the queue's policy leaves that to the advice service.
//!
//! The service is slow and answers one call at a time, so a step asks for a few workers at once and
//! remembers both answers: what it allows does not change during a life of the worker, only the ticket
//! runs out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::job::TaskRef;
use super::state::{Engine, WorkerKey};
use crate::ids::InstanceId;

/// The most workers of one question; the platform's objective allows for about as many a step.
const WORKERS_PER_QUESTION: usize = 30;
/// How long a question may be open before it is asked again.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long before its end a ticket is no longer used, for the way of the start to the worker.
const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// What is known of one step.
#[derives(record)]
#[derive(Default)]
pub struct Advice {
    asked: Option<Instant>,
    tickets: BTreeMap<WorkerKey, (String, Instant)>,
    denied: BTreeSet<WorkerKey>,
}

/// A worker that may run a step, and the ticket that its starts carry.
pub type TicketGrant = (InstanceId, String);

impl Engine {
    /// Returns the workers for which a step has a ticket now.
    pub(super) fn workers_with_ticket(&self, step: &TaskRef, now: Instant) -> Vec<WorkerKey> {
        let Some(advice) = self.advice.get(&step.first_task_of_step()) else { return Vec::new() };
        let valid = advice.tickets.iter().filter(|(_, (_, until))| *until > now + TICKET_MARGIN);
        valid.map(|(key, _)| *key).collect()
    }

    /// Returns the ticket of a step for a worker; empty if it has none.
    pub(super) fn ticket(&self, step: &TaskRef, worker: WorkerKey) -> String {
        let advice = self.advice.get(&step.first_task_of_step());
        advice.and_then(|a| a.tickets.get(&worker)).map_or(String::new(), |(t, _)| t.clone())
    }

    /// Returns the workers to ask for now; none while a question is open or nobody is left to ask for.
    pub(super) fn request_advice(
        &mut self,
        step: &TaskRef,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Vec<WorkerKey> {
        let advice = self.advice.entry(step.first_task_of_step()).or_default();
        let open = |at: Instant| now.saturating_duration_since(at) < QUESTION_TIMEOUT;
        if advice.asked.is_some_and(open) {
            return Vec::new();
        }
        let unknown = workers.iter().copied().filter(|key| {
            let ticket = advice.tickets.get(key);
            !advice.denied.contains(key) && ticket.is_none_or(|(_, until)| *until <= now)
        });
        let question: Vec<WorkerKey> = unknown.take(WORKERS_PER_QUESTION).collect();
        if !question.is_empty() {
            advice.asked = Some(now);
        }
        question
    }

    /// Takes in an answer to a question that was sent at `sent`; `None` if there was no answer.
    pub fn apply_advice(
        &mut self,
        step: &TaskRef,
        asked: &[WorkerKey],
        answer: Option<(Vec<TicketGrant>, Duration)>,
        sent: Instant,
    ) {
        let Some(advice) = self.advice.get_mut(&step.first_task_of_step()) else { return };
        advice.asked = None;
        let Some((grants, valid)) = answer else { return };
        for key in asked {
            let Some(worker) = self.workers.get(*key) else { continue };
            let grant = grants.iter().find(|(id, _)| *id == worker.entry.id);
            match grant {
                Some((_, ticket)) => {
                    advice.tickets.insert(*key, (ticket.clone(), sent + valid));
                }
                None => drop(advice.denied.insert(*key)),
            }
        }
    }

    /// Forgets a ticket that a worker has not taken.
    pub(super) fn drop_ticket(&mut self, step: &TaskRef, worker: WorkerKey) {
        if let Some(advice) = self.advice.get_mut(&step.first_task_of_step()) {
            advice.tickets.remove(&worker);
        }
    }
}
