//! A question that is open.

use std::time::Duration;

use super::{
    ReadId,
    limits::{HEDGE_DELAY, READ_TIMEOUT, STALE_HEDGE_DELAY},
};
use crate::topic::Revision;

/// A question that is open.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PendingRead {
    pub id: ReadId,
    /// When it went out.
    pub started_at: Duration,
    /// When another one goes out beside it if it stays silent.
    pub hedge_at: Duration,
    /// When it is closed if it stays silent.
    pub close_at: Duration,
    /// Its answer has begun to come.
    pub has_begun: bool,
    /// Bytes that came.
    pub bytes: usize,
    /// It is for a page of everything.
    pub is_page: bool,
    /// A peer's word was its cause.
    pub is_prompted: bool,
    /// The newest change that peers had told of when it went out.
    pub latest_change: Revision,
}

impl PendingRead {
    /// The answer gets on.
    pub fn record_progress(&mut self, at: Duration, bytes: usize) {
        self.has_begun = true;
        self.bytes = bytes;
        self.hedge_at = at + HEDGE_DELAY;
        self.close_at = at + READ_TIMEOUT;
    }

    /// Its answer is on its way, however long it takes.
    pub fn is_arriving(&self, now: Duration) -> bool {
        self.has_begun && now < self.hedge_at
    }

    /// Another one goes out beside it earlier, but not before its answer had the time that one takes.
    pub fn hedge_earlier(&mut self, at: Duration) {
        if !self.has_begun {
            self.hedge_at = self.hedge_at.min(at.max(self.started_at + STALE_HEDGE_DELAY));
        }
    }
}
