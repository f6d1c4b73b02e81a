//! Decides which new connections of callers are read, and when.
//!
//! The balancer may send most callers of a data centre to one daemon. A call that is read there and
//! not served in time is lost, while a connection that is closed unread costs its caller little: the
//! next try meets another daemon. So a daemon reads no more than it can serve, and closes the rest
//! soon and before it has done any work for them. Open connections are served as before.

use std::{collections::VecDeque, time::Duration};

use basilbank::callers::{body_budget::bound_for_memory, connections::CONNECTION_BYTES};
use rustix::process::{Resource, getrlimit};

/// Maximum time of one round of the event loop, in which everything that is ready to go on does so
/// once, after which new connections are read. A call takes some five rounds.
const MAX_ROUND: Duration = Duration::from_millis(50);

/// Maximum number of connections that are read after one round; the next round shows what they cost.
const MAX_BATCH: usize = 16;

/// Time after which a connection that was not read is closed: a small part of what callers wait.
const MAX_WAIT: Duration = Duration::from_millis(150);

/// Maximum number of connections, open and waiting.
const MAX_CONNECTIONS: usize = 2000;

/// Minimum number of connections, however little the process may use.
const MIN_CONNECTIONS: usize = 16;

/// Memory in bytes that a process takes without callers: its program, what it knows of endpoints and peers.
const BASE_BYTES: usize = 16_000_000;

/// Descriptors that are not for callers' calls: files, listeners, idle connections to endpoints, those to
/// peers and the store.
const RESERVED_DESCRIPTORS: usize = 300;

/// Descriptors of a caller's call: its connection, and one to an endpoint.
const CALL_DESCRIPTORS: usize = 2;

/// Returns the maximum number of callers' connections of a process with this memory in bytes, if that is
/// known, and this number of descriptors.
#[must_use]
pub fn max_connections(memory: Option<usize>, descriptors: usize) -> usize {
    let by_memory = memory.map_or(MAX_CONNECTIONS, |memory| {
        let for_others = BASE_BYTES + bound_for_memory(Some(memory));
        memory.saturating_sub(for_others) / CONNECTION_BYTES
    });
    let by_descriptors = descriptors.saturating_sub(RESERVED_DESCRIPTORS) / CALL_DESCRIPTORS;
    by_memory.min(by_descriptors).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
}

/// Returns the number of descriptors that the system lets the process have.
#[must_use]
pub fn max_descriptors() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX))
}

/// Why a connection is closed without an answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TurnedAway {
    /// The event loop is behind.
    Busy,
    /// Too many connections are open.
    Connections,
    /// It was open and didn't get on, and another one took its place.
    Stalled,
}

impl TurnedAway {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            TurnedAway::Busy => "busy",
            TurnedAway::Connections => "connections",
            TurnedAway::Stalled => "stalled",
        }
    }
}

/// New connections that wait to be read.
#[derive(Debug)]
pub struct Intake<T> {
    waiting: VecDeque<Waiting<T>>,
}

impl<T> Default for Intake<T> {
    fn default() -> Intake<T> {
        Intake { waiting: VecDeque::new() }
    }
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
    /// Returns whether no connection waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of connections that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a new connection.
    pub fn add(&mut self, connection: T, now: Duration) {
        self.waiting.push_back(Waiting { connection, since: now });
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
