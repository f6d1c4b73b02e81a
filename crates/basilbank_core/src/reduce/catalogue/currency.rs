//! Whether the catalogue in force may be served.

use std::time::Duration;

use super::note;
use crate::{effect::Effect, state::State, time::Now};

/// How long a daemon that has just learnt the VM list waits to hear all the others.
const GREETING: Duration = Duration::from_secs(2);
/// How long it waits beyond that for a catalogue that peers have shown.
const BEHIND: Duration = Duration::from_secs(5);

/// The process slept: others may have gone on.
pub fn awake(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let currency = &mut state.documents.currency;
    currency.current = false;
    if state.members.presence.listed {
        currency.patience = Some(now.mono + state.local.tuning.dead_after);
    }
    settle(state, now, out);
}

/// The VM list is known.
pub fn listed(state: &mut State, now: Now) {
    let currency = &mut state.documents.currency;
    if currency.patience.is_none() {
        currency.patience = Some(now.mono + GREETING);
    }
}

/// Judges anew whether callers may be served.
pub fn settle(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let documents = &state.documents;
    let Some(patience) = documents.currency.patience else { return };
    let in_force = state.view.catalogue.revision;
    if documents.currency.current || in_force == 0 {
        return;
    }
    let from = state.members.presence.waiting;
    let all = state.members.census(|m| m.heard.is_some_and(|h| from.is_none_or(|f| f <= h)));
    let has_heard = all.heard == all.of || patience <= now.mono;
    let shown = documents.shown.catalogue.revision;
    let is_behind = in_force < shown;
    if !has_heard || (is_behind && now.mono < patience + BEHIND) {
        return;
    }
    if is_behind {
        // To refuse everybody for a catalogue that can't be had would help nobody.
        let pairs = vec![("in_force", in_force.to_string()), ("shown", shown.to_string())];
        note(out, "catalogue_behind", pairs);
    }
    state.documents.currency.current = true;
    note(out, "catalogue_current", vec![("revision", in_force.to_string())]);
}
