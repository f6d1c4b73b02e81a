//! What follows a failure.

mod wait;

use std::time::Duration;

use self::wait::{GIVE_WAY, again, later, may_retry, note};
pub use self::wait::{anew, no_endpoint, unplaced};
use crate::{
    effect::Effect,
    event::Failure,
    ids::{AttemptKey, RequestKey},
    reason::{Refusal, Retry, Waste},
    reduce::{charge, claim, decode, deliver, load, place, prefill, reserve, resume, settle},
    state::{AttemptStage, SlotKey, State, Timer},
    time::Now,
};

/// How long an answer that has begun may wait for capacity elsewhere.
const CONTINUE_WAIT: Duration = Duration::from_secs(300);
/// An answer that has begun should go on within this.
const CONTINUE_DUE: Duration = Duration::from_secs(1);

/// A call to an endpoint failed.
pub fn failed(
    state: &mut State,
    now: Now,
    attempt: AttemptKey,
    failure: Failure,
    out: &mut Vec<Effect>,
) {
    let Some(found) = state.requests.attempts.get(attempt) else { return };
    let stage = found.stage;
    if failure == Failure::Taken && stage == AttemptStage::Stream {
        return taken(state, now, attempt, out);
    }
    let cache = found.cache.as_ref().map(|c| c.endpoint);
    let blamed = if failure == Failure::Evicted { cache } else { found.endpoint() };
    state.requests.arena[found.request].blamed.extend(blamed);
    if let Some(endpoint) = found.endpoint() {
        load::blame(state, now, endpoint, failure, out);
    }
    match stage {
        AttemptStage::Prefill => prefill_failed(state, now, attempt, failure, out),
        AttemptStage::Import => import_failed(state, now, attempt, failure, out),
        AttemptStage::Stream => stream_failed(state, now, attempt, failure, out),
        AttemptStage::Plain => plain_failed(state, now, attempt, failure, out),
        AttemptStage::Slot | AttemptStage::Queue | AttemptStage::Move => {}
    }
}

/// An attempt's time limit may have passed.
pub fn timed_out(state: &mut State, now: Now, attempt: AttemptKey, out: &mut Vec<Effect>) {
    let Some(found) = state.requests.attempts.get(attempt) else { return };
    let stage = found.stage;
    let at = match stage {
        AttemptStage::Slot => return place::widen(state, now, attempt, out),
        AttemptStage::Queue => return place::ask_planned(state, now, attempt, out),
        AttemptStage::Prefill => found.since + prefill::timeout(state, attempt),
        AttemptStage::Move => found.cache.as_ref().map_or(found.since, |c| c.until),
        AttemptStage::Import => found.since + decode::limit(state, attempt),
        AttemptStage::Stream => found.heard + state.local.tuning.stall,
        AttemptStage::Plain => found.since + crate::reduce::plain::CALL_TIMEOUT,
    };
    if now.mono < at {
        return state.timers.set(at, Timer::Attempt(attempt));
    }
    match stage {
        AttemptStage::Move => evicted(state, now, attempt, out),
        AttemptStage::Import => failed(state, now, attempt, Failure::Stalled, out),
        _ => failed(state, now, attempt, Failure::Broken, out),
    }
}

/// Whether a failure proves that nothing was run.
fn is_proof(failure: Failure) -> bool {
    matches!(failure, Failure::Unreachable | Failure::Full | Failure::Leaving | Failure::Refused)
}

fn retry_of(failure: Failure, otherwise: Retry) -> Retry {
    match failure {
        Failure::Unreachable => Retry::Unreachable,
        Failure::Full | Failure::Leaving | Failure::Refused => Retry::Refused,
        Failure::Evicted => Retry::Evicted,
        Failure::Stalled => Retry::TransferStalled,
        Failure::Broken | Failure::Taken => otherwise,
    }
}

