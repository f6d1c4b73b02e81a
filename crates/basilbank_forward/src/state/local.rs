//! Who a daemon is, and whether it stays.

use std::{net::SocketAddr, time::Duration};

/// Which start of the system a daemon's start belongs to.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum SystemStart {
    /// The whole system starts for the first time.
    #[default]
    First,
    /// It has run before.
    Restart,
}

/// The daemon shuts down.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Leaving {
    /// When the signal came.
    pub since: Duration,
    /// When what is still in progress is cut.
    pub until: Duration,
}

/// Time after which callers no longer come to a daemon that leaves but over connections that were
/// opened before: the balancer asks once a second, and takes it out after two answers other than 200.
const BALANCER_REACTION_TIME: Duration = Duration::from_millis(2500);

impl Leaving {
    /// A call that may last until `deadline` isn't taken: it may be cut, and another daemon takes it when
    /// its caller comes back. While the balancer still sends callers here, they would probably come back
    /// here; most calls end long before their deadline, so they are taken then.
    #[must_use]
    pub fn refuses(&self, now: Duration, deadline: Duration) -> bool {
        self.since + BALANCER_REACTION_TIME <= now && self.until < deadline
    }
}

/// Who this daemon is.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Local {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Seed of its random choices.
    pub seed: u64,
    /// Its process's start, milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Which start of the system this is.
    pub start: SystemStart,
    /// Where its peers reach it.
    pub address: Option<SocketAddr>,
    /// Addresses at which peers may be found.
    pub seeds: Vec<SocketAddr>,
}

impl Local {
    /// With a name; the seed follows from it.
    #[must_use]
    pub fn with_name(mut self, name: &str) -> Local {
        name.clone_into(&mut self.name);
        self.seed ^= xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        self
    }

    /// With its process's start; random choices follow from it.
    #[must_use]
    pub fn with_incarnation(mut self, incarnation: u64) -> Local {
        self.incarnation = incarnation;
        self.seed = self.seed.wrapping_add(incarnation);
        self
    }

    /// With the start of the system that this one belongs to.
    #[must_use]
    pub fn with_start(mut self, start: SystemStart) -> Local {
        self.start = start;
        self
    }

    /// With the address at which its peers reach it.
    #[must_use]
    pub fn with_address(mut self, address: SocketAddr) -> Local {
        self.address = Some(address);
        self
    }

    /// With addresses at which peers may be found.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Local {
        self.seeds = seeds;
        self
    }

    /// With a data centre.
    #[must_use]
    pub fn with_data_centre(mut self, name: &str) -> Local {
        name.clone_into(&mut self.data_centre);
        self
    }
}
