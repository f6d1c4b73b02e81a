//! A question that is open.

use std::time::Duration;

use super::{
    ReadId,
    limits::{BEHIND, MARGIN, PATIENCE},
};
use crate::topic::Revision;

/// A question that is open.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Asked {
    pub id: ReadId,
    /// When it went out.
    pub at: Duration,
    /// When another one goes out beside it if it stays silent.
    pub overdue: Duration,
    /// When it is closed if it stays silent.
    pub end: Duration,
    /// Its answer has begun to come.
    pub begun: bool,
    /// Bytes that came.
    pub bytes: usize,
    /// It is for a page of everything.
    pub page: bool,
    /// A peer's word was its cause.
    pub urged: bool,
    /// The newest change that peers had told of when it went out.
    pub news: Revision,
}

impl Asked {
    /// The answer gets on.
    pub fn got_on(&mut self, at: Duration, bytes: usize) {
        self.begun = true;
        self.bytes = bytes;
        self.overdue = at + MARGIN;
        self.end = at + PATIENCE;
    }

    /// Its answer is on its way, however long it takes.
    pub fn is_coming(&self, now: Duration) -> bool {
        self.begun && now < self.overdue
    }

    /// Another one goes out beside it earlier, but not before its answer had the time that one takes.
    pub fn hurry(&mut self, at: Duration) {
        if !self.begun {
            self.overdue = self.overdue.min(at.max(self.at + BEHIND));
        }
    }
}
