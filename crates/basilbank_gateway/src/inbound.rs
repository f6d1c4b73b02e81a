//! What comes over a connection to an endpoint.

use std::{
    cell::RefCell,
    rc::{Rc, Weak},
};

use basilbank::excess::{EXCESS_BYTES, is_excess};
use rustix::net::RecvFlags;
use tokio::net::TcpStream;

use crate::read_guard::ReadGuard;

/// What comes over a connection.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// Bounds the bytes that come.
    pub guard: Rc<ReadGuard>,
    /// The socket, until the HTTP library has closed it.
    pub stream: Weak<RefCell<TcpStream>>,
}

impl Inbound {
    /// Returns whether more of the body has come behind an answer whose length was reached.
    #[must_use]
    pub fn has_excess(&self) -> bool {
        let mut unread = [0; EXCESS_BYTES];
        self.guard.has_excess() || is_excess(self.peek(&mut unread))
    }

    /// Returns whether the socket has bytes that the HTTP library hasn't read yet.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        !self.peek(&mut [0]).is_empty()
    }

    /// Returns the bytes in the socket that the HTTP library hasn't read yet, as far as there is room.
    fn peek<'a>(&self, buffer: &'a mut [u8]) -> &'a [u8] {
        let Some(stream) = self.stream.upgrade() else { return &[] };
        let peeked = rustix::net::recv(&*stream.borrow(), &mut *buffer, RecvFlags::PEEK);
        let count = peeked.map_or(0, |(count, _)| count);
        &buffer[..count.min(buffer.len())]
    }
}
