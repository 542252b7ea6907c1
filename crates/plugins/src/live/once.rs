//! Requests that may run at most once.
//!
//! The claim is written before the first byte goes out, and after any doubt the request is not sent
//! again. A repeat gets the stored answer. What could not be written at once is written later by a task
//! of the daemon; until then a repeat is told that the request may have run, which is true.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{self, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::BodyExt as _;
use wasabiswitch_kernel::http::problem::{
    ANSWER_NOT_KEPT, BAD_REQUEST, BODY_TOO_LARGE, CUT_OFF, IN_DOUBT, OTHER_REQUEST, Problem,
    UPSTREAM_FAILED, VERDICT_HEADER, verdict_value,
};
use wasabiswitch_kernel::http::{Body, ReadBodyError, full_body, read_body};
use wasabiswitch_kernel::store::{CallClass, CallOptions, Change};
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::idempotency::{
    ClaimOutcome, ClaimRequest, IdempotencyRow, IdempotencyState, RequestDigest, StoredAnswer,
    claim, end,
};
use wasabiswitch_policy::ids::Epoch;

use super::request::Live;
use super::{Answer, forward};
use crate::limits::{Permit, admit};
use crate::membership::holds_lease;
use crate::route::store_problem;

/// The key prefix of claims.
pub const ONCE_PREFIX: &str = "once/";
/// How long the daemon tries to record an outcome.
const RECORD_FOR: Duration = Duration::from_secs(120);
/// The pause between two tries to record an outcome.
const RECORD_PAUSE: Duration = Duration::from_secs(1);
/// How long one try to record an outcome may take.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// The header that marks an answer which was kept from an earlier run.
const REPEATED_HEADER: HeaderName = HeaderName::from_static("x-wasabiswitch-repeated");

/// Returns the key of the row for an idempotency key of a team.
pub fn once_key(team: &str, idempotency_key: &str) -> String {
    let digest = blake3::hash(idempotency_key.as_bytes()).to_hex();
    format!("{ONCE_PREFIX}{team}/{digest}")
}

/// A claim that this daemon holds.
#[derive(Clone)]
struct Claim {
    key: String,
    epoch: Epoch,
    claim: u64,
}

/// Runs a request at most once, or answers from an earlier run.
pub(super) async fn run(kernel: &Arc<Kernel>, live: Live) -> Answer {
    let (live, body) = read_request_body(kernel, live).await?;
    let permit = admit(kernel, &live.admission()).await?;
    let wish = claim_request(kernel, &live, &body);
    let claim = match take_claim(kernel, wish, live.deadline).await? {
        Claimed::New(claim) => claim,
        Claimed::Earlier(answer) => return Ok((repeated(answer), Verdict::Ran)),
    };
    // A claim of a session that has lapsed meanwhile must not be acted on.
    if !holds_lease(kernel) {
        record(kernel, claim, IdempotencyState::Released).await;
        return Err(Problem::not_run(CUT_OFF, "the session lapsed before the request was sent"));
    }
    let answer_max_bytes = kernel.settings.once_answer_max_bytes;
    send(kernel, live, permit, claim, answer_max_bytes).await
}

/// Reads the whole body, which the claim's digest covers.
async fn read_request_body(kernel: &Kernel, mut live: Live) -> Result<(Live, Bytes), Problem> {
    let max_bytes = kernel.settings.once_body_max_bytes;
    let body = std::mem::replace(&mut live.body, full_body(Bytes::new()));
    let left = live.deadline.saturating_duration_since(kernel.clock.now());
    let collected = match tokio::time::timeout(left, read_body(body, max_bytes)).await {
        Ok(Ok(collected)) => collected,
        Ok(Err(ReadBodyError::TooLarge)) => {
            let detail = format!("a request with an idempotency key has at most {max_bytes} bytes");
            return Err(Problem::not_run(BODY_TOO_LARGE, detail));
        }
        Ok(Err(error)) => return Err(Problem::not_run(BAD_REQUEST, error.to_string())),
        Err(_) => {
            let detail = "the body did not arrive before the deadline";
            return Err(Problem::not_run(BAD_REQUEST, detail));
        }
    };
    live.body = full_body(collected.clone());
    Ok((live, collected))
}

fn request_digest(live: &Live, body: &[u8]) -> RequestDigest {
    let mut hasher = blake3::Hasher::new();
    for part in [live.method.as_str(), " ", &live.service, " ", &live.uri.to_string(), "\n"] {
        hasher.update(part.as_bytes());
    }
    hasher.update(body);
    *hasher.finalize().as_bytes()
}

enum Claimed {
    New(Claim),
    Earlier(StoredAnswer),
}

/// A claim to be made, and the key of its row.
struct Wish {
    key: String,
    request: ClaimRequest,
}

fn claim_request(kernel: &Kernel, live: &Live, body: &[u8]) -> Wish {
    let (daemon, epoch) = kernel.session();
    let idempotency_key = live.idempotency_key.as_deref().unwrap_or_default();
    let request = ClaimRequest {
        digest: request_digest(live, body),
        daemon,
        epoch,
        claim: fastrand::u64(..),
        expires_unix_s: kernel.clock.unix_s() + live.keep_answers.as_secs(),
    };
    Wish { key: once_key(&live.team, idempotency_key), request }
}

