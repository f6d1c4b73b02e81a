//! Peers' packets over real sockets: what arrives, and what is dropped for which reason.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use basilbank::{
    inbox::{Inbox, inbox},
    metrics::Metrics,
    peers::{DATAGRAM, FRAME, Peers, stream},
};
use basilbank_core::{event::Event, ids::VmId, state::Local};
use basilbank_wire::{
    Authenticator, Body, Document, FetchCatalogue, FramedStream, Heartbeat, Message, Packet,
    VmList, VmRecord,
};
use socket2::SockRef;
use test_case::test_case;

use crate::responder::PATIENCE;

const KEY: &[u8] = b"the peers' key";
const STRANGER: u64 = 77;

/// One daemon's peers' side.
struct Side {
    peers: Peers,
    inbox: Inbox,
    metrics: Arc<Metrics>,
    vm: VmId,
}

impl Side {
    fn new(name: &str) -> Side {
        let (inbox, _, feed) = inbox();
        let metrics = Arc::new(Metrics::default());
        let local = Local::default().with_name(name).with_incarnation(10);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let peers = Peers::start(any, KEY, &local, feed, &metrics).unwrap();
        Side { peers, inbox, metrics, vm: local.vm }
    }

    fn next(&self) -> (VmId, u64, Message) {
        match self.inbox.recv_timeout(PATIENCE) {
            Ok(Event::Peer { from, incarnation, message }) => (from, incarnation, message),
            other => panic!("{other:?}"),
        }
    }

