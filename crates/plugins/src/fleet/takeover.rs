//! Rebuilds the engine from the store and the workers.
//!
//! No task starts before every worker has answered a hold under the new fence or counts as unresponsive. A hold
//! makes the worker reject orders of the old owner, and returns its running and ended tasks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::platform::fleet::{
    Cursor, DirectoryItem, HoldOrder, RowRange, TableRow, WorkerReply,
};
use wasabiswitch_kernel::platform::{PlatformError, PlatformResult};
use wasabiswitch_policy::fleet::Engine;
use wasabiswitch_policy::fleet::maintenance::{
    Instance, MaintenanceStage, Wave, WaveCalls, WaveProgress,
};
use wasabiswitch_policy::fleet::progress::{JobRow, ProgressRow};
use wasabiswitch_policy::fleet::reports::{ReportTiming, WorkerReport};
use wasabiswitch_policy::fleet::silent_records::StoredSilentWorker;
use wasabiswitch_policy::fleet::state::{WorkerEntry, WorkerKey};
use wasabiswitch_policy::ids::InstanceId;
use wasabiswitch_wire::codec::WireType;
use wasabiswitch_wire::decode;

use super::{configuration, port, workers};

/// The table of accepted jobs, whose rows are written once.
pub const JOB_TABLE: &str = "jobs";
/// The table of the jobs' progress.
pub const PROGRESS_TABLE: &str = "progress";
/// The table of the pools in which a job's tasks may have been started.
pub const START_POOL_TABLE: &str = "start_pools";
/// The table of the workers that get no starts because they do not answer.
pub const SILENT_WORKER_TABLE: &str = "silent_workers";
/// The table of the jobs that were cancelled before they were accepted.
pub const WITHDRAWAL_TABLE: &str = "withdrawals";
/// The table of the waves' progress.
pub const WAVE_TABLE: &str = "waves";
/// The table of the waves' calls to the instance service that may still be carried out.
pub const WAVE_CALL_TABLE: &str = "wave_calls";
/// Time limit for a worker's answer at a takeover. A worker without load answers within milliseconds; a
/// daemon takes up to 0.2 s for hundreds of answers that arrive at once.
const HOLD_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of holds that a worker is sent at a takeover; one in twenty answers may be lost.
const HOLD_ATTEMPTS_MAX: u32 = 3;
/// Delay before another hold is sent to a worker after a failed call, such as a refused connection.
const HOLD_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of rows that one read returns.
const ROWS_PER_PAGE: u32 = 500;

/// The engine that a takeover has rebuilt.
pub(crate) struct RebuiltEngine {
    pub(crate) engine: Engine,
    /// Position from which the directory's feed continues.
    pub(crate) directory_cursor: Cursor,
}

/// Reads the rows, and sends a hold to each worker.
///
/// The predecessor sends its last order no later than `predecessor_deadline`.
pub(crate) async fn rebuild(
    kernel: &Arc<Kernel>,
    fence: u64,
    predecessor_deadline: Instant,
) -> PlatformResult<RebuiltEngine> {
    let started_at = kernel.clock.now();
    let (
        operator,
        directory,
        instances,
        jobs,
        progress,
        start_pools,
        silent,
        withdrawals,
        waves,
        wave_calls,
    ) = tokio::join!(
        (port(kernel).read_operator)(()),
        (port(kernel).read_directory)(()),
        (port(kernel).list_instances)(()),
        read_rows(kernel, JOB_TABLE),
        read_rows(kernel, PROGRESS_TABLE),
        read_rows(kernel, START_POOL_TABLE),
        read_rows(kernel, SILENT_WORKER_TABLE),
        read_rows(kernel, WITHDRAWAL_TABLE),
        read_rows(kernel, WAVE_TABLE),
        read_rows(kernel, WAVE_CALL_TABLE),
    );
    // This daemon's feed may be late. The predecessor has acted by the rows that the store had at the takeover.
    let (operator_items, operator_cursor) = operator?;
    configuration::apply_read(kernel, operator_items, operator_cursor);
    let (items, directory_cursor) = directory?;
    let limits = super::term::limits(kernel);
    let mut engine = Engine::new(limits, fence);
    if let Some(config) = super::queue_calls::config(kernel) {
        engine.apply_config(&config);
    }
    restore_jobs(kernel, &mut engine, &jobs?, &progress?);
    // The key says all, so that a row of another version counts as well.
    let withdrawn = withdrawals?.into_iter().map(|row| row.key.as_str().into());
    engine.restore_withdrawals(withdrawn, kernel.clock.now());
    restore_start_pools(&mut engine, &start_pools?);
    let recorded = restore_silent_records(&mut engine, &silent?);
    let last_sent = predecessor_deadline.max(kernel.clock.now());
    restore_waves(kernel, &mut engine, &waves?, &wave_calls?, last_sent);
    for entry in items.into_iter().filter_map(listed_entry) {
        engine.upsert_worker(entry, kernel.clock.now());
    }
    let read_duration = kernel.clock.now().saturating_duration_since(started_at);
    let instances = instances.inspect_err(|error| {
        log::warn!("instances not listed at the takeover, any worker may be unlisted: {error}");
    });
    let instances = instances.ok();
    hold_listed(kernel, &mut engine, instances.as_ref()).await;
    let replaced = match &instances {
        Some(instances) => reconcile_unlisted(kernel, &mut engine, instances).await,
        None => 0,
    };
    let unlisted = engine.find_unlisted_workers(instances.as_ref());
    let unresponsive =
        engine.workers.values().filter(|worker| worker.last_contact.is_none()).count();
    let orphans: usize = engine.workers.values().map(|worker| worker.orphans.len()).sum();
    let unconfirmed = engine.mark_unconfirmed(&unlisted, predecessor_deadline, kernel.clock.now());
    match &instances {
        Some(instances) => engine.locate_silent_workers(instances, started_at),
        None => engine.report_unlocated_silent_workers(),
    }
    log::info!(
        "fleet rebuilt fence={fence} jobs={} live={} workers={} silent={unresponsive} replaced={replaced} \
         orphans={orphans} unseen_pools={} recorded={recorded} doubted={unconfirmed} rows_ms={} took_ms={}",
        engine.jobs.len(),
        engine.live.len(),
        engine.workers.len(),
        unlisted.describe_pools(),
        read_duration.as_millis(),
        kernel.clock.now().saturating_duration_since(started_at).as_millis()
    );
    Ok(RebuiltEngine { engine, directory_cursor })
}

