//! What a daemon knows about forwarded calls.

pub mod call_limits;
pub mod completion_queue;
pub mod crashes;
pub mod directory;
pub mod endpoint;
pub mod endpoint_records;
pub mod freshness;
pub mod generation;
pub mod local;
pub mod owned_quotas;
pub mod owner;
pub mod peers;
pub mod permit_holder;
pub mod permit_issuer;
pub mod quarantine;
pub mod quotas;
pub mod requests;
pub mod retry_budget;
pub mod roles;
pub mod suspects;
pub mod usage;
pub mod watchers;

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use basilbank_core::state::Rng;

pub use self::{
    call_limits::CallLimits,
    completion_queue::{CompletionQueue, QueuePosition},
    crashes::Crashes,
    directory::Directory,
    endpoint::Endpoint,
    endpoint_records::EndpointRecords,
    freshness::Freshness,
    generation::GenerationStats,
    local::{Leaving, Local, SystemStart},
    owned_quotas::OwnedQuotas,
    peers::{MAX_PEERS_UNLIMITED_GOSSIP, Peer, Peers},
    permit_holder::PermitHolder,
    permit_issuer::PermitIssuer,
    quarantine::Quarantine,
    quotas::Quotas,
    requests::{ActiveAttempt, Completion, Request},
    retry_budget::RetryBudget,
    roles::{OrderRight, Roles},
    suspects::Suspects,
    usage::{Growth, Usage},
    watchers::FollowState,
};
use crate::{
    call::RequestId,
    reading::Around,
    route::RouteTable,
    topic::{PerTopic, Revision, Topic},
    tuning::Tuning,
};

/// Daemons that a fleet may have: the size that the design aims at.
const DESIGN_FLEET_SIZE: usize = 320;

/// Part of the wait that a watch waits at least; the rest is random, since changes end all daemons'
/// watches at the same time.
const MIN_WAIT_FRACTION: f64 = 0.4;

