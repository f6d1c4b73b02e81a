//! Permits for calls to endpoints with a call limit, a maximum number of calls per second.
//!
//! Every call to such an endpoint needs a permit. One daemon, the same for all daemons that are in
//! contact, issues the permits in the order in which daemons asked. It is asked by a datagram and
//! replies by one some milliseconds later. A lost datagram costs a permit, but never causes one too
//! many.

use std::{net::SocketAddr, time::Duration};

use basilbank_wire::{CallLimitReport, LoadGossip, Permit, PermitKind};

use super::{Context, step};
use crate::{
    call::RequestId,
    endpoint::{EndpointKey, Stage},
    log_line::{LogLine, Measurement},
    state::{Request, State, permit_issuer::Requester},
};

/// Maximum wait for a permit that is requested before any call needs it.
const MAX_PREFETCH_WAIT: Duration = Duration::from_millis(300);

/// Maximum time for which a daemon stays in an issuer's queue: callers of completions give up after
/// it.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(5);

/// Number of calls that a permit for a decode endpoint covers: one that holds the slot and one that
/// uses it.
const CALLS_PER_DECODE_PERMIT: f64 = 2.0;

/// Records the call limit that an endpoint's answer states.
pub fn record_limit(ctx: &mut Context<'_>, key: EndpointKey, rate: Option<f64>) {
    let is_listed = ctx.state.directory.get(key).is_some_and(|endpoint| !endpoint.unlisted);
    if is_listed && ctx.state.call_limits.record_answer(key, rate, ctx.now) {
        handle_change(ctx, key, rate, "answer");
        ctx.state.peers.report_soon();
    }
}

/// Applies the call limits that a peer has seen.
pub fn handle_reported_limits(ctx: &mut Context<'_>, gossip: &LoadGossip) {
    for reported in &gossip.limits {
        let Some(key) = ctx.state.directory.find_by_hash(reported.endpoint) else { continue };
        let seen = ctx.now.saturating_sub(Duration::from_millis(u64::from(reported.ago)));
        if ctx.state.call_limits.apply_report(key, reported.rate, seen) {
            handle_change(ctx, key, reported.rate, "peer");
        }
    }
}

/// Returns the call limits that this daemon has seen, to report them to peers.
pub fn observed_limits(state: &State, now: Duration) -> Vec<CallLimitReport> {
    let reported = state.call_limits.to_report(now).filter_map(|(key, limit)| {
        let ago = now.saturating_sub(limit.seen).as_millis();
        let ago = u32::try_from(ago).unwrap_or(u32::MAX);
        Some(CallLimitReport { endpoint: state.directory.hash(key)?, rate: limit.rate, ago })
    });
    reported.collect()
}

/// Handles a peer's messages about permits. Messages from unknown addresses are dropped before, so
/// an issuer's queue is never longer than the number of peers.
pub fn handle_permits(ctx: &mut Context<'_>, from: SocketAddr, permits: &[Permit]) {
    for permit in permits {
        let Some(key) = ctx.state.directory.find_by_hash(permit.endpoint) else { continue };
        let wait = Duration::from_millis(u64::from(permit.wait));
        match permit.word() {
            PermitKind::Ask => {
                handle_request(ctx, key, Requester::Peer(from), wait.min(MAX_PERMIT_WAIT));
            }
            PermitKind::Wait => handle_wait(ctx, key, wait),
            PermitKind::Grant => handle_grant(ctx, key),
            PermitKind::Unspecified => {}
        }
    }
}

/// Requests permits for endpoints of the call's service until as many are pending as calls wait up
/// to this one. Returns `false` if none of the endpoints will have one within `max_wait`.
pub fn request_permit(ctx: &mut Context<'_>, id: RequestId, max_wait: Duration) -> bool {
    let Some(request) = ctx.state.requests.get(&id) else { return false };
    let candidates = ctx.state.endpoints_without_permit(request, ctx.now);
    let waiting = &ctx.state.permit_holder.waiting;
    let position = waiting.iter().position(|other| *other == id).unwrap_or(waiting.len());
    loop {
        let pending = ctx.state.permit_holder.requested(&candidates, ctx.now);
        if position < pending {
            return true;
        }
        match ctx.state.pick_endpoint_to_ask(&candidates, ctx.now) {
            Some(endpoint) => ask_issuer(ctx, endpoint, max_wait),
            None => return pending != 0,
        }
    }
}

