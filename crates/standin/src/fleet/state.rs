//! The state of the platform, and the ledger that judges every start, upkeep and report of a wave.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use wasabiswitch_kernel::platform::fleet::{
    Cursor, DirectoryItem, HoldOrder, InstanceOrder, OperatorItem, RowName, RowPage, RowRange,
    RowTx, RowTxOutcome, RunOrder, StartOrder, TableRow, WorkerReply,
};
use wasabiswitch_kernel::platform::{PlatformError, PlatformResult, Version};
use wasabiswitch_policy::fleet::maintenance::{FleetOutcome, Instance, InstanceState, WaveNumber};
use wasabiswitch_policy::fleet::outcomes::StartOutcome;
use wasabiswitch_policy::fleet::reports::{RunEnd, WorkerReport};
use wasabiswitch_policy::fleet::state::{TaskName, WorkerEntry};
use wasabiswitch_policy::ids::{InstanceId, PoolId};

use super::{TASK_RESOURCES, WORKER_CAPACITY};
use crate::fleet_worker::{FakeStart, FakeWorker};

/// How long an instance is away for a move.
const MOVE_TIME: Duration = Duration::from_millis(1_500);
/// How long an instance is away for upkeep.
const UPKEEP_TIME: Duration = Duration::from_secs(2);

/// An instance and what has been done with it.
#[derive(Debug)]
pub(super) struct Machine {
    pub(super) listed: Instance,
    pub(super) fence: u64,
    /// When it is back, in the pool that it then has.
    pub(super) back: Option<(Instant, PoolId)>,
    /// The waves for which it has been taken down, each time.
    pub(super) maintenance_waves: Vec<WaveNumber>,
}

