//! The platform's side: reads of the catalogue and of the VM list. Nothing is ever written there.
//!
//! Catalogue and VM list have a thread each, since a watch of the catalogue may wait for ten
//! seconds. A third one checks texts, which takes long for a large catalogue.

mod protocol;

use std::{
    io::{self, Read},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use basilbank_config::{Finding, parse_catalogue};
use basilbank_core::{
    catalogue::Catalogue,
    event::{Event, PlatformEvent},
};
use basilbank_wire::Document;
use serde::de::DeserializeOwned;
use ureq::Agent;

use self::protocol::{Changes, VmTable};
use crate::{
    engine::{agent, received::Pieces},
    inbox::Feed,
    logs::Line,
    metrics::{Metrics, ReadResult},
    pace::time_for,
    sync::lock,
};

/// How long the platform holds a watch back when nothing changes.
const WATCH: Duration = Duration::from_secs(10);

/// Longest time for an answer's head, beyond a watch's wait, and for a body besides what its bytes earn.
const ANSWER_TIME: Duration = Duration::from_secs(3);

/// Longest answer in bytes: many documents of a megabyte.
const ANSWER: u64 = 64 << 20;

/// Bytes of a body that are read at a time.
const PIECE: usize = 64 << 10;

/// The platform's side. Dropping it ends its threads after the call that they are in.
#[derive(Debug)]
pub struct Platform {
    catalogue: Latest<u64>,
    vms: Latest<()>,
    checks: Latest<Texts>,
    agent: Agent,
    closed: Arc<AtomicBool>,
}

/// A catalogue's texts.
#[derive(Debug)]
struct Texts {
    revision: u64,
    documents: Vec<Document>,
}

/// A channel that holds the latest question only. A thread that is still busy with an older one
/// need not answer those in between: the core asks with what it has, and the newest one tells most.
#[derive(Debug)]
struct Latest<T> {
    slot: Arc<Mutex<Option<T>>>,
    wake: SyncSender<()>,
}

struct Reader {
    base: String,
    agent: Agent,
    feed: Feed,
    metrics: Arc<Metrics>,
    closed: Arc<AtomicBool>,
}

impl Platform {
    /// Starts the threads for a platform's base URL.
    ///
    /// # Errors
    /// No thread could be started.
    pub fn start(base: &str, feed: &Feed, metrics: &Arc<Metrics>) -> anyhow::Result<Platform> {
        let agent = agent::agent(WATCH + ANSWER_TIME);
        let closed = Arc::new(AtomicBool::new(false));
        let reader = || Reader {
            base: base.trim_end_matches('/').to_owned(),
            agent: agent.clone(),
            feed: feed.clone(),
            metrics: Arc::clone(metrics),
            closed: Arc::clone(&closed),
        };
        let (watching, listing, checking) = (reader(), reader(), reader());
        Ok(Platform {
            catalogue: Latest::start("platform-watch", move |after| watching.watch(after))?,
            vms: Latest::start("platform-vms", move |()| listing.list())?,
            checks: Latest::start("catalogue-check", move |texts| checking.check(&texts))?,
            agent,
            closed,
        })
    }

    /// Watches the catalogue from a revision on; 0 reads the whole.
    pub fn watch(&self, after: u64) {
        self.catalogue.put(after);
    }

    /// Reads the VM list.
    pub fn read_vms(&self) {
        self.vms.put(());
    }

    /// Checks a catalogue's texts.
    pub fn check(&self, revision: u64, documents: Vec<Document>) {
        self.checks.put(Texts { revision, documents });
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Relaxed);
        // Otherwise a watch would hold its thread, and a call of the platform's budget, for seconds.
        self.agent.clone().shutdown();
    }
}

impl<T: Send + 'static> Latest<T> {
    fn start(name: &str, mut work: impl FnMut(T) + Send + 'static) -> anyhow::Result<Latest<T>> {
        let (wake, woken) = sync_channel(1);
        let slot = Arc::new(Mutex::new(None));
        let questions = Arc::clone(&slot);
        let run = move || serve(&questions, &woken, &mut work);
        thread::Builder::new().name(name.to_owned()).spawn(run)?;
        Ok(Latest { slot, wake })
    }

    fn put(&self, question: T) {
        *lock(&self.slot) = Some(question);
        match self.wake.try_send(()) {
            Ok(()) | Err(TrySendError::Full(()) | TrySendError::Disconnected(())) => {}
        }
    }
}

