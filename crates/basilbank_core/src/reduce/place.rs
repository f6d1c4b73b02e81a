//! Placement of requests: from the start of an attempt to the grant of its slots.

use std::time::Duration;

use crate::{
    catalogue::{EntryTarget, Role},
    effect::{Effect, Progress},
    ids::{AttemptKey, RequestKey},
    reason::Refusal,
    reduce::{
        candidates::{self, Criteria},
        decode, estimate, plain, prefill, reserve,
        reserve::SlotTerms,
        resume, retry,
    },
    state::{AttemptStage, Request, RequestStage, SlotKey, State, Timer},
    time::Now,
};

/// Number of endpoints that an attempt asks first for a slot.
const INITIAL_RESERVATIONS: usize = 1;
/// Number of further endpoints to ask if none of these has granted a slot.
const ADDED_RESERVATIONS: usize = 1;
/// Time after which further endpoints are asked.
const WIDEN_DELAY: Duration = Duration::from_millis(15);
/// Time for which a late completion may hold a decode slot without a prefill slot.
const MAX_LATE_HOLD: Duration = Duration::from_millis(500);
/// Maximum number of endpoints at which an attempt waits at the same time.
const MAX_RESERVATIONS: usize = 8;
/// Delay before a prefill endpoint is asked, as a multiple of how much longer its prefill takes
/// than that at the best endpoint. Computing a cached prefix again at another endpoint takes
/// prefill time from other requests, and cache space from other prompts.
const DELAY_FACTOR: u32 = 2;
/// Maximum time for which a completion that is already late waits for the best endpoint alone.
const MAX_LATE_DELAY: Duration = Duration::from_secs(2);
/// Prefill endpoints whose start times differ by less than this are asked at the same time.
const SIMULTANEOUS_WINDOW: Duration = Duration::from_millis(10);

/// Starts the next attempt of a request.
pub fn start_attempt(state: &mut State, now: Now, key: RequestKey, out: &mut Vec<Effect>) {
    let Some(request) = state.requests.arena.get(key) else { return };
    if request.stage != RequestStage::Waiting {
        return;
    }
    if request.completion.as_ref().is_some_and(|c| c.resume.is_some()) && request.attempts == 0 {
        return resume::start(state, now, key, out);
    }
    let attempt_key = state.requests.begin_attempt(key, now.mono);
    reserve_slots(state, now, attempt_key, INITIAL_RESERVATIONS, out);
    state.timers.set(now.mono + WIDEN_DELAY, Timer::Attempt(attempt_key));
    if state
        .requests
        .attempts
        .get(attempt_key)
        .is_some_and(|a| a.reservations.is_empty() && a.slot.is_none())
    {
        retry::on_no_endpoint(state, now, attempt_key, out);
    }
}

/// Asks further endpoints after an attempt has waited for a while.
pub fn widen_search(state: &mut State, now: Now, attempt_key: AttemptKey, out: &mut Vec<Effect>) {
    let Some(attempt) = state.requests.attempts.get(attempt_key) else { return };
    if attempt.reservations.len() < MAX_RESERVATIONS
        && attempt.stage != AttemptStage::WaitingForPrefill
    {
        reserve_slots(state, now, attempt_key, ADDED_RESERVATIONS, out);
    }
}

/// Asks up to `count` further endpoints for the slot that an attempt needs next.
pub fn reserve_slots(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    count: usize,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = state.requests.attempts.get(attempt_key) else { return };
    let request = &state.requests.arena[attempt.request];
    let Some(entry) = state.view.entry(request.entry) else { return };
    let role = match (entry.target, attempt.stage) {
        (EntryTarget::Service(_), _) => Role::Plain,
        (EntryTarget::Model(_), AttemptStage::WaitingForPrefill) => Role::Prefill,
        (EntryTarget::Model(_), _) => Role::Decode,
    };
    let terms = slot_terms(state, now, attempt_key, role);
    let criteria = Criteria { target: entry.target, role, attempt: attempt_key, count };
    for (_, endpoint) in candidates::choose(state, now, &criteria) {
        reserve::request_slot(state, now, attempt_key, endpoint, terms, out);
    }
}

/// Asks prefill endpoints for a slot: the one that is expected to be done first immediately, and
/// each of the others later, by a multiple of how much later it would be done.
///
/// The first grant wins. If all were asked at the same time, an endpoint without the prompt's
/// prefix would often grant a slot slightly sooner and take much longer to compute.
pub fn reserve_prefill_slots(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = state.requests.attempts.get(attempt_key) else { return };
    let request = &state.requests.arena[attempt.request];
    let (due, entry) = (request.due, request.entry);
    let Some(entry) = state.view.entry(entry) else { return };
    let criteria = Criteria {
        target: entry.target,
        role: Role::Prefill,
        attempt: attempt_key,
        count: MAX_RESERVATIONS,
    };
    let ranked = candidates::choose(state, now, &criteria);
    let terms = slot_terms(state, now, attempt_key, Role::Prefill);
    let slack = due.saturating_sub(now.mono + terms.lead);
    let max_delay = if slack.is_zero() { MAX_LATE_DELAY } else { slack };
    let min_cost = ranked.first().map_or(Duration::ZERO, |(cost, _)| *cost);
    let delay = |cost: Duration| ((cost - min_cost) * DELAY_FACTOR).min(max_delay);
    let plan = ranked.iter().map(|(cost, endpoint)| (now.mono + delay(*cost), *endpoint));
    let plan = plan.rev().collect();
    state.requests.attempts[attempt_key].prefill_plan = plan;
    reserve_due(state, now, attempt_key, out);
}

