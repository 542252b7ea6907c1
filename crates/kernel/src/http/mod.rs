//! The two listeners of the daemon, its HTTP client and problem responses.
//!
//! The entry listener serves callers, the control listener operators and peers. `hyper` runs the connections of both,
//! since the limits on heads and connections are set there; the control listener passes requests on as those of
//! `poem`.

mod body;
pub mod client;
mod connection;
pub mod control;
pub mod entry;
pub mod intake;
pub mod problem;
pub mod readiness;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};

pub use body::{HeldRoom, ReadBodyError, hold_room, read_body};

/// Cause for which a body could not be read to its end.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a request or a response, whole or streamed.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that consists of `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}
