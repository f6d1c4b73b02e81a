//! Decides which daemons read the platform, and when.
//!
//! Three live members, the watchers, read for all; the others learn of changes from them. A daemon
//! that has received no confirmation for a while reads for itself. Its interval grows with the VM
//! list, so that the reads of the whole fleet stay the same however large it is, also while the
//! platform is down.

use std::time::Duration;

use basilbank_wire::{Document, VmList, VmRecord};

use super::{DocumentsStatus, apply_documents, apply_vm_list};
use crate::{
    effect::Effect,
    state::{State, rank},
    time::Now,
};

/// Number of members that watch the platform.
const WATCHER_COUNT: usize = 3;
/// Subject that the watchers are ranked by in rendezvous hashing ("watchers" in ASCII).
const WATCHER_SUBJECT: u64 = 0x7761_7463_6865_7273;
/// Minimum time between two reads of a watcher, so that a burst of changes is read at once.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Time between a watcher's reads of the VM list.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an unanswered read is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time between two attempts of a watcher while the platform fails, before jitter. A change
/// that is published meanwhile is read at most 1.5 times this after the platform is back.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Time between the first two attempts while the platform fails.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time for which a daemon that has just started asks only its peers before it reads the catalogue
/// itself.
const PEERS_ONLY_TIME: Duration = Duration::from_millis(1500);
/// Time without a confirmation after which daemons that are not watchers read for themselves.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(15);
/// Mean time between two such reads over the whole fleet.
const FLEET_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two such reads of one daemon.
const MIN_OWN_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Starts the reads that are due.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let is_watching = is_watcher(state);
    if state.documents.vms_reader.is_due(now.mono, READ_TIMEOUT)
        && (is_watching || needs_vm_list(state, now))
    {
        state.documents.vms_reader.begin(now.mono);
        out.push(Effect::ReadVms);
    }
    let is_alone = state.members.own_status.has_list && state.members.listed().len() < 2;
    let is_peers_only = now.mono < state.started_at + PEERS_ONLY_TIME && !is_alone;
    if is_peers_only && state.documents.store.revision == 0 {
        return;
    }
    if state.documents.catalogue_reader.is_due(now.mono, READ_TIMEOUT)
        && (is_watching || is_unconfirmed(state, now))
    {
        state.documents.catalogue_reader.begin(now.mono);
        out.push(Effect::WatchCatalogue { after: state.documents.store.revision });
    }
}

/// Handles documents from the platform, or its answer that nothing is new.
pub fn on_documents(
    state: &mut State,
    now: Now,
    after: u64,
    revision: u64,
    documents: Vec<Document>,
    out: &mut Vec<Effect>,
) {
    let interval = if is_watcher(state) { MIN_WATCH_INTERVAL } else { own_read_interval(state) };
    state.documents.catalogue_reader.record_success(now.mono + interval);
    if apply_documents(state, now, after, revision, documents, out) == DocumentsStatus::Known {
        state.documents.confirmed_at = Some(now.mono);
    }
}

/// Schedules the next attempt after a failed read of the documents.
pub fn on_documents_failed(state: &mut State, now: Now) {
    let delay = retry_delay(state, state.documents.catalogue_reader.failures);
    state.documents.catalogue_reader.record_failure(now.mono + delay);
}

/// Handles a VM list from the platform.
pub fn on_platform_vms(
    state: &mut State,
    now: Now,
    revision: u64,
    vms: Vec<VmRecord>,
    out: &mut Vec<Effect>,
) {
    let interval = if is_watcher(state) { VM_LIST_INTERVAL } else { own_read_interval(state) };
    state.documents.vms_reader.record_success(now.mono + interval);
    apply_vm_list(state, now, VmList { revision, vms }, out);
    tick(state, now, out);
}

/// Schedules the next attempt after a failed read of the VM list.
pub fn on_vms_failed(state: &mut State, now: Now) {
    let delay = retry_delay(state, state.documents.vms_reader.failures);
    state.documents.vms_reader.record_failure(now.mono + delay);
}

/// Returns whether this daemon watches the platform. The watchers are the live members that rank
/// highest for it, in as many data centres as possible. A daemon that is not on the VM list yet,
/// because the list lags behind, watches as well, since its peers send it nothing.
fn is_watcher(state: &State) -> bool {
    let members = &state.members;
    if members.own_status.has_list && !members.all.contains_key(&members.own) {
        return true;
    }
    let mut ranked: Vec<_> =
        members.candidates().iter().map(|vm| (rank(*vm, WATCHER_SUBJECT), *vm)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let centre = |vm| members.all.get(&vm).map(|m| m.data_centre);
    let mut chosen = Vec::with_capacity(WATCHER_COUNT);
    for (_, vm) in &ranked {
        if chosen.len() < WATCHER_COUNT && chosen.iter().all(|other| centre(*other) != centre(*vm))
        {
            chosen.push(*vm);
        }
    }
    for (_, vm) in &ranked {
        if chosen.len() < WATCHER_COUNT && !chosen.contains(vm) {
            chosen.push(*vm);
        }
    }
    chosen.contains(&members.own)
}

fn needs_vm_list(state: &State, now: Now) -> bool {
    !state.members.own_status.has_list || is_unconfirmed(state, now)
}

fn is_unconfirmed(state: &State, now: Now) -> bool {
    let since = state.documents.confirmed_at.unwrap_or(state.started_at);
    CONFIRMATION_TIMEOUT < now.mono.saturating_sub(since)
}

/// Returns the jittered time between two reads of a daemon that is not a watcher.
fn own_read_interval(state: &mut State) -> Duration {
    let members = u32::try_from(state.members.listed().len()).unwrap_or(u32::MAX);
    let interval = (FLEET_READ_INTERVAL * members).max(MIN_OWN_READ_INTERVAL);
    interval.mul_f64(0.5 + state.rng.unit())
}

/// Returns the jittered time until a failed read is repeated.
fn retry_delay(state: &mut State, failures: u32) -> Duration {
    if state.members.own_status.has_list && !is_watcher(state) {
        return own_read_interval(state);
    }
    let delay = INITIAL_RETRY_DELAY * 2_u32.saturating_pow(failures.min(8));
    delay.min(MAX_RETRY_DELAY).mul_f64(0.5 + state.rng.unit())
}
