//! What is due when.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use crate::ids::{AttemptKey, EndpointId, RequestId, RequestKey};

/// What a timer is for. A timer whose subject is gone fires without effect, so none is ever removed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Timer {
    /// An attempt's time limit.
    Attempt(AttemptKey),
    /// A request's next step: its backoff or its wait is over.
    Request(RequestKey),
    /// A claim's votes did not come in time.
    Claim(RequestId),
    /// Read the platform again.
    Platform,
    /// Send heartbeats, and look for pauses and dead members.
    Heartbeat,
    /// Renew leases of slots, expire those of others, grant waiting reservations.
    Slots,
    /// Grant slots of an endpoint that has done most of its work by now.
    GrantSlots(EndpointId),
    /// Renew leases of limits.
    Limits,
    /// Read endpoints' loads.
    Loads,
    /// Look for orders that are due.
    Orders,
    /// List endpoints' streams.
    Reap,
}

/// A heap of timers.
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

    /// When the next one is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Takes the next one that is due.
    pub fn pop_due(&mut self, mono: Duration) -> Option<Timer> {
        if mono < self.next_due()? {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, timer))| timer)
    }
}
