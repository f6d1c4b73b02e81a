//! What the event loop publishes for the other threads to read.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use basilbank_core::{
    catalogue::{Catalogue, Endpoint},
    ids::EndpointId,
    state::State,
};

use crate::sync::lock;

/// Addresses of endpoints that left the catalogue are kept up to this many times the catalogue's.
const ADDRESSES_KEPT: usize = 4;

/// Snapshots of the state, taken by the event loop after each event.
#[derive(Debug, Default)]
pub struct Published {
    catalogue: Mutex<Arc<Catalogue>>,
    addresses: Mutex<HashMap<EndpointId, Arc<str>>>,
    progress: AtomicUsize,
    ready: AtomicBool,
}

impl Published {
    /// Takes over what changed.
    pub fn publish(&self, state: &State) {
        self.progress.store(state.requests.arena.len(), Ordering::Relaxed);
        self.ready.store(state.is_ready(), Ordering::Relaxed);
        let mut published = lock(&self.catalogue);
        if Arc::ptr_eq(&published, &state.view.catalogue) {
            return;
        }
        *published = Arc::clone(&state.view.catalogue);
        drop(published);
        self.learn_addresses(&state.view.catalogue);
    }

    /// The catalogue in force.
    #[must_use]
    pub fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&lock(&self.catalogue))
    }

    /// An endpoint of the catalogue in force.
    #[must_use]
    pub fn endpoint(&self, id: EndpointId) -> Option<Endpoint> {
        self.catalogue().endpoints.iter().find(|e| e.id == id).cloned()
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
        self.ready.load(Ordering::Relaxed)
    }

    fn learn_addresses(&self, catalogue: &Catalogue) {
        let mut addresses = lock(&self.addresses);
        if addresses.len() > ADDRESSES_KEPT * catalogue.endpoints.len() {
            addresses.clear();
        }
        for endpoint in &catalogue.endpoints {
            addresses.insert(endpoint.id, Arc::from(endpoint.address.as_str()));
        }
    }
}
