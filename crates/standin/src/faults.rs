//! Fault injection: the plan of faults, and the operations that it applies to.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use wasabiswitch_derive::derives;

/// An operation of the platform.
#[derives(value)]
pub enum Operation {
    /// Reading rows; on the users' platform also reading the operator's rows and asking for advice.
    Read,
    /// Scanning rows.
    Scan,
    /// Writing rows.
    Commit,
    /// Reading an object.
    GetObject,
    /// Writing an object.
    PutObject,
    /// Listing the instances.
    List,
    /// Exchanging requests and reports with a worker.
    Sync,
    /// Rebooting an instance.
    Reboot,
    /// Reading the directory of the workers of the users' platform.
    ReadDirectory,
    /// Starting a task.
    Start,
    /// Stopping a task, or throttling it.
    Stop,
    /// Renewing the lease of a worker, and reading its running tasks and ended runs.
    Hold,
    /// Moving an instance to another pool.
    Move,
    /// Taking an instance down for maintenance.
    Maintenance,
    /// Reporting the progress of a wave.
    ReportWave,
    /// Waiting for changes of the operator's rows.
    WatchOperator,
}

impl Operation {
    /// All operations that an outage affects; a feed that is open waits through it.
    pub const ALL: [Operation; 15] = [
        Operation::Read,
        Operation::Scan,
        Operation::Commit,
        Operation::GetObject,
        Operation::PutObject,
        Operation::List,
        Operation::Sync,
        Operation::Reboot,
        Operation::ReadDirectory,
        Operation::Start,
        Operation::Stop,
        Operation::Hold,
        Operation::Move,
        Operation::Maintenance,
        Operation::ReportWave,
    ];
}

/// A fault that is injected into one call of an operation.
#[derives(value)]
pub enum Fault {
    /// The operation is refused and has no effect.
    Refuse,
    /// The operation has no effect and no response.
    Hang,
    /// The operation takes effect after a delay, and its response follows at once.
    Slow(Duration),
    /// The operation takes effect at once, and its response follows after a delay.
    SlowResponse(Duration),
    /// The operation takes effect, and its response is lost.
    LostResponse,
    /// The operation is delivered twice, and the response is that of the second delivery.
    DuplicateDelivery,
    /// A read returns an older state.
    StaleRead,
    /// The operation has no response and takes effect after a delay, even if the caller has given up.
    LateDelivery(Duration),
}

/// Selects the calls of an operation that a fault applies to.
#[derives(record)]
pub struct FaultTarget {
    /// The operation.
    pub operation: Operation,
    /// Prefix that the first key of a call must have. On the users' platform, the key of a call to a worker is the
    /// worker's id, and all other calls have an empty key.
    pub prefix: String,
    /// Number of matching calls without the fault before the first call with it.
    pub skip: u32,
    /// Number of matching calls with the fault; `u32::MAX` for all.
    pub times: u32,
}

#[derive(Debug, Default)]
struct Plan {
    faults: Vec<(FaultTarget, Fault)>,
    injected_count: u64,
}

/// The planned faults; clones share one plan.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    plan: Arc<Mutex<Plan>>,
}

impl Faults {
    fn plan(&self) -> MutexGuard<'_, Plan> {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Plans a fault for the next `times` calls of an operation.
    pub fn inject(&self, operation: Operation, fault: Fault, times: u32) {
        self.inject_for(FaultTarget { operation, prefix: String::new(), skip: 0, times }, fault);
    }

    /// Plans a fault for the calls that `target` selects.
    pub fn inject_for(&self, target: FaultTarget, fault: Fault) {
        self.plan().faults.push((target, fault));
    }

    /// Plans a fault for all calls of all operations until [`Faults::clear`].
    pub fn outage(&self, fault: Fault) {
        for operation in Operation::ALL {
            self.inject(operation, fault, u32::MAX);
        }
    }

    /// Removes all planned faults.
    pub fn clear(&self) {
        self.plan().faults.clear();
    }

    /// Returns the number of faults that have been injected.
    pub fn injected_count(&self) -> u64 {
        self.plan().injected_count
    }

    /// Takes the fault planned for a call whose first key is `key`, if there is one.
    pub(crate) fn next(&self, operation: Operation, key: &str) -> Option<Fault> {
        let mut plan = self.plan();
        let applies =
            |target: &FaultTarget| target.operation == operation && key.starts_with(&target.prefix);
        let index = plan.faults.iter().position(|(target, _)| applies(target))?;
        let (target, fault) = &mut plan.faults[index];
        let fault = *fault;
        plan.injected_count += u64::from(target.skip == 0);
        let (target, _) = &mut plan.faults[index];
        if target.skip > 0 {
            target.skip -= 1;
            return None;
        }
        if target.times != u32::MAX {
            target.times -= 1;
            if target.times == 0 {
                plan.faults.remove(index);
            }
        }
        Some(fault)
    }
}
