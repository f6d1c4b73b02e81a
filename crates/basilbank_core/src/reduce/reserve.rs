//! The holder's side of slots: requesting, renewing and releasing them.

use std::time::Duration;

use basilbank_wire::{Body, Deny, DenyReason, Grant, Hold, Holds, Preempt, Release, Reserve};

use crate::{
    effect::{Effect, Progress},
    event::Failure,
    ids::{AttemptKey, EndpointId, EntryId, RequestId, VmId},
    reduce::{estimate, peer, place, retry},
    state::{AttemptStage, OwnSlot, SlotKey, State},
    time::Now,
};

/// Number of owners that may report no slot in time before no other owner is asked: the remaining
/// endpoints are assumed to be as full.
const MAX_FULL_DENIALS: usize = 2;
/// Initial interval at which a waiting reservation is sent again, in case it or its grant was lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// What a slot is requested for.
#[derive(Clone, Copy, Debug)]
pub struct SlotTerms {
    /// Number of tokens that are expected to be held or prefilled.
    pub tokens: u32,
    /// Number of tokens whose KV cache is sent from the endpoint afterwards.
    pub transfer_tokens: u32,
    /// Time from the grant of the slot to its use.
    pub lead: Duration,
    /// Time until which the reservation may wait.
    pub deadline: Duration,
}

/// Asks the owner of an endpoint for a slot.
pub fn request_slot(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    endpoint: EndpointId,
    terms: SlotTerms,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = state.requests.attempts.get(attempt_key) else { return };
    let cached = match attempt.stage {
        AttemptStage::WaitingForPrefill => {
            estimate::cached_tokens(state, &state.requests.arena[attempt.request], endpoint)
        }
        _ => 0,
    };
    let Some(attempt) = state.requests.attempts.get_mut(attempt_key) else { return };
    let request = &state.requests.arena[attempt.request];
    let key = SlotKey { endpoint, request: request.id, attempt: attempt.number };
    if attempt.reservations.contains(&key) {
        return;
    }
    attempt.reservations.push(key);
    let is_first = attempt.reservations.len() == 1 && attempt.denied.is_empty();
    let own = OwnSlot {
        attempt: attempt_key,
        is_first,
        entry: request.entry,
        tokens: terms.tokens.saturating_sub(cached),
        transfer_tokens: terms.transfer_tokens,
        lead_ms: to_millis(terms.lead),
        is_held: false,
        asked_at: now.mono,
        ask_count: 0,
        deadline: terms.deadline,
    };
    state.slots.own.insert(key, own);
    send_reservation(state, now, key, out);
}

fn send_reservation(state: &mut State, now: Now, key: SlotKey, out: &mut Vec<Effect>) {
    let Some(owner) = state.members.owner(key.endpoint.0) else { return };
    let Some(own) = state.slots.own.get_mut(&key) else { return };
    let Some(attempt) = state.requests.attempts.get(own.attempt) else { return };
    own.asked_at = now.mono;
    own.ask_count += 1;
    let request = &state.requests.arena[attempt.request];
    let due = request.due;
    let (block, cached) = match attempt.stage {
        AttemptStage::WaitingForPrefill => estimate::last_block(&state.view, request),
        _ => (0, 0),
    };
    let reserve = Reserve {
        endpoint: key.endpoint.0,
        request: key.request.0,
        attempt: key.attempt,
        entry: own.entry.0,
        tokens: own.tokens,
        wait: to_millis(own.deadline.saturating_sub(now.mono)),
        slack: to_signed_millis(now.mono, due),
        lead: own.lead_ms,
        sent: own.transfer_tokens,
        block,
        cached,
        begun: 0 < request.delivered,
        first: own.is_first,
    };
    peer::send(state, owner, Body::Reserve(reserve), out);
}

/// Releases a slot, or withdraws its reservation.
pub fn release(state: &mut State, key: SlotKey, out: &mut Vec<Effect>) {
    send_release(state, key, release_message(key), out);
}

/// Releases a slot after a failed call. If the endpoint refused the call as full, the owner is
/// told, because it granted a slot that was not free.
pub fn release_failed(state: &mut State, key: SlotKey, failure: Failure, out: &mut Vec<Effect>) {
    let release = Release { full: failure == Failure::Full, ..release_message(key) };
    send_release(state, key, release, out);
}

/// Releases a slot whose use ended in a stalled transfer from or to another endpoint.
pub fn release_stalled(state: &mut State, key: SlotKey, other: EndpointId, out: &mut Vec<Effect>) {
    let release = Release { stalled: other.0, ..release_message(key) };
    send_release(state, key, release, out);
}

