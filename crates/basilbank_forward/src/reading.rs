//! When the platform's store is asked, and for what.
//!
//! The configuration and the list of endpoints have a reader each; [`Readers`] are both of them. They
//! know no sockets and no clock: they are told what came and how late it is, and say what to ask. Two
//! things hold at every moment, so that a change of which the operators have a confirmation is in force
//! in bounded time:
//!
//! - **An outage is noticed by looking.** Silence leads to a hedged request: another question goes out
//!   beside the one that is silent, at a steady pace and on a new connection. It asks the store not to
//!   wait for a change, so an answer means that the store is back, also when nothing has changed.
//! - **A question is left open for long.** An answer that is merely late counts: the first that comes is
//!   taken, whichever question it belongs to. So no limit has to grow with failures for the sake of a
//!   slow store or link, and no wait is the sum of others.

mod limits;
mod pending;
mod reader;
mod readers;

use std::time::Duration;

use crate::{log_line::LogLine, topic::Revision};

pub use readers::Readers;

/// What is read.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Query {
    /// How much of the topic.
    pub scope: Scope,
    /// Why it is asked now.
    pub reason: ReadReason,
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Most bytes of an answer.
    pub max_bytes: usize,
}

/// Why the store is asked.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReadReason {
    /// Everything has to be read.
    Full,
    /// A question before it failed, or is silent.
    Failure,
    /// This daemon or a peer has seen a change.
    Change,
    /// Peers watch the topic; a look now and then whether their word holds.
    Poll,
    /// The topic is watched.
    Watch,
}

impl ReadReason {
    /// The stable name, for counters.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            ReadReason::Full => "anew",
            ReadReason::Failure => "failure",
            ReadReason::Change => "news",
            ReadReason::Poll => "look",
            ReadReason::Watch => "watch",
        }
    }
}

/// How much is read.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Scope {
    /// A page of everything.
    Page {
        /// Where it begins, as the page before said; empty for the first.
        page_token: String,
    },
    /// What changed after a revision.
    Changes {
        /// The revision.
        after: u64,
        /// How long the store waits for a change; zero when it is to answer at once.
        wait: Duration,
    },
}

/// Names a question of one topic.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct ReadId(pub u64);

/// What a reader has to know besides.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ReaderContext {
    /// How long a watch of the list that goes out now lets the store wait for a change.
    pub watch_wait: Duration,
    /// The longest that a watch may let the store wait, whoever else watches.
    pub max_wait: Duration,
    /// Daemons that are heard.
    pub peers_in_contact: usize,
    /// Others watch the topic as well, and tell what they see.
    pub is_shared: bool,
    /// The newest change of the topic that this daemon or a peer has seen.
    pub latest_change: Revision,
    /// Enough peers watch the topic, and say that the store answers them.
    pub is_follower: bool,
    /// How often a peer that watched has said that the store answers it no more.
    pub watcher_losses: u32,
}

impl Default for ReaderContext {
    /// Nobody is heard, and nothing bounds a watch.
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

/// Something has happened to a topic's questions.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ReadEvent {
    /// Time went on, or peers have news.
    Tick,
    /// An answer gets on: its head came, or some of its body.
    Progress {
        /// Whose.
        read: ReadId,
        /// When.
        at: Duration,
        /// Bytes of the body so far.
        bytes: usize,
    },
    /// A question came to its end.
    Ended {
        /// Which one.
        read: ReadId,
        /// The store's era, if the answer said it.
        era: Option<u64>,
        /// How.
        outcome: ReadOutcome,
    },
}

/// How a question ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ReadOutcome {
    /// With an answer.
    Answer {
        /// The store's revision, in its era.
        store_revision: u64,
        /// It has something that was not known.
        changed: bool,
        /// Where the next page begins; none after the last, and for changes.
        next_page: Option<String>,
        /// Bytes of its body.
        bytes: usize,
    },
    /// The changes after this revision can't be had any more.
    HistoryGone,
    /// The answer is longer than the question allows.
    TooLong,
    /// The store was not reached, or did not answer as it should.
    Failed(String),
}

/// What a reader asks of the shell.
#[derive(Clone, PartialEq, Debug)]
pub enum ReadEffect {
    /// Ask the store. Questions that are open stay open.
    Start(ReadId, Query),
    /// Close a question.
    Close {
        /// Which one.
        read: ReadId,
        /// It was silent for too long. Otherwise another one has brought the answer.
        timed_out: bool,
    },
    /// The topic can't be read. It is said once, until it can be read again.
    StoreLost,
    /// No change has this revision, though a peer has told of it: the store was asked after that, and
    /// is not as far.
    RevisionNotFound(Revision),
    /// Log a line.
    Log(LogLine),
}
