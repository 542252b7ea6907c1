//! Orders of the simulated owners on their way to the workers, and their execution.

use std::time::{Duration, Instant};

use wasabiswitch_policy::fleet::advice::AdviceOutcome;
use wasabiswitch_policy::fleet::outcomes::{StartAnswer, StartOutcome};
use wasabiswitch_policy::fleet::plan::Order;
use wasabiswitch_policy::fleet::reports::RunEnd;
use wasabiswitch_policy::fleet::spec::Step;
use wasabiswitch_policy::fleet::state::{TaskName, TaskRef, WorkerKey};
use wasabiswitch_policy::ids::{InstanceId, OrderFence};
use wasabiswitch_standin::fleet_worker::FakeStart;

use super::reports::AnswerContent;
use super::{ORDER_TIMEOUT, Simulation};

/// An order in flight to a worker.
pub(super) struct Delivery {
    sent: Instant,
    due: Instant,
    worker: InstanceId,
    /// Fence of the owner.
    fence: u64,
    /// Fencing token that the worker sees.
    order_fence: OrderFence,
    order: Order,
    /// Whether the answer reaches the sender.
    answered: bool,
    /// Whether the order is delivered seconds late.
    late: bool,
}

impl Simulation {
    pub(super) fn send(&mut self, order: Order) {
        let worker = match &order {
            Order::Advise { step, workers, .. } if self.advice_queue.is_some() => {
                return self.request_advice(*step, workers.clone());
            }
            Order::Advise { step, workers, .. } => {
                // The advice service grants tickets for the first half of the requested workers.
                let granted = workers.iter().take(workers.len().div_ceil(2));
                let id = |key: &WorkerKey| self.engine.workers[*key].entry.id.clone();
                let grants = granted.map(|key| (id(key), format!("ticket-{}", id(key)))).collect();
                let outcome = AdviceOutcome::Answered { grants, validity: Duration::from_secs(3) };
                self.engine.apply_advice(step, workers, outcome, self.now);
                return;
            }
            Order::Start { worker, .. }
            | Order::Stop { worker, .. }
            | Order::Pace { worker, .. } => *worker,
        };
        let roll = self.rng.f64();
        let late = roll < self.faults.late_orders;
        let (after_ms, answered) = if late {
            (self.rng.u64(2_000..12_000), false)
        } else {
            (self.rng.u64(1..20), roll >= self.faults.late_orders + self.faults.lost_acks)
        };
        if let Order::Start { worker, task, attempt, .. } = &order
            && !answered
        {
            let at = self.now + ORDER_TIMEOUT;
            self.timeouts.push((at, self.engine.fence, *worker, *task, *attempt));
        }
        let order_fence = match &order {
            Order::Start { order_fence, .. } => *order_fence,
            _ => self.engine.workers[worker].order_fence,
        };
        self.deliveries.push(Delivery {
            sent: self.now,
            due: self.now + Duration::from_millis(after_ms),
            worker: self.engine.workers[worker].entry.id.clone(),
            fence: self.engine.fence,
            order_fence,
            order,
            answered,
            late,
        });
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let (expired, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.timeouts).into_iter().partition(|timeout| timeout.0 <= now);
        self.timeouts = waiting;
        for (_, fence, worker, task, attempt) in expired {
            if fence == self.engine.fence {
                self.resolve_start(worker, task, attempt, StartOutcome::Unknown.into());
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|delivery| delivery.due <= now);
        self.deliveries = later;
        for delivery in due {
            let reached = self.workers.contains_key(&delivery.worker)
                && !self.is_partitioned(&delivery.worker, delivery.fence);
            self.execute(delivery, reached);
        }
    }

    pub(super) fn execute(&mut self, delivery: Delivery, reached: bool) {
        let current = delivery.fence == self.engine.fence;
        match delivery.order {
            Order::Start { worker, task, name, attempt, submission, until_ms, .. } => {
                let step = &submission.steps[name.step as usize];
                let fails = self.rng.f64() < self.faults.failed_tasks;
                let wrong_ms = self.run_times_ms.get(&name.job).copied();
                let length = Duration::from_millis(wrong_ms.unwrap_or(step.estimate_ms));
                let start = FakeStart {
                    task: name,
                    attempt,
                    fence: delivery.order_fence,
                    until_ms,
                    run_time: (!step.long_running).then_some(length),
                    run_end: if fails { RunEnd::Failed } else { RunEnd::Done },
                };
                let outcome = if reached {
                    self.start_on(&delivery.worker, &start, step, delivery.late)
                } else {
                    StartOutcome::Unknown
                };
                if current && delivery.answered {
                    let clock_ms = self.workers.get(&delivery.worker).map(|w| w.clock_ms(self.now));
                    let answer = StartAnswer { outcome, clock_ms };
                    let content = AnswerContent::Start { task, attempt, answer };
                    self.answer(worker, content);
                }
            }
            Order::Stop { worker, name, attempt } if reached => {
                let fake = self.workers.get_mut(&delivery.worker).expect("the worker exists");
                let done = fake.stop(&name, attempt, delivery.order_fence, self.now);
                let TaskName { job, index, .. } = &name;
                let event = format!("stop of {job}.{index} attempt {attempt}, taken: {done}");
                self.trace_worker(&delivery.worker, event);
                if done && delivery.answered && current {
                    let sent = delivery.sent;
                    self.answer(worker, AnswerContent::Stop { name, attempt, sent });
                }
            }
            Order::Stop { .. } | Order::Pace { .. } | Order::Advise { .. } => {}
        }
    }

    pub(super) fn resolve_start(
        &mut self,
        worker: WorkerKey,
        task: TaskRef,
        attempt: u32,
        answer: StartAnswer,
    ) {
        self.engine.apply_start_outcome(worker, task, attempt, answer, self.now, &mut Vec::new());
    }

    /// Starts a task on a worker, and checks the start against the rules.
    pub(super) fn start_on(
        &mut self,
        id: &InstanceId,
        start: &FakeStart,
        step: &Step,
        late: bool,
    ) -> StartOutcome {
        for worker in self.workers.values_mut() {
            worker.advance(self.now);
        }
        let before = self.workers[id].runs.len();
        let outcome = self.workers.get_mut(id).expect("the worker exists").start(start, self.now);
        if self.workers[id].runs.len() > before {
            let (attempt, fence) = (start.attempt, start.fence);
            self.trace_task(
                &start.task,
                format!("attempt {attempt} of fence {fence} starts at {id}"),
            );
            self.starts.push((self.now, id.clone(), start.task.clone(), start.attempt));
            let TaskName { job, index, .. } = &start.task;
            let event =
                format!("{job}.{index} attempt {attempt} of fence {fence} starts, late: {late}");
            self.trace_worker(id, event);
            // An owner that has forgotten the worker has had no report of any of its incarnations.
            let key = self.engine.worker_key(id);
            let known = key.map_or(0, |key| self.engine.workers[key].incarnation);
            if late && known != self.workers[id].entry.incarnation {
                self.exempt_starts.insert((start.task.clone(), start.attempt));
            }
            self.check_start(id, start, step, late);
        }
        outcome
    }
}
