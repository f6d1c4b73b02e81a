//! Handles the outcomes of attempts.

use std::net::SocketAddr;

use super::{Context, crash, demand, finish, remove_usage, silence, step, suspect};
use crate::{
    call::RequestId,
    effect::Effect,
    endpoint::EndpointKey,
    event::{Damage, NotProxied, NotRun, Outcome},
    log_line::{LogLine, Measurement},
    reason::Refusal,
    state::{
        Usage,
        requests::{ActiveAttempt, Hold, KvCache, Step},
    },
};

/// Fraction of a decode endpoint's memory below which it had capacity, so that its refusal of a KV
/// cache has another reason. The refusal itself doesn't say whether capacity or the KV cache was
/// missing.
const UNCROWDED_MEMORY_FRACTION: f64 = 0.85;

/// Maximum number of attempts of a call that peers did not make for this daemon.
const MAX_PROXY_FAILURES: u32 = 4;

/// Handles the outcome of an attempt.
pub fn handle_outcome(ctx: &mut Context<'_>, id: RequestId, number: u32, outcome: Outcome) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    let Some(index) = request.active_attempts.iter().position(|live| live.number == number) else {
        return;
    };
    let live = request.active_attempts[index];
    let is_streaming = outcome == Outcome::Streaming;
    if !is_streaming {
        request.active_attempts.swap_remove(index);
    }
    let may_have_run = matches!(
        outcome,
        Outcome::Answered { .. }
            | Outcome::Streaming
            | Outcome::Finished
            | Outcome::Broken(_)
            | Outcome::TimedOut
    );
    request.awaits_successor &= !(live.is_run() && may_have_run);
    let was_made = matches!(
        outcome,
        Outcome::Prefilled { .. }
            | Outcome::Answered { .. }
            | Outcome::Streaming
            | Outcome::NotRun(_)
    );
    // A slot that is held is not the call yet.
    if was_made && live.step != Step::Hold {
        request.proxy_failures = 0;
    }
    ctx.state.update_takeover(id);
    update_endpoint(ctx, &live, &outcome);
    log_outcome(ctx, id, &live, &outcome);
    if live.silent_since.is_some() {
        silence::record_outcome(ctx, id, &live, &outcome);
    }
    // The usage of a held slot is counted until the completion ends.
    if !is_streaming && !matches!(outcome, Outcome::Held { .. }) {
        remove_usage(ctx.state, live.endpoint, live.usage);
    }
    match outcome {
        Outcome::Held { hold } => handle_held(ctx, id, &live, hold),
        Outcome::Prefilled { handle, .. } => handle_prefilled(ctx, id, &live, handle),
        Outcome::Answered { status } => {
            crash::handle_served(ctx, id, &live);
            handle_answered(ctx, id, number, status);
        }
        Outcome::Streaming => handle_streaming(ctx, id, number),
        Outcome::Finished => {
            crash::handle_served(ctx, id, &live);
            record_generation(ctx, id, &live);
            finish::finish_stream(ctx, id);
        }
        Outcome::NotRun(reason) => {
            count_refusal(ctx, id, &live);
            handle_not_run(ctx, id, &live, matches!(reason, NotRun::Busy));
        }
        Outcome::Unreachable | Outcome::Withheld => handle_not_run(ctx, id, &live, false),
        Outcome::NotProxied(_) => handle_not_proxied(ctx, id, &live),
        Outcome::Broken(_) | Outcome::TimedOut => {
            // The end of a silent attempt was recorded when its endpoint fell silent.
            if live.silent_since.is_none() {
                crash::handle_broken_attempt(ctx, id, &live);
            }
            handle_broken(ctx, id, &live, outcome == Outcome::TimedOut);
        }
    }
}

