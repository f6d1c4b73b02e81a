//! The end of requests: answers, refusals, cancellation and accounting.

use std::time::Duration;

use crate::{
    effect::{Answer, Effect, EngineCall, Progress},
    ids::{AttemptKey, CallerId, EndpointId, RequestKey},
    reason::{Outcome, Refusal, Waste},
    reduce::{claim, limit, reserve, waste},
    state::{AttemptStage, Request, RequestStage, State},
    time::Now,
};

/// `Retry-After` of a temporary refusal for which no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of retries that successes can accumulate.
const MAX_RETRY_BUDGET: f64 = 50.0;

/// Handles a caller that disconnected: cancels what is held for it.
pub fn on_caller_left(state: &mut State, now: Now, caller: CallerId, out: &mut Vec<Effect>) {
    let Some(key) = state.requests.callers.get(&caller).copied() else { return };
    if let RequestStage::Running(attempt_key) = state.requests.arena[key].stage {
        let attempt = &state.requests.attempts[attempt_key];
        let has_tokens = attempt.stage == AttemptStage::Stream && 0 < attempt.next_offset;
        if !has_tokens {
            waste::record_prefill(state, now, attempt_key, Waste::CallerLeft, out);
        }
        end_attempt(state, attempt_key, out);
    }
    let Some(request) = state.requests.remove(key) else { return };
    finish_request(state, now, &request, Outcome::Abandoned, out);
}

/// Refuses an accepted request of which nothing was run.
pub fn refuse(
    state: &mut State,
    now: Now,
    key: RequestKey,
    refusal: Refusal,
    out: &mut Vec<Effect>,
) {
    let retry_after = refusal.is_temporary().then_some(DEFAULT_RETRY_AFTER);
    refuse_with_retry_after(state, now, key, refusal, retry_after, out);
}

/// Refuses an accepted request of which nothing was run, and tells the caller when to try again.
pub fn refuse_with_retry_after(
    state: &mut State,
    now: Now,
    key: RequestKey,
    refusal: Refusal,
    retry_after: Option<Duration>,
    out: &mut Vec<Effect>,
) {
    end_current_attempt(state, key, out);
    let Some(request) = state.requests.remove(key) else { return };
    let answer = Answer::Refused { refusal, retry_after };
    out.push(Effect::Answer { caller: request.caller, answer });
    let progress =
        Progress::Refused { request: Some(request.id), team: Some(request.team), refusal };
    out.push(Effect::Progress(progress));
    let outcome = if request.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
    finish_request(state, now, &request, outcome, out);
}

/// Gives a request up: refuses it if nothing of it can have run, else reports that its outcome is
/// unknown.
pub fn give_up(
    state: &mut State,
    now: Now,
    key: RequestKey,
    refusal: Refusal,
    retry_after: Option<Duration>,
    out: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.arena.get(key) else { return };
    if request.may_have_run {
        end_as_unknown(state, now, key, out);
    } else {
        refuse_with_retry_after(state, now, key, refusal, retry_after, out);
    }
}

/// Ends a request that may have run and can't be completed.
pub fn end_as_unknown(state: &mut State, now: Now, key: RequestKey, out: &mut Vec<Effect>) {
    end_current_attempt(state, key, out);
    let Some(request) = state.requests.remove(key) else { return };
    out.push(Effect::Answer { caller: request.caller, answer: Answer::Unknown });
    finish_request(state, now, &request, Outcome::Unknown, out);
}

fn end_current_attempt(state: &mut State, key: RequestKey, out: &mut Vec<Effect>) {
    if let Some((attempt_key, _)) = state.requests.current_attempt(key) {
        end_attempt(state, attempt_key, out);
    }
}

/// Ends an attempt: cancels what endpoints hold for it, and releases its slots.
pub fn end_attempt(state: &mut State, attempt_key: AttemptKey, out: &mut Vec<Effect>) {
    cancel_at_endpoints(state, attempt_key, out);
    reserve::withdraw(state, attempt_key, out);
    let Some(attempt) = state.requests.attempts.remove(attempt_key) else { return };
    for slot in [attempt.slot, attempt.prefill_slot].into_iter().flatten() {
        reserve::release(state, slot, out);
    }
    if let Some(request) = state.requests.arena.get_mut(attempt.request) {
        request.stage = RequestStage::Waiting;
    }
}

/// Cancels what endpoints hold for an attempt.
pub fn cancel_at_endpoints(state: &State, attempt_key: AttemptKey, out: &mut Vec<Effect>) {
    let Some(attempt) = state.requests.attempts.get(attempt_key) else { return };
    let request = state.requests.arena[attempt.request].id;
    let mut push = |endpoint: EndpointId, resource: Option<String>| {
        out.push(Effect::Engine(EngineCall::Cancel {
            attempt: attempt_key,
            endpoint,
            request,
            resource,
        }));
    };
    let (slot, prefill) =
        (attempt.slot.map(|s| s.endpoint), attempt.prefill_slot.map(|s| s.endpoint));
    match (attempt.stage, slot, prefill) {
        (AttemptStage::Prefill, _, Some(endpoint)) => push(endpoint, None),
        (AttemptStage::Import | AttemptStage::Plain, Some(endpoint), _) => push(endpoint, None),
        (AttemptStage::Stream, Some(endpoint), _) => push(endpoint, attempt.stream.clone()),
        _ => {}
    }
    if let Some(cache) = &attempt.kv_cache {
        push(cache.endpoint, Some(cache.handle.clone()));
    }
}

/// Does the accounting at the end of every request: the retry budget, the entry's limit, the
/// idempotency key and the progress report.
pub fn finish_request(
    state: &mut State,
    now: Now,
    request: &Request,
    outcome: Outcome,
    out: &mut Vec<Effect>,
) {
    if outcome == Outcome::Done {
        let ratio = state.local.tuning.retry_ratio;
        state.requests.retry_budget = (state.requests.retry_budget + ratio).min(MAX_RETRY_BUDGET);
    }
    let is_resumed = request.completion.as_ref().is_some_and(|c| c.resume.is_some());
    let prompt_tokens =
        if 0 < request.delivered && !is_resumed { request.prompt_tokens } else { 0 };
    let unused = request.limit_tokens.saturating_sub(prompt_tokens + request.delivered);
    limit::give_back(state, now, request.entry, unused);
    claim::on_ended(state, request, outcome);
    let streamed = match (request.first_token_at, request.last_token_at) {
        (Some(first), Some(last)) => last - first,
        _ => Duration::ZERO,
    };
    let intervals = request.delivered.saturating_sub(1).max(1);
    out.push(Effect::Progress(Progress::Settled {
        request: request.id,
        team: request.team,
        entry: request.entry,
        outcome,
        duration: now.mono - request.accepted_at,
        prompt_tokens,
        generated_tokens: request.delivered,
        tbt: streamed / intervals,
    }));
}
