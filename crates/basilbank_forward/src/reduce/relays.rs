//! Sends datagrams by way of relays, and passes on those of peers.

use std::net::SocketAddr;

use basilbank_wire::LoadGossip;

use super::Context;
use crate::{
    effect::Effect,
    state::{
        peers::to_wire,
        relays::{HOPS_TO_RELAY, Receivers},
    },
};

/// Sends a datagram to peers, directly or by way of relays.
pub fn send(ctx: &mut Context<'_>, to: Vec<SocketAddr>, gossip: LoadGossip) {
    let Receivers { direct, relays } = ctx.state.divide_receivers(to, &gossip, ctx.now);
    if !relays.is_empty() {
        let gossip = Box::new(LoadGossip { hops: HOPS_TO_RELAY, ..gossip.clone() });
        ctx.push(Effect::SendGossip { to: relays, gossip });
    }
    if !direct.is_empty() {
        ctx.push(Effect::SendGossip { to: direct, gossip: Box::new(gossip) });
    }
}

/// Passes a datagram on to the peers of this data centre, if its sender wants that. Only a datagram
/// that this daemon hasn't had before gets here, so that each is passed on once.
pub fn pass_on(ctx: &mut Context<'_>, from: SocketAddr, gossip: &LoadGossip) {
    let to = ctx.state.receivers_to_pass_on(from, gossip);
    if to.is_empty() {
        return;
    }
    let sender = ctx.state.peers.known.get_mut(&from);
    if !sender.is_some_and(|peer| peer.take_pass_on(ctx.now)) {
        ctx.state.peers.relays.dropped += 1;
        return;
    }
    ctx.state.peers.relays.passed_on += 1;
    let gossip = Box::new(LoadGossip { hops: 0, origin: to_wire(&from), ..gossip.clone() });
    ctx.push(Effect::SendGossip { to, gossip });
}
