//! A token bucket.

use std::time::Duration;

/// A token bucket that may be drawn below zero once, so that one large request can pass a small
/// limit. The debt must be refilled before the next request passes.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Bucket {
    /// Current level.
    pub level: f64,
    /// When the level was last updated.
    pub filled_at: Duration,
}

impl Bucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn full(burst: f64, mono: Duration) -> Bucket {
        Bucket { level: burst, filled_at: mono }
    }

    /// Fills the bucket at `rate` a second up to `burst`.
    pub fn fill(&mut self, rate: f64, burst: f64, mono: Duration) {
        let passed = mono.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = mono;
        self.level = (self.level + rate * passed).min(burst);
    }
}
