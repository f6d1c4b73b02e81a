//! Reports of peers and of the other reader that move the next read forward.

use std::time::Duration;

use super::Reader;
use crate::{
    reading::limits::{FOLLOWER_BATCH_PAUSE, SHORT_WATCH_PERIOD, STALE_HEDGE_DELAY},
    topic::Revision,
};

impl Reader {
    /// Reacts to the other reader's connection, which has stopped answering or has died.
    pub fn suspect_connection(&mut self, now: Duration) {
        self.short_watches_until = now + SHORT_WATCH_PERIOD;
        if !self.pending.is_empty() && !self.is_lost() {
            self.start_earlier(now);
        }
    }

    /// Handles a change that a peer has seen and this daemon has not: if a read gets no answer, its
    /// connection may be dead; if the store was lost, it may be back.
    pub(super) fn handle_latest_change(&mut self, now: Duration, latest_change: Revision) {
        let known = self.revision.max(self.prompted_change);
        // An answer is arriving, or the previous report triggered a read that has no answer yet: if
        // versions follow each other quickly, each report would move the next read forward.
        let is_waiting =
            self.pending.iter().any(|pending| pending.is_prompted || pending.is_arriving(now));
        if self.revision.is_none() || latest_change <= known || self.ignores_peers || is_waiting {
            return;
        }
        // In the pause after a read nothing is open, and the next read is due soon.
        if self.pending.is_empty() && !self.is_lost() {
            if self.is_following {
                self.earliest_start =
                    self.earliest_start.min(now.max(self.last_started + FOLLOWER_BATCH_PAUSE));
            }
            return;
        }
        self.prompted_change = latest_change;
        self.start_earlier(if self.is_lost() { now } else { now + STALE_HEDGE_DELAY });
    }
}
