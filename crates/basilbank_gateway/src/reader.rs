//! Reads the configuration and the list of endpoints from the platform's store.

use std::{future::Future, pin::Pin, rc::Rc, sync::Arc, time::Duration};

use basilbank::logs::Line;
use basilbank_forward::prelude::*;
use tokio::time::{Instant, sleep, timeout};

use crate::{progress::Progress, router::Router};

/// Time for an answer beyond what the store was asked to wait, at first; doubled after each failure.
const MARGIN: Duration = Duration::from_millis(700);

/// Longest such time.
const MARGIN_MOST: Duration = Duration::from_millis(2800);

/// Pause after a read that had changes: they come in bursts, and each read is paid for.
const BATCH: Duration = Duration::from_millis(500);

/// How long a watch may be behind what a peer has seen. The change itself usually arrives within
/// some milliseconds; a watch that is still silent then has a dead connection.
const BEHIND: Duration = Duration::from_millis(300);

/// First pause after a failure; doubled each time.
const BACKOFF: Duration = Duration::from_millis(150);

/// Longest pause after a failure: the store's return is noticed within it.
const BACKOFF_MOST: Duration = Duration::from_millis(800);

/// Limit of one call for everything at first, doubled after each failure: a silent connection is left
/// soon, and a store that is slow, or busy with all daemons that restart at once, is not asked again
/// and again for what it was about to answer.
const PAGE: Duration = Duration::from_millis(600);

/// Longest such limit.
const PAGE_MOST: Duration = Duration::from_millis(4800);

/// What is read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Query {
    /// Everything.
    All {
        /// Limit of each call that it takes.
        limit: Duration,
    },
    /// What changed after a revision.
    Changes {
        /// The revision.
        after: u64,
        /// How long the store waits for a change.
        wait: Duration,
        /// When its answer counts as lost.
        limit: Duration,
    },
}

/// What was read.
#[derive(Clone, PartialEq, Debug)]
pub struct Reading {
    /// The store's revision.
    pub revision: u64,
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
    /// The store was not reached, or did not answer as it should.
    Failed(String),
}

/// A read in progress.
pub type Read = Pin<Box<dyn Future<Output = Result<Reading, ReadError>>>>;

/// How the platform's store is read.
pub type Source = Box<dyn Fn(Query, Progress) -> Read>;

/// Reads until the task is dropped.
pub async fn run(router: Rc<Router>, source: Source) {
    let mut reader = Reader { router, source, after: 0, failures: 0 };
    loop {
        let pause = reader.turn().await;
        sleep(pause).await;
    }
}

struct Reader {
    router: Rc<Router>,
    source: Source,
    after: u64,
    failures: u32,
}

impl Reader {
    fn next(&self) -> Query {
        let grown = |first: Duration| first.saturating_mul(1 << self.failures.min(8));
        match self.after {
            0 => Query::All { limit: grown(PAGE).min(PAGE_MOST) },
            after => {
                let wait = self.router.read_wait();
                Query::Changes { after, wait, limit: wait + grown(MARGIN).min(MARGIN_MOST) }
            }
        }
    }

    /// One read; returns how long to pause.
    async fn turn(&mut self) -> Duration {
        let begun = Instant::now();
        let query = self.next();
        let late = |_| Err(ReadError::Failed("no answer in time".to_owned()));
        let progress = Progress::default();
        let reading = (self.source)(query, progress.clone());
        let read = async {
            match query {
                // Its calls have limits of their own, and there are as many as there are pages.
                Query::All { .. } => reading.await,
                Query::Changes { limit, .. } => timeout(limit, reading).await.unwrap_or_else(late),
            }
        };
        let read = tokio::select! {
            read = read => read,
            () = self.router.behind(BEHIND) => {
                let line = Line::new("store_watch_stale").with("after", self.after);
                log::info!("{}", line.with("bytes", progress.bytes()));
                let error = "a peer has seen what the watch has not";
                return self.failed(error, begun.elapsed(), &progress);
            }
        };
        match read {
            Ok(reading) => {
                self.router.metrics.store_call("read");
                let changed = !(reading.listed.is_empty() && reading.gone.is_empty());
                self.took(query, reading);
                let is_change = matches!(query, Query::Changes { .. });
                if changed && is_change { BATCH } else { Duration::ZERO }
            }
            Err(ReadError::HistoryGone) => {
                self.router.metrics.store_call("history_gone");
                log::info!("{}", Line::new("store_history_gone").with("after", self.after));
                self.after = 0;
                Duration::ZERO
            }
            Err(ReadError::Failed(error)) => self.failed(&error, begun.elapsed(), &progress),
        }
    }

    fn took(&mut self, query: Query, reading: Reading) {
        if 0 < self.failures {
            let line = Line::new("store_regained").with("failures", self.failures);
            log::info!("{line}");
        }
        self.failures = 0;
        for finding in &reading.findings {
            log::warn!("{}", Line::new("store_finding").with("finding", finding));
        }
        self.after = reading.revision;
        if let Some(table) = reading.table {
            self.router.dispatch(Event::Routes(Arc::new(table)));
        }
        let revision = reading.revision;
        self.router.dispatch(match query {
            Query::All { .. } => Event::Endpoints { revision, list: reading.listed },
            Query::Changes { .. } => {
                Event::Changed { revision, listed: reading.listed, gone: reading.gone }
            }
        });
    }

    fn failed(&mut self, error: &str, took: Duration, progress: &Progress) -> Duration {
        self.router.metrics.store_call("failed");
        if self.failures == 0 {
            let line = Line::new("store_lost").with("error", error).with_ms("took_ms", took);
            log::warn!("{}", line.with("bytes", progress.bytes()));
            self.router.dispatch(Event::StoreLost);
        }
        self.failures += 1;
        BACKOFF.saturating_mul(1 << self.failures.min(6)).min(BACKOFF_MOST)
    }
}
