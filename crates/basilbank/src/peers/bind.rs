//! One port for UDP and TCP.

use std::{
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
};

/// Ports that are tried when the system may choose.
const TRIES: usize = 16;

/// Binds both. With port 0 the system chooses a TCP port, which may be taken for UDP; another one is
/// tried then. It is the TCP port that is chosen, since a busy machine has thousands of those taken by
/// connections that have just ended, so that a free UDP port is often not free for TCP.
///
/// # Errors
/// The address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let mut result = bind_once(address);
    for _ in 1..TRIES {
        if result.is_ok() || address.port() != 0 {
            break;
        }
        result = bind_once(address);
    }
    result
}

fn bind_once(address: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let listener = TcpListener::bind(address)?;
    let socket = UdpSocket::bind(listener.local_addr()?)?;
    Ok((socket, listener))
}
