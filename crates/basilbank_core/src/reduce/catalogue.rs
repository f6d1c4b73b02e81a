//! The catalogue and the VM list: from the platform or a peer, into force, and on to peers.

mod check;
mod freshness;
mod peers;
mod platform;

use std::time::Duration;

use basilbank_wire::{Document, VmList};

pub use self::{
    check::on_checked,
    freshness::on_pause,
    peers::{on_catalogue_delta, on_fetch_catalogue, on_fetch_vms, on_heartbeat, on_peer_vms},
    platform::{on_documents, on_documents_failed, on_platform_vms, on_vms_failed},
};
use crate::{
    effect::{Effect, Progress},
    reduce::member,
    state::{ApplyResult, State, Timer},
    time::Now,
};

/// Time between two looks at what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Least time between two rounds of telling peers of new revisions, so that a burst of changes is
/// told together.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// Reads, fetches, checks and tells what is due.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    state.timers.set(now.mono + TICK_INTERVAL, Timer::Platform);
    platform::tick(state, now, out);
    peers::tick(state, now, out);
    check::tick(state, now, out);
    freshness::update(state, now, out);
    announce(state, now, out);
}

/// Takes documents in, from wherever they come.
fn apply_documents(
    state: &mut State,
    now: Now,
    after: u64,
    revision: u64,
    documents: Vec<Document>,
    out: &mut Vec<Effect>,
) -> DocumentsStatus {
    match state.documents.store.apply(after, revision, documents) {
        ApplyResult::Stale => {
            let known = state.documents.store.revision;
            let pairs = vec![("revision", revision.to_string()), ("known", known.to_string())];
            note(out, "documents_stale", pairs);
            DocumentsStatus::Dropped
        }
        ApplyResult::Gap => DocumentsStatus::Dropped,
        ApplyResult::Unchanged => DocumentsStatus::Known,
        ApplyResult::Changed(former) => {
            state.documents.accepted.record_changes(former);
            check::tick(state, now, out);
            state.documents.unreported = true;
            announce(state, now, out);
            DocumentsStatus::Known
        }
    }
}

/// Takes a VM list in, unless one as new is known.
fn apply_vm_list(state: &mut State, now: Now, list: VmList, out: &mut Vec<Effect>) {
    if list.revision <= state.documents.vms.revision {
        return;
    }
    if list.vms.is_empty() {
        // A platform that lost its data would otherwise dissolve the fleet.
        note(out, "vm_list_empty", vec![("revision", list.revision.to_string())]);
        return;
    }
    let pairs = vec![("revision", list.revision.to_string()), ("vms", list.vms.len().to_string())];
    note(out, "vm_list", pairs);
    state.members.apply_list(&list.vms);
    state.documents.vms = list;
    freshness::start_contact_wait(state, now);
    state.documents.reported_at = now.mono;
    member::on_vm_list(state, now, out);
    freshness::update(state, now, out);
}

/// Tells a few peers of new revisions at once; heartbeats tell the rest.
fn announce(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let documents = &mut state.documents;
    if !documents.unreported || now.mono < documents.reported_at + MIN_ANNOUNCE_INTERVAL {
        return;
    }
    documents.unreported = false;
    documents.reported_at = now.mono;
    member::push(state, now, out);
}

/// Whether documents that came are known now.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum DocumentsStatus {
    /// They are, or something newer is not contradicted by them.
    Known,
    /// They were of no use.
    Dropped,
}

fn note(out: &mut Vec<Effect>, name: &'static str, pairs: Vec<(&'static str, String)>) {
    out.push(Effect::Progress(Progress::Note { name, fields: pairs }));
}
