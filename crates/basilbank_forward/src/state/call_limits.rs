//! Endpoints that limit the number of calls per second from all daemons together, as their answers
//! state.

use std::{collections::BTreeMap, time::Duration};

use crate::endpoint::EndpointKey;

/// Time after an endpoint has stated its limit during which an answer without one counts as an
/// earlier answer that arrived late.
const MAX_REORDERING: Duration = Duration::from_secs(1);

/// Time for which the daemon that sees a limit first reports it: some datagrams, also in a large
/// fleet.
const REPORT_FOR: Duration = Duration::from_secs(6);

/// Time after which a limit that all daemons know is reported again, by the daemon that sees it
/// next, for daemons that have started since.
const REPORT_AGAIN_AFTER: Duration = Duration::from_secs(3);

/// Maximum number of calls per second that a limit is taken for. Sums of rates stay finite.
pub const MAX_CALL_LIMIT: f64 = 1e9;

/// The call limits of all endpoints.
#[derive(Debug, Default)]
pub struct CallLimits {
    limits: BTreeMap<EndpointKey, CallLimit>,
}

/// The call limit that an endpoint has stated.
#[derive(Clone, Copy, Debug)]
pub struct CallLimit {
    /// Calls per second; `None` when the endpoint has no limit.
    pub rate: Option<f64>,
    /// When the endpoint last stated it.
    pub seen: Duration,
    /// When the endpoint stated the limit that was reported last, by this daemon or a peer.
    pub reported: Duration,
    /// Whether this daemon reports it.
    pub own: bool,
}

impl CallLimits {
    /// Returns whether no endpoint has stated a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the number of calls per second that the endpoint takes, if it has a limit.
    #[must_use]
    pub fn get(&self, endpoint: EndpointKey) -> Option<f64> {
        self.limits.get(&endpoint)?.rate
    }

    /// Records the limit in an answer of the endpoint, and returns whether the limit has changed.
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

    /// Applies a peer's report of a limit that it saw at `seen`, and returns whether the limit has
    /// changed.
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

    /// Returns the limits that this daemon has recently seen itself, to be reported to peers.
    pub fn to_report(&self, now: Duration) -> impl Iterator<Item = (EndpointKey, CallLimit)> {
        let is_recent = move |limit: &CallLimit| limit.own && now < limit.reported + REPORT_FOR;
        let all = self.limits.iter().map(|(key, limit)| (*key, *limit));
        all.filter(move |(_, limit)| is_recent(limit))
    }

    /// Forgets the limit of an endpoint that was removed.
    pub fn remove(&mut self, endpoint: EndpointKey) {
        self.limits.remove(&endpoint);
    }
}
