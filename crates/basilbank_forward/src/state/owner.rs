//! Which daemon does a thing that one must do for all.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{State, peers::to_wire};

impl State {
    /// The peer that does a thing, named by a number, for all; `None` when this daemon does.
    ///
    /// It is the one with the highest hash of all that are heard and may do it, so nobody has to be asked,
    /// and a daemon that comes or goes changes it for few things.
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
