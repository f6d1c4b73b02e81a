//! When the next read starts, and until when the open ones are waited for.

use std::time::Duration;

use super::Reader;
use crate::{
    reading::{
        ReadEffect,
        limits::{MIN_ROUTES_RETRY_INTERVAL, STALE_HEDGE_DELAY},
    },
    topic::Topic,
};

impl Reader {
    pub fn wake_at(&self) -> Duration {
        let close_times = self.pending.iter().map(|pending| pending.close_at);
        close_times.fold(self.next_start(), Duration::min)
    }

    /// Returns when the next read starts.
    pub(super) fn next_start(&self) -> Duration {
        if self.is_history_replaced {
            return self.earliest_start;
        }
        // Open reads get their time to answer first.
        let hedge_at = self.pending.iter().map(|pending| pending.hedge_at).max();
        let start =
            hedge_at.map_or(self.earliest_start, |hedge_at| hedge_at.max(self.earliest_start));
        let is_throttled =
            self.is_other_lost && self.topic == Topic::Routes && !self.revision.is_none();
        match is_throttled && self.failures != 0 && !self.is_early {
            true => start.max(self.last_started + MIN_ROUTES_RETRY_INTERVAL),
            false => start,
        }
    }

    /// Moves the next read forward.
    pub(super) fn start_earlier(&mut self, at: Duration) {
        for pending in &mut self.pending {
            pending.hedge_earlier(at);
        }
        self.is_early = true;
        self.earliest_start =
            self.earliest_start.min(at.max(self.last_started + STALE_HEDGE_DELAY));
    }

    /// Closes reads that got no answer for too long.
    pub(super) fn close_timed_out(&mut self, now: Duration, effects: &mut Vec<ReadEffect>) {
        let closed = self.pending.extract_if(.., |pending| pending.close_at <= now);
        effects
            .extend(closed.map(|pending| ReadEffect::Close { read: pending.id, timed_out: true }));
    }
}