fn send_release(state: &mut State, key: SlotKey, release: Release, out: &mut Vec<Effect>) {
    if state.slots.own.remove(&key).is_none() {
        return;
    }
    let Some(owner) = state.members.owner(key.endpoint.0) else { return };
    peer::send(state, owner, Body::Release(release), out);
}

/// Withdraws all waiting reservations of an attempt.
pub fn withdraw(state: &mut State, attempt_key: AttemptKey, out: &mut Vec<Effect>) {
    let Some(attempt) = state.requests.attempts.get_mut(attempt_key) else { return };
    for key in std::mem::take(&mut attempt.reservations) {
        release(state, key, out);
    }
}

/// Gives an attempt a new key and number. It keeps its slots, under the keys they were granted
/// with.
pub fn renew_attempt(state: &mut State, attempt_key: AttemptKey) -> AttemptKey {
    let attempt_key = state.requests.renew_attempt(attempt_key);
    let attempt = &state.requests.attempts[attempt_key];
    for slot in [attempt.slot, attempt.prefill_slot].into_iter().flatten() {
        if let Some(own) = state.slots.own.get_mut(&slot) {
            own.attempt = attempt_key;
        }
    }
    attempt_key
}

/// Registers a slot that is used without having been requested, for a stream that is resumed.
pub fn adopt_slot(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    endpoint: EndpointId,
    entry: EntryId,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = state.requests.attempts.get_mut(attempt_key) else { return };
    let request = state.requests.arena[attempt.request].id;
    let key = SlotKey { endpoint, request, attempt: attempt.number };
    attempt.slot = Some(key);
    let own = OwnSlot {
        attempt: attempt_key,
        is_first: false,
        entry,
        tokens: 0,
        transfer_tokens: 0,
        lead_ms: 0,
        is_held: true,
        asked_at: now.mono,
        ask_count: 0,
        deadline: now.mono,
    };
    state.slots.own.insert(key, own);
    send_holds(state, endpoint, out);
}

/// Handles the grant of a slot.
pub fn on_granted(state: &mut State, now: Now, from: VmId, grant: &Grant, out: &mut Vec<Effect>) {
    let key = SlotKey {
        endpoint: EndpointId(grant.endpoint),
        request: RequestId(grant.request),
        attempt: grant.attempt,
    };
    let health = state.health.endpoint_mut(key.endpoint);
    health.free_slots = Some((grant.free, now.mono));
    health.full_until = None;
    let Some(own) = state.slots.own.get_mut(&key) else {
        // The request has taken another slot or ended. Without this release, the slot would stay
        // leased until the owner receives the next list of held slots.
        peer::send(state, from, Body::Release(release_message(key)), out);
        return;
    };
    if own.is_held {
        return;
    }
    own.is_held = true;
    let attempt_key = own.attempt;
    state.slots.known_owners.insert(key.endpoint, from);
    if let Some(attempt) = state.requests.attempts.get_mut(attempt_key) {
        attempt.reservations.retain(|a| *a != key);
        attempt.prefill_plan.clear();
    }
    withdraw(state, attempt_key, out);
    place::on_granted(state, now, attempt_key, key, out);
}

/// Handles the denial of a slot.
pub fn on_denied(state: &mut State, now: Now, deny: &Deny, out: &mut Vec<Effect>) {
    let key = SlotKey {
        endpoint: EndpointId(deny.endpoint),
        request: RequestId(deny.request),
        attempt: deny.attempt,
    };
    let retry_after = Duration::from_millis(deny.retry.into());
    let reason = deny.reason();
    let is_full = matches!(reason, DenyReason::Full | DenyReason::Owed);
    if is_full {
        state.health.endpoint_mut(key.endpoint).full_until = Some(now.mono + retry_after);
    }
    let is_waiting = state.slots.own.get(&key).is_some_and(|own| !own.is_held);
    if !is_waiting {
        return;
    }
    let Some(own) = state.slots.own.remove(&key) else { return };
    let Some(attempt) = state.requests.attempts.get_mut(own.attempt) else { return };
    attempt.reservations.retain(|a| *a != key);
    attempt.denied.push(key.endpoint);
    if !attempt.reservations.is_empty() {
        return;
    }
    let max_denials = if is_full { MAX_FULL_DENIALS } else { usize::MAX };
    place::reserve_next(state, now, own.attempt, max_denials, out);
    if state.requests.attempts.get(own.attempt).is_some_and(|a| a.reservations.is_empty()) {
        retry::on_all_denied(state, now, own.attempt, reason, retry_after, out);
    }
}

