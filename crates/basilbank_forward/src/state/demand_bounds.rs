//! Bounds on what peers report of the demand at a service. Reports may be false, or made under
//! another configuration.

use std::collections::HashMap;

use super::{
    State,
    demand::{DemandKey, DemandSums},
    service_hash,
};

/// What the demand at a service can be.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct DemandBounds {
    /// Whether its calls have ranks.
    has_ranks: bool,
    /// Tokens of memory of an endpoint.
    endpoint_memory: u64,
    /// Tokens of memory of all endpoints in service.
    total_memory: u64,
}

impl DemandBounds {
    /// Returns what counts of reported rows with the same key.
    pub(super) fn apply(&self, key: DemandKey, sums: DemandSums) -> (DemandKey, DemandSums) {
        let key = DemandKey { rank: key.rank.filter(|_| self.has_ranks), ..key };
        let max_tokens = sums.calls.saturating_mul(self.endpoint_memory);
        let tokens = sums.tokens.min(max_tokens);
        (key, DemandSums { tokens, used: sums.used.min(self.total_memory), ..sums })
    }
}

impl State {
    /// Returns the bounds at a service; `None` if it has no engine.
    pub(super) fn demand_bounds(&self, service: &str) -> Option<DemandBounds> {
        let endpoint_memory = u64::from(self.routes.engine(service)?.memory_tokens);
        let endpoints = self.directory.in_service(service).count() as u64;
        let total_memory = endpoint_memory.saturating_mul(endpoints);
        let has_ranks = self.routes.has_ranks(service);
        Some(DemandBounds { has_ranks, endpoint_memory, total_memory })
    }

    /// Returns the bounds at each service with an engine, by the hash of its name.
    pub(super) fn all_demand_bounds(&self) -> HashMap<u32, DemandBounds> {
        let services = self.routes.services.keys();
        let bounds =
            services.filter_map(|name| Some((service_hash(name), self.demand_bounds(name)?)));
        bounds.collect()
    }
}
