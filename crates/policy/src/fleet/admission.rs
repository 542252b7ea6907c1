//! Admission of jobs at submission.
//!
//! A job that would complete too late to be of value is refused at once. Its caller can retry when there is
//! capacity, and the job takes no resources from jobs that can meet their objectives.

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::fairness::running_and_waiting_milli;
use super::maintenance::InstanceState;
use super::spec::{ResourceVector, Submission};
use super::state::{Engine, QueueSettings, RunTimes};
use crate::ids::{PoolId, QueueId};

/// Maximum ratio of the estimated completion time to the objective with which a job is accepted.
///
/// The ratio is above one, because a job that is slightly late still has some value and estimates are rough.
const ESTIMATE_RATIO_MAX: f64 = 2.0;
/// Minimum retry time in a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(1_000);
/// Maximum retry time in a refusal.
const RETRY_AFTER_MAX: Duration = Duration::from_millis(5_000);

/// Maximum number of refused jobs that are remembered.
const REFUSED_MAX: usize = 4_096;
/// Age from which a remembered refusal is dropped when the table is full; callers retry before that.
const REFUSED_RETENTION: Duration = Duration::from_secs(10);

/// Maximum time that a submission waits to be persisted.
///
/// A caller waits 3 s for its answer, and a job of 1 s has about that slack.
const WRITE_WAIT_MAX: Duration = Duration::from_millis(1_800);

/// Maximum number of jobs that one write accepts.
///
/// A write to the store takes 100 rows. The remaining rows are for the progress of jobs, ended jobs first.
pub const ACCEPTS_PER_WRITE_MAX: usize = 50;

/// Returns whether a new submission is persisted in time when `waiting` submissions are queued before it.
///
/// One write is assumed to be in flight, and each write to take as long as the last one, `write`. When this
/// exceeds the bound the caller is refused at once, because a late answer leaves the submission in doubt.
pub fn is_persisted_in_time(waiting: usize, write: Duration) -> bool {
    let writes = 2 + waiting / ACCEPTS_PER_WRITE_MAX;
    write * writes as u32 <= WRITE_WAIT_MAX
}

