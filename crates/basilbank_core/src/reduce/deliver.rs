//! Tokens to the caller: in order, and each once.

use crate::{
    effect::{Answer, Effect, Progress},
    ids::AttemptKey,
    reason::{Outcome, Waste},
    reduce::{charge, reserve, resume, retry, settle},
    state::{AttemptStage, State},
    time::Now,
};

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
    if attempt.stage != AttemptStage::Stream {
        return;
    }
    if attempt.taken < offset {
        return missing(state, now, key, out);
    }
    let doubled = (attempt.taken - offset) as usize;
    let request = &mut state.requests.arena[attempt.request];
    if 0 < doubled {
        let tokens = doubled.min(texts.len()) as u32;
        charge::duplicate(request.id, tokens, out);
    }
    let fresh: Vec<_> = texts.into_iter().skip(doubled).collect();
    if fresh.is_empty() {
        return;
    }
    let count = fresh.len() as u32;
    attempt.taken += count;
    attempt.heard = now.mono;
    attempt.rereads = 0;
    request.failures = 0;
    if request.first.is_none() {
        request.first = Some(now.mono);
        let ttft = now.mono - request.accepted;
        let progress = Progress::FirstToken { request: request.id, entry: request.entry, ttft };
        out.push(Effect::Progress(progress));
        let entry = state.view.entry(request.entry);
        if let (Some(entry), false) = (entry, attempt.resumed) {
            let lags = state.health.lags.entry(entry.target).or_default();
            lags.placed.add(attempt.expected, now.mono - attempt.placed);
            lags.run.add(attempt.expected, now.mono - attempt.run);
        }
    }
    request.last = Some(now.mono);
    let answer = Answer::Tokens { offset: request.delivered, texts: fresh };
    request.delivered += count;
    out.push(Effect::Answer { caller: request.caller, answer });
}

/// The stream ended by itself: the answer is whole if no token is missing.
pub fn finished(
    state: &mut State,
    now: Now,
    key: AttemptKey,
    reason: String,
    tokens: u32,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = state.requests.attempts.get(key) else { return };
    if attempt.stage != AttemptStage::Stream {
        return;
    }
    if attempt.taken < tokens {
        return missing(state, now, key, out);
    }
    let (request, slot) = (attempt.request, attempt.slot);
    if let Some(slot) = slot {
        reserve::release(state, slot, out);
    }
    whole(state, now, request, reason, out);
}

/// A request's answer is whole.
pub fn whole(
    state: &mut State,
    now: Now,
    key: crate::ids::RequestKey,
    reason: String,
    out: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.remove(key) else { return };
    let answer = Answer::Done {
        reason,
        prompt: request.prompt,
        cached: request.cached,
        generated: request.delivered,
    };
    out.push(Effect::Answer { caller: request.caller, answer });
    settle::end(state, now, &request, Outcome::Done, out);
}

/// Tokens are missing before those that came, or before the end.
///
/// Passing on what came would leave a hole in the caller's text that nobody notices, so the stream
/// is read again from the first token that is missing.
///
/// Not so right after a pause of this process: more that was sent meanwhile is still to be read,
/// perhaps that another daemon has taken the stream over. If nothing comes, the silence has it read
/// again.
fn missing(state: &mut State, now: Now, key: AttemptKey, out: &mut Vec<Effect>) {
    if state.members.presence.waiting.is_some() {
        return;
    }
    if state.requests.attempts[key].rereads < resume::REREADS {
        resume::again(state, now, key, out);
    } else {
        retry::stream_died(state, now, key, Waste::DecodeFailed, out);
    }
}
