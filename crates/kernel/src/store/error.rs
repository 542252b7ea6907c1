//! Errors of calls to the table service and the object store.

use wasabiswitch_policy::Verdict;

use crate::platform::PlatformError;

/// Error of a call, which tells whether the call may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the table service: {kind}")]
pub struct StoreError {
    kind: StoreErrorKind,
}

/// The kinds of [`StoreError`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum StoreErrorKind {
    /// The call took no effect.
    #[error("not reached: {0}")]
    Unavailable(String),
    /// The call may have taken effect.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// Each attempt met a conflict with another writer; the last one took no effect.
    #[error("too many races")]
    Contention,
    /// A row could not be decoded.
    #[error("row {key:?}: {detail}")]
    Damaged {
        /// Key of the row.
        key: String,
        /// Error of the decoder.
        detail: String,
    },
}

impl StoreError {
    pub(super) fn new(kind: StoreErrorKind) -> StoreError {
        StoreError { kind }
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> &StoreErrorKind {
        &self.kind
    }

    /// Returns whether the call may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self.kind {
            StoreErrorKind::Unknown(_) => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

impl From<PlatformError> for StoreError {
    fn from(error: PlatformError) -> StoreError {
        StoreError::new(match error.verdict {
            Verdict::NotRun => StoreErrorKind::Unavailable(error.detail),
            Verdict::MayHaveRun | Verdict::Ran => StoreErrorKind::Unknown(error.detail),
        })
    }
}
