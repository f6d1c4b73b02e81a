//! SIGTERM: the daemon takes no new work, finishes what it has, and exits.

use std::time::Duration;

use crate::{effect::Effect, reduce::member, state::State, time::Now};

/// A daemon that leaves stays at least this long.
///
/// Callers whose connections are on their way when it is told to stop would find the door shut, and
/// see a broken connection in place of a refusal. And the new stewards of its endpoints ask all peers
/// what they hold: one that has vanished while it still counts as alive keeps them waiting, and they
/// refuse lookups in the meantime.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_secs(1);

/// The daemon was told to stop.
pub fn begin(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    if !state.leaving {
        state.leaving = true;
        state.exit_at = now.mono + MIN_SHUTDOWN_TIME;
    }
    member::announce_leaving(state, now, out);
}

/// Exits when there is nothing left to do: no request in progress, and no voter that has still to hear
/// how one ended.
pub fn exit_when_idle(state: &State, now: Now, out: &mut Vec<Effect>) {
    let is_idle = state.requests.arena.is_empty() && state.claims.own.is_empty();
    if state.leaving && state.exit_at <= now.mono && is_idle {
        out.push(Effect::Exit);
    }
}
