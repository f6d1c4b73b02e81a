//! One try of a request at its endpoints.

use std::time::Duration;

use crate::{
    ids::{EndpointId, RequestKey},
    state::SlotKey,
};

/// One try of a request at its endpoints.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request that this is an attempt of.
    pub request: RequestKey,
    /// Number of the attempt; unique within its request.
    pub number: u32,
    /// Stage that the attempt is in.
    pub stage: AttemptStage,
    /// When the attempt entered its stage.
    pub stage_since: Duration,
    /// Prefill endpoints that are asked for a slot later, each with the time at which it is asked.
    /// Sorted by time, the earliest last.
    pub prefill_plan: Vec<(Duration, EndpointId)>,
    /// Endpoints whose owners denied the slot that the attempt waits for.
    pub denied: Vec<EndpointId>,
    /// Slots that were requested and are not granted yet.
    pub reservations: Vec<SlotKey>,
    /// Slot at a decode endpoint or a plain service.
    pub slot: Option<SlotKey>,
    /// Slot at a prefill endpoint.
    pub prefill_slot: Option<SlotKey>,
    /// KV cache that waits to be imported.
    pub kv_cache: Option<KvCache>,
    /// Name of the stream at the decode endpoint.
    pub stream: Option<String>,
    /// Number of tokens that the caller had received when token 0 of this stream was generated.
    pub base_offset: u32,
    /// Offset in the stream of the next token that is expected.
    pub next_offset: u32,
    /// When the decode slot was granted.
    pub decode_granted: Duration,
    /// When the prefill was sent.
    pub prefill_started: Duration,
    /// Estimated duration of prefill and transfer.
    pub expected: Duration,
    /// Time that the endpoint spent on the prefill.
    pub prefill_time: Duration,
    /// When the last token arrived, or the stream was last opened.
    pub last_progress: Duration,
    /// Whether the attempt started by reading a stream that a cursor named.
    pub resumed: bool,
    /// How often the stream was read again since the last token arrived.
    pub rereads: u32,
}

/// KV cache that a prefill endpoint keeps for a decode endpoint.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct KvCache {
    /// Endpoint that holds the KV cache.
    pub endpoint: EndpointId,
    /// Name of the KV cache at that endpoint.
    pub handle: String,
    /// Size in bytes.
    pub bytes: u64,
    /// When the endpoint evicts it unless a decode endpoint imports it before.
    pub evicted_at: Duration,
}

/// Stage of an attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptStage {
    /// Waits for a slot at a decode endpoint or a plain service.
    WaitingForSlot,
    /// Has a decode slot and waits for a prefill slot.
    WaitingForPrefill,
    /// The prefill endpoint computes the prompt.
    Prefill,
    /// Has a KV cache but has lost its decode slot, and waits for another one.
    Relocating,
    /// The decode endpoint imports the KV cache.
    Import,
    /// The decode endpoint streams tokens.
    Stream,
    /// A plain service handles the call.
    Plain,
}

impl Attempt {
    /// Creates an attempt that waits for its first slot.
    #[must_use]
    pub fn new(request: RequestKey, number: u32, base_offset: u32, now: Duration) -> Attempt {
        Attempt {
            request,
            number,
            stage: AttemptStage::WaitingForSlot,
            stage_since: now,
            prefill_plan: Vec::new(),
            denied: Vec::new(),
            reservations: Vec::new(),
            slot: None,
            prefill_slot: None,
            kv_cache: None,
            stream: None,
            base_offset,
            next_offset: 0,
            decode_granted: now,
            prefill_started: now,
            expected: Duration::ZERO,
            prefill_time: Duration::ZERO,
            last_progress: now,
            resumed: false,
            rereads: 0,
        }
    }

    /// Moves the attempt to a stage. Denials of the former stage no longer count.
    pub fn enter_stage(&mut self, stage: AttemptStage, now: Duration) {
        self.stage = stage;
        self.stage_since = now;
        self.denied.clear();
    }

    /// Returns the endpoint that works for the attempt now.
    #[must_use]
    pub fn endpoint(&self) -> Option<EndpointId> {
        let slot = match self.stage {
            AttemptStage::WaitingForPrefill | AttemptStage::Prefill => self.prefill_slot,
            _ => self.slot,
        };
        slot.map(|s| s.endpoint)
    }
}
