//! Keeps a stream at the version of the endpoints' software that began it.
//!
//! What two versions write doesn't fit together, and endpoints don't check it. While a service has
//! several versions, the daemon that begins a stream tells some peers, picked by rendezvous hashing,
//! which version it was. The daemon that the caller comes back to looks there, if it doesn't know the
//! version itself. A call whose stream nobody knows is refused: no answer is better than one that
//! doesn't fit.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use basilbank_wire::{LoadGossip, OriginQuery, StreamOrigin};

use super::{Context, finish, history, step};
use crate::{
    call::{RequestId, StreamId},
    endpoint::SoftwareVersion,
    log_line::LogLine,
    reason::Refusal,
    route::Route,
    state::{State, origins::STREAM_LIFETIME, requests::OriginStage, service_hash},
    topic::Topic,
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
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

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
        OriginStage::Reading { until } => {
            let is_over = until <= ctx.now || !ctx.state.history.is_open();
            is_over && conclude_unknown(ctx, id)
        }
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
    if let Some(version) = state.only_version(request.route.services(), now) {
        return settle(ctx, id, Some(version));
    }
    let Some(stream) = stream else { return conclude_unknown(ctx, id) };
    // A daemon that has just started may not have met its peers yet. In a large fleet the keepers are
    // asked first, to spare bytes.
    let is_small = state.peers.known.len() <= MAX_ASKED;
    let peers = state.peers_by_weight(stream.0, if is_small { MAX_ASKED } else { KEEPERS });
    let (until, resend_at) = (now + ANSWER_TIMEOUT, now + RESEND_AFTER);
    if let Some(request) = ctx.state.requests.get_mut(&id) {
        request.origin = OriginStage::Asked { until, resend_at: Some(resend_at) };
        request.asked_peers.clone_from(&peers);
    }
    ctx.set_timer(id, resend_at);
    ctx.set_timer(id, until);
    ask(ctx, id, stream, peers);
    history::begin(ctx);
    false
}

/// Sends the question for a stream's version to peers.
fn ask(ctx: &mut Context<'_>, id: RequestId, stream: StreamId, peers: Vec<SocketAddr>) {
    let Some(request) = ctx.state.requests.get(&id) else { return };
    let service = match request.route.services().collect::<Vec<_>>()[..] {
        [only] => service_hash(only),
        _ => 0,
    };
    let query = OriginQuery { stream: stream.0, service };
    ctx.send(peers, LoadGossip { origin_queries: vec![query], ..LoadGossip::default() });
}

/// Asks again, and more peers.
fn resend(ctx: &mut Context<'_>, id: RequestId) {
    let Some(request) = ctx.state.requests.get_mut(&id) else { return };
    if let OriginStage::Asked { resend_at, .. } = &mut request.origin {
        *resend_at = None;
    }
    request.inferred.clear();
    let stream = request.call.resumption.as_ref().and_then(|resumption| resumption.stream());
    let Some(stream) = stream else { return };
    let peers = ctx.state.peers_by_weight(stream.0, MAX_ASKED);
    if let Some(request) = ctx.state.requests.get_mut(&id) {
        request.asked_peers.clone_from(&peers);
    }
    ask(ctx, id, stream, peers);
}

