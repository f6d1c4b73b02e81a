//! Which attempts the core still wants.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use basilbank_core::ids::AttemptKey;

use crate::sync::lock;

/// An attempt between two calls that the core has not come back to for this long is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(60);

/// The table is searched for forgotten attempts when it has grown to this.
const MANY: usize = 4096;

/// What the attempt holds, for its cancellation.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Holding {
    /// A prefill runs or has run; the KV cache is found by request and attempt.
    Prefill,
    /// A decode endpoint imports a KV cache from `source`.
    Import {
        /// The prefill endpoint's address.
        source: Arc<str>,
        /// The KV cache there.
        handle: String,
    },
    /// A stream runs.
    Stream,
    /// A plain call runs: nothing can be cancelled.
    Plain,
}

/// One attempt that the core wants.
#[derive(Clone, Debug)]
pub struct LiveAttempt {
    /// Its number within the request.
    pub number: u32,
    /// What it holds.
    pub holding: Holding,
    since: Instant,
    called: bool,
}

/// The attempts that the core wants. One that is not here is dead: its reader stops at its next
/// line, and what it brings is dropped.
#[derive(Debug, Default)]
pub struct Attempts {
    table: Mutex<HashMap<AttemptKey, LiveAttempt>>,
}

impl Attempts {
    /// A call begins for an attempt.
    pub fn begin(&self, attempt: AttemptKey, number: u32, holding: Holding) {
        let mut table = lock(&self.table);
        if MANY <= table.len() {
            table.retain(|_, a| a.called || a.since.elapsed() < FORGOTTEN);
        }
        let live = LiveAttempt { number, holding, since: Instant::now(), called: true };
        table.insert(attempt, live);
    }

    /// Whether the core still wants it.
    #[must_use]
    pub fn is_live(&self, attempt: AttemptKey) -> bool {
        lock(&self.table).contains_key(&attempt)
    }

    /// A prefill is done: the attempt waits for its decode call. `false` when it is dead.
    pub fn pause(&self, attempt: AttemptKey) -> bool {
        let mut table = lock(&self.table);
        let Some(live) = table.get_mut(&attempt) else { return false };
        live.called = false;
        live.since = Instant::now();
        true
    }

    /// The decode endpoint took the KV cache. `false` when the attempt is dead.
    pub fn streams(&self, attempt: AttemptKey) -> bool {
        let mut table = lock(&self.table);
        let Some(live) = table.get_mut(&attempt) else { return false };
        live.holding = Holding::Stream;
        true
    }

    /// Takes an attempt out: it ended, or the core does not want it any more. `None` when it was
    /// out already; so of two that end it, one alone reports it.
    pub fn take(&self, attempt: AttemptKey) -> Option<LiveAttempt> {
        lock(&self.table).remove(&attempt)
    }
}
