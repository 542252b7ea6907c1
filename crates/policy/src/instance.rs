//! State machine of an instance and availability budget of a pool, each stored in one row.
//!
//! An instance's row names exactly one pool, so that a move is one conditional write and an
//! instance is never in two pools. Before a planned outage, the instance is added to its pool's row
//! of unavailable instances by a write that is conditional on the row's version; two controllers
//! that race can therefore not both use the rest of the budget. See docs/DESIGN.md, "Instances and
//! pools".

use std::collections::BTreeMap;

use wasabiswitch_derive::derives;

use crate::ids::{BootId, FailureDomain, InstanceId, PoolId, WaveId};

/// Reason for which an instance is out of service; an instance has at most one at a time.
#[derives(record)]
pub enum Reason {
    /// Request of an operator.
    Operator,
    /// Move to another pool.
    Move(PoolId),
    /// Maintenance wave.
    Wave(WaveId),
}

/// Service state of an instance.
#[derives(record)]
pub enum InstanceState {
    /// Serves requests or tasks of its pool.
    Serving,
    /// Drains: finishes its work and gets no new work.
    Leaving(Reason),
    /// Drained, and down or under maintenance; the boot is the one that was running at the drain.
    Down(Reason, BootId),
    /// Returned; it must be confirmed to work before it serves.
    Joining(Reason),
}

/// Stored row of an instance.
#[derives(record)]
pub struct InstanceRow {
    /// Current pool.
    pub pool: PoolId,
    /// Service state.
    pub state: InstanceState,
}

/// Event that changes the state of an instance.
#[derives(record)]
pub enum Event {
    /// The instance is to leave service.
    Drain(Reason),
    /// The last request or task of the instance has ended; the boot is the one that is running.
    Drained(BootId),
    /// The instance was observed running with this boot.
    BootObserved(BootId),
    /// The instance was confirmed to work.
    Verified,
    /// The reason for the outage no longer applies.
    Cancel,
}

/// Reason why an event cannot be applied to a row.
#[derives(record)]
pub enum TransitionError {
    /// The instance is already out of service for another reason.
    OtherReason(Reason),
    /// The event is not valid in the current state.
    State,
}

/// Returns the row after `event`, or the reason why the event does not apply.
pub fn apply(row: &InstanceRow, event: &Event) -> Result<InstanceRow, TransitionError> {
    use InstanceState::{Down, Joining, Leaving, Serving};
    let state = |state| Ok(InstanceRow { pool: row.pool.clone(), state });
    match (&row.state, event) {
        (Serving, Event::Drain(reason)) => state(Leaving(reason.clone())),
        (Leaving(old), Event::Drain(new)) if old == new => Ok(row.clone()),
        (Leaving(old) | Down(old, _) | Joining(old), Event::Drain(_)) => {
            Err(TransitionError::OtherReason(old.clone()))
        }
        // A move changes the pool only here, in the write that records the end of the drain.
        (Leaving(Reason::Move(pool)), Event::Drained(_)) => {
            Ok(InstanceRow { pool: pool.clone(), state: Joining(Reason::Move(pool.clone())) })
        }
        (Leaving(reason), Event::Drained(boot)) => state(Down(reason.clone(), *boot)),
        // Maintenance reboots an instance, so only a newer boot shows that it has returned.
        (Down(Reason::Wave(wave), old), Event::BootObserved(new)) if new > old => {
            state(Joining(Reason::Wave(wave.clone())))
        }
        (Joining(_), Event::Verified) => state(Serving),
        (Leaving(_), Event::Cancel) => state(Serving),
        (Down(Reason::Operator, _), Event::Cancel) => state(Joining(Reason::Operator)),
        _ => Err(TransitionError::State),
    }
}

/// Change feed of the instances' rows, with which daemons avoid reading all rows.
#[derives(record)]
#[derive(Default)]
pub struct FeedRow {
    /// Number of changes so far.
    pub sequence: u64,
    /// Most recent changes, oldest first; the last one has the number [`FeedRow::sequence`].
    pub recent: Vec<InstanceId>,
}

/// Maximum number of changes that a feed retains.
const FEED_LEN_MAX: usize = 64;

/// Rows that a reader of the feed must read to be up to date.
#[derives(record)]
pub enum FeedDelta {
    /// Rows of these instances.
    Changed(Vec<InstanceId>),
    /// All rows, since the feed no longer retains all changes since the last read.
    All,
}

