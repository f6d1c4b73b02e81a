//! Relays: the peers through which this daemon's datagrams reach another data centre.
//!
//! A datagram to many peers behind an expensive link goes to one of them, which passes it on to the
//! others there.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use basilbank_wire::LoadGossip;

use super::{MAX_PEERS_UNLIMITED_GOSSIP, Peer, State, peers::from_wire, service_hash};

/// Minimum number of peers in contact in another data centre for which relays are used.
pub const MIN_RELAYS: usize = 12;

/// Time after a datagram that went directly to all peers from which the next one does too; in an
/// idle fleet every second heartbeat is direct. A peer stays in contact if one of them is lost.
pub const DIRECT_INTERVAL: Duration = Duration::from_millis(750);

/// Time after a daemon's start in which it and its peers send to each other directly, so that a
/// relay and the peers that it passes datagrams on to know the sender.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time without a direct datagram after which a peer whose datagrams still arrive through relays
/// counts as out of reach: at least three of its direct datagrams are missing. A shorter time would
/// change owners because of ordinary loss.
const REACH_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of newer datagrams that may overtake a direct one that still shows that the path
/// from its sender works.
const MAX_OVERTAKEN: u64 = 16;

/// Minimum time between two datagrams of one origin that a relay passes on, so that a peer can't
/// flood a data centre. Peers in working order wait longer between their datagrams.
const MIN_PASS_ON_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which it is kept whether there are relays. Each plain call needs it, and it is computed
/// from all peers.
const HAS_RELAYS_LIFETIME: Duration = Duration::from_millis(100);

/// The hops of a datagram that its receiver passes on.
pub const HOPS_TO_RELAY: u32 = 1;

/// Returns the hash that identifies a data centre in messages between daemons; 0 if it has no name.
#[must_use]
pub fn data_centre_hash(name: &str) -> u32 {
    if name.is_empty() { 0 } else { service_hash(name).max(1) }
}

/// The state of relaying.
#[derive(Clone, Copy, Debug, Default)]
pub struct Relays {
    /// When a datagram went directly to all peers.
    pub direct_sent: Duration,
    /// Whether the next datagram reports something that a lost relay must not delay.
    pub needs_direct: bool,
    /// Number of peers' datagrams that this daemon has passed on.
    pub passed_on: u64,
    /// Number of datagrams that were passed on to this daemon and that it dropped, and of those that
    /// it didn't pass on because their origin sends too often.
    pub dropped: u64,
    /// Whether there were relays when that was computed last, and when.
    pub computed: Option<(Duration, bool)>,
}

/// The receivers of a datagram.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Receivers {
    /// Those that get it directly.
    pub direct: Vec<SocketAddr>,
    /// Those that pass it on in their data centre, one for each.
    pub relays: Vec<SocketAddr>,
}

impl Peer {
    /// Returns whether direct messages reach this peer, as far as its datagrams show. A peer whose
    /// last datagram was direct counts as reached until it is removed.
    #[must_use]
    pub fn is_reached(&self, now: Duration) -> bool {
        self.last_seen <= self.last_direct || now < self.last_direct + REACH_TIMEOUT
    }

    /// Records that a datagram, which is too old to be read, arrived directly.
    pub(crate) fn note_overtaken(&mut self, gossip: &LoadGossip, now: Duration) {
        let is_recent = gossip.incarnation == self.incarnation
            && self.sequence.saturating_sub(gossip.sequence) <= MAX_OVERTAKEN;
        if gossip.origin.is_none() && is_recent {
            self.last_direct = now;
        }
    }

    /// Returns whether its next datagram may be passed on, and counts it as passed on if so.
    pub(crate) fn take_pass_on(&mut self, now: Duration) -> bool {
        let may_pass_on = self.passed_on.is_none_or(|at| at + MIN_PASS_ON_INTERVAL <= now);
        if may_pass_on {
            self.passed_on = Some(now);
        }
        may_pass_on
    }

    /// Returns whether it has had the time to meet the others since its start.
    fn is_settled(&self, now: Duration) -> bool {
        self.met + SETTLE_TIME <= now
    }
}

