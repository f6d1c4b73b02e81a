//! Daemons tell each other what they have at endpoints.
//!
//! Without it each daemon fills decode endpoints that others have filled already: prompts are then
//! read for drafts that wait for memory, and calls are refused while other endpoints have room.

use std::{net::SocketAddr, time::Duration};

use basilbank_wire::{LoadBeat, ServicePace, Shunned, StoreRevision, WaitingDraft};

use super::{Turn, crash, freshness, limit, quota, tell};
use crate::{
    note::Note,
    state::{
        Pace, Share,
        peers::{Load, Peer, from_wire},
    },
    topic::{Revision, Topic},
};

/// A peer that was silent for this long is gone, and so is its work: five heartbeats, or three in a
/// large fleet.
const GONE: Duration = Duration::from_millis(2500);

/// How long an address is tried that a peer named.
const HINT: Duration = Duration::from_secs(2);

/// Longest time for which a peer's word keeps an endpoint unused.
const SHUNNED_MOST: Duration = Duration::from_secs(10);

/// Why a peer is forgotten that has said so itself.
const LEAVING: &str = "leaving";

/// Takes a peer's datagram in.
pub fn heard(turn: &mut Turn<'_>, from: SocketAddr, beat: &LoadBeat) {
    if beat.sequence == 0 {
        return words(turn, from, beat);
    }
    let now = turn.now;
    let peers = &mut turn.state.peers;
    let before = peers.known.get(&from);
    // Datagrams overtake each other; what an older one says is over.
    let stale = before
        .is_some_and(|peer| (beat.incarnation, beat.sequence) <= (peer.incarnation, peer.sequence));
    if stale || Some(from) == peers.own {
        return;
    }
    let named: Vec<_> = beat.peers.iter().filter_map(|peer| from_wire(*peer)).collect();
    for address in named {
        if !peers.known.contains_key(&address) && Some(address) != peers.own {
            peers.hints.entry(address).or_insert(now + HINT);
        }
    }
    peers.hints.remove(&from);
    let fresh = before.is_none();
    let started = before.is_none_or(|peer| peer.incarnation != beat.incarnation);
    forget_loads(turn, from);
    // Its streams go on for as long as it may take to leave: to drop them at once would give away
    // memory that they have.
    if beat.leaving && beat.endpoints.is_empty() {
        return forget(turn, from, LEAVING);
    }
    let loads = resolve(turn, beat);
    for load in &loads {
        turn.state.directory.others(load.endpoint, load.share);
    }
    shun(turn, &beat.shunned);
    crash::heard(turn, beat);
    limit::heard_limits(turn, beat);
    hear_news(turn, Topic::Endpoints, beat.endpoints_news);
    hear_news(turn, Topic::Routes, beat.routes_news);
    let before = turn.state.peers.known.remove(&from);
    let watched = before.as_ref().is_some_and(|peer| peer.watching);
    let blinded = watched && !beat.watching && !beat.leaving;
    // Only heartbeats tell these.
    let version = match (beat.version, &before) {
        (0, Some(peer)) => peer.version,
        (version, _) => version,
    };
    let paces = match before {
        Some(peer) if beat.paces.is_empty() => peer.paces,
        _ => beat.paces.iter().map(pace_from_wire).collect(),
    };
    turn.state.peers.doubts += u32::from(blinded);
    let peer = Peer {
        incarnation: beat.incarnation,
        sequence: beat.sequence,
        heard: now,
        loads,
        waiting: beat.waiting.iter().map(|draft| waiting_from_wire(draft, now)).collect(),
        version,
        watching: beat.watching,
        leaving: beat.leaving,
        paces,
    };
    let is_older = turn.state.started_before(beat.incarnation);
    let peers = &mut turn.state.peers;
    peers.known.insert(from, peer);
    peers.peak = peers.peak.max(peers.known.len());
    peers.met(beat.fleet, is_older);
    if fresh {
        turn.note(Note::new("peer").with("addr", from).with("state", "up"));
    }
    if started && !beat.leaving {
        tell::introduce(turn, from, beat.incarnation);
    }
    turn.state.room = true;
}

/// What a peer asks or answers, beside what it tells all. Who isn't known for a peer isn't heard.
fn words(turn: &mut Turn<'_>, from: SocketAddr, beat: &LoadBeat) {
    if !turn.state.peers.known.contains_key(&from) {
        return;
    }
    limit::heard_permits(turn, from, &beat.permits);
    freshness::heard(turn, from, &beat.ages);
    quota::heard_uses(turn, from, beat);
    quota::heard_states(turn, from, &beat.quota_states);
}

