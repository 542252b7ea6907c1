//! Simulation of a fleet in memory: workers, the job store, orders in flight, and a checker of every start.
//!
//! The checker is a reference implementation of the rules: at each start it looks at all workers, and it
//! does not use leases, fences or attempt numbers.

mod advice;
mod checks;
mod orders;
mod reports;
mod restarts;
mod terms;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use fastrand::Rng;
use wasabiswitch_policy::fleet::Engine;
use wasabiswitch_policy::fleet::config::FleetConfig;
use wasabiswitch_policy::fleet::progress::{JobRow, ProgressRow};
use wasabiswitch_policy::fleet::silent_records::{RowVersion, SilentWorkerRow};
use wasabiswitch_policy::fleet::spec::Submission;
use wasabiswitch_policy::fleet::start_pools::StartPoolsRow;
use wasabiswitch_policy::fleet::state::{TaskName, TaskRef, WorkerEntry, WorkerKey};
use wasabiswitch_policy::ids::{InstanceId, JobId, OrderFence};
use wasabiswitch_standin::fleet::advice::AdviceQueue;
use wasabiswitch_standin::fleet::single_queue_config;
use wasabiswitch_standin::fleet_worker::FakeWorker;

use self::advice::AdviceCall;
use self::checks::cap_milli;
use self::orders::Delivery;
use self::reports::{LateAnswer, LateHold};
pub use crate::fixtures::{instance, limits, queue_settings, step, submission, worker_entry};
use crate::instance_service::InstanceService;

/// Length of one simulation step.
pub const TICK: Duration = Duration::from_millis(10);

/// Time after which the sender of an order stops waiting for the answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Age of the workers at the start of a simulation.
const WORKER_AGE: Duration = Duration::from_secs(3_600);

/// An owner that has been replaced and has not detected it yet.
struct StaleOwner {
    engine: Engine,
    next_report: BTreeMap<WorkerKey, Instant>,
    /// Time at which the owner stops sending orders.
    until: Instant,
}

/// Fault probabilities, each from zero to one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Probability that an order is executed but its answer is lost.
    pub lost_acks: f64,
    /// Probability that an order is delivered seconds late, without an answer.
    pub late_orders: f64,
    /// Probability that a worker's report is lost.
    pub lost_reports: f64,
    /// Probability that a task fails.
    pub failed_tasks: f64,
    /// Probability that a request for a report is delivered seconds late, without an answer.
    pub late_holds: f64,
    /// Probability that the answer to an order or to a request for a report is overtaken by later ones.
    pub late_answers: f64,
}

/// A simulated fleet with its owner, workers and store.
pub struct Simulation {
    pub now: Instant,
    pub engine: Engine,
    pub workers: BTreeMap<InstanceId, FakeWorker>,
    pub faults: Faults,
    pub rng: Rng,
    /// Workers that no owner can reach until the given time.
    pub partitioned: BTreeMap<InstanceId, Instant>,
    /// Workers that the newest owner cannot reach until the given time, while its predecessors can.
    pub unreachable_for_newest: BTreeMap<InstanceId, Instant>,
    /// Workers that the directory does not list at a takeover.
    pub unlisted: BTreeSet<InstanceId>,
    /// Restarted workers whose new entry the directory lists once the owner has their first report.
    renewed_entries: BTreeSet<InstanceId>,
    stale_owner: Option<StaleOwner>,
    newest_fence: u64,
    /// Workers whose next call fails because a restart has closed their connections.
    disconnected: BTreeSet<InstanceId>,
    /// Events of each task, printed with a violation.
    trace: BTreeMap<TaskName, Vec<String>>,
    /// Events of each worker, the last of which are printed with a violation.
    worker_trace: BTreeMap<InstanceId, Vec<String>>,
    /// Start of the simulation.
    origin: Instant,
    /// Starts that the duplicate check ignores: delivered late to a worker incarnation of which the owner
    /// has had no report yet.
    exempt_starts: BTreeSet<(TaskName, u32)>,
    /// Descriptions of the rules that were broken.
    pub violations: Vec<String>,
    /// All starts in order: time, worker, task and attempt.
    pub starts: Vec<(Instant, InstanceId, TaskName, u32)>,
    config: FleetConfig,
    /// Caps of the team in earlier configurations, with the time at which each was replaced.
    replaced_caps: Vec<(Instant, u64)>,
    /// Rows of the jobs in the store.
    stored_jobs: BTreeMap<JobId, (JobRow, Option<ProgressRow>)>,
    /// Rows of start pools in the store.
    stored_start_pools: BTreeMap<JobId, StartPoolsRow>,
    /// Versions of the jobs' rows in the store.
    job_versions: BTreeMap<JobId, RowVersion>,
    /// Records of silent workers in the store, with their versions.
    stored_silent_workers: BTreeMap<InstanceId, (RowVersion, SilentWorkerRow)>,
    /// Version of the last write to the store.
    store_version: RowVersion,
    /// Run times of jobs whose declared ones are wrong, in milliseconds, by job.
    pub run_times_ms: BTreeMap<JobId, u64>,
    /// Objective of each job, kept here because the engine drops the submission of a finished job.
    objectives: BTreeMap<JobId, Instant>,
    /// Jobs of which the store has only the progress row.
    retired: BTreeSet<JobId>,
    deliveries: Vec<Delivery>,
    late_holds: Vec<LateHold>,
    answers: Vec<LateAnswer>,
    /// Starts that get no answer: time of the timeout, fence of the sender, worker, task and attempt.
    timeouts: Vec<(Instant, u64, WorkerKey, TaskRef, u32)>,
    /// Tasks whose successful end an owner has acknowledged to the worker.
    acknowledged_done: BTreeSet<TaskName>,
    next_report: BTreeMap<WorkerKey, Instant>,
    writes_paused: bool,
    /// Advice service with a queue; without one, all requests are answered at once.
    pub advice_queue: Option<AdviceQueue>,
    advice_calls: Vec<AdviceCall>,
    /// Instance service; while it has no instances, workers stay in their pools.
    pub instance_service: InstanceService,
}

