//! Answers whose head a test gives byte for byte.

use std::{
    io::{self, Write},
    net::{Shutdown, TcpStream},
    thread,
    time::Duration,
};

use socket2::SockRef;

use super::{
    ending::{BreakKind, Framing},
    http::Request,
};

/// Time for the caller to read what came before a reset, which would drop it.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// What an endpoint writes in place of an answer's head, and what follows it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct GivenAnswer {
    /// What stands for the status.
    pub status: &'static str,
    /// Lines before those with the call's id and the seal, each with its line end.
    pub first: &'static str,
    /// Lines after those with the call's id and the seal, each with its line end, and the blank line.
    pub lines: &'static str,
    /// How the sound body that follows is written; `None` if nothing follows.
    pub body: Option<Framing>,
    /// What the endpoint does with the connection then: to be silent is to keep it.
    pub end: BreakKind,
}

impl GivenAnswer {
    /// The bytes of the answer to the call with the id, whose body this is.
    fn bytes(&self, id: &str, body: &str) -> String {
        let GivenAnswer { status, first, lines, .. } = self;
        let own = format!("x-attempt-id: {id}\r\nx-server-seal: seal\r\n");
        let head = format!("HTTP/1.1 {status} x\r\n{first}{own}");
        let body = match self.body {
            None => String::new(),
            Some(Framing::Length | Framing::Connection) => body.to_owned(),
            Some(Framing::Chunks) => format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
        };
        head + lines + &body
    }

    /// Writes the answer to a call.
    pub(super) fn write(
        &self,
        mut stream: &TcpStream,
        request: &Request,
        body: &str,
    ) -> io::Result<()> {
        let id = request.header("x-attempt-id").unwrap_or_default();
        stream.write_all(self.bytes(id, body).as_bytes())?;
        match self.end {
            BreakKind::Silence => return Ok(()),
            BreakKind::Close => stream.shutdown(Shutdown::Both)?,
            BreakKind::Reset => {
                thread::sleep(RESET_DELAY);
                SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
            }
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}
