//! The daemon's two listeners, its client, and the problems that callers see.
//!
//! Callers reach the entry listener, which is plain `hyper` because each request passes it. Operators
//! and peers reach the control listener, which is a `poem` server.

pub mod client;
pub mod control;
pub mod entry;
pub mod problem;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};

/// The error of a body that could not be read to its end.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A body of a request or an answer, whole or streamed.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that is whole.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}
