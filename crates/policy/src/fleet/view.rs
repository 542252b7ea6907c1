//! Views of the fleet for operators: pools, moves, waves, teams, and the runs of a job.
//!
//! The views are plain records without the engine's internal keys, so that a front end can print or forward
//! them.

use std::time::Instant;

use wasabiswitch_derive::derives;

use super::maintenance::{MaintenanceStage, WaveNumber};
use super::spec::ResourceVector;
use super::state::{Engine, Occurrence, Phase};
use crate::ids::{InstanceId, PoolId, TeamId};

/// A pool, with the inputs of its size.
#[derives(record)]
pub struct PoolView {
    /// Pool that the view describes.
    pub pool: PoolId,
    /// Number of instances, including those that are moving to the pool.
    pub instances: usize,
    /// Number of workers that the directory lists.
    pub workers: usize,
    /// Number of instances that the pool should have.
    pub target: usize,
    /// Number of instances on which no task runs.
    pub empty: usize,
    /// Processor capacity that running tasks reserve, in thousandths of a core.
    pub running_milli: u64,
    /// Work that is offered to the pool, including refused work, in thousandths of a core.
    pub offered_milli: u64,
    /// Processor capacity that the accepted jobs can use at once, in thousandths of a core.
    pub accepted_milli: u64,
}

/// An instance that is moving to another pool.
#[derives(record)]
pub struct MoveView {
    /// Instance that is moving.
    pub instance: InstanceId,
    /// Pool to which the instance is moving.
    pub to: PoolId,
    /// Time since the call was sent, in milliseconds.
    pub age_ms: u64,
}

/// A maintenance wave, with the number of instances in each stage.
#[derives(record)]
pub struct WaveView {
    /// Number of the wave.
    pub wave: WaveNumber,
    /// Number of instances that are not yet cordoned.
    pub waiting: usize,
    /// Number of instances that get no new tasks because their maintenance is next.
    pub draining: usize,
    /// Number of instances that are down for maintenance or may be.
    pub down: usize,
    /// Number of instances whose maintenance has ended.
    pub done: usize,
    /// Maximum number of instances that may be down at once.
    pub down_max: usize,
    /// Time until the deadline of the wave, in milliseconds.
    pub left_ms: u64,
}

/// A team, with its usage and its limit.
#[derives(record)]
pub struct TeamView {
    /// Team that the view describes.
    pub team: TeamId,
    /// Weight of the team's share of a full pool.
    pub weight: u64,
    /// Resources that the team's tasks use.
    pub used: ResourceVector,
    /// Maximum resources that the team's tasks may use; zero for no limit.
    pub cap: ResourceVector,
}

/// A run, which is an attempt at a task on a worker.
#[derives(record)]
pub struct RunView {
    /// Number of the job's occurrence.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u32,
    /// Index of the task in its step.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: u32,
    /// Worker of the run; empty if it is no longer known.
    pub worker: InstanceId,
    /// Name of the run's state.
    pub state: String,
    /// Progress in percent.
    pub percent: u32,
}

/// A step of an occurrence of a job, with the number of its tasks by state.
#[derives(record)]
pub struct StepView {
    /// Number of the job's occurrence.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u32,
    /// Indices of the steps that must be done before this one starts.
    pub after: Vec<u32>,
    /// Number of tasks in the step.
    pub tasks: u32,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks that are running or may be.
    pub running: u32,
}

/// A job, with its steps and runs.
#[derives(record)]
pub struct JobView {
    /// Phase of the job that its caller sees.
    pub phase: Phase,
    /// Steps of the occurrences that have been opened; none once the job has ended and been retired.
    pub steps: Vec<StepView>,
    /// Attempts that are running or may be.
    pub runs: Vec<RunView>,
}

impl Engine {
    /// Returns a view of each pool.
    pub fn view_pools(&self, now: Instant) -> Vec<PoolView> {
        let states = self.pool_states(now);
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

    /// Returns a view of each instance that is moving.
    pub fn view_moves(&self, now: Instant) -> Vec<MoveView> {
        let view = |(instance, moving): (&InstanceId, &super::sizing::PendingMove)| MoveView {
            instance: instance.clone(),
            to: moving.to.clone(),
            age_ms: now.saturating_duration_since(moving.since).as_millis() as u64,
        };
        self.pending_moves.iter().map(view).collect()
    }

    /// Returns a view of each wave.
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

    /// Returns a view of each team.
    pub fn view_teams(&self) -> Vec<TeamView> {
        let view = |(team, entry): (&TeamId, &super::state::Team)| TeamView {
            team: team.clone(),
            weight: entry.weight,
            used: entry.used,
            cap: entry.cap,
        };
        self.teams.iter().map(view).collect()
    }

    /// Returns a view of the job with an id, if it is known.
    pub fn view_job(&self, id: &str) -> Option<JobView> {
        let job = &self.jobs[self.job_key(id)?];
        let (mut steps, mut runs) = (Vec::new(), Vec::new());
        for (number, occurrence) in &job.occurrences {
            let specs = job.submission.steps.iter().zip(0..);
            for ((spec, step), step_state) in specs.zip(&occurrence.steps) {
                let running = step_state.tasks.iter().filter(|task| !task.runs.is_empty()).count();
                steps.push(StepView {
                    occurrence: *number,
                    step,
                    after: spec.after.clone(),
                    tasks: spec.count,
                    done: step_state.done,
                    running: running as u32,
                });
            }
            self.add_runs(*number, occurrence, &mut runs);
        }
        Some(JobView { phase: job.visible_phase, steps, runs })
    }

    fn add_runs(&self, number: u32, occurrence: &Occurrence, runs: &mut Vec<RunView>) {
        for (step, step_state) in (0..).zip(&occurrence.steps) {
            for (task, entry) in (0..).zip(&step_state.tasks) {
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