fn prefill_failed(
    state: &mut State,
    now: Now,
    attempt: AttemptKey,
    failure: Failure,
    out: &mut Vec<Effect>,
) {
    let key = state.requests.attempts[attempt].request;
    if !is_proof(failure) {
        charge::prefill(state, now, attempt, Waste::PrefillFailed, out);
        settle::cancel(state, attempt, out);
        let request = &mut state.requests.arena[key];
        request.risked = true;
        if !request.repeatable {
            return settle::unknown(state, now, key, out);
        }
    }
    if let Some(slot) = state.requests.attempts[attempt].prefill.take() {
        reserve::release_failed(state, slot, failure, out);
    }
    let retry = retry_of(failure, Retry::PrefillFailed);
    prefill_again(state, now, attempt, retry, out);
}

/// Keeps the decode slot and looks for another prefill endpoint.
fn prefill_again(
    state: &mut State,
    now: Now,
    attempt: AttemptKey,
    retry: Retry,
    out: &mut Vec<Effect>,
) {
    let found = &mut state.requests.attempts[attempt];
    let key = found.request;
    found.cache = None;
    found.enter(AttemptStage::Queue, now.mono);
    if let Some(slot) = found.prefill.take() {
        reserve::release(state, slot, out);
    }
    if !may_retry(state, key) {
        return settle::give_up(state, now, key, Refusal::RetriesSpent, None, out);
    }
    note(state, key, retry, Duration::ZERO, out);
    state.requests.set_queued(key);
    let attempt = reserve::renew(state, attempt);
    prefill::seek(state, now, attempt, out);
}

fn import_failed(
    state: &mut State,
    now: Now,
    attempt: AttemptKey,
    failure: Failure,
    out: &mut Vec<Effect>,
) {
    let key = state.requests.attempts[attempt].request;
    let is_repeatable = state.requests.arena[key].repeatable;
    if failure == Failure::Evicted {
        charge::prefill(state, now, attempt, Waste::Evicted, out);
        if !is_repeatable {
            return settle::unknown(state, now, key, out);
        }
        return prefill_again(state, now, attempt, Retry::Evicted, out);
    }
    if !is_proof(failure) {
        if !is_repeatable {
            return settle::unknown(state, now, key, out);
        }
        // The endpoint may have started all the same. Its KV cache, should it still be there, is
        // used elsewhere, so only the decode side is cancelled.
        cancel_decode(state, attempt, out);
    }
    if !may_retry(state, key) {
        charge::prefill(state, now, attempt, Waste::DecodeFailed, out);
        return settle::give_up(state, now, key, Refusal::RetriesSpent, None, out);
    }
    note(state, key, retry_of(failure, Retry::DecodeDied), Duration::ZERO, out);
    decode::relocate(state, now, attempt, failure, out);
}

fn cancel_decode(state: &mut State, attempt: AttemptKey, out: &mut Vec<Effect>) {
    let cache = state.requests.attempts[attempt].cache.take();
    settle::cancel(state, attempt, out);
    state.requests.attempts[attempt].cache = cache;
}

/// The KV cache has found no decode endpoint in time.
pub fn evicted(state: &mut State, now: Now, attempt: AttemptKey, out: &mut Vec<Effect>) {
    let key = state.requests.attempts[attempt].request;
    charge::prefill(state, now, attempt, Waste::Evicted, out);
    settle::drop_attempt(state, attempt, out);
    if state.requests.arena[key].repeatable {
        again(state, now, key, Retry::NoSlot, out);
    } else {
        settle::unknown(state, now, key, out);
    }
}

fn stream_failed(
    state: &mut State,
    now: Now,
    attempt: AttemptKey,
    failure: Failure,
    out: &mut Vec<Effect>,
) {
    let found = &state.requests.attempts[attempt];
    let may_live = matches!(failure, Failure::Broken | Failure::Stalled);
    if may_live && found.stream.is_some() && found.rereads < resume::REREADS {
        return resume::again(state, now, attempt, out);
    }
    stream_died(state, now, attempt, Waste::DecodeFailed, out);
}

