//! Admission of jobs at submission.
//!
//! A job that would complete too late to be of value is refused at once. Its caller can retry when there is
//! capacity, and the job takes no resources from jobs that can meet their objectives.

use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;

use super::claims::{ClaimPart, choose, fits_beside};
use super::need::{Need, millis_until};
use super::overload::{AdmittedJob, PoolClaims, VALUE_END_RATIO};
use super::room::Capacity;
use super::spec::{ResourceVector, Submission};
use super::state::{Engine, QueueSettings};
use crate::ids::{PoolId, TeamId};

/// Margin of a new job to its objective, in standard deviations of the run times within a step; the accepted jobs keep
/// one of them until they start.
const MARGIN_DEVIATIONS: f64 = 2.0;
/// Part of the offered load that is kept for jobs that arrive later, when late work is accepted. A surge lasts
/// about half of the time in which a late answer has a value.
const ARRIVING_SHARE: f64 = 0.5;
/// Part of a pool's capacity that is free, while no task waits, from which any job is accepted.
const IDLE_SHARE: f64 = 0.5;
/// Time after which an admitted job that has not been persisted no longer counts; its caller's call has ended.
const ADMITTED_RETENTION: Duration = Duration::from_millis(3_000);
/// Largest estimate in a refusal, in milliseconds.
const ESTIMATE_MAX_MS: f64 = 3_600_000.0;
/// Minimum retry time in a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(1_000);
/// Maximum retry time in a refusal.
const RETRY_AFTER_MAX: Duration = Duration::from_millis(5_000);

/// Maximum age of the claims with which submissions are decided: a tenth of the constant part of usual objectives. A plan
/// ends their use earlier. Jobs that are
/// admitted meanwhile are added to them.
const CLAIMS_AGE_MAX: Duration = Duration::from_millis(60);
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

impl Admission {
    /// Returns the name of the decision in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Admission::Accept => "accepted",
            Admission::TooLarge => "too-large",
            Admission::Evacuated { .. } => "evacuated",
            Admission::TooLate { .. } => "too-late",
        }
    }
}

