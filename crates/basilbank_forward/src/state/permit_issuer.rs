//! Permits that this daemon issues, for endpoints with a call limit.
//!
//! One daemon, chosen among all known daemons by the endpoint's hash, issues permits up to the
//! endpoint's limit: one permit per call. Dividing the limit into shares would not work: with
//! hundreds of daemons a share is less than one call per minute, and if daemons accumulated their
//! shares, many could use them at the same time.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use crate::endpoint::EndpointKey;

/// Fraction of an endpoint's limit for which permits are issued. The rest covers permits that are
/// used later than they were issued, and a second daemon that briefly considers itself the issuer.
const ISSUED_FRACTION: f64 = 0.9;

/// Minimum rate of permits. An endpoint that takes no calls has to be asked from time to time, or
/// nobody would learn that it takes calls again.
const MIN_PERMITS_PER_SECOND: f64 = 0.25;

/// Permits that may be issued at once, in seconds of the endpoint's rate.
const BURST_SECONDS: f64 = 0.25;

/// Time before a new issuer issues its first permit. By then the former issuer knows about the new
/// one.
const FIRST_PERMIT_DELAY: Duration = Duration::from_secs(1);

/// Time that a daemon stays queued beyond its maximum wait, which covers the transit of the
/// datagrams.
const QUEUE_GRACE: Duration = Duration::from_millis(100);

/// The endpoints for which this daemon issues permits.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    endpoints: BTreeMap<EndpointKey, EndpointPermits>,
}

/// A daemon that requests a permit.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Requester {
    /// This daemon.
    Own,
    /// A peer.
    Peer(SocketAddr),
}

/// The permits of one endpoint.
#[derive(Debug)]
struct EndpointPermits {
    /// Permits per second.
    rate: f64,
    /// Number of available permits at `updated`.
    available: f64,
    updated: Duration,
    /// Daemons that wait for a permit, and until when.
    queue: VecDeque<(Requester, Duration)>,
}

impl PermitIssuer {
    /// Handles a request for a permit and returns the time until the permit is issued. The
    /// requester is queued unless that exceeds its maximum wait.
    ///
    /// So the daemons in the queue have calls that still wait when the permit arrives. A queue of
    /// all requesters would give most permits to daemons whose callers have left.
    pub fn request(
        &mut self,
        endpoint: EndpointKey,
        limit: f64,
        (requester, max_wait): (Requester, Duration),
        now: Duration,
    ) -> Duration {
        let new_permits = || EndpointPermits {
            rate: 0.0,
            available: 0.0,
            updated: now + FIRST_PERMIT_DELAY,
            queue: VecDeque::new(),
        };
        let permits = self.endpoints.entry(endpoint).or_insert_with(new_permits);
        permits.set_limit(limit, now);
        permits.queue.retain(|(_, until)| now < *until);
        let position = permits.queue.iter().position(|(known, _)| *known == requester);
        let wait = permits.wait(position.unwrap_or(permits.queue.len()));
        if wait <= max_wait {
            let until = now + max_wait + QUEUE_GRACE;
            match position {
                Some(position) => permits.queue[position].1 = until,
                None => permits.queue.push_back((requester, until)),
            }
        }
        wait
    }

    /// Takes the next permit that can be issued by now, and returns its endpoint and its receiver.
    pub fn issue(&mut self, now: Duration) -> Option<(EndpointKey, Requester)> {
        for (key, permits) in &mut self.endpoints {
            permits.refill(now);
            permits.queue.retain(|(_, until)| now < *until);
            if permits.available < 1.0 {
                continue;
            }
            if let Some((requester, _)) = permits.queue.pop_front() {
                permits.available -= 1.0;
                return Some((*key, requester));
            }
        }
        None
    }

    /// Returns when the next permit can be issued.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.endpoints
            .values()
            .filter(|permits| !permits.queue.is_empty())
            .map(EndpointPermits::due)
            .min()
    }

    /// Stops issuing an endpoint's permits: another daemon does, or the endpoint has no limit any
    /// more.
    pub fn stop(&mut self, endpoint: EndpointKey) {
        self.endpoints.remove(&endpoint);
    }

    /// Returns the endpoints for which this daemon issues permits.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointKey> {
        self.endpoints.keys().copied()
    }
}

impl EndpointPermits {
    fn set_limit(&mut self, limit: f64, now: Duration) {
        self.refill(now);
        self.rate = (limit * ISSUED_FRACTION).max(MIN_PERMITS_PER_SECOND);
    }

    fn refill(&mut self, now: Duration) {
        let time = now.saturating_sub(self.updated);
        self.updated = self.updated.max(now);
        let max = (self.rate * BURST_SECONDS).max(1.0);
        self.available = (self.available + time.as_secs_f64() * self.rate).min(max);
    }

    /// Returns the time until the requester at this position in the queue gets its permit.
    fn wait(&self, position: usize) -> Duration {
        let missing = (position + 1) as f64 - self.available;
        Duration::from_secs_f64(missing.max(0.0) / self.rate)
    }

    fn due(&self) -> Duration {
        let missing = (1.0 - self.available).max(0.0);
        // Rounded up, because a tick slightly too early would find no permit.
        self.updated + Duration::from_secs_f64(missing / self.rate) + Duration::from_micros(1)
    }
}
