//! Requests that wait after a denied slot or before a retry.

use std::time::Duration;

use basilbank_wire::DenyReason;

use super::on_cache_evicted;
use crate::{
    effect::{Effect, Progress},
    ids::{AttemptKey, RequestKey},
    reason::{Refusal, Retry},
    reduce::{place, settle},
    state::{AttemptStage, RequestStage, State, Timer},
    time::Now,
};

/// Initial pause before a completion that found no prefill slot asks for a decode slot again.
pub(super) const PREFILL_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Maximum factor by which this pause grows; it grows with each attempt.
const MAX_PAUSE_FACTOR: u32 = 8;
/// Minimum `Retry-After` for a refused caller. Resources that are used up now are still used up a
/// moment later, and callers that return immediately keep them so.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Maximum `Retry-After` for a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Mean pause before the next attempt if an owner was not able to decide.
const UNDECIDED_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Handles the denial of a slot by all owners that were asked.
pub fn on_all_denied(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    reason: DenyReason,
    retry_after: Duration,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = state.requests.attempts.get(attempt_key) else { return };
    let (key, stage) = (attempt.request, attempt.stage);
    if stage == AttemptStage::Relocating {
        return on_cache_evicted(state, now, attempt_key, out);
    }
    let wait_deadline = state.requests.arena[key].wait_deadline;
    let is_undecided = !matches!(reason, DenyReason::Full | DenyReason::Owed);
    if is_undecided && now.mono + UNDECIDED_RETRY_PAUSE < wait_deadline {
        let pause = UNDECIDED_RETRY_PAUSE.mul_f64(0.5 + state.rng.unit());
        return schedule_attempt(state, now, key, pause, out);
    }
    if stage == AttemptStage::WaitingForPrefill
        && now.mono + retry_after.max(PREFILL_RETRY_PAUSE) < wait_deadline
    {
        // It held a decode slot without using it. Other requests come first now, and it waits
        // behind them.
        let mean_pause =
            PREFILL_RETRY_PAUSE * state.requests.arena[key].attempts.min(MAX_PAUSE_FACTOR);
        let pause = mean_pause.mul_f64(0.5 + state.rng.unit());
        log_retry(state, key, Retry::NoSlot, pause, out);
        return schedule_attempt(state, now, key, pause, out);
    }
    let refusal =
        if is_undecided { Refusal::NoEndpoint } else { place::refusal_reason(state, key) };
    let retry_after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    settle::give_up(state, now, key, refusal, Some(retry_after), out);
}

/// Handles that no endpoint can be asked: waits and tries again, or gives the request up.
pub fn on_no_endpoint(state: &mut State, now: Now, attempt_key: AttemptKey, out: &mut Vec<Effect>) {
    let key = state.requests.attempts[attempt_key].request;
    let request = &state.requests.arena[key];
    let has_entry = state.view.entry(request.entry).is_some();
    let pause = state.local.tuning.max_backoff.mul_f64(0.5 + 0.5 * state.rng.unit());
    if has_entry && now.mono + pause < request.wait_deadline {
        return schedule_attempt(state, now, key, pause, out);
    }
    settle::give_up(state, now, key, Refusal::NoEndpoint, Some(pause), out);
}

/// Releases an attempt's slots and starts a new attempt, before anything was sent.
pub fn restart_attempt(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    out: &mut Vec<Effect>,
) {
    let Some(key) = state.requests.attempts.get(attempt_key).map(|a| a.request) else { return };
    settle::end_attempt(state, attempt_key, out);
    state.requests.set_queued(key);
    place::start_attempt(state, now, key, out);
}

pub(super) fn schedule_attempt(
    state: &mut State,
    now: Now,
    key: RequestKey,
    pause: Duration,
    out: &mut Vec<Effect>,
) {
    if let Some((attempt_key, _)) = state.requests.current_attempt(key) {
        settle::end_attempt(state, attempt_key, out);
    }
    state.requests.set_queued(key);
    state.timers.set(now.mono + pause, Timer::Request(key));
}

/// Schedules a request's next attempt after a backoff, if the number of its attempts and the retry
/// budget allow it.
pub(super) fn retry_after_backoff(
    state: &mut State,
    now: Now,
    key: RequestKey,
    retry: Retry,
    out: &mut Vec<Effect>,
) {
    if !take_retry(state, key) {
        return settle::give_up(state, now, key, Refusal::RetriesExhausted, None, out);
    }
    let request = &state.requests.arena[key];
    debug_assert_eq!(request.stage, RequestStage::Waiting);
    let tuning = &state.local.tuning;
    let doubled = tuning.backoff * 2u32.saturating_pow(request.failures.saturating_sub(1).min(16));
    let backoff = doubled.min(tuning.max_backoff).mul_f64(0.5 + 0.5 * state.rng.unit());
    log_retry(state, key, retry, backoff, out);
    schedule_attempt(state, now, key, backoff, out);
}

/// Takes one retry from the request's attempts and from the budget. Returns whether the retry is
/// allowed.
pub(super) fn take_retry(state: &mut State, key: RequestKey) -> bool {
    let request = &mut state.requests.arena[key];
    request.failures += 1;
    if state.local.tuning.attempts <= request.failures || state.requests.retry_budget < 1.0 {
        return false;
    }
    state.requests.retry_budget -= 1.0;
    true
}

pub(super) fn log_retry(
    state: &State,
    key: RequestKey,
    retry: Retry,
    backoff: Duration,
    out: &mut Vec<Effect>,
) {
    let request = state.requests.arena[key].id;
    out.push(Effect::Progress(Progress::Retried { request, retry, backoff }));
}
