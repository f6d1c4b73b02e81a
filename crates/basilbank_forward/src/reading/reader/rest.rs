//! A daemon of a large fleet leaves a topic to peers that watch it.

use std::time::Duration;

use super::Reader;
use crate::reading::{
    Around,
    limits::{BATCH_MANY, LOOK, SPREAD},
};

impl Reader {
    /// Peers don't watch the topic any more, or one of them was wrong to: the others may be, too.
    pub(super) fn wake(&mut self, now: Duration, around: Around) {
        if self.resting && (!around.follows || around.doubts != self.doubts) {
            self.due = self.due.min(now + around.wait.mul_f64(SPREAD));
        }
        self.doubts = around.doubts;
    }

    /// Leaves the topic to peers that watch it; true if there is nothing to ask.
    ///
    /// If each daemon of a large fleet watched, each change would end as many watches, all for the same
    /// news, and these would be most of what the store is asked.
    pub(super) fn rest(&mut self, now: Duration, around: Around) -> bool {
        let sound = !self.after.is_none() && self.asked.is_empty() && self.failures == 0;
        self.rested = std::mem::take(&mut self.resting);
        if self.rested || !(around.follows && sound) {
            return false;
        }
        if self.after < around.news {
            self.due = self.last + BATCH_MANY;
            return now < self.due;
        }
        self.resting = true;
        self.due = now + around.wait.saturating_mul(LOOK);
        true
    }
}
