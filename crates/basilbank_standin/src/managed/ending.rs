//! How an endpoint's answers are framed, and how they break off.

use std::{
    io::{self, Write},
    net::{Shutdown, TcpStream},
    time::Duration,
};

use socket2::SockRef;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How the end of an answer's body is marked.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Framing {
    /// The head states the length.
    Length,
    /// The body comes in chunks.
    #[default]
    Chunks,
    /// The body ends with its connection.
    Connection,
}

/// How an answer breaks off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BreakKind {
    /// The connection is closed in an orderly way.
    Close,
    /// The connection is reset.
    Reset,
    /// Nothing more is sent.
    Silence,
}

/// Where an answer breaks off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BreakPlace {
    /// In the head.
    Head,
    /// Inside an event of a stream, or in the middle of another body.
    Inside,
    /// Between two events of a stream, or before the first byte of another body.
    Between,
}

/// How an answer is framed, and whether it breaks off.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Ending {
    /// The framing; `None` for the usual one of the kind of answer.
    pub framing: Option<Framing>,
    /// Where and how the answer breaks off; `None` if it is whole.
    pub broken: Option<(BreakPlace, BreakKind)>,
}

/// Which answers break off, of those that an ending is for: drawn by a seed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct BreakShare {
    /// One answer in so many, on average.
    pub one_in: u64,
    /// Seed of the draws.
    pub seed: u64,
}

impl BreakShare {
    /// All answers.
    pub const ALL: BreakShare = BreakShare { one_in: 1, seed: 0 };

    /// Whether the answer of this number breaks off.
    pub(super) fn has(self, number: u64) -> bool {
        xxh3_64_with_seed(&number.to_le_bytes(), self.seed).is_multiple_of(self.one_in.max(1))
    }
}

/// Number of events of a stream before the break.
const EVENTS_BEFORE_BREAK: usize = 2;

/// Writes an answer's body.
pub(super) struct BodyWriter<'a> {
    stream: &'a TcpStream,
    framing: Framing,
    broken: Option<(BreakPlace, BreakKind)>,
    pieces: usize,
    /// Whether the break has come.
    ended: bool,
}

impl<'a> BodyWriter<'a> {
    /// Writes the head, which lacks the framing and the blank line. `length` is that of the whole body.
    pub(super) fn begin(
        mut stream: &'a TcpStream,
        head: &str,
        length: usize,
        framing: Framing,
        broken: Option<(BreakPlace, BreakKind)>,
    ) -> io::Result<BodyWriter<'a>> {
        let framed = match framing {
            Framing::Length => format!("content-length: {length}\r\n\r\n"),
            Framing::Chunks => "transfer-encoding: chunked\r\n\r\n".to_owned(),
            Framing::Connection => "connection: close\r\n\r\n".to_owned(),
        };
        let writer = BodyWriter { stream, framing, broken, pieces: 0, ended: false };
        if let Some((BreakPlace::Head, kind)) = broken {
            stream.write_all(&head.as_bytes()[..head.len() / 2])?;
            return Err(writer.break_off(kind));
        }
        stream.write_all((head.to_owned() + &framed).as_bytes())?;
        Ok(writer)
    }

    /// Writes an event of a stream.
    pub(super) fn event(&mut self, text: &str) -> io::Result<()> {
        self.piece(text, EVENTS_BEFORE_BREAK)
    }

    /// Whether the next event is the one at which the stream breaks off.
    pub(super) fn is_breaking(&self) -> bool {
        self.broken.is_some() && self.pieces == EVENTS_BEFORE_BREAK
    }

    /// Whether the answer has broken off as it was meant to.
    pub(super) fn is_broken(&self) -> bool {
        self.ended
    }

    /// Writes a whole body.
    pub(super) fn whole(mut self, body: &str) -> io::Result<()> {
        self.piece(body, 0)?;
        self.end()
    }

    fn piece(&mut self, text: &str, before: usize) -> io::Result<()> {
        if let Some((place, kind)) = self.broken.filter(|_| self.pieces == before) {
            if place == BreakPlace::Inside {
                self.write(&text[..text.len() / 2])?;
            }
            self.ended = true;
            return Err(self.break_off(kind));
        }
        self.pieces += 1;
        self.write(text)
    }

    fn write(&self, text: &str) -> io::Result<()> {
        let mut stream = self.stream;
        match self.framing {
            Framing::Chunks => {
                stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            }
            Framing::Length | Framing::Connection => stream.write_all(text.as_bytes()),
        }
    }

    /// Ends the body.
    pub(super) fn end(self) -> io::Result<()> {
        let mut stream = self.stream;
        match self.framing {
            Framing::Length => Ok(()),
            Framing::Chunks => stream.write_all(b"0\r\n\r\n"),
            Framing::Connection => {
                stream.shutdown(Shutdown::Both)?;
                Err(io::ErrorKind::ConnectionAborted.into())
            }
        }
    }

    /// Ends the answer as the end of the process does. Without a mark of its end the answer would look
    /// whole while others still reach the address, so that its connection is reset.
    pub(super) fn crash(&self) -> io::Error {
        match self.framing {
            Framing::Connection => self.break_off(BreakKind::Reset),
            Framing::Length | Framing::Chunks => io::ErrorKind::ConnectionReset.into(),
        }
    }

    /// Breaks the answer off. The error ends the connection.
    fn break_off(&self, kind: BreakKind) -> io::Error {
        let ended = match kind {
            BreakKind::Close => self.stream.shutdown(Shutdown::Both),
            // Dropping the connection then resets it.
            BreakKind::Reset => SockRef::from(self.stream).set_linger(Some(Duration::ZERO)),
            BreakKind::Silence => wait_for_close(self.stream),
        };
        // The caller may have left already.
        ended.err().unwrap_or_else(|| io::ErrorKind::ConnectionReset.into())
    }
}

/// Waits until the caller closes the connection.
fn wait_for_close(mut stream: &TcpStream) -> io::Result<()> {
    io::copy(&mut stream, &mut io::sink()).map(drop)
}
