//! Whose turn it is to change, agreed without a message.
//!
//! All daemons have the same catalogue and read the same endpoints. A model's endpoints change in the
//! order of their ids, which are hashes of their names and so spread over the data centres. One may
//! start when those before it have changed, or when what is left in service without them and without
//! itself covers what teams are owed, and when the weight store can serve one more load.

use std::time::Duration;

use super::read_load;
use crate::{
    catalogue::{Endpoint, EntryTarget},
    effect::Effect,
    ids::{EndpointId, ModelId},
    state::{ModelChange, Serving, State, Target},
    time::Now,
};

/// Endpoints read in one look, beyond those that are read anyway.
const READS: usize = 16;
/// Reports of a model's endpoints older than this do not count.
const FRESH: Duration = Duration::from_secs(10);
/// How often the endpoints that are waited for are read.
const POLL: Duration = Duration::from_secs(3);
/// A model whose version changed within this time may still be loading somewhere.
const HORIZON: Duration = Duration::from_secs(1800);

/// What stands between an endpoint and its change.
struct Ahead {
    /// Not changed, and before it in the order, or out of service for another reason.
    out: u64,
    /// How many those are, without the ones that do not answer.
    rolling: usize,
}

/// Whether an endpoint may be taken out of service now. Endpoints that must be read first are pushed
/// to `wanted`.
pub fn has_come(
    state: &State,
    now: Now,
    endpoint: &Endpoint,
    serving: &Serving,
    wanted: &mut Vec<EndpointId>,
) -> bool {
    let EntryTarget::Model(model) = endpoint.serves else { return false };
    let width = load_width(state, now, endpoint);
    let waits = unchanged_before(state, model, endpoint.id, width, wanted);
    if width <= waits.len() {
        // The turn is far off: only the first few decide whether it comes nearer.
        wanted.extend(waits.into_iter().filter(|id| is_older(state, now, *id, POLL)));
        return false;
    }
    let Some(target) = Target::new(&state.view, endpoint) else { return false };
    if !serving.is_useful(&target) {
        return true;
    }
    let ids = state.view.serving(endpoint.serves, endpoint.role);
    let pool = ids.iter().filter_map(|id| state.view.endpoint(*id));
    let fresh = FRESH.max(Duration::from_secs(2 * (ids.len() / READS) as u64));
    let is_old = |id: &EndpointId| is_older(state, now, *id, fresh / 2);
    let old: Vec<_> = ids.iter().copied().filter(is_old).collect();
    let is_known = old.iter().all(|id| !is_older(state, now, *id, fresh));
    wanted.extend(old);
    if !is_known {
        return false;
    }
    let total: u64 = pool.clone().map(slots).sum();
    let ahead = ahead(state, endpoint, pool);
    let owed = owed(state, endpoint.serves) * total as f64;
    let left = total.saturating_sub(ahead.out + slots(endpoint));
    ahead.rolling == 0 || owed <= left as f64
}

/// Reads the endpoints that were found wanting, as many as one look may.
pub fn read(state: &State, now: Now, mut wanted: Vec<EndpointId>, out: &mut Vec<Effect>) {
    wanted.sort_unstable_by_key(|id| (read_at(state, *id), *id));
    wanted.dedup();
    wanted.retain(|id| is_older(state, now, *id, Duration::from_secs(1)));
    out.extend(wanted.into_iter().take(READS).map(read_load));
}

/// Follows the catalogue's changes of versions.
pub fn follow(state: &mut State, now: Now) {
    let catalogue = state.view.catalogue.clone();
    if state.orders.revision == catalogue.revision {
        return;
    }
    state.orders.revision = catalogue.revision;
    for model in &catalogue.models {
        let known = state.orders.changes.entry(model.id).or_default();
        if known.version != model.version || known.adapter != model.adapter {
            let (version, adapter) = (model.version.clone(), model.adapter.clone());
            *known = ModelChange { version, adapter, at: now.mono };
        }
    }
    let is_known = |id: &ModelId| catalogue.models.iter().any(|m| m.id == *id);
    state.orders.changes.retain(|id, _| is_known(id));
}

/// Endpoints of one model that may load at once: as many as fill the weight store's rate, shared with
/// the other models that changed lately. At least one, or nothing would ever change.
fn load_width(state: &State, now: Now, endpoint: &Endpoint) -> usize {
    let rate = state.view.catalogue.weight_rate;
    if rate == 0 || endpoint.link_rate == 0 {
        return usize::MAX;
    }
    let changes = state.orders.changes.values();
    let changing = changes.filter(|c| now.mono < c.at + HORIZON).count().max(1) as u64;
    usize::try_from(rate / endpoint.link_rate / changing).unwrap_or(usize::MAX).max(1)
}

/// The first endpoints of a model, in any role, that are before `own` and have not changed; at most
/// `most`. Endpoints that were never read count, as they may have to change.
fn unchanged_before(
    state: &State,
    model: ModelId,
    own: EndpointId,
    most: usize,
    wanted: &mut Vec<EndpointId>,
) -> Vec<EndpointId> {
    let serves = EntryTarget::Model(model);
    let all = state.view.catalogue.endpoints.iter();
    let before = all.filter(|e| e.serves == serves && e.orders && !e.leaving && e.id < own);
    let mut before: Vec<_> = before.collect();
    before.sort_unstable_by_key(|e| e.id);
    let mut waits = Vec::new();
    for endpoint in before {
        if most <= waits.len() {
            break;
        }
        let Some(target) = Target::new(&state.view, endpoint) else { continue };
        match state.orders.reports.get(&endpoint.id) {
            Some(serving) if serving.silent || serving.is_done(&target) => {}
            Some(_) => waits.push(endpoint.id),
            None => {
                waits.push(endpoint.id);
                wanted.push(endpoint.id);
            }
        }
    }
    waits
}

/// What of an endpoint's pool is out of service, or will be before it.
fn ahead<'a>(state: &State, own: &Endpoint, pool: impl Iterator<Item = &'a Endpoint>) -> Ahead {
    let mut ahead = Ahead { out: 0, rolling: 0 };
    for endpoint in pool.filter(|e| e.id != own.id) {
        let Some(target) = Target::new(&state.view, endpoint) else { continue };
        let Some(serving) = state.orders.reports.get(&endpoint.id) else { continue };
        let is_next = endpoint.orders && endpoint.id < own.id && !serving.is_done(&target);
        if is_next || !serving.is_useful(&target) {
            ahead.out += slots(endpoint);
            ahead.rolling += usize::from(!serving.silent);
        }
    }
    ahead
}

/// Share of a target's capacity that teams are owed together.
fn owed(state: &State, target: EntryTarget) -> f64 {
    let entries = state.view.catalogue.entries.iter().filter(|e| e.target == target);
    entries.map(|e| e.limits.owed).sum::<f64>().min(1.0)
}

fn slots(endpoint: &Endpoint) -> u64 {
    u64::from(endpoint.slots.max(1))
}

fn read_at(state: &State, endpoint: EndpointId) -> Option<Duration> {
    state.orders.reports.get(&endpoint).map(|s| s.read)
}

fn is_older(state: &State, now: Now, endpoint: EndpointId, age: Duration) -> bool {
    read_at(state, endpoint).is_none_or(|read| read + age <= now.mono)
}
