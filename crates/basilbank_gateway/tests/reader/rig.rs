//! A daemon's readers in virtual time, before a store that answers by a function.

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
    BadCall, Dialect, Head, Metrics, OutRequest, Progress, Read, ReadError, Reading, Router,
    run_reader,
};
use basilbank_wire::{LoadGossip, StoreRevision};
use hyper::{Response, StatusCode};
use tokio::{
    runtime::Builder,
    task::{LocalSet, spawn_local},
    time::Instant,
};

/// A query, and when it came after the start.
pub type Asked = (Duration, Query);

/// A daemon, and what its readers asked.
#[derive(Clone)]
pub struct Rig {
    pub router: Rc<Router>,
    asked: Rc<RefCell<Vec<Asked>>>,
    /// Datagrams of the peer so far.
    heard: Rc<Cell<u64>>,
    begun: Instant,
}

/// Runs in virtual time: all waits are over at once, in their order.
pub fn in_virtual_time<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    let tasks = LocalSet::new();
    runtime.expect("a runtime").block_on(tasks.run_until(async { test().await }));
}

impl Rig {
    pub fn new() -> Rig {
        let begun = Instant::now();
        let state = State::new(Local::default().with_name("vm-1"), Tuning::default());
        let clock = Box::new(VirtualClock(begun));
        let router = Router::new(state, dialect(), clock, Arc::new(Metrics::default()));
        Rig { router, asked: Rc::default(), heard: Rc::default(), begun }
    }

    /// When the daemon started.
    pub fn begun(&self) -> Instant {
        self.begun
    }

    /// Starts a topic's reader before a store.
    pub fn read(&self, topic: Topic, answer: impl Fn(&Query, Progress) -> Read + 'static) {
        let (asked, begun) = (Rc::clone(&self.asked), self.begun);
        let source = Box::new(move |query: Query, progress: Progress| {
            asked.borrow_mut().push((begun.elapsed(), query.clone()));
            answer(&query, progress)
        });
        spawn_local(run_reader(Rc::clone(&self.router), topic, source));
    }

    /// What was asked so far.
    pub fn asked(&self) -> Vec<Asked> {
        self.asked.borrow().clone()
    }

    /// Questions for changes so far.
    pub fn watches(&self) -> usize {
        let asked = self.asked.borrow();
        asked.iter().filter(|(_, query)| matches!(query.scope, Scope::Changes { .. })).count()
    }

    /// A peer says up to which revision it has seen changes of a topic, every 10 ms, until then.
    pub async fn hear(&self, topic: Topic, revision: u64, time: Duration) {
        self.hear_era(topic, revision.into(), time).await;
    }

    /// The same of a revision in an era.
    pub async fn hear_era(&self, topic: Topic, revision: Revision, time: Duration) {
        let told = Some(StoreRevision { era: revision.era, number: revision.number });
        let end = Instant::now() + time;
        let from = SocketAddr::from(([10, 0, 1, 2], 7000));
        loop {
            self.heard.set(self.heard.get() + 1);
            let sequence = self.heard.get();
            let mut beat = LoadGossip { incarnation: 1, sequence, ..LoadGossip::default() };
            match topic {
                Topic::Routes => beat.routes_news = told,
                Topic::Endpoints => beat.endpoints_news = told,
            }
            self.router.dispatch(Event::gossip(from, beat));
            if end <= Instant::now() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Instances that are listed.
    pub fn listed(&self) -> Vec<String> {
        let mut listed: Vec<_> = self.router.read(|state| {
            state.directory.listed().map(|(_, endpoint)| endpoint.info.instance.clone()).collect()
        });
        listed.sort();
        listed
    }
}

/// An answer that is there at once.
pub fn at_once(answer: Result<Reading, ReadError>) -> Read {
    Box::pin(std::future::ready(answer))
}

/// An answer after a time, all at once.
pub fn after(time: Duration, answer: Result<Reading, ReadError>) -> Read {
    Box::pin(async move {
        tokio::time::sleep(time).await;
        answer
    })
}

/// No answer.
pub fn silence() -> Read {
    Box::pin(std::future::pending())
}

/// An answer that comes in pieces of so many bytes, one each `pause`.
pub fn in_pieces(
    progress: Progress,
    count: usize,
    bytes: usize,
    pause: Duration,
    answer: Result<Reading, ReadError>,
) -> Read {
    Box::pin(async move {
        progress.begun(None);
        for _ in 0..count {
            tokio::time::sleep(pause).await;
            progress.arrived(bytes);
        }
        answer
    })
}

/// A reading of a list of endpoints.
pub fn list(revision: u64, instances: &[&str]) -> Reading {
    let listed = instances.iter().zip(1..).map(|(instance, n)| EndpointInfo {
        instance: (*instance).to_owned(),
        start_time: None,
        service: "desk".to_owned(),
        addr: SocketAddr::from(([10, 0, 9, n], 8000)),
        data_centre: "hall-a".to_owned(),
        slots: 4,
        draining: false,
        stage: None,
    });
    Reading { at: Revisions::at(revision), listed: listed.collect(), ..Reading::default() }
}

/// A reading of a configuration.
pub fn configuration(revision: u64, version: u64) -> Reading {
    let table = Some(RouteTable::new(version));
    Reading { at: Revisions::at(revision), table, ..Reading::default() }
}

struct VirtualClock(Instant);

impl Clock for VirtualClock {
    fn now(&self) -> Now {
        let mono = Duration::from_secs(100) + self.0.elapsed();
        Now { mono, wall: SystemTime::UNIX_EPOCH + mono }
    }
}

/// Nothing is called or answered in these tests.
fn dialect() -> Dialect {
    Dialect {
        call: |_, _| Err(BadCall { trace: String::new(), finding: "no call" }),
        request: |_, _, _, _| OutRequest::default(),
        head: |_, _, _: &Response<()>| Head::Unclear,
        call_limit: |_| None,
        own_body: |_, _| None,
        free: |_| OutRequest::default(),
        drop_hold: |_| OutRequest::default(),
        alive: |_| OutRequest::default(),
        order: |_, _, _, _| OutRequest::default(),
        status: |_| StatusCode::OK,
    }
}