/// Handles an owner's message that it takes a slot back.
pub fn on_preempted(state: &mut State, now: Now, preempt: &Preempt, out: &mut Vec<Effect>) {
    let key = SlotKey {
        endpoint: EndpointId(preempt.endpoint),
        request: RequestId(preempt.request),
        attempt: preempt.attempt,
    };
    let Some(own) = state.slots.own.get(&key) else { return };
    retry::on_preempted(state, now, own.attempt, key, out);
}

/// Sends waiting reservations again, and renews held slots.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let waiting = state.slots.own.iter().filter(|(_, own)| !own.is_held);
    let to_resend = waiting
        .filter(|(_, own)| own.asked_at + RESEND_INTERVAL * own.ask_count.min(5) <= now.mono);
    let to_resend: Vec<_> = to_resend.map(|(key, own)| (*key, own.attempt)).collect();
    for (key, attempt_key) in to_resend {
        log_queued(state, attempt_key, key, out);
        send_reservation(state, now, key, out);
        place::widen_search(state, now, attempt_key, out);
    }
    if state.slots.reported_at + state.local.tuning.slot_lease / 3 <= now.mono {
        state.slots.reported_at = now.mono;
        send_all_holds(state, out);
    }
}

fn log_queued(state: &State, attempt_key: AttemptKey, key: SlotKey, out: &mut Vec<Effect>) {
    let is_first = state
        .requests
        .attempts
        .get(attempt_key)
        .is_some_and(|a| a.reservations.first() == Some(&key));
    if is_first && state.slots.own[&key].ask_count == 1 {
        out.push(Effect::Progress(Progress::Queued { request: key.request }));
    }
}

/// Sends owners the lists of held slots, including empty lists where the last slot was released.
fn send_all_holds(state: &mut State, out: &mut Vec<Effect>) {
    let mut endpoints: Vec<_> = state.slots.known_owners.keys().copied().collect();
    endpoints.extend(state.slots.held().map(|(key, _)| key.endpoint));
    endpoints.sort_unstable();
    endpoints.dedup();
    for endpoint in endpoints {
        send_holds(state, endpoint, out);
    }
}

/// Sends the owner of an endpoint the list of slots that this daemon holds there.
pub fn send_holds(state: &mut State, endpoint: EndpointId, out: &mut Vec<Effect>) {
    let Some(owner) = state.members.owner(endpoint.0) else { return };
    let holds = holds_at(state, endpoint);
    if holds.holds.is_empty() {
        state.slots.known_owners.remove(&endpoint);
    } else {
        state.slots.known_owners.insert(endpoint, owner);
    }
    peer::send(state, owner, Body::Holds(holds), out);
}

/// Returns the slots that this daemon holds at an endpoint.
pub fn holds_at(state: &State, endpoint: EndpointId) -> Holds {
    let own =
        state.slots.own.range(SlotKey::endpoint_range(endpoint)).filter(|(_, own)| own.is_held);
    let holds = own.map(|(key, own)| Hold {
        request: key.request.0,
        attempt: key.attempt,
        entry: own.entry.0,
        tokens: own.tokens,
    });
    Holds { endpoint: endpoint.0, holds: holds.collect() }
}

/// Handles a change of members, which may change the owners of endpoints: sends new owners the held
/// slots and the waiting reservations without delay.
pub fn on_members_changed(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let known_owners = &state.slots.known_owners;
    let changed = known_owners.iter().filter(|(e, vm)| state.members.owner(e.0) != Some(**vm));
    let changed: Vec<_> = changed.map(|(endpoint, _)| *endpoint).collect();
    for endpoint in changed {
        send_holds(state, endpoint, out);
    }
    let waiting = state.slots.own.iter().filter(|(_, own)| !own.is_held);
    let waiting: Vec<_> = waiting.map(|(key, _)| *key).collect();
    for key in waiting {
        send_reservation(state, now, key, out);
    }
}

fn release_message(key: SlotKey) -> Release {
    Release {
        endpoint: key.endpoint.0,
        request: key.request.0,
        attempt: key.attempt,
        ..Release::default()
    }
}

fn to_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the milliseconds from one time to another; negative if `to` is before `from`.
fn to_signed_millis(from: Duration, to: Duration) -> i32 {
    let ahead = i32::try_from(to.saturating_sub(from).as_millis()).unwrap_or(i32::MAX);
    let behind = i32::try_from(from.saturating_sub(to).as_millis()).unwrap_or(i32::MAX);
    if ahead == 0 { -behind } else { ahead }
}
