//! What a daemon knows about forwarded calls.

pub mod budget;
pub mod call_limits;
pub mod counters;
pub mod crashes;
pub mod directory;
pub mod elect;
pub mod endpoint;
pub mod entries;
pub mod freshness;
pub mod grants;
pub mod line;
pub mod local;
pub mod pace;
pub mod peers;
pub mod permits;
pub mod quarantine;
pub mod quotas;
pub mod requests;
pub mod roles;
pub mod share;
pub mod suspects;
pub mod watchers;

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use basilbank_core::state::Rng;

pub use self::{
    budget::Budget,
    call_limits::CallLimits,
    counters::Counters,
    crashes::Crashes,
    directory::Directory,
    endpoint::Endpoint,
    entries::Entries,
    freshness::Freshness,
    grants::Grants,
    line::{Line, Place},
    local::{Leaving, Local, Start},
    pace::Pace,
    peers::{MANY_PEERS, Peer, Peers},
    permits::Permits,
    quarantine::Quarantine,
    quotas::Quotas,
    requests::{Draft, Live, Request},
    roles::{OrderRight, Roles},
    share::{Growth, Share},
    suspects::Suspects,
    watchers::Rest,
};
use crate::{
    call::RequestId,
    reading::Around,
    route::RouteTable,
    topic::{PerTopic, Revision, Topic},
    tuning::Tuning,
};

/// Daemons that a fleet may have: the size that the design aims at.
const LARGE_FLEET: usize = 320;

/// Part of the wait that a watch waits at least; the rest is random, since changes end all daemons'
/// watches at the same time.
const SHORTEST_WAIT: f64 = 0.4;

/// Milliseconds by which a peer's start lies before the own one when it has seen the load of the time
/// before: more than a restart of all at the same moment spreads, clocks included.
const STARTED_BEFORE: u64 = 3000;

/// How peers name a service to each other.
#[must_use]
pub fn service_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

/// All of it.
#[derive(Debug)]
pub struct State {
    /// Who this daemon is.
    pub local: Local,
    /// Constants.
    pub tuning: Tuning,
    /// The configuration in force.
    pub routes: Arc<RouteTable>,
    /// The endpoints.
    pub directory: Directory,
    /// Endpoints' entries beside those that are in use.
    pub entries: Entries,
    /// Calls in progress.
    pub requests: HashMap<RequestId, Request>,
    /// Retry budgets by service.
    pub budgets: HashMap<String, Budget>,
    /// The other daemons.
    pub peers: Peers,
    /// Endpoints that did not answer.
    pub suspects: Suspects,
    /// Endpoints that take so many calls a second only.
    pub call_limits: CallLimits,
    /// Permits for them.
    pub permits: Permits,
    /// Permits that this daemon gives out.
    pub grants: Grants,
    /// Endpoints that crashed, and what ran there.
    pub crashes: Crashes,
    /// How new the configuration in force is for certain.
    pub freshness: Freshness,
    /// What this daemon's callers have taken of the teams' quotas.
    pub quotas: Quotas,
    /// Quotas that this daemon counts for all.
    pub counters: Counters,
    /// Calls that are not sent to endpoints.
    pub quarantine: Quarantine,
    /// How fast drafts of a service are generated, by this daemon's own.
    pub paces: HashMap<String, Pace>,
    /// Drafts that wait for room.
    pub waiting: Vec<RequestId>,
    /// The line in which the drafts of all daemons wait.
    pub line: Line,
    /// There may be room for them since it was last looked for.
    pub(crate) room: bool,
    /// When room was last looked for on their behalf.
    pub(crate) served: Duration,
    /// The store's revision at which the configuration was read.
    pub routes_revision: Revision,
    /// The revision at which the last change that matters was seen, here or by a peer.
    pub news: PerTopic<Revision>,
    /// A revision that a peer told of and the store hasn't reached, if any. It goes round among daemons
    /// until all have asked the store.
    pub disproved: PerTopic<Revision>,
    /// Endpoints' entries that matter were read, and their revision isn't known yet.
    pub(crate) fresh: bool,
    /// Orders to endpoints.
    pub roles: Roles,
    /// When the first event came.
    pub(crate) started: Option<Duration>,
    /// SIGTERM came.
    pub leaving: Option<Leaving>,
    pub(crate) rng: Rng,
    timers: BTreeSet<(Duration, RequestId)>,
}

