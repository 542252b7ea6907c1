//! Simulation of a fleet in memory: workers, the job store, orders in flight, and a checker of every start.
//!
//! The checker is a reference implementation of the rules: at each start it looks at all workers, and it
//! does not use leases, fences or attempt numbers.

mod advice;
mod checks;
mod restarts;
mod terms;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use fastrand::Rng;
use wasabiswitch_policy::fleet::Engine;
use wasabiswitch_policy::fleet::advice::AdviceOutcome;
use wasabiswitch_policy::fleet::config::FleetConfig;
use wasabiswitch_policy::fleet::lease_bounds::OrderOutcome;
use wasabiswitch_policy::fleet::outcomes::{StartAnswer, StartOutcome};
use wasabiswitch_policy::fleet::plan::Order;
use wasabiswitch_policy::fleet::progress::{JobRow, ProgressRow};
use wasabiswitch_policy::fleet::reports::{EndEntry, ReportTiming, RunEnd, WorkerReport};
use wasabiswitch_policy::fleet::silent_records::{RowVersion, SilentWorkerRow};
use wasabiswitch_policy::fleet::spec::{Step, Submission};
use wasabiswitch_policy::fleet::start_pools::StartPoolsRow;
use wasabiswitch_policy::fleet::state::{TaskName, TaskRef, WorkerEntry, WorkerKey};
use wasabiswitch_policy::ids::{InstanceId, JobId, OrderFence};
use wasabiswitch_standin::fleet::advice::AdviceQueue;
use wasabiswitch_standin::fleet::single_queue_config;
use wasabiswitch_standin::fleet_worker::{FakeStart, FakeWorker};

use self::advice::AdviceCall;
use self::checks::cap_milli;
pub use crate::fixtures::{instance, limits, queue_settings, step, submission, worker_entry};
use crate::instance_service::InstanceService;

/// Length of one simulation step.
pub const TICK: Duration = Duration::from_millis(10);

/// Time after which the sender of an order stops waiting for the answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Age of the workers at the start of a simulation.
const WORKER_AGE: Duration = Duration::from_secs(3_600);

/// An order in flight to a worker.
struct Delivery {
    sent: Instant,
    due: Instant,
    worker: InstanceId,
    /// Fence of the owner.
    fence: u64,
    /// Fencing token that the worker sees.
    order_fence: OrderFence,
    order: Order,
    /// Whether the answer reaches the sender.
    answered: bool,
    /// Whether the order is delivered seconds late.
    late: bool,
}

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

/// A request for a report that is delivered late.
struct LateHold {
    due: Instant,
    worker: InstanceId,
    order_fence: OrderFence,
    acknowledged: u64,
    until_ms: Option<u64>,
}

/// The answer of a worker, on its way to the owner with the fence.
struct LateAnswer {
    due: Instant,
    fence: u64,
    worker: WorkerKey,
    content: AnswerContent,
}

/// Content of an answer.
enum AnswerContent {
    Report { sent: Instant, order_fence: OrderFence, report: WorkerReport },
    Start { task: TaskRef, attempt: u32, answer: StartAnswer },
    Stop { name: TaskName, attempt: u32, sent: Instant },
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

    /// Requests a report from a worker; the request renews its leases if `renews` is set.
    pub fn poll_worker(&mut self, key: WorkerKey, renews: bool) {
        let id = self.engine.workers[key].entry.id.clone();
        let until_ms = renews.then(|| self.engine.begin_renewal(key, self.now)).flatten();
        let removed = !self.workers.contains_key(&id);
        if removed || self.is_partitioned(&id, self.engine.fence) || self.disconnected.remove(&id) {
            self.engine.end_renewal(key, OrderOutcome::NotDelivered, self.now);
            self.engine.record_missed_report(key, self.now);
            self.trace_worker(&id, "report not received".to_owned());
            return;
        }
        let acknowledged = self.engine.workers[key].ack_cursor();
        let order_fence = self.engine.workers[key].order_fence;
        if self.faults.late_holds > 0.0 && self.rng.f64() < self.faults.late_holds {
            let due = self.now + Duration::from_millis(self.rng.u64(2_000..12_000));
            self.late_holds.push(LateHold { due, worker: id, order_fence, acknowledged, until_ms });
            self.engine.end_renewal(key, OrderOutcome::Unknown, self.now);
            self.engine.record_missed_report(key, self.now);
            return;
        }
        self.record_acknowledged(&id, acknowledged);
        let worker = self.workers.get_mut(&id).expect("engines know only these workers");
        let report = worker.hold(order_fence, acknowledged, until_ms, self.now);
        let report = report.filter(|_| self.rng.f64() >= self.faults.lost_reports);
        let outcome = match &report {
            Some(report) => OrderOutcome::Answered(Some(report.clock_ms)),
            None => OrderOutcome::Unknown,
        };
        self.engine.end_renewal(key, outcome, self.now);
        match report {
            Some(report) => {
                let sent = self.now;
                self.answer(key, AnswerContent::Report { sent, order_fence, report });
            }
            None => {
                self.engine.record_missed_report(key, self.now);
                self.trace_worker(&id, "report lost".to_owned());
            }
        }
    }

