//! Permits that this daemon has, or has asked for, to send calls to endpoints with a limit.

use std::{collections::BTreeMap, time::Duration};

use crate::{call::RequestId, endpoint::EndpointKey};

/// How long a permit can be used: what is not used in this time may come on top of what is given then.
const PERMIT_LIFETIME: Duration = Duration::from_secs(1);

/// A question that has no answer after this is lost: some round trips.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// Pause for each peer after a permit would take too long: the one who gives them out is asked 250
/// times a second at the most, however many calls come to however many daemons.
const PAUSE_PER_PEER: Duration = Duration::from_millis(4);

/// How much longer than expected a permit is waited for.
const MAX_PERMIT_DELAY: Duration = Duration::from_millis(200);

/// All of them.
#[derive(Debug, Default)]
pub struct PermitHolder {
    permits: BTreeMap<EndpointKey, PermitState>,
    /// Calls that wait for a permit, the first one first.
    pub waiting: Vec<RequestId>,
}

#[derive(Clone, Copy, Debug, Default)]
struct PermitState {
    /// A permit that can be used until then.
    valid_until: Duration,
    /// One was asked for, and may come until then.
    requested_until: Duration,
    /// There is none before then for anybody who asks.
    unavailable_until: Duration,
    /// The longest wait that was asked for.
    max_wait: Duration,
}

impl PermitHolder {
    /// There is a permit for the endpoint.
    #[must_use]
    pub fn has_permit(&self, endpoint: EndpointKey, now: Duration) -> bool {
        self.permits.get(&endpoint).is_some_and(|permit| now < permit.valid_until)
    }

    /// Uses the permit.
    pub fn use_permit(&mut self, endpoint: EndpointKey) {
        if let Some(permit) = self.permits.get_mut(&endpoint) {
            permit.valid_until = Duration::ZERO;
        }
    }

    /// How many of these endpoints' permits may come.
    #[must_use]
    pub fn requested(&self, endpoints: &[EndpointKey], now: Duration) -> usize {
        endpoints
            .iter()
            .filter(|key| self.get(**key).is_some_and(|p| now < p.requested_until))
            .count()
    }

    /// The endpoint may have a permit for whoever asks.
    #[must_use]
    pub fn can_request(&self, endpoint: EndpointKey, now: Duration) -> bool {
        self.get(endpoint)
            .is_none_or(|permit| permit.requested_until <= now && permit.unavailable_until <= now)
    }

    /// One is asked for that may take so long.
    pub fn record_request(&mut self, endpoint: EndpointKey, max_wait: Duration, now: Duration) {
        let permit = self.permits.entry(endpoint).or_default();
        permit.requested_until = now + REQUEST_TIMEOUT;
        permit.max_wait = max_wait;
    }

    /// A permit takes so long. It is waited for, unless it takes too long; then none is asked for while so
    /// many peers do.
    pub fn apply_wait(
        &mut self,
        endpoint: EndpointKey,
        wait: Duration,
        peers: usize,
        now: Duration,
    ) {
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        let permit = self.permits.entry(endpoint).or_default();
        if wait <= permit.max_wait {
            permit.requested_until = now + wait + MAX_PERMIT_DELAY;
        } else {
            permit.requested_until = Duration::ZERO;
            permit.unavailable_until =
                now + (wait - permit.max_wait).max(PAUSE_PER_PEER.saturating_mul(peers));
        }
    }

    /// A permit has come.
    pub fn record_grant(&mut self, endpoint: EndpointKey, now: Duration) {
        let permit = self.permits.entry(endpoint).or_default();
        *permit = PermitState { valid_until: now + PERMIT_LIFETIME, ..PermitState::default() };
    }

    /// When one of these endpoints may have a permit for whoever asks.
    #[must_use]
    pub fn available_at(&self, endpoints: &[EndpointKey]) -> Duration {
        let unavailable =
            endpoints.iter().map(|key| self.get(*key).map(|permit| permit.unavailable_until));
        unavailable.map(Option::unwrap_or_default).min().unwrap_or_default()
    }

    /// The endpoint is gone, or takes as many calls as come.
    pub fn remove(&mut self, endpoint: EndpointKey) {
        self.permits.remove(&endpoint);
    }

    fn get(&self, endpoint: EndpointKey) -> Option<&PermitState> {
        self.permits.get(&endpoint)
    }
}
