//! Admission of calls: finds a call's route, team, service and deadline, or refuses it.

use std::{sync::Arc, time::Duration};

use super::{Context, forecast, step};
use crate::{
    call::{Call, Prompt},
    effect::Effect,
    log_line::LogLine,
    reason::Refusal,
    route::Route,
    state::{
        Completion, Request, State,
        requests::{OriginStage, QuotaStage, ReturnStage},
    },
    team::{Credential, Team},
};

/// Admits a call and takes its first step, or refuses it.
pub fn handle_call(ctx: &mut Context<'_>, call: Call) {
    let id = call.id;
    let line = LogLine::new("arrived")
        .with("request", &call.trace_id)
        .with("version", ctx.state.routes.version)
        .with("wait_ms", call.caller_timeout.map_or(0, |p| p.as_millis()));
    let line = match ctx.state.needs_confirmation() {
        false => line,
        true => {
            let age = ctx.state.freshness.age(ctx.now);
            line.with("proof_ms", age.map_or(-1, |age| age.as_millis() as i64))
        }
    };
    let line = match ctx.state.leaving {
        None => line,
        Some(leaving) => {
            let left = leaving.until.saturating_sub(ctx.now);
            line.with_ms("leaving_ms", leaving.age(ctx.now)).with_ms("end_ms", left)
        }
    };
    let line = match &call.prompt {
        None => line,
        Some(prompt) => {
            let hint = prompt.output_hint.unwrap_or_default();
            let line = line.with("tokens", prompt.tokens).with("most", prompt.max_output);
            line.with("hint", hint).with("parts", prompt.part_names())
        }
    };
    let line = match &call.resumption {
        None => line,
        Some(resumption) => line.with("resumes", &resumption.began_as),
    };
    let digest = call.digest;
    match admit(ctx, call) {
        Ok(request) => {
            let line = line.with("digest", request.call.digest);
            let line = line.with("route", &request.route.name).with("service", &request.service);
            let line = line.with_ms("deadline_ms", request.remaining(ctx.now));
            let line = match &request.team {
                Some(team) => line.with("team", &team.name),
                None => line,
            };
            let line = match request.rank {
                Some(rank) => line.with("rank", rank),
                None => line,
            };
            let deadline = request.deadline;
            if let Some(prompt) = &request.call.prompt {
                ctx.state.common_parts.record(&prompt.parts, ctx.now);
            }
            ctx.log(line);
            ctx.state.requests.insert(id, request);
            ctx.set_timer(id, deadline);
            forecast::record_arrival(ctx, id);
            step::proceed(ctx, id);
        }
        Err(refusal) => {
            ctx.log(line.with("digest", digest).with("refusal", refusal.as_str()));
            let can_retry = refusal.is_not_run() && !refusal.is_final();
            let retry_after = can_retry.then_some(ctx.state.tuning.retry_after);
            ctx.push(Effect::Refuse { request: id, refusal, retry_after });
        }
    }
}

fn admit(ctx: &mut Context<'_>, mut call: Call) -> Result<Request, Refusal> {
    let state = &mut *ctx.state;
    call.prompt = call.prompt.map(Prompt::bounded);
    // Without a configuration it is unknown whether the route exists, so 404 could be wrong.
    if !state.is_initialized() {
        return Err(Refusal::NotReady);
    }
    // A 404 is final: callers don't try again, neither elsewhere nor later.
    let no_route =
        if state.is_configuration_outdated() { Refusal::Outdated } else { Refusal::UnknownRoute };
    let route = state.routes.find(&call.host, &call.path).ok_or(no_route)?.clone();
    let team = authenticate(state, &route, call.credential, ctx.now)?;
    if let Some(team) = &team {
        call.digest = call.digest.for_team(team.id);
    }
    let max_wait = call.caller_timeout.map(|p| p.saturating_sub(state.tuning.answer_margin));
    let timeout = max_wait.unwrap_or(Duration::MAX).min(route.timeout);
    let deadline = ctx.now + timeout;
    if state.leaving.is_some_and(|leaving| leaving.refuses(ctx.now, deadline)) {
        return Err(Refusal::Leaving);
    }
    let unit = state.rng.unit();
    let service = route.pick_service(unit).ok_or(Refusal::NoEndpoint)?.to_owned();
    let budget = state.retry_budgets.entry(service.clone()).or_default();
    budget.record_call(ctx.now, &state.tuning);
    let rank = state.routes.rank(&service, &route, team.as_deref());
    Ok(Request {
        version: state.routes.version,
        team,
        rank,
        quota: QuotaStage::New,
        arrived: ctx.now,
        deadline,
        active_attempts: Vec::new(),
        attempt_count: 0,
        counted_attempts: 0,
        uncharged_refusals: 0,
        tried: Vec::new(),
        maybe_run: false,
        awaits_successor: false,
        proxy_failures: 0,
        answering: false,
        origin: OriginStage::New,
        asked_peers: Vec::new(),
        inferred: Vec::new(),
        pinned: None,
        assigned: None,
        last_failure: None,
        completion: Completion::default(),
        resume_at: None,
        permit_deadline: None,
        retry_after: None,
        returned: false,
        return_stage: ReturnStage::New,
        asked_keepers: Vec::new(),
        first_arrived: ctx.now,
        forecast: None,
        timers: Vec::new(),
        call,
        route,
        service,
    })
}

/// Returns the calling team, or `None` if no key is needed.
///
/// A revoked key must not give access, so no call with a key is served while a newer configuration
/// may be in force. A key that is unknown here may be known in a newer configuration, so such a
/// call isn't refused for good.
fn authenticate(
    state: &State,
    route: &Route,
    credential: Credential,
    now: Duration,
) -> Result<Option<Arc<Team>>, Refusal> {
    let Some(teams) = state.routes.teams.as_ref().filter(|_| !route.public) else {
        return Ok(None);
    };
    if !state.can_trust_keys(now) {
        return Err(Refusal::KeysUnconfirmed);
    }
    let team = match credential {
        Credential::None | Credential::Unusable => Err(Refusal::NoKey),
        Credential::Key(key) => teams.find(&key).ok_or(Refusal::UnknownKey),
    };
    match team {
        Ok(team) => Ok(Some(Arc::clone(team))),
        Err(_) if state.is_configuration_outdated() => Err(Refusal::Outdated),
        Err(refusal) => Err(refusal),
    }
}
