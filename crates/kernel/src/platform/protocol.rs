//! Messages of the platform's HTTP interface: MessagePack bodies with named fields.

use wasabiswitch_derive::derives;
use wasabiswitch_policy::ids::BootId;

/// Version of a row; zero stands for a row that does not exist.
pub type Version = u64;

/// Row of the table service.
#[derives(message)]
pub struct Row {
    /// Unique key.
    pub key: String,
    /// Version, which every write changes.
    pub version: Version,
    /// Encoded value.
    #[serde(with = "byte_string")]
    pub value: Vec<u8>,
}

/// Conditional write or deletion of one row.
#[derives(message)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; zero if it must not exist.
    pub expected: Version,
    /// New value, or `None` to delete the row.
    pub value: Option<RowValue>,
}

/// Value of a row in a write.
#[derives(message)]
pub struct RowValue(#[serde(with = "byte_string")] pub Vec<u8>);

/// Outcome of a batch of writes.
#[derives(message)]
pub enum CommitOutcome {
    /// All writes took effect; holds the new versions, in the order of the writes.
    Committed(Vec<Version>),
    /// A row did not have the expected version, and nothing was written.
    Conflict,
}

/// Body of a scan request; see [`super::ScanRange`].
#[derives(message)]
pub struct ScanBody {
    /// Prefix of the keys to return.
    pub prefix: String,
    /// Key after which the scan starts; empty to start at the first.
    pub after: String,
    /// Maximum number of rows to return.
    pub rows_max: usize,
}

/// Entry of the platform's list of instances, which lags behind their state.
#[derives(message)]
pub struct ListedInstance {
    /// Id of the instance.
    pub instance: String,
    /// Boot of the instance at the time of the listing.
    pub boot: BootId,
    /// Whether the instance is leaving.
    pub leaving: bool,
}

/// Command to start a task.
#[derives(message)]
pub struct TaskStart {
    /// Id of the job.
    pub job: String,
    /// Number of the attempt; a worker refuses an attempt older than one that it has seen.
    pub attempt: u32,
    /// Payload that is passed to the task.
    #[serde(with = "byte_string")]
    pub payload: Vec<u8>,
    /// Expected run time, in milliseconds; the tasks of the stand-in run for exactly this time.
    pub run_time_ms: u64,
    /// Processors that the task may use, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory that the task may use, in bytes.
    pub memory_bytes: u64,
    /// Number of accelerators that the task may use.
    pub accelerators: u32,
}

/// Commands to a worker.
#[derives(message)]
#[derive(Default)]
pub struct SyncRequest {
    /// Tasks to start.
    pub starts: Vec<TaskStart>,
    /// Jobs whose tasks may continue for another lease.
    pub renewals: Vec<String>,
    /// Jobs whose tasks must stop.
    pub stops: Vec<String>,
    /// Duration of the lease, in milliseconds.
    pub lease_ms: u64,
    /// Jobs whose results the worker may discard.
    pub forget: Vec<String>,
}

/// State of a task at its worker.
#[derives(message)]
#[derive(Copy, Eq)]
pub enum TaskState {
    /// The task is running.
    Running,
    /// The task has succeeded.
    Done,
    /// The task has ended with an error.
    Failed,
    /// The task was stopped, or its lease expired.
    Stopped,
    /// The start was refused, since the worker has seen a newer attempt.
    Refused,
}

/// Status of a task as its worker reports it.
#[derives(message)]
pub struct TaskStatus {
    /// Id of the job.
    pub job: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// State of the task.
    pub state: TaskState,
    /// Time for which the task has run, in milliseconds.
    pub run_time_ms: u64,
    /// Memory that the task used at the last measurement, in bytes.
    pub memory_bytes: u64,
}

/// Response of a worker to a [`SyncRequest`].
#[derives(message)]
pub struct SyncReply {
    /// Current boot of the worker's instance.
    pub boot: BootId,
    /// Tasks that are running, or have ended and were not yet discarded.
    pub tasks: Vec<TaskStatus>,
}

/// Serializes bytes as MessagePack's binary type instead of an array of numbers.
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
