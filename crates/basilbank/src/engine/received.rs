//! What comes over the connection from which a thread reads an answer.
//!
//! The HTTP client makes a call, reads its answer and gives the connection up on one thread. So what the
//! connection notes for its thread is known where the answer is read.

use std::{
    cell::Cell,
    io::{self, Read},
};

use ureq::{Body, http::Response};

use crate::excess::is_excess;

/// Maximum number of bytes that come before the first piece of a body, or between two pieces: heads,
/// sizes and extensions of chunks, trailers.
const MAX_BETWEEN: usize = 128 << 10;

thread_local! {
    /// Whether a connection that was given up had the rest of a body left.
    static HAS_EXCESS: Cell<bool> = const { Cell::new(false) };
    /// Bytes that have come since the request was sent, or the last piece was read.
    static BETWEEN: Cell<usize> = const { Cell::new(0) };
}

/// Forgets what connections had left that this thread gave up.
pub fn forget_excess() {
    HAS_EXCESS.set(false);
}

/// Returns whether a connection that this thread gave up since then had the rest of a body left. The
/// HTTP client keeps none that has anything left.
#[must_use]
pub fn has_excess() -> bool {
    HAS_EXCESS.get()
}

/// Records what a connection that is given up has left.
pub fn record_left(bytes: &[u8]) {
    if is_excess(bytes) {
        HAS_EXCESS.set(true);
    }
}

/// Starts to count the bytes that come before the next piece.
pub fn await_piece() {
    BETWEEN.set(0);
}

/// Records bytes that have come.
///
/// # Errors
/// Returns an error if more have come without a piece than an answer can have there.
pub fn record_bytes(count: usize) -> io::Result<()> {
    let between = BETWEEN.get().saturating_add(count);
    BETWEEN.set(between);
    match between <= MAX_BETWEEN {
        true => Ok(()),
        false => Err(io::Error::other("an answer without end")),
    }
}

/// A body that is read piece by piece.
#[derive(Debug)]
pub struct Pieces<R>(pub R);

impl<R: Read> Read for Pieces<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.0.read(buffer)?;
        await_piece();
        Ok(count)
    }
}

/// Reads a body of at most this many bytes.
///
/// # Errors
/// Returns an error if it is longer, or breaks off.
pub fn read_whole(response: &mut Response<Body>, limit: u64) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    Pieces(response.body_mut().with_config().limit(limit).reader()).read_to_end(&mut body)?;
    Ok(body)
}
