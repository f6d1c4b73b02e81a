//! The stand-in of the platform: a key/value service that can be read and watched, and a VM list.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{sync::watch, time::timeout};

use crate::http::{Call, Handler, Reply, Server};

/// Calls that the platform answers in any one second.
const BUDGET: usize = 2000;
const SECOND: Duration = Duration::from_secs(1);

/// One VM on the platform's list.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Where its daemon hears peers.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// It will be taken away.
    pub leaving: bool,
}

/// What goes wrong at the platform.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct PlatformFaults {
    /// Connections are closed without an answer.
    pub down: bool,
    /// Each answer waits this long.
    pub slow: Duration,
    /// Answers show what was true when this was switched on.
    pub stale: bool,
}

/// What the platform was asked.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct PlatformCounters {
    /// All calls, a waiting watch as one, refused ones included.
    pub calls: u64,
    /// Calls refused because the budget was used up.
    pub refused: u64,
    /// Watches among them.
    pub watches: u64,
    /// Reads of the VM list among them.
    pub vms: u64,
}

#[derive(Clone, Debug, Default)]
struct Store {
    revision: u64,
    /// Watches from before this are told to read the range again.
    forgotten: u64,
    documents: BTreeMap<String, (Option<String>, u64)>,
}

#[derive(Debug)]
struct VmHistory {
    lag: Duration,
    lists: VecDeque<(Instant, u64, Vec<Vm>)>,
}

#[derive(Debug)]
struct Inner {
    store: Store,
    frozen: Option<Store>,
    vms: VmHistory,
    faults: PlatformFaults,
    counters: PlatformCounters,
    recent: VecDeque<Instant>,
}

#[derive(Debug)]
struct Shared {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

/// The platform.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

impl Platform {
    /// Starts one whose VM list lags by `lag`.
    ///
    /// # Errors
    /// When the address can't be listened on.
    pub fn start(address: SocketAddr, lag: Duration) -> io::Result<Platform> {
        let inner = Inner {
            store: Store::default(),
            frozen: None,
            vms: VmHistory { lag, lists: VecDeque::new() },
            faults: PlatformFaults::default(),
            counters: PlatformCounters::default(),
            recent: VecDeque::new(),
        };
        let shared = Arc::new(Shared { inner: Mutex::new(inner), changed: watch::Sender::new(0) });
        let server = Server::start(address, Arc::clone(&shared))?;
        Ok(Platform { shared, server })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Its base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Writes a document and returns the revision.
    pub fn put(&self, key: &str, text: &str) -> u64 {
        self.write(key, Some(text.to_owned()))
    }

    /// Removes a document and returns the revision.
    pub fn remove(&self, key: &str) -> u64 {
        self.write(key, None)
    }

    fn write(&self, key: &str, text: Option<String>) -> u64 {
        let mut inner = self.shared.lock();
        inner.store.revision += 1;
        let revision = inner.store.revision;
        inner.store.documents.insert(key.to_owned(), (text, revision));
        self.shared.changed.send_replace(revision);
        revision
    }

    /// Forgets the history: watches from before now are answered 410.
    pub fn forget(&self) {
        let store = &mut self.shared.lock().store;
        store.forgotten = store.revision;
        store.documents.retain(|_, (text, _)| text.is_some());
    }

    /// Publishes a VM list; readers see it after the lag. The first one is seen at once.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        let lists = &mut self.shared.lock().vms.lists;
        let revision = lists.back().map_or(0, |(_, revision, _)| *revision) + 1;
        lists.push_back((Instant::now(), revision, vms));
    }

    /// Sets what goes wrong. Becoming stale freezes what is answered.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let inner = &mut *self.shared.lock();
        match (faults.stale, &inner.frozen) {
            (true, None) => inner.frozen = Some(inner.store.clone()),
            (false, _) => inner.frozen = None,
            (true, Some(_)) => {}
        }
        inner.faults = faults;
    }

    /// Spends part of this second's call budget, as other readers would.
    pub fn spend(&self, calls: usize) {
        let now = Instant::now();
        self.shared.lock().recent.extend(std::iter::repeat_n(now, calls));
    }

    /// What it was asked.
    #[must_use]
    pub fn counters(&self) -> PlatformCounters {
        self.shared.lock().counters
    }

