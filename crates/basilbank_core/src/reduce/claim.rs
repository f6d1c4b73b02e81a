//! Ensures that at most one request runs per idempotency key: the side of the daemon that wants to
//! run a request.

mod takeover;
mod vote;

use std::time::Duration;

use basilbank_wire::{Body, Claim, KeyRecord, Settle, Verdict, Vote};

pub use self::vote::{on_claim, on_settle, update_voter_history};
use crate::{
    effect::{Effect, EngineCall, Progress},
    ids::{RequestId, RequestKey, VmId},
    reason::{Outcome, Refusal},
    reduce::{admit, settle},
    state::{
        ClaimKey, ClaimPhase, ClaimStatus, OwnClaim, Request, State, Timer, VoteWait, Voter,
        uuid_v7_unix_ms,
    },
    time::Now,
};

/// Number of times that a voter is asked before a claim is given up.
const MAX_VOTE_REQUESTS: u32 = 4;
/// Number of times that a record is sent to a voter that does not confirm it. After that the key
/// expires at the voter.
const MAX_RECORD_SENDS: u32 = 5;
/// Factor by which the wait for a voter's confirmation grows with each send.
const SEND_BACKOFF_FACTOR: u32 = 4;
/// `Retry-After` of a call for whose key the voters can't tell whether an earlier request claimed
/// it.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Number of times per key window that the key of a running request is renewed.
const RENEWALS_PER_WINDOW: u32 = 4;

/// Claims an accepted request's key. The request waits until `admit::on_key_claimed`,
/// `admit::join_stream` or `settle::refuse` is called, which may happen before this returns.
pub fn begin(state: &mut State, now: Now, key: RequestKey, out: &mut Vec<Effect>) {
    let Some(request) = state.requests.arena.get(key) else { return };
    let Some(text) = &request.idempotency_key else { return };
    let claim_key = ClaimKey::new(request.team, text);
    let made = uuid_v7_unix_ms(text);
    let id = request.id;
    let record = KeyRecord {
        request: id.0,
        vm: state.local.vm.0,
        incarnation: state.local.incarnation,
        repeatable: request.repeatable,
        ..KeyRecord::default()
    };
    let voters = state.members.voters(claim_key.subject());
    let claim = OwnClaim {
        request: key,
        key: claim_key,
        key_time: made,
        voters: voters.into_iter().map(Voter::new).collect(),
        phase: ClaimPhase::Asking,
        is_sent: false,
        record,
        predecessor: 0,
        deadline: now.mono + state.local.tuning.peer_timeout * MAX_VOTE_REQUESTS,
        send_count: 0,
        resend_at: now.mono,
    };
    state.claims.own.insert(id, claim);
    request_votes(state, now, id, out);
    evaluate_votes(state, now, id, VoteWait::Pending, out);
}

/// Handles a voter's answer.
pub fn on_vote(state: &mut State, now: Now, from: VmId, vote: &Vote, out: &mut Vec<Effect>) {
    let id = RequestId(vote.request);
    let Some(claim) = state.claims.own.get_mut(&id) else { return };
    if ClaimKey::from_bytes(&vote.key) != Some(claim.key) {
        return;
    }
    if claim.phase != ClaimPhase::Asking {
        if vote.verdict() == Verdict::Done {
            claim.record_ack(from);
            forget_if_confirmed(state, id);
        }
        return;
    }
    if !claim.is_awaiting(from) {
        return;
    }
    claim.record_vote(from, vote.verdict(), vote.record.clone());
    // A process that was paused finds votes in its socket that it reads only after the claim's
    // deadline. By then, voters that have started in between may have begun to grant the key to
    // others, so these votes no longer add up to a majority. The claim ends as it would have ended
    // without the pause.
    if claim.deadline <= now.mono {
        give_up(state, now, id, out);
        return;
    }
    evaluate_votes(state, now, id, VoteWait::Pending, out);
}

/// Handles the claim's timer: votes or confirmations are overdue, or the voters must be sent a new
/// record.
pub fn on_timer(state: &mut State, now: Now, id: RequestId, out: &mut Vec<Effect>) {
    let Some(claim) = state.claims.own.get_mut(&id) else { return };
    if now.mono < claim.resend_at {
        return;
    }
    let is_send_done =
        claim.send_count != 0 && (claim.is_acknowledged() || MAX_RECORD_SENDS <= claim.send_count);
    match claim.phase {
        ClaimPhase::Asking if claim.deadline <= now.mono => give_up(state, now, id, out),
        ClaimPhase::Asking => {
            evaluate_votes(state, now, id, VoteWait::TimedOut, out);
            request_votes(state, now, id, out);
            evaluate_votes(state, now, id, VoteWait::Pending, out);
        }
        ClaimPhase::Held if is_send_done => {
            claim.reset_acks();
            schedule(state, now, id, renewal_interval(state));
        }
        ClaimPhase::Ending if is_send_done => {
            state.claims.own.remove(&id);
        }
        ClaimPhase::Held | ClaimPhase::Ending => send_record(state, now, id, out),
    }
}

