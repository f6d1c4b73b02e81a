//! Ends requests and releases what is held for them.

use std::time::Duration;

use super::{
    Context, forecast, quota, remove_hold_usage, remove_usage, returns, silence, statement,
};
use crate::{
    call::RequestId,
    effect::Effect,
    endpoint::Stage,
    log_line::{LogLine, Measurement},
    reason::Refusal,
    state::{
        Request, State,
        requests::{ActiveAttempt, Hold, QuotaStage, Step},
    },
};

/// Passes an attempt's answer, which the I/O layer keeps, on to the caller and ends the request.
pub fn deliver(ctx: &mut Context<'_>, id: RequestId, number: u32) {
    ctx.push(Effect::Deliver { request: id, attempt: number });
    record_outpaced(ctx, id, number);
    end_request(ctx, id, "delivered");
}

/// Records the attempts that have not answered as slower than the one that has.
fn record_outpaced(ctx: &mut Context<'_>, id: RequestId, answered: u32) {
    let Some(request) = ctx.state.requests.get(&id) else { return };
    // What a peer's part in the time is isn't known, and a silence is recorded as such.
    let is_outpaced = |live: &&ActiveAttempt| {
        live.number != answered
            && live.step == Step::Whole
            && live.via.is_none()
            && live.silent_since.is_none()
    };
    for live in request.active_attempts.iter().filter(is_outpaced) {
        let waited = ctx.now.saturating_sub(live.started);
        if let Some(endpoint) = ctx.state.directory.get_mut(live.endpoint) {
            endpoint.record_outpaced(waited);
        }
    }
}

/// Ends a request whose stream is complete.
pub fn finish_stream(ctx: &mut Context<'_>, id: RequestId) {
    end_request(ctx, id, "finished");
}

/// Ends a request whose caller has disconnected, and cancels its attempts at once.
pub fn handle_caller_left(ctx: &mut Context<'_>, id: RequestId) {
    end_request(ctx, id, "left");
}

/// Ends a request with a refusal or a failure.
pub fn give_up(ctx: &mut Context<'_>, id: RequestId, refusal: Refusal) {
    let Some(request) = ctx.state.requests.get(&id) else { return };
    // A refusal promises that nothing was run. Once an endpoint may have begun, only a failure,
    // which doesn't promise this, is correct.
    let refusal = match refusal.is_not_run() && request.may_have_run() {
        true => Refusal::Broken,
        false => refusal,
    };
    if request.answering {
        ctx.push(Effect::AbortStream { request: id, refusal });
    } else {
        let retry_after = refusal.is_not_run().then(|| ctx.state.retry_after(id, refusal, ctx.now));
        returns::announce(ctx, id, refusal, retry_after);
        ctx.push(Effect::Refuse { request: id, refusal, retry_after });
    }
    end_request(ctx, id, refusal.as_str());
}

/// Releases a hold whose endpoint did not accept the call.
pub fn release_hold_at(ctx: &mut Context<'_>, id: RequestId, live: &ActiveAttempt) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    if let Some(hold) = request.completion.hold.take_if(|hold| hold.endpoint == live.endpoint) {
        ctx.state.update_takeover(id);
        release_hold(ctx, &hold);
    }
}

/// Releases a hold that no call has taken.
pub fn release_prepared_hold(ctx: &mut Context<'_>, id: RequestId) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    if let Some(hold) = request.completion.hold.take_if(|hold| hold.usage.is_some()) {
        ctx.state.update_takeover(id);
        release_hold(ctx, &hold);
    }
}

/// Releases a hold whose endpoint has begun to leave, or wants a pause.
///
/// Between the hold and the call that uses it the prompt is read, and a lost answer to this can
/// take seconds to be noticed. The completion would then be new work for an endpoint that announced
/// long ago that it accepts none, and would be cut off when that endpoint exits. A KV cache that
/// was made is kept: another endpoint can decode it.
pub fn release_unusable_hold(ctx: &mut Context<'_>, id: RequestId) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    let (directory, now) = (&ctx.state.directory, ctx.now);
    let is_unusable =
        |hold: &mut Hold| directory.get(hold.endpoint).is_none_or(|e| !e.accepts_work(now));
    if let Some(hold) = request.completion.hold.take_if(is_unusable) {
        ctx.state.update_takeover(id);
        release_hold(ctx, &hold);
        ctx.log_request(id, LogLine::new("hold_dropped").with("hold", &hold.name));
    }
}

