//! Callers that keep their connections, and what they saw.

mod careless;
mod planned;
mod special;

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use basilbank_core::state::Rng;
use basilbank_standin::managed::{Answer, DEADLY, DEADLY_PART, read_answer};

pub use self::special::Switches;
use crate::streams::Events;

/// What callers say they wait.
const PATIENCE: Duration = Duration::from_millis(4000);

/// How much longer they listen, to see answers that come late.
const MARGIN: Duration = Duration::from_millis(1500);

/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_millis(500);

/// Callers of the crowd.
const CROWD: usize = 24;

/// Pause between two calls of one caller, on average.
const PAUSE_MS: u64 = 25;

/// Events of a draft that its caller leaves.
const LEFT_EVENTS: u32 = 2000;

/// Tries in which a stream is taken up again, at most, and the least patience that one is made with.
const TRIES: usize = 3;
const LEAST: Duration = Duration::from_millis(300);

/// One draft in so many loses its caller's connection, some bytes after the head.
const CUTS: usize = 3;
const CUT_BYTES: (u64, u64) = (700, 800);

/// A kind of call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Kind {
    /// May run once.
    Stock,
    /// May run again.
    Sheet,
    /// A stream that may go on elsewhere.
    Draft,
    /// A stream that may run once.
    Once,
    /// A stream that its caller leaves.
    Left,
    /// A stream that crashes each endpoint that runs it, and comes again and again.
    Deadly,
    /// A stream on a part of prompts that crashes each endpoint which begins to write on it. No two are
    /// alike, and sound ones share all other parts.
    DeadlyPart,
    /// A call of the crowd at one daemon. It may run again.
    Crowd,
}

/// What a caller saw.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Seen {
    /// A whole answer of an endpoint.
    Served,
    /// An answer of the router's own, or an endpoint's failure.
    Status(u16),
    /// The stream broke off after it had begun.
    Broken,
    /// The connection ended without an answer.
    Closed,
    /// Nothing within patience and margin.
    Nothing,
    /// There was no connection.
    Unreachable,
    /// It left as it meant to.
    Left,
    /// The stream holds events of two versions.
    OtherVersion(String),
    /// What came can't be right.
    Wrong(String),
}

impl Seen {
    fn is_wrong(&self) -> bool {
        matches!(self, Seen::Wrong(_) | Seen::OtherVersion(_))
    }
}

/// One call.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// Which daemon had it.
    pub daemon: usize,
    /// Whether it was the first on its connection.
    pub is_first: bool,
    /// Method and target.
    pub line: String,
    /// When it was sent.
    pub begun: Instant,
    /// How long its caller said that it waits.
    pub patience: Duration,
    /// When its answer was there.
    pub ended: Instant,
    /// What came.
    pub seen: Seen,
    /// Its connection was reset before an answer: the daemon had not read all that was sent.
    pub is_reset: bool,
    /// Events that came, if it is a stream.
    pub events: u32,
    /// The stream that it takes up again.
    pub resumed: Option<Resumed>,
}

impl Record {
    /// The id that its path and body are made of: that of the stream's first try.
    #[must_use]
    pub fn name(&self) -> &str {
        self.resumed.as_ref().map_or(&self.id, |resumed| &resumed.first)
    }
}

/// A stream that a call takes up again.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Resumed {
    /// The id of the call that brought its first event.
    pub first: String,
    /// The version that began it.
    pub version: String,
}

/// All calls so far, by id.
pub type Records = Arc<Mutex<HashMap<String, Record>>>;

