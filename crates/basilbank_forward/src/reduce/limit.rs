//! Endpoints that take so many calls a second only: who may send one there.
//!
//! All calls to such an endpoint need a permit. One daemon, the same for all who hear each other, gives them
//! out in the order in which daemons asked; it is asked by a datagram and answers by one, some milliseconds
//! later. A lost one costs a permit, never one too many.

use std::{net::SocketAddr, time::Duration};

use basilbank_wire::{CallLimitSeen, LoadBeat, Permit, PermitWord};

use super::{Turn, step};
use crate::{
    call::RequestId,
    endpoint::{EndpointKey, Stage},
    note::{Measure, Note},
    state::{State, grants::Asker},
};

/// How long a permit may take that no call waits for yet.
const LOOK_AHEAD: Duration = Duration::from_millis(300);

/// Longest time for which a daemon stands in line: callers of drafts leave after it.
const MOST_WAIT: Duration = Duration::from_secs(5);

/// Calls that a permit for a decode endpoint stands for: one holds the slot, one takes it.
const DRAFT_CALLS: f64 = 2.0;

/// An answer has said what its endpoint takes.
pub fn named(turn: &mut Turn<'_>, key: EndpointKey, rate: Option<f64>) {
    let known = turn.state.directory.get(key).is_some_and(|endpoint| !endpoint.gone);
    if known && turn.state.call_limits.see(key, rate, turn.now) {
        changed(turn, key, rate, "answer");
        turn.state.peers.tell_soon();
    }
}

/// What a peer has seen.
pub fn heard_limits(turn: &mut Turn<'_>, beat: &LoadBeat) {
    for told in &beat.limits {
        let Some(key) = turn.state.directory.by_hash(told.endpoint) else { continue };
        let seen = turn.now.saturating_sub(Duration::from_millis(u64::from(told.ago)));
        let rate = told.rate.filter(|rate| rate.is_finite() && 0.0 <= *rate);
        if turn.state.call_limits.hear(key, rate, seen) {
            changed(turn, key, rate, "peer");
        }
    }
}

/// What this daemon has seen, for peers.
pub fn seen(state: &State, now: Duration) -> Vec<CallLimitSeen> {
    let told = state.call_limits.told(now).filter_map(|(key, limit)| {
        let ago = now.saturating_sub(limit.seen).as_millis();
        let ago = u32::try_from(ago).unwrap_or(u32::MAX);
        Some(CallLimitSeen { endpoint: state.directory.hash(key)?, rate: limit.rate, ago })
    });
    told.collect()
}

/// A peer's words about permits. Only peers are heard: the line is as long as there are peers, and no longer.
pub fn heard_permits(turn: &mut Turn<'_>, from: SocketAddr, permits: &[Permit]) {
    for permit in permits {
        let Some(key) = turn.state.directory.by_hash(permit.endpoint) else { continue };
        let wait = Duration::from_millis(u64::from(permit.wait));
        match permit.word() {
            PermitWord::Ask => asked(turn, key, Asker::Peer(from), wait.min(MOST_WAIT)),
            PermitWord::Wait => takes(turn, key, wait),
            PermitWord::Grant => granted(turn, key),
            PermitWord::Unspecified => {}
        }
    }
}

/// Lines a call up for a permit to send it to any endpoint of its service; false when none of them will have
/// one in the time that the call bears to wait.
pub fn line_up(turn: &mut Turn<'_>, id: RequestId, bears: Duration) -> bool {
    let Some(request) = turn.state.requests.get(&id) else { return false };
    let lacking = turn.state.lacking(&request.service, turn.now);
    let waiting = &turn.state.permits.waiting;
    let place = waiting.iter().position(|other| *other == id).unwrap_or(waiting.len());
    loop {
        let coming = turn.state.permits.coming(&lacking, turn.now);
        if place < coming {
            return true;
        }
        match turn.state.endpoint_to_ask(&lacking, turn.now) {
            Some(endpoint) => ask(turn, endpoint, bears),
            None => return coming != 0,
        }
    }
}

/// Asks for a permit for the next call to a call's service, if an endpoint may have one. Endpoints without a
/// limit have no need of it; but only calls show when one with a limit has none any more.
///
/// Where all have limits each plain call asks for its own: what was asked for ahead would lapse at daemons that
/// get few calls.
pub fn look_ahead(turn: &mut Turn<'_>, id: RequestId) {
    let Some(request) = turn.state.requests.get(&id) else { return };
    let limits = &turn.state.call_limits;
    let mut endpoints = turn.state.directory.service(&request.service);
    let open = endpoints.any(|(key, _)| limits.get(key).is_none());
    drop(endpoints);
    if !open && !request.is_draft(turn.state) {
        return;
    }
    let lacking = turn.state.lacking(&request.service, turn.now);
    if let Some(endpoint) = turn.state.endpoint_to_ask(&lacking, turn.now) {
        ask(turn, endpoint, LOOK_AHEAD);
    }
}

fn ask(turn: &mut Turn<'_>, key: EndpointKey, bears: Duration) {
    turn.state.permits.ask(key, bears, turn.now);
    match turn.state.permit_giver(key) {
        None => asked(turn, key, Asker::Own, bears),
        Some(giver) => say(turn, giver, key, PermitWord::Ask, bears),
    }
}

