//! How an endpoint answers.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use super::{
    ending::{BodyWriter, BreakKind, BreakPlace, Ending},
    endless,
    endpoint::FIRST_VERSION,
    http::{Request, answer_bytes, write_answer},
    inside::{Caches, Inside, lock},
    misdeed::Misdeed,
    second_answer::AnsweredTwice,
    served::{Arrival, PauseRequest, TakenCache},
};

/// The end of the path of a call that crashes each endpoint that runs it.
pub const DEADLY: &str = "/deadly";

/// A part of prompts that crashes each endpoint that begins an answer on it.
pub const DEADLY_PART: &str = "deadbeef";

/// Time from the beginning of such an answer to the endpoint's end.
const PART_DELAY: Duration = Duration::from_millis(40);

/// Time between two events of a stream.
const EVENT_TIME: Duration = Duration::from_millis(5);

/// One start of an endpoint, as its connections see it.
#[derive(Clone)]
pub(super) struct Serving {
    pub(super) instance: String,
    pub(super) inside: Arc<Mutex<Inside>>,
    pub(super) caches: Caches,
}

impl Serving {
    /// Answers one request.
    pub(super) fn serve(&self, stream: &TcpStream, request: &Request) -> io::Result<()> {
        self.wait_out_silence();
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.instance) {
            return write_answer(stream, 421, &[("x-instance-id", &self.instance)], b"");
        }
        self.arrive(request);
        let (misdeed, crashed) = self.condition();
        if crashed {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if misdeed == Misdeed::Silent {
            return Ok(());
        }
        let pause = lock(&self.inside).pause;
        match (request.method.as_str(), request.path()) {
            ("GET", "/report") => self.report(stream),
            ("POST", _) | ("GET", _) if let Some(pause) = pause => {
                self.ask_pause(stream, request, pause)
            }
            ("POST", "/hold-take") => {
                self.serve_twice(stream, request, AnsweredTwice::Slot, || {
                    self.hold(stream, misdeed)
                })
            }
            ("POST", "/order") => self
                .serve_twice(stream, request, AnsweredTwice::Order, || self.order(stream, request)),
            ("DELETE", path) if path.starts_with("/hold-drop/") => {
                lock(&self.inside).served.dropped += 1;
                self.reply(stream, 200, &[], b"")
            }
            ("DELETE", path) if path.starts_with("/kv-handle/") => {
                lock(&self.inside).served.freed += 1;
                self.reply(stream, 200, &[], b"")
            }
            _ => self.serve_twice(stream, request, AnsweredTwice::Call, || {
                self.serve_call(stream, request, misdeed)
            }),
        }
    }

    fn serve_call(
        &self,
        stream: &TcpStream,
        request: &Request,
        misdeed: Misdeed,
    ) -> io::Result<()> {
        if misdeed == Misdeed::Full || self.refuses_now(request) {
            return self.refuse(stream, request);
        }
        match request.header("x-stage") {
            Some("prefill") => self.prefill(stream, request),
            _ => self.run(stream, request, misdeed),
        }
    }

    /// Whether it refuses the call because that arrives for the first time.
    fn refuses_now(&self, request: &Request) -> bool {
        let inside = lock(&self.inside);
        let id = attempt_id(request);
        inside.refuses_first
            && inside.served.arrived.iter().filter(|arrival| arrival.id == id).count() == 1
    }

    fn condition(&self) -> (Misdeed, bool) {
        let inside = lock(&self.inside);
        (inside.misdeed, inside.has_ended || inside.served.crashed.is_some())
    }

    fn arrive(&self, request: &Request) {
        let line = format!("{} {}", request.method, request.path());
        let arrival = Arrival { at: Instant::now(), line, id: attempt_id(request) };
        lock(&self.inside).served.arrived.push(arrival);
    }

    /// Answers, with what the endpoint states in all its answers.
    fn reply(
        &self,
        stream: &TcpStream,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let stated = self.stated();
        let all: Vec<_> = headers.iter().copied().chain(stated).collect();
        write_answer(stream, status, &all, body)
    }

