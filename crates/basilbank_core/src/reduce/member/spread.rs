//! To whom heartbeats go, and what they carry.

use std::time::Duration;

use basilbank_wire::{Body, Heartbeat, Seen};

use super::beats;
use crate::{
    effect::Effect,
    ids::VmId,
    state::{Member, Members, State, rank},
    time::Now,
};

/// Peers that hear of something new at once.
const PUSH: usize = 3;
/// Bytes that members' news may take in one heartbeat. With the other fields, the packet's header and
/// its seal that makes a datagram of less than 1,200 bytes, which passes all paths whole.
const ROOM: usize = 1080;
/// Most bytes of one full record.
const RECORD: usize = 31;
/// Silence, as a share of the time after which a member counts as dead, from which heartbeats rather
/// go to others. In a fleet of 320 one in a thousand is silent for so long by chance.
const FRESH: f64 = 0.6;
/// Random choices until one is fresh.
const TRIES: usize = 8;
/// Full records in one heartbeat. More of them would crowd a large fleet's beats out of the datagrams.
const MOST_RECORDS: usize = 8;
/// Least time between two questions for all records, which may take ten datagrams to answer.
const PROBE_GAP: Duration = Duration::from_secs(1);
/// One of this many heartbeats goes to a member that is not live, if there is one, so that two sides
/// of a partition find each other again.
const KNOCK: u64 = 8;

/// Sends this round's heartbeats.
pub fn beat(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    state.members.counter += 1;
    for k in 0..state.local.tuning.fan_out {
        let Some(to) = target(state, now, k) else { return };
        send(state, now, to, out);
    }
}

/// Tells a few live members at once that something is new here.
pub fn push(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let mut told = Vec::with_capacity(PUSH);
    for _ in 0..PUSH {
        let Some(to) = live_peer(state, now).or_else(|| silent_peer(state)) else { return };
        if told.contains(&to) {
            continue;
        }
        told.push(to);
        send(state, now, to, out);
    }
}

/// Answers a daemon that lacks members' records, with all of them.
pub fn answer(state: &State, now: Now, to: VmId, out: &mut Vec<Effect>) {
    let own = state.local.vm;
    let known = state.members.all.iter().filter(|(vm, m)| **vm != own && m.live);
    let records: Vec<_> = known.filter_map(|(vm, m)| record(*vm, m, now)).collect();
    let reply = Heartbeat { reply: true, ..heartbeat(state) };
    if records.is_empty() {
        out.push(message(to, reply.clone()));
    }
    for chunk in records.chunks(ROOM / RECORD) {
        out.push(message(to, Heartbeat { seen: chunk.to_vec(), ..reply.clone() }));
    }
}

/// Tells a peer that showed older revisions what is known here. A daemon that is not on others' lists
/// yet gets no heartbeats, and would not hear of a change.
pub fn show(state: &State, to: VmId, beat: &Heartbeat, out: &mut Vec<Effect>) {
    let own = heartbeat(state);
    let is_older =
        beat.documents < own.documents || beat.catalogue < own.catalogue || beat.vms < own.vms;
    // Two that are each behind in something would answer each other without end.
    if is_older && !beat.reply {
        out.push(message(to, Heartbeat { reply: true, ..own }));
    }
}

/// How many heartbeats carry a member's news: by then all but surely all members have it.
pub fn rumours(members: &Members) -> u32 {
    4 + 2 * members.ring().len().ilog2()
}

/// The peer of this round.
///
/// In each round of the wall clock all daemons arrange the live members on a circle by the same
/// hashes and tell the next one, so that each is told by exactly one other, in an order that is new
/// each round. Clocks or views that differ make the choice a random one. (With independent random
/// choices a third of them is told by nobody in a round, and the last one hears of news half as late
/// again. A shared shift along the sorted list was tried: a run of even shifts leaves the two halves
/// of a list without news of each other for seconds.)
fn target(state: &mut State, now: Now, k: usize) -> Option<VmId> {
    if state.rng.next_u64().is_multiple_of(KNOCK)
        && let Some(silent) = silent_peer(state)
    {
        return Some(silent);
    }
    let round = now.unix_ms() / heartbeat_ms(state) * state.local.tuning.fan_out as u64 + k as u64;
    let own = state.local.vm;
    let others = state.members.live().iter().copied().filter(|vm| *vm != own);
    let start = rank(own, round);
    let Some(to) = others.min_by_key(|vm| rank(*vm, round).wrapping_sub(start)) else {
        return silent_peer(state);
    };
    if is_fresh(state, now, to) { Some(to) } else { live_peer(state, now) }
}

/// A random listed member that is not live.
fn silent_peer(state: &mut State) -> Option<VmId> {
    let members = &state.members;
    let count = members.ring().len().checked_sub(members.live().len()).filter(|c| 0 < *c)?;
    let pick = state.rng.index(count);
    let mut silent = state.members.all.iter().filter(|(_, m)| !m.live);
    silent.nth(pick).map(|(vm, _)| *vm)
}

