//! The tables of the engine: jobs, workers, teams, instances and pools, and the operations on them.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use super::admission::RecentClaims;
use super::advice::{Advice, AdviceCalls};
use super::demand_forecast::DemandForecast;
use super::evacuation::Evacuations;
pub use super::job::{Job, Occurrence, Phase, Run, RunState, StepState, Task, TaskName, TaskRef};
use super::lease::LeaseOrder;
use super::maintenance::{Instance, Wave, WaveNumber};
use super::offered_load::OfferedLoad;
use super::overload::{AdmittedJob, RecentWork};
use super::pressure::StartWindow;
pub use super::run_times::RunTimes;
pub use super::settings::{Limits, PoolSettings, QueueSettings, Team};
use super::silent_records::{PossibleTasks, SilentRecord};
use super::silent_waits::WaitChange;
use super::sizing::PendingMove;
use super::spec::{ResourceVector, Submission};
use super::start_pools::StartPools;
use super::surplus::TargetHistory;
use super::unconfirmed::{SilentWorkers, UnconfirmedCharge};
use super::withdrawals::Withdrawals;
pub use super::worker::{Cordon, Orphan, Worker, WorkerEntry};
use crate::ids::{InstanceId, JobId, PoolId, QueueId, TeamId};

slotmap::new_key_type! {
    /// Key of a job, valid inside one engine only.
    pub struct JobKey;
    /// Key of a worker, valid inside one engine only.
    pub struct WorkerKey;
}

