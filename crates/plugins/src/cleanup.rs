//! Deletes expired idempotency keys and jobs that ended long ago.
//!
//! One daemon at a time does this, page by page and in the least urgent class of store calls. An
//! idempotency key is deleted only some time after it expired, because the clocks of the deleting
//! daemon and of the daemon that wrote it may differ. A request with a deleted key runs as a new
//! one.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt as _;
use wasabiswitch_kernel::plugin::{PeriodicTask, Plugin, Registration};
use wasabiswitch_kernel::store::{BaseVersion, CallClass, RowWrite, StoreError, Stored};
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::idempotency::IdempotencyRow;
use wasabiswitch_policy::jobs::JobRow;
use wasabiswitch_wire::codec::WireType;

use crate::jobs::ENDED_PREFIX;
use crate::live::IDEMPOTENCY_PREFIX;
use crate::membership::try_acquire_role;

/// Role of the daemon that deletes expired rows.
const CLEANUP_ROLE: &str = "cleanup";
/// Interval between two searches for expired rows.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10 * 60);
/// Time for which ended jobs are kept.
const ENDED_JOB_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Maximum difference between the clocks of two daemons.
const CLOCK_SKEW_MAX: Duration = Duration::from_secs(60 * 60);
/// Number of rows that are read per page.
const ROWS_PER_PAGE: usize = 500;
/// Number of rows that are deleted per commit.
const ROWS_PER_BATCH: usize = 16;
/// Delay between two pages, which bounds the load on the store.
const PAGE_DELAY: Duration = Duration::from_millis(200);
/// Timeout of one store call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

fn plugin() -> Plugin {
    Plugin {
        periodic_tasks: vec![PeriodicTask {
            name: "cleanup",
            interval: |_| CLEANUP_INTERVAL,
            wake: None,
            run: |kernel| async move { tick(&kernel).await }.boxed(),
        }],
        ..Plugin::new("cleanup", &["live", "jobs"])
    }
}

inventory::submit! { Registration(plugin) }

async fn tick(kernel: &Arc<Kernel>) {
    if try_acquire_role(kernel, CLEANUP_ROLE).await {
        delete_expired_rows(kernel).await;
    }
}

/// Deletes all rows that have expired by now.
pub async fn delete_expired_rows(kernel: &Kernel) {
    let unix_s_before = |age: Duration| kernel.clock.unix_s().saturating_sub(age.as_secs());
    let keys_expired_before = unix_s_before(CLOCK_SKEW_MAX);
    let jobs_ended_before = unix_s_before(ENDED_JOB_RETENTION + CLOCK_SKEW_MAX);
    // Rows that could not be deleted are found again by the next run.
    let _ = delete_expired(kernel, IDEMPOTENCY_PREFIX, |row: &IdempotencyRow| {
        row.expires_unix_s < keys_expired_before
    })
    .await;
    let _ =
        delete_expired(kernel, ENDED_PREFIX, |row: &JobRow| row.ended_unix_s < jobs_ended_before)
            .await;
}

/// Deletes the expired rows under a prefix, page by page.
async fn delete_expired<T: WireType>(
    kernel: &Kernel,
    prefix: &str,
    is_expired: impl Fn(&T) -> bool,
) -> Result<(), StoreError> {
    let mut after = String::new();
    loop {
        let options = kernel.store.within(CallClass::Display, CALL_TIMEOUT);
        let page = kernel.store.scan_page::<T>(options, prefix, &after, ROWS_PER_PAGE).await?;
        let Some((last, _)) = page.last() else { return Ok(()) };
        after.clone_from(last);
        let expired: Vec<&(String, Stored<T>)> =
            page.iter().filter(|(_, stored)| is_expired(&stored.value)).collect();
        for batch in expired.chunks(ROWS_PER_BATCH) {
            delete_batch(kernel, batch).await;
        }
        tokio::time::sleep(PAGE_DELAY).await;
    }
}

async fn delete_batch<T>(kernel: &Kernel, batch: &[&(String, Stored<T>)]) {
    let writes: Vec<RowWrite> = batch
        .iter()
        .map(|(key, stored)| RowWrite::delete(key, BaseVersion::from(Some(stored))))
        .collect();
    let options = kernel.store.within(CallClass::Display, CALL_TIMEOUT);
    // If a row has changed or the answer is lost, the next run reads the rows again.
    if kernel.store.commit(options, &writes).await.unwrap_or(false) {
        metrics::counter!(metric::ROWS_DROPPED).increment(writes.len() as u64);
    }
}
