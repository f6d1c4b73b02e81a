//! Peers that call endpoints for this daemon while its own path to them is cut, and calls that it
//! makes for peers.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::{Peer, State, service_hash};
use crate::{
    effect::Target,
    endpoint::{EndpointKey, SoftwareVersion},
    event::NotProxied,
    purpose::Purpose,
};

/// Time for which a peer that could not reach an endpoint is not asked to call it.
const AVOID_PATH: Duration = Duration::from_millis(1000);

/// Time for which a peer that could not be reached is not asked, and one that declined is not asked to
/// call that endpoint.
const AVOID_PEER: Duration = Duration::from_millis(500);

/// Time for which an endpoint that a peer has reached counts as up.
const REACHED_FOR: Duration = Duration::from_secs(3);

/// Number of peers that have to fail at an endpoint until it counts as down for all. One of them may
/// be cut off itself.
const MIN_FAILED_PEERS: usize = 2;

/// Maximum number of calls that a daemon makes for its peers at once. Each takes two file descriptors
/// and some buffers, and the daemon's own callers come first.
const MAX_SERVED: usize = 128;

/// What this daemon knows of its peers as proxies, and what it does as one.
#[derive(Debug, Default)]
pub struct Proxies {
    /// Until when peers are not asked to call an endpoint that they could not reach.
    broken_paths: BTreeMap<(EndpointKey, SocketAddr), Duration>,
    /// Until when peers are not asked at all.
    resting: BTreeMap<SocketAddr, Duration>,
    /// Until when peers are not asked to call an endpoint, since they declined: it may want a pause or leave.
    declined: BTreeMap<(EndpointKey, SocketAddr), Duration>,
    /// When a peer last reached an endpoint for this daemon.
    reached: BTreeMap<EndpointKey, Duration>,
    /// Number of calls that this daemon is making for peers.
    pub serving: usize,
}

impl Proxies {
    /// Records that a peer did not make a call to an endpoint.
    pub fn record_failure(
        &mut self,
        key: EndpointKey,
        peer: SocketAddr,
        failure: NotProxied,
        now: Duration,
    ) {
        match failure {
            NotProxied::NoPeer => {
                self.resting.insert(peer, now + AVOID_PEER);
            }
            NotProxied::Declined => {
                self.declined.insert((key, peer), now + AVOID_PEER);
            }
            NotProxied::EndpointUnreachable => {
                self.broken_paths.insert((key, peer), now + AVOID_PATH);
                self.reached.remove(&key);
            }
        }
    }

    /// Records that a peer has reached an endpoint. So the endpoint is up, whatever other peers found.
    pub fn record_success(&mut self, key: EndpointKey, peer: SocketAddr, now: Duration) {
        self.reached.insert(key, now);
        self.broken_paths.retain(|(endpoint, _), _| *endpoint != key);
        self.resting.remove(&peer);
        self.declined.remove(&(key, peer));
    }

    /// Returns whether a peer has recently reached an endpoint for this daemon, and none has failed to
    /// since.
    #[must_use]
    pub fn is_reached(&self, key: EndpointKey, now: Duration) -> bool {
        self.reached.get(&key).is_some_and(|at| now < *at + REACHED_FOR)
    }

    /// Returns whether so many peers could not reach an endpoint that it counts as down.
    #[must_use]
    pub fn is_down(&self, key: EndpointKey, now: Duration) -> bool {
        let paths = self.broken_paths.range((key, MIN_ADDRESS)..);
        let paths = paths.take_while(|((endpoint, _), _)| *endpoint == key);
        MIN_FAILED_PEERS <= paths.filter(|(_, until)| now < **until).count()
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Duration) {
        self.broken_paths.retain(|_, until| now < *until);
        self.resting.retain(|_, until| now < *until);
        self.declined.retain(|_, until| now < *until);
        self.reached.retain(|_, at| now < *at + REACHED_FOR);
    }

    fn is_resting(&self, key: EndpointKey, peer: SocketAddr, now: Duration) -> bool {
        let until = [self.resting.get(&peer), self.declined.get(&(key, peer))];
        until.into_iter().flatten().any(|until| now < *until)
    }

    fn is_path_broken(&self, key: EndpointKey, peer: SocketAddr, now: Duration) -> bool {
        self.broken_paths.get(&(key, peer)).is_some_and(|until| now < *until)
    }
}

/// The first address in the order of addresses.
const MIN_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// How calls get to an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Reach {
    /// This daemon calls it.
    Direct,
    /// A peer calls it for this daemon.
    ByPeer,
    /// No peer calls it, but it has not failed a probe of this daemon yet.
    Unproved,
    /// Neither this daemon nor its peers reach it, as far as is known.
    None,
}

