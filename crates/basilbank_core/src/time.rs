//! Time, passed in.

use std::time::{Duration, SystemTime};

/// One moment, on both clocks.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Now {
    /// Since an arbitrary start; never steps back. All decisions use it.
    pub mono: Duration,
    /// The time of day, for idempotency keys that carry their time, and for logs.
    pub wall: SystemTime,
}

impl Now {
    /// Milliseconds since the Unix epoch; 0 before it.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        let since = self.wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Where the time comes from.
pub trait Clock: Send + Sync {
    /// The current moment.
    fn now(&self) -> Now;
}
