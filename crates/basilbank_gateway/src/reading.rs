//! What is asked of the platform's store, and what comes of it.

use std::{future::Future, pin::Pin};

use basilbank_forward::prelude::*;

use crate::{findings::Finding, progress::Progress};

/// What was read of a topic.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Reading {
    /// Where.
    pub at: Revisions,
    /// The configuration, if it was read.
    pub table: Option<RouteTable>,
    /// Entries of endpoints: those of a page, or new and changed ones.
    pub listed: Vec<EndpointInfo>,
    /// Instances whose entries went.
    pub gone: Vec<String>,
    /// Entries that were left out.
    pub findings: Vec<Finding>,
    /// Where the next page begins; none after the last.
    pub next: Option<String>,
}

impl Reading {
    /// Takes the next page in. Pages are no snapshot: what changed since the first one is read as
    /// changes after it, and what these repeat does no harm.
    pub fn append(&mut self, page: Reading) {
        if self.at.store.is_none() {
            self.at.store = page.at.store;
        }
        self.at.latest_change = self.at.latest_change.max(page.at.latest_change);
        self.table = page.table.or(self.table.take());
        self.listed.extend(page.listed);
        self.findings.extend(page.findings);
        self.next = page.next;
    }
}

/// Why nothing was read.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ReadError {
    /// The changes after this revision can't be had any more: all must be read again.
    HistoryGone,
    /// An answer is longer than the query allows.
    TooLong,
    /// The store was not reached, or did not answer as it should.
    Failed(String),
}

impl ReadError {
    /// The stable name by which it is counted.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            ReadError::HistoryGone => "history_gone",
            ReadError::TooLong => "too_long",
            ReadError::Failed(_) => "failed",
        }
    }
}

/// A read in progress.
pub type Read = Pin<Box<dyn Future<Output = Result<Reading, ReadError>>>>;

/// How a topic is read from the platform's store. What arrives is counted.
pub type Source = Box<dyn Fn(Query, Progress) -> Read>;
