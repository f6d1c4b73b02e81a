//! A whole daemon.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{self, Receiver, Sender},
    },
    thread::{self, JoinHandle},
};

use anyhow::Context;
use basilbank_config::{Settings, key_hash};
use basilbank_core::{
    catalogue::{EntryTarget, KeyHash},
    event::Event,
    reason::Refusal,
    state::{Local, State},
    time::{Clock, Now},
};

use crate::{
    admin::{Access, Admin},
    callers::{Callers, Server, ServerConfig},
    clock::SystemClock,
    engine::{Engine, EngineConfig},
    event_loop::{EventLoop, LoopControl, Parts},
    inbox::{Feed, inbox},
    metrics::Metrics,
    names::Names,
    observer::Observer,
    peers::Peers,
    platform::Platform,
    published::Published,
    queries::queries,
};

/// Stack of the event loop's thread in bytes.
const LOOP_STACK: usize = 2 << 20;

/// A running daemon. Dropping it cuts what is in progress; [`Daemon::wait`] does not.
#[derive(Debug)]
pub struct Daemon {
    callers: SocketAddr,
    server: Option<Server>,
    admin: Admin,
    peers: SocketAddr,
    handle: Shutdown,
    done: Receiver<()>,
    stop: Arc<AtomicBool>,
    event_loop: Option<JoinHandle<()>>,
}

/// Starts a daemon's shutdown, from any thread.
#[derive(Clone, Debug)]
pub struct Shutdown {
    events: Sender<Event>,
    published: Arc<Published>,
}

impl Shutdown {
    /// Takes no new work from now on; `Daemon::wait` returns when all in progress is done.
    pub fn start(&self) {
        let _ = self.events.send(Event::Shutdown);
    }

    /// Requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.published.in_progress()
    }
}

impl Daemon {
    /// Binds all addresses and starts all threads.
    ///
    /// # Errors
    /// An address can't be bound or a thread can't be started.
    pub fn start(settings: Settings) -> anyhow::Result<Daemon> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let now = clock.now();
        let local = local(&settings, now);
        let (inbox, events, feed) = inbox();
        let callers = Arc::new(Callers::default());
        let published = Arc::new(Published::default());
        let metrics = Arc::new(Metrics::default());
        let observer = Observer::new(Arc::clone(&metrics), Arc::clone(&published));
        let key = settings.peer_key.as_bytes();
        let peers = Peers::start(settings.peers, key, &local, feed.clone(), &metrics)
            .context("peers' address")?;
        let peers_address = peers.address();
        let engine = engine(&settings, &local, &callers, &published, &feed);
        let (queries, questions) = queries(events.clone());
        let key = key_hash(&settings.admin_key);
        let history = Arc::clone(&observer.history);
        let access = Access { key, published: Arc::clone(&published), queries, metrics, history };
        let admin = Admin::start(settings.admin, access)?;
        let server = server_config(&settings, &published, &observer.metrics, &clock);
        let server = Server::start(server, events.clone(), Arc::clone(&callers))?;
        let platform = Platform::start(&settings.platform, &feed, &observer.metrics)?;
        let state = State::new(local.with_tuning(settings.tuning), now);
        published.publish(&state);
        let handle = Shutdown { events, published: Arc::clone(&published) };
        let parts = Parts { callers, engine, peers, platform, observer, published };
        let (control, done, stop) = control();
        let event_loop = EventLoop::new(state, clock, inbox, questions, parts, control);
        let builder = thread::Builder::new().name("event-loop".to_owned()).stack_size(LOOP_STACK);
        let event_loop = Some(builder.spawn(move || event_loop.run())?);
        let (callers, server) = (server.address(), Some(server));
        Ok(Daemon { callers, server, admin, peers: peers_address, handle, done, stop, event_loop })
    }

    /// Where callers connect.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where operators connect.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Where peers are heard.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.handle.in_progress()
    }

    /// Starts the shutdown: see [`Shutdown::start`].
    pub fn shutdown(&self) {
        self.handle.start();
    }

    /// For starting the shutdown from another thread.
    #[must_use]
    pub fn handle(&self) -> Shutdown {
        self.handle.clone()
    }

    /// Waits until the daemon is done after a shutdown and its last answers have been written.
    ///
    /// # Errors
    /// The event loop panicked.
    pub fn wait(mut self) -> anyhow::Result<()> {
        let done = self.done.recv();
        if done.is_ok()
            && let Some(server) = self.server.take()
        {
            server.wait();
        }
        self.end()
    }

    fn end(&mut self) -> anyhow::Result<()> {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.handle.events.send(Event::Tick);
        let Some(event_loop) = self.event_loop.take() else { return Ok(()) };
        event_loop.join().map_err(|_| anyhow::anyhow!("the event loop panicked"))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.end();
    }
}

fn control() -> (LoopControl, Receiver<()>, Arc<AtomicBool>) {
    let (done, is_done) = mpsc::sync_channel(1);
    let stop = Arc::new(AtomicBool::new(false));
    (LoopControl { done, stop: Arc::clone(&stop) }, is_done, stop)
}

fn engine(
    settings: &Settings,
    local: &Local,
    callers: &Arc<Callers>,
    published: &Arc<Published>,
    feed: &Feed,
) -> Engine {
    let config = EngineConfig::new(local)
        .with_data_centre(&settings.data_centre)
        .with_answer(settings.limits.max_answer_bytes);
    Engine::new(config, Arc::clone(callers), Arc::clone(published), feed.clone())
}

fn local(settings: &Settings, now: Now) -> Local {
    Local::default()
        .with_name(&settings.name)
        .with_data_centre(&settings.data_centre)
        .with_incarnation(now.unix_ms())
}

fn server_config(
    settings: &Settings,
    published: &Arc<Published>,
    metrics: &Arc<Metrics>,
    clock: &Arc<dyn Clock>,
) -> ServerConfig {
    let (published, metrics) = (Arc::clone(published), Arc::clone(metrics));
    ServerConfig::new(settings.callers, settings.peer_key.as_bytes(), Arc::clone(clock))
        .with_limits(settings.limits.clone())
        .with_refused(Arc::new(move |reason| metrics.refused(reason)))
        .with_models(Arc::new(move |key| models(&published.names(), key)))
}

/// The names that a key's team may use in `model`.
fn models(names: &Names, key: &KeyHash) -> Result<Vec<String>, Refusal> {
    if names.catalogue().revision == 0 {
        return Err(Refusal::NotReady);
    }
    let team = names.view.team(key).ok_or(Refusal::UnknownKey)?;
    let entries = names.catalogue().entries.iter().filter(|e| e.team == team);
    let drafts = entries.filter(|e| matches!(e.target, EntryTarget::Model(_)));
    Ok(drafts.map(|e| e.name.clone()).collect())
}
