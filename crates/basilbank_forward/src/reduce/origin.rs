//! Keeps a stream at the version of the endpoints' software that began it.
//!
//! What two versions write doesn't fit together, and endpoints don't check it. While a service has
//! several versions, the daemon that begins a stream tells some peers, picked by rendezvous hashing,
//! which version it was. The daemon that the caller comes back to looks there, if it doesn't know the
//! version itself. A call whose stream nobody knows is refused: no answer is better than one that
//! doesn't fit.

use std::{net::SocketAddr, time::Duration};

use basilbank_wire::{LoadGossip, OriginQuery, StreamOrigin};

use super::{Context, finish, history, keepers::KEEPERS, list_reads, only_version, step};
use crate::{
    call::{RequestId, StreamId},
    endpoint::SoftwareVersion,
    log_line::{LogLine, Measurement},
    reason::{Refusal, UnknownVersion, VersionSource},
    state::{
        Request, State,
        requests::{OriginStage, PeerVersion},
        service_hash,
    },
    topic::Revision,
};

/// Maximum number of peers that are asked. The views of two daemons differ, so more are asked than
/// are told; in a small fleet all are, also the one that began the stream.
const MAX_ASKED: usize = 8;

/// Time after which the question is sent again, as datagrams may be lost: some round trips between
/// data centres.
const RESEND_AFTER: Duration = Duration::from_millis(25);

/// Time that a call waits for answers.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

/// Time that a call waits for the store alone before it asks peers: a sound store is faster.
const CONFIRMATION_TIME: Duration = Duration::from_millis(50);

/// Time that a call waits for the store at all. Now and then a sound store takes 200 ms.
const MAX_CONFIRMATION_TIME: Duration = Duration::from_millis(300);

/// Minimum time that a caller waits for a stream for it to come back after all daemons were replaced.
const MIN_RETURN_TIME: Duration = Duration::from_secs(6);

/// Returns whether a call may proceed. If it continues a stream whose version isn't known, it waits
/// for the store's or for peers' answers or was refused.
pub fn check_origin(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let Some(request) = ctx.state.requests.get(&id) else { return false };
    match request.origin {
        OriginStage::Settled => {
            assign_anew(ctx, id);
            true
        }
        OriginStage::New => look_up(ctx, id),
        OriginStage::Confirming { until } => until <= ctx.now && ask_peers(ctx, id),
        OriginStage::Asked { until, .. } if until <= ctx.now => conclude_unknown(ctx, id),
        OriginStage::Asked { resend_at: Some(at), .. } if at <= ctx.now => {
            resend(ctx, id);
            false
        }
        OriginStage::Asked { .. } => false,
        OriginStage::Reading { until } => {
            let is_open = ctx.state.history.is_open() || ctx.state.list_reads.is_open();
            let is_over = until <= ctx.now || !is_open;
            is_over && conclude_unknown(ctx, id)
        }
    }
}

/// Finds the version that began the stream, or asks the store or peers for it.
fn look_up(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let (state, now) = (&*ctx.state, ctx.now);
    let Some(request) = state.requests.get(&id) else { return false };
    let Some(resumption) = request.call.resumption.as_ref().filter(|_| request.route.resumable)
    else {
        return assign(ctx, id);
    };
    let stream = resumption.stream();
    if let Some(version) = stream.and_then(|stream| state.origins.get(stream, now)) {
        return settle(ctx, id, Some((version, VersionSource::Record)));
    }
    let services = || request.route.services();
    let is_single = state.versions.single(services(), now).is_some();
    let is_only = state.versions.only(services(), now).is_some();
    if is_single {
        list_reads::begin(ctx);
    }
    if !is_only {
        return ask_peers(ctx, id);
    }
    let until = now + CONFIRMATION_TIME;
    if let Some(request) = ctx.state.requests.get_mut(&id) {
        request.origin = OriginStage::Confirming { until };
    }
    ctx.set_timer(id, until);
    false
}

/// Assigns a stream that may be taken up later to one of several versions, and lets its call proceed
/// unless its service has just started.
fn assign(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let (state, now) = (&*ctx.state, ctx.now);
    let Some(request) = state.requests.get(&id) else { return false };
    let may_come_back = now + MIN_RETURN_TIME <= request.deadline;
    let settles_at = assigned_service(request)
        .filter(|_| may_come_back)
        .and_then(|service| state.assignments.settles_at(service, state.unix_ms(now), now));
    if let Some(until) = settles_at {
        ctx.set_timer(id, until);
        return false;
    }
    settle(ctx, id, None);
    assign_anew(ctx, id);
    true
}

