//! Daemons tell each other what they have at endpoints.
//!
//! Without it each daemon fills decode endpoints that others have filled already: prompts are then
//! read for drafts that wait for memory, and calls are refused while other endpoints have room.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use basilbank_wire::{LoadBeat, ServicePace, Shunned, StoreRevision, WaitingDraft};

use super::Turn;
use crate::{
    effect::Effect,
    note::Note,
    state::{
        Pace, Place, Share, State,
        peers::{Load, MANY_PEERS, Peer, Peers, from_wire, to_wire},
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

/// A peer that was silent for this long is gone, and so is its work: five heartbeats, or three in a
/// large fleet.
const GONE: Duration = Duration::from_millis(2500);

/// How long an address is tried that a peer named.
const HINT: Duration = Duration::from_secs(2);

/// Time between two tries.
const PROBE: Duration = Duration::from_millis(100);

/// Longest time for which a peer's word keeps an endpoint unused.
const SHUNNED_MOST: Duration = Duration::from_secs(10);

/// Peers that are named in a datagram.
const NAMED: usize = 6;

/// The same in a large fleet, where each daemon hears more datagrams.
const NAMED_BY_MANY: usize = 2;

/// The same to a daemon that has just started: those that three seeds name know all the others.
const NAMED_TO_NEW: usize = 24;

/// Takes a peer's datagram in.
pub fn heard(turn: &mut Turn<'_>, from: SocketAddr, beat: &LoadBeat) {
    let now = turn.now;
    let peers = &mut turn.state.peers;
    let before = peers.known.get(&from);
    // Datagrams overtake each other; what an older one says is over.
    let stale = before
        .is_some_and(|peer| (beat.incarnation, beat.sequence) <= (peer.incarnation, peer.sequence));
    if stale || Some(from) == peers.own {
        return;
    }
    let named: Vec<_> = beat.peers.iter().filter_map(|peer| from_wire(*peer)).collect();
    for address in named {
        if !peers.known.contains_key(&address) && Some(address) != peers.own {
            peers.hints.entry(address).or_insert(now + HINT);
        }
    }
    peers.hints.remove(&from);
    let fresh = before.is_none();
    let started = before.is_none_or(|peer| peer.incarnation != beat.incarnation);
    forget_loads(turn, from);
    // Its streams go on for as long as it may take to leave: to drop them at once would give away
    // memory that they have.
    if beat.leaving && beat.endpoints.is_empty() {
        return forget(turn, from, "leaving");
    }
    let loads = resolve(turn, beat);
    for load in &loads {
        turn.state.directory.others(load.endpoint, load.share);
    }
    shun(turn, &beat.shunned);
    hear_news(turn, Topic::Endpoints, beat.endpoints_news);
    hear_news(turn, Topic::Routes, beat.routes_news);
    let version = match beat.version {
        0 => turn.state.peers.known.get(&from).map_or(0, |peer| peer.version),
        version => version,
    };
    // Only heartbeats tell them.
    let kept = turn.state.peers.known.get_mut(&from).filter(|_| beat.paces.is_empty());
    let paces = match kept {
        Some(peer) => std::mem::take(&mut peer.paces),
        None => beat.paces.iter().map(pace_from_wire).collect(),
    };
    let before = turn.state.peers.known.get(&from);
    let blinded = before.is_some_and(|peer| peer.watching) && !beat.watching && !beat.leaving;
    turn.state.peers.doubts += u32::from(blinded);
    let peer = Peer {
        incarnation: beat.incarnation,
        sequence: beat.sequence,
        heard: now,
        loads,
        waiting: beat.waiting.iter().map(|draft| waiting_from_wire(draft, now)).collect(),
        version,
        watching: beat.watching,
        leaving: beat.leaving,
        paces,
    };
    let peers = &mut turn.state.peers;
    peers.known.insert(from, peer);
    peers.peak = peers.peak.max(peers.known.len());
    if fresh {
        turn.note(Note::new("peer").with("addr", from).with("state", "up"));
    }
    if started && !beat.leaving {
        introduce(turn, from);
    }
    turn.state.room = true;
}

/// A peer has seen a change. Without the exception a revision that doesn't exist would be heard again
/// and again: this daemon would ask the store for it all the time, and deny no route any more.
fn hear_news(turn: &mut Turn<'_>, topic: Topic, told: Option<StoreRevision>) {
    let Some(StoreRevision { era, number }) = told else { return };
    let revision = Revision { era, number };
    if revision != *turn.state.disproved.get(topic) {
        let news = turn.state.news.get_mut(topic);
        *news = revision.max(*news);
    }
}

/// The store has no change with this revision. Nobody's configuration changes by such a word; it costs
/// one question.
pub fn disproved(turn: &mut Turn<'_>, topic: Topic, revision: Revision) {
    let read = turn.state.revision(topic);
    *turn.state.disproved.get_mut(topic) = revision;
    let news = turn.state.news.get_mut(topic);
    // What came since the question is not disproved.
    if *news == revision {
        *news = read;
    }
    let note = Note::new("news_disproved").with("topic", topic.as_str());
    turn.note(note.with("revision", revision).with("store", read));
}

/// Sends what is due, and forgets peers that are silent.
pub fn tick(turn: &mut Turn<'_>) {
    let now = turn.now;
    turn.state.peers.heard = now;
    let gone = GONE.max(turn.state.peers.heartbeat() * 3);
    let silent: Vec<_> = turn
        .state
        .peers
        .known
        .iter()
        .filter(|(_, peer)| peer.heard + gone <= now)
        .map(|(address, _)| *address)
        .collect();
    for address in silent {
        forget_loads(turn, address);
        forget(turn, address, "silent");
    }
    if turn.state.peers.changed {
        turn.state.peers.since.get_or_insert(now);
    }
    if turn.state.peers.probe_due().is_some_and(|at| at <= now) {
        probe(turn);
    }
    if turn.state.beat_due() <= now {
        send(turn);
    }
}

/// Tells peers that this daemon leaves.
pub fn leave(turn: &mut Turn<'_>) {
    send(turn);
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
        let due = match peers.urgent {
            true => (peers.sent + least).max(since + each / COMPANY_PART),
            false => peers.sent + least.max(each),
        };
        due.max(peers.affordable()).min(heartbeat)
    }
}

impl Peers {
    /// Addresses from which nothing has come yet.
    fn unknown(&self) -> Vec<SocketAddr> {
        let all = self.seeds.iter().chain(self.hints.keys()).copied();
        let mut all: Vec<_> =
            all.filter(|at| !self.known.contains_key(at) && Some(*at) != self.own).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// When such addresses are tried next; none when there are none.
    pub(crate) fn probe_due(&self) -> Option<Duration> {
        if self.unknown().is_empty() {
            return None;
        }
        let pause = if self.hints.is_empty() { HEARTBEAT } else { PROBE };
        Some(if self.sequence == 0 { Duration::ZERO } else { self.probed + pause })
    }

    /// Time between two heartbeats. All of them together keep within their part of what a daemon may
    /// receive.
    fn heartbeat(&self) -> Duration {
        if self.known.len() <= MANY_PEERS {
            return HEARTBEAT;
        }
        let bytes = (self.known.len() * self.bytes) as f64;
        let time = Duration::from_secs_f64(bytes / (RECEIVED * HEARTBEAT_PART));
        time.clamp(HEARTBEAT, HEARTBEAT_MOST)
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
        let full = now.saturating_sub(Duration::from_secs_f64(SAVED));
        let takes = (self.known.len() * bytes) as f64 / RECEIVED;
        self.spent = self.spent.max(full) + Duration::from_secs_f64(takes);
    }
}

/// Tells all peers.
fn send(turn: &mut Turn<'_>) {
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
    let mut to: Vec<_> = peers.known.keys().copied().collect();
    to.sort_unstable();
    if !to.is_empty() {
        // What a full link doesn't take is lost: it must not be the same peers' each time, to whom this
        // daemon would be gone.
        let first = usize::try_from(beat.sequence).unwrap_or_default() % to.len();
        to.rotate_left(first);
        turn.push(Effect::SendBeat { to, beat });
    }
}

/// Tries addresses that may be nobody's, also when there is much to tell: daemons that don't know each
/// other count the same endpoint's room twice.
fn probe(turn: &mut Turn<'_>) {
    turn.state.peers.probed = turn.now;
    turn.state.peers.hints.retain(|_, until| turn.now < *until);
    let to = turn.state.peers.unknown();
    if !to.is_empty() {
        let beat = compose(turn.state, turn.now, Scope::All);
        turn.push(Effect::SendBeat { to, beat });
    }
}

/// Tells a daemon that has just started what this one has, and whom it knows.
///
/// In a large fleet heartbeats are seconds apart and name few. A daemon that learned of its peers by these
/// alone would place drafts for as long by the loads of the few that it has met.
fn introduce(turn: &mut Turn<'_>, to: SocketAddr) {
    let beat = compose(turn.state, turn.now, Scope::Introduction);
    turn.push(Effect::SendBeat { to: vec![to], beat });
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
        ..LoadBeat::default()
    };
    beat.with_loads(loads)
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

/// Endpoints that a peer knows to refuse work, or to be dark, are left alone. Only what a peer met
/// itself is passed on, and only once, so that a word dies with its cause.
fn shun(turn: &mut Turn<'_>, shunned: &[Shunned]) {
    let now = turn.now;
    for entry in shunned {
        let left = Duration::from_millis(u64::from(entry.left)).min(SHUNNED_MOST);
        let key = turn.state.directory.by_hash(entry.endpoint);
        if let Some(endpoint) = key.and_then(|key| turn.state.directory.get_mut(key)) {
            endpoint.avoid(now + left);
        }
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

fn waiting_from_wire(wire: &WaitingDraft, now: Duration) -> (u32, Duration) {
    let away = Duration::from_millis(u64::from(wire.due.unsigned_abs()));
    let due = if wire.due < 0 { now.saturating_sub(away) } else { now.saturating_add(away) };
    (wire.service, due)
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

fn pace_from_wire(wire: &ServicePace) -> (u32, Pace) {
    let pace = Pace {
        tokens: f64::from(wire.tokens),
        seconds: f64::from(wire.seconds),
        squares: f64::from(wire.squares),
        errors: f64::from(wire.errors),
    };
    (wire.service, pace)
}

fn resolve(turn: &Turn<'_>, beat: &LoadBeat) -> Vec<Load> {
    let directory = &turn.state.directory;
    let known = beat.loads().filter_map(|load| {
        let endpoint = directory.by_hash(load.endpoint)?;
        let share = Share {
            calls: load.calls,
            tokens: load.tokens,
            left: load.left,
            since: Some(turn.now),
        };
        Some(Load { endpoint, share })
    });
    known.collect()
}

fn forget_loads(turn: &mut Turn<'_>, from: SocketAddr) {
    let Some(peer) = turn.state.peers.known.get_mut(&from) else { return };
    for load in std::mem::take(&mut peer.loads) {
        turn.state.directory.no_others(load.endpoint, load.share);
    }
}

fn forget(turn: &mut Turn<'_>, from: SocketAddr, why: &str) {
    if turn.state.peers.known.remove(&from).is_some() {
        turn.note(Note::new("peer").with("addr", from).with("state", why));
    }
}
