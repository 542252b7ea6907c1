//! Limits on what a daemon takes in from clients, and whom to refuse when a limit is reached.
//!
//! Each listener has a budget of bytes for bodies that are being read or are held by requests, and a bound on its
//! connections. A listener that has no room left refuses the request or closes the connection that blocks the others
//! most: one that has stopped sending, of the caller that holds most. See docs/design/intake.md.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabiswitch_derive::derives;

/// Identity of a caller: a hash of its team, or of its address while the team is unknown.
pub type CallerId = u64;

/// Time without a byte after which a body counts as stalled.
///
/// It exceeds round trips and the retransmission of a lost packet. A slow link of 10 Mbit/s delivers a byte at least
/// every few milliseconds.
pub const STALL_TIME: Duration = Duration::from_millis(400);
/// Time after which an idle connection of a known caller may be closed for a new one.
pub const IDLE_TIME_MIN: Duration = Duration::from_secs(10);
/// Time for which a client has read nothing of its answer, after which its connection may be closed for a new one.
///
/// It exceeds the time for which callers wait, and that for which a caller's process is paused.
pub const UNREAD_TIME: Duration = Duration::from_secs(10);
/// Memory that a connection takes without the body of a request, in bytes: buffers of the HTTP library and its task.
///
/// 900 connections with unfinished heads took 26 MiB.
pub const CONNECTION_BYTES: u64 = 32 << 10;
/// Descriptors of an instance that are for files.
pub const FILE_DESCRIPTORS: u32 = 200;

/// Bounds that follow from the size of an instance.
#[derives(value)]
pub struct DefaultBounds {
    /// Bytes of bodies that the entry listener holds.
    pub entry_bytes_max: u64,
    /// Connections of the entry listener.
    pub entry_connections_max: u32,
}

/// Returns the default bounds of an instance with the given memory and number of descriptors.
///
/// An eighth of the memory is for bodies and a quarter for connections; the rest is for the other listeners and the
/// daemon's own state, which is largest in the owner of a large fleet. Half of the descriptors that are not for files are for connections of callers, the rest for
/// peers and connections that the daemon opens itself.
pub fn default_bounds(memory_mib: u32, descriptors: u32) -> DefaultBounds {
    let memory_bytes = u64::from(memory_mib) << 20;
    let by_memory = u32::try_from(memory_bytes / 4 / CONNECTION_BYTES).unwrap_or(u32::MAX);
    let by_descriptors = descriptors.saturating_sub(FILE_DESCRIPTORS) / 2;
    DefaultBounds {
        entry_bytes_max: memory_bytes / 8,
        entry_connections_max: by_memory.min(by_descriptors).max(1),
    }
}

/// Limits on a single connection and its requests.
#[derives(value)]
pub struct ConnectionLimits {
    /// Size of the head of a request, with empty lines before it, in bytes.
    pub head_max_bytes: usize,
    /// Number of headers of a request.
    pub headers_max: usize,
    /// Time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Time from the head to the end of a body that is collected.
    pub body_timeout: Duration,
    /// Number of pieces in which a body that is collected may arrive, which bounds the overhead of small chunks.
    pub body_pieces_max: u32,
}

/// Body that is being read.
#[derives(value)]
pub struct Reader {
    /// Caller that sends it.
    pub caller: CallerId,
    /// Bytes that its connection holds.
    pub held_bytes: u64,
    /// Time since its last byte arrived.
    pub quiet: Duration,
    /// Whether it waits for room, so that its silence is not the client's fault.
    pub is_waiting: bool,
    /// Whether it has been refused and will release its bytes.
    pub is_refused: bool,
}

/// Decision on a body for which the budget has no room.
#[derives(value)]
pub enum RoomDecision {
    /// It waits, since room will become free.
    Wait,
    /// The reader of this index is refused.
    Refuse(usize),
}

