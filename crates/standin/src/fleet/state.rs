//! The state of the platform, and the checks of every task start, maintenance and wave report.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use wasabiswitch_kernel::platform::fleet::{
    Cursor, DirectoryItem, HoldOrder, InstanceOrder, OperatorItem, RowName, RowPage, RowRange,
    RowTx, RowTxOutcome, RunOrder, StartOrder, TableRow, WorkerReply,
};
use wasabiswitch_kernel::platform::{PlatformError, PlatformResult, Version};
use wasabiswitch_policy::fleet::maintenance::{FleetOutcome, Instance, InstanceState, WaveNumber};
use wasabiswitch_policy::fleet::outcomes::{StartAnswer, StartOutcome};
use wasabiswitch_policy::fleet::reports::{RunEnd, WorkerReport};
use wasabiswitch_policy::fleet::state::{TaskName, WorkerEntry};
use wasabiswitch_policy::ids::{DataCentre, InstanceId, PoolId};

use super::advice::AdviceQueue;
use super::{TASK_RESOURCES, WORKER_CAPACITY};
use crate::fleet_worker::{FakeStart, FakeWorker};

/// Time for which an instance is down during a move.
const MOVE_TIME: Duration = Duration::from_millis(1_500);
/// Time for which an instance is down during maintenance.
const MAINTENANCE_TIME: Duration = Duration::from_secs(2);
/// Time after the operator's write from which no task may start in an evacuated data centre.
const EVACUATE_TIME: Duration = Duration::from_secs(5);

/// An instance, with the orders carried out on it.
#[derive(Debug)]
pub(super) struct InstanceRecord {
    pub(super) listed: Instance,
    pub(super) data_centre: DataCentre,
    /// Highest fencing token of an order that was admitted.
    pub(super) fence: u64,
    /// Time at which the instance is up again, and its pool from then on; `None` while it is up.
    pub(super) scheduled_return: Option<(Instant, PoolId)>,
    /// Waves for which the instance has been taken down, one entry for each time.
    pub(super) maintenance_waves: Vec<WaveNumber>,
}

/// The platform's state.
#[derive(Debug)]
pub(super) struct State {
    /// Time of the current call.
    pub(super) now: Instant,
    /// Whether the current call is a stale read.
    pub(super) stale: bool,
    pub(super) rows: BTreeMap<(&'static str, String), (Bytes, Version)>,
    pub(super) version: Version,
    pub(super) operator: Vec<OperatorItem>,
    pub(super) directory: Vec<DirectoryItem>,
    pub(super) instances: BTreeMap<InstanceId, InstanceRecord>,
    pub(super) workers: BTreeMap<InstanceId, FakeWorker>,
    pub(super) workers_created: usize,
    pub(super) history: History,
    pub(super) waves_done: BTreeSet<WaveNumber>,
    /// Evacuated data centres, each with the time of the operator's write.
    pub(super) evacuations: BTreeMap<DataCentre, Instant>,
    /// Advice service; without one, calls for advice fail.
    pub(super) advice: Option<AdviceQueue>,
}

/// The history of starts, and the violations that the checks found.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Tasks of all starts, in order.
    pub starts: Vec<TaskName>,
    /// Tasks whose successful end an owner has acknowledged.
    pub acknowledged_done: Vec<TaskName>,
    /// Descriptions of the violations.
    pub violations: Vec<String>,
}

impl State {
    pub(super) fn new(now: Instant) -> State {
        State {
            now,
            stale: false,
            rows: BTreeMap::new(),
            version: 0,
            operator: Vec::new(),
            directory: Vec::new(),
            instances: BTreeMap::new(),
            workers: BTreeMap::new(),
            workers_created: 0,
            history: History::default(),
            waves_done: BTreeSet::new(),
            evacuations: BTreeMap::new(),
            advice: None,
        }
    }

