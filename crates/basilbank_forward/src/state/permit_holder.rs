//! Permits that this daemon holds or has requested, to send calls to endpoints with a call limit.

use std::{collections::BTreeMap, time::Duration};

use crate::{call::RequestId, endpoint::EndpointKey};

/// Time for which a permit is valid. A permit that is used later would add a call to those that are
/// permitted by then.
const PERMIT_LIFETIME: Duration = Duration::from_secs(1);

/// Time after which an unanswered request counts as lost: some round trips.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// Pause, per peer, after a permit would have taken too long. It limits the requests to an issuer
/// to 250 per second, however many calls arrive at however many daemons.
const PAUSE_PER_PEER: Duration = Duration::from_millis(4);

/// Time for which a permit is awaited beyond the expected time.
const MAX_PERMIT_DELAY: Duration = Duration::from_millis(200);

/// The permits of all endpoints, and the calls that wait for one.
#[derive(Debug, Default)]
pub struct PermitHolder {
    permits: BTreeMap<EndpointKey, PermitState>,
    /// Calls that wait for a permit, in order of arrival.
    pub waiting: Vec<RequestId>,
}

/// The permit of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct PermitState {
    /// Until when the permit can be used, if there is one.
    valid_until: Duration,
    /// Until when a requested permit may arrive.
    requested_until: Duration,
    /// Until when no requester gets a permit.
    unavailable_until: Duration,
    /// The maximum wait that was requested.
    max_wait: Duration,
}

impl PermitHolder {
    /// Returns whether there is a permit for the endpoint.
    #[must_use]
    pub fn has_permit(&self, endpoint: EndpointKey, now: Duration) -> bool {
        self.permits.get(&endpoint).is_some_and(|permit| now < permit.valid_until)
    }

    /// Uses up the endpoint's permit.
    pub fn use_permit(&mut self, endpoint: EndpointKey) {
        if let Some(permit) = self.permits.get_mut(&endpoint) {
            permit.valid_until = Duration::ZERO;
        }
    }

    /// Returns the number of these endpoints for which a requested permit may still arrive.
    #[must_use]
    pub fn requested(&self, endpoints: &[EndpointKey], now: Duration) -> usize {
        endpoints
            .iter()
            .filter(|key| self.get(**key).is_some_and(|p| now < p.requested_until))
            .count()
    }

    /// Returns whether a permit can be requested for the endpoint: none is awaited, and one may be
    /// available.
    #[must_use]
    pub fn can_request(&self, endpoint: EndpointKey, now: Duration) -> bool {
        self.get(endpoint)
            .is_none_or(|permit| permit.requested_until <= now && permit.unavailable_until <= now)
    }

    /// Records a request for a permit with this maximum wait.
    pub fn record_request(&mut self, endpoint: EndpointKey, max_wait: Duration, now: Duration) {
        let permit = self.permits.entry(endpoint).or_default();
        permit.requested_until = now + REQUEST_TIMEOUT;
        permit.max_wait = max_wait;
    }

    /// Applies the issuer's answer that a permit takes `wait`. The permit is awaited, unless that
    /// exceeds the maximum wait; then none is requested for a pause that grows with the number of
    /// peers, which request permits as well.
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

    /// Records that a permit has arrived.
    pub fn record_grant(&mut self, endpoint: EndpointKey, now: Duration) {
        let permit = self.permits.entry(endpoint).or_default();
        *permit = PermitState { valid_until: now + PERMIT_LIFETIME, ..PermitState::default() };
    }

    /// Returns when one of these endpoints may have a permit available.
    #[must_use]
    pub fn available_at(&self, endpoints: &[EndpointKey]) -> Duration {
        let unavailable =
            endpoints.iter().map(|key| self.get(*key).map(|permit| permit.unavailable_until));
        unavailable.map(Option::unwrap_or_default).min().unwrap_or_default()
    }

    /// Forgets the permit of an endpoint that was removed or has no limit any more.
    pub fn remove(&mut self, endpoint: EndpointKey) {
        self.permits.remove(&endpoint);
    }

    fn get(&self, endpoint: EndpointKey) -> Option<&PermitState> {
        self.permits.get(&endpoint)
    }
}
