//! Completions that wait for capacity at a decode endpoint.
//!
//! A completion that is sent on while the memory of all endpoints is full has to wait at an
//! endpoint, with its prompt read and a KV cache that may expire. Waiting here costs nothing, and
//! the completions that can still be on time go first.

use super::{Context, step};
use crate::{endpoint::SoftwareVersion, state::QueuePosition};

/// Resumes waiting completions if capacity may have become free. A completion that is given up may
/// in turn leave capacity for others.
pub fn resume_waiting(ctx: &mut Context<'_>) {
    while std::mem::take(&mut ctx.state.capacity_changed) {
        resume_once(ctx);
    }
}

/// Resumes the waiting completions that there is capacity for now.
fn resume_once(ctx: &mut Context<'_>) {
    if ctx.state.waiting.is_empty() {
        return;
    }
    ctx.state.capacity_checked = ctx.now;
    ctx.state.refresh_order(ctx.now);
    let soonest = ctx.now + ctx.state.tuning.first_token_delay;
    let state = &*ctx.state;
    let mut order: Vec<_> = state
        .waiting
        .iter()
        .filter_map(|id| Some((state.queue_position(state.requests.get(id)?, soonest), *id)))
        .collect();
    order.sort_unstable();
    ctx.state.waiting.clear();
    ctx.state.queue.next_turn = None;
    // Services, and versions that streams must go on at, have separate endpoints: if one is full,
    // another may not be. Where a completion waits that any version would do for, all are full.
    let mut full: Vec<(String, Option<SoftwareVersion>, QueuePosition)> = Vec::new();
    for (position, id) in order {
        let Some(request) = ctx.state.requests.get(&id) else { continue };
        let (service, version) = (request.service.clone(), request.needed_version());
        let is_blocked = full.iter().any(|(full_service, full_version, first)| {
            let is_same = full_version.is_none() || *full_version == version;
            *full_service == service && is_same && first.blocks(&position)
        });
        if is_blocked {
            ctx.state.waiting.push(id);
            continue;
        }
        step::proceed(ctx, id);
        // It waits again, so there is no capacity for the others that need the same endpoints either.
        if ctx.state.waiting.contains(&id) {
            full.push((service, version, position));
        }
    }
}
