//! The event loop's inbox.

use std::{
    sync::{
        Arc, Condvar, Mutex, PoisonError,
        mpsc::{self, Receiver, RecvTimeoutError, Sender},
    },
    time::Duration,
};

use basilbank_core::event::Event;

use crate::sync::lock;

/// Events of endpoints and peers that may wait for the event loop.
const WAITING: usize = 16 << 10;

/// Where all events wait for the event loop.
///
/// Callers' events are bounded by the callers' connections, and their senders must never block; they
/// get the plain channel. Endpoints and peers could send without end, so theirs pass a gate.
#[derive(Debug)]
pub struct Inbox {
    receiver: Receiver<Event>,
    gate: Arc<Gate>,
}

/// Sends the events of endpoints, peers and platform.
#[derive(Clone, Debug)]
pub struct Feed {
    sender: Sender<Event>,
    gate: Arc<Gate>,
}

/// The event loop does not take this event: it is behind, or has ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Closed;

#[derive(Debug, Default)]
struct Gate {
    waiting: Mutex<Waiting>,
    freed: Condvar,
}

#[derive(Debug, Default)]
struct Waiting {
    events: usize,
    closed: bool,
}

/// An inbox, the plain channel into it and the gated one.
#[must_use]
pub fn inbox() -> (Inbox, Sender<Event>, Feed) {
    let (sender, receiver) = mpsc::channel();
    let gate = Arc::new(Gate::default());
    let feed = Feed { sender: sender.clone(), gate: Arc::clone(&gate) };
    (Inbox { receiver, gate }, sender, feed)
}

impl Inbox {
    /// The next event.
    ///
    /// # Errors
    /// None came in time, or none can come any more.
    pub fn recv_timeout(&self, timeout: Duration) -> Result<Event, RecvTimeoutError> {
        let event = self.receiver.recv_timeout(timeout)?;
        self.gate.taken(&event);
        Ok(event)
    }

    /// The next event, if there is one.
    pub fn try_recv(&self) -> Option<Event> {
        let event = self.receiver.try_recv().ok()?;
        self.gate.taken(&event);
        Some(event)
    }
}

impl Drop for Inbox {
    fn drop(&mut self) {
        lock(&self.gate.waiting).closed = true;
        self.gate.freed.notify_all();
    }
}

impl Feed {
    /// Sends an event; waits while too many wait.
    ///
    /// # Errors
    /// The event loop has ended.
    pub fn send(&self, event: Event) -> Result<(), Closed> {
        if is_gated(&event) {
            self.gate.enter()?;
        }
        self.sender.send(event).map_err(|_| Closed)
    }

    /// Sends an event, or drops it when too many wait.
    ///
    /// # Errors
    /// It was dropped.
    pub fn offer(&self, event: Event) -> Result<(), Closed> {
        if is_gated(&event) {
            self.gate.try_enter()?;
        }
        self.sender.send(event).map_err(|_| Closed)
    }
}

impl Gate {
    fn enter(&self) -> Result<(), Closed> {
        let mut waiting = lock(&self.waiting);
        while WAITING <= waiting.events && !waiting.closed {
            waiting = self.freed.wait(waiting).unwrap_or_else(PoisonError::into_inner);
        }
        waiting.enter()
    }

    fn try_enter(&self) -> Result<(), Closed> {
        let mut waiting = lock(&self.waiting);
        if WAITING <= waiting.events { Err(Closed) } else { waiting.enter() }
    }

    fn taken(&self, event: &Event) {
        if !is_gated(event) {
            return;
        }
        let mut waiting = lock(&self.waiting);
        waiting.events = waiting.events.saturating_sub(1);
        if waiting.events + 1 == WAITING {
            self.freed.notify_all();
        }
    }
}

impl Waiting {
    fn enter(&mut self) -> Result<(), Closed> {
        if self.closed {
            return Err(Closed);
        }
        self.events += 1;
        Ok(())
    }
}

fn is_gated(event: &Event) -> bool {
    matches!(event, Event::Engine(_) | Event::Peer { .. })
}
