//! What comes next for a draft: a slot at a decode endpoint, the prefill, then the decode.
//!
//! The slot comes before the prefill: a KV cache whose decode endpoint turns out to be full lives
//! for some hundred milliseconds only, and then its prompt has been read in vain.

use std::time::Duration;

use super::{
    pick::{self, Decode},
    step::{Next, Send},
};
use crate::{
    call::RequestId,
    effect::Op,
    endpoint::EndpointKey,
    reason::{Refusal, Retry},
    state::{
        Request, State,
        requests::{Hold, Kv, Step},
    },
};

/// The next step of a draft.
pub fn next(state: &mut State, id: RequestId, now: Duration) -> Next {
    let Some(request) = state.requests.get(&id) else { return Next::Wait };
    if !request.live.is_empty() || request.resume_at.is_some() {
        return Next::Wait;
    }
    if request.route.attempts <= request.counted {
        return Next::GiveUp(request.failure.unwrap_or(Refusal::RetriesSpent));
    }
    match (usable_kv(state, request, now), request.draft.hold.clone()) {
        (Some(kv), hold) => decode(state, id, kv, hold, now),
        (None, Some(hold)) => prefill(state, id, &hold, now),
        (None, None) => hold(state, id, now),
    }
}

/// The KV cache that waits for the draft, if there is time to take it.
fn usable_kv(state: &State, request: &Request, now: Duration) -> Option<Kv> {
    let kv = request.draft.kv.clone()?;
    let engine = state.routes.engine(&request.service)?;
    let until = kv.made + engine.kept.saturating_sub(state.tuning.kv_margin);
    (now < until).then_some(kv)
}

fn hold(state: &mut State, id: RequestId, now: Duration) -> Next {
    let Some(request) = state.requests.get(&id) else { return Next::Wait };
    let tuning = &state.tuning;
    if tuning.hold_tries <= request.draft.asked {
        return Next::WaitUntil(now + tuning.hold_pause);
    }
    let (service, tried) = (request.service.clone(), asked(request));
    let tokens = request.call.prompt.as_ref().map_or(0, |p| p.expected());
    let longest = state.routes.engine(&service).map_or(Duration::ZERO, |e| e.hold);
    let op = Op::Hold { tokens: tuning.hold_tokens, ttl: longest };
    let limit = tuning.hold_limit;
    let endpoint = match pick::decode(state, &service, &tried, None, tokens, now) {
        Decode::At(endpoint) => endpoint,
        Decode::Full => return Next::WaitForRoom,
        Decode::None => return Next::GiveUp(Refusal::NoEndpoint),
    };
    Next::Send(Send { endpoint, op, step: Step::Hold, tokens, limit, counted: false, extra: None })
}

/// Decode endpoints that were asked since the last pause.
fn asked(request: &Request) -> Vec<EndpointKey> {
    request.tried.iter().rev().take(request.draft.asked as usize).copied().collect()
}

fn prefill(state: &mut State, id: RequestId, hold: &Hold, now: Duration) -> Next {
    let Some(request) = state.requests.get(&id) else { return Next::Wait };
    let tokens = request.call.prompt.as_ref().map_or(0, |p| p.tokens);
    let again = request.draft.prefills != 0;
    let (service, tried) = (request.service.clone(), request.tried.clone());
    let near = Some(hold.endpoint);
    let Some(endpoint) = pick::prefill(state, &service, &tried, near, now) else {
        return Next::GiveUp(Refusal::NoEndpoint);
    };
    let waiting = state.directory.get(endpoint).map_or(0, |e| e.tokens) + tokens;
    let work = Duration::from_secs_f64(f64::from(waiting) / state.tuning.prefill_rate);
    let limit = state.tuning.prefill_limit + work * 3;
    let extra = again.then_some(Retry::NotRun);
    let step = Step::Prefill;
    Next::Send(Send { endpoint, op: Op::Prefill, step, tokens, limit, counted: again, extra })
}

fn decode(state: &mut State, id: RequestId, kv: Kv, hold: Option<Hold>, now: Duration) -> Next {
    let Some(request) = state.requests.get(&id) else { return Next::Wait };
    let tokens = request.call.prompt.as_ref().map_or(0, |p| p.expected());
    let (service, tried) = (request.service.clone(), request.tried.clone());
    let again = request.draft.refusals != 0 || request.counted != 0;
    let limit = match request.route.resumable {
        true => state.tuning.stream_limit,
        false => request.remaining(now),
    };
    let endpoint = match &hold {
        Some(hold) => Some(hold.endpoint),
        None => match pick::decode(state, &service, &tried, Some(kv.endpoint), tokens, now) {
            Decode::At(endpoint) => Some(endpoint),
            Decode::Full | Decode::None => None,
        },
    };
    let source = state.directory.get(kv.endpoint).map(|e| e.info.addr);
    let (Some(endpoint), Some(source)) = (endpoint, source) else {
        return Next::GiveUp(Refusal::NoEndpoint);
    };
    let op = Op::Decode { source, handle: kv.handle, hold: hold.map(|h| h.name) };
    let extra = again.then_some(Retry::Full);
    Next::Send(Send { endpoint, op, step: Step::Decode, tokens, limit, counted: true, extra })
}
