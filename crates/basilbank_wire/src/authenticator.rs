//! Authentication of packets with a MAC, whose key is derived from the key that the peers share.

use hmac::{Hmac, KeyInit, Mac};
use prost::Message as _;
use sha2::Sha256;

use crate::{DropReason, Packet};

/// Length of a MAC in bytes: the first half of an HMAC-SHA256.
pub const MAC_LEN: usize = 16;

/// Label from which the MAC key is derived. It prevents a MAC made for another use of the peers'
/// key, or by another version of the protocol, from being valid here.
const KEY_DERIVATION_LABEL: &[u8] = b"basilbank peers 1";

/// Adds MACs to packets, and verifies those of packets from daemons with the same key.
///
/// ```
/// use basilbank_wire::{Authenticator, DropReason, Packet};
///
/// let authenticator = Authenticator::new(b"shared");
/// let packet = Packet { from: 1, to: 2, incarnation: 3, sequence: 4, messages: Vec::new() };
/// let bytes = authenticator.encode_with_mac(&packet);
/// assert_eq!(authenticator.verify_and_decode(&bytes), Ok(packet));
/// assert_eq!(Authenticator::new(b"other").verify_and_decode(&bytes), Err(DropReason::Forged));
/// ```
#[derive(Clone)]
pub struct Authenticator {
    hmac: Hmac<Sha256>,
}

impl std::fmt::Debug for Authenticator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Authenticator")
    }
}

impl Authenticator {
    /// Derives the MAC key from the peers' key, which may have any length.
    #[must_use]
    pub fn new(key: &[u8]) -> Authenticator {
        let mac_key = new_hmac(key).chain_update(KEY_DERIVATION_LABEL).finalize().into_bytes();
        Authenticator { hmac: new_hmac(&mac_key) }
    }

    /// Returns the MAC followed by the encoded packet.
    #[must_use]
    pub fn encode_with_mac(&self, packet: &Packet) -> Vec<u8> {
        let mut bytes = vec![0; MAC_LEN];
        bytes.reserve(packet.encoded_len());
        packet.encode_raw(&mut bytes);
        let mac = self.hmac.clone().chain_update(&bytes[MAC_LEN..]).finalize().into_bytes();
        bytes[..MAC_LEN].copy_from_slice(&mac[..MAC_LEN]);
        bytes
    }

    /// Verifies the MAC and decodes the packet. The MAC is compared in constant time, before any
    /// part of the packet is decoded.
    ///
    /// # Errors
    /// `Forged` if the MAC is missing or invalid, `Malformed` if the packet can't be decoded.
    pub fn verify_and_decode(&self, bytes: &[u8]) -> Result<Packet, DropReason> {
        let Some((mac, encoded)) = bytes.split_at_checked(MAC_LEN) else {
            return Err(DropReason::Forged);
        };
        let hmac = self.hmac.clone().chain_update(encoded);
        hmac.verify_truncated_left(mac).map_err(|_| DropReason::Forged)?;
        Packet::decode(encoded).map_err(|_| DropReason::Malformed)
    }
}

/// Creates an HMAC. It accepts keys of any length, so this can't fail.
fn new_hmac(key: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(key).expect("HMAC takes keys of any length")
}
