//! Rebuilds the engine from the rows and from the workers.
//!
//! Nothing starts before every worker has been held under the new fence, or is known to be silent: the
//! hold shuts the old owner out of the worker and returns what runs and what has ended there.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use wasabiswitch_kernel::Kernel;
use wasabiswitch_kernel::platform::fleet::{
    Cursor, DirectoryItem, HoldOrder, RowRange, TableRow, WorkerReply,
};
use wasabiswitch_kernel::platform::{PlatformError, PlatformResult};
use wasabiswitch_policy::fleet::Engine;
use wasabiswitch_policy::fleet::maintenance::{Instance, MaintenanceStage, Wave, WaveProgress};
use wasabiswitch_policy::fleet::progress::{JobRow, ProgressRow};
use wasabiswitch_policy::fleet::reports::{ReportTiming, WorkerReport};
use wasabiswitch_policy::fleet::state::{WorkerEntry, WorkerKey};
use wasabiswitch_policy::ids::{InstanceId, PoolId};
use wasabiswitch_wire::codec::WireType;
use wasabiswitch_wire::decode;

use super::{port, workers};

/// The table of the jobs, whose rows are written once.
pub const JOB_TABLE: &str = "jobs";
/// The table of the jobs' progress.
pub const PROGRESS_TABLE: &str = "progress";
/// The table of the waves' progress.
pub const WAVE_TABLE: &str = "waves";
/// How long a worker may take to answer at a take-over; calm ones take some milliseconds, and hundreds
/// that answer at once take a daemon up to 0.2 s.
const HOLD_PATIENCE: Duration = Duration::from_millis(250);
/// How often a worker is asked at a take-over at most; a twentieth of the answers may be lost.
const HOLD_TRIES: u32 = 3;
/// The pause after a connection that was refused.
const HOLD_PAUSE: Duration = Duration::from_millis(50);
/// The rows of one page.
const PAGE_ROWS: u32 = 500;

/// What a take-over has put together.
pub(crate) struct Rebuilt {
    pub(crate) engine: Engine,
    /// From where the directory's feed goes on.
    pub(crate) directory: Cursor,
}

/// Reads the rows and holds the workers, the predecessor giving its last order at `predecessor_deadline`.
pub(crate) async fn rebuild(
    kernel: &Arc<Kernel>,
    fence: u64,
    predecessor_deadline: Instant,
) -> PlatformResult<Rebuilt> {
    let begun = kernel.clock.now();
    let (directory, instances, jobs, progress, waves) = tokio::join!(
        (port(kernel).read_directory)(()),
        (port(kernel).list_instances)(()),
        read_rows(kernel, JOB_TABLE),
        read_rows(kernel, PROGRESS_TABLE),
        read_rows(kernel, WAVE_TABLE),
    );
    let (items, cursor) = directory?;
    let limits = super::term::limits(kernel);
    let mut engine = Engine::new(limits, fence);
    if let Some(config) = super::queue_calls::config(kernel) {
        engine.apply_config(&config);
    }
    restore_jobs(kernel, &mut engine, &jobs?, &progress?);
    restore_waves(kernel, &mut engine, &waves?);
    for entry in items.into_iter().filter_map(listed) {
        engine.upsert_worker(entry, kernel.clock.now());
    }
    let rows_took = kernel.clock.now().saturating_duration_since(begun);
    let instances = instances.inspect_err(|error| {
        log::warn!(
            "instances not listed at the take-over, any worker may be out of sight: {error}"
        );
    });
    let instances = instances.ok();
    hold_listed(kernel, &mut engine, instances.as_ref()).await;
    let (replaced, unseen) = match &instances {
        Some(instances) => settle_unseen(kernel, &mut engine, instances).await,
        None => (0, engine.pools.keys().cloned().collect()),
    };
    let unseen_pools = unseen.len();
    let silent = engine.workers.values().filter(|worker| worker.last_contact.is_none()).count();
    let doubted = engine.mark_unconfirmed(unseen, predecessor_deadline, kernel.clock.now());
    log::info!(
        "fleet rebuilt fence={fence} jobs={} live={} workers={} silent={silent} replaced={replaced} \
         unseen_pools={unseen_pools} doubted={doubted} rows_ms={} took_ms={}",
        engine.jobs.len(),
        engine.live.len(),
        engine.workers.len(),
        rows_took.as_millis(),
        kernel.clock.now().saturating_duration_since(begun).as_millis()
    );
    Ok(Rebuilt { engine, directory: cursor })
}

/// Holds all listed workers; one that has been replaced by another life is most likely gone, and is asked just once.
async fn hold_listed(
    kernel: &Arc<Kernel>,
    engine: &mut Engine,
    instances: Option<&BTreeMap<InstanceId, Instance>>,
) {
    let gone = instances.map(|instances| engine.replaced_workers(instances)).unwrap_or_default();
    let tries = |key| (key, if gone.contains(&key) { 1 } else { HOLD_TRIES });
    let asked = engine.workers.keys().map(tries).collect();
    hold(kernel, engine, asked).await;
}

