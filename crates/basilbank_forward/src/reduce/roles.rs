//! Balances how many endpoints are prefill endpoints and how many are decode endpoints.
//!
//! A completion uses a decode endpoint's memory for seconds and a prefill endpoint for a tenth of a
//! second. With more prefill endpoints than prompts need, completions would wait for decode memory
//! while endpoints are idle.

use std::{net::SocketAddr, time::Duration};

use basilbank_core::time::Now;
use basilbank_wire::OrderClaim;

use super::Context;
use crate::{
    effect::Effect,
    endpoint::{EndpointKey, Stage},
    event::Acceptance,
    log_line::LogLine,
    state::{
        State, SystemStart,
        roles::{ORDER_SILENCE, OrderRight},
    },
};

/// Seconds for which a typical completion uses a prefill endpoint: 3,200 tokens at 33 per
/// millisecond.
const TYPICAL_PREFILL_SECONDS: f64 = 0.1;

/// Seconds for which a typical completion uses decode memory: some 560 tokens of 5 to 6 ms.
const TYPICAL_DECODE_SECONDS: f64 = 3.0;

/// Average number of tokens of memory that a typical completion uses meanwhile.
const TYPICAL_DECODE_TOKENS: f64 = 3500.0;

/// Minimum number of prefill endpoints to keep: one may crash.
const MIN_PREFILL_ENDPOINTS: usize = 2;

/// Time without a new endpoint before the first order: about one heartbeat, within which a slow
/// endpoint registers.
const MIN_LIST_STABILITY: Duration = Duration::from_millis(1000);

/// Maximum age of the last read of the store for giving orders: with an older one the daemon may be
/// cut off or may just have been suspended.
const MAX_READ_AGE: Duration = Duration::from_millis(2500);

/// Time until the list of endpoints shows a changed stage: a heartbeat and a read.
const STAGE_LISTING_DELAY: Duration = Duration::from_millis(2500);

/// Minimum jump between the clocks that counts as a suspension of the process. It is larger than
/// what a clock adjustment causes between two events.
const MIN_SUSPENSION: Duration = Duration::from_millis(500);

/// Pause between two orders, in addition to the time of the stage change.
const ORDER_PAUSE: Duration = Duration::from_secs(2);

/// Sets whether this daemon gives orders. If the right was lost and is regained, its time starts
/// again. Orders at once are for the start of the whole system: a right that is gained later may
/// still be used by another daemon.
pub fn set_order_right(ctx: &mut Context<'_>, right: OrderRight) {
    let roles = &mut ctx.state.roles;
    let is_later = std::mem::replace(&mut roles.is_right_set, true);
    let right = match right {
        OrderRight::AtOnce if is_later && roles.right != OrderRight::AtOnce => {
            OrderRight::AfterSilence
        }
        right => right,
    };
    if roles.right != right {
        roles.right = right;
        roles.right_since = ctx.now;
    }
}

/// Records whether a peer claims the right. Of two that claim it the lower address goes first.
pub fn record_claim(ctx: &mut Context<'_>, from: SocketAddr, claim: i32) {
    let claim = OrderClaim::try_from(claim).unwrap_or(OrderClaim::Held);
    if claim == OrderClaim::None {
        return;
    }
    ctx.state.roles.claims.insert(from, ctx.now);
    record_claimant(ctx, from, claim);
}

/// Records a claim that a peer has heard. The claimant may be out of this daemon's reach.
pub fn record_rival(ctx: &mut Context<'_>, rival: Option<SocketAddr>) {
    let own = ctx.state.peers.own_address;
    if let Some(rival) = rival.filter(|rival| own.is_some_and(|own| *rival < own)) {
        record_claimant(ctx, rival, OrderClaim::Held);
    }
}

fn record_claimant(ctx: &mut Context<'_>, from: SocketAddr, claim: OrderClaim) {
    let is_senior = ctx.state.peers.own_address.is_none_or(|own| from < own);
    if !is_senior && claim == OrderClaim::Yielded {
        return;
    }
    let roles = &mut ctx.state.roles;
    let heard = if is_senior { &mut roles.senior_claim } else { &mut roles.junior_claim };
    let previous = heard.replace(ctx.now);
    let is_new = previous.is_none_or(|at| at + ORDER_SILENCE <= ctx.now);
    if is_new && roles.right != OrderRight::None {
        let line = LogLine::new("order_right_disputed").with("peer", from);
        ctx.log(line.with("peer_goes_first", is_senior));
    }
}

