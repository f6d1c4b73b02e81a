//! Which endpoints a request asks for a slot.

use std::time::Duration;

use crate::{
    catalogue::{Endpoint, EntryTarget, Role},
    ids::{AttemptKey, DataCentreId, EndpointId},
    reduce::{affinity, estimate, order},
    state::State,
    time::Now,
};

/// Of a pool of no more endpoints than this, all are looked at for a choice.
const SMALL_POOL: usize = 16;
/// Of larger pools a random sample this large.
const SAMPLE: usize = 8;
/// How much worse an endpoint in another data centre counts.
const ELSEWHERE: Duration = Duration::from_millis(5);
/// How much worse an endpoint counts whose steward had no slot.
const FULL: Duration = Duration::from_millis(200);
/// How much worse a full endpoint counts than an empty one, by the last grant's word.
const LOADED: Duration = Duration::from_millis(50);
/// How much worse an endpoint counts where the request has failed before. Without it a request whose
/// attempts all fall on one bad endpoint of a small pool spends its retries there.
const BLAMED: Duration = Duration::from_secs(1);
/// How long a grant's word on free slots is worth something.
const HINT_LIFE: Duration = Duration::from_secs(2);
/// Random part, so that daemons that know the same do not choose the same.
const JITTER: Duration = Duration::from_millis(10);

/// What a prefill counts where its prompt belongs: the next one with the same beginning finds it.
const AT_HOME: f64 = 0.1;

/// What is looked for.
#[derive(Clone, Copy, Debug)]
pub struct Want {
    /// The model or service.
    pub target: EntryTarget,
    /// The role.
    pub role: Role,
    /// The attempt; endpoints that it has asked already are left out.
    pub attempt: AttemptKey,
    /// How many endpoints.
    pub count: usize,
}

/// What is known of a prompt's prefix.
#[derive(Debug, Default)]
struct Prefix {
    /// Where it is cached or should be.
    home: Option<EndpointId>,
    /// Blocks that endpoints have of it.
    matches: Vec<(EndpointId, usize)>,
}

/// The endpoints that promise to serve an attempt soonest, best first, and how they compare.
#[must_use]
pub fn choose(state: &mut State, now: Now, want: &Want) -> Vec<(Duration, EndpointId)> {
    let prefix = prefix(state, want);
    let sample = sample(state, want, &prefix);
    let mut scored: Vec<_> = Vec::with_capacity(sample.len());
    for endpoint in sample {
        let jitter = JITTER.mul_f64(state.rng.unit());
        if let Some(cost) = cost(state, now, want, &prefix, endpoint) {
            scored.push((cost + jitter, endpoint));
        }
    }
    scored.sort_unstable();
    scored.truncate(want.count);
    scored
}

fn prefix(state: &State, want: &Want) -> Prefix {
    let attempt = state.requests.attempts.get(want.attempt);
    let draft = attempt.and_then(|a| state.requests.arena[a.request].draft.as_ref());
    let Some(draft) = draft.filter(|_| want.role == Role::Prefill) else {
        return Prefix::default();
    };
    let home = affinity::home(state, want.target, draft);
    Prefix { home, matches: state.health.prefixes.matches(&draft.blocks) }
}

fn sample(state: &mut State, want: &Want, prefix: &Prefix) -> Vec<EndpointId> {
    let all = state.view.serving(want.target, want.role);
    if all.len() <= SMALL_POOL {
        return all.to_vec();
    }
    let mut sample: Vec<_> = (0..SAMPLE).map(|_| all[state.rng.index(all.len())]).collect();
    let known = prefix.matches.iter().map(|(endpoint, _)| *endpoint).take(SAMPLE);
    let serves = |e: &EndpointId| state.view.endpoint(*e).is_some_and(|e| !e.leaving);
    sample.extend(known.filter(serves));
    sample.extend(prefix.home);
    sample.sort_unstable();
    sample.dedup();
    sample
}

fn cost(state: &State, now: Now, want: &Want, prefix: &Prefix, id: EndpointId) -> Option<Duration> {
    let endpoint = state.view.endpoint(id)?;
    let attempt = state.requests.attempts.get(want.attempt)?;
    let is_asked = attempt.asks.iter().any(|a| a.endpoint == id) || attempt.denied.contains(&id);
    if is_asked || !state.health.is_usable(id) || order::is_draining(state, id) {
        return None;
    }
    let mut cost = hint(state, now, endpoint);
    if endpoint.data_centre != near(state, want) {
        cost += ELSEWHERE;
    }
    let request = &state.requests.arena[attempt.request];
    if request.blamed.contains(&id) {
        cost += BLAMED;
    }
    if want.role == Role::Prefill {
        let blocks = prefix.matches.iter().find(|(e, _)| *e == id).map_or(0, |(_, blocks)| *blocks);
        let prefill = estimate::prefill_at(state, request, id, blocks);
        cost += if prefix.home == Some(id) { prefill.mul_f64(AT_HOME) } else { prefill };
    }
    Some(cost)
}

/// Where the endpoint should be: a prefill near its decode endpoint, all else near this daemon.
fn near(state: &State, want: &Want) -> DataCentreId {
    let slot = state.requests.attempts.get(want.attempt).and_then(|a| a.slot);
    let decode = slot.and_then(|s| state.view.endpoint(s.endpoint));
    match (want.role, decode) {
        (Role::Prefill, Some(decode)) => decode.data_centre,
        _ => state.local.data_centre,
    }
}

fn hint(state: &State, now: Now, endpoint: &Endpoint) -> Duration {
    let Some(known) = state.health.known.get(&endpoint.id) else { return Duration::ZERO };
    let full = if known.full.is_some_and(|until| now.mono < until) { FULL } else { Duration::ZERO };
    let Some((free, at)) = known.free else { return full };
    if at + HINT_LIFE < now.mono || endpoint.slots == 0 {
        return full;
    }
    let used = 1.0 - (f64::from(free) / f64::from(endpoint.slots)).min(1.0);
    full + LOADED.mul_f64(used)
}
