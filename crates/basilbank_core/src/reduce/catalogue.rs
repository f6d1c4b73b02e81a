//! Brings the catalogue and the VM list from the platform or a peer into force, and announces them
//! to peers.

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

/// Time between two checks for work that is due.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two announcements of new revisions to peers, so that a burst of changes is
/// announced once.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// Reads, fetches, checks and announces whatever is due.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    state.timers.set(now.mono + TICK_INTERVAL, Timer::Platform);
    platform::tick(state, now, out);
    peers::tick(state, now, out);
    check::tick(state, now, out);
    freshness::update(state, now, out);
    announce(state, now, out);
}

/// Applies documents from the platform or a peer to the store.
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
            let fields = vec![("revision", revision.to_string()), ("known", known.to_string())];
            note(out, "documents_stale", fields);
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

/// Applies a VM list unless the known one is as new.
fn apply_vm_list(state: &mut State, now: Now, list: VmList, out: &mut Vec<Effect>) {
    if list.revision <= state.documents.vms.revision {
        return;
    }
    if list.vms.is_empty() {
        // If the platform has lost its data, an empty list would remove every member of the fleet.
        note(out, "vm_list_empty", vec![("revision", list.revision.to_string())]);
        return;
    }
    let fields = vec![("revision", list.revision.to_string()), ("vms", list.vms.len().to_string())];
    note(out, "vm_list", fields);
    state.members.apply_list(&list.vms);
    state.documents.vms = list;
    freshness::start_contact_wait(state, now);
    state.documents.reported_at = now.mono;
    member::on_vm_list(state, now, out);
    freshness::update(state, now, out);
}

/// Announces new revisions to a few peers at once; heartbeats bring them to the rest.
fn announce(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let documents = &mut state.documents;
    if !documents.unreported || now.mono < documents.reported_at + MIN_ANNOUNCE_INTERVAL {
        return;
    }
    documents.unreported = false;
    documents.reported_at = now.mono;
    member::push(state, now, out);
}

/// Whether received documents are in the store now.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum DocumentsStatus {
    /// They are, or the store already has their revision.
    Known,
    /// They could not be used.
    Dropped,
}

fn note(out: &mut Vec<Effect>, name: &'static str, fields: Vec<(&'static str, String)>) {
    out.push(Effect::Progress(Progress::Note { name, fields }));
}