    /// Creates a worker in a pool and a data centre, and appends it to the directory.
    pub(super) fn add_worker(&mut self, pool: PoolId, data_centre: DataCentre) -> InstanceId {
        let id: InstanceId = format!("w{}", self.workers_created).as_str().into();
        self.workers_created += 1;
        let entry = WorkerEntry {
            id: id.clone(),
            address: "10.9.0.2:1".into(),
            pool,
            data_centre,
            draining: false,
            capacity: WORKER_CAPACITY,
            labels: Vec::new(),
            rack: "r".into(),
            incarnation: 1,
        };
        self.directory.push(DirectoryItem::Listed(entry.clone()));
        self.workers.insert(id.clone(), FakeWorker::new(entry, self.now, 0.99));
        id
    }

    /// Advances workers and instances to `now`: runs end, and instances that were down get a new worker.
    pub(super) fn advance(&mut self, now: Instant) {
        self.now = now;
        for worker in self.workers.values_mut() {
            worker.advance(now);
        }
        let has_returned = |record: &InstanceRecord| {
            record.scheduled_return.as_ref().is_some_and(|scheduled| scheduled.0 <= now)
        };
        let returned: Vec<InstanceId> = self
            .instances
            .iter()
            .filter(|(_, r)| has_returned(r))
            .map(|(id, _)| id.clone())
            .collect();
        for id in returned {
            let scheduled =
                self.instances.get_mut(&id).and_then(|record| record.scheduled_return.take());
            let Some((_, pool)) = scheduled else { continue };
            let data_centre = self.instances[&id].data_centre.clone();
            let worker = self.add_worker(pool.clone(), data_centre);
            let listed =
                &mut self.instances.get_mut(&id).expect("the instance was found above").listed;
            *listed = Instance {
                pool,
                state: InstanceState::Up,
                worker: Some(worker),
                labels: Vec::new(),
            };
        }
    }

    /// Returns the directory and the cursor after it.
    ///
    /// A stale read ends before the entry of the newest worker that still exists.
    pub(super) fn read_directory(&self) -> (Vec<DirectoryItem>, Cursor) {
        let is_newest = |item: &DirectoryItem| match item {
            DirectoryItem::Listed(entry) => self.workers.contains_key(&entry.id),
            DirectoryItem::Unlisted(_) => false,
        };
        let newest = self.directory.iter().rposition(is_newest).filter(|_| self.stale);
        let end = newest.unwrap_or(self.directory.len());
        (self.directory[..end].to_vec(), end as Cursor)
    }

    pub(super) fn commit(&mut self, tx: RowTx) -> RowTxOutcome {
        let version_of =
            |state: &State, name: &RowName| state.row(name).map_or(0, |(_, version)| *version);
        if tx.expected.iter().any(|(name, version)| version_of(self, name) != *version) {
            let rows = tx.expected.iter().filter_map(|(name, _)| {
                let (value, version) = self.row(name)?.clone();
                Some(TableRow { key: name.key.clone(), value, version })
            });
            return RowTxOutcome::Conflict(rows.collect());
        }
        self.version += 1;
        for (name, value) in tx.puts {
            self.rows.insert((name.table, name.key), (value, self.version));
        }
        for name in tx.removes {
            self.rows.remove(&(name.table, name.key));
        }
        RowTxOutcome::Committed(self.version)
    }

    fn row(&self, name: &RowName) -> Option<&(Bytes, Version)> {
        self.rows.get(&(name.table, name.key.clone()))
    }

    pub(super) fn read(&self, range: &RowRange) -> RowPage {
        // `from` may be the successor of a key: the key and a zero byte, which is percent-encoded for the query.
        let from = range.from.replace("%00", "\0");
        let rows = self.rows.range((range.table, from)..);
        let table_rows = rows.take_while(|((table, _), _)| *table == range.table);
        let mut rows: Vec<TableRow> = table_rows
            .take(range.rows_max as usize + 1)
            .map(|((_, key), (value, version))| TableRow {
                key: key.clone(),
                value: value.clone(),
                version: *version,
            })
            .collect();
        let more = rows.len() > range.rows_max as usize;
        rows.truncate(range.rows_max as usize);
        RowPage { rows, more }
    }

