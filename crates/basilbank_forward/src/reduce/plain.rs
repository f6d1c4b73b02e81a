//! What comes next for a call to a plain service.

use std::time::Duration;

use super::{
    next::{Next, Send},
    pick::{self, Plain},
};
use crate::{
    call::RequestId,
    effect::Op,
    reason::{Refusal, Retry},
    route::Kind,
    state::{Share, State, requests::Step},
};

/// The next step: the first attempt, or another one after a failure that allows it.
pub fn next(state: &mut State, id: RequestId, now: Duration) -> Next {
    let Some(request) = state.requests.get(&id) else { return Next::Wait };
    let hedge_at = request.arrived + request.route.target.mul_f64(state.tuning.hedge_part);
    let mut extra = request.repeats().then_some(Retry::NotRun);
    if !request.live.is_empty() {
        if request.route.kind != Kind::Idempotent || request.route.attempts <= request.counted {
            return Next::Wait;
        }
        if now < hedge_at {
            return Next::WaitUntil(hedge_at);
        }
        // Without budget the first attempt goes on: to give it up would fail a call that runs.
        if 1 < request.live.len() || !state.retry_pays(id, now) {
            return Next::Wait;
        }
        extra = Some(Retry::Hedge);
    }
    let Some(request) = state.requests.get(&id) else { return Next::Wait };
    if request.route.attempts <= request.counted {
        return Next::GiveUp(request.failure.unwrap_or(Refusal::RetriesSpent));
    }
    let (service, tried) = (request.service.clone(), request.tried.clone());
    let (limit, streams) = (request.remaining(now), request.route.kind == Kind::Streaming);
    let waits = request.live.is_empty();
    let endpoint = match pick::plain(state, &service, &tried, now) {
        Plain::At(endpoint) => endpoint,
        Plain::Limited if waits => return Next::WaitForPermit,
        Plain::None if waits => return Next::GiveUp(Refusal::NoEndpoint),
        Plain::Limited | Plain::None => return Next::Wait,
    };
    let share = Share::plain();
    let op = if streams { Op::Stream { hold: None } } else { Op::Plain };
    Next::Send(Send { endpoint, op, step: Step::Whole, share, limit, counted: true, extra })
}
