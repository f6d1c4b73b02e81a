//! A stand-in for the platform's endpoints: model engines with a stage, and plain services.

use std::{
    collections::{HashMap, HashSet},
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::json;

use super::{
    http::{Listener, Request, answer_bytes, write_answer},
    misdeed::Misdeed,
    served::{Arrival, PauseRequest, Served},
};

/// The end of the path of a call that crashes each endpoint that runs it.
pub const DEADLY: &str = "/deadly";

/// Time between two events of a stream.
const EVENT_TIME: Duration = Duration::from_millis(5);

/// What an endpoint is.
#[derive(Clone, Debug, Default)]
pub struct EndpointSpec {
    /// The instance's id.
    pub instance: String,
    /// The port to listen on; 0 lets the system choose.
    pub port: u16,
    /// Its stage; `None` for a plain service.
    pub stage: Option<&'static str>,
}

impl EndpointSpec {
    /// A plain service.
    #[must_use]
    pub fn plain(instance: &str) -> EndpointSpec {
        EndpointSpec { instance: instance.to_owned(), ..EndpointSpec::default() }
    }

    /// A model endpoint.
    #[must_use]
    pub fn model(instance: &str, stage: &'static str) -> EndpointSpec {
        EndpointSpec { stage: Some(stage), ..EndpointSpec::plain(instance) }
    }
}

/// What one start of an endpoint knows. The next start knows nothing of it.
#[derive(Debug, Default)]
struct Inside {
    /// Its start, milliseconds since the Unix epoch.
    born: u64,
    /// Entries written so far.
    written: u64,
    stage: Option<&'static str>,
    misdeed: Misdeed,
    /// Calls a second that it says it takes.
    limit: Option<f64>,
    /// Whether all its answers say that it leaves.
    leaving: bool,
    /// It turns all work away, and asks for this pause.
    pause: Option<Duration>,
    handles: HashSet<String>,
    next: u32,
    served: Served,
}

/// KV caches of all endpoints, by address: an endpoint that decodes takes them from there.
#[derive(Clone, Debug, Default)]
pub struct Caches(
    Arc<Mutex<HashMap<SocketAddr, Arc<Mutex<Inside>>>>>,
    Arc<Mutex<HashMap<SocketAddr, SocketAddr>>>,
);

impl Caches {
    /// The endpoint that is listed at an address is reached at another one, too.
    pub fn alias(&self, other: SocketAddr, listed: SocketAddr) {
        lock(&self.1).insert(other, listed);
    }
}

/// An endpoint. Dropping it ends it.
pub struct ManagedEndpoint {
    spec: EndpointSpec,
    inside: Arc<Mutex<Inside>>,
    listener: Listener,
    caches: Caches,
    listed: SocketAddr,
}

struct Serving {
    instance: String,
    inside: Arc<Mutex<Inside>>,
    caches: Caches,
}

impl ManagedEndpoint {
    /// Starts one that shares KV caches with others.
    ///
    /// # Errors
    /// It can't listen.
    pub fn start(spec: EndpointSpec, caches: &Caches) -> io::Result<ManagedEndpoint> {
        let inside = begin(spec.stage);
        let listener = listen(&spec, spec.port, &inside, caches)?;
        let listed = listener.address();
        lock(&caches.0).insert(listed, Arc::clone(&inside));
        Ok(ManagedEndpoint { spec, inside, listener, caches: caches.clone(), listed })
    }

    /// It ends, and starts again under its id at a port, with a later `born` and nothing of before:
    /// calls in progress break off, slots, KV caches and counts are gone. Port 0 lets the system
    /// choose another address. Returns what the former start has served.
    ///
    /// # Errors
    /// It can't listen.
    pub fn restart(&mut self, port: u16) -> io::Result<Served> {
        self.listener.close();
        let (inside, before) = (begin(self.spec.stage), self.listener.address());
        self.listener = listen(&self.spec, port, &inside, &self.caches)?;
        let mut caches = lock(&self.caches.0);
        caches.remove(&before);
        if self.listed == before {
            self.listed = self.listener.address();
        }
        caches.insert(self.listed, Arc::clone(&inside));
        drop(caches);
        let former = std::mem::replace(&mut self.inside, inside);
        let served = lock(&former).served.clone();
        Ok(served)
    }

    /// It is reached at another address, such as a proxy's, and listed with that.
    pub fn reach_at(&mut self, address: SocketAddr) {
        self.listed = address;
        lock(&self.caches.0).insert(address, Arc::clone(&self.inside));
    }

    /// Where its entries say that it is.
    #[must_use]
    pub fn listed_at(&self) -> SocketAddr {
        self.listed
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Its instance's id.
    #[must_use]
    pub fn instance(&self) -> &str {
        &self.spec.instance
    }

    /// Its next entry in the store.
    #[must_use]
    pub fn entry(&self, service: &str, state: &str) -> serde_json::Value {
        let mut inside = lock(&self.inside);
        inside.written += 1;
        let mut entry = json!({
            "service": service, "addr": self.listed.to_string(), "zone": "hall-a",
            "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0, "seq": inside.written,
            "born": inside.born,
        });
        if let Some(stage) = inside.stage {
            entry["stage"] = json!(stage);
        }
        entry
    }

    /// Sets how it misbehaves.
    pub fn misbehave(&self, misdeed: Misdeed) {
        lock(&self.inside).misdeed = misdeed;
    }

    /// Names a limit in its answers from now on, or none. It runs whatever comes all the same.
    pub fn limit(&self, rate: Option<f64>) {
        lock(&self.inside).limit = rate;
    }

    /// Says in all its answers from now on that it leaves, or no longer. It runs whatever comes all
    /// the same.
    pub fn leave(&self, leaving: bool) {
        lock(&self.inside).leaving = leaving;
    }

    /// Turns all work away from now on and asks for a pause, or no longer.
    pub fn pause(&self, pause: Option<Duration>) {
        lock(&self.inside).pause = pause;
    }

    /// A call has crashed it: it answers nothing until it starts again.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        lock(&self.inside).served.crashed.is_some()
    }

    /// What it has served.
    #[must_use]
    pub fn served(&self) -> Served {
        lock(&self.inside).served.clone()
    }

    /// Closes all connections, in the middle of whatever is sent.
    pub fn cut(&self) {
        self.listener.close_all();
    }
}

fn begin(stage: Option<&'static str>) -> Arc<Mutex<Inside>> {
    Arc::new(Mutex::new(Inside { born: born(), stage, ..Inside::default() }))
}

/// Now, and later than any before: two starts in one millisecond would be the same one.
fn born() -> u64 {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let before = LAST.fetch_max(now, Ordering::Relaxed);
    match now <= before {
        true => LAST.fetch_add(1, Ordering::Relaxed) + 1,
        false => now,
    }
}

fn listen(
    spec: &EndpointSpec,
    port: u16,
    inside: &Arc<Mutex<Inside>>,
    caches: &Caches,
) -> io::Result<Listener> {
    let (instance, inside) = (spec.instance.clone(), Arc::clone(inside));
    let serving = Serving { instance, inside, caches: caches.clone() };
    Listener::start(port, move |stream, request| serving.serve(stream, request))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Serving {
    fn serve(&self, stream: &TcpStream, request: &Request) -> io::Result<()> {
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
            ("POST", "/hold-take") => self.hold(stream, misdeed),
            ("POST", "/order") => self.order(stream, request),
            ("DELETE", path) if path.starts_with("/hold-drop/") => {
                lock(&self.inside).served.dropped += 1;
                self.reply(stream, 200, &[], b"")
            }
            ("DELETE", path) if path.starts_with("/kv-handle/") => {
                lock(&self.inside).served.freed += 1;
                self.reply(stream, 200, &[], b"")
            }
            _ if misdeed == Misdeed::Full => self.refuse(stream, request),
            _ if request.header("x-stage") == Some("prefill") => self.prefill(stream, request),
            _ => self.run(stream, request, misdeed),
        }
    }

    fn condition(&self) -> (Misdeed, bool) {
        let inside = lock(&self.inside);
        (inside.misdeed, inside.served.crashed.is_some())
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
        let inside = lock(&self.inside);
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
        if misdeed == Misdeed::Full {
            return self.reply(stream, 503, &[], b"");
        }
        let mut inside = lock(&self.inside);
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
            return self.reply(stream, 421, &[], b"");
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
        self.reply(stream, 200, &[("x-attempt-id", id)], body.to_string().as_bytes())
    }

    fn run(&self, stream: &TcpStream, request: &Request, misdeed: Misdeed) -> io::Result<()> {
        if let Some(source) = request.header("x-kv-source")
            && !self.take(source)
        {
            return self.refuse(stream, request);
        }
        self.begin(request);
        if request.path().ends_with(DEADLY) {
            return self.crash(request);
        }
        if misdeed == Misdeed::Hanging {
            return Ok(());
        }
        match request.header("x-token-counts") {
            Some(_) => {
                lock(&self.inside).served.active += 1;
                let streamed = self.stream(stream, request, misdeed);
                lock(&self.inside).served.active -= 1;
                streamed
            }
            None => self.answer(stream, request, misdeed),
        }
    }

    fn begin(&self, request: &Request) {
        let mut inside = lock(&self.inside);
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

    fn take(&self, source: &str) -> bool {
        let Some((address, handle)) = source.split_once('/') else { return false };
        let Ok(address) = address.parse::<SocketAddr>() else { return false };
        let address = lock(&self.caches.1).get(&address).copied().unwrap_or(address);
        let Some(inside) = lock(&self.caches.0).get(&address).cloned() else { return false };
        lock(&inside).handles.remove(handle)
    }

    fn answer(
        &self,
        mut stream: &TcpStream,
        request: &Request,
        misdeed: Misdeed,
    ) -> io::Result<()> {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let id = if misdeed == Misdeed::Mistaken { "another" } else { id };
        let status = if misdeed == Misdeed::Error { 500 } else { 200 };
        let body = format!("{} {} by {}", request.method, request.target, self.instance);
        let limit = lock(&self.inside).limit.map(|rate| rate.to_string());
        let mut headers = vec![("x-attempt-id", id), ("x-server-seal", "seal")];
        headers.extend(limit.as_deref().map(|limit| ("server-limit", limit)));
        headers.extend(self.stated());
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

    fn stream(
        &self,
        mut stream: &TcpStream,
        request: &Request,
        misdeed: Misdeed,
    ) -> io::Result<()> {
        if misdeed == Misdeed::Lost {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let id = request.header("x-attempt-id").unwrap_or_default();
        let limit = lock(&self.inside).limit;
        let limit = limit.map(|rate| format!("server-limit: {rate}\r\n")).unwrap_or_default();
        let stated = self.stated().map(|(name, value)| format!("{name}: {value}\r\n"));
        let stated = stated.unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-attempt-id: {id}\r\n\
             x-server-seal: seal\r\n{limit}{stated}transfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let counts = request.header("x-token-counts").unwrap_or_default();
        let last: u32 = counts.split(',').nth(1).and_then(|n| n.trim().parse().ok()).unwrap_or(0);
        let had = request.header("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0u32);
        for event in had + 1..=last {
            if misdeed == Misdeed::Torn && event == had + 3 {
                chunk(stream, &format!("id: {event}\ndata: to"))?;
                stream.shutdown(std::net::Shutdown::Both)?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            if self.condition().1 {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            if chunk(stream, &format!("id: {event}\ndata: token {event}\n\n")).is_err()
                || left(stream)
            {
                lock(&self.inside).served.abandoned += 1;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            thread::sleep(EVENT_TIME);
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

fn attempt_id(request: &Request) -> String {
    request.header("x-attempt-id").unwrap_or_default().to_owned()
}

fn chunk(mut stream: &TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// The caller has closed the connection.
fn left(mut stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let mut byte = [0];
    let closed = match stream.read(&mut byte) {
        Ok(read) => read == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || closed
}
