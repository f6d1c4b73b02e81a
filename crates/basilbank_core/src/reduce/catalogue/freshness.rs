//! Whether the catalogue in force may be served.

use std::time::Duration;

use super::note;
use crate::{effect::Effect, state::State, time::Now};

/// How long a daemon that has just learnt the VM list waits to hear all the others.
const MAX_CONTACT_WAIT: Duration = Duration::from_secs(2);
/// How long it waits beyond that for a catalogue that peers have shown.
const MAX_STALE_WAIT: Duration = Duration::from_secs(5);

/// The process slept: others may have gone on.
pub fn on_pause(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let freshness = &mut state.documents.freshness;
    freshness.is_fresh = false;
    if state.members.own_status.has_list {
        freshness.peer_deadline = Some(now.mono + state.local.tuning.dead_after);
    }
    update(state, now, out);
}

/// The VM list is known.
pub fn start_contact_wait(state: &mut State, now: Now) {
    let freshness = &mut state.documents.freshness;
    if freshness.peer_deadline.is_none() {
        freshness.peer_deadline = Some(now.mono + MAX_CONTACT_WAIT);
    }
}

/// Judges anew whether callers may be served.
pub fn update(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let documents = &state.documents;
    let Some(wait_until) = documents.freshness.peer_deadline else { return };
    let in_force = state.view.catalogue.revision;
    if documents.freshness.is_fresh || in_force == 0 {
        return;
    }
    let from = state.members.own_status.rejoining_since;
    let all =
        state.members.count_members(|m| m.last_seen.is_some_and(|h| from.is_none_or(|f| f <= h)));
    let is_contact_done = all.in_contact == all.total || wait_until <= now.mono;
    let shown = documents.advertised.catalogue.revision;
    let is_stale = in_force < shown;
    if !is_contact_done || (is_stale && now.mono < wait_until + MAX_STALE_WAIT) {
        return;
    }
    if is_stale {
        // To refuse everybody for a catalogue that can't be had would help nobody.
        let pairs = vec![("in_force", in_force.to_string()), ("shown", shown.to_string())];
        note(out, "catalogue_behind", pairs);
    }
    state.documents.freshness.is_fresh = true;
    note(out, "catalogue_current", vec![("revision", in_force.to_string())]);
}
