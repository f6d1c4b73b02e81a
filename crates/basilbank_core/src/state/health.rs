//! Health of endpoints as seen by this daemon.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{
    catalogue::EntryTarget,
    ids::EndpointId,
    state::{Overrun, PrefixIndex},
};

/// Exclusion of an endpoint from new work.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Exclusion {
    /// Earliest end of the exclusion.
    pub until: Duration,
    /// Whether the endpoint could not be reached. Its next load report then ends the exclusion.
    pub unreachable: bool,
}

/// Health of one endpoint.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct EndpointHealth {
    /// Whether the endpoint has reported that it is leaving.
    pub leaving: bool,
    /// Consecutive failures since the last success.
    pub failures: u32,
    /// The current exclusion from new work.
    pub exclusion: Option<Exclusion>,
    /// Number of exclusions because transfers with several other endpoints stalled, counted while
    /// they follow each other closely. The exclusion gets longer with each.
    pub stalls: u32,
    /// End of the last exclusion because of stalled transfers.
    pub stall_until: Duration,
    /// Free slots that the owner last reported, and when.
    pub free_slots: Option<(u32, Duration)>,
    /// The owner had no free slot, and none is expected before this moment.
    pub full_until: Option<Duration>,
}

/// How much later than estimated a completion's first token arrives. The estimate covers prefill
/// and transfer.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Overruns {
    /// Overrun counted from the grant of the decode slot.
    pub decode_granted: Overrun,
    /// Overrun counted from the grant of the prefill slot, when the prefill is sent.
    pub prefill_started: Overrun,
    /// Overrun of the transfer alone.
    pub transfer: Overrun,
}

/// Health of endpoints as seen by this daemon.
#[derive(Debug, Default)]
pub struct Health {
    /// Health by endpoint. An endpoint without a value is healthy.
    pub endpoints: BTreeMap<EndpointId, EndpointHealth>,
    /// Endpoints that have prompt prefixes cached.
    pub prefixes: PrefixIndex,
    /// Overruns by model or service.
    pub overruns: HashMap<EntryTarget, Overruns>,
}

impl Health {
    /// Whether an endpoint may get new work.
    #[must_use]
    pub fn is_usable(&self, endpoint: EndpointId) -> bool {
        self.endpoints.get(&endpoint).is_none_or(|k| !k.leaving && k.exclusion.is_none())
    }

    /// Returns the health of an endpoint for modification.
    pub fn endpoint_mut(&mut self, endpoint: EndpointId) -> &mut EndpointHealth {
        self.endpoints.entry(endpoint).or_default()
    }
}
