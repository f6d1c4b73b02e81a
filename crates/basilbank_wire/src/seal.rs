//! Packets are sealed with the peers' key.

use hmac::{Hmac, KeyInit, Mac};
use prost::Message as _;
use sha2::Sha256;

use crate::{DropReason, Packet};

/// Bytes of a seal: HMAC-SHA256, of which the first half is sent.
pub const SEAL_LEN: usize = 16;

/// Keeps seals of other uses of the peers' key, and of other versions, from passing here.
const LABEL: &[u8] = b"basilbank peers 1";

/// Seals packets, and opens those that were sealed with the same key.
///
/// ```
/// use basilbank_wire::{DropReason, Packet, Sealer};
///
/// let sealer = Sealer::new(b"shared");
/// let packet = Packet { from: 1, to: 2, incarnation: 3, sequence: 4, messages: Vec::new() };
/// let bytes = sealer.seal(&packet);
/// assert_eq!(sealer.open(&bytes), Ok(packet));
/// assert_eq!(Sealer::new(b"other").open(&bytes), Err(DropReason::Forged));
/// ```
#[derive(Clone)]
pub struct Sealer {
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for Sealer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Sealer")
    }
}

impl Sealer {
    /// Derives the sealing key from the peers' key, which may have any length.
    #[must_use]
    pub fn new(key: &[u8]) -> Sealer {
        let derived = keyed(key).chain_update(LABEL).finalize().into_bytes();
        Sealer { mac: keyed(&derived) }
    }

    /// A packet's bytes: the seal, then the encoded packet.
    #[must_use]
    pub fn seal(&self, packet: &Packet) -> Vec<u8> {
        let mut bytes = vec![0; SEAL_LEN];
        bytes.reserve(packet.encoded_len());
        packet.encode_raw(&mut bytes);
        let seal = self.mac.clone().chain_update(&bytes[SEAL_LEN..]).finalize().into_bytes();
        bytes[..SEAL_LEN].copy_from_slice(&seal[..SEAL_LEN]);
        bytes
    }

    /// The packet in sealed bytes. The seal is compared in constant time, and before anything of the
    /// packet is decoded.
    ///
    /// # Errors
    /// `Forged` or `Malformed`.
    pub fn open(&self, bytes: &[u8]) -> Result<Packet, DropReason> {
        let Some((seal, encoded)) = bytes.split_at_checked(SEAL_LEN) else {
            return Err(DropReason::Forged);
        };
        let mac = self.mac.clone().chain_update(encoded);
        mac.verify_truncated_left(seal).map_err(|_| DropReason::Forged)?;
        Packet::decode(encoded).map_err(|_| DropReason::Malformed)
    }
}

/// HMAC takes keys of any length, so a key is never refused.
fn keyed(key: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(key).expect("HMAC takes keys of any length")
}
