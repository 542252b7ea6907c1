//! Interface of the platform as structs of functions.
//!
//! The daemon reaches the table service, the object store, the list of instances and the workers only
//! through a [`Platform`]. [`http`] implements it for a platform that speaks HTTP; tests implement it with
//! in-process stand-ins and injected faults. An error tells whether the call may have taken effect, since
//! the response to a write can be lost.

pub mod fleet;
pub mod http;
pub mod protocol;

use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use wasabiswitch_derive::derives;
use wasabiswitch_policy::Verdict;
use wasabiswitch_policy::ids::InstanceId;

pub use protocol::{
    CommitOutcome, ListedInstance, Row, RowValue, SyncReply, SyncRequest, TaskStart, TaskState,
    TaskStatus, Version, Write,
};

/// Error of a call to the platform.
#[derives(record)]
#[derive(Eq, thiserror::Error)]
#[error("{detail}")]
pub struct PlatformError {
    /// Whether the call may have taken effect.
    pub verdict: Verdict,
    /// Description of the error for operators and callers.
    pub detail: String,
}

impl PlatformError {
    /// Creates the error of a call that took no effect.
    pub fn not_run(detail: impl Into<String>) -> PlatformError {
        PlatformError { verdict: Verdict::NotRun, detail: detail.into() }
    }

    /// Creates the error of a call whose outcome is unknown.
    pub fn may_have_run(detail: impl Into<String>) -> PlatformError {
        PlatformError { verdict: Verdict::MayHaveRun, detail: detail.into() }
    }
}

/// Result of a call to the platform.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// Function of the platform with one argument.
pub type PlatformFn<A, T> = Arc<dyn Fn(A) -> BoxFuture<'static, PlatformResult<T>> + Send + Sync>;

/// Range and size of a scan.
#[derives(record)]
pub struct ScanRange {
    /// Prefix of the keys to return.
    pub prefix: String,
    /// Key after which the scan starts; empty to start at the first.
    pub after: String,
    /// Maximum number of rows to return.
    pub rows_max: usize,
}

/// Functions of the platform.
#[derive(Clone)]
pub struct Platform {
    /// Reads rows of the table service by key; the result is in the order of the keys given.
    pub read: PlatformFn<Vec<String>, Vec<Option<Row>>>,
    /// Scans a range of rows of the table service in the order of their keys.
    pub scan: PlatformFn<ScanRange, Vec<Row>>,
    /// Writes a batch of rows of the table service atomically if all of them have the expected versions.
    pub commit: PlatformFn<Vec<Write>, CommitOutcome>,
    /// Reads an object, or `None` if it does not exist.
    pub get_object: PlatformFn<String, Option<Bytes>>,
    /// Writes an object under a name.
    pub put_object: PlatformFn<(String, Bytes), ()>,
    /// Lists the instances; the list lags behind their state.
    pub list_instances: PlatformFn<(), Vec<ListedInstance>>,
    /// Sends commands to a worker and returns the state of its tasks.
    pub sync_worker: PlatformFn<(InstanceId, SyncRequest), SyncReply>,
    /// Reboots an instance for maintenance.
    pub reboot: PlatformFn<InstanceId, ()>,
    /// Functions of the users' platform, which replace all functions above if the daemon runs on it.
    pub fleet: Option<fleet::FleetPort>,
}

impl Platform {
    /// Creates a platform of which only `fleet` is supported; calls to the other functions fail.
    pub fn from_fleet(fleet: fleet::FleetPort) -> Platform {
        Platform {
            read: unsupported(),
            scan: unsupported(),
            commit: unsupported(),
            get_object: unsupported(),
            put_object: unsupported(),
            list_instances: unsupported(),
            sync_worker: unsupported(),
            reboot: unsupported(),
            fleet: Some(fleet),
        }
    }
}

/// Returns a function that fails, for a platform that does not offer it.
fn unsupported<A: Send + 'static, T: Send + 'static>() -> PlatformFn<A, T> {
    Arc::new(|_| {
        Box::pin(async { Err(PlatformError::not_run("the platform does not offer this")) })
    })
}

impl std::fmt::Debug for Platform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Platform")
    }
}