/// Updates what is known about the endpoint from the outcome.
fn update_endpoint(ctx: &mut Context<'_>, live: &ActiveAttempt, outcome: &Outcome) {
    if let Outcome::Broken(Damage::Endless | Damage::OutOfOrder) = outcome {
        return record_endless(ctx, live.endpoint);
    }
    if let Some(peer) = live.via {
        return update_proxied_endpoint(ctx, live, peer, outcome);
    }
    match outcome {
        Outcome::Unreachable => return suspect::mark_unreachable(ctx, live.endpoint),
        Outcome::TimedOut => return suspect::mark_silent(ctx, live.endpoint),
        Outcome::Withheld | Outcome::NotProxied(_) => return,
        Outcome::Finished | Outcome::Broken(_) => {}
        _ => suspect::record_answer(ctx, live.endpoint),
    }
    let (now, tuning) = (ctx.now, ctx.state.tuning.clone());
    let Some(endpoint) = ctx.state.directory.get_mut(live.endpoint) else { return };
    match outcome {
        Outcome::Held { .. } => endpoint.record_accepted(),
        Outcome::Finished => endpoint.record_whole(now),
        Outcome::Unreachable | Outcome::NotProxied(_) | Outcome::Withheld | Outcome::TimedOut => {}
        Outcome::Prefilled { .. } => {
            let expected = f64::from(live.queued_tokens) / tuning.prefill_tokens_per_second;
            endpoint.record_prefill(now.saturating_sub(live.started), expected);
        }
        Outcome::Answered { .. } | Outcome::Streaming => {
            endpoint.record_answer(now.saturating_sub(live.started));
        }
        Outcome::NotRun(NotRun::Busy) => endpoint.record_refusal(now, &tuning),
        // The list of endpoints is stale: until it is up to date, the address belongs to another
        // instance.
        Outcome::NotRun(NotRun::WrongInstance) => endpoint.avoid(now + tuning.avoid_replaced),
        Outcome::NotRun(NotRun::Other { .. }) => {}
        Outcome::Broken(_) => endpoint.record_failure(now, &tuning),
    }
}

/// Records an answer without end, or whose events are out of order, which shows the same of the endpoint
/// whoever called it.
fn record_endless(ctx: &mut Context<'_>, key: EndpointKey) {
    let Some(endpoint) = ctx.state.directory.get_mut(key) else { return };
    endpoint.record_endless(ctx.now);
    ctx.state.peers.changed = true;
}

/// Updates what is known about an endpoint that a peer called, and about the peer. How long the
/// endpoint takes is not recorded, since the peer's part in it is unknown.
fn update_proxied_endpoint(
    ctx: &mut Context<'_>,
    live: &ActiveAttempt,
    peer: SocketAddr,
    outcome: &Outcome,
) {
    let (key, now) = (live.endpoint, ctx.now);
    match outcome {
        Outcome::NotProxied(failure) => suspect::record_proxy_failure(ctx, key, peer, *failure),
        // Either the peer or the endpoint was lost on the way.
        Outcome::Broken(Damage::Closed) | Outcome::TimedOut | Outcome::Unreachable => {
            let failure = NotProxied::EndpointUnreachable;
            ctx.state.proxies.record_failure(key, peer, failure, now);
        }
        Outcome::Withheld | Outcome::Finished => {}
        _ => suspect::record_reached_by_peer(ctx, key, peer),
    }
    let tuning = ctx.state.tuning.clone();
    let Some(endpoint) = ctx.state.directory.get_mut(key) else { return };
    match outcome {
        Outcome::Held { .. } | Outcome::Answered { .. } | Outcome::Streaming => {
            endpoint.record_accepted();
        }
        Outcome::NotRun(NotRun::Busy) => endpoint.record_refusal(now, &tuning),
        Outcome::NotRun(NotRun::WrongInstance) => endpoint.avoid(now + tuning.avoid_replaced),
        // Its answer was broken, but the peer has reached it.
        Outcome::Broken(damage) if *damage != Damage::Closed => {
            endpoint.record_failure(now, &tuning);
        }
        _ => {}
    }
}

