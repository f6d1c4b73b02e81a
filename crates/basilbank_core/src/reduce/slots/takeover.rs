//! Learns what is held at an endpoint that this daemon has come to own, from its holders and from
//! the endpoint itself.

use std::{collections::BTreeSet, time::Duration};

use basilbank_wire::{AskHolds, Body, DenyReason, Holds};

use super::{denial_reason, grant_waiting, send_denial};
use crate::{
    catalogue::{Endpoint, Role},
    effect::{Effect, EngineCall, Progress},
    ids::{EndpointId, EntryId, RequestId, VmId},
    reduce::{estimate, peer, reserve},
    state::{Ledger, Rebuild, SlotKey, SlotLease, State},
    time::Now,
};

/// Age up to which a lease may be missing from its holder's list, because the list was made before
/// the grant arrived.
const GRANT_GRACE: Duration = Duration::from_millis(500);
/// Time that a new owner waits for peers' lists.
const REBUILD_TIMEOUT: Duration = Duration::from_secs(2);

/// Opens an endpoint's ledger when this daemon has become its owner.
///
/// A new owner does not know what its predecessor granted. If it granted all slots, the endpoint
/// would get up to twice as many requests as it has slots, which shows as refusals after whole
/// prefills. So it asks all peers first. Nor does it know whether the endpoint is leaving: only its
/// predecessor read that, and work that is granted before the first report would reach an endpoint
/// that was marked long ago. So it reads the endpoint's load too.
pub(super) fn open_ledger(
    state: &mut State,
    now: Now,
    endpoint: EndpointId,
    out: &mut Vec<Effect>,
) {
    let Some(known) = state.view.endpoint(endpoint) else { return };
    let extra = extra_slots(known);
    let slots = if known.slots == 0 { u32::MAX } else { known.slots + extra };
    let link_rate = estimate::link_tokens_per_second(state, known);
    if let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) {
        (ledger.slots, ledger.extra_slots, ledger.prefill_rate) =
            (slots, extra, known.prefill_rate);
        ledger.link_rate = link_rate;
        return;
    }
    let own = state.local.vm;
    let live = state.members.all.keys().copied().filter(|vm| state.members.is_live(*vm));
    let missing: BTreeSet<_> = live.filter(|vm| *vm != own).collect();
    let rate = known.prefill_rate;
    let resumable = known.role == Role::Decode;
    let mut ledger = Ledger {
        slots,
        extra_slots: extra,
        resumable,
        prefill_rate: rate,
        link_rate,
        ..Ledger::default()
    };
    request_holds(endpoint, &missing, out);
    // A plain service reports no load, and provably refuses what is too much for it. Waiting for
    // the lists would refuse lookups for that long, only to save a few of them a second call.
    if known.role != Role::Plain {
        out.push(Effect::Engine(EngineCall::ReadLoad { endpoint }));
        let deadline = now.mono + REBUILD_TIMEOUT;
        ledger.rebuild = Some(Rebuild { missing, needs_report: true, deadline });
    }
    state.slots.ledgers.insert(endpoint, ledger);
    let held = reserve::holds_at(state, endpoint);
    adopt_leases(state, now, own, &held, out);
}

pub(super) fn request_holds(endpoint: EndpointId, peers: &BTreeSet<VmId>, out: &mut Vec<Effect>) {
    for vm in peers {
        let ask = AskHolds { endpoint: endpoint.0 };
        out.push(Effect::Send { to: *vm, message: Body::AskHolds(ask).into() });
    }
}

/// Returns the number of slots that are leased beyond those that an endpoint has.
///
/// Three messages lie between the end of a plain call and the start of the next one. A call hardly
/// takes longer than these, so a service whose slots were leased only once would often be idle.
/// Half as many more calls therefore wait at the service itself. A service that can't queue them
/// refuses them provably, and gets fewer.
fn extra_slots(endpoint: &Endpoint) -> u32 {
    match endpoint.role {
        Role::Plain => endpoint.slots.div_ceil(2),
        Role::Prefill | Role::Decode => 0,
    }
}

/// Sends a new owner what this daemon holds at an endpoint.
pub fn on_ask_holds(state: &mut State, from: VmId, ask: &AskHolds, out: &mut Vec<Effect>) {
    let holds = reserve::holds_at(state, EndpointId(ask.endpoint));
    peer::send(state, from, Body::Holds(holds), out);
}

