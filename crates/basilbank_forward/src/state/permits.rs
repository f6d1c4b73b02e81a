//! Permits that this daemon has, or has asked for, to send calls to endpoints with a limit.

use std::{collections::BTreeMap, time::Duration};

use crate::{call::RequestId, endpoint::EndpointKey};

/// How long a permit can be used: what is not used in this time may come on top of what is given then.
const USABLE: Duration = Duration::from_secs(1);

/// A question that has no answer after this is lost: some round trips.
const UNANSWERED: Duration = Duration::from_millis(150);

/// Pause for each peer after a permit would take too long: the one who gives them out is asked 250
/// times a second at the most, however many calls come to however many daemons.
const EACH_PEER: Duration = Duration::from_millis(4);

/// How much longer than expected a permit is waited for.
const LATE: Duration = Duration::from_millis(200);

/// All of them.
#[derive(Debug, Default)]
pub struct Permits {
    list: BTreeMap<EndpointKey, Stock>,
    /// Calls that wait for a permit, the first one first.
    pub waiting: Vec<RequestId>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Stock {
    /// A permit that can be used until then.
    permit: Duration,
    /// One was asked for, and may come until then.
    asked: Duration,
    /// There is none before then for anybody who asks.
    closed: Duration,
    /// The longest wait that was asked for.
    bears: Duration,
}

impl Permits {
    /// There is a permit for the endpoint.
    #[must_use]
    pub fn has(&self, endpoint: EndpointKey, now: Duration) -> bool {
        self.list.get(&endpoint).is_some_and(|stock| now < stock.permit)
    }

    /// Uses the permit.
    pub fn take(&mut self, endpoint: EndpointKey) {
        if let Some(stock) = self.list.get_mut(&endpoint) {
            stock.permit = Duration::ZERO;
        }
    }

    /// How many of these endpoints' permits may come.
    #[must_use]
    pub fn coming(&self, endpoints: &[EndpointKey], now: Duration) -> usize {
        endpoints.iter().filter(|key| self.get(**key).is_some_and(|s| now < s.asked)).count()
    }

    /// The endpoint may have a permit for whoever asks.
    #[must_use]
    pub fn is_open(&self, endpoint: EndpointKey, now: Duration) -> bool {
        self.get(endpoint).is_none_or(|stock| stock.asked <= now && stock.closed <= now)
    }

    /// One is asked for that may take so long.
    pub fn ask(&mut self, endpoint: EndpointKey, bears: Duration, now: Duration) {
        let stock = self.list.entry(endpoint).or_default();
        stock.asked = now + UNANSWERED;
        stock.bears = bears;
    }

    /// A permit takes so long. It is waited for, unless it takes too long; then none is asked for while so
    /// many peers do.
    pub fn takes(&mut self, endpoint: EndpointKey, wait: Duration, peers: usize, now: Duration) {
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        let stock = self.list.entry(endpoint).or_default();
        if wait <= stock.bears {
            stock.asked = now + wait + LATE;
        } else {
            stock.asked = Duration::ZERO;
            stock.closed = now + (wait - stock.bears).max(EACH_PEER.saturating_mul(peers));
        }
    }

    /// A permit has come.
    pub fn granted(&mut self, endpoint: EndpointKey, now: Duration) {
        let stock = self.list.entry(endpoint).or_default();
        *stock = Stock { permit: now + USABLE, ..Stock::default() };
    }

    /// When one of these endpoints may have a permit for whoever asks.
    #[must_use]
    pub fn opens(&self, endpoints: &[EndpointKey]) -> Duration {
        let closed = endpoints.iter().map(|key| self.get(*key).map(|stock| stock.closed));
        closed.map(Option::unwrap_or_default).min().unwrap_or_default()
    }

    /// The endpoint is gone, or takes as many calls as come.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.list.remove(&endpoint);
    }

    fn get(&self, endpoint: EndpointKey) -> Option<&Stock> {
        self.list.get(&endpoint)
    }
}
