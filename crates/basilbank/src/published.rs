//! What the event loop publishes for the other threads to read.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use basilbank_core::{catalogue::Catalogue, ids::EndpointId, state::State};

use crate::{names::Names, sync::lock};

/// Addresses of endpoints that left the catalogue are kept until there are this many for each
/// endpoint in it, and some.
const ADDRESSES_KEPT: usize = 4;
const ADDRESSES_MORE: usize = 1024;

/// The event loop publishes at least every 100 ms; after this long without, it is stuck.
const STUCK: Duration = Duration::from_secs(5);

/// Snapshots of the state, taken by the event loop.
#[derive(Debug, Default)]
pub struct Published {
    names: Mutex<Arc<Names>>,
    addresses: Mutex<HashMap<EndpointId, Arc<str>>>,
    progress: AtomicUsize,
    ready: AtomicBool,
    /// When the event loop last published.
    beat: Mutex<Option<Instant>>,
}

impl Published {
    /// Takes over what changed.
    pub fn publish(&self, state: &State) {
        *lock(&self.beat) = Some(Instant::now());
        self.progress.store(state.requests.arena.len(), Ordering::Relaxed);
        self.ready.store(state.is_ready(), Ordering::Relaxed);
        self.publish_catalogue(&state.view.catalogue);
    }

    /// Takes over a catalogue, if it is another one.
    pub fn publish_catalogue(&self, catalogue: &Arc<Catalogue>) {
        if Arc::ptr_eq(lock(&self.names).catalogue(), catalogue) {
            return;
        }
        self.learn_addresses(catalogue);
        let names = Arc::new(Names::new(Arc::clone(catalogue)));
        *lock(&self.names) = names;
    }

    /// The catalogue in force, with its names.
    #[must_use]
    pub fn names(&self) -> Arc<Names> {
        Arc::clone(&lock(&self.names))
    }

    /// Where an endpoint is, or was when the catalogue last named it: what it holds must be
    /// cancelled also after the operators removed its entry.
    #[must_use]
    pub fn address(&self, id: EndpointId) -> Option<Arc<str>> {
        lock(&self.addresses).get(&id).cloned()
    }

    /// Requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.progress.load(Ordering::Relaxed)
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && self.is_alive()
    }

    /// Whether the event loop turns. One that is stuck would leave the last word standing, and the
    /// platform's balancer would go on sending callers.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        lock(&self.beat).is_some_and(|beat| beat.elapsed() < STUCK)
    }

    fn learn_addresses(&self, catalogue: &Catalogue) {
        let mut addresses = lock(&self.addresses);
        if ADDRESSES_KEPT * catalogue.endpoints.len() + ADDRESSES_MORE < addresses.len() {
            addresses.clear();
        }
        for endpoint in &catalogue.endpoints {
            addresses.insert(endpoint.id, Arc::from(endpoint.address.as_str()));
        }
    }
}
