//! The record of a case: a line for each thing that was sent, answered or run, by all processes.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Clone)]
pub struct Record(Arc<File>);

impl Record {
    pub fn open(path: &Path) -> std::io::Result<Record> {
        Ok(Record(Arc::new(OpenOptions::new().create(true).append(true).open(path)?)))
    }

    /// Writes a line, with the time of day in seconds.
    pub fn line(&self, text: &str) {
        let now = unix_ms();
        let line = format!("{}.{:03} {text}\n", now / 1000, now % 1000);
        // One write for a line, so that lines of several processes don't mix.
        let _ = (&*self.0).write_all(line.as_bytes());
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
