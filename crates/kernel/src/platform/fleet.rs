//! Interface of the users' platform as a struct of functions: rows, workers, instances and advice.
//!
//! The workspace member `platform/` implements the functions; the platform's protocol is known only
//! there. An error tells whether the call may have taken effect. Refusals that a caller must distinguish
//! are values, not errors.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use wasabiswitch_derive::derives;
use wasabiswitch_policy::fleet::advice::TicketGrant;
use wasabiswitch_policy::fleet::config::FleetConfig;
use wasabiswitch_policy::fleet::maintenance::{FleetOutcome, Instance, WaveNumber};
use wasabiswitch_policy::fleet::outcomes::StartAnswer;
use wasabiswitch_policy::fleet::reports::{ReportTiming, WorkerReport};
use wasabiswitch_policy::fleet::state::{TaskName, WorkerEntry};
use wasabiswitch_policy::ids::{BootId, DaemonId, DataCentre, InstanceId, OrderFence, PoolId};

use super::{PlatformFn, Version};

/// Name of a row in the daemons' own tables.
#[derives(record)]
#[derive(Eq, PartialOrd, Ord)]
pub struct RowName {
    /// Name of the table.
    pub table: &'static str,
    /// Key within the table.
    pub key: String,
}

/// Row of the daemons' own tables.
#[derives(record)]
pub struct TableRow {
    /// Key within the table.
    pub key: String,
    /// Encoded value.
    pub value: Bytes,
    /// Version, which grows with each write to any row.
    pub version: Version,
}

/// Transaction: conditions and writes that take effect atomically.
#[derives(record)]
#[derive(Default)]
pub struct RowTx {
    /// Versions that rows must have; zero for a row that must not exist.
    pub expected: Vec<(RowName, Version)>,
    /// Rows to write.
    pub puts: Vec<(RowName, Bytes)>,
    /// Rows to delete.
    pub removes: Vec<RowName>,
}

/// Outcome of a [`RowTx`].
#[derives(record)]
pub enum RowTxOutcome {
    /// The transaction took effect; its rows have this version.
    Committed(Version),
    /// A row had another version, and nothing was written; holds the current rows.
    Conflict(Vec<TableRow>),
}

/// Range of rows to read.
#[derives(record)]
pub struct RowRange {
    /// Name of the table.
    pub table: &'static str,
    /// First key of the range.
    pub from: String,
    /// Maximum number of rows to return.
    pub rows_max: u32,
}

/// Page of rows in the order of their keys, from one snapshot.
#[derives(record)]
pub struct RowPage {
    /// Rows of the page.
    pub rows: Vec<TableRow>,
    /// Whether there are rows after this page.
    pub more: bool,
}

/// Position in a feed up to which it has been read.
pub type Cursor = u64;

/// Result of waiting for changes in a feed of the platform.
#[derives(record)]
pub enum WatchResult<T> {
    /// Changed items, and the cursor after them.
    Changes(Vec<T>, Cursor),
    /// The history since the cursor has been discarded, and a full read is needed.
    HistoryGone,
}

/// Maintenance wave that the operator requests.
#[derives(record)]
pub struct WaveRequest {
    /// Number of the wave.
    pub wave: WaveNumber,
    /// Instances to maintain.
    pub instances: Vec<InstanceId>,
    /// Time limit of the wave as a whole.
    pub time_limit: Duration,
    /// Maximum number of instances that are down at once.
    pub down_max: usize,
}

/// Row that the operator writes.
#[derives(record)]
pub enum OperatorItem {
    /// The configuration of the fleet.
    Config(Arc<FleetConfig>),
    /// A maintenance wave.
    Wave(WaveRequest),
    /// An evacuation of a data centre.
    Evacuation {
        /// Data centre in which no task may be started.
        data_centre: DataCentre,
        /// Whether the evacuation is in force; `false` if its row has been removed.
        active: bool,
    },
}

/// Row of the directory of workers.
#[derives(record)]
pub enum DirectoryItem {
    /// The directory lists the worker.
    Listed(WorkerEntry),
    /// The worker's row was removed, or its content cannot be used.
    Unlisted(InstanceId),
}

/// Worker to which an order is sent.
#[derives(record)]
pub struct WorkerTarget {
    /// Id of the worker, which the receiver compares with its own.
    pub id: InstanceId,
    /// Address of the worker.
    pub address: SocketAddr,
}

/// Order to start a task.
#[derives(record)]
pub struct StartOrder {
    /// Worker that is to run the task.
    pub target: WorkerTarget,
    /// Name of the task.
    pub task: TaskName,
    /// Number of the attempt.
    pub attempt: u32,
    /// Specification that is passed to the worker.
    pub spec: String,
    /// Time on the worker's clock, in milliseconds, after which the task must not start.
    pub until_ms: u64,
    /// Fencing token of the order.
    pub order_fence: OrderFence,
    /// Checkpoint from which the task resumes; empty to start from the beginning.
    pub checkpoint: String,
    /// Ticket of the advice service; empty for none.
    pub ticket: String,
}

