//! The other daemons, and their load at endpoints.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};

use basilbank_wire::PeerAddress;

use super::{
    GenerationStats, Usage,
    bound::BoundDemand,
    demand::{DemandKey, DemandSums},
    fleet::{Fleet, FleetBasis},
    relays::Relays,
};
use crate::{
    endpoint::EndpointKey,
    rank::Rank,
    team::TeamId,
    topic::{PerTopic, Revision},
};

/// What is known of another daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The start time of its process.
    pub incarnation: u64,
    /// The sequence number of its last datagram.
    pub sequence: u64,
    /// When its last datagram arrived, from itself or through a relay.
    pub last_seen: Duration,
    /// When its last datagram arrived that came from itself.
    pub last_direct: Duration,
    /// When the first datagram of its incarnation arrived.
    pub met: Duration,
    /// Its load at endpoints.
    pub loads: Vec<Load>,
    /// The first of its waiting completions at each service.
    pub waiting: Vec<FirstWaiting>,
    /// What waits there for the endpoints of one of several versions.
    pub bound: Vec<BoundDemand>,
    /// What its completions need and use.
    pub demand: Vec<(DemandKey, DemandSums)>,
    /// The version of the configuration that it has in force; 0 until it has reported one.
    pub version: u64,
    /// Whether it watches the store for other daemons and the store answers it.
    pub watching: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Services most of whose endpoints it can't reach, as hashes of their names.
    pub unreached: Vec<u32>,
    /// The generation speed of its completions, by the hash of the service's name.
    pub generation_stats: Vec<(u32, GenerationStats)>,
    /// Hash of the name of its data centre; 0 until it has reported one.
    pub data_centre: u32,
    /// When this daemon passed one of its datagrams on.
    pub passed_on: Option<Duration>,
}

/// The first of a peer's waiting completions at a service.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct FirstWaiting {
    /// Hash of the service's name.
    pub service: u32,
    /// When its first token is due.
    pub due: Duration,
    /// Its rank; `None` where all completions are equally urgent.
    pub rank: Option<Rank>,
    /// Its team; `None` where no key is needed.
    pub team: Option<TeamId>,
    /// Whether the peer has found that it can't be on time.
    pub late: bool,
}

/// A peer's load at an endpoint.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Load {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The usage of its calls there.
    pub usage: Usage,
}

/// The other daemons, and the state of this daemon's own datagrams.
#[derive(Debug, Default)]
pub struct Peers {
    /// This daemon's own address, which peers may include among the addresses that they send.
    pub own_address: Option<SocketAddr>,
    /// The known peers by address.
    pub known: BTreeMap<SocketAddr, Peer>,
    /// When the last datagram of a known peer arrived; `None` if no peer is known.
    pub last_heard: Option<Duration>,
    /// Addresses that peers have sent and from which nothing has arrived yet, with the time until
    /// which they are tried.
    pub candidates: BTreeMap<SocketAddr, Duration>,
    /// Addresses from the settings. They are tried forever, so that a daemon that lost contact
    /// finds the others again.
    pub seeds: Vec<SocketAddr>,
    /// The number of daemons.
    pub fleet: Fleet,
    /// Number of times that a watcher has reported that it lost the store.
    pub watcher_losses: u32,
    /// The time of the last reducer step, against which the age of peers' reports is measured.
    pub now: Duration,
    /// Whether this daemon has reported that it watches the store for other daemons.
    pub watching: bool,
    /// The start time of this process.
    pub incarnation: u64,
    /// The sequence number of the last datagram that was sent.
    pub sequence: u64,
    /// When the last heartbeat, a datagram with the full state, was sent.
    pub heartbeat_sent: Duration,
    /// Size of the last heartbeat on the wire, in bytes.
    pub heartbeat_bytes: usize,
    /// The latest changes that the last heartbeat reported.
    pub sent_changes: PerTopic<Revision>,
    /// Until when the bytes sent so far use up what peers may receive from this daemon.
    pub bandwidth_used_until: Duration,
    /// When the last datagram was sent.
    pub last_sent: Duration,
    /// When addresses from which nothing has arrived were last tried.
    pub last_probe: Duration,
    /// Whether there are changes that no datagram has reported yet, such as those of this daemon's
    /// load at endpoints.
    pub changed: bool,
    /// When a step of the reducer first noticed such changes.
    pub changed_since: Option<Duration>,
    /// Whether one of these changes is urgent, such as capacity that this daemon has taken at an
    /// endpoint.
    pub urgent: bool,
    /// Mean time for which a change of this daemon stays unreported. Peers report theirs with the
    /// same delay.
    pub report_delay: Duration,
    /// The state of relaying.
    pub relays: Relays,
}

