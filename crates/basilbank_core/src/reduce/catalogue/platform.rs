//! Who reads the platform, and when.
//!
//! Three live members watch for all; the others hear from them. A daemon that has heard no
//! confirmation for a while reads by itself, at an interval that grows with the list, so that the
//! fleet's reads stay the same however large it is, also while the platform is down.

use std::time::Duration;

use basilbank_wire::{Document, VmList, VmRecord};

use super::{Taken, adopt, apply};
use crate::{
    effect::Effect,
    state::{State, rank},
    time::Now,
};

/// Members that watch the platform.
const WATCHERS: usize = 3;
/// Hash of what they are chosen for.
const SUBJECT: u64 = 0x7761_7463_6865_7273;
/// Least time between two reads of a watcher, so that a burst of changes is read together.
const WATCH_GAP: Duration = Duration::from_millis(250);
/// Time between a watcher's reads of the VM list.
const LIST_GAP: Duration = Duration::from_secs(1);
/// A read that was not answered for this long is lost.
const LOST: Duration = Duration::from_secs(30);
/// Longest time between two tries of a watcher while the platform fails, before jitter. A change
/// that was published meanwhile is read this much and half as much again after the platform is back.
const MAX_RETRY: Duration = Duration::from_secs(2);
/// First time between two tries while the platform fails.
const RETRY: Duration = Duration::from_millis(500);
/// A fresh daemon asks its peers for this long before it reads the catalogue itself.
const PEERS_FIRST: Duration = Duration::from_millis(1500);
/// Without a confirmation for this long, daemons that do not watch read by themselves.
const UNCONFIRMED: Duration = Duration::from_secs(15);
/// Time between two such reads of the whole fleet, on average.
const FLEET_READ: Duration = Duration::from_millis(100);
/// Least time between two such reads of one daemon.
const OWN_READ: Duration = Duration::from_secs(5);

/// Reads what is due.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let watches = is_watcher(state);
    if state.documents.list.is_due(now.mono, LOST) && (watches || lacks_list(state, now)) {
        state.documents.list.begin(now.mono);
        out.push(Effect::ReadVms);
    }
    let is_alone = state.members.presence.listed && state.members.ring().len() < 2;
    let is_early = now.mono < state.started + PEERS_FIRST && !is_alone;
    if is_early && state.documents.store.revision == 0 {
        return;
    }
    if state.documents.watch.is_due(now.mono, LOST) && (watches || is_unconfirmed(state, now)) {
        state.documents.watch.begin(now.mono);
        out.push(Effect::WatchCatalogue { after: state.documents.store.revision });
    }
}

/// The platform sent documents, or said that nothing is new.
pub fn documents(
    state: &mut State,
    now: Now,
    after: u64,
    revision: u64,
    documents: Vec<Document>,
    out: &mut Vec<Effect>,
) {
    let gap = if is_watcher(state) { WATCH_GAP } else { own_interval(state) };
    state.documents.watch.answered(now.mono + gap);
    if apply(state, now, after, revision, documents, out) == Taken::Known {
        state.documents.confirmed = Some(now.mono);
    }
}

/// The platform did not answer.
pub fn documents_failed(state: &mut State, now: Now) {
    let wait = retry(state, state.documents.watch.failures);
    state.documents.watch.failed(now.mono + wait);
}

/// The platform sent the VM list.
pub fn platform_vms(
    state: &mut State,
    now: Now,
    revision: u64,
    vms: Vec<VmRecord>,
    out: &mut Vec<Effect>,
) {
    let gap = if is_watcher(state) { LIST_GAP } else { own_interval(state) };
    state.documents.list.answered(now.mono + gap);
    adopt(state, now, VmList { revision, vms }, out);
    tick(state, now, out);
}

/// The platform did not send the VM list.
pub fn vms_failed(state: &mut State, now: Now) {
    let wait = retry(state, state.documents.list.failures);
    state.documents.list.failed(now.mono + wait);
}

/// Whether this daemon watches the platform: it is among the live members that rank highest for it,
/// in as many data centres as there are. One that the lagging list does not have yet watches too, for
/// its peers tell it nothing.
fn is_watcher(state: &State) -> bool {
    let members = &state.members;
    if members.presence.listed && !members.all.contains_key(&members.own) {
        return true;
    }
    let mut ranked: Vec<_> =
        members.candidates().iter().map(|vm| (rank(*vm, SUBJECT), *vm)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let centre = |vm| members.all.get(&vm).map(|m| m.data_centre);
    let mut chosen = Vec::with_capacity(WATCHERS);
    for (_, vm) in &ranked {
        if chosen.len() < WATCHERS && chosen.iter().all(|other| centre(*other) != centre(*vm)) {
            chosen.push(*vm);
        }
    }
    for (_, vm) in &ranked {
        if chosen.len() < WATCHERS && !chosen.contains(vm) {
            chosen.push(*vm);
        }
    }
    chosen.contains(&members.own)
}

fn lacks_list(state: &State, now: Now) -> bool {
    !state.members.presence.listed || is_unconfirmed(state, now)
}

fn is_unconfirmed(state: &State, now: Now) -> bool {
    let since = state.documents.confirmed.unwrap_or(state.started);
    UNCONFIRMED < now.mono.saturating_sub(since)
}

/// The jittered time between two reads of a daemon that does not watch.
fn own_interval(state: &mut State) -> Duration {
    let members = u32::try_from(state.members.ring().len()).unwrap_or(u32::MAX);
    let interval = (FLEET_READ * members).max(OWN_READ);
    interval.mul_f64(0.5 + state.rng.unit())
}

/// The jittered time until a failed read is tried again.
fn retry(state: &mut State, failures: u32) -> Duration {
    if state.members.presence.listed && !is_watcher(state) {
        return own_interval(state);
    }
    let wait = RETRY * 2_u32.saturating_pow(failures.min(8));
    wait.min(MAX_RETRY).mul_f64(0.5 + state.rng.unit())
}
