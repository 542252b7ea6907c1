//! Evidence in a list of instances that a worker has ended.
//!
//! A worker that does not answer may run on behind a cut, may be down and restart under its id, or may have ended for good. Three
//! facts look alike and are not: its silence shows nothing; its absence from the directory shows only that it has not written its
//! entry for some seconds; and its absence from the list of instances shows an end only together with what its instance does
//! instead. This module says which of them a list shows. See docs/design/silent-workers.md.

use std::collections::{BTreeMap, BTreeSet};

use wasabiswitch_derive::derives;

use super::evacuation::RACK_LABEL;
use super::maintenance::{Instance, InstanceState};
use crate::ids::{FailureDomain, InstanceId, PoolId};

/// Place of a worker in the fleet, as it is known apart from a list of instances.
#[derives(record)]
pub struct WorkerPlace {
    /// Id of the worker.
    pub worker: InstanceId,
    /// Pool of the worker.
    pub pool: PoolId,
    /// Rack of the worker; `None` if it is not known.
    pub rack: Option<FailureDomain>,
    /// Instance on which an earlier list showed the worker; `None` if none did.
    pub instance: Option<InstanceId>,
}

/// State of a worker, as far as a list of instances shows it.
#[derives(value)]
pub enum ListedState {
    /// An instance runs the worker.
    Running,
    /// The list has no worker at all, or the entry of the worker's instance cannot be read, so that it is no evidence.
    NoEvidence,
    /// The worker's instance, or one that may be it, has no worker. The runs that had begun have ended, but the worker may restart
    /// there under its id, and then carries out orders that are delivered late.
    Down,
    /// The worker has ended with all its runs and does not come back.
    Ended(EndEvidence),
}

/// Evidence that a worker has ended and does not come back.
///
/// An instance runs one worker at a time, and a worker is of one instance. No list can take such evidence back, so that its age does
/// not matter: it holds from the time at which the list was requested.
#[derives(value)]
pub enum EndEvidence {
    /// The worker's instance is no longer listed.
    InstanceGone,
    /// The worker's instance runs another worker.
    OtherWorker,
    /// The worker's instance has left the pool, or is about to join another; a worker ends as soon as its instance moves.
    Moved,
    /// The worker's instance is down for maintenance, after which a new worker starts.
    Maintenance,
    /// No earlier list has shown the worker, and none of the listed instances without a worker can be its own.
    OnNoInstance,
}

impl ListedState {
    /// Returns the state as a value of the log.
    pub fn as_str(self) -> &'static str {
        match self {
            ListedState::Running => "running",
            ListedState::NoEvidence => "no-evidence",
            ListedState::Down => "down",
            ListedState::Ended(EndEvidence::InstanceGone) => "instance-gone",
            ListedState::Ended(EndEvidence::OtherWorker) => "other-worker",
            ListedState::Ended(EndEvidence::Moved) => "moved",
            ListedState::Ended(EndEvidence::Maintenance) => "maintenance",
            ListedState::Ended(EndEvidence::OnNoInstance) => "on-no-instance",
        }
    }

    /// Returns whether the worker has ended and does not come back.
    pub fn has_ended(self) -> bool {
        matches!(self, ListedState::Ended(_))
    }
}

/// List of instances, indexed by what says something of workers that it does not have.
pub struct ListedInstances<'a> {
    instances: &'a BTreeMap<InstanceId, Instance>,
    workers: BTreeSet<&'a InstanceId>,
    /// Instances that run no worker, which are few beside the others.
    without_worker: Vec<&'a Instance>,
}

impl<'a> ListedInstances<'a> {
    /// Indexes a list of instances.
    pub fn new(instances: &'a BTreeMap<InstanceId, Instance>) -> ListedInstances<'a> {
        ListedInstances {
            instances,
            workers: instances.values().filter_map(|instance| instance.worker.as_ref()).collect(),
            without_worker: instances.values().filter(|i| i.worker.is_none()).collect(),
        }
    }

    /// Returns what the list shows of a worker.
    pub fn state_of(&self, place: &WorkerPlace) -> ListedState {
        if self.workers.is_empty() {
            return ListedState::NoEvidence;
        }
        if self.workers.contains(&place.worker) {
            return ListedState::Running;
        }
        match &place.instance {
            Some(id) => self
                .instances
                .get(id)
                .map_or(ListedState::Ended(EndEvidence::InstanceGone), |i| state_without(i, place)),
            None => self.state_of_unlocated(place),
        }
    }

    /// Returns what the list shows of a worker that no earlier list has shown.
    ///
    /// Only an instance of its pool and its rack may restart it.
    fn state_of_unlocated(&self, place: &WorkerPlace) -> ListedState {
        let own = self.without_worker.iter().filter(|instance| may_be_on_rack(instance, place));
        let mut states = own.map(|instance| state_without(instance, place));
        states
            .find(|state| !state.has_ended())
            .unwrap_or(ListedState::Ended(EndEvidence::OnNoInstance))
    }
}

/// Returns what the instance of a worker shows if it does not run that worker.
fn state_without(instance: &Instance, place: &WorkerPlace) -> ListedState {
    if instance.worker.is_some() {
        return ListedState::Ended(EndEvidence::OtherWorker);
    }
    match instance.state {
        InstanceState::Unreadable => ListedState::NoEvidence,
        InstanceState::Moving => ListedState::Ended(EndEvidence::Moved),
        InstanceState::Maintenance => ListedState::Ended(EndEvidence::Maintenance),
        InstanceState::Up | InstanceState::Down if instance.pool != place.pool => {
            ListedState::Ended(EndEvidence::Moved)
        }
        InstanceState::Up | InstanceState::Down => ListedState::Down,
    }
}

/// Returns whether an instance may be on the rack of a worker.
fn may_be_on_rack(instance: &Instance, place: &WorkerPlace) -> bool {
    match (&place.rack, instance.labels.get(RACK_LABEL)) {
        (Some(rack), Some(label)) => rack.is_empty() || **rack == **label,
        _ => true,
    }
}