/// Sends holds to all listed workers. A worker that a newer incarnation has replaced has most likely ended, so
/// it gets only one.
async fn hold_listed(
    kernel: &Arc<Kernel>,
    engine: &mut Engine,
    instances: Option<&BTreeMap<InstanceId, Instance>>,
) {
    let replaced =
        instances.map(|instances| engine.replaced_workers(instances)).unwrap_or_default();
    let attempts = |key| (key, if replaced.contains(&key) { 1 } else { HOLD_ATTEMPTS_MAX });
    let workers = engine.workers.keys().map(attempts).collect();
    hold_workers(kernel, engine, workers).await;
}

/// Removes the workers that have been replaced, and returns their number.
///
/// An instance may be up before the directory lists its worker. The tasks of a pool with an unlisted worker
/// wait for seconds, so the directory is read once more to avoid that.
async fn reconcile_unlisted(
    kernel: &Arc<Kernel>,
    engine: &mut Engine,
    instances: &BTreeMap<InstanceId, Instance>,
) -> usize {
    let replaced = engine.remove_replaced_workers(instances);
    if !engine.unlisted_workers(instances).is_empty() {
        match (port(kernel).read_directory)(()).await {
            Ok((items, _)) => {
                let unlisted = engine.unlisted_workers(instances);
                let new: Vec<_> = items
                    .into_iter()
                    .filter_map(listed_entry)
                    .filter(|entry| unlisted.contains_key(&entry.id))
                    .collect();
                let now = kernel.clock.now();
                let keys = new.into_iter().map(|entry| engine.upsert_worker(entry, now));
                let workers = keys.map(|key| (key, HOLD_ATTEMPTS_MAX)).collect();
                hold_workers(kernel, engine, workers).await;
            }
            Err(error) => log::warn!("directory not read again at the takeover reason={error}"),
        }
    }
    replaced
}

fn listed_entry(item: DirectoryItem) -> Option<WorkerEntry> {
    match item {
        DirectoryItem::Listed(entry) => Some(entry),
        _ => None,
    }
}

async fn read_rows(kernel: &Kernel, table: &'static str) -> PlatformResult<Vec<TableRow>> {
    let mut rows = Vec::new();
    let mut from = String::new();
    loop {
        let range = RowRange { table, from, rows_max: ROWS_PER_PAGE };
        let page = (port(kernel).read)(range).await?;
        // `%00` is the query's escape of the smallest byte, so this is the smallest key after the last one.
        from = page.rows.last().map_or(String::new(), |row| format!("{}%00", row.key));
        rows.extend(page.rows);
        if !page.more || from.is_empty() {
            return Ok(rows);
        }
    }
}

/// Decodes a row, or logs why it is skipped.
fn decode_row<T: WireType>(table: &str, row: &TableRow) -> Option<T> {
    decode(&row.value)
        .inspect_err(|error| {
            log::error!("row skipped table={table} key={} reason={error}", row.key);
        })
        .ok()
}

/// Restores the jobs from their rows; a retired job has only its progress row left.
fn restore_jobs(kernel: &Kernel, engine: &mut Engine, jobs: &[TableRow], progress: &[TableRow]) {
    let (now, unix_ms) = (kernel.clock.now(), kernel.clock.unix_ms());
    let mut progress: BTreeMap<&str, ProgressRow> = progress
        .iter()
        .filter_map(|row| Some((row.key.as_str(), decode_row(PROGRESS_TABLE, row)?)))
        .collect();
    for row in jobs {
        let progress_row = progress.remove(row.key.as_str());
        if let Some(job) = decode_row::<JobRow>(JOB_TABLE, row) {
            let id = job.submission.job.clone();
            engine.restore(job, progress_row, now, unix_ms);
            engine.restore_row_version(&id, row.version);
        }
    }
    for (job, row) in progress {
        if row.phase.is_ended() {
            engine.restore_retired(job.into(), row.phase, now);
        } else {
            log::error!("progress row without a job skipped job={job}");
        }
    }
}