fn release_hold(ctx: &mut Context<'_>, hold: &Hold) {
    // The target is needed before the usage is removed: an unlisted endpoint is dropped with its
    // last call.
    if let Some(target) = ctx.state.route_to(hold.endpoint, ctx.now) {
        let service = ctx.state.directory.get(hold.endpoint).map(|e| e.info.service.as_str());
        let engine = service.and_then(|service| ctx.state.routes.engine(service));
        let ttl = engine.map_or(Duration::ZERO, |engine| engine.max_hold);
        let effect = Effect::ReleaseHold { target, hold: hold.name.clone() };
        statement::release(ctx, hold.endpoint, ttl, effect);
    }
    remove_hold_usage(ctx.state, hold);
}

fn end_request(ctx: &mut Context<'_>, id: RequestId, outcome: &'static str) {
    silence::record_request_end(ctx, id, outcome);
    let Some(mut request) = ctx.state.requests.remove(&id) else { return };
    ctx.state.update_takeover(id);
    ctx.state.cancel_timers(id, &request.timers);
    ctx.state.peers.changed |= ctx.state.waiting.contains(&id);
    ctx.state.permit_holder.waiting.retain(|other| *other != id);
    let duration = ctx.now.saturating_sub(request.arrived);
    let line = LogLine::new("ended")
        .with("request", &request.call.trace_id)
        .with("outcome", outcome)
        .with_ms("took_ms", duration)
        .with("attempts", request.attempt_count)
        .with_measurement(Measurement::Request { outcome, duration });
    ctx.log(forecast::describe_request(&request, line));
    // This is determined before the attempts are stopped: an endpoint with a running attempt may
    // have begun the call.
    let may_have_run = request.may_have_run();
    for live in std::mem::take(&mut request.active_attempts) {
        ctx.push(Effect::Stop { request: id, attempt: live.number });
        remove_usage(ctx.state, live.endpoint, live.usage);
    }
    if let (QuotaStage::Taken { amount }, Some(team), false) =
        (request.quota, &request.team, may_have_run)
    {
        quota::refund(ctx, team.id, amount);
    }
    release_resources(ctx, request);
    ctx.state.capacity_changed = true;
}

fn release_resources(ctx: &mut Context<'_>, request: Request) {
    if let Some(hold) = &request.completion.hold {
        release_hold(ctx, hold);
    }
    if let Some(kv) = request.completion.kv
        && let Some(target) = ctx.state.route_to(kv.endpoint, ctx.now)
    {
        let engine = ctx.state.routes.engine(&request.service);
        let expiry = kv.made + engine.map_or(Duration::ZERO, |engine| engine.kv_ttl);
        let effect = Effect::FreeKv { target, handle: kv.handle };
        statement::release(ctx, kv.endpoint, expiry.saturating_sub(ctx.now), effect);
    }
}

impl State {
    /// Returns the time after which a refused caller should try again.
    fn retry_after(&mut self, id: RequestId, refusal: Refusal, now: Duration) -> Duration {
        let request = self.requests.get(&id);
        let min_delay = match (refusal, request) {
            (Refusal::Quarantined, Some(request)) => {
                self.quarantine.call_time_left(&request.call.traits(), now)
            }
            (Refusal::RateLimited, Some(request)) => {
                let endpoints = self.endpoints_without_permit(request, now);
                Some(self.permit_holder.available_at(&endpoints).saturating_sub(now))
            }
            (Refusal::EndpointsPaused, Some(request)) => {
                let stage = request.is_completion(self).then_some(Stage::Decode);
                let pinned = request.needed_version();
                let end = self.directory.first_pause_end(&request.service, stage, pinned);
                end.map(|end| end.saturating_sub(now))
            }
            (_, Some(request)) => request.retry_after,
            _ => None,
        };
        let base_delay = self.tuning.retry_after.mul_f64(0.75 + 0.5 * self.rng.unit());
        let delay = base_delay.max(min_delay.unwrap_or_default());
        self.return_delay(id, refusal, delay, now)
    }
}
