//! A tiny HTTP server whose every byte a test decides.

use std::{
    io::{BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::Duration,
};

/// Longest wait for anything in these tests; a test that reaches it fails.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// One request as it came.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Method and target, for example `GET /load`.
    pub line: String,
    /// Header lines, names in lower case.
    pub headers: Vec<String>,
    /// The body.
    pub body: String,
}

/// The server. It ends with the test's process.
pub struct Responder {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Receiver<Seen>,
}

impl Responder {
    /// Starts a server that answers each request by `answer`, one thread a connection.
    pub fn start(answer: impl Fn(&Seen, &mut TcpStream) + Send + Sync + 'static) -> Responder {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, seen) = channel();
        let answer = Arc::new(answer);
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (answer, sender) = (Arc::clone(&answer), sender.clone());
                thread::spawn(move || serve(stream, &*answer, &sender));
            }
        });
        Responder { address, seen }
    }

    /// A server that gives the same answer to all.
    pub fn fixed(status: u16, body: &str) -> Responder {
        let answer = answer(status, body);
        Responder::start(move |_, stream| stream.write_all(answer.as_bytes()).unwrap())
    }

    /// The next request that came.
    pub fn next(&self) -> Seen {
        self.seen.recv_timeout(PATIENCE).expect("a request")
    }
}

/// Says something and closes the connection.
pub fn close_after(stream: &mut TcpStream, bytes: &str) {
    say(stream, bytes);
    stream.shutdown(Shutdown::Both).unwrap();
}

/// Writes all of it.
pub fn say(stream: &mut TcpStream, bytes: &str) {
    stream.write_all(bytes.as_bytes()).unwrap();
}

/// An answer with a length.
pub fn answer(status: u16, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// The head of an answer that ends with its connection.
pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

fn serve(stream: TcpStream, answer: &dyn Fn(&Seen, &mut TcpStream), seen: &Sender<Seen>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut stream = stream;
    while let Some(request) = read(&mut reader) {
        let _ = seen.send(request.clone());
        answer(&request, &mut stream);
    }
}

fn read(reader: &mut impl BufRead) -> Option<Seen> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim().is_empty() {
            break;
        }
        lines.push(line.trim().to_owned());
    }
    let first = lines.remove(0);
    let headers: Vec<String> = lines.iter().map(|l| lower_name(l)).collect();
    let length = headers.iter().find_map(|h| h.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |l| l.parse().unwrap())];
    reader.read_exact(&mut body).ok()?;
    let line = first.trim_end_matches(" HTTP/1.1").to_owned();
    Some(Seen { line, headers, body: String::from_utf8(body).unwrap() })
}

fn lower_name(line: &str) -> String {
    let (name, value) = line.split_once(':').unwrap();
    format!("{}:{value}", name.to_lowercase())
}
