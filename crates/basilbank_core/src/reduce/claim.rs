//! At most one run for an idempotency key: the side of the daemon that wants to run a request.

mod takeover;
mod vote;

use std::time::Duration;

use basilbank_wire::{Body, Claim, KeyRecord, Settle, Verdict, Vote};

pub use self::vote::{on_claim, on_settle, update_tenure};
use crate::{
    effect::{Effect, EngineCall, Progress},
    ids::{RequestId, RequestKey, VmId},
    reason::{Outcome, Refusal},
    reduce::{admit, settle},
    state::{
        Ballot, ClaimKey, ClaimPhase, OwnClaim, Request, Standing, State, Timer, Waited, made_at,
    },
    time::Now,
};

/// Times that a voter is asked before a claim is given up.
const MAX_VOTE_REQUESTS: u32 = 4;
/// Times that a voter is told something before it is left to find out by expiry.
const MAX_RECORD_SENDS: u32 = 5;
/// Each wait for a voter's confirmation is this many times the one before.
const SEND_BACKOFF_FACTOR: u32 = 4;
/// When a caller should come back whose key the voters can't tell from a repeat.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_secs(5);
/// A running request's key is renewed this many times in a key window.
const RENEWALS_PER_WINDOW: u32 = 4;

/// Claims an accepted request's key. The request waits; `admit::claimed`, `admit::joined` or
/// `settle::refuse` follows, perhaps at once.
pub fn begin(state: &mut State, now: Now, key: RequestKey, out: &mut Vec<Effect>) {
    let Some(request) = state.requests.arena.get(key) else { return };
    let Some(text) = &request.idempotency else { return };
    let name = ClaimKey::new(request.team, text);
    let made = made_at(text);
    let id = request.id;
    let record = KeyRecord {
        request: id.0,
        vm: state.local.vm.0,
        incarnation: state.local.incarnation,
        repeatable: request.repeatable,
        ..KeyRecord::default()
    };
    let voters = state.members.voters(name.subject());
    let claim = OwnClaim {
        request: key,
        key: name,
        made,
        ballots: voters.into_iter().map(Ballot::new).collect(),
        phase: ClaimPhase::Asking,
        is_sent: false,
        record,
        after: 0,
        deadline: now.mono + state.local.tuning.peer_timeout * MAX_VOTE_REQUESTS,
        sent: 0,
        due: now.mono,
    };
    state.claims.own.insert(id, claim);
    request_votes(state, now, id, out);
    evaluate_votes(state, now, id, Waited::Little, out);
}

/// A voter answered.
pub fn on_vote(state: &mut State, now: Now, from: VmId, vote: &Vote, out: &mut Vec<Effect>) {
    let id = RequestId(vote.request);
    let Some(claim) = state.claims.own.get_mut(&id) else { return };
    if ClaimKey::from_bytes(&vote.key) != Some(claim.key) {
        return;
    }
    if claim.phase != ClaimPhase::Asking {
        if vote.verdict() == Verdict::Done {
            claim.note_told(from);
            forget_if_confirmed(state, id);
        }
        return;
    }
    if !claim.awaits(from) {
        return;
    }
    claim.note_vote(from, vote.verdict(), vote.record.clone());
    // A process that was paused finds votes in its socket that are older than the claim's time
    // limit. By then voters that came up in between may have begun to grant the key to others, so
    // such votes no longer add up: the claim ends as it would have without the pause.
    if claim.deadline <= now.mono {
        give_up(state, now, id, out);
        return;
    }
    evaluate_votes(state, now, id, Waited::Little, out);
}

/// Votes or confirmations did not come in time, or there is something to tell the voters.
pub fn on_timer(state: &mut State, now: Now, id: RequestId, out: &mut Vec<Effect>) {
    let Some(claim) = state.claims.own.get_mut(&id) else { return };
    if now.mono < claim.due {
        return;
    }
    let is_send_done = claim.sent != 0 && (claim.is_told() || MAX_RECORD_SENDS <= claim.sent);
    match claim.phase {
        ClaimPhase::Asking if claim.deadline <= now.mono => give_up(state, now, id, out),
        ClaimPhase::Asking => {
            evaluate_votes(state, now, id, Waited::Enough, out);
            request_votes(state, now, id, out);
            evaluate_votes(state, now, id, Waited::Little, out);
        }
        ClaimPhase::Held if is_send_done => {
            claim.renew();
            schedule(state, now, id, renewal_interval(state));
        }
        ClaimPhase::Ending if is_send_done => {
            state.claims.own.remove(&id);
        }
        ClaimPhase::Held | ClaimPhase::Ending => send_record(state, now, id, out),
    }
}

