//! Drafts that wait for room at a decode endpoint.
//!
//! A draft that is sent on while every endpoint's memory is full waits there all the same, but its
//! prompt has been read by then and its KV cache may lapse. Here it waits without costing anything,
//! and the draft that can still be on time goes first.

use std::collections::HashSet;

use super::{Turn, step};
use crate::call::RequestId;

/// Takes a draft in that found no room; true when it has not waited before.
pub fn wait(turn: &mut Turn<'_>, id: RequestId) -> bool {
    if !turn.state.waiting.contains(&id) {
        turn.state.waiting.push(id);
    }
    let draft = turn.state.requests.get_mut(&id).map(|request| &mut request.draft);
    let first = draft.is_some_and(|draft| !std::mem::replace(&mut draft.waited, true));
    turn.state.peers.changed |= first;
    first
}

/// Lets drafts go on for which there is room now.
pub fn serve(turn: &mut Turn<'_>) {
    if turn.state.waiting.is_empty() {
        return;
    }
    turn.state.served = turn.now;
    let soonest = turn.now + turn.state.tuning.lead;
    let requests = &turn.state.requests;
    let mut order: Vec<_> = turn
        .state
        .waiting
        .iter()
        .filter_map(|id| Some((requests.get(id)?.place(soonest), *id)))
        .collect();
    order.sort_unstable();
    turn.state.waiting.clear();
    turn.state.line.turn = None;
    // Services have endpoints of their own: one that is full says nothing about the others.
    let mut full = HashSet::new();
    for (_, id) in order {
        let Some(service) = turn.state.requests.get(&id).map(|r| r.service.clone()) else {
            continue;
        };
        if full.contains(&service) {
            turn.state.waiting.push(id);
            continue;
        }
        step::go_on(turn, id);
        // It waits again: there is no room for the others of its service either.
        if turn.state.waiting.contains(&id) {
            full.insert(service);
        }
    }
}