/// Callers, each a thread. Dropping it stops them.
pub struct Callers {
    /// What they saw.
    pub records: Records,
    /// Which special callers come.
    pub switches: Arc<Switches>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts some.
    #[must_use]
    pub fn start(seed: u64, count: usize, daemons: &[SocketAddr]) -> Callers {
        let records = Records::default();
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..count).map(|number| {
            let caller = Caller::new(seed, number, daemons);
            let (records, stop) = (Arc::clone(&records), Arc::clone(&stop));
            thread::spawn(move || caller.run(&records, &stop))
        });
        let mut threads: Vec<_> = threads.collect();
        let switches = Arc::new(Switches::default());
        let special = [Some(Kind::Deadly), Some(Kind::DeadlyPart)].into_iter();
        let special = special.chain((0..CROWD).map(|_| None));
        for (kind, number) in special.zip(count..) {
            let caller = Caller::new(seed, number, daemons);
            let (all, stop, comes) =
                (Arc::clone(&records), Arc::clone(&stop), Arc::clone(&switches));
            threads.push(thread::spawn(move || match kind {
                Some(kind) => caller.run_deadly(kind, &all, &stop, &comes),
                None => caller.run_crowd(&all, &stop, &comes),
            }));
        }
        let (careless, stopped) = (daemons.to_vec(), Arc::clone(&stop));
        threads.push(thread::spawn(move || careless::run_careless(&careless, &stopped)));
        Callers { records, switches, stop, threads }
    }

    /// Starts some whose calls are long, and who never leave them.
    #[must_use]
    pub fn start_planned(seed: u64, count: usize, daemons: &[SocketAddr]) -> Callers {
        let (records, stop) = (Records::default(), Arc::new(AtomicBool::new(false)));
        let threads = (0..count).map(|number| {
            let caller = Caller { stays: true, ..Caller::new(seed, number, daemons) };
            let (records, stop) = (Arc::clone(&records), Arc::clone(&stop));
            thread::spawn(move || caller.run_planned(&records, &stop))
        });
        let threads = threads.collect();
        Callers { records, switches: Arc::default(), stop, threads }
    }

    /// Waits until all have their last answer.
    pub fn finish(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // Its panic is on the terminal already.
            let _ = thread.join();
        }
    }
}

impl Drop for Callers {
    fn drop(&mut self) {
        self.finish();
    }
}

struct Caller {
    number: usize,
    daemons: Vec<SocketAddr>,
    rng: Rng,
    at: usize,
    calls: u64,
    open: Option<BufReader<TcpStream>>,
    /// It never leaves a stream.
    stays: bool,
    /// How long an endpoint is to work on a plain call.
    work: Duration,
}

impl Caller {
    fn new(seed: u64, number: usize, daemons: &[SocketAddr]) -> Caller {
        Caller {
            number,
            daemons: daemons.to_vec(),
            rng: Rng::new(seed ^ (number as u64) << 32),
            at: number % daemons.len(),
            calls: 0,
            open: None,
            stays: false,
            work: Duration::ZERO,
        }
    }

    fn run(self, records: &Records, stop: &AtomicBool) {
        self.run_calls(Caller::call, records, stop);
    }

    fn run_calls(
        mut self,
        call: fn(&mut Caller) -> (Record, Events),
        records: &Records,
        stop: &AtomicBool,
    ) {
        while !stop.load(Ordering::Relaxed) {
            let (record, events) = call(&mut self);
            if record.seen != Seen::Served {
                // The open connection is kept as long as it works, the daemon only then.
                self.at = (self.at + usize::from(self.open.is_none())) % self.daemons.len();
            }
            if record.kind == Kind::Draft && events.is_begun() && !record.seen.is_wrong() {
                self.resume(&record, events, records);
            }
            keep(records, record);
            thread::sleep(Duration::from_millis(self.rng.next_u64() % (2 * PAUSE_MS)));
        }
    }

    fn call(&mut self) -> (Record, Events) {
        let kinds = [Kind::Stock, Kind::Sheet, Kind::Draft, Kind::Once, Kind::Left];
        let kind = kinds[[0, 0, 0, 1, 1, 1, 2, 2, 3, 4][self.rng.index(10)]];
        let mut events = Events::default();
        let record = self.send(kind, &mut events, None, PATIENCE);
        (record, events)
    }