/// Gives out what can be given, and lets go on what has its permit.
pub fn tick(turn: &mut Turn<'_>) {
    let given_here: Vec<_> = turn.state.grants.open().collect();
    for key in given_here {
        let limited = turn.state.call_limits.get(key).is_some();
        if !limited || turn.state.permit_giver(key).is_some() {
            turn.state.grants.close(key);
        }
    }
    while let Some((key, asker)) = turn.state.grants.give(turn.now) {
        match asker {
            Asker::Own => granted(turn, key),
            Asker::Peer(peer) => say(turn, peer, key, PermitWord::Grant, Duration::ZERO),
        }
    }
}

/// Somebody asks this daemon for a permit. One that takes another daemon for the one that gives them doesn't
/// answer: both would give them out.
fn asked(turn: &mut Turn<'_>, key: EndpointKey, asker: Asker, bears: Duration) {
    let Some(limit) = turn.state.call_limits.get(key) else { return };
    if turn.state.permit_giver(key).is_some() {
        return;
    }
    let stage = turn.state.directory.get(key).and_then(|endpoint| endpoint.info.stage);
    let limit = if stage == Some(Stage::Decode) { limit / DRAFT_CALLS } else { limit };
    let wait = turn.state.grants.ask(key, limit, (asker, bears), turn.now);
    match asker {
        // Whoever asks looks at once what came of it.
        Asker::Own => turn.state.permits.takes(key, wait, turn.state.peers.known.len(), turn.now),
        Asker::Peer(peer) => say(turn, peer, key, PermitWord::Wait, wait),
    }
}

/// A permit takes so long; calls that can't wait for it look for another one.
fn takes(turn: &mut Turn<'_>, key: EndpointKey, wait: Duration) {
    turn.state.permits.takes(key, wait, turn.state.peers.known.len(), turn.now);
    go_on(turn);
}

fn granted(turn: &mut Turn<'_>, key: EndpointKey) {
    if turn.state.call_limits.get(key).is_none() {
        return;
    }
    turn.state.permits.granted(key, turn.now);
    if let Some(endpoint) = turn.state.directory.get(key) {
        let note = Note::new("permit").with("instance", &endpoint.info.instance);
        turn.note(note.with_measure(Measure::Permit));
    }
    turn.state.room = true;
    go_on(turn);
}

fn changed(turn: &mut Turn<'_>, key: EndpointKey, rate: Option<f64>, by: &str) {
    if let Some(endpoint) = turn.state.directory.get(key) {
        let note = Note::new("call_limit").with("instance", &endpoint.info.instance);
        let rate = rate.map_or("none".to_owned(), |rate| rate.to_string());
        turn.note(note.with("rate", rate).with("by", by));
    }
    if rate.is_none() {
        turn.state.permits.forget(key);
        turn.state.room = true;
        go_on(turn);
    }
}

/// Calls that waited for a permit go on; those that get none wait again, in their order.
fn go_on(turn: &mut Turn<'_>) {
    for id in std::mem::take(&mut turn.state.permits.waiting) {
        step::go_on(turn, id);
    }
}

fn say(turn: &mut Turn<'_>, to: SocketAddr, key: EndpointKey, word: PermitWord, wait: Duration) {
    let Some(endpoint) = turn.state.directory.hash(key) else { return };
    let wait = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
    let permit = Permit { endpoint, word: word.into(), wait };
    turn.say(vec![to], LoadBeat { permits: vec![permit], ..LoadBeat::default() });
}

impl State {
    /// The peer that gives out permits for an endpoint; `None` when this daemon does.
    fn permit_giver(&self, key: EndpointKey) -> Option<SocketAddr> {
        self.elected(u64::from(self.directory.hash(key)?), |_| true)
    }

    /// The endpoints of a service for which a permit is needed, and isn't there.
    pub(super) fn lacking(&self, service: &str, now: Duration) -> Vec<EndpointKey> {
        let keys = self.directory.service(service).map(|(key, _)| key);
        keys.filter(|key| !self.permitted(*key, now)).collect()
    }

    /// The one of these endpoints to ask for a permit: each as often as it has some.
    fn endpoint_to_ask(&mut self, lacking: &[EndpointKey], now: Duration) -> Option<EndpointKey> {
        let open = lacking.iter().filter(|key| self.permits.is_open(**key, now));
        let rate = |key: &EndpointKey| self.call_limits.get(*key).unwrap_or_default();
        let open: Vec<_> = open.map(|key| (*key, rate(key))).collect();
        let mut drawn = self.rng.unit() * open.iter().map(|(_, rate)| rate).sum::<f64>();
        let is_drawn = |(_, rate): &&(EndpointKey, f64)| {
            drawn -= rate;
            drawn < 0.0
        };
        open.iter().find(is_drawn).or(open.first()).map(|(key, _)| *key)
    }

    /// The endpoint can be sent a call now, as far as its limit goes.
    pub(super) fn permitted(&self, key: EndpointKey, now: Duration) -> bool {
        self.call_limits.get(key).is_none() || self.permits.has(key, now)
    }
}
