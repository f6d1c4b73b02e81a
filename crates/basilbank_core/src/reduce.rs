//! The reducer: one function over all events, one module per concern.

mod admit;
mod catalogue;
mod deliver;
mod place;
mod settle;

use crate::{
    effect::Effect,
    event::{CallerEvent, EngineEvent, Event, PlatformEvent},
    state::{State, Timer},
    time::Now,
};

/// Takes one event in and pushes what is to be done about it.
pub fn reduce(state: &mut State, now: Now, event: Event, out: &mut Vec<Effect>) {
    match event {
        Event::Tick => {}
        Event::Caller(event) => on_caller(state, now, event, out),
        Event::Engine(event) => on_engine(state, now, event, out),
        Event::Peer { .. } => {}
        Event::Platform(event) => on_platform(state, now, event, out),
        Event::Shutdown => state.leaving = true,
    }
    while let Some(timer) = state.timers.pop_due(now.mono) {
        on_timer(state, now, timer, out);
    }
    if state.leaving && state.requests.arena.is_empty() {
        out.push(Effect::Exit);
    }
}

fn on_timer(state: &mut State, now: Now, timer: Timer, out: &mut Vec<Effect>) {
    match timer {
        Timer::Attempt(_) => {}
        Timer::Request(key) => place::start(state, now, key, out),
        Timer::Platform => catalogue::read(state, out),
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
        EngineEvent::Prefilled { attempt, handle, tokens, cached, .. } => {
            deliver::prefilled(state, attempt, handle, tokens, cached, out);
        }
        EngineEvent::Started { attempt, stream } => deliver::started(state, attempt, stream, out),
        EngineEvent::Token { attempt, offset, texts } => {
            deliver::tokens(state, now, attempt, offset, texts, out);
        }
        EngineEvent::Finished { attempt, reason } => {
            settle::finished(state, now, attempt, reason, out);
        }
        EngineEvent::Answered { attempt, .. } => settle::answered(state, now, attempt, out),
        EngineEvent::Failed { attempt, failure } => {
            settle::failed(state, now, attempt, failure, out);
        }
        EngineEvent::Report { .. } => {}
    }
}

fn on_platform(state: &mut State, now: Now, event: PlatformEvent, out: &mut Vec<Effect>) {
    match event {
        PlatformEvent::Documents { revision, documents, .. } => {
            out.push(Effect::CheckCatalogue { revision, documents });
        }
        PlatformEvent::Checked { revision, result } => {
            catalogue::checked(state, now, revision, result, out);
        }
        PlatformEvent::CatalogueFailed => catalogue::failed(state, now),
        PlatformEvent::Vms { .. } | PlatformEvent::VmsFailed => {}
    }
}
