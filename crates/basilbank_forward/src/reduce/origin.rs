//! Keeps a stream at the version of the endpoints' software that began it.
//!
//! What two versions write doesn't fit together, and endpoints don't check it. While a service has
//! several versions, the daemon that begins a stream tells some peers, picked by rendezvous hashing,
//! which version it was. The daemon that the caller comes back to looks there, if it doesn't know the
//! version itself. A call whose stream nobody knows is refused: no answer is better than one that
//! doesn't fit.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use basilbank_wire::{LoadGossip, OriginQuery, StreamOrigin};

use super::{Context, finish, step};
use crate::{
    call::{RequestId, StreamId},
    endpoint::{EndpointKey, SoftwareVersion},
    log_line::LogLine,
    reason::Refusal,
    route::Route,
    state::{State, origins::STREAM_LIFETIME, requests::OriginStage, service_hash},
};

/// Number of peers that are told which version began a stream.
const KEEPERS: usize = 3;

/// Maximum number of peers that are asked. The views of two daemons differ, so more are asked than
/// are told; in a small fleet all are, also the one that began the stream.
const MAX_ASKED: usize = 8;

/// Time after which the question is sent again, as datagrams may be lost: some round trips between
/// data centres.
const RESEND_AFTER: Duration = Duration::from_millis(25);

/// Time that a call waits for answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

/// Maximum number of streams in one datagram.
const MAX_PER_DATAGRAM: usize = 64;

/// Returns whether a call may proceed. If it continues a stream whose version isn't known, it waits
/// for peers' answers or was refused.
pub fn check_origin(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let Some(request) = ctx.state.requests.get(&id) else { return false };
    match request.origin {
        OriginStage::Settled => true,
        OriginStage::New => look_up(ctx, id),
        OriginStage::Asked { until, .. } if until <= ctx.now => conclude_unknown(ctx, id),
        OriginStage::Asked { resend_at: Some(at), .. } if at <= ctx.now => {
            resend(ctx, id);
            false
        }
        OriginStage::Asked { .. } => false,
    }
}

/// Finds the version that began the stream, or asks peers for it.
fn look_up(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let (state, now) = (&*ctx.state, ctx.now);
    let Some(request) = state.requests.get(&id) else { return false };
    let Some(resumption) = request.call.resumption.as_ref().filter(|_| request.route.resumable)
    else {
        return settle(ctx, id, None);
    };
    let stream = resumption.stream();
    if let Some(version) = stream.and_then(|stream| state.origins.get(stream, now)) {
        return settle(ctx, id, Some(version));
    }
    if state.versions.only(request.route.services(), now).is_some() {
        return settle(ctx, id, None);
    }
    let Some(stream) = stream else { return conclude_unknown(ctx, id) };
    let peers = state.peers_by_weight(stream.0, MAX_ASKED);
    if peers.is_empty() {
        return conclude_unknown(ctx, id);
    }
    let (until, resend_at) = (now + ANSWER_TIMEOUT, now + RESEND_AFTER);
    if let Some(request) = ctx.state.requests.get_mut(&id) {
        request.origin = OriginStage::Asked { until, resend_at: Some(resend_at) };
        request.asked_peers.clone_from(&peers);
    }
    ctx.set_timer(id, resend_at);
    ctx.set_timer(id, until);
    ask(ctx, id, stream, peers);
    false
}

fn ask(ctx: &mut Context<'_>, id: RequestId, stream: StreamId, peers: Vec<SocketAddr>) {
    let Some(request) = ctx.state.requests.get(&id) else { return };
    let service = match request.route.services().collect::<Vec<_>>()[..] {
        [only] => service_hash(only),
        _ => 0,
    };
    let query = OriginQuery { stream: stream.0, service };
    ctx.send(peers, LoadGossip { origin_queries: vec![query], ..LoadGossip::default() });
}

