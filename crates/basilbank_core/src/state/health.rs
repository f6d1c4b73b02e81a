//! What is known of endpoints.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{
    catalogue::EntryTarget,
    ids::EndpointId,
    state::{Overrun, PrefixIndex},
};

/// Why and how long an endpoint gets no work.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Exclusion {
    /// Until when at least.
    pub until: Duration,
    /// It could not be reached: its next load report ends it.
    pub unreachable: bool,
}

/// What is known of one endpoint.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct EndpointHealth {
    /// It said itself that it is leaving.
    pub leaving: bool,
    /// Failures since it last worked.
    pub failures: u32,
    /// It gets no work for now.
    pub exclusion: Option<Exclusion>,
    /// Times that its transfers stalled with several others, without a long time between.
    pub stalls: u32,
    /// When the last rest for that ends or ended.
    pub stall_until: Duration,
    /// Free slots that its steward last told, and when.
    pub free_slots: Option<(u32, Duration)>,
    /// Its steward had no slot, and none is expected before this.
    pub full_until: Option<Duration>,
}

/// How late a draft's first token is, beyond the estimate of its prefill and transfer.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Overruns {
    /// Counted from the grant of its decode slot.
    pub decode_granted: Overrun,
    /// Counted from the grant of its prefill slot.
    pub prefill_started: Overrun,
    /// The transfer alone.
    pub transfer: Overrun,
}

/// What is known of endpoints.
#[derive(Debug, Default)]
pub struct Health {
    /// By endpoint; without an entry nothing speaks against it.
    pub endpoints: BTreeMap<EndpointId, EndpointHealth>,
    /// Where prompt prefixes are cached.
    pub prefixes: PrefixIndex,
    /// By what is served.
    pub overruns: HashMap<EntryTarget, Overruns>,
}

impl Health {
    /// Whether an endpoint may get work.
    #[must_use]
    pub fn is_usable(&self, endpoint: EndpointId) -> bool {
        self.endpoints.get(&endpoint).is_none_or(|k| !k.leaving && k.exclusion.is_none())
    }

    /// What is known of an endpoint, to be changed.
    pub fn endpoint_mut(&mut self, endpoint: EndpointId) -> &mut EndpointHealth {
        self.endpoints.entry(endpoint).or_default()
    }
}