/// A peer has seen a change. Without the exception a revision that doesn't exist would be heard again
/// and again: this daemon would ask the store for it all the time, and deny no route any more.
fn hear_news(turn: &mut Turn<'_>, topic: Topic, told: Option<StoreRevision>) {
    let Some(StoreRevision { era, number }) = told else { return };
    let revision = Revision { era, number };
    if revision != *turn.state.disproved.get(topic) {
        let news = turn.state.news.get_mut(topic);
        *news = revision.max(*news);
    }
}

/// The store has no change with this revision. Nobody's configuration changes by such a word; it costs
/// one question.
pub fn disproved(turn: &mut Turn<'_>, topic: Topic, revision: Revision) {
    let read = turn.state.revision(topic);
    *turn.state.disproved.get_mut(topic) = revision;
    let news = turn.state.news.get_mut(topic);
    // What came since the question is not disproved.
    if *news == revision {
        *news = read;
    }
    let note = Note::new("news_disproved").with("topic", topic.as_str());
    turn.note(note.with("revision", revision).with("store", read));
}

/// Sends what is due, and forgets peers that are silent.
pub fn tick(turn: &mut Turn<'_>) {
    let now = turn.now;
    turn.state.peers.now = now;
    let gone = GONE.max(turn.state.peers.heartbeat() * 3);
    let silent: Vec<_> = turn
        .state
        .peers
        .known
        .iter()
        .filter(|(_, peer)| peer.heard + gone <= now)
        .map(|(address, _)| *address)
        .collect();
    for address in silent {
        forget_loads(turn, address);
        forget(turn, address, "silent");
    }
    if turn.state.peers.changed {
        turn.state.peers.since.get_or_insert(now);
    }
    if turn.state.peers.probe_due().is_some_and(|at| at <= now) {
        tell::probe(turn);
    }
    if turn.state.beat_due() <= now {
        tell::send(turn);
    }
}

/// Tells peers that this daemon leaves.
pub fn leave(turn: &mut Turn<'_>) {
    tell::send(turn);
}

/// Endpoints that a peer knows to refuse work, or to be dark, are left alone. Only what a peer met
/// itself is passed on, and only once, so that a word dies with its cause.
fn shun(turn: &mut Turn<'_>, shunned: &[Shunned]) {
    let now = turn.now;
    for entry in shunned {
        let left = Duration::from_millis(u64::from(entry.left)).min(SHUNNED_MOST);
        let key = turn.state.directory.by_hash(entry.endpoint);
        if let Some(endpoint) = key.and_then(|key| turn.state.directory.get_mut(key)) {
            endpoint.avoid(now + left);
        }
    }
}

fn waiting_from_wire(wire: &WaitingDraft, now: Duration) -> (u32, Duration) {
    let away = Duration::from_millis(u64::from(wire.due.unsigned_abs()));
    let due = if wire.due < 0 { now.saturating_sub(away) } else { now.saturating_add(away) };
    (wire.service, due)
}

fn pace_from_wire(wire: &ServicePace) -> (u32, Pace) {
    let pace = Pace {
        tokens: f64::from(wire.tokens),
        seconds: f64::from(wire.seconds),
        squares: f64::from(wire.squares),
        errors: f64::from(wire.errors),
    };
    (wire.service, pace)
}

fn resolve(turn: &Turn<'_>, beat: &LoadBeat) -> Vec<Load> {
    let directory = &turn.state.directory;
    let known = beat.loads().filter_map(|load| {
        let endpoint = directory.by_hash(load.endpoint)?;
        let share = Share {
            calls: load.calls,
            tokens: load.tokens,
            left: load.left,
            since: Some(turn.now),
        };
        Some(Load { endpoint, share })
    });
    known.collect()
}

fn forget_loads(turn: &mut Turn<'_>, from: SocketAddr) {
    let Some(peer) = turn.state.peers.known.get_mut(&from) else { return };
    for load in std::mem::take(&mut peer.loads) {
        turn.state.directory.no_others(load.endpoint, load.share);
    }
}

fn forget(turn: &mut Turn<'_>, from: SocketAddr, why: &str) {
    if turn.state.peers.known.remove(&from).is_some() {
        turn.state.peers.fleet -= usize::from(why == LEAVING);
        turn.note(Note::new("peer").with("addr", from).with("state", why));
    }
}
