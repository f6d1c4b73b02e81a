//! A rate that is forgotten exponentially.

use std::time::Duration;

/// Measures how much comes in a second, over about the last `SPAN` seconds.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Meter<const SPAN: u32> {
    sum: f64,
    at: Duration,
}

impl<const SPAN: u32> Meter<SPAN> {
    /// Something comes.
    pub fn add(&mut self, amount: f64, mono: Duration) {
        self.sum = self.sum(mono) + amount;
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
}
