//! Handles the gossip by which daemons tell each other their load at endpoints.
//!
//! Without it each daemon would fill decode endpoints that others have filled already. Prompts
//! would be read for completions that then wait for memory, and calls would be refused while other
//! endpoints have free capacity.

use std::{net::SocketAddr, time::Duration};

use basilbank_wire::{
    AvoidedEndpoint, LoadGossip, ServiceGenerationStats, StoreRevision, WaitingCompletion,
    WaitingForVersion,
};

use super::{
    Context, call_limit, crash, demand, freshness, gossip_send, keepers, origin, quota, relays,
    returns, roles,
};
use crate::{
    endpoint::SoftwareVersion,
    log_line::LogLine,
    rank::{MAX_PRIORITY, Rank},
    state::{
        GenerationStats, Usage,
        bound::BoundDemand,
        fleet::FleetBasis,
        peers::{FirstWaiting, Load, Peer, from_wire},
    },
    team::TeamId,
    topic::{Revision, Topic},
};

/// Minimum time without a datagram after which a peer and its load are removed: five heartbeats, or
/// three in a large fleet.
const MIN_PEER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time for which an address that a peer named is tried.
const HINT_LIFETIME: Duration = Duration::from_secs(2);

/// Maximum time for which a peer's report keeps an endpoint unused.
const MAX_REPORTED_AVOIDANCE: Duration = Duration::from_secs(10);

/// Logged state of a peer that is removed because it announced that it leaves.
const STATE_LEAVING: &str = "leaving";

/// Handles a peer's datagram.
pub fn handle(ctx: &mut Context<'_>, from: SocketAddr, gossip: &LoadGossip) {
    if gossip.sequence == 0 {
        return handle_message(ctx, from, gossip);
    }
    let now = ctx.now;
    let is_direct = gossip.origin.is_none();
    let Some(from) = ctx.state.gossip_origin(from, gossip) else {
        ctx.state.peers.relays.dropped += 1;
        return;
    };
    let peers = &mut ctx.state.peers;
    let previous = peers.known.get(&from);
    // Datagrams can be reordered; an older one is outdated.
    let is_stale = previous.is_some_and(|peer| {
        (gossip.incarnation, gossip.sequence) <= (peer.incarnation, peer.sequence)
    });
    let is_new = previous.is_none();
    let is_new_start = previous.is_none_or(|peer| peer.incarnation != gossip.incarnation);
    if is_stale && let Some(peer) = peers.known.get_mut(&from) {
        peer.note_overtaken(gossip, now);
        return;
    }
    if Some(from) == peers.own_address {
        return;
    }
    let addresses: Vec<_> = gossip.peers.iter().filter_map(|peer| from_wire(*peer)).collect();
    for address in addresses {
        if !peers.known.contains_key(&address) && Some(address) != peers.own_address {
            peers.candidates.entry(address).or_insert(now + HINT_LIFETIME);
        }
    }
    peers.candidates.remove(&from);
    remove_loads(ctx, from);
    // The streams of a leaving peer continue as long as its shutdown may take. Dropping its load at
    // once would give away memory that they still use.
    if gossip.leaving && gossip.endpoints.is_empty() {
        return remove_peer(ctx, from, STATE_LEAVING);
    }
    let loads = resolve_loads(ctx, gossip);
    for load in &loads {
        ctx.state.directory.add_peer_usage(load.endpoint, load.usage);
    }
    let demand_rows = demand::from_wire(gossip);
    demand::add_rows(ctx, &demand_rows);
    avoid_reported(ctx, &gossip.shunned);
    crash::handle_gossip(ctx, gossip);
    roles::record_claim(ctx, from, gossip.order_claim);
    roles::record_rival(ctx, gossip.order_rival.and_then(from_wire));
    call_limit::handle_reported_limits(ctx, gossip);
    apply_reported_change(ctx, Topic::Endpoints, gossip.endpoints_news);
    apply_reported_change(ctx, Topic::Routes, gossip.routes_news);
    let previous = ctx.state.peers.known.remove(&from);
    let was_watching = previous.as_ref().is_some_and(|peer| peer.watching);
    let lost_store = was_watching && !gossip.watching && !gossip.leaving;
    let previous_direct = previous.as_ref().map(|peer| peer.last_direct);
    let passed_on = previous.as_ref().and_then(|peer| peer.passed_on);
    let previous_met = previous.as_ref().map(|peer| peer.met);
    // Only heartbeats carry the version, the data centre and the generation statistics.
    let version = match (gossip.version, &previous) {
        (0, Some(peer)) => peer.version,
        (version, _) => version,
    };
    let data_centre = match (gossip.data_centre, &previous) {
        (0, Some(peer)) if !is_new_start => peer.data_centre,
        (reported, _) => reported,
    };
    let generation_stats = match previous {
        Some(peer) if gossip.paces.is_empty() => peer.generation_stats,
        _ => gossip.paces.iter().map(stats_from_wire).collect(),
    };
    ctx.state.peers.watcher_losses += u32::from(lost_store);
    let last_direct = previous_direct.filter(|_| !is_direct).unwrap_or(now);
    let met = previous_met.filter(|_| !is_new_start).unwrap_or(now);
    let peer = Peer {
        incarnation: gossip.incarnation,
        sequence: gossip.sequence,
        last_seen: now,
        last_direct,
        met,
        loads,
        waiting: gossip.waiting.iter().map(|waiting| waiting_from_wire(waiting, now)).collect(),
        bound: gossip.bound.iter().filter_map(|b| bound_from_wire(b, now)).collect(),
        demand: demand_rows,
        version,
        watching: gossip.watching,
        leaving: gossip.leaving,
        unreached: gossip.unreached.clone(),
        generation_stats,
        data_centre,
        passed_on,
    };
    let peers = &mut ctx.state.peers;
    peers.insert(from, peer);
    peers.fleet.count(peers.known.len() + 1);
    apply_fleet(ctx, gossip);
    if is_new {
        ctx.log(LogLine::new("peer").with("addr", from).with("state", "up"));
    }
    if is_new_start && !gossip.leaving {
        gossip_send::introduce(ctx, from, gossip.incarnation);
        keepers::announce_to(ctx, from);
    }
    if !is_new_start {
        relays::pass_on(ctx, from, gossip);
    }
    ctx.state.capacity_changed = true;
}

