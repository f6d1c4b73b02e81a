//! Sends messages to peers and to this daemon itself.

use basilbank_wire::Body;

use crate::{effect::Effect, ids::VmId, state::State};

/// Sends a message to a daemon. A message to this daemon goes to its inbox and not over the
/// network.
pub fn send(state: &mut State, to: VmId, body: Body, out: &mut Vec<Effect>) {
    if to == state.local.vm {
        state.slots.inbox.push_back(body);
    } else {
        out.push(Effect::Send { to, message: body.into() });
    }
}