/// A request's stream has a place now: its voters should know, so that a repeat can join it.
pub fn publish_stream(state: &mut State, key: RequestKey) {
    let Some(request) = state.requests.arena.get(key) else { return };
    let Some((endpoint, stream)) = state.requests.stream(key) else { return };
    let Some(claim) = state.claims.own.get_mut(&request.id) else { return };
    if claim.phase != ClaimPhase::Held {
        return;
    }
    // A stream that continues another one lacks the answer's beginning. A repeat that joined it would
    // take its first token for the answer's first: a text that starts in the middle of a sentence.
    let is_whole = state.requests.current(key).is_some_and(|(_, attempt)| attempt.base == 0);
    claim.record.endpoint = if is_whole { endpoint.0 } else { 0 };
    claim.record.stream = if is_whole { stream.to_owned() } else { String::new() };
    let id = request.id;
    publish_record(state, id);
}

/// A request's stream is read on by another one with the same key. The voters keep what they know, so
/// that a later repeat still finds the stream.
pub fn forget_handed_over(state: &mut State, key: RequestKey) {
    if let Some(request) = state.requests.arena.get(key) {
        state.claims.own.remove(&request.id);
    }
}

/// A request ended: its voters should know.
///
/// A request of which nothing was run gives its key back, so that the caller's retry can run. So does
/// a repeatable one whose caller left before the end: the caller that comes again with the same key
/// has not had its answer.
pub fn on_ended(state: &mut State, request: &Request, outcome: Outcome) {
    let is_sent = state.claims.own.get(&request.id).is_some_and(|claim| claim.is_sent);
    let releases_key = outcome == Outcome::Abandoned && (!is_sent || request.repeatable);
    let outcome = if releases_key { Outcome::NotRun } else { outcome };
    publish_outcome(state, request.id, outcome);
}

/// Refuses requests that won their key so long ago that voters may forget it before they hear that
/// the request was sent.
///
/// A process that is paused after it won a key, and wakes up when the key window is over, would send
/// a request that a repeat may have run in the meantime. The symptom is one order placed twice, with
/// the first daemon's log silent in between. Called before each event, as any event may lead to
/// sending.
pub fn refuse_expired(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    while let Some(&(at, id)) = state.claims.unsent.front() {
        if now.mono < at {
            return;
        }
        state.claims.unsent.pop_front();
        let Some(claim) = state.claims.own.get(&id) else { continue };
        let key = claim.request;
        if claim.phase == ClaimPhase::Held && !claim.is_sent {
            settle::refuse(state, now, key, Refusal::KeyUnclaimed, out);
        }
    }
}

/// Remembers the claims whose requests were sent somewhere by the effects of one event.
pub fn record_sent(state: &mut State, effects: &[Effect]) {
    if state.claims.own.is_empty() {
        return;
    }
    for effect in effects {
        let Effect::Engine(call) = effect else { continue };
        let request = match call {
            EngineCall::Prefill(draft) | EngineCall::Decode { call: draft, .. } => draft.request,
            EngineCall::Resume { request, .. } | EngineCall::Plain { request, .. } => *request,
            _ => continue,
        };
        if let Some(claim) = state.claims.own.get_mut(&request) {
            claim.is_sent = true;
        }
    }
}

/// Asks voters for the key. Live ones go first, and this daemon itself before all others.
fn request_votes(state: &mut State, now: Now, id: RequestId, out: &mut Vec<Effect>) {
    let Some(claim) = state.claims.own.get_mut(&id) else { return };
    if claim.phase != ClaimPhase::Asking {
        return;
    }
    let members = &state.members;
    let voters = claim.next_voters(|vm| (vm != members.own, !members.is_live(vm)));
    let message = Claim {
        key: claim.key.0.to_vec(),
        request: id.0,
        made: claim.made,
        incarnation: claim.record.incarnation,
        repeatable: claim.record.repeatable,
        after: claim.after,
    };
    let own = state.local.vm;
    for vm in voters {
        if vm == own {
            let vote = vote::cast(state, now, own, &message, out);
            if let Some(claim) = state.claims.own.get_mut(&id) {
                claim.note_vote(own, vote.verdict(), vote.record);
            }
        } else {
            out.push(Effect::Send { to: vm, message: Body::Claim(message.clone()).into() });
        }
    }
    schedule(state, now, id, state.local.tuning.peer_timeout);
}

/// Acts on the votes so far.
fn evaluate_votes(
    state: &mut State,
    now: Now,
    id: RequestId,
    waited: Waited,
    out: &mut Vec<Effect>,
) {
    let Some(claim) = state.claims.own.get_mut(&id) else { return };
    if claim.phase != ClaimPhase::Asking {
        return;
    }
    let key = claim.request;
    match claim.standing(waited) {
        Standing::Open if claim.wants_more() => {
            request_votes(state, now, id, out);
            evaluate_votes(state, now, id, waited, out);
        }
        Standing::Open => {}
        Standing::Won => {
            claim.phase = ClaimPhase::Held;
            claim.renew();
            schedule(state, now, id, renewal_interval(state));
            let expires_at = now.mono + state.local.tuning.key_window / 2;
            state.claims.unsent.push_back((expires_at, id));
            admit::on_key_claimed(state, now, key, out);
        }
        Standing::Lost(record) => {
            if takeover::reopen_claim(state, now, id, record.as_ref()) {
                return;
            }
            publish_outcome(state, id, Outcome::NotRun);
            answer_repeat(state, now, key, record, out);
        }
    }
}

