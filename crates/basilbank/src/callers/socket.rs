//! A caller's socket, with a time limit on its reading.

use std::{
    future::Future,
    io::{self, ErrorKind},
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep, timeout},
};

/// How long a closing connection is read from, and how many bytes, until its caller closes it too.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 4 << 20;

/// A socket whose writes fail when the caller takes nothing for a while.
///
/// A caller that stays connected but does not read would otherwise hold its connection, and what
/// waits for it, for ever: TCP itself never gives up on a closed receive window. It would show as
/// connections that stay open long after their requests were settled.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    timeout: Duration,
    stalled: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    /// Wraps a connection. Tokens are sent at once, not collected by Nagle's algorithm.
    #[must_use]
    pub fn new(stream: TcpStream, timeout: Duration) -> Socket {
        // Without the option tokens only come a little later.
        let _ = stream.set_nodelay(true);
        Socket { stream, timeout, stalled: None }
    }

    /// Writes a last message, then closes the connection.
    pub async fn reject(&mut self, message: &[u8]) {
        if self.write_all(message).await.is_ok() {
            self.linger().await;
        }
    }

    /// Closes the connection so that the caller can read what was written.
    ///
    /// To close a socket with bytes unread resets the connection, and the reset can overtake the
    /// answer: a caller that still sends its too large body would see a broken connection in place of
    /// the 413. So this end is closed for writing first, and what still comes is read and dropped.
    pub async fn linger(&mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            let mut buffer = [0; 4096];
            let mut total = 0;
            while total < LINGER_BYTES {
                match self.stream.read(&mut buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(read) => total += read,
                }
            }
        };
        // Either way the connection ends now.
        let _ = timeout(LINGER, drain).await;
    }

    fn watch(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let limit = self.timeout;
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(stalled.as_mut().poll(cx));
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.watch(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.watch(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
