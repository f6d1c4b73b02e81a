//! Figures of the callers' side over loopback, one `name=value` a line:
//! `cargo bench -p basilbank --bench callers`.
//!
//! The bench plays the core, so no endpoint's time is in the figures.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc,
        mpsc::{Receiver, channel},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use basilbank::callers::{Callers, PlainAnswer, Server, ServerConfig};
use basilbank_core::prelude::*;

const STREAM: &str = r#"{"model": "writer", "stream": true, "prompt": "two tall cabinets"}"#;
const EVENTS: u32 = 6;
const PAUSE: Duration = Duration::from_millis(50);
const TOKENS: u32 = 5000;
const CALLS: u32 = 5000;
const CONNECTIONS: u32 = 500;
const OPEN: usize = 500;

struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Now {
        Now { mono: Duration::ZERO, wall: SystemTime::now() }
    }
}

struct Edge {
    server: Server,
    callers: Arc<Callers>,
    events: Receiver<Event>,
}

impl Edge {
    fn start() -> Edge {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (sender, events) = channel();
        let callers = Arc::new(Callers::default());
        let config = ServerConfig::new(address, b"key", Arc::new(SystemClock));
        let server = Server::start(config, sender, Arc::clone(&callers)).expect("a free port");
        Edge { server, callers, events }
    }

    fn arrived(&self) -> CallerId {
        match self.events.recv() {
            Ok(Event::Caller(CallerEvent::Arrived(call))) => call.caller,
            other => panic!("expected a call, got {other:?}"),
        }
    }

    fn token(&self, caller: CallerId, offset: u32) {
        let answer = Answer::Tokens { offset, texts: vec!["token ".to_owned()] };
        self.callers.answer(caller, answer);
    }

    /// Posts a draft whose stream has a place.
    fn begin(&self) -> (BufReader<TcpStream>, CallerId) {
        let mut client = connect(self.server.address());
        post(&mut client, "/v1/completions", STREAM);
        let caller = self.arrived();
        let (request, entry) = (RequestId(1), EntryId::of("writer"));
        self.callers.answer(caller, Answer::Accepted { request, entry });
        let (endpoint, stream) = (EndpointId::of("decode-1"), "s1".to_owned());
        self.callers.answer(caller, Answer::Located { endpoint, stream, base_offset: 0 });
        (client, caller)
    }
}

fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).expect("a listener");
    stream.set_nodelay(true).expect("a socket option");
    BufReader::new(stream)
}

fn post(client: &mut BufReader<TcpStream>, path: &str, body: &str) {
    let length = body.len();
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer key\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    client.get_mut().write_all(text.as_bytes()).expect("an open connection");
}

/// Reads until a line that begins so.
fn read_until(client: &mut BufReader<TcpStream>, prefix: &str) {
    let mut line = String::new();
    while !line.starts_with(prefix) {
        line.clear();
        assert_ne!(client.read_line(&mut line).expect("an open connection"), 0);
    }
}

fn print(name: &str, value: f64) {
    let line = format!("{name}={value:.1}\n");
    std::io::stdout().write_all(line.as_bytes()).expect("standard output");
}

fn print_quantiles(name: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    for (quantile, index) in [("p50", times.len() / 2), ("p99", times.len() * 99 / 100)] {
        print(&format!("{name}_{quantile}_us"), times[index].as_secs_f64() * 1e6);
    }
}

/// A body whose reader makes an event, then pauses.
struct SlowEvents(u32);

impl Read for SlowEvents {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.0 == EVENTS {
            return Ok(0);
        }
        if 0 < self.0 {
            thread::sleep(PAUSE);
        }
        self.0 += 1;
        let event = b"data: token\n\n";
        buffer[..event.len()].copy_from_slice(event);
        Ok(event.len())
    }
}

