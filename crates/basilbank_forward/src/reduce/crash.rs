//! Calls that crash the endpoints that run them.

use std::time::Duration;

use basilbank_wire::{CrashReport, LoadBeat};

use super::{Context, suspect};
use crate::{
    call::{Digest, RequestId},
    endpoint::EndpointKey,
    log_line::{LogLine, Measurement},
    state::{
        crashes::End,
        requests::{Live, Step},
    },
};

/// An attempt broke off. Whether its endpoint crashed is asked there: a connection alone can be reset, too.
pub fn handle_broken_attempt(ctx: &mut Context<'_>, id: RequestId, live: &Live) {
    if live.step == Step::Hold {
        return;
    }
    let Some(request) = ctx.state.requests.get(&id) else { return };
    let (digest, ran) = (request.call.digest, ctx.now.saturating_sub(live.began));
    // What an endpoint cuts as it leaves ends with it, and not the other way round.
    let is_serving = ctx.state.directory.get(live.endpoint).is_some_and(|e| e.takes_work());
    if is_serving {
        ctx.state.crashes.broke(live.endpoint, digest, ran, ctx.now);
        suspect::request_probe(ctx, live.endpoint);
    }
}

/// An endpoint has crashed, or has gone without a word.
pub fn report_crash(ctx: &mut Context<'_>, key: EndpointKey, end: End) {
    let Some(hash) = ctx.state.directory.hash(key) else { return };
    let reports = ctx.state.crashes.crashed(key, hash, end, ctx.now);
    if reports.is_empty() {
        return;
    }
    for report in &reports {
        let line = LogLine::new("crashed").with("digest", Digest(report.digest));
        let line = line.with("endpoint", format!("{hash:08x}")).with("ran_ms", report.ran);
        ctx.log(line);
        apply_report(ctx, report);
    }
    ctx.state.peers.tell_soon();
}

/// A call has run to its end.
pub fn handle_served(ctx: &mut Context<'_>, id: RequestId) {
    let Some(digest) = ctx.state.requests.get(&id).map(|request| request.call.digest) else {
        return;
    };
    if ctx.state.crashes.suspects(digest) {
        ctx.state.crashes.clear_for_all(digest);
        ctx.state.peers.tell_soon();
    }
}

/// A peer's words.
pub fn handle_gossip(ctx: &mut Context<'_>, gossip: &LoadBeat) {
    for reported in &gossip.quarantined {
        if ctx.state.quarantine.hear(reported, ctx.now) {
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

/// Looks for a cause, once crashes have been reported by all.
pub fn tick(ctx: &mut Context<'_>) {
    if ctx.state.crashes.due().is_none_or(|due| ctx.now < due) {
        return;
    }
    while let Some((digest, count)) = ctx.state.crashes.cause(ctx.now) {
        ctx.state.quarantine.add(digest, ctx.now);
        record_cause(ctx, digest, &format!("crashes_{count}"));
        ctx.state.peers.tell_soon();
    }
}

/// The call is in quarantine, and nowhere now. It stays there for longer since it came again.
pub fn check_quarantine(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let request = ctx.state.requests.get(&id).filter(|request| request.live.is_empty());
    let Some(digest) = request.map(|request| request.call.digest) else { return false };
    let is_known = ctx.state.quarantine.left(digest, ctx.now).is_some();
    if is_known {
        ctx.state.quarantine.add(digest, ctx.now);
    }
    is_known
}

/// Until when it is open whether a call that is nowhere now is the cause of crashes.
pub fn undecided_until(ctx: &Context<'_>, id: RequestId) -> Option<Duration> {
    let request = ctx.state.requests.get(&id).filter(|request| request.live.is_empty())?;
    ctx.state.crashes.open_until(request.call.digest, ctx.now)
}

fn apply_report(ctx: &mut Context<'_>, report: &CrashReport) {
    let known = ctx.state.quarantine.left(Digest(report.digest), ctx.now).is_some();
    ctx.state.crashes.reported(report, known, ctx.now);
}

fn record_cause(ctx: &mut Context<'_>, digest: Digest, reason: &str) {
    ctx.state.crashes.explain(digest);
    let line = LogLine::new("quarantined").with("digest", digest).with("why", reason);
    ctx.log(line.with_measurement(Measurement::Quarantined));
}
