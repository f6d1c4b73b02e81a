//! An endpoint on its way to another version.

use std::time::Duration;

use crate::state::Target;

/// An endpoint on its way to another version, adapter, model or role.
#[derive(Clone, PartialEq, Debug)]
pub struct Roll {
    /// What it should serve.
    pub target: Target,
    /// How far it is.
    pub stage: RollStage,
    /// Since when.
    pub since: Duration,
}

/// How far an endpoint is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RollStage {
    /// It serves the old version until its turn has come.
    Waiting,
    /// It gets no new work and finishes what it has.
    Draining {
        /// Since when its reports and the steward's ledger say that it is empty.
        empty: Option<Duration>,
    },
    /// It was ordered to load.
    Ordered {
        /// Orders sent so far.
        sent: u32,
        /// When to order again.
        due: Duration,
    },
}

impl Roll {
    /// An endpoint that waits for its turn.
    #[must_use]
    pub fn new(target: Target, now: Duration) -> Roll {
        Roll { target, stage: RollStage::Waiting, since: now }
    }

    /// Goes on to a stage.
    pub fn enter(&mut self, stage: RollStage, now: Duration) {
        self.stage = stage;
        self.since = now;
    }

    /// Whether the endpoint gets no new work.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.stage != RollStage::Waiting
    }
}
