//! The short form in which heartbeats carry other members' counters.
//!
//! Four bytes a member: the upper 16 bits of its id, 8 bits that tell its incarnation, and the low 8
//! bits of its counter. A whole table of 320 members fits one datagram, so news needs few hops. Two
//! members of one list whose ids begin alike are left out; their full records go round instead.
//!
//! Only live members are carried. So what arrives is never older than the time after which a member
//! counts as dead, and 8 bits are enough to tell newer from older; a misreading after a long
//! separation can delay news of a living member but can't revive a dead one, because a counter that
//! stands still is news once only.

use std::time::Duration;

use crate::{
    ids::VmId,
    state::{Member, Members},
};

/// Bytes of one member.
pub const BYTES: usize = 4;

/// Appends members to `beats`, from the `start`th on and around, until `room` bytes are used.
pub fn fill(members: &Members, start: usize, room: usize, beats: &mut Vec<u8>) {
    let ring = members.ring();
    let around = ring.iter().skip(start).chain(ring.iter().take(start));
    for vm in around.filter(|vm| **vm != members.own) {
        if room < beats.len() + BYTES {
            return;
        }
        let Some(member) = members.all.get(vm) else { continue };
        if !member.live || member.incarnation == 0 || !is_unique(members, prefix(*vm)) {
            continue;
        }
        beats.extend_from_slice(&prefix(*vm).to_be_bytes());
        beats.push(tag(member.incarnation));
        beats.push(member.counter as u8);
    }
}

/// Takes a peer's beats in, and gives the members that were not live before.
pub fn apply(members: &mut Members, beats: &[u8], mono: Duration) -> Vec<VmId> {
    let mut came = Vec::new();
    let own = members.own;
    for beat in beats.chunks_exact(BYTES) {
        let prefix = u16::from_be_bytes([beat[0], beat[1]]);
        if !is_unique(members, prefix) {
            continue;
        }
        let Some((vm, member)) = members.all.range_mut(range(prefix)).next() else { continue };
        if *vm == own || !advance(member, beat[2], beat[3]) {
            continue;
        }
        member.heard = Some(mono);
        if !member.live {
            came.push(*vm);
        }
    }
    came
}

/// Whether a full record must go round for a member, since its short form would be ambiguous.
pub fn needs_record(members: &Members, vm: VmId) -> bool {
    !is_unique(members, prefix(vm))
}

fn advance(member: &mut Member, seen_tag: u8, low: u8) -> bool {
    if member.incarnation != 0 && tag(member.incarnation) != seen_tag {
        return false;
    }
    let ahead = low.wrapping_sub(member.counter as u8) as i8;
    if ahead <= 0 {
        return false;
    }
    member.counter += ahead as u64;
    true
}

fn prefix(vm: VmId) -> u16 {
    (vm.0 >> 48) as u16
}

fn range(prefix: u16) -> std::ops::RangeInclusive<VmId> {
    let first = u64::from(prefix) << 48;
    VmId(first)..=VmId(first | (u64::MAX >> 16))
}

fn is_unique(members: &Members, prefix: u16) -> bool {
    members.all.range(range(prefix)).nth(1).is_none()
}

/// Incarnations are milliseconds, so the low bits differ most.
fn tag(incarnation: u64) -> u8 {
    (incarnation ^ (incarnation >> 8) ^ (incarnation >> 16)) as u8
}
