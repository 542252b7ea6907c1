//! Calls of the simulated owner to an advice service with a queue.

use std::time::Duration;

use wasabiswitch_policy::fleet::advice::AdviceOutcome;
use wasabiswitch_policy::fleet::state::{TaskRef, WorkerKey};
use wasabiswitch_standin::fleet::advice::AdviceCallId;

use super::Simulation;

/// A call to the advice service whose answer the owner waits for.
pub(super) struct AdviceCall {
    /// Call as the service knows it; `None` if the service has refused it.
    id: Option<AdviceCallId>,
    step: TaskRef,
    workers: Vec<WorkerKey>,
}

impl Simulation {
    pub(super) fn request_advice(&mut self, step: TaskRef, workers: Vec<WorkerKey>) {
        let queue = self.advice_queue.as_mut().expect("there is an advice service");
        let ids = workers.iter().map(|key| self.engine.workers[*key].entry.id.clone()).collect();
        let id = queue.arrive(ids, self.now);
        self.advice_calls.push(AdviceCall { id, step, workers });
    }

    /// Applies the answers of the advice service, and gives calls up.
    pub(super) fn apply_advice(&mut self) {
        let Some(queue) = &mut self.advice_queue else { return };
        let (now, validity) = (self.now, queue.ticket_validity);
        for call in std::mem::take(&mut self.advice_calls) {
            let AdviceCall { id, step, workers } = &call;
            let grants = id.and_then(|id| queue.take_answer(id, now));
            let is_given_up = self.engine.advice_time_left(step, now) == Some(Duration::ZERO);
            let outcome = match (grants, id) {
                (Some(grants), _) => AdviceOutcome::Answered { grants, validity },
                (None, None) => AdviceOutcome::Failed,
                (None, Some(_)) if is_given_up => AdviceOutcome::GivenUp,
                (None, Some(_)) => {
                    self.advice_calls.push(call);
                    continue;
                }
            };
            self.engine.apply_advice(step, workers, outcome, now);
        }
    }
}
