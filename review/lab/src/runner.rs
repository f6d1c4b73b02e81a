//! Runners: of a plain service, and of a service of language models.

use std::{
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    http::{Head, Wire},
    store::{self, Store},
    world::{Record, cannot_run, unix_ms},
};

/// How a runner writes the field that tells how its answer's end is marked.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Framing {
    /// As it is.
    Sound,
    /// Some answers have one letter of that field's name spoilt.
    Spoilt,
}

pub struct Spec {
    pub id: String,
    pub service: String,
    pub version: String,
    /// `prefill` or `decode`; empty for a plain service.
    pub stage: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub slots: u32,
    /// Time between two events.
    pub gap_ms: u64,
    /// Time for a plain request.
    pub work_ms: u64,
}

/// An order that came.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: f64,
    pub runner: String,
    pub holder: String,
    pub fence: u64,
}

struct State {
    stage: String,
    version: String,
    born: u64,
    seq: u64,
}

pub struct Runner {
    pub spec: Spec,
    store: Store,
    record: Record,
    alive: AtomicBool,
    start: AtomicU64,
    state: Mutex<State>,
    open: Mutex<Vec<TcpStream>>,
    names: AtomicU64,
    /// One in so many answers is spoilt; 0: none.
    pub spoil_every: AtomicU32,
    answers: AtomicU32,
    pub orders: Mutex<Vec<Order>>,
    /// The part of prompts on which the runner crashes as it begins to write; 0: none.
    pub bad_part: AtomicU64,
    /// When a request with that part came, by its attempt; a prompt that is only read counts, too.
    pub bad: Mutex<Vec<(f64, String)>>,
    pub crashes: Mutex<Vec<f64>>,
}

pub fn event(version: &str, number: u64, attempt: &str) -> String {
    format!("id: {number}\ndata: {version} piece {number} of {attempt}\n\n")
}

/// The body of a plain request's answer.
pub fn plain_body(attempt: &str) -> String {
    let mut body = format!("answer to {attempt}: ");
    while body.len() < 800 {
        body += "0123456789abcdef ";
    }
    body
}

impl Runner {
    /// Starts a runner and puts its record into the store.
    pub fn start(spec: Spec, store: &Store, record: &Record) -> Arc<Runner> {
        let state = State {
            stage: spec.stage.clone(),
            version: spec.version.clone(),
            born: unix_ms(),
            seq: 0,
        };
        let runner = Arc::new(Runner {
            spec,
            store: store.clone(),
            record: record.clone(),
            alive: AtomicBool::new(false),
            start: AtomicU64::new(0),
            state: Mutex::new(state),
            open: Mutex::default(),
            names: AtomicU64::new(1),
            spoil_every: AtomicU32::new(0),
            answers: AtomicU32::new(0),
            orders: Mutex::default(),
            bad_part: AtomicU64::new(0),
            bad: Mutex::default(),
            crashes: Mutex::default(),
        });
        runner.listen();
        let beating = Arc::clone(&runner);
        thread::spawn(move || {
            loop {
                sleep(Duration::from_millis(1200));
                beating.beat();
            }
        });
        runner
    }

