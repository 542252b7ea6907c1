//! Structured concurrency: groups of tasks that are stopped and joined together.
//!
//! All tasks are spawned through a [`TaskTree`]. Stopping a tree cancels a token that its tasks and
//! subtrees watch; joining it waits for all of them, up to a time limit. A task that panics is counted
//! and logged here, since its handle is not awaited.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt as _;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::metric;

/// Group of tasks and subtrees that are stopped and joined together.
#[derive(Clone, Debug)]
pub struct TaskTree {
    tracker: TaskTracker,
    stop: CancellationToken,
}

impl Default for TaskTree {
    fn default() -> TaskTree {
        TaskTree::new()
    }
}

impl TaskTree {
    /// Creates an empty tree.
    pub fn new() -> TaskTree {
        TaskTree { tracker: TaskTracker::new(), stop: CancellationToken::new() }
    }

    /// Creates a subtree, which stops with this tree and is joined by it.
    pub fn child(&self) -> TaskTree {
        let child = TaskTree { tracker: TaskTracker::new(), stop: self.stop.child_token() };
        let (tracker, stop) = (child.tracker.clone(), child.stop.clone());
        self.tracker.spawn(async move {
            stop.cancelled().await;
            tracker.close();
            tracker.wait().await;
        });
        child
    }

    /// Spawns a task that runs to its end; it must watch the stop token itself.
    pub fn spawn<F>(&self, name: &'static str, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.tracker.spawn(async move {
            if AssertUnwindSafe(task).catch_unwind().await.is_err() {
                metrics::counter!(metric::TASK_PANICS, "task" => name).increment(1);
                log::error!("task {name} panicked");
            }
        });
    }

    /// Spawns a task that is dropped when the tree is stopped.
    pub fn spawn_until_stopped<F>(&self, name: &'static str, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let stop = self.stop.clone();
        self.spawn(name, async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// Returns a token that is cancelled when the tree is stopped.
    pub fn stop_token(&self) -> CancellationToken {
        self.stop.clone()
    }

    /// Cancels the stop token of the tree and its subtrees without waiting for the tasks.
    pub fn stop(&self) {
        self.stop.cancel();
        self.tracker.close();
    }

    /// Stops the tree and waits for its tasks; returns whether all have ended within `limit`.
    pub async fn join(&self, limit: Duration) -> bool {
        self.stop();
        tokio::time::timeout(limit, self.tracker.wait()).await.is_ok()
    }
}
