//! Schedules and composes the gossip datagrams that this daemon sends to its peers.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use basilbank_core::state::Rng;
use basilbank_wire::{
    AvoidedEndpoint, LoadGossip, ServiceGenerationStats, StoreRevision, WaitingCompletion,
    WaitingForVersion,
};

use super::{Context, call_limit, demand, relays, roles};
use crate::{
    call::Cause,
    effect::Effect,
    state::{
        Peer, QueuePosition, Request, State,
        bound::BoundDemand,
        peers::{MAX_PEERS_UNLIMITED_GOSSIP, Peers, to_wire},
        relays::{DIRECT_INTERVAL, data_centre_hash},
        service_hash,
    },
    topic::{PerTopic, Revision, Topic},
};

/// Minimum time between two datagrams after a change, in addition to the time per peer.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(15);

/// Minimum time between two datagrams during a cold start, when all daemons have just restarted.
/// Each daemon then knows only the seeds and sends its load to them. With 320 daemons and 15 ms the
/// seeds would receive 21,000 datagrams per second and do nothing else; this interval makes it
/// 2,100.
const MIN_COLD_START_INTERVAL: Duration = Duration::from_millis(150);

/// Time per peer that is added to the interval between datagrams, so that a daemon receives at most
/// a thousand datagrams per second.
const GOSSIP_INTERVAL_PER_PEER: Duration = Duration::from_millis(1);

/// Divisor of [`GOSSIP_INTERVAL_PER_PEER`] for the time by which a report of taken capacity is
/// delayed. The prefill begins one round trip after the slot is held, so both are reported in one
/// datagram.
const COALESCE_DIVISOR: u32 = 16;

/// Bytes per second that a daemon of a large fleet may receive. Control traffic may use 26 KB per
/// second; the store's changes take one of them, and datagrams that grow from one to the next take
/// another.
const RECEIVED_BYTES_PER_SECOND: f64 = 24_000.0;

/// Fraction of [`RECEIVED_BYTES_PER_SECOND`] for heartbeats; the rest is for datagrams about
/// changes.
const HEARTBEAT_FRACTION: f64 = 0.4;

/// Seconds of its share of [`RECEIVED_BYTES_PER_SECOND`] that a daemon which had nothing to report
/// may use at once: the datagrams of some completions.
const BURST_SECONDS: f64 = 4.0;

/// Time between two heartbeats in a small fleet.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time between two heartbeats.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);

/// Number of heartbeat intervals without a datagram after which a peer may be cut off: one
/// heartbeat may have been lost.
const CONTACT_HEARTBEATS: f64 = 2.0;

/// Maximum delay of the last of these heartbeats.
const CONTACT_MARGIN: Duration = Duration::from_millis(200);

/// Time beyond a heartbeat interval without a datagram of any peer after which this daemon may be cut
/// off from all of them.
const ISOLATION_MARGIN: Duration = Duration::from_millis(150);

/// Time between two attempts to reach addresses that peers named.
const PEER_PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of peers that a heartbeat names.
const NAMED_PEERS: usize = 6;

/// Number of peers that a heartbeat names in a large fleet, where each daemon receives more
/// datagrams.
const NAMED_PEERS_LARGE_FLEET: usize = 2;

/// Number of peers that are named to a daemon that has just started: the peers that three seeds
/// name know all the others.
const NAMED_PEERS_INTRODUCTION: usize = 24;

/// Number of quarantined calls that a heartbeat reports in addition to new ones.
const QUARANTINED_CALLS: usize = 8;

/// Number of quarantined calls that a heartbeat reports in a large fleet, where each daemon
/// receives more heartbeats.
const QUARANTINED_CALLS_LARGE_FLEET: usize = 2;

/// Number of quarantined calls that are reported to a daemon that has just started. Heartbeats
/// report the rest.
const QUARANTINED_CALLS_INTRODUCTION: usize = 64;

