//! Decides whose turn it is to change, without messages between daemons.
//!
//! All daemons have the same catalogue and read the same endpoints. A model's endpoints change in
//! the order of their ids, which are hashes of their names and thus spread over the data centres.
//! An endpoint may start if those before it have changed, or if the capacity that remains in
//! service without them and without itself covers what teams are guaranteed. In both cases the
//! weight store must be able to serve one more load.

use std::time::Duration;

use super::read_load;
use crate::{
    catalogue::{Endpoint, EntryTarget},
    effect::Effect,
    ids::{EndpointId, ModelId},
    state::{ModelChange, ServingStatus, ServingTarget, State},
    time::Now,
};

/// Maximum endpoints that one check reads, in addition to those that are read anyway.
const MAX_READS_PER_TICK: usize = 16;
/// Maximum age of reports of a model's endpoints; older ones do not count.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);
/// Time between two reads of an endpoint that others wait for.
const POLL_INTERVAL: Duration = Duration::from_secs(3);
/// Time after a model's version changed in which it may still be loading somewhere.
const MAX_ROLLOUT_TIME: Duration = Duration::from_secs(1800);

/// The part of an endpoint's pool that is out of service, or will be before the endpoint changes.
struct Unavailable {
    /// Slots of endpoints that are before it in the order and have not changed, or that are out of
    /// service for another reason.
    slots: u64,
    /// Number of these endpoints, without those that do not answer.
    changing: usize,
}

/// Returns whether an endpoint may be taken out of service now. Endpoints that must be read first
/// are pushed to `to_read`.
pub fn may_drain(
    state: &State,
    now: Now,
    endpoint: &Endpoint,
    serving: &ServingStatus,
    to_read: &mut Vec<EndpointId>,
) -> bool {
    let EntryTarget::Model(model) = endpoint.serves else { return false };
    let max_loads = max_concurrent_loads(state, now, endpoint);
    let unchanged = unchanged_before(state, model, endpoint.id, max_loads, to_read);
    if max_loads <= unchanged.len() {
        // Many endpoints are still before this one, and only the first few of them decide when its
        // turn comes.
        to_read.extend(
            unchanged.into_iter().filter(|id| is_report_older(state, now, *id, POLL_INTERVAL)),
        );
        return false;
    }
    let Some(target) = ServingTarget::new(&state.view, endpoint) else { return false };
    if !serving.is_usable_for(&target) {
        return true;
    }
    let ids = state.view.serving(endpoint.serves, endpoint.role);
    let pool = ids.iter().filter_map(|id| state.view.endpoint(*id));
    let max_age =
        MAX_REPORT_AGE.max(Duration::from_secs(2 * (ids.len() / MAX_READS_PER_TICK) as u64));
    let is_due = |id: &EndpointId| is_report_older(state, now, *id, max_age / 2);
    let due: Vec<_> = ids.iter().copied().filter(is_due).collect();
    let is_known = due.iter().all(|id| !is_report_older(state, now, *id, max_age));
    to_read.extend(due);
    if !is_known {
        return false;
    }
    let total: u64 = pool.clone().map(slots).sum();
    let unavailable = count_unavailable(state, endpoint, pool);
    let owed = owed_fraction(state, endpoint.serves) * total as f64;
    let remaining = total.saturating_sub(unavailable.slots + slots(endpoint));
    unavailable.changing == 0 || owed <= remaining as f64
}

/// Reads the given endpoints, at most as many as one check may read.
pub fn read_loads(state: &State, now: Now, mut to_read: Vec<EndpointId>, out: &mut Vec<Effect>) {
    to_read.sort_unstable_by_key(|id| (last_read(state, *id), *id));
    to_read.dedup();
    to_read.retain(|id| is_report_older(state, now, *id, Duration::from_secs(1)));
    out.extend(to_read.into_iter().take(MAX_READS_PER_TICK).map(read_load));
}

