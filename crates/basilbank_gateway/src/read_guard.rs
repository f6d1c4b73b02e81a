//! Bounds what an endpoint may send before the head of its answer, or the next piece of its body, is
//! complete, and notes what shows whether an answer that has ended is whole.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use basilbank::excess::is_excess;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Maximum size of a response head in bytes.
pub const MAX_HEAD_BYTES: usize = 32 << 10;

/// Maximum number of bytes that are read until a head, or the next piece of a body, is complete: the
/// head, what is read of the body with it, and informational heads before it.
const MAX_READ_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// Time after which a head that comes in many small pieces isn't waited for any more. One that a silence
/// interrupts comes in few.
const MAX_HEAD_TIME: Duration = Duration::from_secs(1);

/// Maximum number of pieces in which a head may come for longer than that.
const MAX_LATE_PIECES: u32 = 8;

/// What is awaited on a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
enum Awaited {
    #[default]
    Nothing,
    Head,
    Body,
    /// The connection is kept for the next request.
    Request,
}

/// What has come since a head, or the next piece of a body, is awaited on a connection.
#[derive(Debug, Default)]
pub struct ReadGuard {
    awaited: Cell<Awaited>,
    began_at: Cell<Option<Instant>>,
    bytes: Cell<usize>,
    pieces: Cell<u32>,
    is_exceeded: Cell<bool>,
    /// Whether anything came while no answer was due.
    has_stray: Cell<bool>,
    /// Whether all that was to be sent has been written.
    is_written: Cell<bool>,
    /// Whether the rest of a body was left unread when the connection was given up.
    has_excess: Cell<bool>,
}

impl ReadGuard {
    /// Starts to wait for a head.
    pub fn await_head(&self) {
        self.restart(Awaited::Head);
    }

    /// Starts to wait for the next piece of a body.
    pub fn await_body(&self) {
        self.restart(Awaited::Body);
    }

    /// Waits for the next request: nothing may come until it is sent.
    pub fn await_request(&self) {
        self.restart(Awaited::Request);
    }

    /// Returns whether something came while no answer was due.
    #[must_use]
    pub fn has_stray(&self) -> bool {
        self.has_stray.get()
    }

    /// Returns whether all that was to be sent has been written.
    #[must_use]
    pub fn is_written(&self) -> bool {
        self.is_written.get()
    }

    /// Records the bytes that were left unread when the connection was given up.
    pub fn record_left(&self, bytes: &[u8]) {
        self.has_excess.set(is_excess(bytes));
    }

    /// Returns whether the rest of a body was left unread when the connection was given up.
    #[must_use]
    pub fn has_excess(&self) -> bool {
        self.has_excess.get()
    }

    /// Ends the wait.
    pub fn end(&self) {
        self.restart(Awaited::Nothing);
    }

    /// Returns whether more has come than was awaited.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.is_exceeded.get()
    }

    fn restart(&self, awaited: Awaited) {
        self.awaited.set(awaited);
        self.began_at.set(None);
        self.bytes.set(0);
        self.pieces.set(0);
    }

    fn record(&self, bytes: usize) {
        if bytes == 0 || self.awaited.get() == Awaited::Nothing {
            return;
        }
        if self.awaited.get() == Awaited::Request {
            self.has_stray.set(true);
            return;
        }
        self.bytes.set(self.bytes.get().saturating_add(bytes));
        let is_slow = self.awaited.get() == Awaited::Head && self.is_head_slow();
        if MAX_READ_BYTES < self.bytes.get() || is_slow {
            self.is_exceeded.set(true);
        }
    }

    /// Counts a piece of a head, and returns whether the head takes too long.
    fn is_head_slow(&self) -> bool {
        let now = Instant::now();
        let began_at = self.began_at.get().unwrap_or(now);
        self.began_at.set(Some(began_at));
        self.pieces.set(self.pieces.get().saturating_add(1));
        MAX_LATE_PIECES < self.pieces.get() && began_at + MAX_HEAD_TIME < now
    }
}

/// The socket of a connection, which the HTTP library reads and writes.
pub type SharedStream = Rc<RefCell<TcpStream>>;

/// A connection to an endpoint whose reads fail once more has come than was awaited.
#[derive(Debug)]
pub struct GuardedStream {
    stream: SharedStream,
    guard: Rc<ReadGuard>,
}

impl GuardedStream {
    /// Creates a stream that counts what is read in the guard.
    #[must_use]
    pub fn new(stream: SharedStream, guard: Rc<ReadGuard>) -> GuardedStream {
        GuardedStream { stream, guard }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        ready!(Pin::new(&mut *this.stream.borrow_mut()).poll_read(cx, buffer))?;
        this.guard.record(buffer.filled().len() - before);
        let is_endless = this.guard.is_exceeded();
        Poll::Ready(if is_endless { Err(io::ErrorKind::InvalidData.into()) } else { Ok(()) })
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.guard.is_written.set(false);
        Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.guard.is_written.set(false);
        Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes once it has nothing left to write; a request's body is one piece.
        self.guard.is_written.set(true);
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}