/// Maximum number of peers with which the bytes per second that a daemon receives are not limited.
pub const MAX_PEERS_UNLIMITED_GOSSIP: usize = 80;

/// Weight of a new delay in [`Peers::report_delay`]: the mean covers some ten datagrams.
const DELAY_WEIGHT: f64 = 0.1;

impl Peers {
    /// Adds a peer whose datagram has arrived, or replaces what was known of it.
    pub fn insert(&mut self, address: SocketAddr, peer: Peer) {
        self.last_heard = self.last_heard.max(Some(peer.last_seen));
        self.known.insert(address, peer);
    }

    /// Removes a peer, and returns whether it was known. From then on only the others count for
    /// when a peer was last heard.
    pub fn remove(&mut self, address: SocketAddr) -> bool {
        let Some(peer) = self.known.remove(&address) else { return false };
        if self.last_heard == Some(peer.last_seen) {
            self.last_heard = self.known.values().map(|peer| peer.last_seen).max();
        }
        true
    }

    /// Returns whether this daemon and the peers that it knows are most of the seeds. Settings without
    /// seeds name no other daemon.
    #[must_use]
    pub fn hears_most_seeds(&self) -> bool {
        let seeds: BTreeSet<_> = self.seeds.iter().collect();
        let is_heard = |at: &&&SocketAddr| {
            Some(**at) == self.own_address.as_ref() || self.known.contains_key(**at)
        };
        let heard = seeds.iter().filter(is_heard).count();
        seeds.is_empty() || seeds.len() < heard * 2
    }

    /// Returns whether this daemon hears most of the others that there have ever been. One that
    /// doesn't can't know what they decide.
    #[must_use]
    pub fn hears_majority(&self) -> bool {
        let heard = self.known.len() + 1;
        self.fleet.basis == FleetBasis::FirstStart && self.fleet.peak < heard * 2
    }

    /// Returns the hash of the name of a peer's data centre; 0 if it is unknown.
    #[must_use]
    pub fn data_centre(&self, address: SocketAddr) -> u32 {
        self.known.get(&address).map_or(0, |peer| peer.data_centre)
    }

    /// Returns the same for the peer at an IP address, whatever its port.
    #[must_use]
    pub fn data_centre_at(&self, ip: IpAddr) -> u32 {
        let first = self.known.range(SocketAddr::new(ip, 0)..).next();
        first.filter(|(at, _)| at.ip() == ip).map_or(0, |(_, peer)| peer.data_centre)
    }

    /// Returns the addresses of all known peers, sorted.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let mut all: Vec<_> = self.known.keys().copied().collect();
        all.sort_unstable();
        all
    }

    /// Records an urgent change, which the next datagram reports.
    pub fn report_soon(&mut self) {
        self.changed = true;
        self.urgent = true;
        self.relays.needs_direct = true;
    }

    /// Records that a datagram reports all changes so far.
    pub fn record_report(&mut self, now: Duration) {
        self.changed = false;
        self.urgent = false;
        if let Some(since) = self.changed_since.take() {
            // The first change waited for all of that time, the last one for none of it.
            let delay = now.saturating_sub(since) / 2;
            self.report_delay =
                self.report_delay.mul_f64(1.0 - DELAY_WEIGHT) + delay.mul_f64(DELAY_WEIGHT);
        }
    }
}

/// Returns the wire format of an address; `None` for anything but IPv4.
#[must_use]
pub fn to_wire(address: &SocketAddr) -> Option<PeerAddress> {
    let SocketAddr::V4(v4) = address else { return None };
    Some(PeerAddress { ip: v4.ip().to_bits(), port: u32::from(v4.port()) })
}

/// Returns the address that a peer has sent; `None` if the port is out of range.
#[must_use]
pub fn from_wire(address: PeerAddress) -> Option<SocketAddr> {
    let port = u16::try_from(address.port).ok()?;
    Some(SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::from_bits(address.ip), port)))
}
