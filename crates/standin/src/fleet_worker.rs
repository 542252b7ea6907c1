//! An in-memory worker of the users' platform, with leases, fences, attempt barriers and a list of ended runs.
//!
//! The attempt barrier of a task is the highest attempt that has ended or was stopped; the worker refuses to start that
//! attempt or an earlier one.
//!
//! The caller passes the current time to each call, so that tests of the engine need neither a network nor sleeps.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wasabiswitch_derive::derives;
use wasabiswitch_policy::fleet::outcomes::StartOutcome;
use wasabiswitch_policy::fleet::reports::{EndEntry, RunEnd, RunningEntry, WorkerReport};
use wasabiswitch_policy::fleet::state::{TaskName, WorkerEntry};
use wasabiswitch_policy::ids::BootId;

/// Time that the worker takes to stop a run, the maximum that the platform states; the run occupies its resources until
/// its end is listed.
pub const STOP_TIME: Duration = Duration::from_millis(200);

/// Longest lease that the worker grants, as the platform states it; a longer one is shortened.
pub const LEASE_MAX: Duration = Duration::from_secs(10);

/// A run of a task on the worker.
#[derives(record)]
pub struct FakeRun {
    /// Task that runs.
    pub task: TaskName,
    /// Number of the attempt.
    pub attempt: u32,
    /// Time at which the run started.
    pub started_at: Instant,
    /// Time at which the run completes; `None` for a task that runs until it is stopped.
    pub ends_at: Option<Instant>,
    /// Time at which the run ends because it was stopped; `None` unless it is being stopped.
    pub stops_at: Option<Instant>,
    /// End that is reported when the run completes.
    pub run_end: RunEnd,
}

/// A request to start a task.
#[derives(record)]
pub struct FakeStart {
    /// Task to start.
    pub task: TaskName,
    /// Number of the attempt.
    pub attempt: u32,
    /// Fencing token of the owner.
    pub fence: u64,
    /// Time on the worker's clock, in milliseconds, from which on the start is refused as too late; a start before it
    /// extends the lease to this time.
    pub until_ms: u64,
    /// Run time of the task; `None` for a task that runs until it is stopped.
    pub run_time: Option<Duration>,
    /// End that is reported when the run completes.
    pub run_end: RunEnd,
}

/// A fake worker, whose clock may run slower or faster than the caller's.
#[derives(record)]
pub struct FakeWorker {
    /// Entry of the worker in the directory.
    pub entry: WorkerEntry,
    /// Runs in progress.
    pub runs: Vec<FakeRun>,
    /// Ended runs that the owner has not acknowledged.
    pub ends: Vec<EndEntry>,
    /// Highest number of an ended run that the owner has acknowledged.
    pub last_acknowledged_end: u64,
    /// Checkpoint that the worker reports for each run; empty for none.
    pub checkpoint: String,
    started_at: Instant,
    restarts: u64,
    // Reading of the clock at the start; the clock of each incarnation starts anywhere.
    clock_origin_ms: u64,
    clock_rate: f64,
    fence: u64,
    // One lease covers all runs.
    lease_until_ms: u64,
    last_end_number: u64,
    // The highest attempt of each task that has ended or was stopped; later starts need a higher one.
    barriers: BTreeMap<TaskName, u32>,
}

impl FakeWorker {
    /// Creates a worker that starts at `now`; its clock advances `clock_rate` seconds per second.
    pub fn new(entry: WorkerEntry, now: Instant, clock_rate: f64) -> FakeWorker {
        FakeWorker {
            restarts: 0,
            clock_origin_ms: clock_origin_ms(0),
            entry,
            runs: Vec::new(),
            ends: Vec::new(),
            last_acknowledged_end: 0,
            checkpoint: String::new(),
            started_at: now,
            clock_rate,
            fence: 0,
            lease_until_ms: 0,
            last_end_number: 0,
            barriers: BTreeMap::new(),
        }
    }

