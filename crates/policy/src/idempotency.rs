//! State machine of requests with idempotency keys, which run at most once.
//!
//! Before it sends the first byte of a request, a daemon claims the pair of team and idempotency
//! key in a row of the table service. The claim contains the digest of the request, so that a
//! different request with the same key is refused, and the daemon's session, so that no other
//! session can end the claim. A claimed request whose outcome is in doubt is never sent again. See
//! docs/DESIGN.md, "At most once".

use wasabiswitch_derive::derives;

use crate::ids::{DaemonId, Epoch};

/// Digest of a request's method, path and body.
pub type RequestDigest = [u8; 32];

/// State of a request with an idempotency key.
#[derives(record)]
pub enum IdempotencyState {
    /// Claimed by a daemon that may have sent it.
    Claimed,
    /// Not run, and never to run under this claim; it may be claimed again.
    Released,
    /// Run, with the response stored.
    Answered(StoredResponse),
    /// Run, with a response that was too large to store.
    AnswerNotKept,
}

/// Response that is stored for repeats of its request.
#[derives(record)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are replayed, as names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body of the response.
    pub body: Vec<u8>,
}

/// Stored row of an idempotency key.
#[derives(record)]
pub struct IdempotencyRow {
    /// Digest of the request that claimed the key.
    pub digest: RequestDigest,
    /// Daemon that claimed the key.
    pub daemon: DaemonId,
    /// Epoch of the daemon's session.
    pub epoch: Epoch,
    /// Number of the claim, unique within the session.
    pub claim: u64,
    /// State of the request.
    pub state: IdempotencyState,
    /// Time after which the row may be deleted, in Unix seconds.
    ///
    /// This wall-clock time is only used to delete old rows, hours later; no guarantee depends on
    /// it.
    pub expires_unix_s: u64,
}

/// Request to claim an idempotency key.
#[derives(record)]
pub struct ClaimRequest {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Claiming daemon.
    pub daemon: DaemonId,
    /// Epoch of the daemon's session.
    pub epoch: Epoch,
    /// New number of the claim, unique within the session.
    pub claim: u64,
    /// Time after which the row may be deleted, in Unix seconds.
    pub expires_unix_s: u64,
}

/// Outcome of a claim.
#[derives(record)]
pub enum ClaimOutcome {
    /// The claim may be written as this row; once the write takes effect, the request may be sent.
    Write(IdempotencyRow),
    /// The key belongs to a different request.
    OtherRequest,
    /// The request has run, and this is the stored response.
    Repeat(StoredResponse),
    /// The request has run, and its response was not stored.
    RanWithoutAnswer,
    /// The request may be running or may have run; it must not be sent again.
    InDoubt,
}

/// Returns the outcome of a claim on the row as read.
pub fn claim(row: Option<&IdempotencyRow>, request: &ClaimRequest) -> ClaimOutcome {
    let fresh = IdempotencyRow {
        digest: request.digest,
        daemon: request.daemon.clone(),
        epoch: request.epoch,
        claim: request.claim,
        state: IdempotencyState::Claimed,
        expires_unix_s: request.expires_unix_s,
    };
    let Some(row) = row else { return ClaimOutcome::Write(fresh) };
    if row.digest != request.digest {
        return ClaimOutcome::OtherRequest;
    }
    match &row.state {
        IdempotencyState::Released => ClaimOutcome::Write(fresh),
        IdempotencyState::Claimed => ClaimOutcome::InDoubt,
        IdempotencyState::Answered(answer) => ClaimOutcome::Repeat(answer.clone()),
        IdempotencyState::AnswerNotKept => ClaimOutcome::RanWithoutAnswer,
    }
}

/// Returns the row that ends a claim with `state`, or `None` if the row does not hold this claim.
///
/// A claim can be ended only once.
pub fn end(
    row: &IdempotencyRow,
    epoch: Epoch,
    claim: u64,
    state: IdempotencyState,
) -> Option<IdempotencyRow> {
    let ours = row.epoch == epoch && row.claim == claim && row.state == IdempotencyState::Claimed;
    ours.then(|| IdempotencyRow { state, ..row.clone() })
}
