//! Delivery of tokens to the caller, in order and each of them once.

use crate::{
    effect::{Answer, Effect, Progress},
    ids::AttemptKey,
    reason::{Outcome, Waste},
    reduce::{reserve, resume, retry, settle, waste},
    state::{AttemptStage, State},
    time::Now,
};

/// Passes on the received tokens that the caller does not have yet.
pub fn on_tokens(
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
    if attempt.next_offset < offset {
        return handle_gap(state, now, key, out);
    }
    let duplicates = (attempt.next_offset - offset) as usize;
    let request = &mut state.requests.arena[attempt.request];
    if 0 < duplicates {
        let tokens = duplicates.min(texts.len()) as u32;
        waste::record_duplicates(request.id, tokens, out);
    }
    let fresh: Vec<_> = texts.into_iter().skip(duplicates).collect();
    if fresh.is_empty() {
        return;
    }
    let count = fresh.len() as u32;
    attempt.next_offset += count;
    attempt.last_progress = now.mono;
    attempt.rereads = 0;
    request.failures = 0;
    if request.first_token_at.is_none() {
        request.first_token_at = Some(now.mono);
        let ttft = now.mono - request.accepted_at;
        let progress = Progress::FirstToken { request: request.id, entry: request.entry, ttft };
        out.push(Effect::Progress(progress));
        let entry = state.view.entry(request.entry);
        if let (Some(entry), false) = (entry, attempt.resumed) {
            let overruns = state.health.overruns.entry(entry.target).or_default();
            overruns.decode_granted.add(attempt.expected, now.mono - attempt.decode_granted);
            overruns.prefill_started.add(attempt.expected, now.mono - attempt.prefill_started);
        }
    }
    request.last_token_at = Some(now.mono);
    let answer = Answer::Tokens { offset: request.delivered, texts: fresh };
    request.delivered += count;
    out.push(Effect::Answer { caller: request.caller, answer });
}

/// Completes the request at the end of its stream, unless tokens are missing.
pub fn on_finished(
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
    if attempt.next_offset < tokens {
        return handle_gap(state, now, key, out);
    }
    let (request, slot) = (attempt.request, attempt.slot);
    if let Some(slot) = slot {
        reserve::release(state, slot, out);
    }
    complete(state, now, request, reason, out);
}

/// Completes a request whose tokens have all been delivered.
pub fn complete(
    state: &mut State,
    now: Now,
    key: crate::ids::RequestKey,
    reason: String,
    out: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.remove(key) else { return };
    let answer = Answer::Done {
        reason,
        prompt_tokens: request.prompt_tokens,
        cached_tokens: request.cached_tokens,
        generated_tokens: request.delivered,
    };
    out.push(Effect::Answer { caller: request.caller, answer });
    settle::finish_request(state, now, &request, Outcome::Done, out);
}

/// Handles a gap: tokens are missing before those that were received, or before the end of the
/// stream.
///
/// Passing on the received tokens would leave an unnoticed gap in the caller's text, so the stream
/// is read again from the first missing token.
///
/// This is not done just after a pause of this process. More data that was sent during the pause is
/// still to be read, and it may say that another daemon has taken the stream over. If no more data
/// arrives, the stall timeout causes the stream to be read again.
fn handle_gap(state: &mut State, now: Now, key: AttemptKey, out: &mut Vec<Effect>) {
    if state.members.own_status.rejoining_since.is_some() {
        return;
    }
    if state.requests.attempts[key].rereads < resume::MAX_REREADS {
        resume::reread_stream(state, now, key, out);
    } else {
        retry::on_stream_lost(state, now, key, Waste::DecodeFailed, out);
    }
}
