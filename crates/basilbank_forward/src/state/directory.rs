//! The endpoints that were discovered, and what is known of each.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use basilbank_wire::EndpointLoad;
use slotmap::SlotMap;

use crate::{
    effect::Target,
    endpoint::{EndpointInfo, EndpointKey, Stage},
    tuning::Tuning,
};

/// Weight of a new measurement in the running mean of answer times: some ten answers.
const MEAN_WEIGHT: f64 = 0.1;

/// Weight of a new measurement of the prefill rate: a slow endpoint is seen after some prompts.
const READ_WEIGHT: f64 = 0.2;

/// Base time that is assumed before the first prompt, in seconds.
const FIRST_BASE: f64 = 0.05;

/// Most that counts as base time, in seconds; what is beyond is slowness.
const MOST_BASE: f64 = 0.2;

/// Weight of a measurement that raises the base time: it follows the least, and forgets it after
/// some tens of prompts.
const BASE_WEIGHT: f64 = 0.03;

/// Shorter readings say more about round trips than about the endpoint.
const SHORT_READ: f64 = 0.08;

/// Refusals in a row after which peers are told: about a second.
const REFUSALS: u32 = 5;

/// Bound of the measured slowness: beyond it an endpoint counts as failed anyway.
const SLOWEST: f64 = 10.0;

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What the list says.
    pub info: EndpointInfo,
    /// It is off the list; its calls in progress go on.
    pub gone: bool,
    /// Own calls in progress.
    pub calls: u32,
    /// Tokens of own calls: to be read at a prefill endpoint, in memory at a decode endpoint.
    pub tokens: u32,
    /// Tokens of peers' calls.
    pub peer_tokens: u32,
    /// Peers' calls in progress.
    pub peer_calls: u32,
    /// Running mean of its answer times; `None` before the first one.
    pub mean: Option<Duration>,
    /// Seconds that reading a prompt takes at least, whatever its length.
    pub base: f64,
    /// How many times longer it takes to read prompts than its rate says.
    pub slowness: f64,
    /// Not used before this, unless there is nothing else.
    pub avoided: Duration,
    /// This daemon knows that it refuses work until then, and tells its peers.
    pub shunned: Duration,
    /// Refusals in a row.
    refusals: u32,
    /// Failures in a row.
    failures: u32,
    /// Removed at this time unless it is listed again.
    expires: Option<Duration>,
}

impl Endpoint {
    fn new(info: EndpointInfo) -> Endpoint {
        Endpoint {
            info,
            gone: false,
            calls: 0,
            tokens: 0,
            peer_tokens: 0,
            peer_calls: 0,
            mean: None,
            base: FIRST_BASE,
            slowness: 1.0,
            avoided: Duration::ZERO,
            shunned: Duration::ZERO,
            refusals: 0,
            failures: 0,
            expires: None,
        }
    }

