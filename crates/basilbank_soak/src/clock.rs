//! A clock whose time of day jumps.

use std::{
    fs,
    path::PathBuf,
    sync::{Mutex, PoisonError},
    time::{Duration, SystemTime},
};

use basilbank::clock::SystemClock;
use basilbank_core::time::{Clock, Now};

/// How often the file is read: a jump is seen within this.
const READ: Duration = Duration::from_millis(50);

/// The system's clock, with a time of day that is ahead by the milliseconds that a file holds.
#[derive(Debug)]
pub struct SteppedClock {
    inner: SystemClock,
    file: PathBuf,
    /// When the file was read, and how far ahead it said.
    known: Mutex<(Option<Duration>, i64)>,
}

impl SteppedClock {
    /// A clock that follows a file. Without the file it is the system's.
    #[must_use]
    pub fn new(file: PathBuf) -> SteppedClock {
        SteppedClock { inner: SystemClock::default(), file, known: Mutex::default() }
    }
}

impl Clock for SteppedClock {
    fn now(&self) -> Now {
        let now = self.inner.now();
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if known.0.is_none_or(|read| read + READ <= now.mono) {
            let text = fs::read_to_string(&self.file).unwrap_or_default();
            // A file that is being written leaves the clock as it was.
            *known = (Some(now.mono), text.trim().parse().unwrap_or(known.1));
        }
        Now { wall: moved(now.wall, known.1), ..now }
    }
}

fn moved(time: SystemTime, ahead_ms: i64) -> SystemTime {
    let by = Duration::from_millis(ahead_ms.unsigned_abs());
    if 0 <= ahead_ms { time + by } else { time - by }
}
