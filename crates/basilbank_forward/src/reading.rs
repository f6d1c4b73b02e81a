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

mod asked;
mod limits;
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
    pub why: Why,
    /// Longest wait for a connection.
    pub connect: Duration,
    /// Most bytes of an answer.
    pub most: usize,
}

/// Why the store is asked.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Why {
    /// Everything has to be read.
    Anew,
    /// A question before it failed, or is silent.
    Failure,
    /// This daemon or a peer has seen a change.
    News,
    /// Peers watch the topic; a look now and then whether their word holds.
    Look,
    /// The topic is watched.
    Watch,
}

impl Why {
    /// The stable name, for counters.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Why::Anew => "anew",
            Why::Failure => "failure",
            Why::News => "news",
            Why::Look => "look",
            Why::Watch => "watch",
        }
    }
}

/// How much is read.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Scope {
    /// A page of everything.
    Page {
        /// Where it begins, as the page before said; empty for the first.
        from: String,
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
pub struct Around {
    /// How long a watch of the list that goes out now lets the store wait for a change.
    pub wait: Duration,
    /// The longest that a watch may let the store wait, whoever else watches.
    pub most: Duration,
    /// Daemons that are heard.
    pub peers: usize,
    /// Others watch the topic as well, and tell what they see.
    pub shared: bool,
    /// The newest change of the topic that this daemon or a peer has seen.
    pub news: Revision,
    /// Enough peers watch the topic, and say that the store answers them.
    pub follows: bool,
    /// How often a peer that watched has said that the store answers it no more.
    pub doubts: u32,
}

impl Default for Around {
    /// Nobody is heard, and nothing bounds a watch.
    fn default() -> Around {
        Around {
            wait: Duration::ZERO,
            most: Duration::MAX,
            peers: 0,
            shared: false,
            news: Revision::NONE,
            follows: false,
            doubts: 0,
        }
    }
}

/// Something has happened to a topic's questions.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ReadEvent {
    /// Time went on, or peers have news.
    Tick,
    /// An answer gets on: its head came, or some of its body.
    GotOn {
        /// Whose.
        read: ReadId,
        /// When.
        at: Duration,
        /// Bytes of the body so far.
        bytes: usize,
    },
    /// A question came to its end.
    Came {
        /// Which one.
        read: ReadId,
        /// The store's era, if the answer said it.
        era: Option<u64>,
        /// How.
        came: Came,
    },
}

/// How a question ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Came {
    /// With an answer.
    Answer {
        /// The store's revision, in its era.
        store: u64,
        /// It has something that was not known.
        changed: bool,
        /// Where the next page begins; none after the last, and for changes.
        next: Option<String>,
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
    Ask(ReadId, Query),
    /// Close a question.
    Drop {
        /// Which one.
        read: ReadId,
        /// It was silent for too long. Otherwise another one has brought the answer.
        silent: bool,
    },
    /// The topic can't be read. It is said once, until it can be read again.
    Lost,
    /// No change has this revision, though a peer has told of it: the store was asked after that, and
    /// is not as far.
    Disproved(Revision),
    /// Log a line.
    Note(LogLine),
}