/// The votes did not come in time.
fn give_up(state: &mut State, now: Now, id: RequestId, out: &mut Vec<Effect>) {
    let Some(claim) = state.claims.own.get(&id) else { return };
    let key = claim.request;
    let standing = claim.standing(Waited::Enough);
    let rival = match &standing {
        Standing::Lost(record) => record.clone(),
        Standing::Open | Standing::Won => claim.rival(),
    };
    if takeover::reopen_claim(state, now, id, rival.as_ref()) {
        return;
    }
    publish_outcome(state, id, Outcome::NotRun);
    match standing {
        Standing::Lost(record) => answer_repeat(state, now, key, record, out),
        Standing::Open | Standing::Won => {
            settle::refuse(state, now, key, Refusal::KeyUnclaimed, out);
        }
    }
}

/// Another request has the key, or nobody can tell: answer without a run.
fn answer_repeat(
    state: &mut State,
    now: Now,
    key: RequestKey,
    record: Option<KeyRecord>,
    out: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.arena.get(key) else { return };
    let Some(record) = record else {
        settle::refuse_with_retry_after(
            state,
            now,
            key,
            Refusal::KeyUnclaimed,
            Some(UNDECIDED_RETRY_AFTER),
            out,
        );
        return;
    };
    let pairs = vec![
        ("request", request.id.to_string()),
        ("first", RequestId(record.request).to_string()),
        ("outcome", record.outcome.to_string()),
    ];
    out.push(Effect::Progress(Progress::Note { name: "key_repeated", fields: pairs }));
    let is_whole = record.outcome == 0 || record.outcome == Outcome::Done.code();
    if request.draft.is_some() && is_whole && !record.stream.is_empty() {
        admit::join_stream(state, now, key, &record, out);
    } else if record.outcome == 0 {
        settle::refuse(state, now, key, Refusal::KeyRunning, out);
    } else {
        settle::end_as_unknown(state, now, key, out);
    }
}

/// A request ended: the voters are told until they confirm it.
fn publish_outcome(state: &mut State, id: RequestId, outcome: Outcome) {
    let Some(claim) = state.claims.own.get_mut(&id) else { return };
    if claim.phase == ClaimPhase::Ending {
        return;
    }
    claim.phase = ClaimPhase::Ending;
    claim.record.outcome = outcome.code();
    publish_record(state, id);
}

/// Has the voters told what changed: the timer fires within the same event, and there the time is
/// known.
fn publish_record(state: &mut State, id: RequestId) {
    let Some(claim) = state.claims.own.get_mut(&id) else { return };
    claim.renew();
    claim.due = Duration::ZERO;
    state.timers.set(Duration::ZERO, Timer::Claim(id));
}

/// Sends the record to the voters that have not confirmed it.
fn send_record(state: &mut State, now: Now, id: RequestId, out: &mut Vec<Effect>) {
    let own = state.local.vm;
    let Some(claim) = state.claims.own.get_mut(&id) else { return };
    let message = Settle { key: claim.key.0.to_vec(), record: Some(claim.record.clone()) };
    let delay = state.local.tuning.peer_timeout * SEND_BACKOFF_FACTOR.pow(claim.sent);
    claim.sent += 1;
    let unconfirmed: Vec<_> =
        claim.ballots.iter().filter(|b| b.asked && !b.told).map(|b| b.vm).collect();
    claim.note_told(own);
    for vm in unconfirmed {
        if vm == own {
            vote::apply_settle(state, now, &message);
        } else {
            out.push(Effect::Send { to: vm, message: Body::Settle(message.clone()).into() });
        }
    }
    schedule(state, now, id, delay);
    forget_if_confirmed(state, id);
}

/// Sets when to ask or tell again.
fn schedule(state: &mut State, now: Now, id: RequestId, delay: Duration) {
    let Some(claim) = state.claims.own.get_mut(&id) else { return };
    claim.due = now.mono + delay;
    state.timers.set(claim.due, Timer::Claim(id));
}

fn renewal_interval(state: &State) -> Duration {
    state.local.tuning.key_window / RENEWALS_PER_WINDOW
}

fn forget_if_confirmed(state: &mut State, id: RequestId) {
    let claim = state.claims.own.get(&id);
    if claim.is_some_and(|c| c.phase == ClaimPhase::Ending && c.is_told()) {
        state.claims.own.remove(&id);
    }
}
