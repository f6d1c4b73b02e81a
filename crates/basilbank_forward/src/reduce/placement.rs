//! Picks an endpoint for an attempt.

use std::{collections::BTreeMap, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    endpoint::{EndpointKey, SoftwareVersion, Stage},
    state::{Endpoint, Reach, State, Usage},
};

/// Fraction of the lowest cost within which endpoints count as equal, so that daemons with the same
/// view don't all pick the same endpoint.
const RELATIVE_COST_TOLERANCE: f64 = 0.1;

/// Fraction of a decode endpoint's memory within which endpoints count as equal: about half a
/// completion.
const MEMORY_FRACTION_TOLERANCE: f64 = 0.04;

/// Seconds within which prefill endpoints count as equal: a small part of the time to read a
/// prompt.
const PREFILL_SECONDS_TOLERANCE: f64 = 0.01;

/// Picks the endpoint of a plain service that should answer soonest. If `pinned` is given, it has
/// that version.
pub fn pick_plain(
    state: &mut State,
    service: &str,
    tried: &[EndpointKey],
    pinned: Option<SoftwareVersion>,
    target: Duration,
    now: Duration,
) -> PlainChoice {
    let has_relays = state.has_relays(now);
    let local = &state.local.data_centre;
    let reached = Reached::of(state, service, now);
    // At a full endpoint a call would wait, while one elsewhere may be idle.
    let stays_near = has_relays
        && state.directory.available(service, now).any(|(key, e)| {
            e.info.has_version(pinned)
                && reached.cost(key, false).is_some()
                && !tried.contains(&key)
                && has_free_local_slot(state, key, e, now)
        });
    let margin = if stays_near { target.mul_f64(NEAR_TARGET_FRACTION) } else { Duration::ZERO };
    let remote = state.tuning.remote_cost + margin;
    // A new endpoint counts as the fastest of the others until it is measured. If it counted as
    // slow, it would never be tried and so never be measured.
    let fastest =
        state.directory.available(service, now).filter_map(|(_, e)| e.mean_answer_time).min();
    let fastest = fastest.unwrap_or_default();
    let permitted = state
        .directory
        .available(service, now)
        .filter(|(key, e)| e.info.has_version(pinned) && state.has_permit(*key, now));
    let candidates = permitted.filter_map(|(key, endpoint)| {
        let proxy_cost = reached.cost(key, tried.contains(&key))?;
        let mean = endpoint.mean_answer_time.unwrap_or(fastest);
        let slots = f64::from(endpoint.info.slots.max(1));
        let queue = 1.0 + f64::from(endpoint.total_calls()) / slots;
        let remote_cost = if endpoint.info.data_centre == *local { Duration::ZERO } else { remote };
        let cost = mean.as_secs_f64() * queue + (remote_cost + proxy_cost).as_secs_f64();
        Some(Candidate {
            key,
            cost,
            avoided_for: avoided_for(endpoint, now),
            tried: tried.contains(&key),
        })
    });
    let mut candidates: Vec<_> = candidates.collect();
    if stays_near {
        remove_not_cheaper(&mut candidates, |key| is_local(state, key));
    }
    match pick_cheapest(state, &candidates, 0.0) {
        Some(key) => PlainChoice::At(key),
        None if !state.has_version(service, None, pinned) => PlainChoice::VersionGone,
        None if reached.is_any(allowed(state.directory.available(service, now), pinned), tried) => {
            PlainChoice::Limited
        }
        None if is_any_awaited(state, state.directory.available(service, now), pinned, now) => {
            PlainChoice::Silent
        }
        // Those that accept work can't be reached, and those that want a pause don't count as down.
        None if allowed(state.directory.available(service, now), pinned).next().is_some() => {
            PlainChoice::None
        }
        None => match state.directory.first_pause_end(service, None, pinned) {
            Some(until) => PlainChoice::Paused(until),
            None => PlainChoice::None,
        },
    }
}

/// Fraction of a route's target time by which an endpoint of another data centre must be faster, in
/// addition to the round trip, if the links between data centres are expensive.
const NEAR_TARGET_FRACTION: f64 = 0.1;

/// Returns whether an endpoint is in this daemon's data centre.
fn is_local(state: &State, key: EndpointKey) -> bool {
    state.directory.get(key).is_some_and(|e| e.info.data_centre == state.local.data_centre)
}

