//! The line in which the drafts of all daemons wait for room.
//!
//! When a draft ends, all daemons hear of the room at the same moment. Without an order each of them
//! gives it to a draft of its own, and the endpoint gets ten drafts for the room of one: then it puts
//! drafts back whose prompts were read, and they are late. So each daemon tells which draft of its own
//! goes first, and leaves the room for a moment to each daemon whose draft goes before that one.

use std::{collections::HashMap, time::Duration};

/// What a daemon knows of the line.
#[derive(Debug, Default)]
pub struct CompletionQueue {
    /// Since when there is room at a service, by what this daemon knows.
    capacity_since: HashMap<String, Duration>,
    /// When the next draft's turn comes.
    pub(crate) next_turn: Option<Duration>,
}

impl CompletionQueue {
    /// There is room at a service, and it is left to drafts of peers for so long: when this daemon's turn
    /// comes.
    pub fn turn_at(&mut self, service: &str, wait: Duration, now: Duration) -> Duration {
        let since = match self.capacity_since.get(service) {
            Some(since) => *since,
            None => *self.capacity_since.entry(service.to_owned()).or_insert(now),
        };
        since + wait
    }

    /// A draft has taken the room, or there is none.
    pub fn clear_capacity(&mut self, service: &str) {
        self.capacity_since.remove(service);
    }
}

/// A place in the line: those that can still be on time go first, the one that is due soonest before
/// the others.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct QueuePosition {
    /// It can't be on time.
    pub late: bool,
    /// When its first token is due.
    pub due: Duration,
}

impl QueuePosition {
    /// The place of a draft that is due then, if its first token can't come before `soonest`.
    #[must_use]
    pub fn new(due: Duration, soonest: Duration) -> QueuePosition {
        QueuePosition { late: due < soonest, due }
    }
}
