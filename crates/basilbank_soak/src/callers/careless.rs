//! Callers that keep no limits: they begin requests, don't end them, and stay. What they see isn't
//! recorded, since any answer or close is allowed; the checks are those of all others.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use super::CONNECT;

/// Connections that are open at once, to all daemons together.
const CONNECTIONS: usize = 24;

/// Pause between two turns, in which each connection sends a little.
const TURN_PAUSE: Duration = Duration::from_millis(100);

/// Longest time for a write, to a daemon that doesn't read.
const WRITE: Duration = Duration::from_millis(5);

/// A body as long as the configuration allows.
const BODY_BYTES: usize = 65_536;

/// Opens connections and keeps them open until `stop`. One that is closed is opened anew, at the next
/// daemon.
pub(super) fn run_careless(daemons: &[SocketAddr], stop: &AtomicBool) {
    let mut open: Vec<Option<TcpStream>> = (0..CONNECTIONS).map(|_| None).collect();
    let mut opened = 0;
    while !stop.load(Ordering::Relaxed) {
        for (number, slot) in open.iter_mut().enumerate() {
            let is_open =
                slot.as_mut().is_some_and(|stream| stream.write_all(b"1\r\nx\r\n").is_ok());
            if !is_open && !stop.load(Ordering::Relaxed) {
                *slot = begin(daemons[opened % daemons.len()], number);
                opened += 1;
            }
        }
        thread::sleep(TURN_PAUSE);
    }
}

/// Opens a connection and sends a part of a request; `None` if the daemon isn't there.
fn begin(daemon: SocketAddr, number: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&daemon, CONNECT).ok()?;
    stream.set_write_timeout(Some(WRITE)).ok()?;
    let head = "POST /stock/careless HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: careless\r\n";
    let begun = match number % 4 {
        0 => format!("{head}transfer-encoding: chunked\r\n\r\n"),
        1 => format!("{head}transfer-encoding: chunked\r\n\r\n{}", "1\r\nx\r\n".repeat(10_000)),
        2 => format!("{head}content-length: {BODY_BYTES}\r\n\r\n{}", "x".repeat(BODY_BYTES / 2)),
        _ => format!("{head}x-filling: {}", "y".repeat(4000)),
    };
    // It goes on with what was taken of it.
    let _ = stream.write_all(begun.as_bytes());
    Some(stream)
}
