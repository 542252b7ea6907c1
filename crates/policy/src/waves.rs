//! Maintenance waves: one instance, then more, never beyond the budget, and a halt with a reason.
//!
//! The wave's row holds all of its progress, so that any daemon can go on with it. Each step is
//! decided from the row and from what the instances' rows say now; nothing is remembered elsewhere,
//! so a controller that dies between two writes leaves nothing undone that the next step won't see.

use std::collections::{BTreeMap, BTreeSet};

use wasabiswitch_derive::derives;

use crate::ids::{FailureDomain, InstanceId, PoolId};

/// Whether a wave goes on.
#[derives(record)]
pub enum WaveState {
    /// It goes on.
    Running,
    /// It stopped by itself, and this is why.
    Halted(String),
    /// An operator stopped it.
    Stopped,
    /// Every instance has been maintained.
    Finished,
}

/// The row of a wave.
#[derives(record)]
pub struct WaveRow {
    /// The pool that is maintained.
    pub pool: PoolId,
    /// The instances still to do, in order.
    pub waiting: Vec<InstanceId>,
    /// The instances being done.
    pub active: BTreeSet<InstanceId>,
    /// The instances done, each once.
    pub done: BTreeSet<InstanceId>,
    /// The instances that did not come back in time.
    pub failed: BTreeSet<InstanceId>,
    /// How many may be active at once; doubles after each clean batch.
    pub batch: u32,
    /// How many have come back since the batch last grew.
    pub clean: u32,
    /// Whether the wave goes on.
    pub state: WaveState,
}

/// What an instance of the pool looks like to a wave.
#[derives(value)]
pub enum MaintenanceStatus {
    /// It serves.
    Serving,
    /// It is out for this wave and on its way.
    InProgress,
    /// It has been out for this wave for too long, or came back broken.
    Failed,
    /// It is out for another reason; the wave waits for it.
    OutForOtherReason,
    /// It is no longer in the pool.
    LeftPool,
}

/// What to do next.
#[derives(record)]
pub enum WaveStep {
    /// Write this row; nothing else is due.
    Advance(WaveRow),
    /// Drain this instance if the budget allows it; the row already counts it as active.
    Drain(InstanceId, WaveRow),
    /// Nothing can be done now.
    Wait,
}

/// Creates the row of a new wave over `instances`, which go domain by domain, idle ones first.
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
        clean: 0,
        state: WaveState::Running,
    }
}

/// The failures at which a wave halts, whatever its size.
const FAILED_MAX: usize = 2;

/// Decides the next step of a wave.
///
/// `status` tells what each instance looks like now; `may_drain` whether the pool's budget would let
/// it go down.
pub fn next_step(
    row: &WaveRow,
    status: impl Fn(&InstanceId) -> MaintenanceStatus,
    may_drain: impl Fn(&InstanceId) -> bool,
) -> WaveStep {
    if row.state != WaveState::Running {
        return WaveStep::Wait;
    }
    let settled = settle(row, &status);
    if settled != *row {
        return WaveStep::Advance(settled);
    }
    if row.active.len() as u32 >= row.batch {
        return WaveStep::Wait;
    }
    let next = row
        .waiting
        .iter()
        .find(|instance| status(instance) == MaintenanceStatus::Serving && may_drain(instance));
    match next {
        Some(instance) => WaveStep::Drain(instance.clone(), activate(row, instance)),
        None => WaveStep::Wait,
    }
}

fn activate(row: &WaveRow, instance: &InstanceId) -> WaveRow {
    let mut next = row.clone();
    next.waiting.retain(|waiting| waiting != instance);
    next.active.insert(instance.clone());
    next
}

/// Books what became of the active instances, and of waiting ones that left the pool.
fn settle(row: &WaveRow, status: &impl Fn(&InstanceId) -> MaintenanceStatus) -> WaveRow {
    let mut next = row.clone();
    for instance in &row.active {
        match status(instance) {
            MaintenanceStatus::Serving => {
                next.active.remove(instance);
                next.done.insert(instance.clone());
                next.clean += 1;
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
    if next.clean >= next.batch {
        next.batch = next.batch.saturating_mul(2);
        next.clean = 0;
    }
    next.state = state_after(&next);
    next
}

fn state_after(row: &WaveRow) -> WaveState {
    let canary_failed = row.done.is_empty() && !row.failed.is_empty();
    if canary_failed {
        return WaveState::Halted("the first instance did not come back".to_owned());
    }
    if row.failed.len() >= FAILED_MAX {
        let names: Vec<&str> = row.failed.iter().map(|instance| &**instance).collect();
        return WaveState::Halted(format!("instances did not come back: {}", names.join(", ")));
    }
    if row.waiting.is_empty() && row.active.is_empty() {
        return WaveState::Finished;
    }
    WaveState::Running
}

/// Returns the fewest rounds in which `instances` can be maintained when `at_once` may be down.
pub fn rounds_min(instances: u32, at_once: u32) -> u32 {
    instances.div_ceil(at_once.max(1))
}
