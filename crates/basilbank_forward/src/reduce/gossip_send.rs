//! When a daemon tells its peers what it has, and how much of it.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use basilbank_wire::{LoadBeat, ServicePace, Shunned, StoreRevision, WaitingDraft};

use super::{Context, call_limit};
use crate::{
    effect::Effect,
    state::{
        Place, State,
        peers::{MANY_PEERS, Peers, to_wire},
        service_hash,
    },
    topic::{PerTopic, Revision, Topic},
};

/// Least time between two datagrams after a change, besides what the number of peers adds.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(15);

/// The same while all daemons have just started again. Each knows the seeds alone then, and sends them
/// what it has: at 320 daemons and 15 ms the seeds would get 21,000 datagrams a second, and do nothing
/// else; so it is 2,100.
const MIN_COLD_START_INTERVAL: Duration = Duration::from_millis(150);

/// Added for each peer, so that a daemon receives at most a thousand datagrams a second.
const GOSSIP_INTERVAL_PER_PEER: Duration = Duration::from_millis(1);

/// Part of [`GOSSIP_INTERVAL_PER_PEER`] for which news of room that was taken waits for company: the prompt's reading
/// begins a round trip after the slot is held, and both go out together.
const COALESCE_DIVISOR: u32 = 16;

/// Most that a daemon of a large fleet receives, in bytes a second: what it may use for control is 26 KB;
/// the store's changes take one of them, and datagrams that grow from one to the next another.
const RECEIVED_BYTES_PER_SECOND: f64 = 24_000.0;

/// Part of [`RECEIVED_BYTES_PER_SECOND`] that heartbeats may take; the others tell of changes.
const HEARTBEAT_FRACTION: f64 = 0.4;

/// Seconds of its part of [`RECEIVED_BYTES_PER_SECOND`] that a daemon which had nothing to tell may use at once: the
/// datagrams of some drafts.
const BURST_SECONDS: f64 = 4.0;

/// The heartbeat of a small fleet.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The longest heartbeat.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);

/// Heartbeats without which a peer may be cut off: one of them may have been lost.
const CONTACT_HEARTBEATS: f64 = 2.0;

/// How late the last of them may be.
const CONTACT_MARGIN: Duration = Duration::from_millis(200);

/// Time between two tries.
const PEER_PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Peers that are named in a datagram.
const NAMED_PEERS: usize = 6;

/// The same in a large fleet, where each daemon hears more datagrams.
const NAMED_PEERS_LARGE_FLEET: usize = 2;

/// The same to a daemon that has just started: those that three seeds name know all the others.
const NAMED_PEERS_INTRODUCTION: usize = 24;

/// Calls in quarantine that a heartbeat tells of besides new ones.
const QUARANTINED_CALLS: usize = 8;

/// The same in a large fleet, where each daemon hears more of them.
const QUARANTINED_CALLS_LARGE_FLEET: usize = 2;

/// The same to a daemon that has just started; what is left comes with heartbeats.
const QUARANTINED_CALLS_INTRODUCTION: usize = 64;

/// Tells all peers.
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
    peers.sent = now;
    peers.told(now);
    peers.watching = gossip.watching;
    // Few watch, so their heartbeats are a small part of what peers receive; they must not take the
    // place of what this daemon has to tell of its load.
    if scope == Scope::Changes || !gossip.watching {
        peers.spend(bytes, now);
    }
    if scope == Scope::Full {
        peers.whole = now;
        peers.bytes = bytes;
        peers.told_news = state.news;
    }
    let mut to = peers.addresses();
    if !to.is_empty() {
        // What a full link doesn't take is lost: it must not be the same peers' each time, to whom this
        // daemon would be gone.
        let first = usize::try_from(gossip.sequence).unwrap_or_default() % to.len();
        to.rotate_left(first);
        ctx.push(Effect::SendGossip { to, gossip: Box::new(gossip) });
    }
}

/// Tries addresses that may be nobody's, also when there is much to tell: daemons that don't know each
/// other count the same endpoint's room twice.
pub fn probe_unknown(ctx: &mut Context<'_>) {
    ctx.state.peers.probed = ctx.now;
    ctx.state.peers.hints.retain(|_, until| ctx.now < *until);
    let mut to: Vec<_> = ctx.state.peers.unknown_addresses().collect();
    to.sort_unstable();
    to.dedup();
    if !to.is_empty() {
        let gossip = compose(ctx.state, ctx.now, Scope::Full);
        ctx.push(Effect::SendGossip { to, gossip: Box::new(gossip) });
    }
}

