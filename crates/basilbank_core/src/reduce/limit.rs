//! Entries' limits, over all daemons.

use crate::{
    effect::Effect,
    ids::{EntryId, VmId},
    reason::Refusal,
    state::State,
    time::Now,
};

/// Takes one request with its prompt and most generated tokens from an entry's limits.
///
/// # Errors
/// The limit that is used up; nothing is taken then.
pub fn take(
    _state: &mut State,
    _now: Now,
    _entry: EntryId,
    _tokens: u32,
    _out: &mut Vec<Effect>,
) -> Result<(), Refusal> {
    Ok(())
}

/// Gives back what an ended request took but did not use.
pub fn give_back(_state: &mut State, _now: Now, _entry: EntryId, _unused: u32) {}

/// A daemon asks this one, as an entry's steward, for part of the limit.
pub fn asked(
    _state: &mut State,
    _now: Now,
    _from: VmId,
    _ask: &basilbank_wire::AskLimit,
    _out: &mut Vec<Effect>,
) {
}

/// An entry's steward leases part of the limit to this daemon.
pub fn leased(_state: &mut State, _now: Now, _from: VmId, _lease: &basilbank_wire::LimitLease) {}

/// Renews leases.
pub fn tick(_state: &mut State, _now: Now, _out: &mut Vec<Effect>) {}
