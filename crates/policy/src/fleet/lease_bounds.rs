//! Leases on workers as the owner bounds them: renewals, orders whose effect on another incarnation is unknown, and the end of
//! runs whose leases have expired.

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::lease::{LeaseOrder, START_VALIDITY, TASK_LEASE, longest_time_of};
use super::outcomes::DELIVERY_DELAY_MAX;
use super::placement::UNRESPONSIVE_AFTER;
use super::plan::START_ANSWER_OVERDUE;
use super::reports::JobEvent;
use super::state::{Engine, RunState, TaskRef, WorkerKey};
use super::worker::Renewal;
use crate::ids::BootId;

/// Maximum deviation of a time of day that a worker or a daemon reads; the platform states that it may jump by seconds.
const TIME_OF_DAY_DEVIATION_MAX: Duration = Duration::from_secs(5);

/// Outcome of an order that extends leases.
#[derives(value)]
pub enum OrderOutcome {
    /// An incarnation of the worker carried the order out; the answer has a reading of its clock, in milliseconds.
    Answered(u64),
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
    /// An unresponsive worker is not renewed, so that its tasks can run elsewhere in time.
    pub fn begin_renewal(&mut self, key: WorkerKey, now: Instant) -> Option<u64> {
        let worker = self.workers.get_mut(key).filter(|worker| !worker.runs.is_empty())?;
        let clock = worker.clock?;
        let answered = worker.last_contact?;
        if now.saturating_duration_since(answered) > UNRESPONSIVE_AFTER {
            return None;
        }
        let until_ms = clock.until(now, TASK_LEASE);
        worker.renewal = Some(Renewal {
            order: LeaseOrder { until_ms, arrives_by: now + DELIVERY_DELAY_MAX },
            leases_expire_at: clock.latest_time_of(until_ms),
        });
        Some(until_ms)
    }

    /// Ends the renewal in flight, before the report that answers it is applied.
    pub fn end_renewal(&mut self, key: WorkerKey, outcome: OrderOutcome, now: Instant) {
        let lease_max = self.limits.lease_max;
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(renewal) = worker.renewal.take() else { return };
        if outcome != OrderOutcome::NotDelivered {
            worker.leases_expire_at = worker.leases_expire_at.max(renewal.leases_expire_at);
        }
        worker.apply_order_outcome(renewal.order, outcome, lease_max, now);
    }

    /// Returns the longest time, on the owner's clock, for which a lease that an earlier owner has just extended on the given
    /// incarnation of a worker is valid.
    ///
    /// An order that was computed for the previous incarnation may have given it the longest lease of all. The earlier owner
    /// sends such orders no longer than it takes the previous incarnation for responsive, and they are delivered late at
    /// worst, so that they no longer have an effect on an incarnation that started before.
    pub(super) fn predecessor_lease(&self, incarnation: BootId) -> Duration {
        let longest = longest_time_of(self.limits.lease_max);
        let effect_max = UNRESPONSIVE_AFTER + DELIVERY_DELAY_MAX + longest;
        // Both the worker's time of day and this daemon's may deviate.
        let effect_max = effect_max + 2 * TIME_OF_DAY_DEVIATION_MAX;
        let settled_unix_ms = incarnation.saturating_add(effect_max.as_millis() as u64);
        if self.fence > 1 && settled_unix_ms > self.takeover_unix_ms {
            longest
        } else {
            longest_time_of(TASK_LEASE.max(START_VALIDITY))
        }
    }

    /// Drops the runs of workers whose leases have certainly expired, and removes such a worker if the
    /// directory no longer lists it.
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
            if !self.workers[key].listed && self.workers[key].runs.is_empty() {
                self.remove_worker(key);
            }
        }
    }

    /// Returns whether a run whose start got no answer may have begun on an incarnation of its worker that has not reported,
    /// and whose lease is then measured on an unknown clock.
    fn may_run_on_another_incarnation(
        &self,
        key: WorkerKey,
        task: &TaskRef,
        attempt: u32,
        now: Instant,
    ) -> bool {
        let Some(run) = self.run(key, task, attempt) else { return false };
        let is_unanswered = matches!(run.state, RunState::Starting | RunState::Unconfirmed);
        let lease_max = longest_time_of(self.limits.lease_max);
        is_unanswered && now < run.sent + START_ANSWER_OVERDUE + lease_max
    }
}
