//! Picks an endpoint for a call.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    endpoint::{EndpointKey, Stage},
    state::{Endpoint, Share, State},
};

/// Part of the least cost within which endpoints count as equal, so that daemons with the same view
/// don't all pick the same one.
const RELATIVE_COST_TOLERANCE: f64 = 0.1;

/// Part of a decode endpoint's memory within which endpoints count as equal: about half a draft.
const MEMORY_FRACTION_TOLERANCE: f64 = 0.04;

/// Seconds within which prefill endpoints count as equal: a small part of a prompt's reading.
const PREFILL_SECONDS_TOLERANCE: f64 = 0.01;

/// The endpoint of a plain service where the call should be answered soonest.
pub fn pick_plain(
    state: &mut State,
    service: &str,
    tried: &[EndpointKey],
    now: Duration,
) -> PlainChoice {
    let local = &state.local.data_centre;
    let remote = state.tuning.remote_cost;
    // A new endpoint counts as the fastest of the others until it is measured: one that counted as
    // slow would never be tried, and so never be measured.
    let fastest = state.directory.service(service).filter_map(|(_, e)| e.mean).min();
    let fastest = fastest.unwrap_or_default();
    let permitted = state.directory.service(service).filter(|(key, _)| state.has_permit(*key, now));
    let costs = permitted.map(|(key, endpoint)| {
        let mean = endpoint.mean.unwrap_or(fastest);
        let slots = f64::from(endpoint.info.slots.max(1));
        let queue = 1.0 + f64::from(endpoint.all_calls()) / slots;
        let trip = if endpoint.info.data_centre == *local { Duration::ZERO } else { remote };
        let cost = mean.as_secs_f64() * queue + trip.as_secs_f64();
        Candidate { key, cost, last: avoided_for(endpoint, now), tried: tried.contains(&key) }
    });
    let costs: Vec<_> = costs.collect();
    match pick_cheapest(state, &costs, 0.0) {
        Some(key) => PlainChoice::At(key),
        None if state.directory.service(service).next().is_some() => PlainChoice::Limited,
        None => PlainChoice::None,
    }
}

/// Where a plain call goes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PlainChoice {
    /// There.
    At(EndpointKey),
    /// Nowhere now: all endpoints need a permit.
    Limited,
    /// There is no endpoint.
    None,
}

/// What a draft needs of a decode endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Criteria {
    /// Where its prompt is, or will likely be read.
    pub near: Option<EndpointKey>,
    /// What it takes there.
    pub share: Share,
    /// Part of an endpoint's memory that is given out to drafts like it.
    pub memory_fraction: f64,
    /// The session that it belongs to.
    pub session: Option<u64>,
}

/// The draft's home if there is room, else the decode endpoint with the most free memory, by what all
/// daemons have there.
pub fn pick_decode(
    state: &mut State,
    service: &str,
    tried: &[EndpointKey],
    criteria: &Criteria,
    now: Duration,
) -> Decode {
    let Some(engine) = state.routes.engine(service) else { return Decode::None };
    let memory = f64::from(engine.memory.max(1));
    let (full, growth) = (memory * criteria.memory_fraction, state.growth(service));
    let data_centre =
        criteria.near.and_then(|key| state.directory.get(key)).map(|e| e.info.data_centre.clone());
    let data_centre = data_centre.unwrap_or_else(|| state.local.data_centre.clone());
    let mut has_endpoints = false;
    let endpoints = state.directory.stage(service, Stage::Decode).inspect(|_| has_endpoints = true);
    // An endpoint that has nothing takes any draft, however large.
    let permitted = endpoints.filter(|(key, _)| state.has_permit(*key, now));
    let peaks = permitted.map(|(key, e)| (key, e, e.peak(criteria.share, now, growth)));
    let open = peaks.filter(|(_, e, peak)| e.all_calls() == 0 || *peak <= full);
    let costs = open.map(|(key, endpoint, peak)| {
        let used = peak / memory;
        let remote_cost =
            if endpoint.info.data_centre == data_centre { 0.0 } else { REMOTE_MEMORY_FRACTION };
        let cost = used + remote_cost;
        Candidate { key, cost, last: avoided_for(endpoint, now), tried: tried.contains(&key) }
    });
    let costs: Vec<_> = costs.collect();
    // Only endpoints that don't answer, or have just refused, have room: whoever waits for one of the
    // others is served sooner.
    let is_usable = state.directory.stage(service, Stage::Decode).any(|(_, e)| e.avoided <= now);
    if is_usable && costs.iter().all(|cost| !cost.last.is_zero()) {
        return Decode::Full;
    }
    let home = criteria.session.and_then(|session| pick_home(state, service, session, &costs, now));
    match home.or_else(|| pick_cheapest(state, &costs, MEMORY_FRACTION_TOLERANCE)) {
        Some(key) => Decode::At(key),
        None if has_endpoints => Decode::Full,
        None => Decode::None,
    }
}

