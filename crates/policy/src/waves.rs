//! Maintenance waves, which take the instances of a pool out of service in growing batches.
//!
//! A wave begins with one instance as a canary, never exceeds the pool's availability budget, and
//! halts with a reason when instances fail to return. All progress is stored in the wave's row, and
//! each step is decided from that row and the current rows of the instances alone. Any daemon can
//! therefore continue a wave, and a controller that fails between two writes leaves no unfinished
//! work that the next step would miss.

use std::collections::{BTreeMap, BTreeSet};

use wasabiswitch_derive::derives;

use crate::ids::{FailureDomain, InstanceId, PoolId};

/// State of a wave.
#[derives(record)]
pub enum WaveState {
    /// In progress.
    Running,
    /// Halted automatically, for the reason given.
    Halted(String),
    /// Stopped by an operator.
    Stopped,
    /// Complete: no instance is waiting or active.
    Finished,
}

/// Stored row of a wave.
#[derives(record)]
pub struct WaveRow {
    /// Pool under maintenance.
    pub pool: PoolId,
    /// Instances not yet started, in order of maintenance.
    pub waiting: Vec<InstanceId>,
    /// Instances under maintenance.
    pub active: BTreeSet<InstanceId>,
    /// Instances that have returned to service.
    pub done: BTreeSet<InstanceId>,
    /// Instances that did not return in time.
    pub failed: BTreeSet<InstanceId>,
    /// Maximum number of active instances; it doubles each time that as many instances have
    /// returned.
    pub batch: u32,
    /// Number of instances that have returned since the batch size last grew.
    pub returned: u32,
    /// State of the wave.
    pub state: WaveState,
}

/// Maintenance status of an instance, from the point of view of one wave.
#[derives(value)]
pub enum MaintenanceStatus {
    /// Serving the pool.
    Serving,
    /// Out of service for this wave, within the time limit.
    InProgress,
    /// Out of service for this wave beyond the time limit.
    Failed,
    /// Out of service for another reason; the wave waits until it serves again.
    OutForOtherReason,
    /// No longer in the pool.
    LeftPool,
}

/// Next step of a wave.
#[derives(record)]
pub enum WaveStep {
    /// Write this row.
    Advance(WaveRow),
    /// Drain this instance if the budget allows it, and write this row, which lists it as active.
    Drain(InstanceId, WaveRow),
    /// No step is possible now.
    Wait,
}

/// Returns the row of a new wave over `instances`, each with its failure domain and load.
///
/// Failure domains follow one another, the least loaded first, and so do the instances within a
/// domain.
pub fn start(pool: PoolId, instances: &BTreeMap<InstanceId, (FailureDomain, u32)>) -> WaveRow {
    let mut load_by_domain: BTreeMap<&FailureDomain, u32> = BTreeMap::new();
    for (domain, load) in instances.values() {
        *load_by_domain.entry(domain).or_default() += load;
    }
    let mut order: Vec<&InstanceId> = instances.keys().collect();
    order.sort_by_key(|instance| {
        let (domain, load) = &instances[*instance];
        (load_by_domain[domain], domain.clone(), *load, (*instance).clone())
    });
    WaveRow {
        pool,
        waiting: order.into_iter().cloned().collect(),
        active: BTreeSet::new(),
        done: BTreeSet::new(),
        failed: BTreeSet::new(),
        batch: 1,
        returned: 0,
        state: WaveState::Running,
    }
}

/// Number of failed instances at which a wave halts, whatever its size.
const FAILURES_TO_HALT: usize = 2;

/// Returns the next step of a wave.
///
/// `status` returns the current status of an instance, and `may_drain` whether the pool's budget
/// allows its outage.
pub fn next_step(
    row: &WaveRow,
    status: impl Fn(&InstanceId) -> MaintenanceStatus,
    may_drain: impl Fn(&InstanceId) -> bool,
) -> WaveStep {
    if row.state != WaveState::Running {
        return WaveStep::Wait;
    }
    let updated = apply_statuses(row, &status);
    if updated != *row {
        return WaveStep::Advance(updated);
    }
    if row.active.len() as u32 >= row.batch {
        return WaveStep::Wait;
    }
    let next = row
        .waiting
        .iter()
        .find(|instance| status(instance) == MaintenanceStatus::Serving && may_drain(instance));
    match next {
        Some(instance) => WaveStep::Drain(instance.clone(), with_active(row, instance)),
        None => WaveStep::Wait,
    }
}

fn with_active(row: &WaveRow, instance: &InstanceId) -> WaveRow {
    let mut next = row.clone();
    next.waiting.retain(|waiting| waiting != instance);
    next.active.insert(instance.clone());
    next
}

/// Returns the row updated from the current status of the active and waiting instances.
fn apply_statuses(row: &WaveRow, status: &impl Fn(&InstanceId) -> MaintenanceStatus) -> WaveRow {
    let mut next = row.clone();
    for instance in &row.active {
        match status(instance) {
            MaintenanceStatus::Serving => {
                next.active.remove(instance);
                next.done.insert(instance.clone());
                next.returned += 1;
            }
            MaintenanceStatus::Failed => {
                next.active.remove(instance);
                next.failed.insert(instance.clone());
            }
            MaintenanceStatus::LeftPool => {
                next.active.remove(instance);
            }
            MaintenanceStatus::InProgress | MaintenanceStatus::OutForOtherReason => {}
        }
    }
    next.waiting.retain(|instance| status(instance) != MaintenanceStatus::LeftPool);
    if next.returned >= next.batch {
        next.batch = next.batch.saturating_mul(2);
        next.returned = 0;
    }
    next.state = state_after(&next);
    next
}

fn state_after(row: &WaveRow) -> WaveState {
    let canary_failed = row.done.is_empty() && !row.failed.is_empty();
    if canary_failed {
        return WaveState::Halted("the first instance did not come back".to_owned());
    }
    if row.failed.len() >= FAILURES_TO_HALT {
        let names: Vec<&str> = row.failed.iter().map(|instance| &**instance).collect();
        return WaveState::Halted(format!("instances did not come back: {}", names.join(", ")));
    }
    if row.waiting.is_empty() && row.active.is_empty() {
        return WaveState::Finished;
    }
    WaveState::Running
}

/// Returns the minimum number of rounds to maintain `instances`, with at most `at_once` per round.
pub fn rounds_min(instances: u32, at_once: u32) -> u32 {
    instances.div_ceil(at_once.max(1))
}
