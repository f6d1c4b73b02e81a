//! Asks the daemons that watch the store whether there is a newer configuration.

use std::{net::SocketAddr, time::Duration};

use basilbank_wire::{ConfigurationAge, LoadGossip};

use super::Context;

/// Records that the store answered a query sent at `asked_at` and has no newer version.
pub fn record_confirmation(ctx: &mut Context<'_>, asked_at: Duration) {
    ctx.state.freshness.confirm(asked_at);
}

/// Handles a peer's queries and replies.
pub fn handle_messages(ctx: &mut Context<'_>, from: SocketAddr, messages: &[ConfigurationAge]) {
    for message in messages {
        match message.age {
            None => reply(ctx, from, message.asked),
            Some(age) => handle_reply(ctx, message, Duration::from_millis(u64::from(age))),
        }
    }
}

fn reply(ctx: &mut Context<'_>, to: SocketAddr, asked: u64) {
    let Some(age) = ctx.state.freshness.age(ctx.now) else { return };
    // The age is rounded up: a confirmation must never look newer than it is.
    let age = u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX);
    let version = ctx.state.routes.version;
    send(ctx, to, ConfigurationAge { asked, age: Some(age), version });
}

fn handle_reply(ctx: &mut Context<'_>, message: &ConfigurationAge, age: Duration) {
    // A newer version that the peer has read and this daemon has not may revoke keys.
    if message.version <= ctx.state.routes.version {
        ctx.state.freshness.confirm_from_answer(message.asked, age);
    }
}

/// Queries a peer if a confirmation is due.
pub fn tick(ctx: &mut Context<'_>) {
    if ctx.state.confirmation_due().is_none_or(|due| ctx.now < due) {
        return;
    }
    if let Some((peer, asked)) = ctx.state.next_confirmation_request(ctx.now) {
        send(ctx, peer, ConfigurationAge { asked, age: None, version: 0 });
    }
}

fn send(ctx: &mut Context<'_>, to: SocketAddr, message: ConfigurationAge) {
    ctx.send(vec![to], LoadGossip { ages: vec![message], ..LoadGossip::default() });
}
