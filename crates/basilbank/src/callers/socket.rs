//! A caller's socket, and the watch on whether the caller is still there.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
};

use super::connections::Place;

/// Bytes read ahead of hyper. Beyond them a caller's end is noticed only when hyper reads on.
const AHEAD: usize = 4 << 10;
/// Most bytes that hyper gets at once. It doubles its buffer when it gets 8 KiB, and keeps that for as
/// long as the connection is open.
const READ_BYTES: usize = (8 << 10) - 1;
/// Receive buffer of a caller's connection. The system takes twice as much, for its own records, too.
const RECEIVE_BUFFER: usize = 16 << 10;
/// Silence before a caller's system is asked whether it is still there, and time between questions.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Shared {
    stream: TcpStream,
    place: Arc<Place>,
    /// Whether the caller takes no more of an answer for now.
    is_blocked: bool,
    ahead: Vec<u8>,
    ended: bool,
    end_seen: bool,
}

/// hyper's end of a connection.
#[derive(Debug)]
pub struct Socket(Arc<Mutex<Shared>>);

/// The connection task's end of a connection.
///
/// hyper looks for a caller's end while a request is in progress, but not once it has read bytes
/// beyond that request: one more line break after the body is enough. The caller could then leave a
/// queued request unnoticed, and the request would run for nobody. So the task reads ahead of hyper
/// into a small buffer of its own and sees the end all the same.
#[derive(Debug)]
pub struct Watch(Arc<Mutex<Shared>>);

/// What was found by reading ahead.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Ahead {
    /// There are more bytes.
    Data,
    /// The caller has closed its end, or the connection is broken.
    End,
}

/// Bounds what the system receives for each caller before it is read. Connections inherit this when they
/// are accepted.
///
/// # Errors
/// The listener has no such option.
pub fn bound_unread(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER)
}

/// Both ends of a connection.
#[must_use]
pub fn split(stream: TcpStream, place: Arc<Place>, timeout: Duration) -> (Socket, Watch) {
    // Without these options the connection works, but tokens come later and departures show later.
    let _ = set_options(&stream, timeout);
    let shared = Shared {
        stream,
        place,
        is_blocked: false,
        ahead: Vec::new(),
        ended: false,
        end_seen: false,
    };
    let shared = Arc::new(Mutex::new(shared));
    (Socket(Arc::clone(&shared)), Watch(shared))
}

/// Sends tokens at once instead of collecting them by Nagle's algorithm, and lets the kernel break off
/// two kinds of connection that would otherwise stay open, with their requests, for many minutes or
/// for ever: that of a caller whose system vanished without closing it, such as a phone that lost its
/// network, and that of a caller that does not read. `timeout` is how long sent bytes may stay
/// unacknowledged, or bytes wait for a closed window.
fn set_options(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(timeout))?;
    Ok(())
}

impl Watch {
    /// Reads ahead of hyper. After `Data`, hyper must be polled again: it may wait for these bytes.
    pub fn poll_ahead(&self, cx: &mut Context<'_>) -> Poll<Ahead> {
        let mut shared = lock(&self.0);
        if shared.ended || AHEAD <= shared.ahead.len() {
            return Poll::Pending;
        }
        let mut bytes = [0; AHEAD];
        let mut buffer = ReadBuf::new(&mut bytes);
        let read = ready!(Pin::new(&mut shared.stream).poll_read(cx, &mut buffer));
        if read.is_err() || buffer.filled().is_empty() {
            shared.ended = true;
            return Poll::Ready(Ahead::End);
        }
        shared.ahead.extend(buffer.filled());
        Poll::Ready(Ahead::Data)
    }

    /// Whether hyper knows that the caller has closed its end.
    #[must_use]
    pub fn end_seen(&self) -> bool {
        lock(&self.0).end_seen
    }

    /// The connection, once hyper's end is dropped.
    #[must_use]
    pub fn into_stream(self) -> Option<TcpStream> {
        let shared = Arc::into_inner(self.0)?;
        Some(shared.into_inner().unwrap_or_else(PoisonError::into_inner).stream)
    }
}

impl Shared {
    fn take_ahead(&mut self, buffer: &mut ReadBuf<'_>) {
        let count = self.ahead.len().min(buffer.remaining()).min(READ_BYTES);
        buffer.put_slice(&self.ahead[..count]);
        self.ahead.drain(..count);
        if self.ahead.is_empty() {
            self.ahead = Vec::new();
        }
    }

    /// Records whether the caller takes what is written.
    fn record_written(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if self.is_blocked != written.is_pending() {
            self.is_blocked = written.is_pending();
            self.place.record_blocked(self.is_blocked);
        }
        written
    }

    /// Reads a bounded number of bytes. Returns their number.
    fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        // To lend hyper's buffer in part would clear it, and so make the system provide all its pages.
        let mut bytes = [0; READ_BYTES];
        let count = READ_BYTES.min(buffer.remaining());
        let mut part = ReadBuf::new(&mut bytes[..count]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        buffer.put_slice(part.filled());
        Poll::Ready(Ok(part.filled().len()))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut shared = lock(&self.0);
        let before = buffer.filled().len();
        if !shared.ahead.is_empty() {
            shared.take_ahead(buffer);
        } else if !shared.ended {
            shared.ended = ready!(shared.poll_read(cx, buffer))? == 0;
        }
        let count = buffer.filled().len() - before;
        if count == 0 {
            shared.end_seen = shared.ended;
        } else {
            // The connection ends: there is no answer to a head that isn't whole.
            let counted = shared.place.record_received(count, Instant::now());
            counted.map_err(|_| io::Error::from(io::ErrorKind::OutOfMemory))?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut shared = lock(&self.0);
        let written = Pin::new(&mut shared.stream).poll_write(cx, bytes);
        shared.record_written(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut shared = lock(&self.0);
        let written = Pin::new(&mut shared.stream).poll_write_vectored(cx, slices);
        shared.record_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut lock(&self.0).stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut lock(&self.0).stream).poll_shutdown(cx)
    }
}

/// Only one task uses both ends, so the lock is never waited for. A panic leaves it whole.
fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