/// Tells a daemon that has just started what this one has, and whom it knows.
///
/// In a large fleet heartbeats are seconds apart and name few. A daemon that learned of its peers by these
/// alone would place drafts for as long by the loads of the few that it has met.
pub fn introduce(ctx: &mut Context<'_>, to: SocketAddr, incarnation: u64) {
    let mut gossip = compose(ctx.state, ctx.now, Scope::Introduction);
    let peers = &ctx.state.peers;
    // One that started with this daemon would learn nothing by it.
    if peers.incarnation < incarnation {
        gossip.fleet = u32::try_from(peers.fleet).unwrap_or(u32::MAX);
    }
    ctx.push(Effect::SendGossip { to: vec![to], gossip: Box::new(gossip) });
}

/// How much a datagram tells.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Scope {
    /// What changes fast. The rest is told with heartbeats only, so that the datagrams between them are
    /// short.
    Changes,
    /// All there is.
    Full,
    /// That, and many peers.
    Introduction,
}

impl Scope {
    /// Peers that are named, when so many are known.
    fn named_peers(self, known: usize) -> usize {
        let max_named = match self {
            Scope::Changes => 0,
            Scope::Full if MANY_PEERS < known => NAMED_PEERS_LARGE_FLEET,
            Scope::Full => NAMED_PEERS,
            Scope::Introduction => NAMED_PEERS_INTRODUCTION,
        };
        max_named.min(known)
    }
}

impl Scope {
    /// Calls in quarantine that are told though they aren't new, when so many peers are known.
    fn quarantined_calls(self, known: usize) -> usize {
        match self {
            Scope::Changes => 0,
            Scope::Full if MANY_PEERS < known => QUARANTINED_CALLS_LARGE_FLEET,
            Scope::Full => QUARANTINED_CALLS,
            Scope::Introduction => QUARANTINED_CALLS_INTRODUCTION,
        }
    }
}

fn compose(state: &mut State, now: Duration, scope: Scope) -> LoadBeat {
    let shunned = state.directory.shunned(now).map(|(endpoint, left)| {
        let left = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        Shunned { endpoint, left }
    });
    let shunned: Vec<_> = shunned.collect();
    // Peers' words are put together once for each service, not for each endpoint.
    let mut known = HashMap::new();
    let pace = |service| *known.entry(service).or_insert_with(|| state.growth(service).pace);
    let loads: Vec<_> = state.directory.own_loads(now, pace).collect();
    let is_full = scope != Scope::Changes;
    let paces = if is_full { generation_stats(state) } else { Vec::new() };
    let waiting = waiting_completions(state, now);
    let watching = state.sees_store();
    let limits = call_limit::observed_limits(state, now);
    let crashes = state.crashes.tell_reports(now);
    let cleared = state.crashes.tell_cleared(now);
    let quarantined = state.quarantine.tell(scope.quarantined_calls(state.peers.known.len()), now);
    let peers = &mut state.peers;
    peers.sequence += 1;
    let count = peers.known.len();
    let skip = if count == 0 { 0 } else { state.rng.index(count) };
    let named = peers.known.keys().cycle().skip(skip).take(scope.named_peers(count));
    let gossip = LoadBeat {
        incarnation: peers.incarnation,
        sequence: peers.sequence,
        leaving: state.leaving.is_some(),
        peers: named.filter_map(to_wire).collect(),
        shunned,
        endpoints_news: peers.revision_to_send(Topic::Endpoints, &state.news, is_full),
        routes_news: peers.revision_to_send(Topic::Routes, &state.news, is_full),
        version: if is_full { state.routes.version } else { 0 },
        watching,
        paces,
        waiting,
        limits,
        crashes,
        cleared,
        quarantined,
        ..LoadBeat::default()
    };
    gossip.with_loads(loads)
}

impl State {
    /// When the next datagram is due.
    pub(crate) fn gossip_due(&self) -> Duration {
        let peers = &self.peers;
        if peers.sequence == 0 {
            return Duration::ZERO;
        }
        let heartbeat = peers.whole + peers.own_heartbeat_interval();
        let Some(since) = peers.since.filter(|_| peers.changed) else { return heartbeat };
        let per_peer = GOSSIP_INTERVAL_PER_PEER
            .saturating_mul(u32::try_from(peers.known.len()).unwrap_or(u32::MAX));
        let min_interval =
            if self.is_blind(peers.sent) { MIN_COLD_START_INTERVAL } else { MIN_GOSSIP_INTERVAL };
        // In a smaller fleet drafts wait for each other by milliseconds, and such news must not be late.
        let coalesce_delay =
            if self.hears_late() { per_peer / COALESCE_DIVISOR } else { Duration::ZERO };
        let due = match peers.urgent {
            true => (peers.sent + min_interval).max(since + coalesce_delay),
            false => peers.sent + min_interval.max(per_peer),
        };
        due.max(peers.affordable_at()).min(heartbeat)
    }
}

