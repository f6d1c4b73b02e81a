//! Selects the daemon that owns a subject, by rendezvous hashing.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Peer, State, peers::to_wire};

impl State {
    /// Returns the `count` peers with the highest hashes for a subject, the highest first. Those that
    /// are leaving or out of reach are left out.
    #[must_use]
    pub fn peers_by_weight(&self, subject: u64, count: usize) -> Vec<SocketAddr> {
        let is_staying = |peer: &Peer| !peer.leaving && peer.is_reached(self.peers.now);
        let staying = self.peers.known.iter().filter(|(_, peer)| is_staying(peer));
        let mut all: Vec<_> = staying.filter_map(|(at, _)| weight(at, subject)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().take(count).map(|(_, address)| address).collect()
    }

    /// Returns the addresses of the `count` daemons with the highest hashes for a subject, which may
    /// include this daemon's own address.
    #[must_use]
    pub fn daemons_by_weight(&self, subject: u64, count: usize) -> Vec<SocketAddr> {
        let staying = self.peers.known.iter().filter(|(_, peer)| !peer.leaving);
        let addresses = staying.map(|(at, _)| at).chain(&self.peers.own_address);
        let mut all: Vec<_> = addresses.filter_map(|at| weight(at, subject)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().take(count).map(|(_, address)| address).collect()
    }

    /// Returns the peer that owns a subject, or `None` when this daemon does. `subject` is a hash
    /// that identifies it.
    ///
    /// The owner is the daemon with the highest hash among all known daemons that are eligible. So
    /// daemons needn't ask each other, and when a daemon comes or goes, only few subjects get
    /// another owner.
    #[must_use]
    pub fn remote_owner(
        &self,
        subject: u64,
        is_eligible: impl Fn(&SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        let weight = |address: &SocketAddr| weight(address, subject);
        let is_staying = |peer: &Peer| !peer.leaving && peer.is_reached(self.peers.now);
        let known = self.peers.known.iter();
        let staying = known.filter(|(at, peer)| is_staying(peer) && is_eligible(at));
        let first = staying.filter_map(|(address, _)| weight(address)).max()?;
        let own =
            self.peers.own_address.as_ref().and_then(weight).filter(|_| self.leaving.is_none());
        (own < Some(first)).then_some(first.1)
    }
}

/// Returns a daemon's hash for a subject, with its address.
fn weight(address: &SocketAddr, subject: u64) -> Option<(u64, SocketAddr)> {
    let peer = to_wire(address)?;
    let name = [peer.ip.to_be_bytes(), peer.port.to_be_bytes()].concat();
    Some((xxh3_64_with_seed(&name, subject), *address))
}
