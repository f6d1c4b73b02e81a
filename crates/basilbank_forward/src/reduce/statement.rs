//! What endpoints state about themselves in their answers.

use std::time::Duration;

use super::Context;
use crate::{
    effect::Effect,
    endpoint::EndpointKey,
    log_line::{LogLine, Measurement},
};

/// Time for which peers are told to avoid an endpoint whose answers say that it is leaving. Most
/// endpoints are gone by then, and one answer tells each peer itself.
const REPORT_LEAVING_FOR: Duration = Duration::from_secs(30);

/// Marks an endpoint as leaving because its answer says so.
///
/// The mark stays for as long as the incarnation is known. An answer without the statement doesn't
/// take it back, since it may have been on its way for longer, and neither does a record, which is
/// older than the answer while the store is unreachable.
pub fn mark_leaving(ctx: &mut Context<'_>, key: EndpointKey) {
    let now = ctx.now;
    let endpoint = ctx.state.directory.get_mut(key);
    let Some(endpoint) = endpoint.filter(|endpoint| !endpoint.statements.leaving) else { return };
    endpoint.statements.leaving = true;
    // All daemons read the record.
    if !endpoint.info.draining {
        endpoint.avoid_and_report(now + REPORT_LEAVING_FOR);
    }
    let line = LogLine::new("endpoint_leaving").with("instance", &endpoint.info.instance);
    ctx.log(line);
    remember(ctx, key);
    ctx.state.suspects.record_leaving();
    ctx.state.peers.changed = true;
    ctx.state.capacity_changed = true;
}

/// Sends nothing to an endpoint for as long as its answer asks for. The endpoint asks this daemon
/// alone, so peers are not told.
pub fn pause(ctx: &mut Context<'_>, key: EndpointKey, pause: Duration) {
    let until = ctx.now.saturating_add(pause);
    let endpoint = ctx.state.directory.get_mut(key);
    let Some(endpoint) = endpoint.filter(|endpoint| endpoint.statements.paused_until < until)
    else {
        return;
    };
    endpoint.statements.paused_until = until;
    let line = LogLine::new("endpoint_pause").with("instance", &endpoint.info.instance);
    ctx.log(line.with_ms("pause_ms", pause).with_measurement(Measurement::Pause));
    remember(ctx, key);
}

fn remember(ctx: &mut Context<'_>, key: EndpointKey) {
    let Some(endpoint) = ctx.state.directory.get(key) else { return };
    ctx.state.records.record_statements(&endpoint.info, endpoint.statements, ctx.now);
}

/// Gives back what an endpoint holds for a call, which it does for at most `ttl` more. If the
/// endpoint wants a pause, it is given back afterwards, or not at all if it will have expired.
pub fn release(ctx: &mut Context<'_>, key: EndpointKey, ttl: Duration, effect: Effect) {
    let Some(endpoint) = ctx.state.directory.get(key) else { return };
    let until = endpoint.statements.paused_until;
    if until <= ctx.now {
        ctx.push(effect);
    } else if until < ctx.now + ttl {
        ctx.state.deferred_releases.push((until, key, effect));
    }
}

/// Gives back what had to wait for the end of a pause.
pub fn tick(ctx: &mut Context<'_>) {
    let now = ctx.now;
    let due: Vec<_> =
        ctx.state.deferred_releases.extract_if(.., |(until, ..)| *until <= now).collect();
    for (_, key, effect) in due {
        // The next start at the address may use the same names for what it holds.
        if ctx.state.directory.may_keep_state(key) {
            release(ctx, key, Duration::ZERO, effect);
        }
    }
}
