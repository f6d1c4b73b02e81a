//! All that can happen to a daemon.

use std::{sync::Arc, time::Duration};

use basilbank_wire::{Document, Message, VmRecord};

use crate::{
    catalogue::{Catalogue, KeyHash, Role},
    ids::{AttemptKey, CallerId, EndpointId, VmId},
};

/// One event.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time went on. The shell sends it when `State::wake_at` is reached, and at least every 100 ms.
    Tick,
    /// From a caller.
    Caller(CallerEvent),
    /// From an endpoint.
    Engine(EngineEvent),
    /// From a peer; already authenticated, in sequence, and from the incarnation given.
    Peer {
        /// The sender.
        from: VmId,
        /// The sender's incarnation.
        incarnation: u64,
        /// What it says.
        message: Message,
    },
    /// From the platform.
    Platform(PlatformEvent),
    /// SIGTERM: finish what is in progress, then exit.
    Shutdown,
}

/// From a caller.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    /// A call came in.
    Arrived(Box<Call>),
    /// The caller left, or its connection broke.
    Left(CallerId),
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    /// The shell's number for it.
    pub caller: CallerId,
    /// SHA-256 of the bearer key that was presented.
    pub key: KeyHash,
    /// The idempotency key, if the caller sent one.
    pub idempotency: Option<String>,
    /// The caller says that this may be repeated (`Some(true)`) or not (`Some(false)`).
    pub repeatable: Option<bool>,
    /// What is asked for.
    pub kind: CallKind,
}

/// What a call asks for.
#[derive(Clone, Debug)]
pub enum CallKind {
    /// Text by a model.
    Completion(Completion),
    /// A call to a plain service.
    Plain(PlainCall),
}

/// A draft. The shell keeps the prompt's text; decisions need its size and its prefix only.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The entry's name.
    pub model: String,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Rolling hashes of the prompt's blocks, for the prefix cache.
    pub block_hashes: Arc<[u64]>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Where the stream goes on, from a cursor that the shell has authenticated.
    pub resume: Option<ResumePoint>,
}

/// Where a stream that another daemon may have started goes on.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ResumePoint {
    /// Where the stream lives.
    pub endpoint: EndpointId,
    /// Its name there.
    pub stream: String,
    /// The next token that the caller lacks.
    pub offset: u32,
    /// The entry that the cursor was made for; it must be the caller's.
    pub entry: crate::ids::EntryId,
}

/// A plain call. The shell keeps headers and body.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The method, in upper case.
    pub method: String,
    /// The path, without the query.
    pub path: String,
}

/// From an endpoint, about an attempt that the core started. Dead keys are dropped.
#[derive(Clone, Debug)]
pub enum EngineEvent {
    /// The prefill is done and its KV cache waits for a decode endpoint.
    Prefilled {
        /// The attempt.
        attempt: AttemptKey,
        /// The KV cache's name at the prefill endpoint.
        handle: String,
        /// Prompt tokens.
        prompt_tokens: u32,
        /// Prompt tokens that came from the prefix cache.
        cached_tokens: u32,
        /// Size of the KV cache in bytes.
        bytes: u64,
        /// How long the endpoint spent.
        prefill_time: Duration,
    },
    /// The decode endpoint took the KV cache; tokens follow.
    Started {
        /// The attempt.
        attempt: AttemptKey,
        /// The stream's name at the endpoint.
        stream: String,
    },
    /// Tokens came.
    Tokens {
        /// The attempt.
        attempt: AttemptKey,
        /// Offset of the first one in this attempt's stream.
        offset: u32,
        /// Their texts, one each.
        texts: Vec<String>,
    },
    /// The stream ended by itself.
    Finished {
        /// The attempt.
        attempt: AttemptKey,
        /// `stop` or `length`.
        reason: String,
        /// All tokens of the stream, so that an end which overtakes tokens isn't taken for whole.
        tokens: u32,
    },
    /// A plain service answered. The shell holds the answer.
    Answered {
        /// The attempt.
        attempt: AttemptKey,
        /// The HTTP status.
        status: u16,
    },
    /// The attempt failed.
    Failed {
        /// The attempt.
        attempt: AttemptKey,
        /// How.
        failure: Failure,
    },
    /// A report on an endpoint, late and perhaps old.
    Report {
        /// The endpoint.
        endpoint: EndpointId,
        /// What it says.
        report: EngineReport,
    },
}

/// How an attempt failed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Failure {
    /// No connection could be made: nothing was sent.
    Unreachable,
    /// The endpoint said that it did not run it: full.
    Full,
    /// The endpoint said that it did not run it: it is leaving.
    Leaving,
    /// The endpoint said that it did not run it, for another reason.
    Refused,
    /// The KV cache is gone.
    Evicted,
    /// The transfer between prefill and decode makes no progress.
    Stalled,
    /// The connection broke or a time limit passed after something was sent.
    Broken,
    /// Another reader took the stream over.
    TakenOver,
}

/// What an endpoint reports of itself.
#[derive(Clone, Debug)]
pub enum EngineReport {
    /// Its load, measured `age` ago.
    Load {
        /// Requests running.
        running: u32,
        /// Requests waiting.
        queued: u32,
        /// How old the figures are.
        age: Duration,
        /// It is leaving: no new work.
        leaving: bool,
        /// The model's name; empty when the endpoint does not say.
        model: String,
        /// The model version that it serves; empty while it loads.
        version: String,
        /// The adapter that it has loaded.
        adapter: String,
        /// Its role; `None` when the endpoint does not say.
        role: Option<Role>,
        /// The highest fencing number that it has taken; 0 when it keeps none.
        fence: u64,
    },
    /// Prefix cache events in order; `gap` when some before these were lost.
    Cache {
        /// Blocks that came.
        added: Vec<u64>,
        /// Blocks that went.
        evicted: Vec<u64>,
        /// Events were lost: what was known may be wrong.
        gap: bool,
    },
    /// All streams and KV caches that it holds.
    Streams(Vec<StreamInfo>),
    /// The last order was taken.
    OrderAccepted {
        /// Its fencing number.
        fence: u64,
    },
    /// The last order was refused: the endpoint has seen a higher fencing number.
    OrderFenced {
        /// The endpoint's number.
        fence: u64,
    },
    /// A report or order could not be had.
    NoResponse,
}

/// One stream or KV cache that an endpoint holds.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct StreamInfo {
    /// Its name at the endpoint.
    pub stream: String,
    /// It is a KV cache that waits, not a stream.
    pub is_kv_cache: bool,
    /// Whose it is.
    pub vm: VmId,
    /// The incarnation that started it or took it over.
    pub incarnation: u64,
    /// The request.
    pub request: u64,
    /// How long ago a reader last took tokens from it.
    pub idle: Duration,
}

/// From the platform, or from a peer in its place.
#[derive(Clone, Debug)]
pub enum PlatformEvent {
    /// Documents that changed.
    Documents {
        /// The revision that they apply to; 0 when they are the whole.
        base_revision: u64,
        /// The revision afterwards.
        revision: u64,
        /// The documents.
        documents: Vec<Document>,
    },
    /// The texts of a revision were checked.
    Checked {
        /// The revision.
        revision: u64,
        /// The catalogue, or how many findings speak against it.
        result: Result<Arc<Catalogue>, usize>,
    },
    /// The VM list.
    Vms {
        /// Its revision.
        revision: u64,
        /// The VMs.
        vms: Vec<VmRecord>,
    },
    /// A read of the catalogue failed.
    CatalogueFailed,
    /// A read of the VM list failed.
    VmsFailed,
}
