//! How many endpoints read prompts and how many generate.
//!
//! A draft holds a decode endpoint's memory for seconds and a prefill endpoint for a tenth of one.
//! With more prefill endpoints than prompts need, drafts wait for decode memory beside idle
//! endpoints.

use std::time::Duration;

use basilbank_core::time::Now;

use super::Context;
use crate::{
    effect::Effect,
    endpoint::{EndpointKey, Stage},
    event::Acceptance,
    log_line::LogLine,
    state::{State, roles::OrderRight},
};

/// Seconds for which a usual draft keeps a prefill endpoint busy: 3,200 tokens at 33 a millisecond.
const TYPICAL_PREFILL_SECONDS: f64 = 0.1;

/// Seconds for which a usual draft keeps decode memory: some 560 tokens of 5 to 6 ms.
const TYPICAL_DECODE_SECONDS: f64 = 3.0;

/// Tokens of memory that a usual draft keeps meanwhile, on average.
const TYPICAL_DECODE_TOKENS: f64 = 3500.0;

/// Fewer prefill endpoints than this are never left: one may crash.
const MIN_PREFILL_ENDPOINTS: usize = 2;

/// The list of endpoints has been complete for this long before the first order: about a heartbeat,
/// which shows an endpoint that is only slow to register.
const MIN_LIST_STABILITY: Duration = Duration::from_millis(1000);

/// Silence before a daemon orders that did not start with the whole system. An older holder orders
/// only after a read of the store within [`MAX_READ_AGE`], so its last order is long over.
const ORDER_SILENCE: Duration = Duration::from_secs(10);

/// A read of the store older than this gives no right to order: the daemon may be cut off or may
/// just have been frozen.
const MAX_READ_AGE: Duration = Duration::from_millis(2500);

/// How long it takes until the list says what an endpoint's stage is: a heartbeat and a read.
const STAGE_LISTING_DELAY: Duration = Duration::from_millis(2500);

/// Least jump between the clocks that is taken for a suspension: beyond what a clock's adjustment
/// makes between two events.
const MIN_SUSPENSION: Duration = Duration::from_millis(500);

/// Pause between orders besides the time of the change itself.
const ORDER_PAUSE: Duration = Duration::from_secs(2);

/// The settings say whether this daemon orders. A right that was lost and comes back begins anew.
pub fn set_order_right(ctx: &mut Context<'_>, right: OrderRight) {
    let roles = &mut ctx.state.roles;
    if roles.right != right {
        roles.right = right;
        roles.since = ctx.now;
    }
}

/// An endpoint answered an order. One that was refused is not repeated: without the right to know
/// why, nothing is the safe choice.
pub fn handle_order_answer(ctx: &mut Context<'_>, endpoint: EndpointKey, accepted: Acceptance) {
    let switch = ctx.state.directory.get(endpoint).and_then(|e| {
        let engine = ctx.state.routes.engine(&e.info.service)?;
        Some(engine.switch)
    });
    let (Some(switch), true) = (switch, accepted != Acceptance::Refused) else { return };
    let until = ctx.now + switch + STAGE_LISTING_DELAY;
    if let Some(endpoint) = ctx.state.directory.get_mut(endpoint) {
        endpoint.shun(until);
    }
    ctx.state.peers.changed = true;
}

/// Notices that the process stood still.
///
/// The steady clock doesn't count the time for which a Vm was suspended, so all that the daemon knows
/// looks as fresh as before, and it would go on ordering while another one has the right by now. The
/// time of day does count it. A time of day that was set looks the same; the silence costs nothing
/// then.
pub fn detect_suspension(ctx: &mut Context<'_>, now: Now) {
    let offset = i128::from(now.unix_ms()) - now.mono.as_millis() as i128;
    let previous = ctx.state.roles.offset.replace(offset);
    let Some(jump) = previous.map(|previous| offset - previous) else { return };
    if jump.unsigned_abs() < MIN_SUSPENSION.as_millis() {
        return;
    }
    ctx.log(LogLine::new("clock_jump").with("jump_ms", jump));
    let roles = &mut ctx.state.roles;
    roles.since = ctx.now;
    if roles.right == OrderRight::AtOnce {
        roles.right = OrderRight::AfterSilence;
    }
}

/// Looks whether an order is due.
pub fn tick(ctx: &mut Context<'_>) {
    if !can_order(ctx.state, ctx.now) {
        return;
    }
    let services: Vec<_> = ctx.state.routes.services.keys().cloned().collect();
    for service in services {
        let Some(engine) = ctx.state.routes.engine(&service) else { continue };
        if !is_service_idle(ctx.state, &service)
            && ctx.now < ctx.state.roles.last + engine.switch + ORDER_PAUSE
        {
            continue;
        }
        if let Some(endpoint) = pick_surplus(ctx.state, &service) {
            send_order(ctx, endpoint, Stage::Decode);
        }
    }
}

