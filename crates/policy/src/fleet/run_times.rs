//! Measured run times of the tasks of a queue, and the run times that are expected from them.

use wasabiswitch_derive::derives;

use super::job::TaskRef;

/// Declared and measured run times of the tasks of a queue, as exponentially decaying sums.
#[derives(record)]
#[derive(Default)]
pub struct RunTimes {
    tasks: f64,
    declared_ms: f64,
    measured_ms: f64,
    declared_squared: f64,
    declared_by_measured: f64,
    /// Measured run times of tasks of which the pure run time is known, and the latter.
    observed_ms: f64,
    pure_ms: f64,
    /// Sum of the squared differences between tasks of the same step that ended one after the other, with their number.
    difference_squared: f64,
    differences: f64,
    last_of_step: Option<(TaskRef, f64)>,
}

impl RunTimes {
    /// Factor by which the sums decay with each task, so that they cover about the last 100 tasks.
    const DECAY: f64 = 0.99;
    /// Number of measurements from which the regression is used.
    const REGRESSION_TASKS_MIN: f64 = 20.0;
    /// Least expected run time as a part of the mean.
    const EXPECTED_MIN: f64 = 0.1;

    /// Adds the run time of a finished task.
    pub fn record(&mut self, declared_ms: f64, measured_ms: f64) {
        let add = |sum: &mut f64, value: f64| *sum = *sum * RunTimes::DECAY + value;
        add(&mut self.tasks, 1.0);
        add(&mut self.declared_ms, declared_ms);
        add(&mut self.measured_ms, measured_ms);
        add(&mut self.declared_squared, declared_ms * declared_ms);
        add(&mut self.declared_by_measured, declared_ms * measured_ms);
    }

    /// Compares the run time of a finished task with that of the task that ended before it, if both are of one step.
    pub fn record_in_step(&mut self, step: TaskRef, measured_ms: f64) {
        if let Some((last_step, last_ms)) = self.last_of_step.replace((step, measured_ms))
            && last_step == step
        {
            let difference_ms = measured_ms - last_ms;
            self.difference_squared =
                self.difference_squared * RunTimes::DECAY + difference_ms * difference_ms;
            self.differences = self.differences * RunTimes::DECAY + 1.0;
        }
    }

    /// Returns the standard deviation of the run times within a step, in milliseconds; 0 without measurements.
    pub fn deviation_ms(&self) -> f64 {
        if self.differences > 0.0 {
            (self.difference_squared / self.differences / 2.0).sqrt()
        } else {
            0.0
        }
    }

    /// Adds the run time that a task of `measured_ms` has spent on its worker, without the delivery of orders and
    /// reports.
    pub fn record_pure(&mut self, measured_ms: f64, pure_ms: f64) {
        self.observed_ms = self.observed_ms * RunTimes::DECAY + measured_ms;
        self.pure_ms = self.pure_ms * RunTimes::DECAY + pure_ms.min(measured_ms);
    }

    /// Returns the part of the measured run times that tasks have spent on their workers; 1 without measurements.
    ///
    /// The objective of a job counts only this part.
    pub fn pure_share(&self) -> f64 {
        if self.observed_ms > 0.0 { (self.pure_ms / self.observed_ms).clamp(0.2, 1.0) } else { 1.0 }
    }

    /// Returns the expected run time of a task, in milliseconds: the declared one times [`RunTimes::ratio`] until
    /// there are enough measurements, then the linear regression of measured on declared run times.
    ///
    /// Declared run times of a queue may be wrong by up to a factor of ten. The slope is then close to zero and the
    /// regression returns the mean; for exact ones it returns the declared run time.
    pub fn expected_ms(&self, declared_ms: f64) -> f64 {
        if self.tasks < RunTimes::REGRESSION_TASKS_MIN {
            return declared_ms * self.ratio();
        }
        let (mean_declared, mean) = (self.declared_ms / self.tasks, self.measured_ms / self.tasks);
        let variance = self.declared_squared / self.tasks - mean_declared * mean_declared;
        let covariance = self.declared_by_measured / self.tasks - mean_declared * mean;
        // Equal declared run times have no slope, up to rounding.
        let has_slope = variance > mean_declared * mean_declared * 1e-6;
        let slope = if has_slope { (covariance / variance).clamp(0.0, 5.0) } else { 0.0 };
        (mean + slope * (declared_ms - mean_declared)).max(mean * RunTimes::EXPECTED_MIN)
    }

    /// Returns the ratio of measured to declared run time, within 0.2 and 5.
    ///
    /// The ratio is taken of the sums. Declared times are wrong by up to a factor of ten, and the mean of the
    /// ratios of single tasks would be dominated by tasks whose declared time is far too short.
    pub fn ratio(&self) -> f64 {
        if self.declared_ms > 0.0 {
            (self.measured_ms / self.declared_ms).clamp(0.2, 5.0)
        } else {
            1.0
        }
    }
}