/// Sends a datagram to all peers.
pub fn send_gossip(ctx: &mut Context<'_>) {
    let now = ctx.now;
    let state = &mut *ctx.state;
    let scope = match state.peers.is_heartbeat_due(now) || state.leaving.is_some() {
        true => Scope::Full,
        false => Scope::Changes,
    };
    let gossip = compose(state, now, scope);
    let bytes = gossip.wire_bytes();
    let peers = &mut state.peers;
    peers.last_sent = now;
    peers.record_report(now);
    peers.watching = gossip.watching;
    // Few daemons watch the store, so their heartbeats are a small part of what peers receive. They
    // must not delay the reports of this daemon's load.
    if scope == Scope::Changes || !gossip.watching {
        peers.spend(bytes, now);
    }
    if scope == Scope::Full {
        peers.heartbeat_sent = now;
        peers.heartbeat_bytes = bytes;
        peers.sent_changes = state.latest_changes;
    }
    if state.crashes.has_unsent() {
        state.peers.report_soon();
    }
    let mut to = state.peers.addresses();
    if !to.is_empty() {
        // Datagrams that a full network link can't take are lost. The order changes with each
        // datagram, so that it isn't always the same peers that lose them and take this daemon for
        // gone.
        let first = usize::try_from(gossip.sequence).unwrap_or_default() % to.len();
        to.rotate_left(first);
        relays::send(ctx, to, gossip);
    }
}

/// Sends a full datagram to addresses that may belong to nobody, even if there are many changes to
/// report: daemons that don't know each other both give out an endpoint's capacity.
pub fn probe_unknown(ctx: &mut Context<'_>) {
    ctx.state.peers.last_probe = ctx.now;
    ctx.state.peers.candidates.retain(|_, until| ctx.now < *until);
    let mut to: Vec<_> = ctx.state.peers.unknown_addresses().collect();
    to.sort_unstable();
    to.dedup();
    if !to.is_empty() {
        let gossip = compose(ctx.state, ctx.now, Scope::Full);
        ctx.push(Effect::SendGossip { to, gossip: Box::new(gossip) });
    }
}

/// Reports this daemon's load and its peers to a daemon that has just started.
///
/// In a large fleet heartbeats are seconds apart and name few peers. A daemon that learned of its
/// peers only from them would for seconds place completions by the load of the few peers that it
/// has met.
pub fn introduce(ctx: &mut Context<'_>, to: SocketAddr, incarnation: u64) {
    let mut gossip = compose(ctx.state, ctx.now, Scope::Introduction);
    let peers = &ctx.state.peers;
    // A daemon that started at the same time would learn nothing from the fleet's size.
    if peers.incarnation < incarnation {
        (gossip.fleet, gossip.fleet_peak) = peers.fleet.report();
    }
    ctx.push(Effect::SendGossip { to: vec![to], gossip: Box::new(gossip) });
}

/// Maximum number of peers with which each heartbeat reports the fleet's size.
const MAX_PEERS_ALWAYS_REPORTING_FLEET: usize = 8;

/// Number of datagrams of which one may report the fleet's size with more peers.
const FLEET_REPORT_INTERVAL: u64 = 8;

/// Time after this daemon's start from which on heartbeats report the fleet's size: those that start at
/// the same time would learn nothing from it.
const FLEET_REPORT_DELAY: Duration = Duration::from_secs(3);

/// How much a datagram reports.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Scope {
    /// Only what changes fast. The rest is reported by heartbeats only, which keeps the datagrams
    /// between them short.
    Changes,
    /// Everything.
    Full,
    /// Everything, with many peers.
    Introduction,
}

impl Scope {
    /// Returns the number of peers to name if `known` peers are known.
    fn named_peers(self, known: usize) -> usize {
        let max_named = match self {
            Scope::Changes => 0,
            Scope::Full if MAX_PEERS_UNLIMITED_GOSSIP < known => NAMED_PEERS_LARGE_FLEET,
            Scope::Full => NAMED_PEERS,
            Scope::Introduction => NAMED_PEERS_INTRODUCTION,
        };
        max_named.min(known)
    }
}

impl Scope {
    /// Returns the number of quarantined calls to report in addition to new ones if `known` peers
    /// are known.
    fn quarantined_calls(self, known: usize) -> usize {
        match self {
            Scope::Changes => 0,
            Scope::Full if MAX_PEERS_UNLIMITED_GOSSIP < known => QUARANTINED_CALLS_LARGE_FLEET,
            Scope::Full => QUARANTINED_CALLS,
            Scope::Introduction => QUARANTINED_CALLS_INTRODUCTION,
        }
    }
}

