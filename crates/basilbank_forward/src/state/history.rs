//! The search for the oldest changes of the list of endpoints that the store still has.
//!
//! The store keeps its changes for about as long as a stream may last, and answers a read that begins
//! before them as gone. It doesn't say where they begin, so the search asks.

use std::{collections::HashMap, time::Duration};

use crate::{endpoint::EndpointInfo, topic::Revision};

/// Number of revisions by which the first read goes back: some endpoints that come or go.
const FIRST_DISTANCE: u64 = 16;

/// Factor by which each read goes farther back than the one before while the store has the changes.
const DISTANCE_FACTOR: u64 = 4;

/// Pause after a search that failed: callers whose streams broke off come back within some seconds.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// One change: the instance, and its record as it was written or none if it was removed.
pub type ListChange = (String, Option<EndpointInfo>);

/// What is known of the changes before this daemon's start.
#[derive(Debug, Default)]
pub enum History {
    /// Nothing was asked.
    #[default]
    Unread,
    /// The store is asked.
    Searching(Search),
    /// All changes that the store has were read.
    Read {
        /// The revision after which the store has all changes.
        after: Revision,
    },
    /// The store didn't say.
    Failed {
        /// When the search failed.
        at: Duration,
    },
}

impl History {
    /// Returns whether the store has to be asked.
    #[must_use]
    pub fn is_due(&self, now: Duration) -> bool {
        match self {
            History::Unread => true,
            History::Failed { at } => *at + RETRY_PAUSE <= now,
            History::Searching(_) | History::Read { .. } => false,
        }
    }

    /// Returns the revision after which all changes were read.
    #[must_use]
    pub fn known_after(&self) -> Option<Revision> {
        match self {
            History::Read { after } => Some(*after),
            History::Unread | History::Searching(_) | History::Failed { .. } => None,
        }
    }

    /// Returns whether the store was asked and has not said all.
    #[must_use]
    pub fn is_open(&self) -> bool {
        matches!(self, History::Searching(_))
    }
}

/// A search that goes back from a revision.
#[derive(Debug)]
pub struct Search {
    /// The revision up to which the list is known.
    newest: Revision,
    /// How far back the store has returned changes.
    reached: u64,
    /// The least distance at which it has answered that they are gone.
    gone: Option<u64>,
    /// The distance that is asked for.
    asked: u64,
    /// The changes since `reached`.
    changes: Vec<ListChange>,
}

impl Search {
    /// Starts a search at the revision up to which the list is known.
    #[must_use]
    pub fn new(newest: Revision) -> Search {
        let asked = FIRST_DISTANCE.min(newest.number);
        Search { newest, reached: 0, gone: None, asked, changes: Vec::new() }
    }

    /// Returns the revision after which changes are to be read.
    #[must_use]
    pub fn after(&self) -> u64 {
        self.newest.number - self.asked
    }

    /// Returns the era of the store in which the search is made.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.newest.era
    }

    /// Returns the revision after which the store has returned all changes so far.
    #[must_use]
    pub fn known_after(&self) -> Revision {
        Revision { number: self.newest.number - self.reached, ..self.newest }
    }

    /// Handles an answer; `None` if the changes are gone. Returns whether the store has to be asked
    /// again.
    pub fn handle(&mut self, changes: Option<Vec<ListChange>>) -> bool {
        match changes {
            Some(changes) => {
                self.reached = self.asked;
                self.changes = changes;
            }
            None => self.gone = Some(self.asked),
        }
        self.asked = match self.gone {
            None => (self.reached * DISTANCE_FACTOR).min(self.newest.number),
            Some(gone) => self.reached + (gone - self.reached) / 2,
        };
        self.asked != self.reached
    }

    /// Returns the changes of each instance in their order.
    #[must_use]
    pub fn into_changes(self) -> HashMap<String, Vec<Option<EndpointInfo>>> {
        let mut by_instance: HashMap<_, Vec<_>> = HashMap::new();
        for (instance, record) in self.changes {
            by_instance.entry(instance).or_default().push(record);
        }
        by_instance
    }
}
