//! Endpoints that became unreachable.
//!
//! An endpoint that crashed, or whose machine was cut off, stays listed for some heartbeats. It has
//! the least work of all, so every daemon picks it first, and each completion that tries it loses a
//! quarter of a second. If several endpoints are unreachable and every daemon finds this out by
//! itself, and again whenever it has stopped avoiding them, half of all completions meet one. So
//! the first daemon that meets one reports it to its peers. From then on a small probe takes the
//! place of callers' work, and the endpoint gets work again only when it answers the probe.

use std::{collections::BTreeSet, time::Duration};

use super::{Context, crash};
use crate::{
    effect::Effect,
    endpoint::EndpointKey,
    event::Liveness,
    log_line::LogLine,
    purpose::Purpose,
    state::{State, crashes::CrashEvidence},
};

/// Pause before an endpoint is probed. It doubles with each probe without an answer.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause between probes: an endpoint that comes back waits this long for work.
const MAX_PROBE_PAUSE: Duration = Duration::from_millis(1000);

/// Time beyond the next probe for which an endpoint is avoided: the probe's own timeout and one
/// reducer step.
const AVOID_MARGIN: Duration = Duration::from_millis(500);

/// If more than one in this many endpoints are unreachable, this daemon is more likely cut off
/// itself than all of them have failed, so it does not report them to peers.
const CUT_OFF_DIVISOR: usize = 3;

/// Marks an endpoint that could not be reached or did not answer in time as unreachable.
pub fn mark_unreachable(ctx: &mut Context<'_>, key: EndpointKey) {
    if !ctx.state.directory.may_keep_state(key) {
        return;
    }
    let due = ctx.now + MIN_PROBE_PAUSE;
    if ctx.state.suspects.add_unreachable(key, due) {
        log_unreachable(ctx, key);
        avoid(ctx, key, due + AVOID_MARGIN);
    }
}

/// Schedules an immediate probe of an endpoint at which an attempt broke off. The endpoint stays in
/// use until a probe fails.
pub fn request_probe(ctx: &mut Context<'_>, key: EndpointKey) {
    if ctx.state.directory.may_keep_state(key) {
        ctx.state.suspects.add_doubtful(key, ctx.now);
    }
}

/// Marks an endpoint that did what it was sent as reachable.
pub fn mark_reachable(ctx: &mut Context<'_>, key: EndpointKey) {
    if !ctx.state.suspects.remove(key) {
        return;
    }
    let Some(endpoint) = ctx.state.directory.get_mut(key) else { return };
    endpoint.record_recovery();
    let line = LogLine::new("endpoint_back").with("instance", &endpoint.info.instance);
    ctx.log(line);
    ctx.state.peers.changed = true;
}

/// Handles the result of a probe.
pub fn handle_probe(ctx: &mut Context<'_>, key: EndpointKey, liveness: Liveness) {
    match liveness {
        Liveness::Alive => {
            ctx.state.crashes.record_answer(key);
            return mark_reachable(ctx, key);
        }
        Liveness::Withheld => return postpone_probe(ctx, key),
        Liveness::Unreachable => {}
    }
    crash::report_crash(ctx, key, CrashEvidence::Unreachable);
    let now = ctx.now;
    let Some(suspect) = ctx.state.suspects.get_mut(key) else { return };
    let is_new = !std::mem::replace(&mut suspect.unreachable, true);
    suspect.unanswered += 1;
    let pause = MIN_PROBE_PAUSE.saturating_mul(1 << suspect.unanswered.min(8)).min(MAX_PROBE_PAUSE);
    suspect.due = Some(now + pause);
    if is_new {
        log_unreachable(ctx, key);
    }
    avoid(ctx, key, now + pause + AVOID_MARGIN);
}

/// Sends the probes that are due.
pub fn tick(ctx: &mut Context<'_>) {
    update_unreached(ctx);
    while let Some(key) = ctx.state.suspects.take_due(ctx.now) {
        match ctx.state.directory.target(key) {
            Some(_) if !ctx.state.may_send(key, Purpose::Probe, ctx.now) => {
                postpone_probe(ctx, key);
            }
            Some(target) => ctx.push(Effect::Probe(target)),
            None => drop(ctx.state.suspects.remove(key)),
        }
    }
}

/// Schedules a probe for the end of the pause that the endpoint wants.
fn postpone_probe(ctx: &mut Context<'_>, key: EndpointKey) {
    let paused_until = ctx.state.directory.get(key).map(|e| e.statements.paused_until);
    let due = paused_until.unwrap_or_default().max(ctx.now + MIN_PROBE_PAUSE);
    if let Some(suspect) = ctx.state.suspects.get_mut(key) {
        suspect.due = Some(due);
    }
}

/// Finds the services most of whose endpoints this daemon can't reach.
fn update_unreached(ctx: &mut Context<'_>) {
    let State { suspects, directory, .. } = &*ctx.state;
    if suspects.is_empty() && suspects.unreached.is_empty() {
        return;
    }
    let unreachable = suspects.unreachable().filter_map(|key| directory.get(key));
    let mut services: BTreeSet<_> = unreachable.map(|e| e.info.service.clone()).collect();
    services.retain(|service| {
        let (mut total, mut lost) = (0, 0);
        for (key, _) in directory.in_service(service) {
            total += 1;
            lost += usize::from(suspects.is_unreachable(key));
        }
        total < lost * 2
    });
    let before = std::mem::replace(&mut ctx.state.suspects.unreached, services);
    let after = ctx.state.suspects.unreached.clone();
    for service in after.difference(&before) {
        ctx.log(LogLine::new("service_unreached").with("service", service));
    }
    for service in before.difference(&after) {
        ctx.log(LogLine::new("service_reached").with("service", service));
    }
}

fn log_unreachable(ctx: &mut Context<'_>, key: EndpointKey) {
    if let Some(endpoint) = ctx.state.directory.get(key) {
        let line = LogLine::new("endpoint_dark").with("instance", &endpoint.info.instance);
        ctx.log(line);
    }
}

fn avoid(ctx: &mut Context<'_>, key: EndpointKey, until: Duration) {
    let is_credible =
        ctx.state.suspects.count_unreachable() * CUT_OFF_DIVISOR <= ctx.state.directory.len();
    let Some(endpoint) = ctx.state.directory.get_mut(key) else { return };
    match is_credible {
        true => endpoint.avoid_and_report(until),
        false => endpoint.avoid(until),
    }
    ctx.state.peers.changed |= is_credible;
}
