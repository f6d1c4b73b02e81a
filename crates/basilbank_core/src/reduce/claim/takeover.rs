//! A repeat of a repeatable request waits for the first one, and follows it when its daemon is gone.

use std::time::Duration;

use basilbank_wire::KeyRecord;

use super::MAX_VOTE_REQUESTS;
use crate::{
    ids::{RequestId, VmId},
    state::{ClaimPhase, State, Timer},
    time::Now,
};

/// Time between two questions for a key that another request has.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Whether a claim that is lost to another request goes on all the same; the voters are asked again
/// then.
///
/// A daemon that dies before its draft has a stream leaves a key that is taken and nothing to join.
/// Its caller comes again with the same key, and would be refused until the key window is over: a
/// draft that is lost for ten minutes. So the repeat waits as long as its class may wait. Either the
/// stream shows up, or the daemon turns out to be gone; what may run twice is then run anew.
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

/// Whether the process that accepted a request is gone: its VM is not heard any more, or runs a later
/// process.
fn is_gone(state: &State, record: &KeyRecord) -> bool {
    let vm = VmId(record.vm);
    if vm == state.local.vm {
        return record.incarnation != state.local.incarnation;
    }
    let later = state.members.incarnation(vm).is_some_and(|known| record.incarnation < known);
    later || !state.members.is_live(vm)
}
