//! Drafts that wait for room at a decode endpoint.
//!
//! A draft that is sent on while every endpoint's memory is full waits there all the same, but its
//! prompt has been read by then and its KV cache may lapse. Here it waits without costing anything,
//! and the draft that can still be on time goes first.

use super::{Turn, step};
use crate::call::RequestId;

/// Takes a draft in that found no room; true when it has not waited before.
pub fn wait(turn: &mut Turn<'_>, id: RequestId) -> bool {
    if !turn.state.waiting.contains(&id) {
        turn.state.waiting.push(id);
    }
    let draft = turn.state.requests.get_mut(&id).map(|request| &mut request.draft);
    draft.is_some_and(|draft| !std::mem::replace(&mut draft.waited, true))
}

/// Lets drafts go on for which there is room now.
pub fn serve(turn: &mut Turn<'_>) {
    if turn.state.waiting.is_empty() {
        return;
    }
    let soonest = turn.now + turn.state.tuning.lead;
    let requests = &turn.state.requests;
    let mut order: Vec<_> = turn
        .state
        .waiting
        .iter()
        .filter_map(|id| {
            let request = requests.get(id)?;
            Some((!request.is_timely(soonest), request.due(), *id))
        })
        .collect();
    order.sort_unstable();
    turn.state.waiting.clear();
    let mut order = order.into_iter().map(|(_, _, id)| id);
    while let Some(id) = order.next() {
        step::go_on(turn, id);
        // It waits again: there is no room for the others either.
        if turn.state.waiting.contains(&id) {
            let rest: Vec<_> = order.collect();
            turn.state.waiting.extend(rest);
            return;
        }
    }
}
