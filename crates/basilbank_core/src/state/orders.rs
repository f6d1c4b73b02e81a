//! Orders to endpoints: what endpoints serve, and what is being changed.

mod rollout;
mod serving;

use std::{collections::BTreeMap, time::Duration};

pub use self::{
    rollout::{Rollout, RolloutStage},
    serving::{ServingStatus, ServingTarget},
};
use crate::ids::{EndpointId, ModelId};

/// A model's version as the catalogue has it.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct ModelChange {
    /// The version.
    pub version: String,
    /// The adapter.
    pub adapter: String,
    /// When this daemon saw it change.
    pub seen_at: Duration,
}

/// Orders to endpoints: what endpoints serve, and what is being changed.
#[derive(Debug, Default)]
pub struct Orders {
    /// What endpoints last reported.
    pub reports: BTreeMap<EndpointId, ServingStatus>,
    /// Endpoints that this daemon is the steward of and that serve something else than they should.
    pub rollouts: BTreeMap<EndpointId, Rollout>,
    /// Since when this daemon has been an endpoint's steward without a gap.
    pub owned_since: BTreeMap<EndpointId, Duration>,
    /// When each model's version or adapter last changed.
    pub model_changes: BTreeMap<ModelId, ModelChange>,
    /// The catalogue revision that `changes` follows.
    pub revision: u64,
}
