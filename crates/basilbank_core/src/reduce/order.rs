//! Orders to endpoints: models, adapters, versions and roles; and drains before them.

use crate::{effect::Effect, event::EngineReport, ids::EndpointId, state::State, time::Now};

/// Whether an endpoint gets no new work because an order waits until it is empty.
#[must_use]
pub fn is_draining(_state: &State, _endpoint: EndpointId) -> bool {
    false
}

/// A report came from an endpoint.
pub fn reported(
    _state: &mut State,
    _now: Now,
    _endpoint: EndpointId,
    _report: &EngineReport,
    _out: &mut Vec<Effect>,
) {
}

/// Looks for orders that are due.
pub fn tick(_state: &mut State, _now: Now, _out: &mut Vec<Effect>) {}
