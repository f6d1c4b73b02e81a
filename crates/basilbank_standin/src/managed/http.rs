//! Just enough HTTP/1.1 for stand-ins, by hand.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use socket2::Socket;

use super::proxy;

/// Longest wait of a test's own call.
const PATIENCE: Duration = Duration::from_secs(20);

/// One request, as it came.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path, with the query.
    pub target: String,
    /// The headers; names in lowercase.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// A header's value.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The path, without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, unescaped.
    #[must_use]
    pub fn param(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        let text = percent_encoding::percent_decode_str(value).decode_utf8_lossy();
        Some(text.into_owned())
    }
}

/// One answer, as it came.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers; names in lowercase.
    pub headers: HashMap<String, String>,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// It came to its end.
    pub whole: bool,
}

impl Answer {
    /// The body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// A header's value.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Calls over a new connection.
///
/// # Errors
/// There is no answer.
pub fn call(
    to: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Answer> {
    let mut text = format!("{line} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += &format!("content-length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut stream = TcpStream::connect(to)?;
    stream.write_all(text.as_bytes())?;
    stream.write_all(body)?;
    read_answer(&mut BufReader::new(stream))
}

/// Sends bytes over a connection of one's own, and reads one answer.
///
/// # Errors
/// There is no answer.
pub fn exchange(stream: &TcpStream, bytes: &[u8]) -> io::Result<Answer> {
    (&*stream).write_all(bytes)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    read_answer(&mut BufReader::new(stream.try_clone()?))
}

/// Reads one answer.
///
/// # Errors
/// There is none. One that breaks off is no error: it isn't whole.
pub fn read_answer(from: &mut impl BufRead) -> io::Result<Answer> {
    let (first, headers) = read_head(from)?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| io::Error::other(format!("no answer: {first:?}")))?;
    let mut answer = Answer { status, headers, ..Answer::default() };
    let has_no_body = matches!(status, 204 | 304);
    answer.whole = has_no_body || read_body(from, &answer.headers, &mut answer.body).is_ok();
    Ok(answer)
}

/// Reads the first line and the headers.
pub(super) fn read_head(from: &mut impl BufRead) -> io::Result<(String, HashMap<String, String>)> {
    let first = read_line(from)?;
    let mut headers = HashMap::new();
    loop {
        let line = read_line(from)?;
        if line.is_empty() {
            return Ok((first, headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a body by its length or its chunks, else to the connection's orderly end. What came before
/// an error is in `body`.
pub(super) fn read_body(
    from: &mut impl BufRead,
    headers: &HashMap<String, String>,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    if headers.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        return read_chunks(from, body);
    }
    match headers.get("content-length") {
        Some(length) => read_bytes(from, length.parse().map_err(io::Error::other)?, body),
        None => from.read_to_end(body).map(drop),
    }
}

fn read_chunks(from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(from)?;
        let size = line.split(';').next().unwrap_or_default().trim_end();
        let size = u64::from_str_radix(size, 16).map_err(io::Error::other)?;
        if size == 0 {
            break;
        }
        read_bytes(from, size, body)?;
        if !read_line(from)?.is_empty() {
            return Err(io::Error::other("a chunk is longer than its size"));
        }
    }
    // Trailers may come before the blank line.
    while !read_line(from)?.is_empty() {}
    Ok(())
}

/// Appends that many bytes.
fn read_bytes(from: &mut impl BufRead, count: u64, body: &mut Vec<u8>) -> io::Result<()> {
    let read = from.take(count).read_to_end(body)?;
    if (read as u64) < count { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) }
}

/// Reads a line without its line break. A line that lacks it has been broken off.
fn read_line(from: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    from.read_line(&mut line)?;
    if !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    line.truncate(line.trim_end().len());
    Ok(line)
}

/// A listener whose connections each have a thread. Dropping it closes all of them.
pub(super) struct Listener {
    address: SocketAddr,
    /// Keeps the port while nothing listens there.
    _reserved: Socket,
    ended: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<Weak<TcpStream>>>>,
    thread: Option<JoinHandle<()>>,
}

impl Listener {
    /// Listens on loopback; port 0 lets the system choose.
    pub(super) fn start(
        port: u16,
        serve: impl Fn(&TcpStream, &Request) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<Listener> {
        let reserved = proxy::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))?;
        let address = reserved.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let listener = proxy::listen(address)?;
        let (ended, open) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (is_ended, streams, serve) = (Arc::clone(&ended), Arc::clone(&open), Arc::new(serve));
        let thread = thread::spawn(move || {
            for stream in listener.incoming() {
                if is_ended.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let stream = Arc::new(stream);
                let mut open = streams.lock().unwrap_or_else(PoisonError::into_inner);
                open.retain(|kept: &Weak<TcpStream>| kept.strong_count() != 0);
                open.push(Arc::downgrade(&stream));
                drop(open);
                let serve = Arc::clone(&serve);
                // A connection ends when its caller closes it, or when serving it says so.
                thread::spawn(move || drop(converse(&stream, &*serve)));
            }
        });
        Ok(Listener { address, _reserved: reserved, ended, open, thread: Some(thread) })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it listens.
    pub(super) fn is_open(&self) -> bool {
        self.thread.is_some()
    }

    /// Resets nothing, but closes all connections.
    pub(super) fn close_all(&self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in open.drain(..).filter_map(|kept| kept.upgrade()) {
            // It may have been closed before.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Nothing listens at its port any more. Open connections live on.
    pub(super) fn stop_listening(&mut self) {
        let Some(thread) = self.thread.take() else { return };
        self.ended.store(true, Ordering::Relaxed);
        // The thread waits in accept; a connection wakes it.
        let _ = TcpStream::connect(self.address);
        // Its port is free once it has ended. A panic there leaves nothing to wait for.
        let _ = thread.join();
    }

    /// Ends it: nothing listens at its port any more, and all connections are closed.
    pub(super) fn close(&mut self) {
        self.stop_listening();
        self.close_all();
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.close();
    }
}

fn converse(
    stream: &TcpStream,
    serve: &dyn Fn(&TcpStream, &Request) -> io::Result<()>,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (first, headers) = read_head(&mut reader)?;
        let mut words = first.split(' ').map(str::to_owned);
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let mut request = Request { method, target, headers, body: Vec::new() };
        let framed = ["content-length", "transfer-encoding"];
        if framed.iter().any(|name| request.headers.contains_key(*name)) {
            read_body(&mut reader, &request.headers, &mut request.body)?;
        }
        serve(stream, &request)?;
    }
}

/// Writes a whole answer.
pub(super) fn write_answer(
    mut stream: &TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    stream.write_all(&answer_bytes(status, headers, body))
}

/// The bytes of a whole answer.
pub(super) fn answer_bytes(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    [text.as_bytes(), body].concat()
}