/// Forgets the workers that have been replaced, and returns their count and the pools with a worker out of sight.
///
/// An instance may be up before the directory lists its worker. Since the tasks of a pool with a worker out of sight
/// wait for seconds, the directory is read once more for it.
async fn settle_unseen(
    kernel: &Arc<Kernel>,
    engine: &mut Engine,
    instances: &BTreeMap<InstanceId, Instance>,
) -> (usize, BTreeSet<PoolId>) {
    let replaced = engine.forget_replaced_workers(instances);
    if !engine.unlisted_workers(instances).is_empty() {
        match (port(kernel).read_directory)(()).await {
            Ok((items, _)) => {
                let unlisted = engine.unlisted_workers(instances);
                let new: Vec<_> = items
                    .into_iter()
                    .filter_map(listed)
                    .filter(|entry| unlisted.contains_key(&entry.id))
                    .collect();
                let now = kernel.clock.now();
                let keys = new.into_iter().map(|entry| engine.upsert_worker(entry, now));
                let asked = keys.map(|key| (key, HOLD_TRIES)).collect();
                hold(kernel, engine, asked).await;
            }
            Err(error) => log::warn!("directory not read again at the take-over reason={error}"),
        }
    }
    (replaced, engine.unlisted_workers(instances).into_values().cloned().collect())
}

fn listed(item: DirectoryItem) -> Option<WorkerEntry> {
    match item {
        DirectoryItem::Listed(entry) => Some(entry),
        _ => None,
    }
}

async fn read_rows(kernel: &Kernel, table: &'static str) -> PlatformResult<Vec<TableRow>> {
    let mut rows = Vec::new();
    let mut from = String::new();
    loop {
        let range = RowRange { table, from, rows_max: PAGE_ROWS };
        let page = (port(kernel).read)(range).await?;
        // The smallest key after the last one, as the query spells it.
        from = page.rows.last().map_or(String::new(), |row| format!("{}%00", row.key));
        rows.extend(page.rows);
        if !page.more || from.is_empty() {
            return Ok(rows);
        }
    }
}

/// Decodes a row, or logs why it is left out.
fn decode_row<T: WireType>(table: &str, row: &TableRow) -> Option<T> {
    decode(&row.value)
        .inspect_err(|error| {
            log::error!("row left out table={table} key={} reason={error}", row.key);
        })
        .ok()
}

/// Reads the jobs back; of those that have ended, only the progress is left.
fn restore_jobs(kernel: &Kernel, engine: &mut Engine, jobs: &[TableRow], progress: &[TableRow]) {
    let (now, unix_ms) = (kernel.clock.now(), kernel.clock.unix_ms());
    let mut progress: BTreeMap<&str, ProgressRow> = progress
        .iter()
        .filter_map(|row| Some((row.key.as_str(), decode_row(PROGRESS_TABLE, row)?)))
        .collect();
    for row in jobs {
        let of_job = progress.remove(row.key.as_str());
        if let Some(job) = decode_row::<JobRow>(JOB_TABLE, row) {
            engine.restore(job, of_job, now, unix_ms);
        }
    }
    for (job, row) in progress {
        if row.phase.is_ended() {
            engine.restore_retired(job.into(), row.phase, now);
        } else {
            log::error!("progress without a job left out job={job}");
        }
    }
}

fn restore_waves(kernel: &Kernel, engine: &mut Engine, rows: &[TableRow]) {
    let known = kernel.tables.fleet.lock().waves.clone();
    for (number, (request, seen)) in known {
        let deadline = seen + request.time_limit;
        let mut wave = Wave::new(request.instances, request.down_max, deadline);
        let row = rows.iter().find(|row| row.key == number.to_string());
        let begun = row.and_then(|row| decode_row::<WaveProgress>(WAVE_TABLE, row));
        for instance in begun.into_iter().flat_map(|progress| progress.begun) {
            // It may still be down; the list of instances tells when it is up.
            wave.stages.insert(instance, MaintenanceStage::Down(kernel.clock.now()));
        }
        engine.waves.insert(number, wave);
    }
}

/// Holds workers, all at the same time, each with as many tries at most.
async fn hold(kernel: &Arc<Kernel>, engine: &mut Engine, asked: Vec<(WorkerKey, u32)>) {
    let orders = asked.into_iter().filter_map(|(key, tries)| {
        let worker = engine.workers.get(key)?;
        let order = workers::hold_order(worker, engine.fence, None, Duration::ZERO)?;
        Some((key, order, tries))
    });
    let calls = orders.map(|(key, order, tries)| async move {
        let (asked, reply) = hold_soon(kernel, &order, tries).await;
        (key, asked, reply)
    });
    let calls: Vec<_> = calls.collect();
    let mut notes = Vec::new();
    for (key, asked, reply) in join_all(calls).await {
        workers::take_reply(engine, key, asked, reply, &mut notes);
    }
    // One line for each adopted run would crowd out everything else.
    log::info!("workers held notes={}", notes.len());
}

/// Holds a worker, and asks again soon if no answer comes.
///
/// A worker that stays silent makes the tasks of its pool wait until its leases have lapsed, so one lost
/// answer must not count.
async fn hold_soon(
    kernel: &Arc<Kernel>,
    order: &HoldOrder,
    tries_max: u32,
) -> (ReportTiming, PlatformResult<WorkerReply<WorkerReport>>) {
    let mut tries = 0;
    loop {
        tries += 1;
        let sent = kernel.clock.now();
        let hold = (port(kernel).hold)(order.clone());
        let reply = tokio::time::timeout(HOLD_PATIENCE, hold).await;
        let asked = ReportTiming { sent, received: kernel.clock.now() };
        match reply {
            Ok(Ok(reply)) => return (asked, Ok(reply)),
            Ok(Err(error)) if tries >= tries_max => return (asked, Err(error)),
            Err(_) if tries >= tries_max => {
                return (asked, Err(PlatformError::may_have_run("no answer in time")));
            }
            Ok(Err(_)) => tokio::time::sleep(HOLD_PAUSE).await,
            Err(_) => {}
        }
    }
}
