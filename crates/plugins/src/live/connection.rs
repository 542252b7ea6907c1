//! One attempt at an upstream, with its verdict typed where it is known.
//!
//! Nothing was run while no connection was open or while `hyper` hands the request back unsent. Once a
//! byte may have gone out, the request may have run until the upstream answers. An upstream's own word
//! that it has not run the request is taken only together with a status that refuses it.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header, response};
use http_body::Body as _;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use wasabiswitch_kernel::http::Body;
use wasabiswitch_kernel::http::problem::{REQUEST_ID_HEADER, VERDICT_HEADER};
use wasabiswitch_kernel::network::Network;
use wasabiswitch_kernel::tables::Connection;
use wasabiswitch_policy::Verdict;

use super::upstream::Place;

/// The longest time that a connection to an upstream takes to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The largest answer that is read whole before it is passed on, in bytes.
///
/// A cut within it is then known before the caller has seen anything, and head and body go out
/// together.
const WHOLE_MAX_BYTES: u64 = 64 << 10;

/// An answer, and the connection that it came on.
pub(super) struct Answered {
    pub(super) head: response::Parts,
    pub(super) body: AnsweredBody,
    pub(super) connection: Connection,
}

/// The body of an answer.
pub(super) enum AnsweredBody {
    /// It was read to its end.
    Whole(Bytes),
    /// It is passed on as it comes.
    Streamed(Incoming),
}

/// Why an attempt gave no answer to pass on.
#[derive(Debug, thiserror::Error)]
#[error("{detail}")]
pub(super) struct AttemptError {
    /// Whether the upstream may have run the request.
    pub(super) verdict: Verdict,
    /// What the attempt says of the upstream.
    pub(super) cause: AttemptCause,
    detail: String,
    /// The request, if no byte of it was sent.
    pub(super) unsent: Option<Box<Request<Body>>>,
}

/// What a failed attempt says of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptCause {
    /// The upstream failed.
    Failed,
    /// The upstream said that it has not run the request.
    Declined,
    /// The upstream answered another request.
    WrongAnswer,
}

fn not_run(detail: String, unsent: Request<Body>) -> AttemptError {
    let unsent = Some(Box::new(unsent));
    AttemptError { verdict: Verdict::NotRun, cause: AttemptCause::Failed, detail, unsent }
}

fn may_have_run(cause: AttemptCause, detail: String) -> AttemptError {
    AttemptError { verdict: Verdict::MayHaveRun, cause, detail, unsent: None }
}

/// Sends a request to the upstream at `place` and waits for the head of its answer.
pub(super) async fn attempt(
    network: &Network,
    place: &Place,
    idle: Option<Connection>,
    request: Request<Body>,
    request_id: &HeaderValue,
) -> Result<Answered, AttemptError> {
    let mut request = request;
    let mut idle = idle;
    loop {
        let (mut connection, reused) = match idle.take().or_else(|| place.take_idle()) {
            Some(connection) => (connection, true),
            None => match open(network, place).await {
                Ok(connection) => (connection, false),
                Err(error) => return Err(not_run(error.to_string(), request)),
            },
        };
        match connection.try_send_request(request).await {
            Ok(response) => {
                check(place, &response, request_id)?;
                return read_small(response, connection).await;
            }
            Err(mut failed) => match failed.take_message() {
                // The idle connection was closed before anything was sent on it.
                Some(unsent) if reused => request = unsent,
                Some(unsent) => return Err(not_run(failed.error().to_string(), unsent)),
                None => {
                    let detail = failed.error().to_string();
                    return Err(may_have_run(AttemptCause::Failed, detail));
                }
            },
        }
    }
}

async fn open(network: &Network, place: &Place) -> std::io::Result<Connection> {
    let dial = (network.dial)(place.address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, dial).await??;
    let (sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    // The connection ends when its sender is dropped, so nothing needs to join this task.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Reads the body of an answer if it is small.
async fn read_small(
    response: Response<Incoming>,
    connection: Connection,
) -> Result<Answered, AttemptError> {
    let (head, body) = response.into_parts();
    let small = body.size_hint().upper().is_some_and(|upper| upper <= WHOLE_MAX_BYTES);
    // Trailers are passed on frame by frame.
    if !small || head.headers.contains_key(header::TRAILER) {
        return Ok(Answered { head, body: AnsweredBody::Streamed(body), connection });
    }
    let collected = body.collect().await.map_err(|error| {
        may_have_run(AttemptCause::Failed, format!("the answer broke off: {error}"))
    })?;
    Ok(Answered { head, body: AnsweredBody::Whole(collected.to_bytes()), connection })
}

fn check(
    place: &Place,
    response: &Response<Incoming>,
    request_id: &HeaderValue,
) -> Result<(), AttemptError> {
    let headers = response.headers();
    let says_not_run = headers.get(VERDICT_HEADER).is_some_and(|v| v == Verdict::NotRun.as_str());
    let refuses = matches!(
        response.status(),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let closes = headers
        .get(header::CONNECTION)
        .is_some_and(|value| value.to_str().is_ok_and(|text| text.eq_ignore_ascii_case("close")));
    if says_not_run && refuses {
        if closes {
            place.record_leaving();
        }
        return Err(AttemptError {
            verdict: Verdict::NotRun,
            cause: AttemptCause::Declined,
            detail: "the upstream has not run it".to_owned(),
            unsent: None,
        });
    }
    if headers.get(REQUEST_ID_HEADER).is_some_and(|echo| echo != request_id) {
        let detail = "the answer belongs to another request".to_owned();
        return Err(may_have_run(AttemptCause::WrongAnswer, detail));
    }
    Ok(())
}