/// When the first of six events that are made 50 ms apart arrives, through `rouille`.
fn rouille_flush() {
    let server = rouille::Server::new("127.0.0.1:0", |_| rouille::Response {
        status_code: 200,
        headers: Vec::new(),
        data: rouille::ResponseBody::from_reader(SlowEvents(0)),
        upgrade: None,
    });
    let server = server.expect("a free port");
    let address = server.server_addr();
    let (handle, stop) = server.stoppable();
    let start = Instant::now();
    let mut client = connect(address);
    post(&mut client, "/", "");
    read_until(&mut client, "data: ");
    print("rouille_first_event_ms", start.elapsed().as_secs_f64() * 1e3);
    drop(client);
    // Nobody waits for this thread's end if it is gone already.
    let _ = stop.send(());
    handle.join().expect("no panic");
}

/// The same through this server.
fn edge_flush(edge: &Edge) {
    let start = Instant::now();
    let (mut client, caller) = edge.begin();
    let callers = Arc::clone(&edge.callers);
    let core = thread::spawn(move || {
        for offset in 0..EVENTS {
            let answer = Answer::Tokens { offset, texts: vec!["token".to_owned()] };
            callers.answer(caller, answer);
            thread::sleep(PAUSE);
        }
    });
    read_until(&mut client, "data: ");
    print("edge_first_event_ms", start.elapsed().as_secs_f64() * 1e3);
    core.join().expect("no panic");
    drop(client);
    wait_for_departure(edge);
}

fn wait_for_departure(edge: &Edge) {
    let event = edge.events.recv();
    assert!(matches!(event, Ok(Event::Caller(CallerEvent::Left(_)))));
}

/// From the core's answer to the caller's having read it, one token at a time.
fn token_latency(edge: &Edge) {
    let (mut client, caller) = edge.begin();
    let mut times = Vec::new();
    for offset in 0..TOKENS {
        let start = Instant::now();
        edge.token(caller, offset);
        read_until(&mut client, "data: ");
        times.push(start.elapsed());
    }
    print_quantiles("token", times);
    drop(client);
    wait_for_departure(edge);
}

/// From connecting to having read the first token, each time on a new connection.
fn first_token_latency(edge: &Edge) {
    let mut times = Vec::new();
    for _ in 0..CONNECTIONS {
        let start = Instant::now();
        let (mut client, caller) = edge.begin();
        edge.token(caller, 0);
        read_until(&mut client, "data: ");
        times.push(start.elapsed());
        drop(client);
        wait_for_departure(edge);
    }
    print_quantiles("first_token", times);
}

/// A whole plain call whose service answers at once.
fn plain_latency(edge: &Edge) {
    let mut client = connect(edge.server.address());
    let mut times = Vec::new();
    for _ in 0..CALLS {
        let start = Instant::now();
        post(&mut client, "/desk/stock", "");
        let caller = edge.arrived();
        let attempt = AttemptKey::default();
        let answer = PlainAnswer { status: 200, headers: Vec::new(), body: "ok".into() };
        edge.callers.hold_answer(attempt, answer);
        edge.callers.answer(caller, Answer::Plain { attempt });
        read_until(&mut client, "\r\n");
        let mut body = [0; 2];
        client.read_exact(&mut body).expect("a body");
        times.push(start.elapsed());
    }
    print_quantiles("plain", times);
}

/// Resident memory of one open stream, the client's socket and buffer included.
fn stream_memory(edge: &Edge) {
    let before = resident();
    let open: Vec<_> = (0..OPEN).map(|_| edge.begin()).collect();
    for (_, caller) in &open {
        edge.token(*caller, 0);
    }
    let clients = open.into_iter().map(|(mut client, _)| {
        read_until(&mut client, "data: ");
        client
    });
    let clients: Vec<_> = clients.collect();
    let after = resident();
    print("stream_kib", (after - before) / OPEN as f64);
    drop(clients);
}

/// Resident memory in KiB; 0 where the system does not say.
fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.trim().strip_suffix(" kB"));
    value.and_then(|value| value.parse().ok()).unwrap_or_default()
}

fn main() {
    rouille_flush();
    let edge = Edge::start();
    edge_flush(&edge);
    first_token_latency(&edge);
    token_latency(&edge);
    plain_latency(&edge);
    stream_memory(&edge);
}