fn serve<T>(questions: &Mutex<Option<T>>, woken: &Receiver<()>, work: &mut impl FnMut(T)) {
    while woken.recv().is_ok() {
        let question = lock(questions).take();
        if let Some(question) = question {
            work(question);
        }
    }
}

impl Reader {
    fn watch(&self, after: u64) {
        let event = match self.read_changes(after) {
            Some(changes) => PlatformEvent::Documents {
                base_revision: changes.after,
                revision: changes.revision,
                documents: changes.documents.into_iter().map(Document::from).collect(),
            },
            None => PlatformEvent::CatalogueFailed,
        };
        self.send(event);
    }

    fn read_changes(&self, after: u64) -> Option<Changes> {
        if after == 0 {
            return self.get("range", "/v1/range?prefix=catalogue/", ANSWER_TIME).ok();
        }
        let wait = WATCH.as_millis();
        let path = format!("/v1/watch?prefix=catalogue/&after={after}&wait_ms={wait}");
        match self.get::<Changes>("watch", &path, WATCH + ANSWER_TIME) {
            Ok(changes) => Some(Changes { after, ..changes }),
            Err(ReadResult::Compacted) => self.read_changes(0),
            Err(_) => None,
        }
    }

    fn list(&self) {
        let event = match self.get::<VmTable>("vms", "/v1/vms", ANSWER_TIME) {
            Ok(table) => PlatformEvent::Vms {
                revision: table.revision,
                vms: table.vms.into_iter().map(Into::into).collect(),
            },
            Err(_) => PlatformEvent::VmsFailed,
        };
        self.send(event);
    }

    fn check(&self, texts: &Texts) {
        let revision = texts.revision;
        let result = self.compile(texts);
        self.send(PlatformEvent::Checked { revision, result });
    }

    fn compile(&self, texts: &Texts) -> Result<Arc<Catalogue>, usize> {
        let findings = match parse_catalogue(texts.revision, &texts.documents) {
            Ok(catalogue) => return Ok(Arc::new(catalogue)),
            Err(findings) => findings,
        };
        for finding in &findings.items {
            log::warn!("{}", finding_line(texts.revision, finding));
        }
        Err(findings.error_count())
    }

    fn get<T: DeserializeOwned>(
        &self,
        kind: &'static str,
        path: &str,
        timeout: Duration,
    ) -> Result<T, ReadResult> {
        let result = self.read(path, timeout);
        if self.closed.load(Ordering::Relaxed) {
            // The end of the daemon cut it off, which is no failure of the platform.
            return result;
        }
        let outcome = result.as_ref().map_or_else(|failed| *failed, |_| ReadResult::Done);
        self.metrics.platform(kind, outcome);
        if outcome != ReadResult::Done {
            log::warn!("event=platform_read kind={kind} result={}", outcome.as_str());
        }
        result
    }

    fn read<T: DeserializeOwned>(&self, path: &str, timeout: Duration) -> Result<T, ReadResult> {
        let request = self.agent.get(format!("{}{path}", self.base)).config();
        let request = request.timeout_recv_response(Some(timeout)).build();
        let mut response = request.call().map_err(|_| ReadResult::Failed)?;
        match response.status().as_u16() {
            200 => {}
            410 => return Err(ReadResult::Compacted),
            429 => return Err(ReadResult::Limited),
            _ => return Err(ReadResult::Failed),
        }
        let body = Pieces(response.body_mut().with_config().limit(ANSWER).reader());
        let text = read_paced(body, ANSWER_TIME).map_err(|_| ReadResult::Failed)?;
        serde_json::from_slice(&text).map_err(|_| ReadResult::Failed)
    }

    fn send(&self, event: PlatformEvent) {
        let _ = self.feed.send(Event::Platform(event));
    }
}

/// Reads to the end, as long as it gets on.
fn read_paced(mut body: impl Read, first: Duration) -> io::Result<Vec<u8>> {
    let begun = Instant::now();
    let mut text = Vec::new();
    let mut piece = vec![0; PIECE];
    loop {
        match body.read(&mut piece)? {
            0 => return Ok(text),
            read => text.extend_from_slice(&piece[..read]),
        }
        if time_for(first, text.len()) < begun.elapsed() {
            return Err(io::ErrorKind::TimedOut.into());
        }
    }
}

fn finding_line(revision: u64, finding: &Finding) -> Line {
    Line::new("catalogue_finding")
        .with("revision", revision)
        .with("severity", finding.severity.as_str())
        .with("file", &finding.file)
        .with("line", finding.line)
        .with("column", finding.column)
        .with("message", &finding.message)
        .with("help", &finding.help)
}
