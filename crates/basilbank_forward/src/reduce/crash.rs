//! Detection of calls that crash the endpoints that run them.

use std::time::Duration;

use basilbank_wire::{CrashReport, LoadGossip};

use super::{Context, suspect};
use crate::{
    call::{Digest, RequestId},
    endpoint::EndpointKey,
    log_line::{LogLine, Measurement},
    state::{
        crashes::CrashEvidence,
        requests::{ActiveAttempt, Step},
    },
};

/// Handles an attempt that broke off. The endpoint is probed to find out whether it crashed, since
/// a connection can also be reset for other reasons.
pub fn handle_broken_attempt(ctx: &mut Context<'_>, id: RequestId, live: &ActiveAttempt) {
    // A peer that makes a call sees for itself whether the endpoint crashed.
    if live.step == Step::Hold || live.via.is_some() {
        return;
    }
    let Some(request) = ctx.state.requests.get(&id) else { return };
    let (digest, run_time) = (request.call.digest, ctx.now.saturating_sub(live.started));
    record_broken_call(ctx, live.endpoint, digest, run_time);
}

/// Records a call that broke off at an endpoint, and probes the endpoint.
pub fn record_broken_call(
    ctx: &mut Context<'_>,
    key: EndpointKey,
    digest: Digest,
    run_time: Duration,
) {
    // An endpoint that leaves aborts its calls; they are not the cause of its end.
    if ctx.state.directory.get(key).is_some_and(|e| e.is_in_service()) {
        ctx.state.crashes.record_broken_call(key, digest, run_time, ctx.now);
        suspect::request_probe(ctx, key);
    }
}

/// Reports the calls that were running at an endpoint which crashed or disappeared without leaving.
pub fn report_crash(ctx: &mut Context<'_>, key: EndpointKey, end: CrashEvidence) {
    let Some(hash) = ctx.state.directory.hash(key) else { return };
    let reports = ctx.state.crashes.record_crash(key, hash, end, ctx.now);
    if reports.is_empty() {
        return;
    }
    for report in &reports {
        let line = LogLine::new("crashed").with("digest", Digest(report.digest));
        let line = line.with("endpoint", format!("{hash:08x}")).with("ran_ms", report.ran);
        ctx.log(line);
        apply_report(ctx, report);
    }
    ctx.state.peers.report_soon();
}

/// Clears a call of suspicion after it has run to its end.
pub fn handle_served(ctx: &mut Context<'_>, id: RequestId) {
    let Some(digest) = ctx.state.requests.get(&id).map(|request| request.call.digest) else {
        return;
    };
    if ctx.state.crashes.is_suspect(digest) {
        ctx.state.crashes.clear_and_announce(digest);
        ctx.state.peers.report_soon();
    }
}

/// Applies what a peer reports about crashes and quarantined calls.
pub fn handle_gossip(ctx: &mut Context<'_>, gossip: &LoadGossip) {
    for reported in &gossip.quarantined {
        if ctx.state.quarantine.apply_report(reported, ctx.now) {
            record_cause(ctx, Digest(reported.digest), "peer");
        }
    }
    for digest in &gossip.cleared {
        ctx.state.crashes.clear(Digest(*digest));
    }
    for report in &gossip.crashes {
        apply_report(ctx, report);
    }
}

/// Looks for the cause of crashes once all daemons have had time to report them.
pub fn tick(ctx: &mut Context<'_>) {
    if ctx.state.crashes.due().is_none_or(|due| ctx.now < due) {
        return;
    }
    while let Some((digest, count)) = ctx.state.crashes.find_cause(ctx.now) {
        ctx.state.quarantine.add(digest, ctx.now);
        record_cause(ctx, digest, &format!("crashes_{count}"));
        ctx.state.peers.report_soon();
    }
}

/// Returns whether the call is quarantined and no endpoint is running it. Each such call prolongs
/// its quarantine.
pub fn check_quarantine(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let request = ctx.state.requests.get(&id).filter(|request| request.active_attempts.is_empty());
    let Some(digest) = request.map(|request| request.call.digest) else { return false };
    let is_known = ctx.state.quarantine.time_left(digest, ctx.now).is_some();
    if is_known {
        ctx.state.quarantine.add(digest, ctx.now);
    }
    is_known
}

/// Returns the time until which it is undecided whether a call that no endpoint is running is the
/// cause of crashes.
pub fn undecided_until(ctx: &Context<'_>, id: RequestId) -> Option<Duration> {
    let request =
        ctx.state.requests.get(&id).filter(|request| request.active_attempts.is_empty())?;
    ctx.state.crashes.undecided_until(request.call.digest, ctx.now)
}

fn apply_report(ctx: &mut Context<'_>, report: &CrashReport) {
    let is_quarantined = ctx.state.quarantine.time_left(Digest(report.digest), ctx.now).is_some();
    ctx.state.crashes.apply_report(report, is_quarantined, ctx.now);
}

fn record_cause(ctx: &mut Context<'_>, digest: Digest, reason: &str) {
    ctx.state.crashes.mark_explained(digest);
    let line = LogLine::new("quarantined").with("digest", digest).with("why", reason);
    ctx.log(line.with_measurement(Measurement::Quarantined));
}
