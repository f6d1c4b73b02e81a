//! One port for UDP and TCP.

use std::{
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
};

/// Ports that are tried when the system may choose.
const TRIES: usize = 16;

/// Binds both. With port 0 the system chooses a UDP port, which may be taken for TCP; another one is
/// tried then.
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
    let socket = UdpSocket::bind(address)?;
    let listener = TcpListener::bind(socket.local_addr()?)?;
    Ok((socket, listener))
}
