//! Endpoints that became unreachable.
//!
//! An endpoint that crashed, or whose machine was cut off, stays listed for some heartbeats. It has
//! the least work of all, so every daemon picks it first, and each completion that tries it loses a
//! quarter of a second. If several endpoints are unreachable and every daemon finds this out by
//! itself, and again whenever it has stopped avoiding them, half of all completions meet one. So
//! the first daemon that meets one reports it to its peers. From then on a small probe takes the
//! place of callers' work, and the endpoint gets work again only when it answers the probe.
//!
//! Or the endpoint is sound, and this daemon's path to it is cut. So a peer is asked to probe it as
//! well. If it answers the peer, peers make this daemon's calls to it until its own probes are
//! answered.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use super::{Context, crash};
use crate::{
    call::{RequestId, SharedTraits},
    effect::Effect,
    endpoint::EndpointKey,
    event::{Liveness, NotProxied, ProxiedEnd},
    log_line::LogLine,
    purpose::Purpose,
    state::{
        Reach, State,
        crashes::CrashEvidence,
        requests::{ActiveAttempt, Step},
    },
};

/// Pause before an endpoint is probed. It doubles with each probe without an answer.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause between probes: an endpoint that comes back waits this long for work.
const MAX_PROBE_PAUSE: Duration = Duration::from_millis(1000);

/// Time beyond the next probe for which an endpoint is avoided: the probe's own timeout and one
/// reducer step.
const AVOID_MARGIN: Duration = Duration::from_millis(500);

/// Time without an answer after which an endpoint is probed.
pub const DOUBT_AFTER: Duration = Duration::from_millis(250);

/// If more than one in this many endpoints, or endpoints of a service, are unreachable, this daemon
/// is more likely cut off itself than all of them have failed, so it does not report them to peers.
const CUT_OFF_DIVISOR: usize = 3;

/// Marks an endpoint that did not answer in time as unreachable, and probes it at once.
pub fn mark_silent(ctx: &mut Context<'_>, key: EndpointKey) {
    mark_unreachable(ctx, key);
    if let Some(suspect) = ctx.state.suspects.get_mut(key) {
        suspect.record_silence(ctx.now);
    }
}

/// Marks an endpoint that could not be reached or did not answer in time as unreachable.
pub fn mark_unreachable(ctx: &mut Context<'_>, key: EndpointKey) {
    if !ctx.state.directory.may_keep_state(key) {
        return;
    }
    let due = ctx.now + MIN_PROBE_PAUSE;
    if ctx.state.suspects.add_unreachable(key, due) {
        announce_unreachable(ctx, key);
        avoid(ctx, key, due + AVOID_MARGIN);
        probe_by_peer(ctx, key);
    }
}

/// Schedules an immediate probe of an endpoint at which an attempt broke off. The endpoint stays in
/// use until a probe fails.
pub fn request_probe(ctx: &mut Context<'_>, key: EndpointKey) {
    if ctx.state.directory.may_keep_state(key) {
        ctx.state.suspects.add_doubtful(key, ctx.now);
    }
}

/// Probes the endpoints at which a request has waited for an answer for some time. Its connections may
/// have gone silent together with the endpoint's machine, and so may those that further calls would
/// be sent over. The request itself goes on: its endpoint may only be slow.
pub fn probe_unanswered(ctx: &mut Context<'_>, id: RequestId) {
    let Some(request) = ctx.state.requests.get(&id).filter(|request| !request.answering) else {
        return;
    };
    let now = ctx.now;
    let is_late = |attempt: &&ActiveAttempt| {
        attempt.via.is_none() && attempt.step != Step::Hold && attempt.started + DOUBT_AFTER <= now
    };
    let late = request.active_attempts.iter().filter(is_late);
    let keys: Vec<_> = late.map(|attempt| attempt.endpoint).collect();
    for key in keys {
        if ctx.state.suspects.doubt(key, now) {
            request_probe(ctx, key);
        }
    }
}

