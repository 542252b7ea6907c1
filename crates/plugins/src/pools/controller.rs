//! Fleet controller: advances each instance that is not serving to its next state.
//!
//! It runs on the daemon that holds the role `fleet`. It decides from the rows and the platform's list
//! alone, so that another daemon can continue from any state.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::platform::{SyncRequest, TaskState};
use wasabiswitch_kernel::tables::Subject;
use wasabiswitch_policy::ids::{BootId, InstanceId, PoolId};
use wasabiswitch_policy::instance::{
    Cause, Event, InstanceRow, InstanceState, Reason, mark_available, mark_failed,
};

use super::rows::{RowChange, change_instance, change_pool};
use super::view::current_row;
use crate::membership::try_acquire_role;

/// Role of the daemon that runs the fleet controller.
pub const FLEET_ROLE: &str = "fleet";
/// Minimum time in the joining state before a listed instance serves again.
const JOIN_TIME_MIN: Duration = Duration::from_secs(2);
/// Interval at which the reboot of an instance is requested again.
const REBOOT_RETRY_INTERVAL: Duration = Duration::from_secs(60);

/// Returns the time after which every daemon either knows that an instance is leaving or admits no requests.
pub fn drain_propagation_time(kernel: &Kernel) -> Duration {
    kernel.settings.cut_off + super::READ_INTERVAL
}

/// Returns the maximum time for which a leaving instance may still have requests.
///
/// The deadline of a request is fixed at entry, so that the last request ends at the latest one deadline
/// of the pool's services after the last daemon knows that the instance is leaving.
pub fn drain_time_max(kernel: &Kernel, pool: &PoolId) -> Duration {
    let config = kernel.config();
    let services = config.config.services.values().filter(|service| service.pool == *pool);
    let longest = services.map(|service| service.deadline).max().unwrap_or_default();
    drain_propagation_time(kernel) + longest
}

/// An instance that is not serving, as known to this daemon.
struct OutOfServiceInstance {
    id: InstanceId,
    row: InstanceRow,
    boot: BootId,
    listed: bool,
    since: Instant,
}

pub(super) async fn tick(kernel: &Arc<Kernel>) {
    if !try_acquire_role(kernel, FLEET_ROLE).await {
        return;
    }
    record_availability_changes(kernel).await;
    for instance in out_of_service(kernel) {
        advance(kernel, &instance).await;
    }
}

fn out_of_service(kernel: &Kernel) -> Vec<OutOfServiceInstance> {
    let now = kernel.clock.now();
    let instances = kernel.tables.instances.lock();
    let out_of_service = instances.table.iter().filter_map(|(id, entry)| {
        let row = entry.row.clone().filter(|row| row.state != InstanceState::Serving)?;
        Some(OutOfServiceInstance {
            id: id.clone(),
            row,
            boot: entry.listed_boot,
            listed: entry.listed,
            since: entry.state_since.unwrap_or(now),
        })
    });
    out_of_service.collect()
}

async fn advance(kernel: &Kernel, instance: &OutOfServiceInstance) {
    let age = kernel.clock.now().saturating_duration_since(instance.since);
    match &instance.row.state {
        InstanceState::Serving => {}
        InstanceState::Leaving(_) => {
            let drain_time_elapsed = age >= drain_time_max(kernel, &instance.row.pool);
            if drain_time_elapsed && has_no_tasks(kernel, &instance.id).await {
                change(kernel, instance, Event::Drained(instance.boot), "drained").await;
            }
        }
        InstanceState::Down(Reason::Wave(_), boot) if instance.boot > *boot => {
            if instance.listed {
                change(kernel, instance, Event::BootObserved(instance.boot), "rebooted").await;
            }
        }
        InstanceState::Down(Reason::Wave(_), _) => reboot(kernel, &instance.id, age).await,
        InstanceState::Down(_, _) => {}
        InstanceState::Joining(_) => {
            if instance.listed && age >= JOIN_TIME_MIN {
                change(kernel, instance, Event::Verified, "serves").await;
            }
        }
    }
}

/// Returns whether the worker reports no running task; a worker that does not answer counts as not
/// drained.
async fn has_no_tasks(kernel: &Kernel, instance: &InstanceId) -> bool {
    let call = (kernel.platform.sync_worker)((instance.clone(), SyncRequest::default()));
    match tokio::time::timeout(super::READ_INTERVAL, call).await {
        Ok(Ok(reply)) => !reply.tasks.iter().any(|task| task.state == TaskState::Running),
        _ => false,
    }
}

async fn reboot(kernel: &Kernel, instance: &InstanceId, age: Duration) {
    // The reboot is requested soon after the instance is down, and again at each interval until a new
    // boot is listed.
    let requests = age.as_secs() / REBOOT_RETRY_INTERVAL.as_secs();
    let since_request = age - REBOOT_RETRY_INTERVAL * requests as u32;
    if since_request <= super::READ_INTERVAL {
        let call = (kernel.platform.reboot)(instance.clone());
        let _ = tokio::time::timeout(super::READ_INTERVAL, call).await;
    }
}

async fn change(
    kernel: &Kernel,
    instance: &OutOfServiceInstance,
    event: Event,
    action: &'static str,
) {
    let outcome = change_instance(kernel, &instance.id, &event).await;
    let Ok(RowChange::Changed(row)) = outcome else { return };
    let reason = format!("it was {:?} and is {:?}", instance.row.state, row.state);
    let now = kernel.clock.now();
    let numbers = vec![("boot", instance.boot as i64)];
    let mut journal = kernel.tables.journal.lock();
    journal.record(now, Subject::Instance, &instance.id, action, reason, numbers);
}

/// Records instances that left the list unplanned as failed in the rows of their pools, and failed
/// instances that are listed again as available.
async fn record_availability_changes(kernel: &Kernel) {
    let (missing, recovered) = availability_changes(kernel);
    for id in missing {
        let Some(row) = current_row(kernel, &id) else { continue };
        let is_recorded = {
            let instances = kernel.tables.instances.lock();
            let pool_row = instances.pools.get(&row.pool);
            pool_row.is_some_and(|pool_row| pool_row.unavailable.contains_key(&id))
        };
        if !is_recorded {
            let _ = change_pool(kernel, &row.pool, |pool_row| mark_failed(pool_row, &id)).await;
        }
    }
    for (pool, id) in recovered {
        let _ = change_pool(kernel, &pool, |pool_row| mark_available(pool_row, &id)).await;
    }
}

/// Returns the instances that are not listed, and those that are listed but still recorded as failed.
fn availability_changes(kernel: &Kernel) -> (Vec<InstanceId>, Vec<(PoolId, InstanceId)>) {
    let instances = kernel.tables.instances.lock();
    if !instances.list_read {
        return (Vec::new(), Vec::new());
    }
    let missing = instances.table.iter().filter(|(_, entry)| !entry.listed);
    let missing = missing.map(|(id, _)| id.clone()).collect();
    let failed = instances.pools.iter().flat_map(|(pool, pool_row)| {
        let failed = pool_row.unavailable.iter().filter(|(_, cause)| **cause == Cause::Failure);
        failed.map(move |(id, _)| (pool.clone(), id.clone()))
    });
    let is_listed = |id: &InstanceId| instances.table.by_id(id).is_some_and(|entry| entry.listed);
    let recovered = failed.filter(|(_, id)| is_listed(id)).collect();
    (missing, recovered)
}
