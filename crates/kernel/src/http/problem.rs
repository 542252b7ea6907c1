//! Error responses to callers, in `application/problem+json`.
//!
//! Each problem has a code, and a verdict that tells whether the request may have run.
//! docs/operators/problems.md lists all codes, and a test compares that list with [`ALL_CODES`].

use std::time::Duration;

use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use wasabiswitch_derive::derives;
use wasabiswitch_policy::Verdict;

use super::{Body, full_body};
use crate::metric;

/// Header of the verdict of a request.
pub const VERDICT_HEADER: HeaderName = HeaderName::from_static("x-wasabiswitch-verdict");
/// Header of the id of a request.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-wasabiswitch-request-id");

/// Media type of problems.
const PROBLEM_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");

/// Code of a problem, with its HTTP status and title.
#[derives(value)]
pub struct Code {
    /// Stable name, which callers may match.
    pub name: &'static str,
    /// HTTP status of the response.
    pub status: u16,
    /// Meaning of the code, which is the title of the problem.
    pub meaning: &'static str,
}

macro_rules! codes {
    ($($constant:ident = $name:literal, $status:literal, $meaning:literal;)+) => {
        $(#[doc = $meaning]
        pub const $constant: Code = Code { name: $name, status: $status, meaning: $meaning };)+

        /// All codes, in the order of this file.
        pub const ALL_CODES: &[Code] = &[$($constant),+];
    };
}

codes! {
    BAD_REQUEST = "bad-request", 400, "The request is malformed.";
    BAD_KEY = "bad-key", 401, "No key was presented, or it is unknown or withdrawn.";
    NOT_YOURS = "not-yours", 403, "The key does not give access to this.";
    NOT_FOUND = "not-found", 404, "There is no such service, job or path.";
    IN_DOUBT = "in-doubt", 409,
        "A request under this idempotency key is running or may have run; it is not sent again.";
    CONFLICT = "conflict", 409, "Someone else has changed this meanwhile; nothing was changed.";
    BODY_TOO_LARGE = "body-too-large", 413, "The body is larger than allowed here.";
    OTHER_REQUEST = "other-request", 422,
        "The idempotency key was used for a request with another method, path or body.";
    INVALID = "invalid", 422, "The content is well formed, but cannot be accepted.";
    OVER_LIMIT = "over-limit", 429, "The team has as much running as its limit allows.";
    QUEUE_FULL = "queue-full", 429, "The queue is full, and the team is furthest over its share.";
    OVERLOADED = "overloaded", 503,
        "The daemon has no room for the body, or it did not arrive in time; retry later.";
    CUT_OFF = "cut-off", 503,
        "The daemon reaches neither the table service nor its peers and cannot check keys.";
    NO_UPSTREAM = "no-upstream", 503, "No upstream of the service accepts work now.";
    NO_OWNER = "no-owner", 503, "No daemon owns the fleet now, or its owner is not reached.";
    STORE_DOWN = "store-down", 503, "The table service cannot be reached, and this needs it.";
    UPSTREAM_FAILED = "upstream-failed", 502, "The upstream gave no whole answer.";
    WRONG_ANSWER = "wrong-answer", 502, "The upstream answered another request.";
    NOT_IN_FORCE = "not-in-force", 503,
        "The configuration was stored, but a majority of daemons has not confirmed it in time.";
    DEADLINE = "deadline", 504, "The deadline has passed.";
    STOPPED = "stopped", 504, "The daemon stopped before the request ended; it may have run.";
    ANSWER_NOT_KEPT = "answer-not-kept", 410,
        "The request has run, and its answer is no longer kept.";
    INTERNAL = "internal", 500, "The daemon has failed.";
}

/// Problem of a request: a refusal or a failure.
#[derives(record)]
pub struct Problem {
    /// Code with the HTTP status.
    pub code: Code,
    /// Description of this occurrence for human readers; must not contain a key.
    pub detail: String,
    /// Whether the request may have taken effect.
    pub verdict: Verdict,
    /// Time after which the caller may retry, if a retry can help.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Creates the problem of a request that has not run.
    pub fn not_run(code: Code, detail: impl Into<String>) -> Problem {
        Problem { code, detail: detail.into(), verdict: Verdict::NotRun, retry_after: None }
    }

    /// Creates the problem of a request with the given verdict.
    pub fn with_verdict(code: Code, verdict: Verdict, detail: impl Into<String>) -> Problem {
        Problem { code, detail: detail.into(), verdict, retry_after: None }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, after: Duration) -> Problem {
        self.retry_after = Some(after);
        self
    }

    /// Returns the problem as a JSON document.
    pub fn to_json(&self) -> String {
        serde_json::json!({
            "type": "about:blank",
            "title": self.code.meaning,
            "status": self.code.status,
            "code": self.code.name,
            "detail": self.detail,
            "verdict": self.verdict.as_str(),
        })
        .to_string()
    }

    /// Returns the HTTP status of the code.
    pub fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.code.status).expect("the codes have valid statuses")
    }

    /// Returns the value of the `retry-after` header: whole seconds, rounded up, at least one.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after.map(|after| after.as_secs_f64().ceil().max(1.0) as u64)
    }

    /// Counts the problem and returns the response to the caller.
    pub fn into_response(self) -> Response<Body> {
        metrics::counter!(metric::REFUSALS, "code" => self.code.name).increment(1);
        let mut response = Response::new(full_body(self.to_json()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, PROBLEM_TYPE);
        headers.insert(VERDICT_HEADER, verdict_value(self.verdict));
        if let Some(seconds) = self.retry_after_s() {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Returns the header value of a verdict.
pub fn verdict_value(verdict: Verdict) -> HeaderValue {
    HeaderValue::from_static(verdict.as_str())
}
