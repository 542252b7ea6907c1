//! The daemon's two listeners, its client, and the problems that callers see.
//!
//! Callers reach the entry listener, which is plain `hyper` because each request passes it. Operators
//! and peers reach the control listener, which is a `poem` server.

pub mod client;
pub mod control;
pub mod entry;
pub mod problem;

use bytes::{Bytes, BytesMut};
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

/// Why a body could not be read as a whole.
#[derive(Debug, thiserror::Error)]
pub enum ReadBodyError {
    /// The body has more bytes than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// The body broke off.
    #[error("the body broke off: {0}")]
    Broken(BodyError),
}

/// Reads a whole body of at most `max_bytes`.
pub async fn read_body(mut body: Body, max_bytes: usize) -> Result<Bytes, ReadBodyError> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(ReadBodyError::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        if collected.len() + data.len() > max_bytes {
            return Err(ReadBodyError::TooLarge);
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}