fn log_outcome(ctx: &mut Context<'_>, id: RequestId, live: &ActiveAttempt, outcome: &Outcome) {
    let duration = ctx.now.saturating_sub(live.started);
    let name = outcome.as_str();
    let line = LogLine::new("came")
        .with("attempt", live.number)
        .with_ms("took_ms", duration)
        .with("outcome", name)
        .with_measurement(Measurement::Attempt { outcome: name, duration });
    let line = match outcome {
        Outcome::Held { hold } => line.with("hold", hold),
        Outcome::Prefilled { tokens, .. } => line.with("tokens", tokens),
        Outcome::Answered { status } | Outcome::NotRun(NotRun::Other { status }) => {
            line.with("status", status)
        }
        Outcome::Broken(damage) => line.with("damage", damage.as_str()),
        _ => line,
    };
    ctx.log_request(id, line);
}

/// Records how fast a complete completion was generated.
fn record_generation(ctx: &mut Context<'_>, id: RequestId, live: &ActiveAttempt) {
    let (Some(since), Some(request)) = (live.usage.generating_since, ctx.state.requests.get(&id))
    else {
        return;
    };
    let duration = ctx.now.saturating_sub(since);
    let service = request.service.clone();
    let pace = ctx.state.growth(&service).rate;
    ctx.state.forecasts.service(&service).residence.record(duration.as_secs_f64(), ctx.now);
    ctx.state.generation_stats.entry(service).or_default().record(
        live.usage.tokens_left,
        duration,
        pace,
    );
}

fn handle_held(ctx: &mut Context<'_>, id: RequestId, live: &ActiveAttempt, name: String) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    if ctx.state.directory.may_keep_state(live.endpoint) {
        request.completion.hold_attempts = 0;
        request.completion.hold =
            Some(Hold { endpoint: live.endpoint, name, usage: Some(live.usage) });
        ctx.state.update_takeover(id);
    } else {
        // The hold belonged to the endpoint's former start, or can't be told apart from such a
        // hold.
        request.completion.hold_attempts += 1;
        remove_usage(ctx.state, live.endpoint, live.usage);
    }
    step::proceed(ctx, id);
}

fn handle_prefilled(ctx: &mut Context<'_>, id: RequestId, live: &ActiveAttempt, handle: String) {
    let now = ctx.now;
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    request.completion.prefills += 1;
    if ctx.state.directory.may_keep_state(live.endpoint) {
        request.completion.kv = Some(KvCache { endpoint: live.endpoint, handle, made: now });
    }
    step::proceed(ctx, id);
}

fn handle_answered(ctx: &mut Context<'_>, id: RequestId, number: u32, status: u16) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    request.maybe_run = true;
    let server_error = 500 <= status;
    if server_error && request.may_repeat() && !request.answering {
        request.last_failure = Some(Refusal::Broken);
        if ctx.state.is_retry_useful(id, ctx.now) {
            return step::proceed(ctx, id);
        }
    }
    finish::deliver(ctx, id, number);
}

fn handle_streaming(ctx: &mut Context<'_>, id: RequestId, number: u32) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    request.maybe_run = true;
    let is_first = !std::mem::replace(&mut request.answering, true);
    request.completion.kv = None;
    request.completion.hold = None;
    let is_last = !request.may_repeat() && request.active_attempts.len() == 1;
    if let Some(live) = request.active_attempts.iter_mut().find(|live| live.number == number) {
        live.usage = ctx.state.directory.start_generation(live.endpoint, live.usage, ctx.now);
    }
    ctx.state.update_takeover(id);
    ctx.push(Effect::Deliver { request: id, attempt: number });
    if is_last {
        ctx.push(Effect::DropBody(id));
    }
    if is_first {
        demand::log_first_token(ctx, id);
    }
}

/// Counts a call that reached an endpoint and was refused: the next call is an extra one.
fn count_refusal(ctx: &mut Context<'_>, id: RequestId, live: &ActiveAttempt) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    request.uncharged_refusals += u32::from(live.step != Step::Hold);
}

