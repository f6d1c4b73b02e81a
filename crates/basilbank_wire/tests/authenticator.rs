//! Packets without a valid MAC, and packets that can't be decoded, are rejected.

use basilbank_wire::{Authenticator, Body, DropReason, Heartbeat, MAC_LEN, Message, Packet};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

fn packet() -> Packet {
    let heartbeat = Heartbeat { counter: 9, ..Default::default() };
    let messages = vec![Message::from(Body::Heartbeat(heartbeat))];
    Packet { from: 1, incarnation: 2, sequence: 3, to: 4, messages }
}

/// Guards against an outsider on the network that makes a dead daemon appear alive. It sends a
/// heartbeat with a MAC of its own key, and the MAC is not verified.
#[test]
fn packet_of_another_key_is_forged() {
    let bytes = Authenticator::new(b"theirs").encode_with_mac(&packet());
    assert_eq!(Authenticator::new(b"ours").verify_and_decode(&bytes), Err(DropReason::Forged));
}

/// Guards against a grant that arrives for another request than it was given for. One bit changes
/// in transit, and the MAC doesn't cover this part of the packet.
#[test]
fn packet_with_a_flipped_bit_is_forged() {
    let authenticator = Authenticator::new(b"ours");
    let bytes = authenticator.encode_with_mac(&packet());
    for bit in 0..bytes.len() * 8 {
        let mut changed = bytes.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(authenticator.verify_and_decode(&changed), Err(DropReason::Forged), "bit {bit}");
    }
}

#[test]
fn truncated_packet_is_forged() {
    let authenticator = Authenticator::new(b"ours");
    let bytes = authenticator.encode_with_mac(&packet());
    for len in 0..bytes.len() {
        assert_eq!(
            authenticator.verify_and_decode(&bytes[..len]),
            Err(DropReason::Forged),
            "{len} bytes"
        );
    }
}

/// A peer of another version may send packets that this one can't decode. The test repeats the key
/// derivation, so that a change to it is noticed as a change of the protocol.
#[test]
fn undecodable_packet_with_valid_mac_is_malformed() {
    let new_hmac = |key: &[u8]| Hmac::<Sha256>::new_from_slice(key).unwrap();
    let mac_key = new_hmac(b"ours").chain_update(b"basilbank peers 1").finalize().into_bytes();
    let undecodable = [0xff; 7];
    let mac = new_hmac(&mac_key).chain_update(undecodable).finalize().into_bytes();
    let bytes = [&mac[..MAC_LEN], &undecodable[..]].concat();
    assert_eq!(Authenticator::new(b"ours").verify_and_decode(&bytes), Err(DropReason::Malformed));
}

#[test]
fn encoded_packet_is_verified_and_decoded() {
    let authenticator = Authenticator::new(b"ours");
    assert_eq!(
        authenticator.verify_and_decode(&authenticator.encode_with_mac(&packet())),
        Ok(packet())
    );
}
