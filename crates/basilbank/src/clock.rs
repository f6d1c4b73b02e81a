//! The machine's clocks.

use std::time::{Instant, SystemTime};

use basilbank_core::time::{Clock, Now};

/// The machine's clocks; the monotonic one starts at zero with the value's making.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock { start: Instant::now() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Now {
        Now { mono: self.start.elapsed(), wall: SystemTime::now() }
    }
}
