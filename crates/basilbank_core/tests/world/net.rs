//! The network: who reaches whom, how fast, and what is lost on the way.

use std::time::Duration;

use basilbank_core::prelude::*;
use prost::Message as _;

use super::{Due, World, daemon::Process};

/// Bytes around each message between daemons: IP and UDP headers, the seal, the packet's own fields.
pub const PACKET_OVERHEAD: u64 = 28 + 16 + 36;

/// Something with an address.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Node {
    /// A daemon.
    Daemon(usize),
    /// An endpoint.
    Endpoint(usize),
    /// The platform.
    Platform,
}

/// How the network between daemons misbehaves. Nothing happens to what goes over TCP.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Net {
    /// Share of messages lost.
    pub loss: f64,
    /// Share of messages that come twice.
    pub doubled: f64,
    /// Largest extra delay; different for each message, so messages overtake each other.
    pub jitter: Duration,
}

impl World {
    /// One-way time between two nodes.
    pub(super) fn latency(&self, a: Node, b: Node) -> Duration {
        match (self.centre(a), self.centre(b)) {
            (Some(a), Some(b)) if a == b => self.spec.local_latency,
            (Some(_), Some(_)) => self.spec.centre_latency,
            _ => self.spec.platform_latency,
        }
    }

    /// Whether two nodes are on the same side.
    pub(super) fn connected(&self, a: Node, b: Node) -> bool {
        self.side(a) == self.side(b)
    }

    fn centre(&self, node: Node) -> Option<usize> {
        match node {
            Node::Daemon(i) => Some(self.daemons[i].centre),
            Node::Endpoint(i) => Some(self.endpoints[i].centre),
            Node::Platform => None,
        }
    }

    pub(super) fn side(&self, node: Node) -> u8 {
        match node {
            Node::Daemon(i) => self.daemons[i].side,
            Node::Endpoint(i) => self.endpoints[i].side,
            Node::Platform => 0,
        }
    }

    /// A daemon's message to a peer.
    pub(super) fn send(&mut self, from: Process, to: VmId, message: Message) {
        let bytes = message.encoded_len() as u64 + PACKET_OVERHEAD;
        self.daemons[from.daemon].sent.add(bytes);
        let Some(peer) = self.vms.get(&to).copied() else { return };
        let (a, b) = (Node::Daemon(from.daemon), Node::Daemon(peer));
        if !self.connected(a, b) || self.daemons[peer].brain.is_none() {
            return;
        }
        let net = if is_bulk(&message) { Net::default() } else { self.net };
        if self.rng.unit() < net.loss {
            return;
        }
        let process = self.daemons[peer].process(peer);
        let sender = &self.daemons[from.daemon];
        let (vm, incarnation) = (sender.vm, sender.incarnation);
        let event = Event::Peer { from: vm, incarnation, message };
        let latency = self.latency(a, b);
        if self.rng.unit() < net.doubled {
            let delay = latency + net.jitter.mul_f64(self.rng.unit());
            self.after(delay, Due::Event(process, event.clone()));
        }
        let delay = latency + net.jitter.mul_f64(self.rng.unit());
        self.daemons[peer].received.add(bytes);
        self.after(delay, Due::Event(process, event));
    }
}

fn is_bulk(message: &Message) -> bool {
    use Body::{Catalogue, FetchCatalogue, FetchVms, Vms};
    matches!(message.body, Some(Catalogue(_) | FetchCatalogue(_) | FetchVms(_) | Vms(_)))
}