    /// Returns the time on the worker's clock, in milliseconds.
    pub fn clock_ms(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.started_at).as_secs_f64();
        self.clock_origin_ms + (elapsed * self.clock_rate * 1_000.0) as u64
    }

    /// Extends the lease to `until_ms`, but not beyond the [longest lease](LEASE_MAX).
    fn extend_lease(&mut self, until_ms: u64, now: Instant) {
        let longest_ms = self.clock_ms(now) + LEASE_MAX.as_millis() as u64;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(longest_ms));
    }

    /// Restarts the worker as the next incarnation.
    pub fn crash(&mut self, now: Instant) {
        self.crash_as(self.entry.incarnation + 1, now);
    }

    /// Restarts the worker as the given incarnation, which has lost all runs, ended runs, fences and barriers.
    pub fn crash_as(&mut self, incarnation: BootId, now: Instant) {
        let entry = WorkerEntry { incarnation, ..self.entry.clone() };
        let restarts = self.restarts + 1;
        let clock_origin_ms = clock_origin_ms(restarts);
        let worker = FakeWorker::new(entry, now, self.clock_rate);
        *self = FakeWorker { restarts, clock_origin_ms, ..worker };
    }

    /// Ends the runs that have completed, and all runs once the lease has expired.
    pub fn advance(&mut self, now: Instant) {
        let lease_expired = self.clock_ms(now) >= self.lease_until_ms;
        let runs = std::mem::take(&mut self.runs);
        for run in runs {
            match (run.stops_at, run.ends_at) {
                (Some(stops_at), _) if stops_at <= now => self.end(&run, RunEnd::Stopped),
                (None, Some(ends_at)) if ends_at <= now => self.end(&run, run.run_end),
                _ if lease_expired => self.end(&run, RunEnd::LeaseExpired),
                _ => self.runs.push(run),
            }
        }
    }

    fn end(&mut self, run: &FakeRun, end: RunEnd) {
        self.last_end_number += 1;
        let barrier = self.barriers.entry(run.task.clone()).or_default();
        *barrier = (*barrier).max(run.attempt);
        self.ends.push(EndEntry {
            number: self.last_end_number,
            task: run.task.clone(),
            attempt: run.attempt,
            end,
            checkpoint: self.checkpoint.clone(),
        });
    }

    fn admit(&mut self, fence: u64) -> bool {
        let admitted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        admitted
    }

    /// Starts a task, unless the fence is too low, the start is too late or a barrier refuses the attempt.
    pub fn start(&mut self, start: &FakeStart, now: Instant) -> StartOutcome {
        self.advance(now);
        if !self.admit(start.fence) {
            return StartOutcome::Fenced;
        }
        if start.until_ms <= self.clock_ms(now) {
            return StartOutcome::TooLate;
        }
        self.extend_lease(start.until_ms, now);
        let same = |run: &FakeRun| run.task == start.task && run.attempt == start.attempt;
        if self.runs.iter().any(|run| same(run) && run.stops_at.is_none()) {
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
            stops_at: None,
            run_end: start.run_end,
        });
        StartOutcome::Started
    }

    /// Raises the task's barrier and begins to stop a run, which ends after [`STOP_TIME`]; returns `false` if the fence
    /// is too low.
    pub fn stop(&mut self, task: &TaskName, attempt: u32, fence: u64, now: Instant) -> bool {
        self.advance(now);
        if !self.admit(fence) {
            return false;
        }
        let barrier = self.barriers.entry(task.clone()).or_default();
        *barrier = (*barrier).max(attempt);
        for run in self.runs.iter_mut().filter(|r| r.task == *task && r.attempt == attempt) {
            run.stops_at.get_or_insert(now + STOP_TIME);
        }
        true
    }

    /// Renews the lease, removes acknowledged ends and returns a report; `None` if the fence is too low.
    ///
    /// `until_ms` is the end of the lease on the worker's clock; `None` leaves the lease as it is.
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
        self.extend_lease(until_ms.unwrap_or(0), now);
        self.last_acknowledged_end = self.last_acknowledged_end.max(acknowledged);
        self.ends.retain(|end| end.number > acknowledged);
        let running = self.runs.iter().map(|run| RunningEntry {
            task: run.task.clone(),
            attempt: run.attempt,
            checkpoint: self.checkpoint.clone(),
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

/// Returns the reading with which the clock starts after a number of restarts: first a lower one than before, then a
/// higher one, and so on.
fn clock_origin_ms(restarts: u64) -> u64 {
    const STEP_MS: u64 = 5_147_231;
    const RANGE_MS: u64 = 9_000_000;
    (restarts + 1).wrapping_mul(STEP_MS) % RANGE_MS
}

fn percent(run: &FakeRun, now: Instant) -> u32 {
    let Some(ends_at) = run.ends_at else { return 100 };
    let total = ends_at.saturating_duration_since(run.started_at).as_secs_f64().max(0.001);
    let elapsed = now.saturating_duration_since(run.started_at).as_secs_f64();
    (elapsed / total * 100.0).min(100.0) as u32
}
