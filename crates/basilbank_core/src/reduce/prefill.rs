//! Prefill of completions.

use std::time::Duration;

use crate::{
    effect::{CompletionCall, Effect, EngineCall},
    ids::{AttemptKey, EndpointId},
    reduce::{decode, estimate, place, retry},
    state::{AttemptStage, KvCache, State, Timer},
    time::Now,
};

/// A prefill that takes longer than this multiple of its estimate, plus `TIMEOUT_MARGIN`, counts as
/// failed.
const TIMEOUT_FACTOR: u32 = 3;
/// Constant part of a prefill's timeout.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Result of a prefill, as the endpoint reports it.
#[derive(Clone, Debug)]
pub struct PrefillResult {
    /// Handle of the KV cache at the endpoint.
    pub handle: String,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of prompt tokens that came from the prefix cache.
    pub cached_tokens: u32,
    /// Size of the KV cache in bytes.
    pub bytes: u64,
    /// Time that the endpoint spent on the prefill.
    pub prefill_time: Duration,
}

/// Looks for a prefill slot for an attempt that has its decode slot.
pub fn reserve_slot(state: &mut State, now: Now, attempt_key: AttemptKey, out: &mut Vec<Effect>) {
    let Some(attempt) = state.requests.attempts.get_mut(attempt_key) else { return };
    attempt.enter_stage(AttemptStage::WaitingForPrefill, now.mono);
    attempt.decode_granted = now.mono;
    place::reserve_prefill_slots(state, now, attempt_key, out);
    if state.requests.attempts.get(attempt_key).is_some_and(|a| a.reservations.is_empty()) {
        retry::on_no_endpoint(state, now, attempt_key, out);
    }
}

/// Runs the prefill of an attempt that has both slots.
///
/// The wait for the prefill slot may have been long. If the decode endpoint has begun to leave in
/// the meantime, it must not get new work, so the request looks for other slots before any work is
/// spent on it.
pub fn start(state: &mut State, now: Now, attempt_key: AttemptKey, out: &mut Vec<Effect>) {
    let Some(attempt) = state.requests.attempts.get(attempt_key) else { return };
    let Some(slot) = attempt.prefill_slot else { return };
    if attempt.slot.is_some_and(|decode| state.is_leaving(decode.endpoint)) {
        return retry::restart_attempt(state, now, attempt_key, out);
    }
    let Some(attempt) = state.requests.attempts.get_mut(attempt_key) else { return };
    attempt.enter_stage(AttemptStage::Prefill, now.mono);
    attempt.prefill_started = now.mono;
    let request = attempt.request;
    let expected = state
        .requests
        .arena
        .get(request)
        .map(|r| estimate::prefill_time(state, r) + estimate::transfer_time(state, r));
    state.requests.attempts[attempt_key].expected = expected.unwrap_or_default();
    state.requests.set_served(request);
    let timeout = timeout(state, attempt_key);
    state.timers.set(now.mono + timeout, Timer::Attempt(attempt_key));
    let call = completion_call(state, attempt_key, slot.endpoint, timeout);
    out.push(Effect::Engine(EngineCall::Prefill(call)));
}

/// Returns the time limit of an attempt's prefill.
#[must_use]
pub fn timeout(state: &State, attempt_key: AttemptKey) -> Duration {
    let request = state.requests.attempts.get(attempt_key).map(|a| a.request);
    let request = request.and_then(|r| state.requests.arena.get(r));
    request.map_or(TIMEOUT_MARGIN, |r| {
        estimate::prefill_time(state, r) * TIMEOUT_FACTOR + TIMEOUT_MARGIN
    })
}

/// Returns the call of an attempt to a prefill or decode endpoint.
///
/// # Panics
/// Panics if the attempt's key is no longer valid.
#[must_use]
pub fn completion_call(
    state: &State,
    attempt_key: AttemptKey,
    endpoint: EndpointId,
    timeout: Duration,
) -> CompletionCall {
    let attempt = &state.requests.attempts[attempt_key];
    let request = &state.requests.arena[attempt.request];
    let class = state.view.entry(request.entry).and_then(|e| state.view.class(e.class));
    CompletionCall {
        attempt: attempt_key,
        caller: request.caller,
        request: request.id,
        attempt_number: attempt.number,
        endpoint,
        delivered: request.delivered,
        remaining: request.remaining_tokens(),
        priority: class.map_or(0, |c| c.priority),
        timeout,
    }
}

/// Handles the end of a prefill: starts the import of its KV cache at the decode endpoint.
pub fn on_prefilled(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    result: PrefillResult,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = state.requests.attempts.get_mut(attempt_key) else { return };
    if attempt.stage != AttemptStage::Prefill {
        return;
    }
    let Some(slot) = attempt.prefill_slot else { return };
    let until = now.mono + state.local.tuning.kv_life;
    let endpoint = slot.endpoint;
    attempt.kv_cache =
        Some(KvCache { endpoint, handle: result.handle, bytes: result.bytes, evicted_at: until });
    attempt.prefill_time = result.prefill_time;
    let request = &mut state.requests.arena[attempt.request];
    request.may_have_run = true;
    if request.delivered == 0 {
        request.prompt_tokens = result.prompt_tokens;
        request.cached_tokens = result.cached_tokens;
    }
    if let Some(completion) = &request.completion {
        for block in completion.block_hashes.iter() {
            state.health.prefixes.add(*block, endpoint);
        }
    }
    state.health.endpoint_mut(endpoint).failures = 0;
    decode::start_import(state, now, attempt_key, out);
}