impl Simulation {
    /// Creates a fleet of `workers` workers in the pool `p`; the team is capped at `cap_milli`, zero for no cap.
    pub fn new(workers: usize, cap_milli: u64, faults: Faults, seed: u64) -> Simulation {
        let entries = (0..workers).map(|number| worker_entry(&format!("w{number}"), "p")).collect();
        Simulation::with_workers(single_queue_config("spare", cap_milli), entries, faults, seed)
    }

    /// Creates a fleet of the given workers, whose clocks run up to 2% slow, as the platform allows.
    pub fn with_workers(
        config: FleetConfig,
        entries: Vec<WorkerEntry>,
        faults: Faults,
        seed: u64,
    ) -> Simulation {
        let now = Instant::now();
        let mut rng = Rng::with_seed(seed);
        let workers = entries.into_iter().map(|entry| {
            let rate = 0.98 + rng.f64() * 0.02;
            (entry.id.clone(), FakeWorker::new(entry, now, rate))
        });
        let workers = workers.collect();
        let mut sim = Simulation {
            now,
            engine: Engine::new(limits(), 0),
            workers,
            faults,
            rng,
            partitioned: BTreeMap::new(),
            unreachable_for_newest: BTreeMap::new(),
            unlisted: BTreeSet::new(),
            renewed_entries: BTreeSet::new(),
            stale_owner: None,
            newest_fence: 0,
            disconnected: BTreeSet::new(),
            trace: BTreeMap::new(),
            worker_trace: BTreeMap::new(),
            origin: now,
            exempt_starts: BTreeSet::new(),
            violations: Vec::new(),
            starts: Vec::new(),
            config,
            replaced_caps: Vec::new(),
            stored_jobs: BTreeMap::new(),
            stored_start_pools: BTreeMap::new(),
            job_versions: BTreeMap::new(),
            stored_silent_workers: BTreeMap::new(),
            store_version: 0,
            run_times_ms: BTreeMap::new(),
            objectives: BTreeMap::new(),
            retired: BTreeSet::new(),
            deliveries: Vec::new(),
            late_holds: Vec::new(),
            answers: Vec::new(),
            timeouts: Vec::new(),
            acknowledged_done: BTreeSet::new(),
            next_report: BTreeMap::new(),
            writes_paused: false,
            advice_queue: None,
            advice_calls: Vec::new(),
            instance_service: InstanceService::default(),
        };
        sim.take_over();
        sim
    }

    /// Accepts a job: writes its row, then adds it to the engine.
    pub fn submit(&mut self, submission: Submission) {
        let fence = self.engine.fence;
        let route = self.config.routes.iter().find(|route| route.queue == submission.queue);
        let queue_settings = route.expect("the queue is configured").queue_settings.clone();
        let row = JobRow {
            submission: submission.clone(),
            queue_settings: queue_settings.clone(),
            accepted_fence: fence,
        };
        self.stored_jobs.insert(submission.job.clone(), (row, None));
        self.store_version += 1;
        self.job_versions.insert(submission.job.clone(), self.store_version);
        let job = submission.job.clone();
        self.engine.accept(submission, queue_settings, self.now, 0);
        let key = self.engine.job_key(&job).expect("the job was accepted");
        self.objectives.insert(job, self.engine.jobs[key].objective());
    }

