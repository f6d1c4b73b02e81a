//! Endpoints that write bytes which belong to no request.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use basilbank_forward::prelude::*;

/// Time for which calls to such an endpoint get new connections, after the first time.
const MIN_DISTRUST: Duration = Duration::from_secs(5);

/// Maximum time, after many times.
const MAX_DISTRUST: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Distrust {
    until: Instant,
    duration: Duration,
}

/// Endpoints that were seen to write bytes which belong to no request. Each connection that has carried
/// an answer of theirs may bring another one in place of the next call's answer, and that call is lost.
#[derive(Debug, Default)]
pub struct StrayAnswers {
    distrusted: HashMap<EndpointKey, Distrust>,
}

impl StrayAnswers {
    /// Records that an endpoint has written such bytes. If it does so soon after the time for which it
    /// got new connections, that is doubled.
    pub fn record(&mut self, endpoint: EndpointKey, now: Instant) {
        let duration = match self.distrusted.get(&endpoint) {
            Some(known) if now < known.until => return,
            Some(known) if now < known.until + known.duration => known.duration * 2,
            _ => MIN_DISTRUST,
        };
        let duration = duration.min(MAX_DISTRUST);
        self.distrusted.insert(endpoint, Distrust { until: now + duration, duration });
    }

    /// Returns whether calls to the endpoint get new connections.
    #[must_use]
    pub fn is_distrusted(&self, endpoint: EndpointKey, now: Instant) -> bool {
        self.distrusted.get(&endpoint).is_some_and(|known| now < known.until)
    }

    /// Returns the number of such endpoints.
    #[must_use]
    pub fn count_distrusted(&self, now: Instant) -> usize {
        self.distrusted.values().filter(|known| now < known.until).count()
    }

    /// Forgets what is too old to matter.
    pub fn forget_old(&mut self, now: Instant) {
        self.distrusted.retain(|_, known| now < known.until + known.duration);
    }
}
