//! Choice of the endpoints that a request asks for a slot.

use std::time::Duration;

use crate::{
    catalogue::{Endpoint, EntryTarget, Role},
    ids::{AttemptKey, DataCentreId, EndpointId},
    reduce::{affinity, estimate, order},
    state::State,
    time::Now,
};

/// Maximum size of a pool in which all endpoints are considered.
const MAX_UNSAMPLED_POOL: usize = 16;
/// Number of endpoints that are drawn at random from a larger pool.
const SAMPLE_SIZE: usize = 8;
/// Penalty of an endpoint in another data centre.
const OTHER_DATA_CENTRE_PENALTY: Duration = Duration::from_millis(5);
/// Penalty of an endpoint whose owner recently had no free slot, or that refused a call as full.
const FULL_PENALTY: Duration = Duration::from_millis(200);
/// Penalty of an endpoint whose slots were all used at the last grant; it is scaled by the fraction
/// of used slots.
const MAX_LOAD_PENALTY: Duration = Duration::from_millis(50);
/// Penalty of an endpoint where an attempt of the request has failed. Without it, a request whose
/// attempts all go to one bad endpoint of a small pool spends its retries there.
const FAILED_BEFORE_PENALTY: Duration = Duration::from_secs(1);
/// Time for which the number of free slots reported with a grant is used.
const FREE_SLOTS_HINT_TTL: Duration = Duration::from_secs(2);
/// Maximum random addition to the cost, so that daemons with the same information do not all choose
/// the same endpoint.
const MAX_JITTER: Duration = Duration::from_millis(10);

/// Fraction of the prefill time that counts at the preferred endpoint of a prompt. The next prompt
/// with the same beginning finds its prefix cached there.
const PREFERRED_COST_FACTOR: f64 = 0.1;

/// What the endpoints are chosen for.
#[derive(Clone, Copy, Debug)]
pub struct Criteria {
    /// Model or service that they must serve.
    pub target: EntryTarget,
    /// Role that they must have.
    pub role: Role,
    /// Attempt that needs a slot. Endpoints that it has already asked are left out.
    pub attempt: AttemptKey,
    /// Maximum number of endpoints to return.
    pub count: usize,
}

/// What is known about the prefix of a prompt.
#[derive(Debug, Default)]
struct Prefix {
    /// Endpoint that is preferred for the prompt by prefix affinity.
    preferred: Option<EndpointId>,
    /// Endpoints that have part of the prefix cached, with the number of blocks.
    matches: Vec<(EndpointId, usize)>,
}

/// Returns the endpoints that are expected to serve an attempt soonest, each with its cost, in
/// ascending order of cost.
#[must_use]
pub fn choose(state: &mut State, now: Now, criteria: &Criteria) -> Vec<(Duration, EndpointId)> {
    let prefix = find_prefix(state, criteria);
    let sample = sample_endpoints(state, criteria, &prefix);
    let mut scored: Vec<_> = Vec::with_capacity(sample.len());
    for endpoint in sample {
        let jitter = MAX_JITTER.mul_f64(state.rng.unit());
        if let Some(cost) = estimate_cost(state, now, criteria, &prefix, endpoint) {
            scored.push((cost + jitter, endpoint));
        }
    }
    scored.sort_unstable();
    scored.truncate(criteria.count);
    scored
}

fn find_prefix(state: &State, criteria: &Criteria) -> Prefix {
    let attempt = state.requests.attempts.get(criteria.attempt);
    let completion = attempt.and_then(|a| state.requests.arena[a.request].completion.as_ref());
    let Some(completion) = completion.filter(|_| criteria.role == Role::Prefill) else {
        return Prefix::default();
    };
    let preferred = affinity::preferred_endpoint(state, criteria.target, completion);
    Prefix { preferred, matches: state.health.prefixes.matches(&completion.block_hashes) }
}

fn sample_endpoints(state: &mut State, criteria: &Criteria, prefix: &Prefix) -> Vec<EndpointId> {
    let all = state.view.serving(criteria.target, criteria.role);
    if all.len() <= MAX_UNSAMPLED_POOL {
        return all.to_vec();
    }
    let mut sample: Vec<_> = (0..SAMPLE_SIZE).map(|_| all[state.rng.index(all.len())]).collect();
    let with_prefix = prefix.matches.iter().map(|(endpoint, _)| *endpoint).take(SAMPLE_SIZE);
    let serves = |e: &EndpointId| state.view.endpoint(*e).is_some_and(|e| !e.leaving);
    sample.extend(with_prefix.filter(serves));
    sample.extend(prefix.preferred);
    sample.sort_unstable();
    sample.dedup();
    sample
}

fn estimate_cost(
    state: &State,
    now: Now,
    criteria: &Criteria,
    prefix: &Prefix,
    id: EndpointId,
) -> Option<Duration> {
    let endpoint = state.view.endpoint(id)?;
    let attempt = state.requests.attempts.get(criteria.attempt)?;
    let was_asked =
        attempt.reservations.iter().any(|a| a.endpoint == id) || attempt.denied.contains(&id);
    if was_asked || !state.health.is_usable(id) || order::is_draining(state, id) {
        return None;
    }
    let mut cost = load_penalty(state, now, endpoint);
    if endpoint.data_centre != preferred_data_centre(state, criteria) {
        cost += OTHER_DATA_CENTRE_PENALTY;
    }
    let request = &state.requests.arena[attempt.request];
    if request.failed_endpoints.contains(&id) {
        cost += FAILED_BEFORE_PENALTY;
    }
    if criteria.role == Role::Prefill {
        let blocks = prefix.matches.iter().find(|(e, _)| *e == id).map_or(0, |(_, blocks)| *blocks);
        let prefill = estimate::prefill_time_at(state, request, id, blocks);
        cost += if prefix.preferred == Some(id) {
            prefill.mul_f64(PREFERRED_COST_FACTOR)
        } else {
            prefill
        };
    }
    Some(cost)
}

/// Returns the data centre in which an endpoint is preferred: for a prefill that of the chosen
/// decode endpoint, otherwise that of this daemon.
fn preferred_data_centre(state: &State, criteria: &Criteria) -> DataCentreId {
    let slot = state.requests.attempts.get(criteria.attempt).and_then(|a| a.slot);
    let decode = slot.and_then(|s| state.view.endpoint(s.endpoint));
    match (criteria.role, decode) {
        (Role::Prefill, Some(decode)) => decode.data_centre,
        _ => state.local.data_centre,
    }
}

fn load_penalty(state: &State, now: Now, endpoint: &Endpoint) -> Duration {
    let Some(health) = state.health.endpoints.get(&endpoint.id) else { return Duration::ZERO };
    let full_penalty = if health.full_until.is_some_and(|until| now.mono < until) {
        FULL_PENALTY
    } else {
        Duration::ZERO
    };
    let Some((free_slots, reported_at)) = health.free_slots else { return full_penalty };
    if reported_at + FREE_SLOTS_HINT_TTL < now.mono || endpoint.slots == 0 {
        return full_penalty;
    }
    let used = 1.0 - (f64::from(free_slots) / f64::from(endpoint.slots)).min(1.0);
    full_penalty + MAX_LOAD_PENALTY.mul_f64(used)
}
