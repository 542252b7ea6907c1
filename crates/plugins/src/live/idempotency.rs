//! Requests with an idempotency key, which run at most once.
//!
//! The claim is written before the first byte is sent, and a request whose outcome is in doubt is
//! not sent again. A repeat gets the stored answer. A claim state that cannot be written
//! immediately is written by a background task of the daemon; until then a repeat gets the verdict
//! `may-have-run`, which is correct.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{self, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::BodyExt as _;
use wasabiswitch_kernel::http::problem::{
    ANSWER_NOT_KEPT, BAD_REQUEST, CUT_OFF, IN_DOUBT, OTHER_REQUEST, Problem, UPSTREAM_FAILED,
    VERDICT_HEADER, verdict_value,
};
use wasabiswitch_kernel::http::{Body, full_body, read_body};
use wasabiswitch_kernel::store::{CallClass, CallOptions, Change};
use wasabiswitch_kernel::{Kernel, metric};
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::idempotency::{
    ClaimOutcome, ClaimRequest, IdempotencyRow, IdempotencyState, RequestDigest, StoredResponse,
    claim, end,
};
use wasabiswitch_policy::ids::Epoch;

use super::request::LiveRequest;
use super::{LiveResult, forward};
use crate::limits::{Permit, admit};
use crate::membership::holds_lease;
use crate::route::store_problem;

/// Key prefix of the rows of idempotency keys.
pub const IDEMPOTENCY_PREFIX: &str = "once/";
/// Time for which the daemon retries to record an outcome.
const RECORD_RETRY_PERIOD: Duration = Duration::from_secs(120);
/// Delay between two attempts to record an outcome.
const RECORD_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Timeout of one attempt to record an outcome.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// Header that marks an answer as stored from an earlier run.
const REPEATED_HEADER: HeaderName = HeaderName::from_static("x-wasabiswitch-repeated");

/// Returns the row key of a team's idempotency key.
pub fn idempotency_row_key(team: &str, idempotency_key: &str) -> String {
    let digest = blake3::hash(idempotency_key.as_bytes()).to_hex();
    format!("{IDEMPOTENCY_PREFIX}{team}/{digest}")
}

/// A claim of this daemon, identified by the key of its row, the epoch of the session and a random id.
#[derive(Clone)]
struct Claim {
    key: String,
    epoch: Epoch,
    id: u64,
}

/// Runs a request at most once, or returns the stored answer of an earlier run.
pub(super) async fn run(kernel: &Arc<Kernel>, request: LiveRequest) -> LiveResult {
    let (request, body) = read_request_body(kernel, request).await?;
    let permit = admit(kernel, &request.admission_request()).await?;
    let pending = claim_request(kernel, &request, &body);
    let claim = match write_claim(kernel, pending, request.deadline).await? {
        ClaimResult::New(claim) => claim,
        ClaimResult::Repeat(answer) => return Ok((repeat_response(answer), Verdict::Ran)),
    };
    // The session may have expired while the claim was written; such a claim must not be acted on.
    if !holds_lease(kernel) {
        record_state(kernel, claim, IdempotencyState::Released).await;
        return Err(Problem::not_run(CUT_OFF, "the session lapsed before the request was sent"));
    }
    let answer_max_bytes = kernel.settings.once_answer_max_bytes;
    send_claimed(kernel, request, permit, claim, answer_max_bytes).await
}

/// Reads the whole body, which the digest of the claim covers.
async fn read_request_body(
    kernel: &Kernel,
    mut request: LiveRequest,
) -> Result<(LiveRequest, Bytes), Problem> {
    let max_bytes = kernel.settings.once_body_max_bytes;
    let body = std::mem::replace(&mut request.body, full_body(Bytes::new()));
    let remaining = request.deadline.saturating_duration_since(kernel.clock.now());
    let collected = read_body(body, max_bytes, &request.connection);
    let collected = match tokio::time::timeout(remaining, collected).await {
        Ok(Ok(collected)) => collected,
        Ok(Err(error)) => {
            let too_large =
                || format!("a request with an idempotency key has at most {max_bytes} bytes");
            return Err(error.into_problem(too_large));
        }
        Err(_) => {
            let detail = "the body did not arrive before the deadline";
            return Err(Problem::not_run(BAD_REQUEST, detail));
        }
    };
    request.body = full_body(collected.clone());
    Ok((request, collected))
}

fn request_digest(request: &LiveRequest, body: &[u8]) -> RequestDigest {
    let mut hasher = blake3::Hasher::new();
    for part in
        [request.method.as_str(), " ", &request.service, " ", &request.uri.to_string(), "\n"]
    {
        hasher.update(part.as_bytes());
    }
    hasher.update(body);
    *hasher.finalize().as_bytes()
}

enum ClaimResult {
    New(Claim),
    Repeat(StoredResponse),
}

/// A claim that has not been written yet, and the key of its row.
struct PendingClaim {
    key: String,
    claim_request: ClaimRequest,
}

fn claim_request(kernel: &Kernel, request: &LiveRequest, body: &[u8]) -> PendingClaim {
    let (daemon, epoch) = kernel.session();
    let idempotency_key = request.idempotency_key.as_deref().unwrap_or_default();
    let claim_request = ClaimRequest {
        digest: request_digest(request, body),
        daemon,
        epoch,
        claim: fastrand::u64(..),
        expires_unix_s: kernel.clock.unix_s() + request.answer_retention.as_secs(),
    };
    PendingClaim { key: idempotency_row_key(&request.team, idempotency_key), claim_request }
}

