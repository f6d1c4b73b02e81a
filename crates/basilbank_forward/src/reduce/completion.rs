//! Decides the next step of a completion: a slot at a decode endpoint, then the prefill, then the
//! decode.
//!
//! The slot is held before the prefill. The KV cache lives only for some hundred milliseconds, so
//! if the decode endpoint turned out to be full after the prefill, the prompt would have been read
//! in vain.

use std::time::Duration;

use super::{
    next_step::{Dispatch, NextStep},
    placement::{self, Criteria, DecodeChoice},
    silence::RECHECK_INTERVAL,
};
use crate::{
    call::{Prompt, RequestId},
    effect::Op,
    endpoint::EndpointKey,
    reason::{Refusal, Retry},
    state::{
        QueuePosition, Request, State, Usage,
        held_back::MAX_URGENT_WAIT,
        requests::{Hold, KvCache, Step},
        service_hash,
    },
};

/// Returns the next step of a completion.
pub fn next_step(state: &mut State, id: RequestId, now: Duration) -> NextStep {
    let Some(request) = state.requests.get(&id) else { return NextStep::Wait };
    if request.has_live_attempt() || request.resume_at.is_some() {
        return NextStep::Wait;
    }
    if request.route.max_attempts <= request.counted_attempts {
        return NextStep::GiveUp(request.last_failure.unwrap_or(Refusal::RetriesExhausted));
    }
    let kv = usable_kv(state, request, now).filter(|_| !request.is_silent());
    match (kv, request.completion.hold.clone()) {
        (Some(kv), Some(hold)) if state.have_same_version(kv.endpoint, hold.endpoint) => {
            request_decode(state, id, kv, hold, now)
        }
        (_, Some(hold)) => request_prefill(state, id, &hold, now),
        (_, None) => request_hold(state, id, now),
    }
}

/// Returns the KV cache of the completion if there is still time to transfer it.
fn usable_kv(state: &State, request: &Request, now: Duration) -> Option<KvCache> {
    let kv = request.completion.kv.clone()?;
    let engine = state.routes.engine(&request.service)?;
    let until = kv.made + engine.kv_ttl.saturating_sub(state.tuning.kv_margin);
    (now < until).then_some(kv)
}

fn request_hold(state: &mut State, id: RequestId, now: Duration) -> NextStep {
    state.refresh_order(now);
    let Some(request) = state.requests.get(&id) else { return NextStep::Wait };
    let timeout = state.tuning.hold_timeout;
    if request.caller_deadline() < now + state.tuning.first_token_delay {
        return NextStep::GiveUp(Refusal::WaitTimedOut);
    }
    if state.tuning.hold_tries <= request.completion.hold_attempts {
        return NextStep::WaitUntil(now + state.tuning.hold_pause);
    }
    let (service, tried) = (request.service.clone(), recently_asked(request));
    let position = state.queue_position(request, now + state.tuning.first_token_delay);
    if let Some(turn_at) = state.own_turn_ahead(request, &position, now) {
        return NextStep::WaitForTurn(turn_at);
    }
    let pool = state.pool(request);
    let awaited = state.awaited_versions(request, now);
    let risky = state.crashes.is_risky(&request.call.traits());
    let prompt = request.call.prompt.clone().unwrap_or_default();
    let usage = Usage::completion(prompt.tokens, prompt.expected_output());
    let is_on_time = request.is_on_time(now + state.tuning.first_token_delay);
    let memory_fraction = match is_on_time || pool.version.is_some() {
        true => state.tuning.memory_fraction,
        false => state.tuning.late_memory_fraction,
    };
    // Transferring a KV cache between data centres takes twice as long, so the decode endpoint is
    // picked near the endpoint that will read the prompt or has read it.
    let pinned = request.needed_version();
    let near = match &request.completion.kv {
        Some(kv) => Some(kv.endpoint),
        None => placement::pick_prefill(state, &service, &[], None, pinned, prompt.tokens, now),
    };
    let hold_ttl = state.routes.engine(&service).map_or(Duration::ZERO, |e| e.max_hold);
    let peers_ahead = match pool.version {
        Some(_) => state.peers_ahead_in(&pool, &position, now),
        None => state.peers_ahead(&service, &position, now),
    };
    let session = prompt.session;
    let criteria =
        Criteria { near, usage, memory_fraction, session, pinned, awaited: &awaited, risky };
    let endpoint = match placement::pick_decode(state, &service, &tried, &criteria, now) {
        DecodeChoice::At(endpoint) if !state.may_go_on_at(id, endpoint, now) => {
            return NextStep::WaitUntil(now + RECHECK_INTERVAL);
        }
        DecodeChoice::At(endpoint) => endpoint,
        DecodeChoice::Full => {
            // Other versions of the endpoints may have capacity, and so may the endpoints for more
            // urgent completions than one that is first only because its rank is owed memory.
            let order = state.demand.order(service_hash(&service));
            let is_owed = order.is_some_and(|order| order.is_owed(&position));
            if pool.version.is_some() || (pinned.is_none() && !is_owed) {
                state.queue.clear_capacity(&pool);
            }
            return NextStep::WaitForCapacity;
        }
        DecodeChoice::Paused(until) => return NextStep::WaitForPause(until),
        DecodeChoice::Silent => return NextStep::WaitUntil(now + RECHECK_INTERVAL),
        DecodeChoice::None => return NextStep::GiveUp(Refusal::NoEndpoint),
        DecodeChoice::VersionGone => return NextStep::GiveUp(Refusal::VersionGone),
    };
    let wait =
        state.tuning.queue_step.saturating_mul(u32::try_from(peers_ahead).unwrap_or(u32::MAX));
    let turn_at = state.queue.turn_at(&pool, wait, now);
    let since = turn_at.saturating_sub(wait);
    let urgent_until = state.urgent_until(&service, &position, now).unwrap_or_default();
    let turn_at = turn_at.max(urgent_until.min(since + MAX_URGENT_WAIT));
    if now < turn_at {
        return NextStep::WaitForTurn(turn_at);
    }
    state.queue.clear_capacity(&pool);
    let op = Op::Hold { tokens: hold_tokens(state, &prompt), ttl: hold_ttl };
    NextStep::Dispatch(Dispatch {
        endpoint,
        op,
        step: Step::Hold,
        usage,
        timeout,
        counted: false,
        retry: None,
    })
}

