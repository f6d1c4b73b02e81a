//! Sends orders to endpoints to change models, adapters, versions and roles, and drains endpoints
//! before that.
//!
//! The catalogue states what each endpoint should serve. Only an endpoint's owner compares that
//! with what the endpoint reports. Where they differ, the owner waits for the endpoint's turn,
//! gives it no new work, lets it finish its work, orders what it should serve and reads back the
//! result. An order states the desired result, not a step, so it may be sent twice and by two
//! owners.

mod rollout;
mod send;

use std::{collections::BTreeMap, time::Duration};

use crate::{
    catalogue::Endpoint,
    effect::{Effect, EngineCall, Progress},
    event::EngineReport,
    ids::EndpointId,
    state::{Rollout, RolloutStage, ServingStatus, ServingTarget, State, Timer},
    time::Now,
};

/// Time between two checks of what endpoints serve.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an endpoint must be seen empty. A KV cache that was handed over lives for less
/// than this, and a request that another owner admitted appears in the reports by then.
const MIN_EMPTY_TIME: Duration = Duration::from_secs(2);
/// Time after which a drain is reported as slow, and between two such reports.
const SLOW_DRAIN_INTERVAL: Duration = Duration::from_secs(60);

/// Returns whether an endpoint gets no new work: an order waits until it is empty, or it has loaded
/// nothing that work of its pool could use.
#[must_use]
pub fn is_draining(state: &State, endpoint: EndpointId) -> bool {
    if state.orders.rollouts.get(&endpoint).is_some_and(Rollout::is_closed) {
        return true;
    }
    let Some(serving) = state.orders.reports.get(&endpoint).filter(|s| !s.unresponsive) else {
        return false;
    };
    let target = state.view.endpoint(endpoint).and_then(|e| ServingTarget::new(&state.view, e));
    target.is_some_and(|target| !serving.is_usable_for(&target))
}

/// Handles a report from an endpoint.
pub fn on_report(
    state: &mut State,
    now: Now,
    endpoint: EndpointId,
    report: &EngineReport,
    out: &mut Vec<Effect>,
) {
    match report {
        EngineReport::Load {
            running, queued, age, version, adapter, fence, model, role, ..
        } => {
            let serving = ServingStatus {
                model: model.clone(),
                version: version.clone(),
                adapter: adapter.clone(),
                role: *role,
                fence: *fence,
                active_requests: running.saturating_add(*queued),
                measured_at: now.mono.saturating_sub(*age),
                read_at: now.mono,
                unresponsive: false,
            };
            state.orders.reports.insert(endpoint, serving);
        }
        EngineReport::NoResponse => {
            let Some(serving) = state.orders.reports.get_mut(&endpoint) else { return };
            serving.unresponsive = true;
            serving.read_at = now.mono;
        }
        EngineReport::OrderFenced { fence } => send::on_fenced(state, endpoint, *fence, out),
        EngineReport::OrderAccepted { .. }
        | EngineReport::Cache { .. }
        | EngineReport::Streams(_) => {}
    }
}

/// Handles a pause of this process. Another daemon may have owned its endpoints and sent orders to
/// them meanwhile, so the hold-off towards endpoints that do not check fencing numbers starts
/// again.
pub fn on_pause(state: &mut State) {
    state.orders.owned_since.clear();
}

/// Handles the orders that are due.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    state.timers.set(now.mono + TICK_INTERVAL, Timer::Orders);
    rollout::track_model_changes(state, now);
    if is_catalogue_stale(state) {
        return;
    }
    let mut to_read = Vec::new();
    let orderable = owned_endpoints(state).filter(|e| e.accepts_orders && !e.leaving);
    let owned: BTreeMap<_, _> = orderable.map(|e| (e.id, e.clone())).collect();
    for endpoint in owned.values() {
        state.orders.owned_since.entry(endpoint.id).or_insert(now.mono);
        check_endpoint(state, now, endpoint, &mut to_read, out);
    }
    let State { orders, view, .. } = state;
    orders.owned_since.retain(|id, _| owned.contains_key(id));
    orders.rollouts.retain(|id, _| owned.contains_key(id));
    orders.reports.retain(|id, _| view.endpoint(*id).is_some());
    rollout::read_loads(state, now, to_read, out);
}

/// Returns whether a peer has advertised a newer catalogue than the one in force here.
///
/// An owner that was paused during a rollout may decide again as soon as it is in contact with its
/// peers. That is before it has received the catalogue that came into force meanwhile, above all if
/// a datagram is lost. Its order would load what the operators have replaced. The symptom is an
/// endpoint without fencing numbers that loads an old version after the new one.
fn is_catalogue_stale(state: &State) -> bool {
    state.view.catalogue.revision < state.documents.advertised.catalogue.revision
}