/// Returns whether a local endpoint can take a call that doesn't wait there.
fn has_free_local_slot(
    state: &State,
    key: EndpointKey,
    endpoint: &Endpoint,
    now: Duration,
) -> bool {
    is_local(state, key)
        && endpoint.total_calls() < endpoint.info.slots.max(1)
        && endpoint.avoided_until <= now
        && state.has_permit(key, now)
}

/// Removes the remote candidates that are not cheaper than the cheapest local one. Of those that
/// count as equal, one is picked at random, which would also send calls far for nothing.
fn remove_not_cheaper(candidates: &mut Vec<Candidate>, is_local: impl Fn(EndpointKey) -> bool) {
    let rank = |c: &Candidate| (c.tried, c.avoided_for);
    let Some(best_rank) = candidates.iter().map(rank).min() else { return };
    let local = candidates.iter().filter(|c| rank(c) == best_rank && is_local(c.key));
    let min_local = local.map(|c| c.cost).fold(f64::MAX, f64::min);
    candidates.retain(|c| is_local(c.key) || c.cost < min_local);
}

/// Returns those of some endpoints that have a version, or all if none is given.
fn allowed<'a>(
    endpoints: impl Iterator<Item = (EndpointKey, &'a Endpoint)>,
    pinned: Option<SoftwareVersion>,
) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> {
    endpoints.filter(move |(_, endpoint)| endpoint.info.has_version(pinned))
}

/// Result of picking an endpoint for a plain call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PlainChoice {
    /// Send the call to this endpoint.
    At(EndpointKey),
    /// All endpoints need a permit that this daemon doesn't have.
    Limited,
    /// All endpoints want a pause; the first one ends then.
    Paused(Duration),
    /// Those that can be reached don't answer, and may go on soon.
    Silent,
    /// The service has no endpoint.
    None,
    /// No endpoint of the service has the version that the call needs.
    VersionGone,
}

/// What a completion needs from a decode endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The endpoint that keeps its KV cache or will likely read its prompt.
    pub near: Option<EndpointKey>,
    /// The usage that it adds to the endpoint.
    pub usage: Usage,
    /// Fraction of an endpoint's memory that is given to completions like this one.
    pub memory_fraction: f64,
    /// The session that it belongs to.
    pub session: Option<u64>,
    /// The version of endpoints that it needs, if not any will do.
    pub pinned: Option<SoftwareVersion>,
    /// Versions that are left to completions that need them.
    pub awaited: &'a [SoftwareVersion],
    /// Whether it may well crash its endpoint, so that it should meet few others there.
    pub risky: bool,
}

impl Criteria<'_> {
    fn is_awaited(&self, endpoint: &Endpoint) -> bool {
        !self.awaited.is_empty() && self.awaited.contains(&endpoint.info.software_version())
    }
}

/// Picks the completion's home endpoint if that has capacity, else the decode endpoint with the
/// most free memory, given the load of all daemons.
pub fn pick_decode(
    state: &mut State,
    service: &str,
    tried: &[EndpointKey],
    criteria: &Criteria<'_>,
    now: Duration,
) -> DecodeChoice {
    let Some(engine) = state.routes.engine(service) else { return DecodeChoice::None };
    let memory = f64::from(engine.memory_tokens.max(1));
    let (max_tokens, growth) = (memory * criteria.memory_fraction, state.growth(service));
    let data_centre =
        criteria.near.and_then(|key| state.directory.get(key)).map(|e| e.info.data_centre.clone());
    let data_centre = data_centre.unwrap_or_else(|| state.local.data_centre.clone());
    let endpoints = state.directory.available_in_stage(service, Stage::Decode, now);
    // An idle endpoint accepts any completion, however large.
    let permitted = endpoints
        .filter(|(key, e)| e.info.has_version(criteria.pinned) && state.has_permit(*key, now))
        .filter(|(_, e)| !criteria.is_awaited(e));
    let peaks = permitted.map(|(key, e)| (key, e, e.peak_tokens(criteria.usage, now, growth)));
    let fitting = peaks.filter(|(_, e, peak)| e.total_calls() == 0 || *peak <= max_tokens);
    let reached = Reached::of(state, service, now);
    let candidates = fitting.filter_map(|(key, endpoint, peak)| {
        reached.cost(key, tried.contains(&key))?;
        let used = match criteria.risky {
            true => f64::from(endpoint.total_calls()),
            false => peak / memory,
        };
        let remote_cost =
            if endpoint.info.data_centre == data_centre { 0.0 } else { REMOTE_MEMORY_FRACTION };
        let cost = used + remote_cost;
        Some(Candidate {
            key,
            cost,
            avoided_for: avoided_for(endpoint, now),
            tried: tried.contains(&key),
        })
    });
    let candidates: Vec<_> = candidates.collect();
    // Only endpoints that don't answer, or have just refused work, have capacity. A completion that
    // waits for one of the others is served sooner.
    let has_usable = state
        .directory
        .available_in_stage(service, Stage::Decode, now)
        .filter(|(_, e)| e.info.has_version(criteria.pinned))
        .any(|(key, e)| e.avoided_until <= now && reached.cost(key, false).is_some());
    if has_usable && candidates.iter().all(|candidate| !candidate.avoided_for.is_zero()) {
        return DecodeChoice::Full;
    }
    let session = criteria.session.filter(|_| !criteria.risky);
    let home = session.and_then(|session| pick_home(state, service, session, &candidates, now));
    match home.or_else(|| pick_cheapest(state, &candidates, MEMORY_FRACTION_TOLERANCE)) {
        Some(key) => DecodeChoice::At(key),
        None if !state.has_version(service, Some(Stage::Decode), criteria.pinned) => {
            DecodeChoice::VersionGone
        }
        None => no_decode_endpoint(state, service, criteria.pinned, now),
    }
}

