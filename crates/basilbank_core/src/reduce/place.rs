//! Where a request runs.

use std::time::Duration;

use crate::{
    catalogue::{EntryTarget, Role},
    effect::{DraftCall, Effect, EngineCall},
    ids::{EndpointId, RequestKey},
    reason::Refusal,
    reduce::settle,
    state::{Attempt, AttemptStage, RequestStage, State},
    time::Now,
};

/// Time limit of one call to an endpoint.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a request's next attempt.
pub fn start(state: &mut State, now: Now, key: RequestKey, out: &mut Vec<Effect>) {
    let Some(request) = state.requests.arena.get(key) else { return };
    let Some(entry) = state.view.entry(request.entry) else { return };
    let target = entry.target;
    let role = match target {
        EntryTarget::Model(_) => Role::Prefill,
        EntryTarget::Service(_) => Role::Plain,
    };
    let Some(endpoint) = choose(state, target, role, request.attempts) else {
        settle::refuse(state, now, key, Refusal::NoEndpoint, out);
        return;
    };
    let stage = if role == Role::Plain { AttemptStage::Plain } else { AttemptStage::Prefill };
    let attempt = Attempt {
        request: key,
        number: request.attempts,
        endpoint,
        stage,
        base: request.delivered,
        taken: 0,
    };
    let attempt = state.requests.attempts.insert(attempt);
    let request = &mut state.requests.arena[key];
    request.attempts += 1;
    request.stage = RequestStage::Running(attempt);
    let call = match role {
        Role::Plain => EngineCall::Plain {
            attempt,
            caller: request.caller,
            request: request.id,
            endpoint,
            timeout: CALL_TIMEOUT,
        },
        _ => EngineCall::Prefill(draft_call(state, key, endpoint)),
    };
    out.push(Effect::Engine(call));
}

/// What an endpoint needs to know of a request's current attempt.
pub fn draft_call(state: &State, key: RequestKey, endpoint: EndpointId) -> DraftCall {
    let request = &state.requests.arena[key];
    let RequestStage::Running(attempt) = request.stage else {
        unreachable!("a draft call is made for a running attempt only")
    };
    let class = state.view.entry(request.entry).and_then(|e| state.view.class(e.class));
    let max = request.draft.as_ref().map_or(0, |d| d.max_tokens);
    DraftCall {
        attempt,
        caller: request.caller,
        request: request.id,
        number: state.requests.attempts[attempt].number,
        endpoint,
        delivered: request.delivered,
        remaining: max.saturating_sub(request.delivered),
        priority: class.map_or(0, |c| c.priority),
        timeout: CALL_TIMEOUT,
    }
}

/// The endpoint of a role for a request.
pub fn choose(state: &State, target: EntryTarget, role: Role, salt: u32) -> Option<EndpointId> {
    let all: Vec<_> = state.view.serving(target, role).map(|e| e.id).collect();
    let turn = state.requests.counter as usize + salt as usize;
    (!all.is_empty()).then(|| all[turn % all.len()])
}
