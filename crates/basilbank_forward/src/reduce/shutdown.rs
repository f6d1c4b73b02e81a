//! The daemon's shutdown: which calls are left to other daemons, and how the rest end.
//!
//! New calls are refused by `admission`. A call that was admitted and has not begun is refused as
//! soon as it would probably be cut off, while its caller can still be served elsewhere. So is one
//! that would go on after an attempt that did not run it.

use std::time::Duration;

use super::{Context, finish, gossip};
use crate::{
    call::RequestId,
    log_line::LogLine,
    reason::Refusal,
    state::{Leaving, Request, State},
};

/// Mean duration of a completion while none has been measured.
const TYPICAL_DURATION: Duration = Duration::from_millis(1500);

/// Allowed duration of a completion that begins during the shutdown, as a multiple of the mean.
const DURATION_FACTOR: u32 = 2;

/// Begins the shutdown.
pub fn begin(ctx: &mut Context<'_>, grace: Duration) {
    ctx.state.leaving = Some(Leaving { since: ctx.now, until: ctx.now + grace });
    let running = ctx.state.requests.len();
    ctx.log(LogLine::new("shutdown").with("requests", running));
    gossip::announce_shutdown(ctx);
}

/// Refuses waiting calls that would probably be cut off if they began now.
pub fn tick(ctx: &mut Context<'_>) {
    if !has_left_balancer(ctx) {
        return;
    }
    let requests = ctx.state.requests.iter();
    let mut waiting: Vec<_> =
        requests.filter(|(_, request)| !has_begun(request)).map(|(id, _)| *id).collect();
    waiting.sort_unstable();
    for id in waiting {
        if would_cut(ctx.state, id, ctx.now) {
            finish::give_up(ctx, id, Refusal::Leaving);
        }
    }
}

/// Refuses a call that was sent before, and that nothing has run, if it would probably be cut off when
/// it went on now. Returns whether it did.
pub fn refuse_next_attempt(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let Some(request) = ctx.state.requests.get(&id) else { return false };
    let is_first = request.attempt_count == 0;
    let may_run = request.may_have_run() || !request.active_attempts.is_empty();
    if is_first || may_run || !has_left_balancer(ctx) || !would_cut(ctx.state, id, ctx.now) {
        return false;
    }
    finish::give_up(ctx, id, Refusal::Leaving);
    true
}

/// Ends the calls that are still in progress when the grace period is over. Those that have not run
/// are refused, so that their callers can try elsewhere.
pub fn complete(ctx: &mut Context<'_>) {
    let mut left: Vec<_> = ctx.state.requests.keys().copied().collect();
    left.sort_unstable();
    for id in left {
        log_end(ctx, id);
        let Some(request) = ctx.state.requests.get(&id) else { continue };
        let refusal = if request.may_have_run() { Refusal::ShutDown } else { Refusal::Leaving };
        finish::give_up(ctx, id, refusal);
    }
}

/// Returns whether the shutdown, if there is one, would probably cut a call off that an endpoint began
/// now.
pub fn would_cut(state: &mut State, id: RequestId, now: Duration) -> bool {
    let (Some(leaving), Some(request)) = (state.leaving, state.requests.get(&id)) else {
        return false;
    };
    let (service, deadline) = (request.service.clone(), request.deadline);
    let duration = match request.is_completion(state) {
        true => {
            let mean = state.forecasts.service(&service).residence.time(now);
            let mean = mean.unwrap_or(TYPICAL_DURATION);
            state.tuning.first_token_delay + mean * DURATION_FACTOR
        }
        false => request.route.target,
    };
    leaving.ends_before(deadline.min(now + duration))
}

/// Returns whether this daemon shuts down, and callers that it refuses reach others.
fn has_left_balancer(ctx: &Context<'_>) -> bool {
    ctx.state.leaving.is_some_and(|leaving| leaving.has_left_balancer(ctx.now))
}

/// Returns whether an endpoint has done work for the request: giving it up would waste that.
fn has_begun(request: &Request) -> bool {
    request.may_have_run() || request.completion.kv.is_some() || !request.active_attempts.is_empty()
}

/// Logs that the end of the shutdown ends a request, and when the request had come.
fn log_end(ctx: &mut Context<'_>, id: RequestId) {
    let (Some(request), Some(leaving)) = (ctx.state.requests.get(&id), ctx.state.leaving) else {
        return;
    };
    let line = LogLine::new("cut_by_shutdown")
        .with_ms("arrived_ms", leaving.age(request.arrived))
        .with_ms("left_ms", request.remaining(ctx.now))
        .with("answering", request.answering)
        .with("may_have_run", request.may_have_run());
    ctx.log_request(id, line);
}
