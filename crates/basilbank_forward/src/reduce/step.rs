//! Drives a request: decides its next step and carries it out.

use std::{sync::Arc, time::Duration};

use super::{
    Context, add_usage, call_limit, completion,
    crash::{self, Verdict},
    demand, finish, forecast,
    next_step::{Dispatch, NextStep},
    origin, plain, quota, remove_usage, returns, shutdown, silence, suspect,
};
use crate::{
    call::RequestId,
    effect::{Attempt, Effect},
    log_line::{LogLine, Measurement},
    reason::Refusal,
    state::{
        Request, State,
        requests::{ActiveAttempt, OriginStage, QuotaStage, Step},
    },
};

/// Minimum remaining time for a retry, enough for a connection and an answer. With less time an
/// endpoint would work in vain.
pub const MIN_RETRY_TIME: Duration = Duration::from_millis(20);

/// Divisor of a call's remaining time for the maximum time that it waits for a permit or the end of
/// a pause. After that it is refused, so that its caller can come back and still be served elsewhere
/// on time.
const PERMIT_WAIT_DIVISOR: u32 = 3;

/// Takes the next step of a request, unless an attempt in progress has to be waited for.
pub fn proceed(ctx: &mut Context<'_>, id: RequestId) {
    if !origin::check_origin(ctx, id) || !quota::check_quota(ctx, id) {
        return;
    }
    finish::release_unusable_hold(ctx, id);
    if !silence::may_proceed(ctx, id) {
        return;
    }
    match crash::check(ctx, id) {
        Verdict::Send => {}
        Verdict::Stay => return,
        Verdict::Refuse => return give_up(ctx, id, Refusal::Quarantined),
        Verdict::WaitUntil(until) => return wait_until(ctx, id, until),
    }
    if !ctx.state.call_limits.is_empty() {
        call_limit::prefetch_permit(ctx, id);
    }
    let Some(request) = ctx.state.requests.get(&id) else { return };
    let next = match request.is_completion(ctx.state) {
        true => completion::next_step(ctx.state, id, ctx.now),
        false => plain::next_step(ctx.state, id, ctx.now),
    };
    match next {
        NextStep::Wait => {}
        NextStep::WaitUntil(at) => wait_until(ctx, id, at),
        NextStep::WaitForCapacity | NextStep::WaitForTurn(_) => {
            ctx.state.queue.next_turn = match next {
                NextStep::WaitForTurn(at) => Some(at),
                _ => None,
            };
            let waiting = ctx.state.waiting.len();
            if wait_for_capacity(ctx, id) {
                let is_full = matches!(next, NextStep::WaitForCapacity);
                if returns::look_up(ctx, id) && is_full && !forecast::admit_to_queue(ctx, id) {
                    return;
                }
                let line = demand::describe(ctx.state, id, ctx.now).with("ahead", waiting);
                ctx.log_request(id, forecast::describe(ctx.state, id, line));
                let lead = ctx.state.tuning.first_token_delay;
                let deadline = ctx.state.requests.get(&id).map(|r| r.caller_deadline());
                if let Some(deadline) = deadline {
                    ctx.set_timer(id, deadline.saturating_sub(lead));
                }
            }
        }
        NextStep::WaitForPermit => wait_for_permit(ctx, id),
        NextStep::WaitForPause(until) => wait_for_pause(ctx, id, until),
        NextStep::GiveUp(refusal) => give_up(ctx, id, refusal),
        NextStep::Dispatch(_) if shutdown::refuse_next_attempt(ctx, id) => {}
        NextStep::Dispatch(dispatch) => {
            let is_plain = dispatch.step == Step::Whole;
            start_attempt(ctx, id, dispatch);
            // An idempotent call may be sent to a second endpoint if this one is slow.
            if is_plain {
                proceed(ctx, id);
            }
        }
    }
}

/// Ends a request with a refusal or a failure, unless it has an attempt at a silent endpoint, which may
/// go on.
fn give_up(ctx: &mut Context<'_>, id: RequestId, refusal: Refusal) {
    if !silence::wait(ctx, id) {
        finish::give_up(ctx, id, refusal);
    }
}

/// Lets a request wait until `at`.
pub fn wait_until(ctx: &mut Context<'_>, id: RequestId, at: Duration) {
    if let Some(request) = ctx.state.requests.get_mut(&id) {
        request.resume_at = Some(at);
    }
    ctx.set_timer(id, at);
}

