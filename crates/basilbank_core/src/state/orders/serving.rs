//! What an endpoint serves, and what it should serve.

use std::time::Duration;

use crate::{
    catalogue::{Endpoint, EntryTarget, Role},
    state::View,
};

/// What an endpoint last reported to serve.
#[derive(Clone, PartialEq, Debug)]
pub struct ServingStatus {
    /// Name of the model; empty if the endpoint does not report it.
    pub model: String,
    /// Version of the model; empty while the endpoint loads.
    pub version: String,
    /// The loaded adapter.
    pub adapter: String,
    /// Role of the endpoint; `None` if it does not report it.
    pub role: Option<Role>,
    /// The highest fencing number that the endpoint has accepted.
    pub fence: u64,
    /// Number of requests that run or wait at the endpoint.
    pub active_requests: u32,
    /// When the report was measured.
    pub measured_at: Duration,
    /// When the report was received.
    pub read_at: Duration,
    /// Whether the endpoint has not answered since the report.
    pub unresponsive: bool,
}

/// What an endpoint should serve.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ServingTarget {
    /// The model's name.
    pub model: String,
    /// The model's version.
    pub version: String,
    /// The adapter; empty for none.
    pub adapter: String,
    /// Role of the endpoint.
    pub role: Role,
}

impl ServingTarget {
    /// Returns what an endpoint should serve according to the catalogue; `None` for an endpoint of
    /// a plain service.
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
    /// Whether the endpoint serves what it should.
    #[must_use]
    pub fn is_on_target(&self, target: &ServingTarget) -> bool {
        let is_version = self.version == target.version && self.adapter == target.adapter;
        is_version && self.is_usable_for(target)
    }

    /// Whether the endpoint can take work of its pool, even with an old version: it has loaded
    /// something, of the right model and in the right role.
    #[must_use]
    pub fn is_usable_for(&self, target: &ServingTarget) -> bool {
        let is_model = self.model.is_empty() || self.model == target.model;
        let is_role = self.role.is_none_or(|role| role == target.role);
        !self.unresponsive && !self.version.is_empty() && is_model && is_role
    }
}
