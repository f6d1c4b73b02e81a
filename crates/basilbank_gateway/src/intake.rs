//! Decides which new connections of callers are read, and when.
//!
//! The balancer may send most callers of a data centre to one daemon. A call that is read there and
//! not served in time is lost, while a connection that is closed unread costs its caller little: the
//! next try meets another daemon. So a daemon reads no more than it can serve, and closes the rest
//! soon and before it has done any work for them. Open connections are served as before.

use std::{collections::VecDeque, time::Duration};

/// Maximum time of one round of the event loop, in which everything that is ready to go on does so
/// once, after which new connections are read. A call takes some five rounds.
const MAX_ROUND: Duration = Duration::from_millis(50);

/// Maximum number of connections that are read after one round; the next round shows what they cost.
const MAX_BATCH: usize = 16;

/// Time after which a connection that was not read is closed: a small part of what callers wait.
const MAX_WAIT: Duration = Duration::from_millis(150);

/// Maximum number of connections, open and waiting: each may take tens of kilobytes.
const MAX_CONNECTIONS: usize = 2000;

/// Divisor of the process's descriptors for callers; the rest is for endpoints, peers and the store.
const DESCRIPTOR_DIVISOR: usize = 2;

/// Why a new connection is closed unread.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TurnedAway {
    /// The event loop is behind.
    Busy,
    /// Too many connections are open.
    Connections,
}

impl TurnedAway {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            TurnedAway::Busy => "busy",
            TurnedAway::Connections => "connections",
        }
    }
}

/// New connections that wait to be read.
#[derive(Debug)]
pub struct Intake<T> {
    waiting: VecDeque<Waiting<T>>,
    max_connections: usize,
}

#[derive(Debug)]
struct Waiting<T> {
    connection: T,
    since: Duration,
}

/// What becomes of a connection that waited.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Decision<T> {
    /// It is read.
    Read(T),
    /// It is closed unread.
    Close(T, TurnedAway),
}

impl<T> Intake<T> {
    /// Creates it for a process with a number of descriptors.
    #[must_use]
    pub fn new(descriptors: usize) -> Intake<T> {
        let max_connections = MAX_CONNECTIONS.min(descriptors / DESCRIPTOR_DIVISOR);
        Intake { waiting: VecDeque::new(), max_connections }
    }

    /// Returns whether no connection waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a new connection while `open` others are open. Returns it if it is to be closed.
    pub fn add(&mut self, connection: T, open: usize, now: Duration) -> Option<Decision<T>> {
        if self.max_connections <= open + self.waiting.len() {
            return Some(Decision::Close(connection, TurnedAway::Connections));
        }
        self.waiting.push_back(Waiting { connection, since: now });
        None
    }

    /// Returns what becomes of the connections after a round of the event loop; the others go on
    /// waiting.
    pub fn decide(&mut self, round: Duration, now: Duration) -> Vec<Decision<T>> {
        let mut decisions = Vec::new();
        while self.waiting.front().is_some_and(|first| first.since + MAX_WAIT < now) {
            let expired = self.waiting.pop_front();
            decisions.extend(expired.map(|w| Decision::Close(w.connection, TurnedAway::Busy)));
        }
        let count = if round <= MAX_ROUND { MAX_BATCH.min(self.waiting.len()) } else { 0 };
        decisions.extend(self.waiting.drain(..count).map(|w| Decision::Read(w.connection)));
        decisions
    }

    /// Returns the connections that wait; the listener is closed.
    pub fn into_waiting(self) -> impl Iterator<Item = T> {
        self.waiting.into_iter().map(|waiting| waiting.connection)
    }
}
