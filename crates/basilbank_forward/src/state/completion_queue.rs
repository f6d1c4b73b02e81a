//! The queue in which the completions of all daemons wait for capacity.
//!
//! When a completion ends, all daemons learn of the free capacity at the same moment. Without an
//! order each of them would give it to a completion of its own, and the endpoint would get ten
//! completions for the capacity of one. It would then preempt completions whose prompts have
//! already been read, and those would be late. So each daemon reports which of its own completions
//! is first, and leaves free capacity for a moment to each daemon whose completion is ahead of its
//! own.

use std::{collections::HashMap, time::Duration};

use super::bound::Pool;

/// What a daemon knows about the queue.
#[derive(Debug, Default)]
pub struct CompletionQueue {
    /// Since when a pool has free capacity, as far as this daemon knows.
    capacity_since: HashMap<Pool, Duration>,
    /// When it is the next completion's turn to use free capacity.
    pub(crate) next_turn: Option<Duration>,
}

impl CompletionQueue {
    /// Returns when this daemon may use a pool's free capacity, which it leaves to the
    /// completions of peers for `wait`.
    pub fn turn_at(&mut self, pool: &Pool, wait: Duration, now: Duration) -> Duration {
        let since = match self.capacity_since.get(pool) {
            Some(since) => *since,
            None => *self.capacity_since.entry(pool.clone()).or_insert(now),
        };
        since + wait
    }

    /// Returns whether a pool has free capacity, as far as this daemon knows.
    #[must_use]
    pub fn has_capacity(&self, pool: &Pool) -> bool {
        self.capacity_since.contains_key(pool)
    }

    /// Records that a pool has no free capacity, or that a completion has taken it.
    pub fn clear_capacity(&mut self, pool: &Pool) {
        self.capacity_since.remove(pool);
    }
}
