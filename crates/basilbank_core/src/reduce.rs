//! The reducer: one function that handles all events, with one module per concern.

mod admit;
mod affinity;
mod candidates;
mod catalogue;
mod claim;
mod decode;
mod deliver;
mod estimate;
mod health;
mod limit;
mod member;
mod order;
mod peer;
mod place;
mod plain;
mod prefill;
mod queue;
mod reap;
mod reserve;
mod resume;
mod retry;
mod settle;
mod shutdown;
mod slots;
mod waste;

use basilbank_wire::Body;

use crate::{
    effect::Effect,
    event::{CallerEvent, EngineEvent, EngineReport, Event, PlatformEvent},
    ids::{EndpointId, VmId},
    reduce::prefill::PrefillResult,
    state::{State, Timer},
    time::Now,
};

/// Applies an event to the state and appends the resulting effects to `out`.
pub fn reduce(state: &mut State, now: Now, event: Event, out: &mut Vec<Effect>) {
    let first_new = out.len();
    member::detect_pause(state, now, out);
    claim::refuse_expired(state, now, out);
    match event {
        Event::Tick => {}
        Event::Caller(event) => on_caller(state, now, event, out),
        Event::Engine(event) => on_engine(state, now, event, out),
        Event::Peer { from, incarnation, message } => {
            if let Some(body) = message.body {
                on_peer(state, now, from, incarnation, body, out);
            }
        }
        Event::Platform(event) => on_platform(state, now, event, out),
        Event::Shutdown => shutdown::begin(state, now, out),
    }
    handle_local_messages(state, now, out);
    while let Some(timer) = state.timers.pop_due(now.mono) {
        on_timer(state, now, timer, out);
        handle_local_messages(state, now, out);
    }
    claim::record_sent(state, &out[first_new..]);
    reap::track_cancels(state, now, &out[first_new..]);
    shutdown::exit_when_idle(state, now, out);
}

/// Handles the messages that this daemon has sent to itself.
fn handle_local_messages(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    while let Some(body) = state.slots.inbox.pop_front() {
        let (vm, incarnation) = (state.local.vm, state.local.incarnation);
        on_peer(state, now, vm, incarnation, body, out);
    }
}

fn on_timer(state: &mut State, now: Now, timer: Timer, out: &mut Vec<Effect>) {
    match timer {
        Timer::Attempt(key) => retry::on_timeout(state, now, key, out),
        Timer::Request(key) => place::start_attempt(state, now, key, out),
        Timer::Claim(id) => claim::on_timer(state, now, id, out),
        Timer::Platform => catalogue::tick(state, now, out),
        Timer::Heartbeat => member::tick(state, now, out),
        Timer::Slots => slots::tick(state, now, out),
        Timer::GrantSlots(endpoint) => slots::grant_waiting(state, now, endpoint, out),
        Timer::Limits => limit::tick(state, now, out),
        Timer::Loads => health::tick(state, now, out),
        Timer::Orders => order::tick(state, now, out),
        Timer::Reap => reap::tick(state, now, out),
    }
}

fn on_caller(state: &mut State, now: Now, event: CallerEvent, out: &mut Vec<Effect>) {
    match event {
        CallerEvent::Arrived(call) => admit::on_call(state, now, *call, out),
        CallerEvent::Left(caller) => settle::on_caller_left(state, now, caller, out),
    }
}

fn on_engine(state: &mut State, now: Now, event: EngineEvent, out: &mut Vec<Effect>) {
    match event {
        EngineEvent::Prefilled {
            attempt,
            handle,
            prompt_tokens,
            cached_tokens,
            bytes,
            prefill_time,
        } => {
            let result =
                PrefillResult { handle, prompt_tokens, cached_tokens, bytes, prefill_time };
            prefill::on_prefilled(state, now, attempt, result, out);
        }
        EngineEvent::Started { attempt, stream } => {
            decode::on_started(state, now, attempt, stream, out);
        }
        EngineEvent::Tokens { attempt, offset, texts } => {
            deliver::on_tokens(state, now, attempt, offset, texts, out);
        }
        EngineEvent::Finished { attempt, reason, tokens } => {
            deliver::on_finished(state, now, attempt, reason, tokens, out);
        }
        EngineEvent::Answered { attempt, .. } => plain::on_answered(state, now, attempt, out),
        EngineEvent::Failed { attempt, failure } => {
            retry::on_failed(state, now, attempt, failure, out);
        }
        EngineEvent::Report { endpoint, report } => on_report(state, now, endpoint, &report, out),
    }
}

fn on_platform(state: &mut State, now: Now, event: PlatformEvent, out: &mut Vec<Effect>) {
    match event {
        PlatformEvent::Documents { base_revision, revision, documents } => {
            catalogue::on_documents(state, now, base_revision, revision, documents, out);
        }
        PlatformEvent::Checked { revision, result } => {
            catalogue::on_checked(state, now, revision, result, out);
        }
        PlatformEvent::CatalogueFailed => catalogue::on_documents_failed(state, now),
        PlatformEvent::Vms { revision, vms } => {
            catalogue::on_platform_vms(state, now, revision, vms, out);
        }
        PlatformEvent::VmsFailed => catalogue::on_vms_failed(state, now),
    }
}

fn on_report(
    state: &mut State,
    now: Now,
    endpoint: EndpointId,
    report: &EngineReport,
    out: &mut Vec<Effect>,
) {
    if let EngineReport::Streams(streams) = report {
        reap::on_stream_list(state, endpoint, streams, out);
    }
    health::on_report(state, now, endpoint, report, out);
    order::on_report(state, now, endpoint, report, out);
}

fn on_peer(
    state: &mut State,
    now: Now,
    from: VmId,
    incarnation: u64,
    body: Body,
    out: &mut Vec<Effect>,
) {
    if !member::accept_sender(state, now, from, incarnation, out) {
        return;
    }
    match body {
        Body::Heartbeat(heartbeat) => member::on_heartbeat(state, now, from, &heartbeat, out),
        Body::Reserve(reserve) => slots::on_reserve(state, now, from, &reserve, out),
        Body::Grant(grant) => reserve::on_granted(state, now, from, &grant, out),
        Body::Deny(deny) => reserve::on_denied(state, now, &deny, out),
        Body::Release(release) => slots::on_release(state, now, from, &release, out),
        Body::AskHolds(ask) => slots::on_ask_holds(state, from, &ask, out),
        Body::Holds(holds) => slots::on_holds(state, now, from, &holds, out),
        Body::Preempt(preempt) => reserve::on_preempted(state, now, &preempt, out),
        Body::Claim(claim) => claim::on_claim(state, now, from, &claim, out),
        Body::Vote(vote) => claim::on_vote(state, now, from, &vote, out),
        Body::Settle(settle) => claim::on_settle(state, now, from, &settle, out),
        Body::FetchCatalogue(fetch) => catalogue::on_fetch_catalogue(state, now, from, &fetch, out),
        Body::Catalogue(delta) => catalogue::on_catalogue_delta(state, now, delta, out),
        Body::FetchVms(fetch) => catalogue::on_fetch_vms(state, from, &fetch, out),
        Body::Vms(list) => catalogue::on_peer_vms(state, now, list, out),
        Body::AskLimit(ask) => limit::on_ask_limit(state, now, from, &ask, out),
        Body::Lease(lease) => limit::on_lease(state, now, from, &lease, out),
    }
}