    /// Waits until a metric stands at a value.
    fn wait_for(&self, line: &str) {
        let end = Instant::now() + PATIENCE;
        while !self.metrics.text().lines().any(|l| l == line) {
            assert!(Instant::now() < end, "no {line} in\n{}", self.metrics.text());
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn wait_for_drop(&self, reason: &str) {
        self.wait_for(&format!("basilbank_peer_packets_dropped_total{{reason=\"{reason}\"}} 1"));
    }

    /// Sends a sealed packet by UDP, as a peer or a stranger would.
    fn datagram(&self, bytes: &[u8]) {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.send_to(bytes, self.peers.address()).unwrap();
    }

    /// A packet for this side.
    fn packet(&self, incarnation: u64, sequence: u64) -> Packet {
        let messages = vec![heartbeat(sequence)];
        Packet { from: STRANGER, incarnation, sequence, to: self.vm.0, messages }
    }
}

fn heartbeat(counter: u64) -> Message {
    Message::from(Body::Heartbeat(Heartbeat { counter, ..Heartbeat::default() }))
}

fn record(name: &str, side: &Side) -> VmRecord {
    VmRecord {
        name: name.to_owned(),
        address: side.peers.address().to_string(),
        data_centre: "hall-a".to_owned(),
        leaving: false,
    }
}

fn pair() -> (Side, Side) {
    let (mut a, mut b) = (Side::new("a"), Side::new("b"));
    let list = VmList { revision: 3, vms: vec![record("a", &a), record("b", &b)] };
    a.peers.learn(&list);
    b.peers.learn(&list);
    (a, b)
}

#[test]
fn messages_of_one_flush_share_a_packet() {
    let (mut a, b) = pair();
    for counter in 0..20 {
        a.peers.send(b.vm, heartbeat(counter));
    }
    a.peers.flush();
    for counter in 0..20 {
        assert_eq!(b.next(), (a.vm, 10, heartbeat(counter)));
    }
    b.wait_for("basilbank_peer_packets_total{direction=\"in\"} 1");
}

/// Symptom: large beats are lost on links with a small MTU. Cause: datagrams beyond it.
#[test]
fn datagrams_are_bounded_and_nothing_is_lost_between_them() {
    let (mut a, b) = pair();
    let rumour = basilbank_wire::MemberRecord {
        vm: 9,
        incarnation: u64::MAX,
        counter: 9,
        leaving: true,
        age: 0,
    };
    let beat = Heartbeat { seen: vec![rumour; 20], ..Heartbeat::default() };
    for _ in 0..10 {
        a.peers.send(b.vm, Message::from(Body::Heartbeat(beat.clone())));
    }
    a.peers.flush();
    for _ in 0..10 {
        assert_eq!(b.next().2, Message::from(Body::Heartbeat(beat.clone())));
    }
    b.wait_for("basilbank_peer_packets_dropped_total{reason=\"too_large\"} 0");
}

#[test]
fn a_large_message_goes_over_tcp() {
    let (mut a, b) = pair();
    let text = Some("x".repeat(3 << 20));
    let document = Document { key: "catalogue/main".to_owned(), text, revision: 4 };
    let delta = basilbank_wire::CatalogueDelta { documents: vec![document], ..Default::default() };
    let message = Message::from(Body::Catalogue(delta));
    a.peers.send(b.vm, message.clone());
    a.peers.send(
        b.vm,
        Message::from(Body::FetchCatalogue(FetchCatalogue { after: 4, accepted: false })),
    );
    a.peers.flush();
    assert_eq!(b.next(), (a.vm, 10, message));
    assert!(matches!(b.next().2.body, Some(Body::FetchCatalogue(_))));
}

#[test]
fn a_message_to_a_vm_that_is_not_listed_is_counted() {
    let (mut a, _b) = pair();
    a.peers.send(VmId::of("c"), heartbeat(1));
    a.peers.flush();
    a.wait_for("basilbank_peer_messages_unsent_total{reason=\"unknown_vm\"} 1");
}

/// Nothing can listen at port 0.
#[test]
fn messages_to_a_dead_vm_are_counted() {
    let mut a = Side::new("a");
    let dead = VmRecord { address: "127.0.0.1:0".to_owned(), ..record("b", &a) };
    a.peers.learn(&VmList { revision: 3, vms: vec![dead] });
    let fetch = FetchCatalogue { after: 4, accepted: false };
    a.peers.send(VmId::of("b"), Message::from(Body::FetchCatalogue(fetch)));
    a.peers.send(VmId::of("b"), heartbeat(1));
    a.peers.flush();
    a.wait_for("basilbank_peer_messages_unsent_total{reason=\"failed\"} 2");
}

/// Symptom: a stranger on the network, or a peer's recorded packet, changes what this daemon
/// believes. Sequence: the packet arrives by UDP or in a frame by TCP. Cause: one of the checks is
/// left out on one of the two ways.
#[test_case("forged", false; "forged by udp")]
#[test_case("forged", true; "forged by tcp")]
#[test_case("misaddressed", false; "misaddressed by udp")]
#[test_case("misaddressed", true; "misaddressed by tcp")]
#[test_case("replayed", false; "replayed by udp")]
#[test_case("replayed", true; "replayed by tcp")]
#[test_case("old_incarnation", false; "old incarnation by udp")]
#[test_case("old_incarnation", true; "old incarnation by tcp")]
fn a_bad_packet_is_dropped_and_counted(reason: &str, by_tcp: bool) {
    let side = Side::new("a");
    let (sealer, good) = (Authenticator::new(KEY), side.packet(5, 8));
    side.datagram(&sealer.encode_with_mac(&good));
    assert_eq!(side.next(), (VmId(STRANGER), 5, heartbeat(8)));
    let bad = match reason {
        "forged" => Authenticator::new(b"another key").encode_with_mac(&side.packet(5, 9)),
        "misaddressed" => sealer.encode_with_mac(&Packet { to: 1, ..side.packet(5, 9) }),
        "replayed" => sealer.encode_with_mac(&good),
        _ => sealer.encode_with_mac(&side.packet(4, 9)),
    };
    if by_tcp {
        let stream = TcpStream::connect(side.peers.address()).unwrap();
        FramedStream::new(stream, FRAME).write(bad.into()).unwrap();
    } else {
        side.datagram(&bad);
    }
    side.wait_for_drop(reason);
    side.datagram(&sealer.encode_with_mac(&side.packet(5, 10)));
    assert_eq!(side.next(), (VmId(STRANGER), 5, heartbeat(10)), "and the next one is taken");
}

#[test]
fn a_datagram_that_is_too_large_is_dropped() {
    let side = Side::new("a");
    side.datagram(&vec![0; DATAGRAM + 1]);
    side.wait_for_drop("too_large");
}

#[test_case(&[0xff; 4], "too_large"; "too large, dropped unread")]
#[test_case(&[0, 0], "malformed"; "cut in its length")]
#[test_case(&[0, 0, 0, 9], "malformed"; "cut behind its length")]
#[test_case(&[0, 0, 0, 9, 1, 2], "malformed"; "cut")]
fn a_bad_frame_is_dropped(bytes: &[u8], reason: &str) {
    let side = Side::new("a");
    let mut stream = TcpStream::connect(side.peers.address()).unwrap();
    stream.write_all(bytes).unwrap();
    drop(stream);
    side.wait_for_drop(reason);
}

/// Guards against a part of a frame that is taken for a frame, or that takes the one before along.
#[test_case(false; "closed")]
#[test_case(true; "reset")]
fn a_frame_before_one_that_breaks_off_is_taken(is_reset: bool) {
    let side = Side::new("a");
    let sealer = Authenticator::new(KEY);
    let stream = TcpStream::connect(side.peers.address()).unwrap();
    if is_reset {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
    let frame = |sequence| sealer.encode_with_mac(&side.packet(5, sequence));
    FramedStream::new(&stream, FRAME).write(frame(8).into()).unwrap();
    let mut bytes = Vec::new();
    FramedStream::new(&mut bytes, FRAME).write(frame(9).into()).unwrap();
    (&stream).write_all(&bytes[..bytes.len() - 1]).unwrap();
    assert_eq!(side.next(), (VmId(STRANGER), 5, heartbeat(8)));
    drop(stream);
    side.wait_for_drop("malformed");
    side.datagram(&frame(10));
    assert_eq!(side.next(), (VmId(STRANGER), 5, heartbeat(10)));
}

/// Symptom: a daemon that can't follow dies of its memory. Sequence: peers send faster than the
/// event loop takes. Cause: an inbox without a bound.
#[test]
fn messages_beyond_the_inboxs_bound_are_dropped_and_counted() {
    let side = Side::new("a");
    let sealer = Authenticator::new(KEY);
    let messages = vec![heartbeat(1); 128];
    let (packets, bound) = (128, 16 << 10);
    for sequence in 0..packets {
        let packet = Packet { messages: messages.clone(), ..side.packet(5, sequence) };
        side.datagram(&sealer.encode_with_mac(&packet));
        let came = format!("basilbank_peer_packets_total{{direction=\"in\"}} {}", sequence + 1);
        side.wait_for(&came);
    }
    assert_eq!(packets as usize * messages.len(), bound);
    side.datagram(&sealer.encode_with_mac(&side.packet(5, packets)));
    side.wait_for_drop("overload");
    side.next();
    side.datagram(&sealer.encode_with_mac(&side.packet(5, packets + 1)));
    for _ in 1..bound {
        side.next();
    }
    assert_eq!(side.next().2, heartbeat(packets + 1), "there was room again");
}

/// Symptom: a daemon that was new never got the catalogue from its peers.
/// Sequence: the frame takes longer over its link than all frames of a connection may; the next peer
/// sends it from its first byte.
/// Cause: the limit was on the whole time, whatever had come.
#[test_case(40, 8_000, true; "a long frame that gets on")]
#[test_case(40, 20, false; "one that drips")]
fn a_frame_may_take_as_long_as_it_gets_on(pieces: usize, bytes: usize, comes: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (receiver, _) = listener.accept().unwrap();
    let sending = thread::spawn(move || {
        let mut framed = Vec::new();
        let frame = vec![7; pieces * bytes];
        FramedStream::new(&mut framed, FRAME).write(frame.into()).unwrap();
        for piece in framed.chunks(bytes) {
            thread::sleep(Duration::from_millis(25));
            if sender.write_all(piece).is_err() {
                return;
            }
        }
    });
    let mut frames = stream::receive_within(receiver, Duration::from_millis(300));
    assert_eq!(frames.read().is_ok_and(|frame| frame.is_some()), comes);
    drop(frames);
    sending.join().unwrap();
}