    pub(super) fn start(&mut self, order: &StartOrder, cap_milli: u64) -> StartAnswer {
        let Some(worker) = self.workers.get_mut(&order.target.id) else {
            return StartOutcome::NotSent.into();
        };
        let before = worker.runs.len();
        let start = FakeStart {
            task: order.task.clone(),
            attempt: order.attempt,
            fence: order.order_fence,
            until_ms: order.until_ms,
            run_time: order.spec.parse().ok().map(Duration::from_millis),
            run_end: RunEnd::Done,
        };
        let outcome = worker.start(&start, self.now);
        let answer = StartAnswer { outcome, clock_ms: Some(worker.clock_ms(self.now)) };
        if worker.runs.len() > before {
            let runs = worker.runs.len() as u64;
            let data_centre = worker.entry.data_centre.clone();
            self.check_data_centre(&order.task, &data_centre);
            self.check_start(&order.task, runs, cap_milli);
        }
        answer
    }

    /// Checks that a data centre in which `task` has just started has not been evacuated for too long.
    fn check_data_centre(&mut self, task: &TaskName, data_centre: &DataCentre) {
        let Some(since) = self.evacuations.get(data_centre) else { return };
        let since = self.now.saturating_duration_since(*since);
        if since > EVACUATE_TIME {
            self.history.violations.push(format!(
                "{task:?} starts in {data_centre} {} ms after the evacuation",
                since.as_millis()
            ));
        }
    }

    /// Checks all runs after a start of `task` on a worker that now has `runs` runs.
    fn check_start(&mut self, task: &TaskName, runs: u64, cap_milli: u64) {
        let running = self.workers.values().flat_map(|worker| &worker.runs);
        let same = running.clone().filter(|run| run.task == *task).count();
        let used_milli = running.count() as u64 * TASK_RESOURCES.cpu_milli;
        let history = &mut self.history;
        history.starts.push(task.clone());
        if same > 1 {
            history.violations.push(format!("{task:?} runs {same} times at once"));
        }
        if history.acknowledged_done.contains(task) {
            history.violations.push(format!("{task:?} starts after its end was acknowledged"));
        }
        if runs * TASK_RESOURCES.cpu_milli > WORKER_CAPACITY.cpu_milli {
            history.violations.push(format!("a worker runs {runs} tasks"));
        }
        // The platform allows the cap, a tenth of it and one more task.
        if used_milli > cap_milli + cap_milli / 10 + TASK_RESOURCES.cpu_milli {
            history
                .violations
                .push(format!("the team uses {used_milli} of {cap_milli} thousandths of a core"));
        }
    }

    pub(super) fn stop(&mut self, order: RunOrder) -> PlatformResult<WorkerReply<()>> {
        let now = self.now;
        let worker = self.worker_mut(&order.target.id)?;
        Ok(match worker.stop(&order.task, order.attempt, order.order_fence, now) {
            true => WorkerReply::Done(()),
            false => WorkerReply::Fenced,
        })
    }

    fn worker_mut(&mut self, id: &InstanceId) -> PlatformResult<&mut FakeWorker> {
        self.workers.get_mut(id).ok_or_else(|| PlatformError::not_run("connection refused"))
    }

    pub(super) fn has_end(&self, order: &HoldOrder) -> bool {
        let worker = self.workers.get(&order.target.id);
        worker.is_none_or(|w| w.ends.iter().any(|end| end.number > order.acknowledged))
    }