/// The caller, or another one with its key, reads the stream on through another call.
///
/// To read it again here would take it back. The two readers would cut each other off, and the one
/// whose caller has left would cancel the stream under the other: an answer that stops for no reason
/// in the endpoint's log. So this side ends, and cancels nothing.
fn taken(state: &mut State, now: Now, attempt: AttemptKey, out: &mut Vec<Effect>) {
    let found = &mut state.requests.attempts[attempt];
    let key = found.request;
    found.stream = None;
    found.enter(AttemptStage::Queue, now.mono);
    claim::handed_on(state, key);
    settle::unknown(state, now, key, out);
}

/// A stream is lost: its request goes on elsewhere from the text so far.
pub fn stream_died(
    state: &mut State,
    now: Now,
    attempt: AttemptKey,
    waste: Waste,
    out: &mut Vec<Effect>,
) {
    let found = &state.requests.attempts[attempt];
    let (key, resumed) = (found.request, found.resumed);
    charge::prefill(state, now, attempt, waste, out);
    settle::drop_attempt(state, attempt, out);
    let request = &mut state.requests.arena[key];
    request.risked = true;
    if 0 < request.delivered && request.remaining() == 0 {
        return deliver::whole(state, now, key, "length".to_owned(), out);
    }
    if resumed {
        return resumed_died(state, now, key, out);
    }
    if !request.repeatable {
        return settle::unknown(state, now, key, out);
    }
    request.failures += u32::from(waste != Waste::Preempted);
    if state.local.tuning.attempts <= request.failures {
        return settle::unknown(state, now, key, out);
    }
    request.due = now.mono + CONTINUE_DUE;
    request.until = now.mono + CONTINUE_WAIT;
    let retry = if waste == Waste::Preempted { Retry::Preempted } else { Retry::DecodeDied };
    note(state, key, retry, Duration::ZERO, out);
    state.requests.set_queued(key);
    place::start(state, now, key, out);
}

/// A stream that was read on from a cursor is lost. The text before the cursor is not known here, so
/// it can't be continued elsewhere.
fn resumed_died(state: &mut State, now: Now, key: RequestKey, out: &mut Vec<Effect>) {
    if state.requests.arena[key].delivered == 0 {
        resume::gone(state, now, key, out);
    } else {
        settle::unknown(state, now, key, out);
    }
}

/// A steward takes a slot back: the request goes on elsewhere.
pub fn preempted(
    state: &mut State,
    now: Now,
    attempt: AttemptKey,
    slot: SlotKey,
    out: &mut Vec<Effect>,
) {
    let Some(found) = state.requests.attempts.get(attempt) else { return };
    let is_repeatable = state.requests.arena[found.request].repeatable;
    if found.slot != Some(slot) {
        return;
    }
    let key = found.request;
    match found.stage {
        AttemptStage::Stream if is_repeatable && !found.resumed => {
            stream_died(state, now, attempt, Waste::Preempted, out);
        }
        AttemptStage::Queue => {
            note(state, key, Retry::Preempted, GIVE_WAY, out);
            later(state, now, key, GIVE_WAY, out);
        }
        // Its prefill runs or has just ended, so it is about to use the slot, or nobody else may
        // finish it: the steward takes another one.
        _ => {}
    }
}

fn plain_failed(
    state: &mut State,
    now: Now,
    attempt: AttemptKey,
    failure: Failure,
    out: &mut Vec<Effect>,
) {
    let key = state.requests.attempts[attempt].request;
    if !is_proof(failure) {
        state.requests.arena[key].risked = true;
        if !state.requests.arena[key].repeatable {
            return settle::unknown(state, now, key, out);
        }
    }
    if let Some(slot) = state.requests.attempts[attempt].slot {
        reserve::release_failed(state, slot, failure, out);
    }
    settle::drop_attempt(state, attempt, out);
    again(state, now, key, retry_of(failure, Retry::PlainFailed), out);
}
