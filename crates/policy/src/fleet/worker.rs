//! Workers: their entries in the platform's directory, their runs and their leases.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::job::{TaskName, TaskRef};
use super::lease::{ClockSample, LeaseOrder};
use super::lease_bounds::OrderOutcome;
use super::reports::WorkerReport;
use super::spec::ResourceVector;
use super::state::JobKey;
use super::worker_ends::WorkerPlace;
use crate::ids::{BootId, DataCentre, FailureDomain, InstanceId, OrderFence, PoolId};

/// Entry of a worker in the platform's directory.
#[derives(record)]
pub struct WorkerEntry {
    /// Id of the worker.
    pub id: InstanceId,
    /// Socket address of the worker, as text.
    pub address: String,
    /// Pool of the worker's instance.
    pub pool: PoolId,
    /// Data centre of the worker's instance.
    pub data_centre: DataCentre,
    /// Whether the worker is about to shut down and accepts no new tasks.
    pub draining: bool,
    /// Resources that the worker offers to tasks.
    pub capacity: ResourceVector,
    /// Labels that a step may require.
    pub labels: Vec<String>,
    /// Rack of the worker's instance.
    pub rack: FailureDomain,
    /// Incarnation, which changes when the worker restarts under the same id: the time of its start, in Unix milliseconds.
    pub incarnation: BootId,
}

/// Reason for which a worker that is otherwise usable gets no new tasks.
#[derives(value)]
pub enum Cordon {
    /// A maintenance wave is about to take the instance down.
    Upkeep,
    /// The instance is about to change its pool.
    Move,
    /// The instance service accepted a call to take the instance down or to move it, at this time.
    ///
    /// The service also accepts a repeated call that it carried out before, and then does nothing. The next
    /// list of instances therefore decides whether this incarnation of the worker has ended.
    Called(Instant),
}

/// A run that has to be stopped although the engine does not track it, or that may still begin on the worker.
#[derives(value)]
#[derive(Default)]
pub struct Orphan {
    /// Time at which a stop was sent last.
    pub sent: Option<Instant>,
    /// Time at which the worker acknowledged a stop; a run that had begun still takes some time to stop.
    pub acknowledged: Option<Instant>,
    /// Time by which a start that may still be delivered has arrived, for a barrier; `None` for a run that the worker
    /// has listed.
    ///
    /// A barrier is sent even while the worker does not list the run.
    pub start_expires_by: Option<Instant>,
}

impl Orphan {
    /// Creates a barrier against a start that has arrived by `start_expires_by`, if it arrives at all.
    pub fn barrier(start_expires_by: Instant) -> Orphan {
        Orphan { start_expires_by: Some(start_expires_by), ..Orphan::default() }
    }

    /// Returns whether the orphan is a barrier.
    pub fn is_barrier(&self) -> bool {
        self.start_expires_by.is_some()
    }

    /// Returns whether the run may exist or begin although a report that was requested at `requested` does not list
    /// it.
    pub fn may_begin_after(&self, requested: Instant) -> bool {
        self.start_expires_by.is_some_and(|until| until > requested)
            && self.acknowledged.is_none_or(|at| at >= requested)
    }
}

/// A request for a report, still unanswered, that renews the leases on a worker.
#[derives(value)]
pub struct Renewal {
    /// The renewal as an order, which may still be delivered after its request has failed.
    pub order: LeaseOrder,
    /// Time by which the leases have expired if the incarnation for which it was computed applies the renewal.
    pub leases_expire_at: Instant,
}