/// State machine with which the owner of the fleet schedules jobs and manages instances.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Bounds that the platform states.
    pub limits: Limits,
    /// Fencing token of the owner that runs the engine.
    pub fence: u64,
    /// Number of tokens issued for [orders to workers](super::order_fence) in this term.
    pub(super) order_fences_issued: u32,
    /// All known jobs, ended ones included until their status expires.
    pub jobs: SlotMap<JobKey, Job>,
    /// Workers that the directory lists or that may still run tasks.
    pub workers: SlotMap<WorkerKey, Worker>,
    /// Workers that have been removed and not taken yet, at most [`FORGOTTEN_WORKERS_MAX`].
    pub(super) forgotten_workers: Vec<Worker>,
    /// Settings of each queue; removed queues stay, because their jobs still have to end.
    pub queues: BTreeMap<QueueId, QueueSettings>,
    /// Settings of each pool.
    pub pools: BTreeMap<PoolId, PoolSettings>,
    /// Weight, cap and current use of each team.
    pub teams: BTreeMap<TeamId, Team>,
    /// Jobs that have not ended or whose tasks may still be running.
    pub live: BTreeSet<JobKey>,
    /// Jobs with progress that is not persisted.
    pub(super) unpersisted: BTreeSet<JobKey>,
    /// Jobs with pools in which tasks wait to start until the store has recorded them.
    pub(super) unpersisted_start_pools: BTreeSet<JobKey>,
    /// Jobs that have been retired or removed, and of which the store still has a row of start pools.
    pub(super) unused_start_pools: BTreeSet<JobId>,
    /// Jobs whose end is persisted but whose submission is still stored.
    pub(super) retiring: BTreeSet<JobKey>,
    pub(super) job_keys: HashMap<JobId, JobKey>,
    pub(super) worker_keys: HashMap<InstanceId, WorkerKey>,
    /// Declared and measured run times of each queue.
    pub(super) run_times: BTreeMap<QueueId, RunTimes>,
    /// Refused jobs with the time of their first refusal.
    pub(super) refused: BTreeMap<JobId, Instant>,
    /// Jobs that have been admitted and are not persisted yet.
    pub(super) admitted: BTreeMap<JobId, AdmittedJob>,
    /// Ids of jobs that were cancelled before they were accepted.
    pub(super) withdrawals: Withdrawals,
    /// Withdrawn ids that no write has taken yet.
    pub(super) unpersisted_withdrawals: BTreeSet<JobId>,
    /// Claims on each pool with which submissions were decided last.
    pub(super) recent_claims: BTreeMap<PoolId, RecentClaims>,
    /// Work of the last submitted jobs of each queue.
    pub(super) recent_work: BTreeMap<QueueId, RecentWork>,
    /// Time at which the refused work of each pool has room, in the order of the refusals.
    pub(super) retry_at: BTreeMap<PoolId, Instant>,
    /// Responses of the advice service, by the first task of each step.
    pub(super) advice: BTreeMap<TaskRef, Advice>,
    /// Calls to the advice service, and the steps that wait for one.
    pub(super) advice_calls: AdviceCalls,
    /// Workers that may be running tasks of an earlier owner.
    pub(super) silent_workers: SilentWorkers,
    /// Changes in what tasks wait for that have not been taken yet.
    pub(super) wait_changes: Vec<WaitChange>,
    /// Workers that get no starts until the store has confirmed the removal of their records.
    pub(super) silent_records: BTreeMap<InstanceId, SilentRecord>,
    /// Tasks that may be running on workers of which an earlier owner has left a record.
    pub(super) restored_silent_records: BTreeMap<InstanceId, PossibleTasks>,
    /// Resources charged to teams for unconfirmed tasks.
    pub(super) charges: Vec<UnconfirmedCharge>,
    /// Instances as the instance service listed them last; an instance outlives its workers.
    pub instances: BTreeMap<InstanceId, Instance>,
    /// Time at which the current list of instances was requested.
    pub(super) instances_requested: Option<Instant>,
    /// Time at which the last confirmed write of the owner's row was sent; `None` before the term begins.
    pub confirmed_sent: Option<Instant>,
    /// Latest order of an earlier owner that may still reach another incarnation of a worker; `None` without an earlier
    /// owner.
    pub(super) predecessor_order: Option<LeaseOrder>,
    /// Time by which the last call of an earlier owner to the instance service has arrived; `None` without
    /// an earlier owner.
    pub(super) predecessor_calls_settled: Option<Instant>,
    /// Maintenance waves, by the operator's number.
    pub waves: BTreeMap<WaveNumber, Wave>,
    /// Moves of instances between pools that are under way.
    pub pending_moves: BTreeMap<InstanceId, PendingMove>,
    /// Rate of the work that arrives for each pool, refused work included.
    pub(super) offered_loads: BTreeMap<PoolId, OfferedLoad>,
    /// Number of instances that each pool should have.
    pub(super) targets: BTreeMap<PoolId, usize>,
    /// Evacuated data centres, and those whose workers return.
    pub(super) evacuations: Evacuations,
    /// Targets of each pool over the last seconds.
    pub(super) target_histories: BTreeMap<PoolId, TargetHistory>,
    /// Forecast of the work that arrives for each pool.
    pub demand_forecast: DemandForecast,
    /// Workers of instances that their pools do not need now; they get tasks that no other worker can take.
    pub(super) surplus_workers: BTreeSet<WorkerKey>,
    /// Bound on the starts that are under way.
    pub(super) start_window: StartWindow,
    /// Whether the last plan held back tasks until starts under way are answered.
    pub(super) starts_held_back: bool,
}

impl Engine {
    /// Creates an engine without jobs, workers or settings.
    pub fn new(limits: Limits, fence: u64) -> Engine {
        Engine {
            limits,
            fence,
            order_fences_issued: 0,
            jobs: SlotMap::with_key(),
            workers: SlotMap::with_key(),
            forgotten_workers: Vec::new(),
            queues: BTreeMap::new(),
            pools: BTreeMap::new(),
            teams: BTreeMap::new(),
            live: BTreeSet::new(),
            unpersisted: BTreeSet::new(),
            unpersisted_start_pools: BTreeSet::new(),
            unused_start_pools: BTreeSet::new(),
            retiring: BTreeSet::new(),
            job_keys: HashMap::new(),
            worker_keys: HashMap::new(),
            run_times: BTreeMap::new(),
            refused: BTreeMap::new(),
            admitted: BTreeMap::new(),
            withdrawals: Withdrawals::new(),
            unpersisted_withdrawals: BTreeSet::new(),
            recent_claims: BTreeMap::new(),
            recent_work: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            advice: BTreeMap::new(),
            advice_calls: AdviceCalls::default(),
            silent_workers: SilentWorkers::default(),
            wait_changes: Vec::new(),
            silent_records: BTreeMap::new(),
            restored_silent_records: BTreeMap::new(),
            charges: Vec::new(),
            instances: BTreeMap::new(),
            instances_requested: None,
            confirmed_sent: None,
            predecessor_order: None,
            predecessor_calls_settled: None,
            waves: BTreeMap::new(),
            pending_moves: BTreeMap::new(),
            offered_loads: BTreeMap::new(),
            targets: BTreeMap::new(),
            evacuations: Evacuations::default(),
            target_histories: BTreeMap::new(),
            demand_forecast: DemandForecast::default(),
            surplus_workers: BTreeSet::new(),
            start_window: StartWindow::default(),
            starts_held_back: false,
        }
    }

