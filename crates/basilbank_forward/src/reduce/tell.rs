//! When a daemon tells its peers what it has, and how much of it.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use basilbank_wire::{LoadBeat, ServicePace, Shunned, StoreRevision, WaitingDraft};

use super::{Turn, limit};
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
const LEAST: Duration = Duration::from_millis(15);

/// The same while all daemons have just started again. Each knows the seeds alone then, and sends them
/// what it has: at 320 daemons and 15 ms the seeds would get 21,000 datagrams a second, and do nothing
/// else; so it is 2,100.
const LEAST_BLIND: Duration = Duration::from_millis(150);

/// Added for each peer, so that a daemon receives at most a thousand datagrams a second.
const EACH_PEER: Duration = Duration::from_millis(1);

/// Part of [`EACH_PEER`] for which news of room that was taken waits for company: the prompt's reading
/// begins a round trip after the slot is held, and both go out together.
const COMPANY_PART: u32 = 16;

/// Most that a daemon of a large fleet receives, in bytes a second: what it may use for control is 26 KB;
/// the store's changes take one of them, and datagrams that grow from one to the next another.
const RECEIVED: f64 = 24_000.0;

/// Part of [`RECEIVED`] that heartbeats may take; the others tell of changes.
const HEARTBEAT_PART: f64 = 0.4;

/// Seconds of its part of [`RECEIVED`] that a daemon which had nothing to tell may use at once: the
/// datagrams of some drafts.
const SAVED: f64 = 4.0;

/// The heartbeat of a small fleet.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// The longest heartbeat.
const HEARTBEAT_MOST: Duration = Duration::from_secs(3);

/// Heartbeats without which a peer may be cut off: one of them may have been lost.
const HEARTBEATS: f64 = 2.0;

/// How late the last of them may be.
const LATE: Duration = Duration::from_millis(200);

/// Time between two tries.
const PROBE: Duration = Duration::from_millis(100);

/// Peers that are named in a datagram.
const NAMED: usize = 6;

/// The same in a large fleet, where each daemon hears more datagrams.
const NAMED_BY_MANY: usize = 2;

/// The same to a daemon that has just started: those that three seeds name know all the others.
const NAMED_TO_NEW: usize = 24;

/// Calls in quarantine that a heartbeat tells of besides new ones.
const QUARANTINED: usize = 8;

/// The same in a large fleet, where each daemon hears more of them.
const QUARANTINED_BY_MANY: usize = 2;

/// The same to a daemon that has just started; what is left comes with heartbeats.
const QUARANTINED_TO_NEW: usize = 64;

/// Tells all peers.
pub fn send(turn: &mut Turn<'_>) {
    let now = turn.now;
    let state = &mut *turn.state;
    let scope = match state.peers.tells_all(now) || state.leaving.is_some() {
        true => Scope::All,
        false => Scope::Changes,
    };
    let beat = compose(state, now, scope);
    let bytes = beat.wire_bytes();
    let peers = &mut state.peers;
    peers.sent = now;
    peers.told(now);
    peers.watching = beat.watching;
    // Few watch, so their heartbeats are a small part of what peers receive; they must not take the
    // place of what this daemon has to tell of its load.
    if scope == Scope::Changes || !beat.watching {
        peers.spend(bytes, now);
    }
    if scope == Scope::All {
        peers.whole = now;
        peers.bytes = bytes;
        peers.told_news = state.news;
    }
    let mut to = peers.addresses();
    if !to.is_empty() {
        // What a full link doesn't take is lost: it must not be the same peers' each time, to whom this
        // daemon would be gone.
        let first = usize::try_from(beat.sequence).unwrap_or_default() % to.len();
        to.rotate_left(first);
        turn.push(Effect::SendBeat { to, beat: Box::new(beat) });
    }
}

