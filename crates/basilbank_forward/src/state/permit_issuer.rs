//! Permits that this daemon gives out, for endpoints with a limit.
//!
//! One daemon, picked from all that are heard by each endpoint's name, gives out what the endpoint takes: one
//! permit a call. Shares of the limit would not do: with hundreds of daemons a share is less than a call in a
//! minute, and a daemon that saved it up would have it beside all others that did.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use crate::endpoint::EndpointKey;

/// Part of an endpoint's limit that is given out. The rest covers permits that are used later than they were
/// given, and a second daemon that takes itself for the one that gives them for a moment.
const ISSUED_FRACTION: f64 = 0.9;

/// Permits a second that are given out at least: an endpoint that takes none has to be asked now and then,
/// or nobody would learn that it takes calls again.
const MIN_PERMITS_PER_SECOND: f64 = 0.25;

/// Seconds of its rate that may be given out at once.
const BURST_SECONDS: f64 = 0.25;

/// Before a daemon gives out the first permit: the one that gave them before it has heard of it by then.
const FIRST_PERMIT_DELAY: Duration = Duration::from_secs(1);

/// How much longer than it bears a daemon stands in line: the datagrams' way.
const QUEUE_GRACE: Duration = Duration::from_millis(100);

/// All that is given out here.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    endpoints: BTreeMap<EndpointKey, EndpointPermits>,
}

/// Who asks for a permit.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Requester {
    /// This daemon.
    Own,
    /// A peer.
    Peer(SocketAddr),
}

/// One endpoint's permits.
#[derive(Debug)]
struct EndpointPermits {
    /// Permits a second.
    rate: f64,
    /// Permits that there are at `counted`.
    available: f64,
    updated: Duration,
    queue: VecDeque<(Requester, Duration)>,
}

impl PermitIssuer {
    /// Somebody asks for a permit, and waits for it unless that takes longer than it bears. Returns how long
    /// it takes.
    ///
    /// So those who stand in line have calls that are still there when the permit comes. A line of all who
    /// ever asked would give most permits to daemons whose callers have left.
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

    /// The next permit that can be given by now: for which endpoint, and to whom.
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

    /// When the next permit can be given.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.endpoints
            .values()
            .filter(|permits| !permits.queue.is_empty())
            .map(EndpointPermits::due)
            .min()
    }

    /// Another daemon gives out the endpoint's permits, or it takes as many calls as come.
    pub fn stop(&mut self, endpoint: EndpointKey) {
        self.endpoints.remove(&endpoint);
    }

    /// The endpoints whose permits are given out here.
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

    /// How long it takes until the one at this place in the line has its permit.
    fn wait(&self, position: usize) -> Duration {
        let missing = (position + 1) as f64 - self.available;
        Duration::from_secs_f64(missing.max(0.0) / self.rate)
    }

    fn due(&self) -> Duration {
        let missing = (1.0 - self.available).max(0.0);
        // Rounded up: a tick a moment too early would find no permit.
        self.updated + Duration::from_secs_f64(missing / self.rate) + Duration::from_micros(1)
    }
}