/// Requests a permit for the next call to a call's service if one of its endpoints may have one.
/// Endpoints without a limit don't need this, but only calls show when an endpoint with a limit has
/// become one without.
///
/// If all endpoints have limits, each plain call requests its own permit instead: permits that are
/// requested ahead would expire unused at daemons that get few calls.
pub fn prefetch_permit(ctx: &mut Context<'_>, id: RequestId) {
    let Some(request) = ctx.state.requests.get(&id) else { return };
    let limits = &ctx.state.call_limits;
    let mut endpoints = ctx.state.directory.available(&request.service, ctx.now);
    let has_unlimited = endpoints.any(|(key, _)| limits.get(key).is_none());
    drop(endpoints);
    if !has_unlimited && !request.is_completion(ctx.state) {
        return;
    }
    let candidates = ctx.state.endpoints_without_permit(request, ctx.now);
    if let Some(endpoint) = ctx.state.pick_endpoint_to_ask(&candidates, ctx.now) {
        ask_issuer(ctx, endpoint, MAX_PREFETCH_WAIT);
    }
}

fn ask_issuer(ctx: &mut Context<'_>, key: EndpointKey, max_wait: Duration) {
    ctx.state.permit_holder.record_request(key, max_wait, ctx.now);
    match ctx.state.permit_issuer(key) {
        None => handle_request(ctx, key, Requester::Own, max_wait),
        Some(issuer) => send(ctx, issuer, key, PermitKind::Ask, max_wait),
    }
}

/// Issues the permits that are available, which resumes the calls that waited for them. Stops
/// issuing for endpoints that have no limit any more or have another issuer.
pub fn tick(ctx: &mut Context<'_>) {
    let issued_here: Vec<_> = ctx.state.permit_issuer.endpoints().collect();
    for key in issued_here {
        let has_limit = ctx.state.call_limits.get(key).is_some();
        if !has_limit || ctx.state.permit_issuer(key).is_some() {
            ctx.state.permit_issuer.stop(key);
        }
    }
    while let Some((key, requester)) = ctx.state.permit_issuer.issue(ctx.now) {
        match requester {
            Requester::Own => handle_grant(ctx, key),
            Requester::Peer(peer) => send(ctx, peer, key, PermitKind::Grant, Duration::ZERO),
        }
    }
}

/// Handles a request for a permit. If this daemon considers another one the issuer, it doesn't
/// reply, since otherwise both would issue permits.
fn handle_request(
    ctx: &mut Context<'_>,
    key: EndpointKey,
    requester: Requester,
    max_wait: Duration,
) {
    let Some(limit) = ctx.state.call_limits.get(key) else { return };
    if ctx.state.permit_issuer(key).is_some() {
        return;
    }
    let stage = ctx.state.directory.get(key).and_then(|endpoint| endpoint.info.stage);
    let limit = if stage == Some(Stage::Decode) { limit / CALLS_PER_DECODE_PERMIT } else { limit };
    // Daemons out of reach have an issuer of their own.
    let limit = limit * ctx.state.fleet_fraction(ctx.now);
    let wait = ctx.state.permit_issuer.request(key, limit, (requester, max_wait), ctx.now);
    match requester {
        // The callers of `ask_issuer` check the result themselves, so no call has to be resumed.
        Requester::Own => {
            ctx.state.permit_holder.apply_wait(key, wait, ctx.state.peers.known.len(), ctx.now);
        }
        Requester::Peer(peer) => send(ctx, peer, key, PermitKind::Wait, wait),
    }
}

