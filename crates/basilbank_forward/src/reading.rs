//! Decides when the platform's store is read, and what is read.
//!
//! There is a reader for the configuration and one for the list of endpoints; [`Readers`] holds
//! both. They use no sockets and no clock: they receive events with their times, and return which
//! reads to start. Two rules hold at every moment, so that a change that was confirmed to the
//! operators is in force within bounded time:
//!
//! - **An outage is detected by polling.** When a read gets no answer, a hedged read is started
//!   beside it, at a steady interval and on a new connection. It asks the store not to wait for a
//!   change, so an answer means that the store is back, even if nothing has changed.
//! - **A read stays open for long.** The first answer that arrives is used, whichever read it
//!   belongs to, so a late answer counts as well. Timeouts don't have to grow with failures to suit
//!   a slow store or link, and no wait is the sum of others.

mod limits;
mod pending;
mod reader;
mod readers;

use std::time::Duration;

use crate::{log_line::LogLine, topic::Revision};

pub use readers::Readers;

/// A read of the platform's store.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Query {
    /// Which part of the topic is read.
    pub scope: Scope,
    /// Why the read is started now.
    pub reason: ReadReason,
    /// Maximum time to wait for a connection.
    pub connect_timeout: Duration,
    /// Maximum size of the answer in bytes.
    pub max_bytes: usize,
}

/// Why the store is read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReadReason {
    /// All records have to be read.
    Full,
    /// An earlier read failed, or has not been answered.
    Failure,
    /// This daemon or a peer has seen a change.
    Change,
    /// Peers watch the topic; an occasional poll checks that their reports are right.
    Poll,
    /// The topic is watched.
    Watch,
    /// Changes from before this daemon's start are searched for.
    History,
    /// A call needs to know whether the list of endpoints is current.
    Confirmation,
}

impl ReadReason {
    /// Returns the stable name that counters use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            ReadReason::Full => "anew",
            ReadReason::Failure => "failure",
            ReadReason::Change => "news",
            ReadReason::Poll => "look",
            ReadReason::Watch => "watch",
            ReadReason::History => "history",
            ReadReason::Confirmation => "confirmation",
        }
    }
}

/// Which part of a topic is read.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Scope {
    /// One page of a read of all records.
    Page {
        /// Where the page begins, as returned with the previous page; empty for the first page.
        page_token: String,
    },
    /// The changes after a revision.
    Changes {
        /// The revision after which changes are read.
        after: u64,
        /// How long the store waits for a change; zero if it has to answer at once.
        wait: Duration,
    },
}

/// Identifies a read of one topic.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct ReadId(pub u64);

/// What a reader has to know about the rest of the daemon and its peers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ReaderContext {
    /// How long a watch of the list of endpoints lets the store wait for a change, if it starts
    /// now.
    pub watch_wait: Duration,
    /// Maximum time that any watch may let the store wait, whoever else watches.
    pub max_wait: Duration,
    /// Number of daemons that this one is in contact with.
    pub peers_in_contact: usize,
    /// Whether peers watch the topic as well, and report the changes that they see.
    pub is_shared: bool,
    /// The newest change of the topic that this daemon or a peer has seen.
    pub latest_change: Revision,
    /// Whether enough peers watch the topic and report that the store answers them.
    pub is_follower: bool,
    /// How often a peer that watches has reported that the store no longer answers it.
    pub watcher_losses: u32,
}

impl Default for ReaderContext {
    /// Returns the context of a daemon without peers whose watches are not limited.
    fn default() -> ReaderContext {
        ReaderContext {
            watch_wait: Duration::ZERO,
            max_wait: Duration::MAX,
            peers_in_contact: 0,
            is_shared: false,
            latest_change: Revision::NONE,
            is_follower: false,
            watcher_losses: 0,
        }
    }
}

/// An event that concerns the reads of a topic.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ReadEvent {
    /// Time has passed, or peers have reported a change.
    Tick,
    /// The header of an answer arrived, or more of its body.
    Progress {
        /// The read that is answered.
        read: ReadId,
        /// When the data arrived.
        at: Duration,
        /// Bytes of the body received so far.
        bytes: usize,
    },
    /// A read ended.
    Ended {
        /// The read that ended.
        read: ReadId,
        /// The store's era, if the answer states it.
        era: Option<u64>,
        /// How the read ended.
        outcome: ReadOutcome,
    },
}

/// How a read ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ReadOutcome {
    /// The store answered.
    Answer {
        /// The store's revision, in its era.
        store_revision: u64,
        /// Whether the answer contains something new.
        changed: bool,
        /// Where the next page begins; none after the last page, and for changes.
        next_page: Option<String>,
        /// Size of the answer's body in bytes.
        bytes: usize,
    },
    /// The store no longer has the changes after this revision.
    HistoryGone,
    /// The answer is larger than the read allows.
    TooLong,
    /// The store could not be reached, or returned an invalid answer or an error.
    Failed(String),
}

/// What a reader asks of the I/O layer.
#[derive(Clone, PartialEq, Debug)]
pub enum ReadEffect {
    /// Start a read. Reads that are open stay open.
    Start(ReadId, Query),
    /// Close a read.
    Close {
        /// The read to close.
        read: ReadId,
        /// Whether the read timed out. Otherwise another read has brought the answer.
        timed_out: bool,
    },
    /// The topic can't be read. Emitted once, until the topic can be read again.
    StoreLost,
    /// No change has this revision, although a peer reported it: the store was read after that
    /// report, and its revision is lower.
    RevisionNotFound(Revision),
    /// Write a log line.
    Log(LogLine),
}
