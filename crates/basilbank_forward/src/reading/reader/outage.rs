//! Outages of the store: failed reads, and the first answer after them.

use std::time::Duration;

use super::Reader;
use crate::{
    reading::{
        ReadEffect,
        limits::{SHORT_WATCH_PERIOD, backoff},
        pending::PendingRead,
    },
    topic::Revision,
};

impl Reader {
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    pub fn lost_since(&self) -> Option<Duration> {
        self.lost_since
    }

    pub(super) fn record_success(
        &mut self,
        now: Duration,
        pending: &PendingRead,
        bytes: usize,
        effects: &mut Vec<ReadEffect>,
    ) {
        self.close_all(effects);
        if let Some(lost) = self.lost_since.take() {
            let line = self.log_line("store_regained").with("failures", self.failures);
            let line = line
                .with("bytes", bytes)
                .with_ms("took_ms", now.saturating_sub(pending.started_at));
            let line = line.with_ms("lost_ms", now.saturating_sub(lost));
            effects.push(ReadEffect::Log(line));
        }
        // At the start there are no failures, just nothing to read yet.
        if self.failures != 0 && !self.revision.is_none() {
            self.short_watches_until = now + SHORT_WATCH_PERIOD;
        }
        (self.failures, self.refusals) = (0, 0);
        self.prompted_change = Revision::NONE;
        self.ignores_peers = false;
        self.is_early = false;
        self.earliest_start = now;
    }

    pub(super) fn record_failure(
        &mut self,
        now: Duration,
        pending: &PendingRead,
        error: &str,
        effects: &mut Vec<ReadEffect>,
    ) {
        self.ignores_peers |= pending.is_prompted;
        self.is_early = false;
        self.mark_lost(now, pending, error, effects);
        self.failures += 1;
        // Connections that can't be made fail one after the other, long after they were started: if
        // each led to a pause, the pauses would follow each other without a read between them.
        if pending.started_at == self.last_started {
            self.refusals += 1;
            self.earliest_start = now + backoff(self.refusals);
        }
    }

    pub(super) fn mark_lost(
        &mut self,
        now: Duration,
        pending: &PendingRead,
        error: &str,
        effects: &mut Vec<ReadEffect>,
    ) {
        if self.is_lost() {
            return;
        }
        self.lost_since = Some(now);
        let line = self.log_line("store_lost").with("error", error);
        let line = line.with_ms("took_ms", now.saturating_sub(pending.started_at));
        effects.push(ReadEffect::Log(line.with("bytes", pending.bytes)));
        effects.push(ReadEffect::StoreLost);
    }
}