/// Decides how room is made for the reader `requester`, which needs `needed_bytes` beyond the `free_bytes`.
///
/// Stalled bodies of the caller that holds most are refused first. A caller within its share of the budget, which is
/// the same for all callers that hold something, takes room from a caller beyond its own, also if that one has not
/// stalled. A body waits while others make progress or while requests that are being served hold enough, and is refused
/// if all wait for each other.
pub fn decide_room(
    readers: &[Reader],
    requester: usize,
    needed_bytes: u64,
    free_bytes: u64,
    budget_bytes: u64,
) -> RoomDecision {
    let releasing: u64 = readers.iter().filter(|r| r.is_refused).map(|r| r.held_bytes).sum();
    if free_bytes + releasing >= needed_bytes {
        return RoomDecision::Wait;
    }
    let mut sums: BTreeMap<CallerId, u64> = BTreeMap::new();
    for reader in readers.iter().filter(|reader| !reader.is_refused) {
        *sums.entry(reader.caller).or_default() += reader.held_bytes;
    }
    let own = readers[requester].caller;
    *sums.entry(own).or_default() += needed_bytes;
    let share = budget_bytes / sums.len() as u64;
    let largest = sums.iter().max_by_key(|(_, sum)| **sum).map_or(own, |(caller, _)| *caller);
    let candidates = || {
        let present = readers.iter().enumerate();
        present.filter(|(_, reader)| !reader.is_refused && reader.held_bytes > 0)
    };
    let stalled = |caller: Option<CallerId>| {
        candidates()
            .filter(|(_, reader)| !reader.is_waiting && reader.quiet >= STALL_TIME)
            .filter(|(_, reader)| caller.is_none_or(|caller| caller == reader.caller))
            .max_by_key(|(_, reader)| u128::from(reader.held_bytes) * reader.quiet.as_millis())
            .map(|(index, _)| index)
    };
    let largest_reader = || {
        let of_largest = candidates().filter(|(_, reader)| reader.caller == largest);
        of_largest.max_by_key(|(_, reader)| reader.held_bytes).map(|(index, _)| index)
    };
    if let Some(index) = stalled(Some(largest)) {
        return RoomDecision::Refuse(index);
    }
    if sums[&own] <= share
        && sums[&largest] > share
        && let Some(index) = largest_reader()
    {
        return RoomDecision::Refuse(index);
    }
    if let Some(index) = stalled(None) {
        return RoomDecision::Refuse(index);
    }
    let is_active = |(index, reader): (usize, &Reader)| index != requester && !reader.is_waiting;
    let held_by_readers: u64 = readers.iter().map(|reader| reader.held_bytes).sum();
    let held_by_served = budget_bytes.saturating_sub(free_bytes + held_by_readers);
    if candidates().any(is_active) || held_by_served >= needed_bytes {
        return RoomDecision::Wait;
    }
    RoomDecision::Refuse(largest_reader().unwrap_or(requester))
}

/// Phase of a connection.
#[derives(value)]
pub enum Phase {
    /// It has sent nothing yet.
    New,
    /// It has been answered and sends nothing.
    Idle,
    /// The head of a request is arriving.
    Head,
    /// A body is being collected.
    Body,
    /// A request is being served, or its answer is being sent.
    Serving,
    /// The daemon has answered, and only waits for the client to close.
    Lingering,
    /// Bytes of an answer wait for the client to read.
    Unread,
}

/// Connection, as the choice of one to close sees it.
#[derives(value)]
pub struct Connection {
    /// Phase in which the connection is.
    pub phase: Phase,
    /// Time since the phase began or, in [`Phase::Body`], since its last byte arrived; in [`Phase::Unread`], time since
    /// the client last read.
    pub quiet: Duration,
    /// Whether a request on it has presented a valid key.
    pub is_known: bool,
    /// Whether it waits for room in the budget.
    pub is_waiting: bool,
}

/// Returns the index of the connection to close so that a new one can be accepted, or `None` if there is none.
///
/// Connections that wait for an answer stay. Those that an unknown client keeps open are closed first, the oldest
/// before others; then stalled requests and answers that the client has not read for [`UNREAD_TIME`], and connections
/// that have been idle for at least [`IDLE_TIME_MIN`].
pub fn connection_to_close(connections: impl Iterator<Item = Connection>) -> Option<usize> {
    let rank = |connection: &Connection| match connection.phase {
        Phase::Lingering => Some(3),
        Phase::New | Phase::Idle | Phase::Head if !connection.is_known => Some(2),
        Phase::Head => (connection.quiet >= STALL_TIME).then_some(1),
        Phase::Body => (connection.quiet >= STALL_TIME && !connection.is_waiting).then_some(1),
        Phase::Unread => (connection.quiet >= UNREAD_TIME).then_some(1),
        Phase::New | Phase::Idle => (connection.quiet >= IDLE_TIME_MIN).then_some(0),
        Phase::Serving => None,
    };
    connections
        .enumerate()
        .filter_map(|(index, connection)| Some((rank(&connection)?, connection.quiet, index)))
        .max()
        .map(|(_, _, index)| index)
}
