//! Proves that only one version can have begun a stream that nobody has a record of.

use std::time::Duration;

use crate::{
    call::RequestId,
    endpoint::SoftwareVersion,
    reason::{UnknownVersion, VersionSource},
    route::Route,
    state::{State, origins::STREAM_LIFETIME, requests::PeerVersion},
    topic::Topic,
};

/// Returns the only version that can have begun a call's stream, and how that is known.
pub fn prove(
    state: &State,
    id: RequestId,
    now: Duration,
) -> Result<(SoftwareVersion, VersionSource), UnknownVersion> {
    let request = state.requests.get(&id).ok_or(UnknownVersion::NoVersion)?;
    let versions = &state.versions;
    if versions.are_several(request.route.services(), now) {
        let stream = request.call.resumption.as_ref().and_then(|resumption| resumption.stream());
        let assigned = stream.and_then(|at| state.proven_assignment(&request.route, at, now));
        let assigned = assigned.ok_or(UnknownVersion::SeveralVersions)?;
        return match state.list_reads.confirmed_since(request.arrived) {
            Some(_) => Ok((assigned, VersionSource::Assignment)),
            None => Err(UnknownVersion::Unconfirmed),
        };
    }
    let only = versions.single(request.route.services(), now).ok_or(UnknownVersion::NoVersion)?;
    let is_remembered = versions.are_known_for(STREAM_LIFETIME, now);
    let is_confirmed = state.list_reads.confirmed_since(request.arrived).is_some();
    if is_remembered && is_confirmed {
        return Ok((only, VersionSource::List));
    }
    if !is_confirmed {
        return Err(UnknownVersion::Unconfirmed);
    }
    if request.inferred.iter().any(|peer| peer.version != only) {
        return Err(UnknownVersion::SeveralVersions);
    }
    if request.inferred.iter().any(|peer| covers_start(state, peer)) {
        return Ok((only, VersionSource::PeerList));
    }
    if state.remembers_versions(now) {
        return Err(UnknownVersion::NoPeer);
    }
    // The store is too slow to wait for.
    if state.history.is_open() {
        return Err(UnknownVersion::NoHistory);
    }
    let proven = proven_version(state, &request.route, now).ok_or(UnknownVersion::UnknownPast)?;
    Ok((proven, VersionSource::History))
}

/// Returns whether a peer's knowledge of the list reaches to where this daemon's begins.
fn covers_start(state: &State, peer: &PeerVersion) -> bool {
    let Some(first) = state.first_list.as_ref().map(|first| first.revision()) else { return false };
    first.era == peer.known_to.era && first.number <= peer.known_to.number
}

/// Returns the version of all endpoints of a route, if it is proven that there was no other one since
/// a stream may have begun that is taken up now: none of them started since, no former version is
/// known, and no endpoint was removed that nothing tells of.
fn proven_version(state: &State, route: &Route, now: Duration) -> Option<SoftwareVersion> {
    let oldest = state.unix_ms(now).saturating_sub(STREAM_LIFETIME.as_millis() as u64);
    let mut endpoints = route.services().flat_map(|service| state.directory.in_service(service));
    let is_old = |start: Option<u64>| start.is_none_or(|start| start < oldest);
    let are_old = endpoints.all(|(_, endpoint)| is_old(endpoint.info.start_time));
    let are_known = are_old && !state.versions.has_unknown(now) && is_list_complete(state, oldest);
    state.versions.single(route.services(), now).filter(|_| are_known)
}

/// Returns whether this daemon knows of all endpoints that have been removed since `oldest`, in
/// milliseconds since the Unix epoch.
fn is_list_complete(state: &State, oldest: u64) -> bool {
    let Some(first) = &state.first_list else { return false };
    let is_same_era = first.revision().era == state.directory.revision.era;
    let configuration = state.routes.revisions;
    is_same_era && first.is_complete(oldest, state.history.known_after(), configuration)
}

impl State {
    /// Returns the only version that endpoints of these services have had for as long as a stream may
    /// last, as far as this daemon can tell. Other daemons may know more.
    pub(crate) fn only_version<'a>(
        &self,
        services: impl IntoIterator<Item = &'a str>,
        now: Duration,
    ) -> Option<SoftwareVersion> {
        let is_cut_off = self.directory.store_lost
            && (self.peers.known.is_empty() || self.peers.is_isolated(now));
        if is_cut_off || self.is_stale(Topic::Endpoints) {
            return None;
        }
        self.versions.only(services.into_iter(), now)
    }
}
