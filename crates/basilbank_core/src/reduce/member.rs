//! Tracks which members are alive: heartbeats, pauses of this process, and isolation.

mod gossip;
mod summary;

use std::time::Duration;

use basilbank_wire::{Heartbeat, MemberRecord};

pub use self::gossip::push;
use crate::{
    effect::{Effect, Progress},
    ids::VmId,
    reduce::{catalogue, claim, order, slots},
    state::{State, Timer},
    time::Now,
};

/// Heartbeat intervals after a pause from which messages count. Packets that arrived during the
/// pause and waited in the socket are read within less time.
const SETTLE_HEARTBEATS: u32 = 2;

/// Detects a pause of this process. This is called before each event, because the first event that
/// a process reads after a pause may be a request for a slot that another daemon owns by now.
pub fn detect_pause(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let gap = now.mono.saturating_sub(state.members.own_status.last_event);
    state.members.own_status.last_event = now.mono;
    if gap <= state.local.tuning.pause {
        return;
    }
    state.members.shift_times(gap);
    state.requests.shift_times(gap);
    state.members.own_status.rejoining_since =
        Some(now.mono + state.local.tuning.heartbeat * SETTLE_HEARTBEATS);
    note(out, "paused", vec![("gap_ms", gap.as_millis().to_string())]);
    slots::on_pause(state);
    order::on_pause(state);
    update_may_decide(state, now, out);
    catalogue::on_pause(state, now, out);
}

/// Records that a message came from a peer, and returns whether it is current. A message of an
/// incarnation that was followed by another one comes from a process that is gone.
pub fn accept_sender(
    state: &mut State,
    now: Now,
    from: VmId,
    incarnation: u64,
    out: &mut Vec<Effect>,
) -> bool {
    if !state.members.is_current(from, incarnation) {
        note(out, "stale_incarnation", vec![("vm", from.to_string())]);
        return false;
    }
    if from == state.local.vm || !state.members.all.contains_key(&from) {
        return true;
    }
    let epoch = state.members.epoch;
    record_contact(state, now.mono, from, incarnation, out);
    propagate_changes(state, epoch, now, out);
    true
}

/// Handles a peer's heartbeat.
pub fn on_heartbeat(
    state: &mut State,
    now: Now,
    from: VmId,
    heartbeat: &Heartbeat,
    out: &mut Vec<Effect>,
) {
    let epoch = state.members.epoch;
    let record_sends = gossip::record_sends_per_change(&state.members);
    state.members.has_heartbeat = true;
    if let Some(member) = state.members.all.get_mut(&from) {
        member.heartbeat_counter = member.heartbeat_counter.max(heartbeat.counter);
        if heartbeat.leaving && !member.announced_leaving {
            member.announced_leaving = true;
            member.record_sends = record_sends;
            state.members.refresh();
        }
    }
    for record in &heartbeat.seen {
        apply_record(state, now, record, out);
    }
    let dead_after = state.local.tuning.dead_after;
    for vm in summary::apply(&mut state.members, &heartbeat.beats, now.mono, dead_after) {
        mark_live(state, vm, out);
    }
    propagate_changes(state, epoch, now, out);
    catalogue::on_heartbeat(state, now, from, heartbeat, out);
    if heartbeat.probe {
        gossip::answer_probe(state, now, from, out);
    } else {
        gossip::reply_if_newer(state, from, heartbeat, out);
    }
}

/// Sends heartbeats and looks for dead members.
pub fn tick(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    state.timers.set(now.mono + state.local.tuning.heartbeat, Timer::Heartbeat);
    let epoch = state.members.epoch;
    mark_dead(state, now, out);
    propagate_changes(state, epoch, now, out);
    update_may_decide(state, now, out);
    gossip::send_heartbeats(state, now, out);
}

/// Handles a change of the VM list.
pub fn on_vm_list(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    claim::update_voter_history(state, now);
    update_may_decide(state, now, out);
    slots::on_members_changed(state, now, out);
    push(state, now, out);
}

/// Gives up what this daemon owns because it is shutting down, and announces it at once.
pub fn announce_leaving(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    if let Some(own) = state.members.all.get_mut(&state.local.vm) {
        own.announced_leaving = true;
    }
    let epoch = state.members.epoch;
    state.members.refresh();
    propagate_changes(state, epoch, now, out);
    push(state, now, out);
}

