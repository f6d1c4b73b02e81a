//! Estimates of how long work takes, from the rates in the catalogue.

use std::time::Duration;

use crate::{
    catalogue::{Endpoint, EntryTarget, ModelSpec, Role},
    ids::{EndpointId, EntryId},
    state::{Overruns, PrefixIndex, Request, State, View},
};

/// Prefill rate that is assumed if the catalogue gives none.
const DEFAULT_PREFILL_TOKENS_PER_SECOND: f64 = 10_000.0;

/// Returns the prefill time of a request at a typical endpoint with nothing cached. The first
/// prefill endpoint of the model stands for all.
#[must_use]
pub fn prefill_time(state: &State, request: &Request) -> Duration {
    let endpoint = first_prefill_endpoint(state, request.entry);
    let rate = endpoint.map_or(DEFAULT_PREFILL_TOKENS_PER_SECOND, prefill_rate_of);
    Duration::from_secs_f64(f64::from(request.prefill_tokens()) / rate)
}

/// Returns the prefill time of a request at an endpoint that has some of its blocks cached.
#[must_use]
pub fn prefill_time_at(
    state: &State,
    request: &Request,
    endpoint: EndpointId,
    blocks: usize,
) -> Duration {
    let rate =
        state.view.endpoint(endpoint).map_or(DEFAULT_PREFILL_TOKENS_PER_SECOND, prefill_rate_of);
    let cached = blocks as u32 * model_of(state, request.entry).map_or(0, |m| m.block_tokens);
    let uncached = request.prefill_tokens().saturating_sub(cached);
    Duration::from_secs_f64(f64::from(uncached) / rate)
}

/// Returns the number of prompt tokens of a request that an endpoint is known to have cached.
#[must_use]
pub fn cached_tokens(state: &State, request: &Request, endpoint: EndpointId) -> u32 {
    let Some(completion) = &request.completion else { return 0 };
    let Some(model) = model_of(state, request.entry) else { return 0 };
    let matches = state.health.prefixes.matches(&completion.block_hashes);
    let cached = matches.iter().find(|(e, _)| *e == endpoint);
    cached.map_or(0, |(_, blocks)| *blocks as u32 * model.block_tokens)
}

/// Returns the hash of a block near the end of a request's prompt, and the number of tokens up to
/// the end of that block. Both are 0 if there is no such block.
#[must_use]
pub fn last_block(view: &View, request: &Request) -> (u64, u32) {
    let last = request.completion.as_ref().and_then(|c| PrefixIndex::last_sampled(&c.block_hashes));
    let Some((block, blocks)) = last else { return (0, 0) };
    let target = view.entry(request.entry).map(|e| e.target);
    let model = match target {
        Some(EntryTarget::Model(id)) => view.model(id),
        _ => None,
    };
    (block, model.map_or(0, |m| m.block_tokens * blocks as u32))
}

/// Returns the time to transfer a request's KV cache over an idle link.
#[must_use]
pub fn transfer_time(state: &State, request: &Request) -> Duration {
    let token_bytes = model_of(state, request.entry).map_or(0, |m| m.token_bytes);
    let bytes = u64::from(request.prefill_tokens()) * token_bytes;
    let rate = first_prefill_endpoint(state, request.entry).map_or(0, |e| e.link_rate);
    time_on_link(bytes, rate)
}

/// Returns the time to transfer a number of bytes between two endpoints over idle links.
#[must_use]
pub fn transfer_time_between(state: &State, bytes: u64, a: EndpointId, b: EndpointId) -> Duration {
    let rate = |id| state.view.endpoint(id).map_or(0, |e: &Endpoint| e.link_rate);
    time_on_link(bytes, rate(a)).max(time_on_link(bytes, rate(b)))
}

/// Returns the number of tokens a second whose KV cache the link of a prefill endpoint can carry; 0
/// if it is not known, or if the endpoint has another role.
#[must_use]
pub fn link_tokens_per_second(state: &State, endpoint: &Endpoint) -> f64 {
    let EntryTarget::Model(id) = endpoint.serves else { return 0.0 };
    let token_bytes = state.view.model(id).map_or(0, |m| m.token_bytes);
    match (endpoint.role, token_bytes) {
        (Role::Prefill, 1..) => endpoint.link_rate as f64 / token_bytes as f64,
        _ => 0.0,
    }
}

/// Returns by how much the time to first token exceeds its estimate for an entry.
#[must_use]
pub fn overruns(state: &State, entry: EntryId) -> Overruns {
    let target = state.view.entry(entry).map(|e| e.target);
    target.and_then(|t| state.health.overruns.get(&t)).copied().unwrap_or_default()
}

fn time_on_link(bytes: u64, rate: u64) -> Duration {
    if rate == 0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(bytes as f64 / rate as f64)
}

fn prefill_rate_of(endpoint: &Endpoint) -> f64 {
    if 0.0 < endpoint.prefill_rate {
        endpoint.prefill_rate
    } else {
        DEFAULT_PREFILL_TOKENS_PER_SECOND
    }
}

fn first_prefill_endpoint(state: &State, entry: EntryId) -> Option<&Endpoint> {
    let target = state.view.entry(entry)?.target;
    state.view.endpoint(*state.view.serving(target, Role::Prefill).first()?)
}

fn model_of(state: &State, entry: EntryId) -> Option<&ModelSpec> {
    match state.view.entry(entry)?.target {
        EntryTarget::Model(id) => state.view.model(id),
        EntryTarget::Service(_) => None,
    }
}
