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

    /// Returns whether a service has free capacity, as far as this daemon knows.
    #[must_use]
    pub fn has_capacity(&self, service: &str) -> bool {
        self.capacity_since.contains_key(service)
    }

    /// Records that a service has no free capacity, or that a completion has taken it.
    pub fn clear_capacity(&mut self, service: &str) {
        self.capacity_since.remove(service);
    }
}
