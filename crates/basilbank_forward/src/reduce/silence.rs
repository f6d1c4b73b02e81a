//! Attempts whose endpoint has fallen silent.
//!
//! A sound endpoint may be silent for a second and go on. So a silent attempt is kept: it ends when
//! its successor is sent, its connection breaks, or the request ends. Until then a successor is only
//! prepared, and dropped if the endpoint goes on. Whether the request may go on elsewhere is decided
//! first; while it may not, it waits and is looked at again.

use std::time::Duration;

use super::{Context, crash, finish, remove_usage, shutdown, step, suspect};
use crate::{
    call::RequestId,
    effect::Effect,
    endpoint::EndpointKey,
    event::{NotProxied, Outcome},
    log_line::{LogLine, Measurement},
    reason::Refusal,
    route::RouteKind,
    state::{
        Request, State,
        requests::{ActiveAttempt, Step},
    },
};

/// Time until a silent attempt that nothing can take over is looked at again.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Handles an attempt whose endpoint sends nothing and doesn't answer a liveness request.
pub fn handle_silent(ctx: &mut Context<'_>, id: RequestId, number: u32, silent_for: Duration) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    let is_reported = |live: &&mut ActiveAttempt| live.number == number;
    let Some(live) = request.active_attempts.iter_mut().find(is_reported) else { return };
    let is_first = live.silent_since.is_none();
    live.silent_since.get_or_insert(ctx.now.saturating_sub(silent_for));
    let live = *live;
    if is_first {
        forget_used_hold(request);
        ctx.state.update_takeover(id);
        log_silence(ctx, id, &live, silent_for);
        crash::handle_broken_attempt(ctx, id, &live);
    }
    record_unreachable(ctx, &live);
    step::proceed(ctx, id);
}

/// Handles an attempt whose endpoint has sent something again: what was prepared for its successor
/// is dropped.
pub fn handle_resumed(ctx: &mut Context<'_>, id: RequestId, number: u32) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    let is_resumed =
        |live: &&mut ActiveAttempt| live.number == number && live.silent_since.is_some();
    let Some(live) = request.active_attempts.iter_mut().find(is_resumed) else { return };
    let silent = *live;
    live.silent_since = None;
    request.resume_at = None;
    ctx.state.update_takeover(id);
    ctx.state.waiting.retain(|other| *other != id);
    ctx.state.permit_holder.waiting.retain(|other| *other != id);
    log_end(ctx, id, &silent, "resumed");
    step::proceed(ctx, id);
}

/// Records the outcome of a silent attempt.
pub fn record_outcome(
    ctx: &mut Context<'_>,
    id: RequestId,
    live: &ActiveAttempt,
    outcome: &Outcome,
) {
    let end = match outcome {
        Outcome::Broken(_) | Outcome::TimedOut => outcome.as_str(),
        _ => "resumed",
    };
    log_end(ctx, id, live, end);
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    request.resume_at = None;
    if *outcome == Outcome::Streaming {
        let answered = request.active_attempts.iter_mut().find(|other| other.number == live.number);
        answered.into_iter().for_each(|answered| answered.silent_since = None);
        ctx.state.update_takeover(id);
        ctx.state.waiting.retain(|other| *other != id);
        finish::release_prepared_hold(ctx, id);
    }
}

/// Records that the attempts of a request that are silent end with the request.
pub fn record_request_end(ctx: &mut Context<'_>, id: RequestId, outcome: &'static str) {
    let Some(request) = ctx.state.requests.get(&id) else { return };
    let is_silent = |live: &&ActiveAttempt| live.silent_since.is_some();
    let silent: Vec<_> = request.active_attempts.iter().filter(is_silent).copied().collect();
    silent.iter().for_each(|live| log_end(ctx, id, live, outcome));
}

/// Returns whether the next step of a request may be decided now. A slot for a successor that isn't
/// needed, or that can't be used, is released.
pub fn may_proceed(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let Some(request) = ctx.state.requests.get(&id) else { return false };
    if !request.is_handed_over() {
        if request.active_attempts.iter().any(ActiveAttempt::is_run) {
            finish::release_prepared_hold(ctx, id);
        }
        return true;
    }
    // A slot that is asked for is awaited first.
    if request.has_live_attempt() || ctx.state.may_be_taken_over(id, ctx.now) {
        return true;
    }
    wait(ctx, id);
    false
}

/// Lets a request that has a silent attempt, or had one and has no successor yet, wait in place of
/// being given up. Returns whether it does.
pub fn wait(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let Some(request) = ctx.state.requests.get_mut(&id).filter(|request| request.is_handed_over())
    else {
        return false;
    };
    request.permit_deadline = None;
    ctx.state.waiting.retain(|other| *other != id);
    ctx.state.permit_holder.waiting.retain(|other| *other != id);
    if !ctx.state.requests.get(&id).is_some_and(|request| request.awaits_prefill()) {
        finish::release_prepared_hold(ctx, id);
    }
    step::wait_until(ctx, id, ctx.now + RECHECK_INTERVAL);
    true
}

