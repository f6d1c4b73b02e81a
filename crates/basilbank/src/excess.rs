//! Bytes that come behind a complete answer.

/// Beginning of an answer.
const ANSWER_START: &[u8] = b"HTTP/1.";

/// Number of the bytes behind an answer that tell whether they are the rest of its body.
pub const EXCESS_BYTES: usize = ANSWER_START.len();

/// Returns whether these bytes, which follow a complete answer, are the rest of its body, so that the
/// length of the body was corrupted. An answer to no request may follow as well, and corrupts nothing.
#[must_use]
pub fn is_excess(bytes: &[u8]) -> bool {
    !bytes.is_empty() && !bytes.starts_with(ANSWER_START)
}
