//! Compact summaries of other members, which heartbeats carry.
//!
//! A summary takes four bytes: the upper 16 bits of the member's id, a 5-bit hash of its
//! incarnation, the low 6 bits of its heartbeat counter, and a 5-bit age of the information. A
//! whole table of 320 members fits two datagrams, so information needs few hops. Two members of one
//! list with the same upper id bits have no summary; their full records are sent instead.
//!
//! The age makes all daemons count a member as dead at the same time after its last heartbeat,
//! however long the information took to reach them. The counter makes the information of one
//! heartbeat count once, so that a dead member is not kept alive by packets that were delayed for
//! long.

use std::time::Duration;

use crate::{
    ids::VmId,
    state::{Member, Members},
};

/// Bytes of one summary.
pub const ENTRY_BYTES: usize = 4;
const COUNTER_BITS: u32 = 6;
const AGE_BITS: u32 = 5;
const COUNTER_MODULUS: u64 = 1 << COUNTER_BITS;
const AGE_STEPS: u32 = 1 << AGE_BITS;

/// Encodes summaries of the live members other than this daemon. `dead_after` is the highest age
/// that can be encoded.
pub fn encode(members: &Members, mono: Duration, dead_after: Duration) -> Vec<u8> {
    let mut summaries = Vec::with_capacity(members.listed().len() * ENTRY_BYTES);
    for (vm, member) in members.all.iter().filter(|(vm, _)| **vm != members.own) {
        if !member.live || member.incarnation == 0 || !is_prefix_unique(members, id_prefix(*vm)) {
            continue;
        }
        let silence =
            member.last_seen.map_or(Duration::MAX, |last_seen| mono.saturating_sub(last_seen));
        let Some(age) = encode_age(silence, dead_after) else { continue };
        let counter = member.heartbeat_counter % COUNTER_MODULUS;
        let low = (u64::from(incarnation_tag(member.incarnation)) << COUNTER_BITS | counter) as u16;
        summaries.extend_from_slice(&id_prefix(*vm).to_be_bytes());
        summaries.extend_from_slice(&(low << AGE_BITS | age).to_be_bytes());
    }
    summaries
}

/// Applies a peer's summaries, and returns the members that were not live before.
pub fn apply(
    members: &mut Members,
    summaries: &[u8],
    mono: Duration,
    dead_after: Duration,
) -> Vec<VmId> {
    let mut newly_live = Vec::new();
    let own = members.own;
    for entry in summaries.chunks_exact(ENTRY_BYTES) {
        let prefix = u16::from_be_bytes([entry[0], entry[1]]);
        let low = u16::from_be_bytes([entry[2], entry[3]]);
        if !is_prefix_unique(members, prefix) {
            continue;
        }
        let Some((vm, member)) = members.all.range_mut(id_range(prefix)).next() else { continue };
        if *vm == own || !advance_counter(member, low >> AGE_BITS) {
            continue;
        }
        let silence = dead_after * u32::from(low % AGE_STEPS as u16) / AGE_STEPS;
        member.last_seen = member.last_seen.max(Some(mono.saturating_sub(silence)));
        if !member.live {
            newly_live.push(*vm);
        }
    }
    newly_live
}

/// Returns whether a member needs its full record sent because its summary would be ambiguous.
pub fn needs_full_record(members: &Members, vm: VmId) -> bool {
    !is_prefix_unique(members, id_prefix(vm))
}

/// Advances a member's counter if the received one is ahead of it. A counter that is far ahead,
/// after a long separation, may look as if it were behind; the member's own heartbeats and full
/// records correct that.
fn advance_counter(member: &mut Member, low: u16) -> bool {
    if member.incarnation != 0
        && u16::from(incarnation_tag(member.incarnation)) != low >> COUNTER_BITS
    {
        member.is_mismatched = true;
        return false;
    }
    let ahead = u64::from(low).wrapping_sub(member.heartbeat_counter) % COUNTER_MODULUS;
    if ahead == 0 || COUNTER_MODULUS / 2 <= ahead {
        return false;
    }
    member.heartbeat_counter += ahead;
    true
}

fn encode_age(silence: Duration, dead_after: Duration) -> Option<u16> {
    let fraction = silence.as_secs_f64() / dead_after.as_secs_f64().max(f64::MIN_POSITIVE);
    let age = (fraction * f64::from(AGE_STEPS)).round();
    (age < f64::from(AGE_STEPS)).then_some(age as u16)
}

fn id_prefix(vm: VmId) -> u16 {
    (vm.0 >> 48) as u16
}

fn id_range(prefix: u16) -> std::ops::RangeInclusive<VmId> {
    let first = u64::from(prefix) << 48;
    VmId(first)..=VmId(first | (u64::MAX >> 16))
}

fn is_prefix_unique(members: &Members, prefix: u16) -> bool {
    members.all.range(id_range(prefix)).nth(1).is_none()
}

/// Returns a short hash of an incarnation. Incarnations are times in milliseconds, so their low
/// bits differ most.
fn incarnation_tag(incarnation: u64) -> u8 {
    let folded = incarnation ^ (incarnation >> 5) ^ (incarnation >> 10) ^ (incarnation >> 15);
    (folded % 32) as u8
}
