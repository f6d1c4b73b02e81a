//! Lets a repeat of a repeatable request wait for the earlier request, and take over its key when
//! the earlier daemon is gone.

use std::time::Duration;

use basilbank_wire::KeyRecord;

use super::MAX_VOTE_REQUESTS;
use crate::{
    ids::{RequestId, VmId},
    state::{ClaimPhase, State, Timer},
    time::Now,
};

/// Time between two vote requests for a key that another request has.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Reopens a claim that is lost to another request, if it is worth waiting for the key; the voters
/// are then asked again. Returns whether it did.
///
/// A daemon that dies before its completion has a stream leaves a key that is taken and no stream
/// to join. The caller that repeats the call with this key would be refused until the key window is
/// over, so its completion would be lost for ten minutes. Therefore the repeat waits as long as its
/// class allows. Either the stream appears, or the daemon turns out to be gone; then the repeat
/// runs, as both requests are repeatable.
pub fn reopen_claim(
    state: &mut State,
    now: Now,
    id: RequestId,
    earlier: Option<&KeyRecord>,
) -> bool {
    let Some(earlier) = earlier else { return false };
    let is_gone = is_gone(state, earlier);
    let Some(claim) = state.claims.own.get_mut(&id) else { return false };
    let Some(request) = state.requests.arena.get(claim.request) else { return false };
    let is_running_without_stream = earlier.outcome == 0 && earlier.stream.is_empty();
    if !is_running_without_stream || !earlier.repeatable || !request.repeatable {
        return false;
    }
    let is_newly_gone = is_gone && claim.predecessor != earlier.request;
    if !is_newly_gone && request.wait_deadline < now.mono + RECHECK_INTERVAL {
        return false;
    }
    claim.predecessor = if is_gone { earlier.request } else { 0 };
    claim.phase = ClaimPhase::Asking;
    claim.reset_votes();
    claim.resend_at = now.mono + if is_newly_gone { Duration::ZERO } else { RECHECK_INTERVAL };
    claim.deadline = claim.resend_at + state.local.tuning.peer_timeout * MAX_VOTE_REQUESTS;
    state.timers.set(claim.resend_at, Timer::Claim(id));
    true
}

/// Returns whether the process that accepted a request is gone: its VM is no longer in contact, or
/// runs a later process.
fn is_gone(state: &State, record: &KeyRecord) -> bool {
    let vm = VmId(record.vm);
    if vm == state.local.vm {
        return record.incarnation != state.local.incarnation;
    }
    let later = state.members.incarnation(vm).is_some_and(|known| record.incarnation < known);
    later || !state.members.is_live(vm)
}
