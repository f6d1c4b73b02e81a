//! Rollout of a model version to one endpoint.

use std::time::Duration;

use crate::state::ServingTarget;

/// Change of an endpoint to another version, adapter, model or role.
#[derive(Clone, PartialEq, Debug)]
pub struct Rollout {
    /// What the endpoint should serve.
    pub target: ServingTarget,
    /// Stage of the rollout.
    pub stage: RolloutStage,
    /// When the stage began.
    pub stage_since: Duration,
}

/// Stage of a rollout.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RolloutStage {
    /// The endpoint serves the old version until it may change.
    Waiting,
    /// The endpoint gets no new work and finishes what it has.
    Draining {
        /// Since when the endpoint's reports and the owner's ledger show no work.
        empty_since: Option<Duration>,
    },
    /// The endpoint was ordered to load.
    Ordered {
        /// Number of orders sent so far.
        sent: u32,
        /// When the order is sent again.
        resend_at: Duration,
    },
}

impl Rollout {
    /// Creates a rollout that waits for its start.
    #[must_use]
    pub fn new(target: ServingTarget, now: Duration) -> Rollout {
        Rollout { target, stage: RolloutStage::Waiting, stage_since: now }
    }

    /// Moves the rollout to a stage.
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
