//! The hash under which daemons know an idempotency key.

use sha2::{Digest, Sha256};

use crate::ids::TeamId;

/// Length of a hyphenated UUID in bytes.
const UUID_LEN: usize = 36;
/// Positions of the hyphens in a hyphenated UUID.
const HYPHEN_INDICES: [usize; 4] = [8, 13, 18, 23];
/// Position of the version digit in a hyphenated UUID.
const VERSION_INDEX: usize = 14;
/// Position of the variant digit in a hyphenated UUID.
const VARIANT_INDEX: usize = 19;

/// First 16 bytes of the SHA-256 of a team and an idempotency key. The hash keeps the key secret
/// from peers, and the team in it keeps equal keys of two teams apart.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct ClaimKey(pub [u8; 16]);

impl ClaimKey {
    /// Hashes a team's idempotency key.
    #[must_use]
    pub fn new(team: TeamId, key: &str) -> ClaimKey {
        let mut hash = Sha256::new();
        hash.update(team.0.to_le_bytes());
        hash.update(key.as_bytes());
        let digest = hash.finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        ClaimKey(bytes)
    }

    /// Reads a key that a peer sent; `None` when its length is wrong.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<ClaimKey> {
        bytes.try_into().ok().map(ClaimKey)
    }

    /// Returns the subject by which rendezvous hashing chooses the key's voters.
    #[must_use]
    pub fn subject(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(first)
    }
}

/// Returns the time that a UUIDv7 carries, in milliseconds since the Unix epoch; 0 for any other
/// key.
#[must_use]
pub fn uuid_v7_unix_ms(key: &str) -> u64 {
    let bytes = key.as_bytes();
    if bytes.len() != UUID_LEN || !bytes.iter().enumerate().all(|(i, b)| is_uuid_byte(i, *b)) {
        return 0;
    }
    let is_v7 = bytes[VERSION_INDEX] == b'7';
    let is_rfc = matches!(bytes[VARIANT_INDEX], b'8' | b'9' | b'a' | b'b' | b'A' | b'B');
    if !is_v7 || !is_rfc {
        return 0;
    }
    let time = [&key[..8], &key[9..13]].concat();
    u64::from_str_radix(&time, 16).unwrap_or(0)
}

fn is_uuid_byte(index: usize, byte: u8) -> bool {
    if HYPHEN_INDICES.contains(&index) { byte == b'-' } else { byte.is_ascii_hexdigit() }
}
