//! The peers' side.

use std::net::{SocketAddr, UdpSocket};

use basilbank_core::{event::Event, ids::VmId};
use basilbank_wire::Message;

/// The peers' side.
#[derive(Debug)]
pub struct Peers {
    address: SocketAddr,
}

impl Peers {
    /// Binds the peers' address.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn start(address: SocketAddr) -> anyhow::Result<Peers> {
        let socket = UdpSocket::bind(address)?;
        Ok(Peers { address: socket.local_addr()? })
    }

    /// Where peers are heard.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Learns peers' addresses from events that pass by.
    pub fn overhear(&mut self, _event: &Event) {}

    /// Queues a message.
    pub fn send(&mut self, _to: VmId, _message: Message) {}

    /// Sends what is queued.
    pub fn flush(&mut self) {}
}
