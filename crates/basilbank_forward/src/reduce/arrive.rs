//! A call comes in: its route, its service, its deadline.

use std::{sync::Arc, time::Duration};

use super::{Turn, step};
use crate::{
    call::Call,
    effect::Effect,
    note::Note,
    reason::Refusal,
    route::Route,
    state::{Draft, Request, State, requests::QuotaStage},
    team::{Credential, Team},
};

/// Takes a call in, or refuses it.
pub fn arrived(turn: &mut Turn<'_>, call: Call) {
    let id = call.id;
    let note = Note::new("arrived")
        .with("request", &call.trace)
        .with("version", turn.state.routes.version)
        .with("wait_ms", call.patience.map_or(0, |p| p.as_millis()));
    let note = match turn.state.needs_proof() {
        false => note,
        true => {
            let age = turn.state.freshness.age(turn.now);
            note.with("proof_ms", age.map_or(-1, |age| age.as_millis() as i64))
        }
    };
    let note = match &call.prompt {
        None => note,
        Some(prompt) => {
            let hint = prompt.hint.unwrap_or_default();
            note.with("tokens", prompt.tokens).with("most", prompt.most).with("hint", hint)
        }
    };
    let digest = call.digest;
    match admit(turn, call) {
        Ok(request) => {
            let note = note.with("digest", request.call.digest);
            let note = note.with("route", &request.route.name).with("service", &request.service);
            let note = match &request.team {
                Some(team) => note.with("team", &team.name),
                None => note,
            };
            let deadline = request.deadline;
            turn.note(note);
            turn.state.requests.insert(id, request);
            turn.wake(id, deadline);
            step::go_on(turn, id);
        }
        Err(refusal) => {
            turn.note(note.with("digest", digest).with("refusal", refusal.as_str()));
            let comes_back = refusal.not_run() && !refusal.is_final();
            let after = comes_back.then_some(turn.state.tuning.come_back);
            turn.push(Effect::Refuse { request: id, refusal, after });
        }
    }
}

fn admit(turn: &mut Turn<'_>, mut call: Call) -> Result<Request, Refusal> {
    let state = &mut *turn.state;
    // Without a configuration nobody knows whether the route exists: 404 would be a guess.
    if !state.knows() {
        return Err(Refusal::NotReady);
    }
    // A 404 is final: callers don't try again, elsewhere or later.
    let unknown = if state.outdated() { Refusal::Outdated } else { Refusal::UnknownRoute };
    let route = state.routes.find(&call.host, &call.path).ok_or(unknown)?.clone();
    let team = team(state, &route, call.credential, turn.now)?;
    if let Some(team) = &team {
        call.digest = call.digest.by(team.id);
    }
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
        team,
        quota: QuotaStage::New,
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
        come_back: None,
        timers: Vec::new(),
        call,
        route,
        service,
    })
}

/// The team that calls; none where no key is needed.
///
/// A key that was taken away must not open anything, so none is served while a newer configuration may be
/// in force; and one that is unknown here may be known there, so it isn't turned away for good.
fn team(
    state: &State,
    route: &Route,
    credential: Credential,
    now: Duration,
) -> Result<Option<Arc<Team>>, Refusal> {
    let Some(teams) = state.routes.teams.as_ref().filter(|_| !route.public) else {
        return Ok(None);
    };
    if !state.trusts_keys(now) {
        return Err(Refusal::KeysUnproved);
    }
    let team = match credential {
        Credential::None | Credential::Unusable => Err(Refusal::NoKey),
        Credential::Key(key) => teams.find(&key).ok_or(Refusal::UnknownKey),
    };
    match team {
        Ok(team) => Ok(Some(Arc::clone(team))),
        Err(_) if state.outdated() => Err(Refusal::Outdated),
        Err(refusal) => Err(refusal),
    }
}
