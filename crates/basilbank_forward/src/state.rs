//! What a daemon knows about forwarded calls.

pub mod announcements;
pub mod assignments;
pub mod bound;
pub mod call_limits;
pub mod common_parts;
pub mod completion_queue;
pub mod crashes;
pub mod demand;
mod demand_bounds;
pub mod directory;
pub mod endpoint;
pub mod endpoint_records;
pub mod evidence;
pub mod first_list;
pub mod fleet;
pub mod forecast;
pub mod freshness;
pub mod generation;
pub mod held_back;
pub mod history;
pub mod list_reads;
pub mod local;
pub mod origins;
pub mod owned_quotas;
pub mod owner;
pub mod peers;
pub mod permit_holder;
pub mod permit_issuer;
pub mod proofs;
pub mod proxies;
pub mod quarantine;
pub mod queue_order;
pub mod quotas;
pub mod relays;
pub mod requests;
pub mod retry_budget;
pub mod returns;
pub mod roles;
pub mod statements;
pub mod suspects;
pub mod takeovers;
pub mod usage;
pub mod versions;
pub mod watchers;

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use basilbank_core::state::Rng;

pub use self::{
    assignments::Assignments,
    call_limits::CallLimits,
    common_parts::CommonParts,
    completion_queue::CompletionQueue,
    crashes::Crashes,
    demand::{Demand, WorkAhead},
    directory::Directory,
    endpoint::Endpoint,
    endpoint_records::EndpointRecords,
    first_list::FirstList,
    fleet::{Fleet, FleetBasis},
    forecast::Forecasts,
    freshness::Freshness,
    generation::GenerationStats,
    history::History,
    list_reads::ListReads,
    local::{Leaving, Local, SystemStart},
    origins::Origins,
    owned_quotas::OwnedQuotas,
    peers::{MAX_PEERS_UNLIMITED_GOSSIP, Peer, Peers},
    permit_holder::PermitHolder,
    permit_issuer::PermitIssuer,
    proxies::{Proxies, Reach},
    quarantine::Quarantine,
    queue_order::{QueuePosition, ServiceOrder},
    quotas::Quotas,
    requests::{ActiveAttempt, Completion, Request},
    retry_budget::RetryBudget,
    returns::Returns,
    roles::{OrderRight, Roles},
    statements::Statements,
    suspects::Suspects,
    takeovers::Takeovers,
    usage::{Growth, Usage},
    versions::Versions,
    watchers::FollowState,
};
use crate::{
    call::RequestId,
    effect::Effect,
    endpoint::{EndpointKey, SoftwareVersion, Stage},
    purpose::Purpose,
    reading::ReaderContext,
    route::RouteTable,
    topic::{PerTopic, Revision, Topic},
    tuning::Tuning,
};

/// Minimum wait of a watch as a fraction of its full wait. The rest is random, because a change
/// ends the watches of all daemons at the same time.
const MIN_WAIT_FRACTION: f64 = 0.4;

/// Minimum time in milliseconds by which a peer must have started earlier than this daemon to know
/// the load from before this daemon's start. A simultaneous restart of all daemons is spread over
/// less, clock differences included.
const MIN_START_GAP_MS: u64 = 3000;

/// Returns the hash of a service's name that identifies it in messages between daemons.
#[must_use]
pub fn service_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

