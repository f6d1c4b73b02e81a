//! Inputs of the reducer: everything that can happen to a daemon.

use std::{sync::Arc, time::Duration};

use basilbank_wire::{Document, Message, VmRecord};

use crate::{
    catalogue::{Catalogue, KeyHash, Role},
    ids::{AttemptKey, CallerId, EndpointId, VmId},
};

/// An input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The clock has advanced. The shell sends this event when `State::wake_at` is reached, and at
    /// least every 100 ms.
    Tick,
    /// Event from a caller.
    Caller(CallerEvent),
    /// Event from an endpoint.
    Engine(EngineEvent),
    /// Message from a peer. The shell has authenticated it, checked its sequence number and
    /// attributed it to the given incarnation.
    Peer {
        /// VM of the sender.
        from: VmId,
        /// Incarnation of the sender.
        incarnation: u64,
        /// Message that was received.
        message: Message,
    },
    /// Event from the platform.
    Platform(PlatformEvent),
    /// SIGTERM was received: the daemon finishes the requests in progress, then exits.
    Shutdown,
}

/// Event from a caller.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    /// A call was received.
    Arrived(Box<Call>),
    /// The caller disconnected.
    Left(CallerId),
}

/// A call as the shell has parsed it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number that the shell assigned to the caller.
    pub caller: CallerId,
    /// SHA-256 of the bearer key that the caller presented.
    pub key: KeyHash,
    /// Idempotency key, if the caller sent one.
    pub idempotency_key: Option<String>,
    /// Whether the caller allows the call to be run more than once; `None` if it does not say.
    pub repeatable: Option<bool>,
    /// What the caller asks for.
    pub kind: CallKind,
}

/// Kind of a call, with the data that decisions need.
#[derive(Clone, Debug)]
pub enum CallKind {
    /// A call that generates text with a model.
    Completion(Completion),
    /// A call to a plain HTTP service.
    Plain(PlainCall),
}

/// A call that generates text. The shell keeps the prompt's text; decisions need only its size and
/// its prefix.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Name of the catalogue entry.
    pub model: String,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Rolling hashes of the prompt's blocks, to look the prompt up in prefix caches.
    pub block_hashes: Arc<[u64]>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Position at which to resume an existing stream, from a cursor that the shell has
    /// authenticated.
    pub resume: Option<ResumePoint>,
}

/// Position in a stream that any daemon may have started.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ResumePoint {
    /// Endpoint that holds the stream.
    pub endpoint: EndpointId,
    /// Name of the stream at that endpoint.
    pub stream: String,
    /// Offset of the first token that the caller lacks.
    pub offset: u32,
    /// Catalogue entry that the cursor was issued for. It must be the caller's entry.
    pub entry: crate::ids::EntryId,
}

/// A call to a plain HTTP service. The shell keeps the headers and the body.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// HTTP method in upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
}

/// Event from an endpoint about an attempt that the reducer started. Events whose attempt key is no
/// longer valid are dropped.
#[derive(Clone, Debug)]
pub enum EngineEvent {
    /// The prefill is complete; its KV cache waits for a decode endpoint.
    Prefilled {
        /// Attempt that the event is about.
        attempt: AttemptKey,
        /// Handle of the KV cache at the prefill endpoint.
        handle: String,
        /// Number of prompt tokens that the endpoint counted.
        prompt_tokens: u32,
        /// Number of prompt tokens that came from the prefix cache.
        cached_tokens: u32,
        /// Size of the KV cache in bytes.
        bytes: u64,
        /// Time that the endpoint spent on the prefill.
        prefill_time: Duration,
    },
    /// The decode endpoint has imported the KV cache; tokens follow.
    Started {
        /// Attempt that the event is about.
        attempt: AttemptKey,
        /// Name of the stream at the endpoint.
        stream: String,
    },
    /// The endpoint sent tokens.
    Tokens {
        /// Attempt that the event is about.
        attempt: AttemptKey,
        /// Offset of the first of these tokens in the stream.
        offset: u32,
        /// Text of each token.
        texts: Vec<String>,
    },
    /// The stream reached its regular end.
    Finished {
        /// Attempt that the event is about.
        attempt: AttemptKey,
        /// Why generation ended: `stop` or `length`.
        reason: String,
        /// Total number of tokens in the stream. It shows whether tokens are missing when the end
        /// overtakes some of them.
        tokens: u32,
    },
    /// A plain service answered. The shell holds its answer.
    Answered {
        /// Attempt that the event is about.
        attempt: AttemptKey,
        /// HTTP status of the answer.
        status: u16,
    },
    /// The attempt failed.
    Failed {
        /// Attempt that the event is about.
        attempt: AttemptKey,
        /// How it failed.
        failure: Failure,
    },
    /// Status report of an endpoint. It may arrive late and describe an older state.
    Report {
        /// Endpoint that the report is about.
        endpoint: EndpointId,
        /// Content of the report.
        report: EngineReport,
    },
}

