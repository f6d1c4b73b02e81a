//! A stand-in for a runner, as a process of its own. Its driver writes `drain` to its standard input
//! when it is to report that it leaves, and `leave` when it is to finish its work and leave; it ends with
//! that input.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::{Head, exchange, read_body, read_head, respond};
use crate::record::{Record, unix_ms};
use crate::store::HEARTBEAT;

/// What a runner is.
#[derive(Clone, Debug)]
pub struct Spec {
    pub id: String,
    pub listen: SocketAddr,
    pub service: String,
    pub version: String,
    pub store: SocketAddr,
    /// Time between two events of a stream.
    pub gap: Duration,
    /// Whether answers have neither a length nor chunks.
    pub unframed: bool,
}

impl Spec {
    /// Returns the spec of a runner of the only service. Its addresses are set when it is started.
    pub fn new(id: &str, version: &str, gap: Duration) -> Spec {
        let unset = SocketAddr::from(([127, 0, 0, 1], 1));
        Spec {
            id: id.to_owned(),
            listen: unset,
            service: "quote-writer".to_owned(),
            version: version.to_owned(),
            store: unset,
            gap,
            unframed: false,
        }
    }

    pub fn to_args(&self) -> Vec<String> {
        let parts = [
            self.id.clone(),
            self.listen.to_string(),
            self.service.clone(),
            self.version.clone(),
            self.store.to_string(),
            self.gap.as_millis().to_string(),
            self.unframed.to_string(),
        ];
        parts.to_vec()
    }

    pub fn from_args(args: &[String]) -> Option<Spec> {
        let [id, listen, service, version, store, gap, unframed] = args else { return None };
        Some(Spec {
            id: id.clone(),
            listen: listen.parse().ok()?,
            service: service.clone(),
            version: version.clone(),
            store: store.parse().ok()?,
            gap: Duration::from_millis(gap.parse().ok()?),
            unframed: unframed.parse().ok()?,
        })
    }
}

struct Runner {
    spec: Spec,
    born: u64,
    record: Record,
    is_draining: AtomicBool,
    beats: AtomicU64,
    running: AtomicUsize,
}

/// Runs until the standard input ends.
pub fn run(spec: Spec, record: Record) -> io::Result<()> {
    let listener = TcpListener::bind(spec.listen)?;
    let runner = Arc::new(Runner {
        spec,
        born: unix_ms(),
        record,
        is_draining: AtomicBool::new(false),
        beats: AtomicU64::new(0),
        running: AtomicUsize::new(0),
    });
    let serving = Arc::clone(&runner);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runner = Arc::clone(&serving);
            thread::spawn(move || drop(runner.serve(&stream)));
        }
    });
    let beating = Arc::clone(&runner);
    thread::spawn(move || {
        loop {
            beating.beat();
            thread::sleep(HEARTBEAT);
        }
    });
    for line in io::stdin().lock().lines() {
        match line?.as_str() {
            "drain" => {
                runner.is_draining.store(true, Ordering::SeqCst);
                runner.beat();
                runner.note("reports draining");
            }
            "leave" => {
                while runner.running.load(Ordering::SeqCst) != 0 {
                    thread::sleep(Duration::from_millis(20));
                }
                runner.note("has finished its work, and leaves");
                return runner.tell_store("DELETE", "");
            }
            _ => {}
        }
    }
    Ok(())
}

impl Runner {
    fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    fn note(&self, text: &str) {
        self.record.line(&format!("runner {} ({}) {text}", self.spec.id, self.spec.version));
    }

    fn tell_store(&self, method: &str, body: &str) -> io::Result<()> {
        let request = format!(
            "{method} /entry/{} HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n{body}",
            self.spec.id,
            body.len()
        );
        exchange(self.spec.store, &request, Duration::from_secs(1), |_| {}).map(drop)
    }

