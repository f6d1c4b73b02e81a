//! The daemons' datagrams.

use std::{net::SocketAddr, rc::Rc};

use basilbank::logs::Line;
use basilbank_forward::Event;
use basilbank_wire::{HEADER_BYTES, LoadGossip};
use prost::Message;
use tokio::net::UdpSocket;

use crate::{router::Router, sent_bytes::SentPurpose};

/// Maximum size of a datagram that is read: it holds a thousand endpoints.
const MAX_DATAGRAM_BYTES: usize = 32 << 10;

/// Receives datagrams of peers until the task is dropped.
pub async fn receive(router: Rc<Router>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // The error reports a closed port of one peer; datagrams of the others still arrive.
            tokio::task::yield_now().await;
            continue;
        };
        match LoadGossip::decode(&buffer[..length]) {
            Ok(gossip) => router.dispatch(Event::gossip(from, gossip)),
            Err(error) => {
                log::warn!("{}", Line::new("bad_datagram").with("from", from).with("error", error));
            }
        }
    }
}

/// Sends one datagram to each peer. What can't be sent at once is lost, as datagrams may be; the
/// next one repeats the content.
pub fn send(router: &Router, socket: &UdpSocket, to: &[SocketAddr], gossip: &LoadGossip) {
    let bytes = gossip.encode_to_vec();
    let purpose = if gossip.sequence == 0 { SentPurpose::Direct } else { SentPurpose::Gossip };
    router.read(|state| {
        for address in to {
            if socket.try_send_to(&bytes, *address).is_ok() {
                let data_centre = state.peers.data_centre(*address);
                let length = bytes.len() + HEADER_BYTES;
                router.metrics.sent_bytes.count(purpose, data_centre, length);
            }
        }
    });
}
