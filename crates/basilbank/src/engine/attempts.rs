//! Which attempts the core still wants.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use basilbank_core::ids::AttemptKey;

use crate::sync::lock;

/// An attempt without a call that the core has not come back to for this long is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(60);

/// The table is searched for forgotten attempts when it has grown to this.
const MANY: usize = 4096;

/// What an attempt's latest call is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// A prefill.
    Prefill,
    /// A decode endpoint imports the KV cache.
    Import,
    /// A stream.
    Stream,
    /// A plain call.
    Plain,
}

/// The attempts that the core has started and not cancelled.
///
/// One that has no open call here is dead: its reader stops at its next line, and what it brings is
/// dropped. Its number is kept until the core cancels it, since the endpoint knows it by that.
#[derive(Debug, Default)]
pub struct Attempts {
    table: Mutex<HashMap<AttemptKey, Known>>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    number: u32,
    phase: Phase,
    since: Instant,
    open: bool,
}

impl Attempts {
    /// A call begins for an attempt, which has this number within its request.
    pub fn begin(&self, attempt: AttemptKey, number: u32, phase: Phase) {
        let mut table = lock(&self.table);
        if MANY <= table.len() {
            table.retain(|_, a| a.open || a.since.elapsed() < FORGOTTEN);
        }
        table.insert(attempt, Known { number, phase, since: Instant::now(), open: true });
    }

    /// Whether the core still wants its call's answer.
    #[must_use]
    pub fn is_live(&self, attempt: AttemptKey) -> bool {
        lock(&self.table).get(&attempt).is_some_and(|a| a.open)
    }

    /// The decode endpoint took the KV cache. `false` when the attempt is dead.
    pub fn streams(&self, attempt: AttemptKey) -> bool {
        let mut table = lock(&self.table);
        let Some(known) = table.get_mut(&attempt).filter(|a| a.open) else { return false };
        known.phase = Phase::Stream;
        true
    }

    /// An attempt's call ends. Its phase, or `None` when it was dead already; so of two that end
    /// it, one alone reports it.
    pub fn end(&self, attempt: AttemptKey) -> Option<Phase> {
        let mut table = lock(&self.table);
        let known = table.get_mut(&attempt).filter(|a| a.open)?;
        known.open = false;
        known.since = Instant::now();
        Some(known.phase)
    }

    /// The core does not want an attempt any more. Its number, if it was started.
    pub fn cancel(&self, attempt: AttemptKey) -> Option<u32> {
        lock(&self.table).remove(&attempt).map(|a| a.number)
    }

    /// An attempt is over, and the core will not come back to it.
    pub fn forget(&self, attempt: AttemptKey) -> bool {
        lock(&self.table).remove(&attempt).is_some_and(|a| a.open)
    }
}
