//! The tables of jobs, workers and teams, and what is asked of them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use wasabiswitch_derive::derives;

use super::advice::Advice;
pub use super::job::{Job, Occurrence, Phase, Run, RunState, StepState, Task, TaskName, TaskRef};
use super::maintenance::{Instance, Wave, WaveNumber};
use super::offered_load::OfferedLoad;
use super::progress::UnconfirmedCharge;
pub use super::settings::{Limits, PoolSettings, QueueSettings, Team};
use super::sizing::PendingMove;
use super::spec::{ResourceVector, Submission};
pub use super::worker::{Cordon, Orphan, Worker, WorkerEntry};
use crate::ids::{InstanceId, JobId, PoolId, QueueId, TeamId};

slotmap::new_key_type! {
    /// Names a job inside one engine.
    pub struct JobKey;
    /// Names a worker inside one engine.
    pub struct WorkerKey;
}

/// Declared and real run times of the tasks of a queue, as fading sums.
#[derives(record)]
#[derive(Default)]
pub struct RunTimes {
    declared_ms: f64,
    took_ms: f64,
}

impl RunTimes {
    /// The part of the sums that each further task leaves; they cover about a hundred tasks.
    const KEPT: f64 = 0.99;

    /// Takes in a task.
    pub fn record(&mut self, declared_ms: f64, took_ms: f64) {
        self.declared_ms = self.declared_ms * RunTimes::KEPT + declared_ms;
        self.took_ms = self.took_ms * RunTimes::KEPT + took_ms;
    }

    /// Returns real over declared run time.
    ///
    /// It is a ratio of sums: declared times are wrong by a factor of ten, and the mean of the single
    /// ratios would be led by the tasks whose declared time is far too short.
    pub fn ratio(&self) -> f64 {
        if self.declared_ms > 0.0 { (self.took_ms / self.declared_ms).clamp(0.2, 5.0) } else { 1.0 }
    }
}

/// The state machine of the owner.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The bounds to plan by.
    pub limits: Limits,
    /// The owner's fence.
    pub fence: u64,
    /// The jobs.
    pub jobs: SlotMap<JobKey, Job>,
    /// The workers.
    pub workers: SlotMap<WorkerKey, Worker>,
    /// The queues.
    pub queues: BTreeMap<QueueId, QueueSettings>,
    /// The pools.
    pub pools: BTreeMap<PoolId, PoolSettings>,
    /// The teams.
    pub teams: BTreeMap<TeamId, Team>,
    /// Jobs that have not ended, or of which something may be running.
    pub live: BTreeSet<JobKey>,
    /// Jobs whose progress is not written down.
    pub(super) changed: BTreeSet<JobKey>,
    /// Jobs whose end is written down, and of which more than the phase is still kept.
    pub(super) retiring: BTreeSet<JobKey>,
    pub(super) job_keys: HashMap<JobId, JobKey>,
    pub(super) worker_keys: HashMap<InstanceId, WorkerKey>,
    /// Learned run times as a multiple of the declared ones, by queue.
    pub(super) run_times: BTreeMap<QueueId, RunTimes>,
    /// The jobs that were refused, with the time of the first refusal.
    pub(super) refused: BTreeMap<JobId, Instant>,
    /// What the advice service has said, by step.
    pub(super) advice: BTreeMap<TaskRef, Advice>,
    /// What teams are charged for tasks out of sight.
    pub(super) charges: Vec<UnconfirmedCharge>,
    /// The instances, which outlive their workers.
    pub instances: BTreeMap<InstanceId, Instance>,
    /// When the list of instances was asked for.
    pub(super) instances_requested: Option<Instant>,
    /// When the last call of an earlier owner to the machine service has surely arrived, if there was one.
    pub(super) predecessor_calls_settled: Option<Instant>,
    /// The maintenance waves.
    pub waves: BTreeMap<WaveNumber, Wave>,
    /// The instances that change their pool.
    pub pending_moves: BTreeMap<InstanceId, PendingMove>,
    /// The work that is offered to each pool.
    pub(super) offered_loads: BTreeMap<PoolId, OfferedLoad>,
    /// How many instances each pool should have.
    pub(super) targets: BTreeMap<PoolId, usize>,
    /// Since when a pool has had more instances than it should.
    pub(super) surplus_since: BTreeMap<PoolId, Instant>,
}

impl Engine {
    /// Creates an engine without jobs and workers.
    pub fn new(limits: Limits, fence: u64) -> Engine {
        Engine {
            limits,
            fence,
            jobs: SlotMap::with_key(),
            workers: SlotMap::with_key(),
            queues: BTreeMap::new(),
            pools: BTreeMap::new(),
            teams: BTreeMap::new(),
            live: BTreeSet::new(),
            changed: BTreeSet::new(),
            retiring: BTreeSet::new(),
            job_keys: HashMap::new(),
            worker_keys: HashMap::new(),
            run_times: BTreeMap::new(),
            refused: BTreeMap::new(),
            advice: BTreeMap::new(),
            charges: Vec::new(),
            instances: BTreeMap::new(),
            instances_requested: None,
            predecessor_calls_settled: None,
            waves: BTreeMap::new(),
            pending_moves: BTreeMap::new(),
            offered_loads: BTreeMap::new(),
            targets: BTreeMap::new(),
            surplus_since: BTreeMap::new(),
        }
    }

