//! The endpoints that were discovered.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use basilbank_wire::EndpointLoad;
use slotmap::SlotMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    effect::Target,
    endpoint::{EndpointInfo, EndpointKey, SoftwareVersion, Stage},
    gossip_bounds::MAX_LOAD_TOKENS,
    state::{Endpoint, Usage},
    topic::Revision,
};

/// All discovered endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    /// The store's revision at which the list was read.
    pub revision: Revision,
    /// When the list was last read, or confirmed to be unchanged.
    pub read_at: Duration,
    /// Until when a read of the whole list may return the contents of the copy from which the store
    /// was restored, which are older than what was read before.
    pub restore_doubt_until: Duration,
    /// Whether a read of the list has failed since `read_at`.
    pub store_lost: bool,
    /// Increases with each change of the endpoints.
    pub generation: u64,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    /// The current incarnation of each instance.
    instances: HashMap<String, EndpointKey>,
    /// Incarnations that have not ended, by address. Applying a long list needs no search for each
    /// record.
    addresses: HashMap<SocketAddr, Vec<EndpointKey>>,
    /// All incarnations, including former ones whose calls are still in progress, by hash.
    hashes: HashMap<u32, EndpointKey>,
    services: HashMap<String, Vec<EndpointKey>>,
}

impl Directory {
    /// Returns the number of endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether there are no endpoints.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns the endpoint, unless it has been removed.
    #[must_use]
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Returns a mutable reference to the endpoint, unless it has been removed.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// Returns the endpoints of a service that are in service.
    pub fn in_service<'a>(
        &'a self,
        name: &str,
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> + use<'a> {
        let keys = self.services.get(name).map(Vec::as_slice).unwrap_or_default();
        let all = keys.iter().filter_map(|key| Some((*key, self.endpoints.get(*key)?)));
        all.filter(|(_, endpoint)| endpoint.is_in_service())
    }

    /// Returns the endpoints of a service that accept new work now.
    pub fn available<'a>(
        &'a self,
        name: &str,
        now: Duration,
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> + use<'a> {
        self.in_service(name).filter(move |(_, endpoint)| endpoint.accepts_work(now))
    }

    /// Returns when the first pause ends that endpoints of a service want, or of those with a stage or
    /// a version; zero if one of them wants none, `None` if there are no endpoints.
    #[must_use]
    pub fn first_pause_end(
        &self,
        name: &str,
        stage: Option<Stage>,
        pinned: Option<SoftwareVersion>,
    ) -> Option<Duration> {
        let has_stage = |e: &Endpoint| stage.is_none() || e.info.stage == stage;
        let endpoints = self
            .in_service(name)
            .filter(|(_, endpoint)| has_stage(endpoint) && endpoint.info.has_version(pinned));
        endpoints.map(|(_, endpoint)| endpoint.statements.paused_until).min()
    }

    /// Returns the endpoints of a service with this stage that are in service.
    pub fn in_stage<'a>(
        &'a self,
        name: &str,
        stage: Stage,
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> + use<'a> {
        self.in_service(name).filter(move |(_, e)| e.info.stage == Some(stage))
    }

    /// Returns the endpoints of a service with this stage that accept new work now.
    pub fn available_in_stage<'a>(
        &'a self,
        name: &str,
        stage: Stage,
        now: Duration,
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> + use<'a> {
        self.in_stage(name, stage).filter(move |(_, e)| e.accepts_work(now))
    }

    /// Returns the endpoints that are on the list.
    pub fn listed(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter().filter(|(_, endpoint)| !endpoint.unlisted)
    }

    /// Returns what a call of this daemon itself to the endpoint needs. It is `None` also for an
    /// incarnation that has ended, because another one may answer at its address, and its holds and
    /// KV caches may have the same names.
    #[must_use]
    pub fn target(&self, key: EndpointKey) -> Option<Target> {
        let info = &self.endpoints.get(key).filter(|e| !e.ended)?.info;
        let (instance, software) = (info.instance.clone(), info.software_version());
        Some(Target { endpoint: key, instance, addr: info.addr, software, via: None })
    }

    /// Returns whether the endpoint may still have what it held for calls.
    #[must_use]
    pub fn may_keep_state(&self, key: EndpointKey) -> bool {
        self.endpoints.get(key).is_some_and(|endpoint| !endpoint.ended)
    }

    /// Applies a record of a known incarnation, and returns whether the record has changed.
    pub fn update(&mut self, key: EndpointKey, info: EndpointInfo) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(key) else { return false };
        endpoint.expires_at = None;
        let changed = endpoint.unlisted || endpoint.info != info;
        // A heartbeat changes nothing.
        self.generation += u64::from(changed);
        endpoint.unlisted = false;
        let (before, addr) = (endpoint.info.addr, info.addr);
        endpoint.info = info;
        if before != addr {
            self.release_address(before, key);
            self.addresses.entry(addr).or_default().push(key);
        }
        changed
    }

    /// Adds a new incarnation.
    pub fn insert(&mut self, info: EndpointInfo) -> EndpointKey {
        let (instance, service) = (info.instance.clone(), info.service.clone());
        let (hash, addr) = (incarnation_hash(&info), info.addr);
        self.generation += 1;
        let key = self.endpoints.insert(Endpoint::new(info));
        self.addresses.entry(addr).or_default().push(key);
        self.hashes.insert(hash, key);
        self.instances.insert(instance, key);
        self.services.entry(service).or_default().push(key);
        key
    }

    /// Returns the current incarnation of an instance.
    #[must_use]
    pub fn find(&self, instance: &str) -> Option<EndpointKey> {
        self.instances.get(instance).copied()
    }

    /// Returns the incarnations of other instances at an address that have not ended.
    #[must_use]
    pub fn others_at(&self, addr: SocketAddr, instance: &str) -> Vec<EndpointKey> {
        let other = |key: &EndpointKey| {
            self.endpoints.get(*key).is_some_and(|endpoint| endpoint.info.instance != instance)
        };
        let there = self.addresses.get(&addr).into_iter().flatten();
        there.copied().filter(other).collect()
    }

    fn release_address(&mut self, addr: SocketAddr, key: EndpointKey) {
        let Some(there) = self.addresses.get_mut(&addr) else { return };
        there.retain(|other| *other != key);
        if there.is_empty() {
            self.addresses.remove(&addr);
        }
    }

    /// Schedules the removal of an endpoint from the list at `at`, unless it is listed again
    /// before.
    pub fn schedule_expiry(&mut self, key: EndpointKey, at: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(key).filter(|endpoint| !endpoint.unlisted) {
            endpoint.expires_at.get_or_insert(at);
        }
    }

    /// Returns the endpoints that have expired by `now` and have to be unlisted.
    #[must_use]
    pub fn expired(&self, now: Duration) -> Vec<EndpointKey> {
        let due = |e: &Endpoint| e.expires_at.is_some_and(|at| at <= now);
        self.endpoints.iter().filter(|(_, e)| due(e)).map(|(key, _)| key).collect()
    }

    /// Returns when the next endpoint expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.endpoints.values().filter_map(|e| e.expires_at).min()
    }

    /// Takes an endpoint off the list. It is removed once it has no calls.
    pub fn unlist(&mut self, key: EndpointKey) {
        self.generation += 1;
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.unlisted = true;
            endpoint.expires_at = None;
        }
        self.remove_if_idle(key);
    }

    /// Marks an incarnation as ended for good: it is no longer found by its instance, and a record
    /// can't bring it back. It is removed once it has no calls.
    pub fn end_incarnation(&mut self, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get_mut(key) else { return };
        endpoint.unlisted = true;
        endpoint.ended = true;
        endpoint.expires_at = None;
        let addr = endpoint.info.addr;
        if self.instances.get(&endpoint.info.instance) == Some(&key) {
            self.instances.remove(&endpoint.info.instance);
        }
        self.release_address(addr, key);
        self.remove_if_idle(key);
    }

    /// Adds the usage of an own call at an endpoint.
    pub fn add_usage(&mut self, key: EndpointKey, usage: Usage) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.calls += usage.calls;
            endpoint.tokens = endpoint.tokens.saturating_add(usage.tokens);
            if usage.tokens != 0 {
                endpoint.own_usage.push(usage);
            }
        }
    }

    /// Records that the generation of a completion starts, and returns its usage from then on.
    pub fn start_generation(&mut self, key: EndpointKey, usage: Usage, now: Duration) -> Usage {
        let running = Usage { generating_since: Some(now), ..usage };
        let own = self.endpoints.get_mut(key).map(|endpoint| &mut endpoint.own_usage);
        if let Some(known) = own.and_then(|own| own.iter_mut().find(|known| **known == usage)) {
            *known = running;
        }
        running
    }

    /// Removes usage that was added by [`Directory::add_usage`].
    pub fn remove_usage(&mut self, key: EndpointKey, usage: Usage) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            let counted = usage.calls <= endpoint.calls && usage.tokens <= endpoint.tokens;
            debug_assert!(counted, "usage was removed twice");
            endpoint.calls = endpoint.calls.saturating_sub(usage.calls);
            endpoint.tokens = endpoint.tokens.saturating_sub(usage.tokens);
            remove_from(&mut endpoint.own_usage, usage);
        }
        self.remove_if_idle(key);
    }

    /// Returns the incarnation that peers identify by this hash.
    #[must_use]
    pub fn find_by_hash(&self, hash: u32) -> Option<EndpointKey> {
        self.hashes.get(&hash).copied()
    }

    /// Returns the hash by which peers identify an endpoint.
    #[must_use]
    pub fn hash(&self, key: EndpointKey) -> Option<u32> {
        self.endpoints.get(key).map(|endpoint| incarnation_hash(&endpoint.info))
    }

    /// Returns this daemon's load at endpoints.
    ///
    /// `rate` returns the number of tokens per second that a completion of a service generates.
    pub fn own_loads<'a>(
        &'a self,
        now: Duration,
        mut rate: impl FnMut(&'a str) -> f64,
    ) -> impl Iterator<Item = EndpointLoad> {
        let busy = self.endpoints.values().filter(|e| e.calls != 0);
        busy.map(move |e| {
            let rate = if e.own_usage.is_empty() { 0.0 } else { rate(&e.info.service) };
            let left: f64 = e.own_usage.iter().map(|usage| usage.tokens_left(now, rate)).sum();
            EndpointLoad {
                endpoint: incarnation_hash(&e.info),
                tokens: e.tokens.min(MAX_LOAD_TOKENS),
                calls: e.calls,
                tokens_left: left as u32,
            }
        })
    }

    /// Returns the endpoints that this daemon tells its peers to avoid, as hashes, and for how much
    /// longer.
    pub fn avoided(&self, now: Duration) -> impl Iterator<Item = (u32, Duration)> {
        let avoided = self.endpoints.values().filter(move |e| now < e.reported_until);
        avoided.map(move |e| (incarnation_hash(&e.info), e.reported_until - now))
    }

    /// Adds a peer's usage at an endpoint.
    pub fn add_peer_usage(&mut self, key: EndpointKey, usage: Usage) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.peer_tokens = endpoint.peer_tokens.saturating_add(usage.tokens.into());
            endpoint.peer_calls = endpoint.peer_calls.saturating_add(usage.calls.into());
            if usage.tokens != 0 {
                endpoint.peer_usage.push(usage);
            }
        }
    }

    /// Removes usage that was added by [`Directory::add_peer_usage`].
    pub fn remove_peer_usage(&mut self, key: EndpointKey, usage: Usage) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.peer_tokens = endpoint.peer_tokens.saturating_sub(usage.tokens.into());
            endpoint.peer_calls = endpoint.peer_calls.saturating_sub(usage.calls.into());
            remove_from(&mut endpoint.peer_usage, usage);
        }
    }

    /// Removes an endpoint that is unlisted and has no own calls.
    fn remove_if_idle(&mut self, key: EndpointKey) {
        if !self.endpoints.get(key).is_some_and(|e| e.unlisted && e.calls == 0) {
            return;
        }
        let Some(endpoint) = self.endpoints.remove(key) else { return };
        let (hash, instance) = (incarnation_hash(&endpoint.info), &endpoint.info.instance);
        self.release_address(endpoint.info.addr, key);
        // By now the hash and the instance may belong to a later incarnation.
        if self.hashes.get(&hash) == Some(&key) {
            self.hashes.remove(&hash);
        }
        if self.instances.get(instance) == Some(&key) {
            self.instances.remove(instance);
        }
        if let Some(keys) = self.services.get_mut(&endpoint.info.service) {
            keys.retain(|other| *other != key);
        }
    }
}

fn remove_from(usages: &mut Vec<Usage>, usage: Usage) {
    if let Some(at) = usages.iter().position(|known| *known == usage) {
        usages.swap_remove(at);
    }
}

/// Returns the hash by which daemons identify an incarnation of an instance to each other. Daemons
/// learn of a new incarnation at different times and must not count the former one's load as its
/// own. Two endpoints with the same hash, which one in ten thousand fleets of 840 has, count each
/// other's load.
fn incarnation_hash(info: &EndpointInfo) -> u32 {
    let name = info.instance.as_bytes();
    let hash = match info.start_time {
        None => xxh3_64(name),
        Some(start_time) => xxh3_64_with_seed(name, start_time),
    };
    hash as u32
}
