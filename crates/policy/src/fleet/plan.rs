//! Which tasks start and stop now.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::lease::START_LIFE;
use super::placement::Siblings;
use super::reports::Note;
use super::spec::Submission;
use super::state::{Engine, JobKey, Run, RunState, TaskName, TaskRef, WorkerKey};
use crate::ids::PoolId;

/// How long a stop may stay without an answer before it is sent again.
const STOP_RETRY: Duration = Duration::from_millis(400);
/// How long a short task may stand still before it is stopped and started elsewhere.
///
/// A task reports whole percents, and a worker is asked at least each second.
const STUCK_AFTER: Duration = Duration::from_millis(2_200);

/// Something to do at a worker.
#[derives(record)]
pub enum Order {
    /// Start a task.
    Start {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskRef,
        /// The task as the worker knows it.
        name: TaskName,
        /// The attempt.
        attempt: u32,
        /// The job, for what the worker is given.
        submission: Arc<Submission>,
        /// The time on the worker's clock after which it must not start.
        until_ms: u64,
        /// From where it resumes; empty for the start.
        checkpoint: String,
        /// The ticket of the advice service; empty for none.
        ticket: String,
    },
    /// Ask the advice service which workers may run a step.
    Advise {
        /// The first task of the step.
        step: TaskRef,
        /// The same as the platform knows it.
        name: TaskName,
        /// The workers to ask for.
        workers: Vec<WorkerKey>,
    },
    /// Stop a task.
    Stop {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        name: TaskName,
        /// The attempt.
        attempt: u32,
    },
    /// Slow a task down, or let it work at full speed again.
    Pace {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        name: TaskName,
        /// The attempt.
        attempt: u32,
        /// The part of its speed, in percent.
        percent: u32,
    },
}

/// What decides which job is served first; smaller is sooner.
#[derives(value)]
struct Urgency {
    /// Tasks that run until they are cancelled must be back within seconds.
    short: bool,
    /// Whether the job is beyond its team's share of a full pool.
    over_share: bool,
    /// How late the job is: in time, late, or too late to be of any value.
    ///
    /// Late jobs go last, because each that goes first makes one more late: in a peak that asks for more
    /// than there is, going by the earliest deadline alone ends with everything late.
    lateness: u8,
    /// The queue's priority.
    priority: u32,
    /// When it should be done.
    objective: Instant,
}

impl Engine {
    /// Returns what is to be done now.
    pub fn plan(&mut self, now: Instant, notes: &mut Vec<Note>) -> Vec<Order> {
        self.lapse(now, notes);
        self.end_charges(now);
        self.open_due_occurrences(now);
        let mut orders = Vec::new();
        self.plan_stops(now, &mut orders, notes);
        self.plan_starts(now, &mut orders, notes);
        self.plan_paces(&mut orders);
        self.retire();
        orders
    }

