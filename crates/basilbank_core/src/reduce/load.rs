//! What is known of endpoints: load reports, prefix caches, failures and probes.

use crate::{effect::Effect, event::EngineReport, ids::EndpointId, state::State, time::Now};

/// A report came from an endpoint.
pub fn reported(
    _state: &mut State,
    _now: Now,
    _endpoint: EndpointId,
    _report: &EngineReport,
    _out: &mut Vec<Effect>,
) {
}

/// Reads loads.
pub fn tick(_state: &mut State, _now: Now, _out: &mut Vec<Effect>) {}
