//! The daemons' datagrams.

use std::{net::SocketAddr, rc::Rc};

use basilbank::logs::Line;
use basilbank_forward::Event;
use basilbank_wire::LoadGossip;
use prost::Message;
use tokio::net::UdpSocket;

use crate::router::Router;

/// Largest datagram that is read: a thousand endpoints.
const DATAGRAM: usize = 32 << 10;

/// Hears peers until the task is dropped.
pub async fn hear(router: Rc<Router>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // A peer's port was closed; the others' datagrams go on.
            tokio::task::yield_now().await;
            continue;
        };
        match LoadGossip::decode(&buffer[..length]) {
            Ok(beat) => router.dispatch(Event::gossip(from, beat)),
            Err(error) => {
                log::warn!("{}", Line::new("bad_datagram").with("from", from).with("error", error));
            }
        }
    }
}

/// Sends one datagram to each. What can't be sent at once is lost, as datagrams may be; the next
/// one says it all again.
pub fn say(socket: &UdpSocket, to: &[SocketAddr], beat: &LoadGossip) {
    let bytes = beat.encode_to_vec();
    for address in to {
        let _ = socket.try_send_to(&bytes, *address);
    }
}