    fn listen(self: &Arc<Self>) {
        let listener = (0..100).find_map(|_| match TcpListener::bind(self.spec.addr) {
            Ok(listener) => Some(listener),
            Err(_) => {
                sleep(Duration::from_millis(50));
                None
            }
        });
        let listener = listener.unwrap_or_else(|| cannot_run("a runner's address"));
        self.alive.store(true, Ordering::SeqCst);
        let start = self.start.fetch_add(1, Ordering::SeqCst) + 1;
        let runner = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !runner.lives(start) {
                    return;
                }
                if let (Ok(clone), Ok(mut open)) = (stream.try_clone(), runner.open.lock()) {
                    open.push(clone);
                }
                let runner = Arc::clone(&runner);
                thread::spawn(move || drop(runner.serve(Wire::new(stream), start)));
            }
        });
        self.beat();
    }

    fn lives(&self, start: u64) -> bool {
        self.alive.load(Ordering::SeqCst) && self.start.load(Ordering::SeqCst) == start
    }

    /// Writes the runner's record, if the runner lives and the store answers.
    fn beat(&self) {
        if !self.alive.load(Ordering::SeqCst) {
            return;
        }
        let Ok(mut state) = self.state.lock() else { return };
        state.seq += 1;
        let entry = self.entry(&state);
        drop(state);
        self.store.put(&format!("servers/{}", self.spec.id), &entry);
    }

    fn entry(&self, state: &State) -> String {
        let Spec { service, zone, addr, slots, .. } = &self.spec;
        let State { stage, version, born, seq } = state;
        let stage = match stage.is_empty() {
            true => String::new(),
            false => format!(
                "\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],"
            ),
        };
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{addr}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\
             {stage}\"seq\":{seq},\"born\":{born}}}"
        )
    }

    /// Ends the process: all its connections are reset or closed.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        // Wakes the listener.
        let _ = TcpStream::connect_timeout(&self.spec.addr, Duration::from_millis(200));
        if let Ok(mut open) = self.open.lock() {
            for stream in open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        self.record.note(&format!("runner {} crashes", self.spec.id));
        if let Ok(mut crashes) = self.crashes.lock() {
            crashes.push(self.record.seconds());
        }
    }

    /// Returns whether a request has the part that crashes runners, and notes it if so.
    fn has_bad_part(&self, head: &Head) -> bool {
        let bad = self.bad_part.load(Ordering::SeqCst);
        let parts = head.get("x-prompt-prefix").unwrap_or("");
        let ids = parts.split(',').filter_map(|part| part.trim().split(':').next());
        let is_bad = |id: &str| u64::from_str_radix(id, 16) == Ok(bad);
        let found = bad != 0 && ids.into_iter().any(is_bad);
        if found && let Ok(mut all) = self.bad.lock() {
            let id = head.get("x-attempt-id").unwrap_or("").to_owned();
            all.push((self.record.seconds(), id));
        }
        found
    }

    /// Starts the process again under its id, with a version of its software.
    pub fn start_again(self: &Arc<Self>, version: &str) {
        if let Ok(mut state) = self.state.lock() {
            state.version = version.to_owned();
            state.stage = self.spec.stage.clone();
            state.born = unix_ms();
            state.seq = 0;
        }
        self.listen();
        self.record.note(&format!("runner {} starts again, version {version}", self.spec.id));
    }

    fn serve(self: &Arc<Self>, mut wire: Wire, start: u64) -> io::Result<()> {
        while let Some(head) = wire.head()? {
            let mut body = Vec::new();
            wire.body(&head, |piece| body.extend_from_slice(piece))?;
            if !self.lives(start) {
                return Ok(());
            }
            self.handle(&mut wire.stream, &head, &body, start)?;
        }
        Ok(())
    }

    fn handle(
        self: &Arc<Self>,
        out: &mut TcpStream,
        head: &Head,
        body: &[u8],
        start: u64,
    ) -> io::Result<()> {
        let expected = head.get("x-expect-instance");
        if expected.is_some_and(|id| id != self.spec.id) {
            let id = head.get("x-attempt-id").unwrap_or("");
            return write!(
                out,
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Instance-Id: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                self.spec.id
            );
        }
        match (head.method(), head.path()) {
            ("GET", "/report") => {
                let Ok(state) = self.state.lock() else { return Ok(()) };
                let (stage, born, seq) = (state.stage.clone(), state.born, 0);
                drop(state);
                store::answer(
                    out,
                    200,
                    &format!(
                        "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                         \"adapters\":[]}}],\"busy\":false,\"seq\":{seq},\"queued\":0,\"active\":0,\
                         \"kvUsed\":0,\"kvTotal\":40718,\"kvHandles\":0,\"born\":{born}}}"
                    ),
                )
            }
            ("POST", "/order") => self.take_order(out, body),
            ("POST", "/hold-take") => {
                let name = self.names.fetch_add(1, Ordering::SeqCst);
                store::answer(out, 200, &format!("{{\"hold\":\"h{name}\"}}"))
            }
            ("DELETE", _) => store::answer(out, 200, "{}"),
            _ if head.get("x-stage") == Some("prefill") => self.prefill(out, head),
            _ if self.spec.stage.is_empty() => self.plain(out, head),
            _ => self.stream(out, head, start),
        }
    }

    fn take_order(&self, out: &mut TcpStream, body: &[u8]) -> io::Result<()> {
        let text = String::from_utf8_lossy(body).into_owned();
        let field = |name: &str| {
            let rest = text.split(&format!("\"{name}\":")).nth(1)?;
            Some(rest.trim_start_matches('"').split(['"', ',', '}']).next()?.to_owned())
        };
        let order = Order {
            at: self.record.seconds(),
            runner: self.spec.id.clone(),
            holder: field("holder").unwrap_or_default(),
            fence: field("fence").and_then(|text| text.parse().ok()).unwrap_or(0),
        };
        let stage = field("stage").unwrap_or_default();
        self.record.note(&format!(
            "runner {} gets an order: stage {stage}, holder {}, fence {}",
            self.spec.id, order.holder, order.fence
        ));
        if let Ok(mut orders) = self.orders.lock() {
            orders.push(order);
        }
        let Ok(mut state) = self.state.lock() else { return Ok(()) };
        let holds = state.stage == stage;
        state.stage = stage;
        drop(state);
        store::answer(out, if holds { 200 } else { 202 }, "{}")
    }

    fn prefill(&self, out: &mut TcpStream, head: &Head) -> io::Result<()> {
        self.has_bad_part(head);
        sleep(Duration::from_millis(20));
        let id = head.get("x-attempt-id").unwrap_or("");
        let name = self.names.fetch_add(1, Ordering::SeqCst);
        let tokens = head.get("x-token-counts").and_then(|text| text.split(',').next());
        let body = format!(
            "{{\"kvHandle\":\"{name:012x}\",\"tokens\":{},\"version\":1}}",
            tokens.unwrap_or("0")
        );
        write!(
            out,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    fn note_run(&self, id: &str, version: &str, after: u64) {
        self.record.note(&format!("runner {} ({version}) runs {id} after {after}", self.spec.id));
    }

    fn framing(&self, id: &str) -> Framing {
        let every = self.spoil_every.load(Ordering::SeqCst);
        let count = self.answers.fetch_add(1, Ordering::SeqCst);
        if every == 0 || count % every != 0 {
            return Framing::Sound;
        }
        self.record.note(&format!("runner {} spoils the head of its answer to {id}", self.spec.id));
        Framing::Spoilt
    }

    fn plain(&self, out: &mut TcpStream, head: &Head) -> io::Result<()> {
        let id = head.get("x-attempt-id").unwrap_or("").to_owned();
        self.note_run(&id, &self.spec.version, 0);
        sleep(Duration::from_millis(self.spec.work_ms));
        let body = plain_body(&id);
        write!(
            out,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: 3e1b.{id}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    fn stream(self: &Arc<Self>, out: &mut TcpStream, head: &Head, start: u64) -> io::Result<()> {
        let id = head.get("x-attempt-id").unwrap_or("").to_owned();
        let after =
            head.get("last-event-id").and_then(|text| text.trim().parse().ok()).unwrap_or(0);
        let most = head.get("x-token-counts").and_then(|text| text.split(',').nth(1));
        let most: u64 = most.and_then(|text| text.trim().parse().ok()).unwrap_or(1);
        let version = self.state.lock().map(|state| state.version.clone()).unwrap_or_default();
        self.note_run(&id, &version, after);
        if self.has_bad_part(head) {
            sleep(Duration::from_millis(40));
            if self.lives(start) {
                self.crash();
                let runner = Arc::clone(self);
                thread::spawn(move || {
                    sleep(Duration::from_secs(3));
                    runner.start_again(&version);
                });
            }
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let field = match self.framing(&id) {
            Framing::Sound => "Transfer-Encoding",
            Framing::Spoilt => "Transfer-Encodinh",
        };
        write!(
            out,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: 3e1b.{id}\r\n\
             X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n{field}: chunked\r\n\r\n"
        )?;
        for number in after + 1..=most {
            sleep(Duration::from_millis(self.spec.gap_ms));
            if !self.lives(start) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let event = event(&version, number, &id);
            out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        out.write_all(b"0\r\n\r\n")
    }
}
