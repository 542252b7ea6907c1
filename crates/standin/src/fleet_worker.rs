//! A worker of the users' platform in memory: leases, fences, barriers and lists of ends.
//!
//! It knows no time but what it is told, so that tests of the engine need neither network nor sleep.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;
use wasabiswitch_policy::fleet::outcomes::StartOutcome;
use wasabiswitch_policy::fleet::reports::{EndEntry, RunEnd, RunningEntry, WorkerReport};
use wasabiswitch_policy::fleet::state::{TaskName, WorkerEntry};

/// A run at the worker.
#[derives(record)]
pub struct FakeRun {
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: u32,
    /// When it started.
    pub started_at: Instant,
    /// When it ends by itself; `None` for a task that runs until it is stopped.
    pub ends_at: Option<Instant>,
    /// How it then ends.
    pub run_end: RunEnd,
}

/// What a worker is told to start.
#[derives(record)]
pub struct FakeStart {
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: u32,
    /// The owner's fence.
    pub fence: u64,
    /// The time on the worker's clock after which it does not start.
    pub until_ms: u64,
    /// How long it runs; `None` for a task that runs until it is stopped.
    pub run_time: Option<Duration>,
    /// How it then ends.
    pub run_end: RunEnd,
}

/// A worker.
#[derives(record)]
pub struct FakeWorker {
    /// What the directory says of it.
    pub entry: WorkerEntry,
    /// What runs there.
    pub runs: Vec<FakeRun>,
    /// The ends that are not acknowledged.
    pub ends: Vec<EndEntry>,
    /// The number of the last end that was acknowledged.
    pub acknowledged: u64,
    origin: Instant,
    clock_rate: f64,
    fence: u64,
    lease_until_ms: u64,
    last_end: u64,
    barriers: BTreeMap<TaskName, u32>,
}

impl FakeWorker {
    /// Creates a worker that starts at `now`, with a clock of the given rate.
    pub fn new(entry: WorkerEntry, now: Instant, clock_rate: f64) -> FakeWorker {
        FakeWorker {
            entry,
            runs: Vec::new(),
            ends: Vec::new(),
            acknowledged: 0,
            origin: now,
            clock_rate,
            fence: 0,
            lease_until_ms: 0,
            last_end: 0,
            barriers: BTreeMap::new(),
        }
    }

    /// Returns what the worker's clock shows.
    pub fn clock_ms(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.origin).as_secs_f64();
        (passed * self.clock_rate * 1_000.0) as u64
    }

    /// Starts a new life, which knows nothing of the one before.
    pub fn crash(&mut self, now: Instant) {
        let mut entry = self.entry.clone();
        entry.incarnation += 1;
        *self = FakeWorker::new(entry, now, self.clock_rate);
    }

    /// Ends what has run its time, and everything once the leases have lapsed.
    pub fn advance(&mut self, now: Instant) {
        let lapsed = self.clock_ms(now) >= self.lease_until_ms;
        let runs = std::mem::take(&mut self.runs);
        for run in runs {
            match run.ends_at {
                Some(ends_at) if ends_at <= now => self.end(&run, run.run_end),
                _ if lapsed => self.end(&run, RunEnd::LeaseExpired),
                _ => self.runs.push(run),
            }
        }
    }

    fn end(&mut self, run: &FakeRun, end: RunEnd) {
        self.last_end += 1;
        let barrier = self.barriers.entry(run.task.clone()).or_default();
        *barrier = (*barrier).max(run.attempt);
        self.ends.push(EndEntry {
            number: self.last_end,
            task: run.task.clone(),
            attempt: run.attempt,
            end,
            checkpoint: String::new(),
        });
    }

    fn admit(&mut self, fence: u64) -> bool {
        let admitted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        admitted
    }

    /// Starts a task.
    pub fn start(&mut self, start: &FakeStart, now: Instant) -> StartOutcome {
        self.advance(now);
        if !self.admit(start.fence) {
            return StartOutcome::Fenced;
        }
        if start.until_ms <= self.clock_ms(now) {
            return StartOutcome::TooLate;
        }
        self.lease_until_ms = self.lease_until_ms.max(start.until_ms);
        let same = |run: &FakeRun| run.task == start.task && run.attempt == start.attempt;
        if self.runs.iter().any(same) {
            return StartOutcome::Started;
        }
        if self.barriers.get(&start.task).is_some_and(|barrier| start.attempt <= *barrier) {
            return StartOutcome::Superseded;
        }
        self.runs.push(FakeRun {
            task: start.task.clone(),
            attempt: start.attempt,
            started_at: now,
            ends_at: start.run_time.map(|run_time| now + run_time),
            run_end: start.run_end,
        });
        StartOutcome::Started
    }

    /// Stops a run; returns whether the fence allowed it.
    pub fn stop(&mut self, task: &TaskName, attempt: u32, fence: u64, now: Instant) -> bool {
        self.advance(now);
        if !self.admit(fence) {
            return false;
        }
        let barrier = self.barriers.entry(task.clone()).or_default();
        *barrier = (*barrier).max(attempt);
        if let Some(at) = self.runs.iter().position(|r| r.task == *task && r.attempt == attempt) {
            let run = self.runs.remove(at);
            self.end(&run, RunEnd::Stopped);
        }
        true
    }

    /// Renews leases, forgets acknowledged ends and reports; `None` if the fence is too low.
    pub fn hold(
        &mut self,
        fence: u64,
        acknowledged: u64,
        until_ms: Option<u64>,
        now: Instant,
    ) -> Option<WorkerReport> {
        self.advance(now);
        if !self.admit(fence) {
            return None;
        }
        self.lease_until_ms = self.lease_until_ms.max(until_ms.unwrap_or(0));
        self.acknowledged = self.acknowledged.max(acknowledged);
        self.ends.retain(|end| end.number > acknowledged);
        let running = self.runs.iter().map(|run| RunningEntry {
            task: run.task.clone(),
            attempt: run.attempt,
            checkpoint: String::new(),
            percent: percent(run, now),
            gauge: 0.0,
        });
        Some(WorkerReport {
            incarnation: self.entry.incarnation,
            clock_ms: self.clock_ms(now),
            running: running.collect(),
            ended: self.ends.clone(),
        })
    }
}

fn percent(run: &FakeRun, now: Instant) -> u32 {
    let Some(ends_at) = run.ends_at else { return 100 };
    let whole = ends_at.saturating_duration_since(run.started_at).as_secs_f64().max(0.001);
    let passed = now.saturating_duration_since(run.started_at).as_secs_f64();
    (passed / whole * 100.0).min(100.0) as u32
}
