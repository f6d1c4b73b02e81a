//! Handling of failures: retries, continuation elsewhere, or the end of the request.

mod wait;

use std::time::Duration;

use self::wait::{
    PREFILL_RETRY_PAUSE, log_retry, retry_after_backoff, schedule_attempt, take_retry,
};
pub use self::wait::{on_all_denied, on_no_endpoint, restart_attempt};
use crate::{
    effect::Effect,
    event::Failure,
    ids::{AttemptKey, RequestKey},
    reason::{Refusal, Retry, Waste},
    reduce::{claim, decode, deliver, health, place, prefill, reserve, resume, settle, waste},
    state::{AttemptStage, SlotKey, State, Timer},
    time::Now,
};

/// Maximum time for which a partly delivered answer may wait for capacity at another endpoint.
const MAX_CONTINUATION_WAIT: Duration = Duration::from_secs(300);
/// Target time within which a partly delivered answer is continued.
const CONTINUATION_TARGET: Duration = Duration::from_secs(1);

/// Handles a failed call to an endpoint.
pub fn on_failed(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    failure: Failure,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = state.requests.attempts.get(attempt_key) else { return };
    let stage = attempt.stage;
    if failure == Failure::TakenOver && stage == AttemptStage::Stream {
        return on_taken_over(state, now, attempt_key, out);
    }
    let cache = attempt.kv_cache.as_ref().map(|c| c.endpoint);
    let failed_endpoint = if failure == Failure::Evicted { cache } else { attempt.endpoint() };
    state.requests.arena[attempt.request].failed_endpoints.extend(failed_endpoint);
    if let Some(endpoint) = attempt.endpoint() {
        health::record_failure(state, now, endpoint, failure, out);
    }
    match stage {
        AttemptStage::Prefill => on_prefill_failed(state, now, attempt_key, failure, out),
        AttemptStage::Import => on_import_failed(state, now, attempt_key, failure, out),
        AttemptStage::Stream => on_stream_failed(state, now, attempt_key, failure, out),
        AttemptStage::Plain => on_plain_failed(state, now, attempt_key, failure, out),
        AttemptStage::WaitingForSlot
        | AttemptStage::WaitingForPrefill
        | AttemptStage::Relocating => {}
    }
}

/// Handles an attempt's timer: asks further endpoints while the attempt waits for a slot, and fails
/// it if the time limit of its stage has passed.
pub fn on_timeout(state: &mut State, now: Now, attempt_key: AttemptKey, out: &mut Vec<Effect>) {
    let Some(attempt) = state.requests.attempts.get(attempt_key) else { return };
    let stage = attempt.stage;
    let deadline = match stage {
        AttemptStage::WaitingForSlot => return place::widen_search(state, now, attempt_key, out),
        AttemptStage::WaitingForPrefill => return place::reserve_due(state, now, attempt_key, out),
        AttemptStage::Prefill => attempt.stage_since + prefill::timeout(state, attempt_key),
        AttemptStage::Relocating => {
            attempt.kv_cache.as_ref().map_or(attempt.stage_since, |c| c.evicted_at)
        }
        AttemptStage::Import => attempt.stage_since + decode::import_timeout(state, attempt_key),
        AttemptStage::Stream => attempt.last_progress + state.local.tuning.stall,
        AttemptStage::Plain => attempt.stage_since + crate::reduce::plain::CALL_TIMEOUT,
    };
    if now.mono < deadline {
        return state.timers.set(deadline, Timer::Attempt(attempt_key));
    }
    match stage {
        AttemptStage::Relocating => on_cache_evicted(state, now, attempt_key, out),
        AttemptStage::Import => on_failed(state, now, attempt_key, Failure::Stalled, out),
        _ => on_failed(state, now, attempt_key, Failure::Broken, out),
    }
}

/// Returns whether a failure proves that the endpoint did not run the call.
fn proves_not_run(failure: Failure) -> bool {
    matches!(failure, Failure::Unreachable | Failure::Full | Failure::Leaving | Failure::Refused)
}

fn retry_reason(failure: Failure, otherwise: Retry) -> Retry {
    match failure {
        Failure::Unreachable => Retry::Unreachable,
        Failure::Full | Failure::Leaving | Failure::Refused => Retry::Refused,
        Failure::Evicted => Retry::Evicted,
        Failure::Stalled => Retry::TransferStalled,
        Failure::Broken | Failure::TakenOver => otherwise,
    }
}

