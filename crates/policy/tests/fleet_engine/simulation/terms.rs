//! Terms of the simulated owners: takeovers, with the list of instances that the successor reads and with an overlap.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wasabiswitch_policy::fleet::Engine;
use wasabiswitch_policy::fleet::maintenance::Instance;
use wasabiswitch_policy::fleet::ownership::{OWNER_LEASE, OWNER_LEASE_MARGIN};
use wasabiswitch_policy::fleet::silent_records::StoredSilentWorker;
use wasabiswitch_policy::fleet::state::WorkerKey;
use wasabiswitch_policy::ids::InstanceId;

use super::{Simulation, StaleOwner};
use crate::fixtures::limits;

impl Simulation {
    /// Starts the term of a new owner; orders of the old one remain in flight.
    pub fn take_over(&mut self) {
        self.take_over_with(Some(&BTreeMap::new()));
    }

    /// Starts the term of a new owner that reads the given list of instances; `None` means that the read failed.
    pub fn take_over_with(&mut self, instances: Option<&BTreeMap<InstanceId, Instance>>) {
        self.stale_owner = None;
        self.begin_term(instances, self.now);
    }

    /// Lists all workers in the directory again.
    pub fn list_all_workers(&mut self) {
        for id in std::mem::take(&mut self.unlisted) {
            self.engine.upsert_worker(self.workers[&id].entry.clone(), self.now);
        }
    }

    /// Starts the term of a new owner while the old one, whose writes are fenced, sends orders for `overlap`.
    ///
    /// The new owner assumes that its predecessor sends its last order at `predecessor_deadline`.
    pub fn take_over_with_overlap(&mut self, overlap: Duration, predecessor_deadline: Instant) {
        self.take_over_with_overlap_and_list(overlap, predecessor_deadline, &BTreeMap::new());
    }

    /// Starts a term as [`Simulation::take_over_with_overlap`] does, of an owner that reads the given list of instances.
    pub fn take_over_with_overlap_and_list(
        &mut self,
        overlap: Duration,
        predecessor_deadline: Instant,
        instances: &BTreeMap<InstanceId, Instance>,
    ) {
        let mut engine = std::mem::replace(&mut self.engine, Engine::new(limits(), 0));
        // The old owner acts until its lease has expired.
        engine.confirmed_sent = Some(self.now + overlap - OWNER_LEASE - OWNER_LEASE_MARGIN);
        self.engine.fence = engine.fence;
        let next_report = std::mem::take(&mut self.next_report);
        self.stale_owner = Some(StaleOwner { engine, next_report, until: self.now + overlap });
        self.begin_term(Some(instances), predecessor_deadline);
    }

    pub(super) fn begin_term(
        &mut self,
        instances: Option<&BTreeMap<InstanceId, Instance>>,
        predecessor_deadline: Instant,
    ) {
        let mut engine = Engine::new(limits(), self.engine.fence + 1);
        engine.confirmed_sent = Some(self.now);
        engine.apply_config(&self.config);
        for (id, (row, progress)) in &self.stored_jobs {
            match progress {
                Some(progress) if self.retired.contains(id) => {
                    engine.restore_retired(id.clone(), progress.phase, self.now);
                }
                _ => engine.restore(row.clone(), progress.clone(), self.now, 0),
            }
        }
        for (id, row) in &self.stored_start_pools {
            engine.restore_start_pools(id, row);
        }
        for (id, version) in &self.job_versions {
            engine.restore_row_version(id, *version);
        }
        let records = self.stored_silent_workers.iter().map(|(worker, (version, row))| {
            let (worker, version, row) = (worker.clone(), *version, Some(row.clone()));
            StoredSilentWorker { worker, version, row }
        });
        engine.restore_silent_records(records.collect());
        let listed = self.workers.values().filter(|w| !self.unlisted.contains(&w.entry.id));
        for worker in listed {
            engine.upsert_worker(worker.entry.clone(), self.now);
        }
        self.engine = engine;
        self.newest_fence = self.engine.fence;
        self.next_report.clear();
        let keys: Vec<WorkerKey> = self.engine.workers.keys().collect();
        for key in keys {
            self.poll_worker(key, false);
        }
        if let Some(instances) = instances {
            self.engine.remove_replaced_workers(instances);
        }
        let unlisted = self.engine.find_unlisted_workers(instances);
        self.engine.mark_unconfirmed(&unlisted, predecessor_deadline, self.now);
    }
}
