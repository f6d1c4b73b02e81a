//! How requests end.

use std::time::Duration;

use crate::{
    effect::{Answer, Effect, EngineCall, Progress},
    event::Failure,
    ids::{AttemptKey, CallerId, RequestKey},
    reason::{Outcome, Refusal},
    reduce::claim,
    state::{AttemptStage, Request, RequestStage, State},
    time::Now,
};

/// The stream ended by itself: the answer is whole.
pub fn finished(
    state: &mut State,
    now: Now,
    attempt: AttemptKey,
    reason: String,
    out: &mut Vec<Effect>,
) {
    let Some(key) = state.requests.attempts.get(attempt).map(|a| a.request) else { return };
    let Some(request) = state.requests.remove(key) else { return };
    let answer = Answer::Done {
        reason,
        prompt: request.prompt,
        cached: request.cached,
        generated: request.delivered,
    };
    out.push(Effect::Answer { caller: request.caller, answer });
    settle(state, &request, now, Outcome::Done, out);
}

/// A plain service answered.
pub fn answered(state: &mut State, now: Now, attempt: AttemptKey, out: &mut Vec<Effect>) {
    let Some(key) = state.requests.attempts.get(attempt).map(|a| a.request) else { return };
    let Some(request) = state.requests.remove(key) else { return };
    out.push(Effect::Answer { caller: request.caller, answer: Answer::Plain { attempt } });
    settle(state, &request, now, Outcome::Done, out);
}

/// An attempt failed.
pub fn failed(
    state: &mut State,
    now: Now,
    attempt: AttemptKey,
    _failure: Failure,
    out: &mut Vec<Effect>,
) {
    let Some(key) = state.requests.attempts.get(attempt).map(|a| a.request) else { return };
    let Some(request) = state.requests.remove(key) else { return };
    out.push(Effect::Answer { caller: request.caller, answer: Answer::Unknown });
    settle(state, &request, now, Outcome::Unknown, out);
}

/// The caller left: cancel what is held for it.
pub fn abandoned(state: &mut State, now: Now, caller: CallerId, out: &mut Vec<Effect>) {
    let Some(key) = state.requests.callers.get(&caller).copied() else { return };
    let running = match state.requests.arena[key].stage {
        RequestStage::Running(attempt) => Some(attempt),
        RequestStage::Waiting => None,
    };
    let attempt = running.and_then(|a| state.requests.attempts.get(a).cloned().map(|v| (a, v)));
    let Some(request) = state.requests.remove(key) else { return };
    if let Some((key, attempt)) = attempt {
        let held = match attempt.stage {
            AttemptStage::Decode { held } => held,
            AttemptStage::Prefill | AttemptStage::Plain => None,
        };
        let (endpoint, request) = (attempt.endpoint, request.id);
        out.push(Effect::Engine(EngineCall::Cancel { attempt: key, endpoint, request, held }));
    }
    settle(state, &request, now, Outcome::Abandoned, out);
}

/// Refuses an accepted request of which nothing was run.
pub fn refuse(
    state: &mut State,
    now: Now,
    key: RequestKey,
    refusal: Refusal,
    out: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.remove(key) else { return };
    let after = refusal.is_temporary().then_some(Duration::from_secs(1));
    let answer = Answer::Refused { refusal, after };
    out.push(Effect::Answer { caller: request.caller, answer });
    let progress =
        Progress::Refused { request: Some(request.id), team: Some(request.team), refusal };
    out.push(Effect::Progress(progress));
    settle(state, &request, now, Outcome::NotRun, out);
}

/// Ends an accepted request that can't be answered: its key's first request may have run.
pub fn unknown(state: &mut State, now: Now, key: RequestKey, out: &mut Vec<Effect>) {
    let Some(request) = state.requests.remove(key) else { return };
    out.push(Effect::Answer { caller: request.caller, answer: Answer::Unknown });
    settle(state, &request, now, Outcome::Unknown, out);
}

fn settle(state: &mut State, request: &Request, now: Now, outcome: Outcome, out: &mut Vec<Effect>) {
    claim::ended(state, request, outcome);
    let streamed = match (request.first, request.last) {
        (Some(first), Some(last)) => last - first,
        _ => Duration::ZERO,
    };
    let gaps = request.delivered.saturating_sub(1).max(1);
    out.push(Effect::Progress(Progress::Settled {
        request: request.id,
        team: request.team,
        entry: request.entry,
        outcome,
        took: now.mono - request.accepted,
        prompt: request.prompt,
        generated: request.delivered,
        tbt: streamed / gaps,
    }));
}
