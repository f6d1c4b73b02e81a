//! Shutdown after SIGTERM: the daemon takes no new work, finishes the requests in progress, and
//! exits.

use std::time::Duration;

use crate::{effect::Effect, reduce::member, state::State, time::Now};

/// Minimum time from SIGTERM to the exit.
///
/// Callers that are connecting when the daemon is told to stop would otherwise see a broken
/// connection instead of a refusal. In addition, the new owners of its endpoints ask all peers what
/// they hold: they wait for a daemon that is gone but still counts as alive, and refuse lookups in
/// the meantime.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_secs(1);

/// Starts the shutdown.
pub fn begin(state: &mut State, now: Now, out: &mut Vec<Effect>) {
    if !state.leaving {
        state.leaving = true;
        state.exit_at = now.mono + MIN_SHUTDOWN_TIME;
    }
    member::announce_leaving(state, now, out);
}

/// Exits when nothing is left to do: no request is in progress, and every voter knows the outcome
/// of the requests whose keys it voted on.
pub fn exit_when_idle(state: &State, now: Now, out: &mut Vec<Effect>) {
    let is_idle = state.requests.arena.is_empty() && state.claims.own.is_empty();
    if state.leaving && state.exit_at <= now.mono && is_idle {
        out.push(Effect::Exit);
    }
}
