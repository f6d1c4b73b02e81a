//! What an endpoint serves, and what it should.

use std::time::Duration;

use crate::{
    catalogue::{Endpoint, EntryTarget, Role},
    state::View,
};

/// What an endpoint last reported.
#[derive(Clone, PartialEq, Debug)]
pub struct ServingStatus {
    /// The model's name; empty when it does not say.
    pub model: String,
    /// The model version that it serves; empty while it loads.
    pub version: String,
    /// The adapter that it has loaded.
    pub adapter: String,
    /// Its role; `None` when it does not say.
    pub role: Option<Role>,
    /// The highest fencing number that it has taken.
    pub fence: u64,
    /// Requests that run or wait there.
    pub active_requests: u32,
    /// When that was so.
    pub measured_at: Duration,
    /// When the report came.
    pub read_at: Duration,
    /// It did not answer since.
    pub unresponsive: bool,
}

/// What an endpoint should serve.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ServingTarget {
    /// The model's name.
    pub model: String,
    /// Its version.
    pub version: String,
    /// The adapter; empty for none.
    pub adapter: String,
    /// The role.
    pub role: Role,
}

impl ServingTarget {
    /// What the catalogue wants an endpoint to serve; `None` for a plain service's.
    #[must_use]
    pub fn new(view: &View, endpoint: &Endpoint) -> Option<ServingTarget> {
        let EntryTarget::Model(model) = endpoint.serves else { return None };
        let model = view.model(model)?;
        Some(ServingTarget {
            model: model.name.clone(),
            version: model.version.clone(),
            adapter: model.adapter.clone(),
            role: endpoint.role,
        })
    }
}

impl ServingStatus {
    /// Whether it serves what it should.
    #[must_use]
    pub fn is_on_target(&self, target: &ServingTarget) -> bool {
        let is_version = self.version == target.version && self.adapter == target.adapter;
        is_version && self.is_usable_for(target)
    }

    /// Whether it takes work of its pool, be it with an old version: it has loaded something, of the
    /// right model and in the right role.
    #[must_use]
    pub fn is_usable_for(&self, target: &ServingTarget) -> bool {
        let is_model = self.model.is_empty() || self.model == target.model;
        let is_role = self.role.is_none_or(|role| role == target.role);
        !self.unresponsive && !self.version.is_empty() && is_model && is_role
    }
}
