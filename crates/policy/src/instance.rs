//! The life of an instance, in one row, and the availability budget of its pool, in another.
//!
//! An instance's row names its one pool, so that a move is one conditional write and an instance can
//! never be in two pools. An instance goes down on purpose only after it has been added to its pool's
//! row of unavailable instances, on condition of that row's version, so that two controllers that
//! race cannot both spend the last of the budget. See docs/DESIGN.md, "Instances and pools".

use std::collections::BTreeMap;

use wasabiswitch_derive::derives;

use crate::ids::{BootId, FailureDomain, InstanceId, PoolId, WaveId};

/// Why an instance is out of service; there is at most one reason at a time.
#[derives(record)]
pub enum Reason {
    /// An operator asked for it.
    Operator,
    /// It moves to another pool.
    Move(PoolId),
    /// A wave maintains it.
    Wave(WaveId),
}

/// How far an instance is from serving.
#[derives(record)]
pub enum InstanceState {
    /// It serves its pool.
    Serving,
    /// It finishes its work and gets no more.
    Leaving(Reason),
    /// It has no work and is down or being worked on; the boot is the last one seen before.
    Down(Reason, BootId),
    /// It is back and must be seen to work before it serves.
    Joining(Reason),
}

/// The row of an instance.
#[derives(record)]
pub struct InstanceRow {
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// How far it is from serving.
    pub state: InstanceState,
}

/// What happens to an instance.
#[derives(record)]
pub enum Event {
    /// It is to leave service.
    Drain(Reason),
    /// Its last request or task has ended; the boot is the one that is running.
    Drained(BootId),
    /// It was seen running with this boot.
    Seen(BootId),
    /// It was seen to serve.
    Served,
    /// The reason for which it left is gone.
    Cancel,
}

/// Why an event does not fit the row.
#[derives(record)]
pub enum TransitionError {
    /// The instance is already out for another reason.
    OtherReason(Reason),
    /// The event has no meaning in this state.
    State,
}

/// Returns the row after `event`, or why the row stays as it is.
pub fn apply(row: &InstanceRow, event: &Event) -> Result<InstanceRow, TransitionError> {
    use InstanceState::{Down, Joining, Leaving, Serving};
    let state = |state| Ok(InstanceRow { pool: row.pool.clone(), state });
    match (&row.state, event) {
        (Serving, Event::Drain(reason)) => state(Leaving(reason.clone())),
        (Leaving(old), Event::Drain(new)) if old == new => Ok(row.clone()),
        (Leaving(old) | Down(old, _) | Joining(old), Event::Drain(_)) => {
            Err(TransitionError::OtherReason(old.clone()))
        }
        // The move itself: the one write in which the instance changes its pool.
        (Leaving(Reason::Move(pool)), Event::Drained(_)) => {
            Ok(InstanceRow { pool: pool.clone(), state: Joining(Reason::Move(pool.clone())) })
        }
        (Leaving(reason), Event::Drained(boot)) => state(Down(reason.clone(), *boot)),
        // An instance that was only drained is back when it is seen; a maintained one must reboot.
        (Down(Reason::Wave(wave), old), Event::Seen(new)) if new > old => {
            state(Joining(Reason::Wave(wave.clone())))
        }
        (Joining(_), Event::Served) => state(Serving),
        (Leaving(_), Event::Cancel) => state(Serving),
        (Down(Reason::Operator, _), Event::Cancel) => state(Joining(Reason::Operator)),
        _ => Err(TransitionError::State),
    }
}

/// The row that tells daemons which instances' rows have changed, so that they need not read all.
#[derives(record)]
#[derive(Default)]
pub struct FeedRow {
    /// Counts the changes.
    pub sequence: u64,
    /// The newest changes, oldest first; the last has the number [`FeedRow::sequence`].
    pub recent: Vec<InstanceId>,
}

/// The changes that a feed keeps.
const FEED_KEPT: usize = 64;

