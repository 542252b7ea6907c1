//! Streams a large response to the caller, either complete or visibly truncated.
//!
//! A slow caller slows the upstream down by back-pressure. The connection returns to the pool only
//! after the last byte. On an error and at the deadline the connection is closed and the caller's
//! stream ends in an error, so that a truncated response never looks complete.

use std::future::Future as _;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::{Sleep, sleep_until};
use wasabiswitch_kernel::http::{Body, BodyError};
use wasabiswitch_kernel::metric;
use wasabiswitch_kernel::tables::Connection;

use super::upstream::Reservation;
use crate::limits::Permit;

/// Resources that stay reserved until the whole response has been sent to the caller.
struct RelayResources {
    reservation: Reservation,
    connection: Connection,
    // Releases the slot of the team when the response has ended.
    _permit: Permit,
}

/// The body of a response that is being streamed to the caller.
struct RelayedBody {
    body: Incoming,
    resources: Option<RelayResources>,
    deadline: Instant,
    // Created at the first pending poll, so that a body that never waits needs no timer.
    timer: Option<Pin<Box<Sleep>>>,
}

impl RelayedBody {
    /// Returns `Ready` once the deadline has passed, and registers for a wake-up until then.
    fn poll_deadline(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let deadline = self.deadline.into();
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        timer.as_mut().poll(context)
    }

    /// Ends the caller's stream with an error; dropping the connection closes it.
    fn abort(&mut self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        metrics::counter!(metric::ANSWERS_CUT).increment(1);
        if let Some(resources) = self.resources.take() {
            resources.reservation.record_failure();
        }
        Poll::Ready(Some(Err(error)))
    }
}

/// Wraps the body of a response for streaming to the caller.
pub(super) fn relay(
    body: Incoming,
    reservation: Reservation,
    connection: Connection,
    permit: Permit,
    deadline: Instant,
) -> Body {
    let resources = Some(RelayResources { reservation, connection, _permit: permit });
    RelayedBody { body, resources, deadline, timer: None }.boxed_unsync()
}

/// Releases the connection and the reserved capacity after the whole response has been sent to the caller.
fn release(resources: RelayResources) {
    resources.reservation.complete(resources.connection);
}

impl http_body::Body for RelayedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match polled {
            Poll::Pending => match self.poll_deadline(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(()) => self.abort("the deadline has passed".into()),
            },
            Poll::Ready(Some(Ok(frame))) => {
                if self.body.is_end_stream()
                    && let Some(resources) = self.resources.take()
                {
                    release(resources);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => self.abort(error.into()),
            Poll::Ready(None) => {
                if let Some(resources) = self.resources.take() {
                    release(resources);
                }
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
