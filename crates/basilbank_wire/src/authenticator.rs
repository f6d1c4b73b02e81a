//! Packets are sealed with the peers' key.

use hmac::{Hmac, KeyInit, Mac};
use prost::Message as _;
use sha2::Sha256;

use crate::{DropReason, Packet};

/// Bytes of a seal: HMAC-SHA256, of which the first half is sent.
pub const MAC_LEN: usize = 16;

/// Keeps seals of other uses of the peers' key, and of other versions, from passing here.
const KEY_DERIVATION_LABEL: &[u8] = b"basilbank peers 1";

/// Seals packets, and opens those that were sealed with the same key.
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
    /// Derives the sealing key from the peers' key, which may have any length.
    #[must_use]
    pub fn new(key: &[u8]) -> Authenticator {
        let mac_key = new_hmac(key).chain_update(KEY_DERIVATION_LABEL).finalize().into_bytes();
        Authenticator { hmac: new_hmac(&mac_key) }
    }

    /// A packet's bytes: the seal, then the encoded packet.
    #[must_use]
    pub fn encode_with_mac(&self, packet: &Packet) -> Vec<u8> {
        let mut bytes = vec![0; MAC_LEN];
        bytes.reserve(packet.encoded_len());
        packet.encode_raw(&mut bytes);
        let mac = self.hmac.clone().chain_update(&bytes[MAC_LEN..]).finalize().into_bytes();
        bytes[..MAC_LEN].copy_from_slice(&mac[..MAC_LEN]);
        bytes
    }

    /// The packet in sealed bytes. The seal is compared in constant time, and before anything of the
    /// packet is decoded.
    ///
    /// # Errors
    /// `Forged` or `Malformed`.
    pub fn verify_and_decode(&self, bytes: &[u8]) -> Result<Packet, DropReason> {
        let Some((mac, encoded)) = bytes.split_at_checked(MAC_LEN) else {
            return Err(DropReason::Forged);
        };
        let hmac = self.hmac.clone().chain_update(encoded);
        hmac.verify_truncated_left(mac).map_err(|_| DropReason::Forged)?;
        Packet::decode(encoded).map_err(|_| DropReason::Malformed)
    }
}

/// HMAC takes keys of any length, so a key is never refused.
fn new_hmac(key: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(key).expect("HMAC takes keys of any length")
}
