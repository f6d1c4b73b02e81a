//! The catalogue and the VM list: from the platform or a peer, into force, and on to peers.

mod check;
mod currency;
mod peers;
mod platform;

use std::time::Duration;

use basilbank_wire::{Document, VmList};

pub use self::{
    check::checked,
    currency::awake,
    peers::{delta, fetched, shown, vms, vms_fetched},
    platform::{documents, documents_failed, platform_vms, vms_failed},
};
use crate::{
    effect::{Effect, Progress},
    reduce::member,
    state::{Applied, State, Timer},
    time::Now,
};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(250);
/// Least time between two rounds of telling peers of new revisions, so that a burst of changes is
/// told together.
const TELL_GAP: Duration = Duration::from_millis(200);

/// Reads, fetches, checks and tells what is due.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    state.timers.set(now.mono + TICK, Timer::Platform);
    platform::tick(state, now, out);
    peers::tick(state, now, out);
    check::tick(state, now, out);
    currency::settle(state, now, out);
    tell(state, now, out);
}

/// Takes documents in, from wherever they come.
fn apply(
    state: &mut State,
    now: Now,
    after: u64,
    revision: u64,
    documents: Vec<Document>,
    out: &mut Vec<Effect>,
) -> Taken {
    match state.documents.store.apply(after, revision, documents) {
        Applied::Stale => {
            let known = state.documents.store.revision;
            let pairs = vec![("revision", revision.to_string()), ("known", known.to_string())];
            note(out, "documents_stale", pairs);
            Taken::Dropped
        }
        Applied::Gap => Taken::Dropped,
        Applied::Same => Taken::Known,
        Applied::Changed(former) => {
            state.documents.accepted.changed(former);
            check::tick(state, now, out);
            state.documents.untold = true;
            tell(state, now, out);
            Taken::Known
        }
    }
}

/// Takes a VM list in, unless one as new is known.
fn adopt(state: &mut State, now: Now, list: VmList, out: &mut Vec<Effect>) {
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
    state.members.adopt(&list.vms);
    state.documents.vms = list;
    currency::listed(state, now);
    state.documents.told = now.mono;
    member::adopted(state, now, out);
    currency::settle(state, now, out);
}

/// Tells a few peers of new revisions at once; heartbeats tell the rest.
fn tell(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let documents = &mut state.documents;
    if !documents.untold || now.mono < documents.told + TELL_GAP {
        return;
    }
    documents.untold = false;
    documents.told = now.mono;
    member::push(state, now, out);
}

/// Whether documents that came are known now.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Taken {
    /// They are, or something newer is not contradicted by them.
    Known,
    /// They were of no use.
    Dropped,
}

fn note(out: &mut Vec<Effect>, name: &'static str, pairs: Vec<(&'static str, String)>) {
    out.push(Effect::Progress(Progress::Note { name, fields: pairs }));
}
