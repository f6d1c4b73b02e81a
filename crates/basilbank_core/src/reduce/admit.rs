//! Who may run what.

use basilbank_wire::KeyRecord;

use crate::{
    catalogue::EntryTarget,
    effect::{Answer, Effect, Progress},
    event::{Call, ResumePoint, Work},
    ids::{EndpointId, EntryId, RequestId, RequestKey, TeamId},
    reason::Refusal,
    reduce::{claim, place},
    state::{Request, State},
    time::Now,
};

/// A call came in: accept it or refuse it.
pub fn arrived(state: &mut State, now: Now, call: Call, out: &mut Vec<Effect>) {
    let caller = call.caller;
    let (team, entry) = match authorize(state, &call) {
        Ok(found) => found,
        Err(refusal) => {
            let progress = Progress::Refused { request: None, team: None, refusal };
            out.push(Effect::Progress(progress));
            out.push(Effect::Answer { caller, answer: Answer::Refused { refusal, after: None } });
            return;
        }
    };
    state.requests.counter += 1;
    let id = RequestId::new(state.local.vm, state.local.incarnation, state.requests.counter);
    let mut request = Request::new(id, &call, team, entry, now.mono);
    if let Work::Draft(draft) = call.work {
        request.draft = Some(draft);
    }
    let key = state.requests.insert(request);
    out.push(Effect::Progress(Progress::Accepted { request: id, team, entry }));
    out.push(Effect::Answer { caller, answer: Answer::Accepted { request: id, entry } });
    if call.idempotency.is_some() {
        claim::begin(state, now, key, out);
    } else {
        place::start(state, now, key, out);
    }
}

/// The request's idempotency key is its own: it may run.
pub fn claimed(state: &mut State, now: Now, key: RequestKey, out: &mut Vec<Effect>) {
    place::start(state, now, key, out);
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
    if let Some(draft) = &mut request.draft {
        draft.resume =
            Some(ResumePoint { endpoint, stream: record.stream.clone(), offset: 0, entry });
    }
    place::start(state, now, key, out);
}

fn authorize(state: &State, call: &Call) -> Result<(TeamId, EntryId), Refusal> {
    if state.leaving {
        return Err(Refusal::ShuttingDown);
    }
    let view = &state.view;
    if view.catalogue.revision == 0 {
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
    debug_assert!(matches!(
        (&call.work, entry.target),
        (Work::Draft(_), EntryTarget::Model(_)) | (Work::Plain(_), EntryTarget::Service(_))
    ));
    Ok((team, entry.id))
}
