//! Slots at endpoints: those that this daemon holds or waits for, and ledgers of the endpoints that
//! it owns.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::RangeInclusive,
    time::Duration,
};

use basilbank_wire::Body;

use crate::{
    ids::{AttemptKey, EndpointId, EntryId, RequestId, VmId},
    state::Ledger,
};

/// Identifies one slot that is held or waited for; the same on all daemons.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct SlotKey {
    /// The endpoint that has the slot.
    pub endpoint: EndpointId,
    /// The request that needs the slot.
    pub request: RequestId,
    /// Number of the request's attempt.
    pub attempt: u32,
}

impl SlotKey {
    /// Returns the range of all keys of one endpoint.
    #[must_use]
    pub fn endpoint_range(endpoint: EndpointId) -> RangeInclusive<SlotKey> {
        let first = SlotKey { endpoint, request: RequestId(0), attempt: 0 };
        let last = SlotKey { endpoint, request: RequestId(u64::MAX), attempt: u32::MAX };
        first..=last
    }
}

/// A slot that this daemon holds or waits for.
#[derive(Clone, Debug)]
pub struct OwnSlot {
    /// The attempt that needs it.
    pub attempt: AttemptKey,
    /// Whether its owner was the first to be asked for the attempt.
    pub is_first: bool,
    /// The entry whose share of the slots it uses.
    pub entry: EntryId,
    /// Number of tokens that are expected to be held or prefilled.
    pub tokens: u32,
    /// Number of tokens whose KV cache is transferred from the endpoint afterwards.
    pub transfer_tokens: u32,
    /// Time from the grant until its use, in milliseconds.
    pub lead_ms: u32,
    /// Whether the slot was granted.
    pub is_held: bool,
    /// When the owner was last asked.
    pub asked_at: Duration,
    /// Number of times that the owner was asked.
    pub ask_count: u32,
    /// When the wait for the slot ends.
    pub deadline: Duration,
}

/// Slots at endpoints. The maps are ordered so that effects come in the same order on every run.
#[derive(Debug, Default)]
pub struct Slots {
    /// Slots that this daemon holds or waits for.
    pub own: BTreeMap<SlotKey, OwnSlot>,
    /// Ledgers of the endpoints that this daemon owns.
    pub ledgers: BTreeMap<EndpointId, Ledger>,
    /// Messages of this daemon to itself as owner or holder; handled at the end of each event.
    pub inbox: VecDeque<Body>,
    /// When the owners were last sent all holds.
    pub reported_at: Duration,
    /// Endpoints whose owners know of a hold of this daemon, each with that owner.
    pub known_owners: BTreeMap<EndpointId, VmId>,
    /// The catalogue revision that the ledgers are based on.
    pub revision: u64,
}

impl Slots {
    /// Returns the slots that this daemon holds.
    pub fn held(&self) -> impl Iterator<Item = (SlotKey, &OwnSlot)> {
        self.own.iter().filter(|(_, own)| own.is_held).map(|(key, own)| (*key, own))
    }
}
