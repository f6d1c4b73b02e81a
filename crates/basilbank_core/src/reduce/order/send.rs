//! Sends an order with its fencing number, and repeats it.

use std::time::Duration;

use super::{MIN_EMPTY_TIME, is_empty, note};
use crate::{
    catalogue::{Endpoint, EntryTarget, Role},
    effect::{Effect, EngineCall},
    ids::EndpointId,
    state::{RolloutStage, ServingStatus, State},
    time::Now,
};

/// Time after which an order without effect is sent again; it doubles with each send.
const INITIAL_RESEND_DELAY: Duration = Duration::from_secs(5);
/// Maximum time between two sends of an order.
const MAX_RESEND_DELAY: Duration = Duration::from_secs(300);
/// Time that a load may take in addition to the transfer of its weights.
const LOAD_MARGIN: Duration = Duration::from_secs(60);
/// Factor by which a load may take longer than the transfer of its weights at the link's rate.
const LOAD_FACTOR: f64 = 3.0;
/// Time for which an order of the former owner may still be on its way, beyond the time after which
/// that owner counts as dead.
const MAX_ORDER_TRANSIT: Duration = Duration::from_secs(6);

/// Returns the fencing number: the catalogue's revision in the upper 32 bits, the VM list's in the
/// lower.
///
/// Both are published and only increase, so a daemon that has seen the newer catalogue has the
/// higher number, and no daemon has to write anything to obtain one.
#[must_use]
pub fn fencing_number(state: &State) -> u64 {
    let clamp = |revision: u64| revision.min(u32::MAX.into());
    clamp(state.view.catalogue.revision) << 32 | clamp(state.documents.vms.revision)
}

/// Returns whether this daemon may send an order to an endpoint now.
///
/// If the endpoint checks fencing numbers, a higher number there means that a daemon with a newer
/// catalogue or VM list is sending orders. If it does not check them, an order of a former owner
/// that was paused may still arrive and undo a newer one. A new owner waits until that can no
/// longer happen, sends its order and reads back the result.
#[must_use]
pub fn may_order(state: &State, now: Now, endpoint: &Endpoint, serving: &ServingStatus) -> bool {
    if endpoint.checks_fencing {
        return serving.fence <= fencing_number(state);
    }
    let hold_off = state.local.tuning.dead_after + MAX_ORDER_TRANSIT;
    state.orders.owned_since.get(&endpoint.id).is_some_and(|since| *since + hold_off <= now.mono)
}

/// Handles the refusal of an order by an endpoint that has seen a higher fencing number.
pub fn on_fenced(state: &mut State, endpoint: EndpointId, fence: u64, out: &mut Vec<Effect>) {
    if let Some(serving) = state.orders.reports.get_mut(&endpoint) {
        serving.fence = serving.fence.max(fence);
    }
    if let Some(rollout) = state.orders.rollouts.remove(&endpoint) {
        note("order_fenced", endpoint, &rollout.target.version, out);
    }
}

/// Orders an endpoint to serve what it should.
pub fn issue(state: &mut State, now: Now, endpoint: &Endpoint, sent: u32, out: &mut Vec<Effect>) {
    let fence = fencing_number(state);
    let delay =
        INITIAL_RESEND_DELAY.saturating_mul(2u32.saturating_pow(sent)).min(MAX_RESEND_DELAY);
    let Some(rollout) = state.orders.rollouts.get_mut(&endpoint.id) else { return };
    let due = now.mono + delay;
    rollout.enter_stage(RolloutStage::Ordered { sent: sent + 1, resend_at: due }, now.mono);
    let target = &rollout.target;
    let name = if sent == 0 { "order_sent" } else { "order_sent_again" };
    note(name, endpoint.id, &target.version, out);
    out.push(Effect::Engine(EngineCall::Order {
        endpoint: endpoint.id,
        fence,
        model: target.model.clone(),
        version: target.version.clone(),
        adapter: target.adapter.clone(),
        role: if target.role == Role::Prefill { "prefill" } else { "decode" },
    }));
}

/// Sends an order again that has had no effect so far, unless the endpoint is still loading or got
/// work in the meantime.
pub fn reissue(
    state: &mut State,
    now: Now,
    endpoint: &Endpoint,
    serving: &ServingStatus,
    sent: u32,
    out: &mut Vec<Effect>,
) {
    let timeout = max_load_time(state, endpoint).saturating_mul(2u32.saturating_pow(sent - 1));
    let Some(rollout) = state.orders.rollouts.get(&endpoint.id) else { return };
    if serving.version.is_empty() {
        if now.mono < rollout.stage_since + timeout {
            return;
        }
        note("order_load_stuck", endpoint.id, &rollout.target.version, out);
    } else if !is_empty(state, endpoint.id, serving)
        || serving.measured_at < rollout.stage_since + MIN_EMPTY_TIME
    {
        return;
    }
    issue(state, now, endpoint, sent, out);
}

/// Returns the time that an endpoint may take to load its model.
fn max_load_time(state: &State, endpoint: &Endpoint) -> Duration {
    let EntryTarget::Model(model) = endpoint.serves else { return LOAD_MARGIN };
    let weights = state.view.model(model).map_or(0, |m| m.weight_bytes);
    let rates = [endpoint.link_rate, state.view.catalogue.weight_rate];
    let rate = rates.into_iter().filter(|rate| *rate != 0).min();
    let transfer = rate.map_or(0.0, |rate| weights as f64 / rate as f64);
    LOAD_MARGIN + Duration::try_from_secs_f64(LOAD_FACTOR * transfer).unwrap_or(MAX_RESEND_DELAY)
}
