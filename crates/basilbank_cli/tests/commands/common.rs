//! A small HTTP responder in a daemon's place, and a command run against it.

use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use basilbank_cli::{Shell, Status, run};

/// A request as it came in.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Method and path.
    pub line: String,
    /// The `Authorization` header.
    pub authorization: String,
    /// The body.
    pub body: String,
}

/// Answers by method and path; 404 to all else.
pub struct Daemon {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// Gives the status and body of an answer to a method and path.
pub type Answer = dyn FnMut(&str) -> (u16, String) + Send;

impl Daemon {
    pub fn start(mut answer: Box<Answer>) -> Daemon {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (seen, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
        let (seen_by, stopped) = (Arc::clone(&seen), Arc::clone(&stop));
        let serve = move || {
            for stream in listener.incoming() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                // A request that breaks off is the command's to report.
                let _ = serve_one(stream, &seen_by, &mut answer);
            }
        };
        Daemon { address, seen, stop, thread: Some(thread::spawn(serve)) }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.address));
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

fn serve_one(
    mut stream: TcpStream,
    all: &Mutex<Vec<Seen>>,
    answer: &mut Box<Answer>,
) -> Option<()> {
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut seen = Seen::default();
    let mut length = 0;
    let mut head = String::new();
    reader.read_line(&mut head).ok()?;
    seen.line = head.split(" HTTP/").next()?.to_owned();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim().split_once(": ") else { break };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().ok()?,
            "authorization" => seen.authorization = value.to_owned(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    seen.body = String::from_utf8(body).ok()?;
    let (status, text) = answer(&seen.line);
    all.lock().unwrap().push(seen);
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{text}",
        text.len()
    );
    stream.write_all(head.as_bytes()).ok()
}

/// What a command printed, and its status.
#[derive(Debug)]
pub struct Ran {
    pub status: Status,
    pub out: String,
    pub err: String,
}

/// Runs a command with standard input and environment given.
pub fn command(args: &[&str], input: &str, env: &[(&str, &str)]) -> Ran {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let look = |name: &str| env.iter().find(|(n, _)| *n == name).map(|(_, v)| (*v).to_owned());
    let mut shell = Shell {
        input: &mut input.as_bytes(),
        out: &mut out,
        err: &mut err,
        env: &look,
        sleep: &|_| {},
    };
    let status = run(&mut shell, args.iter().map(Into::into).collect());
    let text = |bytes| String::from_utf8(bytes).unwrap();
    Ran { status, out: text(out), err: text(err) }
}