    /// Applies the settings of a configuration, and keeps the current use of each team.
    ///
    /// Teams that the configuration no longer has keep the weight 1 and no cap.
    pub fn configure(
        &mut self,
        queues: BTreeMap<QueueId, QueueSettings>,
        pools: BTreeMap<PoolId, PoolSettings>,
        teams: BTreeMap<TeamId, (u64, ResourceVector)>,
    ) {
        // A removed queue keeps its last settings, because its jobs still have to end.
        self.queues.extend(queues);
        self.pools = pools;
        for team in self.teams.values_mut() {
            *team = Team { used: team.used, ..Team::unconfigured() };
        }
        for (id, (weight, cap)) in teams {
            let entry = self.teams.entry(id).or_insert_with(Team::unconfigured);
            entry.weight = weight;
            entry.cap = cap;
        }
    }

    /// Looks up a job by its id.
    pub fn job_key(&self, id: &str) -> Option<JobKey> {
        self.job_keys.get(id).copied()
    }

    /// Takes the workers that have been removed since the last call, for the log.
    pub fn take_forgotten_workers(&mut self) -> Vec<Worker> {
        std::mem::take(&mut self.forgotten_workers)
    }

    /// Looks up a worker by its id.
    pub fn worker_key(&self, id: &str) -> Option<WorkerKey> {
        self.worker_keys.get(id).copied()
    }

    /// Returns the current settings of a job's queue, or those at submission if the queue is unknown.
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

    /// Adds a job that has been accepted and persisted; it ends at once if it was cancelled meanwhile.
    pub fn accept(
        &mut self,
        submission: Submission,
        queue_settings: QueueSettings,
        now: Instant,
        unix_ms: u64,
    ) {
        let (fence, id) = (self.fence, submission.job.clone());
        self.insert_job(submission, queue_settings, fence, now, unix_ms);
        self.cancel_if_withdrawn(&id, now);
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
        self.admitted.remove(&id);
        let mut job = Job {
            objective_from: self.refused.remove(&id).unwrap_or(now),
            submission: Arc::new(submission),
            start_pools: StartPools::new(queue_settings.pool.clone()),
            queue_settings,
            accepted_fence,
            accepted: now,
            phase: Phase::Queued,
            visible_phase: Phase::Queued,
            ended: None,
            retired: false,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            occurrences_persisted: 0,
            first_due,
            row_version: 0,
        };
        let opens_scheduled = open_occurrences(&mut job, now) && scheduled;
        let key = self.jobs.insert(job);
        if opens_scheduled {
            self.unpersisted.insert(key);
        }
        self.job_keys.insert(id, key);
        self.live.insert(key);
        key
    }

    /// Opens the occurrences of scheduled jobs that have become due; their tasks start once the store has recorded this.
    pub fn open_due_occurrences(&mut self, now: Instant) {
        for key in &self.live {
            if let Some(job) = self.jobs.get_mut(*key)
                && open_occurrences(job, now)
            {
                self.unpersisted.insert(*key);
            }
        }
    }

