//! A call comes in: its route, its service, its deadline.

use std::time::Duration;

use super::{Turn, step};
use crate::{
    call::Call,
    effect::Effect,
    note::Note,
    reason::Refusal,
    state::{Draft, Request},
};

/// Takes a call in, or refuses it.
pub fn arrived(turn: &mut Turn<'_>, call: Call) {
    let id = call.id;
    let note = Note::new("arrived")
        .with("request", &call.trace)
        .with("digest", call.digest)
        .with("version", turn.state.routes.version)
        .with("wait_ms", call.patience.map_or(0, |p| p.as_millis()));
    let note = match &call.prompt {
        None => note,
        Some(prompt) => {
            let hint = prompt.hint.unwrap_or_default();
            note.with("tokens", prompt.tokens).with("most", prompt.most).with("hint", hint)
        }
    };
    match admit(turn, call) {
        Ok(request) => {
            let note = note.with("route", &request.route.name).with("service", &request.service);
            let deadline = request.deadline;
            turn.note(note);
            turn.state.requests.insert(id, request);
            turn.wake(id, deadline);
            step::go_on(turn, id);
        }
        Err(refusal) => {
            turn.note(note.with("refusal", refusal.as_str()));
            let after = refusal.not_run().then_some(turn.state.tuning.come_back);
            turn.push(Effect::Refuse { request: id, refusal, after });
        }
    }
}

fn admit(turn: &mut Turn<'_>, call: Call) -> Result<Request, Refusal> {
    let state = &mut *turn.state;
    // Without a configuration nobody knows whether the route exists: 404 would be a guess.
    if !state.knows() {
        return Err(Refusal::NotReady);
    }
    // A 404 is final: callers don't try again, elsewhere or later.
    let unknown = if state.outdated() { Refusal::Outdated } else { Refusal::UnknownRoute };
    let route = state.routes.find(&call.host, &call.path).ok_or(unknown)?.clone();
    let patience = call.patience.map(|p| p.saturating_sub(state.tuning.answer_margin));
    let wait = patience.unwrap_or(Duration::MAX).min(route.timeout);
    let deadline = turn.now + wait;
    if state.leaving.is_some_and(|leaving| leaving.refuses(turn.now, deadline)) {
        return Err(Refusal::Leaving);
    }
    let unit = state.rng.unit();
    let service = route.service(unit).ok_or(Refusal::NoEndpoint)?.to_owned();
    let budget = state.budgets.entry(service.clone()).or_default();
    budget.called(turn.now, &state.tuning);
    Ok(Request {
        version: state.routes.version,
        arrived: turn.now,
        deadline,
        live: Vec::new(),
        attempts: 0,
        counted: 0,
        unpaid: 0,
        tried: Vec::new(),
        maybe_run: false,
        answering: false,
        failure: None,
        draft: Draft::default(),
        resume_at: None,
        permit_by: None,
        timers: Vec::new(),
        call,
        route,
        service,
    })
}