/// A random live member, if possible one that was heard a moment ago: just after a partition most of
/// the live ones can't be reached, and those that can would hear too little to stay live.
fn live_peer(state: &mut State, now: Now) -> Option<VmId> {
    let own = state.local.vm;
    let live = state.members.live();
    let others = live.len() - usize::from(live.binary_search(&own).is_ok());
    if others == 0 {
        return None;
    }
    let mut found = None;
    for _ in 0..TRIES {
        let pick = state.rng.index(others);
        found = state.members.live().iter().copied().filter(|vm| *vm != own).nth(pick);
        if found.is_some_and(|vm| is_fresh(state, now, vm)) {
            break;
        }
    }
    found
}

fn is_fresh(state: &State, now: Now, vm: VmId) -> bool {
    let limit = state.local.tuning.dead_after.mul_f64(FRESH);
    let member = state.members.all.get(&vm).filter(|m| m.live);
    let heard = member.and_then(|m| m.heard);
    heard.is_some_and(|heard| now.mono.saturating_sub(heard) <= limit)
}

fn send(state: &mut State, now: Now, to: VmId, out: &mut Vec<Effect>) {
    let mut beat = heartbeat(state);
    let may_probe = state.members.probed.is_none_or(|at| at + PROBE_GAP <= now.mono);
    if may_probe && lacks_records(&state.members) {
        state.members.probed = Some(now.mono);
        beat.probe = true;
        state.members.all.values_mut().for_each(|m| m.mismatched = false);
    }
    take_rumours(&mut state.members, now, &mut beat.seen);
    let beats = beats::all(&state.members, now.mono, state.local.tuning.dead_after);
    let room = (ROOM - beat.seen.len() * RECORD) / beats::BYTES * beats::BYTES;
    let (first, rest) = beats.split_at(room.min(beats.len()));
    beat.beats = first.to_vec();
    out.push(message(to, beat));
    for chunk in rest.chunks(ROOM / beats::BYTES * beats::BYTES) {
        out.push(message(to, Heartbeat { beats: chunk.to_vec(), ..heartbeat(state) }));
    }
}

fn heartbeat(state: &State) -> Heartbeat {
    Heartbeat {
        counter: state.members.counter,
        catalogue: state.view.catalogue.revision,
        documents: state.documents.store.revision,
        vms: state.documents.vms.revision,
        confirmed: confirmed(state),
        leaving: state.leaving,
        ..Heartbeat::default()
    }
}

fn message(to: VmId, beat: Heartbeat) -> Effect {
    Effect::Send { to, message: Body::Heartbeat(beat).into() }
}

/// Full records of members with news, those told least often first, then of those whose short form
/// would be ambiguous.
fn take_rumours(members: &mut Members, now: Now, records: &mut Vec<Seen>) {
    let own = members.own;
    let fresh = members.all.iter().filter(|(vm, m)| **vm != own && 0 < m.rumours && m.live);
    let mut fresh: Vec<_> = fresh.map(|(vm, m)| (std::cmp::Reverse(m.rumours), *vm)).collect();
    fresh.sort_unstable();
    fresh.truncate(MOST_RECORDS);
    for (_, vm) in &fresh {
        let Some(member) = members.all.get_mut(vm) else { continue };
        member.rumours -= 1;
        records.extend(record(*vm, member, now));
    }
    let alike = members.all.iter().filter(|(vm, m)| {
        **vm != own && m.live && m.rumours == 0 && beats::needs_record(members, **vm)
    });
    records.extend(alike.filter_map(|(vm, m)| record(*vm, m, now)).take(MOST_RECORDS));
}

/// Whether this daemon must ask for all records: it knows of members that it has no record of, it has
/// just started, or it is not on others' lists yet, so that nobody sends it heartbeats.
fn lacks_records(members: &Members) -> bool {
    if !members.greeted || !members.is_listed(members.own) {
        return true;
    }
    members.all.values().any(|m| m.mismatched || (m.live && m.incarnation == 0))
        || members.candidates().iter().all(|vm| *vm == members.own)
}

fn record(vm: VmId, member: &Member, now: Now) -> Option<Seen> {
    let age = now.mono.saturating_sub(member.heard?).as_millis();
    (member.incarnation != 0).then_some(Seen {
        vm: vm.0,
        incarnation: member.incarnation,
        counter: member.counter,
        leaving: member.says_leaving,
        age: u32::try_from(age).unwrap_or(u32::MAX),
    })
}

fn heartbeat_ms(state: &State) -> u64 {
    let length = state.local.tuning.heartbeat.as_millis();
    u64::try_from(length).unwrap_or(u64::MAX).max(1)
}

/// Milliseconds since the platform confirmed the documents, 0 when it never did.
fn confirmed(state: &State) -> u32 {
    let Some(at) = state.documents.confirmed else { return 0 };
    let age = state.members.presence.last_event.saturating_sub(at).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX).max(1)
}