    /// Takes in a configuration; what a team uses is kept.
    pub fn configure(
        &mut self,
        queues: BTreeMap<QueueId, QueueSettings>,
        pools: BTreeMap<PoolId, PoolSettings>,
        teams: BTreeMap<TeamId, (u64, ResourceVector)>,
    ) {
        // A removed queue keeps its last terms, because its jobs still have to end.
        self.queues.extend(queues);
        self.pools = pools;
        for team in self.teams.values_mut() {
            team.cap = ResourceVector::default();
            team.weight = 1;
        }
        for (id, (weight, cap)) in teams {
            let entry = self.teams.entry(id).or_insert(Team {
                weight,
                cap,
                used: ResourceVector::default(),
            });
            entry.weight = weight;
            entry.cap = cap;
        }
    }

    /// Returns the job with an id.
    pub fn job_key(&self, id: &str) -> Option<JobKey> {
        self.job_keys.get(id).copied()
    }

    /// Returns the worker with an id.
    pub fn worker_key(&self, id: &str) -> Option<WorkerKey> {
        self.worker_keys.get(id).copied()
    }

    /// Returns what the configuration says of a job's queue now.
    pub fn queue_settings<'a>(&'a self, job: &'a Job) -> &'a QueueSettings {
        self.queues.get(&job.submission.queue).unwrap_or(&job.queue_settings)
    }

    /// Returns the name by which workers know a task.
    pub fn task_name(&self, task: &TaskRef) -> Option<TaskName> {
        let job = self.jobs.get(task.job)?;
        Some(TaskName {
            job: job.submission.job.clone(),
            occurrence: task.occurrence,
            step: task.step,
            index: task.index,
        })
    }

    pub(super) fn task_ref(&self, name: &TaskName) -> Option<TaskRef> {
        let job = self.job_key(&name.job)?;
        let (occurrence, step, index) = (name.occurrence, name.step, name.index);
        Some(TaskRef { job, occurrence, step, index })
    }

    /// Accepts a job that has been written down.
    pub fn accept(
        &mut self,
        submission: Submission,
        queue_settings: QueueSettings,
        now: Instant,
        unix_ms: u64,
    ) {
        let fence = self.fence;
        self.insert_job(submission, queue_settings, fence, now, unix_ms);
    }

    pub(super) fn insert_job(
        &mut self,
        submission: Submission,
        queue_settings: QueueSettings,
        accepted_fence: u64,
        now: Instant,
        unix_ms: u64,
    ) -> JobKey {
        if let Some(key) = self.job_key(&submission.job) {
            return key;
        }
        let wait_ms = submission.first_unix_ms.saturating_sub(unix_ms);
        let late_ms = unix_ms.saturating_sub(submission.first_unix_ms);
        let scheduled = submission.repeats > 0;
        let first_due = match scheduled {
            true if late_ms > 0 => now.checked_sub(Duration::from_millis(late_ms)).unwrap_or(now),
            true => now + Duration::from_millis(wait_ms),
            false => now,
        };
        let id = submission.job.clone();
        let mut job = Job {
            submission: Arc::new(submission),
            queue_settings,
            accepted_fence,
            accepted: now,
            phase: Phase::Queued,
            visible_phase: Phase::Queued,
            ended: None,
            retired: false,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            first_due,
        };
        open_occurrences(&mut job, now);
        let key = self.jobs.insert(job);
        self.job_keys.insert(id, key);
        self.live.insert(key);
        key
    }

    /// Opens the occurrences that have become due.
    pub fn open_due_occurrences(&mut self, now: Instant) {
        for key in &self.live {
            if let Some(job) = self.jobs.get_mut(*key) {
                open_occurrences(job, now);
            }
        }
    }

    /// Cancels a job; returns whether it is known.
    ///
    /// The cancellation counts once [`Engine::take_changes`] has taken it and it is written down.
    pub fn cancel(&mut self, id: &str, now: Instant) -> bool {
        let Some(key) = self.job_key(id) else { return false };
        if !self.jobs[key].phase.is_ended() {
            self.end_job(key, Phase::Cancelled, now);
        }
        true
    }

