//! Collects the bodies of requests within the budget of their listener.

use std::future::{Future, poll_fn};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body as _;
use http_body_util::BodyExt as _;

use super::intake::{Charge, ClientConnection, Limit};
use super::problem::{BAD_REQUEST, BODY_TOO_LARGE, OVERLOADED, Problem};
use super::{Body, BodyError};

/// Size of the first segment of a body that arrives in pieces, in bytes; most submissions fit.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;
/// Size of its further segments, in bytes.
const SEGMENT_BYTES: usize = 16 << 10;
/// Memory of a request beyond its body that is not counted, in bytes: half of the share of a connection.
const UNCOUNTED_BYTES_MAX: usize = 16 << 10;
/// Time after which a caller may retry a request that was refused for lack of room.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Error that occurred when a whole body was read.
#[derive(Debug, thiserror::Error)]
pub enum ReadBodyError {
    /// The body exceeds the size limit.
    #[error("the body is too large")]
    TooLarge,
    /// The body arrived in more pieces than the settings allow.
    #[error("the body arrived in too many pieces")]
    TooManyPieces,
    /// The body ended before it was complete.
    #[error("the body broke off: {0}")]
    Broken(BodyError),
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// The budget of the listener has no room for the body.
    #[error("the daemon holds as much unfinished input as its memory allows")]
    NoRoom,
}

impl ReadBodyError {
    /// Returns the time after which a retry may help, unless the request itself is at fault.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            ReadBodyError::TooSlow | ReadBodyError::NoRoom => Some(RETRY_AFTER),
            ReadBodyError::TooLarge | ReadBodyError::TooManyPieces | ReadBodyError::Broken(_) => {
                None
            }
        }
    }

    /// Returns the problem of a request that was not run, since its body could not be read; `too_large` is the detail
    /// of one that is too large.
    pub fn into_problem(self, too_large: impl FnOnce() -> String) -> Problem {
        match &self {
            ReadBodyError::TooLarge => Problem::not_run(BODY_TOO_LARGE, too_large()),
            ReadBodyError::TooManyPieces | ReadBodyError::Broken(_) => {
                Problem::not_run(BAD_REQUEST, self.to_string())
            }
            ReadBodyError::TooSlow | ReadBodyError::NoRoom => {
                Problem::not_run(OVERLOADED, self.to_string()).retry_after(RETRY_AFTER)
            }
        }
    }
}

/// Room in the budget of a listener, which is returned on drop.
#[derive(Debug)]
pub struct HeldRoom {
    _charge: Charge,
}

/// Takes room for what a handler keeps of a request until it is answered, such as a parsed body.
///
/// Returns `None` for what fits into the share of memory that each connection has. A request that exceeds the whole
/// budget takes all of it.
///
/// # Errors
///
/// The budget has no room, and the request must not be run.
pub async fn hold_room(
    connection: &Arc<ClientConnection>,
    bytes: usize,
) -> Result<Option<HeldRoom>, ReadBodyError> {
    if bytes <= UNCOUNTED_BYTES_MAX {
        return Ok(None);
    }
    let budget = connection.intake().bounds().bytes_max;
    let bytes = bytes.min(usize::try_from(budget).unwrap_or(usize::MAX));
    let mut charge = Charge::new(connection.clone());
    if !charge.add(bytes).await {
        connection.intake().count_refusal(Limit::Budget);
        return Err(ReadBodyError::NoRoom);
    }
    Ok(Some(HeldRoom { _charge: charge }))
}

