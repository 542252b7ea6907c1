//! The life of a request that may run at most once.
//!
//! Before the first byte goes out, the daemon claims the pair of team and idempotency key in a row of
//! the table service. The claim names the digest of the request, so that another request under the
//! same key is refused, and the session, so that a claim is never taken over: after any doubt the
//! request is not sent again. See docs/DESIGN.md, "At most once".

use wasabiswitch_derive::derives;

use crate::ids::{DaemonId, Epoch};

/// The digest of a request: method, path and body.
pub type RequestDigest = [u8; 32];

/// How far a request has come.
#[derives(record)]
pub enum IdempotencyState {
    /// A daemon may be sending it.
    Claimed,
    /// It has certainly not run and will not run under this claim; it may be claimed again.
    Released,
    /// It has run, and this is the answer.
    Answered(StoredAnswer),
    /// It has run, and the answer was too large to keep.
    AnswerNotKept,
}

/// An answer as it is kept for repeats.
#[derives(record)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are repeated, as names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
}

/// The row of one idempotency key.
#[derives(record)]
pub struct IdempotencyRow {
    /// The digest of the request that claimed the key.
    pub digest: RequestDigest,
    /// The daemon that claimed it.
    pub daemon: DaemonId,
    /// Its session.
    pub epoch: Epoch,
    /// Tells this claim from any other of the same session.
    pub claim: u64,
    /// How far the request has come.
    pub state: IdempotencyState,
    /// When the row may be dropped, in seconds of the Unix clock.
    ///
    /// The time is only ever compared to drop old rows, hours after the fact; no promise rests on it.
    pub expires_unix_s: u64,
}

/// A wish to run a request.
#[derives(record)]
pub struct ClaimRequest {
    /// The digest of the request.
    pub digest: RequestDigest,
    /// The daemon that would run it.
    pub daemon: DaemonId,
    /// Its session.
    pub epoch: Epoch,
    /// A fresh number for this claim.
    pub claim: u64,
    /// When the row may be dropped, in seconds of the Unix clock.
    pub expires_unix_s: u64,
}

/// What the row says to a claim.
#[derives(record)]
pub enum ClaimOutcome {
    /// Write this row; if the write takes effect, the request may be sent.
    Write(IdempotencyRow),
    /// The key belongs to a different request.
    OtherRequest,
    /// The request ran, and this is its answer.
    Repeat(StoredAnswer),
    /// The request ran, and its answer is no longer to be had.
    RanWithoutAnswer,
    /// The request may be running or may have run; it must not be sent again.
    InDoubt,
}

/// Decides a claim from the row as it was read.
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

/// Returns the row that ends a claim in `state`, or `None` if the claim is not the row's any more.
///
/// Only the claim that the row names may be ended, and only once.
pub fn end(
    row: &IdempotencyRow,
    epoch: Epoch,
    claim: u64,
    state: IdempotencyState,
) -> Option<IdempotencyRow> {
    let ours = row.epoch == epoch && row.claim == claim && row.state == IdempotencyState::Claimed;
    ours.then(|| IdempotencyRow { state, ..row.clone() })
}