    /// Takes a stream up again at other daemons, a few times, within the patience that remains.
    fn resume(&mut self, begun: &Record, mut events: Events, records: &Records) {
        let mut daemon = begun.daemon;
        for _ in 0..=self.rng.index(TRIES) {
            thread::sleep(Duration::from_millis(self.rng.next_u64() % (2 * PAUSE_MS)));
            let left = begun.patience.saturating_sub(begun.begun.elapsed());
            let Some(version) = events.version.clone().filter(|_| LEAST < left) else { return };
            self.open = None;
            daemon = (daemon + 1) % self.daemons.len();
            self.at = daemon;
            let resumed = Resumed { first: begun.id.clone(), version };
            let record = self.send(Kind::Draft, &mut events, Some(resumed), left);
            let is_over = !events.is_begun() || record.seen.is_wrong();
            keep(records, record);
            if is_over {
                return;
            }
        }
    }

    fn send(
        &mut self,
        kind: Kind,
        events: &mut Events,
        resumed: Option<Resumed>,
        patience: Duration,
    ) -> Record {
        self.calls += 1;
        let id = format!("c{}-{}", self.number, self.calls);
        let (daemon, begun, had) = (self.at, Instant::now(), events.count);
        let line = line(kind, resumed.as_ref().map_or(&id, |resumed| &resumed.first));
        let (seen, is_first) = (Seen::Nothing, self.open.is_none());
        let mut record = Record {
            id,
            kind,
            daemon,
            is_first,
            line,
            begun,
            patience,
            ended: begun,
            seen,
            is_reset: false,
            events: 0,
            resumed,
        };
        record.seen = self.exchange(&record, events).unwrap_or_else(|error| {
            self.open = None;
            record.is_reset = error.kind() == io::ErrorKind::ConnectionReset;
            unanswered(&error)
        });
        record.ended = Instant::now();
        record.events = events.count - had;
        record
    }

    fn exchange(&mut self, call: &Record, events: &mut Events) -> io::Result<Seen> {
        let mut reader = match self.open.take() {
            Some(reader) => reader,
            None => match TcpStream::connect_timeout(&self.daemons[self.at], CONNECT) {
                Ok(stream) => BufReader::new(stream),
                Err(_) => return Ok(Seen::Unreachable),
            },
        };
        reader.get_ref().set_read_timeout(Some(call.patience + MARGIN))?;
        reader.get_mut().write_all(request(call, events, self.work).as_bytes())?;
        if call.kind == Kind::Left {
            return leave(&mut reader);
        }
        if call.kind == Kind::Draft && !self.stays && self.rng.index(CUTS) == 0 {
            let bytes = CUT_BYTES.0 + self.rng.next_u64() % CUT_BYTES.1;
            return lose(&mut reader, bytes, call, events);
        }
        let answer = read_answer(&mut reader)?;
        let closes = answer.header("connection").is_some_and(|value| value == "close");
        let seen = judge(call.kind, &call.id, &call.line, &answer, events);
        if answer.whole && !closes {
            if let Some(more) = extra(&mut reader)? {
                return Ok(Seen::Wrong(format!("bytes after the answer: {more:?}")));
            }
            self.open = Some(reader);
        }
        Ok(seen)
    }
}

fn keep(records: &Records, record: Record) {
    let mut records = records.lock().unwrap_or_else(PoisonError::into_inner);
    records.insert(record.id.clone(), record);
}

fn unanswered(error: &io::Error) -> Seen {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Seen::Nothing,
        _ => Seen::Closed,
    }
}

fn line(kind: Kind, id: &str) -> String {
    match kind {
        Kind::Stock => format!("POST /stock/{id}"),
        Kind::Sheet | Kind::Crowd => format!("GET /sheet/{id}"),
        Kind::Deadly => format!("POST /draft{DEADLY}"),
        Kind::Draft | Kind::Left | Kind::DeadlyPart => format!("POST /draft/{id}"),
        Kind::Once => format!("POST /once/{id}"),
    }
}

/// What a call sends. The one that crashes endpoints is the same each time.
#[must_use]
pub fn body(kind: Kind, id: &str) -> &str {
    match kind {
        Kind::Sheet | Kind::Crowd => "",
        Kind::Deadly => DEADLY,
        _ => id,
    }
}

