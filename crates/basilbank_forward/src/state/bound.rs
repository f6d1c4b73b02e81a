//! Completions that have to go on at one of several versions of their service's endpoints.
//!
//! Their streams began at that version, so only its endpoints can serve them, while all endpoints can
//! serve a new completion. So at these endpoints they go first: new completions use other versions
//! meanwhile, and wait only if those are full. That takes little from new completions, since far fewer
//! streams come back than begin.

use std::{fmt, time::Duration};

use super::{Peer, QueuePosition, Request, State, demand::WorkAhead, held_back::MAX_URGENT_WAIT};
use crate::endpoint::{SoftwareVersion, Stage};

/// Maximum number of versions that a daemon reports, or is taken to report.
pub const MAX_REPORTED_VERSIONS: usize = 8;

/// The endpoints that a completion competes for.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Pool {
    /// The service.
    pub service: String,
    /// The version that it has to go on at, if the service's endpoints have others as well.
    pub version: Option<SoftwareVersion>,
}

impl fmt::Display for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.version {
            Some(version) => write!(f, "{}@{version}", self.service),
            None => f.write_str(&self.service),
        }
    }
}

/// What waits for the endpoints of one version.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct BoundDemand {
    /// The version. It implies the service.
    pub version: SoftwareVersion,
    /// When the first token of the first completion is due.
    pub due: Duration,
    /// Number of completions.
    pub calls: u32,
    /// Tokens that they need.
    pub tokens: u64,
}

impl State {
    /// Returns the version that a completion has to go on at, if its service's decode endpoints have
    /// others as well.
    #[must_use]
    pub fn bound_version(&self, request: &Request) -> Option<SoftwareVersion> {
        let version = request.pinned?;
        let mut decode = self.directory.in_stage(&request.service, Stage::Decode);
        decode.any(|(_, e)| e.info.software_version() != version).then_some(version)
    }

    /// Returns the endpoints that a completion competes for.
    #[must_use]
    pub fn pool(&self, request: &Request) -> Pool {
        Pool { service: request.service.clone(), version: self.bound_version(request) }
    }

    /// Returns the versions whose endpoints a completion that may use any leaves to those that wait
    /// for them, here or at peers.
    #[must_use]
    pub fn awaited_versions(&self, service: &str, now: Duration) -> Vec<SoftwareVersion> {
        let own = self.waiting.iter().filter_map(|id| self.requests.get(id));
        let own = own.filter(|request| request.service == service);
        let own = own.filter_map(|request| self.bound_version(request));
        let peers = self.bound_at_peers(now).map(|(_, demand)| demand.version);
        let mut versions: Vec<_> = own.chain(peers).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Returns the number of peers with a completion that waits for a version and is ahead of one at
    /// this position.
    #[must_use]
    pub fn peers_ahead_at(
        &self,
        version: SoftwareVersion,
        own: &QueuePosition,
        now: Duration,
    ) -> usize {
        let is_ahead = |demand: &BoundDemand| demand.version == version && demand.due < own.due;
        self.bound_at_peers(now).filter(|(_, demand)| is_ahead(demand)).count()
    }

    /// Returns the number of peers with completions that wait for a version.
    #[must_use]
    pub fn peers_waiting_at(&self, version: SoftwareVersion, now: Duration) -> u32 {
        let at_peers = self.bound_at_peers(now).filter(|(_, demand)| demand.version == version);
        u32::try_from(at_peers.count()).unwrap_or(u32::MAX)
    }

    /// Returns the work of all daemons that waits for a version ahead of a completion at this
    /// position. Of what a peer reports, all counts or nothing.
    #[must_use]
    pub fn work_ahead_at(
        &self,
        version: SoftwareVersion,
        position: &QueuePosition,
        now: Duration,
    ) -> WorkAhead {
        let soonest = now + self.tuning.first_token_delay;
        let mut ahead = WorkAhead::default();
        for request in self.waiting.iter().filter_map(|id| self.requests.get(id)) {
            let is_same = self.bound_version(request) == Some(version);
            if is_same && self.queue_position(request, soonest) < *position {
                ahead.add(1, request.needed_tokens());
            }
        }
        let is_ahead =
            |demand: &BoundDemand| demand.version == version && demand.due < position.due;
        for (_, demand) in self.bound_at_peers(now).filter(|(_, demand)| is_ahead(demand)) {
            ahead.add(demand.calls.into(), demand.tokens);
        }
        ahead
    }

    /// Returns what waits here for the endpoints of each version.
    #[must_use]
    pub fn own_bound_demand(&self) -> Vec<BoundDemand> {
        let mut all: Vec<BoundDemand> = Vec::new();
        for request in self.waiting.iter().filter_map(|id| self.requests.get(id)) {
            let Some(version) = self.bound_version(request) else { continue };
            let (due, tokens) = (request.due(), request.needed_tokens());
            match all.iter_mut().find(|demand| demand.version == version) {
                Some(demand) => {
                    demand.due = demand.due.min(due);
                    demand.calls = demand.calls.saturating_add(1);
                    demand.tokens = demand.tokens.saturating_add(tokens);
                }
                None => all.push(BoundDemand { version, due, calls: 1, tokens }),
            }
        }
        all.truncate(MAX_REPORTED_VERSIONS);
        all
    }

    /// Returns what waits at peers that have reported lately. The age bounds the effect of reports
    /// that are false or outdated.
    fn bound_at_peers(&self, now: Duration) -> impl Iterator<Item = (&Peer, &BoundDemand)> {
        let is_recent = move |peer: &&Peer| now <= peer.last_seen.saturating_add(MAX_URGENT_WAIT);
        let recent = self.peers.known.values().filter(is_recent);
        recent.flat_map(|peer| peer.bound.iter().map(move |demand| (peer, demand)))
    }
}