/// Tries addresses that may be nobody's, also when there is much to tell: daemons that don't know each
/// other count the same endpoint's room twice.
pub fn probe(turn: &mut Turn<'_>) {
    turn.state.peers.probed = turn.now;
    turn.state.peers.hints.retain(|_, until| turn.now < *until);
    let mut to: Vec<_> = turn.state.peers.unknown().collect();
    to.sort_unstable();
    to.dedup();
    if !to.is_empty() {
        let beat = compose(turn.state, turn.now, Scope::All);
        turn.push(Effect::SendBeat { to, beat: Box::new(beat) });
    }
}

/// Tells a daemon that has just started what this one has, and whom it knows.
///
/// In a large fleet heartbeats are seconds apart and name few. A daemon that learned of its peers by these
/// alone would place drafts for as long by the loads of the few that it has met.
pub fn introduce(turn: &mut Turn<'_>, to: SocketAddr, incarnation: u64) {
    let mut beat = compose(turn.state, turn.now, Scope::Introduction);
    let peers = &turn.state.peers;
    // One that started with this daemon would learn nothing by it.
    if peers.incarnation < incarnation {
        beat.fleet = u32::try_from(peers.fleet).unwrap_or(u32::MAX);
    }
    turn.push(Effect::SendBeat { to: vec![to], beat: Box::new(beat) });
}

/// How much a datagram tells.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Scope {
    /// What changes fast. The rest is told with heartbeats only, so that the datagrams between them are
    /// short.
    Changes,
    /// All there is.
    All,
    /// That, and many peers.
    Introduction,
}

impl Scope {
    /// Peers that are named, when so many are known.
    fn named(self, known: usize) -> usize {
        let most = match self {
            Scope::Changes => 0,
            Scope::All if MANY_PEERS < known => NAMED_BY_MANY,
            Scope::All => NAMED,
            Scope::Introduction => NAMED_TO_NEW,
        };
        most.min(known)
    }
}