    /// Cancels a job unless it has ended, and returns whether the job is known.
    ///
    /// The cancellation takes effect for callers once [`Engine::take_changes`] has returned it and it is
    /// persisted.
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
        self.unpersisted.insert(key);
        let tasks = job.occurrences.values_mut().flat_map(|o| &mut o.steps);
        for task in tasks.flat_map(|step| &mut step.tasks) {
            for run in task.runs.iter_mut().filter(|run| !run.is_stopping()) {
                run.state = RunState::Stopping { sent: None, acknowledged: None };
            }
        }
    }

    /// Counts the jobs of a queue of which no task has started, without scheduled jobs.
    pub fn pending(&self, queue: &str) -> usize {
        let jobs = self.live.iter().filter_map(|key| self.jobs.get(*key));
        jobs.filter(|job| {
            job.phase == Phase::Queued
                && job.submission.repeats == 0
                && *job.submission.queue == *queue
        })
        .count()
    }

    /// Inserts or updates a worker that the platform's directory lists.
    pub fn upsert_worker(&mut self, entry: WorkerEntry, now: Instant) -> WorkerKey {
        if let Some(key) = self.worker_key(&entry.id) {
            self.workers[key].apply_entry(entry, now);
            if self.workers[key].restart_suspected_at == Some(now) {
                self.raise_order_fence(key, now);
            }
            return key;
        }
        let id = entry.id.clone();
        let order_fence = self.next_order_fence();
        let key = self.workers.insert(Worker {
            order_fence,
            is_order_fence_seen: false,
            order_fence_raised_at: None,
            listed: true,
            instance: None,
            incarnation: 0,
            incarnation_known_since: None,
            clock: None,
            leases_expire_at: now,
            renewal: None,
            unanswered_order: None,
            last_contact: None,
            last_answer: None,
            last_end_received: 0,
            last_end_persisted: 0,
            first_end_listed: None,
            ends_to_persist: VecDeque::new(),
            report_missed_at: None,
            answer_missed_at: None,
            restart_suspected_at: None,
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

    /// Marks a worker as no longer listed by the directory, so that it gets no new tasks.
    pub fn mark_worker_unlisted(&mut self, id: &str) {
        if let Some(worker) = self.worker_key(id).and_then(|key| self.workers.get_mut(key)) {
            worker.listed = false;
        }
    }

    /// Adds a run to its task, reserves its resources on the worker, and counts them as used by the team.
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
        self.charge(&team, &resources);
    }

    /// Counts resources as used by a team.
    ///
    /// The configuration need not have the team, and may have it later with a cap, so its use is counted in any case.
    pub(super) fn charge(&mut self, team: &TeamId, resources: &ResourceVector) {
        let entry = self.teams.entry(team.clone()).or_insert_with(Team::unconfigured);
        entry.used = entry.used.plus(resources);
    }

    /// Returns a run of a task on a worker.
    pub(super) fn run(&self, key: WorkerKey, task: &TaskRef, attempt: u32) -> Option<&Run> {
        let entry = self.jobs.get(task.job)?.task(task)?;
        entry.runs.iter().find(|run| run.attempt == attempt && run.worker == key)
    }

    /// Removes a run from its task, and releases its resources.
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

    /// Returns the resources that count against the team's cap, those reserved on a worker, and the team.
    pub(super) fn task_resources(
        &self,
        task: &TaskRef,
    ) -> Option<(ResourceVector, ResourceVector, TeamId)> {
        let job = self.jobs.get(task.job)?;
        let step = job.submission.steps.get(task.step as usize)?;
        Some((step.resources, step.reserved(), job.submission.team.clone()))
    }

    /// Returns the attempt number for the `count`th attempt at a task under this owner.
    ///
    /// Starts are not persisted, so each owner numbers its attempts in its own range, above the ranges of all
    /// earlier owners.
    pub(super) fn attempt_number(&self, job: &Job, count: u32) -> u32 {
        let owners = self.fence.saturating_sub(job.accepted_fence) as u32;
        owners.saturating_mul(ATTEMPTS_PER_OWNER).saturating_add(count)
    }
}

/// Maximum number of removed workers that are kept for the log.
pub(super) const FORGOTTEN_WORKERS_MAX: usize = 256;
/// Number of attempt numbers that each owner has for one task.
const ATTEMPTS_PER_OWNER: u32 = 10_000;

/// Opens the occurrences of a job that have become due; returns whether there are any.
fn open_occurrences(job: &mut Job, now: Instant) -> bool {
    let opened_before = job.next_occurrence;
    while job.next_occurrence < job.occurrences_total()
        && !job.phase.is_ended()
        && job.due(job.next_occurrence) <= now
    {
        let due = job.due(job.next_occurrence);
        let occurrence = Occurrence::new(&job.submission.steps, due);
        job.occurrences.insert(job.next_occurrence, occurrence);
        job.next_occurrence += 1;
    }
    job.next_occurrence > opened_before
}
