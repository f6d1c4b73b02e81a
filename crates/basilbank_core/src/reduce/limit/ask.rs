//! What an entry's steward is asked and told, and when.

use std::time::Duration;

use basilbank_wire::{AskLimit, Body, Message};

use super::{apply, limits, steward};
use crate::{
    catalogue::Limits,
    effect::Effect,
    ids::{EntryId, VmId},
    reason::Refusal,
    state::{LimitDemand, State, Timer, Usage},
    time::Now,
};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(250);
/// A lease is renewed when it has this long to go.
const RENEW: Duration = Duration::from_secs(1);
/// A daemon without a lease asks again after this.
const AGAIN: Duration = Duration::from_millis(250);
/// A daemon whose lease is nearly used up asks for more after this.
const SOON: Duration = Duration::from_millis(100);
/// One whose lease is a ration asks after this: nobody has more to give.
const RATION_SOON: Duration = Duration::from_secs(2);
/// Requests in progress without a lease are told again after this, so that a new steward learns of
/// them.
const TELL_AGAIN: Duration = Duration::from_secs(10);
/// A lease is renewed if calls came within this time.
const USED: Duration = Duration::from_secs(10);
/// An entry that was not used for this long is forgotten.
const IDLE: Duration = Duration::from_secs(60);

/// Renews leases, tells what is untold, and forgets what is idle.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    state.timers.set(now.mono + TICK, Timer::Limits);
    steward::forget(state, now);
    let entries: Vec<_> = state.limits.used.keys().copied().collect();
    for entry in entries {
        let limits = limits(state, entry);
        let Some(usage) = state.limits.used.get_mut(&entry) else { continue };
        usage.expire(now.mono);
        let Some(limits) = limits.filter(|l| !usage.is_idle(l, IDLE, now.mono)) else {
            state.limits.used.remove(&entry);
            continue;
        };
        if is_due(usage, &limits, now) {
            ask(state, now, entry, out);
        }
    }
}

/// Asks before a call is taken: for the first lease, when calls begin to come often.
pub fn before(state: &mut State, now: Now, entry: EntryId, out: &mut Vec<Effect>) {
    let Some(usage) = state.limits.used.get(&entry) else { return };
    let is_own = state.members.steward(entry.0) == Some(state.local.vm);
    let is_wanted = usage.lease.is_none() && usage.trusted <= now.mono;
    if is_own && is_wanted && usage.is_dense(now.mono) {
        ask(state, now, entry, out);
    }
}

/// Asks for more, unless that was done a moment ago.
pub fn more(state: &mut State, now: Now, entry: EntryId, out: &mut Vec<Effect>) {
    let Some(usage) = state.limits.used.get(&entry) else { return };
    let wait = if usage.is_rationed() { RATION_SOON } else { SOON };
    if usage.is_dense(now.mono) && is_past(usage.asked, wait, now) {
        ask(state, now, entry, out);
    }
}

/// Tells the steward of a call that was taken without a lease.
///
/// # Errors
/// This daemon is the steward, and the limit is used up; the call is given back.
pub fn after_taking(
    state: &mut State,
    now: Now,
    entry: EntryId,
    out: &mut Vec<Effect>,
) -> Result<(), Refusal> {
    let Some(refusal) = ask(state, now, entry, out) else { return Ok(()) };
    if let Some(usage) = state.limits.used.get_mut(&entry) {
        usage.running -= 1;
    }
    Err(refusal)
}

fn is_due(usage: &Usage, limits: &Limits, now: Now) -> bool {
    let is_dense = usage.is_dense(now.mono);
    if let Some((_, until)) = usage.lease {
        let is_used = is_dense || now.mono < usage.touched + USED;
        return is_used && until <= now.mono + RENEW && is_past(usage.asked, AGAIN, now);
    }
    let is_wanted =
        is_dense && now.mono < usage.touched + RENEW && is_past(usage.asked, AGAIN, now);
    let is_running = 0 < usage.running && 0 < limits.concurrent;
    is_wanted || usage.is_untold(limits) || (is_running && is_past(usage.asked, TELL_AGAIN, now))
}

fn is_past(asked: Option<(VmId, Duration)>, time: Duration, now: Now) -> bool {
    asked.is_none_or(|(_, at)| at + time <= now.mono)
}

/// Asks and tells; gives the refusal when this daemon is the steward itself.
fn ask(state: &mut State, now: Now, entry: EntryId, out: &mut Vec<Effect>) -> Option<Refusal> {
    let to = state.members.steward(entry.0)?;
    let usage = state.limits.used.get_mut(&entry)?;
    let message = message(usage, entry, now);
    usage.asked = Some((to, now.mono));
    usage.untold_requests = 0;
    usage.untold_tokens = 0;
    usage.told_running = usage.running;
    if to != state.local.vm {
        let message = Message::from(Body::AskLimit(message));
        out.push(Effect::Send { to, message });
        return None;
    }
    let lease = steward::decide(state, now, to, &message)?;
    apply(state, now, &lease)
}

fn message(usage: &Usage, entry: EntryId, now: Now) -> AskLimit {
    let mut ask = AskLimit {
        entry: entry.0,
        running: usage.running,
        taken: usage.untold_requests,
        taken_tokens: usage.untold_tokens,
        ..AskLimit::default()
    };
    if !usage.is_dense(now.mono) && usage.lease.is_none() {
        return ask;
    }
    let demand: LimitDemand = usage.demand(now.mono);
    demand.write(&mut ask);
    if let Some((share, _)) = usage.lease {
        ask.held = (share.requests * 1000.0) as u64;
        ask.held_tokens = share.tokens as u64;
    }
    ask
}