impl State {
    /// Returns how calls get to an endpoint.
    #[must_use]
    pub fn reach(&self, key: EndpointKey, now: Duration) -> Reach {
        if !self.suspects.is_unreachable(key) {
            return Reach::Direct;
        }
        let Some(endpoint) = self.directory.get(key) else { return Reach::None };
        // Its machine accepts this daemon's connections, so a peer gets no answer either.
        if self.suspects.has_failed_probe(key) && self.awaits(key, now) {
            return Reach::None;
        }
        if !self.proxies.is_down(key, now) && self.has_proxy(key, &endpoint.info.service, now) {
            return Reach::ByPeer;
        }
        match self.suspects.has_failed_probe(key) {
            true => Reach::None,
            false => Reach::Unproved,
        }
    }

    /// Returns whether an endpoint that doesn't answer may do so soon: it accepts this daemon's
    /// connections, has been silent for a moment only, and answers no peer either.
    #[must_use]
    pub fn awaits(&self, key: EndpointKey, now: Duration) -> bool {
        self.suspects.may_resume(key, now) && !self.proxies.is_reached(key, now)
    }

    /// Returns what a call to an endpoint needs, and the peer that makes it if this daemon can't.
    pub(crate) fn route_to(&mut self, key: EndpointKey, now: Duration) -> Option<Target> {
        let target = self.directory.target(key)?;
        let via = match self.suspects.is_unreachable(key) {
            true => self.pick_proxy(key, now),
            false => None,
        };
        Some(Target { via, ..target })
    }

    /// Picks the peer that calls an endpoint: of two random ones the one with fewer calls for this
    /// daemon. A peer that could not reach the endpoint is picked only if there is no other.
    pub(crate) fn pick_proxy(&mut self, key: EndpointKey, now: Duration) -> Option<SocketAddr> {
        let service = service_hash(&self.directory.get(key)?.info.service);
        let mut candidates: Vec<_> = self.proxy_candidates(key, service, now).collect();
        let is_broken = |peer: &SocketAddr| self.proxies.is_path_broken(key, *peer, now);
        if !candidates.iter().all(is_broken) {
            candidates.retain(|peer| !is_broken(peer));
        }
        if candidates.is_empty() {
            return None;
        }
        let mut pick = || candidates[self.rng.index(candidates.len())];
        let (first, second) = (pick(), pick());
        let is_fewer = self.proxied_by(second) < self.proxied_by(first);
        Some(if is_fewer { second } else { first })
    }

    /// Returns whether there is a peer that has not failed to reach an endpoint.
    pub(crate) fn has_other_path(&self, key: EndpointKey, now: Duration) -> bool {
        let Some(endpoint) = self.directory.get(key) else { return false };
        let service = service_hash(&endpoint.info.service);
        let mut candidates = self.proxy_candidates(key, service, now);
        candidates.any(|peer| !self.proxies.is_path_broken(key, peer, now))
    }

    /// Returns whether a peer makes a call to an endpoint for another daemon.
    ///
    /// # Errors
    /// Returns why it doesn't.
    pub fn admit_proxied(
        &self,
        instance: &str,
        software: Option<SoftwareVersion>,
        purpose: Purpose,
        now: Duration,
    ) -> Result<Target, NotProxied> {
        let key = self.directory.find(instance).ok_or(NotProxied::Declined)?;
        // This daemon may know of a later start with another version, or not yet.
        let known = self.directory.get(key).map(|endpoint| endpoint.info.software_version());
        if software.is_some() && software != known {
            return Err(NotProxied::EndpointUnreachable);
        }
        let is_full = MAX_SERVED <= self.proxies.serving;
        if is_full || self.leaving.is_some() || !self.may_send(key, purpose, now) {
            return Err(NotProxied::Declined);
        }
        // A probe is made all the same: this daemon would learn of a return by its own probes later.
        if self.suspects.is_unreachable(key) && purpose != Purpose::Probe {
            return Err(NotProxied::EndpointUnreachable);
        }
        self.directory.target(key).ok_or(NotProxied::Declined)
    }

    fn has_proxy(&self, key: EndpointKey, service: &str, now: Duration) -> bool {
        self.proxy_candidates(key, service_hash(service), now).next().is_some()
    }

    /// Returns the peers that may call an endpoint of a service for this daemon.
    fn proxy_candidates(
        &self,
        key: EndpointKey,
        service: u32,
        now: Duration,
    ) -> impl Iterator<Item = SocketAddr> {
        let reaches = move |address: &SocketAddr| {
            let peer = self.peers.known.get(address);
            let is_usable = |peer: &Peer| !peer.leaving && peer.is_reached(now);
            peer.is_some_and(|peer| is_usable(peer) && !peer.unreached.contains(&service))
                && !self.proxies.is_resting(key, *address, now)
        };
        self.peers.known.keys().copied().filter(reaches)
    }

    /// Returns the number of calls that a peer is making for this daemon.
    fn proxied_by(&self, peer: SocketAddr) -> usize {
        let attempts = self.requests.values().flat_map(|request| &request.active_attempts);
        attempts.filter(|attempt| attempt.via == Some(peer)).count()
    }
}