/// Handles a holder's list of what it holds. Its leases are renewed, and those that it does not
/// list are ended.
pub fn on_holds(state: &mut State, now: Now, from: VmId, holds: &Holds, out: &mut Vec<Effect>) {
    let endpoint = EndpointId(holds.endpoint);
    if denial_reason(state, endpoint) == Some(DenyReason::NotSteward) {
        return;
    }
    open_ledger(state, now, endpoint, out);
    adopt_leases(state, now, from, holds, out);
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    let listed: BTreeSet<_> = holds.holds.iter().map(|h| (h.request, h.attempt)).collect();
    let is_ended = |key: &SlotKey, lease: &SlotLease| {
        let is_listed = listed.contains(&(key.request.0, key.attempt));
        lease.vm == from && !is_listed && lease.granted_at + GRANT_GRACE < now.mono
    };
    let leases = ledger.leases.iter().filter(|(key, lease)| is_ended(key, lease));
    let ended: Vec<_> = leases.map(|(key, _)| *key).collect();
    for key in ended {
        ledger.end_lease(key, now.mono);
    }
    if let Some(rebuild) = &mut ledger.rebuild {
        rebuild.missing.remove(&from);
    }
    ledger.finish_rebuild();
    grant_waiting(state, now, endpoint, out);
}

fn adopt_leases(state: &mut State, now: Now, from: VmId, holds: &Holds, out: &mut Vec<Effect>) {
    let endpoint = EndpointId(holds.endpoint);
    let until = now.mono + state.local.tuning.slot_lease;
    let Some(ledger) = state.slots.ledgers.get_mut(&endpoint) else { return };
    let before = ledger.leases.len();
    for hold in &holds.holds {
        let request = RequestId(hold.request);
        let key = SlotKey { endpoint, request, attempt: hold.attempt };
        if let Some(lease) = ledger.leases.get_mut(&key) {
            lease.expires_at = until;
            continue;
        }
        let entry = EntryId(hold.entry);
        let lease = SlotLease {
            vm: from,
            entry,
            tokens: hold.tokens,
            transfer_tokens: 0,
            granted_at: now.mono,
            expires_at: until,
            done_at: now.mono,
            lent: false,
            preempted_at: None,
        };
        ledger.add_lease(key, lease);
    }
    let excess = ledger.leases.len().saturating_sub(ledger.slots as usize);
    if before < ledger.leases.len() && 0 < excess {
        let fields = vec![("endpoint", endpoint.to_string()), ("over", excess.to_string())];
        out.push(Effect::Progress(Progress::Note { name: "slot_over_commit", fields }));
    }
}

/// Handles a pause of this process, after which it knows as little about its endpoints as a new
/// owner.
///
/// Meanwhile another daemon may have owned them and have granted slots that these ledgers show as
/// free. Granting from them would over-commit endpoints until the holders' next lists arrive, which
/// shows as refusals after whole prefills. So the ledgers are opened again, and ask. Reservations
/// that waited here are requested again when no answer comes.
pub fn on_pause(state: &mut State) {
    state.slots.ledgers.clear();
    state.slots.revision = 0;
}

/// Handles a change of the live members, which may change the owners of endpoints.
pub fn on_members_changed(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    update_ledgers(state, now, out);
    reserve::on_members_changed(state, now, out);
}

/// Opens ledgers of endpoints that this daemon has come to own, and closes those of others.
pub(super) fn update_ledgers(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    state.slots.revision = state.view.catalogue.revision;
    let own = state.local.vm;
    let catalogue = state.view.catalogue.clone();
    let owned = catalogue.endpoints.iter().map(|e| e.id);
    let owned: BTreeSet<_> = owned.filter(|e| state.members.owner(e.0) == Some(own)).collect();
    let closed: Vec<_> =
        state.slots.ledgers.keys().filter(|e| !owned.contains(e)).copied().collect();
    for endpoint in closed {
        let Some(mut ledger) = state.slots.ledgers.remove(&endpoint) else { continue };
        for waiter in ledger.waiting.remove_matching(|_, _, _, _| true) {
            send_denial(state, waiter.key, waiter.vm, DenyReason::NotSteward, Duration::ZERO, out);
        }
    }
    for endpoint in owned {
        open_ledger(state, now, endpoint, out);
    }
}
