//! Requests of the simulated owners for reports, and the answers of workers on their way back.

use std::time::{Duration, Instant};

use wasabiswitch_policy::fleet::lease_bounds::OrderOutcome;
use wasabiswitch_policy::fleet::outcomes::StartAnswer;
use wasabiswitch_policy::fleet::reports::{EndEntry, ReportTiming, RunEnd, WorkerReport};
use wasabiswitch_policy::fleet::state::{TaskName, TaskRef, WorkerKey};
use wasabiswitch_policy::ids::{InstanceId, OrderFence};

use super::Simulation;

/// A request for a report that is delivered late.
pub(super) struct LateHold {
    due: Instant,
    worker: InstanceId,
    order_fence: OrderFence,
    acknowledged: u64,
    until_ms: Option<u64>,
}

/// The answer of a worker, on its way to the owner with the fence.
pub(super) struct LateAnswer {
    due: Instant,
    fence: u64,
    worker: WorkerKey,
    content: AnswerContent,
}

/// Content of an answer.
pub(super) enum AnswerContent {
    Report { sent: Instant, order_fence: OrderFence, report: WorkerReport },
    Start { task: TaskRef, attempt: u32, answer: StartAnswer },
    Stop { name: TaskName, attempt: u32, sent: Instant },
}

impl Simulation {
    /// Requests a report from a worker; the request renews its leases if `renews` is set.
    pub fn poll_worker(&mut self, key: WorkerKey, renews: bool) {
        let id = self.engine.workers[key].entry.id.clone();
        let until_ms = renews.then(|| self.engine.begin_renewal(key, self.now)).flatten();
        let removed = !self.workers.contains_key(&id);
        if removed || self.is_partitioned(&id, self.engine.fence) || self.disconnected.remove(&id) {
            self.engine.end_renewal(key, OrderOutcome::NotDelivered, self.now);
            self.engine.record_missed_report(key, self.now);
            self.trace_worker(&id, "report not received".to_owned());
            return;
        }
        let acknowledged = self.engine.workers[key].ack_cursor();
        let order_fence = self.engine.workers[key].order_fence;
        if self.faults.late_holds > 0.0 && self.rng.f64() < self.faults.late_holds {
            let due = self.now + Duration::from_millis(self.rng.u64(2_000..12_000));
            self.late_holds.push(LateHold { due, worker: id, order_fence, acknowledged, until_ms });
            self.engine.end_renewal(key, OrderOutcome::Unknown, self.now);
            self.engine.record_missed_report(key, self.now);
            return;
        }
        self.record_acknowledged(&id, acknowledged);
        let worker = self.workers.get_mut(&id).expect("engines know only these workers");
        let report = worker.hold(order_fence, acknowledged, until_ms, self.now);
        let report = report.filter(|_| self.rng.f64() >= self.faults.lost_reports);
        let outcome = match &report {
            Some(report) => OrderOutcome::Answered(Some(report.clock_ms)),
            None => OrderOutcome::Unknown,
        };
        self.engine.end_renewal(key, outcome, self.now);
        match report {
            Some(report) => {
                let sent = self.now;
                self.answer(key, AnswerContent::Report { sent, order_fence, report });
            }
            None => {
                self.engine.record_missed_report(key, self.now);
                self.trace_worker(&id, "report lost".to_owned());
            }
        }
    }

    /// Passes an answer to the owner, now or after later answers.
    pub(super) fn answer(&mut self, worker: WorkerKey, content: AnswerContent) {
        let late = self.faults.late_answers > 0.0 && self.rng.f64() < self.faults.late_answers;
        let fence = self.engine.fence;
        match late {
            true => {
                let due = self.now + Duration::from_millis(self.rng.u64(10..600));
                self.answers.push(LateAnswer { due, fence, worker, content });
            }
            false => self.apply_answer(worker, content),
        }
    }

    pub(super) fn apply_answer(&mut self, worker: WorkerKey, content: AnswerContent) {
        match content {
            AnswerContent::Report { sent, order_fence, report } => {
                let timing = ReportTiming { order_fence, sent, received: self.now };
                let applied = self.engine.apply_report(worker, timing, &report, &mut Vec::new());
                self.renew_entry(worker);
                let id = self.engine.workers[worker].entry.id.clone();
                let age_ms = self.now.saturating_duration_since(sent).as_millis();
                self.trace_worker(
                    &id,
                    format!(
                        "report of incarnation {} with {} runs, requested {age_ms} ms before, applied: {applied}",
                        report.incarnation,
                        report.running.len()
                    ),
                );
            }
            AnswerContent::Start { task, attempt, answer } => {
                self.resolve_start(worker, task, attempt, answer);
            }
            AnswerContent::Stop { name, attempt, sent } => {
                self.engine.record_stop_acknowledgement(worker, &name, attempt, sent, self.now);
            }
        }
    }

    /// Applies the late answers that are due; those for an earlier owner are lost.
    pub(super) fn apply_late_answers(&mut self) {
        let (now, fence) = (self.now, self.engine.fence);
        let answers = std::mem::take(&mut self.answers).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = answers.partition(|answer| answer.due <= now);
        self.answers = later;
        for answer in due.into_iter().filter(|answer| answer.fence == fence) {
            self.apply_answer(answer.worker, answer.content);
        }
    }

    /// Records the tasks whose successful ends have numbers up to `acknowledged`.
    pub(super) fn record_acknowledged(&mut self, id: &InstanceId, acknowledged: u64) {
        let ends = self.workers[id].ends.clone();
        self.record_done(id, acknowledged, &ends);
    }

    /// Records the tasks of the successful ones of a worker's `ends` that have numbers up to `acknowledged`.
    pub(super) fn record_done(&mut self, id: &InstanceId, acknowledged: u64, ends: &[EndEntry]) {
        let done = ends.iter().filter(|end| end.number <= acknowledged && end.end == RunEnd::Done);
        let done: Vec<TaskName> = done.map(|end| end.task.clone()).collect();
        for task in done {
            self.trace_task(
                &task,
                format!("end at {id} acknowledged by fence {}", self.engine.fence),
            );
            self.acknowledged_done.insert(task);
        }
    }

    /// Delivers the late requests for reports that are due.
    pub(super) fn deliver_late_holds(&mut self) {
        let holds = std::mem::take(&mut self.late_holds).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = holds.partition(|hold| hold.due <= self.now);
        self.late_holds = later;
        for LateHold { worker: id, order_fence, acknowledged, until_ms, .. } in due {
            let fake = self.workers.get_mut(&id).expect("workers are not removed");
            let ends = fake.ends.clone();
            if fake.hold(order_fence, acknowledged, until_ms, self.now).is_some() {
                self.record_done(&id, acknowledged, &ends);
            }
        }
    }
}
