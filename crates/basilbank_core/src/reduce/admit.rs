//! Who may run what.

use std::time::Duration;

use basilbank_wire::KeyRecord;

use crate::{
    catalogue::{Entry, Service},
    effect::{Answer, Effect, Progress},
    event::{Call, Draft, Plain, ResumePoint, Work},
    ids::{EndpointId, EntryId, RequestId, RequestKey, TeamId},
    reason::Refusal,
    reduce::{claim, limit, place},
    state::{Request, RequestStage, State},
    time::Now,
};

/// Methods that may be repeated unless someone says otherwise.
const SAFE_METHODS: [&str; 2] = ["GET", "HEAD"];
/// When a caller should come back after a refusal that says nothing better.
const COME_BACK: Duration = Duration::from_secs(1);

/// A call came in: accept it or refuse it.
pub fn arrived(state: &mut State, now: Now, call: Call, out: &mut Vec<Effect>) {
    let (team, entry) = match authorize(state, &call) {
        Ok(found) => found,
        Err(refusal) => return refuse(&call, None, refusal, out),
    };
    let tokens = match &call.work {
        Work::Draft(draft) if draft.resume.is_none() => draft.tokens + draft.max_tokens,
        Work::Draft(_) | Work::Plain(_) => 0,
    };
    if let Err(refusal) = limit::take(state, now, entry, tokens, out) {
        return refuse(&call, Some(team), refusal, out);
    }
    let request = accept(state, now, call, team, entry, tokens);
    let (id, caller) = (request.id, request.caller);
    // A cursor names the stream that is wanted, so nothing is run and there is nothing to claim.
    let is_resumed = request.draft.as_ref().is_some_and(|d| d.resume.is_some());
    let is_keyed = request.idempotency.is_some() && !is_resumed;
    let key = state.requests.insert(request);
    out.push(Effect::Progress(Progress::Accepted { request: id, team, entry }));
    out.push(Effect::Answer { caller, answer: Answer::Accepted { request: id, entry } });
    if is_keyed {
        state.requests.arena[key].stage = RequestStage::Claiming;
        claim::begin(state, now, key, out);
    } else {
        place::start(state, now, key, out);
    }
}

/// The request's idempotency key is its own: it may run.
pub fn claimed(state: &mut State, now: Now, key: RequestKey, out: &mut Vec<Effect>) {
    begin(state, now, key, out);
}

/// The request's idempotency key belongs to a stream that runs elsewhere: read that from its start.
pub fn joined(
    state: &mut State,
    now: Now,
    key: RequestKey,
    record: &KeyRecord,
    out: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.arena.get_mut(key) else { return };
    let (endpoint, entry) = (EndpointId(record.endpoint), request.entry);
    // The run is another request's: whatever becomes of this one, it can't be called not run.
    request.risked = true;
    request.joined = true;
    request.repeatable = false;
    if let Some(draft) = &mut request.draft {
        draft.resume =
            Some(ResumePoint { endpoint, stream: record.stream.clone(), offset: 0, entry });
    }
    begin(state, now, key, out);
}

fn begin(state: &mut State, now: Now, key: RequestKey, out: &mut Vec<Effect>) {
    let Some(request) = state.requests.arena.get_mut(key) else { return };
    request.stage = RequestStage::Waiting;
    place::start(state, now, key, out);
}

fn refuse(call: &Call, team: Option<TeamId>, refusal: Refusal, out: &mut Vec<Effect>) {
    out.push(Effect::Progress(Progress::Refused { request: None, team, refusal }));
    let after = refusal.is_temporary().then_some(COME_BACK);
    let answer = Answer::Refused { refusal, after };
    out.push(Effect::Answer { caller: call.caller, answer });
}

fn authorize(state: &State, call: &Call) -> Result<(TeamId, EntryId), Refusal> {
    if state.leaving {
        return Err(Refusal::ShuttingDown);
    }
    let view = &state.view;
    if !state.documents.currency.current {
        return Err(Refusal::NotReady);
    }
    let team = view.team(&call.key).ok_or(Refusal::UnknownKey)?;
    let entry = match &call.work {
        Work::Draft(draft) => view.draft_entry(team, &draft.model).ok_or(Refusal::UnknownModel)?,
        Work::Plain(plain) => {
            let service = view.service(&plain.path).ok_or(Refusal::UnknownPath)?;
            view.plain_entry(team, service).ok_or(Refusal::UnknownPath)?
        }
    };
    check_work(&call.work, entry)?;
    if state.local.tuning.queue <= state.requests.queued {
        return Err(Refusal::QueueFull);
    }
    Ok((team, entry.id))
}

fn check_work(work: &Work, entry: &Entry) -> Result<(), Refusal> {
    let Work::Draft(draft) = work else { return Ok(()) };
    match &draft.resume {
        Some(resume) if resume.entry != entry.id => Err(Refusal::BadCursor),
        None if draft.max_tokens == 0 => Err(Refusal::BadRequest),
        Some(_) | None => Ok(()),
    }
}

fn accept(
    state: &mut State,
    now: Now,
    call: Call,
    team: TeamId,
    entry: EntryId,
    tokens: u32,
) -> Request {
    state.requests.counter += 1;
    let id = RequestId::new(state.local.vm, state.local.incarnation, state.requests.counter);
    let mut request = Request::new(id, &call, team, entry, now.mono);
    request.taken = tokens;
    let known = state.view.entry(entry);
    if let Some(class) = known.and_then(|e| state.view.class(e.class)) {
        request.due = now.mono + class.ttft;
        request.until = request.due + class.wait;
    }
    request.repeatable = call.repeatable.unwrap_or_else(|| match &call.work {
        Work::Draft(_) => true,
        Work::Plain(plain) => is_repeatable(plain, state.view.service(&plain.path)),
    });
    request.draft = draft_of(call.work);
    request
}

fn draft_of(work: Work) -> Option<Draft> {
    match work {
        Work::Draft(draft) => Some(draft),
        Work::Plain(_) => None,
    }
}

fn is_repeatable(plain: &Plain, service: Option<&Service>) -> bool {
    let listed = service.is_some_and(|s| s.repeatable.contains(&plain.method));
    listed || SAFE_METHODS.contains(&plain.method.as_str())
}
