//! Memory for a body that arrives bit by bit.

use std::{io, iter};

use bytes::{BufMut, Bytes, BytesMut};
use memmap2::MmapMut;

/// Memory that a long body takes at once.
const SEGMENT_BYTES: usize = 16 << 10;

/// Memory that a body of unknown length takes first.
const FIRST_BYTES: usize = 4 << 10;

/// A body in pieces: a first one that holds a short body whole, and further ones that the system gets back
/// as soon as they are dropped. A buffer that grows is copied, and the allocator would keep most of what
/// it leaves, in gaps between what has other ends.
#[derive(Debug)]
pub struct Segments {
    first: BytesMut,
    /// Memory of the first piece.
    first_bytes: usize,
    rest: Vec<MmapMut>,
    length: usize,
}

impl Segments {
    /// Creates it for a body of this announced length; 0 if it is unknown. Nothing is allocated yet.
    #[must_use]
    pub fn new(announced: usize) -> Segments {
        let first_bytes = if announced == 0 { FIRST_BYTES } else { announced.min(SEGMENT_BYTES) };
        Segments { first: BytesMut::new(), first_bytes, rest: Vec::new(), length: 0 }
    }

    /// Returns the memory in bytes that the body takes once this many more bytes have been pushed.
    #[must_use]
    pub fn held_after(&self, bytes: usize) -> usize {
        let length = self.length + bytes;
        if length == 0 {
            return 0;
        }
        let rest = length.saturating_sub(self.first_bytes);
        self.first_bytes + rest.div_ceil(SEGMENT_BYTES) * SEGMENT_BYTES
    }

    /// Returns whether the body has more than one piece.
    #[must_use]
    pub fn is_divided(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Adds bytes.
    ///
    /// # Errors
    /// The system has no memory.
    pub fn push(&mut self, data: &[u8]) -> io::Result<()> {
        if self.first.capacity() == 0 && !data.is_empty() {
            self.first.reserve(self.first_bytes);
        }
        let (now, mut later) = data.split_at(data.len().min(self.first_bytes - self.first.len()));
        self.first.put_slice(now);
        self.length += now.len();
        while !later.is_empty() {
            let filled = (self.length - self.first_bytes) % SEGMENT_BYTES;
            if filled == 0 {
                self.rest.push(MmapMut::map_anon(SEGMENT_BYTES)?);
            }
            let Some(last) = self.rest.last_mut() else { break };
            let (now, rest) = later.split_at(later.len().min(SEGMENT_BYTES - filled));
            last[filled..filled + now.len()].copy_from_slice(now);
            self.length += now.len();
            later = rest;
        }
        Ok(())
    }

    /// Returns the body in one piece.
    ///
    /// # Errors
    /// The system has no memory.
    pub fn into_bytes(self) -> io::Result<Bytes> {
        if self.rest.is_empty() {
            return Ok(self.first.freeze());
        }
        let mut whole = MmapMut::map_anon(self.length)?;
        let mut at = 0;
        for piece in iter::once(&self.first[..]).chain(self.rest.iter().map(|piece| &piece[..])) {
            let bytes = piece.len().min(self.length - at);
            whole[at..at + bytes].copy_from_slice(&piece[..bytes]);
            at += bytes;
        }
        Ok(Bytes::from_owner(whole))
    }
}
