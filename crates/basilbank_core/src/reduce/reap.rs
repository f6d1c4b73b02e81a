//! Streams and KV caches that nobody owns any more are cancelled.

use crate::{effect::Effect, event::StreamInfo, ids::EndpointId, state::State, time::Now};

/// An endpoint listed what it holds.
pub fn listed(
    _state: &mut State,
    _now: Now,
    _endpoint: EndpointId,
    _streams: &[StreamInfo],
    _out: &mut Vec<Effect>,
) {
}

/// Lists endpoints' streams.
pub fn tick(_state: &mut State, _now: Now, _out: &mut Vec<Effect>) {}
