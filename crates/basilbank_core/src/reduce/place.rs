//! Where a request runs: from its start to its slots.

use std::time::Duration;

use crate::{
    catalogue::{EntryTarget, Role},
    effect::{Effect, Progress},
    ids::{AttemptKey, RequestKey},
    reason::Refusal,
    reduce::{
        candidates::{self, Want},
        decode, estimate, plain, prefill, reserve,
        reserve::Terms,
        resume, retry,
    },
    state::{AttemptStage, Request, RequestStage, SlotKey, State, Timer},
    time::Now,
};

/// Endpoints that are asked at once for a slot.
const FIRST_ASKS: usize = 1;
/// Further endpoints that are asked when these have not granted it.
const MORE_ASKS: usize = 1;
/// After this long.
const WIDEN: Duration = Duration::from_millis(15);
/// How long a late draft may hold a decode slot without a prefill slot.
const LATE_HOLD: Duration = Duration::from_millis(500);
/// Most endpoints at which one attempt waits.
const MOST_ASKS: usize = 8;
/// An endpoint is asked later than the best one by this many times what its prefill takes longer: a
/// prefix that is computed again takes prefill time from others, and cache from other prompts.
const DETOUR: u32 = 2;
/// How long a draft that is late already waits for the best one alone.
const LATE_DETOUR: Duration = Duration::from_secs(2);
/// Prefill endpoints that differ by less are asked at the same time.
const NEARLY: Duration = Duration::from_millis(10);

/// Starts a request's next attempt.
pub fn start(state: &mut State, now: Now, key: RequestKey, out: &mut Vec<Effect>) {
    let Some(request) = state.requests.arena.get(key) else { return };
    if request.stage != RequestStage::Waiting {
        return;
    }
    if request.draft.as_ref().is_some_and(|d| d.resume.is_some()) && request.attempts == 0 {
        return resume::start(state, now, key, out);
    }
    let attempt = state.requests.begin(key, now.mono);
    seek(state, now, attempt, FIRST_ASKS, out);
    state.timers.set(now.mono + WIDEN, Timer::Attempt(attempt));
    if state.requests.attempts.get(attempt).is_some_and(|a| a.asks.is_empty() && a.slot.is_none()) {
        retry::no_endpoint(state, now, attempt, out);
    }
}

/// An attempt has waited for a while: it waits at more endpoints.
pub fn widen(state: &mut State, now: Now, attempt: AttemptKey, out: &mut Vec<Effect>) {
    let Some(found) = state.requests.attempts.get(attempt) else { return };
    if found.asks.len() < MOST_ASKS && found.stage != AttemptStage::Queue {
        seek(state, now, attempt, MORE_ASKS, out);
    }
}

/// Asks up to `more` further endpoints for the slot that an attempt needs next.
pub fn seek(state: &mut State, now: Now, attempt: AttemptKey, more: usize, out: &mut Vec<Effect>) {
    let Some(found) = state.requests.attempts.get(attempt) else { return };
    let request = &state.requests.arena[found.request];
    let Some(entry) = state.view.entry(request.entry) else { return };
    let role = match (entry.target, found.stage) {
        (EntryTarget::Service(_), _) => Role::Plain,
        (EntryTarget::Model(_), AttemptStage::Queue) => Role::Prefill,
        (EntryTarget::Model(_), _) => Role::Decode,
    };
    let terms = terms(state, now, attempt, role);
    let want = Want { target: entry.target, role, attempt, count: more };
    for (_, endpoint) in candidates::choose(state, now, &want) {
        reserve::ask(state, now, attempt, endpoint, terms, out);
    }
}

/// Asks prefill endpoints for a slot: at once the one that promises to be done first, the others
/// later, by how much later they would be done.
///
/// The first grant wins. Were all asked at once, an endpoint without the prompt's prefix would often
/// be a little quicker to grant and much slower to compute.
pub fn seek_prefill(state: &mut State, now: Now, attempt: AttemptKey, out: &mut Vec<Effect>) {
    let Some(found) = state.requests.attempts.get(attempt) else { return };
    let request = &state.requests.arena[found.request];
    let (due, entry) = (request.due, request.entry);
    let Some(entry) = state.view.entry(entry) else { return };
    let want = Want { target: entry.target, role: Role::Prefill, attempt, count: MOST_ASKS };
    let ranked = candidates::choose(state, now, &want);
    let terms = terms(state, now, attempt, Role::Prefill);
    let spare = due.saturating_sub(now.mono + terms.lead);
    let longest = if spare.is_zero() { LATE_DETOUR } else { spare };
    let least = ranked.first().map_or(Duration::ZERO, |(cost, _)| *cost);
    let delay = |cost: Duration| ((cost - least) * DETOUR).min(longest);
    let plan = ranked.iter().map(|(cost, endpoint)| (now.mono + delay(*cost), *endpoint));
    let plan = plan.rev().collect();
    state.requests.attempts[attempt].plan = plan;
    ask_planned(state, now, attempt, out);
}

