//! Packets that come in.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use basilbank_core::{event::Event, ids::VmId};
use basilbank_wire::{Authenticator, DropReason, Packet, ReplayGuard};

use crate::{
    inbox::Feed,
    metrics::Metrics,
    peers::{DATAGRAM, heard::Heard, stream},
    pool::Pool,
    sync::lock,
};

/// Connections read at once; more are closed.
const READERS: usize = 16;

/// Stack of a listening thread in bytes.
const STACK: usize = 256 << 10;

/// Pause after an error of the system, so that a lasting one does not take a whole core.
const PAUSE: Duration = Duration::from_millis(50);

/// Opens packets and hands their messages to the event loop.
#[derive(Clone, Debug)]
pub struct Receiver {
    shared: Arc<Shared>,
    heard: Arc<Heard>,
}

#[derive(Debug)]
struct Shared {
    own: VmId,
    sealer: Authenticator,
    guard: Mutex<ReplayGuard>,
    feed: Feed,
    metrics: Arc<Metrics>,
    stop: Arc<AtomicBool>,
    readers: Pool,
}

impl Receiver {
    /// Takes packets for `own`.
    #[must_use]
    pub fn new(
        own: VmId,
        sealer: Authenticator,
        feed: Feed,
        metrics: Arc<Metrics>,
        stop: Arc<AtomicBool>,
    ) -> Receiver {
        let guard = Mutex::new(ReplayGuard::default());
        let readers = Pool::new("peer-read", READERS, 0);
        let shared = Shared { own, sealer, guard, feed, metrics, stop, readers };
        Receiver { shared: Arc::new(shared), heard: Arc::default() }
    }

    /// Sets where the addresses of peers that are heard are noted.
    #[must_use]
    pub fn with_heard(mut self, heard: Arc<Heard>) -> Receiver {
        self.heard = heard;
        self
    }

    /// Starts listening.
    ///
    /// # Errors
    /// A thread can't be started.
    pub fn start(self, socket: UdpSocket, listener: TcpListener) -> io::Result<()> {
        let (shared, heard) = (Arc::clone(&self.shared), self.heard);
        spawn("peer-udp", move || shared.listen(&socket, &heard))?;
        spawn("peer-tcp", move || Shared::accept(&self.shared, &listener))
    }
}

impl Shared {
    fn listen(&self, socket: &UdpSocket, heard: &Heard) {
        // One byte more than a datagram may have tells a longer one from the longest.
        let mut buffer = [0; DATAGRAM + 1];
        loop {
            let received = socket.recv_from(&mut buffer);
            if self.is_stopped() {
                return;
            }
            match received {
                Ok((len, _)) if DATAGRAM < len => self.metrics.dropped(DropReason::TooLarge),
                Ok((len, from)) => self.take_datagram(&buffer[..len], from, heard),
                Err(_) => thread::sleep(PAUSE),
            }
        }
    }

    fn take_datagram(&self, bytes: &[u8], from: SocketAddr, heard: &Heard) {
        let packet = match self.open(bytes) {
            Ok(packet) => packet,
            Err(reason) => return self.metrics.dropped(reason),
        };
        heard.note(VmId(packet.from), from);
        for event in events(packet) {
            // Waiting here would only fill the system's buffer, which drops without a counter.
            if self.feed.offer(event).is_err() {
                self.metrics.dropped(DropReason::Overload);
            }
        }
    }

    fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
        loop {
            let accepted = listener.accept();
            if shared.is_stopped() {
                return;
            }
            let Ok((stream, _)) = accepted else {
                thread::sleep(PAUSE);
                continue;
            };
            let reader = Arc::clone(shared);
            if shared.readers.run(move || reader.read(stream)).is_err() {
                shared.metrics.dropped(DropReason::Overload);
            }
        }
    }

    fn read(&self, stream: TcpStream) {
        let mut frames = stream::receive(stream);
        loop {
            match frames.read() {
                Ok(Some(frame)) => self.take_frame(&frame),
                Ok(None) => return,
                Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                    return self.metrics.dropped(DropReason::TooLarge);
                }
                Err(_) => return self.metrics.dropped(DropReason::Malformed),
            }
        }
    }

    fn take_frame(&self, bytes: &[u8]) {
        let packet = match self.open(bytes) {
            Ok(packet) => packet,
            Err(reason) => return self.metrics.dropped(reason),
        };
        for event in events(packet) {
            if self.feed.send(event).is_err() {
                return;
            }
        }
    }

    /// The packet in sealed bytes, if it is to be taken. The replay guard comes last: what is not
    /// for this VM must not use its numbers up.
    fn open(&self, bytes: &[u8]) -> Result<Packet, DropReason> {
        let packet = self.sealer.verify_and_decode(bytes)?;
        self.metrics.peer_received(bytes.len());
        if packet.to != self.own.0 {
            return Err(DropReason::Misaddressed);
        }
        lock(&self.guard).check(packet.from, packet.incarnation, packet.sequence)?;
        Ok(packet)
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

fn events(packet: Packet) -> impl Iterator<Item = Event> {
    let (from, incarnation) = (VmId(packet.from), packet.incarnation);
    packet.messages.into_iter().map(move |message| Event::Peer { from, incarnation, message })
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let builder = thread::Builder::new().name(name.to_owned()).stack_size(STACK);
    builder.spawn(run).map(drop)
}