/// Handles an answer over a connection that may have been open before the endpoint became
/// unreachable. It clears a doubt; otherwise it shows nothing of new connections, which a probe is
/// sent over at once.
pub fn record_answer(ctx: &mut Context<'_>, key: EndpointKey) {
    match ctx.state.suspects.get_mut(key) {
        Some(suspect) if suspect.is_unreachable() => {
            suspect.due = suspect.due.map(|_| ctx.now);
        }
        Some(_) => drop(ctx.state.suspects.remove(key)),
        None => {}
    }
}

fn mark_reachable(ctx: &mut Context<'_>, key: EndpointKey) {
    if !ctx.state.suspects.remove(key) {
        return;
    }
    ctx.state.suspects.record_return(key, ctx.now);
    let Some(endpoint) = ctx.state.directory.get_mut(key) else { return };
    endpoint.record_recovery();
    let line = LogLine::new("endpoint_back").with("instance", &endpoint.info.instance);
    ctx.log(line);
    ctx.state.peers.changed = true;
    ctx.state.capacity_changed = true;
}

/// Handles the result of a probe of this daemon itself.
pub fn handle_probe(ctx: &mut Context<'_>, key: EndpointKey, liveness: Liveness) {
    match liveness {
        Liveness::Alive => return handle_answered_probe(ctx, key),
        Liveness::Withheld => return postpone_probe(ctx, key),
        Liveness::Unreachable | Liveness::Silent => {}
    }
    let now = ctx.now;
    let Some(suspect) = ctx.state.suspects.get_mut(key) else { return };
    suspect.record_unanswered(liveness == Liveness::Silent, now);
    // Calls wait for one that is only silent.
    let doublings = if suspect.may_resume(now) { 0 } else { suspect.unanswered.min(8) };
    let pause = MIN_PROBE_PAUSE.saturating_mul(1 << doublings).min(MAX_PROBE_PAUSE);
    suspect.due = Some(now + pause);
    if ctx.state.suspects.add_unreachable(key, now + pause) {
        announce_unreachable(ctx, key);
    }
    avoid(ctx, key, now + pause + AVOID_MARGIN);
    if is_cut_off_from(ctx.state, key) {
        log_doubted_crash(ctx, key);
    } else {
        crash::report_crash(ctx, key, CrashEvidence::Unreachable);
    }
    if !ctx.state.proxies.is_reached(key, now) {
        probe_by_peer(ctx, key);
    }
}

/// Handles a probe that the endpoint answered.
fn handle_answered_probe(ctx: &mut Context<'_>, key: EndpointKey) {
    ctx.state.crashes.record_answer(key);
    let needed = ctx.state.suspects.needed_answers(key, ctx.now);
    let is_reached = ctx.state.reach(key, ctx.now) == Reach::ByPeer;
    let Some(suspect) = ctx.state.suspects.get_mut(key) else { return };
    suspect.answered += 1;
    // Without a peer that makes the calls, waiting for further answers would only refuse them.
    if suspect.is_unreachable() && is_reached && suspect.answered < needed {
        suspect.due = Some(ctx.now + MIN_PROBE_PAUSE);
        return;
    }
    mark_reachable(ctx, key);
}

/// Asks a peer to probe an endpoint that doesn't answer this daemon.
fn probe_by_peer(ctx: &mut Context<'_>, key: EndpointKey) {
    let target = ctx.state.route_to(key, ctx.now);
    if let Some(target) = target.filter(|target| target.via.is_some()) {
        ctx.push(Effect::Probe(target));
    }
}

/// Handles the result of a probe that a peer made for this daemon.
pub fn handle_probe_by_peer(
    ctx: &mut Context<'_>,
    key: EndpointKey,
    peer: SocketAddr,
    failure: Option<NotProxied>,
) {
    match failure {
        None => record_reached_by_peer(ctx, key, peer),
        Some(failure) => record_proxy_failure(ctx, key, peer, failure),
    }
}

