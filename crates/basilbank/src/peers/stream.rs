//! Packets over TCP: one frame, one connection.

use std::{
    io::{self, Read},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use basilbank_wire::Frames;

use crate::peers::FRAME;

/// Time for a connection to be made.
const CONNECT: Duration = Duration::from_secs(1);

/// Time for one piece of a frame to be written.
const WRITE: Duration = Duration::from_secs(5);

/// Time for all frames of one connection to arrive.
const RECEIVE: Duration = Duration::from_secs(10);

/// Sends a sealed packet. Returns its size.
///
/// # Errors
/// The peer can't be reached or does not read, or the packet is too large.
pub fn send(address: SocketAddr, sealed: Vec<u8>) -> io::Result<usize> {
    let stream = TcpStream::connect_timeout(&address, CONNECT)?;
    stream.set_write_timeout(Some(WRITE))?;
    let size = sealed.len();
    Frames::new(stream, FRAME).write(sealed.into())?;
    Ok(size)
}

/// The frames of a connection, for a bounded time: a stranger who sends a byte now and then would
/// otherwise hold a thread for ever, and no catalogue could come in.
#[must_use]
pub fn receive(stream: TcpStream) -> Frames<impl Read> {
    Frames::new(Limited { stream, end: Instant::now() + RECEIVE }, FRAME)
}

struct Limited {
    stream: TcpStream,
    end: Instant,
}

impl Read for Limited {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}