/// Returns the endpoints that this daemon owns, or none while it may not decide.
pub fn owned_endpoints(state: &State) -> impl Iterator<Item = &Endpoint> {
    let known = state.slots.ledgers.keys().filter(|_| state.members.may_decide());
    known.filter_map(|id| state.view.endpoint(*id))
}

/// Compares what one endpoint serves with what it should serve, and takes the next step if they
/// differ.
fn check_endpoint(
    state: &mut State,
    now: Now,
    endpoint: &Endpoint,
    to_read: &mut Vec<EndpointId>,
    out: &mut Vec<Effect>,
) {
    let Some(target) = ServingTarget::new(&state.view, endpoint) else { return };
    let Some(serving) = state.orders.reports.get(&endpoint.id) else {
        to_read.push(endpoint.id);
        return;
    };
    if serving.is_on_target(&target) {
        if state.orders.rollouts.remove(&endpoint.id).is_some_and(|rollout| rollout.is_closed()) {
            note("order_done", endpoint.id, &target.version, out);
        }
        return;
    }
    let serving = serving.clone();
    if serving.unresponsive || !send::may_order(state, now, endpoint, &serving) {
        return;
    }
    let rollouts = &mut state.orders.rollouts;
    let rollout =
        rollouts.entry(endpoint.id).or_insert_with(|| Rollout::new(target.clone(), now.mono));
    let is_retargeted = rollout.target != target;
    rollout.target = target;
    match rollout.stage {
        RolloutStage::Ordered { .. } if is_retargeted => send::issue(state, now, endpoint, 0, out),
        RolloutStage::Ordered { sent, resend_at: due } if due <= now.mono => {
            send::reissue(state, now, endpoint, &serving, sent, out);
        }
        RolloutStage::Ordered { .. } => {}
        RolloutStage::Waiting => start_drain(state, now, endpoint, &serving, to_read, out),
        RolloutStage::Draining { empty_since: empty } => {
            drain(state, now, endpoint, &serving, empty, to_read, out);
        }
    }
}

/// Stops new work at an endpoint whose turn it is to change.
fn start_drain(
    state: &mut State,
    now: Now,
    endpoint: &Endpoint,
    serving: &ServingStatus,
    to_read: &mut Vec<EndpointId>,
    out: &mut Vec<Effect>,
) {
    if !rollout::may_drain(state, now, endpoint, serving, to_read) {
        return;
    }
    let Some(rollout) = state.orders.rollouts.get_mut(&endpoint.id) else { return };
    rollout.enter_stage(RolloutStage::Draining { empty_since: None }, now.mono);
    note("order_drain", endpoint.id, &rollout.target.version, out);
}

/// Orders an endpoint once it is empty. Gives it new work again if it is no longer its turn, for
/// example after a change of the catalogue that puts other endpoints first.
fn drain(
    state: &mut State,
    now: Now,
    endpoint: &Endpoint,
    serving: &ServingStatus,
    empty: Option<Duration>,
    to_read: &mut Vec<EndpointId>,
    out: &mut Vec<Effect>,
) {
    let may_drain = rollout::may_drain(state, now, endpoint, serving, to_read);
    let is_empty = is_empty(state, endpoint.id, serving);
    let Some(rollout) = state.orders.rollouts.get_mut(&endpoint.id) else { return };
    if !may_drain {
        rollout.enter_stage(RolloutStage::Waiting, now.mono);
        return;
    }
    let is_fresh = rollout.stage_since <= serving.measured_at;
    let empty = (is_empty && is_fresh).then(|| empty.unwrap_or(serving.measured_at));
    rollout.stage = RolloutStage::Draining { empty_since: empty };
    if empty.is_some_and(|since| since + MIN_EMPTY_TIME <= serving.measured_at) {
        send::issue(state, now, endpoint, 0, out);
    } else if rollout.stage_since + SLOW_DRAIN_INTERVAL <= now.mono {
        rollout.stage_since = now.mono;
        note("order_drain_slow", endpoint.id, &rollout.target.version, out);
    }
}

/// Returns whether an endpoint runs nothing and none of its slots is held.
///
/// An order aborts what the endpoint runs. An owner that relied on the report alone would send an
/// order while a request with a granted slot is on its way. An owner that relied on its own ledger
/// alone would abort what another owner admitted.
fn is_empty(state: &State, endpoint: EndpointId, serving: &ServingStatus) -> bool {
    let ledger = state.slots.ledgers.get(&endpoint);
    let is_free =
        ledger.is_none_or(|l| l.leases.is_empty() && l.waiting.is_empty() && l.rebuild.is_none());
    is_free && serving.active_requests == 0
}

fn note(name: &'static str, endpoint: EndpointId, version: &str, out: &mut Vec<Effect>) {
    let fields = vec![("endpoint", endpoint.to_string()), ("version", version.to_owned())];
    out.push(Effect::Progress(Progress::Note { name, fields }));
}

fn read_load(endpoint: EndpointId) -> Effect {
    Effect::Engine(EngineCall::ReadLoad { endpoint })
}