/// Returns the number of tokens of memory to hold with a slot.
///
/// In a large fleet the views of endpoints' load are late, and an endpoint that seems to have free
/// memory is often full. The endpoint knows its own load, so it is asked for memory for the whole
/// prompt. Otherwise it would accept the completion and later preempt it, or another one, in the
/// middle of a stream, and read its prompt once more. In a small fleet the free memory was checked
/// already, and memory that is held while the prompt is read would only be idle. If most of a
/// completion is output, the endpoint knows only the smaller part of what it needs.
fn hold_tokens(state: &State, prompt: &Prompt) -> u32 {
    let min_tokens = state.tuning.hold_tokens;
    let has_late_views = state.tuning.max_accurate_view_peers < state.peers.known.len();
    let knows_most = prompt.expected_output() < prompt.tokens;
    if has_late_views && knows_most { min_tokens.max(prompt.tokens) } else { min_tokens }
}

/// Returns the decode endpoints that were asked for a slot since the last pause.
fn recently_asked(request: &Request) -> Vec<EndpointKey> {
    request.tried.iter().rev().take(request.completion.hold_attempts as usize).copied().collect()
}

fn request_prefill(state: &mut State, id: RequestId, hold: &Hold, now: Duration) -> NextStep {
    let Some(request) = state.requests.get(&id) else { return NextStep::Wait };
    // Once a prefill endpoint may have read the prompt, another prefill counts as an extra attempt,
    // and the decode after it as one more. The decode endpoint does both in one attempt.
    let is_first = request.completion.prefills == 0 && request.counted_attempts == 0;
    if !is_first || request.is_silent() {
        return request_stream(state, id, hold, now);
    }
    let tokens = request.call.prompt.as_ref().map_or(0, |p| p.tokens);
    let retry = (request.uncharged_refusals != 0).then_some(Retry::NotRun);
    let (service, tried) = (request.service.clone(), request.tried.clone());
    // After a restart of all daemons each of them takes the prefill endpoints for idle, and the
    // prompts of all returning callers would queue there for seconds. The decode endpoints have
    // nothing to do, since all their streams were cut, and have kept many of these prompts.
    if state.is_cold_start(now) {
        return request_stream(state, id, hold, now);
    }
    let near = Some(hold.endpoint);
    let picked = placement::pick_prefill(state, &service, &tried, near, None, tokens, now);
    let Some(request) = state.requests.get(&id) else { return NextStep::Wait };
    let is_worthwhile = |at: &EndpointKey| !is_sooner_at_decode(state, request, *at, tokens, now);
    let Some(endpoint) = picked.filter(is_worthwhile) else {
        return request_stream(state, id, hold, now);
    };
    let timeout = state.tuning.prefill_timeout + prefill_time(state, endpoint, tokens) * 2;
    let (step, usage) = (Step::Prefill, Usage::prefill(tokens));
    NextStep::Dispatch(Dispatch {
        endpoint,
        op: Op::Prefill,
        step,
        usage,
        timeout,
        counted: false,
        retry,
    })
}

