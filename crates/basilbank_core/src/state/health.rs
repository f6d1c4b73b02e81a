//! What is known of endpoints.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{
    catalogue::EntryTarget,
    ids::EndpointId,
    state::{Lag, Prefixes},
};

/// What is known of one endpoint.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Known {
    /// It said itself that it is leaving.
    pub leaving: bool,
    /// Failures since it last worked.
    pub failures: u32,
    /// It gets no work before this, and is probed then.
    pub aside: Option<Duration>,
    /// Free slots that its steward last told, and when.
    pub free: Option<(u32, Duration)>,
    /// Its steward had no slot, and none is expected before this.
    pub full: Option<Duration>,
}

/// How late a draft's first token is, beyond the estimate of its prefill and transfer.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Lags {
    /// Counted from the grant of its decode slot.
    pub placed: Lag,
    /// Counted from the grant of its prefill slot.
    pub run: Lag,
    /// The transfer alone.
    pub transfer: Lag,
}

/// What is known of endpoints.
#[derive(Debug, Default)]
pub struct Health {
    /// By endpoint; without an entry nothing speaks against it.
    pub known: BTreeMap<EndpointId, Known>,
    /// Where prompt prefixes are cached.
    pub prefixes: Prefixes,
    /// By what is served.
    pub lags: HashMap<EntryTarget, Lags>,
}

impl Health {
    /// Whether an endpoint may get work.
    #[must_use]
    pub fn is_usable(&self, endpoint: EndpointId) -> bool {
        self.known.get(&endpoint).is_none_or(|k| !k.leaving && k.aside.is_none())
    }

    /// What is known of an endpoint, to be changed.
    pub fn entry(&mut self, endpoint: EndpointId) -> &mut Known {
        self.known.entry(endpoint).or_default()
    }
}
