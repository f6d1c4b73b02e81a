//! Second answers to requests that were answered before.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use super::{
    http::{Request, answer_bytes},
    inside::lock,
    serving::Serving,
};

/// Kind of a request that is answered twice.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub enum AnsweredTwice {
    /// A call.
    #[default]
    Call,
    /// A request to hold a slot.
    Slot,
    /// An order.
    Order,
}

/// What an endpoint writes a second time after each answer to a request of a kind.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SecondAnswer {
    /// Its status.
    pub status: u16,
    /// Whether it says that the call has not run.
    pub not_executed: bool,
    /// Whether it carries the id of the call that it is for.
    pub has_id: bool,
    /// Whether it carries the mark of an endpoint's own answers.
    pub sealed: bool,
    /// Which requests it answers twice.
    pub to: AnsweredTwice,
    /// Its body.
    pub body: &'static str,
    /// Time after the first answer; `None` if it is written right before the answer to the next call over
    /// the same connection.
    pub delay: Option<Duration>,
}

impl SecondAnswer {
    /// A refusal without an id.
    #[must_use]
    pub fn refusal(status: u16) -> SecondAnswer {
        SecondAnswer { status, not_executed: status != 421, ..SecondAnswer::failure(status) }
    }

    /// A failure without an id.
    #[must_use]
    pub fn failure(status: u16) -> SecondAnswer {
        SecondAnswer {
            status,
            not_executed: false,
            has_id: false,
            sealed: false,
            to: AnsweredTwice::Call,
            body: "second",
            delay: None,
        }
    }

    /// An answer that names a slot.
    #[must_use]
    pub fn slot() -> SecondAnswer {
        SecondAnswer { body: r#"{"hold":"second"}"#, ..SecondAnswer::failure(200) }
    }

    /// A refusal as an endpoint writes it.
    #[must_use]
    pub fn own_refusal() -> SecondAnswer {
        SecondAnswer { has_id: true, ..SecondAnswer::refusal(503) }
    }

    fn bytes(self, id: &str) -> Vec<u8> {
        let not_executed = self.not_executed.then_some(("x-not-executed", "1"));
        let id = self.has_id.then_some(("x-attempt-id", id));
        let seal = self.sealed.then_some(("x-server-seal", "seal"));
        let headers: Vec<_> = not_executed.into_iter().chain(id).chain(seal).collect();
        answer_bytes(self.status, &headers, self.body.as_bytes())
    }
}

/// Second answers that are to be written.
#[derive(Debug, Default)]
pub(super) struct SecondAnswers {
    kind: Option<SecondAnswer>,
    /// By the address at the other end of their connection, which a later one may have, too.
    held_back: HashMap<SocketAddr, HeldBack>,
}

/// A second answer that is to be written.
#[derive(Debug)]
struct HeldBack {
    bytes: Vec<u8>,
    stream: TcpStream,
}

impl SecondAnswers {
    pub(super) fn is_none(&self) -> bool {
        self.kind.is_none()
    }

    pub(super) fn set(&mut self, kind: Option<SecondAnswer>) {
        self.kind = kind;
    }
}

impl Serving {
    /// Answers a request of a kind, and those of the kind that are answered twice a second time.
    pub(super) fn serve_twice(
        &self,
        stream: &TcpStream,
        request: &Request,
        kind: AnsweredTwice,
        answer: impl FnOnce() -> io::Result<()>,
    ) -> io::Result<()> {
        let twice = lock(&self.inside).seconds.kind.map_or(AnsweredTwice::Call, |second| second.to);
        // Second answers to other requests than calls stand before any answer.
        if kind == AnsweredTwice::Call || twice != AnsweredTwice::Call {
            self.write_second(stream)?;
        }
        answer()?;
        if kind == twice { self.hold_back_second(stream, request) } else { Ok(()) }
    }

    /// Writes the second answer to the former request over the connection, if there is one.
    fn write_second(&self, stream: &TcpStream) -> io::Result<()> {
        // Whoever takes the bytes writes them before anything else is written.
        let mut inside = lock(&self.inside);
        if let Some(mut second) = inside.seconds.held_back.remove(&stream.peer_addr()?) {
            inside.served.seconds += 1;
            // The caller may have closed the connection.
            let _ = second.stream.write_all(&second.bytes);
        }
        Ok(())
    }

    /// Holds back the second answer to a request that was just answered.
    fn hold_back_second(&self, stream: &TcpStream, request: &Request) -> io::Result<()> {
        let seconds = &mut lock(&self.inside).seconds;
        let Some(kind) = seconds.kind else { return Ok(()) };
        let id = request.header("x-attempt-id").unwrap_or_default();
        let second = HeldBack { bytes: kind.bytes(id), stream: stream.try_clone()? };
        seconds.held_back.insert(stream.peer_addr()?, second);
        if let Some(delay) = kind.delay {
            let (serving, stream) = (self.clone(), stream.try_clone()?);
            thread::spawn(move || {
                thread::sleep(delay);
                // It has no other end any more if the caller has closed it.
                let _ = serving.write_second(&stream);
            });
        }
        Ok(())
    }
}
