//! How long work takes, estimated from the catalogue.

use std::time::Duration;

use crate::{
    catalogue::{Endpoint, EntryTarget, ModelSpec, Role},
    ids::{EndpointId, EntryId},
    state::{Lags, Request, State},
};

/// Assumed where the catalogue gives no rate, in tokens a second.
const DEFAULT_RATE: f64 = 10_000.0;

/// The prefill of a request at a typical endpoint, nothing cached.
#[must_use]
pub fn prefill(state: &State, request: &Request) -> Duration {
    let first = first_prefill(state, request.entry);
    let rate = first.map_or(DEFAULT_RATE, rate_of);
    Duration::from_secs_f64(f64::from(request.prompt_tokens()) / rate)
}

/// The prefill of a request at one endpoint, with what is known of its prefix cache.
#[must_use]
pub fn prefill_at(state: &State, request: &Request, endpoint: EndpointId) -> Duration {
    let rate = state.view.endpoint(endpoint).map_or(DEFAULT_RATE, rate_of);
    let fresh = request.prompt_tokens().saturating_sub(cached(state, request, endpoint));
    Duration::from_secs_f64(f64::from(fresh) / rate)
}

/// Prompt tokens of a request that an endpoint has cached, as far as is known.
#[must_use]
pub fn cached(state: &State, request: &Request, endpoint: EndpointId) -> u32 {
    let Some(draft) = &request.draft else { return 0 };
    let Some(model) = model(state, request.entry) else { return 0 };
    let blocks = state.health.prefixes.cached(&draft.blocks, endpoint) as u32;
    blocks.saturating_mul(model.block_tokens)
}

/// The transfer of a request's KV cache over an idle link.
#[must_use]
pub fn transfer(state: &State, request: &Request) -> Duration {
    let token_bytes = model(state, request.entry).map_or(0, |m| m.token_bytes);
    let bytes = u64::from(request.prompt_tokens()) * token_bytes;
    let rate = first_prefill(state, request.entry).map_or(0, |e| e.link_rate);
    over_link(bytes, rate)
}

/// The transfer of a number of bytes between two endpoints, over idle links.
#[must_use]
pub fn transfer_between(state: &State, bytes: u64, a: EndpointId, b: EndpointId) -> Duration {
    let rate = |id| state.view.endpoint(id).map_or(0, |e: &Endpoint| e.link_rate);
    over_link(bytes, rate(a)).max(over_link(bytes, rate(b)))
}

/// How much longer the first token takes than the estimates say.
#[must_use]
pub fn lags(state: &State, entry: EntryId) -> Lags {
    let target = state.view.entry(entry).map(|e| e.target);
    target.and_then(|t| state.health.lags.get(&t)).copied().unwrap_or_default()
}

fn over_link(bytes: u64, rate: u64) -> Duration {
    if rate == 0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(bytes as f64 / rate as f64)
}

fn rate_of(endpoint: &Endpoint) -> f64 {
    if 0.0 < endpoint.prefill_rate { endpoint.prefill_rate } else { DEFAULT_RATE }
}

fn first_prefill(state: &State, entry: EntryId) -> Option<&Endpoint> {
    let target = state.view.entry(entry)?.target;
    state.view.serving(target, Role::Prefill).next()
}

fn model(state: &State, entry: EntryId) -> Option<&ModelSpec> {
    match state.view.entry(entry)?.target {
        EntryTarget::Model(id) => state.view.model(id),
        EntryTarget::Service(_) => None,
    }
}
