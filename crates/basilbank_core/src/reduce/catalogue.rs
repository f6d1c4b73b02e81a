//! The catalogue comes into force.

use std::{sync::Arc, time::Duration};

use basilbank_wire::{CatalogueDelta, FetchCatalogue, FetchVms, VmList};

use crate::{
    catalogue::Catalogue,
    effect::{Effect, Progress},
    ids::VmId,
    reduce::member,
    state::{State, Timer, View},
    time::Now,
};

const RETRY: Duration = Duration::from_millis(500);

/// Asks the platform.
pub fn read(state: &State, out: &mut Vec<Effect>) {
    out.push(Effect::WatchCatalogue { after: state.view.catalogue.revision });
}

/// Takes a checked catalogue into force, unless it is older than the one in force.
pub fn checked(
    state: &mut State,
    now: Now,
    revision: u64,
    result: Result<Arc<Catalogue>, usize>,
    out: &mut Vec<Effect>,
) {
    state.timers.set(now.mono, Timer::Platform);
    if revision <= state.view.catalogue.revision {
        return;
    }
    match result {
        Ok(catalogue) => {
            state.view = View::new(catalogue);
            let pairs = vec![("revision", revision.to_string())];
            out.push(Effect::Progress(Progress::Note { name: "catalogue_in_force", pairs }));
        }
        Err(findings) => {
            let pairs =
                vec![("revision", revision.to_string()), ("findings", findings.to_string())];
            out.push(Effect::Progress(Progress::Note { name: "catalogue_rejected", pairs }));
        }
    }
}

/// The platform did not answer.
pub fn failed(state: &mut State, now: Now) {
    state.timers.set(now.mono + RETRY, Timer::Platform);
}

/// A peer asks for documents.
pub fn fetched(_state: &State, _from: VmId, _fetch: &FetchCatalogue, _out: &mut Vec<Effect>) {}

/// A peer sent documents.
pub fn delta(
    _state: &mut State,
    _now: Now,
    _from: VmId,
    _delta: CatalogueDelta,
    _out: &mut Vec<Effect>,
) {
}

/// A peer asks for the VM list.
pub fn vms_fetched(_state: &State, _from: VmId, _fetch: &FetchVms, _out: &mut Vec<Effect>) {}

/// A VM list came, from the platform or from a peer.
pub fn vms(state: &mut State, now: Now, list: VmList, out: &mut Vec<Effect>) {
    if list.revision <= state.documents.vms.revision || list.vms.is_empty() {
        return;
    }
    state.members.adopt(&list.vms);
    state.documents.vms = list;
    member::adopted(state, now, out);
}
