//! A future that goes on in a task of its own when whoever awaits it goes away.
//!
//! The server drops a request's future when its caller closes the connection. Spawning every request
//! would keep it alive as well, but costs a task and a wake-up for each; this costs them only when a
//! caller does go away.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use wasabiswitch_kernel::Kernel;

/// A future that is spawned if it is dropped before it has ended.
pub(super) struct Detached<T: Send + 'static> {
    kernel: Arc<Kernel>,
    future: Option<Pin<Box<dyn Future<Output = T> + Send>>>,
}

impl<T: Send + 'static> Detached<T> {
    pub(super) fn new(
        kernel: &Arc<Kernel>,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Detached<T> {
        Detached { kernel: kernel.clone(), future: Some(Box::pin(future)) }
    }
}

impl<T: Send + 'static> Future for Detached<T> {
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

impl<T: Send + 'static> Drop for Detached<T> {
    fn drop(&mut self) {
        if let Some(future) = self.future.take() {
            self.kernel.request_tasks.spawn("live request", async move { drop(future.await) });
        }
    }
}