fn on_prefill_failed(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    failure: Failure,
    out: &mut Vec<Effect>,
) {
    let key = state.requests.attempts[attempt_key].request;
    if !proves_not_run(failure) {
        waste::record_prefill(state, now, attempt_key, Waste::PrefillFailed, out);
        settle::cancel_at_endpoints(state, attempt_key, out);
        let request = &mut state.requests.arena[key];
        request.may_have_run = true;
        if !request.repeatable {
            return settle::end_as_unknown(state, now, key, out);
        }
    }
    if let Some(slot) = state.requests.attempts[attempt_key].prefill_slot.take() {
        reserve::release_failed(state, slot, failure, out);
    }
    let retry = retry_reason(failure, Retry::PrefillFailed);
    retry_prefill(state, now, attempt_key, retry, out);
}

/// Looks for another prefill endpoint and keeps the decode slot.
fn retry_prefill(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    retry: Retry,
    out: &mut Vec<Effect>,
) {
    let attempt = &mut state.requests.attempts[attempt_key];
    let key = attempt.request;
    attempt.kv_cache = None;
    attempt.enter_stage(AttemptStage::WaitingForPrefill, now.mono);
    if let Some(slot) = attempt.prefill_slot.take() {
        reserve::release(state, slot, out);
    }
    if !take_retry(state, key) {
        return settle::give_up(state, now, key, Refusal::RetriesExhausted, None, out);
    }
    log_retry(state, key, retry, Duration::ZERO, out);
    state.requests.set_queued(key);
    let attempt_key = reserve::renew_attempt(state, attempt_key);
    prefill::reserve_slot(state, now, attempt_key, out);
}

fn on_import_failed(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    failure: Failure,
    out: &mut Vec<Effect>,
) {
    let key = state.requests.attempts[attempt_key].request;
    let is_repeatable = state.requests.arena[key].repeatable;
    if failure == Failure::Evicted {
        waste::record_prefill(state, now, attempt_key, Waste::Evicted, out);
        if !is_repeatable {
            return settle::end_as_unknown(state, now, key, out);
        }
        return retry_prefill(state, now, attempt_key, Retry::Evicted, out);
    }
    if !proves_not_run(failure) {
        if !is_repeatable {
            return settle::end_as_unknown(state, now, key, out);
        }
        // The endpoint may have started despite the failure. If the KV cache still exists it is
        // used elsewhere, so only the decode side is cancelled.
        cancel_decode(state, attempt_key, out);
    }
    if !take_retry(state, key) {
        waste::record_prefill(state, now, attempt_key, Waste::DecodeFailed, out);
        return settle::give_up(state, now, key, Refusal::RetriesExhausted, None, out);
    }
    log_retry(state, key, retry_reason(failure, Retry::DecodeDied), Duration::ZERO, out);
    decode::relocate(state, now, attempt_key, failure, out);
}

fn cancel_decode(state: &mut State, attempt_key: AttemptKey, out: &mut Vec<Effect>) {
    let cache = state.requests.attempts[attempt_key].kv_cache.take();
    settle::cancel_at_endpoints(state, attempt_key, out);
    state.requests.attempts[attempt_key].kv_cache = cache;
}

/// Handles a KV cache for which no decode endpoint was found in time.
pub fn on_cache_evicted(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    out: &mut Vec<Effect>,
) {
    let key = state.requests.attempts[attempt_key].request;
    waste::record_prefill(state, now, attempt_key, Waste::Evicted, out);
    settle::end_attempt(state, attempt_key, out);
    if state.requests.arena[key].repeatable {
        retry_after_backoff(state, now, key, Retry::NoSlot, out);
    } else {
        settle::end_as_unknown(state, now, key, out);
    }
}

fn on_stream_failed(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    failure: Failure,
    out: &mut Vec<Effect>,
) {
    let attempt = &state.requests.attempts[attempt_key];
    let may_be_alive = matches!(failure, Failure::Broken | Failure::Stalled);
    if may_be_alive && attempt.stream.is_some() && attempt.rereads < resume::MAX_REREADS {
        return resume::reread_stream(state, now, attempt_key, out);
    }
    on_stream_lost(state, now, attempt_key, Waste::DecodeFailed, out);
}

