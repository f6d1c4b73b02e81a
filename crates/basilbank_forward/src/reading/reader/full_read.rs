//! Full reads, page by page.

use std::time::Duration;

use super::Reader;
use crate::{
    reading::{ReadEffect, limits::BATCH_PAUSE},
    topic::Revision,
};

impl Reader {
    pub(super) fn handle_page(
        &mut self,
        now: Duration,
        store: u64,
        next: Option<String>,
        bytes: usize,
    ) {
        if self.page_token.is_empty() {
            (self.first_page_revision, self.pages_bytes) = (store, 0);
        }
        self.pages_bytes += bytes;
        if let Some(next) = next {
            self.page_token = next;
            return;
        }
        self.page_token.clear();
        self.full_read_bytes = self.pages_bytes;
        self.revision = self.revision_in_era(self.first_page_revision);
        self.last_full_read = Some(now);
        self.earliest_start = now;
    }

    /// Starts over with a full read: changes are unavailable, or larger than they are worth.
    pub(super) fn restart_full_read(
        &mut self,
        now: Duration,
        reason: &'static str,
        effects: &mut Vec<ReadEffect>,
    ) {
        let line = self.log_line("store_read_all").with("why", reason).with("after", self.revision);
        effects.push(ReadEffect::Log(line));
        self.close_all(effects);
        self.schedule_full_read(now);
    }

    /// Schedules a full read.
    pub(super) fn schedule_full_read(&mut self, now: Duration) {
        self.revision = Revision::NONE;
        self.page_token.clear();
        // Without this pause a store that drops its history all the time, or that changes more than
        // all its records together, would be read in a tight loop.
        self.earliest_start = self.last_full_read.map_or(now, |read| now.max(read + BATCH_PAUSE));
    }
}
