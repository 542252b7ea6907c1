//! What the platform offers, as structs of functions.
//!
//! The daemon reaches the table service, the object store, the list of instances and the workers only
//! through a [`Platform`]. [`http`] fills it in for a platform that speaks HTTP; tests fill it in with
//! in-process stand-ins and faults. An error says whether the call may have taken effect, since an
//! answer can be lost after a write.

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

/// Why a call to the platform failed.
#[derives(record)]
#[derive(Eq, thiserror::Error)]
#[error("{detail}")]
pub struct PlatformError {
    /// Whether the call may have taken effect.
    pub verdict: Verdict,
    /// What went wrong, for people.
    pub detail: String,
}

impl PlatformError {
    /// Creates the error of a call that certainly took no effect.
    pub fn not_run(detail: impl Into<String>) -> PlatformError {
        PlatformError { verdict: Verdict::NotRun, detail: detail.into() }
    }

    /// Creates the error of a call whose outcome is unknown.
    pub fn may_have_run(detail: impl Into<String>) -> PlatformError {
        PlatformError { verdict: Verdict::MayHaveRun, detail: detail.into() }
    }
}

/// The result of a call to the platform.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// A function of the platform.
pub type PlatformFn<A, T> = Arc<dyn Fn(A) -> BoxFuture<'static, PlatformResult<T>> + Send + Sync>;

/// Where a scan starts and how far it goes.
#[derives(record)]
pub struct ScanRange {
    /// Only keys that start with this.
    pub prefix: String,
    /// Only keys after this one; empty for all.
    pub after: String,
    /// The most rows to return.
    pub rows_max: usize,
}

/// The functions of the platform.
#[derive(Clone)]
pub struct Platform {
    /// Reads rows of the table service by their keys, in the order asked.
    pub read: PlatformFn<Vec<String>, Vec<Option<Row>>>,
    /// Reads rows of the table service in the order of their keys.
    pub scan: PlatformFn<ScanRange, Vec<Row>>,
    /// Writes several rows of the table service together, on condition of their versions.
    pub commit: PlatformFn<Vec<Write>, CommitOutcome>,
    /// Reads an object, if it is there.
    pub get_object: PlatformFn<String, Option<Bytes>>,
    /// Writes an object.
    pub put_object: PlatformFn<(String, Bytes), ()>,
    /// Lists the instances, as of some time ago.
    pub list_instances: PlatformFn<(), Vec<ListedInstance>>,
    /// Tells a worker what to do and asks what it does.
    pub sync_worker: PlatformFn<(InstanceId, SyncRequest), SyncReply>,
    /// Reboots an instance for maintenance.
    pub reboot: PlatformFn<InstanceId, ()>,
    /// The users' platform, where it takes the place of all of the above.
    pub fleet: Option<fleet::FleetPort>,
}

impl Platform {
    /// Creates a platform that offers `fleet` and nothing else.
    pub fn from_fleet(fleet: fleet::FleetPort) -> Platform {
        Platform {
            read: absent(),
            scan: absent(),
            commit: absent(),
            get_object: absent(),
            put_object: absent(),
            list_instances: absent(),
            sync_worker: absent(),
            reboot: absent(),
            fleet: Some(fleet),
        }
    }
}

/// Returns a function that the platform does not have.
fn absent<A: Send + 'static, T: Send + 'static>() -> PlatformFn<A, T> {
    Arc::new(|_| {
        Box::pin(async { Err(PlatformError::not_run("the platform does not offer this")) })
    })
}

impl std::fmt::Debug for Platform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Platform")
    }
}