impl State {
    /// Divides the receivers of a datagram into those that get it directly and relays for the
    /// others.
    pub(crate) fn divide_receivers(
        &mut self,
        to: Vec<SocketAddr>,
        gossip: &LoadGossip,
        now: Duration,
    ) -> Receivers {
        let relays = match self.sends_directly(gossip, now) {
            true => BTreeMap::new(),
            false => self.relays_by_data_centre(now),
        };
        if relays.is_empty() {
            self.peers.relays.direct_sent = now;
            self.peers.relays.needs_direct = false;
            return Receivers { direct: to, relays: Vec::new() };
        }
        let known = &self.peers.known;
        let is_relayed = |address: &SocketAddr| {
            known
                .get(address)
                .is_some_and(|peer| peer.is_settled(now) && relays.contains_key(&peer.data_centre))
        };
        let direct = to.into_iter().filter(|address| !is_relayed(address)).collect();
        let picked = relays.values().map(|all| all[self.rng.index(all.len())]).collect();
        Receivers { direct, relays: picked }
    }

    /// Returns whether a datagram goes directly to all peers.
    fn sends_directly(&self, gossip: &LoadGossip, now: Duration) -> bool {
        let relays = &self.peers.relays;
        let has_just_started = self.started.is_none_or(|at| now < at + SETTLE_TIME);
        // These are reported a few times only.
        let reports_crash = !gossip.crashes.is_empty()
            || !gossip.cleared.is_empty()
            || !gossip.cleared_parts.is_empty();
        MAX_PEERS_UNLIMITED_GOSSIP < self.peers.known.len()
            || gossip.leaving
            || has_just_started
            || self.is_cold_start(now)
            || relays.needs_direct
            || reports_crash
            || relays.direct_sent + DIRECT_INTERVAL <= now
    }

    /// Returns whether another data centre has enough peers for relays, so that links to it count as
    /// expensive. The result is kept for a while.
    pub fn has_relays(&mut self, now: Duration) -> bool {
        if let Some((at, has_relays)) = self.peers.relays.computed
            && now < at + HAS_RELAYS_LIFETIME
        {
            return has_relays;
        }
        let has_relays = self.peers.known.len() <= MAX_PEERS_UNLIMITED_GOSSIP
            && !self.relays_by_data_centre(now).is_empty();
        self.peers.relays.computed = Some((now, has_relays));
        has_relays
    }

    /// Returns the peers that may relay, for each data centre that has enough of them.
    fn relays_by_data_centre(&self, now: Duration) -> BTreeMap<u32, Vec<SocketAddr>> {
        let own = data_centre_hash(&self.local.data_centre);
        let mut all: BTreeMap<u32, Vec<SocketAddr>> = BTreeMap::new();
        if own == 0 {
            return all;
        }
        for (address, peer) in &self.peers.known {
            let is_remote = peer.data_centre != 0 && peer.data_centre != own;
            if is_remote
                && !peer.leaving
                && peer.is_settled(now)
                && self.peers.is_in_contact(peer, now)
            {
                all.entry(peer.data_centre).or_default().push(*address);
            }
        }
        all.retain(|_, relays| MIN_RELAYS <= relays.len());
        all
    }

    /// Returns the peer that composed a datagram, or `None` if the datagram is dropped.
    ///
    /// A datagram that was passed on is accepted from a peer of this data centre, about a known peer
    /// of another one. A new start of that peer is learned from itself only, and so is its shutdown.
    pub(crate) fn gossip_origin(
        &self,
        from: SocketAddr,
        gossip: &LoadGossip,
    ) -> Option<SocketAddr> {
        let Some(origin) = gossip.origin else { return Some(from) };
        let origin = from_wire(origin)?;
        let own = data_centre_hash(&self.local.data_centre);
        let (relay, peer) = (self.peers.known.get(&from)?, self.peers.known.get(&origin)?);
        let is_valid = own != 0
            && relay.data_centre == own
            && peer.data_centre != own
            && peer.incarnation == gossip.incarnation
            && gossip.hops == 0
            && !gossip.leaving;
        is_valid.then_some(origin)
    }

    /// Returns the peers that this daemon passes a datagram on to: those of its own data centre, if
    /// the datagram comes directly from a known peer of another one.
    pub(crate) fn receivers_to_pass_on(
        &self,
        from: SocketAddr,
        gossip: &LoadGossip,
    ) -> Vec<SocketAddr> {
        let own = data_centre_hash(&self.local.data_centre);
        let Some(sender) = self.peers.known.get(&from) else { return Vec::new() };
        let is_to_relay = gossip.hops == HOPS_TO_RELAY
            && gossip.origin.is_none()
            && !gossip.leaving
            && own != 0
            && sender.data_centre != 0
            && sender.data_centre != own
            && sender.incarnation == gossip.incarnation;
        if !is_to_relay {
            return Vec::new();
        }
        let local = self.peers.known.iter().filter(|(_, peer)| peer.data_centre == own);
        local.map(|(address, _)| *address).collect()
    }
}