/// The state of one daemon, as far as it concerns forwarded calls.
#[derive(Debug)]
pub struct State {
    /// This daemon's identity.
    pub local: Local,
    /// Constants of the decisions.
    pub tuning: Tuning,
    /// The configuration in force.
    pub routes: Arc<RouteTable>,
    /// The discovered endpoints.
    pub directory: Directory,
    /// Endpoint records that are excluded from use, and what later records are checked against.
    pub records: EndpointRecords,
    /// Calls in progress.
    pub requests: HashMap<RequestId, Request>,
    /// Those of them that are about to take over from an attempt at a silent endpoint.
    pub takeovers: Takeovers,
    /// Retry budgets by service.
    pub retry_budgets: HashMap<String, RetryBudget>,
    /// The other daemons.
    pub peers: Peers,
    /// Endpoints that did not answer.
    pub suspects: Suspects,
    /// Peers as proxies, and this daemon as one.
    pub proxies: Proxies,
    /// Endpoints that limit the number of calls per second.
    pub call_limits: CallLimits,
    /// Permits that this daemon holds or has requested, for endpoints with a call limit.
    pub permit_holder: PermitHolder,
    /// Permits that this daemon issues, for endpoints with a call limit.
    pub permit_issuer: PermitIssuer,
    /// Endpoints that crashed, and the calls that were running there.
    pub crashes: Crashes,
    /// Parts that most prompts have in common.
    pub common_parts: CommonParts,
    /// How recently the configuration in force was confirmed to be the newest.
    pub freshness: Freshness,
    /// What this daemon's callers have taken of the teams' quotas.
    pub quotas: Quotas,
    /// Quotas that this daemon owns, and so counts for all daemons.
    pub owned_quotas: OwnedQuotas,
    /// Which versions of endpoints' software began streams.
    pub origins: Origins,
    /// The versions of endpoints' software.
    pub versions: Versions,
    /// To which version streams are assigned, and were.
    pub assignments: Assignments,
    /// What the store has said of the time before this daemon's first list.
    pub history: History,
    /// How current the list of endpoints is known to be.
    pub list_reads: ListReads,
    /// The first list of endpoints, or the first one after changes that are unknown, for as long as a
    /// stream may last.
    pub first_list: Option<FirstList>,
    /// Calls that are not sent to endpoints.
    pub quarantine: Quarantine,
    /// Generation speed of completions by service, as measured by this daemon.
    pub generation_stats: HashMap<String, GenerationStats>,
    /// Completions that wait for capacity.
    pub waiting: Vec<RequestId>,
    /// The queue in which the completions of all daemons wait.
    pub queue: CompletionQueue,
    /// Since when capacity is left to peers' more urgent completions.
    pub held_back: held_back::HeldBack,
    /// What the completions of all daemons need and use, which decides the order of the queue.
    pub demand: Demand,
    /// Forecasts of when waiting completions start.
    pub forecasts: Forecasts,
    /// Refused calls that return, and when they were told to.
    pub returns: Returns,
    /// Whether there may be new capacity for waiting completions since it was last checked.
    pub(crate) capacity_changed: bool,
    /// When capacity for waiting completions was last checked.
    pub(crate) capacity_checked: Duration,
    /// The store's revision at which the configuration was read.
    pub routes_revision: Revision,
    /// Whether a read of the configuration has failed since the last one that succeeded.
    pub routes_lost: bool,
    /// The newest revision of each topic at which this daemon or a peer knows a relevant change.
    pub latest_changes: PerTopic<Revision>,
    /// The last revision of each topic that a peer reported and the store turned out not to have,
    /// if any. Such a revision circulates among daemons until all of them have asked the store.
    pub missing_revisions: PerTopic<Revision>,
    /// Whether relevant changes of endpoint records were read whose revision isn't known yet.
    pub(crate) records_changed: bool,
    /// Orders to endpoints to change their stage.
    pub roles: Roles,
    /// When the first event was handled.
    pub(crate) started: Option<Duration>,
    /// The shutdown in progress, if SIGTERM was received.
    pub leaving: Option<Leaving>,
    pub(crate) rng: Rng,
    timers: BTreeSet<(Duration, RequestId)>,
    /// What is given back to endpoints once their pauses are over, with the times.
    pub(crate) deferred_releases: Vec<(Duration, EndpointKey, Effect)>,
}

impl State {
    /// Creates the state of a daemon that has just started.
    #[must_use]
    pub fn new(local: Local, tuning: Tuning) -> State {
        let rng = Rng::new(local.seed);
        let peers = Peers {
            incarnation: local.incarnation,
            seeds: local.seeds.clone(),
            own_address: local.address,
            fleet: Fleet::new(&local),
            ..Peers::default()
        };
        State {
            local,
            tuning,
            routes: Arc::default(),
            directory: Directory::default(),
            records: EndpointRecords::default(),
            requests: HashMap::new(),
            takeovers: Takeovers::default(),
            retry_budgets: HashMap::new(),
            peers,
            suspects: Suspects::default(),
            proxies: Proxies::default(),
            call_limits: CallLimits::default(),
            permit_holder: PermitHolder::default(),
            permit_issuer: PermitIssuer::default(),
            crashes: Crashes::default(),
            common_parts: CommonParts::default(),
            origins: Origins::default(),
            versions: Versions::default(),
            assignments: Assignments::default(),
            history: History::default(),
            list_reads: ListReads::default(),
            first_list: None,
            quarantine: Quarantine::default(),
            freshness: Freshness::default(),
            quotas: Quotas::default(),
            owned_quotas: OwnedQuotas::default(),
            generation_stats: HashMap::new(),
            waiting: Vec::new(),
            queue: CompletionQueue::default(),
            held_back: held_back::HeldBack::default(),
            demand: Demand::default(),
            forecasts: Forecasts::default(),
            returns: Returns::default(),
            capacity_changed: false,
            capacity_checked: Duration::ZERO,
            routes_revision: Revision::NONE,
            routes_lost: false,
            latest_changes: PerTopic::default(),
            missing_revisions: PerTopic::default(),
            records_changed: false,
            roles: Roles::default(),
            started: None,
            leaving: None,
            rng,
            timers: BTreeSet::new(),
            deferred_releases: Vec::new(),
        }
    }

