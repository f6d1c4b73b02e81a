//! The peers' side: packets over UDP, and over TCP what is too large for one or must not be lost.
//!
//! The event loop queues messages and flushes them after each batch of events, so that messages to
//! one peer share packets. Small packets go out from the event loop itself: a datagram never waits.
//! Large ones are sealed and sent by a few threads, each over a connection of its own, since
//! connecting to a dead VM takes a second.

mod address_book;
mod batch;
mod bind;
mod heard;
mod receiver;
pub mod stream;

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpStream, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use basilbank_core::{ids::VmId, state::Local};
use basilbank_wire::{Authenticator, Message, Packet, VmList};

use self::{address_book::AddressBook, heard::Heard, receiver::Receiver};
use crate::{
    inbox::Feed,
    metrics::{Metrics, Unsent},
    pool::Pool,
};

/// Largest sealed datagram in bytes: below the smallest path MTU in use, so that none is fragmented.
pub const DATAGRAM: usize = 1200;

/// Largest sealed frame in bytes: a whole catalogue.
pub const FRAME: usize = 16 << 20;

/// Threads that send over TCP, and packets that may wait for them.
const SENDERS: usize = 4;
const SEND_BACKLOG: usize = 32;

/// Longest wait of the event loop for the system to take a datagram.
const DATAGRAM_WAIT: Duration = Duration::from_millis(5);

/// Longest wait for the own listener, when it is woken to end.
const WAKE: Duration = Duration::from_millis(100);

/// The peers' side. Dropping it ends its threads.
#[derive(Debug)]
pub struct Peers {
    address: SocketAddr,
    socket: UdpSocket,
    sealer: Authenticator,
    senders: Pool,
    metrics: Arc<Metrics>,
    stop: Arc<AtomicBool>,
    own: VmId,
    incarnation: u64,
    book: AddressBook,
    heard: Arc<Heard>,
    /// Messages that wait for the flush.
    queued: BTreeMap<VmId, Vec<Message>>,
    /// The next sequence number for each peer.
    sequences: BTreeMap<VmId, u64>,
}

impl Peers {
    /// Binds the peers' address, for UDP and TCP alike, and starts listening.
    ///
    /// # Errors
    /// The address can't be bound, or a thread can't be started.
    pub fn start(
        address: SocketAddr,
        key: &[u8],
        local: &Local,
        feed: Feed,
        metrics: &Arc<Metrics>,
    ) -> anyhow::Result<Peers> {
        let (socket, listener) = bind::bind(address)?;
        socket.set_write_timeout(Some(DATAGRAM_WAIT))?;
        let address = socket.local_addr()?;
        let sealer = Authenticator::new(key);
        let stop = Arc::new(AtomicBool::new(false));
        let heard = Arc::new(Heard::default());
        let receiver =
            Receiver::new(local.vm, sealer.clone(), feed, Arc::clone(metrics), Arc::clone(&stop))
                .with_heard(Arc::clone(&heard));
        receiver.start(socket.try_clone()?, listener)?;
        Ok(Peers {
            address,
            socket,
            sealer,
            senders: Pool::new("peer-send", SENDERS, SEND_BACKLOG),
            metrics: Arc::clone(metrics),
            stop,
            own: local.vm,
            incarnation: local.incarnation,
            book: AddressBook::default(),
            heard,
            queued: BTreeMap::new(),
            sequences: BTreeMap::new(),
        })
    }

    /// Where peers are heard.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Learns peers' addresses from the VM list that the core goes by.
    pub fn learn(&mut self, list: &VmList) {
        if self.book.learn(list) {
            self.heard.close();
            let book = &self.book;
            self.sequences.retain(|vm, _| book.get(*vm).is_some());
        }
    }

    /// Queues a message until the next flush.
    pub fn send(&mut self, to: VmId, message: Message) {
        self.queued.entry(to).or_default().push(message);
    }

    /// Sends what is queued.
    pub fn flush(&mut self) {
        for (to, messages) in std::mem::take(&mut self.queued) {
            let Some(address) = self.book.get(to).or_else(|| self.heard.get(to)) else {
                self.metrics.unsent(Unsent::UnknownVm, messages.len());
                continue;
            };
            let parcels = batch::split(messages, DATAGRAM);
            for messages in parcels.datagrams {
                let packet = self.packet(to, messages);
                self.send_datagram(address, &packet);
            }
            if !parcels.stream.is_empty() {
                let packet = self.packet(to, parcels.stream);
                self.send_stream(address, packet);
            }
        }
    }

    fn packet(&mut self, to: VmId, messages: Vec<Message>) -> Packet {
        let next = self.sequences.entry(to).or_default();
        let sequence = *next;
        *next += 1;
        Packet { from: self.own.0, incarnation: self.incarnation, sequence, to: to.0, messages }
    }

    fn send_datagram(&self, address: SocketAddr, packet: &Packet) {
        let bytes = self.sealer.encode_with_mac(packet);
        match self.socket.send_to(&bytes, address) {
            Ok(sent) => self.metrics.peer_sent(sent),
            Err(_) => self.metrics.unsent(Unsent::Failed, packet.messages.len()),
        }
    }

    fn send_stream(&self, address: SocketAddr, packet: Packet) {
        let (sealer, metrics) = (self.sealer.clone(), Arc::clone(&self.metrics));
        let count = packet.messages.len();
        let job = move || match stream::send(address, sealer.encode_with_mac(&packet)) {
            Ok(sent) => metrics.peer_sent(sent),
            Err(_) => metrics.unsent(Unsent::Failed, packet.messages.len()),
        };
        if self.senders.run(job).is_err() {
            self.metrics.unsent(Unsent::Backlog, count);
        }
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // Both listening threads wait in the system without a time limit; this wakes them.
        let _ = self.socket.send_to(&[], self.address);
        let _ = TcpStream::connect_timeout(&self.address, WAKE);
    }
}
