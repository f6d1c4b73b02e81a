//! A stand-in for the platform's store.

use std::{
    collections::{BTreeMap, HashMap},
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use super::http::{Listener, Request, answer_bytes};

/// The revision of an empty store.
const FIRST_REVISION: u64 = 1;

/// Items in one page.
const PAGE: usize = 3;

/// What is wrong with the store.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// It answers 503.
    Busy,
    /// It answers 429.
    TooMany,
    /// It closes each connection.
    Closing,
    /// It says nothing any more, on open connections and new ones.
    Silent,
    /// It serves, but its answers are lost: the connection stays open and silent.
    Lost,
    /// It serves, and each answer comes this much later than it was made.
    Slow(Duration),
    /// It serves, and writes each answer a second time, this much later.
    Twice(Duration),
}

/// Bytes that a narrow link passes on at a time: a few packets, so that connections share it.
const PIECE: usize = 4096;

/// How callers reach the store: each way has a link and faults of its own.
#[derive(Debug, Default)]
struct Entrance {
    fault: Mutex<StoreFault>,
    /// Bytes a second over all connections; no limit without.
    rate: Option<usize>,
    /// Held while a piece is on the link.
    link: Mutex<()>,
}

impl Entrance {
    fn fault(&self) -> StoreFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_fault(&self, fault: StoreFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn write(&self, mut stream: &TcpStream, answer: &Answer) -> io::Result<()> {
        let bytes = answer.bytes();
        let Some(rate) = self.rate else { return stream.write_all(&bytes) };
        for piece in bytes.chunks(PIECE) {
            let busy = self.link.lock().unwrap_or_else(PoisonError::into_inner);
            thread::sleep(Duration::from_secs_f64(piece.len() as f64 / rate as f64));
            drop(busy);
            stream.write_all(piece)?;
        }
        Ok(())
    }
}

/// A second way to the store, over a narrow link. Dropping it closes it.
pub struct NarrowWay {
    entrance: Arc<Entrance>,
    listener: Listener,
}

impl NarrowWay {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Sets what is wrong for those who come this way. Connections that are open stay so.
    pub fn set_fault(&self, fault: StoreFault) {
        self.entrance.set_fault(fault);
    }
}

/// A way to the store whose answers name other addresses for some endpoints. Dropping it closes it.
pub struct StoreView {
    addresses: Addresses,
    listener: Listener,
}

/// Addresses in place of those that endpoints are listed with.
type Addresses = Arc<Mutex<HashMap<SocketAddr, SocketAddr>>>;

impl StoreView {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Entries of endpoints at one address say another one here.
    pub fn rename(&self, listed: SocketAddr, shown: SocketAddr) {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner).insert(listed, shown);
    }
}

/// Replaces the addresses in the items of an answer.
fn rename(body: &mut Value, addresses: &HashMap<SocketAddr, SocketAddr>) {
    for list in ["items", "events"] {
        for item in body[list].as_array_mut().into_iter().flatten() {
            let text = item["value"].as_str().and_then(|text| STANDARD.decode(text).ok());
            let entry = text.and_then(|bytes| serde_json::from_slice::<Value>(&bytes).ok());
            let Some(mut entry) = entry else { continue };
            let listed = entry["addr"].as_str().and_then(|addr| addr.parse().ok());
            let Some(shown) = listed.and_then(|addr: SocketAddr| addresses.get(&addr)) else {
                continue;
            };
            entry["addr"] = json!(shown.to_string());
            item["value"] = json!(STANDARD.encode(entry.to_string()));
        }
    }
}

/// An answer, and the store's era when it was made.
struct Answer {
    era: u64,
    status: u16,
    body: Vec<u8>,
}

impl Answer {
    fn bytes(&self) -> Vec<u8> {
        answer_bytes(self.status, &[(ERA, &self.era.to_string())], &self.body)
    }
}

/// The header that says how often the store has come back from a copy.
const ERA: &str = "store-era";

/// A change that was confirmed.
#[derive(Clone, Debug)]
struct Change {
    at: Instant,
    key: String,
    created: u64,
    rev: u64,
    /// None when it was deleted.
    value: Option<Value>,
}

/// An item that a store which came back from a copy has lost the last change of, as it was.
#[derive(Clone, Debug)]
pub struct Lost {
    key: String,
    value: Option<Value>,
}

#[derive(Clone, Debug)]
struct Item {
    created: u64,
    rev: u64,
    /// As answers have it: base64 text unless it is another's entry.
    value: Value,
}

