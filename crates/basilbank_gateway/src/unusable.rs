//! Unusable records of the store, and when they are logged.

use std::collections::{HashMap, VecDeque};

use basilbank::logs::Line;

/// Maximum number of log lines about records per read. Whoever fills a store with invalid records
/// must not fill the log, which is needed most at that time.
const MAX_LINES_PER_READ: usize = 20;

/// Maximum number of keys that are remembered as logged. A key that was forgotten is logged again.
const MAX_REMEMBERED_KEYS: usize = 1024;

/// Maximum size in bytes of a key or a detail. Keys of the store have at most as many.
const MAX_TEXT_BYTES: usize = 200;

/// A record of the store that can't be used.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct UnusableRecord {
    /// The record's key; empty if it can't be read.
    pub key: String,
    /// Revision of the record's last change; 0 if it can't be read.
    pub revision: u64,
    /// Why the record can't be used, as a stable name.
    pub reason: &'static str,
    /// Which part of the record is wrong, in a few words.
    pub detail: String,
}

impl UnusableRecord {
    /// Creates the description of an unusable record. Long texts are truncated, since another
    /// writer chose them.
    #[must_use]
    pub fn new(key: &str, revision: u64, reason: &'static str, detail: &str) -> UnusableRecord {
        UnusableRecord { key: truncate(key), revision, reason, detail: truncate(detail) }
    }
}

fn truncate(text: &str) -> String {
    text[..text.floor_char_boundary(MAX_TEXT_BYTES)].to_owned()
}

/// The unusable records of one topic that were seen so far. Each version of a record is logged
/// once, however often it is read.
#[derive(Debug, Default)]
pub struct UnusableRecordLog {
    /// Last logged revision of each key.
    logged_revisions: HashMap<String, u64>,
    /// Keys of that map, the oldest first.
    keys: VecDeque<String>,
    /// Number of lines logged in this read.
    line_count: usize,
    /// Number of records of this read that were not logged.
    suppressed: usize,
}

impl UnusableRecordLog {
    /// Records a version of a record. Returns whether it is seen for the first time.
    pub fn is_new(&mut self, record: &UnusableRecord) -> bool {
        match self.logged_revisions.insert(record.key.clone(), record.revision) {
            Some(logged) => logged != record.revision,
            None => {
                self.keys.push_back(record.key.clone());
                if MAX_REMEMBERED_KEYS < self.keys.len() {
                    let oldest = self.keys.pop_front();
                    oldest.and_then(|oldest| self.logged_revisions.remove(&oldest));
                }
                true
            }
        }
    }

    /// Returns the line for a new record, until the limit of this read is reached.
    pub fn log_line(&mut self, record: &UnusableRecord) -> Option<Line> {
        if self.line_count == MAX_LINES_PER_READ {
            self.suppressed += 1;
            return None;
        }
        self.line_count += 1;
        let line = Line::new("unusable_entry").with("key", &record.key);
        let line = line.with("revision", record.revision).with("reason", record.reason);
        Some(line.with("detail", &record.detail))
    }

    /// Ends the read. Returns the line that counts the records that were not logged.
    pub fn finish_read(&mut self) -> Option<Line> {
        self.line_count = 0;
        let suppressed = std::mem::take(&mut self.suppressed);
        (suppressed != 0).then(|| Line::new("unusable_entries_more").with("count", suppressed))
    }
}
