//! Chooses the targets of heartbeats and builds their contents.

use std::time::Duration;

use basilbank_wire::{Body, Heartbeat, MemberRecord};

use super::summary;
use crate::{
    effect::Effect,
    ids::VmId,
    state::{Member, Members, State, rank},
    time::Now,
};

/// Number of peers that new information is sent to at once.
const PUSH_FAN_OUT: usize = 3;
/// Maximum bytes of member records and summaries in one heartbeat. With the other fields, the
/// packet headers and the MAC, the datagram stays below 1,200 bytes, which passes all paths without
/// fragmentation.
const MAX_MEMBER_BYTES: usize = 1080;
/// Maximum bytes of one full record.
const MAX_RECORD_BYTES: usize = 31;
/// Silence, as a fraction of the time after which a member counts as dead, from which heartbeats go
/// to other members instead. In a fleet of 320, one member in a thousand is silent for that long by
/// chance.
const RECENTLY_SEEN_FRACTION: f64 = 0.6;
/// Random choices of a target until one was seen recently.
const MAX_TARGET_TRIES: usize = 8;
/// Maximum full records in one heartbeat. More of them would leave no space for the summaries of a
/// large fleet.
const MAX_RECORDS: usize = 8;
/// Minimum time between two requests for all records, because an answer may take ten datagrams.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// One in this many heartbeats goes to a member that is not live, if there is one, so that both
/// sides of a partition find each other again.
const DEAD_TARGET_PERIOD: u64 = 8;

/// Sends the heartbeats of this round.
pub fn send_heartbeats(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    state.members.heartbeat_counter += 1;
    for k in 0..state.local.tuning.fan_out {
        let Some(to) = select_target(state, now, k) else { return };
        send(state, now, to, out);
    }
}

/// Sends heartbeats to a few live members at once because there is new information.
pub fn push(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let mut sent_to = Vec::with_capacity(PUSH_FAN_OUT);
    for _ in 0..PUSH_FAN_OUT {
        let Some(to) = pick_live_peer(state, now).or_else(|| pick_dead_peer(state)) else { return };
        if sent_to.contains(&to) {
            continue;
        }
        sent_to.push(to);
        send(state, now, to, out);
    }
}

/// Sends all records to a daemon that lacks members' records.
pub fn answer_probe(state: &State, now: Now, to: VmId, out: &mut Vec<Effect>) {
    let own = state.local.vm;
    let known = state.members.all.iter().filter(|(vm, m)| **vm != own && m.live);
    let records: Vec<_> = known.filter_map(|(vm, m)| full_record(*vm, m, now)).collect();
    let reply = Heartbeat { reply: true, ..new_heartbeat(state) };
    if records.is_empty() {
        out.push(heartbeat_effect(to, reply.clone()));
    }
    for chunk in records.chunks(MAX_MEMBER_BYTES / MAX_RECORD_BYTES) {
        out.push(heartbeat_effect(to, Heartbeat { seen: chunk.to_vec(), ..reply.clone() }));
    }
}

/// Replies with this daemon's revisions to a peer that advertised older ones. A daemon that is not
/// on others' lists yet gets no heartbeats, so it would not learn of a change otherwise.
pub fn reply_if_newer(state: &State, to: VmId, heartbeat: &Heartbeat, out: &mut Vec<Effect>) {
    let own = new_heartbeat(state);
    let is_older = heartbeat.documents < own.documents
        || heartbeat.catalogue < own.catalogue
        || heartbeat.vms < own.vms;
    // Two daemons that each lack a newer revision of the other would reply to each other endlessly.
    if is_older && !heartbeat.reply {
        out.push(heartbeat_effect(to, Heartbeat { reply: true, ..own }));
    }
}

/// Returns how many heartbeats carry a member's full record after a change. After that many,
/// practically all members have received it.
pub fn record_sends_per_change(members: &Members) -> u32 {
    4 + 2 * members.listed().len().ilog2()
}

/// Selects the target of a heartbeat in this round.
///
/// In each round of the wall clock all daemons arrange the live members on a circle by the same
/// hashes and send to the next one. So each member receives exactly one heartbeat per round, in an
/// order that changes with each round. If clocks or member lists differ, the choice is a random
/// one.
///
/// With independent random choices, a third of the members receive no heartbeat in a round, and the
/// last one receives new information half as late again. A shared shift along the sorted list was
/// tried: a run of even shifts leaves the two halves of the list without information about each
/// other for seconds.
fn select_target(state: &mut State, now: Now, k: usize) -> Option<VmId> {
    if state.rng.next_u64().is_multiple_of(DEAD_TARGET_PERIOD)
        && let Some(dead_peer) = pick_dead_peer(state)
    {
        return Some(dead_peer);
    }
    let round =
        now.unix_ms() / heartbeat_interval_ms(state) * state.local.tuning.fan_out as u64 + k as u64;
    let own = state.local.vm;
    let others = state.members.live().iter().copied().filter(|vm| *vm != own);
    let start = rank(own, round);
    let Some(to) = others.min_by_key(|vm| rank(*vm, round).wrapping_sub(start)) else {
        return pick_dead_peer(state);
    };
    if is_recently_seen(state, now, to) { Some(to) } else { pick_live_peer(state, now) }
}

/// Picks a random listed member that is not live.
fn pick_dead_peer(state: &mut State) -> Option<VmId> {
    let members = &state.members;
    let count = members.listed().len().checked_sub(members.live().len()).filter(|c| 0 < *c)?;
    let index = state.rng.index(count);
    let mut dead = state.members.all.iter().filter(|(_, m)| !m.live);
    dead.nth(index).map(|(vm, _)| *vm)
}

