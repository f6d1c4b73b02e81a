//! A daemon of a large fleet leaves a topic to peers that watch it.

use std::time::Duration;

use super::Reader;
use crate::reading::{
    ReaderContext,
    limits::{FOLLOWER_BATCH_PAUSE, FOLLOWER_POLL_FACTOR, RESUME_SPREAD_FRACTION},
};

impl Reader {
    /// Peers don't watch the topic any more, or one of them was wrong to: the others may be, too.
    pub(super) fn resume_reading(&mut self, now: Duration, context: ReaderContext) {
        if self.is_following
            && (!context.is_follower || context.watcher_losses != self.watcher_losses)
        {
            self.earliest_start =
                self.earliest_start.min(now + context.watch_wait.mul_f64(RESUME_SPREAD_FRACTION));
        }
        self.watcher_losses = context.watcher_losses;
    }

    /// Leaves the topic to peers that watch it; true if there is nothing to ask.
    ///
    /// If each daemon of a large fleet watched, each change would end as many watches, all for the same
    /// news, and these would be most of what the store is asked.
    pub(super) fn follow_watchers(&mut self, now: Duration, context: ReaderContext) -> bool {
        let is_healthy = !self.revision.is_none() && self.pending.is_empty() && self.failures == 0;
        self.was_following = std::mem::take(&mut self.is_following);
        if self.was_following || !(context.is_follower && is_healthy) {
            return false;
        }
        if self.revision < context.latest_change {
            self.earliest_start = self.last_started + FOLLOWER_BATCH_PAUSE;
            return now < self.earliest_start;
        }
        self.is_following = true;
        self.earliest_start = now + context.watch_wait.saturating_mul(FOLLOWER_POLL_FACTOR);
        true
    }
}
