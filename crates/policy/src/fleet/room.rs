//! Room of a pool for waiting tasks: its capacity from now on, without what running tasks keep.

/// Capacity of a pool for short tasks, from now on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Processors of the workers that the pool has, in thousandths of a core.
    pub milli: f64,
    /// Processors that join the pool, with the time until then in milliseconds.
    pub joining: Vec<(f64, f64)>,
}

impl Capacity {
    /// Returns the work that the pool can do within a time, in thousandths of a core times milliseconds.
    pub fn work_within(&self, time_ms: f64) -> f64 {
        let joining =
            self.joining.iter().map(|(after_ms, milli)| (time_ms - after_ms).max(0.0) * milli);
        self.milli * time_ms.max(0.0) + joining.sum::<f64>()
    }

    /// Returns the processors once all instances have joined, in thousandths of a core.
    pub fn eventual_milli(&self) -> f64 {
        self.milli + self.joining.iter().map(|(_, milli)| milli).sum::<f64>()
    }

    /// Returns the time in which the pool does an amount of work, in milliseconds; infinite without capacity.
    pub fn time_for(&self, work: f64) -> f64 {
        let mut joining = self.joining.clone();
        joining.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut at_ms, mut milli, mut left) = (0.0, self.milli, work);
        for (after_ms, more) in joining {
            let done = milli * (after_ms - at_ms);
            if done >= left {
                break;
            }
            (at_ms, milli, left) = (after_ms, milli + more, left - done);
        }
        if left <= 0.0 { at_ms } else { at_ms + left / milli }
    }
}

/// Processors that running tasks keep, by the time until they end.
///
/// Runs are not preempted, so that work which is due earlier cannot have these processors.
#[derive(Clone, Debug, Default)]
pub struct RunningLoad {
    /// Processors of the tasks that end within each interval of [`RunningLoad::INTERVAL_MS`], in thousandths of a core.
    ending_milli: Vec<f64>,
    /// Sums over the intervals before each one: of processors times end, and of processors.
    before: Vec<(f64, f64)>,
    total_milli: f64,
}

impl RunningLoad {
    /// Resolution of the times until tasks end, in milliseconds.
    const INTERVAL_MS: f64 = 50.0;
    /// Number of intervals; later ends count as the last of them, which lies beyond the objectives of short jobs.
    const INTERVALS_MAX: usize = 400;

    /// Adds a running task that ends after `left_ms`.
    pub fn add(&mut self, left_ms: f64, milli: f64) {
        let interval =
            ((left_ms / RunningLoad::INTERVAL_MS) as usize).min(RunningLoad::INTERVALS_MAX - 1);
        if self.ending_milli.len() <= interval {
            self.ending_milli.resize(interval + 1, 0.0);
        }
        self.ending_milli[interval] += milli;
        self.total_milli += milli;
    }

    /// Computes the sums, after all running tasks have been added.
    pub fn finish(&mut self) {
        let (mut work, mut ended_milli) = (0.0, 0.0);
        self.before.clear();
        for (interval, milli) in self.ending_milli.iter().enumerate() {
            self.before.push((work, ended_milli));
            work += milli * (interval as f64 + 0.5) * RunningLoad::INTERVAL_MS;
            ended_milli += milli;
        }
        self.before.push((work, ended_milli));
    }

    /// Returns the work that the running tasks do within a time, in thousandths of a core times milliseconds.
    pub fn work_within(&self, time_ms: f64) -> f64 {
        let interval = ((time_ms / RunningLoad::INTERVAL_MS) as usize).min(self.ending_milli.len());
        let (work, ended_milli) = self.before.get(interval).copied().unwrap_or_default();
        work + (self.total_milli - ended_milli) * time_ms.max(0.0)
    }
}

/// Room of a pool for tasks that wait: its capacity without what running tasks keep.
#[derive(Clone, Debug, Default)]
pub struct Room {
    /// Capacity for short tasks.
    pub capacity: Capacity,
    /// Running short tasks.
    pub running: RunningLoad,
}

impl Room {
    /// Returns the work of waiting tasks that the pool can do within a time, in thousandths of a core times
    /// milliseconds.
    pub fn work_within(&self, time_ms: f64) -> f64 {
        self.capacity.work_within(time_ms) - self.running.work_within(time_ms)
    }
}
