//! Admission of calls: authorization, limits and the start of accepted requests.

use std::time::Duration;

use basilbank_wire::KeyRecord;

use crate::{
    catalogue::{Entry, Service},
    effect::{Answer, Effect, Progress},
    event::{Call, CallKind, Completion, PlainCall, ResumePoint},
    ids::{EndpointId, EntryId, RequestId, RequestKey, TeamId},
    reason::Refusal,
    reduce::{claim, limit, place},
    state::{Request, RequestStage, State},
    time::Now,
};

/// Methods that may be repeated unless the caller or the service's configuration says otherwise.
const SAFE_METHODS: [&str; 2] = ["GET", "HEAD"];
/// `Retry-After` of a temporary refusal for which no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Accepts or refuses a call.
pub fn on_call(state: &mut State, now: Now, call: Call, out: &mut Vec<Effect>) {
    let (team, entry) = match authorize(state, &call) {
        Ok(found) => found,
        Err(refusal) => return refuse(&call, None, refusal, out),
    };
    let tokens = match &call.kind {
        CallKind::Completion(completion) if completion.resume.is_none() => {
            completion.prompt_tokens + completion.max_tokens
        }
        CallKind::Completion(_) | CallKind::Plain(_) => 0,
    };
    if let Err(refusal) = limit::take(state, now, entry, tokens, out) {
        return refuse(&call, Some(team), refusal, out);
    }
    let request = new_request(state, now, call, team, entry, tokens);
    let (id, caller) = (request.id, request.caller);
    // A request with a cursor reads an existing stream and runs nothing, so there is no idempotency
    // key to claim.
    let is_resumed = request.completion.as_ref().is_some_and(|c| c.resume.is_some());
    let has_idempotency_key = request.idempotency_key.is_some() && !is_resumed;
    let key = state.requests.insert(request);
    out.push(Effect::Progress(Progress::Accepted { request: id, team, entry }));
    out.push(Effect::Answer { caller, answer: Answer::Accepted { request: id, entry } });
    if has_idempotency_key {
        state.requests.arena[key].stage = RequestStage::Claiming;
        claim::begin(state, now, key, out);
    } else {
        place::start_attempt(state, now, key, out);
    }
}

/// Starts a request whose idempotency key was granted to it.
pub fn on_key_claimed(state: &mut State, now: Now, key: RequestKey, out: &mut Vec<Effect>) {
    start_after_claim(state, now, key, out);
}

/// Lets a request whose idempotency key belongs to a stream on another daemon read that stream from
/// its start.
pub fn join_stream(
    state: &mut State,
    now: Now,
    key: RequestKey,
    record: &KeyRecord,
    out: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.arena.get_mut(key) else { return };
    let (endpoint, entry) = (EndpointId(record.endpoint), request.entry);
    // Another request runs the call, so this one can't report that nothing was run, whatever
    // happens to it.
    request.may_have_run = true;
    request.joined = true;
    request.repeatable = false;
    if let Some(completion) = &mut request.completion {
        completion.resume =
            Some(ResumePoint { endpoint, stream: record.stream.clone(), offset: 0, entry });
    }
    start_after_claim(state, now, key, out);
}

fn start_after_claim(state: &mut State, now: Now, key: RequestKey, out: &mut Vec<Effect>) {
    let Some(request) = state.requests.arena.get_mut(key) else { return };
    request.stage = RequestStage::Waiting;
    place::start_attempt(state, now, key, out);
}

fn refuse(call: &Call, team: Option<TeamId>, refusal: Refusal, out: &mut Vec<Effect>) {
    out.push(Effect::Progress(Progress::Refused { request: None, team, refusal }));
    let retry_after = refusal.is_temporary().then_some(DEFAULT_RETRY_AFTER);
    let answer = Answer::Refused { refusal, retry_after };
    out.push(Effect::Answer { caller: call.caller, answer });
}

fn authorize(state: &State, call: &Call) -> Result<(TeamId, EntryId), Refusal> {
    if state.leaving {
        return Err(Refusal::ShuttingDown);
    }
    let view = &state.view;
    if !state.documents.freshness.is_fresh {
        return Err(Refusal::NotReady);
    }
    let team = view.team(&call.key).ok_or(Refusal::UnknownKey)?;
    let entry = match &call.kind {
        CallKind::Completion(completion) => {
            view.completion_entry(team, &completion.model).ok_or(Refusal::UnknownModel)?
        }
        CallKind::Plain(plain) => {
            let service = view.service(&plain.path).ok_or(Refusal::UnknownPath)?;
            view.plain_entry(team, service).ok_or(Refusal::UnknownPath)?
        }
    };
    check_call(&call.kind, entry)?;
    if state.local.tuning.queue <= state.requests.queued {
        return Err(Refusal::QueueFull);
    }
    Ok((team, entry.id))
}

fn check_call(kind: &CallKind, entry: &Entry) -> Result<(), Refusal> {
    let CallKind::Completion(completion) = kind else { return Ok(()) };
    match &completion.resume {
        Some(resume) if resume.entry != entry.id => Err(Refusal::BadCursor),
        None if completion.max_tokens == 0 => Err(Refusal::BadRequest),
        Some(_) | None => Ok(()),
    }
}

fn new_request(
    state: &mut State,
    now: Now,
    call: Call,
    team: TeamId,
    entry: EntryId,
    tokens: u32,
) -> Request {
    state.requests.accepted_count += 1;
    let id = RequestId::new(state.local.vm, state.local.incarnation, state.requests.accepted_count);
    let mut request = Request::new(id, &call, team, entry, now.mono);
    request.limit_tokens = tokens;
    let entry_record = state.view.entry(entry);
    if let Some(class) = entry_record.and_then(|e| state.view.class(e.class)) {
        request.due = now.mono + class.ttft;
        request.wait_deadline = request.due + class.max_wait;
    }
    request.repeatable = call.repeatable.unwrap_or_else(|| match &call.kind {
        CallKind::Completion(_) => true,
        CallKind::Plain(plain) => is_repeatable(plain, state.view.service(&plain.path)),
    });
    request.completion = into_completion(call.kind);
    request
}

fn into_completion(kind: CallKind) -> Option<Completion> {
    match kind {
        CallKind::Completion(completion) => Some(completion),
        CallKind::Plain(_) => None,
    }
}

fn is_repeatable(plain: &PlainCall, service: Option<&Service>) -> bool {
    let is_listed = service.is_some_and(|s| s.repeatable_methods.contains(&plain.method));
    is_listed || SAFE_METHODS.contains(&plain.method.as_str())
}
