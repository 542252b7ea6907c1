//! Calls to the advice service, which names the workers on which a step of an advised queue may run.
//!
//! The service works on one call at a time for each calling machine, in the order of their arrival, and does not notice that a caller
//! has gone. A call that is sent again behind itself only lengthens the queue, so the owner keeps the queue on its own side: at
//! most [`CALLS_MAX`] calls are under way, the steps without advice wait here in the order of their urgency, and a call's time
//! counts from the moment at which the service can have begun with it. Grants and denials hold for the incarnation of a worker
//! and are kept; only the ticket of a grant expires. See docs/design/advice.md.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::job::TaskRef;
use super::plan::Order;
use super::spec::Step;
use super::state::{Engine, Worker, WorkerKey};
use crate::ids::InstanceId;

/// Maximum number of calls under way: one that the service works on, and one that it can begin with at once.
pub const CALLS_MAX: usize = 2;
/// Maximum number of workers in one call; the platform's objective allows for about as many per step.
const WORKERS_PER_CALL_MAX: usize = 30;
/// Minimum number of workers in one call, if there are as many, so that a step with few tasks does not depend on one answer.
const WORKERS_PER_CALL_MIN: usize = 4;
/// Room that the workers of a call have for the tasks that wait, as a multiple, since some are denied or taken by other tasks.
const ROOM_FACTOR: u64 = 2;
/// Time after which a call is given up before the service has answered any, counted from the start of service. It is well above
/// the time of a call for [`WORKERS_PER_CALL_MAX`] workers, behind one of a predecessor on the same machine.
const FIRST_CALL_LIMIT: Duration = Duration::from_millis(8_000);
/// Minimum of that time once the service has answered, so that a pause of a fast service is not taken for a lost call.
const CALL_LIMIT_MIN: Duration = Duration::from_millis(2_000);
/// Multiple of the longest recent time of service after which a call is given up, since the next call may name more workers.
const CALL_LIMIT_FACTOR: u32 = 4;
/// Number of times that the limit is doubled at most, once for each call that is given up in a row: a service that has become
/// slower than the limit is then met after all.
const LIMIT_DOUBLINGS_MAX: u32 = 2;
/// Part of the longest time of service that is kept with each answer, so that the limit follows a service that has recovered.
const SERVICE_TIME_DECAY: f64 = 0.9;
/// Delay before the next call after a failed one, which may be a refusal for too many calls; it doubles with each failure in a row.
const FAILED_CALL_DELAY: Duration = Duration::from_millis(100);
/// Delay before the next call for a step whose call was given up, so that other steps go first; it doubles likewise.
const GIVEN_UP_STEP_DELAY: Duration = Duration::from_millis(1_000);
/// Number of times that either delay is doubled at most: to 1.6 s and 16 s.
const DELAY_DOUBLINGS_MAX: u32 = 4;
/// Time before its expiry from which a ticket is not used any more, to cover the delivery of the start to the
/// worker.
const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// A worker on which a step may run, and the ticket that its starts carry.
pub type TicketGrant = (InstanceId, String);

/// Outcome of a call.
#[derives(record)]
pub enum AdviceOutcome {
    /// The service has answered.
    Answered {
        /// Tickets of the workers that are allowed; the others are denied.
        grants: Vec<TicketGrant>,
        /// Time for which the tickets are valid.
        validity: Duration,
    },
    /// The service refused the call or could not be reached.
    Failed,
    /// The call was given up at its time limit.
    GivenUp,
}

/// Tickets and denials of workers for one step, and the delay of its next call.
#[derives(record)]
#[derive(Default)]
pub struct Advice {
    tickets: BTreeMap<WorkerKey, (String, Instant)>,
    denied: BTreeSet<WorkerKey>,
    /// Number of calls for the step that were given up since the last answer.
    given_up: u32,
    /// Time before which no call for the step is sent.
    retry_at: Option<Instant>,
}

/// Number and age of the steps that wait for a call, for the log and the metrics.
#[derives(value)]
#[derive(Default)]
pub struct AdviceLoad {
    /// Number of steps that wait for a call.
    pub waiting: usize,
    /// Time for which the step has waited that has waited longest.
    pub oldest: Duration,
    /// Number of calls under way.
    pub under_way: usize,
    /// Number of calls given up in this term.
    pub given_up: u64,
}

/// Calls under way, and the steps that wait for one.
#[derive(Clone, Debug, Default)]
pub(super) struct AdviceCalls {
    /// Steps of the calls under way with the times at which they were sent, in that order.
    under_way: VecDeque<(TaskRef, Instant)>,
    /// Time at which the call before the first one under way ended.
    previous_ended: Option<Instant>,
    /// Longest recent time of service; `None` before the first answer.
    service_time: Option<Duration>,
    given_up_in_a_row: u32,
    failed_in_a_row: u32,
    given_up: u64,
    /// Time before which no call is sent.
    paused_until: Option<Instant>,
    /// Steps that wait for a call, since when.
    waiting: BTreeMap<TaskRef, Instant>,
    /// The same, as of the plan before.
    waiting_before: BTreeMap<TaskRef, Instant>,
}