    pub(super) fn hold(&mut self, order: &HoldOrder) -> PlatformResult<WorkerReply<WorkerReport>> {
        let now = self.now;
        let worker = self.worker_mut(&order.target.id)?;
        let ends = worker.ends.iter();
        let acknowledged =
            ends.filter(|end| end.number <= order.acknowledged && end.end == RunEnd::Done);
        let acknowledged: Vec<TaskName> = acknowledged.map(|end| end.task.clone()).collect();
        let report = worker.hold(order.order_fence, order.acknowledged, order.until_ms, now);
        Ok(match report {
            Some(report) => {
                self.history.acknowledged_done.extend(acknowledged);
                WorkerReply::Done(report)
            }
            None => WorkerReply::Fenced,
        })
    }

    /// Returns the record of the instance that an order addresses, or the outcome if the order is invalid or fenced.
    fn admit<T>(&mut self, order: &InstanceOrder<T>) -> Result<&mut InstanceRecord, FleetOutcome> {
        let record = self.instances.get_mut(&order.instance).ok_or(FleetOutcome::Invalid)?;
        if order.fence < record.fence {
            return Err(FleetOutcome::Fenced);
        }
        record.fence = order.fence;
        Ok(record)
    }

    pub(super) fn move_instance(&mut self, order: InstanceOrder<PoolId>) -> FleetOutcome {
        let record = match self.admit(&order) {
            Ok(record) => record,
            Err(outcome) => return outcome,
        };
        if record.listed.pool == order.argument {
            return FleetOutcome::Accepted;
        }
        if record.listed.state != InstanceState::Up {
            return FleetOutcome::Busy;
        }
        self.take_down(&order.instance, InstanceState::Moving, MOVE_TIME, order.argument);
        FleetOutcome::Accepted
    }

    pub(super) fn start_maintenance(&mut self, order: InstanceOrder<WaveNumber>) -> FleetOutcome {
        let record = match self.admit(&order) {
            Ok(record) => record,
            Err(outcome) => return outcome,
        };
        // A repeated call is accepted and has no effect.
        if record.maintenance_waves.contains(&order.argument) {
            return FleetOutcome::Accepted;
        }
        if record.listed.state != InstanceState::Up {
            return FleetOutcome::Busy;
        }
        record.maintenance_waves.push(order.argument);
        let pool = record.listed.pool.clone();
        self.take_down(&order.instance, InstanceState::Maintenance, MAINTENANCE_TIME, pool);
        let is_down = |record: &&InstanceRecord| record.listed.state == InstanceState::Maintenance;
        let down = self.instances.values().filter(is_down).count();
        let down_max = self.operator.iter().find_map(|item| match item {
            OperatorItem::Wave(wave) if wave.wave == order.argument => Some(wave.down_max),
            _ => None,
        });
        if down_max.is_none_or(|down_max| down > down_max) {
            self.history
                .violations
                .push(format!("{down} instances are down for maintenance; limit {down_max:?}"));
        }
        FleetOutcome::Accepted
    }

    /// Takes an instance down: its worker and all runs there are removed.
    fn take_down(
        &mut self,
        id: &InstanceId,
        state: InstanceState,
        downtime: Duration,
        pool: PoolId,
    ) {
        let record = self.instances.get_mut(id).expect("the order was admitted");
        let worker = record.listed.worker.take();
        record.listed.state = state;
        record.scheduled_return = Some((self.now + downtime, pool));
        if let Some(worker) = worker {
            self.workers.remove(&worker);
            self.directory.push(DirectoryItem::Unlisted(worker));
        }
    }

    pub(super) fn report_wave(&mut self, wave: WaveNumber, done: bool) {
        let requested = self.operator.iter().find_map(|item| match item {
            OperatorItem::Wave(request) if request.wave == wave => Some(request.instances.clone()),
            _ => None,
        });
        let was_started = |id: &InstanceId| {
            self.instances.get(id).is_some_and(|record| record.maintenance_waves.contains(&wave))
        };
        if done && !requested.unwrap_or_default().iter().all(was_started) {
            self.history.violations.push(format!("wave {wave} is reported as done too early"));
        }
        if done {
            self.waves_done.insert(wave);
        }
    }
}
