//! A daemon's readers in virtual time, with a store whose answers are given by a function.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime},
};

use basilbank_forward::prelude::*;
use basilbank_gateway::{
    AnswerKind, Dialect, InvalidCall, Metrics, OutRequest, Progress, ReadError, ReadFuture,
    Reading, Router, run_reader,
};
use basilbank_wire::{LoadGossip, StoreRevision};
use hyper::{Response, StatusCode};
use tokio::{
    runtime::Builder,
    task::{LocalSet, spawn_local},
    time::Instant,
};

/// A query, and the time since the start at which it was made.
pub type TimedQuery = (Duration, Query);

/// A daemon, and the queries of its readers.
#[derive(Clone)]
pub struct Rig {
    pub router: Rc<Router>,
    queries: Rc<RefCell<Vec<TimedQuery>>>,
    /// Number of datagrams that the peer has sent.
    gossip_sequence: Rc<Cell<u64>>,
    start: Instant,
}

/// Runs a test in virtual time: all waits end at once, in their order.
pub fn in_virtual_time<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    let tasks = LocalSet::new();
    runtime.expect("a runtime").block_on(tasks.run_until(async { test().await }));
}

impl Rig {
    pub fn new() -> Rig {
        Rig::with_local(Local::default().with_name("vm-1"))
    }

    pub fn with_local(local: Local) -> Rig {
        let start = Instant::now();
        let state = State::new(local, Tuning::default());
        let clock = Box::new(VirtualClock(start));
        let router = Router::new(state, dialect(), clock, Arc::new(Metrics::default()));
        Rig { router, queries: Rc::default(), gossip_sequence: Rc::default(), start }
    }

    /// Creates a daemon that hears so many peers that it watches the store for them.
    pub fn watcher() -> Rig {
        (1..=u8::MAX).map(Rig::in_large_fleet).find(Rig::is_watcher).expect("a watcher")
    }

    fn in_large_fleet(number: u8) -> Rig {
        let address = |n| SocketAddr::from(([10, 0, 0, n], 7000));
        let local = Local::default().with_name("vm-1").with_address(address(number));
        let rig = Rig::with_local(local);
        rig.router.dispatch(Event::RoutesRead {
            revisions: Revisions::at(1),
            table: configuration(1, 1).table.map(Arc::new),
        });
        rig.router.dispatch(Event::EndpointsRead { revisions: Revisions::at(1), list: Vec::new() });
        rig.hear_peers();
        rig
    }