/// Records how long a permit will take. Calls that can't wait for it look for another one.
fn handle_wait(ctx: &mut Context<'_>, key: EndpointKey, wait: Duration) {
    ctx.state.permit_holder.apply_wait(key, wait, ctx.state.peers.known.len(), ctx.now);
    resume_waiting(ctx);
}

fn handle_grant(ctx: &mut Context<'_>, key: EndpointKey) {
    if ctx.state.call_limits.get(key).is_none() {
        return;
    }
    ctx.state.permit_holder.record_grant(key, ctx.now);
    if let Some(endpoint) = ctx.state.directory.get(key) {
        let line = LogLine::new("permit").with("instance", &endpoint.info.instance);
        ctx.log(line.with_measurement(Measurement::Permit));
    }
    ctx.state.capacity_changed = true;
    resume_waiting(ctx);
}

fn handle_change(ctx: &mut Context<'_>, key: EndpointKey, rate: Option<f64>, by: &str) {
    if let Some(endpoint) = ctx.state.directory.get(key) {
        let line = LogLine::new("call_limit").with("instance", &endpoint.info.instance);
        let rate = rate.map_or("none".to_owned(), |rate| rate.to_string());
        ctx.log(line.with("rate", rate).with("by", by));
    }
    if rate.is_none() {
        ctx.state.permit_holder.remove(key);
        ctx.state.capacity_changed = true;
        resume_waiting(ctx);
    }
}

/// Resumes the calls that wait for a permit. Those that get none wait again, in the same order.
fn resume_waiting(ctx: &mut Context<'_>) {
    for id in std::mem::take(&mut ctx.state.permit_holder.waiting) {
        step::proceed(ctx, id);
    }
}

fn send(ctx: &mut Context<'_>, to: SocketAddr, key: EndpointKey, kind: PermitKind, wait: Duration) {
    let Some(endpoint) = ctx.state.directory.hash(key) else { return };
    let wait = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
    let permit = Permit { endpoint, word: kind.into(), wait };
    ctx.send(vec![to], LoadGossip { permits: vec![permit], ..LoadGossip::default() });
}

impl State {
    /// Returns the peer that issues permits for an endpoint, or `None` if this daemon does.
    fn permit_issuer(&self, key: EndpointKey) -> Option<SocketAddr> {
        self.remote_owner(u64::from(self.directory.hash(key)?), |_| true)
    }

    /// Returns the endpoints of a service that need a permit which this daemon doesn't have.
    pub(super) fn endpoints_without_permit(
        &self,
        request: &Request,
        now: Duration,
    ) -> Vec<EndpointKey> {
        let available = self.directory.available(&request.service, now);
        let allowed = available.filter(|(_, e)| e.info.has_version(request.needed_version()));
        let keys = allowed.map(|(key, _)| key);
        keys.filter(|key| !self.has_permit(*key, now)).collect()
    }

    /// Picks one of these endpoints to request a permit for, at random and in proportion to its
    /// call limit.
    fn pick_endpoint_to_ask(
        &mut self,
        candidates: &[EndpointKey],
        now: Duration,
    ) -> Option<EndpointKey> {
        let eligible = candidates.iter().filter(|key| self.permit_holder.can_request(**key, now));
        let rate = |key: &EndpointKey| self.call_limits.get(*key).unwrap_or_default();
        let eligible: Vec<_> = eligible.map(|key| (*key, rate(key))).collect();
        let mut drawn = self.rng.unit() * eligible.iter().map(|(_, rate)| rate).sum::<f64>();
        let is_drawn = |(_, rate): &&(EndpointKey, f64)| {
            drawn -= rate;
            drawn < 0.0
        };
        eligible.iter().find(is_drawn).or(eligible.first()).map(|(key, _)| *key)
    }

    /// Returns whether the call limit of the endpoint allows to send it a call now.
    pub(super) fn has_permit(&self, key: EndpointKey, now: Duration) -> bool {
        self.call_limits.get(key).is_none() || self.permit_holder.has_permit(key, now)
    }
}