fn prompt_head(parts: &str, events: u32) -> String {
    format!("x-token-counts: 1000,{events}\r\nx-prompt-prefix: {parts}\r\n")
}

fn request(call: &Record, had: &Events, work: Duration) -> String {
    let events = if call.kind == Kind::Left { LEFT_EVENTS } else { had.last };
    let mut more = match call.kind {
        Kind::Stock | Kind::Sheet | Kind::Crowd if work.is_zero() => String::new(),
        Kind::Stock | Kind::Sheet | Kind::Crowd => format!("x-work-ms: {}\r\n", work.as_millis()),
        Kind::DeadlyPart => prompt_head(&format!("ab:300,{DEADLY_PART}:300,cd:400"), events),
        Kind::Draft | Kind::Once => prompt_head("ab:300,cd:700", events),
        _ => prompt_head("ab:1000", events),
    };
    if let Some(resumed) = &call.resumed {
        more += &format!("last-event-id: {}\r\nresumes: {}\r\n", had.count, resumed.first);
    }
    let body = body(call.kind, call.name());
    format!(
        "{} HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: {}\r\n{more}\
         x-deadline-remaining: {}\r\ncontent-length: {}\r\n\r\n{body}",
        call.line,
        call.id,
        call.patience.as_millis(),
        body.len(),
    )
}

/// Reads some bytes of a stream, and loses the connection.
fn lose(
    reader: &mut BufReader<TcpStream>,
    bytes: u64,
    call: &Record,
    events: &mut Events,
) -> io::Result<Seen> {
    let answer = read_answer(&mut reader.take(bytes))?;
    match judge(call.kind, &call.id, &call.line, &answer, events) {
        Seen::Broken => Ok(Seen::Left),
        seen => Ok(seen),
    }
}

/// Reads the beginning of a stream, and closes the connection.
fn leave(reader: &mut BufReader<TcpStream>) -> io::Result<Seen> {
    let mut head = [0; 200];
    match reader.read(&mut head)? {
        0 => Ok(Seen::Closed),
        _ => Ok(Seen::Left),
    }
}

/// Bytes that nobody asked for.
fn extra(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    if !reader.buffer().is_empty() {
        return Ok(Some(reader.buffer().to_vec()));
    }
    reader.get_ref().set_nonblocking(true)?;
    let more = match reader.fill_buf() {
        Ok(bytes) if !bytes.is_empty() => Some(bytes.to_vec()),
        // The connection has ended, or there is nothing.
        _ => None,
    };
    reader.get_ref().set_nonblocking(false)?;
    Ok(more)
}

/// What an answer is to the caller of a call, who has some events if it is a stream. One that isn't
/// complete must not look whole.
#[must_use]
pub fn judge(kind: Kind, id: &str, line: &str, answer: &Answer, events: &mut Events) -> Seen {
    let sealed = answer.header("x-server-seal").is_some();
    if answer.status != 200 {
        return Seen::Status(answer.status);
    }
    if answer.header("x-attempt-id") != Some(id) || !sealed {
        return Seen::Wrong(format!("a success without its marks: {:?}", answer.headers));
    }
    let text = answer.text();
    match kind {
        Kind::Stock | Kind::Sheet | Kind::Crowd if !answer.whole => Seen::Broken,
        Kind::Stock | Kind::Sheet | Kind::Crowd if is_complete(&text, line) => Seen::Served,
        Kind::Stock | Kind::Sheet | Kind::Crowd => {
            Seen::Wrong(format!("half or another's answer: {text:?}"))
        }
        _ => events.take(&text, answer.whole),
    }
}

/// A plain answer repeats the call, and ends with the name of an instance: its place and its number there.
fn is_complete(text: &str, line: &str) -> bool {
    let instance = text.strip_prefix(line).and_then(|rest| rest.strip_prefix(" by plain-"));
    let numbers = instance.and_then(|name| name.split_once('-'));
    numbers.is_some_and(|(place, number)| {
        place.parse::<usize>().is_ok() && number.parse::<usize>().is_ok()
    })
}