    /// Writes the entry.
    fn beat(&self) {
        let state = if self.is_draining() { "draining" } else { "ready" };
        let seq = self.beats.fetch_add(1, Ordering::SeqCst);
        let Spec { service, listen, version, .. } = &self.spec;
        let entry = format!(
            "{{\"service\":\"{service}\",\"addr\":\"{listen}\",\"zone\":\"hall-a\",\
             \"version\":\"{version}\",\"slots\":64,\"state\":\"{state}\",\"coldLeftMs\":0,\
             \"born\":{},\"seq\":{seq}}}",
            self.born
        );
        // The next heartbeat makes good what is lost.
        let _ = self.tell_store("PUT", &entry);
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            read_body(&mut reader, &head)?;
            let id = self.spec.id.as_str();
            let named = ("X-Instance-Id", id);
            if head.get("x-expect-instance").is_some_and(|expected| expected != id) {
                respond(stream, "421 Misdirected Request", &[named], b"")?;
                continue;
            }
            match (head.method(), head.path()) {
                ("GET", "/report") => self.report(stream)?,
                ("GET", "/health") => match self.is_draining() {
                    true => respond(stream, "503 Service Unavailable", &[named], b"")?,
                    false => respond(stream, "200 OK", &[named], b"")?,
                },
                _ if head.get("x-attempt-id").is_none() => {
                    respond(stream, "400 Bad Request", &[("X-Not-Executed", "1")], b"")?;
                }
                _ => {
                    self.running.fetch_add(1, Ordering::SeqCst);
                    let written = self.write_stream(stream, &head);
                    self.running.fetch_sub(1, Ordering::SeqCst);
                    written?;
                    if self.spec.unframed {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    fn report(&self, stream: &TcpStream) -> io::Result<()> {
        let active = self.running.load(Ordering::SeqCst);
        let body = format!(
            "{{\"busy\":false,\"seq\":0,\"queued\":0,\"active\":{active},\"born\":{}}}",
            self.born
        );
        let mut headers = vec![("Content-Type", "application/json")];
        headers.extend(self.is_draining().then_some(("Server-Leaving", "1")));
        respond(stream, "200 OK", &headers, body.as_bytes())
    }

    /// Writes a stream: as many events as the request wants tokens, from the one after `Last-Event-Id`.
    fn write_stream(&self, mut stream: &TcpStream, head: &Head) -> io::Result<()> {
        let attempt = head.get("x-attempt-id").unwrap_or_default();
        let counts = head.get("x-token-counts").and_then(|counts| counts.split_once(','));
        let total = counts.and_then(|(_, most)| most.trim().parse::<u32>().ok()).unwrap_or(1);
        let last = head.get("last-event-id").and_then(|id| id.parse::<u32>().ok()).unwrap_or(0);
        self.note(&format!("runs attempt={attempt} from event {}", last + 1));
        let leaving = if self.is_draining() { "Server-Leaving: 1\r\n" } else { "" };
        let framing = match self.spec.unframed {
            true => "Connection: close\r\n",
            false => "Transfer-Encoding: chunked\r\n",
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: {}.{attempt}\r\n\
             X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n{leaving}{framing}\r\n",
            self.spec.id
        );
        stream.write_all(answer.as_bytes())?;
        for number in last + 1..=total {
            thread::sleep(self.spec.gap);
            let (version, id) = (&self.spec.version, &self.spec.id);
            let event = format!("id: {number}\ndata: {version} {id} {number}\n\n");
            let written = match self.spec.unframed {
                true => stream.write_all(event.as_bytes()),
                false => stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()),
            };
            if let Err(error) = written {
                self.note(&format!("drops attempt={attempt} at event {number}, channel closed"));
                return Err(error);
            }
        }
        if !self.spec.unframed {
            stream.write_all(b"0\r\n\r\n")?;
        }
        self.note(&format!("has run attempt={attempt} to its last event {total}"));
        Ok(())
    }
}
