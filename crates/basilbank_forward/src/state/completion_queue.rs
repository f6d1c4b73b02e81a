//! The queue in which the completions of all daemons wait for capacity.
//!
//! When a completion ends, all daemons learn of the free capacity at the same moment. Without an
//! order each of them would give it to a completion of its own, and the endpoint would get ten
//! completions for the capacity of one. It would then preempt completions whose prompts have
//! already been read, and those would be late. So each daemon reports which of its own completions
//! is first, and leaves free capacity for a moment to each daemon whose completion is ahead of its
//! own.

use std::{collections::HashMap, time::Duration};

/// What a daemon knows about the queue.
#[derive(Debug, Default)]
pub struct CompletionQueue {
    /// Since when a service has free capacity, as far as this daemon knows.
    capacity_since: HashMap<String, Duration>,
    /// When it is the next completion's turn to use free capacity.
    pub(crate) next_turn: Option<Duration>,
}

impl CompletionQueue {
    /// Returns when this daemon may use a service's free capacity, which it leaves to the
    /// completions of peers for `wait`.
    pub fn turn_at(&mut self, service: &str, wait: Duration, now: Duration) -> Duration {
        let since = match self.capacity_since.get(service) {
            Some(since) => *since,
            None => *self.capacity_since.entry(service.to_owned()).or_insert(now),
        };
        since + wait
    }

    /// Records that a service has no free capacity, or that a completion has taken it.
    pub fn clear_capacity(&mut self, service: &str) {
        self.capacity_since.remove(service);
    }
}

/// A position in the queue. Completions that can still be on time come first, those that return as
/// they were told before new ones, and then by due time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct QueuePosition {
    /// Whether the completion can't be on time.
    pub late: bool,
    /// Whether it is new, rather than one that was refused and returns as it was told.
    pub is_new: bool,
    /// When its first token is due.
    pub due: Duration,
}

impl QueuePosition {
    /// Returns the position of a completion with this due time whose first token can't come before
    /// `soonest`.
    #[must_use]
    pub fn new(due: Duration, soonest: Duration) -> QueuePosition {
        QueuePosition { late: due < soonest, is_new: true, due }
    }
}
