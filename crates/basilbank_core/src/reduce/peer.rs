//! Messages to peers, this daemon included.

use basilbank_wire::Body;

use crate::{effect::Effect, ids::VmId, state::State};

/// Says something to a daemon; to this one without a detour over the network.
pub fn send(state: &mut State, to: VmId, body: Body, out: &mut Vec<Effect>) {
    if to == state.local.vm {
        state.slots.inbox.push_back(body);
    } else {
        out.push(Effect::Send { to, message: body.into() });
    }
}