impl Scope {
    /// Calls in quarantine that are told though they aren't new, when so many peers are known.
    fn quarantined(self, known: usize) -> usize {
        match self {
            Scope::Changes => 0,
            Scope::All if MANY_PEERS < known => QUARANTINED_BY_MANY,
            Scope::All => QUARANTINED,
            Scope::Introduction => QUARANTINED_TO_NEW,
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
    let whole = scope != Scope::Changes;
    let paces = if whole { paces(state) } else { Vec::new() };
    let waiting = waiting(state, now);
    let watching = state.sees_store();
    let limits = limit::seen(state, now);
    let crashes = state.crashes.tell_reports(now);
    let cleared = state.crashes.tell_cleared(now);
    let quarantined = state.quarantine.tell(scope.quarantined(state.peers.known.len()), now);
    let peers = &mut state.peers;
    peers.sequence += 1;
    let count = peers.known.len();
    let skip = if count == 0 { 0 } else { state.rng.index(count) };
    let named = peers.known.keys().cycle().skip(skip).take(scope.named(count));
    let beat = LoadBeat {
        incarnation: peers.incarnation,
        sequence: peers.sequence,
        leaving: state.leaving.is_some(),
        peers: named.filter_map(to_wire).collect(),
        shunned,
        endpoints_news: peers.news(Topic::Endpoints, &state.news, whole),
        routes_news: peers.news(Topic::Routes, &state.news, whole),
        version: if whole { state.routes.version } else { 0 },
        watching,
        paces,
        waiting,
        limits,
        crashes,
        cleared,
        quarantined,
        ..LoadBeat::default()
    };
    beat.with_loads(loads)
}

impl State {
    /// When the next datagram is due.
    pub(crate) fn beat_due(&self) -> Duration {
        let peers = &self.peers;
        if peers.sequence == 0 {
            return Duration::ZERO;
        }
        let heartbeat = peers.whole + peers.own_heartbeat();
        let Some(since) = peers.since.filter(|_| peers.changed) else { return heartbeat };
        let each = EACH_PEER.saturating_mul(u32::try_from(peers.known.len()).unwrap_or(u32::MAX));
        let least = if self.is_blind(peers.sent) { LEAST_BLIND } else { LEAST };
        // In a smaller fleet drafts wait for each other by milliseconds, and such news must not be late.
        let company = if self.hears_late() { each / COMPANY_PART } else { Duration::ZERO };
        let due = match peers.urgent {
            true => (peers.sent + least).max(since + company),
            false => peers.sent + least.max(each),
        };
        due.max(peers.affordable()).min(heartbeat)
    }
}

impl Peers {
    /// Addresses from which nothing has come yet.
    fn unknown(&self) -> impl Iterator<Item = SocketAddr> {
        let all = self.seeds.iter().chain(self.hints.keys()).copied();
        all.filter(|at| !self.known.contains_key(at) && Some(*at) != self.own)
    }

    /// When such addresses are tried next; none when there are none.
    pub(crate) fn probe_due(&self) -> Option<Duration> {
        self.unknown().next()?;
        let pause = if self.hints.is_empty() { HEARTBEAT } else { PROBE };
        Some(if self.sequence == 0 { Duration::ZERO } else { self.probed + pause })
    }

    /// Time between two heartbeats. All of them together keep within their part of what a daemon may
    /// receive.
    pub(super) fn heartbeat(&self) -> Duration {
        if self.known.len() <= MANY_PEERS {
            return HEARTBEAT;
        }
        let bytes = (self.known.len() * self.bytes) as f64;
        let time = Duration::from_secs_f64(bytes / (RECEIVED * HEARTBEAT_PART));
        time.clamp(HEARTBEAT, HEARTBEAT_MOST)
    }

    /// Peers from which something came so lately that they are not cut off.
    #[must_use]
    pub fn heard(&self, now: Duration) -> usize {
        let lately = self.heartbeat().mul_f64(HEARTBEATS) + LATE;
        self.known.values().filter(|peer| now < peer.heard + lately).count()
    }

    /// The same of this daemon: others rest on the word of one that watches the store.
    fn own_heartbeat(&self) -> Duration {
        if self.watching { HEARTBEAT } else { self.heartbeat() }
    }

    /// The next datagram is a heartbeat. In a small fleet each of them is.
    fn tells_all(&self, now: Duration) -> bool {
        self.sequence == 0
            || self.known.len() <= MANY_PEERS
            || self.whole + self.own_heartbeat() <= now
    }

    /// When the next datagram keeps what peers receive within its bound, if all send as much as this
    /// daemon.
    ///
    /// A token bucket: a daemon that had nothing to tell for some seconds tells its next changes at once.
    /// A least time between datagrams instead, long enough for the busiest moment, would keep back the
    /// rare changes of a daemon that has one draft in some seconds, and these are most of what there is to
    /// tell in a large fleet.
    fn affordable(&self) -> Duration {
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
        let full = now.saturating_sub(Duration::from_secs_f64(SAVED));
        let takes = (self.known.len() * bytes) as f64 / RECEIVED;
        self.spent = self.spent.max(full) + Duration::from_secs_f64(takes);
    }
}

impl Peers {
    /// A topic's news for a datagram; none when the last heartbeat has told them.
    fn news(&self, topic: Topic, news: &PerTopic<Revision>, whole: bool) -> Option<StoreRevision> {
        let newest = *news.get(topic);
        let is_news = whole || *self.told_news.get(topic) != newest;
        let Revision { era, number } = newest;
        (is_news && !newest.is_none()).then_some(StoreRevision { era, number })
    }
}

/// The first of this daemon's waiting drafts, for each service.
fn waiting(state: &State, now: Duration) -> Vec<WaitingDraft> {
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
fn paces(state: &State) -> Vec<ServicePace> {
    let all = state.paces.iter().map(|(service, pace)| ServicePace {
        service: service_hash(service),
        tokens: pace.tokens as f32,
        seconds: pace.seconds as f32,
        squares: pace.squares as f32,
        errors: pace.errors as f32,
    });
    all.collect()
}