/// How an attempt failed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Failure {
    /// No connection could be made, so nothing was sent.
    Unreachable,
    /// The endpoint refused to run the call because it is full.
    Full,
    /// The endpoint refused to run the call because it is leaving.
    Leaving,
    /// The endpoint refused to run the call for another reason.
    Refused,
    /// The prefill endpoint no longer has the KV cache.
    Evicted,
    /// The KV cache transfer from the prefill to the decode endpoint makes no progress.
    Stalled,
    /// The connection broke, or a timeout expired, after something was sent. The call may have run.
    Broken,
    /// Another reader took the stream over.
    TakenOver,
}

/// Report of an endpoint about its own state.
#[derive(Clone, Debug)]
pub enum EngineReport {
    /// Load and status of the endpoint.
    Load {
        /// Number of requests that run.
        running: u32,
        /// Number of requests that wait at the endpoint.
        queued: u32,
        /// Age of these figures.
        age: Duration,
        /// Whether the endpoint is leaving and takes no new work.
        leaving: bool,
        /// Name of the model; empty if the endpoint does not report it.
        model: String,
        /// Version of the model that it serves; empty while it loads.
        version: String,
        /// Adapter that it has loaded.
        adapter: String,
        /// Role; `None` if the endpoint does not report it.
        role: Option<Role>,
        /// Highest fencing number that it has accepted; 0 if it keeps none.
        fence: u64,
    },
    /// Changes of the prefix cache, in order.
    Cache {
        /// Hashes of the blocks that were added.
        added: Vec<u64>,
        /// Hashes of the blocks that were evicted.
        evicted: Vec<u64>,
        /// Whether earlier changes were lost, so that the known contents of the cache may be wrong.
        gap: bool,
    },
    /// All streams and KV caches that the endpoint holds.
    Streams(Vec<StreamInfo>),
    /// The endpoint accepted the last order.
    OrderAccepted {
        /// Fencing number of the order.
        fence: u64,
    },
    /// The endpoint refused the last order because it has seen a higher fencing number.
    OrderFenced {
        /// Highest fencing number that the endpoint has seen.
        fence: u64,
    },
    /// The endpoint gave no usable answer to a request for a report or to an order.
    NoResponse,
}

/// A stream or KV cache that an endpoint holds.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct StreamInfo {
    /// Name of the stream, or handle of the KV cache, at the endpoint.
    pub stream: String,
    /// Whether this is a KV cache that waits for a decode endpoint.
    pub is_kv_cache: bool,
    /// VM of the daemon that owns it.
    pub vm: VmId,
    /// Incarnation of the daemon that started it or took it over.
    pub incarnation: u64,
    /// Request that it belongs to.
    pub request: u64,
    /// Time since a reader last took tokens from it.
    pub idle: Duration,
}

/// Event from the platform, or from a peer that passes the platform's data on.
#[derive(Clone, Debug)]
pub enum PlatformEvent {
    /// Catalogue documents were read.
    Documents {
        /// Revision that the documents are a change to; 0 if they are the complete catalogue.
        base_revision: u64,
        /// Revision of the catalogue with these documents.
        revision: u64,
        /// The changed documents, or all documents.
        documents: Vec<Document>,
    },
    /// The documents of a revision were checked and compiled.
    Checked {
        /// Revision that was checked.
        revision: u64,
        /// The compiled catalogue, or the number of findings because of which it is rejected.
        result: Result<Arc<Catalogue>, usize>,
    },
    /// The VM list was read.
    Vms {
        /// Revision of the list.
        revision: u64,
        /// All VMs on the list.
        vms: Vec<VmRecord>,
    },
    /// A read of the catalogue failed.
    CatalogueFailed,
    /// A read of the VM list failed.
    VmsFailed,
}