/// Records that a peer has reached an endpoint, so that this daemon's own path to it is cut.
pub fn record_reached_by_peer(ctx: &mut Context<'_>, key: EndpointKey, peer: SocketAddr) {
    let now = ctx.now;
    let is_first = !ctx.state.proxies.is_reached(key, now);
    ctx.state.proxies.record_success(key, peer, now);
    if !is_first || !ctx.state.suspects.is_unreachable(key) {
        return;
    }
    ctx.state.capacity_changed = true;
    let Some(endpoint) = ctx.state.directory.get_mut(key) else { return };
    // Peers may have been told to avoid it, but it answers them.
    endpoint.avoided_until = now;
    endpoint.reported_until = endpoint.reported_until.min(now);
    let line = LogLine::new("endpoint_by_peer").with("instance", &endpoint.info.instance);
    ctx.log(line.with("via", peer));
    ctx.state.peers.changed = true;
}

/// Records that a peer did not make a call. When several peers can't reach the endpoint either, it is
/// down for all.
pub fn record_proxy_failure(
    ctx: &mut Context<'_>,
    key: EndpointKey,
    peer: SocketAddr,
    failure: NotProxied,
) {
    let now = ctx.now;
    ctx.state.proxies.record_failure(key, peer, failure, now);
    if ctx.state.proxies.is_down(key, now) {
        crash::report_crash(ctx, key, CrashEvidence::Unreachable);
    } else if failure == NotProxied::EndpointUnreachable && ctx.state.has_other_path(key, now) {
        probe_by_peer(ctx, key);
    }
}

/// Handles the end of a call that this daemon made for a peer: what it shows of the endpoint.
pub fn handle_proxied_end(
    ctx: &mut Context<'_>,
    key: EndpointKey,
    traits: Option<SharedTraits>,
    wrote_on: bool,
    duration: Duration,
    end: ProxiedEnd,
) {
    ctx.state.proxies.serving = ctx.state.proxies.serving.saturating_sub(1);
    match end {
        ProxiedEnd::Unreachable => mark_unreachable(ctx, key),
        ProxiedEnd::Silent => mark_silent(ctx, key),
        ProxiedEnd::Broken => match traits {
            Some(traits) => crash::record_broken_call(ctx, key, traits, wrote_on, duration),
            None => request_probe(ctx, key),
        },
        ProxiedEnd::Answered | ProxiedEnd::Cancelled | ProxiedEnd::Withheld => {}
    }
}

/// Sends the probes that are due.
pub fn tick(ctx: &mut Context<'_>) {
    update_unreached(ctx);
    ctx.state.proxies.expire(ctx.now);
    while let Some(key) = ctx.state.suspects.take_due(ctx.now) {
        match ctx.state.directory.target(key) {
            Some(_) if !ctx.state.may_send(key, Purpose::Probe, ctx.now) => {
                postpone_probe(ctx, key);
            }
            Some(target) => ctx.push(Effect::Probe(target)),
            None => drop(ctx.state.suspects.remove(key)),
        }
    }
}

/// Schedules a probe for the end of the pause that the endpoint wants.
fn postpone_probe(ctx: &mut Context<'_>, key: EndpointKey) {
    let paused_until = ctx.state.directory.get(key).map(|e| e.statements.paused_until);
    let due = paused_until.unwrap_or_default().max(ctx.now + MIN_PROBE_PAUSE);
    if let Some(suspect) = ctx.state.suspects.get_mut(key) {
        suspect.due = Some(due);
    }
}