    /// It may be sent new work.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        !self.gone && !self.info.draining
    }

    /// Tokens of all daemons' calls, as far as they are known.
    #[must_use]
    pub fn all_tokens(&self) -> u32 {
        self.tokens.saturating_add(self.peer_tokens)
    }

    /// Calls of all daemons, as far as they are known.
    #[must_use]
    pub fn all_calls(&self) -> u32 {
        self.calls.saturating_add(self.peer_calls)
    }

    /// It answered: it is there.
    pub fn answered(&mut self, took: Duration) {
        self.accepted();
        self.avoided = Duration::ZERO;
        let mean = self.mean.unwrap_or(took);
        self.mean = Some(mean.mul_f64(1.0 - MEAN_WEIGHT) + took.mul_f64(MEAN_WEIGHT));
    }

    /// It has read a prompt that it should have read in `expected` seconds.
    ///
    /// Part of that time passes also at an idle endpoint, whatever the prompt's length. It is not a
    /// queue: without telling the two apart, every endpoint would look slow, and prompts would go to
    /// decode endpoints for nothing.
    pub fn read(&mut self, took: Duration, expected: f64) {
        self.failures = 0;
        let took = took.as_secs_f64();
        let beyond = (took - expected).clamp(0.0, MOST_BASE);
        let weight = if beyond < self.base { 1.0 } else { BASE_WEIGHT };
        self.base += weight * (beyond - self.base);
        let measured = (took - self.base) / expected.max(SHORT_READ);
        let slowness = self.slowness + READ_WEIGHT * (measured - self.slowness);
        self.slowness = slowness.clamp(1.0, SLOWEST);
    }

    /// It took work.
    pub fn accepted(&mut self) {
        self.refusals = 0;
        self.failures = 0;
    }

    /// It refused work. One that is full has room again soon. One that goes on refusing leaves, or is
    /// ill, and while the list can't be read nothing else says so: having nothing to do, it would be
    /// the first choice for each draft. Others are told of it then.
    pub fn refused(&mut self, now: Duration, tuning: &Tuning) {
        let time = tuning.avoid_full.saturating_mul(1 << self.refusals.min(8));
        let until = now + time.min(tuning.avoid_refusing);
        self.refusals += 1;
        match self.refusals < REFUSALS {
            true => self.avoid(until),
            false => self.shun(until),
        }
    }

    /// It could not be reached, or did not answer in time. A dark endpoint stays listed for three
    /// heartbeats; without this each call in that time would wait for it anew.
    pub fn failed(&mut self, now: Duration, tuning: &Tuning) {
        let time = tuning.avoid.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        self.avoid(now + time.min(tuning.avoid_most));
    }

    /// It answers again.
    pub fn came_back(&mut self) {
        self.failures = 0;
        self.avoided = Duration::ZERO;
        self.shunned = Duration::ZERO;
    }

    /// It refuses work until then, whoever asks.
    pub fn shun(&mut self, until: Duration) {
        self.avoid(until);
        self.shunned = self.shunned.max(until);
    }

    /// It isn't used before `until`, unless there is nothing else.
    pub fn avoid(&mut self, until: Duration) {
        self.avoided = self.avoided.max(until);
    }
}

/// All endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    /// The store's revision of the list; 0 for none.
    pub revision: u64,
    /// When the list was last confirmed.
    pub read_at: Duration,
    /// A read failed since.
    pub lost: bool,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    instances: HashMap<String, EndpointKey>,
    /// Listed endpoints by address.
    addresses: HashMap<SocketAddr, EndpointKey>,
    hashes: HashMap<u32, EndpointKey>,
    services: HashMap<String, Vec<EndpointKey>>,
}

