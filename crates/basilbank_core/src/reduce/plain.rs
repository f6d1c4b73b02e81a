//! Calls to plain HTTP services.

use std::time::Duration;

use crate::{
    effect::{Answer, Effect, EngineCall, Progress},
    ids::AttemptKey,
    reason::Outcome,
    reduce::{reserve, settle},
    state::{AttemptStage, State, Timer},
    time::Now,
};

/// Time limit of a call to a plain service.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// How much later than the shell's time limit the core stops waiting, so that the shell reports a
/// timeout first.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Calls the service at the endpoint that granted a slot.
pub fn send_call(state: &mut State, now: Now, attempt_key: AttemptKey, out: &mut Vec<Effect>) {
    let Some(attempt) = state.requests.attempts.get_mut(attempt_key) else { return };
    let Some(slot) = attempt.slot else { return };
    attempt.enter_stage(AttemptStage::Plain, now.mono);
    let key = attempt.request;
    state.requests.set_served(key);
    let request = &state.requests.arena[key];
    state.timers.set(now.mono + CALL_TIMEOUT + TIMEOUT_MARGIN, Timer::Attempt(attempt_key));
    out.push(Effect::Engine(EngineCall::Plain {
        attempt: attempt_key,
        caller: request.caller,
        request: request.id,
        endpoint: slot.endpoint,
        timeout: CALL_TIMEOUT,
    }));
}

/// Passes the answer of a plain service on and ends the request.
pub fn on_answered(state: &mut State, now: Now, attempt_key: AttemptKey, out: &mut Vec<Effect>) {
    let Some(attempt) = state.requests.attempts.get(attempt_key) else { return };
    let (key, slot) = (attempt.request, attempt.slot);
    let duration = now.mono - attempt.stage_since;
    if let Some(entry) = state.view.entry(state.requests.arena[key].entry) {
        state
            .health
            .overruns
            .entry(entry.target)
            .or_default()
            .prefill_started
            .add(Duration::ZERO, duration);
    }
    if let Some(slot) = slot {
        state.health.endpoint_mut(slot.endpoint).failures = 0;
        reserve::release(state, slot, out);
    }
    let Some(request) = state.requests.remove(key) else { return };
    out.push(Effect::Answer {
        caller: request.caller,
        answer: Answer::Plain { attempt: attempt_key },
    });
    let ttft = now.mono - request.accepted_at;
    let progress = Progress::FirstToken { request: request.id, entry: request.entry, ttft };
    out.push(Effect::Progress(progress));
    settle::finish_request(state, now, &request, Outcome::Done, out);
}
