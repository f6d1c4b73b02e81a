//! TCP connections between daemons.

use std::{io, time::Duration};

use basilbank::logs::Line;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time without data after which the peer's system is probed, and time between two probes. The system
/// counts in whole seconds, and refuses less than one.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Time without an acknowledgement, of data or of probes, after which the connection is broken. A
/// peer that falls silent for a second is kept.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Sets the options of a connection between daemons: a call that a peer makes must not wait for its
/// deadline when the peer's machine is gone.
pub fn set_options(stream: &TcpStream) {
    if let Err(error) = try_set_options(stream) {
        // The call works without, but notices a lost peer late.
        log::warn!("{}", Line::new("socket_option_failed").with("error", error));
    }
}

fn try_set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
    socket.set_tcp_keepalive(&keepalive)?;
    // With this option set, the number of probes no longer decides when they give up.
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
