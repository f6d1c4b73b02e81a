//! Demand for an entry's limits, and shares of them, as they are sent between daemons.

use std::time::Duration;

use basilbank_wire::{AskLimit, LimitLease};

use crate::catalogue::Limits;

/// Messages carry requests a second in thousandths.
const THOUSANDTHS: f64 = 1000.0;

/// Amount of an entry's limits that a daemon wants. All zero for a daemon that only reports what it
/// took.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct LimitDemand {
    /// Requests a second.
    pub requests: f64,
    /// Tokens a second.
    pub tokens: f64,
    /// Requests in progress and waiting to start.
    pub concurrent: u32,
}

impl LimitDemand {
    /// Reads the demand from a message.
    #[must_use]
    pub fn from_ask(ask: &AskLimit) -> LimitDemand {
        LimitDemand {
            requests: ask.requests as f64 / THOUSANDTHS,
            tokens: ask.tokens as f64,
            concurrent: u32::try_from(ask.concurrent).unwrap_or(u32::MAX),
        }
    }

    /// Writes the demand into a message.
    pub fn write_to(&self, ask: &mut AskLimit) {
        ask.requests = (self.requests * THOUSANDTHS).ceil() as u64;
        ask.tokens = self.tokens.ceil() as u64;
        ask.concurrent = u64::from(self.concurrent);
    }

    /// Averages the rates of two demands. The number of concurrent requests is that of the later
    /// one.
    #[must_use]
    pub fn average_with(&self, later: &LimitDemand) -> LimitDemand {
        LimitDemand {
            requests: (self.requests + later.requests) / 2.0,
            tokens: (self.tokens + later.tokens) / 2.0,
            concurrent: later.concurrent,
        }
    }

    /// Whether the daemon wants a lease.
    #[must_use]
    pub fn wants_lease(&self) -> bool {
        0.0 < self.requests
    }
}

/// A share of an entry's limits. A part without a limit is not used.
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
    /// Takes a fraction of an entry's limits; at least one concurrent request.
    #[must_use]
    pub fn fraction(limits: &Limits, fraction: f64) -> LimitShare {
        LimitShare {
            requests: limits.requests * fraction,
            tokens: limits.tokens * fraction,
            concurrent: ((f64::from(limits.concurrent) * fraction) as u32).max(1),
        }
    }

    /// Reads the share from a message.
    #[must_use]
    pub fn from_lease(lease: &LimitLease) -> LimitShare {
        LimitShare {
            requests: lease.requests as f64 / THOUSANDTHS,
            tokens: lease.tokens as f64,
            concurrent: u32::try_from(lease.concurrent).unwrap_or(u32::MAX),
        }
    }

    /// Writes the share into a message. It is rounded down so that the sum of all shares stays
    /// within the limit.
    pub fn write_to(&self, lease: &mut LimitLease, ttl: Duration) {
        lease.requests = (self.requests * THOUSANDTHS) as u64;
        lease.tokens = self.tokens as u64;
        lease.concurrent = u64::from(self.concurrent);
        lease.ttl = u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX);
    }
}
