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

/// Why and how long an endpoint gets no work.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Aside {
    /// Until when at least.
    pub until: Duration,
    /// It could not be reached: its next load report ends it.
    pub unreachable: bool,
}

/// What is known of one endpoint.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Known {
    /// It said itself that it is leaving.
    pub leaving: bool,
    /// Failures since it last worked.
    pub failures: u32,
    /// It gets no work for now.
    pub aside: Option<Aside>,
    /// Times that its transfers stalled with several others, without a long time between.
    pub stalls: u32,
    /// When the last rest for that ends or ended.
    pub rested: Duration,
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