/// Milliseconds by which a peer's start lies before the own one when it has seen the load of the time
/// before: more than a restart of all at the same moment spreads, clocks included.
const MIN_START_GAP_MS: u64 = 3000;

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
    pub records: EndpointRecords,
    /// Calls in progress.
    pub requests: HashMap<RequestId, Request>,
    /// Retry budgets by service.
    pub retry_budgets: HashMap<String, RetryBudget>,
    /// The other daemons.
    pub peers: Peers,
    /// Endpoints that did not answer.
    pub suspects: Suspects,
    /// Endpoints that take so many calls a second only.
    pub call_limits: CallLimits,
    /// Permits for them.
    pub permit_holder: PermitHolder,
    /// Permits that this daemon gives out.
    pub permit_issuer: PermitIssuer,
    /// Endpoints that crashed, and what ran there.
    pub crashes: Crashes,
    /// How new the configuration in force is for certain.
    pub freshness: Freshness,
    /// What this daemon's callers have taken of the teams' quotas.
    pub quotas: Quotas,
    /// Quotas that this daemon counts for all.
    pub owned_quotas: OwnedQuotas,
    /// Calls that are not sent to endpoints.
    pub quarantine: Quarantine,
    /// How fast drafts of a service are generated, by this daemon's own.
    pub generation_stats: HashMap<String, GenerationStats>,
    /// Drafts that wait for room.
    pub waiting: Vec<RequestId>,
    /// The line in which the drafts of all daemons wait.
    pub queue: CompletionQueue,
    /// There may be room for them since it was last looked for.
    pub(crate) capacity_changed: bool,
    /// When room was last looked for on their behalf.
    pub(crate) capacity_checked: Duration,
    /// The store's revision at which the configuration was read.
    pub routes_revision: Revision,
    /// The revision at which the last change that matters was seen, here or by a peer.
    pub latest_changes: PerTopic<Revision>,
    /// A revision that a peer told of and the store hasn't reached, if any. It goes round among daemons
    /// until all have asked the store.
    pub missing_revisions: PerTopic<Revision>,
    /// Endpoints' entries that matter were read, and their revision isn't known yet.
    pub(crate) records_changed: bool,
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
            own_address: local.address,
            fleet_size: 1,
            ..Peers::default()
        };
        State {
            local,
            tuning,
            routes: Arc::default(),
            directory: Directory::default(),
            records: EndpointRecords::default(),
            requests: HashMap::new(),
            retry_budgets: HashMap::new(),
            peers,
            suspects: Suspects::default(),
            call_limits: CallLimits::default(),
            permit_holder: PermitHolder::default(),
            permit_issuer: PermitIssuer::default(),
            crashes: Crashes::default(),
            quarantine: Quarantine::default(),
            freshness: Freshness::default(),
            quotas: Quotas::default(),
            owned_quotas: OwnedQuotas::default(),
            generation_stats: HashMap::new(),
            waiting: Vec::new(),
            queue: CompletionQueue::default(),
            capacity_changed: false,
            capacity_checked: Duration::ZERO,
            routes_revision: Revision::NONE,
            latest_changes: PerTopic::default(),
            missing_revisions: PerTopic::default(),
            records_changed: false,
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
    pub fn slack_sharers(&self, now: Duration) -> usize {
        let is_recent = self.started.is_none_or(|at| now < at + self.tuning.retry_window);
        let known = self.peers.peak_count + 1;
        if is_recent { known.max(DESIGN_FLEET_SIZE) } else { known }
    }

    /// This daemon has just started again, and so have all that it hears: nobody's load is known, and
    /// callers whose streams were cut come back all at once.
    #[must_use]
    pub fn is_cold_start(&self, now: Duration) -> bool {
        let is_older = |peer: &Peer| self.started_before(peer.incarnation);
        self.is_recently_started(now) && !self.peers.known.values().any(is_older)
    }

    /// This daemon has just started again.
    fn is_recently_started(&self, now: Duration) -> bool {
        let is_recent = self.started.is_some_and(|at| now < at + self.tuning.cold_start);
        is_recent && self.local.start == SystemStart::Restart
    }

    /// A peer with this incarnation has run for some time when this daemon started.
    #[must_use]
    pub fn started_before(&self, incarnation: u64) -> bool {
        incarnation + MIN_START_GAP_MS < self.local.incarnation
    }

    /// Daemons that there may be. Right after a start that all may have made together nobody knows.
    #[must_use]
    pub fn fleet_size(&self, now: Duration) -> usize {
        let is_unknown = self.is_recently_started(now) && !self.peers.fleet_reported;
        if is_unknown {
            self.peers.fleet_size.max(DESIGN_FLEET_SIZE)
        } else {
            self.peers.fleet_size
        }
    }

    /// How drafts of a service grow, by what all daemons have measured.
    #[must_use]
    pub fn growth(&self, service: &str) -> Growth {
        let stats = self.generation_stats(service);
        Growth {
            rate: stats.tokens_per_second(),
            margin: stats.relative_error() * self.tuning.growth_margin,
        }
    }

    fn generation_stats(&self, service: &str) -> GenerationStats {
        let own = self.generation_stats.get(service).copied().unwrap_or_default();
        let name = service_hash(service);
        let reported = self.peers.known.values().flat_map(|peer| &peer.generation_stats);
        let reported = reported.filter(|(service, _)| *service == name);
        reported.fold(own, |all, (_, stats)| all.merge(*stats))
    }

    /// How many peers have a draft in the line that goes before one with this due time.
    #[must_use]
    pub fn peers_ahead(&self, service: &str, due: Duration, now: Duration) -> usize {
        let name = service_hash(service);
        let soonest = now + self.tuning.first_token_delay;
        let own = QueuePosition::new(due, soonest);
        let is_ahead = |peer: &Peer| {
            let waiting = peer.waiting.iter().find(|(service, _)| *service == name);
            waiting.is_some_and(|(_, due)| QueuePosition::new(*due, soonest) < own)
        };
        self.peers.known.values().filter(|peer| is_ahead(peer)).count()
    }

    /// Calls can be served: configuration and endpoints are known, no key may have been taken away, and the
    /// daemon stays.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_trusted = !self.needs_confirmation() || self.can_trust_keys(self.peers.now);
        self.is_initialized() && self.leaving.is_none() && is_trusted
    }

    /// Configuration and endpoints are known.
    #[must_use]
    pub fn is_initialized(&self) -> bool {
        self.routes.version != 0 && !self.directory.revision.is_none()
    }

    /// A peer has seen a change in the store that this daemon has not read.
    #[must_use]
    pub fn is_stale(&self, topic: Topic) -> bool {
        let read = self.revision(topic);
        !read.is_none() && read < *self.latest_changes.get(topic)
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
    pub fn reader_context(&mut self, topic: Topic) -> Around {
        let wait = self.pick_watch_wait();
        let FollowState { follows, watcher_losses } = self.follow_state();
        let peers = self.peers.known.len();
        let shared = peers != 0 && (!self.is_large_fleet() || self.is_watcher());
        let news = *self.latest_changes.get(topic);
        let confirms = topic == Topic::Routes && self.needs_confirmation();
        let most = if confirms { freshness::MAX_WATCH_WAIT } else { Duration::MAX };
        let follows = follows && !(confirms && self.is_confirmation_old(self.peers.now));
        Around { wait, most, peers, shared, news, follows, doubts: watcher_losses }
    }

    /// The fleet is so large that what daemons hear of each other a second is bounded.
    #[must_use]
    pub fn is_gossip_limited(&self) -> bool {
        MAX_PEERS_UNLIMITED_GOSSIP < self.peers.known.len()
    }

    /// No configuration is known, or a peer has read a newer one: what it lacks or forbids may be there
    /// or allowed by now, so no caller may be told so for good. The store itself may hold an older one
    /// than a peer has in force, when it has come back from a copy.
    #[must_use]
    pub fn is_configuration_outdated(&self) -> bool {
        let is_newer = |peer: &Peer| self.routes.version < peer.version;
        !self.is_initialized()
            || self.is_stale(Topic::Routes)
            || self.peers.known.values().any(is_newer)
    }

    /// How long the next watch of the store waits for a change.
    ///
    /// Each call to the store is paid for, so a wait should be long. But an open connection can go
    /// silent without a sign, and a watch on it would wait to its end while endpoints leave. Daemons
    /// that hear each other wait long, each for another time: the first whose watch ends reads what
    /// came, and tells the others, which then ask anew. A daemon that hears few relies on itself.
    pub fn pick_watch_wait(&mut self) -> Duration {
        let tuning = &self.tuning;
        // Those that watch for others have few to share the watch with; those that should rest on others
        // and can't, since these don't see the store, have none.
        let peers = match (self.is_large_fleet(), self.is_watcher()) {
            (false, _) => self.peers.known.len(),
            (true, true) => watchers::MIN_WATCHERS,
            (true, false) => 0,
        };
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        let wait = tuning.watch_wait_per_peer.saturating_mul(peers.saturating_add(1));
        let wait = wait.clamp(tuning.solo_watch_wait, tuning.max_watch_wait);
        wait.mul_f64(MIN_WAIT_FRACTION + (1.0 - MIN_WAIT_FRACTION) * self.rng.unit())
    }

    /// When the next `Tick` is due.
    #[must_use]
    pub fn wake_at(&self) -> Option<Duration> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let expiry = self.directory.next_expiry();
        let probe = self.suspects.due();
        // Drafts that run need less from one moment to the next, also when nothing happens.
        let capacity_check =
            (!self.waiting.is_empty()).then_some(self.capacity_checked + self.tuning.hold_pause);
        let queue_turn = self.queue.next_turn.filter(|_| !self.waiting.is_empty());
        timer
            .into_iter()
            .chain(expiry)
            .chain(probe)
            .chain(self.crashes.due())
            .chain(self.permit_issuer.due())
            .chain(capacity_check)
            .chain(queue_turn)
            .chain(self.peers.probe_due())
            .chain(self.confirmation_due())
            .chain(self.quotas.due())
            .chain([self.gossip_due()])
            .min()
    }

    pub(crate) fn set_timer(&mut self, at: Duration, id: RequestId) {
        self.timers.insert((at, id));
    }

    pub(crate) fn pop_due_timer(&mut self, now: Duration) -> Option<RequestId> {
        let (at, id) = *self.timers.first()?;
        if now < at {
            return None;
        }
        self.timers.remove(&(at, id));
        Some(id)
    }

    pub(crate) fn cancel_timers(&mut self, id: RequestId, times: &[Duration]) {
        for at in times {
            self.timers.remove(&(*at, id));
        }
    }
}
