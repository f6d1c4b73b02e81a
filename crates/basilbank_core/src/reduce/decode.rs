//! Decode: from the import of a KV cache to the start of the stream.

use std::time::Duration;

use crate::{
    effect::{Answer, Effect, EngineCall},
    event::Failure,
    ids::AttemptKey,
    reduce::{claim, estimate, place, prefill, reserve, retry},
    state::{AttemptStage, State, Timer},
    time::Now,
};

/// Time beyond its estimate after which a transfer counts as stalled.
const STALL_MARGIN: Duration = Duration::from_millis(60);
/// Time limit of the call that decodes and streams a completion.
const STREAM_TIMEOUT: Duration = Duration::from_secs(600);

/// Imports the KV cache of an attempt at the decode endpoint that granted it a slot.
pub fn start_import(state: &mut State, now: Now, attempt_key: AttemptKey, out: &mut Vec<Effect>) {
    let Some(attempt) = state.requests.attempts.get(attempt_key) else { return };
    let (Some(slot), Some(cache)) = (attempt.slot, attempt.kv_cache.clone()) else { return };
    if state.is_leaving(slot.endpoint) {
        return relocate(state, now, attempt_key, Failure::Leaving, out);
    }
    let attempt = &mut state.requests.attempts[attempt_key];
    attempt.enter_stage(AttemptStage::Import, now.mono);
    let call = prefill::completion_call(state, attempt_key, slot.endpoint, STREAM_TIMEOUT);
    let timeout = import_timeout(state, attempt_key);
    state.timers.set(now.mono + timeout, Timer::Attempt(attempt_key));
    let (source, handle) = (cache.endpoint, cache.handle);
    out.push(Effect::Engine(EngineCall::Decode { call, source, handle }));
}

/// Returns the time after which an import counts as stalled.
///
/// A stalled transfer shows only by the lack of an answer. Waiting until the KV cache is evicted
/// would waste the whole prefill, so the transfer is abandoned while there is time for another one.
/// If transfers have recently been slow, the link is saturated and a second transfer would only add
/// to its load, so the time limit grows with the recent delays.
#[must_use]
pub fn import_timeout(state: &State, attempt_key: AttemptKey) -> Duration {
    let Some(attempt) = state.requests.attempts.get(attempt_key) else { return STALL_MARGIN };
    let (Some(slot), Some(cache)) = (attempt.slot, &attempt.kv_cache) else { return STALL_MARGIN };
    let transfer =
        estimate::transfer_time_between(state, cache.bytes, cache.endpoint, slot.endpoint);
    let remaining = cache.evicted_at.saturating_sub(attempt.stage_since);
    let entry = state.requests.arena.get(attempt.request).map(|r| r.entry);
    let overrun = entry.map_or(Duration::ZERO, |e| estimate::overruns(state, e).transfer.margin());
    let usual_limit = transfer * 3 / 2 + STALL_MARGIN + overrun * 2;
    remaining.saturating_sub(transfer + STALL_MARGIN).max(usual_limit)
}

/// Records how long a transfer took, compared with its estimate.
///
/// A transfer that stalls is not recorded: on saturated links, the transfers that complete late
/// show the delay.
pub fn record_transfer_time(state: &mut State, now: Now, attempt_key: AttemptKey) {
    let Some(attempt) = state.requests.attempts.get(attempt_key) else { return };
    let (Some(slot), Some(cache)) = (attempt.slot, &attempt.kv_cache) else { return };
    if attempt.stage != AttemptStage::Import {
        return;
    }
    let expected =
        estimate::transfer_time_between(state, cache.bytes, cache.endpoint, slot.endpoint);
    let duration = now.mono.saturating_sub(attempt.stage_since);
    let Some(entry) = state.view.entry(state.requests.arena[attempt.request].entry) else { return };
    state.health.overruns.entry(entry.target).or_default().transfer.add(expected, duration);
}

/// Looks for another decode endpoint for a KV cache that is still available.
pub fn relocate(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    failure: Failure,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = state.requests.attempts.get_mut(attempt_key) else { return };
    let Some(slot) = attempt.slot.take() else { return };
    let failed_endpoint = slot.endpoint;
    let source = attempt.kv_cache.as_ref().map(|c| c.endpoint);
    if let (Failure::Stalled, Some(source)) = (failure, source) {
        // Both owners are told, because only they see which of the two endpoints has stalled
        // transfers with others as well.
        let prefill = attempt.prefill_slot.take();
        reserve::release_stalled(state, slot, source, out);
        if let Some(prefill) = prefill {
            reserve::release_stalled(state, prefill, failed_endpoint, out);
        }
    } else {
        reserve::release_failed(state, slot, failure, out);
    }
    let attempt_key = reserve::renew_attempt(state, attempt_key);
    let Some(attempt) = state.requests.attempts.get_mut(attempt_key) else { return };
    attempt.enter_stage(AttemptStage::Relocating, now.mono);
    // Without this, the endpoint that has just failed, and so has a free slot, would be the first
    // to grant one.
    attempt.denied.push(failed_endpoint);
    let evicted_at = attempt.kv_cache.as_ref().map_or(now.mono, |c| c.evicted_at);
    state.timers.set(evicted_at, Timer::Attempt(attempt_key));
    place::reserve_slots(state, now, attempt_key, usize::MAX, out);
    if state.requests.attempts.get(attempt_key).is_some_and(|a| a.reservations.is_empty()) {
        retry::on_cache_evicted(state, now, attempt_key, out);
    }
}

/// Handles the start of a stream at the decode endpoint.
pub fn on_started(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    stream: String,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = state.requests.attempts.get_mut(attempt_key) else { return };
    if !matches!(attempt.stage, AttemptStage::Import | AttemptStage::Stream) {
        return;
    }
    record_transfer_time(state, now, attempt_key);
    let Some(attempt) = state.requests.attempts.get_mut(attempt_key) else { return };
    attempt.kv_cache = None;
    attempt.enter_stage(AttemptStage::Stream, now.mono);
    attempt.stream = Some(stream.clone());
    attempt.last_progress = now.mono;
    let (request, base, slot) = (attempt.request, attempt.base_offset, attempt.slot);
    // The prefill slot is held until the transfer is complete. If it were released at the end of
    // the prefill, prompts with a cached prefix would fill the endpoint's memory faster than its
    // link can send their KV caches.
    if let Some(slot) = attempt.prefill_slot.take() {
        reserve::release(state, slot, out);
    }
    let Some(slot) = slot else { return };
    state.timers.set(now.mono + state.local.tuning.stall, Timer::Attempt(attempt_key));
    state.health.endpoint_mut(slot.endpoint).failures = 0;
    let caller = state.requests.arena[request].caller;
    let base_offset = resume_offset(state, attempt_key) - i64::from(base);
    let answer = Answer::Located { endpoint: slot.endpoint, stream, base_offset };
    out.push(Effect::Answer { caller, answer });
    claim::publish_stream(state, request);
}

/// Returns the offset at which an attempt started to read its stream; 0 unless the request has a
/// cursor.
fn resume_offset(state: &State, attempt_key: AttemptKey) -> i64 {
    let attempt = &state.requests.attempts[attempt_key];
    let completion = state.requests.arena[attempt.request].completion.as_ref();
    let is_first = attempt.base_offset == 0;
    let resume = completion.and_then(|c| c.resume.as_ref()).filter(|_| is_first && attempt.resumed);
    resume.map_or(0, |r| i64::from(r.offset))
}
