//! Reads of the platform's store and their results.

use std::{collections::BTreeSet, future::Future, pin::Pin};

use basilbank_forward::prelude::*;

use crate::{progress::Progress, unusable::UnusableRecord};

/// The result of a read of a topic.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Reading {
    /// Revisions of the store and of the newest change.
    pub revisions: Revisions,
    /// The configuration, if it was read.
    pub table: Option<RouteTable>,
    /// Records of endpoints: those of a page, or new and changed ones.
    pub endpoints: Vec<EndpointInfo>,
    /// Instances whose records were removed.
    pub removed: Vec<String>,
    /// Records and removals that a later change of the same instance in this answer replaced, in
    /// their order.
    pub replaced: Vec<(String, Option<EndpointInfo>)>,
    /// Records that were left out.
    pub unusable: Vec<UnusableRecord>,
    /// Names of fields that nothing reads.
    pub unread: BTreeSet<String>,
    /// Where the next page begins; none after the last.
    pub next_page: Option<String>,
}

impl Reading {
    /// Adds the next page. Pages are not a snapshot: what has changed since the first one is read
    /// as changes after it, and applying a change twice does no harm.
    pub fn append(&mut self, page: Reading) {
        if self.revisions.store.is_none() {
            self.revisions.store = page.revisions.store;
        }
        self.revisions.latest_change =
            self.revisions.latest_change.max(page.revisions.latest_change);
        self.table = page.table.or(self.table.take());
        self.endpoints.extend(page.endpoints);
        self.replaced.extend(page.replaced);
        self.unusable.extend(page.unusable);
        self.next_page = page.next_page;
    }

    /// Returns all changes of the list of endpoints, those of one instance in their order.
    #[must_use]
    pub fn into_list_changes(self) -> Vec<(String, Option<EndpointInfo>)> {
        let records = self.endpoints.into_iter().map(|info| (info.instance.clone(), Some(info)));
        let removed = self.removed.into_iter().map(|instance| (instance, None));
        self.replaced.into_iter().chain(records).chain(removed).collect()
    }
}

/// Why a read failed.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ReadError {
    /// The store no longer has the changes after this revision: all records have to be read again.
    HistoryGone,
    /// An answer is larger than the query allows.
    TooLong,
    /// The store could not be reached, or returned an invalid answer or an error.
    Failed(String),
}

impl ReadError {
    /// Returns the stable name that counters use.
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

/// Reads a topic of the platform's store, and records the progress of the answer.
pub type Source = Box<dyn Fn(Query, Progress) -> ReadFuture>;
