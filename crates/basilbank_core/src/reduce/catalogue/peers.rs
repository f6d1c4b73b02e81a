//! Exchanges documents and VM lists with peers.

use std::time::Duration;

use basilbank_wire::{Body, CatalogueDelta, FetchCatalogue, FetchVms, Heartbeat, Message, VmList};

use super::{DocumentsStatus, apply_documents, apply_vm_list, freshness, note};
use crate::{
    effect::Effect,
    ids::VmId,
    state::{AdvertisedRevision, AdvertisedRevisions, CatalogueCheck, FullTransfers, State},
    time::Now,
};

/// Time after which an unanswered fetch is sent to another peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Full catalogues that a daemon sends to peers per second; other peers fetch elsewhere.
const MAX_FULL_TRANSFERS_PER_SECOND: u32 = 4;

/// Records the revisions that a peer's heartbeat advertises, and fetches newer ones.
pub fn on_heartbeat(
    state: &mut State,
    now: Now,
    from: VmId,
    heartbeat: &Heartbeat,
    out: &mut Vec<Effect>,
) {
    let advertised = AdvertisedRevisions::from_heartbeat(from, heartbeat);
    state.documents.advertised.merge(&advertised);
    if 0 < heartbeat.confirmed {
        let age = Duration::from_millis(u64::from(heartbeat.confirmed));
        let at = now.mono.saturating_sub(age);
        state.documents.confirmed_at = state.documents.confirmed_at.max(Some(at));
    }
    fetch_missing(state, now, &advertised, out);
    freshness::update(state, now, out);
}

/// Repeats fetches that were not answered.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let advertised = state.documents.advertised;
    fetch_missing(state, now, &advertised, out);
}

/// Sends documents that a peer asks for.
pub fn on_fetch_catalogue(
    state: &mut State,
    now: Now,
    from: VmId,
    fetch: &FetchCatalogue,
    out: &mut Vec<Effect>,
) {
    let documents = &state.documents;
    let delta = if fetch.accepted {
        let revision = state.view.catalogue.revision;
        if revision <= fetch.after || documents.store.revision == 0 {
            return;
        }
        CatalogueDelta { after: 0, revision, documents: documents.accepted.all(&documents.store) }
    } else {
        if documents.store.revision <= fetch.after {
            return;
        }
        documents.store.delta_since(fetch.after)
    };
    if delta.after == 0 && !take_full_transfer(&mut state.documents.full_transfers, now) {
        note(out, "whole_put_off", vec![("vm", from.to_string())]);
        return;
    }
    send(out, from, Body::Catalogue(delta));
}

/// Applies documents that a peer sent.
pub fn on_catalogue_delta(
    state: &mut State,
    now: Now,
    delta: CatalogueDelta,
    out: &mut Vec<Effect>,
) {
    state.documents.fetch.asked_at = None;
    let CatalogueDelta { after, revision, documents } = delta;
    let is_accepted = after == 0
        && revision < state.documents.store.revision
        && state.view.catalogue.revision < revision;
    if !is_accepted {
        if apply_documents(state, now, after, revision, documents, out) == DocumentsStatus::Known {
            tick(state, now, out);
        }
        return;
    }
    if state.documents.accepted.check.is_some() {
        return;
    }
    let accepted = Some(documents.clone());
    state.documents.accepted.begin_check(CatalogueCheck {
        revision,
        started_at: now.mono,
        accepted,
    });
    out.push(Effect::CheckCatalogue { revision, documents });
}

/// Sends the VM list to a peer that asks for it.
pub fn on_fetch_vms(state: &State, from: VmId, fetch: &FetchVms, out: &mut Vec<Effect>) {
    if fetch.after < state.documents.vms.revision {
        send(out, from, Body::Vms(state.documents.vms.clone()));
    }
}

/// Applies the VM list that a peer sent.
pub fn on_peer_vms(state: &mut State, now: Now, list: VmList, out: &mut Vec<Effect>) {
    state.documents.vms_fetch.asked_at = None;
    apply_vm_list(state, now, list, out);
}

fn fetch_missing(
    state: &mut State,
    now: Now,
    advertised: &AdvertisedRevisions,
    out: &mut Vec<Effect>,
) {
    fetch_vms(state, now, advertised.vms, out);
    fetch_documents(state, now, advertised, out);
}

fn fetch_vms(state: &mut State, now: Now, offer: AdvertisedRevision, out: &mut Vec<Effect>) {
    let documents = &mut state.documents;
    let after = documents.vms.revision;
    if offer.revision <= after || !documents.vms_fetch.can_ask(now.mono, FETCH_TIMEOUT) {
        return;
    }
    documents.vms_fetch.asked_at = Some(now.mono);
    send(out, offer.from, Body::FetchVms(FetchVms { after }));
}

/// Fetches newer documents. If the newest ones are known and were rejected here, it fetches those
/// that are in force at a peer. This way two daemons that skipped different revisions of a burst
/// end up with the same catalogue.
fn fetch_documents(
    state: &mut State,
    now: Now,
    advertised: &AdvertisedRevisions,
    out: &mut Vec<Effect>,
) {
    let documents = &mut state.documents;
    if !documents.fetch.can_ask(now.mono, FETCH_TIMEOUT) {
        return;
    }
    let known = documents.store.revision;
    let in_force = state.view.catalogue.revision;
    let (newest, accepted) = (advertised.documents, advertised.catalogue);
    let is_disputed = accepted.revision <= documents.accepted.disputed_revision;
    let is_checked =
        documents.accepted.check.is_none() && documents.accepted.checked_revision == known;
    let (from, fetch) = if known < newest.revision {
        (newest.from, FetchCatalogue { after: known, accepted: false })
    } else if in_force < accepted.revision && is_checked && !is_disputed {
        (accepted.from, FetchCatalogue { after: in_force, accepted: true })
    } else {
        return;
    };
    documents.fetch.asked_at = Some(now.mono);
    send(out, from, Body::FetchCatalogue(fetch));
}

fn take_full_transfer(transfers: &mut FullTransfers, now: Now) -> bool {
    if transfers.second_start + Duration::from_secs(1) <= now.mono {
        *transfers = FullTransfers { second_start: now.mono, sent: 0 };
    }
    transfers.sent += 1;
    transfers.sent <= MAX_FULL_TRANSFERS_PER_SECOND
}

fn send(out: &mut Vec<Effect>, to: VmId, body: Body) {
    out.push(Effect::Send { to, message: Message::from(body) });
}
