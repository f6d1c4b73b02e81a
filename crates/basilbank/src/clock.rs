//! The machine's clocks.

use std::time::{Duration, SystemTime};

use basilbank_core::time::{Clock, Now};
use rustix::time::{ClockId, clock_gettime};

/// The machine's clocks; the monotonic one starts at zero with the value's making.
///
/// It goes on while the machine is suspended: what was known before must look as old as it is, or a daemon
/// that wakes would act on it.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Duration,
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock { start: since_boot() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Now {
        Now { mono: since_boot().saturating_sub(self.start), wall: SystemTime::now() }
    }
}

/// Time since the machine's start, suspensions included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
