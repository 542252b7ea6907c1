//! Forwards a request to an upstream, and retries it where that is safe.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Request, Response, Version};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt as _;
use metrics::Counter;
use wasabiswitch_kernel::http::problem::{
    DEADLINE, NO_UPSTREAM, Problem, REQUEST_ID_HEADER, UPSTREAM_FAILED, VERDICT_HEADER,
    WRONG_ANSWER, verdict_value,
};
use wasabiswitch_kernel::http::{Body, BodyError, full_body, read_body};
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::ids::FailureDomain;
use wasabiswitch_policy::retry::{Attempt, RetryStep, next_step};

use super::LiveResult;
use super::connection::{AttemptCause, AttemptError, UpstreamBody, UpstreamResponse, attempt};
use super::relay::relay;
use super::request::{DEADLINE_HEADER, LiveRequest};
use super::upstream::{Reservation, reserve_upstream};
use crate::limits::Permit;

/// Size of the largest request body that is buffered for retries, in bytes.
const REPLAY_BODY_MAX_BYTES: u64 = 64 << 10;
/// `Retry-After` value for callers when no upstream accepts work.
const RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 5] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::UPGRADE,
];

/// The request as it is sent to upstreams, once per attempt.
struct OutgoingRequest {
    head: Request<()>,
    body: OutgoingBody,
}

enum OutgoingBody {
    /// A body in memory, which can be sent any number of times.
    Buffered(Bytes),
    /// A streamed body and a flag that is set when it is first read.
    ///
    /// The body can be sent again only while nothing has been read from it.
    Streamed(Option<Body>, Arc<AtomicBool>),
}

