//! Tells peers which version of the endpoints' software began a stream.
//!
//! Each stream has some keepers, picked by rendezvous hashing, which the daemon that its caller comes
//! back to asks. They are told where the version can't be inferred later.

use std::{collections::BTreeMap, net::SocketAddr};

use basilbank_wire::{LoadGossip, StreamOrigin};

use super::Context;
use crate::{
    call::{RequestId, StreamId},
    endpoint::SoftwareVersion,
    log_line::{LogLine, Measurement},
    state::origins::STREAM_LIFETIME,
};

/// Number of peers that are told which version began a stream.
pub const KEEPERS: usize = 3;

/// Maximum number of streams in one datagram.
const MAX_PER_DATAGRAM: usize = 64;

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
    // Later nobody can tell that there was only one version: a daemon that has just started, or any
    // while the store doesn't confirm the list.
    let is_known =
        state.versions.are_known_for(STREAM_LIFETIME, now) && !state.directory.store_lost;
    if !is_known || state.versions.are_several(request.route.services(), now) {
        let keepers = state.peers_by_weight(stream.0, KEEPERS);
        send_origins(ctx, &keepers, &[to_wire(stream, version)]);
    }
}

/// Says that records were dropped before their end. Their streams may be refused when they come back.
pub fn log_dropped(ctx: &mut Context<'_>) {
    let dropped = ctx.state.origins.take_dropped();
    if dropped != 0 {
        let line = LogLine::new("stream_records_dropped").with("count", dropped);
        ctx.log(line.with_measurement(Measurement::StreamRecordsDropped(dropped)));
    }
}

/// Tells peers of all streams that go on, as it can't be inferred any more which version began them.
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
    StreamOrigin { stream: stream.0, version: version.to_wire(), ..StreamOrigin::default() }
}
