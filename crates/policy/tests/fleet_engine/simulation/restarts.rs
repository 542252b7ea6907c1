//! Restarts of the simulated workers under their ids, and the new entries in the directory.

use wasabiswitch_policy::fleet::state::WorkerKey;

use super::Simulation;

impl Simulation {
    /// Restarts a worker as a new incarnation and closes its connections.
    pub fn crash(&mut self, id: &str) {
        let incarnation = self.unix_ms();
        let worker = self.workers.get_mut(id).expect("the worker exists");
        worker.crash_as(incarnation.max(worker.entry.incarnation + 1), self.now);
        self.disconnected.insert(id.into());
        self.trace_worker(&id.into(), "restarts".to_owned());
    }

    /// Restarts a worker as [`Simulation::crash`] does, and lists its new entry once the owner has its first report.
    ///
    /// The owner does not learn of the restart from the directory. A worker that crashes without this keeps the entry of its former
    /// incarnation in the directory of the present owner, as one does that is cut off from the store.
    pub fn restart(&mut self, id: &str) {
        self.crash(id);
        self.renewed_entries.insert(id.into());
    }

    /// Restarts a worker between two requests, so that none fails, and lists its new entry once the owner has its first report.
    pub fn restart_between_requests(&mut self, id: &str) {
        self.workers.get_mut(id).expect("the worker exists").crash(self.now);
        self.renewed_entries.insert(id.into());
    }

    /// Lists the entry of a restarted worker if it is [to be renewed](Simulation::restart) and the owner has a report of it.
    pub fn renew_entry(&mut self, key: WorkerKey) {
        let worker = &self.engine.workers[key];
        let Some(fake) = self.workers.get(&worker.entry.id) else { return };
        if self.renewed_entries.contains(&worker.entry.id)
            && worker.incarnation == fake.entry.incarnation
            && !worker.has_own_entry()
        {
            self.engine.upsert_worker(fake.entry.clone(), self.now);
        }
    }
}
