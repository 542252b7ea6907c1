//! One attempt to send a request to an upstream; each failure has a verdict that tells whether the request may
//! have run.
//!
//! A request has certainly not run if no connection was open or if `hyper` returns it unsent. Once
//! a byte may have been sent, the request may have run until the upstream answers. A not-run
//! verdict from the upstream is trusted only together with a status that refuses the request.

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

use super::upstream::Reservation;

/// Timeout for opening a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Size of the largest response body that is buffered before it is passed on, in bytes.
///
/// A truncated body within this size is detected before the caller has received anything, and head
/// and body are sent together.
const BUFFERED_BODY_MAX_BYTES: u64 = 64 << 10;

/// The response of an upstream and the connection that it arrived on.
pub(super) struct UpstreamResponse {
    pub(super) head: response::Parts,
    pub(super) body: UpstreamBody,
    pub(super) connection: Connection,
}

/// The body of an upstream's response.
pub(super) enum UpstreamBody {
    /// A body that was read to its end.
    Buffered(Bytes),
    /// A body that is streamed to the caller.
    Streamed(Incoming),
}

/// The reason why an attempt produced no response for the caller.
#[derive(Debug, thiserror::Error)]
#[error("{detail}")]
pub(super) struct AttemptError {
    /// Whether the upstream may have run the request.
    pub(super) verdict: Verdict,
    /// Kind of the failure, which determines whether it counts against the upstream and which problem the
    /// caller gets.
    pub(super) cause: AttemptCause,
    detail: String,
    /// The request, if no byte of it was sent.
    pub(super) unsent: Option<Box<Request<Body>>>,
}

/// The kind of a failed attempt, which decides its effect on the health of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptCause {
    /// The upstream failed.
    Failed,
    /// The upstream refused the request and stated that it did not run it.
    Declined,
    /// The upstream returned the response to another request.
    WrongAnswer,
}

fn not_run(detail: String, unsent: Request<Body>) -> AttemptError {
    let unsent = Some(Box::new(unsent));
    AttemptError { verdict: Verdict::NotRun, cause: AttemptCause::Failed, detail, unsent }
}

fn may_have_run(cause: AttemptCause, detail: String) -> AttemptError {
    AttemptError { verdict: Verdict::MayHaveRun, cause, detail, unsent: None }
}

/// Sends a request to the reserved upstream and waits for the response.
pub(super) async fn attempt(
    network: &Network,
    reservation: &Reservation,
    idle: Option<Connection>,
    request: Request<Body>,
    request_id: &HeaderValue,
) -> Result<UpstreamResponse, AttemptError> {
    let mut request = request;
    let mut idle = idle;
    loop {
        let (mut connection, reused) =
            match idle.take().or_else(|| reservation.take_idle_connection()) {
                Some(connection) => (connection, true),
                None => match connect(network, reservation).await {
                    Ok(connection) => (connection, false),
                    Err(error) => return Err(not_run(error.to_string(), request)),
                },
            };
        match connection.try_send_request(request).await {
            Ok(response) => {
                check_response(reservation, &response, request_id)?;
                return read_response(response, connection).await;
            }
            Err(mut failed) => match failed.take_message() {
                // The reused connection was closed before anything was sent on it.
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

async fn connect(network: &Network, reservation: &Reservation) -> std::io::Result<Connection> {
    let dial = (network.dial)(reservation.address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, dial).await??;
    let (sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    // The connection ends when its sender is dropped, so nothing needs to join this task.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Buffers the body of a response if it is small.
async fn read_response(
    response: Response<Incoming>,
    connection: Connection,
) -> Result<UpstreamResponse, AttemptError> {
    let (head, body) = response.into_parts();
    let is_small = body.size_hint().upper().is_some_and(|upper| upper <= BUFFERED_BODY_MAX_BYTES);
    // Trailers can only be passed on by streaming frame by frame.
    if !is_small || head.headers.contains_key(header::TRAILER) {
        return Ok(UpstreamResponse { head, body: UpstreamBody::Streamed(body), connection });
    }
    let collected = body.collect().await.map_err(|error| {
        may_have_run(AttemptCause::Failed, format!("the answer broke off: {error}"))
    })?;
    Ok(UpstreamResponse { head, body: UpstreamBody::Buffered(collected.to_bytes()), connection })
}

fn check_response(
    reservation: &Reservation,
    response: &Response<Incoming>,
    request_id: &HeaderValue,
) -> Result<(), AttemptError> {
    let headers = response.headers();
    let has_not_run_verdict =
        headers.get(VERDICT_HEADER).is_some_and(|v| v == Verdict::NotRun.as_str());
    let refuses = matches!(
        response.status(),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let announces_close = headers
        .get(header::CONNECTION)
        .is_some_and(|value| value.to_str().is_ok_and(|text| text.eq_ignore_ascii_case("close")));
    if has_not_run_verdict && refuses {
        if announces_close {
            reservation.record_leaving();
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
