//! Simulated workers, which run tasks under leases and report their memory use with a lag.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;
use wasabiswitch_kernel::platform::{SyncReply, SyncRequest, TaskStart, TaskState, TaskStatus};
use wasabiswitch_policy::ids::BootId;

/// Run time below which a worker reports no memory use of a task yet.
const USAGE_LAG: Duration = Duration::from_millis(500);

#[derives(record)]
struct Task {
    start: TaskStart,
    state: TaskState,
    started_at: Instant,
    run_time: Option<Duration>,
    lease_until: Instant,
}

#[derives(record)]
#[derive(Default)]
struct Worker {
    tasks: BTreeMap<String, Task>,
    // The newest attempt of each job that was started here. It is kept when the task is forgotten, so that a late
    // delivery of an old start is refused.
    newest_attempt: BTreeMap<String, u32>,
}

/// All workers, and per job the number of starts and the highest number of concurrent runs.
#[derives(record)]
#[derive(Default)]
pub struct Workers {
    workers: BTreeMap<String, Worker>,
    failing: BTreeSet<String>,
    starts: BTreeMap<String, u32>,
    running_max: BTreeMap<String, u32>,
}

/// Returns the final state of a task with a given payload: `fail` makes it fail, any other one succeeds.
pub fn task_outcome(payload: &[u8]) -> TaskState {
    if payload == b"fail" { TaskState::Failed } else { TaskState::Done }
}

impl Workers {
    /// Sets whether the worker of an instance fails all its tasks.
    pub fn set_failing(&mut self, instance: &str, failing: bool) {
        if failing {
            self.failing.insert(instance.to_owned());
        } else {
            self.failing.remove(instance);
        }
    }

    /// Returns how often a job was started, over all workers.
    pub fn starts(&self, job: &str) -> u32 {
        self.starts.get(job).copied().unwrap_or(0)
    }

    /// Returns the highest number of runs of a job at the same time, over all workers.
    pub fn max_concurrent_runs(&self, job: &str) -> u32 {
        self.running_max.get(job).copied().unwrap_or(0)
    }

    /// Removes all tasks of the worker of an instance, as a reboot does.
    pub fn reboot(&mut self, instance: &str) {
        self.workers.remove(instance);
    }

    /// Applies a request to the worker of an instance and returns the worker's report.
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
                StartOutcome::Started => self.count_start(start),
                StartOutcome::Duplicate => {}
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
        let concurrent_runs = self.workers.values().filter(running).count() as u32;
        let max = self.running_max.entry(start.job.clone()).or_default();
        *max = (*max).max(concurrent_runs);
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
            let run_time = task.run_time.unwrap_or(now - task.started_at);
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

    /// Ends the tasks whose run time is over or whose lease has expired.
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
    task.run_time = Some(at - task.started_at);
}

/// Outcome of a start.
enum StartOutcome {
    /// The task was started.
    Started,
    /// The same attempt was started before; nothing has changed.
    Duplicate,
    /// A newer attempt was started before.
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
            return StartOutcome::Duplicate;
        }
        *newest = start.attempt;
        let task = Task {
            start: start.clone(),
            state: TaskState::Running,
            started_at: now,
            run_time: None,
            lease_until: now + lease,
        };
        self.tasks.insert(start.job.clone(), task);
        StartOutcome::Started
    }
}
