//! Decides whether the catalogue in force is fresh enough to serve callers.

use std::time::Duration;

use super::note;
use crate::{effect::Effect, state::State, time::Now};

/// Maximum time that a daemon waits to be in contact with all members after it has received the VM
/// list.
const MAX_CONTACT_WAIT: Duration = Duration::from_secs(2);
/// Maximum further time that it waits for a newer catalogue that peers have advertised.
const MAX_STALE_WAIT: Duration = Duration::from_secs(5);

/// Stops serving callers after a pause of this process, because a newer catalogue may have come
/// into force meanwhile.
pub fn on_pause(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let freshness = &mut state.documents.freshness;
    freshness.is_fresh = false;
    if state.members.own_status.has_list {
        freshness.peer_deadline = Some(now.mono + state.local.tuning.dead_after);
    }
    update(state, now, out);
}

/// Starts the wait for contact with all members. Called when the VM list is known.
pub fn start_contact_wait(state: &mut State, now: Now) {
    let freshness = &mut state.documents.freshness;
    if freshness.peer_deadline.is_none() {
        freshness.peer_deadline = Some(now.mono + MAX_CONTACT_WAIT);
    }
}

/// Starts to serve callers once the catalogue in force is fresh enough.
pub fn update(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let documents = &state.documents;
    let Some(wait_until) = documents.freshness.peer_deadline else { return };
    let in_force = state.view.catalogue.revision;
    if documents.freshness.is_fresh || in_force == 0 {
        return;
    }
    let counted_from = state.members.own_status.rejoining_since;
    let members = state.members.count_members(|m| {
        m.last_seen.is_some_and(|last_seen| counted_from.is_none_or(|from| from <= last_seen))
    });
    let is_contact_done = members.in_contact == members.total || wait_until <= now.mono;
    let advertised = documents.advertised.catalogue.revision;
    let is_stale = in_force < advertised;
    if !is_contact_done || (is_stale && now.mono < wait_until + MAX_STALE_WAIT) {
        return;
    }
    if is_stale {
        // Refusing all callers because of a catalogue that can't be fetched would help nobody.
        let fields = vec![("in_force", in_force.to_string()), ("shown", advertised.to_string())];
        note(out, "catalogue_behind", fields);
    }
    state.documents.freshness.is_fresh = true;
    note(out, "catalogue_current", vec![("revision", in_force.to_string())]);
}
