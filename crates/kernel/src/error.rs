//! Errors that keep a daemon from starting or running.

use std::net::SocketAddr;

use wasabiswitch_policy::Verdict;

use crate::plugin::PluginError;
use crate::store::StoreError;

/// Fatal error of the daemon.
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
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The platform cannot be reached, or a stored row cannot be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The folder of the first configuration cannot be read.
    #[error("the first configuration cannot be read:\n{0}")]
    FirstConfig(String),
    /// The stored configuration cannot be read.
    #[error("the stored configuration cannot be read: {0}")]
    StoredConfig(String),
}

impl Error {
    /// Returns the kind of the error.
    pub fn kind(&self) -> &ErrorKind {
        &self.kind
    }

    /// Returns whether the failed call may have taken effect.
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
