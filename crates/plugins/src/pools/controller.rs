//! Takes each instance that is not serving through its steps.
//!
//! Only the daemon that holds the role `fleet` does this. It decides from the rows and the platform's
//! list, so that another daemon can go on at any step.

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

/// The role of the daemon that controls the fleet.
pub const FLEET_ROLE: &str = "fleet";
/// How long an instance must be seen to run before it serves again.
const JOIN_TIME: Duration = Duration::from_secs(2);
/// How long the platform may take to reboot an instance before it is asked again.
const REBOOT_AGAIN_AFTER: Duration = Duration::from_secs(60);

/// Returns how long it takes until every daemon knows that an instance leaves, or admits nothing.
pub fn drain_propagation_time(kernel: &Kernel) -> Duration {
    kernel.settings.cut_off + super::READ_EVERY
}

/// Returns how long an instance that leaves may still have requests.
///
/// Every request has a deadline that was fixed when it entered, so the last one ends that long after
/// the last daemon has noticed.
pub fn drain_time_max(kernel: &Kernel, pool: &PoolId) -> Duration {
    let config = kernel.config();
    let services = config.config.services.values().filter(|service| service.pool == *pool);
    let longest = services.map(|service| service.deadline).max().unwrap_or_default();
    drain_propagation_time(kernel) + longest
}

/// An instance with what this daemon knows of it.
struct Seen {
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
    note_failures(kernel).await;
    for seen in out_of_service(kernel) {
        advance(kernel, &seen).await;
    }
}

fn out_of_service(kernel: &Kernel) -> Vec<Seen> {
    let now = kernel.clock.now();
    let instances = kernel.tables.instances.lock();
    let out = instances.table.iter().filter_map(|(id, entry)| {
        let row = entry.row.clone().filter(|row| row.state != InstanceState::Serving)?;
        Some(Seen {
            id: id.clone(),
            row,
            boot: entry.listed_boot,
            listed: entry.listed,
            since: entry.state_since.unwrap_or(now),
        })
    });
    out.collect()
}

async fn advance(kernel: &Kernel, seen: &Seen) {
    let age = kernel.clock.now().saturating_duration_since(seen.since);
    match &seen.row.state {
        InstanceState::Serving => {}
        InstanceState::Leaving(_) => {
            let settled = age >= drain_time_max(kernel, &seen.row.pool);
            if settled && has_no_tasks(kernel, &seen.id).await {
                change(kernel, seen, Event::Drained(seen.boot), "drained").await;
            }
        }
        InstanceState::Down(Reason::Wave(_), boot) if seen.boot > *boot => {
            if seen.listed {
                change(kernel, seen, Event::Seen(seen.boot), "rebooted").await;
            }
        }
        InstanceState::Down(Reason::Wave(_), _) => reboot(kernel, &seen.id, age).await,
        InstanceState::Down(_, _) => {}
        InstanceState::Joining(_) => {
            if seen.listed && age >= JOIN_TIME {
                change(kernel, seen, Event::Served, "serves").await;
            }
        }
    }
}

/// Asks the worker itself; one that cannot be asked is not taken to be drained.
async fn has_no_tasks(kernel: &Kernel, instance: &InstanceId) -> bool {
    let call = (kernel.platform.sync_worker)((instance.clone(), SyncRequest::default()));
    match tokio::time::timeout(super::READ_EVERY, call).await {
        Ok(Ok(reply)) => !reply.tasks.iter().any(|task| task.state == TaskState::Running),
        _ => false,
    }
}

async fn reboot(kernel: &Kernel, instance: &InstanceId, age: Duration) {
    // The reboot is asked for soon after the instance is down, and again if nothing comes of it.
    let asks = age.as_secs() / REBOOT_AGAIN_AFTER.as_secs();
    let since_ask = age - REBOOT_AGAIN_AFTER * asks as u32;
    if since_ask <= super::READ_EVERY {
        let call = (kernel.platform.reboot)(instance.clone());
        let _ = tokio::time::timeout(super::READ_EVERY, call).await;
    }
}

async fn change(kernel: &Kernel, seen: &Seen, event: Event, action: &'static str) {
    let outcome = change_instance(kernel, &seen.id, &event).await;
    let Ok(RowChange::Changed(row)) = outcome else { return };
    let reason = format!("it was {:?} and is {:?}", seen.row.state, row.state);
    let now = kernel.clock.now();
    let numbers = vec![("boot", seen.boot as i64)];
    let mut journal = kernel.tables.journal.lock();
    journal.record(now, Subject::Instance, &seen.id, action, reason, numbers);
}

/// Books instances that have left the list without a reason, and those that are back.
async fn note_failures(kernel: &Kernel) {
    let (missing, back) = changed_failures(kernel);
    for id in missing {
        let Some(row) = current_row(kernel, &id) else { continue };
        let booked = {
            let instances = kernel.tables.instances.lock();
            let books = instances.pools.get(&row.pool);
            books.is_some_and(|books| books.unavailable.contains_key(&id))
        };
        if !booked {
            let _ = change_pool(kernel, &row.pool, |books| mark_failed(books, &id)).await;
        }
    }
    for (pool, id) in back {
        let _ = change_pool(kernel, &pool, |books| mark_available(books, &id)).await;
    }
}

/// Returns the instances that are not listed, and those that are booked as failed although they are.
fn changed_failures(kernel: &Kernel) -> (Vec<InstanceId>, Vec<(PoolId, InstanceId)>) {
    let instances = kernel.tables.instances.lock();
    if !instances.list_read {
        return (Vec::new(), Vec::new());
    }
    let missing = instances.table.iter().filter(|(_, entry)| !entry.listed);
    let missing = missing.map(|(id, _)| id.clone()).collect();
    let failed = instances.pools.iter().flat_map(|(pool, books)| {
        let failed = books.unavailable.iter().filter(|(_, cause)| **cause == Cause::Failure);
        failed.map(move |(id, _)| (pool.clone(), id.clone()))
    });
    let is_back = |id: &InstanceId| instances.table.by_id(id).is_some_and(|entry| entry.listed);
    let back = failed.filter(|(_, id)| is_back(id)).collect();
    (missing, back)
}
