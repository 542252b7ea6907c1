//! The messages of the platform's HTTP interface: MessagePack bodies with named fields.

use wasabiswitch_derive::derives;
use wasabiswitch_policy::ids::BootId;

/// The version of a row; zero stands for a row that does not exist.
pub type Version = u64;

/// A row of the table service.
#[derives(message)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The version, which every write changes.
    pub version: Version,
    /// The value.
    #[serde(with = "byte_string")]
    pub value: Vec<u8>,
}

/// A conditional write of one row.
#[derives(message)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The version that the row must have; zero if it must not exist.
    pub expected: Version,
    /// The new value, or `None` to delete the row.
    pub value: Option<RowValue>,
}

/// The value of a row in a write.
#[derives(message)]
pub struct RowValue(#[serde(with = "byte_string")] pub Vec<u8>);

/// What became of a batch of writes.
#[derives(message)]
pub enum CommitOutcome {
    /// All writes took effect; the new versions are in the order of the writes.
    Committed(Vec<Version>),
    /// A version did not match, and nothing was written.
    Conflict,
}

/// A range of rows; see [`super::ScanRange`].
#[derives(message)]
pub struct ScanBody {
    /// Only keys that start with this.
    pub prefix: String,
    /// Only keys after this one.
    pub after: String,
    /// The most rows to return.
    pub rows_max: usize,
}

/// An instance as the platform lists it, late.
#[derives(message)]
pub struct ListedInstance {
    /// The instance.
    pub instance: String,
    /// Its boot at the time of the listing.
    pub boot: BootId,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A task to start.
#[derives(message)]
pub struct TaskStart {
    /// The job.
    pub job: String,
    /// The attempt; a worker refuses one that is older than one it has seen.
    pub attempt: u32,
    /// The work.
    #[serde(with = "byte_string")]
    pub payload: Vec<u8>,
    /// The expected run time, in milliseconds, which the stand-in obeys.
    pub run_time_ms: u64,
    /// The processors that it may use, in thousandths of a core.
    pub cpu_milli: u64,
    /// The memory that it may use, in bytes.
    pub memory_bytes: u64,
    /// The accelerators that it may use.
    pub accelerators: u32,
}

/// What a worker is told.
#[derives(message)]
#[derive(Default)]
pub struct SyncRequest {
    /// Tasks to start.
    pub starts: Vec<TaskStart>,
    /// Jobs whose tasks may go on for another lease.
    pub renewals: Vec<String>,
    /// Jobs whose tasks are to stop.
    pub stops: Vec<String>,
    /// The length of the lease, in milliseconds.
    pub lease_ms: u64,
    /// Jobs whose results need not be reported any more.
    pub forget: Vec<String>,
}

/// How far a task is.
#[derives(message)]
#[derive(Copy, Eq)]
pub enum TaskState {
    /// It runs.
    Running,
    /// It ran to its end.
    Done,
    /// It ended with an error.
    Failed,
    /// It was stopped, or its lease ran out.
    Stopped,
    /// Its start was refused, since a newer attempt is known.
    Refused,
}

/// A task as its worker sees it.
#[derives(message)]
pub struct TaskStatus {
    /// The job.
    pub job: String,
    /// The attempt.
    pub attempt: u32,
    /// How far it is.
    pub state: TaskState,
    /// How long it has run, in milliseconds.
    pub run_time_ms: u64,
    /// The memory that it uses, in bytes, as of some time ago.
    pub memory_bytes: u64,
}

/// What a worker answers.
#[derives(message)]
pub struct SyncReply {
    /// The worker's boot.
    pub boot: BootId,
    /// Its tasks that run or have ended and were not forgotten.
    pub tasks: Vec<TaskStatus>,
}

/// Stores bytes as MessagePack's binary type instead of an array of numbers.
mod byte_string {
    use serde::de::{Deserializer, Visitor};
    use serde::ser::Serializer;

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    struct Bytes;

    impl Visitor<'_> for Bytes {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("bytes")
        }

        fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            Ok(bytes.to_vec())
        }

        fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
            Ok(bytes)
        }
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(de: D) -> Result<Vec<u8>, D::Error> {
        de.deserialize_byte_buf(Bytes)
    }
}
