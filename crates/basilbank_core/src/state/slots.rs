//! Slots at endpoints: those that this daemon holds or waits for, and those that it decides on.

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

/// The name of one slot, held or waited for; the same on all daemons.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct SlotKey {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The request.
    pub request: RequestId,
    /// The attempt's number.
    pub attempt: u32,
}

impl SlotKey {
    /// All keys of one endpoint.
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
    /// The attempt that it is for.
    pub attempt: AttemptKey,
    /// Its steward was asked first.
    pub is_first: bool,
    /// The entry whose share it uses.
    pub entry: EntryId,
    /// Tokens expected to be held or prefilled.
    pub tokens: u32,
    /// Tokens whose KV cache leaves the endpoint afterwards.
    pub transfer_tokens: u32,
    /// Milliseconds from the grant until its use.
    pub lead_ms: u32,
    /// The grant came.
    pub is_held: bool,
    /// When the steward was last asked.
    pub asked_at: Duration,
    /// How often it was asked.
    pub ask_count: u32,
    /// How long it may wait.
    pub deadline: Duration,
}

/// Slots at endpoints. Ordered maps, so that effects come in the same order on every run.
#[derive(Debug, Default)]
pub struct Slots {
    /// Slots that this daemon holds or waits for.
    pub own: BTreeMap<SlotKey, OwnSlot>,
    /// Endpoints that this daemon decides on as steward.
    pub ledgers: BTreeMap<EndpointId, Ledger>,
    /// What this daemon says to itself as steward or holder; taken in at the end of each event.
    pub inbox: VecDeque<Body>,
    /// When the stewards were last told what is held.
    pub reported_at: Duration,
    /// Endpoints whose stewards know of a hold of this daemon.
    pub known_owners: BTreeMap<EndpointId, VmId>,
    /// The catalogue revision that the ledgers follow.
    pub revision: u64,
}

impl Slots {
    /// The endpoints where this daemon holds slots, with those slots.
    pub fn held(&self) -> impl Iterator<Item = (SlotKey, &OwnSlot)> {
        self.own.iter().filter(|(_, own)| own.is_held).map(|(key, own)| (*key, own))
    }
}
