//! To whom heartbeats go, and what they carry.

use basilbank_wire::{Body, Heartbeat, Seen};

use super::beats;
use crate::{
    effect::Effect,
    ids::VmId,
    state::{Member, Members, Rng, State},
    time::Now,
};

/// Peers that hear of something new at once.
const PUSH: usize = 3;
/// Bytes that members' news may take in one heartbeat, so that it fits one datagram.
const ROOM: usize = 1300;
/// Most bytes of one full record.
const RECORD: usize = 28;
/// Full records in one heartbeat.
const MOST_RECORDS: usize = 20;
/// One of this many heartbeats that would go to a dead member goes there all the same, so that two
/// sides of a partition find each other again.
const KNOCK: u64 = 8;

/// Sends this round's heartbeats.
pub fn beat(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    state.members.counter += 1;
    for k in 0..state.local.tuning.fan_out {
        let Some(to) = target(state, now, k) else { return };
        send(state, to, out);
    }
}

/// Tells a few live members at once that something is new here.
pub fn push(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let mut told = Vec::with_capacity(PUSH);
    for k in 0..PUSH {
        let Some(to) = live_peer(state).or_else(|| target(state, now, k)) else { return };
        if told.contains(&to) {
            continue;
        }
        told.push(to);
        send(state, to, out);
    }
}

/// Answers a daemon that lacks members' records, with all of them.
pub fn answer(state: &mut State, to: VmId, out: &mut Vec<Effect>) {
    let own = state.local.vm;
    let known = state.members.all.iter().filter(|(vm, m)| **vm != own && m.live);
    let records: Vec<_> = known.filter_map(|(vm, m)| record(*vm, m)).collect();
    if records.is_empty() {
        out.push(message(to, heartbeat(state)));
    }
    for chunk in records.chunks(ROOM / RECORD) {
        out.push(message(to, Heartbeat { seen: chunk.to_vec(), ..heartbeat(state) }));
    }
}

/// How many heartbeats carry a member's news: by then all but surely all members have it.
pub fn rumours(members: &Members) -> u32 {
    4 + 2 * members.ring().len().ilog2()
}

/// The peer of this round.
///
/// All daemons shift by the same offset within one round of the wall clock, so that each is told by
/// exactly one other. With independent random choices a third of them would be told by nobody in a
/// round, and news would take half as long again. Clocks that differ make the choice a random one.
fn target(state: &mut State, now: Now, k: usize) -> Option<VmId> {
    let ring = state.members.ring();
    let own = ring.binary_search(&state.local.vm);
    let others = ring.len() - usize::from(own.is_ok());
    if others == 0 {
        return None;
    }
    let round = now.unix_ms() / heartbeat_ms(state);
    let shift = Rng::new((round << 8) | k as u64).index(others);
    let place = match own {
        Ok(own) => (own + 1 + shift) % ring.len(),
        Err(_) => state.rng.index(others),
    };
    let to = state.members.ring()[place];
    if state.members.is_live(to) || state.rng.next_u64().is_multiple_of(KNOCK) {
        return Some(to);
    }
    live_peer(state).or(Some(to))
}

fn live_peer(state: &mut State) -> Option<VmId> {
    let own = state.local.vm;
    let candidates = state.members.candidates();
    let others = candidates.len() - usize::from(candidates.binary_search(&own).is_ok());
    if others == 0 {
        return None;
    }
    let pick = state.rng.index(others);
    state.members.candidates().iter().copied().filter(|vm| *vm != own).nth(pick)
}

fn send(state: &mut State, to: VmId, out: &mut Vec<Effect>) {
    let mut beat = heartbeat(state);
    beat.probe = lacks_records(&state.members);
    take_rumours(&mut state.members, &mut beat.seen);
    let room = ROOM - beat.seen.len() * RECORD;
    let start = state.rng.index(state.members.ring().len().max(1));
    beats::fill(&state.members, start, room, &mut beat.beats);
    out.push(message(to, beat));
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
fn take_rumours(members: &mut Members, records: &mut Vec<Seen>) {
    let own = members.own;
    let fresh = members.all.iter().filter(|(vm, m)| **vm != own && 0 < m.rumours && m.live);
    let mut fresh: Vec<_> = fresh.map(|(vm, m)| (std::cmp::Reverse(m.rumours), *vm)).collect();
    fresh.sort_unstable();
    fresh.truncate(MOST_RECORDS);
    for (_, vm) in &fresh {
        let Some(member) = members.all.get_mut(vm) else { continue };
        member.rumours -= 1;
        records.extend(record(*vm, member));
    }
    let alike = members.all.iter().filter(|(vm, m)| {
        **vm != own && m.live && m.rumours == 0 && beats::needs_record(members, **vm)
    });
    records.extend(alike.filter_map(|(vm, m)| record(*vm, m)).take(MOST_RECORDS));
}

fn lacks_records(members: &Members) -> bool {
    members.all.values().any(|m| m.live && m.incarnation == 0)
        || members.candidates().iter().all(|vm| *vm == members.own)
}

fn record(vm: VmId, member: &Member) -> Option<Seen> {
    (member.incarnation != 0).then_some(Seen {
        vm: vm.0,
        incarnation: member.incarnation,
        counter: member.counter,
        leaving: member.says_leaving,
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
