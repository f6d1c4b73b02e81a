//! The steward's side of slots: who gets one, and when.

use std::{collections::BTreeSet, time::Duration};

use basilbank_wire::{AskHolds, Body, Deny, DenyReason, Grant, Holds, Preempt, Release, Reserve};

use crate::{
    catalogue::{Endpoint, Role},
    effect::{Effect, EngineCall, Progress},
    ids::{EndpointId, EntryId, RequestId, VmId},
    reduce::{estimate, load, order, peer, queue, reserve},
    state::{Group, Learning, Lease, Ledger, SlotKey, State, Timer, Waiter},
    time::Now,
};

/// Time between two looks at leases and waiting reservations.
const TICK: Duration = Duration::from_millis(100);
/// A lease this young may be missing from its holder's list, which was made before the grant came.
const GRACE: Duration = Duration::from_millis(500);
/// How long a new steward waits for peers' lists.
const LEARN: Duration = Duration::from_secs(2);

/// A daemon asks this one, as an endpoint's steward, for a slot.
pub fn asked(state: &mut State, now: Now, from: VmId, ask: &Reserve, out: &mut Vec<Effect>) {
    let endpoint = EndpointId(ask.endpoint);
    let key = SlotKey { endpoint, request: RequestId(ask.request), attempt: ask.attempt };
    if let Some(reason) = bar(state, endpoint) {
        return deny(state, key, from, reason, Duration::ZERO, out);
    }
    open(state, now, endpoint, out);
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    if let Some(lease) = ledger.leases.get_mut(&key) {
        lease.until = now.mono + state.local.tuning.slot_lease;
        let lent = lease.lent;
        return grant(state, key, from, lent, out);
    }
    let mut waiter = waiter(now, key, from, ask);
    // This daemon reads the endpoint's cache events, so it may know more than the one that asks.
    if ask.block != 0 && state.health.prefixes.has(ask.block, endpoint) {
        waiter.tokens = waiter.tokens.min(ask.sent.saturating_sub(ask.cached));
    }
    ledger.wait(waiter, now.mono);
    serve(state, now, endpoint, out);
    refuse_hopeless(state, now, key, out);
}

/// Denies a reservation that would not be served in the time it has.
fn refuse_hopeless(state: &mut State, now: Now, key: SlotKey, out: &mut Vec<Effect>) {
    let Some(ledger) = state.slots.ledgers.get_mut(&key.endpoint) else { return };
    if ledger.waiting.place(key).is_some_and(|(group, _)| group == Group::Late) {
        ledger.note_late(now.mono);
    }
    let Some(wait) = queue::expected(ledger, &state.view, key, now) else { return };
    if ledger.waiting.get(key).is_none_or(|w| now.mono + wait <= w.until) {
        return;
    }
    if let Some(waiter) = ledger.waiting.remove(key) {
        deny(state, key, waiter.vm, DenyReason::Full, wait, out);
    }
}

fn waiter(now: Now, key: SlotKey, vm: VmId, ask: &Reserve) -> Waiter {
    let ahead = i64::from(ask.slack) - i64::from(ask.lead);
    let ahead = Duration::from_millis(ahead.max(0).unsigned_abs());
    // A request whose target has passed is due since the start of time: it is late.
    let due = if ahead.is_zero() { Duration::ZERO } else { now.mono + ahead };
    Waiter {
        key,
        vm,
        entry: EntryId(ask.entry),
        tokens: ask.tokens,
        sent: ask.sent,
        due,
        until: now.mono + Duration::from_millis(ask.wait.into()),
        since: now.mono,
        begun: ask.begun,
        first: ask.first,
    }
}

