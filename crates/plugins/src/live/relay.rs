//! Passes a large answer on to the caller, whole or visibly broken.
//!
//! The body is streamed, with the caller's pace as back-pressure. The connection goes back to the pool
//! only after the last byte; on any error, and at the deadline, it is closed, and the caller's stream ends in an error, so
//! that a cut answer never looks whole.

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

use super::upstream::Place;
use crate::limits::Permit;

/// What is held until an answer has been passed on.
struct Held {
    place: Place,
    connection: Connection,
    // Frees the team's slot when the answer has ended.
    _permit: Permit,
}

/// The body of an answer on its way to the caller.
struct Relayed {
    body: Incoming,
    held: Option<Held>,
    deadline: Instant,
    // Set up only when the body keeps its reader waiting.
    timer: Option<Pin<Box<Sleep>>>,
}

impl Relayed {
    /// Reports whether the deadline has passed, and arranges to be woken when it does.
    fn poll_deadline(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let deadline = self.deadline.into();
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        timer.as_mut().poll(context)
    }

    /// Ends an answer that will not be passed on whole; dropping the connection closes it.
    fn cut(&mut self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        metrics::counter!(metric::ANSWERS_CUT).increment(1);
        if let Some(held) = self.held.take() {
            held.place.note_failure();
        }
        Poll::Ready(Some(Err(error)))
    }
}

/// Wraps the body of an answer.
pub(super) fn relay(
    body: Incoming,
    place: Place,
    connection: Connection,
    permit: Permit,
    deadline: Instant,
) -> Body {
    let held = Some(Held { place, connection, _permit: permit });
    Relayed { body, held, deadline, timer: None }.boxed_unsync()
}

/// Ends an answer that was passed on whole.
fn finish(held: Held) {
    held.place.finish(held.connection);
}

impl http_body::Body for Relayed {
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
                Poll::Ready(()) => self.cut("the deadline has passed".into()),
            },
            Poll::Ready(Some(Ok(frame))) => {
                if self.body.is_end_stream()
                    && let Some(held) = self.held.take()
                {
                    finish(held);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => self.cut(error.into()),
            Poll::Ready(None) => {
                if let Some(held) = self.held.take() {
                    finish(held);
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