/// Assigns a call's stream by the list as it is now, until the stream begins.
fn assign_anew(ctx: &mut Context<'_>, id: RequestId) {
    let State { requests, assignments, .. } = &mut *ctx.state;
    let Some(request) = requests.get_mut(&id).filter(|request| request.pinned.is_none()) else {
        return;
    };
    let stream = StreamId::of(&request.call.trace_id);
    request.assigned =
        assigned_service(request).and_then(|service| assignments.assign(service, stream));
}

/// Returns the service at one of whose versions a call's stream has to begin; `None` if any will do.
fn assigned_service(request: &Request) -> Option<&str> {
    let may_be_resumed = request.route.resumable && request.call.resumption.is_none();
    let services: Vec<_> = request.route.services().filter(|_| may_be_resumed).collect();
    match services[..] {
        [only] => Some(only),
        _ => None,
    }
}

/// Asks peers for the version that began a stream.
fn ask_peers(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let (state, now) = (&*ctx.state, ctx.now);
    let Some(request) = state.requests.get(&id) else { return false };
    let stream = request.call.resumption.as_ref().and_then(|resumption| resumption.stream());
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
    confirm_single(ctx, id);
    history::begin(ctx);
    false
}

/// Reads the list again for a call that came after the last read was sent, if its route's services have
/// one version. An open read is shared for a while, and proves nothing for calls that came later.
fn confirm_single(ctx: &mut Context<'_>, id: RequestId) {
    let (state, now) = (&*ctx.state, ctx.now);
    let Some(request) = state.requests.get(&id) else { return };
    let is_covered = state.list_reads.is_sent_since(request.arrived);
    let is_single = state.versions.single(request.route.services(), now).is_some();
    if !is_covered && (is_single || state.versions.are_several(request.route.services(), now)) {
        list_reads::begin(ctx);
    }
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
    let stream = request.call.resumption.as_ref().and_then(|resumption| resumption.stream());
    let Some(stream) = stream else { return };
    let peers = ctx.state.peers_by_weight(stream.0, MAX_ASKED);
    if let Some(request) = ctx.state.requests.get_mut(&id) {
        request.asked_peers.clone_from(&peers);
    }
    ask(ctx, id, stream, peers);
    confirm_single(ctx, id);
}

/// Lets a call proceed, at endpoints of this version if it continues a stream. The stream goes on at
/// the service that began it, as long as its route leads there.
fn settle(
    ctx: &mut Context<'_>,
    id: RequestId,
    known: Option<(SoftwareVersion, VersionSource)>,
) -> bool {
    let Some(request) = ctx.state.requests.get(&id) else { return false };
    let version = known.map(|(version, _)| version);
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
    if let Some((version, source)) = known {
        let line = pinned_line(ctx, version, source);
        ctx.log_request(id, line);
    }
    true
}

/// Says at which version a stream goes on and how that is known, with the revision up to which the list
/// of endpoints is known and how long ago the store confirmed it.
fn pinned_line(ctx: &Context<'_>, version: SoftwareVersion, source: VersionSource) -> LogLine {
    let reads = &ctx.state.list_reads;
    let line = LogLine::new("stream_pinned").with("software", version).with("by", source.as_str());
    let line = line.with_measurement(Measurement::StreamPinned(source));
    match reads.confirmed_since(Duration::ZERO) {
        Some(confirmed) => {
            let age = ctx.now.saturating_sub(confirmed.asked_at);
            line.with("revision", confirmed.revision).with_ms("age_ms", age)
        }
        None => line.with("revision", reads.known_to()),
    }
}

/// Decides about a call whose stream nobody knows: it goes on if only one version can have begun it.
fn conclude_unknown(ctx: &mut Context<'_>, id: RequestId) -> bool {
    let is_remembered = ctx.state.remembers_versions(ctx.now);
    let Some(request) = ctx.state.requests.get(&id) else { return false };
    let is_several = ctx.state.versions.are_several(request.route.services(), ctx.now);
    let is_open = request.inferred.is_empty() && !is_remembered;
    if (is_open || is_several) && history::awaits(ctx, id) {
        return false;
    }
    let why = match only_version::prove(ctx.state, id, ctx.now) {
        Ok(known) => return settle(ctx, id, Some(known)),
        Err(UnknownVersion::Unconfirmed) if awaits_confirmation(ctx, id) => return false,
        Err(why) => why,
    };
    let Some(request) = ctx.state.requests.get(&id) else { return false };
    let stream = request.call.resumption.as_ref().and_then(|resumption| resumption.stream());
    let why = if stream.is_none() { UnknownVersion::NotNamed } else { why };
    let line = LogLine::new("stream_unknown").with("why", why.as_str());
    let line = line.with("revision", ctx.state.list_reads.known_to());
    ctx.log_request(id, line.with_measurement(Measurement::StreamUnknown(why)));
    finish::give_up(ctx, id, Refusal::StreamUnknown);
    false
}