    /// Passes an answer to the owner, now or after later answers.
    fn answer(&mut self, worker: WorkerKey, content: AnswerContent) {
        let late = self.faults.late_answers > 0.0 && self.rng.f64() < self.faults.late_answers;
        let fence = self.engine.fence;
        match late {
            true => {
                let due = self.now + Duration::from_millis(self.rng.u64(10..600));
                self.answers.push(LateAnswer { due, fence, worker, content });
            }
            false => self.apply_answer(worker, content),
        }
    }

    fn apply_answer(&mut self, worker: WorkerKey, content: AnswerContent) {
        match content {
            AnswerContent::Report { sent, order_fence, report } => {
                let timing = ReportTiming { order_fence, sent, received: self.now };
                let applied = self.engine.apply_report(worker, timing, &report, &mut Vec::new());
                self.renew_entry(worker);
                let id = self.engine.workers[worker].entry.id.clone();
                let age_ms = self.now.saturating_duration_since(sent).as_millis();
                self.trace_worker(
                    &id,
                    format!(
                        "report of incarnation {} with {} runs, requested {age_ms} ms before, applied: {applied}",
                        report.incarnation,
                        report.running.len()
                    ),
                );
            }
            AnswerContent::Start { task, attempt, answer } => {
                self.resolve_start(worker, task, attempt, answer);
            }
            AnswerContent::Stop { name, attempt, sent } => {
                self.engine.record_stop_acknowledgement(worker, &name, attempt, sent, self.now);
            }
        }
    }

    /// Applies the late answers that are due; those for an earlier owner are lost.
    fn apply_late_answers(&mut self) {
        let (now, fence) = (self.now, self.engine.fence);
        let answers = std::mem::take(&mut self.answers).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = answers.partition(|answer| answer.due <= now);
        self.answers = later;
        for answer in due.into_iter().filter(|answer| answer.fence == fence) {
            self.apply_answer(answer.worker, answer.content);
        }
    }

    /// Records the tasks whose successful ends have numbers up to `acknowledged`.
    fn record_acknowledged(&mut self, id: &InstanceId, acknowledged: u64) {
        let ends = self.workers[id].ends.clone();
        self.record_done(id, acknowledged, &ends);
    }

