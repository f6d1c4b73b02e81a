//! Packets over TCP: one frame, one connection.

use std::{
    io::{self, Read},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use basilbank_wire::FramedStream;

use crate::{pace::time_for, peers::FRAME};

/// Time for a connection to be made.
const CONNECT: Duration = Duration::from_secs(1);

/// Time for one piece of a frame to be written.
const WRITE: Duration = Duration::from_secs(5);

/// Time for all frames of one connection to arrive, besides what their bytes earn.
const RECEIVE: Duration = Duration::from_secs(10);

/// Sends a sealed packet. Returns its size.
///
/// # Errors
/// The peer can't be reached or does not read, or the packet is too large.
pub fn send(address: SocketAddr, sealed: Vec<u8>) -> io::Result<usize> {
    let stream = TcpStream::connect_timeout(&address, CONNECT)?;
    stream.set_write_timeout(Some(WRITE))?;
    let size = sealed.len();
    FramedStream::new(stream, FRAME).write(sealed.into())?;
    Ok(size)
}

/// The frames of a connection, for a bounded time: a stranger who sends a byte now and then would
/// otherwise hold a thread for ever, and no catalogue could come in.
#[must_use]
pub fn receive(stream: TcpStream) -> FramedStream<impl Read> {
    receive_within(stream, RECEIVE)
}

/// The same with another time.
#[must_use]
pub fn receive_within(stream: TcpStream, first: Duration) -> FramedStream<impl Read> {
    FramedStream::new(Limited { stream, first, begun: Instant::now(), bytes: 0 }, FRAME)
}

struct Limited {
    stream: TcpStream,
    first: Duration,
    begun: Instant,
    bytes: usize,
}

impl Read for Limited {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = time_for(self.first, self.bytes).saturating_sub(self.begun.elapsed());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let read = self.stream.read(buffer)?;
        self.bytes += read;
        Ok(read)
    }
}