#[derive(Debug, Default)]
struct Inside {
    /// How often it has come back from a copy.
    era: u64,
    revision: u64,
    /// All changes that it has not lost, also those that watches can't have any more.
    log: Vec<Change>,
    items: BTreeMap<String, Item>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    /// The revision of the copy that it came back from last.
    copied: u64,
    calls: u64,
}

#[derive(Debug, Default)]
struct Shared {
    inside: Mutex<Inside>,
    changed: Condvar,
}

/// The store. Dropping it ends it.
pub struct ManagedStore {
    shared: Arc<Shared>,
    entrance: Arc<Entrance>,
    listener: Listener,
}

impl ManagedStore {
    /// Starts an empty store.
    ///
    /// # Errors
    /// It can't listen.
    pub fn start() -> io::Result<ManagedStore> {
        let shared = Arc::new(Shared::default());
        shared.lock().revision = FIRST_REVISION;
        let entrance = Arc::new(Entrance::default());
        let listener = Shared::listen(&shared, &entrance)?;
        Ok(ManagedStore { shared, entrance, listener })
    }

    /// Opens a way to it over a link of so many bytes a second.
    ///
    /// # Errors
    /// It can't listen.
    pub fn narrow_way(&self, rate: usize) -> io::Result<NarrowWay> {
        let entrance = Arc::new(Entrance { rate: Some(rate), ..Entrance::default() });
        let listener = Shared::listen(&self.shared, &entrance)?;
        Ok(NarrowWay { entrance, listener })
    }

    /// Opens a way to it on which endpoints can be given other addresses. It has the store's faults.
    ///
    /// # Errors
    /// It can't listen.
    pub fn view(&self) -> io::Result<StoreView> {
        let (shared, entrance) = (Arc::clone(&self.shared), Arc::clone(&self.entrance));
        let addresses = Addresses::default();
        let shown = Arc::clone(&addresses);
        let listener = Listener::start(0, move |stream, request| {
            let rename = |body: &mut Value| {
                rename(body, &shown.lock().unwrap_or_else(PoisonError::into_inner));
            };
            shared.serve(stream, request, &entrance, rename)
        })?;
        Ok(StoreView { addresses, listener })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_raw(key, value.to_string().as_bytes());
    }

    /// Writes an item of any bytes.
    pub fn put_raw(&self, key: &str, bytes: &[u8]) {
        self.put_answer(key, json!(STANDARD.encode(bytes)));
    }

    /// Writes an item whose value in answers is this JSON, of any type, and encodes no bytes.
    pub fn put_answer(&self, key: &str, value: Value) {
        self.shared.change(key, Some(value));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.shared.change(key, None);
    }

    /// Sets what is wrong. Connections that are open stay so.
    pub fn set_fault(&self, fault: StoreFault) {
        self.entrance.set_fault(fault);
        if fault == StoreFault::Closing {
            self.listener.close_all();
        }
    }

    /// Forgets all changes so far.
    pub fn compact(&self) {
        let mut inside = self.shared.lock();
        inside.forgotten = inside.revision;
        drop(inside);
        self.listener.close_all();
    }

    /// Comes back from a copy of this age: what was confirmed since is gone, and its revisions will be
    /// given out again. Returns what the writers have to write again.
    #[must_use]
    pub fn restore(&self, age: Duration) -> Vec<Lost> {
        let lost = self.shared.lock().restore(age);
        self.shared.changed.notify_all();
        lost
    }

    /// Writes again what was lost, unless something else was written in its place.
    pub fn rewrite(&self, lost: Vec<Lost>) {
        for Lost { key, value } in lost {
            if !self.shared.lock().changed_in_era(&key) {
                self.shared.change(&key, value);
            }
        }
    }

    /// Calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

impl Inside {
    fn restore(&mut self, age: Duration) -> Vec<Lost> {
        let kept = self.log.iter().take_while(|change| change.at.elapsed() >= age).count();
        let lost = self.log.split_off(kept);
        self.items.clear();
        for change in self.log.clone() {
            self.apply(&change);
        }
        self.era += 1;
        self.revision = self.log.last().map_or(FIRST_REVISION, |change| change.rev);
        self.forgotten = self.forgotten.min(self.revision);
        self.copied = self.revision;
        let newest: BTreeMap<_, _> = lost.into_iter().map(|c| (c.key, c.value)).collect();
        newest.into_iter().map(|(key, value)| Lost { key, value }).collect()
    }

    fn apply(&mut self, change: &Change) {
        let Change { key, created, rev, value, .. } = change.clone();
        match value {
            Some(value) => drop(self.items.insert(key, Item { created, rev, value })),
            None => drop(self.items.remove(&key)),
        }
    }