/// Finds the services most of whose endpoints this daemon can't reach, if that may have changed.
fn update_unreached(ctx: &mut Context<'_>) {
    let State { suspects, directory, .. } = &mut *ctx.state;
    if !suspects.take_outdated(directory.generation) {
        return;
    }
    let state = &*ctx.state;
    let unreachable = state.suspects.unreachable().filter_map(|key| state.directory.get(key));
    let mut services: BTreeSet<_> = unreachable.map(|e| e.info.service.clone()).collect();
    services.retain(|service| ServiceCount::of(state, service).is_mostly_unreachable());
    let before = std::mem::replace(&mut ctx.state.suspects.unreached, services);
    let after = ctx.state.suspects.unreached.clone();
    ctx.state.peers.changed |= before != after;
    for service in after.difference(&before) {
        ctx.log(LogLine::new("service_unreached").with("service", service));
    }
    for service in before.difference(&after) {
        ctx.log(LogLine::new("service_reached").with("service", service));
    }
}

/// Logs that an endpoint is unreachable, and uses its idle connections for no more calls: they may have
/// been cut as well, and each would cost the call that is sent over it.
fn announce_unreachable(ctx: &mut Context<'_>, key: EndpointKey) {
    ctx.push(Effect::DoubtConnections(key));
    if let Some(endpoint) = ctx.state.directory.get(key) {
        let line = LogLine::new("endpoint_dark").with("instance", &endpoint.info.instance);
        ctx.log(line);
    }
}

/// Avoids an unreachable endpoint until `until`, unless a peer reaches it, and tells peers to do the
/// same, unless this daemon is more likely cut off itself.
fn avoid(ctx: &mut Context<'_>, key: EndpointKey, until: Duration) {
    if ctx.state.proxies.is_reached(key, ctx.now) {
        return;
    }
    let is_credible = is_credible(ctx.state, key);
    let Some(endpoint) = ctx.state.directory.get_mut(key) else { return };
    match is_credible {
        true => endpoint.avoid_and_report(until),
        false => endpoint.avoid(until),
    }
    ctx.state.peers.changed |= is_credible;
}

/// Logs that calls broke off at an endpoint that doesn't answer, and that nobody is told of a crash.
fn log_doubted_crash(ctx: &mut Context<'_>, key: EndpointKey) {
    let calls = ctx.state.crashes.count_broken_calls(key, ctx.now);
    let Some(hash) = ctx.state.directory.hash(key).filter(|_| calls != 0) else { return };
    let line = LogLine::new("crash_doubted").with("endpoint", format!("{hash:08x}"));
    ctx.log(line.with("calls", calls));
}

/// Returns whether this daemon is likely cut off from an endpoint that doesn't answer it: a peer reaches
/// the endpoint, or most of its service doesn't answer either.
fn is_cut_off_from(state: &State, key: EndpointKey) -> bool {
    let Some(endpoint) = state.directory.get(key) else { return false };
    let service = ServiceCount::of(state, &endpoint.info.service);
    let is_reached = state.proxies.is_reached(key, state.peers.now);
    is_reached || (1 < service.unreachable && service.is_mostly_unreachable())
}

/// Returns whether an endpoint that doesn't answer this daemon is likely down for all: no peer has
/// reached it, and most others answer.
fn is_credible(state: &State, key: EndpointKey) -> bool {
    let Some(endpoint) = state.directory.get(key) else { return false };
    let service = ServiceCount::of(state, &endpoint.info.service);
    let is_few = service.unreachable <= 1 || service.unreachable * CUT_OFF_DIVISOR <= service.total;
    let all_unreachable = state.suspects.count_unreachable();
    is_few
        && all_unreachable * CUT_OFF_DIVISOR <= state.directory.len()
        && !state.proxies.is_reached(key, state.peers.now)
}

/// Numbers of a service's endpoints.
struct ServiceCount {
    /// Those in service.
    total: usize,
    /// Those of them that don't answer this daemon.
    unreachable: usize,
}

impl ServiceCount {
    fn of(state: &State, service: &str) -> ServiceCount {
        let (mut total, mut unreachable) = (0, 0);
        for (key, _) in state.directory.in_service(service) {
            total += 1;
            unreachable += usize::from(state.suspects.is_unreachable(key));
        }
        ServiceCount { total, unreachable }
    }

    fn is_mostly_unreachable(&self) -> bool {
        self.total < self.unreachable * 2
    }
}