async fn take_claim(
    kernel: &Arc<Kernel>,
    wish: Wish,
    deadline: Instant,
) -> Result<Claimed, Problem> {
    let Wish { key, request } = wish;
    let options = CallOptions { class: CallClass::Caller, deadline };
    let outcome = kernel
        .store
        .mutate_absent(options, &key, |row: Option<&IdempotencyRow>| match claim(row, &request) {
            ClaimOutcome::Write(row) => Change::Write(row.clone(), ClaimOutcome::Write(row)),
            other => Change::Keep(other),
        })
        .await;
    let own = Claim { key, epoch: request.epoch, claim: request.claim };
    let (label, result) = match outcome {
        Ok(ClaimOutcome::Write(_)) => ("new", Ok(Claimed::New(own))),
        Ok(ClaimOutcome::Repeat(answer)) => ("repeat", Ok(Claimed::Earlier(answer))),
        Ok(ClaimOutcome::OtherRequest) => ("other-request", Err(other_request())),
        Ok(ClaimOutcome::RanWithoutAnswer) => ("not-kept", Err(answer_not_kept())),
        Ok(ClaimOutcome::InDoubt) => ("in-doubt", Err(in_doubt())),
        Err(error) => {
            if error.verdict() == Verdict::MayHaveRun {
                release_later(kernel, own);
            }
            // Nothing was sent to an upstream, whatever became of the claim.
            let mut problem = store_problem(&error);
            problem.verdict = Verdict::NotRun;
            ("store-down", Err(problem))
        }
    };
    metrics::counter!(metric::ONCE_CLAIMS, "outcome" => label).increment(1);
    result
}

fn other_request() -> Problem {
    let detail = "the idempotency key belongs to a request with other content";
    Problem::not_run(OTHER_REQUEST, detail)
}

fn answer_not_kept() -> Problem {
    let detail = "the request has run, and its answer was too large to keep";
    Problem::with_verdict(ANSWER_NOT_KEPT, Verdict::Ran, detail)
}

fn in_doubt() -> Problem {
    let detail = "a request under this idempotency key is running or may have run";
    Problem::with_verdict(IN_DOUBT, Verdict::MayHaveRun, detail)
}

fn repeated(answer: StoredAnswer) -> Response<Body> {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    for (name, value) in answer.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_bytes(&value))
        {
            headers.append(name, value);
        }
    }
    headers.insert(VERDICT_HEADER, verdict_value(Verdict::Ran));
    headers.insert(REPEATED_HEADER, HeaderValue::from_static("true"));
    response
}

/// Sends a claimed request and records what became of it.
async fn send(
    kernel: &Arc<Kernel>,
    live: Live,
    permit: Permit,
    claim: Claim,
    answer_max_bytes: usize,
) -> Answer {
    let deadline = live.deadline;
    let (response, verdict) = match forward::run(kernel, live, permit).await {
        Ok(answer) => answer,
        Err(problem) => {
            if problem.verdict == Verdict::NotRun {
                record(kernel, claim, IdempotencyState::Released).await;
            }
            return Err(problem);
        }
    };
    let (head, body) = response.into_parts();
    let left = deadline.saturating_duration_since(kernel.clock.now());
    let collected = tokio::time::timeout(left, body.collect()).await;
    let Ok(Ok(whole)) = collected else {
        // The claim stays as it is, so that every repeat is told of the doubt.
        let detail = "the answer did not arrive whole";
        return Err(Problem::with_verdict(UPSTREAM_FAILED, Verdict::MayHaveRun, detail));
    };
    let bytes = whole.to_bytes();
    let state = if bytes.len() <= answer_max_bytes {
        IdempotencyState::Answered(stored_answer(&head, &bytes))
    } else {
        IdempotencyState::AnswerNotKept
    };
    record(kernel, claim, state).await;
    Ok((Response::from_parts(head, full_body(bytes)), verdict))
}

fn stored_answer(head: &http::response::Parts, body: &Bytes) -> StoredAnswer {
    let kept = head
        .headers
        .iter()
        .filter(|(name, _)| **name != header::TRANSFER_ENCODING && **name != header::DATE);
    StoredAnswer {
        status: head.status.as_u16(),
        headers: kept.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect(),
        body: body.to_vec(),
    }
}

/// Writes what became of a claim, now or, if that fails, later.
async fn record(kernel: &Arc<Kernel>, claim: Claim, state: IdempotencyState) {
    if !try_record(kernel, &claim, &state).await {
        record_later(kernel, claim, state);
    }
}

async fn try_record(kernel: &Kernel, claim: &Claim, state: &IdempotencyState) -> bool {
    let options = kernel.store.within(CallClass::Caller, RECORD_TIMEOUT);
    kernel
        .store
        .mutate(options, &claim.key, |row: Option<&IdempotencyRow>| {
            match row.and_then(|row| end(row, claim.epoch, claim.claim, state.clone())) {
                Some(next) => Change::Write(next, ()),
                None => Change::Keep(()),
            }
        })
        .await
        .is_ok()
}

/// Releases a claim whose write is in doubt, since its request was never sent.
fn release_later(kernel: &Arc<Kernel>, claim: Claim) {
    record_later(kernel, claim, IdempotencyState::Released);
}

fn record_later(kernel: &Arc<Kernel>, claim: Claim, state: IdempotencyState) {
    let task_kernel = kernel.clone();
    kernel.request_tasks.spawn("record outcome", async move {
        let give_up_at = task_kernel.clock.now() + RECORD_FOR;
        while task_kernel.clock.now() < give_up_at {
            tokio::time::sleep(RECORD_PAUSE).await;
            if try_record(&task_kernel, &claim, &state).await {
                return;
            }
        }
        log::warn!("the outcome of a claim could not be recorded; repeats are told of the doubt");
    });
}
