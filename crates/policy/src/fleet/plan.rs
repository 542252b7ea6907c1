//! Planning: choice of the tasks to start and to stop now, and of the pace of filler tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::lease::START_VALIDITY;
use super::overload::{Classes, StartClass};
use super::placement::Siblings;
use super::reports::JobEvent;
use super::spec::Submission;
use super::state::{Engine, JobKey, Phase, Run, RunState, TaskName, TaskRef, WorkerKey};
use crate::ids::{OrderFence, PoolId};

/// Delay before a stop that was not acknowledged is sent again.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time after which a start without an answer no longer counts as under way; its timeout has passed by then.
pub(super) const START_ANSWER_OVERDUE: Duration = Duration::from_millis(600);
/// Time without progress after which a task at full pace is stopped, so that it starts on another worker.
///
/// Tasks report progress in whole percent, and each worker is polled at least once per second. A long-running
/// task that is ready makes no further progress and is exempt.
const STALL_TIMEOUT: Duration = Duration::from_millis(2_200);

/// An order to a worker or to the advice service, which the owner's daemon sends.
#[derives(record)]
pub enum Order {
    /// Starts a task on a worker.
    Start {
        /// Worker that runs the task.
        worker: WorkerKey,
        /// Reference to the task in the engine.
        task: TaskRef,
        /// Name of the task in messages to the worker.
        name: TaskName,
        /// Number of the attempt.
        attempt: u32,
        /// Submission of the job, with the specification that is passed to the worker.
        submission: Arc<Submission>,
        /// Time on the worker's clock, in milliseconds, after which the worker must not start the task.
        until_ms: u64,
        /// Fencing token for the incarnation that the clock is of.
        order_fence: OrderFence,
        /// Checkpoint from which the task resumes; empty to start from the beginning.
        checkpoint: String,
        /// Ticket of the advice service; empty for none.
        ticket: String,
    },
    /// Requests tickets of the advice service for the workers that may run a step.
    Advise {
        /// First task of the step.
        step: TaskRef,
        /// Name of that task in the request to the service.
        name: TaskName,
        /// Candidate workers.
        workers: Vec<WorkerKey>,
    },
    /// Stops a run.
    Stop {
        /// Worker on which the run may be in progress.
        worker: WorkerKey,
        /// Name of the task in messages to the worker.
        name: TaskName,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Sets the pace of a filler.
    Pace {
        /// Worker that runs the task.
        worker: WorkerKey,
        /// Name of the task in messages to the worker.
        name: TaskName,
        /// Number of the attempt.
        attempt: u32,
        /// Pace in percent of full speed.
        percent: u32,
    },
}

/// Sort key of jobs for the start of their tasks; smaller values go first, in the order of the fields.
#[derives(value)]
struct Urgency {
    /// Whether no task is long-running; long-running tasks go first, since they must be restored within seconds.
    short: bool,
    /// Class of the job by the choice in [`super::overload`].
    class: StartClass,
    /// Whether the job exceeds its team's share of a full pool.
    over_share: bool,
    /// Whether no task of a job that is not chosen has started; a job that has started needs less to end.
    unstarted: bool,
    /// Priority of the queue; zero is the highest.
    priority: u32,
    /// Time by which the job has to complete for its full value.
    objective: Instant,
}

impl Engine {
    /// Advances the state to `now`, and returns the orders to send.
    pub fn plan(&mut self, now: Instant, events: &mut Vec<JobEvent>) -> Vec<Order> {
        self.recent_claims.clear();
        self.expire_leases(now, events);
        self.expire_silent_workers(now);
        self.request_silent_records(now);
        self.open_due_occurrences(now);
        self.plan_evacuations(now);
        let mut orders = Vec::new();
        self.plan_stops(now, &mut orders, events);
        let mut budget = match self.start_window.limit() {
            Some(limit) => limit.saturating_sub(self.count_starts_under_way(now)),
            None => usize::MAX,
        };
        self.begin_advice_plan();
        self.plan_starts(&mut budget, now, &mut orders, events);
        self.starts_held_back = budget == 0;
        self.plan_paces(&mut orders);
        self.drop_ended_jobs();
        orders
    }

    fn plan_stops(&mut self, now: Instant, orders: &mut Vec<Order>, events: &mut Vec<JobEvent>) {
        let workers: Vec<WorkerKey> = self.workers.keys().collect();
        for key in workers {
            let runs: Vec<_> = self.workers[key].runs.iter().copied().collect();
            for (task, attempt) in runs {
                self.plan_stop(key, task, attempt, now, orders, events);
            }
            for ((name, attempt), orphan) in self.workers[key].orphans.iter_mut() {
                if is_stop_due(orphan.sent, now) {
                    orphan.sent = Some(now);
                    let (name, attempt) = (name.clone(), *attempt);
                    orders.push(Order::Stop { worker: key, name, attempt });
                }
            }
        }
    }