/// What a reader of the feed has to read.
#[derives(record)]
pub enum FeedDelta {
    /// The rows of these instances.
    Changed(Vec<InstanceId>),
    /// All rows, since some changes are no longer kept.
    All,
}

impl FeedRow {
    /// Returns the feed after a change of `instance`.
    pub fn with_change(&self, instance: &InstanceId) -> FeedRow {
        let skipped = (self.recent.len() + 1).saturating_sub(FEED_KEPT);
        let kept = self.recent.iter().skip(skipped).cloned();
        let recent = kept.chain([instance.clone()]).collect();
        FeedRow { sequence: self.sequence + 1, recent }
    }

    /// Returns what a reader has to read that has read all up to `sequence`.
    pub fn changes_since(&self, sequence: u64) -> FeedDelta {
        let missed = self.sequence.saturating_sub(sequence) as usize;
        if missed > self.recent.len() {
            return FeedDelta::All;
        }
        FeedDelta::Changed(self.recent[self.recent.len() - missed..].to_vec())
    }
}

/// Why an instance is unavailable, as far as the budget cares.
#[derives(value)]
pub enum Cause {
    /// It failed on its own.
    Failure,
    /// It was taken out on purpose.
    Planned,
}

/// The row of a pool: its instances that are unavailable, and why.
#[derives(record)]
#[derive(Default)]
pub struct PoolRow {
    /// The unavailable instances.
    pub unavailable: BTreeMap<InstanceId, Cause>,
}

/// The members of a pool as far as the budget cares.
#[derives(record)]
pub struct PoolView {
    /// The budget: how many instances may be unavailable at once.
    pub unavailable_max: u32,
    /// The failure domain of each instance of the pool.
    pub domains: BTreeMap<InstanceId, FailureDomain>,
}

/// Why an instance may not go down now.
#[derives(record)]
pub enum Denied {
    /// The instance is not in the pool.
    NotInPool,
    /// So many are unavailable that losing a whole failure domain would break the budget.
    Budget {
        /// The instances that would be unavailable.
        unavailable: u32,
        /// The instances kept in hand for a failure domain.
        reserve: u32,
        /// The budget.
        unavailable_max: u32,
    },
    /// Instances of another failure domain are down on purpose.
    OtherDomain(FailureDomain),
}

/// Returns the pool's row with `instance` down on purpose, or why that must wait.
///
/// After it, any one failure domain can fail and the budget still holds.
pub fn plan_outage(row: &PoolRow, view: &PoolView, instance: &str) -> Result<PoolRow, Denied> {
    let domain = view.domains.get(instance).ok_or(Denied::NotInPool)?;
    if row.unavailable.get(instance) == Some(&Cause::Planned) {
        return Ok(row.clone());
    }
    for (other, cause) in &row.unavailable {
        let other_domain = view.domains.get(other);
        if *cause == Cause::Planned && other_domain.is_some_and(|other| other != domain) {
            return Err(Denied::OtherDomain(other_domain.cloned().unwrap_or_default()));
        }
    }
    let mut next = row.clone();
    next.unavailable.insert(instance.into(), Cause::Planned);
    let unavailable = next.unavailable.len() as u32;
    let reserve = reserve(&next, view);
    if unavailable + reserve > view.unavailable_max {
        let unavailable_max = view.unavailable_max;
        return Err(Denied::Budget { unavailable, reserve, unavailable_max });
    }
    Ok(next)
}

/// Returns the most available instances that one failure domain has.
pub fn reserve(row: &PoolRow, view: &PoolView) -> u32 {
    let mut available: BTreeMap<&FailureDomain, u32> = BTreeMap::new();
    for (instance, domain) in &view.domains {
        if !row.unavailable.contains_key(instance) {
            *available.entry(domain).or_default() += 1;
        }
    }
    available.values().copied().max().unwrap_or(0)
}

/// Returns the pool's row with `instance` failed; a failure is counted whatever the budget says.
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