fn resend(ctx: &mut Context<'_>, id: RequestId) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    if let OriginStage::Asked { resend_at, .. } = &mut request.origin {
        *resend_at = None;
    }
    let silent = request.asked_peers.clone();
    let stream = request.call.resumption.as_ref().and_then(|resumption| resumption.stream());
    if let Some(stream) = stream {
        ask(ctx, id, stream, silent);
    }
}

/// Lets a call proceed, at endpoints of this version if it continues a stream. The stream goes on at
/// the service that began it, as long as its route leads there.
fn settle(ctx: &mut Context<'_>, id: RequestId, version: Option<SoftwareVersion>) -> bool {
    let Some(request) = ctx.state.requests.get(&id) else { return false };
    let has_version = |service: &&str| {
        let mut endpoints = ctx.state.directory.in_service(service);
        endpoints.any(|(_, endpoint)| Some(endpoint.info.software()) == version)
    };
    let service = request.route.services().find(has_version).map(str::to_owned);
    let Some(request) = ctx.state.requests.get_mut(&id) else { return false };
    request.origin = OriginStage::Settled;
    request.pinned = version;
    if let Some(service) = service {
        request.service = service;
    }
    if let Some(version) = version {
        ctx.log_request(id, LogLine::new("stream_pinned").with("software", version));
    }
    true
}

/// Decides about a call whose stream nobody knows.
///
/// A daemon that has run for long enough would know if there had been only one version. Where none has,
/// only the endpoints can show that no other version
/// has served lately: by their start times, if none of them is new.
fn conclude_unknown(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let Some(request) = ctx.state.requests.get(&id) else { return false };
    if !ctx.state.remembers_versions(ctx.now) && is_one_version_by_starts(ctx, &request.route) {
        return settle(ctx, id, None);
    }
    finish::give_up(ctx, id, Refusal::StreamUnknown);
    false
}

/// Returns whether all endpoints of a route have one version, and none says that it started within
/// the time that a stream may last.
fn is_one_version_by_starts(ctx: &Context<'_>, route: &Route) -> bool {
    let state = &*ctx.state;
    let unix_ms = state.unix_ms(ctx.now);
    let oldest = unix_ms.saturating_sub(STREAM_LIFETIME.as_millis() as u64);
    let is_new = |start: Option<u64>| start.is_some_and(|start| oldest < start);
    let mut endpoints = route.services().flat_map(|service| state.directory.in_service(service));
    !state.versions.are_several(route.services(), ctx.now)
        && !endpoints.any(|(_, endpoint)| is_new(endpoint.info.start_time))
}

/// Pins a stream that has begun to its endpoint's version, and tells peers of it if it matters.
pub fn record_begin(ctx: &mut Context<'_>, id: RequestId, endpoint: EndpointKey) {
    let (now, state) = (ctx.now, &mut *ctx.state);
    let version = state.directory.get(endpoint).map(|endpoint| endpoint.info.software());
    let (Some(version), Some(request)) = (version, state.requests.get_mut(&id)) else { return };
    if !request.route.resumable {
        return;
    }
    if request.pinned.is_some() && request.origin_recorded {
        return;
    }
    request.pinned = Some(version);
    request.origin_recorded = true;
    let began = request.call.resumption.as_ref().and_then(|resumption| resumption.stream());
    let stream = began.unwrap_or_else(|| StreamId::of(&request.call.trace_id));
    let is_told = state.versions.are_several(request.route.services(), now);
    state.origins.record(stream, version, true, now);
    if is_told {
        let keepers = state.peers_by_weight(stream.0, KEEPERS);
        tell(ctx, &keepers, &[to_wire(stream, Some(version))]);
    }
}

/// Lets a stream that broke off before its first event begin anew anywhere.
pub fn forget_begin(ctx: &mut Context<'_>, id: RequestId) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    if request.call.resumption.is_none() {
        request.pinned = None;
        request.origin_recorded = false;
    }
}

