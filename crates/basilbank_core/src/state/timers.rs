//! Timers of the state.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use crate::ids::{AttemptKey, EndpointId, RequestId, RequestKey};

/// Purpose of a timer. A timer whose subject no longer exists fires without effect, so timers are
/// never removed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Timer {
    /// Time limit of an attempt.
    Attempt(AttemptKey),
    /// Next step of a request: its backoff or its wait is over.
    Request(RequestKey),
    /// Votes or acknowledgements of a claim are overdue.
    Claim(RequestId),
    /// Reads the platform.
    Platform,
    /// Sends heartbeats and detects dead members.
    Heartbeat,
    /// Renews own leases of slots, expires those of others, and grants slots to waiting
    /// reservations.
    Slots,
    /// Grants slots of a prefill endpoint that is about to finish its work.
    GrantSlots(EndpointId),
    /// Renews leases of limits.
    Limits,
    /// Reads the loads of endpoints.
    Loads,
    /// Checks which orders to endpoints are due.
    Orders,
    /// Lists the streams of endpoints.
    Reap,
}

/// Timers, ordered by time.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    sequence: u64,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Duration, timer: Timer) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, timer)));
    }

    /// Returns when the next timer is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Removes and returns the next timer if it is due.
    pub fn pop_due(&mut self, mono: Duration) -> Option<Timer> {
        if mono < self.next_due()? {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, timer))| timer)
    }
}