fn compose(state: &mut State, now: Duration, scope: Scope) -> LoadGossip {
    let shunned = state.directory.avoided(now).map(|(endpoint, left)| {
        let left = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        AvoidedEndpoint { endpoint, left }
    });
    let shunned: Vec<_> = shunned.collect();
    // The peers' statistics are combined once per service, not once per endpoint.
    let mut rates_by_service = HashMap::new();
    let rate =
        |service| *rates_by_service.entry(service).or_insert_with(|| state.growth(service).rate);
    let loads: Vec<_> = state.directory.own_loads(now, rate).collect();
    let is_full = scope != Scope::Changes;
    let paces = if is_full { generation_stats(state) } else { Vec::new() };
    let waiting = waiting_completions(state, now);
    let bound = waiting_for_versions(state, now);
    let demand = demand::report(state, now);
    let watching = state.is_active_watcher();
    // An introduction is as short as possible, since daemons that start at the same time send many.
    let data_centre =
        if scope == Scope::Full { data_centre_hash(&state.local.data_centre) } else { 0 };
    let limits = call_limit::observed_limits(state, now);
    let crashes = state.crashes.take_reports(now);
    let (mut cleared, mut cleared_parts) = (Vec::new(), Vec::new());
    for cause in state.crashes.take_cleared(now) {
        match cause {
            Cause::Call(digest) => cleared.push(digest.0),
            Cause::Part(id) => cleared_parts.push(id),
        }
    }
    let quarantined =
        state.quarantine.take_reports(scope.quarantined_calls(state.peers.known.len()), now);
    let order_claim = roles::claim(state, now).into();
    let order_rival = state.roles.disputed_by(now).as_ref().and_then(to_wire);
    let reports_fleet = scope == Scope::Full && state.reports_fleet(now);
    let (fleet, fleet_peak) =
        if reports_fleet { state.peers.fleet.report() } else { Default::default() };
    let peers = &mut state.peers;
    peers.sequence += 1;
    let count = scope.named_peers(peers.known.len());
    let named = random_peers(peers, count, &mut state.rng);
    let gossip = LoadGossip {
        incarnation: peers.incarnation,
        sequence: peers.sequence,
        leaving: state.leaving.is_some(),
        peers: named.iter().filter_map(to_wire).collect(),
        shunned,
        endpoints_news: peers.revision_to_send(Topic::Endpoints, &state.latest_changes, is_full),
        routes_news: peers.revision_to_send(Topic::Routes, &state.latest_changes, is_full),
        version: if is_full { state.routes.version } else { 0 },
        watching,
        paces,
        waiting,
        bound,
        demand,
        limits,
        crashes,
        cleared,
        cleared_parts,
        quarantined,
        unreached: state.suspects.unreached.iter().map(|service| service_hash(service)).collect(),
        data_centre,
        order_claim,
        order_rival,
        fleet,
        fleet_peak,
        ..LoadGossip::default()
    };
    gossip.with_loads(loads)
}

/// Picks some of the peers at random. Each daemon names other ones, so that a daemon which hears a few
/// of them soon knows nearly all.
fn random_peers(peers: &Peers, count: usize, rng: &mut Rng) -> Vec<SocketAddr> {
    let mut all: Vec<_> = peers.known.keys().copied().collect();
    for picked in 0..count {
        let other = picked + rng.index(all.len() - picked);
        all.swap(picked, other);
    }
    all.truncate(count);
    all
}

impl State {
    /// Returns when the next datagram is due.
    pub(crate) fn gossip_due(&self) -> Duration {
        let peers = &self.peers;
        if peers.sequence == 0 {
            return Duration::ZERO;
        }
        let heartbeat = peers.heartbeat_sent + peers.own_heartbeat_interval();
        let Some(since) = peers.changed_since.filter(|_| peers.changed) else { return heartbeat };
        let per_peer = GOSSIP_INTERVAL_PER_PEER
            .saturating_mul(u32::try_from(peers.known.len()).unwrap_or(u32::MAX));
        let min_interval = if self.is_cold_start(peers.last_sent) {
            MIN_COLD_START_INTERVAL
        } else {
            MIN_GOSSIP_INTERVAL
        };
        // In a smaller fleet a peer's completions wait only milliseconds for their turn, so reports
        // of taken capacity must not be delayed.
        let coalesce_delay =
            if self.is_gossip_limited() { per_peer / COALESCE_DIVISOR } else { Duration::ZERO };
        let due = match peers.urgent {
            true => (peers.last_sent + min_interval).max(since + coalesce_delay),
            false => peers.last_sent + min_interval.max(per_peer),
        };
        due.max(peers.affordable_at()).min(heartbeat)
    }
}