/// Tells peers of all streams that go on while a further version comes.
pub fn announce_all(ctx: &mut Context<'_>) {
    let own: Vec<_> = ctx.state.origins.own(ctx.now).collect();
    let mut by_keeper: HashMap<SocketAddr, Vec<StreamOrigin>> = HashMap::new();
    for (stream, version) in own {
        for keeper in ctx.state.peers_by_weight(stream.0, KEEPERS) {
            by_keeper.entry(keeper).or_default().push(to_wire(stream, Some(version)));
        }
    }
    for (keeper, origins) in by_keeper {
        tell(ctx, &[keeper], &origins);
    }
}

/// Tells a peer that has just started, or is back, of the streams that it is to keep.
pub fn announce_to(ctx: &mut Context<'_>, peer: SocketAddr) {
    if !ctx.state.has_several_versions(ctx.now) {
        return;
    }
    let state = &*ctx.state;
    let is_keeper = |stream: StreamId| state.peers_by_weight(stream.0, KEEPERS).contains(&peer);
    let kept = state.origins.own(ctx.now).filter(|(stream, _)| is_keeper(*stream));
    let origins: Vec<_> = kept.map(|(stream, version)| to_wire(stream, Some(version))).collect();
    tell(ctx, &[peer], &origins);
}

fn tell(ctx: &mut Context<'_>, to: &[SocketAddr], origins: &[StreamOrigin]) {
    if to.is_empty() {
        return;
    }
    for some in origins.chunks(MAX_PER_DATAGRAM) {
        let gossip = LoadGossip { origins: some.to_vec(), ..LoadGossip::default() };
        ctx.state.peers.spend_direct(gossip.wire_bytes() * to.len(), ctx.now);
        ctx.send(to.to_vec(), gossip);
    }
}

fn to_wire(stream: StreamId, version: Option<SoftwareVersion>) -> StreamOrigin {
    StreamOrigin { stream: stream.0, version: version.map_or(0, SoftwareVersion::to_wire) }
}

/// Handles a peer's announcements, questions and answers.
pub fn handle_messages(ctx: &mut Context<'_>, from: SocketAddr, gossip: &LoadGossip) {
    let now = ctx.now;
    for origin in gossip.origins.iter().chain(&gossip.origin_answers) {
        if let Some(version) = SoftwareVersion::from_wire(origin.version) {
            ctx.state.origins.record(StreamId(origin.stream), version, false, now);
        }
    }
    let answers: Vec<_> =
        gossip.origin_queries.iter().map(|query| answer(ctx.state, query, now)).collect();
    if !answers.is_empty() {
        let answers = LoadGossip { origin_answers: answers, ..LoadGossip::default() };
        ctx.send(vec![from], answers);
    }
    for answer in &gossip.origin_answers {
        handle_answer(ctx, from, *answer);
    }
}

/// Answers with the version that began a stream, or with the only one that can have.
fn answer(state: &State, query: &OriginQuery, now: Duration) -> StreamOrigin {
    let stream = StreamId(query.stream);
    let service = state.versions.service(query.service);
    let only = || state.versions.only(service.into_iter(), now);
    to_wire(stream, state.origins.get(stream, now).or_else(only))
}

fn handle_answer(ctx: &mut Context<'_>, from: SocketAddr, answer: StreamOrigin) {
    let stream = StreamId(answer.stream);
    let waits = |id: &RequestId| {
        let request = ctx.state.requests.get(id);
        request.is_some_and(|request| {
            let resumption = request.call.resumption.as_ref();
            matches!(request.origin, OriginStage::Asked { .. })
                && resumption.and_then(|resumption| resumption.stream()) == Some(stream)
        })
    };
    let waiting: Vec<_> = ctx.state.requests.keys().copied().filter(waits).collect();
    for id in waiting {
        let Some(request) = ctx.state.requests.get_mut(&id) else { continue };
        request.asked_peers.retain(|peer| *peer != from);
        let is_last = request.asked_peers.is_empty();
        let may_proceed = match SoftwareVersion::from_wire(answer.version) {
            Some(version) => settle(ctx, id, Some(version)),
            None => is_last && conclude_unknown(ctx, id),
        };
        if may_proceed {
            step::proceed(ctx, id);
        }
    }
}
