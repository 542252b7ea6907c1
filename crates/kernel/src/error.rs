//! Why a daemon cannot start or go on.

use std::net::SocketAddr;

use wasabiswitch_policy::Verdict;

use crate::plugin::PluginError;
use crate::store::StoreError;

/// An error of the daemon as a whole.
#[derive(Debug, thiserror::Error)]
#[error("{kind}")]
pub struct Error {
    kind: ErrorKind,
}

/// The kinds of [`Error`].
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The plug-ins cannot be started together.
    #[error(transparent)]
    Plugins(#[from] PluginError),
    /// A listener cannot be opened.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        error: std::io::Error,
    },
    /// The platform cannot be reached, or what it holds cannot be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The first configuration cannot be read.
    #[error("the first configuration cannot be read:\n{0}")]
    FirstConfig(String),
    /// The stored configuration cannot be read.
    #[error("the stored configuration cannot be read: {0}")]
    StoredConfig(String),
}

impl Error {
    /// Returns what went wrong.
    pub fn kind(&self) -> &ErrorKind {
        &self.kind
    }

    /// Returns whether what failed may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match &self.kind {
            ErrorKind::Store(error) => error.verdict(),
            _ => Verdict::NotRun,
        }
    }
}

impl<T: Into<ErrorKind>> From<T> for Error {
    fn from(kind: T) -> Error {
        Error { kind: kind.into() }
    }
}
