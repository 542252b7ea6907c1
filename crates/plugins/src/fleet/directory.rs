//! Applies changes of the platform's directory of workers while this daemon owns the fleet.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::platform::fleet::{Cursor, DirectoryItem, WatchResult};
use wasabiswitch_kernel::tasks::TaskTree;
use wasabiswitch_policy::ids::InstanceId;

use super::term::with_term;
use super::{port, workers};

/// Delay before the directory is read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Applies the directory's changes after `cursor` until the term with `fence` ends.
pub(crate) async fn follow(kernel: Arc<Kernel>, fence: u64, mut cursor: Cursor, tasks: TaskTree) {
    loop {
        match (port(&kernel).watch_directory)(cursor).await {
            Ok(WatchResult::Changes(items, next)) => {
                cursor = cursor.max(next);
                apply_items(&kernel, fence, &tasks, items);
            }
            Ok(WatchResult::HistoryGone) => {
                log::info!("directory feed lost its history cursor={cursor}, reading again");
                cursor = reload(&kernel, fence, &tasks, cursor).await;
            }
            Err(error) => {
                log::warn!("directory feed failed cursor={cursor} reason={error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn reload(kernel: &Arc<Kernel>, fence: u64, tasks: &TaskTree, cursor: Cursor) -> Cursor {
    match (port(kernel).read_directory)(()).await {
        Ok((items, next)) => {
            mark_missing_unlisted(kernel, fence, &items);
            apply_items(kernel, fence, tasks, items);
            next
        }
        Err(error) => {
            log::warn!("directory not read reason={error}");
            sleep(RETRY_DELAY).await;
            cursor
        }
    }
}

fn mark_missing_unlisted(kernel: &Kernel, fence: u64, items: &[DirectoryItem]) {
    let listed: BTreeSet<&InstanceId> = items
        .iter()
        .filter_map(|item| match item {
            DirectoryItem::Listed(entry) => Some(&entry.id),
            DirectoryItem::Unlisted(_) => None,
        })
        .collect();
    with_term(kernel, fence, |term| {
        for worker in term.engine.workers.values_mut() {
            if !listed.contains(&worker.entry.id) {
                worker.listed = false;
            }
        }
    });
}

fn apply_items(kernel: &Arc<Kernel>, fence: u64, tasks: &TaskTree, items: Vec<DirectoryItem>) {
    let now = kernel.clock.now();
    for item in items {
        match item {
            DirectoryItem::Listed(entry) => {
                let worker =
                    format!("worker={} pool={} draining={}", entry.id, entry.pool, entry.draining);
                let listed_incarnation = entry.incarnation;
                let upserted = with_term(kernel, fence, |term| {
                    let known = term.engine.worker_key(&entry.id).is_some();
                    let key = term.engine.upsert_worker(entry, now);
                    (known, key, term.engine.workers[key].restart_suspected_at == Some(now))
                });
                let Some((known, key, restarted)) = upserted else { return };
                log::info!(
                    "worker listed {worker} known={known} restarted={restarted} \
                     listed_incarnation={listed_incarnation}"
                );
                if !known {
                    workers::poll_worker(kernel, fence, tasks, key);
                } else if restarted {
                    workers::spawn_poll(kernel, fence, tasks, key);
                }
            }
            DirectoryItem::Unlisted(id) => {
                log::info!("worker unlisted worker={id}");
                with_term(kernel, fence, |term| term.engine.mark_worker_unlisted(&id));
            }
        }
    }
    kernel.wake_signals.plan.notify_one();
}
