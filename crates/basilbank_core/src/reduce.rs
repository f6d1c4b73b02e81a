//! The reducer: one function over all events, one module per concern.

mod admit;
mod affinity;
mod candidates;
mod catalogue;
mod charge;
mod claim;
mod decode;
mod deliver;
mod estimate;
mod leave;
mod limit;
mod load;
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
mod slots;

use basilbank_wire::Body;

use crate::{
    effect::Effect,
    event::{CallerEvent, EngineEvent, EngineReport, Event, PlatformEvent},
    ids::{EndpointId, VmId},
    reduce::prefill::Prefilled,
    state::{State, Timer},
    time::Now,
};

/// Takes one event in and pushes what is to be done about it.
pub fn reduce(state: &mut State, now: Now, event: Event, out: &mut Vec<Effect>) {
    let first = out.len();
    member::awake(state, now, out);
    claim::expire(state, now, out);
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
        Event::Shutdown => leave::begin(state, now, out),
    }
    hear_self(state, now, out);
    while let Some(timer) = state.timers.pop_due(now.mono) {
        on_timer(state, now, timer, out);
        hear_self(state, now, out);
    }
    claim::remember(state, &out[first..]);
    reap::remember(state, now, &out[first..]);
    leave::finish(state, now, out);
}

/// Takes in what this daemon said to itself.
fn hear_self(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    while let Some(body) = state.slots.inbox.pop_front() {
        let (vm, incarnation) = (state.local.vm, state.local.incarnation);
        on_peer(state, now, vm, incarnation, body, out);
    }
}

fn on_timer(state: &mut State, now: Now, timer: Timer, out: &mut Vec<Effect>) {
    match timer {
        Timer::Attempt(key) => retry::timed_out(state, now, key, out),
        Timer::Request(key) => place::start(state, now, key, out),
        Timer::Claim(id) => claim::timed_out(state, now, id, out),
        Timer::Platform => catalogue::tick(state, now, out),
        Timer::Heartbeat => member::tick(state, now, out),
        Timer::Slots => slots::tick(state, now, out),
        Timer::Serve(endpoint) => slots::serve(state, now, endpoint, out),
        Timer::Limits => limit::tick(state, now, out),
        Timer::Loads => load::tick(state, now, out),
        Timer::Orders => order::tick(state, now, out),
        Timer::Reap => reap::tick(state, now, out),
    }
}

fn on_caller(state: &mut State, now: Now, event: CallerEvent, out: &mut Vec<Effect>) {
    match event {
        CallerEvent::Arrived(call) => admit::arrived(state, now, *call, out),
        CallerEvent::Left(caller) => settle::abandoned(state, now, caller, out),
    }
}

fn on_engine(state: &mut State, now: Now, event: EngineEvent, out: &mut Vec<Effect>) {
    match event {
        EngineEvent::Prefilled { attempt, handle, tokens, cached, bytes, spent } => {
            let done = Prefilled { handle, tokens, cached, bytes, spent };
            prefill::done(state, now, attempt, done, out);
        }
        EngineEvent::Started { attempt, stream } => {
            decode::started(state, now, attempt, stream, out);
        }
        EngineEvent::Token { attempt, offset, texts } => {
            deliver::tokens(state, now, attempt, offset, texts, out);
        }
        EngineEvent::Finished { attempt, reason, tokens } => {
            deliver::finished(state, now, attempt, reason, tokens, out);
        }
        EngineEvent::Answered { attempt, .. } => plain::answered(state, now, attempt, out),
        EngineEvent::Failed { attempt, failure } => {
            retry::failed(state, now, attempt, failure, out);
        }
        EngineEvent::Report { endpoint, report } => on_report(state, now, endpoint, &report, out),
    }
}

fn on_platform(state: &mut State, now: Now, event: PlatformEvent, out: &mut Vec<Effect>) {
    match event {
        PlatformEvent::Documents { after, revision, documents } => {
            catalogue::documents(state, now, after, revision, documents, out);
        }
        PlatformEvent::Checked { revision, result } => {
            catalogue::checked(state, now, revision, result, out);
        }
        PlatformEvent::CatalogueFailed => catalogue::documents_failed(state, now),
        PlatformEvent::Vms { revision, vms } => {
            catalogue::platform_vms(state, now, revision, vms, out);
        }
        PlatformEvent::VmsFailed => catalogue::vms_failed(state, now),
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
        reap::listed(state, endpoint, streams, out);
    }
    load::reported(state, now, endpoint, report, out);
    order::reported(state, now, endpoint, report, out);
}

fn on_peer(
    state: &mut State,
    now: Now,
    from: VmId,
    incarnation: u64,
    body: Body,
    out: &mut Vec<Effect>,
) {
    if !member::is_current(state, now, from, incarnation, out) {
        return;
    }
    match body {
        Body::Heartbeat(beat) => member::heard(state, now, from, &beat, out),
        Body::Reserve(ask) => slots::asked(state, now, from, &ask, out),
        Body::Grant(grant) => reserve::granted(state, now, from, &grant, out),
        Body::Deny(deny) => reserve::denied(state, now, &deny, out),
        Body::Release(release) => slots::released(state, now, from, &release, out),
        Body::AskHolds(ask) => slots::holds_asked(state, from, &ask, out),
        Body::Holds(holds) => slots::holds(state, now, from, &holds, out),
        Body::Preempt(preempt) => reserve::preempted(state, now, &preempt, out),
        Body::Claim(claim) => claim::asked(state, now, from, &claim, out),
        Body::Vote(vote) => claim::voted(state, now, from, &vote, out),
        Body::Settle(settle) => claim::told(state, now, from, &settle, out),
        Body::FetchCatalogue(fetch) => catalogue::fetched(state, now, from, &fetch, out),
        Body::Catalogue(delta) => catalogue::delta(state, now, delta, out),
        Body::FetchVms(fetch) => catalogue::vms_fetched(state, from, &fetch, out),
        Body::Vms(list) => catalogue::vms(state, now, list, out),
        Body::AskLimit(ask) => limit::asked(state, now, from, &ask, out),
        Body::Lease(lease) => limit::leased(state, now, from, &lease, out),
    }
}