    /// Records the tasks of the successful ones of a worker's `ends` that have numbers up to `acknowledged`.
    fn record_done(&mut self, id: &InstanceId, acknowledged: u64, ends: &[EndEntry]) {
        let done = ends.iter().filter(|end| end.number <= acknowledged && end.end == RunEnd::Done);
        let done: Vec<TaskName> = done.map(|end| end.task.clone()).collect();
        for task in done {
            self.trace_task(
                &task,
                format!("end at {id} acknowledged by fence {}", self.engine.fence),
            );
            self.acknowledged_done.insert(task);
        }
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

    fn send(&mut self, order: Order) {
        let worker = match &order {
            Order::Advise { step, workers, .. } if self.advice_queue.is_some() => {
                return self.request_advice(*step, workers.clone());
            }
            Order::Advise { step, workers, .. } => {
                // The advice service grants tickets for the first half of the requested workers.
                let granted = workers.iter().take(workers.len().div_ceil(2));
                let id = |key: &WorkerKey| self.engine.workers[*key].entry.id.clone();
                let grants = granted.map(|key| (id(key), format!("ticket-{}", id(key)))).collect();
                let outcome = AdviceOutcome::Answered { grants, validity: Duration::from_secs(3) };
                self.engine.apply_advice(step, workers, outcome, self.now);
                return;
            }
            Order::Start { worker, .. }
            | Order::Stop { worker, .. }
            | Order::Pace { worker, .. } => *worker,
        };
        let roll = self.rng.f64();
        let late = roll < self.faults.late_orders;
        let (after_ms, answered) = if late {
            (self.rng.u64(2_000..12_000), false)
        } else {
            (self.rng.u64(1..20), roll >= self.faults.late_orders + self.faults.lost_acks)
        };
        if let Order::Start { worker, task, attempt, .. } = &order
            && !answered
        {
            let at = self.now + ORDER_TIMEOUT;
            self.timeouts.push((at, self.engine.fence, *worker, *task, *attempt));
        }
        let order_fence = match &order {
            Order::Start { order_fence, .. } => *order_fence,
            _ => self.engine.workers[worker].order_fence,
        };
        self.deliveries.push(Delivery {
            sent: self.now,
            due: self.now + Duration::from_millis(after_ms),
            worker: self.engine.workers[worker].entry.id.clone(),
            fence: self.engine.fence,
            order_fence,
            order,
            answered,
            late,
        });
    }

    /// Delivers the late requests for reports that are due.
    fn deliver_late_holds(&mut self) {
        let holds = std::mem::take(&mut self.late_holds).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = holds.partition(|hold| hold.due <= self.now);
        self.late_holds = later;
        for LateHold { worker: id, order_fence, acknowledged, until_ms, .. } in due {
            let fake = self.workers.get_mut(&id).expect("workers are not removed");
            let ends = fake.ends.clone();
            if fake.hold(order_fence, acknowledged, until_ms, self.now).is_some() {
                self.record_done(&id, acknowledged, &ends);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (expired, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.timeouts).into_iter().partition(|timeout| timeout.0 <= now);
        self.timeouts = waiting;
        for (_, fence, worker, task, attempt) in expired {
            if fence == self.engine.fence {
                self.resolve_start(worker, task, attempt, StartOutcome::Unknown.into());
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|delivery| delivery.due <= now);
        self.deliveries = later;
        for delivery in due {
            let reached = self.workers.contains_key(&delivery.worker)
                && !self.is_partitioned(&delivery.worker, delivery.fence);
            self.execute(delivery, reached);
        }
    }

    fn execute(&mut self, delivery: Delivery, reached: bool) {
        let current = delivery.fence == self.engine.fence;
        match delivery.order {
            Order::Start { worker, task, name, attempt, submission, until_ms, .. } => {
                let step = &submission.steps[name.step as usize];
                let fails = self.rng.f64() < self.faults.failed_tasks;
                let wrong_ms = self.run_times_ms.get(&name.job).copied();
                let length = Duration::from_millis(wrong_ms.unwrap_or(step.estimate_ms));
                let start = FakeStart {
                    task: name,
                    attempt,
                    fence: delivery.order_fence,
                    until_ms,
                    run_time: (!step.long_running).then_some(length),
                    run_end: if fails { RunEnd::Failed } else { RunEnd::Done },
                };
                let outcome = if reached {
                    self.start_on(&delivery.worker, &start, step, delivery.late)
                } else {
                    StartOutcome::Unknown
                };
                if current && delivery.answered {
                    let clock_ms = self.workers.get(&delivery.worker).map(|w| w.clock_ms(self.now));
                    let answer = StartAnswer { outcome, clock_ms };
                    let content = AnswerContent::Start { task, attempt, answer };
                    self.answer(worker, content);
                }
            }
            Order::Stop { worker, name, attempt } if reached => {
                let fake = self.workers.get_mut(&delivery.worker).expect("the worker exists");
                let done = fake.stop(&name, attempt, delivery.order_fence, self.now);
                let TaskName { job, index, .. } = &name;
                let event = format!("stop of {job}.{index} attempt {attempt}, taken: {done}");
                self.trace_worker(&delivery.worker, event);
                if done && delivery.answered && current {
                    let sent = delivery.sent;
                    self.answer(worker, AnswerContent::Stop { name, attempt, sent });
                }
            }
            Order::Stop { .. } | Order::Pace { .. } | Order::Advise { .. } => {}
        }
    }

    fn resolve_start(
        &mut self,
        worker: WorkerKey,
        task: TaskRef,
        attempt: u32,
        answer: StartAnswer,
    ) {
        self.engine.apply_start_outcome(worker, task, attempt, answer, self.now, &mut Vec::new());
    }

    /// Starts a task on a worker, and checks the start against the rules.
    fn start_on(
        &mut self,
        id: &InstanceId,
        start: &FakeStart,
        step: &Step,
        late: bool,
    ) -> StartOutcome {
        for worker in self.workers.values_mut() {
            worker.advance(self.now);
        }
        let before = self.workers[id].runs.len();
        let outcome = self.workers.get_mut(id).expect("the worker exists").start(start, self.now);
        if self.workers[id].runs.len() > before {
            let (attempt, fence) = (start.attempt, start.fence);
            self.trace_task(
                &start.task,
                format!("attempt {attempt} of fence {fence} starts at {id}"),
            );
            self.starts.push((self.now, id.clone(), start.task.clone(), start.attempt));
            let TaskName { job, index, .. } = &start.task;
            let event =
                format!("{job}.{index} attempt {attempt} of fence {fence} starts, late: {late}");
            self.trace_worker(id, event);
            // An owner that has forgotten the worker has had no report of any of its incarnations.
            let key = self.engine.worker_key(id);
            let known = key.map_or(0, |key| self.engine.workers[key].incarnation);
            if late && known != self.workers[id].entry.incarnation {
                self.exempt_starts.insert((start.task.clone(), start.attempt));
            }
            self.check_start(id, start, step, late);
        }
        outcome
    }
}