/// Lets a call proceed, at endpoints of this version if it continues a stream. The stream goes on at
/// the service that began it, as long as its route leads there.
fn settle(ctx: &mut Context<'_>, id: RequestId, version: Option<SoftwareVersion>) -> bool {
    let Some(request) = ctx.state.requests.get(&id) else { return false };
    let has_version = |service: &&str| {
        let mut endpoints = ctx.state.directory.in_service(service);
        endpoints.any(|(_, endpoint)| Some(endpoint.info.software_version()) == version)
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
/// A peer that has seen one version for long says so. Where no daemon has run for that long, the list
/// of endpoints and the store's history may prove that there was only one.
fn conclude_unknown(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let is_remembered = ctx.state.remembers_versions(ctx.now);
    let Some(request) = ctx.state.requests.get(&id) else { return false };
    if request.inferred.is_empty() && !is_remembered && history::awaits(ctx, id) {
        return false;
    }
    let Some(request) = ctx.state.requests.get(&id) else { return false };
    let version = match request.inferred[..] {
        // The store is too slow to wait for.
        [] if is_remembered || ctx.state.history.is_open() => None,
        [] => proven_version(ctx.state, &request.route, ctx.now),
        [first, ..] => Some(first).filter(|first| request.inferred.iter().all(|v| v == first)),
    };
    if version.is_some() {
        return settle(ctx, id, version);
    }
    finish::give_up(ctx, id, Refusal::StreamUnknown);
    false
}

/// Lets calls go on that wait for the store's answers.
pub fn conclude_reading(ctx: &mut Context<'_>) {
    let waits = |id: &RequestId| {
        let request = ctx.state.requests.get(id);
        request.is_some_and(|request| matches!(request.origin, OriginStage::Reading { .. }))
    };
    let mut waiting: Vec<_> = ctx.state.requests.keys().copied().filter(waits).collect();
    waiting.sort_unstable();
    for id in waiting {
        if conclude_unknown(ctx, id) {
            step::proceed(ctx, id);
        }
    }
}

/// Returns the version of all endpoints of a route, if it is proven that there was no other one since
/// a stream may have begun that is taken up now: none of them started since, no former version is
/// known, and no endpoint was removed that nothing tells of.
fn proven_version(state: &State, route: &Route, now: Duration) -> Option<SoftwareVersion> {
    let oldest = state.unix_ms(now).saturating_sub(STREAM_LIFETIME.as_millis() as u64);
    let mut endpoints = route.services().flat_map(|service| state.directory.in_service(service));
    let is_old = |start: Option<u64>| start.is_none_or(|start| start < oldest);
    let are_old = endpoints.all(|(_, endpoint)| is_old(endpoint.info.start_time));
    let are_known = are_old && !state.versions.has_unknown(now) && is_list_complete(state, oldest);
    state.versions.single(route.services(), now).filter(|_| are_known)
}

/// Returns whether this daemon knows of all endpoints that have been removed since `oldest`, in
/// milliseconds since the Unix epoch.
fn is_list_complete(state: &State, oldest: u64) -> bool {
    let Some(first) = &state.first_list else { return false };
    let is_same_era = first.revision().era == state.directory.revision.era;
    let configuration = state.routes.revisions;
    is_same_era && first.is_complete(oldest, state.history.known_after(), configuration)
}

/// Pins a stream whose first event has come to its endpoint's version, and tells peers of it if it
/// matters.
pub fn record_origin(ctx: &mut Context<'_>, id: RequestId, attempt: u32) {
    let (now, state) = (ctx.now, &mut *ctx.state);
    let Some(request) = state.requests.get_mut(&id).filter(|r| r.route.resumable) else { return };
    let mut attempts = request.active_attempts.iter();
    let endpoint_key = attempts.find(|live| live.number == attempt).map(|live| live.endpoint);
    let endpoint = endpoint_key.and_then(|key| state.directory.get(key));
    let Some(version) = endpoint.map(|endpoint| endpoint.info.software_version()) else { return };
    request.pinned = Some(version);
    let began = request.call.resumption.as_ref().and_then(|resumption| resumption.stream());
    let stream = began.unwrap_or_else(|| StreamId::of(&request.call.trace_id));
    // Whoever told this daemon of a stream that it continues keeps the record.
    let is_kept = state.origins.get(stream, now) == Some(version);
    let is_new = state.origins.get(stream, now).is_none();
    state.origins.record(stream, version, true, now);
    if let Some(endpoint) = endpoint_key.filter(|_| is_new) {
        state.origins.record_endpoint(stream, endpoint, now);
    }
    if is_kept {
        return;
    }
    // A daemon that has just started can't tell later that there was only one version.
    let is_remembered = state.versions.are_known_for(STREAM_LIFETIME, now);
    if !is_remembered || state.versions.are_several(request.route.services(), now) {
        let keepers = state.peers_by_weight(stream.0, KEEPERS);
        send_origins(ctx, &keepers, &[to_wire(stream, version)]);
    }
}

/// Tells peers of all streams that go on while a further version comes.
pub fn announce_all(ctx: &mut Context<'_>) {
    let own: Vec<_> = ctx.state.origins.own(ctx.now).collect();
    announce(ctx, own);
}

/// Tells the keepers of these streams their versions.
pub fn announce(ctx: &mut Context<'_>, own: Vec<(StreamId, SoftwareVersion)>) {
    let mut by_keeper: BTreeMap<SocketAddr, Vec<StreamOrigin>> = BTreeMap::new();
    for (stream, version) in own {
        for keeper in ctx.state.peers_by_weight(stream.0, KEEPERS) {
            by_keeper.entry(keeper).or_default().push(to_wire(stream, version));
        }
    }
    for (keeper, origins) in by_keeper {
        send_origins(ctx, &[keeper], &origins);
    }
}

/// Tells a peer that has just started, or is back, of the streams that it is to keep.
pub fn announce_to(ctx: &mut Context<'_>, peer: SocketAddr) {
    let is_remembered = ctx.state.versions.are_known_for(STREAM_LIFETIME, ctx.now);
    if is_remembered && !ctx.state.has_several_versions(ctx.now) {
        return;
    }
    let state = &*ctx.state;
    let is_keeper = |stream: StreamId| state.peers_by_weight(stream.0, KEEPERS).contains(&peer);
    let kept = state.origins.own(ctx.now).filter(|(stream, _)| is_keeper(*stream));
    let origins: Vec<_> = kept.map(|(stream, version)| to_wire(stream, version)).collect();
    send_origins(ctx, &[peer], &origins);
}

fn send_origins(ctx: &mut Context<'_>, to: &[SocketAddr], origins: &[StreamOrigin]) {
    if to.is_empty() {
        return;
    }
    for some in origins.chunks(MAX_PER_DATAGRAM) {
        let gossip = LoadGossip { origins: some.to_vec(), ..LoadGossip::default() };
        ctx.state.peers.spend_direct(gossip.wire_bytes() * to.len(), ctx.now);
        ctx.send(to.to_vec(), gossip);
    }
}

fn to_wire(stream: StreamId, version: SoftwareVersion) -> StreamOrigin {
    StreamOrigin { stream: stream.0, version: version.to_wire(), only: 0 }
}

/// Handles a peer's announcements, questions and answers.
pub fn handle_messages(ctx: &mut Context<'_>, from: SocketAddr, gossip: &LoadGossip) {
    for origin in gossip.origins.iter().chain(&gossip.origin_answers) {
        if let Some(version) = SoftwareVersion::from_wire(origin.version) {
            ctx.state.origins.record(StreamId(origin.stream), version, false, ctx.now);
        }
    }
    let answers = gossip.origin_queries.iter().map(|query| answer(ctx.state, query, ctx.now));
    let origin_answers: Vec<_> = answers.collect();
    if !origin_answers.is_empty() {
        ctx.send(vec![from], LoadGossip { origin_answers, ..LoadGossip::default() });
    }
    for answer in &gossip.origin_answers {
        handle_answer(ctx, from, *answer);
    }
}

/// Answers with the version that began a stream, and with the only one that can have.
fn answer(state: &State, query: &OriginQuery, now: Duration) -> StreamOrigin {
    let version = state.origins.get(StreamId(query.stream), now);
    let only = match version {
        Some(_) => None,
        None => state.only_version(state.versions.service(query.service), now),
    };
    StreamOrigin {
        stream: query.stream,
        version: version.map_or(0, SoftwareVersion::to_wire),
        only: only.map_or(0, SoftwareVersion::to_wire),
    }
}

/// Settles calls that wait for an answer: with the version that it names, or, if it is the last one, by
/// what all have inferred.
fn handle_answer(ctx: &mut Context<'_>, from: SocketAddr, answer: StreamOrigin) {
    let stream = StreamId(answer.stream);
    let waits = |id: &RequestId| {
        let request = ctx.state.requests.get(id);
        request.is_some_and(|request| {
            let resumption = request.call.resumption.as_ref();
            matches!(request.origin, OriginStage::Asked { .. } | OriginStage::Reading { .. })
                && resumption.and_then(|resumption| resumption.stream()) == Some(stream)
        })
    };
    let mut waiting: Vec<_> = ctx.state.requests.keys().copied().filter(waits).collect();
    waiting.sort_unstable();
    for id in waiting {
        let Some(request) = ctx.state.requests.get_mut(&id) else { continue };
        request.asked_peers.retain(|peer| *peer != from);
        request.inferred.extend(SoftwareVersion::from_wire(answer.only));
        let may_proceed = match SoftwareVersion::from_wire(answer.version) {
            Some(version) => settle(ctx, id, Some(version)),
            None => ctx.state.has_all_answers(id) && conclude_unknown(ctx, id),
        };
        if may_proceed {
            step::proceed(ctx, id);
        }
    }
}

impl State {
    /// Returns the only version that endpoints of these services have had for as long as a stream may
    /// last, as far as this daemon can tell: with an outdated list it can't.
    fn only_version<'a>(
        &self,
        services: impl IntoIterator<Item = &'a str>,
        now: Duration,
    ) -> Option<SoftwareVersion> {
        let is_cut_off = self.directory.store_lost
            && (self.peers.known.is_empty() || self.peers.is_isolated(now));
        if is_cut_off || self.is_stale(Topic::Endpoints) {
            return None;
        }
        self.versions.only(services.into_iter(), now)
    }

    /// Returns whether all peers that were asked have answered, and none was left out for not being
    /// known yet.
    fn has_all_answers(&self, id: RequestId) -> bool {
        let is_met = KEEPERS.min(self.peers.fleet_size.saturating_sub(1)) <= self.peers.known.len();
        let Some(request) = self.requests.get(&id) else { return false };
        let is_resent = matches!(request.origin, OriginStage::Asked { resend_at: None, .. });
        let are_all_asked = is_resent || self.peers.known.len() <= MAX_ASKED;
        is_met && are_all_asked && request.asked_peers.is_empty()
    }
}
