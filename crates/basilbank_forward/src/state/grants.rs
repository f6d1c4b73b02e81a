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
const GIVEN: f64 = 0.9;

/// Permits a second that are given out at least: an endpoint that takes none has to be asked now and then,
/// or nobody would learn that it takes calls again.
const LEAST_RATE: f64 = 0.25;

/// Seconds of its rate that may be given out at once.
const BURST: f64 = 0.25;

/// Before a daemon gives out the first permit: the one that gave them before it has heard of it by then.
const SETTLE: Duration = Duration::from_secs(1);

/// How much longer than it bears a daemon stands in line: the datagrams' way.
const STANDS: Duration = Duration::from_millis(100);

/// All that is given out here.
#[derive(Debug, Default)]
pub struct Grants {
    desks: BTreeMap<EndpointKey, Desk>,
}

/// Who asks for a permit.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Asker {
    /// This daemon.
    Own,
    /// A peer.
    Peer(SocketAddr),
}

/// One endpoint's permits.
#[derive(Debug)]
struct Desk {
    /// Permits a second.
    rate: f64,
    /// Permits that there are at `counted`.
    permits: f64,
    counted: Duration,
    line: VecDeque<(Asker, Duration)>,
}

impl Grants {
    /// Somebody asks for a permit, and waits for it unless that takes longer than it bears. Returns how long
    /// it takes.
    ///
    /// So those who stand in line have calls that are still there when the permit comes. A line of all who
    /// ever asked would give most permits to daemons whose callers have left.
    pub fn ask(
        &mut self,
        endpoint: EndpointKey,
        limit: f64,
        (asker, bears): (Asker, Duration),
        now: Duration,
    ) -> Duration {
        let fresh =
            || Desk { rate: 0.0, permits: 0.0, counted: now + SETTLE, line: VecDeque::new() };
        let desk = self.desks.entry(endpoint).or_insert_with(fresh);
        desk.count(limit, now);
        desk.line.retain(|(_, until)| now < *until);
        let place = desk.line.iter().position(|(known, _)| *known == asker);
        let wait = desk.wait(place.unwrap_or(desk.line.len()));
        if wait <= bears {
            let until = now + bears + STANDS;
            match place {
                Some(place) => desk.line[place].1 = until,
                None => desk.line.push_back((asker, until)),
            }
        }
        wait
    }

    /// The next permit that can be given by now: for which endpoint, and to whom.
    pub fn give(&mut self, now: Duration) -> Option<(EndpointKey, Asker)> {
        for (key, desk) in &mut self.desks {
            desk.count_on(now);
            desk.line.retain(|(_, until)| now < *until);
            if desk.permits < 1.0 {
                continue;
            }
            if let Some((asker, _)) = desk.line.pop_front() {
                desk.permits -= 1.0;
                return Some((*key, asker));
            }
        }
        None
    }

    /// When the next permit can be given.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.desks.values().filter(|desk| !desk.line.is_empty()).map(Desk::due).min()
    }

    /// Another daemon gives out the endpoint's permits, or it takes as many calls as come.
    pub fn close(&mut self, endpoint: EndpointKey) {
        self.desks.remove(&endpoint);
    }

    /// The endpoints whose permits are given out here.
    pub fn open(&self) -> impl Iterator<Item = EndpointKey> {
        self.desks.keys().copied()
    }
}

impl Desk {
    fn count(&mut self, limit: f64, now: Duration) {
        self.count_on(now);
        self.rate = (limit * GIVEN).max(LEAST_RATE);
    }

    fn count_on(&mut self, now: Duration) {
        let time = now.saturating_sub(self.counted);
        self.counted = self.counted.max(now);
        let most = (self.rate * BURST).max(1.0);
        self.permits = (self.permits + time.as_secs_f64() * self.rate).min(most);
    }

    /// How long it takes until the one at this place in the line has its permit.
    fn wait(&self, place: usize) -> Duration {
        let missing = (place + 1) as f64 - self.permits;
        Duration::from_secs_f64(missing.max(0.0) / self.rate)
    }

    fn due(&self) -> Duration {
        let missing = (1.0 - self.permits).max(0.0);
        // Rounded up: a tick a moment too early would find no permit.
        self.counted + Duration::from_secs_f64(missing / self.rate) + Duration::from_micros(1)
    }
}