/// Bytes of a body with their share of the budget.
struct ChargedBytes {
    bytes: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a whole body of at most `max_bytes` bytes from a connection.
///
/// The bytes count against the budget of the connection's listener until they are dropped.
pub async fn read_body(
    body: Body,
    max_bytes: usize,
    connection: &Arc<ClientConnection>,
) -> Result<Bytes, ReadBodyError> {
    if body.is_end_stream() {
        connection.set_body_unread(false);
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(ReadBodyError::TooLarge);
    }
    connection.begin_body();
    let limit = connection.intake().bounds().connection.body_timeout;
    let collected = until_refused(connection, collect(body, max_bytes, connection));
    let result = match tokio::time::timeout(limit, collected).await {
        Ok(result) => result,
        // A body that waits for room is not slow.
        Err(_) if connection.is_waiting() => Err(ReadBodyError::NoRoom),
        Err(_) => Err(ReadBodyError::TooSlow),
    };
    connection.end_body();
    match &result {
        Ok(_) => connection.set_body_unread(false),
        Err(ReadBodyError::TooSlow) => connection.intake().count_refusal(Limit::BodyTime),
        Err(ReadBodyError::NoRoom) => connection.intake().count_refusal(Limit::Budget),
        Err(ReadBodyError::TooManyPieces) => connection.intake().count_refusal(Limit::BodyPieces),
        Err(ReadBodyError::TooLarge | ReadBodyError::Broken(_)) => {}
    }
    result
}

/// Returns the result of `collected`, or [`ReadBodyError::NoRoom`] once the body is refused in favour of others.
async fn until_refused(
    connection: &ClientConnection,
    collected: impl Future<Output = Result<Bytes, ReadBodyError>>,
) -> Result<Bytes, ReadBodyError> {
    let mut collected = std::pin::pin!(collected);
    poll_fn(|context| {
        // What has arrived is read first, so that a body that is complete is served.
        let polled = collected.as_mut().poll(context);
        if polled.is_pending() {
            connection.register(context.waker());
            if connection.is_body_refused() {
                return Poll::Ready(Err(ReadBodyError::NoRoom));
            }
        }
        polled
    })
    .await
}

async fn collect(
    mut body: Body,
    max_bytes: usize,
    connection: &Arc<ClientConnection>,
) -> Result<Bytes, ReadBodyError> {
    // Small bodies arrive at once and are not copied.
    let Some(first) = next_piece(&mut body).await? else { return Ok(Bytes::new()) };
    if first.len() > max_bytes {
        return Err(ReadBodyError::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(first);
    }
    let mut collected = Segments::new(connection);
    let pieces_max = connection.intake().bounds().connection.body_pieces_max;
    let mut pieces = 0;
    let mut piece = Some(first);
    while let Some(data) = piece {
        if collected.length + data.len() > max_bytes {
            return Err(ReadBodyError::TooLarge);
        }
        pieces += 1;
        if pieces > pieces_max {
            return Err(ReadBodyError::TooManyPieces);
        }
        if !collected.append(&data).await {
            return Err(ReadBodyError::NoRoom);
        }
        drop(data);
        piece = next_piece(&mut body).await?;
    }
    Ok(collected.into_bytes())
}

/// Body that arrives in pieces, in segments of fixed sizes.
///
/// Unfinished bodies in buffers that grew fragmented the heap: with a budget of 40 MiB, the process took up to 165 MiB.
struct Segments {
    segments: Vec<Vec<u8>>,
    length: usize,
    charge: Charge,
}

impl Segments {
    fn new(connection: &Arc<ClientConnection>) -> Segments {
        Segments { segments: Vec::new(), length: 0, charge: Charge::new(connection.clone()) }
    }

    /// Appends a piece; returns whether the budget had room for it.
    async fn append(&mut self, mut data: &[u8]) -> bool {
        while !data.is_empty() {
            let left = self.segments.last().map_or(0, |last| last.capacity() - last.len());
            if left == 0 {
                let size =
                    if self.segments.is_empty() { FIRST_SEGMENT_BYTES } else { SEGMENT_BYTES };
                if !self.charge.add(size).await {
                    return false;
                }
                self.segments.push(Vec::with_capacity(size));
                continue;
            }
            let (now, rest) = data.split_at(left.min(data.len()));
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(now);
            }
            self.length += now.len();
            data = rest;
        }
        true
    }

    /// Joins the segments of a complete body and drops each once it is copied.
    fn into_bytes(self) -> Bytes {
        let mut bytes = Vec::with_capacity(self.length);
        for segment in self.segments {
            bytes.extend_from_slice(&segment);
        }
        Bytes::from_owner(ChargedBytes { bytes, _charge: self.charge })
    }
}

/// Returns the next piece of a body that has data, or `None` at its end.
async fn next_piece(body: &mut Body) -> Result<Option<Bytes>, ReadBodyError> {
    while let Some(frame) = body.frame().await {
        match frame.map_err(ReadBodyError::Broken)?.into_data() {
            Ok(data) if !data.is_empty() => return Ok(Some(data)),
            _ => {}
        }
    }
    Ok(None)
}
