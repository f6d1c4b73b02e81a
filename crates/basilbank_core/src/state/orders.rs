//! Orders to endpoints: what they serve, and which changes are in progress.

mod rollout;
mod serving;

use std::{collections::BTreeMap, time::Duration};

pub use self::{
    rollout::{Rollout, RolloutStage},
    serving::{ServingStatus, ServingTarget},
};
use crate::ids::{EndpointId, ModelId};

/// A model's version in the catalogue, and when it changed.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct ModelChange {
    /// Version of the model.
    pub version: String,
    /// Adapter of the model; empty for none.
    pub adapter: String,
    /// When this daemon learned of the change.
    pub seen_at: Duration,
}

/// Orders to endpoints: what they serve, and which changes are in progress.
#[derive(Debug, Default)]
pub struct Orders {
    /// What the endpoints last reported to serve.
    pub reports: BTreeMap<EndpointId, ServingStatus>,
    /// Rollouts at endpoints that this daemon owns and that serve something else than they should.
    pub rollouts: BTreeMap<EndpointId, Rollout>,
    /// Since when this daemon has owned an endpoint without interruption.
    pub owned_since: BTreeMap<EndpointId, Duration>,
    /// When each model's version or adapter last changed.
    pub model_changes: BTreeMap<ModelId, ModelChange>,
    /// The catalogue revision that `model_changes` is based on.
    pub revision: u64,
}