impl State {
    /// A daemon that knows nothing yet.
    #[must_use]
    pub fn new(local: Local, tuning: Tuning) -> State {
        let rng = Rng::new(local.seed);
        let peers = Peers {
            incarnation: local.incarnation,
            seeds: local.seeds.clone(),
            own: local.address,
            fleet: 1,
            ..Peers::default()
        };
        State {
            local,
            tuning,
            routes: Arc::default(),
            directory: Directory::default(),
            entries: Entries::default(),
            requests: HashMap::new(),
            budgets: HashMap::new(),
            peers,
            suspects: Suspects::default(),
            call_limits: CallLimits::default(),
            permits: Permits::default(),
            grants: Grants::default(),
            crashes: Crashes::default(),
            quarantine: Quarantine::default(),
            freshness: Freshness::default(),
            quotas: Quotas::default(),
            counters: Counters::default(),
            paces: HashMap::new(),
            waiting: Vec::new(),
            line: Line::default(),
            room: false,
            served: Duration::ZERO,
            routes_revision: Revision::NONE,
            news: PerTopic::default(),
            disproved: PerTopic::default(),
            fresh: false,
            roles: Roles::default(),
            started: None,
            leaving: None,
            rng,
            timers: BTreeSet::new(),
        }
    }

    /// Daemons among which the slack of the retry budgets is shared.
    ///
    /// A daemon that has just started knows few peers yet, and those that started with it may all have
    /// used their shares a moment ago: for a window it takes the fleet for a large one.
    #[must_use]
    pub fn sharers(&self, now: Duration) -> usize {
        let young = self.started.is_none_or(|at| now < at + self.tuning.retry_window);
        let known = self.peers.peak + 1;
        if young { known.max(LARGE_FLEET) } else { known }
    }

    /// This daemon has just started again, and so have all that it hears: nobody's load is known, and
    /// callers whose streams were cut come back all at once.
    #[must_use]
    pub fn is_blind(&self, now: Duration) -> bool {
        let old = |peer: &Peer| self.started_before(peer.incarnation);
        self.is_young(now) && !self.peers.known.values().any(old)
    }

    /// This daemon has just started again.
    fn is_young(&self, now: Duration) -> bool {
        let young = self.started.is_some_and(|at| now < at + self.tuning.blind);
        young && self.local.start == Start::Again
    }

    /// A peer with this incarnation has run for some time when this daemon started.
    #[must_use]
    pub fn started_before(&self, incarnation: u64) -> bool {
        incarnation + STARTED_BEFORE < self.local.incarnation
    }

    /// Daemons that there may be. Right after a start that all may have made together nobody knows.
    #[must_use]
    pub fn fleet(&self, now: Duration) -> usize {
        let unknown = self.is_young(now) && !self.peers.fleet_told;
        if unknown { self.peers.fleet.max(LARGE_FLEET) } else { self.peers.fleet }
    }

    /// How drafts of a service grow, by what all daemons have measured.
    #[must_use]
    pub fn growth(&self, service: &str) -> Growth {
        let pace = self.pace(service);
        Growth { pace: pace.per_second(), margin: pace.error() * self.tuning.growth_margin }
    }

    fn pace(&self, service: &str) -> Pace {
        let own = self.paces.get(service).copied().unwrap_or_default();
        let name = service_hash(service);
        let told = self.peers.known.values().flat_map(|peer| &peer.paces);
        let told = told.filter(|(service, _)| *service == name);
        told.fold(own, |all, (_, pace)| all.with(*pace))
    }

    /// How many peers have a draft in the line that goes before one with this due time.
    #[must_use]
    pub fn before(&self, service: &str, due: Duration, now: Duration) -> usize {
        let name = service_hash(service);
        let soonest = now + self.tuning.lead;
        let own = Place::new(due, soonest);
        let first = |peer: &Peer| {
            let told = peer.waiting.iter().find(|(service, _)| *service == name);
            told.is_some_and(|(_, due)| Place::new(*due, soonest) < own)
        };
        self.peers.known.values().filter(|peer| first(peer)).count()
    }

    /// Calls can be served: configuration and endpoints are known, no key may have been taken away, and the
    /// daemon stays.
    #[must_use]
    pub fn ready(&self) -> bool {
        let trusted = !self.needs_proof() || self.trusts_keys(self.peers.now);
        self.knows() && self.leaving.is_none() && trusted
    }

