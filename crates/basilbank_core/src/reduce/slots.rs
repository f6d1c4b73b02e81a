//! Grants and denies the slots of the endpoints that this daemon owns.

mod takeover;

use std::time::Duration;

use basilbank_wire::{Body, Deny, DenyReason, Grant, Preempt, Release, Reserve};

pub use self::takeover::{on_ask_holds, on_holds, on_members_changed, on_pause};
use self::takeover::{open_ledger, request_holds, update_ledgers};
use crate::{
    effect::{Effect, Progress},
    ids::{EndpointId, EntryId, RequestId, VmId},
    reduce::{health, order, peer, queue, reserve},
    state::{Ledger, PriorityGroup, SlotKey, SlotLease, State, Timer, Waiter},
    time::Now,
};

/// Time between two checks of leases and waiting reservations.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Handles a daemon's request for a slot at an endpoint that this daemon owns.
pub fn on_reserve(state: &mut State, now: Now, from: VmId, ask: &Reserve, out: &mut Vec<Effect>) {
    let endpoint = EndpointId(ask.endpoint);
    let key = SlotKey { endpoint, request: RequestId(ask.request), attempt: ask.attempt };
    if let Some(reason) = denial_reason(state, endpoint) {
        return send_denial(state, key, from, reason, Duration::ZERO, out);
    }
    open_ledger(state, now, endpoint, out);
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    if let Some(lease) = ledger.leases.get_mut(&key) {
        lease.expires_at = now.mono + state.local.tuning.slot_lease;
        let lent = lease.lent;
        return send_grant(state, key, from, lent, out);
    }
    let mut waiter = new_waiter(now, key, from, ask);
    // This daemon reads the endpoint's cache events, so it may know more than the daemon that asks.
    if ask.block != 0 && state.health.prefixes.contains(ask.block, endpoint) {
        waiter.tokens = waiter.tokens.min(ask.sent.saturating_sub(ask.cached));
    }
    ledger.enqueue(waiter, now.mono);
    grant_waiting(state, now, endpoint, out);
    deny_if_too_late(state, now, key, out);
}

/// Denies a reservation that can't be granted in the time it may wait.
fn deny_if_too_late(state: &mut State, now: Now, key: SlotKey, out: &mut Vec<Effect>) {
    let Some(ledger) = state.slots.ledgers.get_mut(&key.endpoint) else { return };
    if ledger.waiting.position(key).is_some_and(|(group, _)| group == PriorityGroup::Late) {
        ledger.record_late_wait(now.mono);
    }
    let Some(wait) = queue::estimate_wait(ledger, &state.view, key, now) else { return };
    if ledger.waiting.get(key).is_none_or(|w| now.mono + wait <= w.deadline) {
        return;
    }
    if let Some(waiter) = ledger.waiting.remove(key) {
        send_denial(state, key, waiter.vm, DenyReason::Full, wait, out);
    }
}

fn new_waiter(now: Now, key: SlotKey, vm: VmId, ask: &Reserve) -> Waiter {
    let time_left = i64::from(ask.slack) - i64::from(ask.lead);
    let time_left = Duration::from_millis(time_left.max(0).unsigned_abs());
    // A request that has missed its target is due at time zero, so it counts as late.
    let due = if time_left.is_zero() { Duration::ZERO } else { now.mono + time_left };
    Waiter {
        key,
        vm,
        entry: EntryId(ask.entry),
        tokens: ask.tokens,
        transfer_tokens: ask.sent,
        due,
        deadline: now.mono + Duration::from_millis(ask.wait.into()),
        arrived_at: now.mono,
        begun: ask.begun,
        can_preempt: ask.first,
    }
}

/// Returns why this daemon may grant nothing at an endpoint, if so.
fn denial_reason(state: &State, endpoint: EndpointId) -> Option<DenyReason> {
    if state.members.owner(endpoint.0) != Some(state.local.vm) {
        return Some(DenyReason::NotSteward);
    }
    if !state.members.may_decide() {
        return Some(DenyReason::Isolated);
    }
    let known = state.view.endpoint(endpoint);
    let serves = known.is_some_and(|e| !e.leaving) && state.health.is_usable(endpoint);
    if !serves || order::is_draining(state, endpoint) {
        return Some(DenyReason::Leaving);
    }
    None
}

/// Grants free slots to waiting reservations. Nothing is granted at an endpoint that was just found
/// to be leaving; the next tick denies the reservations that wait there.
pub fn grant_waiting(state: &mut State, now: Now, endpoint: EndpointId, out: &mut Vec<Effect>) {
    if denial_reason(state, endpoint).is_some() {
        return;
    }
    loop {
        let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
        let Some(choice) = queue::next_reservation(ledger, &state.view, now) else { break };
        let Some(waiter) = ledger.waiting.remove(choice.key) else { break };
        let lease = SlotLease {
            vm: waiter.vm,
            entry: waiter.entry,
            tokens: waiter.tokens,
            transfer_tokens: waiter.transfer_tokens,
            granted_at: now.mono,
            expires_at: now.mono + state.local.tuning.slot_lease,
            done_at: now.mono,
            lent: choice.lent,
            preempted_at: None,
        };
        if choice.group == PriorityGroup::Late {
            ledger.late_granted = now.mono;
        }
        ledger.add_lease(waiter.key, lease);
        send_grant(state, waiter.key, waiter.vm, choice.lent, out);
    }
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    let at = ledger.ready_at();
    if !ledger.waiting.is_empty() && 0 < ledger.free_slots() && ledger.timer_at < at {
        ledger.timer_at = at;
        state.timers.set(at, Timer::GrantSlots(endpoint));
    }
}

