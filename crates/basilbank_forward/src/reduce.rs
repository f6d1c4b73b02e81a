//! The reducer, and what all its steps share.
//!
//! A call's way reads top to bottom: `arrive` finds route and service, `step` drives the call from
//! then on. After each event it asks `plain` or `draft` what comes next, and carries that out. When that
//! may have left room at endpoints, the turn ends with the drafts that wait for it (`queue`). No module
//! calls one that stands before it on this way.

mod arrive;
mod beat;
mod crash;
mod draft;
mod endpoints;
mod entries;
mod finish;
mod freshness;
mod limit;
mod next;
mod outcome;
mod pick;
mod plain;
mod queue;
mod quota;
mod roles;
mod step;
mod suspect;
mod tell;

use std::{net::SocketAddr, time::Duration};

use basilbank_core::time::Now;
use basilbank_wire::LoadBeat;

use crate::{
    call::RequestId,
    effect::Effect,
    endpoint::EndpointKey,
    event::Event,
    note::Note,
    state::{Leaving, Share, State, requests::Hold},
};

/// Takes one event in and says what is to be done.
pub fn reduce(state: &mut State, now: Now, event: Event, effects: &mut Vec<Effect>) {
    let mut turn = Turn { state, now: now.mono, effects };
    turn.state.started.get_or_insert(now.mono);
    roles::watch_clocks(&mut turn, now);
    match event {
        Event::Tick => turn.state.room = true,
        Event::Arrived(call) => arrive::arrived(&mut turn, *call),
        Event::Left(id) => finish::left(&mut turn, id),
        Event::Came { request, attempt, outcome } => {
            outcome::came(&mut turn, request, attempt, outcome);
        }
        Event::Routes { read, table } => endpoints::routes(&mut turn, read, table),
        Event::Confirmed { asked } => freshness::confirmed(&mut turn, asked),
        Event::Endpoints { read, list } => endpoints::replace(&mut turn, read, list),
        Event::Changed { read, listed, gone } => {
            endpoints::change(&mut turn, read, listed, &gone);
        }
        Event::StoreLost => endpoints::store_lost(&mut turn),
        Event::Disproved { topic, revision } => beat::disproved(&mut turn, topic, revision),
        Event::Probed { endpoint, life } => suspect::probed(&mut turn, endpoint, life),
        Event::CallLimit { endpoint, rate } => limit::named(&mut turn, endpoint, rate),
        Event::Ordered { endpoint, accepted } => roles::ordered(&mut turn, endpoint, accepted),
        Event::Right(right) => roles::right(&mut turn, right),
        Event::Shutdown { grace } => {
            turn.state.leaving = Some(Leaving { since: turn.now, until: turn.now + grace });
            let running = turn.state.requests.len();
            turn.note(Note::new("shutdown").with("requests", running));
            beat::leave(&mut turn);
        }
        Event::Beat { from, beat } => beat::heard(&mut turn, from, &beat),
    }
    queue::settle(&mut turn);
    endpoints::expire(&mut turn);
    while let Some(id) = turn.state.due_timer(turn.now) {
        step::timer(&mut turn, id);
        queue::settle(&mut turn);
    }
    suspect::tick(&mut turn);
    crash::tick(&mut turn);
    limit::tick(&mut turn);
    freshness::tick(&mut turn);
    quota::tick(&mut turn);
    beat::tick(&mut turn);
    roles::tick(&mut turn);
}

/// Counts a call at an endpoint, and lets peers know if it takes memory there. Plain calls are over
/// before a peer could act on them; heartbeats tell of them.
fn begin(state: &mut State, endpoint: EndpointKey, share: Share) {
    state.directory.begin(endpoint, share);
    state.peers.changed |= share.tokens != 0;
}

/// Undoes [`begin`].
fn end(state: &mut State, endpoint: EndpointKey, share: Share) {
    state.directory.end(endpoint, share);
    state.peers.changed |= share.tokens != 0;
}

/// A hold is over: it counts no more at its endpoint, unless the call that takes it counts already.
fn end_hold(state: &mut State, hold: &Hold) {
    if let Some(share) = hold.share {
        end(state, hold.endpoint, share);
    }
}

/// One event's turn.
struct Turn<'a> {
    state: &'a mut State,
    now: Duration,
    effects: &'a mut Vec<Effect>,
}

impl Turn<'_> {
    fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Says something to some peers, beside what all are told of this daemon's load.
    fn say(&mut self, to: Vec<SocketAddr>, words: LoadBeat) {
        let incarnation = self.state.peers.incarnation;
        let beat = Box::new(LoadBeat { incarnation, ..words });
        self.push(Effect::SendBeat { to, beat });
    }

    fn note(&mut self, note: Note) {
        self.effects.push(Effect::Note(note));
    }

    /// A line about a request: its id at the caller comes first.
    fn note_request(&mut self, id: RequestId, note: Note) {
        let Some(request) = self.state.requests.get(&id) else { return };
        let mut pairs = vec![("request", request.call.trace.clone())];
        pairs.extend(note.pairs);
        self.note(Note { pairs, ..note });
    }

    /// Wakes the request at `at`.
    fn wake(&mut self, id: RequestId, at: Duration) {
        if let Some(request) = self.state.requests.get_mut(&id) {
            request.timers.push(at);
            self.state.set_timer(at, id);
        }
    }
}
