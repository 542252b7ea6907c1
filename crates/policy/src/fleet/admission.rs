//! Which jobs are refused at submission.
//!
//! A job that cannot be of value any more is refused at once, so that its caller can come back when there
//! is room, and so that it takes nothing from jobs that can be in time.

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::fairness::running_and_waiting_milli;
use super::maintenance::InstanceState;
use super::spec::{ResourceVector, Submission};
use super::state::{Engine, QueueSettings, RunTimes};
use crate::ids::{PoolId, QueueId};

/// The part of the objective that the estimated time may take for a job to be accepted.
///
/// Above one, because a job that is a little late still earns something and estimates are rough.
const ACCEPT_BELOW: f64 = 2.0;
/// The shortest and the longest time that a refused caller is told to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(1_000);
const RETRY_AFTER_MAX: Duration = Duration::from_millis(5_000);

/// The refused jobs that are remembered, and how long their callers come back.
const REFUSED_MAX: usize = 4_096;
const REFUSED_MEMORY: Duration = Duration::from_secs(10);

/// The longest time that a submission waits to be written down.
///
/// A caller waits three seconds for its answer, and a job of a second has about that slack.
const WRITE_WAIT_MAX: Duration = Duration::from_millis(1_800);

/// The jobs accepted by one write at most.
///
/// A write of the store takes 100 rows; the rest is for the progress of jobs, those that ended first.
pub const ACCEPTS_PER_WRITE: usize = 50;

/// Reports whether a further submission is written down in time behind `waiting` others.
///
/// One write is under way, and each takes about `write`, as the last did. Beyond that a caller is told at
/// once, because an answer that comes too late leaves it in doubt.
pub fn is_written_in_time(waiting: usize, write: Duration) -> bool {
    let writes = 2 + waiting / ACCEPTS_PER_WRITE;
    write * writes as u32 <= WRITE_WAIT_MAX
}

/// Whether a job is accepted.
#[derives(record)]
pub enum Admission {
    /// It is accepted.
    Accept,
    /// No worker is large enough for one of its tasks.
    TooLarge,
    /// It would be too late.
    TooLate {
        /// The estimated time to its end.
        estimate: Duration,
        /// When the caller may try again.
        retry_after: Duration,
    },
}

impl Engine {
    /// Decides on a job before it is written down.
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
        let estimate = critical_path + self.queue_wait(&queue_settings.pool, now + objective, now);
        let late = estimate.saturating_sub(objective.mul_f64(ACCEPT_BELOW));
        if late.is_zero() {
            return Admission::Accept;
        }
        self.note_refused(submission, now);
        let retry_after = late.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        Admission::TooLate { estimate, retry_after }
    }

    /// Remembers a refused job, whose next attempt is no further demand.
    fn note_refused(&mut self, submission: &Submission, now: Instant) {
        if self.refused.len() >= REFUSED_MAX {
            let old = |at: Instant| now.saturating_duration_since(at) > REFUSED_MEMORY;
            self.refused.retain(|_, at| !old(*at));
        }
        if self.refused.len() < REFUSED_MAX {
            self.refused.entry(submission.job.clone()).or_insert(now);
        }
    }

    /// Returns how much longer than declared the tasks of a queue take.
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

    /// Estimates how long a new job of a pool that is due at `due` waits for room, all moves made.
    ///
    /// At worst all work before it is done first. Work that is due later, or that is late already, does not go
    /// before it but holds what it runs on; then the job takes turns with what is due earlier in the rest of the pool,
    /// or in the instances that can join it within a move.
    fn queue_wait(&self, pool: &PoolId, due: Instant, now: Instant) -> Duration {
        let (mut all, mut ahead, mut held_milli) = (0u64, 0u64, 0u64);
        for job in self.pool_jobs(pool).filter(|job| !job.submission.is_long_running()) {
            let left = self.work_left(job);
            all += left;
            if (now..=due).contains(&job.objective()) {
                ahead += left;
            } else {
                held_milli += running_and_waiting_milli(job).0;
            }
        }
        let room_milli = self.pool_capacity_milli(pool);
        let time_for = |work: u64, milli: u64| Duration::from_millis(work / milli.max(1));
        let mut wait = time_for(all, room_milli);
        let free_milli = room_milli.saturating_sub(held_milli);
        if free_milli > 0 {
            wait = wait.min(time_for(ahead, free_milli));
        }
        let spare_milli = self.spare_milli(pool);
        if spare_milli > 0 {
            wait = wait.min(self.limits.move_time + time_for(ahead, free_milli + spare_milli));
        }
        wait
    }

    /// Returns the processors that instances of the standby pool can bring within a move, in thousandths of a core.
    fn spare_milli(&self, pool: &PoolId) -> u64 {
        let Some(standby) = self.standby_pool().filter(|standby| standby != pool) else { return 0 };
        let parked = self.instances.iter().filter(|(id, instance)| {
            instance.pool == standby
                && instance.state == InstanceState::Up
                && !self.pending_moves.contains_key(*id)
        });
        let count = parked.count().min(self.moves_per_second());
        count as u64 * self.instance_milli() as u64
    }

    /// Returns the declared work that is left of a job, in thousandths of a core times milliseconds.
    pub(super) fn work_left(&self, job: &super::state::Job) -> u64 {
        let ratio = self.run_time_ratio(&job.submission.queue);
        let steps = &job.submission.steps;
        let left = job.occurrences.values().flat_map(|o| steps.iter().zip(&o.steps));
        let work = |(step, run): (&super::spec::Step, &super::state::StepState)| {
            let tasks = u64::from(step.count.saturating_sub(run.done));
            tasks * step.reserved().cpu_milli * step.estimate_ms
        };
        (left.map(work).sum::<u64>() as f64 * ratio) as u64
    }

    /// Returns the processors that a pool has or will have shortly, in thousandths of a core.
    pub(super) fn pool_capacity_milli(&self, pool: &PoolId) -> u64 {
        let own = self.workers.values().filter(|w| w.listed && w.entry.pool == *pool);
        let own: u64 = own.map(|worker| worker.entry.capacity.cpu_milli).sum();
        let target = self.targets.get(pool).copied().unwrap_or(0) as f64 * self.instance_milli();
        own.max(target as u64)
    }
}