/// Returns why no decode endpoint can be picked.
fn no_decode_endpoint(
    state: &State,
    service: &str,
    pinned: Option<SoftwareVersion>,
    now: Duration,
) -> DecodeChoice {
    let reached = Reached::of(state, service, now);
    let endpoints = allowed(state.directory.in_stage(service, Stage::Decode), pinned);
    match state.directory.first_pause_end(service, Some(Stage::Decode), pinned) {
        _ if !reached.is_any(endpoints, &[]) => {
            let endpoints = state.directory.available_in_stage(service, Stage::Decode, now);
            match is_any_awaited(state, endpoints, pinned, now) {
                true => DecodeChoice::Silent,
                false => DecodeChoice::None,
            }
        }
        None => DecodeChoice::None,
        Some(until) if now < until => DecodeChoice::Paused(until),
        Some(_) => DecodeChoice::Full,
    }
}

/// Picks one of the two home endpoints of a session, which all daemons prefer for it.
///
/// A completion whose stream was cut comes back as another call, often to another daemon. The
/// endpoint that decoded it before may still keep its prompt, which then need not be read again.
/// The first home is picked unless the second has much more capacity: with a single home, some
/// endpoints would be full while others are idle. During a cold start, when no load is known, the
/// first home is picked.
///
/// A home is an instance, not one start of it. An endpoint that restarts has lost its KV caches,
/// but so every other endpoint would lack them, and daemons that learn of the restart at different
/// times would meanwhile place its sessions apart.
fn pick_home(
    state: &State,
    service: &str,
    session: u64,
    candidates: &[Candidate],
    now: Duration,
) -> Option<EndpointKey> {
    let weight =
        |endpoint: &Endpoint| xxh3_64_with_seed(endpoint.info.instance.as_bytes(), session);
    let endpoints = state.directory.in_stage(service, Stage::Decode);
    let weights: Vec<_> = endpoints.map(|(key, e)| (weight(e), key)).collect();
    let first = weights.iter().max()?;
    let second = weights.iter().filter(|other| *other != first).max();
    let is_usable = |candidate: &&Candidate| !candidate.tried && candidate.avoided_for.is_zero();
    let find =
        |(_, key): &(_, EndpointKey)| candidates.iter().filter(is_usable).find(|c| c.key == *key);
    match (find(first), second.and_then(find)) {
        (Some(first), Some(second)) => {
            let is_crowded =
                second.cost + HOME_MEMORY_FRACTION < first.cost && !state.is_cold_start(now);
            Some(if is_crowded { second.key } else { first.key })
        }
        (first, second) => first.or(second).map(|candidate| candidate.key),
    }
}

/// Fraction of a decode endpoint's memory by which a session's second home must be emptier than the
/// first to be picked: about one and a half completions.
const HOME_MEMORY_FRACTION: f64 = 0.15;

