//! An exponentially decaying rate.

use std::time::Duration;

/// If the decayed sum is below this, the next amount starts a new measurement.
const NEGLIGIBLE_SUM: f64 = 0.05;
/// A measurement counts as at least this fraction of the span. Otherwise its first call would look
/// like a very high rate.
const MIN_SPAN_FRACTION: f64 = 0.25;

/// Measures the rate over approximately the last `SPAN_SECONDS` seconds.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct RateMeter<const SPAN_SECONDS: u32> {
    sum: f64,
    updated_at: Duration,
    started_at: Duration,
}

impl<const SPAN_SECONDS: u32> RateMeter<SPAN_SECONDS> {
    /// Adds an amount.
    pub fn add(&mut self, amount: f64, mono: Duration) {
        let remaining = self.sum(mono);
        if remaining < NEGLIGIBLE_SUM {
            self.started_at = mono;
        }
        self.sum = remaining + amount;
        self.updated_at = mono;
    }

    /// Returns the sum of all amounts, decayed by age.
    #[must_use]
    pub fn sum(&self, mono: Duration) -> f64 {
        let passed = mono.saturating_sub(self.updated_at).as_secs_f64();
        self.sum * (-passed / f64::from(SPAN_SECONDS)).exp()
    }

    /// Returns the rate a second.
    #[must_use]
    pub fn rate(&self, mono: Duration) -> f64 {
        self.sum(mono) / f64::from(SPAN_SECONDS)
    }

    /// Returns the rate a second since the measurement began, if that was within the span: the time
    /// before it is not averaged in.
    #[must_use]
    pub fn rate_since_start(&self, mono: Duration) -> f64 {
        let passed = mono.saturating_sub(self.started_at).as_secs_f64() / f64::from(SPAN_SECONDS);
        self.rate(mono) / (1.0 - (-passed.max(MIN_SPAN_FRACTION)).exp())
    }
}