    /// What the endpoint states in all its answers.
    fn stated(&self) -> Option<(&'static str, &'static str)> {
        let mut inside = lock(&self.inside);
        if !inside.leaving {
            return None;
        }
        inside.served.said_leaving.get_or_insert_with(Instant::now);
        Some(("server-leaving", "1"))
    }

    fn ask_pause(&self, stream: &TcpStream, request: &Request, pause: Duration) -> io::Result<()> {
        let asked = PauseRequest { at: Instant::now(), pause, id: attempt_id(request) };
        lock(&self.inside).served.asked_pauses.push(asked);
        let id = request.header("x-attempt-id").unwrap_or_default();
        let seconds = pause.as_secs_f64().to_string();
        let headers =
            [("x-not-executed", "1"), ("x-attempt-id", id), ("retry-after", seconds.as_str())];
        self.reply(stream, 503, &headers, b"")
    }

    fn report(&self, stream: &TcpStream) -> io::Result<()> {
        let mut inside = lock(&self.inside);
        inside.has_ended |= std::mem::take(&mut inside.ends_after_report);
        let report = json!({
            "stage": inside.stage, "models": [], "busy": false, "seq": inside.served.orders.len(),
            "queued": 0, "active": inside.served.active, "kvUsed": 0, "kvTotal": 100_000,
            "kvHandles": inside.handles.len(), "born": inside.born,
        });
        drop(inside);
        self.reply(stream, 200, &[], report.to_string().as_bytes())
    }

    fn refuse(&self, stream: &TcpStream, request: &Request) -> io::Result<()> {
        let id = request.header("x-attempt-id").unwrap_or_default();
        self.reply(stream, 503, &[("x-not-executed", "1"), ("x-attempt-id", id)], b"")
    }

    fn hold(&self, stream: &TcpStream, misdeed: Misdeed) -> io::Result<()> {
        let mut inside = lock(&self.inside);
        if misdeed == Misdeed::Full || inside.is_full() {
            drop(inside);
            return self.reply(stream, 503, &[], b"");
        }
        inside.served.holds += 1;
        let hold = json!({ "hold": format!("hold-{}", inside.served.holds) });
        drop(inside);
        self.reply(stream, 200, &[], hold.to_string().as_bytes())
    }

    fn order(&self, stream: &TcpStream, request: &Request) -> io::Result<()> {
        let Ok(order) = serde_json::from_slice(&request.body) else {
            return self.reply(stream, 400, &[], b"");
        };
        lock(&self.inside).served.orders.push(order);
        self.reply(stream, 202, &[], b"")
    }

    fn prefill(&self, stream: &TcpStream, request: &Request) -> io::Result<()> {
        let mut inside = lock(&self.inside);
        if inside.stage != Some("prefill") {
            drop(inside);
            return self.reply(stream, 421, &[("x-attempt-id", &attempt_id(request))], b"");
        }
        inside.served.prefills += 1;
        inside.next += 1;
        let handle = format!("kv-{}", inside.next);
        if inside.misdeed != Misdeed::Forgetful {
            inside.handles.insert(handle.clone());
        }
        drop(inside);
        let id = request.header("x-attempt-id").unwrap_or_default();
        let body = json!({ "kvHandle": handle, "tokens": 1000, "version": 1 });
        let ending = lock(&self.inside).next_ending();
        if let Some(framing) = ending.framing {
            let (head, body) = (head_text(200, &[("x-attempt-id", id)]), body.to_string());
            return BodyWriter::begin(stream, &head, body.len(), framing, ending.broken)?
                .whole(&body);
        }
        self.reply(stream, 200, &[("x-attempt-id", id)], body.to_string().as_bytes())
    }

