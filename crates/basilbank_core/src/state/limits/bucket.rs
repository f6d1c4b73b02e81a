//! A token bucket.

use std::time::Duration;

/// A bucket that fills at a rate and may be drawn below zero once, so that one large request can
/// pass a small limit; the debt is filled up before the next one passes.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Bucket {
    /// What is in it.
    pub level: f64,
    /// When it was last filled.
    pub filled_at: Duration,
}

impl Bucket {
    /// A full one.
    #[must_use]
    pub fn full(burst: f64, mono: Duration) -> Bucket {
        Bucket { level: burst, filled_at: mono }
    }

    /// Fills it at `rate` a second up to `burst`.
    pub fn fill(&mut self, rate: f64, burst: f64, mono: Duration) {
        let passed = mono.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = mono;
        self.level = (self.level + rate * passed).min(burst);
    }
}
