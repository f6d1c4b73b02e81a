//! Hashes of bearer keys.

use basilbank_core::catalogue::KeyHash;
use sha2::{Digest, Sha256};

/// Returns the SHA-256 hash of a bearer key. The catalogue stores only these hashes.
#[must_use]
pub fn key_hash(bearer: &str) -> KeyHash {
    Sha256::digest(bearer.as_bytes()).into()
}

/// Parses a hash written as 64 hex digits.
pub(crate) fn parse_key_hash(text: &str) -> Option<KeyHash> {
    let mut hash = KeyHash::default();
    if text.len() != 2 * hash.len() {
        return None;
    }
    let digits: Vec<u32> = text.chars().map_while(|c| c.to_digit(16)).collect();
    if digits.len() != 2 * hash.len() {
        return None;
    }
    for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = u8::try_from(pair[0] * 16 + pair[1]).ok()?;
    }
    Some(hash)
}
