//! Detection of calls that crash the endpoints that run them, and of parts of prompts that do.

use std::time::Duration;

use basilbank_wire::{CrashReport, LoadGossip, QuarantinedCall};

use super::{Context, step, suspect};
use crate::{
    call::{Cause, Digest, RequestId, SharedTraits},
    endpoint::EndpointKey,
    log_line::{LogLine, Measurement},
    state::{
        Request, State,
        crashes::CrashEvidence,
        quarantine,
        requests::{ActiveAttempt, Step},
    },
};

/// Whether a request may be sent to an endpoint now, as far as crashes go.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// It may.
    Send,
    /// It may not, since it is known to crash endpoints.
    Refuse,
    /// It goes on at the endpoint that has it, and to no second one.
    Stay,
    /// Until this time it is undecided whether it crashes endpoints.
    WaitUntil(Duration),
}

/// Handles an attempt that broke off. The endpoint is probed to find out whether it crashed, since
/// a connection can also be reset for other reasons.
pub fn handle_broken_attempt(ctx: &mut Context<'_>, id: RequestId, live: &ActiveAttempt) {
    // A peer that makes a call sees for itself whether the endpoint crashed.
    if live.step == Step::Hold || live.via.is_some() {
        return;
    }
    let Some(request) = ctx.state.requests.get(&id) else { return };
    let (traits, run_time) = (request.call.traits(), ctx.now.saturating_sub(live.started));
    record_broken_call(ctx, live.endpoint, traits, live.wrote_on, run_time);
}

/// Records a call that broke off at an endpoint, and probes the endpoint. If the endpoint had been
/// writing the answer for some time, the parts of the prompt are not the cause.
pub fn record_broken_call(
    ctx: &mut Context<'_>,
    key: EndpointKey,
    traits: SharedTraits,
    wrote_on: bool,
    run_time: Duration,
) {
    // An endpoint that leaves aborts its calls; they are not the cause of its end.
    if ctx.state.directory.get(key).is_some_and(|e| e.is_in_service()) {
        let parts = if wrote_on { Vec::new() } else { traits.parts };
        let traits = SharedTraits { parts, ..traits };
        ctx.state.crashes.record_broken_call(key, traits, run_time, ctx.now);
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
    for call in reports.chunk_by(|a, b| a.digest == b.digest) {
        let line = LogLine::new("crashed").with("digest", Digest(call[0].digest));
        let line = line.with("endpoint", format!("{hash:08x}")).with("ran_ms", call[0].ran);
        let parts: usize = call.iter().map(|report| report.parts.len()).sum();
        ctx.log(line.with("accused_parts", parts));
    }
    reports.iter().for_each(|report| apply_report(ctx, report, true));
    ctx.state.peers.report_soon();
}

/// Handles a stream that has been written for some time: none of the parts of its prompt crashes
/// endpoints.
pub fn handle_wrote_on(ctx: &mut Context<'_>, id: RequestId, number: u32) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    let Some(live) = request.active_attempts.iter_mut().find(|live| live.number == number) else {
        return;
    };
    live.wrote_on = true;
    for part in request.call.traits().parts {
        clear(ctx, Cause::Part(part));
    }
}

/// Clears a call of suspicion after it has run to its end. Its answer may have been too short to
/// show at once that the parts of its prompt don't crash endpoints.
pub fn handle_served(ctx: &mut Context<'_>, id: RequestId, live: &ActiveAttempt) {
    let Some(traits) = ctx.state.requests.get(&id).map(|request| request.call.traits()) else {
        return;
    };
    clear(ctx, Cause::Call(traits.digest));
    if !live.wrote_on && !traits.parts.is_empty() {
        ctx.state.crashes.record_short_answer(live.endpoint, traits.parts, ctx.now);
    }
}

/// Clears something of suspicion and releases it from quarantine.
fn clear(ctx: &mut Context<'_>, cause: Cause) {
    let is_released = release(ctx, cause, "proof");
    if is_released {
        ctx.state.crashes.announce_cleared(cause);
    }
    let is_suspect = ctx.state.crashes.is_suspect(cause);
    ctx.state.crashes.clear_and_announce(cause, ctx.now);
    // Parts that many calls share are cleared with the next datagram that is sent anyway.
    if is_released || (is_suspect && !cause.is_part()) {
        ctx.state.peers.report_soon();
    }
}

fn release(ctx: &mut Context<'_>, cause: Cause, reason: &str) -> bool {
    let is_released = ctx.state.quarantine.remove(cause);
    if is_released {
        ctx.log(with_cause(LogLine::new("released"), cause).with("why", reason));
    }
    is_released
}

/// Applies what a peer reports about crashes and quarantined calls.
pub fn handle_gossip(ctx: &mut Context<'_>, gossip: &LoadGossip) {
    for reported in &gossip.quarantined {
        handle_quarantined(ctx, reported);
    }
    let calls = gossip.cleared.iter().map(|digest| Cause::Call(Digest(*digest)));
    let parts = gossip.cleared_parts.iter().map(|part| Cause::Part(*part));
    for cause in calls.chain(parts) {
        release(ctx, cause, "peer");
        ctx.state.crashes.clear_by_peer(cause, ctx.now);
    }
    for report in &gossip.crashes {
        apply_report(ctx, report, false);
    }
}

