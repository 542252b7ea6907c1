//! Drops what need not be kept any more: expired idempotency keys and jobs that ended long ago.
//!
//! One daemon at a time does this, page by page and as the least urgent work of the store. An
//! idempotency key is dropped only a while after its promise has expired, because the daemon that drops
//! it may have another idea of the time than the one that wrote it. A request under a dropped key runs
//! as a new one.

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
use crate::live::ONCE_PREFIX;
use crate::membership::try_acquire_role;

/// The role of the daemon that drops old rows.
const CLEANUP_ROLE: &str = "cleanup";
/// How often old rows are looked for.
const CLEAN_EVERY: Duration = Duration::from_secs(10 * 60);
/// How long ended jobs are kept.
const KEEP_ENDED: Duration = Duration::from_secs(24 * 60 * 60);
/// How far the clocks of two daemons may be apart.
const CLOCK_MARGIN: Duration = Duration::from_secs(60 * 60);
/// The rows that are read at a time.
const PAGE_ROWS: usize = 500;
/// The rows that are dropped in one batch.
const BATCH_ROWS: usize = 16;
/// The pause between two pages, which bounds what this takes of the store.
const PAGE_PAUSE: Duration = Duration::from_millis(200);
/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

fn plugin() -> Plugin {
    Plugin {
        periodic_tasks: vec![PeriodicTask {
            name: "cleanup",
            interval: |_| CLEAN_EVERY,
            wake: None,
            run: |kernel| async move { tick(&kernel).await }.boxed(),
        }],
        ..Plugin::new("cleanup", &["live", "jobs"])
    }
}

inventory::submit! { Registration(plugin) }

async fn tick(kernel: &Arc<Kernel>) {
    if try_acquire_role(kernel, CLEANUP_ROLE).await {
        drop_old_rows(kernel).await;
    }
}

/// Drops all rows that are old now.
pub async fn drop_old_rows(kernel: &Kernel) {
    let before = |age: Duration| kernel.clock.unix_s().saturating_sub(age.as_secs());
    let key_limit = before(CLOCK_MARGIN);
    let job_limit = before(KEEP_ENDED + CLOCK_MARGIN);
    // What is not dropped now is dropped next time.
    let _ = clean(kernel, ONCE_PREFIX, |row: &IdempotencyRow| row.expires_unix_s < key_limit).await;
    let _ = clean(kernel, ENDED_PREFIX, |row: &JobRow| row.ended_unix_s < job_limit).await;
}

/// Drops the rows under a prefix that are old, page by page.
async fn clean<T: WireType>(
    kernel: &Kernel,
    prefix: &str,
    is_old: impl Fn(&T) -> bool,
) -> Result<(), StoreError> {
    let mut after = String::new();
    loop {
        let options = kernel.store.within(CallClass::Display, CALL_TIMEOUT);
        let page = kernel.store.scan_page::<T>(options, prefix, &after, PAGE_ROWS).await?;
        let Some((last, _)) = page.last() else { return Ok(()) };
        after.clone_from(last);
        let old: Vec<&(String, Stored<T>)> =
            page.iter().filter(|(_, stored)| is_old(&stored.value)).collect();
        for batch in old.chunks(BATCH_ROWS) {
            drop_rows(kernel, batch).await;
        }
        tokio::time::sleep(PAGE_PAUSE).await;
    }
}

async fn drop_rows<T>(kernel: &Kernel, batch: &[&(String, Stored<T>)]) {
    let writes: Vec<RowWrite> = batch
        .iter()
        .map(|(key, stored)| RowWrite::delete(key, BaseVersion::from(Some(stored))))
        .collect();
    let options = kernel.store.within(CallClass::Display, CALL_TIMEOUT);
    // A row that has changed since, or a lost answer, only means another look next time.
    if kernel.store.commit(options, &writes).await.unwrap_or(false) {
        metrics::counter!(metric::ROWS_DROPPED).increment(writes.len() as u64);
    }
}
