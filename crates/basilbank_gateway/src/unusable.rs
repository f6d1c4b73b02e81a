//! What is wrong with entries of the store, and when a line says so.

use std::collections::{HashMap, VecDeque};

use basilbank::logs::Line;

/// Lines about entries that one reading may write: whoever fills a store with rubbish must not fill
/// the log, which is needed most just then.
const MAX_LINES_PER_READ: usize = 20;

/// Entries that are remembered as told. One that was forgotten is told again.
const MAX_REMEMBERED_KEYS: usize = 1024;

/// Most bytes of a key or a detail in a finding. The store's keys have at most as many.
const MAX_TEXT_BYTES: usize = 200;

/// An entry of the store that can't be used.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct UnusableRecord {
    /// Its key; empty if that can't be read.
    pub key: String,
    /// The revision of its last change; 0 if that can't be read.
    pub revision: u64,
    /// Why, as a stable name.
    pub reason: &'static str,
    /// Where in it, shortly.
    pub detail: String,
}

impl UnusableRecord {
    /// A finding. Long texts are cut: another writer chose them.
    #[must_use]
    pub fn new(key: &str, revision: u64, reason: &'static str, detail: &str) -> UnusableRecord {
        UnusableRecord { key: truncate(key), revision, reason, detail: truncate(detail) }
    }
}

fn truncate(text: &str) -> String {
    text[..text.floor_char_boundary(MAX_TEXT_BYTES)].to_owned()
}

/// The findings of one topic so far. Each version of an entry is told once, however often it is read.
#[derive(Debug, Default)]
pub struct UnusableRecordLog {
    /// The last revision that was told of a key.
    logged_revisions: HashMap<String, u64>,
    /// Those keys, the oldest first.
    keys: VecDeque<String>,
    /// Lines that this reading has written.
    line_count: usize,
    /// Findings of this reading for which there was no line.
    suppressed: usize,
}

impl UnusableRecordLog {
    /// Whether this version of an entry is told for the first time.
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

    /// The line for a new finding, while there is room in this reading.
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

    /// The reading is over: the line that counts what had none.
    pub fn finish_read(&mut self) -> Option<Line> {
        self.line_count = 0;
        let suppressed = std::mem::take(&mut self.suppressed);
        (suppressed != 0).then(|| Line::new("unusable_entries_more").with("count", suppressed))
    }
}
