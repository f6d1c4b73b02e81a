//! Completions that have to go on at one of several versions of their service's endpoints.
//!
//! Their streams began at that version, so only its endpoints can serve them, while all endpoints can
//! serve a new completion. So at these endpoints they go first: new completions use other versions
//! meanwhile, and wait only if those are full. That takes little from new completions, since far fewer
//! streams come back than begin.

use std::{fmt, time::Duration};

use super::{
    Peer, QueuePosition, Request, State, demand::WorkAhead, held_back::MAX_URGENT_WAIT,
    service_hash,
};
use crate::endpoint::{SoftwareVersion, Stage};

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

    /// Returns the versions whose endpoints a completion leaves to those that wait for them, here or
    /// at peers. Peers count only as long as that leaves a version, since their reports may be false.
    #[must_use]
    pub fn awaited_versions(&self, request: &Request, now: Duration) -> Vec<SoftwareVersion> {
        if request.pinned.is_some() {
            return Vec::new();
        }
        let service = &request.service;
        let waiting = self.waiting.iter().filter_map(|id| self.requests.get(id));
        let waiting = waiting.filter(|other| other.service == *service);
        let own: Vec<_> = waiting.filter_map(|other| self.bound_version(other)).collect();
        let at_peers = self.bound_at_peers(service, now).map(|demand| demand.version);
        let all: Vec<_> = own.iter().copied().chain(at_peers).collect();
        let mut decode = self.directory.in_stage(service, Stage::Decode);
        match decode.any(|(_, e)| !all.contains(&e.info.software_version())) {
            true => all,
            false => own,
        }
    }

    /// Returns the number of peers with a completion that waits for the pool's version and is ahead
    /// of one at this position.
    #[must_use]
    pub fn peers_ahead_in(&self, pool: &Pool, own: &QueuePosition, now: Duration) -> usize {
        self.bound_in(pool, now).filter(|demand| demand.due < own.due).count()
    }

    /// Returns the number of peers with completions that wait for the pool's version.
    #[must_use]
    pub fn peers_waiting_in(&self, pool: &Pool, now: Duration) -> u32 {
        u32::try_from(self.bound_in(pool, now).count()).unwrap_or(u32::MAX)
    }

    /// Returns the work of all daemons that waits for the pool's version ahead of a completion at
    /// this position. Of what a peer reports, all counts or nothing.
    #[must_use]
    pub fn work_ahead_in(&self, pool: &Pool, position: &QueuePosition, now: Duration) -> WorkAhead {
        let soonest = now + self.tuning.first_token_delay;
        let mut ahead = WorkAhead::default();
        for request in self.waiting.iter().filter_map(|id| self.requests.get(id)) {
            let is_same = self.bound_version(request) == pool.version;
            let is_ahead = || self.queue_position(request, soonest) < *position;
            if request.service == pool.service && is_same && is_ahead() {
                ahead.add(1, request.needed_tokens());
            }
        }
        let memory = self.routes.engine(&pool.service).map_or(0, |e| u64::from(e.memory_tokens));
        for demand in self.bound_in(pool, now).filter(|demand| demand.due < position.due) {
            let calls = u64::from(demand.calls);
            ahead.add(calls, demand.tokens.min(calls.saturating_mul(memory)));
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
        all
    }

    /// Returns what waits for the pool's version at peers.
    fn bound_in(&self, pool: &Pool, now: Duration) -> impl Iterator<Item = &BoundDemand> {
        let version = pool.version;
        let all = self.bound_at_peers(&pool.service, now);
        all.filter(move |demand| Some(demand.version) == version)
    }

    /// Returns what waits at peers that have reported lately and can reach a service's endpoints.
    /// The limits on age and due time bound the effect of reports that are outdated or false.
    fn bound_at_peers(&self, service: &str, now: Duration) -> impl Iterator<Item = &BoundDemand> {
        let name = service_hash(service);
        let latest_due = now.saturating_add(self.longest_target(service));
        let counts = move |peer: &&Peer| {
            let is_recent = now <= peer.last_seen.saturating_add(MAX_URGENT_WAIT);
            is_recent && !peer.unreached.contains(&name)
        };
        let all = self.peers.known.values().filter(counts).flat_map(|peer| &peer.bound);
        all.filter(move |demand| demand.due <= latest_due)
    }
}
