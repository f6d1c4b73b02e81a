//! Endpoints that take so many calls a second from all daemons together, as they say in their answers.

use std::{collections::BTreeMap, time::Duration};

use crate::endpoint::EndpointKey;

/// How long after an endpoint has named its limit an answer that doesn't name it is taken for an earlier one
/// that came late.
const CROSSES: Duration = Duration::from_secs(1);

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
}

impl CallLimits {
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
        self.list.insert(endpoint, CallLimit { rate, seen: now });
        changed
    }

    /// The endpoint is gone.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.list.remove(&endpoint);
    }
}
