//! As much of HTTP/1.1 as the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or the head of an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection that is read with a buffer.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn broken() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    /// Reads more bytes. Returns 0 at the end.
    pub fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16384];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// What was read and not taken.
    pub fn read(&self) -> &[u8] {
        &self.buffer
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(k, v)| (k.to_owned(), v.trim().to_owned())).collect();
                return Ok(Some(Head { line, headers }));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(broken()) };
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(broken());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn text_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(broken());
            }
        }
    }

    /// Reads a body piece by piece. `Ok(true)` if it came to its marked end, `Ok(false)` if the
    /// connection's end is all that marks it.
    pub fn body(&mut self, head: &Head, mut piece: impl FnMut(&[u8])) -> io::Result<bool> {
        let chunked = head.get("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        if chunked {
            loop {
                let line = self.text_line()?;
                let size = line.split(';').next().unwrap_or("").trim().to_owned();
                let size = usize::from_str_radix(&size, 16).map_err(|_| broken())?;
                if size == 0 {
                    while !self.text_line()?.is_empty() {}
                    return Ok(true);
                }
                let data = self.exactly(size)?;
                piece(&data);
                self.exactly(2)?;
            }
        }
        if let Some(length) = head.get("content-length").and_then(|v| v.parse().ok()) {
            let data = self.exactly(length)?;
            piece(&data);
            return Ok(true);
        }
        if !head.line.starts_with("HTTP/") || head.status() == 204 {
            return Ok(true);
        }
        loop {
            let data = std::mem::take(&mut self.buffer);
            if !data.is_empty() {
                piece(&data);
            }
            if self.fill()? == 0 {
                return Ok(false);
            }
        }
    }
}

/// What a client saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the answer came to its marked end.
    pub whole: bool,
    pub error: String,
    pub took_ms: u128,
}

/// Sends one request over a connection of its own.
pub fn ask(to: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Seen {
    let started = Instant::now();
    let mut seen = Seen::default();
    let result = (|| -> io::Result<()> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(limit))?;
        let mut wire = Wire::new(stream);
        wire.stream.write_all(head.as_bytes())?;
        wire.stream.write_all(body)?;
        seen.head = wire.head()?.ok_or_else(broken)?;
        seen.status = seen.head.status();
        let mut got = Vec::new();
        let whole = wire.body(&seen.head, |data| got.extend_from_slice(data));
        seen.body = got;
        seen.whole = whole?;
        Ok(())
    })();
    if let Err(error) = result {
        seen.error = error.to_string();
    }
    seen.took_ms = started.elapsed().as_millis();
    seen
}
