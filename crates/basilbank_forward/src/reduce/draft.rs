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
    let picked = pick::prefill(state, &service, &tried, near, now);
    let Some(endpoint) = picked.filter(|at| !sooner_at_decode(state, *at, tokens, now)) else {
        return whole(state, id, hold, now);
    };
    let work = reading(state, endpoint, tokens);
    let limit = state.tuning.prefill_limit + work * 3;
    let extra = again.then_some(Retry::NotRun);
    let step = Step::Prefill;
    Next::Send(Send { endpoint, op: Op::Prefill, step, tokens, limit, counted: again, extra })
}

/// When a prefill endpoint will have read the prompt, behind what it has.
fn reading(state: &State, endpoint: EndpointKey, tokens: u32) -> Duration {
    let waiting = state.directory.get(endpoint).map_or(0, |e| e.all_tokens()) + tokens;
    Duration::from_secs_f64(f64::from(waiting) / state.tuning.prefill_rate)
}

/// The decode endpoint would have read the prompt sooner. It reads at a fraction of the rate, but
/// in a surge, or when prefill endpoints fail, the queues before these grow to seconds within a
/// second, and another endpoint's change of stage takes longer than the surge.
fn sooner_at_decode(state: &State, endpoint: EndpointKey, tokens: u32, now: Duration) -> bool {
    let avoided = state.directory.get(endpoint).is_none_or(|e| now < e.avoided);
    let rate = state.tuning.prefill_rate * state.tuning.self_rate;
    let alone = Duration::from_secs_f64(f64::from(tokens) / rate) + state.tuning.self_margin;
    avoided || alone < reading(state, endpoint, tokens)
}

/// The decode endpoint reads the prompt itself.
fn whole(state: &State, id: RequestId, hold: &Hold, now: Duration) -> Next {
    let Some(request) = state.requests.get(&id) else { return Next::Wait };
    let limit = match request.route.resumable {
        true => state.tuning.stream_limit,
        false => request.remaining(now),
    };
    let op = Op::Stream { hold: Some(hold.name.clone()) };
    let again = request.draft.refusals != 0 || request.counted != 0;
    let extra = again.then_some(Retry::NotRun);
    let (endpoint, tokens) = (hold.endpoint, hold.tokens);
    Next::Send(Send { endpoint, op, step: Step::Decode, tokens, limit, counted: true, extra })
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