/// Result of picking a decode endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DecodeChoice {
    /// Send the completion to this endpoint.
    At(EndpointKey),
    /// The memory of all endpoints is taken.
    Full,
    /// All endpoints want a pause; the first one ends then.
    Paused(Duration),
    /// Those that can be reached don't answer, and may go on soon.
    Silent,
    /// The service has no decode endpoint.
    None,
    /// No decode endpoint of the service has the version that the completion needs.
    VersionGone,
}

/// Fraction of a decode endpoint's memory that counts as the cost of a remote data centre. A KV
/// cache between data centres takes twice the time on the network; avoiding this is worth about two
/// completions of twelve.
const REMOTE_MEMORY_FRACTION: f64 = 0.15;

/// Picks the prefill endpoint that should have read the prompt soonest, for the decode endpoint
/// `near` if that is known, or for any one of the version `pinned`.
pub fn pick_prefill(
    state: &mut State,
    service: &str,
    tried: &[EndpointKey],
    near: Option<EndpointKey>,
    pinned: Option<SoftwareVersion>,
    tokens: u32,
    now: Duration,
) -> Option<EndpointKey> {
    let data_centre =
        near.and_then(|key| state.directory.get(key)).map(|e| e.info.data_centre.clone());
    let data_centre = data_centre.unwrap_or_else(|| state.local.data_centre.clone());
    let rate = state.tuning.prefill_tokens_per_second;
    let remote = match near {
        Some(_) => state.tuning.remote_kv_cost.as_secs_f64(),
        None => state.tuning.remote_cost.as_secs_f64(),
    };
    // A KV cache of another version would be of no use to the decode endpoint.
    let decoded_by =
        near.and_then(|key| state.directory.get(key)).map(|e| e.info.software_version());
    let endpoints = state
        .directory
        .available_in_stage(service, Stage::Prefill, now)
        .filter(|(_, e)| e.info.has_version(pinned.or(decoded_by)));
    let reached = Reached::of(state, service, now);
    let candidates =
        endpoints.filter(|(key, _)| state.has_permit(*key, now)).filter_map(|(key, endpoint)| {
            let proxy_cost = reached.cost(key, tried.contains(&key))?;
            let remote_cost = if endpoint.info.data_centre == data_centre { 0.0 } else { remote };
            let cost = f64::from(endpoint.total_tokens() + tokens) / rate * endpoint.slowness
                + endpoint.base_seconds
                + remote_cost
                + proxy_cost.as_secs_f64();
            Some(Candidate {
                key,
                cost,
                avoided_for: avoided_for(endpoint, now),
                tried: tried.contains(&key),
            })
        });
    let candidates: Vec<_> = candidates.collect();
    let unreported = unreported_seconds(state, service, &candidates);
    pick_leveling(state, &candidates, PREFILL_SECONDS_TOLERANCE + unreported)
}

/// Estimates the work, in seconds, that peers have sent to the service's prefill endpoints without
/// this daemon knowing of it yet.
///
/// By Little's law the known work arrived within the time that a prompt stays at an endpoint. As
/// much again arrives in each such period, and what arrived since the peers' last reports is
/// unknown.
fn unreported_seconds(state: &State, service: &str, candidates: &[Candidate]) -> f64 {
    let mean_stay = candidates.iter().map(|c| c.cost).sum::<f64>() / candidates.len().max(1) as f64;
    let reported = state.directory.in_stage(service, Stage::Prefill).map(|(_, e)| e.peer_tokens);
    let reported = reported.map(|tokens| tokens as f64).sum::<f64>();
    let reported = reported / state.tuning.prefill_tokens_per_second;
    reported * state.peers.report_delay.as_secs_f64() / mean_stay.max(MIN_STAY_SECONDS)
}

/// Minimum time in seconds that a prompt is assumed to stay at a prefill endpoint; it bounds a
/// divisor.
const MIN_STAY_SECONDS: f64 = 0.01;

/// Added to the expected time of an endpoint that a peer has to call: two more ways between daemons.
const PROXY_COST: Duration = Duration::from_millis(8);

/// Returns whether one of these endpoints is likely to answer soon.
fn is_any_awaited<'a>(
    state: &State,
    endpoints: impl Iterator<Item = (EndpointKey, &'a Endpoint)>,
    pinned: Option<SoftwareVersion>,
    now: Duration,
) -> bool {
    allowed(endpoints, pinned).any(|(key, _)| state.awaits(key, now))
}

