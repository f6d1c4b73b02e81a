//! At most one run for an idempotency key.

use basilbank_wire::{Claim, Settle, Vote};

use crate::{
    effect::Effect,
    ids::{RequestKey, VmId},
    state::{Request, State},
    time::Now,
};

/// Claims an accepted request's key. The request waits; `admit::claimed`, `admit::joined` or
/// `settle::refuse` follows.
pub fn begin(_state: &mut State, _now: Now, _key: RequestKey, _out: &mut Vec<Effect>) {}

/// A peer claims a key at this daemon.
pub fn asked(_state: &mut State, _now: Now, _from: VmId, _claim: &Claim, _out: &mut Vec<Effect>) {}

/// A voter answered.
pub fn voted(_state: &mut State, _now: Now, _from: VmId, _vote: &Vote, _out: &mut Vec<Effect>) {}

/// A peer tells where a key's request runs or how it ended.
pub fn told(_state: &mut State, _now: Now, _from: VmId, _settle: &Settle) {}

/// Votes did not come in time.
pub fn timed_out(_state: &mut State, _now: Now, _key: RequestKey, _out: &mut Vec<Effect>) {}

/// A request's stream has a place now: its voters should know.
pub fn located(_state: &mut State, _key: RequestKey, _out: &mut Vec<Effect>) {}

/// A request ended: its voters should know.
pub fn ended(_state: &mut State, _request: &Request, _outcome: u32, _out: &mut Vec<Effect>) {}