/// Why this daemon may grant nothing at an endpoint.
fn bar(state: &State, endpoint: EndpointId) -> Option<DenyReason> {
    if state.members.steward(endpoint.0) != Some(state.local.vm) {
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

/// Opens an endpoint's ledger when this daemon has become its steward.
///
/// A steward that is new does not know what its predecessor granted. Granting all slots then would
/// put up to twice as many requests on the endpoint as it has slots, seen as refusals after whole
/// prefills. So it asks all peers first. Nor does it know whether the endpoint is leaving: its
/// predecessor alone read that, and work granted before the first report would reach an endpoint
/// that was marked long ago. So it reads the endpoint's load too.
fn open(state: &mut State, now: Now, endpoint: EndpointId, out: &mut Vec<Effect>) {
    let Some(known) = state.view.endpoint(endpoint) else { return };
    let slots = grantable(known);
    let link_rate = estimate::link_tokens(state, known);
    if let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) {
        (ledger.slots, ledger.rate) = (slots, known.prefill_rate);
        ledger.link_rate = link_rate;
        return;
    }
    let own = state.local.vm;
    let live = state.members.all.keys().copied().filter(|vm| state.members.is_live(*vm));
    let missing: BTreeSet<_> = live.filter(|vm| *vm != own).collect();
    let rate = known.prefill_rate;
    let resumable = known.role == Role::Decode;
    let mut ledger = Ledger { slots, resumable, rate, link_rate, ..Ledger::default() };
    ask_holds(endpoint, &missing, out);
    // A plain service tells no load, and refuses provably what is too much for it. Learning there
    // would refuse lookups for as long as it takes, to spare a few of them a second call.
    if known.role != Role::Plain {
        out.push(Effect::Engine(EngineCall::ReadLoad { endpoint }));
        let until = now.mono + LEARN;
        ledger.learning = Some(Learning { missing, unread: true, until });
    }
    state.slots.ledgers.insert(endpoint, ledger);
    let held = reserve::holds_at(state, endpoint);
    adopt(state, now, own, &held, out);
}

fn ask_holds(endpoint: EndpointId, peers: &BTreeSet<VmId>, out: &mut Vec<Effect>) {
    for vm in peers {
        let ask = AskHolds { endpoint: endpoint.0 };
        out.push(Effect::Send { to: *vm, message: Body::AskHolds(ask).into() });
    }
}

/// Slots of an endpoint that may be leased at once; all that are asked for where it has no limit.
///
/// Between a plain call's end and the next one's start lie three messages. A call takes hardly longer
/// than these, so a service whose slots were leased just once would often be idle. One in four more
/// waits at the service's own door, which refuses provably what is too much for it.
fn grantable(endpoint: &Endpoint) -> u32 {
    match (endpoint.role, endpoint.slots) {
        (_, 0) => u32::MAX,
        (Role::Plain, slots) => slots + slots.div_ceil(4),
        (_, slots) => slots,
    }
}

/// Grants slots to those that wait, as far as there are any. Nothing is granted at an endpoint that
/// has just been found to be leaving; the next tick denies those that wait.
pub fn serve(state: &mut State, now: Now, endpoint: EndpointId, out: &mut Vec<Effect>) {
    if bar(state, endpoint).is_some() {
        return;
    }
    loop {
        let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
        let Some(choice) = queue::next(ledger, &state.view, now) else { break };
        let Some(waiter) = ledger.waiting.remove(choice.key) else { break };
        let lease = Lease {
            vm: waiter.vm,
            entry: waiter.entry,
            tokens: waiter.tokens,
            sent: waiter.sent,
            since: now.mono,
            until: now.mono + state.local.tuning.slot_lease,
            done: now.mono,
            lent: choice.lent,
            preempted: None,
        };
        if choice.group == Group::Late {
            ledger.late_served = now.mono;
        }
        ledger.lease(waiter.key, lease);
        grant(state, waiter.key, waiter.vm, choice.lent, out);
    }
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    let at = ledger.ready_at();
    if !ledger.waiting.is_empty() && 0 < ledger.free() && ledger.alarm < at {
        ledger.alarm = at;
        state.timers.set(at, Timer::Serve(endpoint));
    }
}

fn grant(state: &mut State, key: SlotKey, to: VmId, lent: bool, out: &mut Vec<Effect>) {
    let free = state.slots.ledgers.get(&key.endpoint).map_or(0, Ledger::free);
    let lease = u32::try_from(state.local.tuning.slot_lease.as_millis()).unwrap_or(u32::MAX);
    let grant = Grant {
        endpoint: key.endpoint.0,
        request: key.request.0,
        attempt: key.attempt,
        lease,
        free,
        lent,
    };
    peer::say(state, to, Body::Grant(grant), out);
}

fn deny(
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
    peer::say(state, to, Body::Deny(deny), out);
}

/// Denies those that will not be served in the time they have, at once: they may find a slot
/// elsewhere, and their callers learn it now and not at the end of the wait.
fn drop_hopeless(state: &mut State, now: Now, endpoint: EndpointId, out: &mut Vec<Effect>) {
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    let (hopeless, wait) = queue::take_hopeless(ledger, &state.view, now);
    for waiter in hopeless {
        deny(state, waiter.key, waiter.vm, DenyReason::Full, wait, out);
    }
}

/// Takes lent slots back for entries that are owed them and would miss their targets else.
fn preempt(state: &mut State, now: Now, endpoint: EndpointId, out: &mut Vec<Effect>) {
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    for (key, vm) in queue::take_back(ledger, &state.view, now) {
        let (endpoint, request, attempt) = (key.endpoint.0, key.request.0, key.attempt);
        let preempt = Preempt { endpoint, request, attempt };
        peer::say(state, vm, Body::Preempt(preempt), out);
    }
}

/// A holder gave a slot, or the wait for it, back.
pub fn released(state: &mut State, now: Now, from: VmId, release: &Release, out: &mut Vec<Effect>) {
    let endpoint = EndpointId(release.endpoint);
    if release.stalled != 0 {
        load::stalled(state, now, endpoint, from, EndpointId(release.stalled), out);
    }
    let key = SlotKey { endpoint, request: RequestId(release.request), attempt: release.attempt };
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    let waited = !ledger.waiting.is_empty();
    let moved = ledger.waiting.remove(key).is_some() || ledger.end(key, now.mono).is_some();
    if moved {
        if waited {
            ledger.note_move(now.mono);
        }
        serve(state, now, endpoint, out);
    }
}

/// A new steward asks what this daemon holds.
pub fn holds_asked(state: &mut State, from: VmId, ask: &AskHolds, out: &mut Vec<Effect>) {
    let holds = reserve::holds_at(state, EndpointId(ask.endpoint));
    peer::say(state, from, Body::Holds(holds), out);
}

/// A holder tells what it holds: its leases are renewed, and those it does not list are over.
pub fn holds(state: &mut State, now: Now, from: VmId, holds: &Holds, out: &mut Vec<Effect>) {
    let endpoint = EndpointId(holds.endpoint);
    if bar(state, endpoint) == Some(DenyReason::NotSteward) {
        return;
    }
    open(state, now, endpoint, out);
    adopt(state, now, from, holds, out);
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    let listed: BTreeSet<_> = holds.holds.iter().map(|h| (h.request, h.attempt)).collect();
    let is_over = |key: &SlotKey, lease: &Lease| {
        let is_listed = listed.contains(&(key.request.0, key.attempt));
        lease.vm == from && !is_listed && lease.since + GRACE < now.mono
    };
    let leases = ledger.leases.iter().filter(|(key, lease)| is_over(key, lease));
    let over: Vec<_> = leases.map(|(key, _)| *key).collect();
    for key in over {
        ledger.end(key, now.mono);
    }
    if let Some(learning) = &mut ledger.learning {
        learning.missing.remove(&from);
    }
    ledger.learned();
    serve(state, now, endpoint, out);
}

fn adopt(state: &mut State, now: Now, from: VmId, holds: &Holds, out: &mut Vec<Effect>) {
    let endpoint = EndpointId(holds.endpoint);
    let until = now.mono + state.local.tuning.slot_lease;
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    let before = ledger.leases.len();
    for hold in &holds.holds {
        let request = RequestId(hold.request);
        let key = SlotKey { endpoint, request, attempt: hold.attempt };
        if let Some(lease) = ledger.leases.get_mut(&key) {
            lease.until = until;
            continue;
        }
        let entry = EntryId(hold.entry);
        let lease = Lease {
            vm: from,
            entry,
            tokens: hold.tokens,
            sent: 0,
            since: now.mono,
            until,
            done: now.mono,
            lent: false,
            preempted: None,
        };
        ledger.lease(key, lease);
    }
    let over = ledger.leases.len().saturating_sub(ledger.slots as usize);
    if before < ledger.leases.len() && 0 < over {
        let pairs = vec![("endpoint", endpoint.to_string()), ("over", over.to_string())];
        out.push(Effect::Progress(Progress::Note { name: "slot_over_commit", pairs }));
    }
}

/// This daemon was paused: it is as new to its endpoints as a steward that has just taken over.
///
/// Meanwhile another may have been their steward and have granted slots that these ledgers show
/// free. Granting from them would over-commit endpoints until the holders' next lists come, seen as
/// refusals after whole prefills; so the ledgers are opened anew, and ask. Those that waited here ask
/// again when they hear nothing.
pub fn awake(state: &mut State) {
    state.slots.ledgers.clear();
    state.slots.revision = 0;
}

/// The live members changed, so stewardships may have moved.
pub fn members_changed(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    follow(state, now, out);
    reserve::members_changed(state, now, out);
}

/// Opens ledgers of endpoints that this daemon has become the steward of, and closes others.
fn follow(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    state.slots.revision = state.view.catalogue.revision;
    let own = state.local.vm;
    let catalogue = state.view.catalogue.clone();
    let mine = catalogue.endpoints.iter().map(|e| e.id);
    let mine: BTreeSet<_> = mine.filter(|e| state.members.steward(e.0) == Some(own)).collect();
    let closed: Vec<_> =
        state.slots.ledgers.keys().filter(|e| !mine.contains(e)).copied().collect();
    for endpoint in closed {
        let Some(mut ledger) = state.slots.ledgers.remove(&endpoint) else { continue };
        for waiter in ledger.waiting.take(|_, _, _, _| true) {
            deny(state, waiter.key, waiter.vm, DenyReason::NotSteward, Duration::ZERO, out);
        }
    }
    for endpoint in mine {
        open(state, now, endpoint, out);
    }
}

/// Expires leases and reservations, grants what waits, and does the holder's part.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    state.timers.set(now.mono + TICK, Timer::Slots);
    if state.slots.revision != state.view.catalogue.revision {
        follow(state, now, out);
    }
    let endpoints: Vec<_> = state.slots.ledgers.keys().copied().collect();
    for endpoint in endpoints {
        expire(state, now, endpoint, out);
        serve(state, now, endpoint, out);
        drop_hopeless(state, now, endpoint, out);
        preempt(state, now, endpoint, out);
    }
    reserve::tick(state, now, out);
}

