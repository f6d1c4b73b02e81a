//! A rate that is forgotten exponentially.

use std::time::Duration;

/// What is left of a sum when the next thing comes counts as nothing: a new run begins.
const NOTHING: f64 = 0.05;
/// A run counts as at least this share of the span, or its first call would look like a flood.
const LEAST: f64 = 0.25;

/// Measures how much comes in a second, over about the last `SPAN` seconds.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Meter<const SPAN: u32> {
    sum: f64,
    at: Duration,
    since: Duration,
}

impl<const SPAN: u32> Meter<SPAN> {
    /// Something comes.
    pub fn add(&mut self, amount: f64, mono: Duration) {
        let left = self.sum(mono);
        if left < NOTHING {
            self.since = mono;
        }
        self.sum = left + amount;
        self.at = mono;
    }

    /// What came, the older the less.
    #[must_use]
    pub fn sum(&self, mono: Duration) -> f64 {
        let passed = mono.saturating_sub(self.at).as_secs_f64();
        self.sum * (-passed / f64::from(SPAN)).exp()
    }

    /// How much comes in a second.
    #[must_use]
    pub fn rate(&self, mono: Duration) -> f64 {
        self.sum(mono) / f64::from(SPAN)
    }

    /// How much comes in a second since it began to come, if that was not long ago: what had not
    /// begun yet is not averaged in.
    #[must_use]
    pub fn fresh_rate(&self, mono: Duration) -> f64 {
        let passed = mono.saturating_sub(self.since).as_secs_f64() / f64::from(SPAN);
        self.rate(mono) / (1.0 - (-passed.max(LEAST)).exp())
    }
}
