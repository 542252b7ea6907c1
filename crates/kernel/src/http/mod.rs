//! The two listeners of the daemon, its HTTP client and problem responses.
//!
//! The entry listener serves callers; it uses `hyper` directly since every request passes through it.
//! The control listener serves operators and peers with a `poem` server.

pub mod client;
pub mod control;
pub mod entry;
pub mod problem;

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};

/// Cause for which a body could not be read to its end.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a request or a response, whole or streamed.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that consists of `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Error that occurred when a whole body was read.
#[derive(Debug, thiserror::Error)]
pub enum ReadBodyError {
    /// The body exceeds the size limit.
    #[error("the body is too large")]
    TooLarge,
    /// The body ended before it was complete.
    #[error("the body broke off: {0}")]
    Broken(BodyError),
}

/// Reads a whole body of at most `max_bytes` bytes.
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
