//! A rate that is forgotten exponentially.

use std::time::Duration;

/// What is left of a sum when the next thing comes counts as nothing: a new run begins.
const NEGLIGIBLE_SUM: f64 = 0.05;
/// A run counts as at least this share of the span, or its first call would look like a flood.
const MIN_SPAN_FRACTION: f64 = 0.25;

/// Measures how much comes in a second, over about the last `SPAN` seconds.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct RateMeter<const SPAN_SECONDS: u32> {
    sum: f64,
    updated_at: Duration,
    started_at: Duration,
}

impl<const SPAN_SECONDS: u32> RateMeter<SPAN_SECONDS> {
    /// Something comes.
    pub fn add(&mut self, amount: f64, mono: Duration) {
        let left = self.sum(mono);
        if left < NEGLIGIBLE_SUM {
            self.started_at = mono;
        }
        self.sum = left + amount;
        self.updated_at = mono;
    }

    /// What came, the older the less.
    #[must_use]
    pub fn sum(&self, mono: Duration) -> f64 {
        let passed = mono.saturating_sub(self.updated_at).as_secs_f64();
        self.sum * (-passed / f64::from(SPAN_SECONDS)).exp()
    }

    /// How much comes in a second.
    #[must_use]
    pub fn rate(&self, mono: Duration) -> f64 {
        self.sum(mono) / f64::from(SPAN_SECONDS)
    }

    /// How much comes in a second since it began to come, if that was not long ago: what had not
    /// begun yet is not averaged in.
    #[must_use]
    pub fn rate_since_start(&self, mono: Duration) -> f64 {
        let passed = mono.saturating_sub(self.started_at).as_secs_f64() / f64::from(SPAN_SECONDS);
        self.rate(mono) / (1.0 - (-passed.max(MIN_SPAN_FRACTION)).exp())
    }
}
