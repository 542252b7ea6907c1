//! Why a call to the table service failed, and whether it may have taken effect.

use wasabiswitch_policy::Verdict;

use crate::platform::PlatformError;

/// Why a call failed.
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
    /// Others changed the row again and again.
    #[error("too many races")]
    Contention,
    /// A row could not be decoded.
    #[error("row {key:?}: {detail}")]
    Damaged {
        /// The key of the row.
        key: String,
        /// What is wrong with it.
        detail: String,
    },
}

impl StoreError {
    pub(super) fn new(kind: StoreErrorKind) -> StoreError {
        StoreError { kind }
    }

    /// Returns what went wrong.
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