/// Claims on a pool, and the time at which they were computed.
#[derive(Clone, Debug)]
pub(super) struct RecentClaims {
    computed_at: Instant,
    claims: PoolClaims,
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
        let pool = &queue_settings.pool;
        self.admitted.retain(|_, job| now.saturating_duration_since(job.at) < ADMITTED_RETENTION);
        let mut accepted = self.recent_claims(pool, now);
        let need = self.need_of(submission, accepted.claims.room.capacity.eventual_milli());
        if !self.refused.contains_key(&submission.job) {
            self.record_offered_work(pool, need.work, now);
            self.recent_work.entry(submission.queue.clone()).or_default().add(need.work);
        }
        let first_attempt = self.refused.get(&submission.job).copied().unwrap_or(now);
        let decision =
            self.decide(submission, &need, first_attempt, queue_settings, &accepted.claims, now);
        let admission = match decision {
            Some(due) => {
                let priority = queue_settings.priority;
                let admitted = AdmittedJob {
                    pool: pool.clone(),
                    at: now,
                    due,
                    need,
                    priority,
                    team: submission.team.clone(),
                };
                accepted.claims.add_admitted(&admitted, now);
                self.admitted.insert(submission.job.clone(), admitted);
                Admission::Accept
            }
            None => {
                let claims = &accepted.claims;
                let (capacity, backlog) = (&claims.room.capacity, claims.backlog);
                self.remember_refused(submission, now);
                let estimate_ms = need.path_ms + capacity.time_for(backlog);
                let estimate = Duration::from_secs_f64(estimate_ms.min(ESTIMATE_MAX_MS) / 1_000.0);
                let retry_after = self.next_retry(pool, &need, capacity, backlog, now);
                Admission::TooLate { estimate, retry_after }
            }
        };
        self.recent_claims.insert(pool.clone(), accepted);
        admission
    }

    /// Takes the claims on a pool as they were computed last, or computes them anew if that was too long ago.
    ///
    /// To walk all jobs for each submission of a surge would take the owner's processor.
    fn recent_claims(&mut self, pool: &PoolId, now: Instant) -> RecentClaims {
        let recent = self.recent_claims.remove(pool);
        let is_recent = |claims: &RecentClaims| {
            now.saturating_duration_since(claims.computed_at) < CLAIMS_AGE_MAX
        };
        recent.filter(is_recent).unwrap_or_else(|| RecentClaims {
            computed_at: now,
            claims: self.accepted_claims(pool, now),
        })
    }

    /// Returns the time by which the work of a job is done if it is accepted, or `None` to refuse it.
    ///
    /// A job is accepted if it can meet its objective beside the accepted ones that can, if processors are free
    /// beyond what waits for them, or if it can end late on the capacity that is left over.
    fn decide(
        &self,
        submission: &Submission,
        need: &Need,
        first_attempt: Instant,
        queue_settings: &QueueSettings,
        accepted: &PoolClaims,
        now: Instant,
    ) -> Option<Instant> {
        let pool = &queue_settings.pool;
        let room = &accepted.room;
        let objective = first_attempt + need.objective_after(queue_settings);
        let left_ms = millis_until(objective, now);
        // Accepted jobs are kept, except for those of a lower priority, and for those of teams beyond their share if
        // the team of this job is within its own.
        let mut chosen = choose(&accepted.claims, &accepted.parts, room);
        let weight = |team: &TeamId| self.teams.get(team).map_or(1, |team| team.weight.max(1));
        let team = &submission.team;
        let over = accepted.teams_over_share(&chosen, team, need.work, left_ms, weight);
        for (index, chosen) in chosen.iter_mut().enumerate() {
            let is_over = !over.contains(team) && over.contains(&accepted.teams[index]);
            *chosen &= accepted.claims[index].priority <= queue_settings.priority && !is_over;
        }
        let recent_work = self.recent_work.get(&submission.queue);
        let fill = recent_work.map_or(1.0, |recent| recent.fill(need.work));
        let margin_ms = need.deviation_ms * MARGIN_DEVIATIONS;
        let own: Vec<ClaimPart> = need.parts(0, left_ms - margin_ms).collect();
        if need.path_ms + margin_ms <= left_ms
            && fits_beside(&accepted.parts, &chosen, &own, room, fill)
        {
            return Some(objective);
        }
        let value_end = objective + (objective - first_attempt) * (VALUE_END_RATIO - 1);
        let value_ms = millis_until(value_end, now);
        let free_milli = self.free_milli(pool);
        let wanted_milli = accepted.ready_milli as f64 + need.work / need.path_ms.max(1.0);
        let is_free = free_milli > 0 && free_milli as f64 >= wanted_milli;
        // A job that is wider than the whole pool is no reason to leave an idle pool idle.
        let is_idle =
            accepted.ready_milli == 0 && free_milli as f64 >= room.capacity.milli * IDLE_SHARE;
        if is_idle || is_free {
            return Some(value_end);
        }
        // A caller that has been refused until its job has no value any more still wants it. It is taken on like one that calls
        // for the first time and ends late, or else it would be refused for as long as others call.
        let late_ms = if need.path_ms <= value_ms {
            value_ms
        } else {
            let objective_ms = need.objective_after(queue_settings).as_secs_f64() * 1_000.0;
            objective_ms * f64::from(VALUE_END_RATIO)
        };
        let offered_milli = self.offered_loads.get(pool).map_or(0.0, |load| load.rate_milli(now));
        let arriving_milli = offered_milli.min(room.capacity.eventual_milli()) * ARRIVING_SHARE;
        let left_over = room.work_within(late_ms - need.task_ms / 2.0) - arriving_milli * late_ms;
        if need.path_ms <= late_ms && accepted.backlog + need.work <= left_over {
            return Some(value_end);
        }
        None
    }

    /// Returns the time after which the caller of a refused job may retry: when the pool has done its backlog and the
    /// work of the callers that were refused before.
    fn next_retry(
        &mut self,
        pool: &PoolId,
        need: &Need,
        capacity: &Capacity,
        backlog: f64,
        now: Instant,
    ) -> Duration {
        let seconds = |ms: f64| Duration::from_secs_f64(ms.min(ESTIMATE_MAX_MS) / 1_000.0);
        let room_at =
            now + seconds(capacity.time_for(backlog)).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        let earlier = self.retry_at.get(pool).copied().unwrap_or(now);
        let own = seconds(need.work / capacity.eventual_milli().max(1.0));
        let at = (earlier.max(room_at) + own).min(now + RETRY_AFTER_MAX);
        self.retry_at.insert(pool.clone(), at);
        at - now
    }

    /// Withdraws the admission of a job that is refused before it is persisted; its objective still counts from the
    /// first attempt.
    pub fn withdraw_admission(&mut self, submission: &Submission, now: Instant) {
        if let Some(admitted) = self.admitted.remove(&submission.job) {
            self.recent_claims.remove(&admitted.pool);
            self.remember_refused(submission, admitted.at.min(now));
        }
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

    pub(super) fn largest_worker(&self) -> Option<ResourceVector> {
        let capacities = self.workers.values().map(|worker| worker.entry.capacity);
        capacities.reduce(|a, b| ResourceVector {
            cpu_milli: a.cpu_milli.max(b.cpu_milli),
            memory_mib: a.memory_mib.max(b.memory_mib),
            accelerators: a.accelerators.max(b.accelerators),
        })
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