    pub(super) fn end_job(&mut self, key: JobKey, phase: Phase, now: Instant) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.phase = phase;
        job.ended = Some(now);
        self.changed.insert(key);
        let tasks = job.occurrences.values_mut().flat_map(|o| &mut o.steps);
        for task in tasks.flat_map(|step| &mut step.tasks) {
            for run in task.runs.iter_mut().filter(|run| !run.is_stopping()) {
                run.state = RunState::Stopping { sent: None, acknowledged: None };
            }
        }
    }

    /// Returns the jobs of a queue, without schedule, of which no task has started.
    pub fn pending(&self, queue: &str) -> usize {
        let jobs = self.live.iter().filter_map(|key| self.jobs.get(*key));
        jobs.filter(|job| {
            job.phase == Phase::Queued
                && job.submission.repeats == 0
                && *job.submission.queue == *queue
        })
        .count()
    }

    /// Takes in what the directory lists; workers that it no longer lists take nothing new.
    pub fn upsert_worker(&mut self, entry: WorkerEntry, now: Instant) -> WorkerKey {
        if let Some(key) = self.worker_key(&entry.id) {
            let worker = &mut self.workers[key];
            worker.listed = true;
            worker.entry = entry;
            return key;
        }
        let id = entry.id.clone();
        let key = self.workers.insert(Worker {
            listed: true,
            incarnation: 0,
            clock: None,
            leases_expire_at: now,
            leases_expire_at_if_renewed: None,
            last_contact: None,
            last_end_received: 0,
            last_end_persisted: 0,
            report_missed: false,
            runs: BTreeSet::new(),
            reserved: ResourceVector::default(),
            orphans: BTreeMap::new(),
            starts_in_doubt: BTreeMap::new(),
            consecutive_failures: 0,
            quarantined_until: None,
            cordon: None,
            gauges_updated: false,
            entry,
        });
        self.worker_keys.insert(id, key);
        key
    }

    /// Takes in that the directory no longer lists a worker.
    pub fn mark_worker_unlisted(&mut self, id: &str) {
        if let Some(worker) = self.worker_key(id).and_then(|key| self.workers.get_mut(key)) {
            worker.listed = false;
        }
    }

    /// Adds a run to the tables.
    pub(super) fn add_run(&mut self, task: TaskRef, run: Run) {
        let Some((resources, reserved, team)) = self.task_resources(&task) else { return };
        let (worker, attempt) = (run.worker, run.attempt);
        let Some(entry) = self.jobs.get_mut(task.job).and_then(|job| job.task_mut(&task)) else {
            return;
        };
        entry.runs.push(run);
        if let Some(worker) = self.workers.get_mut(worker)
            && worker.runs.insert((task, attempt))
        {
            worker.reserved = worker.reserved.plus(&reserved);
        }
        if let Some(team) = self.teams.get_mut(&team) {
            team.used = team.used.plus(&resources);
        }
    }

    /// Takes a run from the tables.
    pub(super) fn remove_run(
        &mut self,
        task: TaskRef,
        attempt: u32,
        key: WorkerKey,
    ) -> Option<Run> {
        let (resources, reserved, team) = self.task_resources(&task)?;
        let entry = self.jobs.get_mut(task.job)?.task_mut(&task)?;
        let at = entry.runs.iter().position(|r| r.attempt == attempt && r.worker == key)?;
        let run = entry.runs.remove(at);
        if let Some(worker) = self.workers.get_mut(key)
            && worker.runs.remove(&(task, attempt))
        {
            worker.reserved = worker.reserved.saturating_sub(&reserved);
        }
        if let Some(team) = self.teams.get_mut(&team) {
            team.used = team.used.saturating_sub(&resources);
        }
        Some(run)
    }

    /// Returns what a task takes of its team's cap and of a worker, and its team.
    pub(super) fn task_resources(
        &self,
        task: &TaskRef,
    ) -> Option<(ResourceVector, ResourceVector, TeamId)> {
        let job = self.jobs.get(task.job)?;
        let step = job.submission.steps.get(task.step as usize)?;
        Some((step.resources, step.reserved(), job.submission.team.clone()))
    }

    /// Returns the number of the attempt `count` of a task under this owner.
    ///
    /// Starts are not written down, so each owner numbers its attempts in a range of its own above
    /// those of all earlier owners.
    pub(super) fn attempt_number(&self, job: &Job, count: u32) -> u32 {
        let owners = self.fence.saturating_sub(job.accepted_fence) as u32;
        owners.saturating_mul(ATTEMPTS_PER_OWNER).saturating_add(count)
    }
}

/// The attempts at one task that one owner may number.
const ATTEMPTS_PER_OWNER: u32 = 10_000;

fn open_occurrences(job: &mut Job, now: Instant) {
    while job.next_occurrence < job.occurrences_total()
        && !job.phase.is_ended()
        && job.due(job.next_occurrence) <= now
    {
        let due = job.due(job.next_occurrence);
        let occurrence = Occurrence::new(&job.submission.steps, due);
        job.occurrences.insert(job.next_occurrence, occurrence);
        job.next_occurrence += 1;
    }
}