fn can_order(state: &State, now: Duration) -> bool {
    let roles = &state.roles;
    let silent = match roles.right {
        OrderRight::None => return false,
        OrderRight::AtOnce => true,
        OrderRight::AfterSilence => roles.since + ORDER_SILENCE <= now,
    };
    let fresh = now < state.directory.read_at + MAX_READ_AGE;
    let settled = roles.grew + MIN_LIST_STABILITY <= now;
    silent && fresh && settled && state.ready()
}

/// Nothing runs yet: several changes at once cost nobody anything.
fn is_service_idle(state: &State, service: &str) -> bool {
    state.directory.service(service).all(|(_, endpoint)| endpoint.all_calls() == 0)
}

/// A prefill endpoint that isn't needed: of the data centre with the most, one that has least to do.
fn pick_surplus(state: &State, service: &str) -> Option<EndpointKey> {
    let is_ordered = |key: &EndpointKey| state.roles.ordered.contains_key(key);
    let prefill: Vec<_> = state
        .directory
        .stage(service, Stage::Prefill)
        .filter(|(key, _)| !is_ordered(key))
        .collect();
    let decode = state.directory.stage(service, Stage::Decode).count();
    let changing = state.directory.stage(service, Stage::Prefill).count() - prefill.len();
    let all = prefill.len() + decode + changing;
    let memory = state.routes.engine(service)?.memory;
    let slots = state.directory.service(service).map(|(_, e)| e.info.slots).min()?;
    let required = ((all as f64 * prefill_fraction(memory, slots)).floor() as usize)
        .max(MIN_PREFILL_ENDPOINTS);
    if prefill.len() <= required {
        return None;
    }
    let count_in =
        |place: &str| prefill.iter().filter(|(_, e)| e.info.data_centre == place).count();
    let rank = |e: &crate::state::Endpoint| {
        let count = count_in(&e.info.data_centre);
        (std::cmp::Reverse(count), e.all_tokens(), e.info.instance.clone())
    };
    prefill.iter().min_by_key(|(_, endpoint)| rank(endpoint)).map(|(key, _)| *key)
}

/// Part of a service's endpoints that should read prompts: a draft's share of a prefill endpoint's
/// time against its share of a decode endpoint's memory or slots, whichever is scarcer. At the start
/// nothing has been measured, so usual drafts are assumed; what is wrong with that, decode endpoints
/// that read prompts make good.
fn prefill_fraction(memory: u32, slots: u32) -> f64 {
    let share =
        (TYPICAL_DECODE_TOKENS / f64::from(memory.max(1))).max(1.0 / f64::from(slots.max(1)));
    let decode_seconds = TYPICAL_DECODE_SECONDS * share;
    TYPICAL_PREFILL_SECONDS / (TYPICAL_PREFILL_SECONDS + decode_seconds)
}

/// The fencing number follows the store's era and revision, which together only grow, so that it is higher
/// than all that any daemon used before, also after a restart.
fn send_order(ctx: &mut Context<'_>, endpoint: EndpointKey, stage: Stage) {
    let Some(target) = ctx.state.directory.target(endpoint) else { return };
    let revision = ctx.state.directory.revision;
    let roles = &mut ctx.state.roles;
    let number = (revision.era.min(MAX_ERA) << ERA_SHIFT) + (revision.number << ORDER_BITS);
    roles.fence = number.max(roles.fence + 1);
    roles.orders += 1;
    roles.last = ctx.now;
    roles.ordered.insert(endpoint, ctx.now);
    let fence = roles.fence;
    let line = LogLine::new("order")
        .with("instance", &target.instance)
        .with("stage", stage.as_str())
        .with("fence", fence)
        .with("revision", revision);
    ctx.log(line);
    ctx.push(Effect::Order { target, stage, fence });
}

/// Orders between two revisions of the store: 256.
const ORDER_BITS: u32 = 8;

/// Where the era stands in a fencing number: above 2^36 revisions. With 2^9 eras before it the number is
/// still exact where it is read as a floating-point one, as in JSON.
const ERA_SHIFT: u32 = 44;

/// The last era that fits: a damaged answer may name any.
const MAX_ERA: u64 = (1 << (u64::BITS - 1 - ERA_SHIFT)) - 1;
