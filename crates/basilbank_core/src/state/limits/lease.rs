//! Parts of an entry's limit.

use std::time::Duration;

use basilbank_wire::{AskLimit, LimitLease};

use crate::catalogue::Limits;

/// Requests a second are told in thousandths.
const THOUSANDTHS: f64 = 1000.0;

/// How much of an entry is wanted. All zero for a daemon that only tells what it took.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct LimitDemand {
    /// Requests a second.
    pub requests: f64,
    /// Tokens a second.
    pub tokens: f64,
    /// Requests in progress, and those that wait to start.
    pub concurrent: u32,
}

impl LimitDemand {
    /// What a message says.
    #[must_use]
    pub fn from_ask(ask: &AskLimit) -> LimitDemand {
        LimitDemand {
            requests: ask.requests as f64 / THOUSANDTHS,
            tokens: ask.tokens as f64,
            concurrent: u32::try_from(ask.concurrent).unwrap_or(u32::MAX),
        }
    }

    /// Writes it into a message.
    pub fn write_to(&self, ask: &mut AskLimit) {
        ask.requests = (self.requests * THOUSANDTHS).ceil() as u64;
        ask.tokens = self.tokens.ceil() as u64;
        ask.concurrent = u64::from(self.concurrent);
    }

    /// The mean of two rates; requests in progress as the later one says.
    #[must_use]
    pub fn average_with(&self, later: &LimitDemand) -> LimitDemand {
        LimitDemand {
            requests: (self.requests + later.requests) / 2.0,
            tokens: (self.tokens + later.tokens) / 2.0,
            concurrent: later.concurrent,
        }
    }

    /// Whether a lease is wanted.
    #[must_use]
    pub fn wants_lease(&self) -> bool {
        0.0 < self.requests
    }
}

/// A part of an entry's limits. Where the entry has no limit, the part is not used.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct LimitShare {
    /// Requests a second.
    pub requests: f64,
    /// Tokens a second.
    pub tokens: f64,
    /// Requests in progress.
    pub concurrent: u32,
}

impl LimitShare {
    /// A fraction of an entry's whole limits; of requests in progress at least one.
    #[must_use]
    pub fn fraction(limits: &Limits, fraction: f64) -> LimitShare {
        LimitShare {
            requests: limits.requests * fraction,
            tokens: limits.tokens * fraction,
            concurrent: ((f64::from(limits.concurrent) * fraction) as u32).max(1),
        }
    }

    /// What a message says.
    #[must_use]
    pub fn from_lease(lease: &LimitLease) -> LimitShare {
        LimitShare {
            requests: lease.requests as f64 / THOUSANDTHS,
            tokens: lease.tokens as f64,
            concurrent: u32::try_from(lease.concurrent).unwrap_or(u32::MAX),
        }
    }

    /// Writes it into a message, rounded down so that all parts together stay within the whole.
    pub fn write_to(&self, lease: &mut LimitLease, ttl: Duration) {
        lease.requests = (self.requests * THOUSANDTHS) as u64;
        lease.tokens = self.tokens as u64;
        lease.concurrent = u64::from(self.concurrent);
        lease.ttl = u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX);
    }
}
