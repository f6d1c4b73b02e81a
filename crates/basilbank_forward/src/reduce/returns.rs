//! Tells refused callers when to return, and recognizes those that do.
//!
//! A call that was refused for lack of capacity goes before new calls when it returns as it was
//! told. Its caller may return to any daemon, so the daemon that refuses it tells two keepers,
//! picked by rendezvous hashing, and the daemon that it returns to asks them.

use std::{net::SocketAddr, time::Duration};

use basilbank_wire::{LoadGossip, RefusedCall, ReturnAnswer, ReturnQuery};

use super::{Context, forecast};
use crate::{
    call::{Digest, RequestId},
    log_line::{LogLine, Measurement},
    reason::Refusal,
    state::{Request, State, requests::ReturnStage},
};

/// Number of daemons that keep a refused call.
const KEEPERS: usize = 2;

/// Time after which the keepers are asked again, as datagrams may be lost.
const RESEND_AFTER: Duration = Duration::from_millis(25);

/// Time that a call waits for the keepers' answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

/// Divisor of a caller's remaining time for the maximum time that it is told to wait. Callers
/// don't follow a longer one.
const MAX_WAIT_DIVISOR: u32 = 3;

/// Maximum time between the returns of two refused callers.
const MAX_SPACING: Duration = Duration::from_secs(10);

/// Maximum age of a first try that a peer may report.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(60);

/// Finds out whether a completion that begins to wait returns as it was told. Returns whether that
/// is known at once; otherwise the keepers are asked.
pub fn look_up(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let Some(request) = ctx.state.requests.get(&id) else { return false };
    if request.return_stage != ReturnStage::New {
        return request.return_stage == ReturnStage::Settled;
    }
    let digest = request.call.digest;
    if !ctx.state.refuses_early(request) || digest == Digest::default() {
        settle(ctx, id, None);
        return true;
    }
    let first = ctx.state.returns.claim(digest, (None, id.0), ctx.now);
    let keepers = ctx.state.remote_keepers(digest);
    if first.is_some() || keepers.is_empty() {
        settle(ctx, id, first);
        return true;
    }
    let (until, resend_at) = (ctx.now + ANSWER_TIMEOUT, ctx.now + RESEND_AFTER);
    if let Some(request) = ctx.state.requests.get_mut(&id) {
        request.return_stage = ReturnStage::Asked { until, resend_at: Some(resend_at) };
        request.asked_keepers.clone_from(&keepers);
    }
    ctx.set_timer(id, resend_at);
    ctx.set_timer(id, until);
    ask(ctx, id, digest, keepers);
    false
}

fn ask(ctx: &mut Context<'_>, id: RequestId, digest: Digest, keepers: Vec<SocketAddr>) {
    let query = ReturnQuery { digest: digest.0, ticket: id.0 };
    send(ctx, keepers, LoadGossip { return_queries: vec![query], ..LoadGossip::default() });
}

fn send(ctx: &mut Context<'_>, to: Vec<SocketAddr>, gossip: LoadGossip) {
    if !to.is_empty() {
        ctx.state.peers.spend_direct(gossip.wire_bytes() * to.len(), ctx.now);
        ctx.send(to, gossip);
    }
}

/// Asks the keepers again, or counts the call as new once they have had enough time.
pub fn handle_timer(ctx: &mut Context<'_>, id: RequestId) {
    let now = ctx.now;
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    let ReturnStage::Asked { until, resend_at, .. } = &mut request.return_stage else { return };
    if *until <= now {
        return conclude(ctx, id, None);
    }
    if resend_at.take_if(|at| *at <= now).is_some() {
        let (digest, keepers) = (request.call.digest, request.asked_keepers.clone());
        ask(ctx, id, digest, keepers);
    }
}

/// Lets a waiting completion take its place in the queue, or refuses it.
fn conclude(ctx: &mut Context<'_>, id: RequestId, first_arrived: Option<Duration>) {
    settle(ctx, id, first_arrived);
    let Some(request) = ctx.state.requests.get(&id) else { return };
    let has_capacity = ctx.state.queue.has_capacity(&ctx.state.pool(request));
    if !has_capacity && ctx.state.waiting.contains(&id) {
        forecast::admit_to_queue(ctx, id);
    }
    ctx.state.capacity_changed |= first_arrived.is_some();
}

fn settle(ctx: &mut Context<'_>, id: RequestId, first_arrived: Option<Duration>) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    request.return_stage = ReturnStage::Settled;
    let Some(first) = first_arrived else { return };
    request.returned = true;
    request.first_arrived = first;
    let (service, tokens) = (request.service.clone(), request.needed_tokens());
    ctx.state.forecasts.service(&service).returns.record(tokens, ctx.now);
    let line = LogLine::new("returned").with_ms("first_ms", ctx.now.saturating_sub(first));
    ctx.log_request(id, line.with_measurement(Measurement::Returned("recognized")));
}

/// Tells the keepers of a call that is refused for lack of capacity.
pub fn announce(
    ctx: &mut Context<'_>,
    id: RequestId,
    refusal: Refusal,
    retry_after: Option<Duration>,
) {
    let (Some(request), Some(wait)) = (ctx.state.requests.get(&id), retry_after) else { return };
    if !ctx.state.returns_later(request, refusal) {
        return;
    }
    let (digest, first) = (request.call.digest, request.first_arrived);
    let line = LogLine::new("refused")
        .with("reason", refusal.as_str())
        .with("returned", request.returned)
        .with_ms("retry_ms", wait);
    let line = match request.rank {
        Some(rank) => line.with("rank", rank),
        None => line,
    };
    let line = forecast::describe_request(request, line);
    let line = match request.returned {
        true => line.with_measurement(Measurement::Returned("refused")),
        false => line,
    };
    ctx.log_request(id, line);
    if digest == Digest::default() {
        return;
    }
    let remote = ctx.state.remote_keepers(digest);
    if remote.len() < KEEPERS {
        ctx.state.returns.record(digest, wait, first, ctx.now);
    }
    let age = to_ms(ctx.now.saturating_sub(first));
    let call = RefusedCall { digest: digest.0, wait: to_ms(wait), age };
    send(ctx, remote, LoadGossip { refused_calls: vec![call], ..LoadGossip::default() });
}

