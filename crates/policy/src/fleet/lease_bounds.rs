//! Leases on workers as the owner bounds them: renewals, orders whose effect on another incarnation is unknown, and the end of
//! runs whose leases have expired.

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::lease::{LeaseOrder, TASK_LEASE, longest_time_of};
use super::outcomes::DELIVERY_DELAY_MAX;
use super::placement::UNRESPONSIVE_AFTER;
use super::plan::START_ANSWER_OVERDUE;
use super::reports::JobEvent;
use super::state::{Engine, RunState, TaskRef, WorkerKey};
use super::worker::Renewal;

/// Outcome of an order that extends leases.
#[derives(value)]
pub enum OrderOutcome {
    /// An incarnation of the worker carried the order out; the answer has a reading of its clock, in milliseconds, or `None`
    /// if there was no readable one.
    Answered(Option<u64>),
    /// The order was certainly not carried out, and will not be.
    NotDelivered,
    /// The order may have been carried out, or may still be.
    Unknown,
}

impl Engine {
    /// Records that an order may have extended the leases of a worker to `until_ms` on its clock.
    pub fn record_renewal(&mut self, key: WorkerKey, until_ms: u64) {
        if let Some(worker) = self.workers.get_mut(key)
            && let Some(clock) = worker.clock
        {
            worker.leases_expire_at = worker.leases_expire_at.max(clock.latest_time_of(until_ms));
        }
    }

    /// Returns the time on the worker's clock to which a report that is requested now renews its leases, or
    /// `None` if they must not be renewed.
    ///
    /// An unresponsive worker is not renewed, so that its tasks can run elsewhere in time, nor is one that has most likely restarted.
    pub fn begin_renewal(&mut self, key: WorkerKey, now: Instant) -> Option<u64> {
        let worker = self.workers.get_mut(key).filter(|worker| !worker.runs.is_empty())?;
        let clock = worker.clock?;
        let answered = worker.last_contact?;
        if worker.restart_suspected_at.is_some()
            || now.saturating_duration_since(answered) > UNRESPONSIVE_AFTER
        {
            return None;
        }
        let until_ms = clock.until(now, TASK_LEASE);
        worker.renewal = Some(Renewal {
            order: LeaseOrder { until_ms, sent: now, arrives_by: now + DELIVERY_DELAY_MAX },
            leases_expire_at: clock.latest_time_of(until_ms),
        });
        Some(until_ms)
    }

    /// Ends the renewal in flight, before the report that answers it is applied.
    pub fn end_renewal(&mut self, key: WorkerKey, outcome: OrderOutcome, now: Instant) {
        let (lease_max, predecessor_order) = (self.limits.lease_max, self.predecessor_order);
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(renewal) = worker.renewal.take() else { return };
        if outcome != OrderOutcome::NotDelivered {
            worker.leases_expire_at = worker.leases_expire_at.max(renewal.leases_expire_at);
        }
        worker.apply_order_outcome(renewal.order, outcome, predecessor_order, lease_max, now);
    }

    /// Returns the longest time, on the owner's clock, for which a lease is valid that has just been extended by an earlier
    /// owner, if there was one.
    ///
    /// An order that was computed for a previous incarnation of the worker may have given it the longest lease of all. Nothing
    /// that a successor can trust shows when a worker has restarted: its entry states its own time of day, and may be that
    /// of the previous incarnation. See docs/incidents/2026-12-two-runs-on-real-processes.md.
    pub(super) fn predecessor_lease(&self) -> Duration {
        let longest = if self.fence > 1 { self.limits.lease_max } else { TASK_LEASE };
        longest_time_of(longest)
    }

    /// Drops the runs of workers whose leases have certainly expired, and removes such a worker if the
    /// directory no longer lists it and no order to it [awaits delivery](super::worker::Worker::awaits_delivery).
    pub fn expire_leases(&mut self, now: Instant, events: &mut Vec<JobEvent>) {
        let expired: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.leases_expired(now))
            .map(|(key, worker)| (key, worker.runs.iter().copied().collect::<Vec<_>>()))
            .collect();
        for (key, runs) in expired {
            let reason = self.workers[key].describe_expired_lease(now);
            for (task, attempt) in runs {
                if !self.may_run_on_another_incarnation(key, &task, attempt, now) {
                    self.drop_run(key, task, attempt, &reason, events);
                }
            }
            let worker = &self.workers[key];
            if !worker.listed && worker.runs.is_empty() && !worker.awaits_delivery(now) {
                self.remove_worker(key);
            }
        }
    }

    /// Returns whether a run whose start got no answer may have begun on an incarnation of its worker that has not reported,
    /// and whose lease is then measured on an unknown clock.
    ///
    /// That incarnation also carries out the renewals that are sent until the worker counts as unresponsive.
    fn may_run_on_another_incarnation(
        &self,
        key: WorkerKey,
        task: &TaskRef,
        attempt: u32,
        now: Instant,
    ) -> bool {
        let (Some(run), Some(worker)) = (self.run(key, task, attempt), self.workers.get(key))
        else {
            return false;
        };
        let is_unanswered = match run.state {
            RunState::Starting | RunState::Unconfirmed => true,
            // The order to stop it need not have reached the incarnation that carried out the start.
            RunState::Stopping { acknowledged: None, .. } => self
                .task_name(task)
                .is_some_and(|name| worker.starts_in_doubt.contains_key(&(name, attempt))),
            _ => false,
        };
        let last_renewal = worker.last_contact.map(|at| at + UNRESPONSIVE_AFTER);
        let last_order = last_renewal.map_or(run.sent, |at| at.max(run.sent));
        let lease_max = longest_time_of(self.limits.lease_max);
        is_unanswered && now < last_order + START_ANSWER_OVERDUE + lease_max
    }
}