/// State of a worker as the owner knows it.
#[derives(record)]
pub struct Worker {
    /// Last entry in the directory.
    pub entry: WorkerEntry,
    /// Whether the directory still lists the worker.
    pub listed: bool,
    /// Instance on which a list of instances last showed the worker; `None` if none did.
    pub instance: Option<InstanceId>,
    /// Incarnation that sent the last report; zero before the first report.
    pub incarnation: BootId,
    /// Time at which the first report of the current incarnation arrived; `None` before the first report.
    pub incarnation_known_since: Option<Instant>,
    /// Fencing token of the orders to the worker; it is [raised](super::order_fence) when the worker may have restarted.
    pub order_fence: OrderFence,
    /// Whether a report has arrived that was requested under [`Worker::order_fence`], so that the worker refuses all
    /// orders with earlier tokens.
    pub is_order_fence_seen: bool,
    /// Time at which the token was raised last; `None` if it has not been raised.
    pub order_fence_raised_at: Option<Instant>,
    /// Last sample of the worker's clock.
    pub clock: Option<ClockSample>,
    /// Time by which the leases of all runs on the worker have expired unless they are renewed.
    pub leases_expire_at: Instant,
    /// Renewal in flight.
    pub renewal: Option<Renewal>,
    /// Renewals and starts without an answer that may still reach another incarnation, merged into one order.
    pub unanswered_order: Option<LeaseOrder>,
    /// Time at which the last call that the worker answered was sent; `None` before the first answer.
    pub last_contact: Option<Instant>,
    /// Time at which the last report that was applied arrived; `None` before the first one.
    ///
    /// It is later than [`Worker::last_contact`] by the time for which the worker waited for an end of a task before it answered.
    pub last_answer: Option<Instant>,
    /// Number of the last end of a run that was processed.
    pub last_end_received: u64,
    /// Number of the last end of a run that is persisted, as are all ends before it.
    pub last_end_persisted: u64,
    /// Number of the first end in the last report; `None` if it listed no end.
    pub first_end_listed: Option<u64>,
    /// Ends after [`Worker::last_end_persisted`] whose job has to be persisted, with their numbers in rising order.
    pub ends_to_persist: VecDeque<(u64, JobKey)>,
    /// Time at which a request for a report failed; `None` once a report that was requested later has arrived.
    ///
    /// Until then the worker may have restarted, and the next report may come from another incarnation.
    pub report_missed_at: Option<Instant>,
    /// Time at which a start got no answer; `None` once a report that was requested later has arrived.
    pub answer_missed_at: Option<Instant>,
    /// Time at which a start was answered by another clock than [`Worker::clock`] or without one, or the directory listed a new
    /// incarnation; `None` once a report that was requested later has arrived.
    ///
    /// Until then orders that are computed for the known clock may mean another time.
    pub restart_suspected_at: Option<Instant>,
    /// Tasks, with their attempts, that may be running on the worker.
    pub runs: BTreeSet<(TaskRef, u32)>,
    /// Resources that [`Worker::runs`] reserve.
    pub reserved: ResourceVector,
    /// Runs to stop although the engine does not track them, and barriers, by task and attempt.
    pub orphans: BTreeMap<(TaskName, u32), Orphan>,
    /// Starts that are not answered yet or got no answer and may still be delivered.
    pub starts_in_doubt: BTreeMap<(TaskName, u32), LeaseOrder>,
    /// Number of failed runs since the last success.
    pub consecutive_failures: u32,
    /// Time until which the worker gets no new tasks, after consecutive failures or a refused start.
    pub quarantined_until: Option<Instant>,
    /// Reason for which an otherwise usable worker gets no new tasks.
    pub cordon: Option<Cordon>,
    /// Whether a report has arrived since the fillers on the worker were last paced.
    pub gauges_updated: bool,
}

impl Worker {
    /// Returns whether a report that was applied before is newer: responses on different connections may overtake each
    /// other, and an outdated report would undo what the newer one has shown.
    ///
    /// A report of another incarnation may be that of an earlier one, unless it was requested after a report of the
    /// current incarnation had arrived.
    pub fn is_overtaken(&self, requested: Instant, report: &WorkerReport) -> bool {
        if self.incarnation != report.incarnation {
            return self.incarnation_known_since.is_some_and(|since| requested < since);
        }
        self.clock.is_some_and(|clock| report.clock_ms < clock.clock_ms)
    }

    /// Replaces the entry by one that the directory lists at `now`.
    ///
    /// A new incarnation in it shows that the worker has restarted, unless that incarnation has reported already.
    pub fn apply_entry(&mut self, entry: WorkerEntry, now: Instant) {
        let is_new = entry.incarnation != self.entry.incarnation;
        if is_new && self.incarnation != 0 && entry.incarnation != self.incarnation {
            self.restart_suspected_at = Some(now);
        }
        self.listed = true;
        self.entry = entry;
    }

    /// Returns what is known of the worker's place in the fleet.
    pub fn place(&self) -> WorkerPlace {
        WorkerPlace {
            worker: self.entry.id.clone(),
            pool: self.entry.pool.clone(),
            rack: Some(self.entry.rack.clone()),
            instance: self.instance.clone(),
        }
    }