/// Adds a completion to the queue for capacity. Returns whether it is its first wait.
fn wait_for_capacity(ctx: &mut Context<'_>, id: RequestId) -> bool {
    if !ctx.state.waiting.contains(&id) {
        ctx.state.waiting.push(id);
    }
    let completion = ctx.state.requests.get_mut(&id).map(|request| &mut request.completion);
    let is_first =
        completion.is_some_and(|completion| !std::mem::replace(&mut completion.waited, true));
    ctx.state.peers.changed |= is_first;
    is_first
}

/// Lets a call wait for a permit, or refuses it if there will be none in time.
fn wait_for_permit(ctx: &mut Context<'_>, id: RequestId) {
    let now = ctx.now;
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    let max_wait = request.remaining(now) / PERMIT_WAIT_DIVISOR;
    let is_first = request.permit_deadline.is_none();
    let permit_deadline = *request.permit_deadline.get_or_insert(now + max_wait);
    if permit_deadline <= now || !call_limit::request_permit(ctx, id, permit_deadline - now) {
        return give_up(ctx, id, Refusal::RateLimited);
    }
    if !ctx.state.permit_holder.waiting.contains(&id) {
        ctx.state.permit_holder.waiting.push(id);
    }
    if is_first {
        ctx.log_request(
            id,
            LogLine::new("waits_for_permit").with_ms("most_ms", permit_deadline - now),
        );
        ctx.set_timer(id, permit_deadline);
    }
}

/// Lets a call wait until the first endpoint no longer wants a pause, or refuses it at once if that
/// takes too long.
fn wait_for_pause(ctx: &mut Context<'_>, id: RequestId, until: Duration) {
    let Some(request) = ctx.state.requests.get(&id) else { return };
    let max_wait = request.remaining(ctx.now) / PERMIT_WAIT_DIVISOR;
    if ctx.now + max_wait < until {
        return give_up(ctx, id, Refusal::EndpointsPaused);
    }
    wait_until(ctx, id, until);
}

/// Handles a timer of a request: its deadline has passed or a pause is over.
pub fn handle_timer(ctx: &mut Context<'_>, id: RequestId) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    if request.deadline <= ctx.now {
        let refusal =
            if request.may_have_run() { Refusal::TimedOut } else { Refusal::WaitTimedOut };
        return finish::give_up(ctx, id, refusal);
    }
    suspect::probe_unanswered(ctx, id);
    returns::handle_timer(ctx, id);
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    let lead = ctx.state.tuning.first_token_delay;
    if ctx.state.waiting.contains(&id) && request.caller_deadline() <= ctx.now + lead {
        return give_up(ctx, id, Refusal::WaitTimedOut);
    }
    let awaits_answer =
        matches!(request.quota, QuotaStage::Asked { .. }) || request.origin != OriginStage::Settled;
    if awaits_answer || ctx.state.permit_holder.waiting.contains(&id) {
        return proceed(ctx, id);
    }
    if request.resume_at.is_some_and(|at| at <= ctx.now) {
        request.resume_at = None;
        request.completion.hold_attempts = 0;
        proceed(ctx, id);
    }
}

fn start_attempt(ctx: &mut Context<'_>, id: RequestId, dispatch: Dispatch) {
    let daemons = ctx.state.slack_sharers(ctx.now);
    let State { requests, retry_budgets: budgets, tuning, .. } = &mut *ctx.state;
    let Some(request) = requests.get_mut(&id) else { return };
    if let Some(retry) = dispatch.retry {
        let budget = budgets.entry(request.service.clone()).or_default();
        if !budget.try_take(ctx.now, tuning, daemons) {
            let refusal = request.last_failure.unwrap_or(Refusal::RetriesExhausted);
            return give_up(ctx, id, refusal);
        }
        request.uncharged_refusals = request.uncharged_refusals.saturating_sub(1);
        let line = LogLine::new("retry").with("reason", retry.as_str());
        let line = line.with_measurement(Measurement::Retry(retry));
        ctx.log_request(id, line);
        return send_attempt(ctx, id, dispatch);
    }
    send_attempt(ctx, id, dispatch);
}

