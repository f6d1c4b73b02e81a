//! An open read of the store.

use std::time::Duration;

use super::{
    ReadId,
    limits::{HEDGE_DELAY, READ_TIMEOUT, STALE_HEDGE_DELAY},
};
use crate::topic::Revision;

/// An open read of the store.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PendingRead {
    pub id: ReadId,
    /// When the read was started.
    pub started_at: Duration,
    /// When a hedged read starts if this one stays unanswered.
    pub hedge_at: Duration,
    /// When the read is closed if it stays unanswered.
    pub close_at: Duration,
    /// Whether its answer has begun to arrive.
    pub has_begun: bool,
    /// Bytes received so far.
    pub bytes: usize,
    /// Whether it is for a page of a full read.
    pub is_page: bool,
    /// Whether a peer's report triggered the read.
    pub is_prompted: bool,
    /// The newest change that peers had reported when the read was started.
    pub latest_change: Revision,
}

impl PendingRead {
    /// Records that more of the answer has arrived.
    pub fn record_progress(&mut self, at: Duration, bytes: usize) {
        self.has_begun = true;
        self.bytes = bytes;
        self.hedge_at = at + HEDGE_DELAY;
        self.close_at = at + READ_TIMEOUT;
    }

    /// Whether the answer is arriving, however long it takes.
    pub fn is_arriving(&self, now: Duration) -> bool {
        self.has_begun && now < self.hedge_at
    }

    /// Moves the hedged read forward, but leaves this read the time that an answer usually takes.
    pub fn hedge_earlier(&mut self, at: Duration) {
        if !self.has_begun {
            self.hedge_at = self.hedge_at.min(at.max(self.started_at + STALE_HEDGE_DELAY));
        }
    }
}