/// Decision on a submitted job.
#[derives(record)]
pub enum Admission {
    /// The job is accepted.
    Accept,
    /// No worker is large enough for one of its tasks.
    TooLarge,
    /// Only workers of evacuated data centres could run the job.
    Evacuated {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The job would complete too late.
    TooLate {
        /// Estimated time until its completion.
        estimate: Duration,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

impl Engine {
    /// Decides whether to accept a job, before it is persisted.
    pub fn admit(
        &mut self,
        submission: &Submission,
        queue_settings: &QueueSettings,
        now: Instant,
    ) -> Admission {
        let largest = self.largest_worker();
        let fits =
            |resources: ResourceVector| largest.is_none_or(|largest| resources.fits(&largest));
        if !submission.steps.iter().all(|step| fits(step.reserved())) {
            return Admission::TooLarge;
        }
        if self.needs_evacuated_workers(submission) {
            return Admission::Evacuated { retry_after: RETRY_AFTER_MAX };
        }
        if submission.is_long_running() || submission.repeats > 0 {
            return Admission::Accept;
        }
        let ratio = self.run_time_ratio(&submission.queue);
        if !self.refused.contains_key(&submission.job) {
            self.record_offered_work(
                &queue_settings.pool,
                submission.work_milli_ms() as f64 * ratio,
                now,
            );
        }
        let critical_path = submission.critical_path().mul_f64(ratio);
        let objective = critical_path.mul_f64(queue_settings.slack_factor)
            + Duration::from_millis(queue_settings.objective_ms);
        let estimate =
            critical_path + self.estimate_queue_wait(&queue_settings.pool, now + objective, now);
        let late = estimate.saturating_sub(objective.mul_f64(ESTIMATE_RATIO_MAX));
        if late.is_zero() {
            return Admission::Accept;
        }
        self.remember_refused(submission, now);
        let retry_after = late.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        Admission::TooLate { estimate, retry_after }
    }

    /// Remembers a refused job, so that its retries do not count as further load.
    fn remember_refused(&mut self, submission: &Submission, now: Instant) {
        if self.refused.len() >= REFUSED_MAX {
            let expired = |at: Instant| now.saturating_duration_since(at) > REFUSED_RETENTION;
            self.refused.retain(|_, at| !expired(*at));
        }
        if self.refused.len() < REFUSED_MAX {
            self.refused.entry(submission.job.clone()).or_insert(now);
        }
    }

    /// Returns the ratio of measured to declared run times of a queue; 1 without measurements.
    pub(super) fn run_time_ratio(&self, queue: &QueueId) -> f64 {
        self.run_times.get(queue).map_or(1.0, RunTimes::ratio)
    }

    pub(super) fn largest_worker(&self) -> Option<ResourceVector> {
        let capacities = self.workers.values().map(|worker| worker.entry.capacity);
        capacities.reduce(|a, b| ResourceVector {
            cpu_milli: a.cpu_milli.max(b.cpu_milli),
            memory_mib: a.memory_mib.max(b.memory_mib),
            accelerators: a.accelerators.max(b.accelerators),
        })
    }

    /// Estimates how long a new job that is due at `due` waits for capacity in a pool, moves included.
    ///
    /// The upper bound is the time for all work that the pool has accepted. Work that is due later, or late
    /// already, does not precede the job, but keeps the processors on which it runs. The job then waits only for
    /// work that is due earlier, which runs on the rest of the pool, or on that and the instances that can join
    /// the pool within a move. The estimate is the shortest of these times.
    fn estimate_queue_wait(&self, pool: &PoolId, due: Instant, now: Instant) -> Duration {
        let (mut all, mut ahead, mut occupied_milli) = (0u64, 0u64, 0u64);
        for job in self.pool_jobs(pool).filter(|job| !job.submission.is_long_running()) {
            let left = self.remaining_work(job);
            all += left;
            if (now..=due).contains(&job.objective()) {
                ahead += left;
            } else {
                occupied_milli += running_and_waiting_milli(job).0;
            }
        }
        let capacity_milli = self.pool_capacity_milli(pool);
        let time_for = |work: u64, milli: u64| Duration::from_millis(work / milli.max(1));
        let mut wait = time_for(all, capacity_milli);
        let free_milli = capacity_milli.saturating_sub(occupied_milli);
        if free_milli > 0 {
            wait = wait.min(time_for(ahead, free_milli));
        }
        let standby_milli = self.standby_milli(pool);
        if standby_milli > 0 {
            wait = wait.min(self.limits.move_time + time_for(ahead, free_milli + standby_milli));
        }
        wait
    }

    /// Returns the processors that instances of the standby pool can add within a move, in thousandths of a core.
    fn standby_milli(&self, pool: &PoolId) -> u64 {
        let Some(standby) = self.standby_pool().filter(|standby| standby != pool) else { return 0 };
        let available = self.instances.iter().filter(|(id, instance)| {
            instance.pool == standby
                && instance.state == InstanceState::Up
                && !self.pending_moves.contains_key(*id)
                && !self.is_instance_evacuated(id, instance)
        });
        let count = available.count().min(self.moves_per_second());
        count as u64 * self.instance_milli() as u64
    }

    /// Returns the remaining work of a job, as declared times the run time ratio of its queue, in thousandths of
    /// a core times milliseconds.
    pub(super) fn remaining_work(&self, job: &super::state::Job) -> u64 {
        let ratio = self.run_time_ratio(&job.submission.queue);
        let steps = &job.submission.steps;
        let left = job.occurrences.values().flat_map(|o| steps.iter().zip(&o.steps));
        let work = |(step, step_state): (&super::spec::Step, &super::state::StepState)| {
            let tasks = u64::from(step.count.saturating_sub(step_state.done));
            tasks.saturating_mul(step.reserved().cpu_milli).saturating_mul(step.estimate_ms)
        };
        (left.map(work).fold(0, u64::saturating_add) as f64 * ratio) as u64
    }

    /// Returns the processors of a pool's workers, or of its target number of instances if that is more, in
    /// thousandths of a core.
    pub(super) fn pool_capacity_milli(&self, pool: &PoolId) -> u64 {
        let listed = self.workers.values().filter(|worker| {
            worker.listed && worker.entry.pool == *pool && !self.is_evacuated(worker)
        });
        let listed_milli: u64 = listed.map(|worker| worker.entry.capacity.cpu_milli).sum();
        let target_milli =
            self.targets.get(pool).copied().unwrap_or(0) as f64 * self.instance_milli();
        listed_milli.max(target_milli as u64)
    }
}