/// One of the two endpoints to which all daemons give a session first.
///
/// A draft whose stream was cut comes back as another call, often to another daemon. At the endpoint
/// that decoded it before, its prompt may still be kept, and need not be read again. The first home is
/// taken unless the second has much more room: with one alone, some endpoints would be full beside
/// idle ones. A daemon that knows nobody's load takes the first.
///
/// A home is an instance, not its start: an endpoint that starts again has lost its KV caches, but so
/// would any other place be without them, and daemons that learn of the start at different times would
/// place its sessions apart meanwhile.
fn pick_home(
    state: &State,
    service: &str,
    session: u64,
    open: &[Candidate],
    now: Duration,
) -> Option<EndpointKey> {
    let weight =
        |endpoint: &Endpoint| xxh3_64_with_seed(endpoint.info.instance.as_bytes(), session);
    let endpoints = state.directory.stage(service, Stage::Decode);
    let weights: Vec<_> = endpoints.map(|(key, e)| (weight(e), key)).collect();
    let first = weights.iter().max()?;
    let second = weights.iter().filter(|other| *other != first).max();
    let is_usable = |cost: &&Candidate| !cost.tried && cost.last.is_zero();
    let find = |(_, key): &(_, EndpointKey)| open.iter().filter(is_usable).find(|c| c.key == *key);
    match (find(first), second.and_then(find)) {
        (Some(first), Some(second)) => {
            let is_crowded =
                second.cost + HOME_MEMORY_FRACTION < first.cost && !state.is_blind(now);
            Some(if is_crowded { second.key } else { first.key })
        }
        (first, second) => first.or(second).map(|cost| cost.key),
    }
}

/// Part of a decode endpoint's memory by which a session's second home must be emptier than its first
/// to be taken: about a draft and a half.
const HOME_MEMORY_FRACTION: f64 = 0.15;

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
const REMOTE_MEMORY_FRACTION: f64 = 0.15;

/// The prefill endpoint that should have read the prompt soonest.
pub fn pick_prefill(
    state: &mut State,
    service: &str,
    tried: &[EndpointKey],
    near: Option<EndpointKey>,
    tokens: u32,
    now: Duration,
) -> Option<EndpointKey> {
    let data_centre =
        near.and_then(|key| state.directory.get(key)).map(|e| e.info.data_centre.clone());
    let data_centre = data_centre.unwrap_or_else(|| state.local.data_centre.clone());
    let rate = state.tuning.prefill_rate;
    let remote = match near {
        Some(_) => state.tuning.remote_kv.as_secs_f64(),
        None => state.tuning.remote_cost.as_secs_f64(),
    };
    let readers = state.directory.stage(service, Stage::Prefill);
    let costs = readers.filter(|(key, _)| state.has_permit(*key, now)).map(|(key, endpoint)| {
        let remote_cost = if endpoint.info.data_centre == data_centre { 0.0 } else { remote };
        let cost = f64::from(endpoint.all_tokens() + tokens) / rate * endpoint.slowness
            + endpoint.base
            + remote_cost;
        Candidate { key, cost, last: avoided_for(endpoint, now), tried: tried.contains(&key) }
    });
    let costs: Vec<_> = costs.collect();
    let unreported = unreported_seconds(state, service, &costs);
    pick_leveling(state, &costs, PREFILL_SECONDS_TOLERANCE + unreported)
}

/// Seconds of reading that peers have given to the service's prefill endpoints without this daemon
/// knowing of it yet.
///
/// By Little's law the work that is seen came within the time that a prompt takes; as much again comes
/// in each such time, and what came since peers told is not seen.
fn unreported_seconds(state: &State, service: &str, costs: &[Candidate]) -> f64 {
    let stay = costs.iter().map(|c| c.cost).sum::<f64>() / costs.len().max(1) as f64;
    let reported = state.directory.stage(service, Stage::Prefill).map(|(_, e)| e.peer_tokens);
    let reported: f64 = reported.map(f64::from).sum::<f64>() / state.tuning.prefill_rate;
    reported * state.peers.untold.as_secs_f64() / stay.max(MIN_STAY_SECONDS)
}

/// A prompt's shortest stay at a prefill endpoint, in seconds: the bound of a quotient.
const MIN_STAY_SECONDS: f64 = 0.01;

struct Candidate {
    key: EndpointKey,
    cost: f64,
    last: Duration,
    tried: bool,
}

fn avoided_for(endpoint: &Endpoint, now: Duration) -> Duration {
    endpoint.avoided.saturating_sub(now)
}

/// One of the endpoints at random, such that `work` more, shared out by these odds, brings the cheapest
/// to one level.
///
/// With views that are older than a call lasts, the endpoint that looks idle is no longer idle: all
/// daemons would send to the same few until they hear of each other, and then to the next few, while
/// others stand idle. Odds by what is not seen yet level the queues on average; with nothing unseen
/// only the cheapest are left, and with old views all are nearly alike.
fn pick_leveling(state: &mut State, costs: &[Candidate], work: f64) -> Option<EndpointKey> {
    let rank = |c: &Candidate| (c.tried, c.last);
    let best_rank = costs.iter().map(rank).min()?;
    let mut open: Vec<_> = costs.iter().filter(|c| rank(c) == best_rank).collect();
    open.sort_unstable_by(|a, b| a.cost.total_cmp(&b.cost));
    let level = water_level(open.iter().map(|c| c.cost), work);
    let mut drawn = state.rng.unit() * work;
    for cost in &open {
        drawn -= (level - cost.cost).max(0.0);
        if drawn < 0.0 {
            return Some(cost.key);
        }
    }
    open.first().map(|cost| cost.key)
}

/// How high `work` more brings the lowest of these, in rising order.
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

/// One of the cheapest at random. Endpoints that are avoided, and such that had the call before,
/// come last.
fn pick_cheapest(state: &mut State, costs: &[Candidate], near: f64) -> Option<EndpointKey> {
    let rank = |c: &Candidate| (c.tried, c.last);
    let best_rank = costs.iter().map(rank).min()?;
    let least =
        costs.iter().filter(|c| rank(c) == best_rank).map(|c| c.cost).fold(f64::MAX, f64::min);
    let near = least + (least * RELATIVE_COST_TOLERANCE).max(near).max(f64::EPSILON);
    let same: Vec<_> = costs.iter().filter(|c| rank(c) == best_rank && c.cost <= near).collect();
    Some(same[state.rng.index(same.len())].key)
}
