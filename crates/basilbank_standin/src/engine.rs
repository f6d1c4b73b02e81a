//! The stand-in of a model engine.

mod calls;
mod jobs;

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use tokio::task::AbortHandle;

use crate::{
    faults::Faults,
    http::Server,
    kv::KvCache,
    prefix::PrefixCache,
    queue::Slots,
    spec::{EngineSpec, Role},
    stream::Stream,
};

/// What an engine did.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct EngineCounters {
    /// Prefills that were started.
    pub prefills: u64,
    /// Prompt tokens that were worked on, without cached ones.
    pub prompt_tokens: u64,
    /// Prompt tokens that came from the prefix cache.
    pub cached_tokens: u64,
    /// Streams that were started.
    pub streams: u64,
    /// Tokens that were generated.
    pub tokens: u64,
    /// KV caches that no decode engine took in time.
    pub evicted: u64,
    /// Prefills, KV caches and streams that were cancelled.
    pub cancelled: u64,
    /// Readers that took a stream over.
    pub takeovers: u64,
    /// Calls that were refused as not run.
    pub refused: u64,
    /// Orders that were taken.
    pub orders: u64,
    /// Orders that were refused for their fencing number.
    pub fenced: u64,
    /// Requests that an order cut off.
    pub cut: u64,
}

/// What the engine has loaded.
#[derive(Clone, Debug)]
struct Loaded {
    role: Role,
    model: String,
    /// Empty while it loads.
    version: String,
    adapter: String,
    fence: u64,
}

/// A request's attempt, as the router names it.
type JobKey = (String, u32);

#[derive(Debug)]
struct Inner {
    faults: Faults,
    counters: EngineCounters,
    loaded: Loaded,
    cache: PrefixCache,
    jobs: HashMap<JobKey, AbortHandle>,
    kv: BTreeMap<String, KvCache>,
    streams: BTreeMap<String, Stream>,
    /// Numbers KV caches and streams.
    serial: u64,
}

#[derive(Debug)]
struct Shared {
    spec: EngineSpec,
    slots: Arc<Slots>,
    link: tokio::sync::Mutex<()>,
    agent: ureq::Agent,
    inner: Mutex<Inner>,
}

/// A model engine: it batches, caches prefixes, and exports and imports KV caches.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    server: Server,
}

impl Engine {
    /// Starts one.
    ///
    /// # Errors
    /// When the address can't be listened on.
    pub fn start(spec: EngineSpec) -> io::Result<Engine> {
        let loaded = Loaded {
            role: spec.role,
            model: spec.model.clone(),
            version: spec.version.clone(),
            adapter: String::new(),
            fence: 0,
        };
        let inner = Inner {
            faults: Faults::default(),
            counters: EngineCounters::default(),
            loaded,
            cache: PrefixCache::new(spec.cache_blocks, spec.cache_log),
            jobs: HashMap::new(),
            kv: BTreeMap::new(),
            streams: BTreeMap::new(),
            serial: 0,
        };
        let address = spec.address;
        let shared = Arc::new(Shared {
            slots: Slots::new(spec.slots),
            link: tokio::sync::Mutex::new(()),
            agent: jobs::agent(),
            inner: Mutex::new(inner),
            spec,
        });
        let server = Server::start(address, Arc::clone(&shared))?;
        Ok(Engine { shared, server })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets what goes wrong.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// What it did.
    #[must_use]
    pub fn counters(&self) -> EngineCounters {
        self.shared.lock().counters
    }

    /// KV caches, running streams and taken slots: what memory is held for.
    #[must_use]
    pub fn held(&self) -> usize {
        let inner = self.shared.lock();
        let running = inner.streams.values().filter(|s| s.done.is_none()).count();
        let load = self.shared.slots.load_now();
        inner.kv.len() + running.max(load.running) + load.queued
    }

    /// When each token of a request's streams was generated, as long as they are known.
    #[must_use]
    pub fn token_times(&self, request: &str) -> Vec<Instant> {
        let inner = self.shared.lock();
        let own = inner.streams.values().filter(|s| s.request == request);
        own.flat_map(|s| s.times.iter().copied()).collect()
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
}
