//! From the prefill's end to the caller's tokens.

use crate::{
    catalogue::Role,
    effect::{Answer, Effect, EngineCall, Progress},
    ids::AttemptKey,
    reduce::{claim, place},
    state::{AttemptStage, State},
    time::Now,
};

/// The prefill is done: its KV cache goes to a decode endpoint.
pub fn prefilled(
    state: &mut State,
    key: AttemptKey,
    handle: String,
    tokens: u32,
    cached: u32,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = state.requests.attempts.get(key) else { return };
    let (request_key, source) = (attempt.request, attempt.endpoint);
    let request = &mut state.requests.arena[request_key];
    request.prompt = tokens;
    request.cached = cached;
    let Some(entry) = state.view.entry(request.entry) else { return };
    let Some(endpoint) = place::choose(state, entry.target, Role::Decode, 0) else { return };
    let attempt = &mut state.requests.attempts[key];
    attempt.endpoint = endpoint;
    attempt.stage = AttemptStage::Decode { held: Some(handle.clone()) };
    let draft = place::draft_call(state, request_key, endpoint);
    out.push(Effect::Engine(EngineCall::Decode { draft, source, handle }));
}

/// The decode endpoint streams.
pub fn started(state: &mut State, key: AttemptKey, stream: String, out: &mut Vec<Effect>) {
    let Some(attempt) = state.requests.attempts.get_mut(key) else { return };
    attempt.stage = AttemptStage::Decode { held: Some(stream.clone()) };
    let request = attempt.request;
    let caller = state.requests.arena[request].caller;
    let base = -i64::from(attempt.base);
    let answer = Answer::Located { endpoint: attempt.endpoint, stream, base };
    out.push(Effect::Answer { caller, answer });
    claim::located(state, request);
}

/// Tokens came: pass on those that the caller lacks.
pub fn tokens(
    state: &mut State,
    now: Now,
    key: AttemptKey,
    offset: u32,
    texts: Vec<String>,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = state.requests.attempts.get_mut(key) else { return };
    if attempt.taken < offset {
        return;
    }
    let fresh: Vec<_> = texts.into_iter().skip((attempt.taken - offset) as usize).collect();
    if fresh.is_empty() {
        return;
    }
    let count = fresh.len() as u32;
    attempt.taken += count;
    let request = &mut state.requests.arena[attempt.request];
    if request.first.is_none() {
        request.first = Some(now.mono);
        let ttft = now.mono - request.accepted;
        let progress = Progress::FirstToken { request: request.id, entry: request.entry, ttft };
        out.push(Effect::Progress(progress));
    }
    request.last = Some(now.mono);
    let answer = Answer::Tokens { offset: request.delivered, texts: fresh };
    request.delivered += count;
    out.push(Effect::Answer { caller: request.caller, answer });
}