/// All that were asked have denied: asks the next one, unless so many have denied already.
pub fn ask_others(
    state: &mut State,
    now: Now,
    attempt: AttemptKey,
    most: usize,
    out: &mut Vec<Effect>,
) {
    let Some(found) = state.requests.attempts.get_mut(attempt) else { return };
    if let Some(next) = found.plan.last_mut() {
        next.0 = now.mono;
        ask_planned(state, now, attempt, out);
    } else if found.stage != AttemptStage::Queue && found.denied.len() < most {
        seek(state, now, attempt, FIRST_ASKS, out);
    }
}

/// Asks the endpoints whose time has come.
pub fn ask_planned(state: &mut State, now: Now, attempt: AttemptKey, out: &mut Vec<Effect>) {
    let terms = terms(state, now, attempt, Role::Prefill);
    loop {
        let Some(found) = state.requests.attempts.get_mut(attempt) else { return };
        let Some((at, endpoint)) = found.plan.last().copied() else { return };
        if now.mono + NEARLY < at {
            return state.timers.set(at, Timer::Attempt(attempt));
        }
        found.plan.pop();
        reserve::ask(state, now, attempt, endpoint, terms, out);
    }
}

fn terms(state: &State, now: Now, attempt: AttemptKey, role: Role) -> Terms {
    let found = &state.requests.attempts[attempt];
    let request = &state.requests.arena[found.request];
    let prefill = estimate::prefill(state, request);
    let transfer = estimate::transfer(state, request);
    let lags = estimate::lags(state, request.entry);
    let (lead, until) = match (role, found.stage) {
        (Role::Decode, AttemptStage::Move) => {
            let last = found.cache.as_ref().map_or(now.mono, |c| c.until);
            (Duration::ZERO, last.saturating_sub(transfer))
        }
        (Role::Decode, _) => (prefill + transfer + lags.placed.margin(), request.until),
        (Role::Prefill, _) => {
            let lead = prefill + transfer + lags.run.margin();
            (lead, give_way(now, request, lead))
        }
        (Role::Plain, _) => {
            let lead = lags.run.margin();
            (lead, request.until.saturating_sub(lead))
        }
    };
    let sent = if role == Role::Prefill { request.prompt_tokens() } else { 0 };
    let tokens =
        request.prompt_tokens() + if role == Role::Prefill { 0 } else { request.remaining() };
    Terms { tokens, sent, lead, until }
}

/// How long a draft that holds a decode slot may wait for a prefill slot.
///
/// Where prefill is scarce, drafts that are late already would wait there with all decode slots in
/// their hands, and those that could still be in time would not even get to the queue. So a draft
/// that has become late gives its decode slot back and waits behind the others.
fn give_way(now: Now, request: &Request, lead: Duration) -> Duration {
    let latest = request.due.saturating_sub(lead).max(now.mono + LATE_HOLD);
    latest.min(request.until)
}

/// A slot was granted to an attempt.
pub fn granted(
    state: &mut State,
    now: Now,
    attempt: AttemptKey,
    slot: SlotKey,
    out: &mut Vec<Effect>,
) {
    let Some(found) = state.requests.attempts.get_mut(attempt) else { return };
    let stage = found.stage;
    let (request, since) = (found.request, found.since);
    let is_draft = state.requests.arena[request].draft.is_some();
    let role = match stage {
        AttemptStage::Queue => "prefill",
        _ if is_draft => "decode",
        _ => "plain",
    };
    match stage {
        AttemptStage::Queue => found.prefill = Some(slot),
        _ => found.slot = Some(slot),
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
        AttemptStage::Queue => prefill::run(state, now, attempt, out),
        AttemptStage::Move => decode::import(state, now, attempt, out),
        AttemptStage::Slot if is_draft => prefill::seek(state, now, attempt, out),
        AttemptStage::Slot => plain::run(state, now, attempt, out),
        _ => reserve::release(state, slot, out),
    }
}

/// How a request that no endpoint can take is refused.
#[must_use]
pub fn refusal_of(state: &State, key: RequestKey) -> Refusal {
    let Some(request) = state.requests.arena.get(key) else { return Refusal::NoEndpoint };
    if request.due < request.until { Refusal::WaitedOut } else { Refusal::TargetMissed }
}