/// Stops the silent attempts of a request, whose successor is about to be sent. Idempotent plain calls
/// keep them, as they may be at two endpoints.
pub fn take_over(ctx: &mut Context<'_>, id: RequestId) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    let is_idempotent = request.route.kind == RouteKind::Idempotent;
    let ends = |live: &mut ActiveAttempt| {
        live.silent_since.is_some() && !(is_idempotent && live.step == Step::Whole)
    };
    let silent: Vec<_> = request.active_attempts.extract_if(.., ends).collect();
    for live in &silent {
        if live.is_run() {
            request.awaits_successor = true;
            request.maybe_run = true;
            request.completion.kv = None;
            request.last_failure = Some(Refusal::TimedOut);
        } else {
            request.completion.prefills += 1;
            request.last_failure = Some(Refusal::Broken);
        }
    }
    ctx.state.update_takeover(id);
    for live in &silent {
        ctx.push(Effect::Stop { request: id, attempt: live.number });
        remove_usage(ctx.state, live.endpoint, live.usage);
        log_end(ctx, id, live, "taken_over");
    }
}

/// Forgets the slot that a decode attempt has taken: its successor needs another one.
fn forget_used_hold(request: &mut Request) {
    request.completion.hold.take_if(|hold| hold.usage.is_none());
}

fn record_unreachable(ctx: &mut Context<'_>, live: &ActiveAttempt) {
    match live.via {
        None => suspect::mark_silent(ctx, live.endpoint),
        // Either the peer or the endpoint is silent.
        Some(peer) => {
            let failure = NotProxied::EndpointUnreachable;
            ctx.state.proxies.record_failure(live.endpoint, peer, failure, ctx.now);
        }
    }
}

fn log_silence(ctx: &mut Context<'_>, id: RequestId, live: &ActiveAttempt, silent_for: Duration) {
    let line = describe(ctx.state, "silent", live).with_ms("silent_ms", silent_for);
    ctx.log_request(id, line.with_measurement(Measurement::Silence));
}

fn log_end(ctx: &mut Context<'_>, id: RequestId, live: &ActiveAttempt, end: &'static str) {
    let Some(since) = live.silent_since else { return };
    let line = describe(ctx.state, "silence_ended", live)
        .with("end", end)
        .with_ms("silent_ms", ctx.now.saturating_sub(since));
    ctx.log_request(id, line.with_measurement(Measurement::SilenceEnded(end)));
}

fn describe(state: &State, name: &'static str, live: &ActiveAttempt) -> LogLine {
    let endpoint = state.directory.get(live.endpoint);
    let instance = endpoint.map_or("", |endpoint| endpoint.info.instance.as_str());
    LogLine::new(name).with("attempt", live.number).with("instance", instance)
}

impl Request {
    /// Returns whether its prompt is being read.
    fn awaits_prefill(&self) -> bool {
        self.active_attempts.iter().any(|live| live.step == Step::Prefill)
    }
}

impl State {
    /// Returns whether a request with a silent attempt may go on at another endpoint: it may run once
    /// more, it would end before a shutdown does, and there are attempts, time and retry budget left
    /// beyond what others of its service are about to take.
    fn may_be_taken_over(&mut self, id: RequestId, now: Duration) -> bool {
        if shutdown::would_cut(self, id, now) {
            return false;
        }
        let Some(request) = self.requests.get(&id) else { return false };
        let may_run = !request.may_have_run() || request.route.is_repeatable();
        let has_attempts_left = request.counted_attempts < request.route.max_attempts;
        if !may_run || !has_attempts_left || request.remaining(now) < step::MIN_RETRY_TIME {
            return false;
        }
        let service = request.service.clone();
        let prepared = self.count_other_takeovers(&service, id);
        let daemons = self.slack_sharers(now);
        let budget = self.retry_budgets.entry(service).or_default();
        prepared as f64 + 1.0 <= budget.available(now, &self.tuning, daemons)
    }

    /// Returns whether a request that has a silent attempt may go on at an endpoint: not at one that
    /// doesn't answer either.
    pub(super) fn may_go_on_at(&self, id: RequestId, endpoint: EndpointKey, now: Duration) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let is_silent_there =
            |live: &ActiveAttempt| live.silent_since.is_some() && live.endpoint == endpoint;
        let is_dark = self.suspects.is_unreachable(endpoint)
            || request.active_attempts.iter().any(is_silent_there);
        !request.is_silent() || !is_dark || self.proxies.is_reached(endpoint, now)
    }
}