fn send_grant(state: &mut State, key: SlotKey, to: VmId, lent: bool, out: &mut Vec<Effect>) {
    let free = state.slots.ledgers.get(&key.endpoint).map_or(0, Ledger::free_slots);
    let lease = u32::try_from(state.local.tuning.slot_lease.as_millis()).unwrap_or(u32::MAX);
    let grant = Grant {
        endpoint: key.endpoint.0,
        request: key.request.0,
        attempt: key.attempt,
        lease,
        free,
        lent,
    };
    peer::send(state, to, Body::Grant(grant), out);
}

fn send_denial(
    state: &mut State,
    key: SlotKey,
    to: VmId,
    reason: DenyReason,
    retry: Duration,
    out: &mut Vec<Effect>,
) {
    let deny = Deny {
        endpoint: key.endpoint.0,
        request: key.request.0,
        attempt: key.attempt,
        reason: reason.into(),
        retry: u32::try_from(retry.as_millis()).unwrap_or(u32::MAX),
    };
    peer::send(state, to, Body::Deny(deny), out);
}

/// Denies at once the reservations that can't be granted in the time they may wait. They may find a
/// slot elsewhere, and their callers learn it now and not at the end of the wait.
fn deny_too_late(state: &mut State, now: Now, endpoint: EndpointId, out: &mut Vec<Effect>) {
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    let (too_late, wait) = queue::remove_infeasible(ledger, &state.view, now);
    for waiter in too_late {
        send_denial(state, waiter.key, waiter.vm, DenyReason::Full, wait, out);
    }
}

/// Takes lent slots back for entries that are guaranteed them and would otherwise miss their
/// targets.
fn preempt_lent(state: &mut State, now: Now, endpoint: EndpointId, out: &mut Vec<Effect>) {
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    for (key, vm) in queue::select_preemptions(ledger, &state.view, now) {
        let (endpoint, request, attempt) = (key.endpoint.0, key.request.0, key.attempt);
        let preempt = Preempt { endpoint, request, attempt };
        peer::send(state, vm, Body::Preempt(preempt), out);
    }
}

/// Handles a holder's release of a slot, or of a reservation that waits for one.
pub fn on_release(
    state: &mut State,
    now: Now,
    from: VmId,
    release: &Release,
    out: &mut Vec<Effect>,
) {
    let endpoint = EndpointId(release.endpoint);
    if release.stalled != 0 {
        health::on_transfer_stalled(state, now, endpoint, from, EndpointId(release.stalled), out);
    }
    let key = SlotKey { endpoint, request: RequestId(release.request), attempt: release.attempt };
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    let had_waiters = !ledger.waiting.is_empty();
    let is_withdrawn = ledger.waiting.remove(key).is_some();
    let is_ended = !is_withdrawn && ledger.end_lease(key, now.mono).is_some();
    if is_ended && release.full {
        ledger.record_full();
    } else if is_ended {
        ledger.record_served();
    }
    let is_freed = is_withdrawn || is_ended;
    if is_freed {
        if had_waiters {
            ledger.record_change(now.mono);
        }
        grant_waiting(state, now, endpoint, out);
    }
}

/// Expires leases and reservations, grants free slots, and runs the tick of the holder's side.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    state.timers.set(now.mono + TICK_INTERVAL, Timer::Slots);
    if state.slots.revision != state.view.catalogue.revision {
        update_ledgers(state, now, out);
    }
    let endpoints: Vec<_> = state.slots.ledgers.keys().copied().collect();
    for endpoint in endpoints {
        expire(state, now, endpoint, out);
        grant_waiting(state, now, endpoint, out);
        deny_too_late(state, now, endpoint, out);
        preempt_lent(state, now, endpoint, out);
    }
    reserve::tick(state, now, out);
}

fn expire(state: &mut State, now: Now, endpoint: EndpointId, out: &mut Vec<Effect>) {
    let denial = denial_reason(state, endpoint);
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    if ledger.rebuild.as_ref().is_some_and(|l| l.deadline <= now.mono) {
        ledger.rebuild = None;
    }
    if let Some(rebuild) = &ledger.rebuild {
        // The request or its answer may be lost or on its way; asking again does no harm.
        request_holds(endpoint, &rebuild.missing, out);
    }
    let expired = ledger.leases.iter().filter(|(_, lease)| lease.expires_at <= now.mono);
    let expired: Vec<_> = expired.map(|(key, _)| *key).collect();
    for key in &expired {
        ledger.end_lease(*key, now.mono);
    }
    if !expired.is_empty() {
        let fields =
            vec![("endpoint", endpoint.to_string()), ("leases", expired.len().to_string())];
        out.push(Effect::Progress(Progress::Note { name: "slot_leases_expired", fields }));
    }
    let is_ended = |w: &Waiter| denial.is_some() || w.deadline <= now.mono;
    let ended = ledger.waiting.remove_matching(|_, waiter, _, _| is_ended(waiter));
    let retry = ledger.expected_wait(now.mono);
    let reason = denial.unwrap_or(DenyReason::Full);
    for waiter in ended {
        send_denial(state, waiter.key, waiter.vm, reason, retry, out);
    }
}
