//! What is wrong with entries of the store, and when a line says so.

use std::collections::{HashMap, VecDeque};

use basilbank::logs::Line;

/// Lines about entries that one reading may write: whoever fills a store with rubbish must not fill
/// the log, which is needed most just then.
const LINES: usize = 20;

/// Entries that are remembered as told. One that was forgotten is told again.
const REMEMBERED: usize = 1024;

/// Most bytes of a key or a detail in a finding. The store's keys have at most as many.
const TEXT_BYTES: usize = 200;

/// An entry of the store that can't be used.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Finding {
    /// Its key; empty if that can't be read.
    pub key: String,
    /// The revision of its last change; 0 if that can't be read.
    pub revision: u64,
    /// Why, as a stable name.
    pub reason: &'static str,
    /// Where in it, shortly.
    pub detail: String,
}

impl Finding {
    /// A finding. Long texts are cut: another writer chose them.
    #[must_use]
    pub fn new(key: &str, revision: u64, reason: &'static str, detail: &str) -> Finding {
        Finding { key: cut(key), revision, reason, detail: cut(detail) }
    }
}

fn cut(text: &str) -> String {
    text[..text.floor_char_boundary(TEXT_BYTES)].to_owned()
}

/// The findings of one topic so far. Each version of an entry is told once, however often it is read.
#[derive(Debug, Default)]
pub struct Findings {
    /// The last revision that was told of a key.
    told: HashMap<String, u64>,
    /// Those keys, the oldest first.
    order: VecDeque<String>,
    /// Lines that this reading has written.
    lines: usize,
    /// Findings of this reading for which there was no line.
    more: usize,
}

impl Findings {
    /// Whether this version of an entry is told for the first time.
    pub fn is_new(&mut self, finding: &Finding) -> bool {
        match self.told.insert(finding.key.clone(), finding.revision) {
            Some(told) => told != finding.revision,
            None => {
                self.order.push_back(finding.key.clone());
                if REMEMBERED < self.order.len() {
                    let oldest = self.order.pop_front();
                    oldest.and_then(|oldest| self.told.remove(&oldest));
                }
                true
            }
        }
    }

    /// The line for a new finding, while there is room in this reading.
    pub fn line(&mut self, finding: &Finding) -> Option<Line> {
        if self.lines == LINES {
            self.more += 1;
            return None;
        }
        self.lines += 1;
        let line = Line::new("unusable_entry").with("key", &finding.key);
        let line = line.with("revision", finding.revision).with("reason", finding.reason);
        Some(line.with("detail", &finding.detail))
    }

    /// The reading is over: the line that counts what had none.
    pub fn end(&mut self) -> Option<Line> {
        self.lines = 0;
        let more = std::mem::take(&mut self.more);
        (more != 0).then(|| Line::new("unusable_entries_more").with("count", more))
    }
}