    fn run(&self, stream: &TcpStream, request: &Request, misdeed: Misdeed) -> io::Result<()> {
        let is_completion = request.header("x-token-counts").is_some();
        if is_completion && lock(&self.inside).is_full() {
            return self.refuse(stream, request);
        }
        if let Some(source) = request.header("x-kv-source")
            && !self.take(source, request)
        {
            return self.refuse(stream, request);
        }
        self.begin(request);
        self.wait_out_silence();
        if request.path().ends_with(DEADLY) {
            return self.crash(request);
        }
        if has_deadly_part(request) {
            thread::sleep(PART_DELAY);
            return self.crash(request);
        }
        if misdeed == Misdeed::Hanging {
            return Ok(());
        }
        if let Misdeed::Endless(endless) = misdeed {
            endless::write(stream, request, endless);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if let Misdeed::Given(given) = misdeed {
            return given.write(stream, request, &self.sound_body(request));
        }
        if !is_completion {
            return self.answer(stream, request, misdeed);
        }
        lock(&self.inside).served.active += 1;
        let streamed = self.stream(stream, request, misdeed);
        lock(&self.inside).end_stream();
        streamed
    }

    /// Waits until the stream may break off, or its caller has left.
    fn wait_for_break(&self, stream: &TcpStream) {
        while lock(&self.inside).holds_breaks && !left(stream) {
            thread::sleep(EVENT_TIME);
        }
    }

    fn begin(&self, request: &Request) {
        let mut inside = lock(&self.inside);
        if let Some(silence) = inside.run_silence.take() {
            inside.silent_until = Some(Instant::now() + silence);
        }
        inside.served.ran.push(request.clone());
        if inside.leaving {
            inside.served.ran_leaving.push((Instant::now(), attempt_id(request)));
        }
        if let Some(rate) = inside.limit {
            inside.served.limited.push((Instant::now(), rate, attempt_id(request)));
        }
    }

    /// The call crashes the endpoint: it takes all down that runs beside it.
    fn crash(&self, request: &Request) -> io::Result<()> {
        let crashed = (Instant::now(), attempt_id(request));
        lock(&self.inside).served.crashed.get_or_insert(crashed);
        Err(io::ErrorKind::ConnectionReset.into())
    }

    fn take(&self, source: &str, request: &Request) -> bool {
        let Some((address, handle)) = source.split_once('/') else { return false };
        let Ok(address) = address.parse::<SocketAddr>() else { return false };
        let address = lock(&self.caches.1).get(&address).copied().unwrap_or(address);
        let Some(inside) = lock(&self.caches.0).get(&address).cloned() else { return false };
        let mut reader = lock(&inside);
        if !reader.handles.remove(handle) {
            return false;
        }
        let read_by = reader.served.version;
        // It may have read the prompt itself.
        drop(reader);
        lock(&self.inside).served.taken.push(TakenCache { id: attempt_id(request), read_by });
        true
    }

    fn plain_body(&self, request: &Request) -> String {
        format!("{} {} by {}", request.method, request.target, self.instance)
    }

    /// The whole body of a sound answer.
    fn sound_body(&self, request: &Request) -> String {
        if request.header("x-token-counts").is_none() {
            return self.plain_body(request);
        }
        let version = lock(&self.inside).served.version;
        let (had, last) = asked_events(request);
        (had + 1..=last).map(|n| event_text(n, version)).collect()
    }

    fn answer(
        &self,
        mut stream: &TcpStream,
        request: &Request,
        misdeed: Misdeed,
    ) -> io::Result<()> {
        self.work(request);
        let id = request.header("x-attempt-id").unwrap_or_default();
        let id = if misdeed == Misdeed::Mistaken { "another" } else { id };
        let status = if misdeed == Misdeed::Error { 500 } else { 200 };
        let body = self.plain_body(request);
        let limit = lock(&self.inside).limit.map(|rate| rate.to_string());
        let mut headers = vec![("x-attempt-id", id), ("x-server-seal", "seal")];
        headers.extend(limit.as_deref().map(|limit| ("server-limit", limit)));
        headers.extend(self.stated());
        let ending = lock(&self.inside).next_ending();
        if let Some(framing) = ending.framing {
            let head = head_text(status, &headers);
            return BodyWriter::begin(stream, &head, body.len(), framing, ending.broken)?
                .whole(&body);
        }
        let bytes = answer_bytes(status, &headers, body.as_bytes());
        match misdeed {
            Misdeed::Lost => return Err(io::ErrorKind::ConnectionReset.into()),
            Misdeed::Torn => stream.write_all(&bytes[..bytes.len() - 5])?,
            Misdeed::Garbage => stream.write_all(b"\0\0 no answer\r\n\r\n")?,
            Misdeed::Doubled => stream.write_all(&[bytes.clone(), bytes].concat())?,
            _ => return stream.write_all(&bytes),
        }
        match misdeed {
            Misdeed::Doubled => Ok(()),
            _ => {
                stream.shutdown(std::net::Shutdown::Both)?;
                Err(io::ErrorKind::ConnectionReset.into())
            }
        }
    }

    fn stream(&self, stream: &TcpStream, request: &Request, misdeed: Misdeed) -> io::Result<()> {
        if misdeed == Misdeed::Lost {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let id = request.header("x-attempt-id").unwrap_or_default();
        let limit = lock(&self.inside).limit.map(|rate| rate.to_string());
        let mut headers = vec![
            ("content-type", "text/event-stream"),
            ("x-attempt-id", id),
            ("x-server-seal", "seal"),
        ];
        headers.extend(limit.as_deref().map(|limit| ("server-limit", limit)));
        headers.extend(self.stated());
        let version = lock(&self.inside).served.version;
        let (had, last) = asked_events(request);
        let numbers = misdeed.event_numbers(had, last);
        let events = || numbers.iter().map(|n| event_text(*n, version));
        let Ending { framing, mut broken } = lock(&self.inside).next_ending();
        if misdeed == Misdeed::Torn {
            broken = Some((BreakPlace::Inside, BreakKind::Close));
        }
        let length = events().map(|event| event.len()).sum();
        let head = head_text(200, &headers);
        let framing = framing.unwrap_or_default();
        let mut writer = BodyWriter::begin(stream, &head, length, framing, broken)?;
        for event in events() {
            if self.condition().1 {
                return Err(writer.crash());
            }
            self.wait_out_silence();
            if writer.is_breaking() {
                self.wait_for_break(stream);
            }
            let written = writer.event(&event);
            if writer.is_broken() {
                return written;
            }
            if written.is_err() || left(stream) {
                lock(&self.inside).served.abandoned += 1;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            // The lock is not held meanwhile: streams of an endpoint don't wait for each other.
            let slowness = lock(&self.inside).slowness.max(1);
            thread::sleep(EVENT_TIME * slowness);
        }
        writer.end()
    }
}

/// An event of a stream. It shows the version that wrote it, unless that is the first one.
#[must_use]
pub fn event_text(number: u32, version: &str) -> String {
    match version {
        FIRST_VERSION => format!("id: {number}\ndata: token {number}\n\n"),
        _ => format!("id: {number}\ndata: token {number} of {version}\n\n"),
    }
}

/// The number of the event after which a stream is to go on, and that of its last one.
fn asked_events(request: &Request) -> (u32, u32) {
    let counts = request.header("x-token-counts").unwrap_or_default();
    let last = counts.split(',').nth(1).and_then(|n| n.trim().parse().ok()).unwrap_or(0);
    let had = request.header("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0);
    (had, last)
}

fn has_deadly_part(request: &Request) -> bool {
    let parts = request.header("x-prompt-prefix").unwrap_or_default().split(',');
    parts.filter_map(|part| part.split_once(':')).any(|(id, _)| id == DEADLY_PART)
}

fn attempt_id(request: &Request) -> String {
    request.header("x-attempt-id").unwrap_or_default().to_owned()
}

/// The first lines of an answer, without its framing.
fn head_text(status: u16, headers: &[(&str, &str)]) -> String {
    let headers = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
    format!("HTTP/1.1 {status} x\r\n{}", headers.collect::<String>())
}

/// The caller has closed the connection. What it has sent is the next call's.
fn left(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let closed = match stream.peek(&mut [0]) {
        Ok(read) => read == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || closed
}