    /// Returns whether something may be sent to an endpoint now, by what is known of the endpoint.
    /// What was decided some milliseconds ago is checked again as it is sent.
    #[must_use]
    pub fn may_send(&self, key: EndpointKey, purpose: Purpose, now: Duration) -> bool {
        let is_work = matches!(purpose, Purpose::Work | Purpose::Order);
        // One that is off the list is forgotten with its last call, before what it held is released.
        let Some(endpoint) = self.directory.get(key) else { return !is_work };
        let is_wanted = endpoint.is_in_service() || !is_work;
        is_wanted && !endpoint.statements.is_paused(now)
    }

    /// Returns whether this daemon and all of its known peers have just restarted. Nobody's load is
    /// known then, and callers whose streams were cut retry all at once.
    #[must_use]
    pub fn is_cold_start(&self, now: Duration) -> bool {
        let is_older = |peer: &Peer| self.started_before(peer.incarnation);
        self.is_recently_started(now) && !self.peers.known.values().any(is_older)
    }

    /// Returns whether this daemon, or a peer that it knows, has known the versions of endpoints for as
    /// long as a stream may last. What one daemon couldn't read of the store's changes, as they were
    /// dropped, its peers may have missed as well.
    pub(crate) fn remembers_versions(&self, now: Duration) -> bool {
        let lifetime = origins::STREAM_LIFETIME;
        let oldest = self.unix_ms(now).saturating_sub(lifetime.as_millis() as u64);
        let is_old = |peer: &Peer| peer.incarnation <= oldest;
        let has_gap = self.first_list.as_ref().is_some_and(|first| first.known_until() != 0);
        let is_known_to_peer = !has_gap && self.peers.known.values().any(is_old);
        self.versions.are_known_for(lifetime, now) || is_known_to_peer
    }

    /// Returns the time of day in milliseconds since the Unix epoch, as the clock showed it when this
    /// daemon started.
    pub(crate) fn unix_ms(&self, now: Duration) -> u64 {
        let age = now.saturating_sub(self.started.unwrap_or(now)).as_millis();
        self.local.incarnation.saturating_add(u64::try_from(age).unwrap_or(u64::MAX))
    }

    /// Returns whether an endpoint of a service, with a stage if that is given, has a version and is
    /// in service. Any will do if no version is given.
    pub(crate) fn has_version(
        &self,
        service: &str,
        stage: Option<Stage>,
        version: Option<SoftwareVersion>,
    ) -> bool {
        let Some(version) = version else { return true };
        let has_stage = |e: &Endpoint| stage.is_none() || e.info.stage == stage;
        let mut endpoints = self.directory.in_service(service);
        endpoints.any(|(_, e)| has_stage(e) && e.info.software_version() == version)
    }

    /// Returns whether a service has endpoints of several versions, or had a moment ago.
    pub(crate) fn has_several_versions(&self, now: Duration) -> bool {
        let mut routes = self.routes.routes().iter();
        routes.any(|route| self.versions.are_several(route.services(), now))
    }

    /// Returns whether this daemon has just restarted.
    pub(crate) fn is_recently_started(&self, now: Duration) -> bool {
        self.restarted_within(self.tuning.cold_start, now)
    }

    /// Returns whether this daemon has restarted at most this long ago.
    pub(crate) fn restarted_within(&self, time: Duration, now: Duration) -> bool {
        let is_recent = self.started.is_some_and(|at| now < at + time);
        is_recent && self.local.start == SystemStart::Restart
    }

    /// Returns whether a peer with this incarnation had been running for some time when this daemon
    /// started.
    #[must_use]
    pub fn started_before(&self, incarnation: u64) -> bool {
        incarnation + MIN_START_GAP_MS < self.local.incarnation
    }

    /// Returns how fast a service's completions grow, by the measurements of all daemons.
    #[must_use]
    pub fn growth(&self, service: &str) -> Growth {
        let stats = self.generation_stats(service);
        Growth {
            rate: stats.tokens_per_second(),
            margin: stats.relative_error() * self.tuning.growth_margin,
        }
    }

    /// Returns the merged generation stats of all daemons for a service.
    fn generation_stats(&self, service: &str) -> GenerationStats {
        let own = self.generation_stats.get(service).copied().unwrap_or_default();
        let name = service_hash(service);
        let reported = self.peers.known.values().flat_map(|peer| &peer.generation_stats);
        let reported = reported.filter(|(service, _)| *service == name);
        reported.fold(own, |all, (_, stats)| all.merge(*stats))
    }

