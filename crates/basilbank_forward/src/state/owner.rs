//! Selects the daemon that owns a subject, by rendezvous hashing.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{State, peers::to_wire};

impl State {
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
        let weight = |address: &SocketAddr| {
            let peer = to_wire(address)?;
            let name = [peer.ip.to_be_bytes(), peer.port.to_be_bytes()].concat();
            Some((xxh3_64_with_seed(&name, subject), *address))
        };
        let staying = self.peers.known.iter().filter(|(at, peer)| !peer.leaving && is_eligible(at));
        let first = staying.filter_map(|(address, _)| weight(address)).max()?;
        let own =
            self.peers.own_address.as_ref().and_then(weight).filter(|_| self.leaving.is_none());
        (own < Some(first)).then_some(first.1)
    }
}
