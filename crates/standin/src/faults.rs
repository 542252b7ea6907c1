//! Which operation fails next, and how.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
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
}

impl Operation {
    /// All operations.
    pub const ALL: [Operation; 8] = [
        Operation::Read,
        Operation::Scan,
        Operation::Commit,
        Operation::GetObject,
        Operation::PutObject,
        Operation::List,
        Operation::Sync,
        Operation::Reboot,
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
    EffectThenSlow(Duration),
    /// It takes effect and its answer is lost.
    EffectWithoutAnswer,
    /// It is delivered twice.
    Twice,
    /// A read is answered from the past.
    Stale,
}

#[derive(Debug, Default)]
struct Plan {
    // How many more times each operation fails in which way; `u32::MAX` stands for always.
    counted: HashMap<Operation, Vec<(Fault, u32)>>,
}

/// The faults to come; clones share their plan.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    plan: Arc<Mutex<Plan>>,
}

impl Faults {
    /// Makes the next `times` calls of an operation fail.
    pub fn inject(&self, operation: Operation, fault: Fault, times: u32) {
        let mut plan = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
        plan.counted.entry(operation).or_default().push((fault, times));
    }

    /// Makes every operation fail until [`Faults::clear`].
    pub fn outage(&self, fault: Fault) {
        for operation in Operation::ALL {
            self.inject(operation, fault, u32::MAX);
        }
    }

    /// Ends all faults.
    pub fn clear(&self) {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner).counted.clear();
    }

    /// Takes the next fault of an operation.
    pub(crate) fn next(&self, operation: Operation) -> Option<Fault> {
        let mut plan = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
        let faults = plan.counted.get_mut(&operation)?;
        let (fault, times) = faults.first_mut()?;
        let fault = *fault;
        if *times != u32::MAX {
            *times -= 1;
            if *times == 0 {
                faults.remove(0);
            }
        }
        Some(fault)
    }
}
