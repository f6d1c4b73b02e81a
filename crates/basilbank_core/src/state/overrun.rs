//! Measures by how much work exceeds its estimated duration.

use std::time::Duration;

/// Weight of the newest sample in the moving averages.
const GAIN: f64 = 1.0 / 16.0;
/// Number of mean deviations added to the mean, so that most work takes less than promised.
const MARGIN_DEVIATIONS: f64 = 2.0;

/// Mean and mean deviation of the time by which work exceeds its estimate, in seconds.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Overrun {
    mean: f64,
    deviation: f64,
}

impl Overrun {
    /// Adds a sample: the estimated and the actual duration.
    pub fn add(&mut self, expected: Duration, took: Duration) {
        let error = took.as_secs_f64() - expected.as_secs_f64() - self.mean;
        self.mean += GAIN * error;
        self.deviation += GAIN * (error.abs() - self.deviation);
    }

    /// Returns the time to add to an estimate so that most work takes no longer.
    #[must_use]
    pub fn margin(&self) -> Duration {
        Duration::from_secs_f64((self.mean + MARGIN_DEVIATIONS * self.deviation).max(0.0))
    }
}