/// Applies a peer's report of something in quarantine.
///
/// A daemon that has just seen a part of prompts to be sound goes by its own evidence, and so does one
/// that has seen it in all of them, unless its own calls with it were at crashes. If the peer is wrong,
/// the calls that are still sent show it, and the part is released everywhere.
fn handle_quarantined(ctx: &mut Context<'_>, reported: &QuarantinedCall) {
    let cause = quarantine::reported_cause(reported);
    let found_at = quarantine::found_at(reported, ctx.now);
    if cause.is_part() && ctx.state.crashes.is_refuted(cause, found_at) {
        return ctx.state.crashes.announce_cleared(cause);
    }
    let is_known = ctx.state.quarantine.time_left(cause, ctx.now).is_some();
    let is_in_all = ctx.state.common_parts.is_in_all(cause, ctx.now) == Some(true)
        && !ctx.state.crashes.is_own_suspect(cause);
    let is_doubted = is_in_all || ctx.state.crashes.was_sound(cause, found_at);
    if cause.is_part() && !is_known && is_doubted {
        return;
    }
    if ctx.state.quarantine.apply_report(reported, ctx.now) {
        record_cause(ctx, cause, "peer");
    }
}

/// Looks for the cause of crashes once all daemons have had time to report them.
pub fn tick(ctx: &mut Context<'_>) {
    let dropped = ctx.state.crashes.take_dropped() + ctx.state.quarantine.take_dropped();
    if dropped != 0 {
        let line = LogLine::new("crash_evidence_dropped").with("count", dropped);
        ctx.log(line.with_measurement(Measurement::EvidenceDropped(dropped)));
    }
    while let Some(parts) = ctx.state.crashes.take_proof(ctx.now) {
        parts.into_iter().for_each(|part| clear(ctx, Cause::Part(part)));
    }
    if !ctx.state.crashes.is_analysis_due(ctx.now) {
        return;
    }
    while let Some((cause, crashes)) = find_cause(ctx) {
        ctx.state.quarantine.add(cause, ctx.now);
        record_cause(ctx, cause, &format!("crashes_{crashes}"));
        ctx.state.peers.report_soon();
    }
}

fn find_cause(ctx: &mut Context<'_>) -> Option<(Cause, usize)> {
    let State { crashes, common_parts, .. } = &mut *ctx.state;
    crashes.find_cause(common_parts, ctx.now)
}

/// Returns whether a request may be sent to an endpoint. If not, since it is in quarantine, that
/// prolongs its quarantine.
pub fn check(ctx: &mut Context<'_>, id: RequestId) -> Verdict {
    let Some(request) = ctx.state.requests.get(&id) else { return Verdict::Send };
    let traits = request.call.traits();
    let is_running = !request.active_attempts.is_empty();
    let is_live = request.has_live_attempt();
    if ctx.state.quarantine.extend(&traits, ctx.now) {
        return if is_running { Verdict::Stay } else { Verdict::Refuse };
    }
    // Other calls may be the cause of the crashes, so this one is not refused. It waits, since it
    // must not crash another endpoint meanwhile.
    match ctx.state.crashes.undecided_until(&traits, ctx.now) {
        None => Verdict::Send,
        Some(_) if is_live => Verdict::Stay,
        Some(until) => Verdict::WaitUntil(until),
    }
}

fn apply_report(ctx: &mut Context<'_>, report: &CrashReport, is_own: bool) {
    let traits = SharedTraits { digest: Digest(report.digest), parts: report.parts.clone() };
    let in_quarantine = |cause: &Cause| ctx.state.quarantine.time_left(*cause, ctx.now).is_some();
    let cause = traits.causes().find(in_quarantine);
    ctx.state.crashes.apply_report(report, cause, is_own, ctx.now);
}

fn record_cause(ctx: &mut Context<'_>, cause: Cause, reason: &str) {
    ctx.state.crashes.mark_explained(cause);
    let line = with_cause(LogLine::new("quarantined"), cause).with("why", reason);
    ctx.log(line.with_measurement(Measurement::Quarantined));
    refuse_idle(ctx, cause);
}

/// Refuses the calls that wait here and can't be served any more.
fn refuse_idle(ctx: &mut Context<'_>, cause: Cause) {
    let is_idle = |request: &Request| {
        request.active_attempts.is_empty() && request.call.traits().causes().any(|own| own == cause)
    };
    let idle = ctx.state.requests.iter().filter(|(_, request)| is_idle(request));
    let mut ids: Vec<_> = idle.map(|(id, _)| *id).collect();
    ids.sort_unstable();
    ctx.state.waiting.retain(|id| !ids.contains(id));
    ids.into_iter().for_each(|id| step::proceed(ctx, id));
}

fn with_cause(line: LogLine, cause: Cause) -> LogLine {
    match cause {
        Cause::Call(digest) => line.with("digest", digest),
        Cause::Part(id) => line.with("part", format!("{id:x}")),
    }
}
