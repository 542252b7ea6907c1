//! What operators are shown of the fleet: pools, moves, waves, teams, and where the tasks of a job run.
//!
//! Plain records without ids of this process, so that a front end can print them or pass them on.

use std::time::Instant;

use wasabiswitch_derive::derives;

use super::maintenance::{MaintenanceStage, WaveNumber};
use super::spec::ResourceVector;
use super::state::{Engine, Occurrence, Phase};
use crate::ids::{InstanceId, PoolId, TeamId};

/// A pool, and why it has as many instances as it has.
#[derives(record)]
pub struct PoolView {
    /// The pool.
    pub pool: PoolId,
    /// Its instances, those on their way to it included.
    pub instances: usize,
    /// Its workers that can be reached.
    pub workers: usize,
    /// How many instances it should have.
    pub target: usize,
    /// Its instances on which nothing runs.
    pub empty: usize,
    /// What its tasks reserve, in thousandths of a core.
    pub running_milli: u64,
    /// The work that is offered to it, refused work included, in thousandths of a core.
    pub offered_milli: u64,
    /// What the accepted jobs can use at once, in thousandths of a core.
    pub accepted_milli: u64,
}

/// An instance that changes its pool.
#[derives(record)]
pub struct MoveView {
    /// The instance.
    pub instance: InstanceId,
    /// Where it goes.
    pub to: PoolId,
    /// How long ago the call was sent, in milliseconds.
    pub age_ms: u64,
}

/// A maintenance wave.
#[derives(record)]
pub struct WaveView {
    /// Its number.
    pub wave: WaveNumber,
    /// The instances whose upkeep has not begun.
    pub waiting: usize,
    /// The instances that take no new tasks because theirs is next.
    pub draining: usize,
    /// The instances that are down for it, or may be.
    pub down: usize,
    /// The instances that are back.
    pub done: usize,
    /// The most that may be down at once.
    pub down_max: usize,
    /// The time that is left, in milliseconds.
    pub left_ms: u64,
}

/// A team, what it uses and what it may use.
#[derives(record)]
pub struct TeamView {
    /// The team.
    pub team: TeamId,
    /// Its share of a full fleet.
    pub weight: u64,
    /// What its tasks reserve.
    pub used: ResourceVector,
    /// What they may reserve at most; zeros for no limit.
    pub cap: ResourceVector,
}

/// An attempt at a task.
#[derives(record)]
pub struct RunView {
    /// The occurrence of the job.
    pub occurrence: u32,
    /// The number of the step.
    pub step: u32,
    /// The number of the task in its step.
    pub task: u32,
    /// The number of the attempt.
    pub attempt: u32,
    /// The worker.
    pub worker: InstanceId,
    /// How far it is, in words.
    pub state: String,
    /// How much of it is done, in percent.
    pub percent: u32,
}

/// A step of a job.
#[derives(record)]
pub struct StepView {
    /// The occurrence of the job.
    pub occurrence: u32,
    /// The number of the step.
    pub step: u32,
    /// The steps that must be done before it.
    pub after: Vec<u32>,
    /// Its tasks.
    pub tasks: u32,
    /// Those that are done.
    pub done: u32,
    /// Those that run, or may run.
    pub running: u32,
}

/// A job: how far it is and where its tasks run.
#[derives(record)]
pub struct JobView {
    /// How far it is, as its caller is shown.
    pub phase: Phase,
    /// Its steps; none once it has ended.
    pub steps: Vec<StepView>,
    /// The attempts that run, or may run.
    pub runs: Vec<RunView>,
}

impl Engine {
    /// Returns the pools.
    pub fn view_pools(&self, now: Instant) -> Vec<PoolView> {
        let states = self.pool_states();
        let view = |(pool, state): (&PoolId, &super::sizing::PoolState)| {
            let workers = self.workers.values().filter(|w| w.listed && w.entry.pool == *pool);
            PoolView {
                pool: pool.clone(),
                instances: state.instances,
                workers: workers.clone().count(),
                target: self.targets.get(pool).copied().unwrap_or(0),
                empty: state.empty.len(),
                running_milli: workers.map(|worker| worker.reserved.cpu_milli).sum(),
                offered_milli: self.offered_loads.get(pool).map_or(0.0, |o| o.rate_milli(now))
                    as u64,
                accepted_milli: self.accepted_milli(pool) as u64,
            }
        };
        states.iter().map(view).collect()
    }

    /// Returns the moves that are under way.
    pub fn view_moves(&self, now: Instant) -> Vec<MoveView> {
        let view = |(instance, moving): (&InstanceId, &super::sizing::PendingMove)| MoveView {
            instance: instance.clone(),
            to: moving.to.clone(),
            age_ms: now.saturating_duration_since(moving.since).as_millis() as u64,
        };
        self.pending_moves.iter().map(view).collect()
    }

    /// Returns the waves.
    pub fn view_waves(&self, now: Instant) -> Vec<WaveView> {
        let view = |(number, wave): (&WaveNumber, &super::maintenance::Wave)| {
            let count =
                |is: fn(&MaintenanceStage) -> bool| wave.stages.values().filter(|s| is(s)).count();
            WaveView {
                wave: *number,
                waiting: count(|stage| matches!(stage, MaintenanceStage::Waiting)),
                draining: count(|stage| matches!(stage, MaintenanceStage::Draining(_))),
                down: count(|stage| {
                    matches!(stage, MaintenanceStage::Called(_) | MaintenanceStage::Down(_))
                }),
                done: count(|stage| matches!(stage, MaintenanceStage::Done)),
                down_max: wave.down_max,
                left_ms: wave.deadline.saturating_duration_since(now).as_millis() as u64,
            }
        };
        self.waves.iter().map(view).collect()
    }

    /// Returns the teams.
    pub fn view_teams(&self) -> Vec<TeamView> {
        let view = |(team, entry): (&TeamId, &super::state::Team)| TeamView {
            team: team.clone(),
            weight: entry.weight,
            used: entry.used,
            cap: entry.cap,
        };
        self.teams.iter().map(view).collect()
    }

    /// Returns a job, if it is known.
    pub fn view_job(&self, id: &str) -> Option<JobView> {
        let job = &self.jobs[self.job_key(id)?];
        let (mut steps, mut runs) = (Vec::new(), Vec::new());
        for (number, occurrence) in &job.occurrences {
            let specs = job.submission.steps.iter().zip(0..);
            for ((spec, step), run) in specs.zip(&occurrence.steps) {
                let running = run.tasks.iter().filter(|task| !task.runs.is_empty()).count();
                steps.push(StepView {
                    occurrence: *number,
                    step,
                    after: spec.after.clone(),
                    tasks: spec.count,
                    done: run.done,
                    running: running as u32,
                });
            }
            self.add_runs(*number, occurrence, &mut runs);
        }
        Some(JobView { phase: job.visible_phase, steps, runs })
    }

    fn add_runs(&self, number: u32, occurrence: &Occurrence, runs: &mut Vec<RunView>) {
        for (step, run) in (0..).zip(&occurrence.steps) {
            for (task, entry) in (0..).zip(&run.tasks) {
                runs.extend(entry.runs.iter().map(|run| {
                    RunView {
                        occurrence: number,
                        step,
                        task,
                        attempt: run.attempt,
                        worker: self
                            .workers
                            .get(run.worker)
                            .map_or("".into(), |worker| worker.entry.id.clone()),
                        state: run.state.as_str().to_owned(),
                        percent: run.percent,
                    }
                }));
            }
        }
    }
}