impl State {
    /// Returns whether the next heartbeat reports the fleet's size. Unless there are few peers, few do:
    /// a daemon that starts is told by all that introduce themselves, and most of that arrives.
    fn reports_fleet(&self, now: Duration) -> bool {
        let has_settled = self.started.is_some_and(|at| at + FLEET_REPORT_DELAY <= now);
        let is_due = self.peers.known.len() <= MAX_PEERS_ALWAYS_REPORTING_FLEET
            || self.peers.sequence.is_multiple_of(FLEET_REPORT_INTERVAL);
        has_settled && is_due
    }
}

impl Peers {
    /// Returns the addresses that no datagram has come from yet.
    fn unknown_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let all = self.seeds.iter().chain(self.candidates.keys()).copied();
        all.filter(|at| !self.known.contains_key(at) && Some(*at) != self.own_address)
    }

    /// Returns when unknown addresses are tried next, or `None` if there are none.
    pub(crate) fn probe_due(&self) -> Option<Duration> {
        self.unknown_addresses().next()?;
        let pause =
            if self.candidates.is_empty() { MIN_HEARTBEAT_INTERVAL } else { PEER_PROBE_INTERVAL };
        Some(if self.sequence == 0 { Duration::ZERO } else { self.last_probe + pause })
    }

    /// Returns the time between two heartbeats. It keeps the heartbeats of all peers together
    /// within their fraction of what a daemon may receive.
    pub(super) fn heartbeat_interval(&self) -> Duration {
        if self.known.len() <= MAX_PEERS_UNLIMITED_GOSSIP {
            return MIN_HEARTBEAT_INTERVAL;
        }
        let bytes = (self.known.len() * self.heartbeat_bytes) as f64;
        let time =
            Duration::from_secs_f64(bytes / (RECEIVED_BYTES_PER_SECOND * HEARTBEAT_FRACTION));
        time.clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
    }

    /// Returns the number of peers that were heard from recently enough not to be cut off.
    #[must_use]
    pub fn count_in_contact(&self, now: Duration) -> usize {
        self.known.values().filter(|peer| self.is_in_contact(peer, now)).count()
    }

    /// Returns whether a peer was heard from recently enough not to be cut off. What arrives through
    /// relays doesn't show that the path between the two works, and not all of its datagrams are
    /// direct.
    pub(crate) fn is_in_contact(&self, peer: &Peer, now: Duration) -> bool {
        self.is_in_contact_within(peer, now, CONTACT_HEARTBEATS)
    }

    /// Returns the number of peers whose last heartbeat was heard.
    pub(crate) fn count_on_time(&self, now: Duration) -> usize {
        self.known.values().filter(|peer| self.is_in_contact_within(peer, now, 1.0)).count()
    }

    fn is_in_contact_within(&self, peer: &Peer, now: Duration, heartbeats: f64) -> bool {
        let timeout = |interval: Duration| interval.mul_f64(heartbeats) + CONTACT_MARGIN;
        let heartbeat = self.heartbeat_interval();
        now < peer.last_seen + timeout(heartbeat)
            && now < peer.last_direct + timeout(DIRECT_INTERVAL + heartbeat)
    }

    /// Returns whether no peer was heard from for longer than their heartbeats explain, so that this
    /// daemon may be cut off from all of them. That shows sooner than the silence of a single one.
    #[must_use]
    pub fn is_isolated(&self, now: Duration) -> bool {
        let deadline = |heard| heard + self.heartbeat_interval() + ISOLATION_MARGIN;
        self.last_heard.is_some_and(|heard| deadline(heard) < now)
    }

    /// Returns the time between two heartbeats of this daemon. It is short if this daemon watches
    /// the store, since followers rely on its reports.
    fn own_heartbeat_interval(&self) -> Duration {
        if self.watching { MIN_HEARTBEAT_INTERVAL } else { self.heartbeat_interval() }
    }

    /// Returns whether the next datagram is a heartbeat. In a small fleet every datagram is one.
    fn is_heartbeat_due(&self, now: Duration) -> bool {
        self.sequence == 0
            || self.known.len() <= MAX_PEERS_UNLIMITED_GOSSIP
            || self.heartbeat_sent + self.own_heartbeat_interval() <= now
    }

    /// Returns when the next datagram may be sent, so that peers receive no more than their limit
    /// if all daemons send as much as this one.
    ///
    /// This is a token bucket: a daemon that had nothing to report for some seconds reports its
    /// next changes at once. A minimum interval that is long enough for the busiest moment would
    /// instead delay the rare changes of a daemon with one completion every few seconds, and these
    /// are most of the changes in a large fleet.
    fn affordable_at(&self) -> Duration {
        match self.known.len() <= MAX_PEERS_UNLIMITED_GOSSIP {
            true => Duration::ZERO,
            false => self.bandwidth_used_until,
        }
    }

    /// Takes the bytes of messages to single peers out of the token bucket, so that all that peers
    /// receive stays within their limit.
    pub(super) fn spend_direct(&mut self, bytes: usize, now: Duration) {
        self.spend(bytes.div_ceil(self.known.len().max(1)), now);
    }

    /// Takes a datagram's bytes out of the token bucket.
    fn spend(&mut self, bytes: usize, now: Duration) {
        // The traffic of a small fleet is not limited, and must not block datagrams once the fleet
        // has grown.
        if self.known.len() <= MAX_PEERS_UNLIMITED_GOSSIP {
            return;
        }
        let oldest_credit = now.saturating_sub(Duration::from_secs_f64(BURST_SECONDS));
        let cost = (self.known.len() * bytes) as f64 / RECEIVED_BYTES_PER_SECOND;
        self.bandwidth_used_until =
            self.bandwidth_used_until.max(oldest_credit) + Duration::from_secs_f64(cost);
    }
}