impl Peers {
    /// Addresses from which nothing has come yet.
    fn unknown_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let all = self.seeds.iter().chain(self.hints.keys()).copied();
        all.filter(|at| !self.known.contains_key(at) && Some(*at) != self.own)
    }

    /// When such addresses are tried next; none when there are none.
    pub(crate) fn probe_due(&self) -> Option<Duration> {
        self.unknown_addresses().next()?;
        let pause =
            if self.hints.is_empty() { MIN_HEARTBEAT_INTERVAL } else { PEER_PROBE_INTERVAL };
        Some(if self.sequence == 0 { Duration::ZERO } else { self.probed + pause })
    }

    /// Time between two heartbeats. All of them together keep within their part of what a daemon may
    /// receive.
    pub(super) fn heartbeat_interval(&self) -> Duration {
        if self.known.len() <= MANY_PEERS {
            return MIN_HEARTBEAT_INTERVAL;
        }
        let bytes = (self.known.len() * self.bytes) as f64;
        let time =
            Duration::from_secs_f64(bytes / (RECEIVED_BYTES_PER_SECOND * HEARTBEAT_FRACTION));
        time.clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
    }

    /// Peers from which something came so lately that they are not cut off.
    #[must_use]
    pub fn count_in_contact(&self, now: Duration) -> usize {
        let contact_timeout =
            self.heartbeat_interval().mul_f64(CONTACT_HEARTBEATS) + CONTACT_MARGIN;
        self.known.values().filter(|peer| now < peer.heard + contact_timeout).count()
    }

    /// The same of this daemon: others rest on the word of one that watches the store.
    fn own_heartbeat_interval(&self) -> Duration {
        if self.watching { MIN_HEARTBEAT_INTERVAL } else { self.heartbeat_interval() }
    }

    /// The next datagram is a heartbeat. In a small fleet each of them is.
    fn is_heartbeat_due(&self, now: Duration) -> bool {
        self.sequence == 0
            || self.known.len() <= MANY_PEERS
            || self.whole + self.own_heartbeat_interval() <= now
    }

    /// When the next datagram keeps what peers receive within its bound, if all send as much as this
    /// daemon.
    ///
    /// A token bucket: a daemon that had nothing to tell for some seconds tells its next changes at once.
    /// A least time between datagrams instead, long enough for the busiest moment, would keep back the
    /// rare changes of a daemon that has one draft in some seconds, and these are most of what there is to
    /// tell in a large fleet.
    fn affordable_at(&self) -> Duration {
        match self.known.len() <= MANY_PEERS {
            true => Duration::ZERO,
            false => self.spent,
        }
    }

    /// Takes a datagram's bytes out of the bucket.
    fn spend(&mut self, bytes: usize, now: Duration) {
        // What a small fleet says is not bounded, and must not silence it once it has grown.
        if self.known.len() <= MANY_PEERS {
            return;
        }
        let oldest_credit = now.saturating_sub(Duration::from_secs_f64(BURST_SECONDS));
        let cost = (self.known.len() * bytes) as f64 / RECEIVED_BYTES_PER_SECOND;
        self.spent = self.spent.max(oldest_credit) + Duration::from_secs_f64(cost);
    }
}

impl Peers {
    /// A topic's news for a datagram; none when the last heartbeat has told them.
    fn revision_to_send(
        &self,
        topic: Topic,
        news: &PerTopic<Revision>,
        is_full: bool,
    ) -> Option<StoreRevision> {
        let newest = *news.get(topic);
        let is_news = is_full || *self.told_news.get(topic) != newest;
        let Revision { era, number } = newest;
        (is_news && !newest.is_none()).then_some(StoreRevision { era, number })
    }
}

/// The first of this daemon's waiting drafts, for each service.
fn waiting_completions(state: &State, now: Duration) -> Vec<WaitingDraft> {
    let soonest = now + state.tuning.lead;
    let mut first: HashMap<&str, Place> = HashMap::new();
    for request in state.waiting.iter().filter_map(|id| state.requests.get(id)) {
        let place = request.place(soonest);
        let known = first.entry(&request.service).or_insert(place);
        *known = place.min(*known);
    }
    let all = first.into_iter().map(|(service, place)| WaitingDraft {
        service: service_hash(service),
        due: (place.due.as_millis() as i128 - now.as_millis() as i128) as i32,
    });
    all.collect()
}

/// How fast this daemon's own drafts were generated.
fn generation_stats(state: &State) -> Vec<ServicePace> {
    let all = state.paces.iter().map(|(service, pace)| ServicePace {
        service: service_hash(service),
        tokens: pace.tokens as f32,
        seconds: pace.seconds as f32,
        squares: pace.squares as f32,
        errors: pace.errors as f32,
    });
    all.collect()
}
