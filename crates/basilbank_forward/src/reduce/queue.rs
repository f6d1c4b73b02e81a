//! Drafts that wait for room at a decode endpoint.
//!
//! A draft that is sent on while every endpoint's memory is full waits there all the same, but its
//! prompt has been read by then and its KV cache may lapse. Here it waits without costing anything,
//! and the draft that can still be on time goes first.

use std::collections::HashSet;

use super::{Turn, step};

/// Lets drafts go on if room may have come free. A draft that is given up then may leave room to others.
pub fn settle(turn: &mut Turn<'_>) {
    while std::mem::take(&mut turn.state.room) {
        serve(turn);
    }
}

/// Lets drafts go on for which there is room now.
fn serve(turn: &mut Turn<'_>) {
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