/// Handles an attempt that the endpoint did not run. The call may be sent elsewhere, whatever its
/// kind.
fn handle_not_run(ctx: &mut Context<'_>, id: RequestId, live: &ActiveAttempt, busy: bool) {
    finish::release_hold_at(ctx, id, live);
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    match live.step {
        Step::Hold => request.completion.hold_attempts += 1,
        Step::Prefill => {
            request.last_failure = Some(Refusal::Full);
        }
        Step::Decode => {
            request.last_failure = Some(Refusal::Full);
            request.counted_attempts = request.counted_attempts.saturating_sub(1);
            if busy && had_capacity(ctx, live) {
                handle_lost_kv(ctx, id);
            }
        }
        Step::Whole => {
            request.last_failure = Some(Refusal::Full);
            request.counted_attempts = request.counted_attempts.saturating_sub(1);
        }
    }
    step::proceed(ctx, id);
}

/// Handles an attempt that the peer did not make: nothing was run. After some of these in a row the
/// call is refused, since its time would only pass with asking further peers. One that goes on because
/// of a silence waits, as it does when an endpoint refuses it.
fn handle_not_proxied(ctx: &mut Context<'_>, id: RequestId, live: &ActiveAttempt) {
    let is_silent = ctx.state.awaits(live.endpoint, ctx.now);
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    request.proxy_failures += 1;
    let is_idle = request.active_attempts.is_empty() && !request.is_handed_over();
    if MAX_PROXY_FAILURES <= request.proxy_failures && is_idle && !is_silent {
        return finish::give_up(ctx, id, Refusal::NoEndpoint);
    }
    handle_not_run(ctx, id, live, false);
}

/// Returns whether the decode endpoint, as far as is known, had capacity for the completion that it
/// refused.
fn had_capacity(ctx: &Context<'_>, live: &ActiveAttempt) -> bool {
    let directory = &ctx.state.directory;
    let Some(endpoint) = directory.get(live.endpoint) else { return false };
    let memory = ctx.state.routes.engine(&endpoint.info.service).map_or(0, |e| e.memory_tokens);
    let growth = ctx.state.growth(&endpoint.info.service);
    endpoint.peak_tokens(Usage::default(), ctx.now, growth)
        < f64::from(memory) * UNCROWDED_MEMORY_FRACTION
}

/// Handles a KV cache that is lost although a decode endpoint held a slot for it. Its endpoint may
/// lose more KV caches, and every prompt that it reads would then be read in vain, so all daemons
/// avoid it for a while.
fn handle_lost_kv(ctx: &mut Context<'_>, id: RequestId) {
    let until = ctx.now + ctx.state.tuning.max_avoid_unreachable;
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    let Some(kv) = request.completion.kv.take() else { return };
    if let Some(endpoint) = ctx.state.directory.get_mut(kv.endpoint) {
        endpoint.avoid_and_report(until);
    }
    ctx.state.peers.changed = true;
    ctx.log_request(id, LogLine::new("kv_lost"));
}

/// Handles an attempt that was sent and not answered: it may have run.
fn handle_broken(ctx: &mut Context<'_>, id: RequestId, live: &ActiveAttempt, silent: bool) {
    ctx.push(Effect::Stop { request: id, attempt: live.number });
    finish::release_hold_at(ctx, id, live);
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    match live.step {
        Step::Hold => request.completion.hold_attempts += 1,
        Step::Prefill => {
            // Only a prefill that an endpoint accepted is free, and this one may not have been
            // accepted.
            request.uncharged_refusals += 1;
            request.completion.prefills += 1;
            request.last_failure = Some(Refusal::Broken);
        }
        Step::Decode | Step::Whole => {
            request.maybe_run = true;
            request.completion.kv = None;
            let refusal = if silent { Refusal::TimedOut } else { Refusal::Broken };
            request.last_failure = Some(refusal);
            if !request.may_repeat() && request.active_attempts.is_empty() {
                return finish::give_up(ctx, id, refusal);
            }
        }
    }
    step::proceed(ctx, id);
}
