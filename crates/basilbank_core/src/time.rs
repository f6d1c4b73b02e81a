//! Time as an input: the reducer reads no clock.

use std::time::{Duration, SystemTime};

/// One moment on the monotonic clock and on the wall clock.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Now {
    /// Time since an arbitrary start; never goes back. All decisions use it.
    pub mono: Duration,
    /// Time of day, for idempotency keys that carry a timestamp and for logs.
    pub wall: SystemTime,
}

impl Now {
    /// Returns the milliseconds since the Unix epoch, or 0 before it.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        let since = self.wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the current moment.
    fn now(&self) -> Now;
}