    /// Drops all connections and stops accepting.
    pub fn die(&mut self) {
        self.server.end();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn watch(&self, call: &Call) -> Reply {
        let prefix = call.param("prefix").unwrap_or_default();
        let after = call.number("after");
        let wait = Duration::from_millis(call.number("wait_ms").min(60_000));
        let mut changed = self.changed.subscribe();
        let found = timeout(wait, async {
            loop {
                changed.borrow_and_update();
                let found = self.lock().visible().since(&prefix, after);
                if found.is_none_or(|found| !found.is_empty()) || changed.changed().await.is_err() {
                    return;
                }
            }
        });
        // Running out of time is an answer too.
        let _ = found.await;
        let inner = self.lock();
        if inner.faults.down {
            return Reply::Drop;
        }
        let store = inner.visible();
        match store.since(&prefix, after) {
            None => Reply::json(410, &json!({ "revision": store.revision })),
            Some(documents) if documents.is_empty() => Reply::json(
                200,
                &json!({ "after": after, "revision": after.min(store.revision), "documents": [] }),
            ),
            Some(documents) => {
                let revision = store.revision;
                let body = json!({ "after": after, "revision": revision, "documents": documents });
                Reply::json(200, &body)
            }
        }
    }
}

impl Inner {
    fn visible(&self) -> &Store {
        self.frozen.as_ref().unwrap_or(&self.store)
    }

    /// Counts a call; false when the budget of the last second is used up.
    fn admit(&mut self, call: &Call) -> bool {
        self.counters.calls += 1;
        self.counters.watches += u64::from(call.path == "/v1/watch");
        self.counters.vms += u64::from(call.path == "/v1/vms");
        let now = Instant::now();
        while self.recent.front().is_some_and(|at| SECOND <= now - *at) {
            self.recent.pop_front();
        }
        let admitted = self.recent.len() < BUDGET;
        if admitted {
            self.recent.push_back(now);
        } else {
            self.counters.refused += 1;
        }
        admitted
    }
}

impl Store {
    fn document(key: &str, text: Option<&str>, revision: u64) -> Value {
        json!({ "key": key, "text": text, "revision": revision })
    }

    fn range(&self, prefix: &str) -> Value {
        let matching = self.documents.iter().filter(|(key, _)| key.starts_with(prefix));
        let documents: Vec<Value> = matching
            .filter(|(_, (text, _))| text.is_some())
            .map(|(key, (text, revision))| Store::document(key, text.as_deref(), *revision))
            .collect();
        json!({ "revision": self.revision, "documents": documents })
    }

    /// Documents changed after a revision; `None` when that is no longer known.
    fn since(&self, prefix: &str, after: u64) -> Option<Vec<Value>> {
        if after < self.forgotten {
            return None;
        }
        let matching = self.documents.iter().filter(|(key, _)| key.starts_with(prefix));
        let changed = matching.filter(|(_, (_, revision))| after < *revision);
        Some(changed.map(|(key, (text, r))| Store::document(key, text.as_deref(), *r)).collect())
    }
}

impl VmHistory {
    fn visible(&self) -> Value {
        let old_enough = |at: &Instant| self.lag <= at.elapsed();
        let shown = self.lists.iter().rev().find(|(at, _, _)| old_enough(at));
        match shown.or(self.lists.front()) {
            Some((_, revision, vms)) => json!({ "revision": revision, "vms": vms }),
            None => json!({ "revision": 0, "vms": [] }),
        }
    }
}

impl Handler for Shared {
    async fn handle(self: Arc<Self>, call: Call) -> Reply {
        let (admitted, faults) = {
            let mut inner = self.lock();
            (inner.admit(&call), inner.faults.clone())
        };
        if !faults.slow.is_zero() {
            tokio::time::sleep(faults.slow).await;
        }
        if faults.down {
            return Reply::Drop;
        }
        if !admitted {
            return Reply::json(429, &json!({ "error": "call budget" }));
        }
        match call.path.as_str() {
            "/v1/range" => {
                let prefix = call.param("prefix").unwrap_or_default();
                Reply::json(200, &self.lock().visible().range(&prefix))
            }
            "/v1/watch" => self.watch(&call).await,
            "/v1/vms" => Reply::json(200, &self.lock().vms.visible()),
            _ => Reply::json(404, &json!({ "error": "no such call" })),
        }
    }
}