/// Picks a random live member, if possible one that was seen recently. Just after a partition most
/// live members are unreachable, and the reachable ones would receive too few heartbeats to stay
/// live.
fn pick_live_peer(state: &mut State, now: Now) -> Option<VmId> {
    let own = state.local.vm;
    let live = state.members.live();
    let others = live.len() - usize::from(live.binary_search(&own).is_ok());
    if others == 0 {
        return None;
    }
    let mut found = None;
    for _ in 0..MAX_TARGET_TRIES {
        let index = state.rng.index(others);
        found = state.members.live().iter().copied().filter(|vm| *vm != own).nth(index);
        if found.is_some_and(|vm| is_recently_seen(state, now, vm)) {
            break;
        }
    }
    found
}

fn is_recently_seen(state: &State, now: Now, vm: VmId) -> bool {
    let max_silence = state.local.tuning.dead_after.mul_f64(RECENTLY_SEEN_FRACTION);
    let member = state.members.all.get(&vm).filter(|m| m.live);
    let last_seen = member.and_then(|m| m.last_seen);
    last_seen.is_some_and(|last_seen| now.mono.saturating_sub(last_seen) <= max_silence)
}

fn send(state: &mut State, now: Now, to: VmId, out: &mut Vec<Effect>) {
    let mut heartbeat = new_heartbeat(state);
    let may_probe = state.members.probed_at.is_none_or(|at| at + MIN_PROBE_INTERVAL <= now.mono);
    if may_probe && needs_all_records(&state.members) {
        state.members.probed_at = Some(now.mono);
        heartbeat.probe = true;
        state.members.all.values_mut().for_each(|m| m.is_mismatched = false);
    }
    add_full_records(&mut state.members, now, &mut heartbeat.seen);
    let summaries = summary::encode(&state.members, now.mono, state.local.tuning.dead_after);
    let first_bytes = (MAX_MEMBER_BYTES - heartbeat.seen.len() * MAX_RECORD_BYTES)
        / summary::ENTRY_BYTES
        * summary::ENTRY_BYTES;
    let (first, rest) = summaries.split_at(first_bytes.min(summaries.len()));
    heartbeat.beats = first.to_vec();
    out.push(heartbeat_effect(to, heartbeat));
    for chunk in rest.chunks(MAX_MEMBER_BYTES / summary::ENTRY_BYTES * summary::ENTRY_BYTES) {
        out.push(heartbeat_effect(to, Heartbeat { beats: chunk.to_vec(), ..new_heartbeat(state) }));
    }
}

fn new_heartbeat(state: &State) -> Heartbeat {
    Heartbeat {
        counter: state.members.heartbeat_counter,
        catalogue: state.view.catalogue.revision,
        documents: state.documents.store.revision,
        vms: state.documents.vms.revision,
        confirmed: confirmation_age_ms(state),
        leaving: state.leaving,
        ..Heartbeat::default()
    }
}

fn heartbeat_effect(to: VmId, heartbeat: Heartbeat) -> Effect {
    Effect::Send { to, message: Body::Heartbeat(heartbeat).into() }
}

/// Adds full records: first those of changed members, least often sent first, then those of members
/// whose summary would be ambiguous.
fn add_full_records(members: &mut Members, now: Now, records: &mut Vec<MemberRecord>) {
    let own = members.own;
    let pending = members.all.iter().filter(|(vm, m)| **vm != own && 0 < m.record_sends && m.live);
    let mut pending: Vec<_> =
        pending.map(|(vm, m)| (std::cmp::Reverse(m.record_sends), *vm)).collect();
    pending.sort_unstable();
    pending.truncate(MAX_RECORDS);
    for (_, vm) in &pending {
        let Some(member) = members.all.get_mut(vm) else { continue };
        member.record_sends -= 1;
        records.extend(full_record(*vm, member, now));
    }
    let ambiguous = members.all.iter().filter(|(vm, m)| {
        **vm != own && m.live && m.record_sends == 0 && summary::needs_full_record(members, **vm)
    });
    records.extend(ambiguous.filter_map(|(vm, m)| full_record(*vm, m, now)).take(MAX_RECORDS));
}

/// Returns whether this daemon must ask for all records: it knows members without having their
/// record, it has just started, or it is not on others' lists yet, so that no member sends it
/// heartbeats.
fn needs_all_records(members: &Members) -> bool {
    if !members.has_heartbeat || !members.is_listed(members.own) {
        return true;
    }
    members.all.values().any(|m| m.is_mismatched || (m.live && m.incarnation == 0))
        || members.candidates().iter().all(|vm| *vm == members.own)
}

fn full_record(vm: VmId, member: &Member, now: Now) -> Option<MemberRecord> {
    let age = now.mono.saturating_sub(member.last_seen?).as_millis();
    (member.incarnation != 0).then_some(MemberRecord {
        vm: vm.0,
        incarnation: member.incarnation,
        counter: member.heartbeat_counter,
        leaving: member.announced_leaving,
        age: u32::try_from(age).unwrap_or(u32::MAX),
    })
}

fn heartbeat_interval_ms(state: &State) -> u64 {
    let length = state.local.tuning.heartbeat.as_millis();
    u64::try_from(length).unwrap_or(u64::MAX).max(1)
}

/// Returns the milliseconds since the platform confirmed the documents, or 0 if it never did.
fn confirmation_age_ms(state: &State) -> u32 {
    let Some(at) = state.documents.confirmed_at else { return 0 };
    let age = state.members.own_status.last_event.saturating_sub(at).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX).max(1)
}
