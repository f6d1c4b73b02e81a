//! Calls to plain services.

use std::time::Duration;

use crate::{
    effect::{Answer, Effect, EngineCall, Progress},
    ids::AttemptKey,
    reason::Outcome,
    reduce::{reserve, settle},
    state::{AttemptStage, State, Timer},
    time::Now,
};

/// Time limit of a call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// The shell's own time limit goes first; this much later the core stops waiting for it.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// The slot is there: call.
pub fn send_call(state: &mut State, now: Now, attempt: AttemptKey, out: &mut Vec<Effect>) {
    let Some(found) = state.requests.attempts.get_mut(attempt) else { return };
    let Some(slot) = found.slot else { return };
    found.enter(AttemptStage::Plain, now.mono);
    let key = found.request;
    state.requests.set_served(key);
    let request = &state.requests.arena[key];
    state.timers.set(now.mono + CALL_TIMEOUT + TIMEOUT_MARGIN, Timer::Attempt(attempt));
    out.push(Effect::Engine(EngineCall::Plain {
        attempt,
        caller: request.caller,
        request: request.id,
        endpoint: slot.endpoint,
        timeout: CALL_TIMEOUT,
    }));
}

/// A plain service answered.
pub fn on_answered(state: &mut State, now: Now, attempt: AttemptKey, out: &mut Vec<Effect>) {
    let Some(found) = state.requests.attempts.get(attempt) else { return };
    let (key, slot) = (found.request, found.slot);
    let took = now.mono - found.since;
    if let Some(entry) = state.view.entry(state.requests.arena[key].entry) {
        state.health.lags.entry(entry.target).or_default().run.add(Duration::ZERO, took);
    }
    if let Some(slot) = slot {
        state.health.entry(slot.endpoint).failures = 0;
        reserve::release(state, slot, out);
    }
    let Some(request) = state.requests.remove(key) else { return };
    out.push(Effect::Answer { caller: request.caller, answer: Answer::Plain { attempt } });
    let ttft = now.mono - request.accepted;
    let progress = Progress::FirstToken { request: request.id, entry: request.entry, ttft };
    out.push(Effect::Progress(progress));
    settle::finish_request(state, now, &request, Outcome::Done, out);
}