    fn plan_stop(
        &mut self,
        key: WorkerKey,
        task: TaskRef,
        attempt: u32,
        now: Instant,
        orders: &mut Vec<Order>,
        events: &mut Vec<JobEvent>,
    ) {
        let Some(name) = self.task_name(&task) else { return };
        let last_contact = self.workers[key].last_contact;
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        let submission = job.submission.clone();
        let Some(step) = submission.steps.get(task.step as usize) else { return };
        let Some(entry) = job.task_mut(&task) else { return };
        let found = entry.runs.iter_mut().find(|r| r.attempt == attempt && r.worker == key);
        let Some(run) = found else { return };
        let is_ready_service = step.long_running && run.percent >= 100;
        let reason = match run.state {
            // The stop is a barrier: after it, a start that is delivered late cannot take effect any more.
            RunState::Unconfirmed if last_contact.is_some_and(|at| at > run.sent) => {
                "its start is unconfirmed"
            }
            RunState::Running(since)
                if !is_ready_service
                    && run.pace_percent == 100
                    && last_contact.is_some_and(|at| at > since + STALL_TIMEOUT)
                    && now.saturating_duration_since(run.last_progress) > STALL_TIMEOUT =>
            {
                entry.failed_on.push(key);
                "it makes no progress"
            }
            _ => "",
        };
        if !reason.is_empty() {
            run.state = RunState::Stopping { sent: None, acknowledged: None };
            let detail = format!("{}, {reason}", self.describe(key, &task, attempt));
            events.push(JobEvent { job: name.job.clone(), kind: "run to be stopped", detail });
        }
        let entry = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task));
        let runs = entry.into_iter().flat_map(|entry| &mut entry.runs);
        for run in runs.filter(|run| run.attempt == attempt && run.worker == key) {
            if let RunState::Stopping { sent, acknowledged: None } = &mut run.state
                && is_stop_due(*sent, now)
            {
                *sent = Some(now);
                orders.push(Order::Stop { worker: key, name: name.clone(), attempt });
            }
        }
    }

    /// Counts the starts whose answer has not arrived and is not overdue.
    fn count_starts_under_way(&self, now: Instant) -> usize {
        let runs = self.workers.iter().flat_map(|(key, worker)| {
            worker.runs.iter().filter_map(move |(task, attempt)| self.run(key, task, *attempt))
        });
        let under_way = |run: &&Run| {
            run.state == RunState::Starting
                && now.saturating_duration_since(run.sent) < START_ANSWER_OVERDUE
        };
        runs.filter(under_way).count()
    }

    /// Starts waiting tasks in order of their urgency, at most `budget` of them; a gang may exceed it.
    fn plan_starts(
        &mut self,
        budget: &mut usize,
        now: Instant,
        orders: &mut Vec<Order>,
        events: &mut Vec<JobEvent>,
    ) {
        let mut candidates: BTreeMap<PoolId, Vec<WorkerKey>> = BTreeMap::new();
        for (key, worker) in &self.workers {
            if self.is_usable(worker, now) {
                candidates.entry(worker.entry.pool.clone()).or_default().push(key);
            }
        }
        let live = self.live.iter().copied();
        let mut in_order: Vec<JobKey> = live
            .filter(|key| self.jobs.get(*key).is_some_and(|job| !job.phase.is_ended()))
            .collect();
        in_order.sort_by_cached_key(|key| self.jobs[*key].objective());
        let over_share = self.over_share(&in_order);
        let classes = self.classify_jobs(&over_share, now);
        let urgency = |key: JobKey| (self.urgency(key, &classes, &over_share), key);
        let mut jobs: Vec<(Urgency, JobKey)> = in_order.into_iter().map(urgency).collect();
        jobs.sort();
        let mut room_for_deferred: BTreeMap<PoolId, u64> = BTreeMap::new();
        for (urgency, key) in jobs {
            let pool = self.queue_settings(&self.jobs[key]).pool.clone();
            let Some(workers) = candidates.get(&pool) else { continue };
            if *budget == 0 {
                return;
            }
            if urgency.class == StartClass::Chosen || self.is_deferral_over(key, now) {
                self.start_job(key, workers, budget, now, orders, events);
                continue;
            }
            let room = room_for_deferred.entry(pool).or_insert_with_key(|pool| {
                let free = workers.iter().map(|key| self.workers[*key].free().cpu_milli);
                free.sum::<u64>().saturating_sub(self.reserved_for_chosen(pool, &classes))
            });
            if *room > 0 {
                let orders_before = orders.len();
                self.start_job(key, workers, budget, now, orders, events);
                let started = orders[orders_before..].iter();
                *room = room.saturating_sub(started.map(started_milli).sum());
            }
        }
    }

    fn urgency(&self, key: JobKey, classes: &Classes, over_share: &BTreeSet<JobKey>) -> Urgency {
        let job = &self.jobs[key];
        let class = classes.of_job.get(&key).copied();
        let (class, objective) = class.unwrap_or((StartClass::Chosen, job.objective()));
        Urgency {
            short: !job.submission.is_long_running(),
            class,
            over_share: over_share.contains(&key),
            unstarted: class != StartClass::Chosen && job.phase == Phase::Queued,
            priority: self.queue_settings(job).priority,
            objective,
        }
    }

    fn start_job(
        &mut self,
        key: JobKey,
        workers: &[WorkerKey],
        budget: &mut usize,
        now: Instant,
        orders: &mut Vec<Order>,
        events: &mut Vec<JobEvent>,
    ) {
        let pool = self.queue_settings(&self.jobs[key]).pool.clone();
        for task in self.ready_steps(key) {
            if *budget == 0 {
                return;
            }
            let requires_advice = self.queue_settings(&self.jobs[key]).requires_advice;
            let gang = self.jobs[key].submission.steps[task.step as usize].gang;
            let waiting = self.waiting_tasks(&task, now);
            if waiting.is_empty() || !self.request_start_pool(key, &pool, events) {
                continue;
            }
            let allowed = match requires_advice {
                true => self.usable_workers_with_ticket(&task, workers, now),
                false => workers.to_vec(),
            };
            let orders_before = orders.len();
            match gang {
                true => self.start_gang(&waiting, &allowed, now, orders, events),
                false => {
                    let tasks = &waiting[..waiting.len().min(*budget)];
                    self.start_tasks(tasks, &allowed, now, orders, events);
                }
            }
            let started = orders.len() - orders_before;
            *budget = budget.saturating_sub(started);
            if requires_advice && *budget > 0 && self.has_team_room(&waiting[0]) {
                let left = waiting.len().saturating_sub(started);
                orders.extend(self.request_advice(&task, left, workers, now));
            }
        }
    }

    /// Returns the usable workers for which a step has tickets.
    fn usable_workers_with_ticket(
        &self,
        step: &TaskRef,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Vec<WorkerKey> {
        let ticketed = self.workers_with_ticket(step, now);
        workers.iter().copied().filter(|key| ticketed.contains(key)).collect()
    }

    /// Returns whether the team of a task may have another one like it running.
    fn has_team_room(&self, task: &TaskRef) -> bool {
        let Some((resources, _, team)) = self.task_resources(task) else { return false };
        self.teams.get(&team).is_none_or(|team| team.admits(&resources))
    }

    /// Returns the first task of each incomplete step whose dependencies have completed.
    fn ready_steps(&self, key: JobKey) -> Vec<TaskRef> {
        let job = &self.jobs[key];
        let mut ready = Vec::new();
        for (number, occurrence) in &job.occurrences {
            for (step, step_state) in occurrence.steps.iter().enumerate() {
                if !step_state.is_done()
                    && job.is_opening_persisted(*number)
                    && occurrence.is_step_ready(&job.submission.steps[step])
                {
                    let (occurrence, step) = (*number, step as u32);
                    ready.push(TaskRef { job: key, occurrence, step, index: 0 });
                }
            }
        }
        ready
    }

    fn waiting_tasks(&self, step: &TaskRef, now: Instant) -> Vec<TaskRef> {
        let job = &self.jobs[step.job];
        let Some(occurrence) = job.occurrences.get(&step.occurrence) else { return Vec::new() };
        let tasks = &occurrence.steps[step.step as usize].tasks;
        let may_run_on_silent_worker =
            |index: u32| self.silent_workers.may_run(&TaskRef { index, ..*step }, job.row_version);
        let waits = |index: usize, task: &super::state::Task| {
            !task.done
                && task.runs.is_empty()
                && task.not_before.is_none_or(|at| at <= now)
                && task.barred_until.is_none_or(|at| at <= now)
                && !(task.is_unconfirmed && may_run_on_silent_worker(index as u32))
        };
        let indices = tasks.iter().enumerate().filter(|(i, task)| waits(*i, task)).map(|(i, _)| i);
        indices.map(|index| TaskRef { index: index as u32, ..*step }).collect()
    }

    fn start_tasks(
        &mut self,
        waiting: &[TaskRef],
        workers: &[WorkerKey],
        now: Instant,
        orders: &mut Vec<Order>,
        events: &mut Vec<JobEvent>,
    ) {
        let mut siblings = Siblings::of(&self.jobs[waiting[0].job], &waiting[0]);
        for task in waiting {
            let Some((resources, _, team)) = self.task_resources(task) else { continue };
            if self.teams.get(&team).is_some_and(|team| !team.admits(&resources)) {
                return;
            }
            let Some(worker) = self.choose_worker(task, &siblings, workers) else { return };
            siblings.workers.push(worker);
            let attempt = self.next_attempt(task);
            self.start(*task, worker, attempt, now, orders, events);
        }
    }

    /// Starts all tasks of a gang, or none.
    fn start_gang(
        &mut self,
        waiting: &[TaskRef],
        workers: &[WorkerKey],
        now: Instant,
        orders: &mut Vec<Order>,
        events: &mut Vec<JobEvent>,
    ) {
        let step = &self.jobs[waiting[0].job].submission.steps[waiting[0].step as usize];
        if waiting.len() < step.count as usize {
            return;
        }
        let Some((resources, _, team)) = self.task_resources(&waiting[0]) else { return };
        let total = resources.times(u64::from(step.count));
        if self.teams.get(&team).is_some_and(|team| !team.admits(&total)) {
            return;
        }
        let attempt = waiting.iter().map(|task| self.next_attempt(task)).max().unwrap_or(1);
        let mut siblings = Siblings { workers: Vec::new() };
        let mut members = Vec::new();
        for task in waiting {
            let Some(worker) = self.choose_worker(task, &siblings, workers) else { break };
            siblings.workers.push(worker);
            // The run reserves its resources while workers for the other members are chosen.
            self.add_run(*task, new_run(worker, attempt, now, now));
            members.push((*task, worker));
        }
        for (task, worker) in &members {
            self.remove_run(*task, attempt, *worker);
        }
        if members.len() == waiting.len() {
            for (task, worker) in members {
                self.start(task, worker, attempt, now, orders, events);
            }
        }
    }

    fn next_attempt(&self, task: &TaskRef) -> u32 {
        let job = &self.jobs[task.job];
        let count = job.task(task).map_or(0, |task| task.attempts);
        self.attempt_number(job, count + 1)
    }

    fn start(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        attempt: u32,
        now: Instant,
        orders: &mut Vec<Order>,
        events: &mut Vec<JobEvent>,
    ) {
        let Some(name) = self.task_name(&task) else { return };
        let Some(clock) = self.workers[worker].clock else { return };
        let until_ms = clock.until(now, START_VALIDITY);
        self.record_renewal(worker, until_ms);
        self.add_run(task, new_run(worker, attempt, now, clock.latest_time_of(until_ms)));
        let load = self.workers[worker].describe_load();
        self.record_start_in_doubt(worker, &name, attempt, until_ms, now);
        let detail = format!("{}, {load}", self.describe(worker, &task, attempt));
        events.push(JobEvent { job: name.job.clone(), kind: "start", detail });
        let job = &mut self.jobs[task.job];
        let submission = job.submission.clone();
        let Some(entry) = job.task_mut(&task) else { return };
        entry.attempts += 1;
        entry.is_unconfirmed = false;
        entry.barred_until = None;
        let checkpoint = entry.checkpoint.clone();
        let ticket = self.ticket(&task, worker);
        orders.push(Order::Start {
            worker,
            task,
            name,
            attempt,
            submission,
            until_ms,
            order_fence: self.workers[worker].order_fence,
            checkpoint,
            ticket,
        });
    }

    /// Removes jobs that have ended and have no runs from the live jobs, and drops their advice.
    fn drop_ended_jobs(&mut self) {
        let jobs = &self.jobs;
        self.live.retain(|key| {
            jobs.get(*key).is_some_and(|job| !job.phase.is_ended() || job.has_runs())
        });
        let live = &self.live;
        self.advice.retain(|step, _| live.contains(&step.job));
    }
}

/// Returns the processors that a start takes, in thousandths of a core.
fn started_milli(order: &Order) -> u64 {
    match order {
        Order::Start { task, submission, .. } => {
            submission.steps[task.step as usize].reserved().cpu_milli
        }
        _ => 0,
    }
}

fn new_run(worker: WorkerKey, attempt: u32, now: Instant, start_expires_by: Instant) -> Run {
    Run {
        attempt,
        worker,
        state: RunState::Starting,
        sent: now,
        start_expires_by,
        percent: 0,
        last_progress: now,
        gauge: 0.0,
        pace_percent: 100,
    }
}

/// Returns whether a stop has to be sent, given the time at which the last one was sent.
fn is_stop_due(sent: Option<Instant>, now: Instant) -> bool {
    sent.is_none_or(|at| now.saturating_duration_since(at) >= STOP_RETRY_DELAY)
}
