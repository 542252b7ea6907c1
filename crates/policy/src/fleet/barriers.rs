//! Barriers: stops that the next incarnation of a worker has to acknowledge, so that no start in doubt begins there.

use std::collections::BTreeMap;
use std::time::Instant;

use super::lease::LeaseOrder;
use super::outcomes::DELIVERY_DELAY_MAX;
use super::reports::{JobEvent, describe_run};
use super::state::{Engine, Orphan, TaskName, WorkerKey};

/// Returns the barriers for a new incarnation of a worker: stops that it has to acknowledge, so that no start
/// whose answer was lost takes effect there.
pub(super) fn barrier_stops(
    starts_in_doubt: &BTreeMap<(TaskName, u32), LeaseOrder>,
    now: Instant,
) -> BTreeMap<(TaskName, u32), Orphan> {
    let open = starts_in_doubt.iter().filter(|(_, order)| order.arrives_by > now);
    open.map(|(run, order)| (run.clone(), Orphan::barrier(order.arrives_by))).collect()
}

impl Engine {
    /// Reports an event for each start in doubt that the new incarnation of a worker may still carry out.
    pub(super) fn report_barriers(
        &self,
        key: WorkerKey,
        barriers: &BTreeMap<(TaskName, u32), Orphan>,
        events: &mut Vec<JobEvent>,
    ) {
        let Some(worker) = self.workers.get(key) else { return };
        for (name, attempt) in barriers.keys() {
            events.push(JobEvent {
                job: name.job.clone(),
                kind: "start in doubt at a restarted worker",
                detail: format!(
                    "{} incarnation={}",
                    describe_run(name, *attempt, &worker.entry.id),
                    worker.incarnation
                ),
            });
        }
    }

    /// Blocks the tasks whose starts are in doubt until the new incarnation of their worker has the barrier,
    /// or the starts can no longer be delivered.
    pub(super) fn block_until_barriers(
        &mut self,
        barriers: &BTreeMap<(TaskName, u32), Orphan>,
        now: Instant,
    ) {
        for (name, _) in barriers.keys() {
            let Some(task) = self.task_ref(name) else { continue };
            if let Some(entry) = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task)) {
                entry.barred_until = Some(now + DELIVERY_DELAY_MAX);
            }
        }
    }
}
