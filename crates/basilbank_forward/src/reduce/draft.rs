//! What comes next for a draft: a slot at a decode endpoint, the prefill, then the decode.
//!
//! The slot comes before the prefill: a KV cache whose decode endpoint turns out to be full lives
//! for some hundred milliseconds only, and then its prompt has been read in vain.

use std::time::Duration;

use super::{
    next::{Next, Send},
    pick::{self, Decode, Want},
};
use crate::{
    call::{Prompt, RequestId},
    effect::Op,
    endpoint::EndpointKey,
    reason::{Refusal, Retry},
    state::{
        Request, Share, State,
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
        (Some(kv), Some(hold)) => decode(state, id, kv, hold, now),
        (None, Some(hold)) => prefill(state, id, &hold, now),
        (_, None) => hold(state, id, now),
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
    let limit = state.tuning.hold_limit;
    if request.patience() < now + state.tuning.lead {
        return Next::GiveUp(Refusal::WaitedOut);
    }
    if state.tuning.hold_tries <= request.draft.asked {
        return Next::WaitUntil(now + state.tuning.hold_pause);
    }
    let (service, tried, due) = (request.service.clone(), asked(request), request.due());
    let prompt = request.call.prompt.clone().unwrap_or_default();
    let share = Share::draft(prompt.tokens, prompt.output());
    let part = match request.is_timely(now + state.tuning.lead) {
        true => state.tuning.memory_used,
        false => state.tuning.memory_late,
    };
    // A KV cache that crosses data centres costs twice the transfer, so the decode endpoint is
    // looked for beside the one that will read the prompt, or has.
    let near = match &request.draft.kv {
        Some(kv) => Some(kv.endpoint),
        None => pick::prefill(state, &service, &[], None, prompt.tokens, now),
    };
    let longest = state.routes.engine(&service).map_or(Duration::ZERO, |e| e.hold);
    let before = state.before(&service, due, now);
    let want = Want { near, share, part, session: prompt.session };
    let endpoint = match pick::decode(state, &service, &tried, &want, now) {
        Decode::At(endpoint) => endpoint,
        Decode::Full => {
            state.line.taken(&service);
            return Next::WaitForRoom;
        }
        Decode::None => return Next::GiveUp(Refusal::NoEndpoint),
    };
    let wait = state.tuning.line_step.saturating_mul(u32::try_from(before).unwrap_or(u32::MAX));
    let turn = state.line.turn_at(&service, wait, now);
    if now < turn {
        return Next::WaitForTurn(turn);
    }
    state.line.taken(&service);
    let op = Op::Hold { tokens: hold_tokens(state, &prompt), ttl: longest };
    Next::Send(Send { endpoint, op, step: Step::Hold, share, limit, counted: false, extra: None })
}

/// Memory that is held with a slot.
///
/// Where daemons hear of each other late, an endpoint that looks roomy is often full. It knows what it has,
/// so it is asked for the prompt's memory; without this it takes the draft, and puts it or another one back
/// in the middle of a stream, to read its prompt once more. Where views are true the room was judged
/// already, and memory that is held while the prompt is read would only be idle; and of a draft that is
/// mostly answer the endpoint knows the smaller part.
fn hold_tokens(state: &State, prompt: &Prompt) -> u32 {
    let least = state.tuning.hold_tokens;
    let late = state.tuning.true_views < state.peers.known.len();
    let knows = prompt.output() < prompt.tokens;
    if late && knows { least.max(prompt.tokens) } else { least }
}

/// Decode endpoints that were asked since the last pause.
fn asked(request: &Request) -> Vec<EndpointKey> {
    request.tried.iter().rev().take(request.draft.asked as usize).copied().collect()
}

fn prefill(state: &mut State, id: RequestId, hold: &Hold, now: Duration) -> Next {
    let Some(request) = state.requests.get(&id) else { return Next::Wait };
    // Once a prefill endpoint may have read the prompt, another one's reading counts as an attempt
    // of its own, and the decode after it as one more. The decode endpoint does both in one.
    if request.draft.prefills != 0 || request.counted != 0 {
        return whole(state, id, hold, now);
    }
    let tokens = request.call.prompt.as_ref().map_or(0, |p| p.tokens);
    let extra = (request.unpaid != 0).then_some(Retry::NotRun);
    let (service, tried) = (request.service.clone(), request.tried.clone());
    // When all daemons restart at once, each takes the prefill endpoints for idle, and the prompts of
    // all callers that come back would queue there for seconds. The decode endpoints, whose streams
    // were all cut, have nothing to do, and have kept many of these prompts.
    if state.is_blind(now) {
        return whole(state, id, hold, now);
    }
    let picked = pick::prefill(state, &service, &tried, Some(hold.endpoint), tokens, now);
    let Some(request) = state.requests.get(&id) else { return Next::Wait };
    let at_prefill = |at: &EndpointKey| !sooner_at_decode(state, request, *at, tokens, now);
    let Some(endpoint) = picked.filter(at_prefill) else {
        return whole(state, id, hold, now);
    };
    let limit = state.tuning.prefill_limit + reading(state, endpoint, tokens) * 2;
    let (step, share) = (Step::Prefill, Share::reading(tokens));
    Next::Send(Send { endpoint, op: Op::Prefill, step, share, limit, counted: false, extra })
}

/// When a prefill endpoint will have read the prompt, behind what it has.
fn reading(state: &State, endpoint: EndpointKey, tokens: u32) -> Duration {
    let Some(at) = state.directory.get(endpoint) else { return Duration::ZERO };
    let waiting = f64::from(at.all_tokens() + tokens);
    Duration::from_secs_f64(at.base + waiting / state.tuning.prefill_rate * at.slowness)
}

/// The decode endpoint should read the prompt itself.
///
/// It reads at a fraction of the rate and slows the drafts that it decodes, so it does so only when
/// the prefill endpoints' queues would make the draft late, and it would be sooner. In a surge, or
/// when prefill endpoints fail, these queues grow to seconds within a second, and another endpoint's
/// change of stage takes longer than the surge.
fn sooner_at_decode(
    state: &State,
    request: &Request,
    endpoint: EndpointKey,
    tokens: u32,
    now: Duration,
) -> bool {
    let Some(at) = state.directory.get(endpoint) else { return true };
    if now < at.avoided {
        return true;
    }
    let tuning = &state.tuning;
    let reading = reading(state, endpoint, tokens);
    let on_time = now + reading + tuning.self_margin <= request.due();
    let rate = tuning.prefill_rate * tuning.self_rate;
    let alone = Duration::from_secs_f64(f64::from(tokens) / rate) + tuning.self_margin;
    !on_time && alone < reading
}

/// The decode endpoint reads the prompt itself.
fn whole(state: &State, id: RequestId, hold: &Hold, now: Duration) -> Next {
    let Some(request) = state.requests.get(&id) else { return Next::Wait };
    let limit = match request.route.resumable {
        true => state.tuning.stream_limit,
        false => request.remaining(now),
    };
    let op = Op::Stream { hold: Some(hold.name.clone()) };
    let extra = request.repeats().then_some(Retry::NotRun);
    let (endpoint, share) = (hold.endpoint, hold.share.unwrap_or_default());
    Next::Send(Send { endpoint, op, step: Step::Decode, share, limit, counted: true, extra })
}

fn decode(state: &State, id: RequestId, kv: Kv, hold: Hold, now: Duration) -> Next {
    let Some(request) = state.requests.get(&id) else { return Next::Wait };
    let limit = match request.route.resumable {
        true => state.tuning.stream_limit,
        false => request.remaining(now),
    };
    let Some(source) = state.directory.get(kv.endpoint).map(|e| e.info.addr) else {
        return whole(state, id, &hold, now);
    };
    let (endpoint, share) = (hold.endpoint, hold.share.unwrap_or_default());
    let op = Op::Decode { source, handle: kv.handle, hold: Some(hold.name) };
    let extra = request.repeats().then_some(Retry::Full);
    Next::Send(Send { endpoint, op, step: Step::Decode, share, limit, counted: true, extra })
}