/// Handles a peer's reports of refused calls, and its questions and answers.
pub fn handle_messages(ctx: &mut Context<'_>, from: SocketAddr, gossip: &LoadGossip) {
    let now = ctx.now;
    for call in &gossip.refused_calls {
        let age = Duration::from_millis(call.age.into()).min(MAX_REPORTED_AGE);
        let wait = Duration::from_millis(call.wait.into());
        ctx.state.returns.record(Digest(call.digest), wait, now.saturating_sub(age), now);
    }
    let returns = &mut ctx.state.returns;
    let answers = gossip.return_queries.iter().map(|query| {
        let first = returns.claim(Digest(query.digest), (Some(from), query.ticket), now);
        let age = first.map_or(0, |first| to_ms(now.saturating_sub(first)));
        ReturnAnswer { ticket: query.ticket, returned: first.is_some(), age }
    });
    let return_answers: Vec<_> = answers.collect();
    if !return_answers.is_empty() {
        send(ctx, vec![from], LoadGossip { return_answers, ..LoadGossip::default() });
    }
    for answer in &gossip.return_answers {
        handle_answer(ctx, from, *answer);
    }
}

fn handle_answer(ctx: &mut Context<'_>, from: SocketAddr, answer: ReturnAnswer) {
    let id = RequestId(answer.ticket);
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    let is_asked = matches!(request.return_stage, ReturnStage::Asked { .. });
    // A keeper that was asked twice may answer twice.
    let Some(place) = request.asked_keepers.iter().position(|keeper| *keeper == from) else {
        return;
    };
    if !is_asked {
        return;
    }
    request.asked_keepers.swap_remove(place);
    let is_last = request.asked_keepers.is_empty();
    if answer.returned {
        let age = Duration::from_millis(answer.age.into()).min(MAX_REPORTED_AGE);
        conclude(ctx, id, Some(ctx.now.saturating_sub(age)));
    } else if is_last {
        conclude(ctx, id, None);
    }
}

fn to_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

impl State {
    /// Returns whether a completion is refused as soon as it can't start in time. That is so where
    /// the configuration says which of the competing calls are more urgent, and for one that may use
    /// only a part of the endpoints.
    pub(super) fn refuses_early(&self, request: &Request) -> bool {
        let is_bound = || self.bound_version(request).is_some();
        self.tuning.refuse_early && (request.rank.is_some() || is_bound())
    }

    /// Returns the keepers of a call other than this daemon.
    fn remote_keepers(&self, digest: Digest) -> Vec<SocketAddr> {
        let mut keepers = self.daemons_by_weight(digest.0, KEEPERS);
        keepers.retain(|keeper| Some(*keeper) != self.peers.own_address);
        keepers
    }

    /// Returns whether a refused call waits for capacity that will be there later.
    fn returns_later(&self, request: &Request, refusal: Refusal) -> bool {
        let lacks_capacity = matches!(
            refusal,
            Refusal::NoRoom | Refusal::WaitTimedOut | Refusal::Full | Refusal::RetriesExhausted
        );
        let is_same = |other: &Request| other.service == request.service;
        let mut waiting = self.waiting.iter().filter_map(|id| self.requests.get(id));
        lacks_capacity
            && self.refuses_early(request)
            && request.is_completion(self)
            && (request.completion.waited || waiting.any(is_same))
    }

    /// Returns the time that the caller of a refused call is told to wait: `delay`, or the time to
    /// its place behind the callers refused before, if it was refused for lack of capacity.
    pub(super) fn return_delay(
        &mut self,
        id: RequestId,
        refusal: Refusal,
        delay: Duration,
        now: Duration,
    ) -> Duration {
        let Some(request) = self.requests.get(&id) else { return delay };
        if !self.returns_later(request, refusal) {
            return delay;
        }
        let (pool, remaining) = (self.pool(request), request.remaining(now));
        let latest = now + remaining / MAX_WAIT_DIVISOR;
        let jitter = self.rng.unit();
        // Callers for whom no capacity is expected are spread over the later half of their time.
        let late_half = latest.saturating_sub((latest - now).mul_f64(jitter / 2.0));
        let start = request.forecast.map(|forecast| forecast.start.unwrap_or(late_half));
        let earliest = (now + delay).max(start.unwrap_or_default()).min(latest);
        let own_tokens = request.needed_tokens() as f64;
        let service = &pool.service;
        let peers = match pool.version {
            Some(_) => self.peers_waiting_in(&pool, now),
            None => self.peers_waiting(service),
        };
        let daemons = f64::from(peers.saturating_add(1));
        let supply = match pool.version {
            Some(version) => forecast::supply(self, service, Some(version), now),
            None => self.forecasts.service(service).supply.clone(),
        };
        let known = self.forecasts.service(service);
        let tokens = known.arrivals.mean_tokens(now).unwrap_or(own_tokens);
        let Some(rate) = supply.map(|supply| supply.steady_rate()) else {
            return delay;
        };
        let spacing = Duration::try_from_secs_f64(tokens * daemons / rate).unwrap_or_default();
        let spacing = spacing.min(MAX_SPACING);
        let limits = (earliest, latest);
        self.returns.take_place(&pool.to_string(), limits, spacing, jitter).saturating_sub(now)
    }
}
