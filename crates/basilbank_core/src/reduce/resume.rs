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
    let resume = request.completion.as_ref().and_then(|d| d.resume.clone());
    let known = resume.filter(|r| state.view.endpoint(r.endpoint).is_some());
    let Some(resume) = known else {
        return end_missing_stream(state, now, key, out);
    };
    let attempt = state.requests.begin_attempt(key, now.mono);
    state.requests.set_served(key);
    let found = &mut state.requests.attempts[attempt];
    found.resumed = true;
    found.next_offset = resume.offset;
    found.stream = Some(resume.stream);
    reserve::adopt_slot(state, now, attempt, resume.endpoint, entry, out);
    read_stream(state, now, attempt, out);
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
pub fn reread_stream(state: &mut State, now: Now, attempt: AttemptKey, out: &mut Vec<Effect>) {
    let attempt = reserve::renew_attempt(state, attempt);
    state.requests.attempts[attempt].rereads += 1;
    read_stream(state, now, attempt, out);
}

fn read_stream(state: &mut State, now: Now, attempt: AttemptKey, out: &mut Vec<Effect>) {
    let found = &mut state.requests.attempts[attempt];
    found.enter_stage(AttemptStage::Stream, now.mono);
    found.last_progress = now.mono;
    let (Some(slot), Some(stream)) = (found.slot, found.stream.clone()) else { return };
    let request = &state.requests.arena[found.request];
    let call = EngineCall::Resume {
        attempt,
        caller: request.caller,
        request: request.id,
        endpoint: slot.endpoint,
        stream,
        offset: found.next_offset,
    };
    out.push(Effect::Engine(call));
    state.timers.set(now.mono + state.local.tuning.stall, Timer::Attempt(attempt));
}