impl FeedRow {
    /// Returns the feed with a change of `instance` appended.
    pub fn with_change(&self, instance: &InstanceId) -> FeedRow {
        let skipped = (self.recent.len() + 1).saturating_sub(FEED_LEN_MAX);
        let kept = self.recent.iter().skip(skipped).cloned();
        let recent = kept.chain([instance.clone()]).collect();
        FeedRow { sequence: self.sequence + 1, recent }
    }

    /// Returns the rows to read for a reader that is up to date with change `sequence`.
    pub fn changes_since(&self, sequence: u64) -> FeedDelta {
        let missed = self.sequence.saturating_sub(sequence) as usize;
        if missed > self.recent.len() {
            return FeedDelta::All;
        }
        FeedDelta::Changed(self.recent[self.recent.len() - missed..].to_vec())
    }
}

/// Cause of unavailability, as the budget distinguishes it.
#[derives(value)]
pub enum Cause {
    /// Failure of the instance.
    Failure,
    /// Planned outage.
    Planned,
}

/// Stored row of a pool, with its unavailable instances.
#[derives(record)]
#[derive(Default)]
pub struct PoolRow {
    /// Unavailable instances, each with the cause.
    pub unavailable: BTreeMap<InstanceId, Cause>,
}

/// Budget and members of a pool.
#[derives(record)]
pub struct PoolView {
    /// Budget: maximum number of instances unavailable at once.
    pub unavailable_max: u32,
    /// Failure domain of each instance of the pool.
    pub domains: BTreeMap<InstanceId, FailureDomain>,
}

/// Reason why an outage is denied for now.
#[derives(record)]
pub enum DenialReason {
    /// The instance is not in the pool.
    NotInPool,
    /// The outage followed by the failure of a whole failure domain would exceed the budget.
    Budget {
        /// Number of instances that would be unavailable.
        unavailable: u32,
        /// Number of instances reserved for the failure of one failure domain.
        reserve: u32,
        /// Budget of the pool.
        unavailable_max: u32,
    },
    /// Instances of another failure domain are in a planned outage.
    OtherDomain(FailureDomain),
}

/// Returns the pool's row with a planned outage of `instance`, or the reason why it must wait.
///
/// In the returned state, any one failure domain can fail without exceeding the budget.
pub fn plan_outage(
    row: &PoolRow,
    view: &PoolView,
    instance: &str,
) -> Result<PoolRow, DenialReason> {
    let domain = view.domains.get(instance).ok_or(DenialReason::NotInPool)?;
    if row.unavailable.get(instance) == Some(&Cause::Planned) {
        return Ok(row.clone());
    }
    for (other, cause) in &row.unavailable {
        let other_domain = view.domains.get(other);
        if *cause == Cause::Planned && other_domain.is_some_and(|other| other != domain) {
            return Err(DenialReason::OtherDomain(other_domain.cloned().unwrap_or_default()));
        }
    }
    let mut next = row.clone();
    next.unavailable.insert(instance.into(), Cause::Planned);
    let unavailable = next.unavailable.len() as u32;
    let reserve = reserve(&next, view);
    if unavailable + reserve > view.unavailable_max {
        let unavailable_max = view.unavailable_max;
        return Err(DenialReason::Budget { unavailable, reserve, unavailable_max });
    }
    Ok(next)
}

/// Returns the number of available instances in the failure domain that has most of them.
pub fn reserve(row: &PoolRow, view: &PoolView) -> u32 {
    let mut available: BTreeMap<&FailureDomain, u32> = BTreeMap::new();
    for (instance, domain) in &view.domains {
        if !row.unavailable.contains_key(instance) {
            *available.entry(domain).or_default() += 1;
        }
    }
    available.values().copied().max().unwrap_or(0)
}

/// Returns the pool's row with `instance` failed; a failure is recorded even beyond the budget.
pub fn mark_failed(row: &PoolRow, instance: &InstanceId) -> PoolRow {
    let mut next = row.clone();
    next.unavailable.entry(instance.clone()).or_insert(Cause::Failure);
    next
}

/// Returns the pool's row with `instance` available again.
pub fn mark_available(row: &PoolRow, instance: &str) -> PoolRow {
    let mut next = row.clone();
    next.unavailable.remove(instance);
    next
}