    /// The item was written since the store came back from a copy.
    fn changed_in_era(&self, key: &str) -> bool {
        self.log.iter().any(|change| self.copied < change.rev && change.key == key)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inside> {
        self.inside.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, key: &str, value: Option<Value>) {
        let mut inside = self.lock();
        inside.revision += 1;
        let rev = inside.revision;
        let created = inside.items.get(key).map_or(rev, |item| item.created);
        let change = Change { at: Instant::now(), key: key.to_owned(), created, rev, value };
        inside.apply(&change);
        inside.log.push(change);
        drop(inside);
        self.changed.notify_all();
    }

    fn listen(shared: &Arc<Shared>, entrance: &Arc<Entrance>) -> io::Result<Listener> {
        let (serving, entrance) = (Arc::clone(shared), Arc::clone(entrance));
        Listener::start(0, move |stream, request| serving.serve(stream, request, &entrance, |_| {}))
    }

    fn serve(
        &self,
        stream: &TcpStream,
        request: &Request,
        way: &Entrance,
        rename: impl Fn(&mut Value),
    ) -> io::Result<()> {
        self.lock().calls += 1;
        match way.fault() {
            StoreFault::None | StoreFault::Slow(_) | StoreFault::Twice(_) => {}
            StoreFault::Busy => return way.write(stream, &self.answer(503, &json!({}))),
            StoreFault::TooMany => return way.write(stream, &self.answer(429, &json!({}))),
            StoreFault::Closing => return Err(io::ErrorKind::ConnectionReset.into()),
            StoreFault::Silent | StoreFault::Lost => return Ok(()),
        }
        let answer = self.look_up(request, rename);
        match way.fault() {
            StoreFault::None => {}
            StoreFault::Slow(delay) => thread::sleep(delay),
            StoreFault::Twice(delay) => {
                way.write(stream, &answer)?;
                thread::sleep(delay);
            }
            _ => return Ok(()),
        }
        way.write(stream, &answer)
    }

    fn look_up(&self, request: &Request, rename: impl Fn(&mut Value)) -> Answer {
        loop {
            let era = self.lock().era;
            let (status, mut body) = match request.path() {
                "/kv-key" => self.one(&request.param("key").unwrap_or_default()),
                "/kv-range" => self.range(request),
                "/kv-watch" => self.watch(request),
                _ => (404, json!({})),
            };
            rename(&mut body);
            let answer = self.answer(status, &body);
            // It came back from a copy meanwhile: what was found may be of either history.
            if answer.era == era {
                return answer;
            }
        }
    }

    fn answer(&self, status: u16, body: &Value) -> Answer {
        Answer { era: self.lock().era, status, body: body.to_string().into_bytes() }
    }

    fn one(&self, key: &str) -> (u16, Value) {
        let inside = self.lock();
        let Some(found) = inside.items.get(key) else { return (404, json!({})) };
        let mut item = item(key, found.created, found.rev, &found.value);
        item["storeRevision"] = json!(inside.revision);
        (200, item)
    }

    fn range(&self, request: &Request) -> (u16, Value) {
        let prefix = request.param("prefix").unwrap_or_default();
        let after = request.param("after").unwrap_or_default();
        let inside = self.lock();
        let found: Vec<_> = inside
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && after.as_str() < key.as_str())
            .map(|(key, found)| item(key, found.created, found.rev, &found.value))
            .collect();
        let more = PAGE < found.len();
        let items: Vec<_> = found.into_iter().take(PAGE).collect();
        let revision = inside.revision;
        (200, json!({ "items": items, "hasMore": more, "storeRevision": revision }))
    }

    fn watch(&self, request: &Request) -> (u16, Value) {
        let number = |name| request.param(name).and_then(|v| v.parse().ok()).unwrap_or(0u64);
        let prefix = request.param("prefix").unwrap_or_default();
        let (after, end) =
            (number("after"), Instant::now() + Duration::from_millis(number("waitMs")));
        let mut inside = self.lock();
        loop {
            if after < inside.forgotten || inside.revision < after {
                return (410, json!({}));
            }
            let events: Vec<_> = inside
                .log
                .iter()
                .filter(|change| after < change.rev && change.key.starts_with(&prefix))
                .map(|Change { key, created, rev, value, .. }| match value {
                    Some(value) => item(key, *created, *rev, value),
                    None => json!({ "key": key, "rev": rev, "tombstone": true }),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({ "events": events, "storeRevision": inside.revision }));
            }
            let waited = self.changed.wait_timeout(inside, left);
            inside = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn item(key: &str, created: u64, rev: u64, value: &Value) -> Value {
    json!({ "key": key, "value": value, "rev": rev, "created": created, "lease": 0 })
}
