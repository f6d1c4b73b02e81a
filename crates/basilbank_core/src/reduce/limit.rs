//! Enforces entries' limits over all daemons.
//!
//! A daemon whose callers use an entry often leases a share of its limits from the entry's owner. A
//! daemon whose callers use it rarely takes what they want and reports each call to the owner. When
//! the limit is used up the owner refuses, and the calls that were not sent to an endpoint yet are
//! refused. A daemon that can't reach an owner stays within the limit divided by the number of
//! listed VMs.

mod holder;
mod owner;

use std::time::Duration;

use basilbank_wire::{AskLimit, Body, LimitAnswer, LimitLease, Message};

pub use self::holder::tick;
use crate::{
    catalogue::Limits,
    effect::Effect,
    ids::{EntryId, RequestKey, VmId},
    reason::Refusal,
    reduce::settle,
    state::{AttemptStage, LimitShare, RequestStage, State, Usage},
    time::Now,
};

/// Takes one request, with its prompt and its maximum number of generated tokens, from an entry's
/// limits.
///
/// # Errors
/// Returns the limit that is used up. Nothing is taken in that case.
pub fn take(
    state: &mut State,
    now: Now,
    entry: EntryId,
    tokens: u32,
    out: &mut Vec<Effect>,
) -> Result<(), Refusal> {
    let Some(limits) = limits(state, entry) else { return Ok(()) };
    let own_share = own_share(state, &limits);
    let usage = state.limits.usages.entry(entry);
    let usage = usage.or_insert_with(|| Usage::new(&own_share, now.mono));
    usage.record_call(tokens, now.mono);
    usage.expire_lease(now.mono);
    holder::request_first_lease(state, now, entry, out);
    let can_report = can_report(state, entry);
    let Some(usage) = state.limits.usages.get_mut(&entry) else { return Ok(()) };
    let is_trusted = !usage.is_frequent(now.mono) || now.mono < usage.trusted_until;
    let mut must_report = usage.lease.is_none() && can_report && is_trusted;
    if !must_report {
        let share = usage.lease.map_or(own_share, |(share, _)| share);
        let taken = usage.take(&limits, &share, tokens, now.mono);
        must_report = usage.lease.is_none();
        if let Err(refusal) = taken {
            let is_burst = refusal != Refusal::ConcurrentLimit && usage.lease.is_some();
            if !is_burst || !usage.is_ample || !can_report {
                holder::request_more(state, now, entry, out);
                return Err(refusal);
            }
            must_report = true;
        }
    }
    usage.running += 1;
    if must_report {
        usage.unreported_requests += 1;
        usage.unreported_tokens += i64::from(tokens);
        return holder::report_taken(state, now, entry, out);
    }
    if usage.needs_more(&limits) {
        holder::request_more(state, now, entry, out);
    }
    Ok(())
}

/// Gives back the tokens that an ended request took but did not use.
pub fn give_back(state: &mut State, now: Now, entry: EntryId, unused: u32) {
    if let Some(usage) = state.limits.usages.get_mut(&entry) {
        usage.give_back(unused);
        usage.last_used = now.mono;
    }
}

/// Answers a daemon that asks this one, the entry's owner, for a share of the limits.
pub fn on_ask_limit(
    state: &mut State,
    now: Now,
    from: VmId,
    ask: &AskLimit,
    out: &mut Vec<Effect>,
) {
    if let Some(lease) = owner::answer_report(state, now, from, ask) {
        let message = Message::from(Body::Lease(lease));
        out.push(Effect::Send { to: from, message });
    }
}

/// Handles the answer of an entry's owner: a lease, or a refusal of calls that were taken without
/// one.
pub fn on_lease(
    state: &mut State,
    now: Now,
    from: VmId,
    lease: &LimitLease,
    out: &mut Vec<Effect>,
) {
    let entry = EntryId(lease.entry);
    let asked = state.limits.usages.get(&entry).and_then(|usage| usage.last_asked);
    if asked.is_none_or(|(vm, _)| vm != from) {
        return;
    }
    if let Some(refusal) = apply_lease(state, now, lease) {
        refuse_unsent(state, now, entry, refusal, out);
    }
}

/// Applies an owner's answer, and returns the refusal if it is one.
fn apply_lease(state: &mut State, now: Now, lease: &LimitLease) -> Option<Refusal> {
    let chance = state.rng.unit();
    let usage = state.limits.usages.get_mut(&EntryId(lease.entry))?;
    let until = now.mono + Duration::from_millis(u64::from(lease.ttl));
    let share = LimitShare::from_lease(lease);
    let refusal = match lease.answer() {
        LimitAnswer::Leased | LimitAnswer::Ample => {
            usage.set_lease(share, until, now.mono);
            usage.is_ample = lease.answer() == LimitAnswer::Ample;
            return None;
        }
        LimitAnswer::Trusted => {
            usage.trusted_until = until;
            usage.lease = None;
            return None;
        }
        LimitAnswer::Rationed => {
            usage.set_ration(share, until, chance, now.mono);
            return None;
        }
        LimitAnswer::NoRequests => Refusal::RequestLimit,
        LimitAnswer::NoTokens => Refusal::TokenLimit,
        LimitAnswer::NoSlots => Refusal::ConcurrentLimit,
    };
    usage.set_ration(share, until, chance, now.mono);
    Some(refusal)
}

/// Handles the owner's refusal of calls that were taken without a lease. Those that were not sent
/// to an endpoint yet are refused; the others run and are counted as overdraft.
fn refuse_unsent(
    state: &mut State,
    now: Now,
    entry: EntryId,
    refusal: Refusal,
    out: &mut Vec<Effect>,
) {
    let window = state.local.tuning.peer_timeout;
    let recent = state.requests.arena.iter().filter(|(_, r)| {
        r.entry == entry && now.mono.saturating_sub(r.accepted_at) <= window && !r.limit_refused
    });
    let recent: Vec<_> = recent.map(|(key, request)| (key, request.limit_tokens)).collect();
    for (key, tokens) in recent {
        state.requests.arena[key].limit_refused = true;
        let is_unsent = is_unsent(state, key);
        let Some(usage) = state.limits.usages.get_mut(&entry) else { return };
        if is_unsent {
            settle::refuse(state, now, key, refusal, out);
        } else {
            usage.overdraw(tokens);
        }
    }
}

fn is_unsent(state: &State, key: RequestKey) -> bool {
    match state.requests.arena[key].stage {
        RequestStage::Claiming => false,
        RequestStage::Waiting => true,
        RequestStage::Running(attempt) => {
            let stage = state.requests.attempts.get(attempt).map(|a| a.stage);
            matches!(stage, Some(AttemptStage::WaitingForSlot | AttemptStage::WaitingForPrefill))
        }
    }
}

/// Returns an entry's limits, if it has any.
fn limits(state: &State, entry: EntryId) -> Option<Limits> {
    let limits = state.view.entry(entry)?.limits;
    let is_limited = 0.0 < limits.requests || 0.0 < limits.tokens || 0 < limits.concurrent;
    is_limited.then_some(limits)
}

/// Returns the share of an entry's limits that this daemon may use when it can't reach an owner.
fn own_share(state: &State, limits: &Limits) -> LimitShare {
    let listed = state.members.listed().len().max(1);
    LimitShare::fraction(limits, 1.0 / listed as f64)
}

/// Returns whether the entry has an owner that would refuse if the limit were used up.
fn can_report(state: &State, entry: EntryId) -> bool {
    let own_status = &state.members.own_status;
    own_status.has_list
        && own_status.rejoining_since.is_none()
        && state.members.owner(entry.0).is_some()
}
