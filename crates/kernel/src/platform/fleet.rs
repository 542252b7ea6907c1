//! The users' platform as structs of functions: its rows, its workers and its instances.
//!
//! The workspace member `platform/` fills these in; nothing else knows how the platform spells them.
//! An error says whether the call may have taken effect. Refusals that a caller has to tell apart are
//! values, not errors.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use wasabiswitch_derive::derives;
use wasabiswitch_policy::fleet::advice::TicketGrant;
use wasabiswitch_policy::fleet::config::FleetConfig;
use wasabiswitch_policy::fleet::maintenance::{FleetOutcome, Instance, WaveNumber};
use wasabiswitch_policy::fleet::outcomes::StartOutcome;
use wasabiswitch_policy::fleet::reports::WorkerReport;
use wasabiswitch_policy::fleet::state::{TaskName, WorkerEntry};
use wasabiswitch_policy::ids::{BootId, DaemonId, InstanceId, PoolId};

use super::{PlatformFn, Version};

/// Names a row of our own tables.
#[derives(record)]
#[derive(Eq, PartialOrd, Ord)]
pub struct RowName {
    /// The table.
    pub table: &'static str,
    /// The key inside the table.
    pub key: String,
}

/// A row of our own tables.
#[derives(record)]
pub struct TableRow {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The version, which grows with each write to any row.
    pub version: Version,
}

/// Writes that take effect together or not at all.
#[derives(record)]
#[derive(Default)]
pub struct RowTx {
    /// The versions that rows must have; zero for a row that must not exist.
    pub expected: Vec<(RowName, Version)>,
    /// The rows to write.
    pub puts: Vec<(RowName, Bytes)>,
    /// The rows to remove.
    pub removes: Vec<RowName>,
}

/// What came of a [`RowTx`].
#[derives(record)]
pub enum RowTxOutcome {
    /// It took effect, and gave the rows this version.
    Committed(Version),
    /// It did not, because a row had another version; the rows as they are.
    Conflict(Vec<TableRow>),
}

/// A range of rows to read.
#[derives(record)]
pub struct RowRange {
    /// The table.
    pub table: &'static str,
    /// The first key.
    pub from: String,
    /// The most rows to return.
    pub rows_max: u32,
}

/// Rows in the order of their keys, as of one moment.
#[derives(record)]
pub struct RowPage {
    /// The rows.
    pub rows: Vec<TableRow>,
    /// Whether there are more after these.
    pub more: bool,
}

/// How far a feed has been read.
pub type Cursor = u64;

/// What a feed of the platform returned.
#[derives(record)]
pub enum WatchResult<T> {
    /// What has changed, and where to go on.
    Changes(Vec<T>, Cursor),
    /// The history since the cursor is no longer there, and everything must be read again.
    HistoryGone,
}

/// A maintenance wave that the operator asks for.
#[derives(record)]
pub struct WaveRequest {
    /// Its number.
    pub wave: WaveNumber,
    /// The instances.
    pub instances: Vec<InstanceId>,
    /// How long it may take.
    pub time_limit: Duration,
    /// The most instances that may be down at once.
    pub down_max: usize,
}

/// A row of the operator.
#[derives(record)]
pub enum OperatorItem {
    /// The configuration.
    Config(Arc<FleetConfig>),
    /// A maintenance wave.
    Wave(WaveRequest),
}

/// A row of the workers' directory.
#[derives(record)]
pub enum DirectoryItem {
    /// The worker is there.
    Listed(WorkerEntry),
    /// The worker is gone, or what its row holds cannot be used.
    Unlisted(InstanceId),
}

/// Names a life of a worker and where it is reached.
#[derives(record)]
pub struct WorkerTarget {
    /// The worker's id, which the receiver compares with its own.
    pub id: InstanceId,
    /// Its address.
    pub address: SocketAddr,
}

/// An order to start a task.
#[derives(record)]
pub struct StartOrder {
    /// The worker.
    pub target: WorkerTarget,
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: u32,
    /// What the worker is given.
    pub spec: String,
    /// The time on the worker's clock after which it must not start.
    pub until_ms: u64,
    /// The owner's fence.
    pub fence: u64,
    /// From where it resumes; empty for the start.
    pub checkpoint: String,
    /// The ticket of the advice service; empty for none.
    pub ticket: String,
}

