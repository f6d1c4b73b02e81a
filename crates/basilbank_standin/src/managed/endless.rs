//! Answers that never end.

use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use super::http::Request;

/// Longest time for which an endpoint writes.
const MAX_TIME: Duration = Duration::from_secs(20);

/// Pause between two pieces of a slow answer.
const SLOW_PIECE: Duration = Duration::from_millis(50);

/// What an endpoint writes without end in place of an answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Endless {
    /// A body, with this status.
    Body(u16),
    /// The same in chunks.
    Chunks(u16),
    /// A body that announces a length which it never reaches.
    Length,
    /// A body that names an encoding which it doesn't have.
    Encoded,
    /// Bytes that are zero.
    Zeros,
    /// The size of a chunk.
    ChunkSize,
    /// The extensions of a chunk.
    Extensions,
    /// The trailers after the last chunk.
    Trailers,
    /// Comments in a stream of events.
    Comments,
    /// The same, slowly.
    SlowComments,
    /// One event.
    Event,
    /// Events with data and without ids.
    Data,
    /// Events with one id.
    OneId,
    /// Informational heads.
    Continue,
    /// A header that has no end.
    Head,
    /// Headers, slowly.
    SlowHead,
}

impl Endless {
    /// What comes first, what comes over and over, and the pause after each piece.
    fn pieces(self, id: &str) -> (String, String, Duration) {
        let head = |status: u16, more: &str| {
            format!("HTTP/1.1 {status} x\r\nx-attempt-id: {id}\r\nx-server-seal: seal\r\n{more}")
        };
        let chunked = "transfer-encoding: chunked\r\n\r\n";
        let events = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let (much, fast) = ("x".repeat(16 << 10), Duration::ZERO);
        match self {
            Endless::Body(status) => (head(status, "\r\n"), much, fast),
            Endless::Chunks(status) => (head(status, chunked), chunk(&much), fast),
            Endless::Length => {
                (head(200, "content-length: 1152921504606846976\r\n\r\n"), much, fast)
            }
            Endless::Encoded => (head(200, "content-encoding: gzip\r\n\r\n"), much, fast),
            Endless::Zeros => (String::new(), "\0".repeat(16 << 10), fast),
            Endless::ChunkSize => (head(200, chunked), "0".repeat(16 << 10), fast),
            Endless::Extensions => (head(200, chunked) + "5;", much, fast),
            Endless::Trailers => (head(200, chunked) + "0\r\n", "a: b\r\n".repeat(1000), fast),
            Endless::Comments => (head(200, events), chunk(&": x\n\n".repeat(1000)), fast),
            Endless::SlowComments => (head(200, events), chunk(": x\n\n"), SLOW_PIECE),
            Endless::Event => (head(200, events) + &chunk("data: "), chunk(&much), fast),
            Endless::Data => (head(200, events), chunk("data: token 1\n\n"), fast),
            Endless::OneId => (head(200, events), chunk("id: 1\ndata: token 1\n\n"), fast),
            Endless::Continue => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(100), fast),
            Endless::Head => (head(200, "a: "), much, fast),
            Endless::SlowHead => (head(200, ""), "a: b\r\n".to_owned(), SLOW_PIECE),
        }
    }
}

/// Writes until the caller closes the connection.
pub(super) fn write(mut stream: &TcpStream, request: &Request, endless: Endless) {
    let id = request.header("x-attempt-id").unwrap_or_default();
    let (first, piece, pause) = endless.pieces(id);
    let began = Instant::now();
    let mut is_open = stream.set_write_timeout(Some(MAX_TIME)).is_ok()
        && stream.write_all(first.as_bytes()).is_ok();
    while is_open && began.elapsed() < MAX_TIME {
        is_open = stream.write_all(piece.as_bytes()).is_ok();
        thread::sleep(pause);
    }
}
