//! One attempt of a request.

use std::time::Duration;

use crate::{
    ids::{EndpointId, RequestKey},
    state::SlotKey,
};

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request.
    pub request: RequestKey,
    /// Its number; no two attempts of a request share one.
    pub number: u32,
    /// What it is doing.
    pub stage: AttemptStage,
    /// Since when.
    pub stage_since: Duration,
    /// Prefill endpoints to be asked later, and when; the next one last.
    pub prefill_plan: Vec<(Duration, EndpointId)>,
    /// Endpoints whose stewards denied the slot that it looks for.
    pub denied: Vec<EndpointId>,
    /// Slots that were asked for and not granted yet.
    pub reservations: Vec<SlotKey>,
    /// The slot at a decode endpoint or a plain service.
    pub slot: Option<SlotKey>,
    /// The slot at a prefill endpoint.
    pub prefill_slot: Option<SlotKey>,
    /// The KV cache that waits to be imported.
    pub kv_cache: Option<KvCache>,
    /// The stream's name at the decode endpoint.
    pub stream: Option<String>,
    /// Tokens that the caller had when the stream's token 0 came.
    pub base_offset: u32,
    /// The next token of the stream that is wanted.
    pub next_offset: u32,
    /// When its decode slot was granted.
    pub decode_granted: Duration,
    /// When its prefill was sent.
    pub prefill_started: Duration,
    /// Estimate of its prefill and transfer.
    pub expected: Duration,
    /// Prefill time spent on it.
    pub prefill_time: Duration,
    /// When a token last came.
    pub last_progress: Duration,
    /// It started by reading a stream that a cursor named.
    pub resumed: bool,
    /// Times that its stream was read again since a token last came.
    pub rereads: u32,
}

/// A KV cache at a prefill endpoint.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct KvCache {
    /// Where it is.
    pub endpoint: EndpointId,
    /// Its name there.
    pub handle: String,
    /// Its size in bytes.
    pub bytes: u64,
    /// When it is evicted if no decode endpoint takes it.
    pub evicted_at: Duration,
}

/// What an attempt is doing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptStage {
    /// It waits for a slot at a decode endpoint or a plain service.
    WaitingForSlot,
    /// It has a decode slot and waits for one at a prefill endpoint.
    WaitingForPrefill,
    /// The prefill runs.
    Prefill,
    /// Its KV cache is there, but its decode slot is not: it waits for another.
    Relocating,
    /// The decode endpoint imports the KV cache.
    Import,
    /// The decode endpoint streams.
    Stream,
    /// A plain service works on it.
    Plain,
}

impl Attempt {
    /// An attempt that starts.
    #[must_use]
    pub fn new(request: RequestKey, number: u32, base: u32, now: Duration) -> Attempt {
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
            base_offset: base,
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

    /// Goes on to a stage.
    pub fn enter_stage(&mut self, stage: AttemptStage, now: Duration) {
        self.stage = stage;
        self.stage_since = now;
        self.denied.clear();
    }

    /// Where it runs now.
    #[must_use]
    pub fn endpoint(&self) -> Option<EndpointId> {
        let slot = match self.stage {
            AttemptStage::WaitingForPrefill | AttemptStage::Prefill => self.prefill_slot,
            _ => self.slot,
        };
        slot.map(|s| s.endpoint)
    }
}
