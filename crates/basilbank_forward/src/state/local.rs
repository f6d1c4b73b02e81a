//! The identity of a daemon, and its shutdown.

use std::{net::SocketAddr, time::Duration};

/// Whether a daemon starts as part of the whole system's first start or of a later one.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum SystemStart {
    /// The system starts for the first time.
    #[default]
    First,
    /// The system has run before.
    Restart,
}

/// A daemon's shutdown in progress.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Leaving {
    /// When the signal was received.
    pub since: Duration,
    /// When calls that are still in progress are cut off.
    pub until: Duration,
}

/// Time after which callers reach a daemon that shuts down only over connections that are already
/// open: the load balancer sends a health check every second, and removes the daemon after two
/// answers other than 200.
const BALANCER_REACTION_TIME: Duration = Duration::from_millis(2500);

impl Leaving {
    /// Returns the time from the signal to `at`; zero if `at` was before it.
    #[must_use]
    pub fn age(&self, at: Duration) -> Duration {
        at.saturating_sub(self.since)
    }

    /// Returns whether the load balancer sends callers elsewhere by now, so that those that are
    /// refused don't come back here.
    #[must_use]
    pub fn has_left_balancer(&self, now: Duration) -> bool {
        self.since + BALANCER_REACTION_TIME <= now
    }

    /// Returns whether a call that lasts until `end` is cut off.
    #[must_use]
    pub fn ends_before(&self, end: Duration) -> bool {
        self.until < end
    }

    /// Returns whether a call that may last until `deadline` is refused. The call might be cut off,
    /// and another daemon serves it when its caller retries. While the load balancer still sends
    /// callers here, a retry would probably arrive here again; most calls end long before their
    /// deadline, so they are accepted then.
    #[must_use]
    pub fn refuses(&self, now: Duration, deadline: Duration) -> bool {
        self.has_left_balancer(now) && self.ends_before(deadline)
    }
}

/// The identity of this daemon.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Local {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// The seed of its random choices.
    pub seed: u64,
    /// The start time of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Whether it started as part of the whole system's first start or of a later one.
    pub start: SystemStart,
    /// The address at which its peers reach it.
    pub address: Option<SocketAddr>,
    /// Addresses at which peers may be found.
    pub seeds: Vec<SocketAddr>,
}

impl Local {
    /// Sets the name, from which the seed is derived.
    #[must_use]
    pub fn with_name(mut self, name: &str) -> Local {
        name.clone_into(&mut self.name);
        self.seed ^= xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        self
    }

    /// Sets the start time of the process, from which the seed is derived as well.
    #[must_use]
    pub fn with_incarnation(mut self, incarnation: u64) -> Local {
        self.incarnation = incarnation;
        self.seed = self.seed.wrapping_add(incarnation);
        self
    }

    /// Sets whether this is part of the whole system's first start or of a later one.
    #[must_use]
    pub fn with_start(mut self, start: SystemStart) -> Local {
        self.start = start;
        self
    }

    /// Sets the address at which peers reach this daemon.
    #[must_use]
    pub fn with_address(mut self, address: SocketAddr) -> Local {
        self.address = Some(address);
        self
    }

    /// Sets the addresses at which peers may be found.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Local {
        self.seeds = seeds;
        self
    }

    /// Sets the data centre.
    #[must_use]
    pub fn with_data_centre(mut self, name: &str) -> Local {
        name.clone_into(&mut self.data_centre);
        self
    }
}
