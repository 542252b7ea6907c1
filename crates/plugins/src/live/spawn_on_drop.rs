//! A future that continues in a task of its own when it is dropped before completion.
//!
//! The server drops the future of a request when the caller closes the connection. Spawning every
//! request would keep it running too, but costs a task and a wake-up per request; this type pays
//! that cost only when a caller does disconnect.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use wasabiswitch_kernel::Kernel;

/// A future that is spawned if it is dropped before completion.
pub(super) struct SpawnOnDrop<T: Send + 'static> {
    kernel: Arc<Kernel>,
    future: Option<Pin<Box<dyn Future<Output = T> + Send>>>,
}

impl<T: Send + 'static> SpawnOnDrop<T> {
    pub(super) fn new(
        kernel: &Arc<Kernel>,
        future: impl Future<Output = T> + Send + 'static,
    ) -> SpawnOnDrop<T> {
        SpawnOnDrop { kernel: kernel.clone(), future: Some(Box::pin(future)) }
    }
}

impl<T: Send + 'static> Future for SpawnOnDrop<T> {
    type Output = T;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<T> {
        let Some(future) = &mut self.future else { return Poll::Pending };
        let polled = future.as_mut().poll(context);
        if polled.is_ready() {
            self.future = None;
        }
        polled
    }
}

impl<T: Send + 'static> Drop for SpawnOnDrop<T> {
    fn drop(&mut self) {
        if let Some(future) = self.future.take() {
            self.kernel.request_tasks.spawn("live request", async move { drop(future.await) });
        }
    }
}
