//! Workers that run tasks under leases and report what they use late.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;
use wasabiswitch_kernel::platform::{SyncReply, SyncRequest, TaskStart, TaskState, TaskStatus};
use wasabiswitch_policy::ids::BootId;

/// How late a worker reports the memory that a task uses.
const USAGE_LAG: Duration = Duration::from_millis(500);

#[derives(record)]
struct Task {
    start: TaskStart,
    state: TaskState,
    started_at: Instant,
    ended_after: Option<Duration>,
    lease_until: Instant,
}

#[derives(record)]
#[derive(Default)]
struct Worker {
    tasks: BTreeMap<String, Task>,
    // The newest attempt that was seen of each job, which outlives the task.
    newest_attempt: BTreeMap<String, u32>,
}

/// All workers, and how often each job was started.
#[derives(record)]
#[derive(Default)]
pub struct Workers {
    workers: BTreeMap<String, Worker>,
    failing: BTreeSet<String>,
    starts: BTreeMap<String, u32>,
    running_most: BTreeMap<String, u32>,
}

/// Returns whether a payload asks the stand-in to fail its task.
pub fn task_outcome(payload: &[u8]) -> TaskState {
    if payload == b"fail" { TaskState::Failed } else { TaskState::Done }
}

impl Workers {
    /// Makes a worker fail all that it starts.
    pub fn set_failing(&mut self, instance: &str, failing: bool) {
        if failing {
            self.failing.insert(instance.to_owned());
        } else {
            self.failing.remove(instance);
        }
    }

    /// Returns how often a job was started, on all workers together.
    pub fn starts(&self, job: &str) -> u32 {
        self.starts.get(job).copied().unwrap_or(0)
    }

    /// Returns the most copies of a job that have run at the same time.
    pub fn max_concurrent_runs(&self, job: &str) -> u32 {
        self.running_most.get(job).copied().unwrap_or(0)
    }

    /// Forgets everything on a worker, as a reboot does.
    pub fn reboot(&mut self, instance: &str) {
        self.workers.remove(instance);
    }

    /// Does what a request says and reports.
    pub fn sync(
        &mut self,
        instance: &str,
        boot: BootId,
        request: &SyncRequest,
        now: Instant,
    ) -> SyncReply {
        self.advance(now);
        let lease = Duration::from_millis(request.lease_ms);
        let worker = self.workers.entry(instance.to_owned()).or_default();
        for job in &request.forget {
            worker.tasks.retain(|name, task| name != job || task.state == TaskState::Running);
        }
        for job in &request.renewals {
            if let Some(task) = worker.tasks.get_mut(job) {
                task.lease_until = now + lease;
            }
        }
        for job in &request.stops {
            if let Some(task) = worker.tasks.get_mut(job).filter(|t| t.state == TaskState::Running)
            {
                end(task, TaskState::Stopped, now);
            }
        }
        let outcomes: Vec<StartOutcome> =
            request.starts.iter().map(|start| worker.start(start, lease, now)).collect();
        let mut refused = Vec::new();
        for (start, outcome) in request.starts.iter().zip(outcomes) {
            match outcome {
                StartOutcome::Begun => self.count_start(start),
                StartOutcome::Known => {}
                StartOutcome::Refused(status) => refused.push(status),
            }
        }
        self.report(instance, boot, refused, now)
    }

    fn count_start(&mut self, start: &TaskStart) {
        *self.starts.entry(start.job.clone()).or_default() += 1;
        let running = |worker: &&Worker| {
            worker.tasks.get(&start.job).is_some_and(|task| task.state == TaskState::Running)
        };
        let copies = self.workers.values().filter(running).count() as u32;
        let most = self.running_most.entry(start.job.clone()).or_default();
        *most = (*most).max(copies);
    }

    fn report(
        &self,
        instance: &str,
        boot: BootId,
        refused: Vec<TaskStatus>,
        now: Instant,
    ) -> SyncReply {
        let tasks = self.workers[instance].tasks.values();
        let reports = tasks.map(|task| {
            let run_time = task.ended_after.unwrap_or(now - task.started_at);
            TaskStatus {
                job: task.start.job.clone(),
                attempt: task.start.attempt,
                state: task.state,
                run_time_ms: run_time.as_millis() as u64,
                memory_bytes: if run_time < USAGE_LAG { 0 } else { task.start.memory_bytes },
            }
        });
        SyncReply { boot, tasks: reports.chain(refused).collect() }
    }

    /// Ends the tasks whose run time or lease is over.
    pub fn advance(&mut self, now: Instant) {
        for (instance, worker) in &mut self.workers {
            let failing = self.failing.contains(instance);
            for task in worker.tasks.values_mut().filter(|t| t.state == TaskState::Running) {
                let end_at = task.started_at + Duration::from_millis(task.start.run_time_ms);
                if failing {
                    end(task, TaskState::Failed, now);
                } else if end_at <= task.lease_until && end_at <= now {
                    end(task, task_outcome(&task.start.payload), end_at);
                } else if task.lease_until <= now {
                    end(task, TaskState::Stopped, task.lease_until);
                }
            }
        }
    }
}

fn end(task: &mut Task, state: TaskState, at: Instant) {
    task.state = state;
    task.ended_after = Some(at - task.started_at);
}

/// What became of a start.
enum StartOutcome {
    /// The task was begun.
    Begun,
    /// The attempt was begun before, and nothing has changed.
    Known,
    /// A newer attempt is known.
    Refused(TaskStatus),
}

impl Worker {
    fn start(&mut self, start: &TaskStart, lease: Duration, now: Instant) -> StartOutcome {
        let newest = self.newest_attempt.entry(start.job.clone()).or_default();
        if start.attempt < *newest {
            return StartOutcome::Refused(TaskStatus {
                job: start.job.clone(),
                attempt: start.attempt,
                state: TaskState::Refused,
                run_time_ms: 0,
                memory_bytes: 0,
            });
        }
        if start.attempt == *newest {
            return StartOutcome::Known;
        }
        *newest = start.attempt;
        let task = Task {
            start: start.clone(),
            state: TaskState::Running,
            started_at: now,
            ended_after: None,
            lease_until: now + lease,
        };
        self.tasks.insert(start.job.clone(), task);
        StartOutcome::Begun
    }
}
