//! Requests in progress, and why what happened to one happened.

use std::time::Duration;

use basilbank_core::{
    effect::Progress,
    ids::RequestId,
    state::{AttemptStage, Request, RequestStage, State},
};
use rouille::Response;
use serde::Serialize;

use crate::{
    admin::access::problem,
    history::{Event, History},
    logs,
    names::Names,
};

/// One request in progress at this daemon.
#[derive(Clone, PartialEq, Serialize, Debug)]
pub struct RequestRow {
    id: String,
    team: String,
    entry: String,
    class: String,
    stage: &'static str,
    endpoint: String,
    attempts: u32,
    prompt: u32,
    delivered: u32,
    age_ms: u64,
    repeatable: bool,
}

/// What happened to a request.
#[derive(Clone, PartialEq, Serialize, Debug)]
struct Explanation {
    id: String,
    team: String,
    entry: String,
    outcome: String,
    events: Vec<EventRow>,
}

/// One thing that happened to a request.
#[derive(Clone, PartialEq, Serialize, Debug)]
struct EventRow {
    at_ms: u64,
    event: String,
    detail: String,
}

/// The requests in progress.
pub fn in_progress(state: &State, names: &Names) -> Vec<RequestRow> {
    let now = state.members.own_status.last_event;
    state.requests.arena.values().map(|request| row(state, names, request, now)).collect()
}

/// What happened to a request.
pub fn explain(id: &str, history: &History, names: &Names) -> Response {
    let Ok(request) = u64::from_str_radix(id, 16).map(RequestId) else {
        return problem(400, "a request's id has 16 hex digits");
    };
    let events = history.of(request);
    let Some(first) = events.first() else {
        return problem(404, "this daemon does not remember the request");
    };
    let start = first.at;
    Response::json(&Explanation {
        id: request.to_string(),
        team: value(&events, |p| team(p, names)),
        entry: value(&events, |p| entry(p, names)),
        outcome: value(&events, outcome),
        events: events.iter().map(|event| event_row(event, start, names)).collect(),
    })
}

fn row(state: &State, names: &Names, request: &Request, now: Duration) -> RequestRow {
    let attempt = match request.stage {
        RequestStage::Running(key) => state.requests.attempts.get(key),
        RequestStage::Claiming | RequestStage::Waiting => None,
    };
    let endpoint = attempt.and_then(|a| a.endpoint());
    RequestRow {
        id: request.id.to_string(),
        team: names.team(request.team).to_owned(),
        entry: names.entry(request.entry).to_owned(),
        class: names.class_of(request.entry).to_owned(),
        stage: match (request.stage, attempt) {
            (RequestStage::Claiming, _) => "claiming",
            (_, Some(attempt)) => stage_name(attempt.stage),
            (_, None) => "waiting",
        },
        endpoint: endpoint.map_or_else(String::new, |id| names.endpoint(id).to_owned()),
        attempts: request.attempts,
        prompt: request.prefill_tokens(),
        delivered: request.delivered,
        age_ms: millis(now.saturating_sub(request.accepted_at)),
        repeatable: request.repeatable,
    }
}

fn stage_name(stage: AttemptStage) -> &'static str {
    match stage {
        AttemptStage::WaitingForSlot => "slot",
        AttemptStage::WaitingForPrefill => "queue",
        AttemptStage::Prefill => "prefill",
        AttemptStage::Relocating => "move",
        AttemptStage::Import => "import",
        AttemptStage::Stream => "stream",
        AttemptStage::Plain => "plain",
    }
}

fn event_row(event: &Event, start: Duration, names: &Names) -> EventRow {
    let line = logs::line(&event.progress, names);
    EventRow {
        at_ms: millis(event.at.saturating_sub(start)),
        event: line.event().to_owned(),
        detail: line.detail().to_owned(),
    }
}

/// The first value that a note has; empty when none has one yet.
fn value(events: &[Event], of: impl Fn(&Progress) -> Option<String>) -> String {
    events.iter().find_map(|event| of(&event.progress)).unwrap_or_default()
}

fn team(progress: &Progress, names: &Names) -> Option<String> {
    let Progress::Accepted { team, .. } = progress else { return None };
    Some(names.team(*team).to_owned())
}

fn entry(progress: &Progress, names: &Names) -> Option<String> {
    let Progress::Accepted { entry, .. } = progress else { return None };
    Some(names.entry(*entry).to_owned())
}

fn outcome(progress: &Progress) -> Option<String> {
    let Progress::Settled { outcome, .. } = progress else { return None };
    Some(outcome.as_str().to_owned())
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