impl OutgoingRequest {
    /// Returns the request for the next attempt, or `None` if its body has been consumed.
    fn next_attempt(&mut self, remaining_ms: u64) -> Option<Request<Body>> {
        let body = match &mut self.body {
            OutgoingBody::Buffered(bytes) => full_body(bytes.clone()),
            OutgoingBody::Streamed(body, read_started) => {
                let inner = body.take()?;
                ReadTrackingBody { inner, read_started: read_started.clone() }.boxed_unsync()
            }
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method().clone();
        *request.uri_mut() = self.head.uri().clone();
        *request.headers_mut() = self.head.headers().clone();
        request.headers_mut().insert(DEADLINE_HEADER, HeaderValue::from(remaining_ms));
        Some(request)
    }

    /// Takes back the body of an unsent request, unless some of it has been read.
    fn restore_body(&mut self, request: Request<Body>) {
        if let OutgoingBody::Streamed(body, read_started) = &mut self.body
            && !read_started.load(Ordering::Acquire)
        {
            *body = Some(request.into_body());
        }
    }

    fn can_repeat(&self) -> bool {
        match &self.body {
            OutgoingBody::Buffered(_) => true,
            OutgoingBody::Streamed(body, _) => body.is_some(),
        }
    }
}

/// A body that sets a flag when it is first polled.
struct ReadTrackingBody {
    inner: Body,
    read_started: Arc<AtomicBool>,
}

impl http_body::Body for ReadTrackingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.read_started.store(true, Ordering::Release);
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Sends a request until an upstream answers or the retry policy gives up.
pub(super) async fn run(kernel: &Arc<Kernel>, request: LiveRequest, permit: Permit) -> LiveResult {
    let parameters = AttemptParameters::from_request(&request);
    let mut outgoing = prepare_request(request).await?;
    let mut avoid_domains: Vec<FailureDomain> = Vec::new();
    let mut verdict = Verdict::NotRun;
    for attempts_made in 1.. {
        let failure =
            match try_upstream(kernel, &parameters, &mut outgoing, &mut avoid_domains).await {
                Ok((response, reservation)) => {
                    return Ok(client_response(response, reservation, permit, parameters.deadline));
                }
                Err(failure) => failure,
            };
        verdict = verdict.and(failure.verdict);
        let attempt = Attempt {
            verdict,
            repeatable: parameters.repeatable,
            attempts_made,
            attempts_max: parameters.attempts_max,
            deadline: parameters.deadline,
        };
        let step = retry_step(kernel, &parameters, &attempt, &outgoing);
        let RetryStep::After(pause) = step else { return Err(failure.problem(verdict)) };
        metrics::counter!(metric::RETRIES).increment(1);
        tokio::time::sleep(pause).await;
    }
    unreachable!("the loop returns after its last attempt")
}

/// Properties of a request that stay the same across attempts.
struct AttemptParameters {
    team: wasabiswitch_policy::ids::TeamId,
    service: wasabiswitch_policy::ids::ServiceId,
    pool: wasabiswitch_policy::ids::PoolId,
    request_id: HeaderValue,
    repeatable: bool,
    attempts_max: u32,
    deadline: Instant,
}

impl AttemptParameters {
    fn from_request(request: &LiveRequest) -> AttemptParameters {
        AttemptParameters {
            team: request.team.clone(),
            service: request.service.clone(),
            pool: request.pool.clone(),
            request_id: request.request_id.clone(),
            repeatable: request.repeatable,
            attempts_max: request.attempts_max,
            deadline: request.deadline,
        }
    }
}

/// A failed attempt, as it is reported to the caller if it is the last.
struct AttemptFailure {
    verdict: Verdict,
    code: wasabiswitch_kernel::http::problem::Code,
    detail: String,
}

impl AttemptFailure {
    /// Returns the problem for the caller; `verdict` covers all attempts.
    fn problem(self, verdict: Verdict) -> Problem {
        let problem = Problem::with_verdict(self.code, verdict, self.detail);
        if self.code == NO_UPSTREAM { problem.retry_after(RETRY_AFTER) } else { problem }
    }
}

async fn try_upstream(
    kernel: &Arc<Kernel>,
    parameters: &AttemptParameters,
    outgoing: &mut OutgoingRequest,
    avoid_domains: &mut Vec<FailureDomain>,
) -> Result<(UpstreamResponse, Reservation), AttemptFailure> {
    let remaining = parameters.deadline.saturating_duration_since(kernel.clock.now());
    if remaining.is_zero() {
        return Err(deadline_exceeded(Verdict::NotRun));
    }
    let no_upstream = || AttemptFailure {
        verdict: Verdict::NotRun,
        code: NO_UPSTREAM,
        detail: format!("no upstream of pool {:?} accepts work", parameters.pool),
    };
    let (reservation, idle) =
        reserve_upstream(kernel, &parameters.pool, avoid_domains).ok_or_else(no_upstream)?;
    let request = outgoing.next_attempt(remaining.as_millis() as u64).ok_or_else(no_upstream)?;
    let call = attempt(&kernel.network, &reservation, idle, request, &parameters.request_id);
    let outcome = tokio::time::timeout(remaining, call).await;
    let verdict = match &outcome {
        Ok(Ok(_)) => Verdict::Ran,
        Ok(Err(error)) => error.verdict,
        Err(_) => Verdict::MayHaveRun,
    };
    count_attempt(verdict);
    avoid_domains.push(reservation.failure_domain.clone());
    match outcome {
        Ok(Ok(response)) => Ok((response, reservation)),
        Ok(Err(error)) => Err(upstream_failure(error, &reservation, outgoing)),
        Err(_) => {
            reservation.record_failure();
            Err(deadline_exceeded(Verdict::MayHaveRun))
        }
    }
}

/// Counts an attempt. The handles of the counters are cached, since every request is counted.
fn count_attempt(verdict: Verdict) {
    static COUNTERS: OnceLock<[Counter; 3]> = OnceLock::new();
    let counters = COUNTERS.get_or_init(|| {
        [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran]
            .map(|verdict| metrics::counter!(metric::ATTEMPTS, "verdict" => verdict.as_str()))
    });
    counters[verdict as usize].increment(1);
}

fn deadline_exceeded(verdict: Verdict) -> AttemptFailure {
    AttemptFailure { verdict, code: DEADLINE, detail: "the deadline has passed".to_owned() }
}

fn upstream_failure(
    error: AttemptError,
    reservation: &Reservation,
    outgoing: &mut OutgoingRequest,
) -> AttemptFailure {
    // Declining a request is correct behaviour and does not count against the upstream.
    if error.cause != AttemptCause::Declined {
        reservation.record_failure();
    }
    let detail = format!("upstream {}: {error}", reservation.instance);
    let code = match error.cause {
        AttemptCause::WrongAnswer => WRONG_ANSWER,
        AttemptCause::Failed | AttemptCause::Declined => UPSTREAM_FAILED,
    };
    let verdict = error.verdict;
    if let Some(unsent) = error.unsent {
        outgoing.restore_body(*unsent);
    }
    AttemptFailure { verdict, code, detail }
}

fn retry_step(
    kernel: &Kernel,
    parameters: &AttemptParameters,
    attempt: &Attempt,
    outgoing: &OutgoingRequest,
) -> RetryStep {
    if !outgoing.can_repeat() {
        return RetryStep::GiveUp;
    }
    let now = kernel.clock.now();
    let jitter = fastrand::f64();
    let step = next_step(attempt, now, true, jitter);
    if step == RetryStep::GiveUp || spend_retry_budget(kernel, parameters) {
        return step;
    }
    next_step(attempt, now, false, jitter)
}

fn spend_retry_budget(kernel: &Kernel, parameters: &AttemptParameters) -> bool {
    let mut teams = kernel.tables.teams.lock();
    let team = teams.table.by_id_mut(&parameters.team);
    let budget = team.and_then(|team| team.budgets.get_mut(&parameters.service));
    budget.is_some_and(wasabiswitch_policy::retry::RetryBudget::spend)
}

/// Builds the outgoing request, and buffers the body if it is small enough for retries.
async fn prepare_request(request: LiveRequest) -> Result<OutgoingRequest, Problem> {
    let mut head = Request::new(());
    *head.method_mut() = request.method;
    *head.uri_mut() = request.uri;
    *head.headers_mut() = without_hop_by_hop_headers(request.headers);
    let headers = head.headers_mut();
    // The API key stays between the team and this system; the upstream gets the name of the team.
    headers.remove(header::AUTHORIZATION);
    headers.insert(REQUEST_ID_HEADER, request.request_id);
    if let Ok(team) = HeaderValue::from_str(&request.team) {
        headers.insert(TEAM_HEADER, team);
    }
    if !headers.contains_key(header::HOST) {
        headers.insert(header::HOST, HeaderValue::from_static("upstream"));
    }
    let is_small =
        request.body.size_hint().upper().is_some_and(|upper| upper <= REPLAY_BODY_MAX_BYTES);
    let body = if is_small {
        let max_bytes = REPLAY_BODY_MAX_BYTES as usize;
        let collected = read_body(request.body, max_bytes, &request.connection)
            .await
            .map_err(|error| error.into_problem(|| "the body is longer than declared".into()))?;
        OutgoingBody::Buffered(collected)
    } else {
        OutgoingBody::Streamed(Some(request.body), Arc::default())
    };
    Ok(OutgoingRequest { head, body })
}

/// Header that names the team of the request to the upstream.
const TEAM_HEADER: HeaderName = HeaderName::from_static("x-wasabiswitch-team");

/// Removes the hop-by-hop headers, including those that `Connection` names.
fn without_hop_by_hop_headers(mut headers: HeaderMap) -> HeaderMap {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_headers.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers
}

fn client_response(
    response: UpstreamResponse,
    reservation: Reservation,
    permit: Permit,
    deadline: Instant,
) -> (Response<Body>, Verdict) {
    let UpstreamResponse { head, body, connection } = response;
    let body = match body {
        UpstreamBody::Buffered(bytes) => {
            reservation.complete(connection);
            full_body(bytes)
        }
        UpstreamBody::Streamed(body) => relay(body, reservation, connection, permit, deadline),
    };
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = without_hop_by_hop_headers(head.headers);
    *response.version_mut() = Version::HTTP_11;
    response.headers_mut().insert(VERDICT_HEADER, verdict_value(Verdict::Ran));
    (response, Verdict::Ran)
}