fn send_attempt(ctx: &mut Context<'_>, id: RequestId, dispatch: Dispatch) {
    let Some(target) = ctx.state.route_to(dispatch.endpoint, ctx.now) else { return };
    // A silent attempt that ended while its successor waited has resumed the request.
    ctx.state.waiting.retain(|other| *other != id);
    if dispatch.step != Step::Hold {
        silence::take_over(ctx, id);
    }
    let endpoint = ctx.state.directory.get(dispatch.endpoint);
    let (calls, tokens) = endpoint.map_or((0, 0), |e| (e.total_calls(), e.total_tokens()));
    let version = endpoint.map_or_else(String::new, |e| e.info.version.clone());
    let ahead = tokens.saturating_add(dispatch.usage.tokens);
    let list_age = ctx.now.saturating_sub(ctx.state.directory.read_at);
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    let number = request.attempt_count;
    request.attempt_count += 1;
    request.counted_attempts += u32::from(dispatch.counted);
    request.tried.push(dispatch.endpoint);
    let live = ActiveAttempt {
        number,
        endpoint: dispatch.endpoint,
        usage: dispatch.usage,
        queued_tokens: ahead,
        started: ctx.now,
        step: dispatch.step,
        via: target.via,
        wrote_on: false,
        silent_since: None,
    };
    request.active_attempts.push(live);
    ctx.state.update_takeover(id);
    let Some(request) = ctx.state.requests.get(&id) else { return };
    let remaining = request.remaining(ctx.now);
    let has_attempts_left = request.counted_attempts < request.route.max_attempts;
    let stall_timeout =
        (request.route.resumable && has_attempts_left).then_some(ctx.state.tuning.stall_timeout);
    let line = LogLine::new("send")
        .with("attempt", number)
        .with("op", dispatch.op.as_str())
        .with("instance", &target.instance)
        .with("version", version)
        .with_ms("left_ms", remaining)
        .with("calls_there", calls)
        .with("tokens_there", tokens)
        .with_ms("list_ms", list_age);
    let line = match target.via {
        Some(peer) => line.with("via", peer),
        None => line,
    };
    let answer_timeout = dispatch.timeout.min(remaining);
    let team = request.team.as_ref().map(|team| Arc::clone(&team.name));
    // Only engines interrupt a running call for a more urgent one, and know no other order.
    let rank = request.rank.filter(|_| request.call.prompt.is_some());
    let op = dispatch.op;
    let attempt =
        Attempt { number, target, op, team, rank, remaining, answer_timeout, stall_timeout };
    // The permit for holding the slot also covers the call that uses it.
    if dispatch.step != Step::Decode {
        ctx.state.permit_holder.use_permit(dispatch.endpoint);
    }
    add_usage(ctx.state, dispatch.endpoint, dispatch.usage);
    if dispatch.step != Step::Hold {
        forecast::record_start(ctx, id);
    }
    if dispatch.step == Step::Decode {
        replace_hold_usage(ctx.state, id);
    }
    if live.via.is_none() && live.step != Step::Hold {
        ctx.set_timer(id, ctx.now + suspect::DOUBT_AFTER);
    }
    ctx.state.peers.urgent |= dispatch.step == Step::Hold;
    ctx.log_request(id, line);
    ctx.push(Effect::Start { request: id, attempt });
}

/// Removes the usage of the hold that a call has taken. Counting both would make the endpoint look
/// fuller to all daemons than it is.
fn replace_hold_usage(state: &mut State, id: RequestId) {
    let hold = state.requests.get_mut(&id).and_then(|request| request.completion.hold.as_mut());
    let counted = hold.and_then(|hold| Some((hold.endpoint, hold.usage.take()?)));
    if let Some((endpoint, usage)) = counted {
        remove_usage(state, endpoint, usage);
    }
}

impl Request {
    /// Returns whether this is a completion for a service whose endpoints have stages.
    pub(super) fn is_completion(&self, state: &State) -> bool {
        self.call.prompt.is_some() && state.routes.engine(&self.service).is_some()
    }
}

impl State {
    /// Returns whether another attempt may help: there is enough time and retry budget, and an
    /// endpoint that has not had the call.
    pub(super) fn is_retry_useful(&mut self, id: RequestId, now: Duration) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        if request.remaining(now) < MIN_RETRY_TIME {
            return false;
        }
        let (service, tried) = (request.service.clone(), request.tried.clone());
        let has_untried =
            self.directory.available(&service, now).any(|(key, _)| !tried.contains(&key));
        let daemons = self.slack_sharers(now);
        let budget = self.retry_budgets.entry(service).or_default();
        has_untried && 1.0 <= budget.available(now, &self.tuning, daemons)
    }
}