/// Applies a peer's record of a member that the peer has been in contact with.
fn apply_record(state: &mut State, now: Now, record: &MemberRecord, out: &mut Vec<Effect>) {
    let vm = VmId(record.vm);
    if vm == state.local.vm {
        check_superseded(state, record, out);
        return;
    }
    let record_sends = gossip::record_sends_per_change(&state.members);
    let Some(member) = state.members.all.get(&vm) else { return };
    let is_new_incarnation = member.incarnation < record.incarnation;
    let is_newer =
        record.incarnation == member.incarnation && member.heartbeat_counter < record.counter;
    if is_new_incarnation || is_newer {
        let last_seen = now.mono.saturating_sub(Duration::from_millis(u64::from(record.age)));
        record_contact(state, last_seen, vm, record.incarnation, out);
    }
    let Some(member) = state.members.all.get_mut(&vm) else { return };
    if member.incarnation != record.incarnation {
        return;
    }
    member.heartbeat_counter = member.heartbeat_counter.max(record.counter);
    if record.leaving && !member.announced_leaving {
        member.announced_leaving = true;
        member.record_sends = record_sends;
        state.members.refresh();
    }
}

/// Records that a member of a current incarnation was alive at `last_seen`.
fn record_contact(
    state: &mut State,
    last_seen: Duration,
    vm: VmId,
    incarnation: u64,
    out: &mut Vec<Effect>,
) {
    let record_sends = gossip::record_sends_per_change(&state.members);
    let Some(member) = state.members.all.get_mut(&vm) else { return };
    member.last_seen = member.last_seen.max(Some(last_seen));
    let former = member.incarnation;
    if former < incarnation {
        member.incarnation = incarnation;
        member.heartbeat_counter = 0;
        member.announced_leaving = false;
        member.is_mismatched = false;
    }
    if former != 0 && former < incarnation {
        member.record_sends = record_sends;
    }
    if !member.live {
        mark_live(state, vm, out);
    } else if former != 0 && former < incarnation {
        note(out, "member_restarted", vec![("vm", vm.to_string())]);
        state.members.refresh();
    }
}

fn mark_live(state: &mut State, vm: VmId, out: &mut Vec<Effect>) {
    let Some(member) = state.members.all.get_mut(&vm) else { return };
    member.live = true;
    state.members.refresh();
    note(out, "member_up", vec![("vm", vm.to_string())]);
}

fn mark_dead(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let own = state.local.vm;
    let timeout = state.local.tuning.dead_after;
    let mut any_dead = false;
    for (vm, member) in state.members.all.iter_mut().filter(|(vm, m)| m.live && **vm != own) {
        let silence =
            member.last_seen.map_or(Duration::MAX, |last_seen| now.mono.saturating_sub(last_seen));
        if silence <= timeout {
            continue;
        }
        member.live = false;
        any_dead = true;
        let fields = vec![("vm", vm.to_string()), ("silent_ms", silence.as_millis().to_string())];
        note(out, "member_dead", fields);
    }
    if any_dead {
        state.members.refresh();
    }
}

/// Updates what depends on the live members if they changed.
fn propagate_changes(state: &mut State, epoch: u64, now: Now, out: &mut Vec<Effect>) {
    if state.members.epoch == epoch {
        return;
    }
    slots::on_members_changed(state, now, out);
    update_may_decide(state, now, out);
}

/// Updates whether this daemon may decide for others.
fn update_may_decide(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    let could_decide = state.members.may_decide();
    if let Some(from) = state.members.own_status.rejoining_since {
        let members =
            state.members.count_members(|m| m.last_seen.is_some_and(|last_seen| from <= last_seen));
        if !state.members.own_status.has_list || members.is_minority() {
            return;
        }
        state.members.own_status.rejoining_since = None;
    }
    let members = state.members.count_members(|m| m.live);
    let is_isolated = members.is_minority();
    if is_isolated != state.members.own_status.is_isolated {
        state.members.own_status.is_isolated = is_isolated;
        let fields =
            vec![("live", members.in_contact.to_string()), ("listed", members.total.to_string())];
        note(out, if is_isolated { "isolated" } else { "rejoined" }, fields);
    }
    if !could_decide && state.members.may_decide() {
        state.members.own_status.deciding_since = now.mono;
        note(out, "recovered", vec![("live", members.in_contact.to_string())]);
        slots::on_members_changed(state, now, out);
    }
}

/// Reports that peers know a higher incarnation of this VM: another process has its name, or the
/// VM's clock went back across a restart. Peers drop all messages of this daemon; only an operator
/// can repair it.
fn check_superseded(state: &State, record: &MemberRecord, out: &mut Vec<Effect>) {
    if state.local.incarnation < record.incarnation {
        note(out, "incarnation_superseded", vec![("incarnation", record.incarnation.to_string())]);
    }
}

fn note(out: &mut Vec<Effect>, name: &'static str, fields: Vec<(&'static str, String)>) {
    out.push(Effect::Progress(Progress::Note { name, fields }));
}