async fn write_claim(
    kernel: &Arc<Kernel>,
    pending: PendingClaim,
    deadline: Instant,
) -> Result<ClaimResult, Problem> {
    let PendingClaim { key, claim_request } = pending;
    let options = CallOptions { class: CallClass::Caller, deadline };
    let outcome = kernel
        .store
        .mutate_absent(options, &key, |row: Option<&IdempotencyRow>| {
            match claim(row, &claim_request) {
                ClaimOutcome::Write(row) => Change::Write(row.clone(), ClaimOutcome::Write(row)),
                other => Change::Keep(other),
            }
        })
        .await;
    let new_claim = Claim { key, epoch: claim_request.epoch, id: claim_request.claim };
    let (label, result) = match outcome {
        Ok(ClaimOutcome::Write(_)) => ("new", Ok(ClaimResult::New(new_claim))),
        Ok(ClaimOutcome::Repeat(answer)) => ("repeat", Ok(ClaimResult::Repeat(answer))),
        Ok(ClaimOutcome::OtherRequest) => ("other-request", Err(other_request())),
        Ok(ClaimOutcome::RanWithoutAnswer) => ("not-kept", Err(answer_not_kept())),
        Ok(ClaimOutcome::InDoubt) => ("in-doubt", Err(in_doubt())),
        Err(error) => {
            if error.verdict() == Verdict::MayHaveRun {
                release_in_background(kernel, new_claim);
            }
            // No upstream was called, whether or not the claim was written.
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

fn repeat_response(answer: StoredResponse) -> Response<Body> {
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

/// Sends a claimed request and records its outcome.
async fn send_claimed(
    kernel: &Arc<Kernel>,
    request: LiveRequest,
    permit: Permit,
    claim: Claim,
    answer_max_bytes: usize,
) -> LiveResult {
    let deadline = request.deadline;
    let (response, verdict) = match forward::run(kernel, request, permit).await {
        Ok(result) => result,
        Err(problem) => {
            if problem.verdict == Verdict::NotRun {
                record_state(kernel, claim, IdempotencyState::Released).await;
            }
            return Err(problem);
        }
    };
    let (head, body) = response.into_parts();
    let remaining = deadline.saturating_duration_since(kernel.clock.now());
    let collected = tokio::time::timeout(remaining, body.collect()).await;
    let Ok(Ok(complete_body)) = collected else {
        // The claim stays as it is, so that every repeat is answered as in doubt.
        let detail = "the answer did not arrive whole";
        return Err(Problem::with_verdict(UPSTREAM_FAILED, Verdict::MayHaveRun, detail));
    };
    let bytes = complete_body.to_bytes();
    let state = if bytes.len() <= answer_max_bytes {
        IdempotencyState::Answered(stored_answer(&head, &bytes))
    } else {
        IdempotencyState::AnswerNotKept
    };
    record_state(kernel, claim, state).await;
    Ok((Response::from_parts(head, full_body(bytes)), verdict))
}

fn stored_answer(head: &http::response::Parts, body: &Bytes) -> StoredResponse {
    let stored_headers = head
        .headers
        .iter()
        .filter(|(name, _)| **name != header::TRANSFER_ENCODING && **name != header::DATE);
    StoredResponse {
        status: head.status.as_u16(),
        headers: stored_headers
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect(),
        body: body.to_vec(),
    }
}

/// Writes the final state of a claim; if that fails, a background task retries it.
async fn record_state(kernel: &Arc<Kernel>, claim: Claim, state: IdempotencyState) {
    if !try_record(kernel, &claim, &state).await {
        record_in_background(kernel, claim, state);
    }
}

async fn try_record(kernel: &Kernel, claim: &Claim, state: &IdempotencyState) -> bool {
    let options = kernel.store.within(CallClass::Caller, RECORD_TIMEOUT);
    kernel
        .store
        .mutate(options, &claim.key, |row: Option<&IdempotencyRow>| {
            match row.and_then(|row| end(row, claim.epoch, claim.id, state.clone())) {
                Some(next) => Change::Write(next, ()),
                None => Change::Keep(()),
            }
        })
        .await
        .is_ok()
}

/// Releases a claim whose write is in doubt, since its request was never sent.
fn release_in_background(kernel: &Arc<Kernel>, claim: Claim) {
    record_in_background(kernel, claim, IdempotencyState::Released);
}

fn record_in_background(kernel: &Arc<Kernel>, claim: Claim, state: IdempotencyState) {
    let task_kernel = kernel.clone();
    kernel.request_tasks.spawn("record outcome", async move {
        let retry_until = task_kernel.clock.now() + RECORD_RETRY_PERIOD;
        while task_kernel.clock.now() < retry_until {
            tokio::time::sleep(RECORD_RETRY_DELAY).await;
            if try_record(&task_kernel, &claim, &state).await {
                return;
            }
        }
        log::warn!(
            "outcome of an idempotency claim could not be recorded; \
             repeats are answered as in doubt"
        );
    });
}
