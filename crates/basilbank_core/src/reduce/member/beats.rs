//! The short form in which heartbeats carry other members' counters.
//!
//! Four bytes a member: the upper 16 bits of its id, 5 bits that tell its incarnation, the low 6 bits
//! of its counter, and 5 bits for how old the news is. A whole table of 320 members fits two
//! datagrams, so news needs few hops. Two members of one list whose ids begin alike are left out;
//! their full records go round instead.
//!
//! The age makes all daemons count a member as dead at the same time after its last heartbeat,
//! however long that took to reach them. The counter makes news of one heartbeat count once, so that
//! a dead member is not kept alive by packets that were on their way for long.

use std::time::Duration;

use crate::{
    ids::VmId,
    state::{Member, Members},
};

/// Bytes of one member.
pub const BYTES: usize = 4;
const COUNTER_BITS: u32 = 6;
const AGE_BITS: u32 = 5;
const COUNTERS: u64 = 1 << COUNTER_BITS;
const AGES: u32 = 1 << AGE_BITS;

/// The live members other than this daemon's own, in short form. `dead_after` is the oldest age.
pub fn all(members: &Members, mono: Duration, dead_after: Duration) -> Vec<u8> {
    let mut beats = Vec::with_capacity(members.ring().len() * BYTES);
    for (vm, member) in members.all.iter().filter(|(vm, _)| **vm != members.own) {
        if !member.live || member.incarnation == 0 || !is_unique(members, prefix(*vm)) {
            continue;
        }
        let silent = member.heard.map_or(Duration::MAX, |heard| mono.saturating_sub(heard));
        let Some(age) = age(silent, dead_after) else { continue };
        let counter = member.counter % COUNTERS;
        let low = (u64::from(tag(member.incarnation)) << COUNTER_BITS | counter) as u16;
        beats.extend_from_slice(&prefix(*vm).to_be_bytes());
        beats.extend_from_slice(&(low << AGE_BITS | age).to_be_bytes());
    }
    beats
}

/// Takes a peer's beats in, and gives the members that were not live before.
pub fn apply(
    members: &mut Members,
    beats: &[u8],
    mono: Duration,
    dead_after: Duration,
) -> Vec<VmId> {
    let mut came = Vec::new();
    let own = members.own;
    for beat in beats.chunks_exact(BYTES) {
        let prefix = u16::from_be_bytes([beat[0], beat[1]]);
        let low = u16::from_be_bytes([beat[2], beat[3]]);
        if !is_unique(members, prefix) {
            continue;
        }
        let Some((vm, member)) = members.all.range_mut(range(prefix)).next() else { continue };
        if *vm == own || !advance(member, low >> AGE_BITS) {
            continue;
        }
        let silent = dead_after * u32::from(low % AGES as u16) / AGES;
        member.heard = member.heard.max(Some(mono.saturating_sub(silent)));
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

/// Takes a counter over if it is ahead. One that is far ahead, after a long separation, may look as
/// if it were behind; the member's own heartbeats and full records set that right.
fn advance(member: &mut Member, low: u16) -> bool {
    if member.incarnation != 0 && u16::from(tag(member.incarnation)) != low >> COUNTER_BITS {
        member.mismatched = true;
        return false;
    }
    let ahead = u64::from(low).wrapping_sub(member.counter) % COUNTERS;
    if ahead == 0 || COUNTERS / 2 <= ahead {
        return false;
    }
    member.counter += ahead;
    true
}

fn age(silent: Duration, dead_after: Duration) -> Option<u16> {
    let share = silent.as_secs_f64() / dead_after.as_secs_f64().max(f64::MIN_POSITIVE);
    let age = (share * f64::from(AGES)).round();
    (age < f64::from(AGES)).then_some(age as u16)
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
    let folded = incarnation ^ (incarnation >> 5) ^ (incarnation >> 10) ^ (incarnation >> 15);
    (folded % 32) as u8
}
