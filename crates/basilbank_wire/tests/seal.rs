//! Packets that were not made by a peer for this daemon are dropped.

use basilbank_wire::{Body, DropReason, Heartbeat, Message, Packet, SEAL_LEN, Sealer};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

fn packet() -> Packet {
    let beat = Heartbeat { counter: 9, ..Default::default() };
    let messages = vec![Message::from(Body::Heartbeat(beat))];
    Packet { from: 1, incarnation: 2, sequence: 3, to: 4, messages }
}

/// Symptom: a stranger on the network shows a dead daemon alive. Sequence: it sends a heartbeat
/// sealed with a key of its own. Cause: the seal is not checked.
#[test]
fn another_key_is_forged() {
    let bytes = Sealer::new(b"theirs").seal(&packet());
    assert_eq!(Sealer::new(b"ours").open(&bytes), Err(DropReason::Forged));
}

/// Symptom: a grant arrives for another request than it was given for. Sequence: one bit changes on
/// the way. Cause: the seal leaves a part of the packet out.
#[test]
fn each_flipped_bit_is_forged() {
    let sealer = Sealer::new(b"ours");
    let bytes = sealer.seal(&packet());
    for bit in 0..bytes.len() * 8 {
        let mut changed = bytes.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(sealer.open(&changed), Err(DropReason::Forged), "bit {bit}");
    }
}

#[test]
fn each_truncation_is_forged() {
    let sealer = Sealer::new(b"ours");
    let bytes = sealer.seal(&packet());
    for len in 0..bytes.len() {
        assert_eq!(sealer.open(&bytes[..len]), Err(DropReason::Forged), "{len} bytes");
    }
}

/// A peer of another version may seal what this one can't read. The key derivation is written out
/// here once more, so that a change of it is noticed as a change of the protocol.
#[test]
fn sealed_nonsense_is_malformed() {
    let keyed = |key: &[u8]| Hmac::<Sha256>::new_from_slice(key).unwrap();
    let derived = keyed(b"ours").chain_update(b"basilbank peers 1").finalize().into_bytes();
    let nonsense = [0xff; 7];
    let seal = keyed(&derived).chain_update(nonsense).finalize().into_bytes();
    let bytes = [&seal[..SEAL_LEN], &nonsense[..]].concat();
    assert_eq!(Sealer::new(b"ours").open(&bytes), Err(DropReason::Malformed));
}

#[test]
fn what_is_sealed_opens() {
    let sealer = Sealer::new(b"ours");
    assert_eq!(sealer.open(&sealer.seal(&packet())), Ok(packet()));
}