/// Returns the time until a prefill endpoint will have read the prompt, including the work that it
/// already has.
fn prefill_time(state: &State, endpoint: EndpointKey, tokens: u32) -> Duration {
    let Some(at) = state.directory.get(endpoint) else { return Duration::ZERO };
    let waiting = f64::from(at.total_tokens() + tokens);
    Duration::from_secs_f64(
        at.base_seconds + waiting / state.tuning.prefill_tokens_per_second * at.slowness,
    )
}

/// Returns whether the decode endpoint should read the prompt itself.
///
/// It reads at a fraction of the prefill rate and slows down the completions that it decodes, so it
/// does so only if the queues of the prefill endpoints would make the completion late and it would
/// be faster. In a surge, or when prefill endpoints fail, these queues grow to seconds within a
/// second, and changing another endpoint's stage takes longer than the surge.
fn is_sooner_at_decode(
    state: &State,
    request: &Request,
    endpoint: EndpointKey,
    tokens: u32,
    now: Duration,
) -> bool {
    let Some(at) = state.directory.get(endpoint) else { return true };
    if now < at.avoided_until {
        return true;
    }
    let tuning = &state.tuning;
    let read_time = prefill_time(state, endpoint, tokens);
    let on_time = now + read_time + tuning.local_prefill_margin <= request.due();
    let rate = tuning.prefill_tokens_per_second * tuning.local_prefill_fraction;
    let own_time = Duration::from_secs_f64(f64::from(tokens) / rate) + tuning.local_prefill_margin;
    !on_time && own_time < read_time
}

/// Returns the step that lets the decode endpoint read the prompt itself.
fn request_stream(state: &State, id: RequestId, hold: &Hold, now: Duration) -> NextStep {
    let Some(request) = state.requests.get(&id) else { return NextStep::Wait };
    let timeout = match request.route.resumable {
        true => state.tuning.stream_timeout,
        false => request.remaining(now),
    };
    let op = Op::Stream { hold: Some(hold.name.clone()) };
    let retry = match request.is_silent() {
        true => Some(Retry::TimedOut),
        false => request.is_repeat().then_some(Retry::NotRun),
    };
    let (endpoint, usage) = (hold.endpoint, hold.usage.unwrap_or_default());
    NextStep::Dispatch(Dispatch {
        endpoint,
        op,
        step: Step::Decode,
        usage,
        timeout,
        counted: true,
        retry,
    })
}

fn request_decode(
    state: &State,
    id: RequestId,
    kv: KvCache,
    hold: Hold,
    now: Duration,
) -> NextStep {
    let Some(request) = state.requests.get(&id) else { return NextStep::Wait };
    let timeout = match request.route.resumable {
        true => state.tuning.stream_timeout,
        false => request.remaining(now),
    };
    let Some(source) = state.directory.get(kv.endpoint).map(|e| e.info.addr) else {
        return request_stream(state, id, &hold, now);
    };
    let (endpoint, usage) = (hold.endpoint, hold.usage.unwrap_or_default());
    let op = Op::Decode { source, handle: kv.handle, hold: Some(hold.name) };
    let retry = request.is_repeat().then_some(Retry::Full);
    NextStep::Dispatch(Dispatch {
        endpoint,
        op,
        step: Step::Decode,
        usage,
        timeout,
        counted: true,
        retry,
    })
}

impl State {
    /// Returns when the next waiting completion has its turn if one of this daemon's own blocks a
    /// completion at this position, at a service with ranks or teams. A new completion would
    /// otherwise take the capacity that a more urgent one waits for.
    fn own_turn_ahead(
        &self,
        request: &Request,
        position: &QueuePosition,
        now: Duration,
    ) -> Option<Duration> {
        if request.rank.is_none() && request.team.is_none() {
            return None;
        }
        let soonest = now + self.tuning.first_token_delay;
        let mut waiting = self.waiting.iter().filter_map(|id| self.requests.get(id));
        let is_ahead = |other: &Request| {
            let needed = other.needed_version();
            let is_same = needed.is_none() || needed == request.needed_version();
            other.call.id != request.call.id
                && other.service == request.service
                && is_same
                && self.queue_position(other, soonest).blocks(position)
        };
        let next_check = self.capacity_checked + self.tuning.hold_pause;
        waiting.any(is_ahead).then(|| self.queue.next_turn.unwrap_or(next_check.max(now)))
    }

    /// Returns whether two endpoints have the same version of their software.
    fn have_same_version(&self, one: EndpointKey, other: EndpointKey) -> bool {
        let version =
            |key| self.directory.get(key).map(|endpoint| endpoint.info.software_version());
        version(one) == version(other)
    }
}