/// The platform's state.
#[derive(Debug)]
pub(super) struct State {
    /// The time of the call that is being served.
    pub(super) now: Instant,
    /// Whether the call is answered from the past.
    pub(super) stale: bool,
    pub(super) rows: BTreeMap<(&'static str, String), (Bytes, Version)>,
    pub(super) version: Version,
    pub(super) operator: Vec<OperatorItem>,
    pub(super) directory: Vec<DirectoryItem>,
    pub(super) machines: BTreeMap<InstanceId, Machine>,
    pub(super) workers: BTreeMap<InstanceId, FakeWorker>,
    pub(super) workers_born: usize,
    pub(super) history: History,
    pub(super) waves_done: BTreeSet<WaveNumber>,
}

/// What has been started, and which rules that broke.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// All starts, in their order.
    pub starts: Vec<TaskName>,
    /// The tasks whose good end an owner has acknowledged.
    pub acknowledged_done: Vec<TaskName>,
    /// The rules that were broken, in words.
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
            machines: BTreeMap::new(),
            workers: BTreeMap::new(),
            workers_born: 0,
            history: History::default(),
            waves_done: BTreeSet::new(),
        }
    }

    /// Creates a worker in a pool and lists it.
    pub(super) fn bear(&mut self, pool: PoolId) -> InstanceId {
        let id: InstanceId = format!("w{}", self.workers_born).as_str().into();
        self.workers_born += 1;
        let entry = WorkerEntry {
            id: id.clone(),
            address: "10.9.0.2:1".into(),
            pool,
            data_centre: "dc".into(),
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

    /// Lets the time pass for workers and instances.
    pub(super) fn advance(&mut self, now: Instant) {
        self.now = now;
        for worker in self.workers.values_mut() {
            worker.advance(now);
        }
        let is_back = |machine: &Machine| machine.back.as_ref().is_some_and(|back| back.0 <= now);
        let back: Vec<InstanceId> =
            self.machines.iter().filter(|(_, m)| is_back(m)).map(|(id, _)| id.clone()).collect();
        for id in back {
            let taken = self.machines.get_mut(&id).and_then(|machine| machine.back.take());
            let Some((_, pool)) = taken else { continue };
            let worker = self.bear(pool.clone());
            let listed = &mut self.machines.get_mut(&id).expect("it was found above").listed;
            *listed = Instance {
                pool,
                state: InstanceState::Up,
                worker: Some(worker),
                labels: Vec::new(),
            };
        }
    }

    /// Returns the directory, and how far it was read; from the past, before its newest worker was listed.
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
        // The smallest key after a given one is spelt as the query spells it.
        let from = range.from.replace("%00", "\0");
        let rows = self.rows.range((range.table, from)..);
        let of_table = rows.take_while(|((table, _), _)| *table == range.table);
        let mut rows: Vec<TableRow> = of_table
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

    pub(super) fn start(&mut self, order: &StartOrder, cap_milli: u64) -> StartOutcome {
        let Some(worker) = self.workers.get_mut(&order.target.id) else {
            return StartOutcome::NotSent;
        };
        let before = worker.runs.len();
        let start = FakeStart {
            task: order.task.clone(),
            attempt: order.attempt,
            fence: order.fence,
            until_ms: order.until_ms,
            run_time: order.spec.parse().ok().map(Duration::from_millis),
            run_end: RunEnd::Done,
        };
        let outcome = worker.start(&start, self.now);
        if worker.runs.len() > before {
            let runs = worker.runs.len() as u64;
            self.judge(&order.task, runs, cap_milli);
        }
        outcome
    }

    /// Looks at all that runs after a start of `task` on a worker that now has `runs` runs.
    fn judge(&mut self, task: &TaskName, runs: u64, cap_milli: u64) {
        let running = self.workers.values().flat_map(|worker| &worker.runs);
        let same = running.clone().filter(|run| run.task == *task).count();
        let used_milli = running.count() as u64 * TASK_RESOURCES.cpu_milli;
        let history = &mut self.history;
        history.starts.push(task.clone());
        if same > 1 {
            history.violations.push(format!("{task:?} runs {same} times at once"));
        }
        if history.acknowledged_done.contains(task) {
            history.violations.push(format!("{task:?} starts after it was noted as done"));
        }
        if runs * TASK_RESOURCES.cpu_milli > WORKER_CAPACITY.cpu_milli {
            history.violations.push(format!("a worker runs {runs} tasks"));
        }
        // The platform allows a tenth and one task more.
        if used_milli > cap_milli + cap_milli / 10 + TASK_RESOURCES.cpu_milli {
            history.violations.push(format!("the team runs {used_milli} of {cap_milli}"));
        }
    }

    pub(super) fn stop(&mut self, order: RunOrder) -> PlatformResult<WorkerReply<()>> {
        let now = self.now;
        let worker = self.reached(&order.target.id)?;
        Ok(match worker.stop(&order.task, order.attempt, order.fence, now) {
            true => WorkerReply::Done(()),
            false => WorkerReply::Fenced,
        })
    }

    fn reached(&mut self, id: &InstanceId) -> PlatformResult<&mut FakeWorker> {
        self.workers.get_mut(id).ok_or_else(|| PlatformError::not_run("connection refused"))
    }

    pub(super) fn has_end(&self, order: &HoldOrder) -> bool {
        let worker = self.workers.get(&order.target.id);
        worker.is_none_or(|w| w.ends.iter().any(|end| end.number > order.acknowledged))
    }

    pub(super) fn hold(&mut self, order: &HoldOrder) -> PlatformResult<WorkerReply<WorkerReport>> {
        let now = self.now;
        let worker = self.reached(&order.target.id)?;
        let ends = worker.ends.iter();
        let noted = ends.filter(|end| end.number <= order.acknowledged && end.end == RunEnd::Done);
        let noted: Vec<TaskName> = noted.map(|end| end.task.clone()).collect();
        let report = worker.hold(order.fence, order.acknowledged, order.until_ms, now);
        Ok(match report {
            Some(report) => {
                self.history.acknowledged_done.extend(noted);
                WorkerReply::Done(report)
            }
            None => WorkerReply::Fenced,
        })
    }

    /// Returns an instance that an order may be carried out on, or how the order ends.
    fn admit<T>(&mut self, order: &InstanceOrder<T>) -> Result<&mut Machine, FleetOutcome> {
        let machine = self.machines.get_mut(&order.instance).ok_or(FleetOutcome::Invalid)?;
        if order.fence < machine.fence {
            return Err(FleetOutcome::Fenced);
        }
        machine.fence = order.fence;
        Ok(machine)
    }

    pub(super) fn move_instance(&mut self, order: InstanceOrder<PoolId>) -> FleetOutcome {
        let machine = match self.admit(&order) {
            Ok(machine) => machine,
            Err(outcome) => return outcome,
        };
        if machine.listed.pool == order.argument {
            return FleetOutcome::Accepted;
        }
        if machine.listed.state != InstanceState::Up {
            return FleetOutcome::Busy;
        }
        self.take_down(&order.instance, InstanceState::Moving, MOVE_TIME, order.argument);
        FleetOutcome::Accepted
    }

    pub(super) fn upkeep(&mut self, order: InstanceOrder<WaveNumber>) -> FleetOutcome {
        let machine = match self.admit(&order) {
            Ok(machine) => machine,
            Err(outcome) => return outcome,
        };
        // A call that has been carried out before is accepted and does nothing.
        if machine.maintenance_waves.contains(&order.argument) {
            return FleetOutcome::Accepted;
        }
        if machine.listed.state != InstanceState::Up {
            return FleetOutcome::Busy;
        }
        machine.maintenance_waves.push(order.argument);
        let pool = machine.listed.pool.clone();
        self.take_down(&order.instance, InstanceState::Upkeep, UPKEEP_TIME, pool);
        let is_down = |machine: &&Machine| machine.listed.state == InstanceState::Upkeep;
        let down = self.machines.values().filter(is_down).count();
        let asked = self.operator.iter().find_map(|item| match item {
            OperatorItem::Wave(wave) if wave.wave == order.argument => Some(wave.down_max),
            _ => None,
        });
        if asked.is_none_or(|down_max| down > down_max) {
            self.history.violations.push(format!("{down} instances are down for {asked:?}"));
        }
        FleetOutcome::Accepted
    }

    /// Ends the worker of an instance, and all that runs there.
    fn take_down(&mut self, id: &InstanceId, state: InstanceState, away: Duration, pool: PoolId) {
        let machine = self.machines.get_mut(id).expect("the order was admitted");
        let worker = machine.listed.worker.take();
        machine.listed.state = state;
        machine.back = Some((self.now + away, pool));
        if let Some(worker) = worker {
            self.workers.remove(&worker);
            self.directory.push(DirectoryItem::Unlisted(worker));
        }
    }

    pub(super) fn report_wave(&mut self, wave: WaveNumber, done: bool) {
        let asked = self.operator.iter().find_map(|item| match item {
            OperatorItem::Wave(asked) if asked.wave == wave => Some(asked.instances.clone()),
            _ => None,
        });
        let begun = |id: &InstanceId| {
            self.machines.get(id).is_some_and(|machine| machine.maintenance_waves.contains(&wave))
        };
        if done && !asked.unwrap_or_default().iter().all(begun) {
            self.history.violations.push(format!("wave {wave} is said to be done too early"));
        }
        if done {
            self.waves_done.insert(wave);
        }
    }
}