impl Directory {
    /// How many endpoints there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// There are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// The endpoint, unless it has been removed.
    #[must_use]
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// The endpoint, to change it.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// The endpoints of a service that take new work.
    pub fn service<'a>(
        &'a self,
        name: &str,
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> + use<'a> {
        let keys = self.services.get(name).map(Vec::as_slice).unwrap_or_default();
        let all = keys.iter().filter_map(|key| Some((*key, self.endpoints.get(*key)?)));
        all.filter(|(_, endpoint)| endpoint.takes_work())
    }

    /// The endpoints of a service with this stage that take new work.
    pub fn stage<'a>(
        &'a self,
        name: &str,
        stage: Stage,
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> + use<'a> {
        self.service(name).filter(move |(_, e)| e.info.stage == Some(stage))
    }

    /// Listed endpoints.
    pub fn listed(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter().filter(|(_, endpoint)| !endpoint.gone)
    }

    /// What a call to it needs.
    #[must_use]
    pub fn target(&self, key: EndpointKey) -> Option<Target> {
        let info = &self.endpoints.get(key)?.info;
        Some(Target { endpoint: key, instance: info.instance.clone(), addr: info.addr })
    }

    /// Takes an entry in; true when it is new or has changed.
    pub fn list(&mut self, info: EndpointInfo) -> bool {
        if let Some(key) = self.instances.get(&info.instance)
            && let Some(endpoint) = self.endpoints.get_mut(*key)
        {
            endpoint.expires = None;
            let changed = endpoint.gone || endpoint.info != info;
            self.addresses.remove(&endpoint.info.addr);
            self.addresses.insert(info.addr, *key);
            endpoint.gone = false;
            endpoint.info = info;
            return changed;
        }
        let (instance, service) = (info.instance.clone(), info.service.clone());
        let addr = info.addr;
        let key = self.endpoints.insert(Endpoint::new(info));
        self.addresses.insert(addr, key);
        self.hashes.insert(instance_hash(&instance), key);
        self.instances.insert(instance, key);
        self.services.entry(service).or_default().push(key);
        true
    }

    /// The key of an instance.
    #[must_use]
    pub fn find(&self, instance: &str) -> Option<EndpointKey> {
        self.instances.get(instance).copied()
    }

    /// The listed endpoint at an address.
    #[must_use]
    pub fn at(&self, addr: SocketAddr) -> Option<EndpointKey> {
        self.addresses.get(&addr).copied()
    }

    /// Takes an endpoint off the list at `at` unless it is listed again before.
    pub fn expire(&mut self, key: EndpointKey, at: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.expires.get_or_insert(at);
        }
    }

    /// Endpoints whose time is over at `now`, to be unlisted.
    #[must_use]
    pub fn expired(&self, now: Duration) -> Vec<EndpointKey> {
        let due = |e: &Endpoint| e.expires.is_some_and(|at| at <= now);
        self.endpoints.iter().filter(|(_, e)| due(e)).map(|(key, _)| key).collect()
    }

    /// When the next endpoint's time is over.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.endpoints.values().filter_map(|e| e.expires).min()
    }

    /// Takes an endpoint off the list. It is removed once it has no calls.
    pub fn unlist(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.gone = true;
            endpoint.expires = None;
            if self.addresses.get(&endpoint.info.addr) == Some(&key) {
                self.addresses.remove(&endpoint.info.addr);
            }
        }
        self.remove_idle(key);
    }

    /// Counts a call, and its tokens.
    pub fn begin(&mut self, key: EndpointKey, tokens: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.calls += 1;
            endpoint.tokens += tokens;
        }
    }

    /// Undoes [`Directory::begin`].
    pub fn end(&mut self, key: EndpointKey, tokens: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.calls = endpoint.calls.saturating_sub(1);
            endpoint.tokens = endpoint.tokens.saturating_sub(tokens);
        }
        self.remove_idle(key);
    }

    /// The endpoint whose instance has this hash.
    #[must_use]
    pub fn by_hash(&self, hash: u32) -> Option<EndpointKey> {
        self.hashes.get(&hash).copied()
    }

    /// What this daemon has at endpoints.
    pub fn own_loads(&self) -> impl Iterator<Item = EndpointLoad> {
        let busy = self.endpoints.values().filter(|e| e.calls != 0);
        busy.map(|e| EndpointLoad {
            endpoint: instance_hash(&e.info.instance),
            tokens: e.tokens,
            calls: e.calls,
        })
    }

    /// Endpoints that peers should leave alone: the instance's hash, and how much longer.
    pub fn shunned(&self, now: Duration) -> impl Iterator<Item = (u32, Duration)> {
        let shunned = self.endpoints.values().filter(move |e| now < e.shunned);
        shunned.map(move |e| (instance_hash(&e.info.instance), e.shunned - now))
    }

    /// Counts a peer's calls.
    pub fn others(&mut self, key: EndpointKey, tokens: u32, calls: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.peer_tokens = endpoint.peer_tokens.saturating_add(tokens);
            endpoint.peer_calls = endpoint.peer_calls.saturating_add(calls);
        }
    }

    /// Undoes [`Directory::others`].
    pub fn no_others(&mut self, key: EndpointKey, tokens: u32, calls: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.peer_tokens = endpoint.peer_tokens.saturating_sub(tokens);
            endpoint.peer_calls = endpoint.peer_calls.saturating_sub(calls);
        }
    }

    fn remove_idle(&mut self, key: EndpointKey) {
        if !self.endpoints.get(key).is_some_and(|e| e.gone && e.calls == 0) {
            return;
        }
        let Some(endpoint) = self.endpoints.remove(key) else { return };
        self.hashes.remove(&instance_hash(&endpoint.info.instance));
        self.instances.remove(&endpoint.info.instance);
        if let Some(keys) = self.services.get_mut(&endpoint.info.service) {
            keys.retain(|other| *other != key);
        }
    }
}

/// How peers name an instance to each other. Two that share a hash, one in ten thousand fleets of 840,
/// count each other's load.
fn instance_hash(instance: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(instance.as_bytes()) as u32
}
