//! Decides the next step of a call to a plain service.

use std::time::Duration;

use super::{
    next_step::{Dispatch, NextStep},
    placement::{self, PlainChoice},
    silence::RECHECK_INTERVAL,
};
use crate::{
    call::RequestId,
    effect::Op,
    reason::{Refusal, Retry},
    route::RouteKind,
    state::{State, Usage, requests::Step},
};

/// Returns the next step: the first attempt, or another one after a failure that allows it.
pub fn next_step(state: &mut State, id: RequestId, now: Duration) -> NextStep {
    let Some(request) = state.requests.get(&id) else { return NextStep::Wait };
    let hedge_at = request.arrived + request.route.target.mul_f64(state.tuning.hedge_fraction);
    let mut retry = request.is_repeat().then_some(Retry::NotRun);
    let takes_over = request.is_silent()
        && !request.has_live_attempt()
        && request.route.kind == RouteKind::Streaming;
    if takes_over {
        retry = Some(Retry::TimedOut);
    } else if !request.active_attempts.is_empty() {
        if request.route.kind != RouteKind::Idempotent
            || request.route.max_attempts <= request.counted_attempts
        {
            return NextStep::Wait;
        }
        if now < hedge_at {
            return NextStep::WaitUntil(hedge_at);
        }
        // Without retry budget the first attempt continues: giving it up would fail a call that is
        // running.
        if 1 < request.active_attempts.len() || !state.is_retry_useful(id, now) {
            return NextStep::Wait;
        }
        retry = Some(Retry::Hedge);
    }
    let Some(request) = state.requests.get(&id) else { return NextStep::Wait };
    if request.route.max_attempts <= request.counted_attempts {
        return NextStep::GiveUp(request.last_failure.unwrap_or(Refusal::RetriesExhausted));
    }
    let (service, tried) = (request.service.clone(), request.tried.clone());
    let (timeout, streams) = (request.remaining(now), request.route.kind == RouteKind::Streaming);
    let waits = request.active_attempts.is_empty() || takes_over;
    let (pinned, target) = (request.needed_version(), request.route.target);
    let endpoint = match placement::pick_plain(state, &service, &tried, pinned, target, now) {
        PlainChoice::At(endpoint) => endpoint,
        PlainChoice::Limited if waits => return NextStep::WaitForPermit,
        PlainChoice::Paused(until) if waits => return NextStep::WaitForPause(until),
        PlainChoice::Silent if waits => return NextStep::WaitUntil(now + RECHECK_INTERVAL),
        PlainChoice::None if waits => return NextStep::GiveUp(Refusal::NoEndpoint),
        PlainChoice::VersionGone if waits => return NextStep::GiveUp(Refusal::VersionGone),
        PlainChoice::Limited
        | PlainChoice::Paused(_)
        | PlainChoice::Silent
        | PlainChoice::None
        | PlainChoice::VersionGone => return NextStep::Wait,
    };
    if takes_over && !state.may_go_on_at(id, endpoint, now) {
        return NextStep::WaitUntil(now + RECHECK_INTERVAL);
    }
    let usage = Usage::plain();
    let op = if streams { Op::Stream { hold: None } } else { Op::Plain };
    NextStep::Dispatch(Dispatch {
        endpoint,
        op,
        step: Step::Whole,
        usage,
        timeout,
        counted: true,
        retry,
    })
}