/// Order about an attempt that is running.
#[derives(record)]
pub struct RunOrder {
    /// Worker that runs the task.
    pub target: WorkerTarget,
    /// Name of the task.
    pub task: TaskName,
    /// Number of the attempt.
    pub attempt: u32,
    /// Fencing token of the order.
    pub order_fence: OrderFence,
}

/// Order that renews leases, acknowledges reported ends and requests a report.
#[derives(record)]
pub struct HoldOrder {
    /// Worker whose leases are renewed.
    pub target: WorkerTarget,
    /// Fencing token of the order.
    pub order_fence: OrderFence,
    /// Number of the last reported end that the owner has stored.
    pub acknowledged: u64,
    /// Time on the worker's clock, in milliseconds, at which the leases expire; `None` to leave them.
    pub until_ms: Option<u64>,
    /// Maximum time that the worker may delay the response until a task ends (long polling).
    pub wait: Duration,
}

impl HoldOrder {
    /// Returns the times of a request with this order, with its fencing token.
    pub fn timing(&self, sent: Instant, received: Instant) -> ReportTiming {
        ReportTiming { order_fence: self.order_fence, sent, received }
    }
}

/// Response of a worker to an order other than a start.
#[derives(record)]
pub enum WorkerReply<T> {
    /// The order was carried out.
    Done(T),
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another incarnation of the worker responded.
    OtherLife,
    /// The worker refused the order for another reason.
    Refused(String),
}

/// Order to the instance service about one instance.
#[derives(record)]
pub struct InstanceOrder<T> {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Argument of the order: the target pool of a move, or the wave whose maintenance is due.
    pub argument: T,
    /// Daemon that sends the order.
    pub holder: DaemonId,
    /// Fencing token of the owner.
    pub fence: u64,
}

/// Request to the advice service.
#[derives(record)]
pub struct AdviceRequest {
    /// First task of the step.
    pub step: TaskName,
    /// Candidate workers.
    pub workers: Vec<InstanceId>,
}

/// Response of the advice service.
#[derives(record)]
pub struct AdviceResponse {
    /// Tickets of the workers that may run the step.
    pub grants: Vec<TicketGrant>,
    /// Time for which the tickets are valid.
    pub valid: Duration,
}

/// Functions of the users' platform.
#[derive(Clone)]
pub struct FleetPort {
    /// Commits a transaction on the daemons' own tables.
    pub commit: PlatformFn<RowTx, RowTxOutcome>,
    /// Reads rows of the daemons' own tables.
    pub read: PlatformFn<RowRange, RowPage>,
    /// Reads all rows of the operator.
    pub read_operator: PlatformFn<(), (Vec<OperatorItem>, Cursor)>,
    /// Waits for changes of the operator's rows.
    pub watch_operator: PlatformFn<Cursor, WatchResult<OperatorItem>>,
    /// Reads the directory of workers.
    pub read_directory: PlatformFn<(), (Vec<DirectoryItem>, Cursor)>,
    /// Waits for changes of the directory of workers.
    pub watch_directory: PlatformFn<Cursor, WatchResult<DirectoryItem>>,
    /// Reports to the operator whether a wave is done.
    pub report_wave: PlatformFn<(WaveNumber, bool), ()>,
    /// Starts a task.
    pub start: PlatformFn<StartOrder, StartAnswer>,
    /// Stops a task.
    pub stop: PlatformFn<RunOrder, WorkerReply<()>>,
    /// Throttles a task to a percentage of its speed.
    pub pace: PlatformFn<(RunOrder, u32), WorkerReply<()>>,
    /// Renews leases, acknowledges reported ends and returns a report of the worker.
    pub hold: PlatformFn<HoldOrder, WorkerReply<WorkerReport>>,
    /// Requests tickets of the advice service for the workers that may run a step.
    pub advise: PlatformFn<AdviceRequest, AdviceResponse>,
    /// Lists the instances of the fleet.
    pub list_instances: PlatformFn<(), BTreeMap<InstanceId, Instance>>,
    /// Moves an instance to another pool.
    pub move_instance: PlatformFn<InstanceOrder<PoolId>, FleetOutcome>,
    /// Takes an instance down for the maintenance of a wave.
    pub start_maintenance: PlatformFn<InstanceOrder<WaveNumber>, FleetOutcome>,
}

impl std::fmt::Debug for FleetPort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetPort")
    }
}

/// Incarnation that is assumed for a worker whose row or report gives none.
pub const DEFAULT_INCARNATION: BootId = 1;
