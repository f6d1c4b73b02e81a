//! What is asked of the platform's store, and what comes of it.

use std::{future::Future, pin::Pin};

use basilbank_forward::prelude::*;

use crate::{progress::Progress, unusable::UnusableRecord};

/// What was read of a topic.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Reading {
    /// Where.
    pub revisions: Revisions,
    /// The configuration, if it was read.
    pub table: Option<RouteTable>,
    /// Entries of endpoints: those of a page, or new and changed ones.
    pub endpoints: Vec<EndpointInfo>,
    /// Instances whose entries went.
    pub removed: Vec<String>,
    /// Entries that were left out.
    pub unusable: Vec<UnusableRecord>,
    /// Where the next page begins; none after the last.
    pub next_page: Option<String>,
}

impl Reading {
    /// Takes the next page in. Pages are no snapshot: what changed since the first one is read as
    /// changes after it, and what these repeat does no harm.
    pub fn append(&mut self, page: Reading) {
        if self.revisions.store.is_none() {
            self.revisions.store = page.revisions.store;
        }
        self.revisions.latest_change =
            self.revisions.latest_change.max(page.revisions.latest_change);
        self.table = page.table.or(self.table.take());
        self.endpoints.extend(page.endpoints);
        self.unusable.extend(page.unusable);
        self.next_page = page.next_page;
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
pub type ReadFuture = Pin<Box<dyn Future<Output = Result<Reading, ReadError>>>>;

/// How a topic is read from the platform's store. What arrives is counted.
pub type Source = Box<dyn Fn(Query, Progress) -> ReadFuture>;