/// Applies what a peer knows of the fleet's size.
fn apply_fleet(ctx: &mut Context<'_>, gossip: &LoadGossip) {
    let count = |reported| usize::try_from(reported).unwrap_or_default();
    let (size, peak) = (count(gossip.fleet), count(gossip.fleet_peak));
    let is_older = ctx.state.started_before(gossip.incarnation);
    if ctx.state.peers.fleet.apply_report(size, peak, is_older) {
        log_fleet(ctx);
    }
}

/// Takes the daemons that are known for the fleet, if nobody has told its size and most of the seeds
/// are in contact: all daemons may have started again.
fn settle_fleet(ctx: &mut Context<'_>) {
    let peers = &ctx.state.peers;
    let is_unknown = peers.fleet.basis == FleetBasis::Unknown;
    if is_unknown && !ctx.state.is_recently_started(ctx.now) && peers.hears_most_seeds() {
        ctx.state.peers.fleet.basis = FleetBasis::Seeds;
        log_fleet(ctx);
    }
}

fn log_fleet(ctx: &mut Context<'_>) {
    let fleet = ctx.state.peers.fleet;
    let line = LogLine::new("fleet").with("size", fleet.size).with("peak", fleet.peak);
    ctx.log(line.with("known_by", fleet.basis.as_str()));
}

/// Handles a peer's queries and replies, which are sent to this daemon only. Messages from unknown
/// addresses are ignored.
fn handle_message(ctx: &mut Context<'_>, from: SocketAddr, gossip: &LoadGossip) {
    if !ctx.state.peers.known.contains_key(&from) {
        return;
    }
    call_limit::handle_permits(ctx, from, &gossip.permits);
    freshness::handle_messages(ctx, from, &gossip.ages);
    quota::handle_uses(ctx, from, gossip);
    quota::handle_states(ctx, from, &gossip.quota_states);
    origin::handle_messages(ctx, from, gossip);
    returns::handle_messages(ctx, from, gossip);
}

/// Records a change that a peer has seen. The revision that the store was found not to have is
/// ignored: peers would report it again and again, so that this daemon would query the store all
/// the time and never answer 404 any more.
fn apply_reported_change(ctx: &mut Context<'_>, topic: Topic, reported: Option<StoreRevision>) {
    let Some(StoreRevision { era, number }) = reported else { return };
    let revision = Revision { era, number };
    if revision != *ctx.state.missing_revisions.get(topic) {
        let latest = ctx.state.latest_changes.get_mut(topic);
        *latest = revision.max(*latest);
    }
}

/// Handles a reported revision that the store doesn't have. A false report never changes a
/// configuration; it costs one query.
pub fn handle_missing_revision(ctx: &mut Context<'_>, topic: Topic, revision: Revision) {
    let read = ctx.state.revision(topic);
    *ctx.state.missing_revisions.get_mut(topic) = revision;
    let latest = ctx.state.latest_changes.get_mut(topic);
    // Changes that were reported after the query was sent are kept.
    if *latest == revision {
        *latest = read;
    }
    let line = LogLine::new("news_disproved").with("topic", topic.as_str());
    ctx.log(line.with("revision", revision).with("store", read));
}

