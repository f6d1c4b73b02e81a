//! How a connection is closed so that its caller can read what was written.

use std::time::Duration;

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// How long a closing connection is read from, and how many bytes, until its caller closes it too.
const LINGER: Duration = Duration::from_secs(2);
const LINGER_BYTES: usize = 4 << 20;
/// Bytes that are read at once and dropped.
const DRAIN_BYTES: usize = 4 << 10;

/// Writes a last message, then closes the connection.
pub async fn reject(mut stream: TcpStream, message: &[u8]) {
    if let Ok(Ok(())) = timeout(LINGER, stream.write_all(message)).await {
        linger(stream).await;
    }
}

/// Closes the connection.
///
/// To close a socket with bytes unread resets the connection, and the reset can overtake the answer:
/// a caller that still sends its too large body would see a broken connection in place of the 413. So
/// this end is closed for writing first, and what still comes is read and dropped.
pub async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    // Either way the connection ends now.
    let _ = timeout(LINGER, drain(&mut stream)).await;
}

async fn drain(stream: &mut TcpStream) {
    // On the heap: as a part of the future it would be a part of every open connection.
    let mut buffer = vec![0; DRAIN_BYTES];
    let mut total = 0;
    while total < LINGER_BYTES {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(read) => total += read,
        }
    }
}

/// Resets the connection, so that a response which only the end of the connection marks as complete
/// doesn't look so.
pub fn reset(stream: TcpStream) {
    // If the option can't be set, the connection has ended already.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
}
