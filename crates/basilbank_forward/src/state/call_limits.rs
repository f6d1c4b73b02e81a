//! Endpoints that take so many calls a second from all daemons together, as they say in their answers.

use std::{collections::BTreeMap, time::Duration};

use crate::endpoint::EndpointKey;

/// How long after an endpoint has named its limit an answer that doesn't name it is taken for an earlier one
/// that came late.
const MAX_REORDERING: Duration = Duration::from_secs(1);

/// How long this daemon tells what it was the first to see: some datagrams, also in a large fleet.
const REPORT_FOR: Duration = Duration::from_secs(6);

/// What is known to all is told again after this, by the daemon that sees it next, for those that start.
const REPORT_AGAIN_AFTER: Duration = Duration::from_secs(3);

/// All of them.
#[derive(Debug, Default)]
pub struct CallLimits {
    limits: BTreeMap<EndpointKey, CallLimit>,
}

/// What an endpoint has said of its limit.
#[derive(Clone, Copy, Debug)]
pub struct CallLimit {
    /// Calls a second; `None` when it takes as many as come.
    pub rate: Option<f64>,
    /// When it said so.
    pub seen: Duration,
    /// When it said what was told last, by this daemon or a peer.
    pub reported: Duration,
    /// This daemon tells it.
    pub own: bool,
}

impl CallLimits {
    /// No endpoint has named a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Calls a second that the endpoint takes, if it has a limit.
    #[must_use]
    pub fn get(&self, endpoint: EndpointKey) -> Option<f64> {
        self.limits.get(&endpoint)?.rate
    }

    /// Takes an answer's word in; true when it is another one than before.
    pub fn record_answer(
        &mut self,
        endpoint: EndpointKey,
        rate: Option<f64>,
        now: Duration,
    ) -> bool {
        let before = self.limits.get(&endpoint).filter(|limit| limit.rate.is_some());
        let is_late = before.is_some_and(|limit| now < limit.seen + MAX_REORDERING);
        if rate.is_none() && (before.is_none() || is_late) {
            return false;
        }
        let changed = before.and_then(|limit| limit.rate) != rate;
        let known = before.filter(|limit| !changed && now < limit.reported + REPORT_AGAIN_AFTER);
        let (reported, own) = known.map_or((now, true), |limit| (limit.reported, limit.own));
        self.limits.insert(endpoint, CallLimit { rate, seen: now, reported, own });
        changed
    }

    /// Takes a peer's word in of what it saw at `seen`; true when it is another one than before.
    pub fn apply_report(
        &mut self,
        endpoint: EndpointKey,
        rate: Option<f64>,
        seen: Duration,
    ) -> bool {
        let before = self.limits.get(&endpoint).copied();
        if before.is_some_and(|limit| seen <= limit.seen) {
            return false;
        }
        self.limits.insert(endpoint, CallLimit { rate, seen, reported: seen, own: false });
        before.and_then(|limit| limit.rate) != rate
    }

    /// What this daemon has seen lately itself.
    pub fn to_report(&self, now: Duration) -> impl Iterator<Item = (EndpointKey, CallLimit)> {
        let is_recent = move |limit: &CallLimit| limit.own && now < limit.reported + REPORT_FOR;
        let all = self.limits.iter().map(|(key, limit)| (*key, *limit));
        all.filter(move |(_, limit)| is_recent(limit))
    }

    /// The endpoint is gone.
    pub fn remove(&mut self, endpoint: EndpointKey) {
        self.limits.remove(&endpoint);
    }
}