/// Returns whether a call waits for the store to confirm that the list of endpoints is current.
fn awaits_confirmation(ctx: &mut Context<'_>, id: RequestId) -> bool {
    if !ctx.state.list_reads.is_open() {
        return false;
    }
    let Some(request) = ctx.state.requests.get_mut(&id) else { return false };
    let until = request.arrived + MAX_CONFIRMATION_TIME;
    if until <= ctx.now {
        return false;
    }
    request.origin = OriginStage::Reading { until };
    ctx.set_timer(id, until);
    true
}

/// Lets calls go on that wait for the store's history.
pub fn conclude_reading(ctx: &mut Context<'_>) {
    for id in waiting(ctx, |origin| matches!(origin, OriginStage::Reading { .. })) {
        if conclude_unknown(ctx, id) {
            step::proceed(ctx, id);
        }
    }
}

/// Lets calls go on after a read of the list that was sent at `asked_at`, and reads again for those that
/// came later.
pub fn conclude_confirming(ctx: &mut Context<'_>, asked_at: Duration) {
    let waits = |origin: &OriginStage| !matches!(origin, OriginStage::New | OriginStage::Settled);
    for id in waiting(ctx, waits) {
        if conclude_confirmation(ctx, id, asked_at) {
            step::proceed(ctx, id);
        }
    }
}

/// Returns whether a call may proceed after a read of the list.
fn conclude_confirmation(ctx: &mut Context<'_>, id: RequestId, asked_at: Duration) -> bool {
    let Some(request) = ctx.state.requests.get(&id) else { return false };
    let (origin, arrived) = (request.origin, request.arrived);
    match only_version::prove(ctx.state, id, ctx.now) {
        Ok(known) if !known.1.is_last_resort() => return settle(ctx, id, Some(known)),
        Err(UnknownVersion::Unconfirmed) if asked_at < arrived => {
            list_reads::begin(ctx);
            return false;
        }
        _ => {}
    }
    match origin {
        OriginStage::Confirming { .. } => ask_peers(ctx, id),
        OriginStage::Reading { .. } => conclude_unknown(ctx, id),
        OriginStage::New | OriginStage::Asked { .. } | OriginStage::Settled => false,
    }
}

/// Returns the calls in some stage, in their order.
fn waiting(ctx: &Context<'_>, is_in: impl Fn(&OriginStage) -> bool) -> Vec<RequestId> {
    let requests = ctx.state.requests.iter().filter(|(_, request)| is_in(&request.origin));
    let mut waiting: Vec<_> = requests.map(|(id, _)| *id).collect();
    waiting.sort_unstable();
    waiting
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
    let Some(only) = only else {
        let version = version.map_or(0, SoftwareVersion::to_wire);
        return StreamOrigin { stream: query.stream, version, ..StreamOrigin::default() };
    };
    let Revision { era, number } = state.list_reads.known_to();
    StreamOrigin { stream: query.stream, version: 0, only: only.to_wire(), known_to: number, era }
}

/// Settles calls that wait for an answer: with the version that it names, or, if it completes a proof,
/// with the only version.
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
        request.inferred.retain(|known| known.peer != from);
        request.inferred.extend(SoftwareVersion::from_wire(answer.only).map(|version| {
            let known_to = Revision { era: answer.era, number: answer.known_to };
            PeerVersion { peer: from, version, known_to }
        }));
        let may_proceed = match SoftwareVersion::from_wire(answer.version) {
            Some(version) => settle(ctx, id, Some((version, VersionSource::PeerRecord))),
            None => match only_version::prove(ctx.state, id, ctx.now) {
                Ok(known) if !known.1.is_last_resort() => settle(ctx, id, Some(known)),
                _ => ctx.state.has_all_answers(id) && conclude_unknown(ctx, id),
            },
        };
        if may_proceed {
            step::proceed(ctx, id);
        }
    }
}

impl State {
    /// Returns whether all peers that were asked have answered, and none was left out for not being
    /// known yet.
    fn has_all_answers(&self, id: RequestId) -> bool {
        let is_met = KEEPERS.min(self.fleet_size().saturating_sub(1)) <= self.peers.known.len();
        let Some(request) = self.requests.get(&id) else { return false };
        let is_resent = matches!(request.origin, OriginStage::Asked { resend_at: None, .. });
        let are_all_asked = is_resent || self.peers.known.len() <= MAX_ASKED;
        is_met && are_all_asked && request.asked_peers.is_empty()
    }
}