impl AdviceCalls {
    /// Returns the time from which the service can have worked on the first call under way.
    fn service_start(&self) -> Option<Instant> {
        let (_, sent) = self.under_way.front()?;
        Some(self.previous_ended.map_or(*sent, |ended| ended.max(*sent)))
    }

    /// Returns the time after which a call is given up, from the start of service.
    fn limit(&self) -> Duration {
        let measured = self.service_time.map(|time| (time * CALL_LIMIT_FACTOR).max(CALL_LIMIT_MIN));
        let limit = measured.unwrap_or(FIRST_CALL_LIMIT);
        limit * 2_u32.pow(self.given_up_in_a_row.min(LIMIT_DOUBLINGS_MAX))
    }

    fn has_call(&self, step: &TaskRef) -> bool {
        self.under_way.iter().any(|(other, _)| other == step)
    }

    fn has_slot(&self, now: Instant) -> bool {
        self.under_way.len() < CALLS_MAX && self.paused_until.is_none_or(|until| until <= now)
    }

    /// Ends the call for a step; returns the start of its service, or the time at which it was sent if another call is before it.
    fn end(&mut self, step: &TaskRef, now: Instant) -> Option<Instant> {
        let at = self.under_way.iter().position(|(other, _)| other == step)?;
        let started = if at == 0 { self.service_start() } else { None };
        let (_, sent) = self.under_way.remove(at)?;
        if at == 0 {
            self.previous_ended = Some(now);
        }
        Some(started.unwrap_or(sent))
    }
}

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

    /// Begins a plan, which determines anew which steps wait for a call.
    pub(super) fn begin_advice_plan(&mut self) {
        let calls = &mut self.advice_calls;
        calls.waiting_before = std::mem::take(&mut calls.waiting);
    }

    /// Returns the order to call the service for a step of which `tasks` tasks found no worker with a ticket, if there is a worker to
    /// ask for and a call may be sent now. Plans ask for the steps in the order of their urgency.
    pub(super) fn request_advice(
        &mut self,
        step: &TaskRef,
        tasks: usize,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<Order> {
        let step = step.first_task_of_step();
        if tasks == 0 || self.advice_calls.has_call(&step) {
            return None;
        }
        let workers = self.workers_to_ask_for(&step, tasks, workers, now);
        if workers.is_empty() {
            return None;
        }
        let advice = self.advice.entry(step).or_default();
        let may_retry = advice.retry_at.is_none_or(|at| at <= now);
        if !may_retry || !self.advice_calls.has_slot(now) {
            let since = self.advice_calls.waiting_before.get(&step).copied().unwrap_or(now);
            self.advice_calls.waiting.insert(step, since);
            return None;
        }
        let name = self.task_name(&step)?;
        self.advice_calls.under_way.push_back((step, now));
        Some(Order::Advise { step, name, workers })
    }

    /// Returns the workers to name in a call for a step: as many as have room for the tasks several times over, since each one
    /// lengthens the call, which others may be waiting for.
    fn workers_to_ask_for(
        &self,
        step: &TaskRef,
        tasks: usize,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Vec<WorkerKey> {
        let job = self.jobs.get(step.job);
        let Some(spec) = job.and_then(|job| job.submission.steps.get(step.step as usize)) else {
            return Vec::new();
        };
        let advice = self.advice.get(step);
        let is_unknown = |key: &WorkerKey| {
            advice.is_none_or(|advice| {
                let ticket = advice.tickets.get(key);
                !advice.denied.contains(key)
                    && ticket.is_none_or(|(_, until)| *until <= now + TICKET_MARGIN)
            })
        };
        let unknown = workers.iter().copied().filter(is_unknown);
        let with_room = unknown.map(|key| (key, room_for(spec, &self.workers[key])));
        let mut with_room: Vec<(WorkerKey, u64)> =
            with_room.filter(|(_, room)| *room > 0).collect();
        with_room.sort_by_key(|(key, room)| {
            let worker = &self.workers[*key];
            let is_remote = !spec.data_rack.is_empty() && *worker.entry.rack != *spec.data_rack;
            (is_remote, Reverse(*room), *key)
        });
        let room_wanted = tasks as u64 * ROOM_FACTOR;
        let mut room_found = 0_u64;
        let mut chosen = Vec::new();
        for (key, room) in with_room {
            let is_enough = chosen.len() >= WORKERS_PER_CALL_MIN && room_found >= room_wanted;
            if is_enough || chosen.len() >= WORKERS_PER_CALL_MAX {
                break;
            }
            room_found = u64::saturating_add(room_found, room);
            chosen.push(key);
        }
        chosen
    }

    /// Returns the time left until the call for a step has to be given up, or to ask again; `None` if it has ended.
    ///
    /// The time of a call that waits for another one does not count: only the first call under way can be overdue.
    pub fn advice_time_left(&self, step: &TaskRef, now: Instant) -> Option<Duration> {
        let (calls, step) = (&self.advice_calls, step.first_task_of_step());
        let limit = calls.limit();
        let (first, _) = calls.under_way.front()?;
        if *first == step {
            let ends = calls.service_start()? + limit;
            return Some(ends.saturating_duration_since(now));
        }
        calls.has_call(&step).then_some(limit)
    }

    /// Applies the outcome of the call for a step that named the `requested` workers.
    ///
    /// An answer is used whenever it comes: its tickets are valid from the start of service at the earliest.
    pub fn apply_advice(
        &mut self,
        step: &TaskRef,
        requested: &[WorkerKey],
        outcome: AdviceOutcome,
        now: Instant,
    ) {
        let step = step.first_task_of_step();
        let was_first =
            self.advice_calls.under_way.front().is_some_and(|(first, _)| *first == step);
        let service_start = self.advice_calls.end(&step, now);
        let calls = &mut self.advice_calls;
        let delay = |base: Duration, count: u32| base * 2_u32.pow(count.min(DELAY_DOUBLINGS_MAX));
        match &outcome {
            AdviceOutcome::Answered { .. } => {
                (calls.given_up_in_a_row, calls.failed_in_a_row) = (0, 0);
                if let Some(start) = service_start.filter(|_| was_first) {
                    let kept = calls.service_time.map(|time| time.mul_f64(SERVICE_TIME_DECAY));
                    let took = now.saturating_duration_since(start);
                    calls.service_time = Some(kept.map_or(took, |kept| kept.max(took)));
                }
            }
            AdviceOutcome::Failed => {
                calls.paused_until = Some(now + delay(FAILED_CALL_DELAY, calls.failed_in_a_row));
                calls.failed_in_a_row += 1;
            }
            AdviceOutcome::GivenUp => {
                calls.given_up += 1;
                calls.given_up_in_a_row += 1;
            }
        }
        // The step may have ended meanwhile.
        let Some(advice) = self.advice.get_mut(&step) else { return };
        match outcome {
            AdviceOutcome::Answered { grants, validity } => {
                (advice.given_up, advice.retry_at) = (0, None);
                let valid_until = service_start.unwrap_or(now) + validity;
                for key in requested {
                    let Some(worker) = self.workers.get(*key) else { continue };
                    let grant = grants.iter().find(|(id, _)| *id == worker.entry.id);
                    match grant {
                        Some((_, ticket)) => {
                            advice.tickets.insert(*key, (ticket.clone(), valid_until));
                        }
                        None => drop(advice.denied.insert(*key)),
                    }
                }
            }
            AdviceOutcome::Failed => {}
            AdviceOutcome::GivenUp => {
                advice.retry_at = Some(now + delay(GIVEN_UP_STEP_DELAY, advice.given_up));
                advice.given_up += 1;
            }
        }
    }

    /// Returns the steps that wait for a call as of the last plan, and the calls.
    pub fn advice_load(&self, now: Instant) -> AdviceLoad {
        let calls = &self.advice_calls;
        let oldest = calls.waiting.values().min().copied();
        AdviceLoad {
            waiting: calls.waiting.len(),
            oldest: oldest.map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
            under_way: calls.under_way.len(),
            given_up: calls.given_up,
        }
    }

    /// Drops a ticket that a worker has rejected.
    pub(super) fn drop_ticket(&mut self, step: &TaskRef, worker: WorkerKey) {
        if let Some(advice) = self.advice.get_mut(&step.first_task_of_step()) {
            advice.tickets.remove(&worker);
        }
    }
}

/// Returns the number of tasks of a step that a worker has room for now; at most one of long-running tasks, which are spread.
fn room_for(step: &Step, worker: &Worker) -> u64 {
    let has_label =
        step.required_label.is_empty() || worker.entry.labels.contains(&step.required_label);
    let (needed, free) = (step.reserved(), worker.free());
    if !has_label || !needed.fits(&free) {
        return 0;
    }
    let limits = [
        (needed.cpu_milli, free.cpu_milli),
        (needed.memory_mib, free.memory_mib),
        (needed.accelerators, free.accelerators),
    ];
    let times = limits.into_iter().filter(|(needed, _)| *needed > 0).map(|(n, free)| free / n);
    let room = times.min().unwrap_or(u64::MAX);
    match (step.long_running, step.per_worker_max) {
        (true, _) => room.min(1),
        (false, 0) => room,
        (false, max) => room.min(u64::from(max)),
    }
}
