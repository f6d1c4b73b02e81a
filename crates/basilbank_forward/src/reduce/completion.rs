//! What comes next for a draft: a slot at a decode endpoint, the prefill, then the decode.
//!
//! The slot comes before the prefill: a KV cache whose decode endpoint turns out to be full lives
//! for some hundred milliseconds only, and then its prompt has been read in vain.

use std::time::Duration;

use super::{
    next_step::{Dispatch, NextStep},
    placement::{self, Criteria, Decode},
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
pub fn next_step(state: &mut State, id: RequestId, now: Duration) -> NextStep {
    let Some(request) = state.requests.get(&id) else { return NextStep::Wait };
    if !request.live.is_empty() || request.resume_at.is_some() {
        return NextStep::Wait;
    }
    if request.route.attempts <= request.counted {
        return NextStep::GiveUp(request.failure.unwrap_or(Refusal::RetriesExhausted));
    }
    match (usable_kv(state, request, now), request.draft.hold.clone()) {
        (Some(kv), Some(hold)) => request_decode(state, id, kv, hold, now),
        (None, Some(hold)) => request_prefill(state, id, &hold, now),
        (_, None) => request_hold(state, id, now),
    }
}

/// The KV cache that waits for the draft, if there is time to take it.
fn usable_kv(state: &State, request: &Request, now: Duration) -> Option<Kv> {
    let kv = request.draft.kv.clone()?;
    let engine = state.routes.engine(&request.service)?;
    let until = kv.made + engine.kept.saturating_sub(state.tuning.kv_margin);
    (now < until).then_some(kv)
}

fn request_hold(state: &mut State, id: RequestId, now: Duration) -> NextStep {
    let Some(request) = state.requests.get(&id) else { return NextStep::Wait };
    let timeout = state.tuning.hold_limit;
    if request.patience() < now + state.tuning.lead {
        return NextStep::GiveUp(Refusal::WaitTimedOut);
    }
    if state.tuning.hold_tries <= request.draft.asked {
        return NextStep::WaitUntil(now + state.tuning.hold_pause);
    }
    let (service, tried, due) = (request.service.clone(), recently_asked(request), request.due());
    let prompt = request.call.prompt.clone().unwrap_or_default();
    let share = Share::draft(prompt.tokens, prompt.expected_output());
    let memory_fraction = match request.is_timely(now + state.tuning.lead) {
        true => state.tuning.memory_used,
        false => state.tuning.memory_late,
    };
    // A KV cache that crosses data centres costs twice the transfer, so the decode endpoint is
    // looked for beside the one that will read the prompt, or has.
    let near = match &request.draft.kv {
        Some(kv) => Some(kv.endpoint),
        None => placement::pick_prefill(state, &service, &[], None, prompt.tokens, now),
    };
    let hold_ttl = state.routes.engine(&service).map_or(Duration::ZERO, |e| e.hold);
    let peers_ahead = state.before(&service, due, now);
    let criteria = Criteria { near, share, memory_fraction, session: prompt.session };
    let endpoint = match placement::pick_decode(state, &service, &tried, &criteria, now) {
        Decode::At(endpoint) => endpoint,
        Decode::Full => {
            state.line.taken(&service);
            return NextStep::WaitForCapacity;
        }
        Decode::None => return NextStep::GiveUp(Refusal::NoEndpoint),
    };
    let wait =
        state.tuning.line_step.saturating_mul(u32::try_from(peers_ahead).unwrap_or(u32::MAX));
    let turn_at = state.line.turn_at(&service, wait, now);
    if now < turn_at {
        return NextStep::WaitForTurn(turn_at);
    }
    state.line.taken(&service);
    let op = Op::Hold { tokens: hold_tokens(state, &prompt), ttl: hold_ttl };
    NextStep::Dispatch(Dispatch {
        endpoint,
        op,
        step: Step::Hold,
        share,
        timeout,
        counted: false,
        retry: None,
    })
}

/// Memory that is held with a slot.
///
/// Where daemons hear of each other late, an endpoint that looks roomy is often full. It knows what it has,
/// so it is asked for the prompt's memory; without this it takes the draft, and puts it or another one back
/// in the middle of a stream, to read its prompt once more. Where views are true the room was judged
/// already, and memory that is held while the prompt is read would only be idle; and of a draft that is
/// mostly answer the endpoint knows the smaller part.
fn hold_tokens(state: &State, prompt: &Prompt) -> u32 {
    let min_tokens = state.tuning.hold_tokens;
    let has_late_views = state.tuning.true_views < state.peers.known.len();
    let knows_most = prompt.expected_output() < prompt.tokens;
    if has_late_views && knows_most { min_tokens.max(prompt.tokens) } else { min_tokens }
}

/// Decode endpoints that were asked since the last pause.
fn recently_asked(request: &Request) -> Vec<EndpointKey> {
    request.tried.iter().rev().take(request.draft.asked as usize).copied().collect()
}

fn request_prefill(state: &mut State, id: RequestId, hold: &Hold, now: Duration) -> NextStep {
    let Some(request) = state.requests.get(&id) else { return NextStep::Wait };
    // Once a prefill endpoint may have read the prompt, another one's reading counts as an attempt
    // of its own, and the decode after it as one more. The decode endpoint does both in one.
    if request.draft.prefills != 0 || request.counted != 0 {
        return request_stream(state, id, hold, now);
    }
    let tokens = request.call.prompt.as_ref().map_or(0, |p| p.tokens);
    let retry = (request.unpaid != 0).then_some(Retry::NotRun);
    let (service, tried) = (request.service.clone(), request.tried.clone());
    // When all daemons restart at once, each takes the prefill endpoints for idle, and the prompts of
    // all callers that come back would queue there for seconds. The decode endpoints, whose streams
    // were all cut, have nothing to do, and have kept many of these prompts.
    if state.is_blind(now) {
        return request_stream(state, id, hold, now);
    }
    let picked = placement::pick_prefill(state, &service, &tried, Some(hold.endpoint), tokens, now);
    let Some(request) = state.requests.get(&id) else { return NextStep::Wait };
    let is_worthwhile = |at: &EndpointKey| !is_sooner_at_decode(state, request, *at, tokens, now);
    let Some(endpoint) = picked.filter(is_worthwhile) else {
        return request_stream(state, id, hold, now);
    };
    let timeout = state.tuning.prefill_limit + prefill_time(state, endpoint, tokens) * 2;
    let (step, share) = (Step::Prefill, Share::reading(tokens));
    NextStep::Dispatch(Dispatch {
        endpoint,
        op: Op::Prefill,
        step,
        share,
        timeout,
        counted: false,
        retry,
    })
}

/// When a prefill endpoint will have read the prompt, behind what it has.
fn prefill_time(state: &State, endpoint: EndpointKey, tokens: u32) -> Duration {
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
fn is_sooner_at_decode(
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
    let read_time = prefill_time(state, endpoint, tokens);
    let on_time = now + read_time + tuning.self_margin <= request.due();
    let rate = tuning.prefill_rate * tuning.self_rate;
    let own_time = Duration::from_secs_f64(f64::from(tokens) / rate) + tuning.self_margin;
    !on_time && own_time < read_time
}

/// The decode endpoint reads the prompt itself.
fn request_stream(state: &State, id: RequestId, hold: &Hold, now: Duration) -> NextStep {
    let Some(request) = state.requests.get(&id) else { return NextStep::Wait };
    let timeout = match request.route.resumable {
        true => state.tuning.stream_limit,
        false => request.remaining(now),
    };
    let op = Op::Stream { hold: Some(hold.name.clone()) };
    let retry = request.repeats().then_some(Retry::NotRun);
    let (endpoint, share) = (hold.endpoint, hold.share.unwrap_or_default());
    NextStep::Dispatch(Dispatch {
        endpoint,
        op,
        step: Step::Decode,
        share,
        timeout,
        counted: true,
        retry,
    })
}

fn request_decode(state: &State, id: RequestId, kv: Kv, hold: Hold, now: Duration) -> NextStep {
    let Some(request) = state.requests.get(&id) else { return NextStep::Wait };
    let timeout = match request.route.resumable {
        true => state.tuning.stream_limit,
        false => request.remaining(now),
    };
    let Some(source) = state.directory.get(kv.endpoint).map(|e| e.info.addr) else {
        return request_stream(state, id, &hold, now);
    };
    let (endpoint, share) = (hold.endpoint, hold.share.unwrap_or_default());
    let op = Op::Decode { source, handle: kv.handle, hold: Some(hold.name) };
    let retry = request.repeats().then_some(Retry::Full);
    NextStep::Dispatch(Dispatch {
        endpoint,
        op,
        step: Step::Decode,
        share,
        timeout,
        counted: true,
        retry,
    })
}
