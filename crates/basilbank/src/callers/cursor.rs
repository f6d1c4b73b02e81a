//! Cursors: the `id:` of each event says where the stream goes on, so that any daemon can resume it.
//!
//! A cursor is `v1.PAYLOAD.TAG`, both in hexadecimal. The payload is endpoint, entry and offset
//! (8, 8 and 4 bytes, big endian) and the stream's name at the endpoint. The tag is the first half of
//! an HMAC-SHA256 over the payload.
//!
//! Without the tag a caller could name any stream at any endpoint and read another team's text. The
//! entry is part of the payload, so a cursor that leaks is of no use to another team either.

use std::fmt::Write;

use basilbank_core::{
    event::ResumePoint,
    ids::{EndpointId, EntryId},
};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

const VERSION: &str = "v1";
const KEY_LABEL: &[u8] = b"basilbank callers' cursors v1";
const TAG_BYTES: usize = 16;
const FIXED_BYTES: usize = 20;
/// Longest stream name that a cursor carries.
const MAX_STREAM: usize = 256;

/// Makes and checks cursors.
#[derive(Clone)]
pub struct CursorKey {
    mac: Hmac<Sha256>,
}

impl CursorKey {
    /// Derives the key from the daemons' shared one, so that a cursor's tag can never pass for that
    /// of a peer's message.
    #[must_use]
    pub fn new(peer_key: &[u8]) -> CursorKey {
        let derived = mac(peer_key).chain_update(KEY_LABEL).finalize().into_bytes();
        CursorKey { mac: mac(&derived) }
    }

    /// The cursor of a point.
    #[must_use]
    pub fn seal(&self, point: &ResumePoint) -> String {
        let payload = encode(point);
        let tag = self.mac.clone().chain_update(&payload).finalize().into_bytes();
        let mut text = String::with_capacity(4 + 2 * (payload.len() + TAG_BYTES));
        text.push_str(VERSION);
        text.push('.');
        push_hex(&mut text, &payload);
        text.push('.');
        push_hex(&mut text, &tag[..TAG_BYTES]);
        text
    }

    /// The point of a cursor; `None` when it is forged or damaged. The tag is compared in constant
    /// time.
    #[must_use]
    pub fn open(&self, cursor: &str) -> Option<ResumePoint> {
        let mut parts = cursor.split('.');
        if parts.next()? != VERSION {
            return None;
        }
        let payload = from_hex(parts.next()?)?;
        let tag = from_hex(parts.next()?)?;
        if parts.next().is_some() || tag.len() != TAG_BYTES {
            return None;
        }
        self.mac.clone().chain_update(&payload).verify_truncated_left(&tag).ok()?;
        decode(&payload)
    }
}

fn mac(key: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(key).expect("HMAC takes keys of any length")
}

fn encode(point: &ResumePoint) -> Vec<u8> {
    let mut payload = Vec::with_capacity(FIXED_BYTES + point.stream.len());
    payload.extend(point.endpoint.0.to_be_bytes());
    payload.extend(point.entry.0.to_be_bytes());
    payload.extend(point.offset.to_be_bytes());
    payload.extend(point.stream.as_bytes());
    payload
}

fn decode(payload: &[u8]) -> Option<ResumePoint> {
    let (endpoint, rest) = payload.split_first_chunk::<8>()?;
    let (entry, rest) = rest.split_first_chunk::<8>()?;
    let (offset, stream) = rest.split_first_chunk::<4>()?;
    Some(ResumePoint {
        endpoint: EndpointId(u64::from_be_bytes(*endpoint)),
        entry: EntryId(u64::from_be_bytes(*entry)),
        offset: u32::from_be_bytes(*offset),
        stream: String::from_utf8(stream.to_vec()).ok()?,
    })
}

fn push_hex(text: &mut String, bytes: &[u8]) {
    for byte in bytes {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
    }
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let longest = 2 * (FIXED_BYTES + MAX_STREAM);
    if !text.len().is_multiple_of(2) || longest < text.len() {
        return None;
    }
    let digits = text.as_bytes().chunks_exact(2);
    digits.map(|pair| Some(hex_digit(pair[0])? << 4 | hex_digit(pair[1])?)).collect()
}

/// Lower case only, so that a point has one cursor.
fn hex_digit(byte: u8) -> Option<u8> {
    match byte {
        b'0'..=b'9' => Some(byte - b'0'),
        b'a'..=b'f' => Some(byte - b'a' + 10),
        _ => None,
    }
}