/// Records when the catalogue changed the version or adapter of each model.
pub fn track_model_changes(state: &mut State, now: Now) {
    let catalogue = state.view.catalogue.clone();
    if state.orders.revision == catalogue.revision {
        return;
    }
    state.orders.revision = catalogue.revision;
    for model in &catalogue.models {
        let known = state.orders.model_changes.entry(model.id).or_default();
        if known.version != model.version || known.adapter != model.adapter {
            let (version, adapter) = (model.version.clone(), model.adapter.clone());
            *known = ModelChange { version, adapter, seen_at: now.mono };
        }
    }
    let is_known = |id: &ModelId| catalogue.models.iter().any(|m| m.id == *id);
    state.orders.model_changes.retain(|id, _| is_known(id));
}

/// Returns how many endpoints of one model may load at once: as many as the weight store's rate
/// allows, shared with the other models that changed lately. At least one, since no endpoint would
/// ever change otherwise.
fn max_concurrent_loads(state: &State, now: Now, endpoint: &Endpoint) -> usize {
    let rate = state.view.catalogue.weight_rate;
    if rate == 0 || endpoint.link_rate == 0 {
        return usize::MAX;
    }
    let changes = state.orders.model_changes.values();
    let changing =
        changes.filter(|c| now.mono < c.seen_at + MAX_ROLLOUT_TIME).count().max(1) as u64;
    usize::try_from(rate / endpoint.link_rate / changing).unwrap_or(usize::MAX).max(1)
}

/// Returns the first endpoints of a model, in any role, that are before `own` and have not changed;
/// at most `max`. Endpoints that were never read count, because they may have to change.
fn unchanged_before(
    state: &State,
    model: ModelId,
    own: EndpointId,
    max: usize,
    to_read: &mut Vec<EndpointId>,
) -> Vec<EndpointId> {
    let serves = EntryTarget::Model(model);
    let all = state.view.catalogue.endpoints.iter();
    let before = all.filter(|e| e.serves == serves && e.accepts_orders && !e.leaving && e.id < own);
    let mut before: Vec<_> = before.collect();
    before.sort_unstable_by_key(|e| e.id);
    let mut unchanged = Vec::new();
    for endpoint in before {
        if max <= unchanged.len() {
            break;
        }
        let Some(target) = ServingTarget::new(&state.view, endpoint) else { continue };
        match state.orders.reports.get(&endpoint.id) {
            Some(serving) if serving.unresponsive || serving.is_on_target(&target) => {}
            Some(_) => unchanged.push(endpoint.id),
            None => {
                unchanged.push(endpoint.id);
                to_read.push(endpoint.id);
            }
        }
    }
    unchanged
}

/// Counts what is out of service in an endpoint's pool, or will be before the endpoint changes.
fn count_unavailable<'a>(
    state: &State,
    own: &Endpoint,
    pool: impl Iterator<Item = &'a Endpoint>,
) -> Unavailable {
    let mut unavailable = Unavailable { slots: 0, changing: 0 };
    for endpoint in pool.filter(|e| e.id != own.id) {
        let Some(target) = ServingTarget::new(&state.view, endpoint) else { continue };
        let Some(serving) = state.orders.reports.get(&endpoint.id) else { continue };
        let is_next =
            endpoint.accepts_orders && endpoint.id < own.id && !serving.is_on_target(&target);
        if is_next || !serving.is_usable_for(&target) {
            unavailable.slots += slots(endpoint);
            unavailable.changing += usize::from(!serving.unresponsive);
        }
    }
    unavailable
}

/// Returns the fraction of a target's capacity that is guaranteed to all teams together.
fn owed_fraction(state: &State, target: EntryTarget) -> f64 {
    let entries = state.view.catalogue.entries.iter().filter(|e| e.target == target);
    entries.map(|e| e.limits.owed).sum::<f64>().min(1.0)
}

fn slots(endpoint: &Endpoint) -> u64 {
    u64::from(endpoint.slots.max(1))
}

fn last_read(state: &State, endpoint: EndpointId) -> Option<Duration> {
    state.orders.reports.get(&endpoint).map(|s| s.read_at)
}

fn is_report_older(state: &State, now: Now, endpoint: EndpointId, age: Duration) -> bool {
    last_read(state, endpoint).is_none_or(|read| read + age <= now.mono)
}