fn restore_start_pools(engine: &mut Engine, rows: &[TableRow]) {
    for row in rows {
        let Some(start_pools) = decode_row(START_POOL_TABLE, row) else { continue };
        if !engine.restore_start_pools(&row.key, &start_pools) {
            log::warn!("start pools of no present job, to be removed job={}", row.key);
        }
    }
}

/// Restores the records of workers that get no starts, after the jobs; returns their number.
///
/// A record that cannot be decoded names no tasks, so that all tasks of the worker's pool wait. It is removed before the worker is
/// used, since a later owner of another version may be able to decode it.
fn restore_silent_records(engine: &mut Engine, rows: &[TableRow]) -> usize {
    let records = rows.iter().map(|row| {
        let content = decode_row(SILENT_WORKER_TABLE, row);
        let worker = row.key.as_str().into();
        StoredSilentWorker { worker, version: row.version, row: content }
    });
    let records: Vec<StoredSilentWorker> = records.collect();
    let count = records.len();
    engine.restore_silent_records(records);
    count
}

/// Restores the waves from their rows; the predecessor sends its last call at `last_sent` at the latest.
fn restore_waves(
    kernel: &Kernel,
    engine: &mut Engine,
    rows: &[TableRow],
    calls: &[TableRow],
    last_sent: Instant,
) {
    let known = kernel.tables.fleet.lock().waves.clone();
    for (number, (request, seen)) in known {
        let deadline = seen + request.time_limit;
        let mut wave = Wave::new(request.instances, request.down_max, deadline);
        let row = rows.iter().find(|row| row.key == number.to_string());
        let begun = row.and_then(|row| decode_row::<WaveProgress>(WAVE_TABLE, row));
        for instance in begun.into_iter().flat_map(|progress| progress.begun) {
            // The instance may still be down; the list of instances shows when it is up.
            wave.stages.insert(instance, MaintenanceStage::Down(kernel.clock.now()));
        }
        let row = calls.iter().find(|row| row.key == number.to_string());
        let calls = row.and_then(|row| decode_row::<WaveCalls>(WAVE_CALL_TABLE, row));
        wave.restore_calls(calls.into_iter().flat_map(|calls| calls.called), last_sent);
        if !wave.calls.is_empty() {
            log::info!(
                "maintenance orders of a predecessor in doubt wave={number} orders={}",
                wave.calls.len()
            );
        }
        engine.waves.insert(number, wave);
    }
}

/// Sends holds to workers concurrently, with a maximum number of attempts for each worker.
async fn hold_workers(kernel: &Arc<Kernel>, engine: &mut Engine, workers: Vec<(WorkerKey, u32)>) {
    let orders = workers.into_iter().filter_map(|(key, attempts)| {
        let worker = engine.workers.get(key)?;
        let order = workers::hold_order(worker, None, Duration::ZERO)?;
        Some((key, order, attempts))
    });
    let calls = orders.map(|(key, order, attempts)| async move {
        let (timing, reply) = hold_with_retries(kernel, &order, attempts).await;
        (key, order, timing, reply)
    });
    let calls: Vec<_> = calls.collect();
    let mut events = Vec::new();
    for (key, order, timing, reply) in join_all(calls).await {
        workers::apply_reply(engine, key, &order, timing, reply, &mut events);
    }
    // Only the number is logged: a line for each adopted run would displace the other lines of the log.
    log::info!("worker holds completed notes={}", events.len());
}

/// Sends a hold to a worker, and retries if no answer arrives.
///
/// The tasks of the pool of an unresponsive worker wait until its leases have expired, so one lost answer must
/// not make a worker count as unresponsive.
async fn hold_with_retries(
    kernel: &Arc<Kernel>,
    order: &HoldOrder,
    attempts_max: u32,
) -> (ReportTiming, PlatformResult<WorkerReply<WorkerReport>>) {
    let mut attempts = 0;
    loop {
        attempts += 1;
        let sent = kernel.clock.now();
        let call = (port(kernel).hold)(order.clone());
        let reply = tokio::time::timeout(HOLD_TIMEOUT, call).await;
        let timing = order.timing(sent, kernel.clock.now());
        match reply {
            Ok(Ok(reply)) => return (timing, Ok(reply)),
            Ok(Err(error)) if attempts >= attempts_max => return (timing, Err(error)),
            Err(_) if attempts >= attempts_max => {
                return (timing, Err(PlatformError::may_have_run("no answer in time")));
            }
            Ok(Err(_)) => tokio::time::sleep(HOLD_RETRY_DELAY).await,
            Err(_) => {}
        }
    }
}
