//! What one start of an endpoint knows, and the KV caches of all endpoints.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use super::{
    ending::{BreakShare, Ending},
    misdeed::Misdeed,
    second_answer::SecondAnswers,
    served::Served,
};

/// What one start of an endpoint knows. The next start knows nothing of it.
#[derive(Debug, Default)]
pub(super) struct Inside {
    /// Its start, milliseconds since the Unix epoch.
    pub(super) born: u64,
    /// Entries written so far.
    pub(super) written: u64,
    pub(super) stage: Option<&'static str>,
    pub(super) misdeed: Misdeed,
    /// What it writes a second time.
    pub(super) seconds: SecondAnswers,
    /// It refuses each call as it first arrives.
    pub(super) refuses_first: bool,
    /// How its answers are framed and break off.
    pub(super) ending: Ending,
    /// Its streams that are to break off wait for that.
    pub(super) holds_breaks: bool,
    /// Its process ends with the answer to the next report.
    pub(super) ends_after_report: bool,
    /// Its process has ended: it answers nothing, and closes a connection that something comes over.
    pub(super) has_ended: bool,
    /// Which of them break off; `None` for all.
    pub(super) share: Option<BreakShare>,
    /// Answers that an ending was asked for.
    pub(super) endings: u64,
    /// Calls a second that it says it takes.
    pub(super) limit: Option<f64>,
    /// Whether all its answers say that it leaves.
    pub(super) leaving: bool,
    /// It turns all work away, and asks for this pause.
    pub(super) pause: Option<Duration>,
    /// Streams that it writes at once; `None` where any number.
    pub(super) slots: Option<u32>,
    /// Factor by which its streams take longer; 0 is taken for 1.
    pub(super) slowness: u32,
    /// Until when it writes nothing on any connection.
    pub(super) silent_until: Option<Instant>,
    /// It falls silent for this long as it begins its next run.
    pub(super) run_silence: Option<Duration>,
    pub(super) handles: HashSet<String>,
    pub(super) next: u32,
    pub(super) served: Served,
    /// Notified when it has ended the last of the streams that it was sending.
    pub(super) idle: Arc<Condvar>,
}

impl Inside {
    /// Whether it serves whatever comes, and says nothing else.
    pub(super) fn is_sound(&self) -> bool {
        self.misdeed == Misdeed::None
            && self.seconds.is_none()
            && self.ending.broken.is_none()
            && self.limit.is_none()
            && self.pause.is_none()
            && self.slots.is_none()
            && !self.leaving
            && !self.has_ended
            && self.served.crashed.is_none()
    }

    /// Whether it writes as many streams as it can.
    pub(super) fn is_full(&self) -> bool {
        self.slots.is_some_and(|slots| slots <= self.served.active)
    }

    /// It has ended one of the streams that it was sending.
    pub(super) fn end_stream(&mut self) {
        self.served.active -= 1;
        if self.served.active == 0 {
            self.idle.notify_all();
        }
    }

    /// How the next answer is framed, and whether it breaks off.
    pub(super) fn next_ending(&mut self) -> Ending {
        self.endings += 1;
        match self.share {
            Some(share) if !share.has(self.endings) => Ending { broken: None, ..self.ending },
            _ => self.ending,
        }
    }
}

/// KV caches of all endpoints, by address: an endpoint that decodes takes them from there.
#[derive(Clone, Debug, Default)]
pub struct Caches(
    pub(super) Arc<Mutex<HashMap<SocketAddr, Arc<Mutex<Inside>>>>>,
    pub(super) Arc<Mutex<HashMap<SocketAddr, SocketAddr>>>,
);

impl Caches {
    /// The endpoint that is listed at an address is reached at another one, too.
    pub fn alias(&self, other: SocketAddr, listed: SocketAddr) {
        lock(&self.1).insert(other, listed);
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
