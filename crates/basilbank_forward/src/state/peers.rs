//! The other daemons, and what they have at endpoints.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};

use basilbank_wire::PeerAddress;

use super::{GenerationStats, Usage};
use crate::{
    endpoint::EndpointKey,
    topic::{PerTopic, Revision},
};

/// One other daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its process's start.
    pub incarnation: u64,
    /// Its last datagram.
    pub sequence: u64,
    /// When that came.
    pub last_seen: Duration,
    /// What it has at endpoints.
    pub loads: Vec<Load>,
    /// When the first of its waiting drafts is due, by hashes of the services' names.
    pub waiting: Vec<(u32, Duration)>,
    /// The configuration's version that it has in force; 0 while it hasn't said.
    pub version: u64,
    /// It watches the store for others, and the store answers it.
    pub watching: bool,
    /// It shuts down.
    pub leaving: bool,
    /// How fast its drafts were generated, by hashes of the services' names.
    pub generation_stats: Vec<(u32, GenerationStats)>,
}

/// What a peer has at an endpoint.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Load {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// What its calls take there.
    pub usage: Usage,
}

/// All of them, and this daemon's own datagrams.
#[derive(Debug, Default)]
pub struct Peers {
    /// This daemon's own address, which peers may name to it.
    pub own_address: Option<SocketAddr>,
    /// By address.
    pub known: HashMap<SocketAddr, Peer>,
    /// Addresses that were named by settings or peers, and from which nothing has come yet; with
    /// the time until which they are tried.
    pub candidates: HashMap<SocketAddr, Duration>,
    /// Addresses of the settings. They are tried for ever: a daemon that was cut off finds the
    /// others again through them.
    pub seeds: Vec<SocketAddr>,
    /// The most peers that were known at once.
    pub peak_count: usize,
    /// Daemons that there are, this one included: the most that were known at once, less those that have left
    /// by themselves. Those that fell silent may be cut off, and serve callers.
    pub fleet_size: usize,
    /// A daemon that started long before this one has told how many there are.
    pub fleet_reported: bool,
    /// How often one that watched the store has said that it doesn't see it any more.
    pub watcher_losses: u32,
    /// The time of the last turn: the age of peers' words is counted until then.
    pub now: Duration,
    /// This daemon has said that it watches the store for others.
    pub watching: bool,
    /// This process's start.
    pub incarnation: u64,
    /// The last datagram that was sent.
    pub sequence: u64,
    /// When the last heartbeat was sent: a datagram that tells everything.
    pub heartbeat_sent: Duration,
    /// Bytes that it took on the wire.
    pub heartbeat_bytes: usize,
    /// The news that it told.
    pub sent_changes: PerTopic<Revision>,
    /// Until then the bytes that were sent take what peers may receive.
    pub bandwidth_used_until: Duration,
    /// When it was sent.
    pub last_sent: Duration,
    /// When addresses were last tried from which nothing has come.
    pub last_probe: Duration,
    /// What this daemon has at endpoints has changed since.
    pub changed: bool,
    /// Since when, as far as a turn of the reducer tells.
    pub changed_since: Option<Duration>,
    /// It has taken room at an endpoint since.
    pub urgent: bool,
    /// How long a change of this daemon's stays untold, on average; peers tell theirs as late.
    pub report_delay: Duration,
}

/// Beyond this many peers what a daemon receives a second is bounded, whatever there is to tell.
pub const MAX_PEERS_UNLIMITED_GOSSIP: usize = 80;

/// Weight of a new delay in the mean of [`Peers::report_delay`]: some ten datagrams.
const DELAY_WEIGHT: f64 = 0.1;

impl Peers {
    /// A peer is heard, and tells how many daemons there are. One that has met them before knows better than
    /// a daemon that has just started.
    pub fn update_fleet_size(&mut self, reported: u32, is_older: bool) {
        if is_older && reported != 0 && !std::mem::replace(&mut self.fleet_reported, true) {
            self.fleet_size = self.fleet_size.max(usize::try_from(reported).unwrap_or_default());
        }
        self.fleet_size = self.fleet_size.max(self.known.len() + 1);
    }

    /// All that are known, in order.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let mut all: Vec<_> = self.known.keys().copied().collect();
        all.sort_unstable();
        all
    }

    /// There is something that peers hear of with the next datagram.
    pub fn report_soon(&mut self) {
        self.changed = true;
        self.urgent = true;
    }

    /// Changes that there are now are told.
    pub fn record_report(&mut self, now: Duration) {
        self.changed = false;
        self.urgent = false;
        if let Some(since) = self.changed_since.take() {
            // The first of them waited for all of that time, the last for none of it.
            let delay = now.saturating_sub(since) / 2;
            self.report_delay =
                self.report_delay.mul_f64(1.0 - DELAY_WEIGHT) + delay.mul_f64(DELAY_WEIGHT);
        }
    }
}

/// The address as peers tell it to each other; `None` for anything but IPv4.
#[must_use]
pub fn to_wire(address: &SocketAddr) -> Option<PeerAddress> {
    let SocketAddr::V4(v4) = address else { return None };
    Some(PeerAddress { ip: v4.ip().to_bits(), port: u32::from(v4.port()) })
}

/// The address that a peer told; `None` for a port that there can't be.
#[must_use]
pub fn from_wire(address: PeerAddress) -> Option<SocketAddr> {
    let port = u16::try_from(address.port).ok()?;
    Some(SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::from_bits(address.ip), port)))
}