/// Sends the datagrams that are due and removes silent peers.
pub fn tick(ctx: &mut Context<'_>) {
    let now = ctx.now;
    ctx.state.peers.now = now;
    let timeout = MIN_PEER_TIMEOUT.max(ctx.state.peers.heartbeat_interval() * 3);
    let silent: Vec<_> = ctx
        .state
        .peers
        .known
        .iter()
        .filter(|(_, peer)| peer.last_seen + timeout <= now)
        .map(|(address, _)| *address)
        .collect();
    for address in silent {
        remove_loads(ctx, address);
        remove_peer(ctx, address, "silent");
    }
    settle_fleet(ctx);
    if ctx.state.peers.changed {
        ctx.state.peers.changed_since.get_or_insert(now);
    }
    if ctx.state.peers.probe_due().is_some_and(|at| at <= now) {
        gossip_send::probe_unknown(ctx);
    }
    if ctx.state.gossip_due() <= now {
        gossip_send::send_gossip(ctx);
    }
}

/// Announces to peers that this daemon shuts down.
pub fn announce_shutdown(ctx: &mut Context<'_>) {
    gossip_send::send_gossip(ctx);
}

/// Avoids endpoints that a peer knows to refuse work or to be unreachable. Daemons report only what
/// they noticed themselves, and never pass a report on, so that a report ends with its cause.
fn avoid_reported(ctx: &mut Context<'_>, shunned: &[AvoidedEndpoint]) {
    let now = ctx.now;
    for reported in shunned {
        let remaining = Duration::from_millis(u64::from(reported.left)).min(MAX_REPORTED_AVOIDANCE);
        let key = ctx.state.directory.find_by_hash(reported.endpoint);
        if let Some(endpoint) = key.and_then(|key| ctx.state.directory.get_mut(key)) {
            endpoint.avoid(now + remaining);
        }
    }
}

/// Returns the time that is so many milliseconds from now, which may be negative.
fn time_from_wire(ms: i32, now: Duration) -> Duration {
    let offset = Duration::from_millis(u64::from(ms.unsigned_abs()));
    if ms < 0 { now.saturating_sub(offset) } else { now.saturating_add(offset) }
}

fn bound_from_wire(wire: &WaitingForVersion, now: Duration) -> Option<BoundDemand> {
    let version = SoftwareVersion::from_wire(wire.version)?;
    let due = time_from_wire(wire.due, now);
    Some(BoundDemand { version, due, calls: wire.calls, tokens: wire.tokens.into() })
}

fn waiting_from_wire(wire: &WaitingCompletion, now: Duration) -> FirstWaiting {
    let due = time_from_wire(wire.due, now);
    // An impossible rank counts as the least urgent one.
    let rank = demand::rank_from_wire(wire.rank).unwrap_or(Some(Rank(MAX_PRIORITY)));
    let team = wire.team.map(TeamId);
    FirstWaiting { service: wire.service, due, rank, team, late: wire.late }
}

fn stats_from_wire(wire: &ServiceGenerationStats) -> (u32, GenerationStats) {
    let stats = GenerationStats {
        tokens: f64::from(wire.tokens),
        seconds: f64::from(wire.seconds),
        squared_estimates: f64::from(wire.squares),
        squared_errors: f64::from(wire.errors),
    };
    (wire.service, stats)
}

fn resolve_loads(ctx: &Context<'_>, gossip: &LoadGossip) -> Vec<Load> {
    let directory = &ctx.state.directory;
    let known = gossip.loads().filter_map(|load| {
        let endpoint = directory.find_by_hash(load.endpoint)?;
        let usage = Usage {
            calls: load.calls,
            tokens: load.tokens,
            tokens_left: load.tokens_left,
            generating_since: Some(ctx.now),
        };
        Some(Load { endpoint, usage })
    });
    known.collect()
}

fn remove_loads(ctx: &mut Context<'_>, from: SocketAddr) {
    demand::remove_rows(ctx, from);
    let Some(peer) = ctx.state.peers.known.get_mut(&from) else { return };
    for load in std::mem::take(&mut peer.loads) {
        ctx.state.directory.remove_peer_usage(load.endpoint, load.usage);
    }
}

fn remove_peer(ctx: &mut Context<'_>, from: SocketAddr, state: &str) {
    if ctx.state.peers.remove(from) {
        if state == STATE_LEAVING {
            ctx.state.peers.fleet.remove();
        }
        ctx.log(LogLine::new("peer").with("addr", from).with("state", state));
    }
}