/// Ends an attempt whose stream is now read through another call, by its caller or by another one
/// with its key.
///
/// Reading it again here would take it back: the two readers would interrupt each other, and the
/// one whose caller has left would cancel the stream under the other, which shows as an answer that
/// stops without a reason in the endpoint's log. This side therefore ends and cancels nothing.
fn on_taken_over(state: &mut State, now: Now, attempt_key: AttemptKey, out: &mut Vec<Effect>) {
    let attempt = &mut state.requests.attempts[attempt_key];
    let key = attempt.request;
    attempt.stream = None;
    attempt.enter_stage(AttemptStage::WaitingForPrefill, now.mono);
    claim::forget_handed_over(state, key);
    settle::end_as_unknown(state, now, key, out);
}

/// Continues a request whose stream is lost at another endpoint, from the text delivered so far.
pub fn on_stream_lost(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    waste: Waste,
    out: &mut Vec<Effect>,
) {
    let attempt = &state.requests.attempts[attempt_key];
    let (key, resumed) = (attempt.request, attempt.resumed);
    waste::record_prefill(state, now, attempt_key, waste, out);
    settle::end_attempt(state, attempt_key, out);
    let request = &mut state.requests.arena[key];
    request.may_have_run = true;
    if 0 < request.delivered && request.remaining_tokens() == 0 {
        return deliver::complete(state, now, key, "length".to_owned(), out);
    }
    if resumed {
        return end_resumed(state, now, key, out);
    }
    if !request.repeatable {
        return settle::end_as_unknown(state, now, key, out);
    }
    request.failures += u32::from(waste != Waste::Preempted);
    if state.local.tuning.attempts <= request.failures {
        return settle::end_as_unknown(state, now, key, out);
    }
    request.due = now.mono + CONTINUATION_TARGET;
    request.wait_deadline = now.mono + MAX_CONTINUATION_WAIT;
    let retry = if waste == Waste::Preempted { Retry::Preempted } else { Retry::DecodeDied };
    log_retry(state, key, retry, Duration::ZERO, out);
    state.requests.set_queued(key);
    place::start_attempt(state, now, key, out);
}

/// Ends a request that read a stream from a cursor and lost it. The text before the cursor is not
/// known here, so the answer can't be continued elsewhere.
fn end_resumed(state: &mut State, now: Now, key: RequestKey, out: &mut Vec<Effect>) {
    if state.requests.arena[key].delivered == 0 {
        resume::end_missing_stream(state, now, key, out);
    } else {
        settle::end_as_unknown(state, now, key, out);
    }
}

/// Handles the preemption of a slot by its owner: the request continues elsewhere if it can.
pub fn on_preempted(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    slot: SlotKey,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = state.requests.attempts.get(attempt_key) else { return };
    let is_repeatable = state.requests.arena[attempt.request].repeatable;
    if attempt.slot != Some(slot) {
        return;
    }
    let key = attempt.request;
    match attempt.stage {
        AttemptStage::Stream if is_repeatable && !attempt.resumed => {
            on_stream_lost(state, now, attempt_key, Waste::Preempted, out);
        }
        AttemptStage::WaitingForPrefill => {
            log_retry(state, key, Retry::Preempted, PREFILL_RETRY_PAUSE, out);
            schedule_attempt(state, now, key, PREFILL_RETRY_PAUSE, out);
        }
        // Its prefill runs or has just ended, so it is about to use the slot, or it is not allowed
        // to continue elsewhere. The owner takes another slot back instead.
        _ => {}
    }
}

fn on_plain_failed(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    failure: Failure,
    out: &mut Vec<Effect>,
) {
    let key = state.requests.attempts[attempt_key].request;
    if !proves_not_run(failure) {
        state.requests.arena[key].may_have_run = true;
        if !state.requests.arena[key].repeatable {
            return settle::end_as_unknown(state, now, key, out);
        }
    }
    if let Some(slot) = state.requests.attempts[attempt_key].slot {
        reserve::release_failed(state, slot, failure, out);
    }
    settle::end_attempt(state, attempt_key, out);
    retry_after_backoff(state, now, key, retry_reason(failure, Retry::PlainFailed), out);
}
