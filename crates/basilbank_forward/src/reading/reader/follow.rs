//! In a large fleet, a daemon leaves the watching of a topic to its peers.

use std::time::Duration;

use super::Reader;
use crate::reading::{
    ReaderContext,
    limits::{FOLLOWER_BATCH_PAUSE, FOLLOWER_POLL_FACTOR, RESUME_SPREAD_FRACTION},
};

impl Reader {
    /// Moves the next read forward if peers no longer watch the topic, or if one of them has lost
    /// the store: the others may have lost it, too.
    pub(super) fn resume_reading(&mut self, now: Duration, context: ReaderContext) {
        if self.is_following
            && (!context.is_follower || context.watcher_losses != self.watcher_losses)
        {
            self.earliest_start =
                self.earliest_start.min(now + context.watch_wait.mul_f64(RESUME_SPREAD_FRACTION));
        }
        self.watcher_losses = context.watcher_losses;
    }

    /// Leaves the topic to the peers that watch it; returns true if no read is needed now.
    ///
    /// If each daemon of a large fleet watched, each change would end as many watches, all for the
    /// same change, and these would be most of the store's load.
    pub(super) fn follow_watchers(&mut self, now: Duration, context: ReaderContext) -> bool {
        let can_follow = !self.revision.is_none() && self.pending.is_empty() && self.failures == 0;
        self.was_following = std::mem::take(&mut self.is_following);
        if self.was_following || !(context.is_follower && can_follow) {
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