/// How the endpoints of a service are reached that don't answer this daemon.
struct Reached {
    unreachable: BTreeMap<EndpointKey, Reach>,
}

impl Reached {
    fn of(state: &State, service: &str, now: Duration) -> Reached {
        let suspects = state.suspects.unreachable();
        let in_service = suspects.filter(|key| {
            state.directory.get(*key).is_some_and(|endpoint| endpoint.info.service == service)
        });
        Reached { unreachable: in_service.map(|key| (key, state.reach(key, now))).collect() }
    }

    /// Returns the additional time that a call to an endpoint takes, or `None` if it can't get there.
    fn cost(&self, key: EndpointKey, tried: bool) -> Option<Duration> {
        match self.unreachable.get(&key) {
            None | Some(Reach::Direct) => Some(Duration::ZERO),
            Some(Reach::ByPeer) => Some(PROXY_COST),
            // A connection can fail for a lost packet; the same call doesn't try again.
            Some(Reach::Unproved) => (!tried).then_some(Duration::ZERO),
            Some(Reach::None) => None,
        }
    }

    /// Returns whether a call that was sent to `tried` before gets to any of these endpoints.
    fn is_any<'a>(
        &self,
        mut all: impl Iterator<Item = (EndpointKey, &'a Endpoint)>,
        tried: &[EndpointKey],
    ) -> bool {
        all.any(|(key, _)| self.cost(key, tried.contains(&key)).is_some())
    }
}

struct Candidate {
    key: EndpointKey,
    cost: f64,
    avoided_for: Duration,
    tried: bool,
}

fn avoided_for(endpoint: &Endpoint, now: Duration) -> Duration {
    endpoint.avoided_until.saturating_sub(now)
}

/// Picks an endpoint at random, with odds by which `work` more seconds bring the cheapest endpoints
/// to the same cost.
///
/// If views are older than a call lasts, an endpoint that looks idle no longer is. All daemons
/// would send to the same few endpoints until they learn of each other's load, and then to the next
/// few, while others are idle. Odds based on the unknown work level the queues on average: without
/// unknown work only the cheapest endpoints are picked, and with old views nearly all of them are
/// equally likely.
fn pick_leveling(state: &mut State, candidates: &[Candidate], work: f64) -> Option<EndpointKey> {
    let rank = |c: &Candidate| (c.tried, c.avoided_for);
    let best_rank = candidates.iter().map(rank).min()?;
    let mut best: Vec<_> = candidates.iter().filter(|c| rank(c) == best_rank).collect();
    best.sort_unstable_by(|a, b| a.cost.total_cmp(&b.cost));
    let level = water_level(best.iter().map(|c| c.cost), work);
    let mut drawn = state.rng.unit() * work;
    for candidate in &best {
        drawn -= (level - candidate.cost).max(0.0);
        if drawn < 0.0 {
            return Some(candidate.key);
        }
    }
    best.first().map(|candidate| candidate.key)
}

/// Returns the level that `work` more raises the lowest of these costs to. The costs are in
/// ascending order.
fn water_level(sorted: impl Iterator<Item = f64>, work: f64) -> f64 {
    let (mut sum, mut count, mut level) = (0.0, 0.0, f64::MAX);
    for cost in sorted {
        if level <= cost {
            break;
        }
        sum += cost;
        count += 1.0;
        level = (work + sum) / count;
    }
    level
}

/// Picks one of the cheapest endpoints at random. Endpoints that are avoided or have had the call
/// before are ranked last.
fn pick_cheapest(
    state: &mut State,
    candidates: &[Candidate],
    tolerance: f64,
) -> Option<EndpointKey> {
    let rank = |c: &Candidate| (c.tried, c.avoided_for);
    let best_rank = candidates.iter().map(rank).min()?;
    let min_cost =
        candidates.iter().filter(|c| rank(c) == best_rank).map(|c| c.cost).fold(f64::MAX, f64::min);
    let max_cost = min_cost + (min_cost * RELATIVE_COST_TOLERANCE).max(tolerance).max(f64::EPSILON);
    let cheapest: Vec<_> =
        candidates.iter().filter(|c| rank(c) == best_rank && c.cost <= max_cost).collect();
    Some(cheapest[state.rng.index(cheapest.len())].key)
}
