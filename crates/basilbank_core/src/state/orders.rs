//! Orders to endpoints: what endpoints serve, and what is being changed.

mod roll;
mod serving;

use std::{collections::BTreeMap, time::Duration};

pub use self::{
    roll::{Roll, RollStage},
    serving::{Serving, Target},
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
    pub at: Duration,
}

/// Orders to endpoints: what endpoints serve, and what is being changed.
#[derive(Debug, Default)]
pub struct Orders {
    /// What endpoints last reported.
    pub reports: BTreeMap<EndpointId, Serving>,
    /// Endpoints that this daemon is the steward of and that serve something else than they should.
    pub rolls: BTreeMap<EndpointId, Roll>,
    /// Since when this daemon has been an endpoint's steward without a gap.
    pub since: BTreeMap<EndpointId, Duration>,
    /// When each model's version or adapter last changed.
    pub changes: BTreeMap<ModelId, ModelChange>,
    /// The catalogue revision that `changes` follows.
    pub revision: u64,
}