    /// Configuration and endpoints are known.
    #[must_use]
    pub fn knows(&self) -> bool {
        self.routes.version != 0 && !self.directory.revision.is_none()
    }

    /// A peer has seen a change in the store that this daemon has not read.
    #[must_use]
    pub fn behind(&self, topic: Topic) -> bool {
        let read = self.revision(topic);
        !read.is_none() && read < *self.news.get(topic)
    }

    /// The store's revision at which a topic was read.
    #[must_use]
    pub fn revision(&self, topic: Topic) -> Revision {
        match topic {
            Topic::Routes => self.routes_revision,
            Topic::Endpoints => self.directory.revision,
        }
    }

    /// What a topic's reader has to know.
    pub fn around(&mut self, topic: Topic) -> Around {
        let wait = self.read_wait();
        let Rest { follows, doubts } = self.rests();
        let peers = self.peers.known.len();
        let shared = peers != 0 && (!self.is_large() || self.watches());
        let news = *self.news.get(topic);
        let proves = topic == Topic::Routes && self.needs_proof();
        let most = if proves { freshness::WATCH_MOST } else { Duration::MAX };
        let follows = follows && !(proves && self.proof_is_old(self.peers.now));
        Around { wait, most, peers, shared, news, follows, doubts }
    }

    /// The fleet is so large that what daemons hear of each other a second is bounded.
    #[must_use]
    pub fn hears_late(&self) -> bool {
        MANY_PEERS < self.peers.known.len()
    }

    /// No configuration is known, or a peer has read a newer one: what it lacks or forbids may be there
    /// or allowed by now, so no caller may be told so for good. The store itself may hold an older one
    /// than a peer has in force, when it has come back from a copy.
    #[must_use]
    pub fn outdated(&self) -> bool {
        let newer = |peer: &Peer| self.routes.version < peer.version;
        !self.knows() || self.behind(Topic::Routes) || self.peers.known.values().any(newer)
    }

    /// How long the next watch of the store waits for a change.
    ///
    /// Each call to the store is paid for, so a wait should be long. But an open connection can go
    /// silent without a sign, and a watch on it would wait to its end while endpoints leave. Daemons
    /// that hear each other wait long, each for another time: the first whose watch ends reads what
    /// came, and tells the others, which then ask anew. A daemon that hears few relies on itself.
    pub fn read_wait(&mut self) -> Duration {
        let tuning = &self.tuning;
        // Those that watch for others have few to share the watch with; those that should rest on others
        // and can't, since these don't see the store, have none.
        let peers = match (self.is_large(), self.watches()) {
            (false, _) => self.peers.known.len(),
            (true, true) => watchers::WATCHERS_LEAST,
            (true, false) => 0,
        };
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        let wait = tuning.read_each.saturating_mul(peers.saturating_add(1));
        let wait = wait.clamp(tuning.read_alone, tuning.read_longest);
        wait.mul_f64(SHORTEST_WAIT + (1.0 - SHORTEST_WAIT) * self.rng.unit())
    }

    /// When the next `Tick` is due.
    #[must_use]
    pub fn wake_at(&self) -> Option<Duration> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let expiry = self.directory.next_expiry();
        let probe = self.suspects.due();
        // Drafts that run need less from one moment to the next, also when nothing happens.
        let room = (!self.waiting.is_empty()).then_some(self.served + self.tuning.hold_pause);
        let turn = self.line.turn.filter(|_| !self.waiting.is_empty());
        timer
            .into_iter()
            .chain(expiry)
            .chain(probe)
            .chain(self.crashes.due())
            .chain(self.grants.due())
            .chain(room)
            .chain(turn)
            .chain(self.peers.probe_due())
            .chain(self.proof_due())
            .chain(self.quotas.due())
            .chain([self.gossip_due()])
            .min()
    }

    pub(crate) fn set_timer(&mut self, at: Duration, id: RequestId) {
        self.timers.insert((at, id));
    }

    pub(crate) fn due_timer(&mut self, now: Duration) -> Option<RequestId> {
        let (at, id) = *self.timers.first()?;
        if now < at {
            return None;
        }
        self.timers.remove(&(at, id));
        Some(id)
    }

    pub(crate) fn drop_timers(&mut self, id: RequestId, times: &[Duration]) {
        for at in times {
            self.timers.remove(&(*at, id));
        }
    }
}