    /// Puts a configuration into force, for the current owner and all later ones.
    pub fn apply_config(&mut self, config: FleetConfig) {
        self.engine.apply_config(&config);
        let replaced = std::mem::replace(&mut self.config, config);
        self.replaced_caps.push((self.now, cap_milli(&replaced)));
    }

    /// Returns the number of job rows in the store, without the progress rows.
    pub fn job_row_count(&self) -> usize {
        self.stored_jobs.len() - self.retired.len()
    }

    /// Returns whether a job ended within its objective.
    pub fn met_objective(&self, id: &str) -> bool {
        let job = &self.engine.jobs[self.engine.job_key(id).expect("the job was accepted")];
        job.ended.is_some_and(|ended| ended <= self.objectives[id])
    }

    /// Returns the time of day, in Unix milliseconds.
    fn unix_ms(&self) -> u64 {
        let elapsed = self.now.saturating_duration_since(self.origin);
        (WORKER_AGE + elapsed).as_millis() as u64
    }

    /// Returns whether the owner with this fence cannot reach a worker.
    fn is_partitioned(&self, id: &InstanceId, fence: u64) -> bool {
        let active = |partitions: &BTreeMap<_, Instant>| {
            partitions.get(id).is_some_and(|until| *until > self.now)
        };
        active(&self.partitioned)
            || (fence == self.newest_fence && active(&self.unreachable_for_newest))
    }

    /// Returns the fencing token that the owner's orders to a worker carry now.
    pub fn order_fence(&self, id: &str) -> OrderFence {
        let key = self.engine.worker_key(id).expect("the engine knows the worker");
        self.engine.workers[key].order_fence
    }

    /// Advances the simulation by `time`.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            self.tick();
        }
    }

    /// Advances the simulation by `time` without writes to the store.
    pub fn run_without_writes(&mut self, time: Duration) {
        self.writes_paused = true;
        self.run(time);
        self.writes_paused = false;
    }

    fn tick(&mut self) {
        if !self.writes_paused {
            self.engine.confirmed_sent = Some(self.now);
        }
        self.run_stale_owner();
        self.poll_workers();
        self.run_instance_service();
        self.plan();
        self.deliver();
        self.deliver_late_holds();
        self.apply_advice();
        self.apply_late_answers();
        if self.rng.u8(0..6) == 0 && !self.writes_paused {
            self.write_progress();
        }
    }

    /// Runs one step of the replaced owner, until the overlap ends.
    fn run_stale_owner(&mut self) {
        let active = self.stale_owner.take().filter(|old| old.until > self.now);
        let Some(mut old) = active else { return };
        std::mem::swap(&mut self.engine, &mut old.engine);
        std::mem::swap(&mut self.next_report, &mut old.next_report);
        self.poll_workers();
        self.plan();
        std::mem::swap(&mut self.engine, &mut old.engine);
        std::mem::swap(&mut self.next_report, &mut old.next_report);
        self.stale_owner = Some(old);
    }

    /// Requests a report from each worker whose next report is due.
    fn poll_workers(&mut self) {
        let keys: Vec<WorkerKey> = self.engine.workers.keys().collect();
        for key in keys {
            let due = self.next_report.get(&key).is_none_or(|at| *at <= self.now);
            if due {
                let pause = Duration::from_millis(self.rng.u64(30..400));
                self.next_report.insert(key, self.now + pause);
                self.poll_worker(key, true);
            }
        }
    }

    /// Runs the engine's planning, and sends the orders.
    pub fn plan(&mut self) {
        for order in self.engine.plan(self.now, &mut Vec::new()) {
            self.send(order);
        }
    }

    /// Writes progress to the store, after which ends can be acknowledged to the workers.
    pub fn write_progress(&mut self) {
        let changes = self.engine.take_changes(usize::MAX);
        for (_, job, row) in &changes.jobs {
            self.stored_jobs.get_mut(job).expect("the job was accepted").1 = Some(row.clone());
        }
        for (_, job, row) in &changes.start_pools {
            self.stored_start_pools.insert(job.clone(), row.clone());
        }
        self.store_version += 1;
        for (worker, row) in &changes.silent_workers {
            self.stored_silent_workers.insert(worker.clone(), (self.store_version, row.clone()));
        }
        for worker in &changes.answering_workers {
            self.stored_silent_workers.remove(worker);
        }
        self.engine.confirm_changes(&changes);
        let retired = self.engine.retirable_jobs(usize::MAX);
        self.retired.extend(retired.iter().map(|(_, id)| id.clone()));
        self.engine.mark_retired(&retired);
    }
}
