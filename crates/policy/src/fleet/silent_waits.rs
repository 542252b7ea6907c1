//! Waits for the silent workers of a takeover, and the evidence that ends them.
//!
//! | evidence | where it is from | what it ends |
//! |---|---|---|
//! | a report under the new fence | the worker | the wait: the report lists all runs, and the worker refuses orders of the predecessor from then on |
//! | a record of what the worker may run | the store, see [`silent_records`](super::silent_records) | the wait of the tasks that the record does not name |
//! | [`ListedState::Ended`] | a list of instances that was requested during the term, whatever its age | the wait: the worker does not come back |
//! | [`ListedState::Down`] | a list that was requested after the last order of the predecessor can have arrived | the wait: nothing runs, and nothing can begin |
//! | the end of the last lease | the clock | the wait, whatever is known of the worker |
//!
//! Silence and a missing entry in the directory end no wait. See docs/design/silent-workers.md.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::maintenance::Instance;
use super::state::Engine;
use super::worker_ends::{ListedInstances, ListedState, WorkerPlace};
use crate::ids::InstanceId;

/// Evidence on which tasks wait for a silent worker, or wait no longer.
#[derives(value)]
pub enum WaitEvidence {
    /// State of the worker that a list of instances shows.
    List {
        /// State that the list shows.
        state: ListedState,
        /// Time at which the list was requested.
        requested: Instant,
    },
    /// No list of instances has been read yet.
    NoList,
    /// The worker has reported under this owner's fence.
    Report,
    /// The last lease that an order of the predecessor can have extended has ended.
    LastLease,
}

/// Change in what tasks wait for, for the log.
#[derives(record)]
pub struct WaitChange {
    /// Silent worker.
    pub place: WorkerPlace,
    /// Evidence of the change.
    pub evidence: WaitEvidence,
    /// Time until which tasks wait for the worker if there is no further evidence; `None` if they wait no longer.
    pub until: Option<Instant>,
}

impl WaitChange {
    /// Describes for the log the worker, the evidence with its age, and the time that is left.
    pub fn describe(&self, now: Instant) -> String {
        let WorkerPlace { worker, pool, instance, .. } = &self.place;
        let instance = instance.as_deref().unwrap_or("unknown");
        let evidence = match self.evidence {
            WaitEvidence::List { state, requested } => format!(
                "{} list_age_ms={}",
                state.as_str(),
                now.saturating_duration_since(requested).as_millis()
            ),
            WaitEvidence::NoList => "no-list".to_owned(),
            WaitEvidence::Report => "report".to_owned(),
            WaitEvidence::LastLease => "last-lease".to_owned(),
        };
        let left = self.until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        format!(
            "worker={worker} pool={pool} instance={instance} evidence={evidence} left_ms={}",
            left.as_millis()
        )
    }
}

/// Maximum number of changes that are kept for the log.
const WAIT_CHANGES_MAX: usize = 256;

impl Engine {
    /// Notes the instance of each silent worker that a list of instances shows, and what the list shows of the worker.
    ///
    /// `requested` is the time at which the list was requested.
    pub fn locate_silent_workers(
        &mut self,
        instances: &BTreeMap<InstanceId, Instance>,
        requested: Instant,
    ) {
        let silent: BTreeSet<InstanceId> = self.silent_workers.ids().cloned().collect();
        for (id, instance) in instances {
            if let Some(worker) = instance.worker.as_ref().filter(|worker| silent.contains(*worker))
            {
                self.silent_workers.instances.insert(worker.clone(), id.clone());
            }
        }
        let places: Vec<WorkerPlace> = self.silent_workers.places().collect();
        let listed = ListedInstances::new(instances);
        for place in places {
            let state = listed.state_of(&place);
            let known = self.silent_workers.listed_states.insert(place.worker.clone(), state);
            if known != Some(state) && !state.has_ended() {
                self.report_wait(place, WaitEvidence::List { state, requested }, true);
            }
        }
    }

    /// Ends the wait for the silent workers that have [ended](ListedState::Ended) according to the last list of instances, and for
    /// those that are down once no order of the predecessor can arrive after a restart.
    pub(super) fn forget_ended_silent_workers(&mut self, requested: Instant) {
        let silent = &self.silent_workers;
        let have_orders_arrived = silent.have_orders_arrived(requested);
        let has_ended = |place: &WorkerPlace| match silent.listed_states.get(&place.worker) {
            Some(ListedState::Ended(_)) => true,
            Some(ListedState::Down) => have_orders_arrived,
            Some(ListedState::Running | ListedState::NoEvidence) | None => false,
        };
        let ended: Vec<WorkerPlace> = silent.places().filter(has_ended).collect();
        for place in &ended {
            let state = self.silent_workers.listed_states[&place.worker];
            self.silent_workers.remove(&place.worker);
            self.report_wait(place.clone(), WaitEvidence::List { state, requested }, false);
            if let Some(key) = self.worker_key(&place.worker) {
                self.workers[key].listed = false;
                self.remove_worker(key);
            }
        }
        if !ended.is_empty() {
            self.update_unconfirmed_charges();
        }
    }

    /// Reports for the log the silent workers of a takeover without a list of instances.
    pub fn report_unlocated_silent_workers(&mut self) {
        let places: Vec<WorkerPlace> = self.silent_workers.places().collect();
        for place in places {
            self.report_wait(place, WaitEvidence::NoList, true);
        }
    }

    /// Reports that tasks wait for a silent worker, or wait no longer.
    pub(super) fn report_wait(
        &mut self,
        place: WorkerPlace,
        evidence: WaitEvidence,
        is_waiting: bool,
    ) {
        let until = self.silent_workers.until.filter(|_| is_waiting);
        if self.wait_changes.len() < WAIT_CHANGES_MAX {
            self.wait_changes.push(WaitChange { place, evidence, until });
        }
    }

    /// Takes the changes since the last call in what tasks wait for, for the log.
    pub fn take_wait_changes(&mut self) -> Vec<WaitChange> {
        std::mem::take(&mut self.wait_changes)
    }

    /// Returns whether a list of instances can end the wait for a silent worker.
    pub fn has_silent_workers(&self) -> bool {
        !self.silent_workers.is_empty()
    }
}
