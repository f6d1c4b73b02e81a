//! Answers that end whole or break off, by framing, place and kind.

use std::{
    fmt, io,
    net::{Shutdown, TcpStream},
    thread,
    time::Duration,
};

use socket2::SockRef;

use crate::responder::{close_after, say};

/// How the end of an answer's body is marked.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Framing {
    /// The head states the length.
    Length,
    /// The body comes in chunks.
    Chunks,
    /// The body ends with its connection.
    Connection,
}

/// Where an answer breaks off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Place {
    /// In the head.
    Head,
    /// Inside the body's last piece.
    Inside,
    /// Before the body's last piece.
    Between,
    /// Behind all of the body, without the mark of its end if the framing has one.
    Behind,
}

/// How an answer breaks off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Kind {
    /// The connection is closed in an orderly way.
    Close,
    /// The connection is reset.
    Reset,
    /// Nothing more is sent.
    Silence,
}

/// An answer that breaks off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Break {
    pub framing: Framing,
    pub place: Place,
    pub kind: Kind,
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Connection];
const KINDS: [Kind; 3] = [Kind::Close, Kind::Reset, Kind::Silence];

/// All framings and kinds at some places.
pub fn breaks(places: &'static [Place]) -> impl Iterator<Item = Break> {
    let all = FRAMINGS.into_iter().flat_map(|f| places.iter().map(move |p| (f, *p)));
    all.flat_map(|(framing, place)| KINDS.map(|kind| Break { framing, place, kind }))
}

impl Break {
    /// Whether the answer looks like a whole one: its framing has no mark but the orderly close.
    pub fn looks_whole(&self) -> bool {
        let is_past_head = self.place != Place::Head;
        is_past_head && self.framing == Framing::Connection && self.kind == Kind::Close
    }

    /// Says the part before the break of an answer with status 200, and breaks off.
    pub fn play(self, stream: &mut TcpStream, pieces: &[&str]) {
        let head = head(self.framing, pieces);
        let last = pieces.last().copied().unwrap_or_default();
        let before = &pieces[..pieces.len().saturating_sub(1)];
        let part = match self.place {
            Place::Head => head[..head.len() - 4].to_owned(),
            Place::Between => head + &framed(self.framing, before),
            Place::Inside => {
                let inside = &last[..last.len() / 2];
                head + &framed(self.framing, before) + &framed(self.framing, &[inside])
            }
            Place::Behind => head + &framed(self.framing, pieces),
        };
        say(stream, &part);
        match self.kind {
            Kind::Close => stream.shutdown(Shutdown::Both).unwrap(),
            Kind::Reset => reset(stream),
            // Until the other side closes.
            Kind::Silence => drop(io::copy(stream, &mut io::sink())),
        }
    }
}

/// Says a whole answer with status 200 and closes the connection.
pub fn say_whole(stream: &mut TcpStream, framing: Framing, pieces: &[&str]) {
    let end = if framing == Framing::Chunks { "0\r\n\r\n" } else { "" };
    close_after(stream, &(head(framing, pieces) + &framed(framing, pieces) + end));
}

fn head(framing: Framing, pieces: &[&str]) -> String {
    let length: usize = pieces.iter().map(|p| p.len()).sum();
    let framed = match framing {
        Framing::Length => format!("Content-Length: {length}"),
        Framing::Chunks => "Transfer-Encoding: chunked".to_owned(),
        Framing::Connection => "Connection: close".to_owned(),
    };
    format!("HTTP/1.1 200 OK\r\n{framed}\r\n\r\n")
}

fn framed(framing: Framing, pieces: &[&str]) -> String {
    let chunk = |piece: &&str| match framing {
        Framing::Chunks => format!("{:x}\r\n{piece}\r\n", piece.len()),
        Framing::Length | Framing::Connection => (*piece).to_owned(),
    };
    pieces.iter().map(chunk).collect()
}

/// The reset is sent once the last handle of the connection is dropped, which the end of reading
/// brings about.
fn reset(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
    stream.shutdown(Shutdown::Read).unwrap();
}

/// Plays all breaks at once. `play` gives what was seen if that is wrong.
#[track_caller]
pub fn assert_all<T: fmt::Debug + Send>(
    breaks: impl Iterator<Item = Break>,
    play: impl Fn(Break) -> Option<T> + Sync,
) {
    let play = &play;
    let wrong: Vec<_> = thread::scope(|scope| {
        let played = breaks.map(|at| (at, scope.spawn(move || play(at))));
        let played: Vec<_> = played.collect();
        let seen = played.into_iter().map(|(at, seen)| (at, seen.join().unwrap()));
        seen.filter_map(|(at, seen)| Some((at, seen?))).collect()
    });
    assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
}