/// Asks the next endpoint after all endpoints that were asked have denied a slot, unless
/// `max_denials` of them have denied one.
pub fn reserve_next(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    max_denials: usize,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = state.requests.attempts.get_mut(attempt_key) else { return };
    if let Some(next) = attempt.prefill_plan.last_mut() {
        next.0 = now.mono;
        reserve_due(state, now, attempt_key, out);
    } else if attempt.stage != AttemptStage::WaitingForPrefill && attempt.denied.len() < max_denials
    {
        reserve_slots(state, now, attempt_key, INITIAL_RESERVATIONS, out);
    }
}

/// Asks the planned prefill endpoints whose time has come.
pub fn reserve_due(state: &mut State, now: Now, attempt_key: AttemptKey, out: &mut Vec<Effect>) {
    let terms = slot_terms(state, now, attempt_key, Role::Prefill);
    loop {
        let Some(attempt) = state.requests.attempts.get_mut(attempt_key) else { return };
        let Some((at, endpoint)) = attempt.prefill_plan.last().copied() else { return };
        if now.mono + SIMULTANEOUS_WINDOW < at {
            return state.timers.set(at, Timer::Attempt(attempt_key));
        }
        attempt.prefill_plan.pop();
        reserve::request_slot(state, now, attempt_key, endpoint, terms, out);
    }
}

fn slot_terms(state: &State, now: Now, attempt_key: AttemptKey, role: Role) -> SlotTerms {
    let attempt = &state.requests.attempts[attempt_key];
    let request = &state.requests.arena[attempt.request];
    let prefill = estimate::prefill_time(state, request);
    let transfer = estimate::transfer_time(state, request);
    let overruns = estimate::overruns(state, request.entry);
    let (lead, deadline) = match (role, attempt.stage) {
        (Role::Decode, AttemptStage::Relocating) => {
            let evicted_at = attempt.kv_cache.as_ref().map_or(now.mono, |c| c.evicted_at);
            (Duration::ZERO, evicted_at.saturating_sub(transfer))
        }
        (Role::Decode, _) => {
            (prefill + transfer + overruns.decode_granted.margin(), request.wait_deadline)
        }
        (Role::Prefill, _) => {
            let lead = prefill + transfer + overruns.prefill_started.margin();
            (lead, decode_hold_deadline(now, request, lead))
        }
        (Role::Plain, _) => {
            let lead = overruns.prefill_started.margin();
            (lead, request.wait_deadline.saturating_sub(lead))
        }
    };
    let transfer_tokens = if role == Role::Prefill { request.prefill_tokens() } else { 0 };
    let tokens = request.prefill_tokens()
        + if role == Role::Prefill { 0 } else { request.remaining_tokens() };
    SlotTerms { tokens, transfer_tokens, lead, deadline }
}

/// Returns until when a completion that holds a decode slot may wait for a prefill slot.
///
/// If prefill is scarce, late completions would otherwise hold all decode slots while they wait for
/// it, and completions that could still meet their target would not even reach the prefill queue. A
/// completion that has become late therefore releases its decode slot and waits behind the others.
fn decode_hold_deadline(now: Now, request: &Request, lead: Duration) -> Duration {
    let latest = request.due.saturating_sub(lead).max(now.mono + MAX_LATE_HOLD);
    latest.min(request.wait_deadline)
}

/// Continues an attempt to which a slot was granted.
pub fn on_granted(
    state: &mut State,
    now: Now,
    attempt_key: AttemptKey,
    slot: SlotKey,
    out: &mut Vec<Effect>,
) {
    let Some(attempt) = state.requests.attempts.get_mut(attempt_key) else { return };
    let stage = attempt.stage;
    let (request, since) = (attempt.request, attempt.stage_since);
    let is_completion = state.requests.arena[request].completion.is_some();
    let role = match stage {
        AttemptStage::WaitingForPrefill => "prefill",
        _ if is_completion => "decode",
        _ => "plain",
    };
    match stage {
        AttemptStage::WaitingForPrefill => attempt.prefill_slot = Some(slot),
        _ => attempt.slot = Some(slot),
    }
    let id = state.requests.arena[request].id;
    let waited = now.mono - since;
    out.push(Effect::Progress(Progress::Placed {
        request: id,
        endpoint: slot.endpoint,
        role,
        waited,
    }));
    match stage {
        AttemptStage::WaitingForPrefill => prefill::start(state, now, attempt_key, out),
        AttemptStage::Relocating => decode::start_import(state, now, attempt_key, out),
        AttemptStage::WaitingForSlot if is_completion => {
            prefill::reserve_slot(state, now, attempt_key, out);
        }
        AttemptStage::WaitingForSlot => plain::send_call(state, now, attempt_key, out),
        _ => reserve::release(state, slot, out),
    }
}

/// Returns the reason for which a request that no endpoint can take is refused.
#[must_use]
pub fn refusal_reason(state: &State, key: RequestKey) -> Refusal {
    let Some(request) = state.requests.arena.get(key) else { return Refusal::NoEndpoint };
    if request.due < request.wait_deadline { Refusal::WaitTimedOut } else { Refusal::TargetMissed }
}