fn expire(state: &mut State, now: Now, endpoint: EndpointId, out: &mut Vec<Effect>) {
    let barred = bar(state, endpoint);
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    if ledger.learning.as_ref().is_some_and(|l| l.until <= now.mono) {
        ledger.learning = None;
    }
    if let Some(learning) = &ledger.learning {
        // A question or its answer was lost, or is on its way: asking again harms nobody.
        ask_holds(endpoint, &learning.missing, out);
    }
    let over = ledger.leases.iter().filter(|(_, lease)| lease.until <= now.mono);
    let over: Vec<_> = over.map(|(key, _)| *key).collect();
    for key in &over {
        ledger.end(*key, now.mono);
    }
    if !over.is_empty() {
        let pairs = vec![("endpoint", endpoint.to_string()), ("leases", over.len().to_string())];
        out.push(Effect::Progress(Progress::Note { name: "slot_leases_expired", pairs }));
    }
    let is_over = |w: &Waiter| barred.is_some() || w.until <= now.mono;
    let ended = ledger.waiting.take(|_, waiter, _, _| is_over(waiter));
    let retry = ledger.pace.unwrap_or_default();
    let reason = barred.unwrap_or(DenyReason::Full);
    for waiter in ended {
        deny(state, waiter.key, waiter.vm, reason, retry, out);
    }
}
