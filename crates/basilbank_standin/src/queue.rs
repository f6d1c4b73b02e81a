//! Slots of an engine, the queue for them, and load reports that lag.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::sync::Notify;

/// A place in the queue: higher priority first, then who came first.
type Place = (Reverse<u8>, u64);

/// Requests running and waiting.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) queued: usize,
}

#[derive(Debug, Default)]
struct Table {
    running: usize,
    waiting: BTreeSet<Place>,
    counter: u64,
    history: VecDeque<(Instant, Load)>,
}

/// The slots of one engine.
#[derive(Debug)]
pub(crate) struct Slots {
    limit: usize,
    table: Mutex<Table>,
    freed: Notify,
}

/// A taken slot; dropping it frees it.
#[derive(Debug)]
pub(crate) struct Slot(Arc<Slots>);

/// A place in the queue; dropping it leaves the queue.
#[derive(Debug)]
pub(crate) struct Waiting(Arc<Slots>, Place);

impl Slots {
    pub(crate) fn new(limit: usize) -> Arc<Slots> {
        Arc::new(Slots { limit, table: Mutex::default(), freed: Notify::new() })
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a slot if one is free.
    pub(crate) fn take(self: &Arc<Slots>) -> Option<Slot> {
        let mut table = self.lock();
        if self.limit <= table.running {
            return None;
        }
        table.running += 1;
        table.record();
        Some(Slot(Arc::clone(self)))
    }

    /// Joins the queue unless `longest` wait already.
    pub(crate) fn join(self: &Arc<Slots>, priority: u8, longest: usize) -> Option<Waiting> {
        let mut table = self.lock();
        if longest <= table.waiting.len() {
            return None;
        }
        table.counter += 1;
        let place = (Reverse(priority), table.counter);
        table.waiting.insert(place);
        table.record();
        Some(Waiting(Arc::clone(self), place))
    }

    /// What ran and waited `lag` ago.
    pub(crate) fn load(&self, lag: Duration) -> Load {
        let mut table = self.lock();
        while table.history.get(1).is_some_and(|(at, _)| lag <= at.elapsed()) {
            table.history.pop_front();
        }
        match table.history.front() {
            Some((at, load)) if lag <= at.elapsed() => *load,
            _ => Load::default(),
        }
    }

    /// What runs and waits now.
    pub(crate) fn load_now(&self) -> Load {
        self.lock().load()
    }
}

impl Table {
    fn load(&self) -> Load {
        Load { running: self.running, queued: self.waiting.len() }
    }

    fn record(&mut self) {
        self.history.push_back((Instant::now(), self.load()));
    }
}

impl Waiting {
    /// Waits for a slot.
    pub(crate) async fn slot(self) -> Slot {
        loop {
            let freed = self.0.freed.notified();
            if let Some(slot) = self.try_slot() {
                return slot;
            }
            freed.await;
        }
    }

    fn try_slot(&self) -> Option<Slot> {
        let mut table = self.0.lock();
        if self.0.limit <= table.running || table.waiting.first() != Some(&self.1) {
            return None;
        }
        table.waiting.remove(&self.1);
        table.running += 1;
        table.record();
        Some(Slot(Arc::clone(&self.0)))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut table = self.0.lock();
        if table.waiting.remove(&self.1) {
            table.record();
        }
        self.0.freed.notify_waiters();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut table = self.0.lock();
        table.running -= 1;
        table.record();
        self.0.freed.notify_waiters();
    }
}