    /// Lets time pass in which the daemon hears its peers.
    pub async fn pass_with_peers(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(100)).await;
            self.hear_peers();
        }
    }

    fn hear_peers(&self) {
        let own = self.router.read(|state| state.local.address);
        self.gossip_sequence.set(self.gossip_sequence.get() + 1);
        let sequence = self.gossip_sequence.get();
        let peers = (1..=60).map(|peer| SocketAddr::from(([10, 0, 0, peer], 7000)));
        for peer in peers.filter(|peer| Some(*peer) != own) {
            let gossip = LoadGossip { incarnation: 1, sequence, ..LoadGossip::default() };
            self.router.dispatch(Event::gossip(peer, gossip));
        }
    }

    fn is_watcher(&self) -> bool {
        self.router.read(State::is_watcher)
    }

    /// Returns when the daemon started.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// Starts a topic's reader with a store.
    pub fn start_reader(
        &self,
        topic: Topic,
        answer: impl Fn(&Query, Progress) -> ReadFuture + 'static,
    ) {
        let (queries, start) = (Rc::clone(&self.queries), self.start);
        let source = Box::new(move |query: Query, progress: Progress| {
            queries.borrow_mut().push((start.elapsed(), query.clone()));
            answer(&query, progress)
        });
        spawn_local(run_reader(Rc::clone(&self.router), topic, source));
    }

    /// Returns the queries so far.
    pub fn queries(&self) -> Vec<TimedQuery> {
        self.queries.borrow().clone()
    }

    /// Returns the number of queries for changes so far.
    pub fn watches(&self) -> usize {
        let queries = self.queries.borrow();
        queries.iter().filter(|(_, query)| matches!(query.scope, Scope::Changes { .. })).count()
    }

    /// Sends gossip of a peer every 10 ms for a time, with the revision up to which the peer has
    /// seen changes of a topic.
    pub async fn send_gossip(&self, topic: Topic, revision: u64, time: Duration) {
        self.send_gossip_in_era(topic, revision.into(), time).await;
    }

    /// Sends gossip like [`Rig::send_gossip`], with a revision in an era.
    pub async fn send_gossip_in_era(&self, topic: Topic, revision: Revision, time: Duration) {
        let latest_change = Some(StoreRevision { era: revision.era, number: revision.number });
        let end = Instant::now() + time;
        let from = SocketAddr::from(([10, 0, 1, 2], 7000));
        loop {
            self.gossip_sequence.set(self.gossip_sequence.get() + 1);
            let sequence = self.gossip_sequence.get();
            let mut gossip = LoadGossip { incarnation: 1, sequence, ..LoadGossip::default() };
            match topic {
                Topic::Routes => gossip.routes_news = latest_change,
                Topic::Endpoints => gossip.endpoints_news = latest_change,
            }
            self.router.dispatch(Event::gossip(from, gossip));
            if end <= Instant::now() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the listed instances.
    pub fn listed(&self) -> Vec<String> {
        let mut listed: Vec<_> = self.router.read(|state| {
            state.directory.listed().map(|(_, endpoint)| endpoint.info.instance.clone()).collect()
        });
        listed.sort();
        listed
    }
}

/// An answer that is available at once.
pub fn immediately(answer: Result<Reading, ReadError>) -> ReadFuture {
    Box::pin(std::future::ready(answer))
}

/// An answer that arrives complete after a time.
pub fn delayed(time: Duration, answer: Result<Reading, ReadError>) -> ReadFuture {
    Box::pin(async move {
        tokio::time::sleep(time).await;
        answer
    })
}

/// A read that is never answered.
pub fn no_answer() -> ReadFuture {
    Box::pin(std::future::pending())
}

/// An answer that arrives in chunks of `bytes` bytes, each after `pause`.
pub fn in_chunks(
    progress: Progress,
    count: usize,
    bytes: usize,
    pause: Duration,
    answer: Result<Reading, ReadError>,
) -> ReadFuture {
    Box::pin(async move {
        progress.record_head(None);
        for _ in 0..count {
            tokio::time::sleep(pause).await;
            progress.record_bytes(bytes);
        }
        answer
    })
}

/// The result of a read of the list of endpoints.
pub fn list(revision: u64, instances: &[&str]) -> Reading {
    let listed = instances.iter().zip(1..).map(|(instance, n)| EndpointInfo {
        version: "v1".to_owned(),
        instance: (*instance).to_owned(),
        start_time: None,
        service: "desk".to_owned(),
        addr: SocketAddr::from(([10, 0, 9, n], 8000)),
        data_centre: "hall-a".to_owned(),
        slots: 4,
        draining: false,
        stage: None,
        revisions: ItemRevisions::default(),
        heartbeats: 1,
    });
    Reading {
        revisions: Revisions::at(revision),
        endpoints: listed.collect(),
        ..Reading::default()
    }
}

/// The result of a read of the configuration.
pub fn configuration(revision: u64, version: u64) -> Reading {
    let table = Some(RouteTable::new(version));
    Reading { revisions: Revisions::at(revision), table, ..Reading::default() }
}

struct VirtualClock(Instant);

impl Clock for VirtualClock {
    fn now(&self) -> Now {
        let mono = Duration::from_secs(100) + self.0.elapsed();
        Now { mono, wall: SystemTime::UNIX_EPOCH + mono }
    }
}

/// A dialect for tests in which nothing is called or answered.
fn dialect() -> Dialect {
    Dialect {
        parse_call: |_, _| Err(InvalidCall { trace_id: String::new(), reason: "no call" }),
        attempt_request: |_, _, _, _| OutRequest::default(),
        last_event_id: |_| None,
        shorten_deadline: |_, _| {},
        attempt_id: |_| None,
        is_refusal: |_, _| false,
        classify_answer: |_, _: &Response<()>| AnswerKind::Unclear,
        call_limit: |_| None,
        is_leaving: |_| false,
        requested_pause: |_, _| None,
        unread_from_endpoint: |_, _| Vec::new(),
        unread_from_caller: |_| Vec::new(),
        parse_control_answer: |_, _| None,
        free_request: |_| OutRequest::default(),
        release_hold_request: |_| OutRequest::default(),
        liveness_request: |_| OutRequest::default(),
        parse_start_time: |_| None,
        order_request: |_, _, _, _| OutRequest::default(),
        refusal_status: |_| StatusCode::OK,
    }
}
