//! Endpoints that take so many calls a second from all daemons together, as they say in their answers.

use std::{collections::BTreeMap, time::Duration};

use crate::endpoint::EndpointKey;

/// How long after an endpoint has named its limit an answer that doesn't name it is taken for an earlier one
/// that came late.
const CROSSES: Duration = Duration::from_secs(1);

/// How long this daemon tells what it was the first to see: some datagrams, also in a large fleet.
const TOLD: Duration = Duration::from_secs(6);

/// What is known to all is told again after this, by the daemon that sees it next, for those that start.
const AGAIN: Duration = Duration::from_secs(3);

/// All of them.
#[derive(Debug, Default)]
pub struct CallLimits {
    list: BTreeMap<EndpointKey, CallLimit>,
}

/// What an endpoint has said of its limit.
#[derive(Clone, Copy, Debug)]
pub struct CallLimit {
    /// Calls a second; `None` when it takes as many as come.
    pub rate: Option<f64>,
    /// When it said so.
    pub seen: Duration,
    /// When it said what was told last, by this daemon or a peer.
    pub told: Duration,
    /// This daemon tells it.
    pub own: bool,
}

impl CallLimits {
    /// No endpoint has named a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Calls a second that the endpoint takes, if it has a limit.
    #[must_use]
    pub fn get(&self, endpoint: EndpointKey) -> Option<f64> {
        self.list.get(&endpoint)?.rate
    }

    /// Takes an answer's word in; true when it is another one than before.
    pub fn see(&mut self, endpoint: EndpointKey, rate: Option<f64>, now: Duration) -> bool {
        let before = self.list.get(&endpoint).filter(|limit| limit.rate.is_some());
        let crossed = before.is_some_and(|limit| now < limit.seen + CROSSES);
        if rate.is_none() && (before.is_none() || crossed) {
            return false;
        }
        let changed = before.and_then(|limit| limit.rate) != rate;
        let known = before.filter(|limit| !changed && now < limit.told + AGAIN);
        let (told, own) = known.map_or((now, true), |limit| (limit.told, limit.own));
        self.list.insert(endpoint, CallLimit { rate, seen: now, told, own });
        changed
    }

    /// Takes a peer's word in of what it saw at `seen`; true when it is another one than before.
    pub fn hear(&mut self, endpoint: EndpointKey, rate: Option<f64>, seen: Duration) -> bool {
        let before = self.list.get(&endpoint).copied();
        if before.is_some_and(|limit| seen <= limit.seen) {
            return false;
        }
        self.list.insert(endpoint, CallLimit { rate, seen, told: seen, own: false });
        before.and_then(|limit| limit.rate) != rate
    }

    /// What this daemon has seen lately itself.
    pub fn told(&self, now: Duration) -> impl Iterator<Item = (EndpointKey, CallLimit)> {
        let fresh = move |limit: &CallLimit| limit.own && now < limit.told + TOLD;
        let all = self.list.iter().map(|(key, limit)| (*key, *limit));
        all.filter(move |(_, limit)| fresh(limit))
    }

    /// The endpoint is gone.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.list.remove(&endpoint);
    }
}