/// An order about a run that is there.
#[derives(record)]
pub struct RunOrder {
    /// The worker.
    pub target: WorkerTarget,
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: u32,
    /// The owner's fence.
    pub fence: u64,
}

/// A call that renews leases, acknowledges ends and asks for a report.
#[derives(record)]
pub struct HoldOrder {
    /// The worker.
    pub target: WorkerTarget,
    /// The owner's fence.
    pub fence: u64,
    /// The number of the last end that is written down.
    pub acknowledged: u64,
    /// Until when on the worker's clock the leases hold; `None` to leave them as they are.
    pub until_ms: Option<u64>,
    /// How long the answer may wait for an end.
    pub wait: Duration,
}

/// How a worker answered an order other than a start.
#[derives(record)]
pub enum WorkerReply<T> {
    /// It was carried out.
    Done(T),
    /// A newer owner has called the worker.
    Fenced,
    /// Another life of the worker answered.
    OtherLife,
    /// The worker refused it.
    Refused(String),
}

/// An order for an instance, under a fence of its own.
#[derives(record)]
pub struct InstanceOrder<T> {
    /// The instance.
    pub instance: InstanceId,
    /// What is asked: a pool, or a wave.
    pub argument: T,
    /// The daemon that asks.
    pub holder: DaemonId,
    /// The owner's fence.
    pub fence: u64,
}

/// A question to the advice service.
#[derives(record)]
pub struct AdviceRequest {
    /// The first task of the step.
    pub step: TaskName,
    /// The workers.
    pub workers: Vec<InstanceId>,
}

/// An answer of the advice service.
#[derives(record)]
pub struct AdviceResponse {
    /// The workers that may run the step.
    pub grants: Vec<TicketGrant>,
    /// How long the tickets hold.
    pub valid: Duration,
}

/// The functions of the users' platform.
#[derive(Clone)]
pub struct FleetPort {
    /// Writes rows of our own tables.
    pub commit: PlatformFn<RowTx, RowTxOutcome>,
    /// Reads rows of our own tables.
    pub read: PlatformFn<RowRange, RowPage>,
    /// Reads all rows of the operator.
    pub read_operator: PlatformFn<(), (Vec<OperatorItem>, Cursor)>,
    /// Waits for changes of the operator's rows.
    pub watch_operator: PlatformFn<Cursor, WatchResult<OperatorItem>>,
    /// Reads the workers' directory.
    pub read_directory: PlatformFn<(), (Vec<DirectoryItem>, Cursor)>,
    /// Waits for changes of the workers' directory.
    pub watch_directory: PlatformFn<Cursor, WatchResult<DirectoryItem>>,
    /// Tells the operator whether a wave is done.
    pub report_wave: PlatformFn<(WaveNumber, bool), ()>,
    /// Starts a task.
    pub start: PlatformFn<StartOrder, StartOutcome>,
    /// Stops a task; the answer carries the life of the worker.
    pub stop: PlatformFn<RunOrder, WorkerReply<()>>,
    /// Lets a task work at a part of its speed, in percent.
    pub pace: PlatformFn<(RunOrder, u32), WorkerReply<()>>,
    /// Renews leases, acknowledges ends and asks for a report.
    pub hold: PlatformFn<HoldOrder, WorkerReply<WorkerReport>>,
    /// Asks which workers may run a step.
    pub advise: PlatformFn<AdviceRequest, AdviceResponse>,
    /// Lists the instances.
    pub list_instances: PlatformFn<(), BTreeMap<InstanceId, Instance>>,
    /// Moves an instance to another pool.
    pub move_instance: PlatformFn<InstanceOrder<PoolId>, FleetOutcome>,
    /// Takes an instance down for the upkeep of a wave.
    pub start_maintenance: PlatformFn<InstanceOrder<WaveNumber>, FleetOutcome>,
}

impl std::fmt::Debug for FleetPort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetPort")
    }
}

/// Tells one life of a worker from the next where the platform gives no number.
pub const FIRST_BOOT: BootId = 1;
