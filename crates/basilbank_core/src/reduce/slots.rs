//! Slots at endpoints: reservations, and the steward's side of them.

use basilbank_wire::{AskHolds, Deny, Grant, Holds, Preempt, Release, Reserve};

use crate::{effect::Effect, ids::VmId, state::State, time::Now};

/// A daemon asks this one, as an endpoint's steward, for a slot.
pub fn asked(_state: &mut State, _now: Now, _from: VmId, _ask: &Reserve, _out: &mut Vec<Effect>) {}

/// A steward granted a slot.
pub fn granted(_state: &mut State, _now: Now, _from: VmId, _grant: &Grant, _out: &mut Vec<Effect>) {
}

/// A steward denied a slot.
pub fn denied(_state: &mut State, _now: Now, _from: VmId, _deny: &Deny, _out: &mut Vec<Effect>) {}

/// A holder gave a slot back.
pub fn released(
    _state: &mut State,
    _now: Now,
    _from: VmId,
    _release: &Release,
    _out: &mut Vec<Effect>,
) {
}

/// A new steward asks what this daemon holds.
pub fn holds_asked(
    _state: &mut State,
    _now: Now,
    _from: VmId,
    _ask: &AskHolds,
    _out: &mut Vec<Effect>,
) {
}

/// A holder tells what it holds.
pub fn holds(_state: &mut State, _now: Now, _from: VmId, _holds: &Holds, _out: &mut Vec<Effect>) {}

/// A steward takes a slot back.
pub fn preempted(
    _state: &mut State,
    _now: Now,
    _from: VmId,
    _preempt: &Preempt,
    _out: &mut Vec<Effect>,
) {
}

/// The live members changed, so stewardships may have moved.
pub fn members_changed(_state: &mut State, _now: Now, _out: &mut Vec<Effect>) {}

/// Renews own leases, expires others', grants what waits.
pub fn tick(_state: &mut State, _now: Now, _out: &mut Vec<Effect>) {}