impl Peers {
    /// Returns a topic's latest change for a datagram, or `None` if the last heartbeat has reported
    /// it.
    fn revision_to_send(
        &self,
        topic: Topic,
        latest: &PerTopic<Revision>,
        is_full: bool,
    ) -> Option<StoreRevision> {
        let newest = *latest.get(topic);
        let has_changed = is_full || *self.sent_changes.get(topic) != newest;
        let Revision { era, number } = newest;
        (has_changed && !newest.is_none()).then_some(StoreRevision { era, number })
    }
}

/// Returns the first of this daemon's waiting completions for each service, of those that any version
/// of its endpoints would do for.
fn waiting_completions(state: &State, now: Duration) -> Vec<WaitingCompletion> {
    let soonest = now + state.tuning.first_token_delay;
    let mut first: HashMap<&str, (QueuePosition, &Request)> = HashMap::new();
    for request in state.waiting.iter().filter_map(|id| state.requests.get(id)) {
        let position = state.queue_position(request, soonest);
        if !position.any_version {
            continue;
        }
        let first = first.entry(&request.service).or_insert((position, request));
        if position < first.0 {
            *first = (position, request);
        }
    }
    let all = first.into_iter().map(|(service, (position, request))| WaitingCompletion {
        service: service_hash(service),
        due: ms_until(position.due, now),
        rank: request.rank.map(|rank| u32::from(rank.0)),
        team: request.team_id().map(|team| team.0),
        // Where there is no order, the due time says it.
        late: position.late && (request.rank.is_some() || request.team.is_some()),
    });
    all.collect()
}

/// Returns what waits here for the endpoints of one of several versions.
fn waiting_for_versions(state: &State, now: Duration) -> Vec<WaitingForVersion> {
    let to_wire = |demand: BoundDemand| WaitingForVersion {
        version: demand.version.to_wire(),
        due: ms_until(demand.due, now),
        calls: demand.calls,
        tokens: u32::try_from(demand.tokens).unwrap_or(u32::MAX),
    };
    state.own_bound_demand().into_iter().map(to_wire).collect()
}

/// Returns the milliseconds until a time, or since it as a negative number.
fn ms_until(time: Duration, now: Duration) -> i32 {
    (time.as_millis() as i128 - now.as_millis() as i128) as i32
}

/// Returns the generation statistics of this daemon's own completions.
fn generation_stats(state: &State) -> Vec<ServiceGenerationStats> {
    let all = state.generation_stats.iter().map(|(service, stats)| ServiceGenerationStats {
        service: service_hash(service),
        tokens: stats.tokens as f32,
        seconds: stats.seconds as f32,
        squares: stats.squared_estimates as f32,
        errors: stats.squared_errors as f32,
    });
    all.collect()
}
