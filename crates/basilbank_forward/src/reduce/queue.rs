//! Drafts that wait for room at a decode endpoint.
//!
//! A draft that is sent on while every endpoint's memory is full waits there all the same, but its
//! prompt has been read by then and its KV cache may lapse. Here it waits without costing anything,
//! and the draft that can still be on time goes first.

use std::collections::HashSet;

use super::{Context, step};

/// Lets drafts go on if room may have come free. A draft that is given up then may leave room to others.
pub fn resume_waiting(ctx: &mut Context<'_>) {
    while std::mem::take(&mut ctx.state.room) {
        resume_once(ctx);
    }
}

/// Lets drafts go on for which there is room now.
fn resume_once(ctx: &mut Context<'_>) {
    if ctx.state.waiting.is_empty() {
        return;
    }
    ctx.state.served = ctx.now;
    let soonest = ctx.now + ctx.state.tuning.lead;
    let requests = &ctx.state.requests;
    let mut order: Vec<_> = ctx
        .state
        .waiting
        .iter()
        .filter_map(|id| Some((requests.get(id)?.place(soonest), *id)))
        .collect();
    order.sort_unstable();
    ctx.state.waiting.clear();
    ctx.state.line.turn = None;
    // Services have endpoints of their own: one that is full says nothing about the others.
    let mut full = HashSet::new();
    for (_, id) in order {
        let Some(service) = ctx.state.requests.get(&id).map(|r| r.service.clone()) else {
            continue;
        };
        if full.contains(&service) {
            ctx.state.waiting.push(id);
            continue;
        }
        step::proceed(ctx, id);
        // It waits again: there is no room for the others of its service either.
        if ctx.state.waiting.contains(&id) {
            full.insert(service);
        }
    }
}