/// Returns this daemon's claim to the right, for its peers.
pub fn claim(state: &State, now: Duration) -> OrderClaim {
    let roles = &state.roles;
    let yields = roles.senior_claim.is_some_and(|at| now < at + ORDER_SILENCE);
    match (roles.right, yields) {
        (OrderRight::None, _) => OrderClaim::None,
        (_, true) => OrderClaim::Yielded,
        (_, false) => OrderClaim::Held,
    }
}

/// Returns whether no peer may give orders because it claims the right as well.
///
/// A senior peer's claim ends this daemon's orders, and for some time after it only the claim is made
/// again, so that a senior peer which could not be heard hears it and stops. Juniors must have yielded
/// for as long.
fn is_undisputed(state: &State, now: Duration) -> bool {
    let roles = &state.roles;
    let is_senior_gone = roles.senior_claim.is_none_or(|at| at + ORDER_SILENCE * 2 <= now);
    let has_junior_yielded = roles.junior_claim.is_none_or(|at| at + ORDER_SILENCE <= now);
    is_senior_gone && has_junior_yielded
}

/// Handles an endpoint's answer to an order. A refused order is not repeated: the reason is
/// unknown, so doing nothing is the safe choice.
pub fn handle_order_answer(ctx: &mut Context<'_>, endpoint: EndpointKey, accepted: Acceptance) {
    let switch = ctx.state.directory.get(endpoint).and_then(|e| {
        let engine = ctx.state.routes.engine(&e.info.service)?;
        Some(engine.stage_change)
    });
    let (Some(switch), true) = (switch, accepted != Acceptance::Refused) else { return };
    let until = ctx.now + switch + STAGE_LISTING_DELAY;
    if let Some(endpoint) = ctx.state.directory.get_mut(endpoint) {
        endpoint.avoid_and_report(until);
    }
    ctx.state.peers.changed = true;
}

/// Detects that the process was suspended.
///
/// The monotonic clock doesn't count the time for which a Vm was suspended. All that the daemon
/// knows would look as fresh as before, and it would continue to give orders while another daemon
/// has the right by now. The time of day does count it. A change of the time of day looks the same,
/// but then the silence costs nothing.
pub fn detect_suspension(ctx: &mut Context<'_>, now: Now) {
    let offset = i128::from(now.unix_ms()) - now.mono.as_millis() as i128;
    let previous = ctx.state.roles.clock_offset_ms.replace(offset);
    let Some(jump) = previous.map(|previous| offset - previous) else { return };
    if jump.unsigned_abs() < MIN_SUSPENSION.as_millis() {
        return;
    }
    ctx.log(LogLine::new("clock_jump").with("jump_ms", jump));
    let roles = &mut ctx.state.roles;
    roles.right_since = ctx.now;
    if roles.right == OrderRight::AtOnce {
        roles.right = OrderRight::AfterSilence;
    }
}

/// Gives an order if one is due.
pub fn tick(ctx: &mut Context<'_>) {
    ctx.state.roles.claims.retain(|_, at| ctx.now < *at + ORDER_SILENCE);
    let hears_majority = ctx.state.peers.hears_majority();
    let roles = &mut ctx.state.roles;
    roles.has_met |= hears_majority;
    // Nobody has given orders before the system's first start.
    let is_first = ctx.state.local.start == SystemStart::First && !roles.has_met;
    if !hears_majority && !is_first {
        roles.isolated_at = Some(ctx.now);
    }
    if !can_order(ctx.state, ctx.now) {
        return;
    }
    let services: Vec<_> = ctx.state.routes.services.keys().cloned().collect();
    for service in services {
        let Some(engine) = ctx.state.routes.engine(&service) else { continue };
        if !is_service_idle(ctx.state, &service)
            && ctx.now < ctx.state.roles.last_order + engine.stage_change + ORDER_PAUSE
        {
            continue;
        }
        if let Some(endpoint) = pick_surplus(ctx.state, &service, ctx.now) {
            send_order(ctx, endpoint, Stage::Decode);
        }
    }
}

fn can_order(state: &State, now: Duration) -> bool {
    let roles = &state.roles;
    let has_waited = match roles.right {
        OrderRight::None => return false,
        OrderRight::AtOnce => true,
        OrderRight::AfterSilence => roles.right_since + ORDER_SILENCE <= now,
    };
    let is_read_recent = now < state.directory.read_at + MAX_READ_AGE;
    let is_list_stable = roles.list_grew + MIN_LIST_STABILITY <= now;
    // Those that claim the right may be the last to be heard again.
    let is_informed = roles.isolated_at.is_none_or(|at| at + ORDER_SILENCE <= now);
    let is_informed = is_informed && state.peers.hears_majority();
    let is_holder = has_waited && is_informed && is_undisputed(state, now);
    is_holder && is_read_recent && is_list_stable && state.is_ready()
}

