//! Endpoints that went dark.
//!
//! An endpoint that crashed, or whose machine was cut off, stays on the list for some heartbeats. It
//! has the least to do of all, so that every daemon picks it first, and each draft that tries it loses
//! a quarter of a second; with several of them dark, and every daemon finding out by itself and again
//! when its patience is over, half of all drafts meet one. So the first daemon that meets one tells
//! its peers, and from then on a small question takes the place of callers' work: only when it is
//! answered does the endpoint get any.

use std::time::Duration;

use super::{Context, crash};
use crate::{
    effect::Effect, endpoint::EndpointKey, event::Liveness, log_line::LogLine, state::crashes::End,
};

/// Pause before an endpoint is asked, doubled each time that it does not answer.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(250);

/// Longest such pause: an endpoint that comes back waits so long for work.
const MAX_PROBE_PAUSE: Duration = Duration::from_millis(1000);

/// How much longer than until the next question the endpoint is left alone: the question's own limit
/// and a turn of the daemon.
const AVOID_MARGIN: Duration = Duration::from_millis(500);

/// A daemon that gets no answer from more than one in so many endpoints is itself cut off, more
/// likely than all of these: it tells nobody.
const CUT_OFF_DIVISOR: usize = 3;

/// An endpoint could not be reached, or did not answer in time.
pub fn mark_unreachable(ctx: &mut Context<'_>, key: EndpointKey) {
    if !ctx.state.directory.keeps(key) {
        return;
    }
    let due = ctx.now + MIN_PROBE_PAUSE;
    if ctx.state.suspects.add(key, due) {
        log_unreachable(ctx, key);
        avoid(ctx, key, due + AVOID_MARGIN);
    }
}

/// Asks an endpoint at which something broke off, at once. It stays in use until it doesn't answer.
pub fn request_probe(ctx: &mut Context<'_>, key: EndpointKey) {
    if ctx.state.directory.keeps(key) {
        ctx.state.suspects.doubt(key, ctx.now);
    }
}

/// An endpoint did what it was sent.
pub fn mark_reachable(ctx: &mut Context<'_>, key: EndpointKey) {
    if !ctx.state.suspects.clear(key) {
        return;
    }
    let Some(endpoint) = ctx.state.directory.get_mut(key) else { return };
    endpoint.came_back();
    let line = LogLine::new("endpoint_back").with("instance", &endpoint.info.instance);
    ctx.log(line);
    ctx.state.peers.changed = true;
}

/// An endpoint was asked.
pub fn handle_probe(ctx: &mut Context<'_>, key: EndpointKey, liveness: Liveness) {
    if liveness == Liveness::Alive {
        ctx.state.crashes.answered(key);
        return mark_reachable(ctx, key);
    }
    crash::report_crash(ctx, key, End::Dark);
    let now = ctx.now;
    let Some(suspect) = ctx.state.suspects.get_mut(key) else { return };
    let is_new = !std::mem::replace(&mut suspect.dark, true);
    suspect.unanswered += 1;
    let pause = MIN_PROBE_PAUSE.saturating_mul(1 << suspect.unanswered.min(8)).min(MAX_PROBE_PAUSE);
    suspect.due = Some(now + pause);
    if is_new {
        log_unreachable(ctx, key);
    }
    avoid(ctx, key, now + pause + AVOID_MARGIN);
}

/// Asks those that are due.
pub fn tick(ctx: &mut Context<'_>) {
    while let Some(key) = ctx.state.suspects.ask(ctx.now) {
        match ctx.state.directory.target(key) {
            Some(target) => ctx.push(Effect::Probe(target)),
            None => drop(ctx.state.suspects.clear(key)),
        }
    }
}

fn log_unreachable(ctx: &mut Context<'_>, key: EndpointKey) {
    if let Some(endpoint) = ctx.state.directory.get(key) {
        let line = LogLine::new("endpoint_dark").with("instance", &endpoint.info.instance);
        ctx.log(line);
    }
}

fn avoid(ctx: &mut Context<'_>, key: EndpointKey, until: Duration) {
    let is_credible = ctx.state.suspects.dark() * CUT_OFF_DIVISOR <= ctx.state.directory.len();
    let Some(endpoint) = ctx.state.directory.get_mut(key) else { return };
    match is_credible {
        true => endpoint.shun(until),
        false => endpoint.avoid(until),
    }
    ctx.state.peers.changed |= is_credible;
}