    /// Returns whether the entry is that of the incarnation that sent the last report, so that its pool, capacity, labels and state
    /// hold for that incarnation.
    pub fn has_own_entry(&self) -> bool {
        self.entry.incarnation == self.incarnation
    }

    /// Returns whether all runs on the worker are known: the worker has reported, and has no orphans.
    pub fn is_reconciled(&self) -> bool {
        self.last_contact.is_some() && self.orphans.is_empty()
    }

    /// Returns whether the worker's instance runs nothing but [`Worker::runs`].
    ///
    /// After a missed report the worker may have been replaced on its instance by one that the list of instances does not
    /// show yet, and whose runs are not known here. The list is requested anew before the worker's leases have expired.
    pub fn are_instance_runs_known(&self, now: Instant) -> bool {
        self.is_reconciled() && (self.report_missed_at.is_none() || self.leases_expired(now))
    }

    /// Returns whether all ends that the worker has reported are persisted.
    ///
    /// Until then the worker holds the only record that survives this owner, so its instance must stay.
    pub fn are_ends_persisted(&self) -> bool {
        self.last_end_received <= self.last_end_persisted
    }

    /// Returns the number of the last end that is persisted, as are all ends before it, once all progress except that
    /// of the `unpersisted` jobs is.
    pub fn last_end_persisted_without(&self, unpersisted: &BTreeSet<JobKey>) -> u64 {
        let mut waiting = self.ends_to_persist.iter();
        let first_open = waiting.find(|(_, job)| unpersisted.contains(job));
        first_open.map_or(self.last_end_received, |(number, _)| number - 1)
    }

    /// Records that the ends up to `number` are persisted.
    pub fn record_ends_persisted(&mut self, number: u64) {
        self.last_end_persisted = self.last_end_persisted.max(number);
        while self.ends_to_persist.front().is_some_and(|(end, _)| *end <= number) {
            self.ends_to_persist.pop_front();
        }
    }

    /// Forgets the ends of the previous incarnation; the new one numbers its ends from the start.
    pub fn reset_ends(&mut self) {
        self.last_end_received = 0;
        self.last_end_persisted = 0;
        self.first_end_listed = None;
        self.ends_to_persist.clear();
    }

    /// Returns the cursor that acknowledges ends to the worker, which then discards all ends up to it; zero if it would
    /// acknowledge nothing new.
    ///
    /// A new incarnation numbers its ends from the start, so the old cursor would acknowledge ends that have not been processed.
    /// Where the worker may have restarted the cursor is zero. A restart may still be unknown, and a request may be delivered
    /// late, so that the cursor is sent only as long as the worker lists an end up to it, and only under a token that the
    /// incarnation has seen: the next one refuses it once it has seen a later token.
    pub fn ack_cursor(&self) -> u64 {
        let may_have_restarted = self.report_missed_at.is_some()
            || self.answer_missed_at.is_some()
            || self.restart_suspected_at.is_some()
            || !self.is_order_fence_seen;
        let acknowledges = self.first_end_listed.is_some_and(|end| end <= self.last_end_persisted);
        if acknowledges && !may_have_restarted { self.last_end_persisted } else { 0 }
    }

    /// Returns whether the leases of all runs on the worker have expired, renewals in flight included.
    pub fn leases_expired(&self, now: Instant) -> bool {
        let renewed =
            self.renewal.map_or(self.leases_expire_at, |renewal| renewal.leases_expire_at);
        self.leases_expire_at.max(renewed) <= now
    }

    /// Records that an order may still reach another incarnation than the one for which it was computed.
    pub fn record_unanswered(&mut self, order: LeaseOrder) {
        let merged = self.unanswered_order.map_or(order, |earlier| earlier.merged(order));
        self.unanswered_order = Some(merged);
    }

    /// Returns whether a start or a renewal may still be delivered to the worker, or to its next incarnation.
    ///
    /// Until then the owner has to remember the worker, also if it is gone: one that comes back under its id is a new
    /// incarnation, against which such an order needs a barrier or a longer bound.
    pub fn awaits_delivery(&self, now: Instant) -> bool {
        let renewal = self.renewal.map(|renewal| renewal.order);
        let orders = self.starts_in_doubt.values().copied().chain(renewal);
        orders.chain(self.unanswered_order).any(|order| order.arrives_by > now)
    }

