//! Sends a request to an upstream, and again where that is safe.

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
use wasabiswitch_kernel::http::{Body, BodyError, full_body};
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::ids::FailureDomain;
use wasabiswitch_policy::retry::{Attempt, RetryStep, next_step};

use super::Answer;
use super::connection::{Answered, AnsweredBody, AttemptCause, AttemptError, attempt};
use super::relay::relay;
use super::request::{DEADLINE_HEADER, Live};
use super::upstream::{Place, take_place};
use crate::limits::Permit;

/// The largest body that is kept for another attempt, in bytes.
const REPLAY_MAX_BYTES: u64 = 64 << 10;
/// How long a caller is told to wait when no upstream accepts work.
const RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [HeaderName; 5] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::UPGRADE,
];

/// What is sent, again and again if need be.
struct ClientRequest {
    head: Request<()>,
    body: OutgoingBody,
}

enum OutgoingBody {
    /// The body is kept and can be sent again.
    Kept(Bytes),
    /// The body is passed on as it comes, and may be sent only while nothing of it was taken.
    Streamed(Option<Body>, Arc<AtomicBool>),
}

impl ClientRequest {
    /// Returns the request for the next attempt, or `None` if its body is gone.
    fn next(&mut self, left_ms: u64) -> Option<Request<Body>> {
        let body = match &mut self.body {
            OutgoingBody::Kept(bytes) => full_body(bytes.clone()),
            OutgoingBody::Streamed(body, touched) => {
                let inner = body.take()?;
                Watched { inner, touched: touched.clone() }.boxed_unsync()
            }
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method().clone();
        *request.uri_mut() = self.head.uri().clone();
        *request.headers_mut() = self.head.headers().clone();
        request.headers_mut().insert(DEADLINE_HEADER, HeaderValue::from(left_ms));
        Some(request)
    }

    /// Takes back a body of which nothing was sent.
    fn restore(&mut self, request: Request<Body>) {
        if let OutgoingBody::Streamed(body, touched) = &mut self.body
            && !touched.load(Ordering::Acquire)
        {
            *body = Some(request.into_body());
        }
    }

    fn can_repeat(&self) -> bool {
        match &self.body {
            OutgoingBody::Kept(_) => true,
            OutgoingBody::Streamed(body, _) => body.is_some(),
        }
    }
}

/// Notes when the first part of a body is taken.
struct Watched {
    inner: Body,
    touched: Arc<AtomicBool>,
}

impl http_body::Body for Watched {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.touched.store(true, Ordering::Release);
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Sends a request until it is answered or must be given up.
pub(super) async fn run(kernel: &Arc<Kernel>, live: Live, permit: Permit) -> Answer {
    let rules = Rules::of(&live);
    let mut outgoing = prepare(live).await?;
    let mut avoid: Vec<FailureDomain> = Vec::new();
    let mut verdict = Verdict::NotRun;
    for attempts_made in 1.. {
        let failure = match try_once(kernel, &rules, &mut outgoing, &mut avoid).await {
            Ok((answered, place)) => {
                return Ok(pass_on(answered, place, permit, rules.deadline));
            }
            Err(failure) => failure,
        };
        verdict = verdict.and(failure.verdict);
        let attempt = Attempt {
            verdict,
            repeatable: rules.repeatable,
            attempts_made,
            attempts_max: rules.attempts_max,
            deadline: rules.deadline,
        };
        let step = next_retry(kernel, &rules, &attempt, &outgoing);
        let RetryStep::After(pause) = step else { return Err(failure.problem(verdict)) };
        metrics::counter!(metric::RETRIES).increment(1);
        tokio::time::sleep(pause).await;
    }
    unreachable!("the loop ends with its last attempt")
}

/// The rules of one request that do not change between attempts.
struct Rules {
    team: wasabiswitch_policy::ids::TeamId,
    service: wasabiswitch_policy::ids::ServiceId,
    pool: wasabiswitch_policy::ids::PoolId,
    request_id: HeaderValue,
    repeatable: bool,
    attempts_max: u32,
    deadline: Instant,
}

impl Rules {
    fn of(live: &Live) -> Rules {
        Rules {
            team: live.team.clone(),
            service: live.service.clone(),
            pool: live.pool.clone(),
            request_id: live.request_id.clone(),
            repeatable: live.repeatable,
            attempts_max: live.attempts_max,
            deadline: live.deadline,
        }
    }
}

/// An attempt that failed.
struct Failure {
    verdict: Verdict,
    code: wasabiswitch_kernel::http::problem::Code,
    detail: String,
}

impl Failure {
    /// Returns the problem for the caller; `verdict` covers all attempts.
    fn problem(self, verdict: Verdict) -> Problem {
        let problem = Problem::with_verdict(self.code, verdict, self.detail);
        if self.code == NO_UPSTREAM { problem.retry_after(RETRY_AFTER) } else { problem }
    }
}

async fn try_once(
    kernel: &Arc<Kernel>,
    rules: &Rules,
    outgoing: &mut ClientRequest,
    avoid: &mut Vec<FailureDomain>,
) -> Result<(Answered, Place), Failure> {
    let left = rules.deadline.saturating_duration_since(kernel.clock.now());
    if left.is_zero() {
        return Err(late(Verdict::NotRun));
    }
    let none = || Failure {
        verdict: Verdict::NotRun,
        code: NO_UPSTREAM,
        detail: format!("no upstream of pool {:?} accepts work", rules.pool),
    };
    let (place, idle) = take_place(kernel, &rules.pool, avoid).ok_or_else(none)?;
    let request = outgoing.next(left.as_millis() as u64).ok_or_else(none)?;
    let call = attempt(&kernel.network, &place, idle, request, &rules.request_id);
    let outcome = tokio::time::timeout(left, call).await;
    let verdict = match &outcome {
        Ok(Ok(_)) => Verdict::Ran,
        Ok(Err(error)) => error.verdict,
        Err(_) => Verdict::MayHaveRun,
    };
    count_attempt(verdict);
    avoid.push(place.failure_domain.clone());
    match outcome {
        Ok(Ok(answered)) => Ok((answered, place)),
        Ok(Err(error)) => Err(failed(error, &place, outgoing)),
        Err(_) => {
            place.note_failure();
            Err(late(Verdict::MayHaveRun))
        }
    }
}

/// Counts through handles that are looked up once, since every request comes by here.
fn count_attempt(verdict: Verdict) {
    static COUNTERS: OnceLock<[Counter; 3]> = OnceLock::new();
    let counters = COUNTERS.get_or_init(|| {
        [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran]
            .map(|verdict| metrics::counter!(metric::ATTEMPTS, "verdict" => verdict.as_str()))
    });
    counters[verdict as usize].increment(1);
}

fn late(verdict: Verdict) -> Failure {
    Failure { verdict, code: DEADLINE, detail: "the deadline has passed".to_owned() }
}

fn failed(error: AttemptError, place: &Place, outgoing: &mut ClientRequest) -> Failure {
    // An upstream that declines is doing what it should.
    if error.cause != AttemptCause::Declined {
        place.note_failure();
    }
    let detail = format!("upstream {}: {error}", place.instance);
    let code = match error.cause {
        AttemptCause::WrongAnswer => WRONG_ANSWER,
        AttemptCause::Failed | AttemptCause::Declined => UPSTREAM_FAILED,
    };
    let verdict = error.verdict;
    if let Some(unsent) = error.unsent {
        outgoing.restore(*unsent);
    }
    Failure { verdict, code, detail }
}

fn next_retry(
    kernel: &Kernel,
    rules: &Rules,
    attempt: &Attempt,
    outgoing: &ClientRequest,
) -> RetryStep {
    if !outgoing.can_repeat() {
        return RetryStep::GiveUp;
    }
    let now = kernel.clock.now();
    let jitter = fastrand::f64();
    let step = next_step(attempt, now, true, jitter);
    if step == RetryStep::GiveUp || spend_retry(kernel, rules) {
        return step;
    }
    next_step(attempt, now, false, jitter)
}

fn spend_retry(kernel: &Kernel, rules: &Rules) -> bool {
    let mut teams = kernel.tables.teams.lock();
    let team = teams.table.by_id_mut(&rules.team);
    let budget = team.and_then(|team| team.budgets.get_mut(&rules.service));
    budget.is_some_and(wasabiswitch_policy::retry::RetryBudget::spend)
}

/// Builds what is sent, and keeps a body that is small enough to be sent again.
async fn prepare(live: Live) -> Result<ClientRequest, Problem> {
    let mut head = Request::new(());
    *head.method_mut() = live.method;
    *head.uri_mut() = live.uri;
    *head.headers_mut() = passed_on(live.headers);
    let headers = head.headers_mut();
    // The key is between the team and this system; the upstream learns the team instead.
    headers.remove(header::AUTHORIZATION);
    headers.insert(REQUEST_ID_HEADER, live.request_id);
    if let Ok(team) = HeaderValue::from_str(&live.team) {
        headers.insert(TEAM_HEADER, team);
    }
    if !headers.contains_key(header::HOST) {
        headers.insert(header::HOST, HeaderValue::from_static("upstream"));
    }
    let small = live.body.size_hint().upper().is_some_and(|upper| upper <= REPLAY_MAX_BYTES);
    let body = if small {
        let collected = live.body.collect().await.map_err(|error| {
            let detail = format!("the body could not be read: {error}");
            Problem::not_run(wasabiswitch_kernel::http::problem::BAD_REQUEST, detail)
        })?;
        OutgoingBody::Kept(collected.to_bytes())
    } else {
        OutgoingBody::Streamed(Some(live.body), Arc::default())
    };
    Ok(ClientRequest { head, body })
}

/// The header that tells an upstream whose request it runs.
const TEAM_HEADER: HeaderName = HeaderName::from_static("x-wasabiswitch-team");

/// Removes the headers that belong to one connection.
fn passed_on(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
    headers
}

fn pass_on(
    answered: Answered,
    place: Place,
    permit: Permit,
    deadline: Instant,
) -> (Response<Body>, Verdict) {
    let Answered { head, body, connection } = answered;
    let body = match body {
        AnsweredBody::Whole(bytes) => {
            place.finish(connection);
            full_body(bytes)
        }
        AnsweredBody::Streamed(body) => relay(body, place, connection, permit, deadline),
    };
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = passed_on(head.headers);
    *response.version_mut() = Version::HTTP_11;
    response.headers_mut().insert(VERDICT_HEADER, verdict_value(Verdict::Ran));
    (response, Verdict::Ran)
}