/// Returns whether no call is running, so that several stage changes at once cost nothing.
fn is_service_idle(state: &State, service: &str) -> bool {
    state.directory.in_service(service).all(|(_, endpoint)| endpoint.total_calls() == 0)
}

/// Picks a prefill endpoint that isn't needed: the one with the least work in the data centre with
/// the most prefill endpoints.
fn pick_surplus(state: &State, service: &str, now: Duration) -> Option<EndpointKey> {
    let is_ordered = |key: &EndpointKey| state.roles.ordered.contains_key(key);
    let prefill: Vec<_> = state
        .directory
        .in_stage(service, Stage::Prefill)
        .filter(|(key, _)| !is_ordered(key))
        .collect();
    let decode = state.directory.in_stage(service, Stage::Decode).count();
    let changing = state.directory.in_stage(service, Stage::Prefill).count() - prefill.len();
    let total = prefill.len() + decode + changing;
    let memory = state.routes.engine(service)?.memory_tokens;
    let slots = state.directory.in_service(service).map(|(_, e)| e.info.slots).min()?;
    let required = ((total as f64 * prefill_fraction(memory, slots)).floor() as usize)
        .max(MIN_PREFILL_ENDPOINTS);
    if prefill.len() <= required {
        return None;
    }
    let count_in =
        |place: &str| prefill.iter().filter(|(_, e)| e.info.data_centre == place).count();
    let rank = |e: &crate::state::Endpoint| {
        let count = count_in(&e.info.data_centre);
        (std::cmp::Reverse(count), e.total_tokens(), e.info.instance.clone())
    };
    let willing = prefill.iter().filter(|(_, endpoint)| endpoint.accepts_work(now));
    willing.min_by_key(|(_, endpoint)| rank(endpoint)).map(|(key, _)| *key)
}

/// Returns the fraction of a service's endpoints that should be prefill endpoints. It compares a
/// completion's share of a prefill endpoint's time with its share of a decode endpoint's memory or
/// slots, whichever is scarcer. Nothing has been measured at the start, so typical completions are
/// assumed; decode endpoints that read prompts make up for the error.
fn prefill_fraction(memory: u32, slots: u32) -> f64 {
    let share =
        (TYPICAL_DECODE_TOKENS / f64::from(memory.max(1))).max(1.0 / f64::from(slots.max(1)));
    let decode_seconds = TYPICAL_DECODE_SECONDS * share;
    TYPICAL_PREFILL_SECONDS / (TYPICAL_PREFILL_SECONDS + decode_seconds)
}

/// Orders an endpoint to change its stage. The fencing number follows the store's era and revision,
/// which together only grow, so it is higher than all numbers that any daemon used before, also
/// after a restart.
fn send_order(ctx: &mut Context<'_>, endpoint: EndpointKey, stage: Stage) {
    let Some(target) = ctx.state.directory.target(endpoint) else { return };
    let revision = ctx.state.directory.revision;
    let roles = &mut ctx.state.roles;
    let number =
        (revision.era.min(MAX_ERA) << ERA_SHIFT) + (revision.number.min(MAX_NUMBER) << ORDER_BITS);
    roles.last_fence = number.max(roles.last_fence + 1);
    roles.order_count += 1;
    roles.last_order = ctx.now;
    roles.ordered.insert(endpoint, ctx.now);
    let fence = roles.last_fence;
    let line = LogLine::new("order")
        .with("instance", &target.instance)
        .with("stage", stage.as_str())
        .with("fence", fence)
        .with("revision", revision);
    ctx.log(line);
    ctx.push(Effect::Order { target, stage, fence });
}

/// Bits of a fencing number for the orders between two revisions of the store: 256 orders.
const ORDER_BITS: u32 = 8;

/// Position of the era in a fencing number, above 2^36 revisions. With up to 2^9 eras the number is
/// still exact if it is read as a floating-point number, as in JSON.
const ERA_SHIFT: u32 = 44;

/// The last era that fits into a fencing number. A damaged answer of the store may contain any era.
const MAX_ERA: u64 = (1 << (u64::BITS - 1 - ERA_SHIFT)) - 1;

/// The last revision that a fencing number can follow. A damaged answer may contain any, and the numbers
/// must still rise behind it.
const MAX_NUMBER: u64 = u64::MAX >> (ORDER_BITS + 1);