/// Publishes to the voters where a request's stream is, so that a repeat of the request can join
/// it.
pub fn publish_stream(state: &mut State, key: RequestKey) {
    let Some(request) = state.requests.arena.get(key) else { return };
    let Some((endpoint, stream)) = state.requests.stream(key) else { return };
    let Some(claim) = state.claims.own.get_mut(&request.id) else { return };
    if claim.phase != ClaimPhase::Held {
        return;
    }
    // A stream that continues another one lacks the beginning of the answer. A repeat that joined
    // it would take its first token for the first one of the answer, and its caller would get a
    // text that starts in the middle of a sentence.
    let is_whole =
        state.requests.current_attempt(key).is_some_and(|(_, attempt)| attempt.base_offset == 0);
    claim.record.endpoint = if is_whole { endpoint.0 } else { 0 };
    claim.record.stream = if is_whole { stream.to_owned() } else { String::new() };
    let id = request.id;
    publish_record(state, id);
}

/// Forgets the claim of a request whose stream is now read by another request with the same key.
/// The voters keep their record, so that a later repeat still finds the stream.
pub fn forget_handed_over(state: &mut State, key: RequestKey) {
    if let Some(request) = state.requests.arena.get(key) {
        state.claims.own.remove(&request.id);
    }
}

/// Publishes the outcome of a request to its voters.
///
/// A request for which nothing was run gives its key back, so that the caller's retry can run. So
/// does a repeatable request whose caller left before the end: a caller that returns with the same
/// key has not received its answer.
pub fn on_ended(state: &mut State, request: &Request, outcome: Outcome) {
    let is_sent = state.claims.own.get(&request.id).is_some_and(|claim| claim.is_sent);
    let releases_key = outcome == Outcome::Abandoned && (!is_sent || request.repeatable);
    let outcome = if releases_key { Outcome::NotRun } else { outcome };
    publish_outcome(state, request.id, outcome);
}

/// Refuses requests that won their key so long ago that voters may forget it before they learn that
/// the request was sent.
///
/// A process that is paused after it won a key, and resumes when the key window is over, would send
/// a request that a repeat may have run in the meantime. The symptom is one order placed twice,
/// while the log of the first daemon has a gap in between. This is called before each event,
/// because any event may lead to sending.
pub fn refuse_expired(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    while let Some(&(at, id)) = state.claims.send_deadlines.front() {
        if now.mono < at {
            return;
        }
        state.claims.send_deadlines.pop_front();
        let Some(claim) = state.claims.own.get(&id) else { continue };
        let key = claim.request;
        if claim.phase == ClaimPhase::Held && !claim.is_sent {
            settle::refuse(state, now, key, Refusal::KeyUnclaimed, out);
        }
    }
}

/// Records for which claims the effects of one event sent a request to an endpoint.
pub fn record_sent(state: &mut State, effects: &[Effect]) {
    if state.claims.own.is_empty() {
        return;
    }
    for effect in effects {
        let Effect::Engine(call) = effect else { continue };
        let request = match call {
            EngineCall::Prefill(call) | EngineCall::Decode { call, .. } => call.request,
            EngineCall::Resume { request, .. } | EngineCall::Plain { request, .. } => *request,
            _ => continue,
        };
        if let Some(claim) = state.claims.own.get_mut(&request) {
            claim.is_sent = true;
        }
    }
}

/// Asks voters for the key: first this daemon itself, then live members, then the others.
fn request_votes(state: &mut State, now: Now, id: RequestId, out: &mut Vec<Effect>) {
    let Some(claim) = state.claims.own.get_mut(&id) else { return };
    if claim.phase != ClaimPhase::Asking {
        return;
    }
    let members = &state.members;
    let voters = claim.select_voters(|vm| (vm != members.own, !members.is_live(vm)));
    let message = Claim {
        key: claim.key.0.to_vec(),
        request: id.0,
        made: claim.key_time,
        incarnation: claim.record.incarnation,
        repeatable: claim.record.repeatable,
        after: claim.predecessor,
    };
    let own = state.local.vm;
    for vm in voters {
        if vm == own {
            let vote = vote::cast(state, now, own, &message, out);
            if let Some(claim) = state.claims.own.get_mut(&id) {
                claim.record_vote(own, vote.verdict(), vote.record);
            }
        } else {
            out.push(Effect::Send { to: vm, message: Body::Claim(message.clone()).into() });
        }
    }
    schedule(state, now, id, state.local.tuning.peer_timeout);
}

