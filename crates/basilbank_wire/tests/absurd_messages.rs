//! Bytes that no daemon sends: cut off, changed, nested, or with rows by the thousand.

use basilbank_wire::{
    LoadGossip, Packet, PeerAddress, ProxyCodec, ProxyHeader, ProxyMessage, ProxyRequest,
    StoreRevision, StreamOrigin,
};
use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder};

/// Size of the largest datagram that is read.
const DATAGRAM_BYTES: usize = 32 << 10;

/// Changed copies of each message.
const COPIES: u64 = 20_000;

fn gossip() -> LoadGossip {
    let address = PeerAddress { ip: 0x0a00_0002, port: 7000 };
    LoadGossip {
        incarnation: 1_764_722_746_000,
        sequence: 7,
        tokens: vec![1000, 2000],
        peers: vec![address; 3],
        endpoints_news: Some(StoreRevision { era: 1, number: 90 }),
        origins: vec![StreamOrigin { stream: 5, version: 6, only: 0, known_to: 0, era: 0 }],
        origin: Some(address),
        ..LoadGossip::default()
    }
}

fn frame() -> Vec<u8> {
    let request = ProxyRequest {
        method: "POST".to_owned(),
        path: "/stock/1".to_owned(),
        headers: vec![ProxyHeader::default(); 3],
        body: Bytes::from_static(b"body"),
        ..ProxyRequest::default()
    };
    let mut bytes = BytesMut::new();
    ProxyCodec::default().encode(ProxyMessage::Request(request), &mut bytes).expect("encodable");
    bytes.to_vec()
}

/// Calls `check` with copies of a message in which some bytes are others, or its end is missing.
fn with_changes(message: &[u8], mut check: impl FnMut(&[u8])) {
    let mut state = 1_u64;
    let mut draw = move || {
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        usize::try_from(state >> 33).unwrap_or_default()
    };
    for _ in 0..COPIES {
        let mut bytes = message.to_vec();
        for _ in 0..1 + draw() % 4 {
            let at = draw() % bytes.len();
            bytes[at] = draw() as u8;
        }
        bytes.truncate(1 + draw() % bytes.len());
        check(&bytes);
    }
}

/// Guards against a daemon that ends for bytes that a peer has sent.
#[test]
fn changed_messages_are_read_or_refused() {
    with_changes(&gossip().encode_to_vec(), |bytes| drop(LoadGossip::decode(bytes)));
    with_changes(&frame(), |bytes| {
        let (mut codec, mut source) = (ProxyCodec::default(), BytesMut::from(bytes));
        while let Ok(Some(_)) = codec.decode(&mut source) {}
    });
}

/// Guards against a parser that calls itself until there is no stack left.
#[test]
fn nested_groups_are_refused() {
    // Tag 1 and tag 5, each the beginning of a group or of a message of some bytes.
    for byte in [0x0b, 0x2b] {
        let groups = vec![byte; DATAGRAM_BYTES];
        assert!(LoadGossip::decode(&groups[..]).is_err());
        assert!(Packet::decode(&groups[..]).is_err());
    }
}

/// Guards against memory for lengths that are only announced.
#[test]
fn announced_lengths_take_no_memory() {
    // Tag 9 with the longest length there is, and a frame of 4 GB.
    let length = [&[0x4a][..], &[0xff; 9], &[0x01]].concat();
    assert!(LoadGossip::decode(&length[..]).is_err());
    let mut source = BytesMut::from(&[0xff; 8][..]);
    assert!(ProxyCodec::default().decode(&mut source).is_err());
    assert!(source.capacity() < 1 << 20);
}

/// Guards against time that rises with the square of the rows of a datagram.
#[test]
fn a_datagram_of_rows_alone_is_read() {
    for tag in [0x2a_u8, 0x32, 0x72, 0x7a] {
        let rows = [tag, 0].repeat(DATAGRAM_BYTES / 2);
        let gossip = LoadGossip::decode(&rows[..]).expect("rows");
        assert!(gossip.encoded_len() <= DATAGRAM_BYTES);
    }
}
