//! An endpoint on its way to another version.

use std::time::Duration;

use crate::state::ServingTarget;

/// An endpoint on its way to another version, adapter, model or role.
#[derive(Clone, PartialEq, Debug)]
pub struct Rollout {
    /// What it should serve.
    pub target: ServingTarget,
    /// How far it is.
    pub stage: RolloutStage,
    /// Since when.
    pub stage_since: Duration,
}

/// How far an endpoint is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RolloutStage {
    /// It serves the old version until its turn has come.
    Waiting,
    /// It gets no new work and finishes what it has.
    Draining {
        /// Since when its reports and the steward's ledger say that it is empty.
        empty_since: Option<Duration>,
    },
    /// It was ordered to load.
    Ordered {
        /// Orders sent so far.
        sent: u32,
        /// When to order again.
        resend_at: Duration,
    },
}

impl Rollout {
    /// An endpoint that waits for its turn.
    #[must_use]
    pub fn new(target: ServingTarget, now: Duration) -> Rollout {
        Rollout { target, stage: RolloutStage::Waiting, stage_since: now }
    }

    /// Goes on to a stage.
    pub fn enter_stage(&mut self, stage: RolloutStage, now: Duration) {
        self.stage = stage;
        self.stage_since = now;
    }

    /// Whether the endpoint gets no new work.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.stage != RolloutStage::Waiting
    }
}
