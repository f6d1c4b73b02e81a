//! Decides when to ask an entry's owner for a lease, and what to report to it.

use std::time::Duration;

use basilbank_wire::{AskLimit, Body, Message};

use super::{apply_lease, limits, owner};
use crate::{
    catalogue::Limits,
    effect::Effect,
    ids::{EntryId, VmId},
    reason::Refusal,
    state::{LimitDemand, State, Timer, Usage},
    time::Now,
};

/// Time between two checks for reports that are due.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Remaining time of a lease from which it is renewed.
const RENEWAL_MARGIN: Duration = Duration::from_secs(1);
/// Minimum time between two requests for a lease.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two requests for more when a lease is nearly used up.
const MIN_EXTENSION_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two requests for more when the lease is a ration, since there is no more to
/// give.
const MIN_RATION_EXTENSION_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two reports of requests in progress without a lease, so that a new owner learns of
/// them.
const RUNNING_REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// A lease is renewed only if calls arrived within this time.
const RECENT_USE_PERIOD: Duration = Duration::from_secs(10);
/// Time after which an unused entry is forgotten.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Renews leases, sends what is unreported, and forgets entries that are idle.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    state.timers.set(now.mono + TICK_INTERVAL, Timer::Limits);
    owner::forget_idle(state, now);
    let entries: Vec<_> = state.limits.usages.keys().copied().collect();
    for entry in entries {
        let limits = limits(state, entry);
        let Some(usage) = state.limits.usages.get_mut(&entry) else { continue };
        usage.expire_lease(now.mono);
        let Some(limits) = limits.filter(|l| !usage.is_idle(l, IDLE_TIMEOUT, now.mono)) else {
            state.limits.usages.remove(&entry);
            continue;
        };
        if is_due(usage, &limits, now) {
            send_report(state, now, entry, out);
        }
    }
}

/// Asks for the first lease before a call is taken, when calls begin to arrive often.
pub fn request_first_lease(state: &mut State, now: Now, entry: EntryId, out: &mut Vec<Effect>) {
    let Some(usage) = state.limits.usages.get(&entry) else { return };
    let is_own = state.members.owner(entry.0) == Some(state.local.vm);
    let is_wanted = usage.lease.is_none() && usage.trusted_until <= now.mono;
    if is_own && is_wanted && usage.is_frequent(now.mono) {
        send_report(state, now, entry, out);
    }
}

/// Asks for more, unless it was asked for a moment ago.
pub fn request_more(state: &mut State, now: Now, entry: EntryId, out: &mut Vec<Effect>) {
    let Some(usage) = state.limits.usages.get(&entry) else { return };
    let interval =
        if usage.is_rationed() { MIN_RATION_EXTENSION_INTERVAL } else { MIN_EXTENSION_INTERVAL };
    if usage.is_frequent(now.mono) && has_passed(usage.last_asked, interval, now) {
        send_report(state, now, entry, out);
    }
}

/// Reports a call that was taken without a lease to the owner.
///
/// # Errors
/// Returns the limit that is used up, if this daemon is the owner. The call is not counted as
/// running then.
pub fn report_taken(
    state: &mut State,
    now: Now,
    entry: EntryId,
    out: &mut Vec<Effect>,
) -> Result<(), Refusal> {
    let Some(refusal) = send_report(state, now, entry, out) else { return Ok(()) };
    if let Some(usage) = state.limits.usages.get_mut(&entry) {
        usage.running -= 1;
    }
    Err(refusal)
}

fn is_due(usage: &Usage, limits: &Limits, now: Now) -> bool {
    let is_frequent = usage.is_frequent(now.mono);
    if let Some((_, until)) = usage.lease {
        let is_used = is_frequent || now.mono < usage.last_used + RECENT_USE_PERIOD;
        return is_used
            && until <= now.mono + RENEWAL_MARGIN
            && has_passed(usage.last_asked, MIN_REQUEST_INTERVAL, now);
    }
    let is_wanted = is_frequent
        && now.mono < usage.last_used + RENEWAL_MARGIN
        && has_passed(usage.last_asked, MIN_REQUEST_INTERVAL, now);
    let is_running = 0 < usage.running && 0 < limits.concurrent;
    is_wanted
        || usage.has_unreported(limits)
        || (is_running && has_passed(usage.last_asked, RUNNING_REPORT_INTERVAL, now))
}

fn has_passed(last_request: Option<(VmId, Duration)>, interval: Duration, now: Now) -> bool {
    last_request.is_none_or(|(_, at)| at + interval <= now.mono)
}

/// Sends a report, which also asks for a lease if one is wanted. Returns the refusal if this daemon
/// is the owner itself.
fn send_report(
    state: &mut State,
    now: Now,
    entry: EntryId,
    out: &mut Vec<Effect>,
) -> Option<Refusal> {
    let to = state.members.owner(entry.0)?;
    let usage = state.limits.usages.get_mut(&entry)?;
    let message = new_report(usage, entry, now);
    usage.last_asked = Some((to, now.mono));
    usage.unreported_requests = 0;
    usage.unreported_tokens = 0;
    usage.reported_running = usage.running;
    if to != state.local.vm {
        let message = Message::from(Body::AskLimit(message));
        out.push(Effect::Send { to, message });
        return None;
    }
    let lease = owner::answer_report(state, now, to, &message)?;
    apply_lease(state, now, &lease)
}

fn new_report(usage: &Usage, entry: EntryId, now: Now) -> AskLimit {
    let mut ask = AskLimit {
        entry: entry.0,
        running: usage.running,
        taken: usage.unreported_requests,
        taken_tokens: usage.unreported_tokens,
        ..AskLimit::default()
    };
    if !usage.is_frequent(now.mono) && usage.lease.is_none() {
        return ask;
    }
    let demand: LimitDemand = usage.demand(now.mono);
    demand.write_to(&mut ask);
    if let Some((share, _)) = usage.lease {
        ask.held = (share.requests * 1000.0) as u64;
        ask.held_tokens = share.tokens as u64;
    }
    ask
}