    /// Extends the bound on the leases by an order whose outcome has just become known.
    ///
    /// The clock in an answer is that of the incarnation that carried the order out, which need not be the one that the
    /// owner knows. If it is not, that incarnation may have carried out or may still carry out all other orders for the known
    /// one, and those of an earlier owner that arrived before.
    pub fn apply_order_outcome(
        &mut self,
        order: LeaseOrder,
        outcome: OrderOutcome,
        predecessor_order: Option<LeaseOrder>,
        lease_max: Duration,
        now: Instant,
    ) {
        match outcome {
            OrderOutcome::Answered(clock_ms) => {
                let clock = clock_ms.map(|clock_ms| ClockSample { clock_ms, received: now });
                let order = LeaseOrder { arrives_by: now, ..order };
                let expiry = order.leases_expire_by(clock.as_ref(), lease_max);
                self.leases_expire_at = self.leases_expire_at.max(expiry);
                if !self.is_known_clock(clock_ms, order.sent, now) {
                    // Orders of an earlier owner that arrive later are refused.
                    let arrived = predecessor_order
                        .map(|order| LeaseOrder { arrives_by: order.arrives_by.min(now), ..order });
                    self.cover_pending_orders(arrived, clock.as_ref(), lease_max);
                }
            }
            OrderOutcome::NotDelivered => {}
            OrderOutcome::Unknown => self.record_unanswered(order),
        }
    }

    /// Returns whether a reading that has just arrived, in the answer to an order that was sent at `sent`, can be one of the clock
    /// that the owner knows.
    pub fn is_known_clock(&self, clock_ms: Option<u64>, sent: Instant, now: Instant) -> bool {
        let (Some(known), Some(clock_ms)) = (&self.clock, clock_ms) else { return false };
        known.can_be_followed_by(sent, &ClockSample { clock_ms, received: now })
    }

    /// Extends the bound on the leases by the orders for the known incarnation that another one, with the given clock, may
    /// have carried out or may still carry out, and by the latest order of an earlier owner.
    pub fn cover_pending_orders(
        &mut self,
        predecessor_order: Option<LeaseOrder>,
        clock: Option<&ClockSample>,
        lease_max: Duration,
    ) {
        let renewal = self.renewal.map(|renewal| renewal.order);
        let orders = self.starts_in_doubt.values().copied().chain(renewal);
        let expiries = orders.chain(self.unanswered_order).chain(predecessor_order);
        let expiries = expiries.map(|order| order.leases_expire_by(clock, lease_max));
        self.leases_expire_at = expiries.fold(self.leases_expire_at, Instant::max);
    }

    /// Describes for the log why the runs on a worker are taken for ended, with the time since the worker was last in contact,
    /// which is the longest that any of them can have outlived the owner's knowledge.
    pub fn describe_expired_lease(&self, now: Instant) -> String {
        let silent = self.last_contact.map(|at| now.saturating_duration_since(at).as_millis());
        let silent_ms = silent.map_or_else(|| "never answered".to_owned(), |ms| ms.to_string());
        format!(
            "its lease has expired silent_ms={silent_ms} starts_in_doubt={} unanswered_order={}",
            self.starts_in_doubt.len(),
            self.unanswered_order.is_some()
        )
    }

    /// Describes for the log the orders that may still reach another incarnation of the worker at `now`, and the time for which
    /// its leases bind.
    pub fn describe_orders_in_doubt(&self, now: Instant) -> String {
        let is_open = |order: &&LeaseOrder| order.arrives_by > now;
        format!(
            "starts_in_doubt={} renewals_in_doubt={} lease_ms={}",
            self.starts_in_doubt.values().filter(is_open).count(),
            usize::from(self.renewal.is_some())
                + self.unanswered_order.iter().filter(is_open).count(),
            self.leases_expire_at.saturating_duration_since(now).as_millis()
        )
    }

    /// Describes for the log what the known runs take of the capacity, and how many runs are not in this account.
    pub fn describe_load(&self) -> String {
        let (taken, capacity) = (&self.reserved, &self.entry.capacity);
        format!(
            "taken_cpu_milli={} of={} taken_memory_mib={} of={} orphans={} starts_in_doubt={}",
            taken.cpu_milli,
            capacity.cpu_milli,
            taken.memory_mib,
            capacity.memory_mib,
            self.orphans.len(),
            self.starts_in_doubt.len()
        )
    }

    /// Returns the unreserved part of the capacity.
    pub fn free(&self) -> ResourceVector {
        self.entry.capacity.saturating_sub(&self.reserved)
    }
}