/// Acts on the votes received so far.
fn evaluate_votes(
    state: &mut State,
    now: Now,
    id: RequestId,
    vote_wait: VoteWait,
    out: &mut Vec<Effect>,
) {
    let Some(claim) = state.claims.own.get_mut(&id) else { return };
    if claim.phase != ClaimPhase::Asking {
        return;
    }
    let key = claim.request;
    match claim.status(vote_wait) {
        ClaimStatus::Undecided if claim.needs_more_voters() => {
            request_votes(state, now, id, out);
            evaluate_votes(state, now, id, vote_wait, out);
        }
        ClaimStatus::Undecided => {}
        ClaimStatus::Won => {
            claim.phase = ClaimPhase::Held;
            claim.reset_acks();
            schedule(state, now, id, renewal_interval(state));
            let expires_at = now.mono + state.local.tuning.key_window / 2;
            state.claims.send_deadlines.push_back((expires_at, id));
            admit::on_key_claimed(state, now, key, out);
        }
        ClaimStatus::Lost(record) => {
            if takeover::reopen_claim(state, now, id, record.as_ref()) {
                return;
            }
            publish_outcome(state, id, Outcome::NotRun);
            answer_repeat(state, now, key, record, out);
        }
    }
}

/// Ends a claim whose votes did not arrive in time.
fn give_up(state: &mut State, now: Now, id: RequestId, out: &mut Vec<Effect>) {
    let Some(claim) = state.claims.own.get(&id) else { return };
    let key = claim.request;
    let status = claim.status(VoteWait::TimedOut);
    let competing = match &status {
        ClaimStatus::Lost(record) => record.clone(),
        ClaimStatus::Undecided | ClaimStatus::Won => claim.competing_record(),
    };
    if takeover::reopen_claim(state, now, id, competing.as_ref()) {
        return;
    }
    publish_outcome(state, id, Outcome::NotRun);
    match status {
        ClaimStatus::Lost(record) => answer_repeat(state, now, key, record, out),
        ClaimStatus::Undecided | ClaimStatus::Won => {
            settle::refuse(state, now, key, Refusal::KeyUnclaimed, out);
        }
    }
}

/// Answers a call without running it, because another request has the key or the voters can't tell
/// whether one has.
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
    let fields = vec![
        ("request", request.id.to_string()),
        ("first", RequestId(record.request).to_string()),
        ("outcome", record.outcome.to_string()),
    ];
    out.push(Effect::Progress(Progress::Note { name: "key_repeated", fields }));
    let is_whole = record.outcome == 0 || record.outcome == Outcome::Done.code();
    if request.completion.is_some() && is_whole && !record.stream.is_empty() {
        admit::join_stream(state, now, key, &record, out);
    } else if record.outcome == 0 {
        settle::refuse(state, now, key, Refusal::KeyRunning, out);
    } else {
        settle::end_as_unknown(state, now, key, out);
    }
}

/// Records a request's outcome, which is sent to the voters until they confirm it.
fn publish_outcome(state: &mut State, id: RequestId, outcome: Outcome) {
    let Some(claim) = state.claims.own.get_mut(&id) else { return };
    if claim.phase == ClaimPhase::Ending {
        return;
    }
    claim.phase = ClaimPhase::Ending;
    claim.record.outcome = outcome.code();
    publish_record(state, id);
}

/// Makes the changed record due to be sent. The timer fires within the same event, where the
/// current time is known.
fn publish_record(state: &mut State, id: RequestId) {
    let Some(claim) = state.claims.own.get_mut(&id) else { return };
    claim.reset_acks();
    claim.resend_at = Duration::ZERO;
    state.timers.set(Duration::ZERO, Timer::Claim(id));
}

/// Sends the record to the voters that have not confirmed it.
fn send_record(state: &mut State, now: Now, id: RequestId, out: &mut Vec<Effect>) {
    let own = state.local.vm;
    let Some(claim) = state.claims.own.get_mut(&id) else { return };
    let message = Settle { key: claim.key.0.to_vec(), record: Some(claim.record.clone()) };
    let delay = state.local.tuning.peer_timeout * SEND_BACKOFF_FACTOR.pow(claim.send_count);
    claim.send_count += 1;
    let unconfirmed: Vec<_> =
        claim.voters.iter().filter(|b| b.asked && !b.acknowledged).map(|b| b.vm).collect();
    claim.record_ack(own);
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

/// Schedules the next vote requests or the next send of the record.
fn schedule(state: &mut State, now: Now, id: RequestId, delay: Duration) {
    let Some(claim) = state.claims.own.get_mut(&id) else { return };
    claim.resend_at = now.mono + delay;
    state.timers.set(claim.resend_at, Timer::Claim(id));
}

fn renewal_interval(state: &State) -> Duration {
    state.local.tuning.key_window / RENEWALS_PER_WINDOW
}

fn forget_if_confirmed(state: &mut State, id: RequestId) {
    let claim = state.claims.own.get(&id);
    if claim.is_some_and(|c| c.phase == ClaimPhase::Ending && c.is_acknowledged()) {
        state.claims.own.remove(&id);
    }
}
