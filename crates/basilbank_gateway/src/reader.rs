//! Reads the configuration and the list of endpoints from the platform's store.

use std::{future::Future, pin::Pin, rc::Rc, sync::Arc, time::Duration};

use basilbank::logs::Line;
use basilbank_forward::prelude::*;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    progress::{Patience, Progress},
    router::Router,
};

/// Longest silence beyond what the store was asked to wait, at first; doubled after each failure.
const MARGIN: Duration = Duration::from_millis(700);

/// Longest such silence.
const MARGIN_MOST: Duration = Duration::from_millis(2800);

/// Pause after a read that had changes: they come in bursts, and each read is paid for.
const BATCH: Duration = Duration::from_millis(500);

/// How long a watch may be silent while a peer has seen a change, at first; doubled after each failure.
/// The answer usually begins within some milliseconds; a watch that is still silent then has a dead
/// connection, or the store is slow, and to ask it more often would never get its answer.
const BEHIND: Duration = Duration::from_millis(300);

/// First pause after a failure; doubled each time.
const BACKOFF: Duration = Duration::from_millis(150);

/// Longest pause after a failure: the store's return is noticed within it.
const BACKOFF_MOST: Duration = Duration::from_millis(800);

/// Longest wait for a connection at first, some round trips; doubled after each failure, since an
/// opening packet waits behind all that is under way on a slow link.
const CONNECT: Duration = Duration::from_millis(250);

/// Longest such wait.
const CONNECT_MOST: Duration = Duration::from_secs(1);

/// How long the configuration's reader lets the list's go first after the store was lost.
const LOST_MOST: Duration = Duration::from_secs(2);

/// Longest silence while everything is read, at first, doubled after each failure: a silent connection
/// is left soon, and a store that is slow, or busy with all daemons that restart at once, is not asked
/// again and again for what it was about to answer.
const PAGE: Duration = Duration::from_millis(600);

/// Longest such silence.
const PAGE_MOST: Duration = Duration::from_millis(4800);

/// Bytes of changes that are always taken: a twentieth of a second at ten megabits a second.
const CHANGES_LEAST: usize = 64 << 10;

/// Changes may be this many times as long as everything was. They bring each version that was written
/// meanwhile, so after a time without the store they are longer than all that is in force now, without
/// a bound: over a slow link they would take longer than their news is worth.
const CHANGES_PART: usize = 2;

/// What is read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Query {
    /// How much of it.
    pub scope: Scope,
    /// Longest wait for a connection.
    pub connect: Duration,
    /// Most bytes of an answer.
    pub most: usize,
}

/// How much is read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Scope {
    /// Everything.
    All,
    /// What changed after a revision.
    Changes {
        /// The revision.
        after: u64,
        /// How long the store waits for a change.
        wait: Duration,
    },
}

/// What was read of a topic.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Reading {
    /// Where.
    pub at: Revisions,
    /// The configuration, if it was read.
    pub table: Option<RouteTable>,
    /// Entries of endpoints: all of them, or new and changed ones.
    pub listed: Vec<EndpointInfo>,
    /// Instances whose entries went.
    pub gone: Vec<String>,
    /// What is wrong with entries that were left out.
    pub findings: Vec<String>,
}

/// Why nothing was read.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ReadError {
    /// The store has dropped the changes after this revision: all must be read again.
    HistoryGone,
    /// An answer is longer than the query allows.
    TooLong,
    /// The store was not reached, or did not answer as it should.
    Failed(String),
}

/// A read in progress.
pub type Read = Pin<Box<dyn Future<Output = Result<Reading, ReadError>>>>;

/// How a topic is read from the platform's store.
pub type Source = Box<dyn Fn(Query, Progress) -> Read>;

/// Most bytes of an answer to a question for everything: a page holds about a megabyte, in base64.
const PAGE_BYTES: usize = 8 << 20;

/// Reads a topic until the task is dropped.
pub async fn run(router: Rc<Router>, topic: Topic, source: Source) {
    let mut reader = Reader { router, topic, source, after: 0, failures: 0, whole: 0 };
    loop {
        let pause = reader.turn().await;
        sleep(pause).await;
    }
}

struct Reader {
    router: Rc<Router>,
    topic: Topic,
    source: Source,
    /// Changes are read after this revision; 0 when everything has to be read.
    after: u64,
    failures: u32,
    /// Bytes that everything took.
    whole: usize,
}

impl Reader {
    fn next(&self) -> Query {
        let connect = self.grown(CONNECT, CONNECT_MOST);
        match self.after {
            0 => Query { scope: Scope::All, connect, most: PAGE_BYTES },
            after => {
                let wait = self.router.read_wait(self.topic);
                let scope = Scope::Changes { after, wait };
                let most = self.whole.saturating_mul(CHANGES_PART).max(CHANGES_LEAST);
                Query { scope, connect, most }
            }
        }
    }

    /// A limit grows with each failure, so that something that is merely slow is met at last.
    fn grown(&self, first: Duration, most: Duration) -> Duration {
        first.saturating_mul(1 << self.failures.min(8)).min(most)
    }

