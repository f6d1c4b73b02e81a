//! Who is alive.

use basilbank_wire::Heartbeat;

use crate::{effect::Effect, ids::VmId, state::State, time::Now};

/// A peer's heartbeat.
pub fn heard(
    _state: &mut State,
    _now: Now,
    _from: VmId,
    _incarnation: u64,
    _beat: &Heartbeat,
    _out: &mut Vec<Effect>,
) {
}

/// Sends heartbeats, and looks for pauses and dead members.
pub fn tick(_state: &mut State, _now: Now, _out: &mut Vec<Effect>) {}
