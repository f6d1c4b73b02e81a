//! Entries' limits, over all daemons.
//!
//! A daemon whose callers use an entry often leases part of its limits from the entry's steward. One
//! whose callers use it now and then takes what they want and tells the steward of each call; when
//! the limit is used up the steward refuses, and calls of which nothing was sent yet are refused.
//! A daemon that can't reach a steward stays within the limit over the number of listed VMs.

mod ask;
mod steward;

use basilbank_wire::{AskLimit, LimitLease, LimitRefusal, Message};

pub use self::ask::tick;
use crate::{
    catalogue::Limits,
    effect::Effect,
    ids::{EntryId, RequestKey, VmId},
    reason::Refusal,
    reduce::settle,
    state::{AttemptStage, LimitShare, RequestStage, State, Usage},
    time::Now,
};

/// Takes one request with its prompt and most generated tokens from an entry's limits.
///
/// # Errors
/// The limit that is used up; nothing is taken then.
pub fn take(
    state: &mut State,
    now: Now,
    entry: EntryId,
    tokens: u32,
    out: &mut Vec<Effect>,
) -> Result<(), Refusal> {
    let Some(limits) = limits(state, entry) else { return Ok(()) };
    let part = own_part(state, &limits);
    let usage = state.limits.used.entry(entry);
    let usage = usage.or_insert_with(|| Usage::new(&part, now.mono));
    usage.want(tokens, now.mono);
    usage.expire(now.mono);
    ask::before(state, now, entry, out);
    let can_tell = can_tell(state, entry);
    let Some(usage) = state.limits.used.get_mut(&entry) else { return Ok(()) };
    if let Some((refusal, _)) = usage.refused {
        ask::after_refusal(state, now, entry, out);
        return Err(refusal);
    }
    let is_told = usage.lease.is_none() && can_tell && !usage.is_dense(now.mono);
    if !is_told {
        let share = usage.lease.map_or(part, |(share, _)| share);
        if let Err(refusal) = usage.take(&limits, &share, tokens, now.mono) {
            ask::after_refusal(state, now, entry, out);
            return Err(refusal);
        }
    }
    usage.running += 1;
    if usage.lease.is_some() {
        return Ok(());
    }
    usage.untold_requests += 1;
    usage.untold_tokens += i64::from(tokens);
    ask::after_taking(state, now, entry, tokens, out)
}

/// Gives back what an ended request took but did not use.
pub fn give_back(state: &mut State, now: Now, entry: EntryId, unused: u32) {
    if let Some(usage) = state.limits.used.get_mut(&entry) {
        usage.give_back(unused);
        usage.touched = now.mono;
    }
}

/// A daemon asks this one, as an entry's steward, for part of the limit.
pub fn asked(state: &mut State, now: Now, from: VmId, ask: &AskLimit, out: &mut Vec<Effect>) {
    if let Some(lease) = steward::decide(state, now, from, ask) {
        let message = Message::from(basilbank_wire::Body::Lease(lease));
        out.push(Effect::Send { to: from, message });
    }
}

/// An entry's steward leases part of the limit to this daemon, or refuses what it took without.
pub fn leased(state: &mut State, now: Now, from: VmId, lease: &LimitLease, out: &mut Vec<Effect>) {
    let entry = EntryId(lease.entry);
    let Some(usage) = state.limits.used.get_mut(&entry) else { return };
    if usage.asked.is_none_or(|(vm, _)| vm != from) {
        return;
    }
    if let Some(refusal) = apply(usage, now, lease) {
        refuse_waiting(state, now, entry, refusal, out);
    }
}

/// Takes a steward's answer over, and gives the refusal that it may be.
fn apply(usage: &mut Usage, now: Now, lease: &LimitLease) -> Option<Refusal> {
    let until = now.mono + std::time::Duration::from_millis(u64::from(lease.ttl));
    let refusal = match lease.refused() {
        LimitRefusal::Nothing => {
            usage.set_lease(LimitShare::of(lease), until, now.mono);
            return None;
        }
        LimitRefusal::Requests => Refusal::RequestLimit,
        LimitRefusal::Tokens => Refusal::TokenLimit,
        LimitRefusal::Concurrent => Refusal::ConcurrentLimit,
    };
    usage.refused = Some((refusal, until));
    Some(refusal)
}

/// Refuses the calls that were taken on trust and of which nothing was sent yet.
fn refuse_waiting(
    state: &mut State,
    now: Now,
    entry: EntryId,
    refusal: Refusal,
    out: &mut Vec<Effect>,
) {
    let fresh = state.local.tuning.peer_timeout * 4;
    let recent = state.requests.arena.iter().filter(|(_, r)| {
        r.entry == entry && !r.risked && now.mono.saturating_sub(r.accepted) <= fresh
    });
    let unsent: Vec<_> = recent.map(|(key, _)| key).filter(|key| is_unsent(state, *key)).collect();
    for key in unsent {
        let taken = state.requests.arena[key].taken;
        if let Some(usage) = state.limits.used.get_mut(&entry) {
            // The steward did not count them, so giving them back must not either.
            usage.untold_tokens += i64::from(taken);
        }
        settle::refuse(state, now, key, refusal, out);
    }
}

fn is_unsent(state: &State, key: RequestKey) -> bool {
    match state.requests.arena[key].stage {
        RequestStage::Claiming => false,
        RequestStage::Waiting => true,
        RequestStage::Running(attempt) => {
            let stage = state.requests.attempts.get(attempt).map(|a| a.stage);
            matches!(stage, Some(AttemptStage::Slot | AttemptStage::Queue))
        }
    }
}

/// An entry's limits, if it has any.
fn limits(state: &State, entry: EntryId) -> Option<Limits> {
    let limits = state.view.entry(entry)?.limits;
    let is_limited = 0.0 < limits.requests || 0.0 < limits.tokens || 0 < limits.concurrent;
    is_limited.then_some(limits)
}

/// This daemon's part of an entry's limits when nobody can be asked.
fn own_part(state: &State, limits: &Limits) -> LimitShare {
    let listed = state.members.ring().len().max(1);
    LimitShare::fraction(limits, 1.0 / listed as f64)
}

/// Whether there is a steward who would refuse if the limit were used up.
fn can_tell(state: &State, entry: EntryId) -> bool {
    let presence = &state.members.presence;
    presence.listed && presence.waiting.is_none() && state.members.steward(entry.0).is_some()
}