    fn patience(&self, scope: Scope) -> Patience {
        match scope {
            Scope::All => {
                let page = self.grown(PAGE, PAGE_MOST);
                Patience { first: page, between: page }
            }
            Scope::Changes { wait, .. } => {
                let margin = self.grown(MARGIN, MARGIN_MOST);
                Patience { first: wait + margin, between: margin }
            }
        }
    }

    /// Waits until a peer has seen a change for which this read stays silent.
    async fn overtaken(&self, scope: Scope, progress: &Progress) {
        let grace = self.grown(BEHIND, MARGIN_MOST);
        loop {
            self.router.behind(self.topic, grace).await;
            // An answer that has begun is on its way, however long it takes.
            if scope != Scope::All && !progress.has_begun() {
                return;
            }
        }
    }

    /// Waits while the list of endpoints can't be read, but not for long: in an outage one reader is
    /// enough to notice that the store is back, and each call is paid for.
    async fn regained(&self) {
        if self.topic == Topic::Routes {
            let mut lost = self.router.lost();
            // Both ways out mean the same: it is time to read.
            let _ = timeout(LOST_MOST, lost.wait_for(|lost| !lost)).await;
        }
    }

    /// Waits until the list's reader loses the store while this read is silent. That reader has news
    /// more often; when its connection went silent, this one's probably did, too.
    async fn doubted(&self, progress: &Progress) {
        let mut lost = self.router.lost();
        while lost.changed().await.is_ok() {
            let lost = *lost.borrow_and_update();
            if lost && self.topic == Topic::Routes && !progress.has_begun() {
                return;
            }
        }
    }

    /// One read; returns how long to pause.
    async fn turn(&mut self) -> Duration {
        self.regained().await;
        let begun = Instant::now();
        let query = self.next();
        let progress = Progress::default();
        let read = tokio::select! {
            read = (self.source)(query, progress.clone()) => read,
            () = progress.silent(self.patience(query.scope)) => {
                Err(ReadError::Failed("no answer in time".to_owned()))
            }
            () = self.overtaken(query.scope, &progress) => {
                log::info!("{}", self.line("store_watch_stale").with("after", self.after));
                Err(ReadError::Failed("a peer has seen what the watch has not".to_owned()))
            }
            () = self.doubted(&progress) => return Duration::ZERO,
        };
        match read {
            Ok(reading) => {
                self.router.metrics.store_call("read");
                let changed = reading.at.newest != 0;
                self.took(query.scope, reading, progress.bytes());
                if changed && query.scope != Scope::All { BATCH } else { Duration::ZERO }
            }
            Err(ReadError::HistoryGone) => self.read_all("history_gone"),
            Err(ReadError::TooLong) if query.scope != Scope::All => self.read_all("too_long"),
            Err(ReadError::TooLong) => self.failed("too long", begun.elapsed(), &progress),
            Err(ReadError::Failed(error)) => self.failed(&error, begun.elapsed(), &progress),
        }
    }

    /// Changes can't be had, or cost more than they bring.
    fn read_all(&mut self, why: &'static str) -> Duration {
        self.router.metrics.store_call(why);
        let line = self.line("store_read_all").with("why", why).with("after", self.after);
        log::info!("{line}");
        self.after = 0;
        Duration::ZERO
    }

    fn took(&mut self, scope: Scope, reading: Reading, bytes: usize) {
        if 0 < self.failures {
            let line = self.line("store_regained").with("failures", self.failures);
            log::info!("{}", line.with("bytes", bytes));
        }
        self.failures = 0;
        if self.topic == Topic::Endpoints {
            self.router.set_lost(false);
        }
        for finding in &reading.findings {
            log::warn!("{}", self.line("store_finding").with("finding", finding));
        }
        self.after = reading.at.store;
        if scope == Scope::All {
            self.whole = bytes;
        }
        let Reading { at: read, table, listed, gone, .. } = reading;
        self.router.dispatch(match (self.topic, scope) {
            (Topic::Routes, _) => Event::Routes { read, table: table.map(Arc::new) },
            (Topic::Endpoints, Scope::All) => Event::Endpoints { read, list: listed },
            (Topic::Endpoints, Scope::Changes { .. }) => Event::Changed { read, listed, gone },
        });
    }

    fn line(&self, event: &'static str) -> Line {
        Line::new(event).with("topic", self.topic.as_str())
    }

    fn failed(&mut self, error: &str, took: Duration, progress: &Progress) -> Duration {
        self.router.metrics.store_call("failed");
        if self.failures == 0 {
            let line = self.line("store_lost").with("error", error).with_ms("took_ms", took);
            log::warn!("{}", line.with("bytes", progress.bytes()));
            if self.topic == Topic::Endpoints {
                self.router.dispatch(Event::StoreLost);
                self.router.set_lost(true);
            }
        }
        self.failures += 1;
        BACKOFF.saturating_mul(1 << self.failures.min(6)).min(BACKOFF_MOST)
    }
}
