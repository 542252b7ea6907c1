//! Which operation fails next, and how.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use wasabiswitch_derive::derives;

/// An operation of the platform.
#[derives(value)]
pub enum Operation {
    /// Reading rows by key.
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
    /// Talking to a worker.
    Sync,
    /// Rebooting an instance.
    Reboot,
    /// Reading the directory of the users' workers.
    ReadDirectory,
    /// Starting a task.
    Start,
    /// Stopping a task.
    Stop,
    /// Renewing the leases of a worker, and asking what runs and has ended there.
    Hold,
    /// Moving an instance to another pool.
    Move,
    /// Taking an instance down for upkeep.
    Maintenance,
    /// Telling that a wave is done.
    ReportWave,
}

impl Operation {
    /// All operations.
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

/// How an operation fails.
#[derives(value)]
pub enum Fault {
    /// It is refused before it takes effect.
    Refuse,
    /// It never takes effect and is never answered.
    Hang,
    /// It takes effect and is answered after a delay.
    Slow(Duration),
    /// It takes effect at once and is answered after a delay.
    SlowResponse(Duration),
    /// It takes effect and its answer is lost.
    LostResponse,
    /// It is delivered twice.
    DuplicateDelivery,
    /// A read is answered from the past.
    StaleRead,
    /// It is not answered, and takes effect after a delay, whatever its sender does meanwhile.
    LateDelivery(Duration),
}

/// Which calls of an operation a fault applies to.
#[derives(record)]
pub struct FaultTarget {
    /// The operation.
    pub operation: Operation,
    /// Only calls whose first key starts with this.
    pub prefix: String,
    /// How many such calls pass before.
    pub skip: u32,
    /// How many such calls fail; `u32::MAX` for all.
    pub times: u32,
}

#[derive(Debug, Default)]
struct Plan {
    faults: Vec<(FaultTarget, Fault)>,
    injected_count: u64,
}

/// The faults to come; clones share their plan.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    plan: Arc<Mutex<Plan>>,
}

impl Faults {
    fn plan(&self) -> MutexGuard<'_, Plan> {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the next `times` calls of an operation fail.
    pub fn inject(&self, operation: Operation, fault: Fault, times: u32) {
        self.inject_for(FaultTarget { operation, prefix: String::new(), skip: 0, times }, fault);
    }

    /// Makes certain calls fail.
    pub fn inject_for(&self, calls: FaultTarget, fault: Fault) {
        self.plan().faults.push((calls, fault));
    }

    /// Makes every operation fail until [`Faults::clear`].
    pub fn outage(&self, fault: Fault) {
        for operation in Operation::ALL {
            self.inject(operation, fault, u32::MAX);
        }
    }

    /// Ends all faults.
    pub fn clear(&self) {
        self.plan().faults.clear();
    }

    /// Returns how many calls have failed as planned.
    pub fn injected_count(&self) -> u64 {
        self.plan().injected_count
    }

    /// Takes the fault of a call whose first key is `key`.
    pub(crate) fn next(&self, operation: Operation, key: &str) -> Option<Fault> {
        let mut plan = self.plan();
        let applies =
            |calls: &FaultTarget| calls.operation == operation && key.starts_with(&calls.prefix);
        let index = plan.faults.iter().position(|(calls, _)| applies(calls))?;
        let (calls, fault) = &mut plan.faults[index];
        let fault = *fault;
        plan.injected_count += u64::from(calls.skip == 0);
        let (calls, _) = &mut plan.faults[index];
        if calls.skip > 0 {
            calls.skip -= 1;
            return None;
        }
        if calls.times != u32::MAX {
            calls.times -= 1;
            if calls.times == 0 {
                plan.faults.remove(index);
            }
        }
        Some(fault)
    }
}