    /// Returns the number of peers with a queued completion that is ahead of one at this position.
    /// The order of the peers' completions follows from this daemon's own view of the demand.
    #[must_use]
    pub fn peers_ahead(&self, service: &str, own: &QueuePosition, now: Duration) -> usize {
        let name = service_hash(service);
        let soonest = now + self.tuning.first_token_delay;
        let unknown = ServiceOrder::default();
        let order = self.demand.order(name).unwrap_or(&unknown);
        let has_ranks = self.routes.has_ranks(service);
        let is_ahead = |peer: &Peer| {
            let waiting = peer.waiting.iter().find(|waiting| waiting.service == name);
            waiting.is_some_and(|first| order.peer_position(first, soonest, own, has_ranks) < *own)
        };
        self.peers.known.values().filter(|peer| is_ahead(peer)).count()
    }

    /// Returns whether calls can be served: the configuration and the endpoints are known, no key
    /// can have been revoked unnoticed, and the daemon is not shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_trusted = !self.needs_confirmation() || self.can_trust_keys(self.peers.now);
        self.is_initialized() && self.leaving.is_none() && is_trusted
    }

    /// Returns whether the configuration and the endpoints are known.
    #[must_use]
    pub fn is_initialized(&self) -> bool {
        self.routes.version != 0 && !self.directory.revision.is_none()
    }

    /// Returns whether a peer has seen a change of the topic in the store that this daemon has not
    /// read.
    #[must_use]
    pub fn is_stale(&self, topic: Topic) -> bool {
        let read = self.revision(topic);
        !read.is_none() && read < *self.latest_changes.get(topic)
    }

    /// Returns the store's revision at which a topic was read.
    #[must_use]
    pub fn revision(&self, topic: Topic) -> Revision {
        match topic {
            Topic::Routes => self.routes_revision,
            Topic::Endpoints => self.directory.revision,
        }
    }

    /// Returns what a topic's reader has to know about this daemon and its peers.
    pub fn reader_context(&mut self, topic: Topic) -> ReaderContext {
        let watch_wait = self.pick_watch_wait();
        let FollowState { follows, watcher_losses } = self.follow_state();
        let peers_in_contact = self.peers.known.len();
        let is_shared = peers_in_contact != 0 && (!self.is_large_fleet() || self.is_watcher());
        let latest_change = *self.latest_changes.get(topic);
        let confirms = topic == Topic::Routes && self.needs_confirmation();
        let max_wait = if confirms { freshness::MAX_WATCH_WAIT } else { Duration::MAX };
        let is_follower = follows && !(confirms && self.is_confirmation_old(self.peers.now));
        ReaderContext {
            watch_wait,
            max_wait,
            peers_in_contact,
            is_shared,
            latest_change,
            is_follower,
            watcher_losses,
        }
    }

    /// Returns whether the fleet is so large that the bytes per second that daemons receive from
    /// each other are limited.
    #[must_use]
    pub fn is_gossip_limited(&self) -> bool {
        MAX_PEERS_UNLIMITED_GOSSIP < self.peers.known.len()
    }

    /// Returns whether no configuration is known, or a peer has read a newer one. What this
    /// daemon's configuration lacks or forbids may exist or be allowed by now, so no caller may get
    /// a final refusal because of it. A store that was restored from a copy may itself hold an
    /// older configuration than a peer has in force.
    #[must_use]
    pub fn is_configuration_outdated(&self) -> bool {
        let is_newer = |peer: &Peer| self.routes.version < peer.version;
        !self.is_initialized()
            || self.is_stale(Topic::Routes)
            || self.peers.known.values().any(is_newer)
    }

    /// Returns a random time for which the next watch of the store waits for a change.
    ///
    /// Each call to the store costs money, so the wait should be long. But an open connection can
    /// go silent without a sign, and a watch on it would wait to its end while endpoints leave.
    /// Daemons that are in contact with each other wait long, each for a different time: the first
    /// one whose watch ends reads the changes and reports them to the others, which then ask again.
    /// A daemon with few peers relies on itself.
    pub fn pick_watch_wait(&mut self) -> Duration {
        let tuning = &self.tuning;
        // A watcher of a large fleet shares the work with the few other watchers. A daemon that
        // should follow the watchers and can't, since they don't see the store, shares it with
        // nobody.
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

    /// Returns when the next `Tick` is due.
    #[must_use]
    pub fn wake_at(&self) -> Option<Duration> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let expiry = self.directory.next_expiry();
        let probe = self.suspects.due();
        // Running completions need less capacity as time passes, also when no event arrives.
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
            .chain(self.deferred_releases.iter().map(|(until, ..)| *until).min())
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