    fn plan_stops(&mut self, now: Instant, orders: &mut Vec<Order>, notes: &mut Vec<Note>) {
        let workers: Vec<WorkerKey> = self.workers.keys().collect();
        for key in workers {
            let runs: Vec<_> = self.workers[key].runs.iter().copied().collect();
            for (task, attempt) in runs {
                self.plan_stop(key, task, attempt, now, orders, notes);
            }
            for ((name, attempt), orphan) in self.workers[key].orphans.iter_mut() {
                if is_due(orphan.sent, now) {
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
        notes: &mut Vec<Note>,
    ) {
        let Some(name) = self.task_name(&task) else { return };
        let answered = self.workers[key].last_contact;
        let Some(job) = self.jobs.get_mut(task.job) else { return };
        let submission = job.submission.clone();
        let Some(step) = submission.steps.get(task.step as usize) else { return };
        let Some(entry) = job.task_mut(&task) else { return };
        let found = entry.runs.iter_mut().find(|r| r.attempt == attempt && r.worker == key);
        let Some(run) = found else { return };
        let endless = step.long_running && run.percent >= 100;
        let why = match run.state {
            // The stop is a barrier: after it, a late start cannot take effect any more.
            RunState::Unconfirmed if answered.is_some_and(|at| at > run.sent) => {
                "its start got lost"
            }
            RunState::Running(since)
                if !endless
                    && run.pace_percent == 100
                    && answered.is_some_and(|at| at > since + STUCK_AFTER)
                    && now.saturating_duration_since(run.last_progress) > STUCK_AFTER =>
            {
                entry.failed_on.push(key);
                "it stands still"
            }
            _ => "",
        };
        if !why.is_empty() {
            run.state = RunState::Stopping { sent: None, acknowledged: None };
            let detail = format!("{}, {why}", self.describe(key, &task, attempt));
            notes.push(Note { job: name.job.clone(), what: "run to be stopped", detail });
        }
        let entry = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task));
        let runs = entry.into_iter().flat_map(|entry| &mut entry.runs);
        for run in runs.filter(|run| run.attempt == attempt && run.worker == key) {
            if let RunState::Stopping { sent, acknowledged: None } = &mut run.state
                && is_due(*sent, now)
            {
                *sent = Some(now);
                orders.push(Order::Stop { worker: key, name: name.clone(), attempt });
            }
        }
    }

    fn plan_starts(&mut self, now: Instant, orders: &mut Vec<Order>, notes: &mut Vec<Note>) {
        let mut candidates: BTreeMap<PoolId, Vec<WorkerKey>> = BTreeMap::new();
        for (key, worker) in &self.workers {
            if self.is_usable(worker, now) {
                candidates.entry(worker.entry.pool.clone()).or_default().push(key);
            }
        }
        let mut jobs: Vec<(Urgency, JobKey)> = self
            .live
            .iter()
            .filter(|key| self.jobs.get(**key).is_some_and(|job| !job.phase.is_ended()))
            .map(|key| (self.urgency(*key, now), *key))
            .collect();
        jobs.sort();
        let in_order: Vec<JobKey> = jobs.iter().map(|(_, key)| *key).collect();
        let beyond = self.over_share(&in_order);
        if !beyond.is_empty() {
            for (urgency, key) in &mut jobs {
                urgency.over_share = beyond.contains(key);
            }
            jobs.sort();
        }
        for (_, key) in jobs {
            let pool = &self.queue_settings(&self.jobs[key]).pool;
            let Some(workers) = candidates.get(pool) else { continue };
            self.start_job(key, workers, now, orders, notes);
        }
    }

    fn urgency(&self, key: JobKey, now: Instant) -> Urgency {
        let job = &self.jobs[key];
        let objective = job.objective();
        // A job earns something until three times its objective.
        let worthless = objective + (objective - job.accepted) * 2;
        Urgency {
            short: !job.submission.is_long_running(),
            over_share: false,
            lateness: match job.submission.is_long_running() {
                true => 0,
                false => u8::from(objective < now) + u8::from(worthless < now),
            },
            priority: self.queue_settings(job).priority,
            objective,
        }
    }

    fn start_job(
        &mut self,
        key: JobKey,
        workers: &[WorkerKey],
        now: Instant,
        orders: &mut Vec<Order>,
        notes: &mut Vec<Note>,
    ) {
        for task in self.ready_steps(key) {
            let requires_advice = self.queue_settings(&self.jobs[key]).requires_advice;
            let gang = self.jobs[key].submission.steps[task.step as usize].gang;
            let waiting = self.waiting_tasks(&task, now);
            if waiting.is_empty() {
                continue;
            }
            let allowed = match requires_advice {
                true => self.allowed(&task, workers, now, orders),
                false => workers.to_vec(),
            };
            match gang {
                true => self.start_gang(&waiting, &allowed, now, orders, notes),
                false => self.start_tasks(&waiting, &allowed, now, orders, notes),
            }
        }
    }

    /// Returns the workers for which a step has tickets, and asks for more.
    fn allowed(
        &mut self,
        step: &TaskRef,
        workers: &[WorkerKey],
        now: Instant,
        orders: &mut Vec<Order>,
    ) -> Vec<WorkerKey> {
        let question = self.ask_advice(step, workers, now);
        if let Some(name) = self.task_name(step).filter(|_| !question.is_empty()) {
            orders.push(Order::Advise { step: *step, name, workers: question });
        }
        let ticketed = self.ticketed(step, now);
        workers.iter().copied().filter(|key| ticketed.contains(key)).collect()
    }

    /// Returns the first task of each step that may run.
    fn ready_steps(&self, key: JobKey) -> Vec<TaskRef> {
        let job = &self.jobs[key];
        let mut ready = Vec::new();
        for (number, occurrence) in &job.occurrences {
            for (step, run) in occurrence.steps.iter().enumerate() {
                if !run.is_done() && occurrence.is_open(&job.submission.steps[step]) {
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
        let waits = |task: &super::state::Task| {
            !task.done
                && task.runs.is_empty()
                && task.not_before.is_none_or(|at| at <= now)
                && task.unconfirmed_until.is_none_or(|at| at <= now)
        };
        let indices = tasks.iter().enumerate().filter(|(_, task)| waits(task)).map(|(i, _)| i);
        indices.map(|index| TaskRef { index: index as u32, ..*step }).collect()
    }

    fn start_tasks(
        &mut self,
        waiting: &[TaskRef],
        workers: &[WorkerKey],
        now: Instant,
        orders: &mut Vec<Order>,
        notes: &mut Vec<Note>,
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
            self.start(*task, worker, attempt, now, orders, notes);
        }
    }

    /// Starts all members of a gang, or none.
    fn start_gang(
        &mut self,
        waiting: &[TaskRef],
        workers: &[WorkerKey],
        now: Instant,
        orders: &mut Vec<Order>,
        notes: &mut Vec<Note>,
    ) {
        let step = &self.jobs[waiting[0].job].submission.steps[waiting[0].step as usize];
        if waiting.len() < step.count as usize {
            return;
        }
        let Some((resources, _, team)) = self.task_resources(&waiting[0]) else { return };
        let whole = resources.times(u64::from(step.count));
        if self.teams.get(&team).is_some_and(|team| !team.admits(&whole)) {
            return;
        }
        let attempt = waiting.iter().map(|task| self.next_attempt(task)).max().unwrap_or(1);
        let mut siblings = Siblings { workers: Vec::new() };
        let mut members = Vec::new();
        for task in waiting {
            let Some(worker) = self.choose_worker(task, &siblings, workers) else { break };
            siblings.workers.push(worker);
            // The run reserves its room while the others look for theirs.
            self.add_run(*task, starting(worker, attempt, now, now));
            members.push((*task, worker));
        }
        for (task, worker) in &members {
            self.remove_run(*task, attempt, *worker);
        }
        if members.len() == waiting.len() {
            for (task, worker) in members {
                self.start(task, worker, attempt, now, orders, notes);
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
        notes: &mut Vec<Note>,
    ) {
        let Some(name) = self.task_name(&task) else { return };
        let Some(clock) = self.workers[worker].clock else { return };
        let until_ms = clock.until(now, START_LIFE);
        self.renewed(worker, until_ms);
        self.add_run(task, starting(worker, attempt, now, clock.passed_by(until_ms)));
        let detail = self.describe(worker, &task, attempt);
        notes.push(Note { job: name.job.clone(), what: "start", detail });
        let job = &mut self.jobs[task.job];
        let submission = job.submission.clone();
        let Some(entry) = job.task_mut(&task) else { return };
        entry.attempts += 1;
        entry.unconfirmed_until = None;
        let checkpoint = entry.checkpoint.clone();
        let ticket = self.ticket(&task, worker);
        orders.push(Order::Start {
            worker,
            task,
            name,
            attempt,
            submission,
            until_ms,
            checkpoint,
            ticket,
        });
    }

    /// Forgets jobs that have ended and have nothing running.
    fn retire(&mut self) {
        let jobs = &self.jobs;
        self.live.retain(|key| {
            jobs.get(*key).is_some_and(|job| !job.phase.is_ended() || job.has_runs())
        });
        let live = &self.live;
        self.advice.retain(|step, _| live.contains(&step.job));
    }
}

fn starting(worker: WorkerKey, attempt: u32, now: Instant, start_expires_by: Instant) -> Run {
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

/// Reports whether a stop is to be sent, the last one having been sent at `sent`.
fn is_due(sent: Option<Instant>, now: Instant) -> bool {
    sent.is_none_or(|at| now.saturating_duration_since(at) >= STOP_RETRY)
}
