//! A clock that makes a daemon slow.

use std::{thread, time::Duration};

use basilbank::clock::SystemClock;
use basilbank_core::time::{Clock, Now};

/// The system's clock. A daemon reads it for each decision, and each reading takes some time: as on a
/// part of a processor.
#[derive(Debug, Default)]
pub struct SlowClock {
    clock: SystemClock,
    reading_time: Duration,
}

impl SlowClock {
    /// A clock whose reading takes so long.
    #[must_use]
    pub fn new(reading_time: Duration) -> SlowClock {
        SlowClock { clock: SystemClock::default(), reading_time }
    }
}

impl Clock for SlowClock {
    fn now(&self) -> Now {
        if !self.reading_time.is_zero() {
            thread::sleep(self.reading_time);
        }
        self.clock.now()
    }
}
