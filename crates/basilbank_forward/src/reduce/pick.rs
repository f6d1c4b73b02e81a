//! Picks an endpoint for a call.

use std::time::Duration;

use crate::{
    endpoint::{EndpointKey, Stage},
    state::{Endpoint, State},
};

/// Part of the least cost within which endpoints count as equal, so that daemons with the same view
/// don't all pick the same one.
const NEAR: f64 = 0.1;

/// Part of a decode endpoint's memory within which endpoints count as equal: about half a draft.
const NEAR_MEMORY: f64 = 0.04;

/// Seconds within which prefill endpoints count as equal: a small part of a prompt's reading.
const NEAR_READING: f64 = 0.01;

/// The endpoint of a plain service where the call should be answered soonest.
pub fn plain(
    state: &mut State,
    service: &str,
    tried: &[EndpointKey],
    now: Duration,
) -> Option<EndpointKey> {
    let local = &state.local.data_centre;
    let remote = state.tuning.remote_cost;
    // A new endpoint counts as the fastest of the others until it is measured: one that counted as
    // slow would never be tried, and so never be measured.
    let fastest = state.directory.service(service).filter_map(|(_, e)| e.mean).min();
    let fastest = fastest.unwrap_or_default();
    let costs = state.directory.service(service).map(|(key, endpoint)| {
        let mean = endpoint.mean.unwrap_or(fastest);
        let slots = f64::from(endpoint.info.slots.max(1));
        let queue = 1.0 + f64::from(endpoint.all_calls()) / slots;
        let trip = if endpoint.info.data_centre == *local { Duration::ZERO } else { remote };
        let cost = mean.as_secs_f64() * queue + trip.as_secs_f64();
        Cost { key, cost, last: avoided(endpoint, now), tried: tried.contains(&key) }
    });
    let costs: Vec<_> = costs.collect();
    least(state, &costs, 0.0)
}

/// The decode endpoint with the most free memory, by what all daemons have there, of which `part` is
/// given out.
pub fn decode(
    state: &mut State,
    service: &str,
    tried: &[EndpointKey],
    near: Option<EndpointKey>,
    need: u32,
    part: f64,
    now: Duration,
) -> Decode {
    let Some(engine) = state.routes.engine(service) else { return Decode::None };
    let memory = f64::from(engine.memory.max(1));
    let full = memory * part - f64::from(need);
    let place = near.and_then(|key| state.directory.get(key)).map(|e| e.info.data_centre.clone());
    let place = place.unwrap_or_else(|| state.local.data_centre.clone());
    let mut any = false;
    let endpoints = state.directory.stage(service, Stage::Decode).inspect(|_| any = true);
    // An endpoint that has nothing takes any draft, however large.
    let open = endpoints.filter(|(_, e)| e.all_calls() == 0 || f64::from(e.all_tokens()) <= full);
    let costs = open.map(|(key, endpoint)| {
        let used = f64::from(endpoint.all_tokens()) / memory;
        let away = if endpoint.info.data_centre == place { 0.0 } else { REMOTE_MEMORY };
        let cost = used + away;
        Cost { key, cost, last: avoided(endpoint, now), tried: tried.contains(&key) }
    });
    let costs: Vec<_> = costs.collect();
    // Only endpoints that don't answer, or have just refused, have room: whoever waits for one of the
    // others is served sooner.
    let sound = state.directory.stage(service, Stage::Decode).any(|(_, e)| e.avoided <= now);
    if sound && costs.iter().all(|cost| !cost.last.is_zero()) {
        return Decode::Full;
    }
    match least(state, &costs, NEAR_MEMORY) {
        Some(key) => Decode::At(key),
        None if any => Decode::Full,
        None => Decode::None,
    }
}

/// Where a draft is decoded.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Decode {
    /// There.
    At(EndpointKey),
    /// Nowhere now: all endpoints' memory is taken.
    Full,
    /// There is no endpoint.
    None,
}

/// A KV cache that crosses data centres takes twice the link's time; it is worth this part of a
/// decode endpoint's memory: about two drafts of twelve.
const REMOTE_MEMORY: f64 = 0.15;

/// The prefill endpoint that should have read the prompt soonest.
pub fn prefill(
    state: &mut State,
    service: &str,
    tried: &[EndpointKey],
    near: Option<EndpointKey>,
    tokens: u32,
    now: Duration,
) -> Option<EndpointKey> {
    let place = near.and_then(|key| state.directory.get(key)).map(|e| e.info.data_centre.clone());
    let place = place.unwrap_or_else(|| state.local.data_centre.clone());
    let rate = state.tuning.prefill_rate;
    let remote = match near {
        Some(_) => state.tuning.remote_kv.as_secs_f64(),
        None => state.tuning.remote_cost.as_secs_f64(),
    };
    let costs = state.directory.stage(service, Stage::Prefill).map(|(key, endpoint)| {
        let away = if endpoint.info.data_centre == place { 0.0 } else { remote };
        let cost = f64::from(endpoint.all_tokens() + tokens) / rate * endpoint.slowness
            + endpoint.base
            + away;
        Cost { key, cost, last: avoided(endpoint, now), tried: tried.contains(&key) }
    });
    let costs: Vec<_> = costs.collect();
    least(state, &costs, NEAR_READING)
}

struct Cost {
    key: EndpointKey,
    cost: f64,
    last: Duration,
    tried: bool,
}

fn avoided(endpoint: &Endpoint, now: Duration) -> Duration {
    endpoint.avoided.saturating_sub(now)
}

/// One of the cheapest at random. Endpoints that are avoided, and such that had the call before,
/// come last.
fn least(state: &mut State, costs: &[Cost], near: f64) -> Option<EndpointKey> {
    let rank = |c: &Cost| (c.tried, c.last);
    let best = costs.iter().map(rank).min()?;
    let least = costs.iter().filter(|c| rank(c) == best).map(|c| c.cost).fold(f64::MAX, f64::min);
    let near = least + (least * NEAR).max(near).max(f64::EPSILON);
    let same: Vec<_> = costs.iter().filter(|c| rank(c) == best && c.cost <= near).collect();
    Some(same[state.rng.index(same.len())].key)
}
