//! Resumption of streams, from a caller's cursor or after a connection broke.

use crate::{
    effect::{Effect, EngineCall},
    ids::{AttemptKey, RequestKey},
    reason::Refusal,
    reduce::{reserve, settle},
    state::{AttemptStage, State, Timer},
    time::Now,
};

/// Maximum number of times that a stream is read again without receiving a token.
pub const MAX_REREADS: u32 = 2;

/// Reads the stream that a caller's cursor names.
pub fn start(state: &mut State, now: Now, key: RequestKey, out: &mut Vec<Effect>) {
    let request = &mut state.requests.arena[key];
    request.may_have_run = true;
    let entry = request.entry;
    let resume = request.completion.as_ref().and_then(|c| c.resume.clone());
    let valid = resume.filter(|r| state.view.endpoint(r.endpoint).is_some());
    let Some(resume) = valid else {
        return end_missing_stream(state, now, key, out);
    };
    let attempt_key = state.requests.begin_attempt(key, now.mono);
    state.requests.set_served(key);
    let attempt = &mut state.requests.attempts[attempt_key];
    attempt.resumed = true;
    attempt.next_offset = resume.offset;
    attempt.stream = Some(resume.stream);
    reserve::adopt_slot(state, now, attempt_key, resume.endpoint, entry, out);
    read_stream(state, now, attempt_key, out);
}

/// Ends a request whose stream no longer exists.
///
/// A caller with an idempotency key asked for the answer of the key's first request, not for a
/// stream. A refusal would tell it that nothing was run, and it would send its request under a new
/// key.
pub fn end_missing_stream(state: &mut State, now: Now, key: RequestKey, out: &mut Vec<Effect>) {
    if state.requests.arena[key].joined {
        settle::end_as_unknown(state, now, key, out);
    } else {
        settle::refuse(state, now, key, Refusal::StreamGone, out);
    }
}

/// Reads an attempt's stream again, from the first missing token.
pub fn reread_stream(state: &mut State, now: Now, attempt_key: AttemptKey, out: &mut Vec<Effect>) {
    let attempt_key = reserve::renew_attempt(state, attempt_key);
    state.requests.attempts[attempt_key].rereads += 1;
    read_stream(state, now, attempt_key, out);
}

fn read_stream(state: &mut State, now: Now, attempt_key: AttemptKey, out: &mut Vec<Effect>) {
    let attempt = &mut state.requests.attempts[attempt_key];
    attempt.enter_stage(AttemptStage::Stream, now.mono);
    attempt.last_progress = now.mono;
    let (Some(slot), Some(stream)) = (attempt.slot, attempt.stream.clone()) else { return };
    let request = &state.requests.arena[attempt.request];
    let call = EngineCall::Resume {
        attempt: attempt_key,
        caller: request.caller,
        request: request.id,
        endpoint: slot.endpoint,
        stream,
        offset: attempt.next_offset,
    };
    out.push(Effect::Engine(call));
    state.timers.set(now.mono + state.local.tuning.stall, Timer::Attempt(attempt_key));
}
